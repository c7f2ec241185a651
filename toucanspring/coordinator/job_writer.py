"""Acceptance of jobs by any process: a job is accepted once its row is stored."""

from __future__ import annotations

import collections

import gevent
import logbook
from gevent import event

from toucanspring import errors, uptime
from toucanspring import log as structured
from toucanspring.coordinator import job_specs, ports, rows

log = logbook.Logger(__name__)

MAX_JOBS_PER_WRITE = 40
# Values, which grow by a third on the wire: 0.21 s on an idle link of 5 Mbit/s, which
# the writers of all parts share.
MAX_BYTES_PER_WRITE = 100_000
# The store writes one transaction of a part after the other. Once they take this long,
# the transactions of many processes queue up, and one that batches them is faster.
SLOW_WRITE_S = 0.3
# Until a process tries by itself again; all of them together are to write little.
SLOW_PERIOD_S = 4.0
RETRY_FIRST_S = 0.03
RETRY_MAX_S = 0.4


class PendingJob:
    """A submitted job whose row is not yet known to be stored or rejected."""

    def __init__(self, spec: job_specs.Job, give_up_at: float) -> None:
        self.spec = spec
        self.value = rows.encode(spec)
        self.give_up_at = give_up_at
        self.result = event.AsyncResult()
        self.row_ids = rows.job_row_ids(spec.id)
        self.attempts = 0
        self.uncertain = False  # an earlier write without a reply may have taken effect

    @property
    def row_id(self) -> ports.RowId:
        """Return the ID of the row to write in the current attempt."""
        return self.row_ids[self.attempts % len(self.row_ids)]


class JobWriter:
    """Batching writers of submitted jobs, one for each part of the table."""

    def __init__(self, store: ports.Store) -> None:
        self._store = store
        self._queues: dict[str, collections.deque[PendingJob]] = {}
        self._wake_events: dict[str, event.Event] = {}
        self._greenlets: list[gevent.Greenlet] = []
        self._slow_until = 0.0
        self._in_flight: dict[str, float] = {}  # part -> when its write was sent
        self._unfinished: dict[str, PendingJob] = {}

    def is_slow(self, now: float) -> bool:
        """Return whether a write of this process takes long or has lately done so."""
        oldest = min(self._in_flight.values(), default=now)
        return now < self._slow_until or now - oldest > SLOW_WRITE_S

    def find_write(self, job_id: str) -> event.AsyncResult | None:
        """Return the result to come of a write of a job that is under way."""
        pending = self._unfinished.get(job_id)
        return None if pending is None else pending.result

    def __enter__(self) -> JobWriter:
        for number in range(rows.JOB_PARTS):
            part = f"{number}"
            self._queues[part] = collections.deque()
            self._wake_events[part] = event.Event()
            self._greenlets.append(gevent.spawn(self._run, part))
        return self

    def __exit__(self, *_exc: object) -> None:
        gevent.killall(self._greenlets, block=False)

    def accept(self, spec: job_specs.Job, timeout_s: float) -> None | errors.Failure:
        """Store a job; submitting the same job again succeeds.

        `Unavailable` means that this call did not and will not store the job, `Invalid`
        that no other call will either, `Ambiguous` that it may have, and `Conflict`
        that another job has the same ID.
        """
        pending = PendingJob(spec, uptime.now() + timeout_s)
        self._unfinished[spec.id] = pending
        pending.result.rawlink(lambda _result: self._forget(pending))
        self._enqueue(pending)
        try:
            return pending.result.get(timeout=timeout_s)
        except gevent.Timeout:
            return self._withdraw(pending)

    def _forget(self, pending: PendingJob) -> None:
        if self._unfinished.get(pending.spec.id) is pending:
            del self._unfinished[pending.spec.id]

    def _enqueue(self, pending: PendingJob) -> None:
        part = pending.row_id.part
        self._queues[part].append(pending)
        self._wake_events[part].set()

    def _withdraw(self, pending: PendingJob) -> errors.Unavailable | errors.Ambiguous:
        """Give up a job at its timeout; it is not stored if no write has begun."""
        queue = self._queues[pending.row_id.part]
        if pending in queue:
            queue.remove(pending)
            self._forget(pending)
            if not pending.uncertain:
                return errors.Unavailable(
                    reason="the write did not begin before the timeout"
                )
        return errors.Ambiguous(reason="the store did not reply before the timeout")

    def _run(self, part: str) -> None:
        queue, wake_event = self._queues[part], self._wake_events[part]
        while True:
            wake_event.wait()
            wake_event.clear()
            while queue:
                batch = self._take(queue)
                try:
                    self._write(batch)
                except Exception:
                    log.exception("part {}: writing {} jobs failed", part, len(batch))
                    self._set_results(batch, errors.Ambiguous(reason="internal error"))

    @staticmethod
    def _take(queue: collections.deque[PendingJob]) -> list[PendingJob]:
        batch, size, job_ids = [], 0, set()
        while queue and len(batch) < MAX_JOBS_PER_WRITE:
            if queue[0].spec.id in job_ids:
                break  # same ID: the second write has to find the row of the first
            size += len(queue[0].value)
            if batch and size > MAX_BYTES_PER_WRITE:
                break
            job_ids.add(queue[0].spec.id)
            batch.append(queue.popleft())
        return batch

    def _write(self, batch: list[PendingJob]) -> None:
        while batch:
            by_row_id = {each.row_id: each for each in batch}
            answer = self._transact(by_row_id)
            match answer:
                case ports.Committed():
                    self._set_results(batch, None)
                    return
                case ports.Rejected(rows=found):
                    batch = self._resolve_existing(by_row_id, found)
                case ports.Unacceptable():
                    self._separate(batch, answer)
                    return
                case _:
                    for each in batch:
                        each.uncertain |= isinstance(answer, errors.Ambiguous)
                        self._retry_in_next_part(each, answer)
                    return

    def _separate(self, batch: list[PendingJob], answer: ports.Unacceptable) -> None:
        """Write jobs in smaller batches, since the store refuses one of them for good.

        A job that it refuses by itself is not stored.
        """
        if len(batch) == 1:
            kind = errors.Ambiguous if batch[0].uncertain else errors.Invalid
            self._set_results(batch, kind(reason=answer.reason))
            return
        middle = len(batch) // 2
        self._write(batch[:middle])
        self._write(batch[middle:])

    def _transact(
        self, by_row_id: dict[ports.RowId, PendingJob]
    ) -> ports.Committed | ports.Rejected | errors.Failure:
        """Write new rows of one part, and note how long it takes."""
        part = next(iter(by_row_id)).part
        sent_at = self._in_flight[part] = uptime.now()
        try:
            return self._store.transact(
                dict.fromkeys(by_row_id, 0),
                {row_id: each.value for row_id, each in by_row_id.items()},
            )
        finally:
            del self._in_flight[part]
            self._note_duration(sent_at, uptime.now())

    def _note_duration(self, sent_at: float, now: float) -> None:
        took_s = now - sent_at
        if took_s <= SLOW_WRITE_S:
            return
        if now >= self._slow_until:
            structured.decide(log, "writes_slow", took_ms=round(took_s * 1000))
        self._slow_until = now + SLOW_PERIOD_S

    def _retry_in_next_part(self, pending: PendingJob, failure: errors.Failure) -> None:
        """Retry in the next part of the store, which may be available."""
        pending.attempts += 1
        rounds, part_index = divmod(pending.attempts, len(pending.row_ids))
        if part_index == 0 and not pending.uncertain:
            pending.result.set(failure)
        elif pending.result.ready() or uptime.now() >= pending.give_up_at:
            pending.result.set(errors.Ambiguous(reason="the store did not reply"))
        elif part_index == 0:
            pause = min(RETRY_MAX_S, RETRY_FIRST_S * 2**rounds)
            gevent.spawn_later(pause, self._enqueue, pending)
        else:
            self._enqueue(pending)

    @staticmethod
    def _resolve_existing(
        by_row_id: dict[ports.RowId, PendingJob], found: tuple[ports.Row, ...]
    ) -> list[PendingJob]:
        """Set the results of jobs whose rows exist already; return the other jobs."""
        existing = {row.id: row for row in found if row.version}
        left = []
        for row_id, each in by_row_id.items():
            row = existing.get(row_id)
            if row is None:
                left.append(each)
                continue
            known = rows.decode(job_specs.Job, row.value)
            same = isinstance(known, job_specs.Job) and job_specs.is_same(
                known, each.spec
            )
            each.result.set(
                None if same else errors.Conflict(reason="another job has the same ID")
            )
        return left

    @staticmethod
    def _set_results(batch: list[PendingJob], result: None | errors.Failure) -> None:
        for each in batch:
            each.result.set(result)
