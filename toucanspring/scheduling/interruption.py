"""Stops of running tasks that the owner of a partition decides by itself."""

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
    """Stop a task and publish why; `mode` is `checkpoint` or `kill`."""
    state = core.workers.get(task.worker)
    zone = state.facts.availability_zone if state is not None else ""
    if cause is event_kinds.StopCause.ZONE_OUT:
        core.left_zones[zone] += 1
    core.effects.publish(
        event_kinds.TasksStopped(task.job_id, task.worker, zone, cause, mode, for_job)
    )
    core.stop(task, reason, mode)
