"""Detection of slow workers by the progress of their tasks.

Estimates of run times are off by up to 0.9, but the tasks of one step are alike, so a
worker is compared with the others that run the same step. A slow worker gets no new
tasks for `SLOW_WORKER_PAUSE_S`, then is sampled again.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from toucanspring.coordinator import cell_state, job_times, state, workers
from toucanspring.policy import speeds

# Weight of a new sample in the moving average of a worker's speed.
SAMPLE_WEIGHT = 0.25
MIN_SAMPLES = 3
# Limits the speed of the other workers when one worker of a step is slow.
MAX_SPEED = 1.5
MIN_SAMPLE_S = 0.25
# Progress is reported in whole percent, so a sample has to span several: of the task,
# or of what its siblings on other workers do meanwhile.
MIN_SAMPLE_SHARE = 0.03
# Slow workers are below this fraction of the median speed; the speeds of different
# kinds of worker differ by a factor of 1.6.
SLOW_FRACTION = 0.35
SLOW_WORKER_PAUSE_S = 4.0
MIN_SAMPLED_WORKERS = 4  # sampled workers that a meaningful median needs
# A task is moved if staying would take this many times as long as moving it.
MIN_MOVE_GAIN = 2.0
RESTART_COST_S = 0.6  # for a stop, a checkpoint read and a start
# A task that takes this many times as long as its siblings at nominal speed is in the
# tail. Siblings differ by 0.15, tails take seven times as long.
TAIL_FACTOR = 3.0
MIN_TAIL_S = 1.0


def record_progress(
    known: speeds.Speeds,
    worker: workers.Worker,
    allocation: workers.Allocation,
    percent: int,
    now: float,
) -> None:
    """Sample the progress of a task.

    Members of gangs wait for each other, so their progress is no measure of the worker.
    """
    task, step = allocation.task, allocation.step.step
    if step.gang or step.long_running:
        return
    paused = task.sampled_at < worker.returned_at  # perhaps; a silence tells nothing
    if not task.sampled_at or percent < task.sampled_percent or paused:
        task.sampled_at, task.sampled_percent = now, percent
        return
    elapsed_s = now - task.sampled_at
    if elapsed_s < MIN_SAMPLE_S:
        return
    done = (percent - task.sampled_percent) / 100
    if done < MIN_SAMPLE_SHARE:
        others = _find_rates_of_others(worker, allocation.step)
        if not others or statistics.fmean(others) * elapsed_s < MIN_SAMPLE_SHARE:
            return
    task.sampled_at, task.sampled_percent = now, percent
    _record_rate(known, worker, allocation.step, done / elapsed_s)


def record_completion(
    known: speeds.Speeds,
    worker: workers.Worker,
    allocation: workers.Allocation,
    now: float,
) -> None:
    """Sample the run time of a task that completed."""
    task, step = allocation.task, allocation.step.step
    if step.gang or step.long_running or task.resumed:
        return
    run_time_s = now - task.started_at
    if task.started_at and run_time_s > 0:
        _observe(known, worker, allocation.step, 1 / run_time_s)
        _record_rate(known, worker, allocation.step, 1 / run_time_s)


def _observe(
    known: speeds.Speeds, worker: workers.Worker, step_run: state.StepRun, rate: float
) -> None:
    """Compare a whole run with its siblings at nominal speed.

    Progress gives no samples: a task in the tail is polled seven times as often, and
    workers that held one such task counted as seven times slower.
    """
    others = [
        each for name, each in step_run.nominal_rates.items() if name != worker.id
    ]
    if others:
        known.observe(worker.id, worker.kind, rate / statistics.median(others))


def _record_rate(
    known: speeds.Speeds, worker: workers.Worker, step_run: state.StepRun, rate: float
) -> None:
    """Update a worker's speed from a rate, in fractions of a task per second."""
    step_run.nominal_rates.pop(worker.id, None)
    if rate > 0:
        step_run.nominal_rates[worker.id] = rate / known.speed(worker.id, worker.kind)
    step_run.task_rates[worker.id] = rate
    others = _find_rates_of_others(worker, step_run)
    if not any(others):
        return
    speed = min(MAX_SPEED, rate / statistics.fmean(others))
    if worker.samples:
        speed = SAMPLE_WEIGHT * speed + (1 - SAMPLE_WEIGHT) * worker.speed
    worker.speed = speed
    worker.samples += 1


def _find_rates_of_others(
    worker: workers.Worker, step_run: state.StepRun
) -> list[float]:
    """Return the latest rates of a step's tasks on the other workers."""
    return [each for name, each in step_run.task_rates.items() if name != worker.id]


def find_slow(candidates: Iterable[workers.Worker], now: float) -> list[workers.Worker]:
    """Return the workers that have become slow and exclude them from new starts."""
    sampled = [
        each for each in candidates if each.samples >= MIN_SAMPLES and each.responsive
    ]
    if len(sampled) < MIN_SAMPLED_WORKERS:
        return []
    limit = SLOW_FRACTION * statistics.median(each.speed for each in sampled)
    slow = [each for each in sampled if each.speed < limit]
    for worker in slow:
        worker.slow_until = now + SLOW_WORKER_PAUSE_S
        worker.slowness = worker.speed * SLOW_FRACTION / limit if limit else 1.0
        worker.samples = 0  # sampled again after the pause
    return slow


def find_movable(worker: workers.Worker, now: float) -> list[workers.Allocation]:
    """Return the tasks of a slow worker that would end sooner on another worker.

    A task whose queue is missing could not start there. The remaining time is derived
    from the progress, as estimates are too inaccurate.
    """
    found = []
    for allocation in worker.allocations.values():
        task, step = allocation.task, allocation.step.step
        if task.phase is not state.TaskPhase.RUNNING or step.long_running:
            continue
        if allocation.step.job.queue is None:
            continue
        ran_s = now - task.started_at
        done = max(task.percent, 1) / 100
        if task.resumed or ran_s < MIN_SAMPLE_S:
            continue
        remaining_s = ran_s * (1 - done) / done
        repeated_fraction = 1 - done if step.checkpointing else 1.0
        moved_s = ran_s / done * repeated_fraction * worker.slowness + RESTART_COST_S
        if remaining_s > MIN_MOVE_GAIN * moved_s:
            found.append(allocation)
    return found


def find_tails(cell: cell_state.CellState, now: float) -> list[workers.Allocation]:
    """Return the tasks in the tail that would end sooner on a fast worker with room.

    They keep their work by a checkpoint, and each is moved once. The run time by its
    progress is compared with the siblings at nominal speed, so a task that is late
    since its worker is slow does not count.
    """
    known = cell.speeds
    if not known.differ:
        return []
    ranks = {each.id: known.rank(each.id, each.kind) for each in cell.workers.values()}
    fastest = max(ranks.values(), default=0)
    targets = [
        each
        for each in cell.workers.values()
        if ranks[each.id] == fastest
        and each.is_usable(now, cell.zones_out)
        and each.free().cpus > 0
    ]
    found: list[workers.Allocation] = []
    typical_s: dict[str, float] = {}
    for worker in cell.workers.values():
        if not targets:
            break
        if ranks[worker.id] == fastest:
            continue
        own = known.speed(worker.id, worker.kind)
        for allocation in worker.allocations.values():
            if not _may_be_tail(worker, allocation, now):
                continue
            task, step_run = allocation.task, allocation.step
            total_s = (task.progressed_at - task.started_at) * 100 / task.percent
            if step_run.id not in typical_s:
                typical_s[step_run.id] = job_times.task_s(cell, step_run)
            if total_s * own < TAIL_FACTOR * typical_s[step_run.id]:
                continue
            target = _find_target(allocation, targets)
            if target is None:
                continue
            stay_s = total_s - (now - task.started_at)
            moved_s = stay_s * own / known.speed(target.id, target.kind)
            # Twice the cost, since the room may be taken before the task starts there.
            if stay_s > moved_s + 2 * RESTART_COST_S:
                targets.remove(target)
                task.moved_as_tail = True
                found.append(allocation)
    return found


def _may_be_tail(
    worker: workers.Worker, allocation: workers.Allocation, now: float
) -> bool:
    """Return whether a task would keep its work and has run for long enough."""
    task, step = allocation.task, allocation.step.step
    return (
        step.checkpointing
        and not step.gang
        and not step.long_running
        and task.phase is state.TaskPhase.RUNNING
        and not task.moved_as_tail
        and not task.resumed
        and task.percent > 0
        and allocation.step.job.queue is not None
        and now - task.started_at >= MIN_TAIL_S
        and worker.returned_at <= task.started_at  # else perhaps paused meanwhile
    )


def _find_target(
    allocation: workers.Allocation, targets: list[workers.Worker]
) -> workers.Worker | None:
    """Return a worker that could take a task at once."""
    step_run = allocation.step
    label, demand = step_run.step.required_label, step_run.step.occupied()
    for worker in targets:
        if (
            worker.entry.pool == step_run.job.queue.pool
            and (not label or label in worker.entry.labels)
            and worker.has_room(demand)
            and (step_run.job.queue.approval is None or step_run.allowed.get(worker.id))
        ):
            return worker
    return None
