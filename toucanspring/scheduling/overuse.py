"""Limits on tasks that use more than their demand, on overcommitted workers.

Declared sizes are often far off, so tasks whose demands fit may together use more than
their worker has. A worker short of processors slows down all of its tasks; one short of
memory kills tasks that stayed within their demand.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from toucanspring import resources
from toucanspring.reporting import event_kinds
from toucanspring.scheduling import (
    effects,
    interruption,
    lifecycle,
    preemption,
    task_table,
)

# Workers report every 4 s, and a report may be based on measurements up to 1 s old, so
# the effect of a change is visible only after this time.
SETTLE_S = 6.0
MIN_FRACTION = 0.05  # of a task's processors
MEMORY_STOP_REASON = "the worker ran out of memory"


def apply_usage(
    core: lifecycle.Lifecycle,
    worker: str,
    usage: Mapping[str, resources.Resources],
    now: float,
) -> None:
    """Keep the reported usage of a worker's tasks within its capacity."""
    state = core.workers.get(worker)
    if state is None:
        return
    tasks = core.tasks_on.get(worker, {})
    for task_id, amount in usage.items():
        if task_id in tasks:
            tasks[task_id].usage = amount
            _raise_memory_demand(core, tasks[task_id], now)
    capacity = state.facts.capacity
    running = [task for task in tasks.values() if not task.stop_reason]
    used = sum((task.usage for task in tasks.values()), resources.ZERO)
    over = used.cpus > capacity.cpus or used.memory > capacity.memory
    if over is not state.overused:
        state.overused = over
        core.update_schedulable(worker, now)
    if used.cpus > capacity.cpus:
        _throttle(core, running, now)
    elif any(task.throttle < 1.0 for task in running):
        _lift_throttles(core, running, capacity.cpus - used.cpus, now)
    excess = sum(task.usage.memory for task in running) - capacity.memory
    if excess > 0:
        _free_memory(core, running, excess)


def _raise_memory_demand(
    core: lifecycle.Lifecycle, task: task_table.LiveTask, now: float
) -> None:
    """Raise the demand of a task to the memory it uses, up to what is free.

    Otherwise the memory of a stopped task would be allocated to a new one while the
    remaining tasks already use it.
    """
    more = task.usage.memory - task.demand.memory
    more = min(more, core.index.free(task.worker).memory)
    if more <= 0:
        return
    task.granted_memory = task.granted_memory or task.demand.memory
    core.resize(task, task.demand + resources.Resources(0, more, 0), now)


def _throttle(
    core: lifecycle.Lifecycle, running: Iterable[task_table.LiveTask], now: float
) -> None:
    """Throttle the tasks that use more processors than their demand to the demand."""
    for task in running:
        if task.usage.cpus <= task.demand.cpus or now < task.settled_at:
            continue
        _record_size(core, task)
        fraction = task.throttle * task.demand.cpus / task.usage.cpus
        _set_throttle(core, task, max(MIN_FRACTION, fraction), now)


def _lift_throttles(
    core: lifecycle.Lifecycle,
    running: Iterable[task_table.LiveTask],
    free: int,
    now: float,
) -> None:
    """Lift throttles, longest running tasks first, while their full usage fits."""
    for task in sorted(running, key=lambda task: task.started_at):
        if task.throttle >= 1.0 or now < task.settled_at:
            continue
        more = task.usage.cpus / task.throttle - task.usage.cpus
        if more <= free:
            free -= more
            _set_throttle(core, task, 1.0, now)


def _set_throttle(
    core: lifecycle.Lifecycle, task: task_table.LiveTask, fraction: float, now: float
) -> None:
    task.throttle, task.settled_at = fraction, now + SETTLE_S
    core.effects.add(effects.ThrottleTask(task.worker, task.id, fraction))
    if fraction < 1.0:
        event = event_kinds.TasksThrottled(task.job_id, task.worker, fraction)
    else:
        event = event_kinds.ThrottlesLifted(task.job_id, task.worker)
    core.effects.publish(event)


def _free_memory(
    core: lifecycle.Lifecycle, running: Iterable[task_table.LiveTask], excess: int
) -> None:
    """Checkpoint tasks until the rest fits, first those that exceed their demand.

    Non-idempotent tasks keep running, since they would not be restarted.
    """
    jobs = core.table.jobs

    def preemption_order(task: task_table.LiveTask) -> tuple[bool, int, int]:
        granted = task.granted_memory or task.demand.memory
        beyond = task.usage.memory - granted
        job_class = jobs[task.job_id].spec.job_class
        return (beyond <= 0, -preemption.CLASS_ORDER[job_class], -beyond)

    for task in sorted(running, key=preemption_order):
        if excess <= 0:
            return
        if not jobs[task.job_id].spec.idempotent or not task.usage.memory:
            continue
        _record_size(core, task)
        interruption.interrupt(
            core, task, MEMORY_STOP_REASON, "checkpoint", event_kinds.StopCause.MEMORY
        )
        excess -= task.usage.memory


def _record_size(core: lifecycle.Lifecycle, task: task_table.LiveTask) -> None:
    """Record the usage as the demand of later tasks with the same name."""
    spec = core.table.jobs[task.job_id].spec
    core.estimator.observe_size(spec.name, spec.team, spec.demand, task.usage)
