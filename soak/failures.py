"""Failed runs of tasks, and the attempts that the configurations allow."""

from __future__ import annotations

import itertools
import math

from standins import lease_workers
from toucanspring.coordinator import job_specs

# Beyond the age of a view that starts tasks, and of an order that is executed.
MAX_VIEW_AGE_S = 12.0


class AttemptsHistory:
    """The attempts of each queue in all configurations; times are monotonic seconds."""

    def __init__(self) -> None:
        self._written: list[tuple[float, dict[str, int]]] = []

    def record(self, attempts: dict[str, int], now: float) -> None:
        """Record a configuration that is about to be written."""
        self._written.append((now, dict(attempts)))

    def find(self, queue: str, now: float, since: float = math.inf) -> set[int | None]:
        """Return the attempts that may be in force; None if the queue is removed.

        With `since`, also those that may have been at any time since then.
        """
        ends = [at for at, _ in self._written[1:]]
        start = min(since, now) - MAX_VIEW_AGE_S
        return {
            attempts.get(queue)
            for end, (_, attempts) in itertools.zip_longest(
                ends, self._written, fillvalue=math.inf
            )
            if end >= start
        }

    def is_removed(self, queue: str) -> bool:
        """Return whether the newest configuration lacks a queue."""
        return bool(self._written) and queue not in self._written[-1][1]


def count_noted(
    workers: lease_workers.LeaseWorkers, job: job_specs.Job, task: str, run: int
) -> int:
    """Return how many runs of a task, before one, were noted as failed."""
    noted = _collect(workers.noted_failures, job, task)
    return sum(each < run for each in noted)


def count_most_failed(workers: lease_workers.LeaseWorkers, job: job_specs.Job) -> int:
    """Return the failed runs of the task of a job that failed most often."""
    tasks = (
        f"{job.id}.0.{number}.{index}"
        for number, step in enumerate(job.steps)
        for index in range(step.count)
    )
    return max(len(_collect(workers.failed_runs, job, task)) for task in tasks)


def _collect(runs: dict[str, set[int]], job: job_specs.Job, task: str) -> set[int]:
    """Return the runs of a task; of all members, if it belongs to a gang."""
    prefix = task.rpartition(".")[0]
    step = job.steps[int(prefix.rpartition(".")[2])]
    if not step.gang:
        return runs.get(task, set())
    members = (runs.get(f"{prefix}.{index}", set()) for index in range(step.count))
    return set().union(*members)
