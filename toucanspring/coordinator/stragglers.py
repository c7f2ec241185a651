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
SLOW_SHARE = 0.35
SLOW_S = 4.0
MIN_JUDGED = 4  # workers with samples, without which there is no median
# A task goes elsewhere if it would take this many times as long here.
WORTH_MOVING = 2.0
RESTART_S = 0.6  # a stop, a checkpoint read, a start


def take_progress(
    worker: workers.Worker, held: workers.Held, percent: int, now: float
) -> None:
    """Take in the progress of a task; those of gangs wait for each other."""
    task, step = held.task, held.step.step
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
    _take(worker, held.step, done / passed_s)


def take_end(worker: workers.Worker, held: workers.Held, now: float) -> None:
    """Take in a task that ended well."""
    task, step = held.task, held.step.step
    if step.gang or step.long_running or task.resumed:
        return
    lasted_s = now - task.started_at
    if task.started_at and lasted_s > 0:
        _take(worker, held.step, 1 / lasted_s)


def _take(worker: workers.Worker, run: state.StepRun, rate: float) -> None:
    """Compare the rate of a task, a part of its work a second, with other workers'."""
    run.rates[worker.id] = rate
    others = [each for name, each in run.rates.items() if name != worker.id]
    if not others or not any(others):
        return
    speed = min(MAX_SPEED, rate / statistics.mean(others))
    if worker.samples:
        speed = SAMPLE_WEIGHT * speed + (1 - SAMPLE_WEIGHT) * worker.speed
    worker.speed = speed
    worker.samples += 1


def find_slow(known: Iterable[workers.Worker], now: float) -> list[workers.Worker]:
    """Return the workers that have turned slow, which get nothing new for a while."""
    judged = [each for each in known if each.samples >= MIN_SAMPLES and each.answering]
    if len(judged) < MIN_JUDGED:
        return []
    limit = SLOW_SHARE * statistics.median(each.speed for each in judged)
    slow = [each for each in judged if each.speed < limit]
    for worker in slow:
        worker.slow_until = now + SLOW_S
        worker.slowness = worker.speed * SLOW_SHARE / limit if limit else 1.0
        worker.samples = 0  # judged anew once it is tried again
    return slow


def find_movable(worker: workers.Worker, now: float) -> list[workers.Held]:
    """Return the tasks of a slow worker that would end sooner elsewhere.

    What is left is judged by the progress so far, as estimates are too rough for it.
    """
    found = []
    for held in worker.held.values():
        task, step = held.task, held.step.step
        if task.phase is not state.Phase.RUNNING or step.long_running:
            continue
        ran_s = now - task.started_at
        done = max(task.percent, 1) / 100
        if task.resumed or ran_s < MIN_SAMPLE_S:
            continue
        here_s = ran_s * (1 - done) / done
        again = 1 - done if step.checkpointing else 1.0
        elsewhere_s = ran_s / done * again * worker.slowness + RESTART_S
        if here_s > WORTH_MOVING * elsewhere_s:
            found.append(held)
    return found
