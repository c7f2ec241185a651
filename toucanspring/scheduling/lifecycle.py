"""State of one partition and the state transitions of its tasks."""

from __future__ import annotations

import collections
import heapq
import random
from collections.abc import Iterable
from typing import Protocol

from toucanspring import job, resources, wire
from toucanspring.policy import fair_share
from toucanspring.reporting import event_kinds
from toucanspring.scheduling import (
    allowance,
    capacity_report,
    collector,
    decisions,
    effects,
    estimate,
    placement,
    quarantine,
    reservation,
    task_table,
    waiting,
    worker_state,
)

RETRY_FIRST_S = 1.0
RETRY_GROWTH = 2.0
RETRY_MAX_S = 60.0
# Failures on workers that were later quarantined do not count as retries. This limit
# ends a task that has no other failures.
MAX_UNCOUNTED_FAILURES = 10
# A task that was lost with its worker more often probably caused the losses.
MAX_LOSSES = 5
CANCELLED = "cancelled"
NOT_RUN_CANCELLED = job.Outcome(job.State.NOT_RUN, CANCELLED)
FAILED_CANCELLED = job.Outcome(job.State.FAILED, CANCELLED)


class GangHandler(Protocol):
    """Handling of a gang whose member ends or has to be requeued."""

    def member_ended(
        self,
        core: Lifecycle,
        record: task_table.JobRecord,
        outcome: job.Outcome,
        now: float,
    ) -> None:
        """Handle a member that became final before the other members."""

    def restart(
        self,
        core: Lifecycle,
        record: task_table.JobRecord,
        reason: str,
        now: float,
        delay: float,
    ) -> None:
        """Stop all members and restart them together after `delay` seconds."""


class Lifecycle:
    """Queue, start and finish the tasks of one partition."""

    def __init__(self, rng: random.Random, gangs: GangHandler) -> None:
        self._gangs = gangs
        self.rng = rng
        self.table = task_table.TaskTable()
        self.effects = collector.Collector()
        self.index = placement.WorkerIndex(rng)
        self.shares = fair_share.ShareTracker([])
        self.allowances = allowance.AllowanceTracker()
        self.queue = waiting.WaitingQueue()
        self.estimator = estimate.Estimator()
        self.quarantine = quarantine.Quarantine()
        self.decisions = decisions.Decisions()
        self.workers: dict[str, worker_state.WorkerState] = {}
        self.tasks_on: dict[str, dict[str, task_table.LiveTask]] = {}
        # All workers that were ever attached, including those that are gone.
        self.known_workers: dict[str, effects.WorkerFacts] = {}
        # Capacity of workers that were lost before they attached here.
        self.unseen_workers: dict[str, resources.Resources] = {}
        # Such workers of unknown capacity, and until when they may still attach.
        self.unlisted_until: dict[str, float] = {}
        self.new_worker_at = 0.0
        # Jobs whose size is checked again once all workers are known.
        self.too_large: set[str] = set()
        # Jobs that the known configuration does not allow, and when they were added.
        self.unjudged: dict[str, float] = {}
        self.teams: dict[str, fair_share.Team] = {}
        self.zones_out: frozenset[str] = frozenset()
        # Tasks stopped in each zone that is out of service, until it returns.
        self.evacuated_tasks: collections.Counter[str] = collections.Counter()
        # Capacity of workers that may still run tasks of the previous owner.
        self.expected_workers: dict[str, resources.Resources | None] = {}
        self.unconfirmed_jobs: set[str] = set()  # may have tasks on expected workers
        self.reservations: dict[str, reservation.Reservation] = {}
        self.paused: set[str] = set()  # workers that refused a start
        # Workers that get no new tasks because they are drained for a gang of another
        # partition or are being moved there.
        self.cordoned_workers: set[str] = set()
        # The gang that receives workers from other partitions, and those received.
        self.collecting_gang = ""
        self.collected_workers: frozenset[str] = frozenset()
        # Workers of other partitions, or None until they are known.
        self.other_partition_workers: (
            dict[str, capacity_report.ListedWorker] | None
        ) = {}
        self.leaving: set[str] = set()  # workers for which `leaving` is set
        self.retries: list[tuple[float, int, str, int]] = []  # heap by due time
        self._sequence = 0
        self.placement_needed = True  # waiting tasks may have become placeable

    # Workers

    def update_schedulable(self, worker: str, now: float) -> None:
        """Recompute whether new tasks may be placed on a worker."""
        state = self.workers.get(worker)
        if state is None:
            return
        schedulable = (
            state.attached
            and not state.leaving
            and state.facts.availability_zone not in self.zones_out
            and not state.overused
            and now >= state.paused_until
            and worker not in self.cordoned_workers
            and self.quarantine.eligibility(worker, now)
            is not quarantine.Eligibility.NO
        )
        if schedulable != state.schedulable:
            state.schedulable = schedulable
            self.index.set_schedulable(worker, schedulable)
            self.placement_needed = True

    def end_pauses(self, now: float) -> None:
        """Reactivate workers whose pause has ended or whose probe is due."""
        for worker in [*self.paused, *self.quarantine.quarantined()]:
            state = self.workers.get(worker)
            if state is None or now >= state.paused_until:
                self.paused.discard(worker)
                self.update_schedulable(worker, now)

    def running_teams(self) -> set[str]:
        """Return the teams that have tasks on workers."""
        return {
            team
            for team in self.allowances.teams()
            if self.allowances.used(team) != resources.ZERO
        }

    # Jobs

    def dependency_finished(
        self, job_id: str, outcome: job.Outcome, now: float
    ) -> None:
        """Queue or end the jobs that depend on a finished job."""
        finished = [(job_id, outcome)]
        while finished:
            job_id, outcome = finished.pop()
            for record in self.table.unblock(job_id):
                if outcome.state is not job.State.DONE:
                    reason = dependency_failed(job_id, outcome)
                    self._set_waiting_final(record, reason)
                    if record.complete():
                        finished.append((record.spec.id, self._close_job(record)))
                elif not record.blocked_on:
                    self.enqueue(record, now)

    def enqueue(
        self,
        record: task_table.JobRecord,
        now: float,
        indices: Iterable[int] | None = None,
    ) -> None:
        """Queue tasks of a job, by default all that are ready to start."""
        if indices is None:
            unconfirmed, delayed = record.unconfirmed, record.delayed
            indices = (
                index
                for index in record.waiting_indices()
                if index not in unconfirmed and index not in delayed
            )
        self.queue.add(record.spec, indices, now, self._latest_start(record))
        self.placement_needed = True

    def end_waiting(
        self, record: task_table.JobRecord, outcome: job.Outcome, now: float
    ) -> None:
        """Give all waiting tasks of a job the same final outcome."""
        self._set_waiting_final(record, outcome)
        if record.complete() and record.outcome is None:
            job_outcome = self._close_job(record)
            self.dependency_finished(record.spec.id, job_outcome, now)

    def cancel(self, record: task_table.JobRecord, now: float) -> None:
        """End waiting tasks as not run and stop running tasks."""
        if record.outcome is not None or record.cancelled:
            return
        record.cancelled = True
        for task in list(record.live.values()):
            if task.state is job.State.INTENDED:
                self.release_task(record, task, now)  # the start was not sent
            else:
                self.stop(task, CANCELLED, "kill")
        self.end_waiting(record, NOT_RUN_CANCELLED, now)

    def _set_waiting_final(
        self, record: task_table.JobRecord, outcome: job.Outcome
    ) -> None:
        """Set the outcome of waiting tasks, except those that may run on a worker."""
        self.queue.remove(record.spec.id)
        record.delayed.clear()
        job_id, record_outcome = record.spec.id, self.effects.record_outcome
        for index in list(record.waiting_indices()):
            if index in record.unconfirmed:
                continue
            final = outcome
            if index in record.ran and outcome.state is job.State.NOT_RUN:
                # NOT_RUN would be wrong because an earlier attempt ran.
                final = job.Outcome(job.State.FAILED, outcome.reason)
            record.set_final(index, final)
            record_outcome(job.task_id(job_id, index), final)

    def _close_job(self, record: task_table.JobRecord) -> job.Outcome:
        outcome = self.table.finish_job(record)
        self.queue.remove(record.spec.id)
        self.effects.finish_job(record.spec.id, outcome)
        return outcome

    def _latest_start(self, record: task_table.JobRecord) -> float:
        return self.estimator.latest_start(record.spec, record.accepted_at)

    # Tasks

    def demand(self, spec: job.JobSpec) -> resources.Resources:
        """Return the resources to allocate to a task.

        The learned demand is used unless no worker or team ceiling could ever fit it.
        """
        learned = self.estimator.demand(spec)
        if learned != spec.demand:
            together = spec.task_count if spec.kind is job.Kind.GANG else 1
            team = self.teams.get(spec.team)
            if not self.index.can_ever_fit(learned, together) or (
                team is not None and not learned.times(together).fits(team.ceiling)
            ):
                return spec.demand
        return learned

    def start(
        self,
        record: task_table.JobRecord,
        worker: str,
        indices: list[int],
        demand: resources.Resources,
        now: float,
    ) -> None:
        """Start tasks of a job on a worker, or record intents to start them."""
        spec = record.spec
        team, idempotent = spec.team, spec.idempotent
        incarnation = self.workers[worker].facts.incarnation
        state = job.State.STARTING if idempotent else job.State.INTENDED
        expected_end = now + self.estimator.run_seconds(spec)
        on_worker = self.tasks_on[worker]
        starts = []
        for index in indices:
            task = task_table.LiveTask(
                f"{spec.id}/{index}",
                spec.id,
                index,
                record.next_attempt(index),
                state,
                worker,
                now,
                0,
                record.progress.get(index, b"") if record.progress else b"",
                demand,
                team,
                incarnation,
                expected_end,
            )
            self.table.open_task(record, task)
            on_worker[task.id] = task
            if idempotent:
                starts.append(self.start_message(record, task))
            else:
                self.effects.record_intent(
                    effects.Intent(task.id, task.attempt, worker, incarnation, demand)
                )
        if starts:
            self.effects.start(worker, starts)
        total = demand.times(len(indices)) if len(indices) > 1 else demand
        self.index.allocate(worker, total)
        self.allowances.use(team, total)
        self.shares.started(team, total, now)
        if self.quarantine.eligibility(worker, now) is quarantine.Eligibility.PROBE:
            self.quarantine.probe_started(worker, now)
            self.effects.publish(event_kinds.WorkerProbed(worker))
            self.update_schedulable(worker, now)

    @staticmethod
    def start_message(
        record: task_table.JobRecord, task: task_table.LiveTask
    ) -> wire.TaskStart:
        """Return the start message of an attempt."""
        return wire.TaskStart(
            task.id,
            task.attempt,
            task.demand,
            task.team,
            record.spec.idempotent,
            record.spec.payload,
            task.progress,
        )

    def adopt(
        self, record: task_table.JobRecord, task: task_table.LiveTask, now: float
    ) -> None:
        """Account for a task that runs, or may run, on its worker already."""
        record.unconfirmed.discard(task.index)
        record.attempts[task.index] = max(
            record.attempts.get(task.index, 0), task.attempt
        )
        self.table.open_task(record, task)
        self.tasks_on.setdefault(task.worker, {})[task.id] = task
        if task.worker in self.index:
            self.index.allocate(task.worker, task.demand)
        self.allowances.use(task.team, task.demand)
        self.shares.started(task.team, task.demand, now)

    def resize(
        self, task: task_table.LiveTask, demand: resources.Resources, now: float
    ) -> None:
        """Change the resources that are allocated to a task."""
        self.index.release(task.worker, task.demand)
        self.index.allocate(task.worker, demand)
        self.allowances.free(task.team, task.demand)
        self.allowances.use(task.team, demand)
        self.shares.ended(task.team, task.demand, now)
        self.shares.started(task.team, demand, now)
        task.demand = demand

    def stop(self, task: task_table.LiveTask, reason: str, mode: str) -> None:
        """Ask the worker to stop a task; the worker's report ends the attempt.

        A detached worker is asked once it attaches again.
        """
        task.stop_reason, task.stop_mode = reason, mode
        state = self.workers.get(task.worker)
        if state is not None and state.attached:
            self.effects.stop(task.worker, task.id, mode)

    def release_task(
        self, record: task_table.JobRecord, task: task_table.LiveTask, now: float
    ) -> None:
        """Release the resources of a task, which is waiting afterwards."""
        self.table.close_task(record, task)
        on_worker = self.tasks_on.get(task.worker)
        if on_worker is not None:
            on_worker.pop(task.id, None)
        self.index.release(task.worker, task.demand)
        self.allowances.free(task.team, task.demand)
        self.shares.ended(task.team, task.demand, now)
        self.placement_needed = True

    def finalize(
        self,
        record: task_table.JobRecord,
        index: int,
        outcome: job.Outcome,
        now: float,
    ) -> None:
        """Record the final outcome of a task that is on no worker."""
        record.set_final(index, outcome)
        self.effects.record_outcome(f"{record.spec.id}/{index}", outcome)
        if record.complete():
            if record.outcome is None:
                job_outcome = self._close_job(record)
                self.dependency_finished(record.spec.id, job_outcome, now)
        elif record.spec.kind is job.Kind.GANG:
            self._gangs.member_ended(self, record, outcome, now)

    def requeue(
        self,
        record: task_table.JobRecord,
        index: int,
        now: float,
        delay: float = 0.0,
        reason: str = "",
    ) -> None:
        """Requeue a task that is on no worker, after `delay` seconds."""
        if record.cancelled:
            ran = index in record.ran
            outcome = FAILED_CANCELLED if ran else NOT_RUN_CANCELLED
            self.finalize(record, index, outcome, now)
        elif record.spec.kind is job.Kind.GANG:
            self._gangs.restart(self, record, reason, now, delay)
        elif delay > 0:
            record.delayed.add(index)
            self.schedule_retry(record, index, now + delay)
        else:
            self.queue.requeue(
                record.spec, index, now, record.accepted_at, self._latest_start(record)
            )
            self.placement_needed = True

    def schedule_retry(
        self, record: task_table.JobRecord, index: int, due: float
    ) -> None:
        """Requeue a task at `due`; index -1 stands for all tasks of a gang."""
        self._sequence += 1
        heapq.heappush(self.retries, (due, self._sequence, record.spec.id, index))

    def queue_due_retries(self, now: float) -> None:
        """Requeue the tasks whose retry delay has ended."""
        while self.retries and self.retries[0][0] <= now:
            _, _, job_id, index = heapq.heappop(self.retries)
            record = self.table.jobs.get(job_id)
            if record is None or not record.delayed:
                continue
            if index < 0:
                record.delayed.clear()
                self.enqueue(record, now)
            elif index in record.delayed:
                record.delayed.discard(index)
                self.requeue(record, index, now)


def dependency_failed(job_id: str, outcome: job.Outcome) -> job.Outcome:
    """Return the outcome of a job whose dependency did not succeed."""
    reason = f"dependency {job_id} ended {outcome.state.value}"
    if outcome.reason:
        reason = f"{reason}: {outcome.reason}"
    return job.Outcome(job.State.NOT_RUN, reason)
