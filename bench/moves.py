"""Compare skewed load on three partitions with and without worker moves."""

from __future__ import annotations

import itertools
import json
import os
import random
import sys
import time

import defopt

from bench import cell, change
from standins import checker, facts
from toucanspring import job, settings

PARTITIONS = 3
DAEMONS = 3
WORKERS = 12
LOAD_S = 8.0
BATCH_S = 0.5
TASKS_PER_BATCH = 18
# Fraction of the tasks that go to partition 0, which has workers for less than half of
# them.
SKEW = 0.8
TASK_MS = 2000.0
CPUS = 4
DRAIN_S = 10.0


def choose_job_ids(rng: random.Random, prefix: str, count: int) -> list[str]:
    """Return job IDs, of which the fraction `SKEW` maps to partition 0."""
    job_ids: list[str] = []
    numbers = itertools.count()
    while len(job_ids) < count:
        skewed = rng.random() < SKEW
        wanted = 0 if skewed else rng.randrange(1, PARTITIONS)
        job_ids.append(
            next(
                job_id
                for number in numbers
                if job.partition_of(job_id := f"{prefix}-{number}", PARTITIONS)
                == wanted
            )
        )
    return job_ids


def run(seed: int, moves: str) -> dict[str, object]:
    """Run one cell; return how much it completes and how long tasks wait."""
    os.environ[f"{settings.PREFIX}MOVES"] = moves
    rng = random.Random(seed)
    submitted: dict[str, float] = {}
    with cell.Cell(
        seed, workers=WORKERS, daemons=DAEMONS, partitions=PARTITIONS
    ) as running:
        time.sleep(3)  # until all workers are attached
        began = time.monotonic()
        for number in range(int(LOAD_S / BATCH_S)):
            time.sleep(max(0.0, began + number * BATCH_S - time.monotonic()))
            job_ids = choose_job_ids(rng, f"skewed-{number}", TASKS_PER_BATCH)
            sent_at = time.monotonic()
            running.submit("", len(job_ids), 1, TASK_MS, cpus=CPUS, job_ids=job_ids)
            submitted.update(dict.fromkeys(job_ids, sent_at))
        ended = time.monotonic()
        running.wait_done(list(submitted), DRAIN_S)
        gave_up_at = time.monotonic()
        records = running.cluster.records()
    events = records["workers"]["events"]
    first: dict[str, float] = {}
    for event in events:
        if event["kind"] == "start":
            first.setdefault(job.job_of(event["task"]), event["at"])
    # A task that never started counts as waiting until the end of the run.
    waits = [first.get(name, gave_up_at) - at for name, at in submitted.items()]
    done = sum(
        event["kind"] == "end" and event["state"] == "done" and event["at"] < ended
        for event in events
    )
    return {
        "submitted_tasks": len(submitted),
        "done_in_load": done,
        "core_s_in_load": done * TASK_MS / 1000 * CPUS,
        "wait_mean_s": round(sum(waits) / len(waits), 3),
        "wait_p50_s": change.percentile(waits, 0.5),
        "wait_p95_s": change.percentile(waits, 0.95),
        "not_started": len(submitted) - len(first),
        "violations": len(checker.check(records, facts.RunFacts())),
        "events_dropped": records["workers"]["dropped"],
    }


def measure(*, seed: int = 1) -> None:
    """Print the results of both runs as one JSON line.

    :param seed: Seed of the job IDs and of the choice of entry processes.
    """
    result = {
        "bench": "moves",
        "seed": seed,
        "load_s": LOAD_S,
        "moves": run(seed, "on"),
        "baseline": run(seed, "off"),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    defopt.run(measure, argv=sys.argv[1:])
