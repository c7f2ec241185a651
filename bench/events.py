"""Measure store writes of events: at rest, in bulk and after worker failures.

Run: .venv/bin/python -m bench.events --seed 1
"""

import collections
import json
import sys
import time

import defopt

from bench import cell
from toucanspring.reporting import event_rows

# The events of applied documents are written 30 s after the first events of a start.
SETTLE_S = 45.0
REST_S = 60.0
BULK_JOBS = 60
BULK_TASKS = 1000
BULK_RUN_MS = 60.0
BULK_CPUS = 0.2
BULK_LIMIT_S = 40.0
HELD_JOBS = 10
HELD_TASKS = 1000
WORKERS = 24
# Lease and grace period of a worker are 23.1 s; the events must be written within a
# further 5 s.
LOSS_LIMIT_S = 45.0


class EventWriteCounter:
    """Count writes of event rows between two calls."""

    def __init__(self, running: cell.Cell) -> None:
        self._cell = running
        self._seen = 0
        self.count_new()

    def count_new(self) -> dict[str, float]:
        """Return the writes and bytes since the last call."""
        found = self._cell.cluster.record("tables")
        new = found["events"][self._seen :]
        self._seen = len(found["events"])
        sizes = [
            size
            for item in new
            if item["kind"] == "commit"
            for key, size in item["sizes"].items()
            if key.startswith(event_rows.PREFIX)
        ]
        return {"writes": len(sizes), "bytes": sum(sizes)}


def measure(*, seed: int = 1) -> None:
    """Print the numbers of writes and bytes as one JSON line.

    :param seed: Seed of the choice of entry processes.
    """
    result: dict[str, object] = {"bench": "events", "seed": seed}
    with cell.Cell(seed, workers=WORKERS) as running:
        time.sleep(SETTLE_S)
        counter = EventWriteCounter(running)
        result["rest"] = measure_writes(counter, lambda: time.sleep(REST_S))
        result["bulk"] = measure_writes(counter, lambda: run_bulk(running))
        held = running.submit("held", HELD_JOBS, HELD_TASKS // HELD_JOBS, None)
        result["held"] = running.wait_running(held, HELD_TASKS)
        counter.count_new()
        result["losses"] = measure_writes(
            counter, lambda: fail_all_workers(running, result)
        )
        result["entries"] = count_entries_by_kind(running)
    print(json.dumps(result))


def count_entries_by_kind(running: cell.Cell) -> dict[str, int]:
    """Return the number of written events of each kind."""
    rows = event_rows.read(running.tables(), time.time() - 3600)
    found = event_rows.join(rows, [])
    return dict(collections.Counter(item["kind"] for item in found))


def measure_writes(counter: EventWriteCounter, work) -> dict[str, float]:
    """Return the writes and bytes during `work`, in total and per second."""
    started = time.monotonic()
    work()
    seconds = time.monotonic() - started
    found = counter.count_new()
    return {
        **found,
        "seconds": round(seconds, 1),
        "writes_per_s": round(found["writes"] / seconds, 3),
        "bytes_per_s": round(found["bytes"] / seconds),
    }


def run_bulk(running: cell.Cell) -> None:
    """Run batch tasks in bulk, then wait until their events are written."""
    submitted = running.submit(
        "bulk", BULK_JOBS, BULK_TASKS, BULK_RUN_MS, cpus=BULK_CPUS
    )
    running.wait_done(submitted, BULK_LIMIT_S)
    time.sleep(35.0)


def fail_all_workers(running: cell.Cell, result: dict[str, object]) -> None:
    """Make all workers fail at once; wait until the events name all of them."""
    names = [vm.id for vm in running.cluster.list_vms() if vm.role == "worker"]
    failed_at = time.monotonic()
    running.cluster.set_faults("workers", workers=names, die=True)
    client = running.tables()
    while time.monotonic() - failed_at < LOSS_LIMIT_S:
        rows = event_rows.read(client, time.time() - 3600)
        found = event_rows.select(event_rows.join(rows, []), kind="worker_lost")
        if len({item["worker"] for item in found}) == WORKERS:
            break
        time.sleep(0.2)
    result["workers_named"] = len({item["worker"] for item in found})
    result["written_after_s"] = round(time.time() - max(i["time"] for i in found), 1)


if __name__ == "__main__":
    defopt.run(measure, argv=sys.argv[1:])
