"""One tenure of the coordinator: recovery, planning, durable intents, orders."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable

import gevent
import logbook
from gevent import event

from toucanspring import errors
from toucanspring import log as structured
from toucanspring.coordinator import (
    cell_state,
    dispatch,
    fenced_writer,
    job_specs,
    leader_lease,
    planner,
    plans,
    ports,
    recovery,
    rows,
    state,
    stragglers,
    table_cache,
    workers,
)

log = logbook.Logger(__name__)

# Starts need a view of the operators' wishes that is younger than this; the bounds
# on evacuation and configuration are 2 s and more.
MAX_VIEW_AGE_S = 1.8
HOUSEKEEPING_S = 0.25
LOAD_RETRY_S = 0.1
DURABLE_LIMIT_S = 3.0
RELEASE_LIMIT_S = 1.5  # of the time for a graceful stop
# A status asked for while the last tasks end waits for the write under way: an answer
# that is stale by a few milliseconds makes the caller ask again much later.
STATUS_WAIT_S = 0.08
STATUS_DURABLE_LIMIT_S = 0.4


@dataclasses.dataclass(slots=True)
class Note:
    """Hold the ends that a worker may forget once they are durable."""

    worker: workers.Worker
    last_end: int
    incarnation: int


class Leadership:
    """Own the cell's jobs from the claim of the seat until it is lost."""

    def __init__(
        self,
        store: ports.Store,
        client: ports.Workers,
        directory: ports.Directory,
        taken: leader_lease.Acquired,
        store_clock: leader_lease.StoreClock,
        ask: Callable[[plans.ApprovalRequest], None],
        max_lease_ms: int,
        on_failing: Callable[[float], None] = lambda _for_s: None,
        on_round: Callable[[int, float], None] = lambda _starts, _took_s: None,
    ) -> None:
        self.cell = cell_state.CellState()
        self.epoch = taken.lease.epoch
        self.ready = event.Event()
        self.ended = event.Event()
        self._store = store
        self._directory = directory
        self._taken = taken
        self._claimed_at = time.monotonic()
        self._writer = fenced_writer.FencedWriter(store, taken, store_clock)
        self._writer.on_failing = on_failing
        self._on_round = on_round
        self._planner = planner.Planner(self.cell)
        self._desk = dispatch.Dispatcher(self, client, max_lease_ms)
        self._max_lease_s = max_lease_ms / 1000
        self._ask = ask
        self._woken = event.Event()
        self._committed = event.Event()
        self._notes: list[Note] = []
        self._waiters: list[event.AsyncResult] = []
        self._jobs = table_cache.TableCache(store, rows.JOBS, self._take_job)
        self._removals: list[ports.RowId] = []
        self._housekept_at = 0.0
        self._releasing = False

    def run(self) -> None:
        """Coordinate until the seat is lost or released."""
        try:
            if not self._load():
                return
            with (
                self._directory.follow_workers(self._take_workers),
                self._desk,
                self._jobs,
            ):
                self._take_workers()
                for worker in list(self.cell.workers.values()):
                    self._desk.watch(worker)
                self.ready.set()
                log.info(
                    "epoch {}: coordinating {} jobs and {} workers",
                    self.epoch, len(self.cell.jobs), len(self.cell.workers),
                )  # fmt: skip
                while not self._writer.lost:
                    self._woken.wait(leader_lease.RENEW_INTERVAL_S / 4)
                    self._woken.clear()
                    self._round()
                    if self._releasing:
                        self._leave()
        finally:
            self.ready.clear()
            self.ended.set()
            failure = errors.Unavailable(reason="the seat has moved")
            for waiter in self._waiters:
                waiter.set(failure)

    def release(self) -> None:
        """Give the seat up after the round under way, as at a graceful stop."""
        self._releasing = True
        self.wake()
        self.ended.wait(RELEASE_LIMIT_S)

    def _leave(self) -> None:
        failure = self._writer.release()
        if failure is not None:
            log.warning("epoch {}: not released: {}", self.epoch, failure)

    # For orders

    def wake(self) -> None:
        """Plan again soon."""
        self._woken.set()

    def may_renew(self, now: float) -> bool:
        """Return whether leases of workers may be renewed."""
        lost = self._writer.lost
        return not lost and self._writer.overdue_s(now) < dispatch.STORE_OUTAGE_GRACE_S

    def note(self, worker: workers.Worker, last_end: int) -> None:
        """Forget ends at the worker once the next write is durable."""
        self._notes.append(Note(worker, last_end, worker.incarnation))
        self.wake()

    def superseded(self, reason: str) -> None:
        """End the tenure, since a worker has seen a higher epoch."""
        if not self._writer.lost:
            log.warning("epoch {}: superseded: {}", self.epoch, reason)
        self._writer.lost = True
        self.wake()

    def measure(self) -> dict[str, float]:
        """Return how much work is known, as numbers by name."""
        now = time.monotonic()
        usable = [
            worker
            for worker in self.cell.workers.values()
            if worker.is_usable(now, self.cell.zones_out)
        ]
        return {
            "jobs": len(self.cell.jobs),
            "steps_waiting": len(self.cell.ready),
            "tasks_placed": sum(
                len(each.allocations) for each in self.cell.workers.values()
            ),
            "workers": len(self.cell.workers),
            "workers_usable": len(usable),
            "lease_overdue_seconds": self._writer.overdue_s(now),
        }

    # For callers

    def status(self, job_id: str) -> state.JobState | errors.Failure:
        """Return the durable state of a job."""
        if job_id not in self.cell.jobs:
            failure = self._fetch(job_id)
            if failure is not None:
                return failure
        return self._await_outcome(self.cell.jobs[job_id])

    def _await_outcome(self, record: state.JobRecord) -> state.JobState:
        """Return the durable state, waiting shortly for one that is about to change."""
        asked = time.monotonic()
        while record.durable_state not in state.FINAL_STATES:
            ending = record.state in state.FINAL_STATES
            limit_s = STATUS_DURABLE_LIMIT_S if ending else STATUS_WAIT_S
            left_s = asked + limit_s - time.monotonic()
            if left_s <= 0 or not (ending or self._is_ending(record)):
                break
            self._committed.clear()
            self._committed.wait(left_s)
        return record.durable_state

    @staticmethod
    def _is_ending(record: state.JobRecord) -> bool:
        """Return whether all remaining tasks of a job run."""
        return not record.spec.repeats and all(
            not run.waiting for run in record.steps.values()
        )

    def cancel(self, job_id: str) -> state.JobState | errors.Failure:
        """Cancel a job durably; one that has ended keeps its outcome."""
        if job_id not in self.cell.jobs:
            failure = self._fetch(job_id)
            if failure is not None:
                return failure
        record = self.cell.cancel(job_id, time.monotonic())
        if record.durable_state is record.state:
            return record.durable_state
        waiter = event.AsyncResult()
        self._waiters.append(waiter)
        self.wake()
        try:
            failure = waiter.get(timeout=DURABLE_LIMIT_S)
        except gevent.Timeout:
            return errors.Ambiguous(reason="the cancellation is not durable yet")
        return record.durable_state if failure is None else failure

    def _fetch(self, job_id: str) -> None | errors.Failure:
        """Read a job that the feed has not brought yet."""
        row = rows.find_job(self._store, job_id)
        if isinstance(row, errors.Failure):
            return row
        self._take_job(row)
        if job_id not in self.cell.jobs:
            return errors.Malformed(reason=f"job {job_id} is unreadable")
        return None

    # Recovery

    def _load(self) -> bool:
        """Read all jobs and their progress; return whether the seat is still ours."""
        while not self._writer.lost:
            failure = self._try_load()
            if failure is None:
                return True
            log.warning("epoch {}: loading: {}", self.epoch, failure)
            if self._writer.overdue_s(time.monotonic()):
                return False
            gevent.sleep(LOAD_RETRY_S)
        return False

    def _try_load(self) -> None | errors.Failure:
        # After the claim no earlier commit can take effect, so this is final.
        progress = table_cache.read_table(self._store, rows.PROGRESS)
        if isinstance(progress, errors.Failure):
            return progress
        failure = self._jobs.poll()
        if failure is not None:
            return failure
        for unread in (progress.unread_parts, self._jobs.unread_parts):
            if rows.COORDINATOR_PART in unread:
                return errors.Unavailable(reason="the coordinator's part is down")
        now = time.monotonic()
        self._take_operators()
        self.cell.jobs.clear()
        for entry in self._directory.entries().values():
            self.cell.register_worker(entry)
        recovery.restore(self.cell, self._jobs.rows.values(), progress, now)
        renewed_until = self._claimed_at + self._max_lease_s
        if self._taken.predecessor_may_live:
            renewed_until += (
                self._taken.predecessor_lease_left_s + dispatch.STORE_OUTAGE_GRACE_S
            )
        for worker in self.cell.workers.values():
            worker.lease_expires_at = (
                renewed_until
                + self._max_lease_s * workers.MAX_CLOCK_DRIFT
                + workers.LEASE_EXPIRY_SLACK_S
            )
        return None

    def _take_job(self, row: ports.Row) -> None:
        if not row.version or row.id.key in self.cell.jobs or not self.ready.is_set():
            return
        spec = rows.decode(job_specs.Job, row.value)
        if isinstance(spec, errors.Malformed):
            log.error("job {}: {}", row.id.key, spec)
            return
        self.cell.accept(spec, time.monotonic(), recovery.age_s(spec))
        structured.decide(
            log, "job_learned", job=spec.id, queue=spec.queue,
            organisation=spec.organisation, age_s=round(recovery.age_s(spec), 3),
        )  # fmt: skip
        self.wake()

    def _take_workers(self) -> None:
        entries = self._directory.entries()
        for entry in entries.values():
            known = self.cell.workers.get(entry.id)
            if known is None or known.entry != entry or not known.registered:
                self._desk.watch(self.cell.register_worker(entry))
        for worker in list(self.cell.workers.values()):
            if worker.registered and worker.id not in entries:
                structured.decide(log, "worker_unregistered", worker=worker.id)
                self.cell.mark_unregistered(worker.id)
        self.wake()

    def _take_operators(self) -> None:
        known = self._directory.catalogue
        if known is not None and self.cell.catalogue is not known:
            self.cell.catalogue = known
            self.cell.capacity_version += 1
        if self.cell.zones_out != self._directory.zones_out:
            self.cell.zones_out = self._directory.zones_out
            self.cell.capacity_version += 1

    # Rounds

    def _round(self) -> None:
        now = time.monotonic()
        self._take_operators()
        self._keep_house(now)
        plan = plans.Plan()
        if self._view_age(now) < MAX_VIEW_AGE_S and self._writer.holds_lease(now):
            plan = self._planner.plan(now)
        for question in plan.approval_requests:
            self._ask(question)
        for wait in plan.waits:
            structured.decide(
                log, "step_waits", step=wait.step.id, reason=wait.reason,
                tasks=len(wait.step.waiting),
                since_s=round(now - wait.step.ready_at, 2),
            )  # fmt: skip
        stops, self.cell.stops[:] = list(self.cell.stops), []
        for stop in stops:
            self._desk.stop(stop)
        self._commit(plan.starts, now)
        self._on_round(len(plan.starts), time.monotonic() - now)

    def _view_age(self, now: float) -> float:
        return self._directory.age(now)

    def _commit(self, starts: list[plans.Start], now: float) -> None:
        dirty = dict(self.cell.dirty)
        self.cell.dirty.clear()
        notes, self._notes = self._notes, []
        waiters, self._waiters = self._waiters, []
        removals, self._removals = tuple(self._removals), []
        renewal_due = now - self._writer.committed_at >= leader_lease.RENEW_INTERVAL_S
        if not (dirty or waiters or removals or renewal_due):
            self._noted(notes)
            return
        puts = {
            rows.progress_row_id(job_id): rows.encode(state.to_progress(record))
            for job_id, record in dirty.items()
        }
        for job_id, record in dirty.items():
            if not record.has_copy:
                puts[rows.job_copy_row_id(job_id)] = rows.encode(record.spec)
        states = {job_id: record.state for job_id, record in dirty.items()}
        failure = self._writer.commit(puts, removals)
        if failure is not None:
            self._waiters.extend(waiters)
            return
        for job_id, record in dirty.items():
            record.durable_state = states[job_id]
            record.has_copy = True
        self._committed.set()
        if starts:
            structured.decide(
                log, "starts_recorded", commit=self._writer.writes, epoch=self.epoch,
                placed=_show_starts(starts), view_age_s=round(self._view_age(now), 2),
                count=len(starts), took_ms=round((time.monotonic() - now) * 1000),
            )  # fmt: skip
        for start in starts:
            self._desk.start(start)
        self._noted(notes)
        for waiter in waiters:
            waiter.set(None)

    def _noted(self, notes: list[Note]) -> None:
        for note in notes:
            if note.worker.incarnation == note.incarnation:
                note.worker.acked_end = max(note.worker.acked_end, note.last_end)
            self._desk.noted(note.worker)

    def _keep_house(self, now: float) -> None:
        if now - self._housekept_at < HOUSEKEEPING_S:
            return
        self._housekept_at = now
        for worker in stragglers.find_slow(self.cell.workers.values(), now):
            movable = stragglers.find_movable(worker, now)
            structured.decide(
                log, "worker_slow", worker=worker.id, share=round(worker.slowness, 2),
                tasks=len(worker.allocations), moved=len(movable),
            )  # fmt: skip
            for held in movable:
                self.cell.stop(held.step, held.task)
        self.cell.open_due_occurrences(round(time.time() * 1000), now)
        for job_id in self.cell.find_expired_jobs(now):
            self._forget(job_id)

    def _forget(self, job_id: str) -> None:
        """Remove an ended job; its progress goes last, or it would run again."""
        left = [
            self._jobs.rows[place]
            for place in rows.job_row_ids(job_id)
            if place in self._jobs.rows
        ]
        for row in left:
            self._store.transact({row.id: row.version}, {}, (row.id,))
        if left or self._jobs.unread_parts:
            return  # the feed tells when they are gone
        del self.cell.jobs[job_id]
        self._removals += [rows.job_copy_row_id(job_id), rows.progress_row_id(job_id)]


def _show_starts(starts: list[plans.Start]) -> dict[str, list[str]]:
    """Return for each step its runs as index, run and worker."""
    shown: dict[str, list[str]] = {}
    for start in starts:
        runs = shown.setdefault(start.step.id, [])
        runs.append(f"{start.task.index}#{start.run}@{start.worker.id}")
    return shown
