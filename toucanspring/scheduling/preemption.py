"""Stops of running work: ceilings, places taken out, urgent work and shares."""

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

# A task that is expected to end so soon is left to end where it runs.
FINISH_S = 5.0
# Room that was made stays reserved for the work that needs it; covers the time
# that workers take to checkpoint.
ROOM_S = 5.0
SHARE_WAIT_S = 5.0  # lent capacity is taken back for work that waited so long
DEADLINE_MARGIN_S = 10.0  # deadline work may stop others so long before it is late
TRIES_PER_STEP = 8  # each looks at all running tasks
# Jobs tried in one turn; bounds the wait for the next try of a job although new jobs
# keep arriving.
TRIES_PER_TURN = 256
TASKS_PER_JOB = 16  # for which room is made at a time
CLASS_ORDER = {job_class: order for order, job_class in enumerate(job.JobClass)}
NEVER_STOPPED = CLASS_ORDER[job.JobClass.URGENT]  # checks and urgent work go on


def enforce_ceilings(core: lifecycle.Lifecycle, now: float) -> None:
    """Stop the latest work of teams that use more than they hold."""
    if core.expected:
        return  # what restored tasks use is an upper bound so far
    for team in core.allowances.teams():
        excess = core.allowances.excess(team)
        if excess != resources.ZERO:
            _stop_latest(core, team, excess, now)


def _stop_latest(
    core: lifecycle.Lifecycle, team: str, excess: resources.Resources, now: float
) -> None:
    tasks = [task for task in core.table.live.values() if task.team == team]
    for task in tasks:
        if task.stop_reason:
            excess -= task.demand
    tasks.sort(key=lambda task: (not _idempotent(core, task), -task.started_at))
    for task in tasks:
        if excess.fits(resources.ZERO):
            return
        if task.stop_reason or not _overlaps(task.demand, excess):
            continue
        excess -= task.demand
        record = core.table.jobs[task.job_id]
        reason = "the team's ceiling was lowered"
        if task.state is job.State.INTENDED:
            core.vacate(record, task, now)  # was not sent
            core.requeue(record, task.index, now, reason=reason)
        else:
            mode = "checkpoint" if record.spec.idempotent else "kill"
            interruption.interrupt(
                core, task, reason, mode, event_kinds.StopCause.CEILING
            )


def drain(core: lifecycle.Lifecycle, now: float) -> None:
    """Checkpoint idempotent work on workers that are leaving or in closed zones.

    Non-idempotent work runs to its end, since it could not start again elsewhere.
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
            overdue = now > task.expected_end + FINISH_S
            ends_soon = task.expected_end <= now + FINISH_S
            if (overdue or not ends_soon) and _idempotent(core, task):
                interruption.interrupt(core, task, reason, "checkpoint", cause)


def make_room(
    core: lifecycle.Lifecycle,
    blocked: Iterable[task_table.JobRecord],
    tried: set[str],
    now: float,
) -> None:
    """Stop lower classes for urgent work, and lent capacity for its owner.

    `tried` holds the jobs that had their try in this turn, between calls. Without it,
    a few jobs for which no room can be made would use all tries of every step.
    """
    tries = 0
    over: dict[str, float] | None = None
    targets: dict[str, float] = {}
    for record in sorted(
        blocked, key=lambda record: not is_pressing(core, record, now)
    ):
        spec = record.spec
        held = core.reservations.get(spec.id)
        if spec.id in tried or spec.id not in core.queue:
            continue
        if held and held.making_room:
            continue
        demand = core.demand(spec)
        limit = math.inf
        if is_pressing(core, record, now):
            order = CLASS_ORDER[spec.job_class]
            victims = _victims(core, record, max(order, NEVER_STOPPED), None)
        elif held and draining.may_end(record, held):
            core.reservations[spec.id] = dataclasses.replace(held, weighed=True)
            victims = _victims(core, record, CLASS_ORDER[spec.job_class], None)
            victims = draining.select_victims(core, record, victims, demand)
            limit = held.idle_cost
        elif now - _served_at(core, record) >= SHARE_WAIT_S:
            if over is None:
                active = core.using_teams() | set(core.queue.teams())
                over = core.shares.over_share(active, now)
                targets = core.shares.targets(active)
            use = (core.shares.use(spec.team) + demand).dominant(core.index.total())
            if not over or use > targets.get(spec.team, 0.0):
                continue
            victims = _victims(core, record, NEVER_STOPPED, over)
        else:
            continue
        _stop_victims(core, record, demand, victims, now, limit)
        tried.add(spec.id)
        tries += 1
        if tries >= TRIES_PER_STEP:
            break
    if tries < TRIES_PER_STEP or len(tried) >= TRIES_PER_TURN:
        tried.clear()  # every blocked job had its try


def _served_at(core: lifecycle.Lifecycle, record: task_table.JobRecord) -> float:
    """Return when a job last got room, or when it was queued."""
    started = max((task.started_at for task in record.live.values()), default=0.0)
    return max(started, core.queue.find(record.spec.id).added_at)


def is_pressing(
    core: lifecycle.Lifecycle, record: task_table.JobRecord, now: float
) -> bool:
    """Return whether a job may stop work of lower classes, whatever its share."""
    job_class = record.spec.job_class
    if job_class is job.JobClass.DEADLINE:
        start = core.estimator.latest_start(record.spec, record.accepted_at)
        return start - DEADLINE_MARGIN_S <= now
    return job_class in (job.JobClass.CHECK, job.JobClass.URGENT)


def _victims(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    above: int,
    over: dict[str, float] | None,
) -> dict[str, list[task_table.LiveTask]]:
    """Return the tasks that may be stopped on each usable worker, best first.

    Only classes after `above` are stopped; with `over`, only tasks of teams beyond
    their target, and no more of a team than that.
    """
    zones = record.spec.availability_zones
    total = core.index.total()
    left = dict(over) if over is not None else {}
    found: dict[str, list[task_table.LiveTask]] = {}
    tasks = [
        (-order, spec.kind is job.Kind.GANG, -task.started_at, task.id, task)
        for task in core.table.live.values()
        if task.state is job.State.RUNNING and not task.stop_reason
        for spec in (core.table.jobs[task.job_id].spec,)
        if (order := CLASS_ORDER[spec.job_class]) > above
        and spec.idempotent
        and spec.id != record.spec.id
        and (over is None or task.team in left)
    ]
    for *_, task in sorted(tasks, key=lambda entry: entry[:4]):
        state = core.workers.get(task.worker)
        if state is None or not state.schedulable:
            continue
        if zones and state.facts.availability_zone not in zones:
            continue
        if over is not None:
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
    limit: float = math.inf,
) -> None:
    """Stop the fewest tasks that make room, if there are enough.

    Nothing is stopped if that costs `limit` or more, in seconds of the whole cell.
    """
    spec = record.spec
    count = record.waiting_count()
    together = spec.kind is job.Kind.GANG
    if not together:
        count = min(count, TASKS_PER_JOB)
    taken = core.collected if core.collecting != spec.id else frozenset()
    taken = taken.union(
        *(
            held.workers
            for job_id, held in core.reservations.items()
            if job_id != spec.id and held.exclusive
        ),
        avoidance.avoided(core, record, demand, now),
    )

    def cost_of(task: task_table.LiveTask) -> float:
        return 1.0 if limit == math.inf else draining.checkpoint_cost(core, task, now)

    steps = {
        worker: _steps(tasks, core.index.free(worker), demand, cost_of)
        for worker, tasks in victims.items()
        if worker not in taken
    }
    if together:
        # Workers with room that need no stop belong to the place of the gang.
        for worker, state in core.workers.items():
            room = demand.count_in(core.index.free(worker))
            if room and state.schedulable and worker not in taken:
                steps[worker] = [Step((), room, 0.0), *steps.get(worker, [])]
    chosen, room = _cheapest(steps, count)
    if not chosen or (together and room < count):
        return
    stopped = [task for _, step in chosen for task in step.tasks]
    if sum(step.cost for _, step in chosen) >= limit:
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
    # Room taken back for a share goes to its owner by rank. Keeping whole workers for
    # it gave one job all of a worker for ROOM_S, far beyond its share.
    exclusive = together or is_pressing(core, record, now)
    core.reservations[spec.id] = reservation.Reservation(
        workers, now, now + ROOM_S, making_room=True, exclusive=exclusive
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Hold tasks of one worker to stop, and for how many tasks that makes room.

    The tasks of the steps before it on the worker have to be stopped too.
    """

    tasks: tuple[task_table.LiveTask, ...]
    room: int
    cost: float


def _steps(
    tasks: list[task_table.LiveTask],
    free: resources.Resources,
    demand: resources.Resources,
    cost_of: Callable[[task_table.LiveTask], float],
) -> list[Step]:
    """Return the steps on a worker, in the order of its tasks."""
    steps = []
    room = demand.count_in(free)
    pending: list[task_table.LiveTask] = []
    for task in tasks:
        if not _overlaps(task.demand, demand):
            continue
        free += task.demand
        pending.append(task)
        if (now_fits := demand.count_in(free)) > room:
            cost = sum(cost_of(pended) for pended in pending)
            steps.append(Step(tuple(pending), now_fits - room, cost))
            room, pending = now_fits, []
    return steps


def _cheapest(
    steps: dict[str, list[Step]], count: int
) -> tuple[list[tuple[str, Step]], int]:
    """Return steps with room for `count` tasks, if there is so much, and their room.

    The next step is the one with the lowest cost for each task that gets room.
    """
    heads = [
        (found[0].cost / found[0].room, worker, 0)
        for worker, found in steps.items()
        if found
    ]
    heapq.heapify(heads)
    chosen: list[tuple[str, Step]] = []
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
    """Return whether `demand` has some of what is needed."""
    return (
        (demand.cpus > 0 and needed.cpus > 0)
        or (demand.memory > 0 and needed.memory > 0)
        or (demand.accelerators > 0 and needed.accelerators > 0)
    )


def _idempotent(core: lifecycle.Lifecycle, task: task_table.LiveTask) -> bool:
    return core.table.jobs[task.job_id].spec.idempotent
