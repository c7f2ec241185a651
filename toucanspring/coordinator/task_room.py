"""How many more tasks may start so that a cancellation stops all of them in time.

Work of which nothing runs starts beside free capacity however many tasks there are, and
so does each task that lasts.
"""

from __future__ import annotations

import math

from toucanspring.coordinator import (
    cell_state,
    placement,
    state,
    stop_limits,
    workers,
)

# Until a step that waits for tasks to end is looked at again.
RETRY_S = 0.25


class TaskRoom:
    """Count of the tasks on all workers in a planning round, and its limits."""

    def __init__(self, cell: cell_state.CellState) -> None:
        self.limits = stop_limits.TaskLimits()
        self._cell = cell
        self._tasks = 0

    def begin_round(self) -> None:
        """Count the tasks that are on the workers."""
        self._tasks = sum(each.count_tasks() for each in self._cell.workers.values())

    def record_start(self) -> None:
        """Count a task that was placed in this round."""
        self._tasks += 1

    def has_any(self, step_run: state.StepRun) -> bool:
        """Return whether a task of a step, or the whole gang, may start on any worker.

        Costs little for each step and round.
        """
        count = step_run.step.count if step_run.step.gang else 1
        return is_exempt(step_run) or self._tasks + count <= self.limits.in_all

    def max_per_worker(self, step_run: state.StepRun) -> float:
        """Return how many tasks a worker may have with a further one of a step."""
        return math.inf if is_exempt(step_run) else self.limits.of_worker

    def find_max_with_gang(
        self,
        step_run: state.StepRun,
        eligible: list[workers.Worker],
        preferred: float,
    ) -> float:
        """Return how many tasks a worker may have with members of a gang.

        They are `preferred` or, if the gang doesn't fit so, as few as possible. The
        result is 0 if the gang has to wait for other tasks to end.
        """
        if math.isinf(preferred):
            return math.inf
        level = placement.find_level(step_run, eligible)
        if level is None:
            return math.inf  # no limit is in its way
        if level > self.limits.of_worker and not is_exempt(step_run):
            return 0
        return max(preferred, level)


def is_exempt(step_run: state.StepRun) -> bool:
    """Return whether tasks of a step may not wait for other tasks to end."""
    return step_run.step.long_running or not step_run.job.allocated
