"""Running tasks that may be stopped so that more urgent work can start."""

from __future__ import annotations

import logbook

from toucanspring import log as structured
from toucanspring.coordinator import cell_state, state, stop_causes, workers

log = logbook.Logger(__name__)

# For each task; a preemption costs up to a second of the task's allocation.
MAX_PREEMPTIONS = 2
# A preempted task without checkpoints loses its work; tasks that have run for longer
# than this are not preempted.
MAX_LOST_WORK_S = 0.5
# A task that is nearly complete ends about as soon as a stop would take.
MAX_PERCENT = 80


def find_victims(
    worker: workers.Worker, priority: int, now: float
) -> list[workers.Allocation]:
    """Return the tasks that may be preempted, those already stopping first."""
    found: list[tuple[float, workers.Allocation]] = []
    for allocation in worker.allocations.values():
        if allocation.task.phase is state.TaskPhase.STOPPING:
            found.append((-1.0, allocation))
            continue
        own_priority = _find_priority(allocation)
        if own_priority is None or own_priority <= priority:
            continue
        lost_s = now - allocation.task.started_at
        if allocation.step.step.checkpointing:
            lost_s = 0.0
        if lost_s <= MAX_LOST_WORK_S:
            found.append((lost_s, allocation))
    found.sort(key=lambda each: each[0])
    return [allocation for _, allocation in found]


def preempt(
    cell: cell_state.CellState,
    allocation: workers.Allocation,
    step_run: state.StepRun,
    cause: stop_causes.StopCause,
) -> None:
    """Stop a task for a more urgent step; it goes on from its checkpoint, if any."""
    task = allocation.task
    structured.decide(
        log, "task_preempted", task=allocation.step.task_id(task.index),
        worker=task.worker, percent=task.percent, step=step_run.id,
    )  # fmt: skip
    task.preemptions += 1
    cell.stop(allocation.step, allocation.task, cause)


def find_cheap(allocation: workers.Allocation) -> int | None:
    """Return the priority of a task that goes on where it was stopped, else None."""
    step = allocation.step.step
    if (
        not step.checkpointing
        or step.long_running
        or allocation.task.percent >= MAX_PERCENT
    ):
        return None
    return _find_priority(allocation)


def _find_priority(allocation: workers.Allocation) -> int | None:
    """Return the priority of a task's queue, None if the task is not preemptible."""
    task = allocation.task
    if task.phase is not state.TaskPhase.RUNNING or allocation.step.step.gang:
        return None
    if task.preemptions >= MAX_PREEMPTIONS:
        return None
    queue = allocation.step.job.queue
    return None if queue is None else queue.priority
