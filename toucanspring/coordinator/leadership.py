"""The work of the coordinator for one epoch of the leader lease.

It recovers the state of all jobs, then plans in rounds. The starts of a round are
written to the store as durable intents before they are ordered at the workers.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import math
import time
from collections.abc import Callable, Iterator

import gevent
import logbook
from gevent import event

from toucanspring import errors, uptime
from toucanspring import log as structured
from toucanspring.coordinator import (
    cancel_marks,
    cell_state,
    dispatch,
    fenced_writer,
    job_changes,
    job_rows,
    job_specs,
    leader_lease,
    learning,
    load_report,
    outcome_waits,
    planner,
    plans,
    ports,
    progress_rows,
    recovery,
    retention,
    rows,
    state,
    stop_causes,
    stop_limits,
    stragglers,
    table_cache,
    workers,
)

log = logbook.Logger(__name__)

# Nothing is started while the view of the operators' settings is older than this. The
# required reaction times to evacuations and configuration changes are 2 s and more.
MAX_VIEW_AGE_S = 1.8
# The number of waiting jobs is not given by a copy of the jobs older than this.
MAX_PENDING_AGE_S = 2.0
HOUSEKEEPING_INTERVAL_S = 0.25
STOPS_REPORT_INTERVAL_S = 2.0  # at most one line and one update of the counters
RELEASE_TIMEOUT_S = 1.5  # part of the time for a graceful stop
BACKLOG_INTERVAL_S = 0.05  # between looks for memory for jobs in the backlog
BACKLOG_RETRY_S = 0.2  # after a job could not be read
SLOW_ROUND_S = 0.15  # a longer round is logged with the time of its parts


@dataclasses.dataclass(slots=True)
class PendingAck:
    """Ends of `jobs` up to `last_end`; a worker may forget them once they are durable.

    `jobs` are the IDs of all jobs of listed ends.
    """

    worker: workers.Worker
    last_end: int
    incarnation: int
    jobs: frozenset[str]


class Leadership:
    """Coordinates the jobs of the cell until the leader lease is lost or released.

    `request_approval` queues a request to the approval service, `on_failing` is called
    while a write fails, with the seconds since its first attempt, and `on_round` after
    each round, with its number of starts and its duration. `on_stops` gets the counts
    of the runs that ended since they were stopped. Jobs of which nothing runs take at
    most `max_job_bytes` of memory.
    """

    def __init__(
        self,
        store: ports.Store,
        client: ports.Workers,
        directory: ports.Directory,
        acquired: leader_lease.Acquired,
        store_clock: leader_lease.StoreClock,
        request_approval: Callable[[plans.ApprovalRequest], None],
        max_lease_ms: int,
        limits: stop_limits.StopLimits = stop_limits.DEFAULT,
        on_failing: Callable[[float], None] = lambda _for_s: None,
        on_round: Callable[[int, float], None] = lambda _starts, _took_s: None,
        on_stops: Callable[[stop_causes.StopCounts], None] = lambda _counts: None,
        max_job_bytes: float = math.inf,
    ) -> None:
        self.cell = cell_state.CellState(max_job_bytes)
        self.epoch = acquired.lease.epoch
        self.ready = event.Event()
        self.ended = event.Event()
        self._store = store
        self._directory = directory
        self._acquired = acquired
        self._acquired_at = uptime.now()
        self._writer = fenced_writer.FencedWriter(store, acquired, store_clock)
        self._writer.on_failing = on_failing
        self._on_round = on_round
        self._on_stops = on_stops
        self._stops_reported_at = 0.0
        self._planner = planner.Planner(self.cell)
        self._load_builder = load_report.Builder(
            self.cell, self.epoch, self._acquired_at
        )
        self._dispatcher = dispatch.Dispatcher(
            self, client, max_lease_ms, limits=limits
        )
        self._planner.max_tasks_stopped_in_time = (
            self._dispatcher.max_tasks_stopped_in_time()
        )
        self.cell.former_leases_end_at = recovery.find_longest_lease(
            acquired, self._acquired_at, max_lease_ms / 1000
        )
        self._request_approval = request_approval
        self._wake_event = event.Event()
        self._pending_acks: list[PendingAck] = []
        self._changes = job_changes.JobChanges(self.cell, self.epoch)
        self._marks = cancel_marks.CancelMarks(self.cell)
        self._waits = outcome_waits.OutcomeWaits()
        self._job_rows = job_rows.JobRows(self.cell, max_job_bytes)
        self._jobs = table_cache.TableCache(
            store, rows.JOBS, self._on_job_row, digest=self._job_rows.digest
        )
        self._retention = retention.Retention(self.cell, store, self._jobs, self.wake)
        self._learning = learning.Learning(self.cell, self.epoch)
        self._housekeeping_at = 0.0
        self._gang_decisions: collections.Counter[str] = collections.Counter()
        self._release_requested = False
        # Of the latest write, for the log.
        self._write_s = 0.0
        self._written_bytes = 0

    def run(self) -> None:
        """Coordinate until the leader lease is lost or released."""
        try:
            # The workers' entries are read at the same time as the jobs.
            with self._directory.follow_workers(self._sync_workers):
                if self._load():
                    self._coordinate()
        finally:
            self.ready.clear()
            self.ended.set()
            failure = errors.Unavailable(
                reason="this process is no longer the coordinator"
            )
            self._waits.end(failure)

    def _coordinate(self) -> None:
        with self._dispatcher, self._jobs, self._retention, self._take_from_backlog():
            for worker in list(self.cell.workers.values()):
                self._dispatcher.watch(worker)
            self.ready.set()
            log.info(
                "epoch {}: coordinating {} jobs and {} workers",
                self.epoch, len(self.cell.jobs), len(self.cell.workers),
            )  # fmt: skip
            while not self._writer.lost:
                self._wake_event.wait(leader_lease.RENEW_INTERVAL_S / 4)
                self._wake_event.clear()
                self._run_round()
                if self._release_requested:
                    self._release_lease()

    def release(self) -> None:
        """Release the leader lease after the current round, for a graceful stop."""
        self._release_requested = True
        self.wake()
        self.ended.wait(RELEASE_TIMEOUT_S)

    def _release_lease(self) -> None:
        failure = self._writer.release()
        if failure is not None:
            log.warning(
                "epoch {}: could not release the leader lease: {}", self.epoch, failure
            )

    # Used by the dispatcher

    def wake(self) -> None:
        """Run the next round without delay."""
        self._wake_event.set()

    def may_renew(self, now: float) -> bool:
        """Return whether worker leases may be renewed."""
        lost, overdue_s = self._writer.lost, self._writer.overdue_s(now)
        return not lost and overdue_s < leader_lease.STORE_OUTAGE_GRACE_S

    def may_start(self, now: float) -> bool:
        """Return whether tasks may start, and so be stopped to start elsewhere."""
        return self._view_age(now) < MAX_VIEW_AGE_S and self._writer.holds_lease(now)

    def acknowledge_ends(
        self, worker: workers.Worker, last_end: int, jobs: frozenset[str]
    ) -> None:
        """Acknowledge ends of `jobs` up to `last_end` once they have been written."""
        ack = PendingAck(worker, last_end, worker.incarnation, jobs)
        self._pending_acks.append(ack)
        self.wake()

    def step_down(self, reason: str) -> None:
        """Stop coordinating, since another process does or is about to."""
        if not self._writer.lost:
            log.warning("epoch {}: stepping down: {}", self.epoch, reason)
        self._writer.lost = True
        self.wake()

    def measure(self) -> dict[str, float]:
        """Return the gauges of the known work by name."""
        now = uptime.now()
        usable = [
            worker
            for worker in self.cell.workers.values()
            if worker.is_usable(now, self.cell.zones_out)
        ]
        return {
            "jobs": len(self.cell.jobs),
            "jobs_in_backlog": len(self.cell.backlog),
            "job_bytes": self.cell.backlog.held_bytes(),
            "cancel_marks": len(self._marks),
            "steps_waiting": len(self.cell.ready),
            "tasks_placed": sum(
                len(each.allocations) for each in self.cell.workers.values()
            ),
            "workers": len(self.cell.workers),
            "workers_usable": len(usable),
            **self._learning.measure(),
            "lease_overdue_seconds": self._writer.overdue_s(now),
            **{kind: self._gang_decisions[kind] for kind in plans.GANG_DECISIONS},
        }

    def report_load(self) -> load_report.Report:
        """Count the load; costs time for each waiting step."""
        return self._load_builder.build(uptime.now())

    # For callers

    def holds(self, job_id: str) -> bool:
        """Return whether a job is known here, and so has been accepted."""
        return job_id in self.cell.jobs or job_id in self.cell.backlog

    def status(self, job_id: str) -> state.JobState | errors.Failure:
        """Return the durable state of a job; a failure if only the store knows it."""
        if not self.holds(job_id):
            failure = self._load_job(job_id)
            if failure is not None:
                return failure
        entry = self.cell.backlog.get(job_id)
        if entry is not None:
            return entry.state
        return self._waits.await_state(self.cell.jobs[job_id])

    def cancel(
        self, job_id: str, organisation: str = ""
    ) -> state.JobState | errors.Failure:
        """Cancel a job durably and return its state; an ended job keeps its outcome.

        The stops of its tasks have been ordered, and all of them are sent in time. An
        unknown job is marked for `organisation`: it does not start if it comes later.
        """
        if job_id not in self.cell.jobs:
            failure = self._load_job(job_id, must_hold=True)
            if isinstance(failure, errors.NotFound):
                failure = self._cancel_unknown(job_id, organisation) or failure
            if failure is not None and job_id not in self.cell.jobs:
                return failure
        record = self.cell.cancel(job_id, uptime.now())
        if record.durable_state is not record.state:
            waiter = self._waits.add_cancellation()
            self.wake()
            failure = outcome_waits.await_cancellation(record, waiter)
            if failure is not None:
                return failure
        if record.durable_state is state.JobState.CANCELLED:
            failure = outcome_waits.await_timely_stops(
                lambda: self._dispatcher.has_timely_stops(job_id),
                self.ended.is_set,
            )
            if failure is not None:
                return failure
        return record.durable_state

    def _cancel_unknown(self, job_id: str, organisation: str) -> None | errors.Failure:
        """Store that a job is cancelled which may be written later."""
        refusal = self._marks.add(job_id, organisation, uptime.now())
        if refusal is not None:
            return refusal
        if self._marks.is_stored(job_id):
            return None
        waiter = self._waits.add_cancellation()
        self.wake()
        return outcome_waits.await_write(waiter)

    def pending(self, queue: str) -> int | errors.Unavailable:
        """Return how many jobs of a queue have not started, if all jobs are known."""
        if self._jobs.age(uptime.now()) > MAX_PENDING_AGE_S:
            return errors.Unavailable(reason="not all jobs have been read recently")
        return self.cell.pending(queue)

    def _load_job(self, job_id: str, must_hold: bool = False) -> None | errors.Failure:
        """Read a job from the store that is in the backlog or not known yet.

        With `must_hold` it is held whatever memory there is.
        """
        entry = self.cell.backlog.get(job_id)
        row = rows.find_job(self._store, job_id)
        if isinstance(row, errors.Failure):
            return row
        is_unread = job_id in self.cell.unread_progress
        if is_unread or (entry is not None and entry.has_progress):
            progress = job_rows.read_progress(self._store, job_id)
            if isinstance(progress, errors.Failure):
                return progress
            is_unread = job_id in self.cell.unread_progress
            if progress is not None and (is_unread or job_id in self.cell.backlog):
                self.cell.unclaimed[job_id] = progress
                self.cell.unread_progress.pop(job_id, None)
        self._accept_row(row, must_hold)
        if must_hold and job_id not in self.cell.jobs:
            self.cell.backlog.remove(job_id)
        if not self.holds(job_id):
            return errors.Malformed(reason=f"job {job_id} is unreadable")
        return None

    # Backlog

    @contextlib.contextmanager
    def _take_from_backlog(self) -> Iterator[None]:
        """Hold jobs that wait in the store as soon as there is memory for them."""
        taking = gevent.spawn(self._run_backlog)
        try:
            yield
        finally:
            taking.kill(block=False)

    def _run_backlog(self) -> None:
        while True:
            job_id = self.cell.backlog.find_next()
            if job_id is None:
                gevent.sleep(BACKLOG_INTERVAL_S)
                continue
            try:
                failure = self._load_job(job_id, must_hold=True)
            except Exception:
                log.exception("reading job {} failed", job_id)
                failure = errors.Unknown(reason="internal error")
            if failure is None:
                continue
            log.warning("job {} stays in the backlog: {}", job_id, failure)
            entry = self.cell.backlog.get(job_id)
            if entry is not None:
                self.cell.backlog.remove(job_id)
                self.cell.backlog.add(job_id, entry)  # behind the others of its line
            gevent.sleep(BACKLOG_RETRY_S)

    # Recovery

    def _load(self) -> bool:
        """Restore all jobs; return whether the lease is still held."""
        loader = recovery.Loader(
            self._store, self._writer, self._jobs, lambda: self._release_requested,
            self._job_rows.progress,
        )  # fmt: skip
        progress = loader.load()
        if progress is None:
            if self._release_requested and not self._writer.lost:
                self._release_lease()
            return False
        self._apply_operator_settings()
        for entry in self._directory.entries().values():
            self.cell.register_worker(entry)
        recovery.restore_cell(
            self.cell, self.epoch, self._jobs.rows.values(), progress, loader.took_s,
            self._job_rows,
        )  # fmt: skip
        self._job_rows.end_load()
        self._jobs.digest_all()
        self._marks.restore(uptime.now())
        return True

    def _on_job_row(self, row: ports.Row) -> None:
        if row.version and self.ready.is_set() and not self.holds(row.id.key):
            self._accept_row(row)

    def _accept_row(self, row: ports.Row, must_hold: bool = False) -> None:
        if row.id.key in self.cell.jobs:
            return
        spec = rows.decode(job_specs.Job, row.value)
        if isinstance(spec, errors.Malformed):
            log.error("ignoring unreadable job {}: {}", row.id.key, spec)
            return
        has_progress = spec.id in self.cell.unclaimed
        self.cell.accept(spec, uptime.now(), recovery.age_s(spec), must_hold)
        if has_progress:
            self._apply_mark(spec.id)
            self._watch_restored_workers()
        structured.decide(
            log, "job_learned", job=spec.id, queue=spec.queue,
            organisation=spec.organisation, age_s=round(recovery.age_s(spec), 3),
            in_backlog=spec.id in self.cell.backlog,
        )  # fmt: skip
        self.wake()

    def _apply_mark(self, job_id: str) -> None:
        """Record that a job came after its cancellation."""
        record = self.cell.jobs.get(job_id)
        if record is not None and self._marks.claim(record):
            structured.decide(
                log, "late_job_cancelled", job=job_id, epoch=self.epoch,
                organisation=record.spec.organisation,
            )  # fmt: skip

    def _watch_restored_workers(self) -> None:
        """Wait for the leases of workers that only restored tasks refer to."""
        for worker in list(self.cell.workers.values()):
            if not self._dispatcher.watches(worker):
                self._dispatcher.watch(worker)

    def _sync_workers(self) -> None:
        if not self.ready.is_set():
            return  # the entries known at the end of the load are registered by it
        entries = self._directory.entries()
        for entry in entries.values():
            known = self.cell.workers.get(entry.id)
            if known is None or known.entry != entry or not known.registered:
                self._dispatcher.watch(self.cell.register_worker(entry))
        for worker in list(self.cell.workers.values()):
            if worker.registered and worker.id not in entries:
                structured.decide(log, "worker_unregistered", worker=worker.id)
                self.cell.mark_unregistered(worker.id)
        self.wake()

    def _apply_operator_settings(self) -> None:
        catalogue = self._directory.catalogue
        if catalogue is not None:
            self.cell.configure(catalogue)
        self.cell.zones_out = self._directory.zones_out

    # Rounds

    def _run_round(self) -> None:
        now = uptime.now()
        self._apply_operator_settings()
        self._run_housekeeping(now)
        plan = plans.Plan()
        may_start = self.may_start(now)
        if may_start:
            self._planner.max_starts = self._dispatcher.start_limit()
            self._planner.task_room.limits = self._dispatcher.find_task_limits()
            self._planner.approvals.ticket_margin_s = (
                self._dispatcher.pacing.ticket_margin_s()
            )
            plan = self._planner.plan(now)
        self._load_builder.record_round(plan.starts, may_start)
        for request in plan.approval_requests:
            self._request_approval(request)
        for wait in plan.waits:
            structured.decide(
                log, "step_waits", step=wait.step.id, reason=wait.reason,
                tasks=len(wait.step.waiting),
                since_s=round(now - wait.step.ready_at, 2),
            )  # fmt: skip
        for decision in plan.gang_decisions:
            self._gang_decisions[decision.kind] += 1
            structured.decide(
                log, decision.kind, step=decision.step.id, workers=decision.workers,
                tasks=len(decision.step.waiting),
                since_s=round(now - decision.step.ready_at, 2),
            )  # fmt: skip
        stops, self.cell.stops[:] = list(self.cell.stops), []
        for stop in stops:
            self._dispatcher.stop(stop)
        planned_at, dirty = uptime.now(), len(self.cell.dirty)
        self._commit(plan.starts, now)
        ended_at = uptime.now()
        self._on_round(len(plan.starts), ended_at - now)
        if ended_at - now > SLOW_ROUND_S:
            structured.decide(
                log, "round_slow", epoch=self.epoch, starts=len(plan.starts),
                plan_ms=_to_ms(planned_at - now), write_ms=_to_ms(self._write_s),
                commit_ms=_to_ms(ended_at - planned_at), jobs_written=dirty,
                bytes_written=self._written_bytes, steps_waiting=len(self.cell.ready),
                view_age_s=round(self._view_age(now), 2),
                **self._dispatcher.count_orders(),
            )  # fmt: skip

    def _view_age(self, now: float) -> float:
        return self._directory.age(now)

    def _commit(self, starts: list[plans.Start], now: float) -> None:
        dirty = self._changes.take(now)
        pending_acks, self._pending_acks = self._pending_acks, []
        cancellations = self._waits.take_cancellations()
        self._write_s, self._written_bytes = 0.0, 0
        removed = self._retention.take(dirty)
        marks, old_marks = self._marks.take(), self._marks.find_expired(now)
        renewal_due = now - self._writer.committed_at >= leader_lease.RENEW_INTERVAL_S
        if not (dirty or cancellations or removed or marks or old_marks or renewal_due):
            self._apply_acks(pending_acks)
            return
        batch = self._changes.encode(dirty, now)
        puts = marks | batch.puts
        self._written_bytes = sum(len(value) for value in puts.values())
        removals = [
            row_id
            for job_id in removed
            for row_id in progress_rows.ended_row_ids(self.cell.jobs[job_id])
        ]
        removals += [rows.progress_row_id(job_id) for job_id in old_marks]
        sent_at = uptime.now()
        failure = self._writer.commit(puts, tuple(removals))
        self._write_s = uptime.now() - sent_at
        self._dispatcher.pacing.record_write(self._write_s)
        if isinstance(failure, errors.Fenced):
            self._waits.put_back(cancellations)
            return
        refused = self._changes.confirm(batch, failure, starts, now)
        starts = [each for each in starts if each.step.job.spec.id not in refused]
        self._retention.forget([each for each in removed if each not in refused])
        self._marks.confirm(marks)
        self._marks.forget(old_marks)
        self._waits.note_commit(cancellations)
        if starts:
            structured.decide(
                log, "starts_recorded", commit=self._writer.writes, epoch=self.epoch,
                placed=_format_starts(starts), view_age_s=round(self._view_age(now), 2),
                count=len(starts), took_ms=round((uptime.now() - now) * 1000),
            )  # fmt: skip
        self._apply_operator_settings()  # they may have changed during the write
        for start in starts:
            self._dispatcher.start(start, now)
        self._apply_acks(pending_acks)

    def _apply_acks(self, pending_acks: list[PendingAck]) -> None:
        for ack in pending_acks:
            if not self._changes.may_acknowledge(ack.jobs):
                continue  # the worker lists the ends again
            if ack.worker.incarnation == ack.incarnation:
                ack.worker.acked_end = max(ack.worker.acked_end, ack.last_end)
            self._dispatcher.notify_acknowledged(ack.worker)

    def _run_housekeeping(self, now: float) -> None:
        if now - self._housekeeping_at < HOUSEKEEPING_INTERVAL_S:
            return
        self._housekeeping_at = now
        if self.may_start(now):
            self._move_from_slow_workers(now)
            self._learning.move_tails(now)
        self._learning.log(now)
        self.cell.open_due_occurrences(round(time.time() * 1000), now)
        self._report_stops(now)

    def _report_stops(self, now: float) -> None:
        if now - self._stops_reported_at < STOPS_REPORT_INTERVAL_S:
            return
        self._stops_reported_at = now
        counts = self.cell.stop_counts.take()
        if not counts.runs:
            return
        self._on_stops(counts)
        structured.decide(
            log, "runs_stopped",
            runs={cause.value: count for cause, count in counts.runs.items()},
            lost_core_s={
                cause.value: round(lost) for cause, lost in counts.lost_core_s.items()
            },
        )  # fmt: skip

    def _move_from_slow_workers(self, now: float) -> None:
        for worker in stragglers.find_slow(self.cell.workers.values(), now):
            movable = stragglers.find_movable(worker, now)
            structured.decide(
                log, "worker_slow", worker=worker.id, share=round(worker.slowness, 2),
                tasks=len(worker.allocations), moved=len(movable),
            )  # fmt: skip
            for allocation in movable:
                self.cell.stop(
                    allocation.step, allocation.task, stop_causes.StopCause.SLOW_WORKER
                )


def _to_ms(seconds: float) -> int:
    return round(seconds * 1000)


def _format_starts(starts: list[plans.Start]) -> dict[str, list[str]]:
    """Return the runs of each step, by its ID, as `index#run@worker`."""
    formatted: dict[str, list[str]] = {}
    for start in starts:
        runs = formatted.setdefault(start.step.id, [])
        runs.append(f"{start.task.index}#{start.run}@{start.worker.id}")
    return formatted
