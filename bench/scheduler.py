"""Measure processor time per task from submission to completion."""

import random
import sys
import time

import defopt

from toucanspring import job, resources, wire
from toucanspring.policy import fair_share
from toucanspring.scheduling import effects, scheduler

CAPACITY = resources.Resources(32_000, 65_536, 0)
DEMAND = resources.Resources(1_000, 1_024, 0)


def measure(*, tasks: int = 50_000, jobs: int = 5, workers: int = 24) -> float:
    """Print and return the microseconds of processor time per task."""
    machine = scheduler.Scheduler(0, random.Random(1))
    now = 0.0
    machine.set_teams({"zimna": fair_share.Team("zimna")}, now)
    for number in range(workers):
        zone = f"z{number % 3}"
        facts = effects.WorkerFacts(
            f"w{number}", 1, CAPACITY, zone, f"{zone}-r{number}"
        )
        machine.worker_attached(facts, [], [], now)
    specs = [
        job.JobSpec(
            id=f"job-{number}",
            name=f"name-{number % 5}",
            team="zimna",
            demand=DEMAND,
            task_count=tasks // jobs,
        )
        for number in range(jobs)
    ]
    done = 0
    started = time.process_time()
    machine.submit(specs, now)
    while done < tasks // jobs * jobs:
        now += 0.02
        for effect in machine.tick(now):
            if not isinstance(effect, effects.StartTasks):
                continue
            ids = [task.task_id for task in effect.tasks]
            machine.starts_answered(effect.worker, ids, [], now)
            ends = [
                wire.FinishedTask(task.task_id, task.attempt, "done", "", b"", 50)
                for task in effect.tasks
            ]
            machine.worker_report(effect.worker, ends, {}, now)
            done += len(ids)
    micros = (time.process_time() - started) / done * 1e6
    print(f"{done} tasks in {jobs} jobs on {workers} workers: {micros:.1f} us per task")
    return micros


if __name__ == "__main__":
    defopt.run(measure, argv=sys.argv[1:])
