"""Stops of running tasks on the scheduler's own decision."""

from __future__ import annotations

from toucanspring.reporting import event_kinds
from toucanspring.scheduling import lifecycle, task_table


def interrupt(
    core: lifecycle.Lifecycle,
    task: task_table.LiveTask,
    reason: str,
    mode: str,
    cause: event_kinds.StopCause,
    for_job: str = "",
) -> None:
    """Stop a task and publish the cause; `mode` is `checkpoint` or `kill`."""
    state = core.workers.get(task.worker)
    zone = state.facts.availability_zone if state is not None else ""
    if cause is event_kinds.StopCause.ZONE_OUT:
        core.evacuated_tasks[zone] += 1
    core.effects.publish(
        event_kinds.TasksStopped(task.job_id, task.worker, zone, cause, mode, for_job)
    )
    core.stop(task, reason, mode)
