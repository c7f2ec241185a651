"""Feasibility and ranking of workers for tasks and gangs."""

from __future__ import annotations

import bisect
import math
from collections.abc import Callable, Iterable

from toucanspring import resources
from toucanspring.coordinator import cell_state, job_times, state, workers
from toucanspring.policy import speeds

# A job with less time than this many times its run time on the slowest workers has
# little slack: half of its time goes into waiting already when the load is high.
MIN_SLACK_RATIO = 2.0


def find_eligible(
    step_run: state.StepRun, candidates: Iterable[workers.Worker]
) -> list[workers.Worker]:
    """Return the workers that could run tasks of a step if they were idle."""
    label, demand = step_run.step.required_label, step_run.step.occupied()
    return [
        worker
        for worker in candidates
        if (not label or label in worker.entry.labels)
        and demand.fits(worker.entry.capacity)
    ]


def is_eligible(step_run: state.StepRun, worker: workers.Worker) -> bool:
    """Return whether a worker could run a task of a step if it was idle."""
    label = step_run.step.required_label
    return (
        not label or label in worker.entry.labels
    ) and step_run.step.occupied().fits(worker.entry.capacity)


def count_slots(step_run: state.StepRun, worker: workers.Worker) -> int:
    """Return how many tasks of a step fit into the free capacity of a worker."""
    demand = step_run.step.occupied()
    if not worker.has_room(demand):
        return 0
    count = demand.count_in(worker.free())
    limit = step_run.step.max_per_worker
    return min(count, limit) if limit else count


def count_capacity_slots(
    step_run: state.StepRun,
    worker: workers.Worker,
    used: resources.Resources = resources.ZERO,
) -> int:
    """Return how many tasks of a step fit into a worker that is idle but for `used`."""
    count = step_run.step.occupied().count_in(worker.entry.capacity - used)
    limit = step_run.step.max_per_worker
    return min(count, limit) if limit else count


def may_place(
    step_run: state.StepRun,
    task: state.Task,
    worker: workers.Worker,
    on_worker: dict[str, int],
    now: float,
) -> bool:
    """Return whether a task may be placed, given the step's tasks on each worker."""
    limit = step_run.step.max_per_worker
    if limit and on_worker.get(worker.id, 0) >= limit:
        return False
    return may_retry_on(task, worker, now)


def may_retry_on(task: state.Task, worker: workers.Worker, now: float) -> bool:
    """Return whether a task need not avoid a worker because of an earlier failure."""
    return worker.id not in task.avoided_workers or now >= task.avoid_until


def count_per_worker(step_run: state.StepRun) -> dict[str, int]:
    """Return the number of a step's tasks by worker, if the step limits it."""
    counts: dict[str, int] = {}
    if step_run.step.max_per_worker:
        for task in step_run.tasks.known():
            if task.worker:
                counts[task.worker] = counts.get(task.worker, 0) + 1
    return counts


def order_by_speed(
    step_run: state.StepRun,
    candidates: Iterable[workers.Worker],
    known: speeds.Speeds,
) -> dict[str, int]:
    """Return the order in which a step takes classes of workers, by worker ID.

    The step of a job with little slack takes fast workers first, and so does a task
    that was moved since it is in the tail. Others keep best fit: sending them to slow
    workers by preference lowered the value earned. What counts is the time that the job
    was given, not what is left of it: late work would else take fast workers from
    gangs. Without differing speeds the result is empty.
    """
    if not known.differ:
        return {}
    ranks, slowest = {}, math.inf
    for worker in candidates:
        ranks[worker.id] = known.rank(worker.id, worker.kind)
        slowest = min(slowest, known.speed(worker.id, worker.kind))
    job = step_run.job
    chain_s = sum(step.estimate_ms for step in job.spec.steps) / 1000
    has_tail = any(
        task.moved_as_tail and task.index in step_run.waiting
        for task in step_run.tasks.known()
    )
    given_s = job.due_at - job.accepted_at
    if has_tail or given_s * slowest < MIN_SLACK_RATIO * chain_s:
        return {name: -each for name, each in ranks.items()}
    return {}


def rank(
    step_run: state.StepRun,
    worker: workers.Worker,
    free: resources.Resources,
    speed_order: dict[str, int],
) -> tuple:
    """Return a sort key: preferred rack, failures, speed, then best fit by CPUs."""
    remote = bool(step_run.step.preferred_rack) and (
        step_run.step.preferred_rack != worker.entry.rack
    )
    return remote, worker.failures, speed_order.get(worker.id, 0), free.cpus


def choose_gang(
    step_run: state.StepRun,
    eligible: list[workers.Worker],
    cell: cell_state.CellState,
    find_delay: Callable[[list[tuple[workers.Worker, int]]], float],
    max_tasks: float = math.inf,
) -> list[tuple[workers.Worker, int]] | None:
    """Return workers with counts of members so that the gang ends as early as possible.

    A gang is as fast as its slowest worker, so it is placed within the fastest class,
    within the others or anywhere. It does not wait until fast workers have room.
    `find_delay` returns the seconds until the gang could start on given workers, which
    have at most `max_tasks` tasks each with it.
    """
    known = cell.speeds
    if not known.differ:
        return place_gang(step_run, eligible, {}, max_tasks)
    ranks = {each.id: known.rank(each.id, each.kind) for each in eligible}
    fastest = max(ranks.values(), default=0)
    groups = [
        [each for each in eligible if ranks[each.id] == fastest],
        [each for each in eligible if ranks[each.id] < fastest],
    ]
    options = [place_gang(step_run, each, {}, max_tasks) for each in groups if each]
    found = [each for each in options if each is not None]
    if not found:
        return place_gang(step_run, eligible, {}, max_tasks)
    return min(
        found,
        key=lambda chosen: estimate_gang_end(
            cell, step_run, chosen, find_delay(chosen)
        ),
    )


def estimate_gang_end(
    cell: cell_state.CellState,
    step_run: state.StepRun,
    chosen: list[tuple[workers.Worker, int]],
    delay_s: float,
) -> float:
    """Return the seconds until a gang ends that starts on workers after a delay."""
    known = cell.speeds
    slowest = min(known.speed(each.id, each.kind) for each, _ in chosen)
    return delay_s + job_times.task_s(cell, step_run) / slowest


def place_gang(
    step_run: state.StepRun,
    eligible: list[workers.Worker],
    reclaimable: dict[str, resources.Resources],
    max_tasks: float = math.inf,
) -> list[tuple[workers.Worker, int]] | None:
    """Return workers with counts of members, or None if the gang does not fit.

    With `same_rack` a single rack is preferred. `reclaimable` is capacity by worker ID
    that preemption could free. No worker has more than `max_tasks` tasks with them.
    """
    if not step_run.step.same_rack:
        return _pack(step_run, eligible, reclaimable, max_tasks)
    racks: dict[str, list[workers.Worker]] = {}
    for worker in eligible:
        racks.setdefault(worker.entry.rack, []).append(worker)
    for members in racks.values():
        chosen = _pack(step_run, members, reclaimable, max_tasks)
        if chosen is not None:
            return chosen
    return _pack(step_run, eligible, reclaimable, max_tasks)


def find_level(step_run: state.StepRun, eligible: list[workers.Worker]) -> int | None:
    """Return how many tasks the fullest worker has at least if a gang is spread.

    It is None if the workers have no room for the gang.
    """
    rooms = [
        (worker.count_tasks(), count_slots(step_run, worker)) for worker in eligible
    ]
    count = step_run.step.count
    if sum(slots for _, slots in rooms) < count:
        return None

    def has_room(level: int) -> bool:
        return count <= sum(min(slots, max(0, level - tasks)) for tasks, slots in rooms)

    highest = max(tasks for tasks, _ in rooms) + count
    return bisect.bisect_left(range(highest), True, key=has_room)


def _pack(
    step_run: state.StepRun,
    eligible: list[workers.Worker],
    reclaimable: dict[str, resources.Resources],
    max_tasks: float,
) -> list[tuple[workers.Worker, int]] | None:
    demand = step_run.step.occupied()
    fitting_workers = []
    for worker in eligible:
        free = worker.free() + reclaimable.get(worker.id, resources.ZERO)
        count = demand.count_in(free)
        if step_run.step.max_per_worker:
            count = min(count, step_run.step.max_per_worker)
        count = int(min(count, max_tasks - worker.count_tasks()))
        if count > 0:
            fitting_workers.append((count, worker))
    fitting_workers.sort(key=lambda each: (each[1].failures, -each[0]))
    left, chosen = step_run.step.count, []
    for count, worker in fitting_workers:
        share = min(count, left)
        chosen.append((worker, share))
        left -= share
        if not left:
            return chosen
    return None
