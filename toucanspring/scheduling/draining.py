"""Comparison of what the draining of workers for a gang costs with checkpoints."""

from __future__ import annotations

from toucanspring import job, resources
from toucanspring.scheduling import lifecycle, reservation, task_table

OVERDUE_S = 1.0  # a task beyond its expected end is expected to end so soon
# What a checkpoint costs a task beside its progress: storing it, and waiting and
# starting elsewhere.
CHECKPOINT_COST_S = 10.0


def idle_cost(
    core: lifecycle.Lifecycle, workers: frozenset[str], until: float, now: float
) -> float:
    """Return what stays idle on workers that drain, in seconds of the whole cell.

    Nothing counts as idle as long as no other job waits.
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


def may_end(record: task_table.JobRecord, held: reservation.Reservation) -> bool:
    """Return whether checkpoints may end the draining of workers for a gang.

    Only deadline work is ahead of all classes whose work may be stopped.
    """
    return (
        record.spec.kind is job.Kind.GANG
        and record.spec.job_class is job.JobClass.DEADLINE
        and not held.by_preemption
        and not held.cost_compared
        and held.idle_cost > 0.0
    )


def select_victims(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    victims: dict[str, list[task_table.LiveTask]],
    demand: resources.Resources,
) -> dict[str, list[task_table.LiveTask]]:
    """Return those that may be stopped to end the draining, the cheapest first.

    A gang that takes its team beyond its share replaces only work of the team. The
    stop of one member would stop a whole gang, so gangs are left.
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
    """Return whether the waiting tasks of a job keep its team within its share."""
    team = record.spec.team
    targets = core.shares.targets(core.running_teams() | set(core.queue.teams()))
    use = core.shares.use(team) + demand.times(record.waiting_count())
    return use.dominant(core.index.total()) <= targets.get(team, 0.0)


def checkpoint_cost(
    core: lifecycle.Lifecycle, task: task_table.LiveTask, now: float
) -> float:
    """Return what stopping a task costs at most, in seconds of the whole cell.

    A task that has not yet gone on from a checkpoint is counted as if it had to
    begin again, since its work may not support checkpoints.
    """
    seconds = CHECKPOINT_COST_S
    if not task.progress:
        seconds += now - task.started_at
    return task.demand.dominant(core.index.total()) * seconds
