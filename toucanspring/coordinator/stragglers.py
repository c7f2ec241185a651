"""How fast workers run their tasks, judged by progress, and which of them are slow.

The estimates of tasks are off by up to 0.9, but the tasks of one step are alike, so a
worker is compared with the others that run the same step. A slow worker gets no new
tasks for a while, then is tried again.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from toucanspring.coordinator import state, workers

# Weight of one sample in a worker's mean.
SAMPLE_WEIGHT = 0.25
MIN_SAMPLES = 3
# Beside a slow worker all others look fast.
MAX_SPEED = 1.5
# Progress is reported in whole percent, so a sample needs some of them.
MIN_SAMPLE_S = 0.25
# Workers of different kinds differ by 1.6; a slow one is below this part of the median.
SLOW_FRACTION = 0.35
SLOW_WORKER_PAUSE_S = 4.0
MIN_SAMPLED_WORKERS = 4  # workers with samples, without which there is no median
# A task goes elsewhere if it would take this many times as long here.
MIN_MOVE_GAIN = 2.0
RESTART_COST_S = 0.6  # a stop, a checkpoint read, a start


def record_progress(
    worker: workers.Worker, allocation: workers.Allocation, percent: int, now: float
) -> None:
    """Take in the progress of a task; those of gangs wait for each other."""
    task, step = allocation.task, allocation.step.step
    if step.gang or step.long_running:
        return
    if not task.sampled_at or percent < task.sampled_percent:
        task.sampled_at, task.sampled_percent = now, percent
        return
    passed_s = now - task.sampled_at
    if passed_s < MIN_SAMPLE_S:
        return
    done = (percent - task.sampled_percent) / 100
    task.sampled_at, task.sampled_percent = now, percent
    _record_rate(worker, allocation.step, done / passed_s)


def record_completion(
    worker: workers.Worker, allocation: workers.Allocation, now: float
) -> None:
    """Take in a task that ended well."""
    task, step = allocation.task, allocation.step.step
    if step.gang or step.long_running or task.resumed:
        return
    lasted_s = now - task.started_at
    if task.started_at and lasted_s > 0:
        _record_rate(worker, allocation.step, 1 / lasted_s)


def _record_rate(worker: workers.Worker, run: state.StepRun, rate: float) -> None:
    """Compare the rate of a task, a part of its work a second, with other workers'."""
    run.task_rates[worker.id] = rate
    others = [each for name, each in run.task_rates.items() if name != worker.id]
    if not others or not any(others):
        return
    speed = min(MAX_SPEED, rate / statistics.mean(others))
    if worker.samples:
        speed = SAMPLE_WEIGHT * speed + (1 - SAMPLE_WEIGHT) * worker.speed
    worker.speed = speed
    worker.samples += 1


def find_slow(known: Iterable[workers.Worker], now: float) -> list[workers.Worker]:
    """Return the workers that have turned slow, which get nothing new for a while."""
    sampled = [
        each for each in known if each.samples >= MIN_SAMPLES and each.responsive
    ]
    if len(sampled) < MIN_SAMPLED_WORKERS:
        return []
    limit = SLOW_FRACTION * statistics.median(each.speed for each in sampled)
    slow = [each for each in sampled if each.speed < limit]
    for worker in slow:
        worker.slow_until = now + SLOW_WORKER_PAUSE_S
        worker.slowness = worker.speed * SLOW_FRACTION / limit if limit else 1.0
        worker.samples = 0  # judged anew once it is tried again
    return slow


def find_movable(worker: workers.Worker, now: float) -> list[workers.Allocation]:
    """Return the tasks of a slow worker that would end sooner elsewhere.

    What is left is judged by the progress so far, as estimates are too rough for it.
    """
    found = []
    for allocation in worker.allocations.values():
        task, step = allocation.task, allocation.step.step
        if task.phase is not state.TaskPhase.RUNNING or step.long_running:
            continue
        ran_s = now - task.started_at
        done = max(task.percent, 1) / 100
        if task.resumed or ran_s < MIN_SAMPLE_S:
            continue
        here_s = ran_s * (1 - done) / done
        again = 1 - done if step.checkpointing else 1.0
        elsewhere_s = ran_s / done * again * worker.slowness + RESTART_COST_S
        if here_s > MIN_MOVE_GAIN * elsewhere_s:
            found.append(allocation)
    return found
