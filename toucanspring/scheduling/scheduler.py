"""State machine of one partition; see `effects` for its interface."""

from __future__ import annotations

import random
import types
from collections.abc import Iterable, Mapping

from toucanspring import errors, job, resources, wire
from toucanspring.owners import log_records, recovery
from toucanspring.policy import fair_share
from toucanspring.reporting import event_kinds
from toucanspring.scheduling import (
    admission,
    attempt,
    dispatch,
    effects,
    gang,
    lifecycle,
    move_planner,
    overuse,
    preemption,
    spreading,
    summary,
)

TIMED_CHECKS_INTERVAL_S = 0.1  # for pauses, probes, ceilings and preemption


class Scheduler:
    """Schedule the jobs of one partition without I/O or reading a clock."""

    def __init__(
        self,
        partition: int,
        rng: random.Random,
        spread_move_s: float = spreading.MOVE_INTERVAL_S,
    ) -> None:
        self.partition = partition
        self._core = lifecycle.Lifecycle(rng, gang)
        self._dispatcher = dispatch.Dispatcher(self._core)
        self._spreader = spreading.Spreader(self._core, spread_move_s)
        self.move_planner = move_planner.MovePlanner(self._core, self._dispatcher)
        self._next_checks = 0.0
        # Blocked jobs that were tried in the current pass of preemption.
        self._preemption_attempts: set[str] = set()

    def submit(self, specs: list[job.JobSpec], now: float) -> list[effects.Effect]:
        """Queue durable jobs; known IDs are ignored."""
        for spec in specs:
            admission.submit(self._core, spec, now)
        return self._core.effects.take()

    def restore(
        self,
        specs: Iterable[job.JobSpec],
        finished: Mapping[str, job.Outcome],
        intents: Mapping[str, effects.Intent],
        cancelled: Iterable[str],
        expected_workers: Mapping[str, resources.Resources] | Iterable[str],
        now: float,
    ) -> list[effects.Effect]:
        """Restore the state after a takeover.

        If `expected_workers` is a mapping, it gives the capacity of each worker.
        """
        expected: dict[str, resources.Resources | None]
        if isinstance(expected_workers, Mapping):
            expected = dict(expected_workers)
        else:
            expected = dict.fromkeys(expected_workers)
        recovery.restore(self._core, specs, finished, intents, cancelled, expected, now)
        return self._core.effects.take()

    def cancel(self, job_ids: Iterable[str], now: float) -> list[effects.Effect]:
        """Cancel jobs; unknown and finished jobs are ignored."""
        for job_id in job_ids:
            record = self._core.table.jobs.get(job_id)
            if record is not None:
                self._core.cancel(record, now)
        return self._core.effects.take()

    def worker_attached(
        self,
        facts: effects.WorkerFacts,
        running: list[wire.RunningTask],
        finished: list[wire.FinishedTask],
        now: float,
    ) -> list[effects.Effect]:
        """Add a worker, or reconcile its tasks after it has reconnected."""
        recovery.attach(self._core, facts, running, finished, now)
        return self._core.effects.take()

    def worker_report(
        self,
        worker: str,
        finished: list[wire.FinishedTask],
        usage: Mapping[str, resources.Resources],
        now: float,
    ) -> list[effects.Effect]:
        """Apply ended attempts and resource usage; repeated reports have no effect."""
        attempt.report(self._core, worker, finished, now)
        overuse.apply_usage(self._core, worker, usage, now)
        return self._core.effects.take()

    def starts_answered(
        self,
        worker: str,
        accepted: list[str],
        refused: list[tuple[str, str]],
        now: float,
    ) -> list[effects.Effect]:
        """Mark accepted starts as running and requeue refused ones."""
        attempt.starts_accepted(self._core, worker, accepted)
        attempt.starts_refused(self._core, worker, refused, now)
        return self._core.effects.take()

    def starts_unanswered(
        self,
        worker: str,
        task_ids: list[str],  # noqa: ARG002
        now: float,
    ) -> list[effects.Effect]:
        """Stop placing tasks on a disconnected worker until it attaches again.

        Its tasks stay assigned to it.
        """
        state = self._core.workers.get(worker)
        if state is not None:
            state.attached = False
            self._core.update_schedulable(worker, now)
        return self._core.effects.take()

    def worker_lost(self, worker: str, now: float) -> list[effects.Effect]:
        """End the attempts on a worker whose lease and grace have expired.

        A worker that was moved to another partition has no attempts.
        """
        recovery.handle_lost_worker(self._core, worker, now)
        return self._core.effects.take()

    def expect_other_partitions(self, expected: bool = True) -> None:
        """Reject no job for its size until other partitions' workers are known.

        If `expected` is false, only the workers of this partition count.
        """
        self._core.other_partition_workers = None if expected else {}

    def adopt(self, ended: Iterable[log_records.EndedJob], now: float) -> None:
        """Add jobs that ended in another partition; known jobs are ignored."""
        recovery.adopt(self._core, ended, now)

    def worker_leaving(
        self, worker: str, leaving: bool, now: float
    ) -> list[effects.Effect]:
        """Place no tasks on a worker while it is leaving."""
        state = self._core.workers.get(worker)
        if state is not None:
            state.leaving = leaving
            (self._core.leaving.add if leaving else self._core.leaving.discard)(worker)
            self._core.update_schedulable(worker, now)
        return self._core.effects.take()

    def set_availability_zones(
        self, out: frozenset[str], now: float
    ) -> list[effects.Effect]:
        """Set the availability zones that are out of service and evacuate them."""
        previous, self._core.zones_out = self._core.zones_out, out
        self._publish_zone_events(previous, out)
        for worker in self._core.workers:
            self._core.update_schedulable(worker, now)
        preemption.drain_workers(self._core, now)
        return self._core.effects.take()

    def _publish_zone_events(
        self, previous: frozenset[str], out: frozenset[str]
    ) -> None:
        core = self._core
        if not core.workers:
            return  # no workers are known, as after a takeover
        for zone in sorted(out - previous):
            task_counts = [
                len(core.tasks_on.get(worker, ()))
                for worker, state in core.workers.items()
                if state.facts.availability_zone == zone
            ]
            core.effects.publish(
                event_kinds.ZoneTakenOut(
                    zone, self.partition, len(task_counts), sum(task_counts)
                )
            )
        for zone in sorted(previous - out):
            left = core.evacuated_tasks.pop(zone, 0)
            core.effects.publish(event_kinds.ZoneReturned(zone, self.partition, left))

    def count_tasks(self, worker: str) -> int:
        """Return the number of tasks that may be on a worker."""
        return len(self._core.tasks_on.get(worker, ()))

    def set_teams(
        self,
        teams: Mapping[str, fair_share.Team],
        now: float,  # noqa: ARG002
    ) -> list[effects.Effect]:
        """Set the shares and ceilings of all teams."""
        core = self._core
        core.teams = dict(teams)
        core.shares.set_teams(teams.values())
        core.allowances.set_ceilings(
            {name: team.ceiling for name, team in teams.items()}
        )
        core.placement_needed = True
        return core.effects.take()

    def set_allowances(
        self,
        held: Mapping[str, resources.Resources],
        now: float,
        limits: Mapping[str, resources.Resources] = types.MappingProxyType({}),
    ) -> list[effects.Effect]:
        """Set the part of each team's ceiling that this partition holds.

        `limits` bounds the parts of ceilings that other partitions are contending for.
        """
        self._core.allowances.set_held(held, now)
        self._core.allowances.set_limits(limits)
        self._core.placement_needed = True
        preemption.enforce_ceilings(self._core, now)
        return self._core.effects.take()

    def intents_durable(
        self, intents: list[effects.Intent], now: float
    ) -> list[effects.Effect]:
        """Send the starts whose intents have been written to the log."""
        attempt.intents_durable(self._core, intents, now)
        return self._core.effects.take()

    def intents_failed(
        self, intents: list[effects.Intent], now: float
    ) -> list[effects.Effect]:
        """Requeue tasks whose intents could not be written."""
        attempt.intents_failed(self._core, intents, now)
        return self._core.effects.take()

    def dependency_finished(
        self, job_id: str, outcome: job.Outcome, now: float
    ) -> list[effects.Effect]:
        """Queue or end the jobs that depend on a job of another partition."""
        self._core.dependency_finished(job_id, outcome, now)
        return self._core.effects.take()

    def tick(self, now: float) -> list[effects.Effect]:
        """Place waiting tasks and run the timed checks that are due.

        Called only while starts are allowed, which needs a recent configuration.
        """
        core = self._core
        core.queue_due_retries(now)
        if checks_due := now >= self._next_checks:
            self._next_checks = now + TIMED_CHECKS_INTERVAL_S
            core.end_pauses(now)
            admission.judge_limits(core, now)
            admission.reject_too_large(core, now)
            preemption.enforce_ceilings(core, now)
            preemption.drain_workers(core, now)
            blocked = self._dispatcher.blocked.values()
            preemption.preempt(core, blocked, self._preemption_attempts, now)
            self._spreader.step(now)
        self._dispatcher.place(now)
        for effect in core.allowances.step(now, checks_due):
            core.effects.add(effect)
        return core.effects.take()

    def is_quiescent(self) -> bool:
        """Return whether no action becomes due through the passage of time alone."""
        core = self._core
        return not (
            len(core.queue)
            or core.retries
            or core.reservations
            or core.too_large
            or core.unjudged
            or core.expected_workers
            or core.paused
            or core.leaving
            or core.zones_out
            or core.quarantine.quarantined()
            or core.allowances.has_timer()
        )

    def lookup(self, job_id: str) -> effects.JobStatus | errors.NotFound:
        """Return the number of tasks by state and the outcome of a job."""
        return self._core.table.lookup(job_id)

    def free_by_worker(self) -> dict[str, resources.Resources]:
        """Return the free resources of each attached worker."""
        core = self._core
        return {
            worker: core.index.free(worker)
            for worker, state in core.workers.items()
            if state.attached
        }

    def summary(self, now: float) -> summary.Summary:
        """Return capacity, usage by team and waiting tasks, for reports."""
        return summary.summarise(self._core, now)

    def explain(self, job_id: str) -> effects.Explanation | errors.NotFound:
        """Explain what a job waits for, or where its tasks were placed."""
        status = self.lookup(job_id)
        if isinstance(status, errors.NotFound):
            return status
        record = self._core.table.jobs[job_id]
        decision = self._core.decisions.find(job_id)
        waits_for = list(decision.waits_for)
        if record.blocked_on:
            waits_for = [f"job {other}" for other in sorted(record.blocked_on)]
        elif record.unconfirmed:
            waits_for = [
                f"worker {name}" for name in sorted(self._core.expected_workers)
            ]
        elif job_id in self._core.unjudged:
            waits_for = [admission.limit_reason(self._core, record.spec)]
        elif record.delayed:
            waits_for = ["retry delay"]
        elif self._core.collecting_gang == job_id:
            waits_for = ["workers of other partitions"]
        state = "waiting"
        if status.outcome is not None:
            state, waits_for = status.outcome.state.value, []
        elif record.live:
            state = "running"
        return effects.Explanation(
            job_id,
            state,
            decision.rank,
            waits_for,
            decision.rejected,
            decision.placements,
        )
