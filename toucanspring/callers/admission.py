"""Request queues with deadlines and load shedding by class."""

from __future__ import annotations

import collections
import dataclasses
import heapq

from toucanspring import errors, job

QUEUE_LIMIT = 512  # waiting requests of a service in one process
CLASS_ORDER = tuple(job.JobClass)
COMPACT_FACTOR = 4  # heap entries per request that may wait
NEWEST_WEIGHT = 0.05  # weight of the newest request in the mean service time


# A request is dropped when less than this many mean service times are left before its
# deadline. At three times the capacity (bench.overload), 1,784 requests/s are answered
# in time with 0, 1,860 with 1 and 1,931 with 3. Serving the newest request first
# answers 1,922, but makes checks wait 159 ms instead of 78 ms (p99).
MIN_SERVICE_TIMES_LEFT = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """Describe a request that was queued."""

    request_id: str
    job_class: job.JobClass
    deadline: float


class Admission:
    """Queue requests by class until a slot is free."""

    def __init__(self, limit: int = QUEUE_LIMIT) -> None:
        self._limit = limit
        self._queues: dict[
            job.JobClass, collections.OrderedDict[str, QueuedRequest]
        ] = {job_class: collections.OrderedDict() for job_class in CLASS_ORDER}
        self._size = 0
        self._ended: collections.deque[
            tuple[str, errors.NotRun | errors.Overloaded]
        ] = collections.deque()
        self._deadlines: list[tuple[float, str, job.JobClass]] = []
        self._seconds: dict[job.JobClass, float] = {}

    def __len__(self) -> int:
        return self._size

    def offer(
        self, request_id: str, job_class: job.JobClass, deadline: float, now: float
    ) -> QueuedRequest | errors.Overloaded:
        """Queue a request; if the queue is full, shed one of a lower class."""
        self._expire(now)
        if deadline - now < self._min_time_left(job_class):
            return errors.Overloaded(reason="the deadline cannot be met")
        if self._size >= self._limit and not self._shed_lower_class(job_class):
            return errors.Overloaded(reason=f"the queue for {job_class} is full")
        entry = QueuedRequest(request_id, job_class, deadline)
        self._queues[job_class][request_id] = entry
        heapq.heappush(self._deadlines, (deadline, request_id, job_class))
        self._size += 1
        return entry

    def next(
        self, now: float
    ) -> tuple[str, QueuedRequest | errors.NotRun | errors.Overloaded] | None:
        """Return the next request to send, or one that ended without being sent."""
        self._expire(now)
        if self._ended:
            return self._ended.popleft()
        for job_class in CLASS_ORDER:
            queue = self._queues[job_class]
            if not queue:
                continue
            request_id, entry = queue.popitem(last=False)
            self._size -= 1
            if entry.deadline - now < self._min_time_left(job_class):
                return request_id, errors.NotRun(reason="the deadline cannot be met")
            return request_id, entry
        return None

    def next_class(self) -> job.JobClass | None:
        """Return the class of the next request to send, or None without one."""
        for job_class, queue in self._queues.items():
            if queue:
                return job_class
        return None

    def ended(self, now: float) -> list[tuple[str, errors.NotRun | errors.Overloaded]]:
        """Return the requests that ended without being sent, while no slot is free."""
        self._expire(now)
        ended = list(self._ended)
        self._ended.clear()
        return ended

    def requeue(self, entry: QueuedRequest) -> None:
        """Put a request that a full server refused back at the head of its queue."""
        queue = self._queues[entry.job_class]
        queue[entry.request_id] = entry
        queue.move_to_end(entry.request_id, last=False)
        heapq.heappush(
            self._deadlines, (entry.deadline, entry.request_id, entry.job_class)
        )
        self._size += 1

    def cancel(self, request_id: str) -> bool:
        """Remove a waiting request; return whether it was queued."""
        for queue in self._queues.values():
            if queue.pop(request_id, None) is not None:
                self._size -= 1
                return True
        return False

    def record_service_time(self, job_class: job.JobClass, seconds: float) -> None:
        """Record the service time of a request."""
        mean = self._seconds.get(job_class)
        if mean is None:
            self._seconds[job_class] = seconds
        else:
            self._seconds[job_class] = mean + NEWEST_WEIGHT * (seconds - mean)

    def _expire(self, now: float) -> None:
        if len(self._deadlines) > COMPACT_FACTOR * max(self._limit, self._size):
            self._compact()
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id, job_class = heapq.heappop(self._deadlines)
            if self._queues[job_class].pop(request_id, None) is not None:
                self._size -= 1
                failure = errors.NotRun(
                    reason="the deadline passed before the request was sent"
                )
                self._ended.append((request_id, failure))

    def _compact(self) -> None:
        """Drop the deadlines of requests that no longer wait."""
        self._deadlines = [
            (entry.deadline, request_id, job_class)
            for job_class, queue in self._queues.items()
            for request_id, entry in queue.items()
        ]
        heapq.heapify(self._deadlines)

    def _min_time_left(self, job_class: job.JobClass) -> float:
        return MIN_SERVICE_TIMES_LEFT * self._seconds.get(job_class, 0.0)

    def _shed_lower_class(self, job_class: job.JobClass) -> bool:
        for lower in reversed(CLASS_ORDER):
            if lower == job_class:
                return False
            queue = self._queues[lower]
            if queue:
                request_id, _ = queue.popitem(last=False)
                self._size -= 1
                failure = errors.Overloaded(reason=f"not run: displaced by {job_class}")
                self._ended.append((request_id, failure))
                return True
        return False
