"""Running tasks that use more than they hold, on workers that run out.

Declared sizes are often far off, so tasks that fit by what they hold may together use
more than their worker has. A worker over its processors slows everything on it, one
over its memory kills tasks that did nothing wrong.
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

# Workers report every 4 s, with use of up to 1 s before: the effect of a change shows
# only after this time.
SETTLE_S = 6.0
MIN_FRACTION = 0.05
REASON = "the worker ran out of memory"


def report(
    core: lifecycle.Lifecycle,
    worker: str,
    usage: Mapping[str, resources.Resources],
    now: float,
) -> None:
    """Keep the reported use of a worker's tasks within its capacity."""
    state = core.workers.get(worker)
    if state is None:
        return
    tasks = core.tasks_on.get(worker, {})
    for task_id, amount in usage.items():
        if task_id in tasks:
            tasks[task_id].usage = amount
            _hold_memory(core, tasks[task_id], now)
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
        _release(core, running, capacity.cpus - used.cpus, now)
    excess = sum(task.usage.memory for task in running) - capacity.memory
    if excess > 0:
        _free_memory(core, running, excess)


def _hold_memory(
    core: lifecycle.Lifecycle, task: task_table.LiveTask, now: float
) -> None:
    """Let a task hold the memory that it uses, as far as its worker has it free.

    Otherwise the room that a stopped task leaves is given to the next one, although
    the tasks that go on use it.
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
    """Limit the tasks that use more processors than they hold to what they hold."""
    for task in running:
        if task.usage.cpus <= task.demand.cpus or now < task.settled_at:
            continue
        _learn(core, task)
        fraction = task.throttle * task.demand.cpus / task.usage.cpus
        _set(core, task, max(MIN_FRACTION, fraction), now)


def _release(
    core: lifecycle.Lifecycle,
    running: Iterable[task_table.LiveTask],
    free: int,
    now: float,
) -> None:
    """Lift the limits of the longest running tasks for whose full use there is room."""
    for task in sorted(running, key=lambda task: task.started_at):
        if task.throttle >= 1.0 or now < task.settled_at:
            continue
        more = task.usage.cpus / task.throttle - task.usage.cpus
        if more <= free:
            free -= more
            _set(core, task, 1.0, now)


def _set(
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
    """Checkpoint tasks until the rest fits: those beyond what they hold come first.

    Non-idempotent tasks would not be started again, so they go on.
    """
    jobs = core.table.jobs

    def order(task: task_table.LiveTask) -> tuple[bool, int, int]:
        granted = task.granted_memory or task.demand.memory
        beyond = task.usage.memory - granted
        job_class = jobs[task.job_id].spec.job_class
        return (beyond <= 0, -preemption.CLASS_ORDER[job_class], -beyond)

    for task in sorted(running, key=order):
        if excess <= 0:
            return
        if not jobs[task.job_id].spec.idempotent or not task.usage.memory:
            continue
        _learn(core, task)
        interruption.interrupt(
            core, task, REASON, "checkpoint", event_kinds.StopCause.MEMORY
        )
        excess -= task.usage.memory


def _learn(core: lifecycle.Lifecycle, task: task_table.LiveTask) -> None:
    """Let later starts of the same name hold what this task uses."""
    spec = core.table.jobs[task.job_id].spec
    core.estimator.observe_size(spec.name, spec.team, spec.demand, task.usage)
