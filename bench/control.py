"""Measure the cost of a daemon at rest and of placing tasks in bulk."""

import json
import subprocess
import sys
import time

import defopt

from bench import cell
from standins import processes

HELD_TASKS = 1000  # that run without end
HELD_JOBS = 10
IDLE_S = 12.0
BULK_JOBS = 60
BULK_TASKS = 1000
BULK_RUN_MS = 60.0
BULK_CPUS = 0.2
BULK_LIMIT_S = 20.0
IMPORTS = (
    "import importlib, sys; from toucanspring import daemon; "
    "[importlib.import_module(n) for n in daemon.SERVICES.values()]; "
    "print(flush=True); sys.stdin.read()"
)


def base_resident_mb() -> float:
    """Return the resident memory of a process that only imports the daemon."""
    command = [sys.executable, "-c", IMPORTS]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=processes.ROOT
    ) as child:
        child.stdout.readline()
        found = cell.resident_mb(child.pid)
        child.stdin.close()
    return found


def measure(*, seed: int = 1) -> None:
    """Print the costs at rest and in bulk, and one JSON line.

    :param seed: Seed of the choice of entry processes.
    """
    result: dict[str, object] = {"bench": "control", "seed": seed}
    result["base_resident_mb"] = round(base_resident_mb(), 1)
    with cell.Cell(seed) as running:
        held = running.submit("held", HELD_JOBS, HELD_TASKS // HELD_JOBS, None)
        result["held"] = running.wait_running(held, HELD_TASKS)
        time.sleep(3)
        before = running.sample()
        time.sleep(IDLE_S)
        after = running.sample()
        result |= cell.per_second(before, after)
        memory = running.resident_mb()
        result["resident_mb"] = round(max(memory.values()), 1)
        result["resident_mb_mean"] = round(sum(memory.values()) / len(memory), 1)
        print(result, flush=True)
        result["bulk"] = measure_bulk(running)
    tasks = BULK_JOBS * BULK_TASKS
    # The baseline is one log write per task outcome at the same placement rate.
    result["baseline_store_writes_per_s"] = result["bulk"]["placements_per_s"]
    result["bulk_tasks"] = tasks
    print(json.dumps(result))


def measure_bulk(running: cell.Cell) -> dict[str, object]:
    """Submit batch tasks in bulk; return the rates until the last task has ended."""
    before = running.sample()
    submitted = running.submit(
        "bulk", BULK_JOBS, BULK_TASKS, BULK_RUN_MS, cpus=BULK_CPUS
    )
    done = running.wait_done(submitted, BULK_LIMIT_S)
    after = running.sample()
    counts = [running.status(name).get("counts", {}) for name in submitted]
    placed = sum(count.get("done", 0) for count in counts)
    cpu_s = sum(after.cpu_s.values()) - sum(before.cpu_s.values())
    rates = cell.per_second(before, after)
    return {
        "all_done": done,
        "placements_per_s": round(placed / (after.at - before.at)),
        "cpu_us_per_placement": round(cpu_s / max(placed, 1) * 1e6, 1),
        "store_writes_per_s": rates["store_writes_per_s"],
        "store_reads_per_s": rates["store_reads_per_s"],
        "core_percent_max": rates["core_percent_max"],
    }


if __name__ == "__main__":
    defopt.run(measure, argv=sys.argv[1:])
