"""Measure submissions at rest and while a former number of partitions remains."""

from __future__ import annotations

import itertools
import json
import sys
import time

import defopt

from bench import cell, change
from toucanspring import job

DAEMONS = 4
WORKERS = 12
BEFORE, AFTER = 2, 5
SINGLE_CALLS = 150
BULK_CALLS = 15
BULK_JOBS = 100
RUN_MS = 1.0
SETTLE_S = 3.0
REMOVAL_LIMIT_S = 60.0


def submit(running: cell.Cell, prefix: str) -> dict[str, float]:
    """Return submission times in milliseconds, and store operations per job."""
    times: dict[str, list[float]] = {"single": [], "bulk": []}
    before = running.operations()
    for number in range(SINGLE_CALLS):
        began = time.monotonic()
        running.submit(f"{prefix}-one-{number}", 1, 1, RUN_MS)
        times["single"].append((time.monotonic() - began) * 1000)
    for number in range(BULK_CALLS):
        began = time.monotonic()
        running.submit(f"{prefix}-many-{number}", BULK_JOBS, 1, RUN_MS)
        times["bulk"].append((time.monotonic() - began) * 1000)
    after = running.operations()
    jobs = SINGLE_CALLS + BULK_CALLS * BULK_JOBS
    return {
        "single_p50_ms": change.percentile(times["single"], 0.5),
        "single_p95_ms": change.percentile(times["single"], 0.95),
        "bulk_p50_ms": change.percentile(times["bulk"], 0.5),
        "store_writes_a_job": round((after[0] - before[0]) / jobs, 2),
        "store_reads_a_job": round((after[1] - before[1]) / jobs, 2),
    }


def set_partitions(running: cell.Cell, number: int) -> float:
    """Change the number of partitions; return the duration of the call in seconds."""
    found = running.client.call_as_operator("GET", "/v1/partitions").json()
    began = time.monotonic()
    running.client.call_as_operator(
        "PUT",
        "/v1/partitions",
        {"partitions": number},
        **{"If-Match": str(found["generation"])},
    )
    return time.monotonic() - began


def former_counts(running: cell.Cell) -> list[int]:
    """Return the former numbers of partitions that remain."""
    return running.client.call_as_operator("GET", "/v1/partitions").json()["former"]


def measure(*, seed: int = 1) -> None:
    """Print the results as one JSON line.

    :param seed: Seed of the choice of entry processes.
    """
    result: dict[str, object] = {"bench": "resizing", "seed": seed}
    names = (f"long-{number}" for number in itertools.count())
    kept = next(
        name
        for name in names
        if job.partition_of(name, BEFORE) != job.partition_of(name, AFTER)
    )
    with cell.Cell(
        seed, workers=WORKERS, daemons=DAEMONS, partitions=BEFORE
    ) as running:
        time.sleep(SETTLE_S)
        running.submit("", 1, 1, None, job_ids=[kept])
        result["at_rest_before"] = submit(running, f"{seed}-a")
        result["change_s"] = round(set_partitions(running, AFTER), 3)
        time.sleep(SETTLE_S)
        result["former_before"] = former_counts(running)
        result["with_former"] = submit(running, f"{seed}-b")
        result["former_after"] = former_counts(running)
        running.client.call(
            "POST", "/v1/cancellations", {"ids": [kept]}, running.keys[0]
        )
        began = time.monotonic()
        while former_counts(running) and time.monotonic() - began < REMOVAL_LIMIT_S:
            time.sleep(0.1)
        result["former_removed_s"] = round(time.monotonic() - began, 1)
        result["at_rest_after"] = submit(running, f"{seed}-c")
    print(json.dumps(result))


if __name__ == "__main__":
    defopt.run(measure, argv=sys.argv[1:])
