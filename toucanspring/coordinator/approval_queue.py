"""Order of requests to the approval service and their division into calls.

Does no I/O and reads no clock.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math

from toucanspring.coordinator import plans

# Time that its step has waited before, of which a request gets credit for at most this
# much. With the bounds below, a request can be passed only by those that are submitted
# within the next 40 s, so none waits for ever.
MAX_CREDIT_S = 3.0
# The patience of a request grows with each of these, so that it is sent later than
# requests submitted at the same time.
# For each priority below the top one. With 1 s, cheap requests of the lowest priority
# passed those of gangs of the one above at a busy time.
PRIORITY_PATIENCE_S = 8.0
MAX_PRIORITIES = 2
MAX_SLACK_PATIENCE_S = 1.0
SLACK_PATIENCE_SHARE = 0.5
# Several cheap requests are answered in the time of one that is expensive.
COST_PATIENCE_FACTOR = 4.0
MAX_COST_PATIENCE_S = 6.0
# Requests of late steps come behind others with the same priority and cost, since most
# of the value of these steps is lost; those of the top priority further behind, as they
# are short and lose the rest soon.
LATE_PATIENCE_S = 2.0
TOP_LATE_PATIENCE_S = 10.0
TOP_PRIORITY = 0
# A request of the top priority counts as late by waiting once it has used this part of
# its slack: the rest is for the answer, the start and room.
MAX_SLACK_USED = 0.5
MAX_WORKERS_PER_CALL = 100  # limit of the service
MIN_WORKERS_PER_CALL = 10
# One more call has to bring the answer forward by this much, and by this part of the
# time that it takes of its caller apart from the workers. Calls that saved less took
# all callers at a busy time, and every request waited for seconds.
MIN_SAVING_S = 0.02
MIN_SAVING_SHARE = 0.25


def send_by(request: plans.ApprovalRequest, now: float) -> float:
    """Return the time that orders a request among others; it never changes.

    The request is submitted at `now`. All ranks improve at the same rate while time
    passes, so fixed times give the same order as a rank that ages.
    """
    patience_s = PRIORITY_PATIENCE_S * min(request.priority, MAX_PRIORITIES)
    patience_s += min(COST_PATIENCE_FACTOR * request.cost_s, MAX_COST_PATIENCE_S)
    slack_s = max(0.0, request.slack_s)
    patience_s += min(SLACK_PATIENCE_SHARE * slack_s, MAX_SLACK_PATIENCE_S)
    if request.slack_s < 0:
        is_top = request.priority <= TOP_PRIORITY
        patience_s += TOP_LATE_PATIENCE_S if is_top else LATE_PATIENCE_S
    return now - min(request.waited_s, MAX_CREDIT_S) + patience_s


class Load:
    """Time of callers that requests take for each second, over the last seconds."""

    WINDOW_S = 2.0

    def __init__(self) -> None:
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, cost_s: float, now: float) -> None:
        """Count a request that takes a caller `cost_s` seconds."""
        self._value = self.value(now) + cost_s / self.WINDOW_S
        self._updated_at = now

    def value(self, now: float) -> float:
        """Return how many callers the requests keep busy."""
        age_s = max(0.0, now - self._updated_at)
        return self._value * math.exp(-age_s / self.WINDOW_S)


class ApprovalQueue:
    """Waiting requests; those of jobs that have ended are dropped.

    While more are submitted than callers can send, a request that is late by waiting
    gives way once. Otherwise each one would be sent just too late.
    """

    def __init__(self) -> None:
        self._waiting: list[tuple[float, int, float, plans.ApprovalRequest]] = []
        self._sequence = itertools.count()
        self._has_yielded: set[int] = set()  # sequence numbers of those that gave way

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, request: plans.ApprovalRequest, now: float) -> None:
        """Add a request that is submitted at `now`."""
        entry = (send_by(request, now), next(self._sequence), now, request)
        heapq.heappush(self._waiting, entry)

    def first(self, now: float) -> plans.ApprovalRequest | None:
        """Return the request to send next, without removing it."""
        while self._waiting:
            rank, number, submitted_at, request = self._waiting[0]
            if request.step.job.is_final:
                self._remove_first()
            elif self._is_late_by_waiting(number, submitted_at, request, now):
                self._has_yielded.add(number)
                entry = (rank + TOP_LATE_PATIENCE_S, number, submitted_at, request)
                heapq.heapreplace(self._waiting, entry)
            else:
                return request
        return None

    def _is_late_by_waiting(
        self,
        number: int,
        submitted_at: float,
        request: plans.ApprovalRequest,
        now: float,
    ) -> bool:
        return (
            request.priority <= TOP_PRIORITY
            and request.slack_s >= 0
            and now - submitted_at > MAX_SLACK_USED * request.slack_s
            and number not in self._has_yielded
        )

    def _remove_first(self) -> tuple[float, int, float, plans.ApprovalRequest]:
        entry = heapq.heappop(self._waiting)
        self._has_yielded.discard(entry[1])
        return entry

    def pop(self, now: float) -> tuple[plans.ApprovalRequest, float] | None:
        """Remove the request to send next; return it and how long it has waited."""
        if self.first(now) is None:
            return None
        _, _, submitted_at, request = self._remove_first()
        return request, now - submitted_at

    def clear(self) -> None:
        """Remove all requests."""
        self._waiting.clear()
        self._has_yielded.clear()


def count_calls(request: plans.ApprovalRequest, callers: int) -> int:
    """Return over how many calls to divide a request that `callers` are free for."""
    named = len(request.workers)
    decision_s = request.cost_s - request.per_worker_s * named
    min_saving_s = max(MIN_SAVING_S, MIN_SAVING_SHARE * decision_s)
    calls = max(1, math.ceil(named / MAX_WORKERS_PER_CALL))
    while (
        calls < callers
        and named >= MIN_WORKERS_PER_CALL * (calls + 1)
        and request.per_worker_s
        * (math.ceil(named / calls) - math.ceil(named / (calls + 1)))
        >= min_saving_s
    ):
        calls += 1
    return calls


def split(request: plans.ApprovalRequest, calls: int) -> list[plans.ApprovalRequest]:
    """Return the parts of a request, one for each call, of about the same size."""
    if calls <= 1:
        return [request]
    parts = []
    for number in range(calls):
        names = request.workers[number::calls]
        omitted = len(request.workers) - len(names)
        cost_s = request.cost_s - request.per_worker_s * omitted
        parts.append(dataclasses.replace(request, workers=names, cost_s=cost_s))
    return parts
