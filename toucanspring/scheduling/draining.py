"""Compare the cost of draining workers for a gang with that of checkpoints."""

from __future__ import annotations

from toucanspring import job, resources
from toucanspring.scheduling import lifecycle, reservation, task_table

OVERDUE_S = 1.0  # assumed remaining time of a task past its expected end
# Cost of a checkpoint besides lost progress: storing it, waiting, and starting on
# another worker.
CHECKPOINT_COST_S = 10.0


def idle_cost(
    core: lifecycle.Lifecycle, workers: frozenset[str], until: float, now: float
) -> float:
    """Return the idle capacity of draining workers, in seconds of the whole cell.

    The cost is zero while no other job is waiting.
    """
    if len(core.queue) < 2:
        return 0.0
    total = core.index.total()
    cost = 0.0
    for name in workers:
        cost += core.index.free(name).dominant(total) * (until - now)
        for task in core.tasks_on[name].values():
            end = max(task.expected_end, now + OVERDUE_S)
            cost += task.demand.dominant(total) * max(0.0, until - end)
    return cost


def may_checkpoint(
    record: task_table.JobRecord, reserved: reservation.Reservation
) -> bool:
    """Return whether checkpoints may replace the draining of workers for a gang.

    Only the deadline class ranks above all classes that may be preempted.
    """
    return (
        record.spec.kind is job.Kind.GANG
        and record.spec.job_class is job.JobClass.DEADLINE
        and not reserved.by_preemption
        and not reserved.cost_compared
        and reserved.idle_cost > 0.0
    )


def select_victims(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    victims: dict[str, list[task_table.LiveTask]],
    demand: resources.Resources,
) -> dict[str, list[task_table.LiveTask]]:
    """Return the tasks that may be checkpointed, the cheapest first.

    If the gang takes its team above its share, only tasks of that team are eligible.
    Gang members are not, because stopping one would stop the whole gang.
    """
    team = None if _is_within_target(core, record, demand) else record.spec.team
    return {
        worker: sorted(
            (
                task
                for task in tasks
                if core.table.jobs[task.job_id].spec.kind is not job.Kind.GANG
                and (team is None or task.team == team)
            ),
            key=lambda task: (not task.progress, -task.started_at, task.id),
        )
        for worker, tasks in victims.items()
    }


def _is_within_target(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    demand: resources.Resources,
) -> bool:
    """Return whether a job's waiting tasks would keep its team within its share."""
    team = record.spec.team
    targets = core.shares.targets(core.running_teams() | set(core.queue.teams()))
    usage = core.shares.current_usage(team) + demand.times(record.waiting_count())
    return usage.dominant(core.index.total()) <= targets.get(team, 0.0)


def checkpoint_cost(
    core: lifecycle.Lifecycle, task: task_table.LiveTask, now: float
) -> float:
    """Return the maximum cost of stopping a task, in seconds of the whole cell.

    A task that has never resumed from a checkpoint may not support checkpoints, so
    it is assumed to lose all its progress.
    """
    seconds = CHECKPOINT_COST_S
    if not task.progress:
        seconds += now - task.started_at
    return task.demand.dominant(core.index.total()) * seconds
