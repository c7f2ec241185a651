"""Acceptance of jobs by any process: a job is accepted once its row is in the store."""

from __future__ import annotations

import collections
import time

import gevent
import logbook
from gevent import event

from toucanspring import errors
from toucanspring.coordinator import job_specs, ports, rows

log = logbook.Logger(__name__)

MAX_JOBS_PER_WRITE = 40
MAX_BYTES_PER_WRITE = 400_000
RETRY_FIRST_S = 0.03
RETRY_MAX_S = 0.4


class PendingJob:
    """Hold one job until its row is written or certainly not."""

    def __init__(self, spec: job_specs.Job, give_up_at: float) -> None:
        self.spec = spec
        self.value = rows.encode(spec)
        self.give_up_at = give_up_at
        self.result = event.AsyncResult()
        self.places = rows.job_row_ids(spec.id)
        self.tries = 0
        self.uncertain = False  # a write that had no answer may have taken effect

    @property
    def place(self) -> ports.RowId:
        """Return the row that is tried now."""
        return self.places[self.tries % len(self.places)]


class JobWriter:
    """Own the writers of accepted jobs, one for each part of the table."""

    def __init__(self, store: ports.Store) -> None:
        self._store = store
        self._queues: dict[str, collections.deque[PendingJob]] = {}
        self._woken: dict[str, event.Event] = {}
        self._greenlets: list[gevent.Greenlet] = []

    def __enter__(self) -> JobWriter:
        for number in range(rows.JOB_PARTS):
            part = f"{number}"
            self._queues[part] = collections.deque()
            self._woken[part] = event.Event()
            self._greenlets.append(gevent.spawn(self._run, part))
        return self

    def __exit__(self, *_exc: object) -> None:
        gevent.killall(self._greenlets, block=False)

    def accept(self, spec: job_specs.Job, timeout_s: float) -> None | errors.Failure:
        """Return once a job is stored; a repeat of the same job is accepted again.

        `Unavailable` means that it was not accepted and never will be by this call,
        `Ambiguous` that it may be; `Conflict` that another job has its ID.
        """
        waiting = PendingJob(spec, time.monotonic() + timeout_s)
        self._enqueue(waiting)
        try:
            return waiting.result.get(timeout=timeout_s)
        except gevent.Timeout:
            return self._withdraw(waiting)

    def _enqueue(self, waiting: PendingJob) -> None:
        part = waiting.place.part
        self._queues[part].append(waiting)
        self._woken[part].set()

    def _withdraw(self, waiting: PendingJob) -> errors.Unavailable | errors.Ambiguous:
        """Give up a job; one whose write has not begun is certainly not accepted."""
        queue = self._queues[waiting.place.part]
        if waiting in queue:
            queue.remove(waiting)
            if not waiting.uncertain:
                return errors.Unavailable(reason="the store is too slow")
        return errors.Ambiguous(reason="the store did not answer in time")

    def _run(self, part: str) -> None:
        queue, woken = self._queues[part], self._woken[part]
        while True:
            woken.wait()
            woken.clear()
            while queue:
                batch = self._take(queue)
                try:
                    self._write(batch)
                except Exception:
                    log.exception("part {}: accepting {} jobs", part, len(batch))
                    self._finish(batch, errors.Ambiguous(reason="internal error"))

    @staticmethod
    def _take(queue: collections.deque[PendingJob]) -> list[PendingJob]:
        batch, size, places = [], 0, set()
        while queue and len(batch) < MAX_JOBS_PER_WRITE and size < MAX_BYTES_PER_WRITE:
            if queue[0].spec.id in places:
                break  # the same job twice: the second finds the row of the first
            places.add(queue[0].spec.id)
            size += len(queue[0].value)
            batch.append(queue.popleft())
        return batch

    def _write(self, batch: list[PendingJob]) -> None:
        while batch:
            places = {each.place: each for each in batch}
            answer = self._store.transact(
                dict.fromkeys(places, 0),
                {place: each.value for place, each in places.items()},
            )
            match answer:
                case ports.Committed():
                    self._finish(batch, None)
                    return
                case ports.Rejected(rows=found):
                    batch = self._settle(places, found)
                case _:
                    for each in batch:
                        each.uncertain |= isinstance(answer, errors.Ambiguous)
                        self._try_elsewhere(each, answer)
                    return

    def _try_elsewhere(self, waiting: PendingJob, failure: errors.Failure) -> None:
        """Go on with another part of the store, which may be up."""
        waiting.tries += 1
        rounds, place = divmod(waiting.tries, len(waiting.places))
        if place == 0 and not waiting.uncertain:
            waiting.result.set(failure)
        elif waiting.result.ready() or time.monotonic() >= waiting.give_up_at:
            waiting.result.set(errors.Ambiguous(reason="the store did not answer"))
        elif place == 0:
            pause = min(RETRY_MAX_S, RETRY_FIRST_S * 2**rounds)
            gevent.spawn_later(pause, self._enqueue, waiting)
        else:
            self._enqueue(waiting)

    @staticmethod
    def _settle(
        places: dict[ports.RowId, PendingJob], found: tuple[ports.Row, ...]
    ) -> list[PendingJob]:
        """Answer the jobs whose rows exist; return the others."""
        existing = {row.id: row for row in found if row.version}
        left = []
        for place, each in places.items():
            row = existing.get(place)
            if row is None:
                left.append(each)
                continue
            known = rows.decode(job_specs.Job, row.value)
            same = isinstance(known, job_specs.Job) and (
                known.organisation,
                known.queue,
                known.payload,
                known.steps,
            ) == (
                each.spec.organisation,
                each.spec.queue,
                each.spec.payload,
                each.spec.steps,
            )
            each.result.set(
                None if same else errors.Conflict(reason="another job has this ID")
            )
        return left

    @staticmethod
    def _finish(batch: list[PendingJob], result: None | errors.Failure) -> None:
        for each in batch:
            each.result.set(result)
