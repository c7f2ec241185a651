"""Measure how costs grow with workers, tasks, teams, members and the log.

Each part measures at least three sizes and prints the slope of a least squares line.
"""

from __future__ import annotations

import gc
import json
import random
import statistics
import sys
import time

import defopt

from bench import cell
from toucanspring import job, resources
from toucanspring.owners import log_records
from toucanspring.policy import fair_share
from toucanspring.scheduling import scheduler

WINDOW_S = 8.0  # a multiple of the 4 s between reports of workers with tasks
IDLE_WORKERS_WINDOW_S = 28.0  # a multiple of the 7 s between reports without tasks
SETTLE_S = 3.0
ATTACH_LIMIT_S = 30.0
PARTS = ("log", "recovery", "workers", "tasks", "teams", "members")
RATES = ("core_percent", "bytes_per_s", "store_writes_per_s", "store_reads_per_s")


def slope(sizes: list[float], values: list[float]) -> tuple[float, float]:
    """Return the slope and the intercept of the least squares line."""
    line = statistics.linear_regression(sizes, values)
    return line.slope, line.intercept


def report(part: str, unit: str, rows: list[dict[str, float]], size: str) -> dict:
    """Print the rows of one part; return the slope of each measured value."""
    for row in rows:
        print(part, json.dumps(row), flush=True)
    sizes = [row[size] for row in rows]
    found: dict[str, object] = {"per": unit}
    for name in rows[0]:
        if name != size:
            gradient, base = slope(sizes, [row[name] for row in rows])
            found[name] = {
                "slope": float(f"{gradient:.4g}"),
                "base": float(f"{base:.4g}"),
            }
    return found


def measure_window(running: cell.Cell, seconds: float = WINDOW_S) -> dict[str, float]:
    """Return the rates and the memory over a time window."""
    time.sleep(SETTLE_S)
    before = running.sample()
    time.sleep(seconds)
    rates = cell.per_second(before, running.sample())
    found = {name: rates[name] for name in RATES}
    found["resident_mb"] = round(max(running.resident_mb().values()), 2)
    return found


def wait_attached(running: cell.Cell, workers: int) -> None:
    """Wait until all workers are attached to their owner."""
    deadline = time.monotonic() + ATTACH_LIMIT_S
    while time.monotonic() < deadline:
        reply = running.client.call(
            "GET", "/v1/workers", key=running.cluster.operator_key
        )
        found = reply.json()["workers"] if reply.status == 200 else []
        if sum(worker["state"] == "attached" for worker in found) == workers:
            return
        time.sleep(0.2)
    raise RuntimeError(f"{workers} workers were not attached within the limit")


def measure_workers(seed: int) -> dict:
    """Return the cost of one daemon for numbers of idle workers."""
    rows = []
    for workers in (24, 96, 192):
        with cell.Cell(
            seed, workers=workers, daemons=1, partitions=1, worker_processes=2
        ) as running:
            wait_attached(running, workers)
            rates = measure_window(running, IDLE_WORKERS_WINDOW_S)
            rows.append({"workers": workers, **rates})
    return report("workers", "worker", rows, "workers")


def measure_tasks(seed: int) -> dict:
    """Return the cost of one daemon for numbers of running tasks."""
    rows = []
    with cell.Cell(seed, daemons=1, partitions=1) as running:
        held = 0
        for number, tasks in enumerate((0, 1000, 2000, 4000)):
            if tasks > held:
                added = (tasks - held) // 10
                names = running.submit(f"held-{number}", 10, added, None, cpus=0.1)
                running.wait_running(names, tasks - held)
                held = tasks
            rows.append({"tasks": tasks, **measure_window(running)})
    return report("tasks", "running task", rows, "tasks")


def measure_teams(seed: int) -> dict:
    """Return the cost of one daemon for numbers of teams with a ceiling."""
    rows = []
    for teams in (1, 100, 350, 700):
        with cell.Cell(seed, daemons=1, partitions=1, teams=teams) as running:
            held = running.submit("held", 1, 100, None)
            running.wait_running(held, 100)
            rows.append({"teams": teams, **measure_window(running)})
    return report("teams", "team with a ceiling", rows, "teams")


def measure_members(seed: int) -> dict:
    """Return the cost per daemon for numbers of daemons, without workers."""
    rows = []
    for daemons in (3, 9, 18):
        with cell.Cell(seed, workers=0, daemons=daemons) as running:
            rows.append({"members": daemons, **measure_window(running)})
    return report("members", "member", rows, "members")


def spec(number: int) -> job.JobSpec:
    """Return a batch job with one task."""
    return job.JobSpec(
        id=f"refresh-{number:08d}",
        name="route-temperatures",
        team="sofia-roads",
        queue="sofia-roads",
        demand=resources.Resources(1000, 2048, 0),
        payload=b'{"run_ms": 300}',
    )


def measure_log() -> dict:
    """Return the size of the log for numbers of jobs and of finished tasks."""
    rows = []
    done = job.Outcome(job.State.DONE)
    for jobs in (100, 1000, 10_000):
        accepted = [log_records.Accepted(spec(number)) for number in range(jobs)]
        outcomes = {job.task_id(spec(number).id, 0): done for number in range(jobs)}
        rows.append(
            {
                "jobs": jobs,
                "accepted_bytes": len(
                    log_records.encode(log_records.Batch("b" * 32, 1, accepted))
                ),
                "finished_bytes": len(
                    log_records.encode(log_records.Finished(outcomes))
                ),
            }
        )
    return report("log", "job or task", rows, "jobs")


def measure_recovery(seed: int) -> dict:
    """Return the CPU time and memory of recovering a partition, by its jobs."""
    rows = []
    done = job.Outcome(job.State.DONE)
    for jobs in (2000, 10_000, 40_000):
        records: list[log_records.Record] = [
            log_records.Accepted(spec(number)) for number in range(jobs)
        ]
        half = {job.task_id(spec(n).id, 0): done for n in range(0, jobs, 2)}
        records.append(log_records.Finished(half))
        content = log_records.encode(log_records.Batch("snapshot", 1, records))
        del records
        gc.collect()
        before_mb = cell.resident_mb_self()
        started = time.process_time()
        state = log_records.State()
        for record in log_records.decode_batch(content).records:
            state.apply(record)
        machine = scheduler.Scheduler(0, random.Random(seed))
        machine.set_teams({"sofia-roads": fair_share.Team("sofia-roads")}, 0.0)
        machine.restore(
            list(state.specs.values()),
            state.outcome_map(),
            dict(state.intents),
            set(state.cancelled),
            set(),
            0.0,
        )
        spent = time.process_time() - started
        grown_mb = cell.resident_mb_self() - before_mb
        rows.append({"jobs": jobs, "ms": round(spent * 1000, 1), "mb": grown_mb})
    return report("recovery", "job in the log", rows, "jobs")


def measure(*, seed: int = 1, parts: list[str] = list(PARTS)) -> None:  # noqa: B006
    """Print the slopes and one JSON line.

    :param seed: Seed of the choice of entry processes.
    :param parts: Parts to measure.
    """
    measures = {
        "log": measure_log,
        "recovery": lambda: measure_recovery(seed),
        "workers": lambda: measure_workers(seed),
        "tasks": lambda: measure_tasks(seed),
        "teams": lambda: measure_teams(seed),
        "members": lambda: measure_members(seed),
    }
    result = {part: measures[part]() for part in parts}
    print(json.dumps({"bench": "slopes", "seed": seed, **result}))


if __name__ == "__main__":
    defopt.run(measure, argv=sys.argv[1:])
