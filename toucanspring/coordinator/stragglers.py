"""Detection of slow workers by the progress of their tasks.

Estimates of run times are off by up to 0.9, but the tasks of one step are alike, so a
worker is compared with the others that run the same step. A slow worker gets no new
tasks for `SLOW_WORKER_PAUSE_S`, then is sampled again.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from toucanspring.coordinator import state, workers
from toucanspring.policy import speeds

# Weight of a new sample in the moving average of a worker's speed.
SAMPLE_WEIGHT = 0.25
MIN_SAMPLES = 3
# Limits the speed of the other workers when one worker of a step is slow.
MAX_SPEED = 1.5
# Progress is reported in whole percent, so a sample has to span several.
MIN_SAMPLE_S = 0.25
# Slow workers are below this fraction of the median speed; the speeds of different
# kinds of worker differ by a factor of 1.6.
SLOW_FRACTION = 0.35
SLOW_WORKER_PAUSE_S = 4.0
MIN_SAMPLED_WORKERS = 4  # sampled workers that a meaningful median needs
# A task is moved if staying would take this many times as long as moving it.
MIN_MOVE_GAIN = 2.0
RESTART_COST_S = 0.6  # for a stop, a checkpoint read and a start


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
    task.sampled_at, task.sampled_percent = now, percent
    _record_rate(known, worker, allocation, done / elapsed_s)


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
        _record_rate(known, worker, allocation, 1 / run_time_s)


def _record_rate(
    known: speeds.Speeds,
    worker: workers.Worker,
    allocation: workers.Allocation,
    rate: float,
) -> None:
    """Update a worker's speed from a rate, in fractions of a task per second."""
    step_run = allocation.step
    _observe(known, worker, allocation, rate)
    step_run.task_rates[worker.id] = rate
    others = [each for name, each in step_run.task_rates.items() if name != worker.id]
    if not others or not any(others):
        return
    speed = min(MAX_SPEED, rate / statistics.mean(others))
    if worker.samples:
        speed = SAMPLE_WEIGHT * speed + (1 - SAMPLE_WEIGHT) * worker.speed
    worker.speed = speed
    worker.samples += 1


def _observe(
    known: speeds.Speeds,
    worker: workers.Worker,
    allocation: workers.Allocation,
    rate: float,
) -> None:
    """Record one sample of each run for the learned speeds.

    A task in the tail runs for several polls. With a sample for each of them, workers
    that held one such task counted as seven times slower.
    """
    rates, task = allocation.step.nominal_rates, allocation.task
    rates.pop(worker.id, None)
    if rates and task.speed_sampled_run != task.run:
        task.speed_sampled_run = task.run
        known.observe(worker.id, worker.kind, rate / statistics.median(rates.values()))
    if rate > 0:
        rates[worker.id] = rate / known.speed(worker.id, worker.kind)


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
