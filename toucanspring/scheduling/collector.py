"""Batch the effects of one call into few large ones."""

from __future__ import annotations

from toucanspring import job, wire
from toucanspring.reporting import event_kinds
from toucanspring.scheduling import effects


class Collector:
    """Collect effects until they are taken."""

    def __init__(self) -> None:
        self._starts: dict[str, list[wire.TaskStart]] = {}
        self._stops: dict[tuple[str, str], list[str]] = {}
        self._intents: list[effects.Intent] = []
        self._outcomes: dict[str, job.Outcome] = {}
        self._finished: list[effects.JobFinished] = []
        self._acknowledged: dict[str, list[str]] = {}
        self._others: list[effects.Effect] = []

    def start(self, worker: str, starts: list[wire.TaskStart]) -> None:
        """Start tasks on a worker."""
        self._starts.setdefault(worker, []).extend(starts)

    def stop(self, worker: str, task_id: str, mode: str) -> None:
        """Stop a task on a worker; `mode` is `kill` or `checkpoint`."""
        self._stops.setdefault((worker, mode), []).append(task_id)

    def record_intent(self, intent: effects.Intent) -> None:
        """Write an intent to the log."""
        self._intents.append(intent)

    def record_outcome(self, task_id: str, outcome: job.Outcome) -> None:
        """Write a task outcome to the log."""
        self._outcomes[task_id] = outcome

    def finish_job(self, job_id: str, outcome: job.Outcome) -> None:
        """Report that a job has ended."""
        self._finished.append(effects.JobFinished(job_id, outcome))

    def acknowledge(self, worker: str, task_id: str) -> None:
        """Allow a worker to discard a finished task."""
        self._acknowledged.setdefault(worker, []).append(task_id)

    def publish(self, event: event_kinds.Event) -> None:
        """Publish an event for operators."""
        self._others.append(effects.Publish(event))

    def add(self, effect: effects.Effect) -> None:
        """Add any other effect."""
        self._others.append(effect)

    def take(self) -> list[effects.Effect]:
        """Return and clear the collected effects.

        Outcomes precede the acknowledgements that depend on them, and stops precede
        the starts that use the capacity they free.
        """
        taken: list[effects.Effect] = []
        if self._intents:
            taken.append(effects.RecordIntents(self._intents))
            self._intents = []
        if self._outcomes:
            taken.append(effects.RecordOutcomes(self._outcomes))
            self._outcomes = {}
        if self._finished:
            taken += self._finished
            self._finished = []
        if self._acknowledged:
            taken += [
                effects.Acknowledge(worker, task_ids)
                for worker, task_ids in self._acknowledged.items()
            ]
            self._acknowledged = {}
        if self._stops:
            taken += [
                effects.StopTasks(worker, task_ids, mode)
                for (worker, mode), task_ids in self._stops.items()
            ]
            self._stops = {}
        if self._starts:
            taken += [
                effects.StartTasks(worker, tasks)
                for worker, tasks in self._starts.items()
            ]
            self._starts = {}
        if self._others:
            taken += self._others
            self._others = []
        return taken
