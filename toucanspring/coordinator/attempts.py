"""Jobs that fail, since one of their tasks has failed as often as its queue allows."""

from __future__ import annotations

import logbook

from toucanspring import log as structured
from toucanspring.coordinator import cell_state, state

log = logbook.Logger(__name__)


def fail_exhausted(cell: cell_state.CellState, now: float) -> None:
    """Fail the jobs of which a waiting task has no attempts left.

    A job whose queue is not known is left as it is: so is the number of its attempts.
    """
    for step_run in list(cell.ready.values()):
        if not step_run.most_failures or step_run.step.long_running:
            continue
        queue = step_run.job.queue
        if queue is None or step_run.job.is_final:
            continue
        task = _find_exhausted(step_run, queue.max_attempts)
        if task is None:
            continue
        structured.decide(
            log, "attempts_exhausted", task=step_run.task_id(task.index), run=task.run,
            failures=task.failures, attempts=queue.max_attempts,
            configuration=cell.catalogue.version,
        )  # fmt: skip
        cell.finish(step_run.job, state.JobState.FAILED, now)


def _find_exhausted(step_run: state.StepRun, max_attempts: int) -> state.Task | None:
    if step_run.most_failures < max_attempts:
        return None
    exhausted = [
        task
        for task in step_run.tasks.known()
        if task.failures >= max_attempts and task.index in step_run.waiting
    ]
    return min(exhausted, key=lambda task: task.index, default=None)
