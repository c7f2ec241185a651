"""Preemption for ceilings, drained workers, urgent work and fair shares."""

from __future__ import annotations

import dataclasses
import heapq
import math
from collections.abc import Callable, Iterable

from toucanspring import job, resources
from toucanspring.reporting import event_kinds
from toucanspring.scheduling import (
    avoidance,
    draining,
    interruption,
    lifecycle,
    reservation,
    task_table,
)

# A task that is expected to end within this time is not preempted by a drain.
FINISH_GRACE_S = 5.0
# How long freed workers stay reserved for the preempting job; covers the time that
# checkpoints take.
RESERVATION_S = 5.0
SHARE_WAIT_S = 5.0  # a job within its team's share preempts after this wait
DEADLINE_MARGIN_S = 10.0  # how long before its latest start a deadline job preempts
ATTEMPTS_PER_STEP = 8  # each attempt scans all running tasks
# Bounds the time until the next attempt for a job while new jobs keep arriving.
ATTEMPTS_PER_ROUND = 256
MAX_TASKS_PER_JOB = 16  # tasks of one job to make room for at a time
CLASS_ORDER = {job_class: order for order, job_class in enumerate(job.JobClass)}
LAST_PROTECTED = CLASS_ORDER[job.JobClass.URGENT]  # classes up to it keep running


def enforce_ceilings(core: lifecycle.Lifecycle, now: float) -> None:
    """Stop the latest tasks of teams that use more than their allowance."""
    if core.expected_workers:
        return  # the usage of restored tasks is still an upper bound
    for team in core.allowances.teams():
        excess = core.allowances.excess(team)
        if excess != resources.ZERO:
            _stop_latest_tasks(core, team, excess, now)


def _stop_latest_tasks(
    core: lifecycle.Lifecycle, team: str, excess: resources.Resources, now: float
) -> None:
    tasks = [task for task in core.table.live.values() if task.team == team]
    for task in tasks:
        if task.stop_reason:
            excess -= task.demand
    tasks.sort(key=lambda task: (not _is_idempotent(core, task), -task.started_at))
    for task in tasks:
        if excess.fits(resources.ZERO):
            return
        if task.stop_reason or not _overlaps(task.demand, excess):
            continue
        excess -= task.demand
        record = core.table.jobs[task.job_id]
        reason = "the team's ceiling was lowered"
        if task.state is job.State.INTENDED:
            core.release_task(record, task, now)  # the start was not sent
            core.requeue(record, task.index, now, reason=reason)
        else:
            mode = "checkpoint" if record.spec.idempotent else "kill"
            interruption.interrupt(
                core, task, reason, mode, event_kinds.StopCause.CEILING
            )


def drain_workers(core: lifecycle.Lifecycle, now: float) -> None:
    """Checkpoint idempotent tasks on leaving workers and in zones out of service.

    Non-idempotent tasks run to their end, since they cannot be restarted.
    """
    for worker in core.workers if core.zones_out else sorted(core.leaving):
        state = core.workers.get(worker)
        if state is None or not (
            state.leaving or state.facts.availability_zone in core.zones_out
        ):
            continue
        reason, cause = "zone is out of service", event_kinds.StopCause.ZONE_OUT
        if state.leaving:
            reason, cause = "worker is leaving", event_kinds.StopCause.LEAVING
        for task in list(core.tasks_on[worker].values()):
            if task.stop_reason or task.state is job.State.INTENDED:
                continue
            overdue = now > task.expected_end + FINISH_GRACE_S
            ends_soon = task.expected_end <= now + FINISH_GRACE_S
            if (overdue or not ends_soon) and _is_idempotent(core, task):
                interruption.interrupt(core, task, reason, "checkpoint", cause)


def preempt(
    core: lifecycle.Lifecycle,
    blocked: Iterable[task_table.JobRecord],
    attempted: set[str],
    now: float,
) -> None:
    """Preempt lower classes for urgent work, and teams over their fair share.

    `attempted` holds the jobs attempted in this round and is kept between calls.
    Without it, a few jobs for which no room can be made would use up all attempts of
    every step.
    """
    attempts = 0
    over_share: dict[str, float] | None = None
    targets: dict[str, float] = {}
    for record in sorted(
        blocked, key=lambda record: not may_preempt(core, record, now)
    ):
        spec = record.spec
        reserved = core.reservations.get(spec.id)
        if spec.id in attempted or spec.id not in core.queue:
            continue
        if reserved and reserved.by_preemption:
            continue
        demand = core.demand(spec)
        cost_limit = math.inf
        if may_preempt(core, record, now):
            order = CLASS_ORDER[spec.job_class]
            victims = _find_victims(core, record, max(order, LAST_PROTECTED), None)
        elif reserved and draining.may_checkpoint(record, reserved):
            core.reservations[spec.id] = dataclasses.replace(
                reserved, cost_compared=True
            )
            victims = _find_victims(core, record, CLASS_ORDER[spec.job_class], None)
            victims = draining.select_victims(core, record, victims, demand)
            cost_limit = reserved.idle_cost
        elif now - _last_placed_at(core, record) >= SHARE_WAIT_S:
            if over_share is None:
                active = core.running_teams() | set(core.queue.teams())
                over_share = core.shares.over_share(active, now)
                targets = core.shares.targets(active)
            usage = (core.shares.current_usage(spec.team) + demand).dominant(
                core.index.total()
            )
            if not over_share or usage > targets.get(spec.team, 0.0):
                continue
            victims = _find_victims(core, record, LAST_PROTECTED, over_share)
        else:
            continue
        _stop_victims(core, record, demand, victims, now, cost_limit)
        attempted.add(spec.id)
        attempts += 1
        if attempts >= ATTEMPTS_PER_STEP:
            break
    if attempts < ATTEMPTS_PER_STEP or len(attempted) >= ATTEMPTS_PER_ROUND:
        attempted.clear()  # every blocked job was attempted


def _last_placed_at(core: lifecycle.Lifecycle, record: task_table.JobRecord) -> float:
    """Return when a task of the job was last placed, or when the job was queued."""
    started = max((task.started_at for task in record.live.values()), default=0.0)
    return max(started, core.queue.find(record.spec.id).added_at)


def may_preempt(
    core: lifecycle.Lifecycle, record: task_table.JobRecord, now: float
) -> bool:
    """Return whether a job may preempt lower classes regardless of its team's share."""
    job_class = record.spec.job_class
    if job_class is job.JobClass.DEADLINE:
        start = core.estimator.latest_start(record.spec, record.accepted_at)
        return start - DEADLINE_MARGIN_S <= now
    return job_class in (job.JobClass.CHECK, job.JobClass.URGENT)


def _find_victims(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    above: int,
    over_share: dict[str, float] | None,
) -> dict[str, list[task_table.LiveTask]]:
    """Return the tasks that may be preempted on each worker, best victim first.

    Only classes after `above` are preempted. With `over_share`, only tasks of the teams
    in it are, and of each team no more than it is over its share.
    """
    zones = record.spec.availability_zones
    total = core.index.total()
    left = dict(over_share) if over_share is not None else {}
    found: dict[str, list[task_table.LiveTask]] = {}
    tasks = [
        (-order, spec.kind is job.Kind.GANG, -task.started_at, task.id, task)
        for task in core.table.live.values()
        if task.state is job.State.RUNNING and not task.stop_reason
        for spec in (core.table.jobs[task.job_id].spec,)
        if (order := CLASS_ORDER[spec.job_class]) > above
        and spec.idempotent
        and spec.id != record.spec.id
        and (over_share is None or task.team in left)
    ]
    for *_, task in sorted(tasks, key=lambda entry: entry[:4]):
        state = core.workers.get(task.worker)
        if state is None or not state.schedulable:
            continue
        if zones and state.facts.availability_zone not in zones:
            continue
        if over_share is not None:
            share = task.demand.dominant(total)
            if share > left[task.team]:
                continue
            left[task.team] -= share
        found.setdefault(task.worker, []).append(task)
    return found


def _stop_victims(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    demand: resources.Resources,
    victims: dict[str, list[task_table.LiveTask]],
    now: float,
    cost_limit: float = math.inf,
) -> None:
    """Stop the fewest tasks that make room, if enough room can be made.

    Stops nothing if the cost would reach `cost_limit`, in seconds of the whole cell.
    """
    spec = record.spec
    count = record.waiting_count()
    together = spec.kind is job.Kind.GANG
    if not together:
        count = min(count, MAX_TASKS_PER_JOB)
    unavailable = (
        core.collected_workers if core.collecting_gang != spec.id else frozenset()
    )
    unavailable = unavailable.union(
        *(
            reserved.workers
            for job_id, reserved in core.reservations.items()
            if job_id != spec.id and reserved.exclusive
        ),
        avoidance.avoided_workers(core, record, demand, now),
    )

    def cost_of(task: task_table.LiveTask) -> float:
        return (
            1.0 if cost_limit == math.inf else draining.checkpoint_cost(core, task, now)
        )

    steps = {
        worker: _preemption_steps(tasks, core.index.free(worker), demand, cost_of)
        for worker, tasks in victims.items()
        if worker not in unavailable
    }
    if together:
        # Workers that have room already count for the gang at no cost.
        for worker, state in core.workers.items():
            room = demand.count_in(core.index.free(worker))
            if room and state.schedulable and worker not in unavailable:
                steps[worker] = [PreemptionStep((), room, 0.0), *steps.get(worker, [])]
    chosen, room = _cheapest_steps(steps, count)
    if not chosen or (together and room < count):
        return
    stopped = [task for _, step in chosen for task in step.tasks]
    if sum(step.cost for _, step in chosen) >= cost_limit:
        return
    reason = f"room for {spec.job_class.value} job {spec.id}"
    for task in stopped:
        interruption.interrupt(
            core,
            task,
            reason,
            "checkpoint",
            event_kinds.StopCause.PREEMPTED,
            spec.id,
        )
    workers = frozenset(worker for worker, _ in chosen)
    # Room freed for a team's share is not exclusive: reserving whole workers gave one
    # job all of a worker for RESERVATION_S, far beyond the share of its team.
    exclusive = together or may_preempt(core, record, now)
    core.reservations[spec.id] = reservation.Reservation(
        workers, now, now + RESERVATION_S, by_preemption=True, exclusive=exclusive
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PreemptionStep:
    """Tasks to stop on one worker, and the number of tasks that this makes room for.

    Requires that the previous steps on the worker are taken too.
    """

    tasks: tuple[task_table.LiveTask, ...]
    room: int
    cost: float


def _preemption_steps(
    tasks: list[task_table.LiveTask],
    free: resources.Resources,
    demand: resources.Resources,
    cost_of: Callable[[task_table.LiveTask], float],
) -> list[PreemptionStep]:
    """Group the tasks of a worker, in their order, into steps that each make room."""
    steps = []
    room = demand.count_in(free)
    pending: list[task_table.LiveTask] = []
    for task in tasks:
        if not _overlaps(task.demand, demand):
            continue
        free += task.demand
        pending.append(task)
        if (fitting := demand.count_in(free)) > room:
            cost = sum(cost_of(each) for each in pending)
            steps.append(PreemptionStep(tuple(pending), fitting - room, cost))
            room, pending = fitting, []
    return steps


def _cheapest_steps(
    steps: dict[str, list[PreemptionStep]], count: int
) -> tuple[list[tuple[str, PreemptionStep]], int]:
    """Return steps that make room for up to `count` tasks, and their total room.

    Picks the step with the lowest cost per task that it makes room for, one at a time.
    """
    heads = [
        (found[0].cost / found[0].room, worker, 0)
        for worker, found in steps.items()
        if found
    ]
    heapq.heapify(heads)
    chosen: list[tuple[str, PreemptionStep]] = []
    room = 0
    while heads and room < count:
        _, worker, position = heapq.heappop(heads)
        found = steps[worker]
        chosen.append((worker, found[position]))
        room += found[position].room
        if (position := position + 1) < len(found):
            step = found[position]
            heapq.heappush(heads, (step.cost / step.room, worker, position))
    return chosen, room


def _overlaps(demand: resources.Resources, needed: resources.Resources) -> bool:
    """Return whether both amounts are positive in some dimension."""
    return (
        (demand.cpus > 0 and needed.cpus > 0)
        or (demand.memory > 0 and needed.memory > 0)
        or (demand.accelerators > 0 and needed.accelerators > 0)
    )


def _is_idempotent(core: lifecycle.Lifecycle, task: task_table.LiveTask) -> bool:
    return core.table.jobs[task.job_id].spec.idempotent
