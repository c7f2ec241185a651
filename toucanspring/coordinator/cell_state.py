"""State machine of all jobs and workers of the cell.

It performs no I/O. Changed jobs are collected in `dirty`, to be written by the
coordinator, and orders to stop tasks in `stops`, to be sent by it.
"""

from __future__ import annotations

import collections
import dataclasses
import math

import logbook
from msgspec import structs

from toucanspring import log as structured
from toucanspring import resources
from toucanspring.coordinator import (
    backlog,
    catalogue,
    job_specs,
    openings,
    ports,
    rate_limits,
    row_sizes,
    rows,
    state,
    stop_causes,
    workers,
)
from toucanspring.policy import run_times, speeds

log = logbook.Logger(__name__)

# A task is not placed again on a worker where it failed for this long. Jobs have few
# attempts, so each should be made on another worker.
FAILED_WORKER_AVOIDANCE_S = 2.0
ENDED_JOB_RETENTION_S = 150.0  # callers may query a job for 120 s
# Runs that are listed late are still counted with their demand if a job has few steps.
MAX_ENDED_STEPS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Order to a worker to stop a run."""

    worker: str
    task: str
    run: int
    cause: stop_causes.StopCause = dataclasses.field(
        default=stop_causes.StopCause.UNKNOWN_RUN, compare=False
    )

    @property
    def job(self) -> str:
        """Return the ID of the job of the task."""
        return self.task.partition(".")[0]


class CellState:
    """Jobs and workers of the cell; owned by the elected coordinator."""

    def __init__(self, max_job_bytes: float = math.inf) -> None:
        self._catalogue = catalogue.Catalogue()
        # As last known, also those that were removed since: limits outlast a removal.
        self.organisations: dict[str, catalogue.Organisation] = {}
        self.zones_out: frozenset[str] = frozenset()
        # When all leases of workers are over that former coordinators have renewed.
        self.former_leases_end_at = 0.0
        self.jobs: dict[str, state.JobRecord] = {}
        # Accepted jobs that wait in the store until there is memory for them.
        self.backlog = backlog.Backlog(max_job_bytes)
        self.unreadable: set[str] = set()  # jobs whose progress cannot be read
        # Progress of jobs whose own rows have not been read yet, by ID.
        self.unclaimed: dict[str, rows.Progress] = {}
        # The same without steps, where the whole has to be read again.
        self.unread_progress: dict[str, rows.Progress] = {}
        self.workers: dict[str, workers.Worker] = {}
        self.ready: dict[str, state.StepRun] = {}  # steps with waiting tasks, by ID
        self.used: dict[str, resources.Resources] = collections.defaultdict(
            lambda: resources.ZERO
        )
        # Jobs that may open further steps, since some have begun.
        self._with_unopened: dict[str, state.JobRecord] = {}
        self.dirty: dict[str, state.JobRecord] = {}
        # Jobs whose first run has been seen: to be written with other changes.
        self.begun: dict[str, state.JobRecord] = {}
        self.stops: list[Stop] = []
        self.stop_counts = stop_causes.StopCounts()
        self.speeds = speeds.Speeds()
        self.run_times = run_times.RunTimes()
        self._rate_limits = rate_limits.RateLimits()
        self._pools: dict[str, list[workers.Worker]] = {}
        self._capacity: resources.Resources | None = None

    @property
    def catalogue(self) -> catalogue.Catalogue:
        """Return the configuration in force."""
        return self._catalogue

    def configure(self, found: catalogue.Catalogue) -> None:
        """Set the configuration in force, also for the jobs that have not ended."""
        if found is self._catalogue:
            return
        self._catalogue = found
        self.organisations.update(found.organisations)
        for record in self.jobs.values():
            if not record.is_final:
                self._configure_job(record)

    # Jobs

    def accept(
        self,
        spec: job_specs.Job,
        now: float,
        age_s: float = 0.0,
        must_hold: bool = False,
    ) -> None:
        """Add an accepted job with its progress if any, unless it is known already.

        It waits in the backlog while there is no memory for it, unless it must be held.
        """
        if spec.id in self.jobs or spec.id in self.unreadable:
            return
        progress = self.unclaimed.pop(spec.id, None)
        if progress is not None:
            self.restore(spec, progress, now, age_s, must_hold)
            return
        outline = self.unread_progress.pop(spec.id, None)
        if outline is not None:
            size, is_split = backlog.find_size(spec), row_sizes.is_split(spec)
            self.restore_outline(spec, size, is_split, outline, now, age_s)
            return
        if self._has_to_wait(spec, None, must_hold):
            return
        record = self._add(spec, now, age_s)
        self.open_steps(record, now)

    def restore(
        self,
        spec: job_specs.Job,
        progress: rows.Progress | None,
        now: float,
        age_s: float,
        must_hold: bool = False,
    ) -> None:
        """Add a job with its stored progress after a failover.

        A job whose progress doesn't match it is left alone: its tasks may have run or
        be running.
        """
        if progress is not None:
            mismatch = state.check_progress(spec, progress)
            if mismatch is not None:
                log.error("job {} is left alone: {}", spec.id, mismatch.reason)
                self.unreadable.add(spec.id)
                return
        if self._has_to_wait(spec, progress, must_hold):
            return
        record = self._add(spec, now, age_s)
        if progress is not None:
            state.restore(record, progress, now)
        for step_run in record.steps.values():
            for task in step_run.tasks.known():
                if task.phase is state.TaskPhase.IN_DOUBT:
                    self._add_usage(step_run, task)
        if not record.is_final:
            if state.is_complete(record):
                # The write of the last ends was cut short before the job's own row.
                self.finish(record, state.JobState.COMPLETED, now)
                return
            for step_run in record.steps.values():
                self.enqueue(step_run)
            self.open_steps(record, now)
            return
        record.ended_at = now
        self._stop_all(record)
        self.shrink(record)

    def restore_outline(
        self,
        spec: job_specs.Job,
        size: int,
        is_split: bool,
        progress: rows.Progress | None,
        now: float,
        age_s: float,
    ) -> None:
        """Add a job of which only the outline was kept; it waits unless it has ended.

        `spec` has no steps, `size` is the memory in bytes of the one that has them.
        """
        known = (
            state.JobState.QUEUED if progress is None else state.find_state(progress)
        )
        if known not in state.FINAL_STATES:
            entry = backlog.Entry(
                spec.organisation, spec.queue, spec.repeats > 0, size, known,
                progress is not None,
            )  # fmt: skip
            self.backlog.add(spec.id, entry)
            return
        record = self._add(spec, now, age_s)
        record.state = record.durable_state = known
        record.is_split, record.is_shrunk, record.ended_at = is_split, True, now
        for step in progress.steps:
            record.stored.add(step.occurrence)

    def _has_to_wait(
        self, spec: job_specs.Job, progress: rows.Progress | None, must_hold: bool
    ) -> bool:
        """Let a job wait in the backlog unless there is memory for it; return if so.

        One that has ended takes little, and one that may be running is needed.
        """
        known = (
            state.JobState.QUEUED if progress is None else state.find_state(progress)
        )
        entry = backlog.Entry(
            spec.organisation,
            spec.queue,
            spec.repeats > 0,
            backlog.find_size(spec),
            known,
            progress is not None,
        )
        if (
            must_hold
            or known in state.FINAL_STATES
            or (progress is not None and state.may_be_running(progress))
            or self.backlog.has_room(entry)
        ):
            self.backlog.hold(spec.id, entry)
            return False
        self.backlog.add(spec.id, entry)
        return True

    def shrink(self, record: state.JobRecord) -> None:
        """Drop what an ended job needs no more, once that is durable and none runs."""
        if not record.is_final or record.durable_state is not record.state:
            return
        if len(record.steps):
            return
        self.backlog.release(record.spec.id)
        if record.is_shrunk:
            return
        spec, record.is_shrunk = record.spec, True
        steps = spec.steps if len(spec.steps) <= MAX_ENDED_STEPS else ()
        record.spec = structs.replace(spec, steps=steps, payload="")
        record.kinds = record.kinds[: len(steps)]
        record.steps.compact()

    def is_full(self) -> bool:
        """Return whether no more jobs should be accepted, for want of memory."""
        return self.backlog.is_full() or self.backlog.is_too_many(len(self.jobs))

    def _add(self, spec: job_specs.Job, now: float, age_s: float) -> state.JobRecord:
        record = state.JobRecord(spec, now - age_s)
        self._configure_job(record)
        self.jobs[spec.id] = record
        return record

    def _configure_job(self, record: state.JobRecord) -> None:
        """Set what the queue and organisation of a job decide, as far as known.

        Without its queue the due time stays. Each job is counted once. A job outlasts
        the removal of its queue, since it was accepted.
        """
        spec = record.spec
        queue = self.catalogue.queue(spec.queue)
        if queue is None and spec.queue_settings is not None and self.catalogue.version:
            queue = catalogue.restore_queue(spec.queue, spec.queue_settings)
        record.queue = queue
        if queue is not None:
            chain_s = sum(step.estimate_ms for step in spec.steps) / 1000
            record.due_at = (
                record.accepted_at + queue.stretch * chain_s + queue.target_s
            )
        organisation = self.organisations.get(spec.organisation)
        if record.over_rate is None and organisation is not None:
            record.over_rate = self._rate_limits.count_job(
                spec.organisation, organisation, record.accepted_at
            )

    def open_steps(self, record: state.JobRecord, now: float) -> None:
        """Open the steps whose turn has come, as many as may be open."""
        for step_run in openings.open_steps(record, now):
            self.enqueue(step_run)

    def open_further_steps(self, now: float) -> None:
        """Open steps of jobs that had the most open ones, and began some of them."""
        records, self._with_unopened = self._with_unopened, {}
        for record in records.values():
            if not record.is_final:
                self.open_steps(record, now)

    def open_due_occurrences(self, unix_ms: int, now: float) -> None:
        """Open the first steps of the occurrences that are due."""
        for record in self.jobs.values():
            if record.spec.repeats and not record.is_final:
                due = openings.find_due(record, unix_ms)
                if due > record.due:
                    record.due = due
                    self.open_steps(record, now)

    def enqueue(self, step_run: state.StepRun) -> None:
        """Queue a step that has waiting tasks for planning."""
        if step_run.waiting:
            step_run.blocked_version = -1
            self.ready[step_run.id] = step_run

    def cancel(self, job_id: str, now: float) -> state.JobRecord | None:
        """Cancel a job, unless it has ended; return its record if it is known."""
        record = self.jobs.get(job_id)
        if record is not None and not record.is_final:
            self.finish(record, state.JobState.CANCELLED, now)
        return record

    def finish(
        self, record: state.JobRecord, outcome: state.JobState, now: float
    ) -> None:
        """Set the outcome of a job and stop its running tasks."""
        record.state = outcome
        record.ended_at = now
        self.dirty[record.spec.id] = record
        self._stop_all(record)
        structured.decide(
            log,
            "job_ended",
            job=record.spec.id,
            outcome=outcome.value,
            age_s=round(now - record.accepted_at, 3),
        )

    def _stop_all(self, record: state.JobRecord) -> None:
        """Stop the tasks of a job that has ended, and drop what does not run."""
        for step_run in list(record.steps.values()):
            self.ready.pop(step_run.id, None)
            for task in list(step_run.tasks.known()):
                self.stop(step_run, task, stop_causes.StopCause.JOB_ENDED)
                if not task.worker:
                    step_run.tasks.forget(task.index)
            self._forget_idle(step_run)

    @staticmethod
    def _forget_idle(step_run: state.StepRun) -> None:
        """Drop a step of an ended job unless some of it runs."""
        if not step_run.tasks.known():
            step_run.job.steps.forget((step_run.occurrence, step_run.number))

    def stop(
        self, step_run: state.StepRun, task: state.Task, cause: stop_causes.StopCause
    ) -> None:
        """Queue an order to stop a task, if it is or may be running."""
        if task.phase in (state.TaskPhase.RUNNING, state.TaskPhase.IN_DOUBT):
            task.phase = state.TaskPhase.STOPPING
            task.stop_cause = cause
            task.confirmed_at = float("inf")
            self.stops.append(
                Stop(task.worker, step_run.task_id(task.index), task.run, cause)
            )

    def find_expired_jobs(self, now: float) -> list[str]:
        """Return the IDs of ended jobs whose retention time is over."""
        return [
            job_id
            for job_id, record in self.jobs.items()
            if record.is_final
            and record.durable_state is record.state
            and now - record.ended_at > ENDED_JOB_RETENTION_S
        ]

    # Workers

    def register_worker(self, entry: ports.WorkerEntry) -> workers.Worker:
        """Add or update a worker from its directory entry."""
        worker = self.workers.get(entry.id)
        if worker is None:
            worker = self._add_worker(entry)
        worker.entry = entry
        worker.registered = True
        self._forget_pools()
        return worker

    def add_unregistered_worker(self, worker_id: str) -> workers.Worker:
        """Add a worker that restored tasks refer to but that is not registered."""
        entry = ports.WorkerEntry(
            id=worker_id, pool="", address="", zone="", rack="",
            labels=frozenset(), capacity=resources.ZERO,
        )  # fmt: skip
        worker = self._add_worker(entry)
        worker.registered = False
        return worker

    def _add_worker(self, entry: ports.WorkerEntry) -> workers.Worker:
        worker = workers.Worker(entry, lease_expires_at=self.former_leases_end_at)
        self.workers[entry.id] = worker
        return worker

    def is_replaced(self, worker: workers.Worker) -> bool:
        """Return whether a worker that was started later has the address of this one.

        Once another one answers there, this one has ended, with all that it ran.
        """
        address, started_at = worker.entry.address, worker.entry.incarnation
        return bool(address and started_at) and any(
            other.registered
            and other.id != worker.id
            and other.entry.address == address
            and other.entry.incarnation > started_at
            for other in self.workers.values()
        )

    def mark_unregistered(self, worker_id: str) -> None:
        """Mark a worker whose entry is gone; it may still run tasks."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.registered = False
            self._forget_pools()

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker that has no allocations."""
        self.workers.pop(worker_id, None)
        self.speeds.forget(worker_id)
        self._forget_pools()

    def _forget_pools(self) -> None:
        self._pools.clear()
        self._capacity = None

    def capacity(self) -> resources.Resources:
        """Return the capacity of all registered workers."""
        if self._capacity is None:
            self._capacity = workers.total_capacity(self.workers.values())
        return self._capacity

    def pool(self, name: str) -> list[workers.Worker]:
        """Return the registered workers of a pool."""
        found = self._pools.get(name)
        if found is None:
            found = self._pools[name] = [
                worker
                for worker in self.workers.values()
                if worker.registered and worker.entry.pool == name
            ]
        return found

    def _add_allocation(
        self, worker: workers.Worker, step_run: state.StepRun, task: state.Task
    ) -> None:
        worker.allocations[step_run.task_id(task.index)] = workers.Allocation(
            step_run, task
        )
        worker.used = worker.used + step_run.step.occupied()

    def _add_usage(self, step_run: state.StepRun, task: state.Task) -> None:
        worker = self.workers.get(task.worker)
        if worker is None:
            worker = self.add_unregistered_worker(task.worker)
        self._add_allocation(worker, step_run, task)
        step_run.job.allocated += 1
        owner = step_run.job.spec.organisation
        self.used[owner] = self.used[owner] + step_run.step.demand

    def release(self, step_run: state.StepRun, task: state.Task) -> None:
        """Free the resources of a task that certainly no longer runs."""
        worker = self.workers.get(task.worker)
        task_id = step_run.task_id(task.index)
        if worker is not None and worker.allocations.pop(task_id, None) is not None:
            worker.used = worker.used - step_run.step.occupied()
        step_run.job.allocated -= 1
        owner = step_run.job.spec.organisation
        self.used[owner] = self.used[owner] - step_run.step.demand
        task.worker = ""
        step_run.blocked_version = -1  # its own tasks may have been in the way

    # Starts

    def allocate(
        self,
        step_run: state.StepRun,
        task: state.Task,
        worker: workers.Worker,
        run_number: int,
    ) -> None:
        """Allocate resources for a run before it is ordered."""
        task.phase = state.TaskPhase.STARTING
        task.run = run_number
        task.worker, task.incarnation = worker.id, worker.incarnation
        task.confirmed_at = float("inf")
        task.percent = task.sampled_percent = 0
        task.sampled_at = 0.0
        task.resumed = bool(task.checkpoint)
        step_run.waiting.discard(task.index)
        if not step_run.waiting:
            self.ready.pop(step_run.id, None)
        self._add_usage(step_run, task)
        self.dirty[step_run.job.spec.id] = step_run.job
        state.note_begun(step_run)
        if openings.may_open_more(step_run):
            self._with_unopened[step_run.job.spec.id] = step_run.job

    def note_begun(self, record: state.JobRecord) -> None:
        """Record that a worker has told of a run of a job; a planned start is none."""
        if record.state is state.JobState.QUEUED:
            record.state = state.JobState.ACTIVE
            self.begun[record.spec.id] = record

    def confirm_start(
        self, step_run: state.StepRun, task: state.Task, run_number: int, now: float
    ) -> None:
        """Mark a run as running once its worker has confirmed the start."""
        self.note_begun(step_run.job)
        if task.run != run_number or task.phase is not state.TaskPhase.STARTING:
            return
        task.phase = state.TaskPhase.RUNNING
        task.started_at = task.progressed_at = now
        task.confirmed_at = now
        self.stop_unwanted(step_run, task)

    def stop_unwanted(self, step_run: state.StepRun, task: state.Task) -> None:
        """Stop a run whose job has ended or whose gang is incomplete."""
        if step_run.job.is_final:
            self.stop(step_run, task, stop_causes.StopCause.JOB_ENDED)
        elif self.is_gang_broken(step_run, task):
            self.stop(step_run, task, stop_causes.StopCause.GANG_BROKEN)

    @staticmethod
    def is_gang_broken(step_run: state.StepRun, task: state.Task) -> bool:
        """Return whether a member runs without all others of its run."""
        return step_run.step.gang and (
            step_run.tasks.unknown() > 0
            or any(
                other.run != task.run or other.phase is state.TaskPhase.WAITING
                for other in step_run.tasks.known()
            )
        )

    def may_order(self, step_run: state.StepRun, task: state.Task, run: int) -> bool:
        """Return whether a recorded start is still wanted."""
        return not (
            step_run.job.is_final
            or task.run != run
            or task.phase is not state.TaskPhase.STARTING
            or self.is_gang_broken(step_run, task)
        )

    def cancel_start(
        self, step_run: state.StepRun, task: state.Task, run_number: int, now: float
    ) -> None:
        """Requeue a task whose start order certainly has no effect."""
        if task.run != run_number or task.phase is not state.TaskPhase.STARTING:
            return
        ready_at = step_run.ready_at
        self.requeue(step_run, task, now)
        step_run.ready_at = ready_at  # the task has not run since

    def mark_start_ambiguous(
        self, step_run: state.StepRun, task: state.Task, run_number: int
    ) -> None:
        """Stop a run that may or may not have started."""
        if task.run != run_number or task.phase is not state.TaskPhase.STARTING:
            return
        task.phase = state.TaskPhase.IN_DOUBT
        self.stop(step_run, task, stop_causes.StopCause.IN_DOUBT)

    def confirm_stop(self, worker_id: str, task_id: str, run: int, now: float) -> None:
        """Record a confirmed stop; the run ends or never starts."""
        worker = self.workers.get(worker_id)
        allocation = worker.allocations.get(task_id) if worker is not None else None
        if allocation is not None and allocation.task.run == run:
            allocation.task.confirmed_at = min(allocation.task.confirmed_at, now)

    def complete(self, step_run: state.StepRun, task: state.Task) -> None:
        """Mark a task without an allocation as done."""
        task.phase = state.TaskPhase.DONE
        step_run.tasks.complete(task.index)
        step_run.unfinished -= 1
        step_run.waiting.discard(task.index)
        if not step_run.waiting:
            self.ready.pop(step_run.id, None)

    # Requeueing

    def return_to_queue(
        self, step_run: state.StepRun, task: state.Task, now: float
    ) -> None:
        """Set an unallocated task to waiting and stop the other members of its gang."""
        task.phase = state.TaskPhase.WAITING
        task.started_at = task.progressed_at = 0.0
        step_run.waiting.add(task.index)
        if step_run.step.gang:
            for other in list(step_run.tasks.known()):
                self.stop(step_run, other, stop_causes.StopCause.GANG_BROKEN)
        if step_run.job.is_final:
            step_run.tasks.forget(task.index)
            self._forget_idle(step_run)
            return
        step_run.ready_at = now
        self.enqueue(step_run)

    def requeue(self, step_run: state.StepRun, task: state.Task, now: float) -> None:
        """Free the resources of a task and set it to waiting."""
        if task.phase in state.ALLOCATED_PHASES:
            self.release(step_run, task)
        self.return_to_queue(step_run, task, now)
        self.dirty[step_run.job.spec.id] = step_run.job

    def pending(self, queue: str) -> int:
        """Return how many jobs of a queue have not started, recurring jobs excluded."""
        return sum(
            record.spec.queue == queue
            and record.state is state.JobState.QUEUED
            and not record.spec.repeats
            for record in self.jobs.values()
        ) + self.backlog.count_queued(queue)
