"""Measure the work completed during an outage of an availability zone."""

from __future__ import annotations

import collections
import json
import statistics
import sys
import time

import defopt

from bench import cell, change
from standins import checker, facts

TASK_MS = 200.0
STEADY_S = 5.0
OUT_S = 6.0
AFTER_S = 4.0
DRAIN_S = 20.0
CORES = 24 * 32


def work_done(ends: list[dict], first: float, last: float, run_ms: float) -> float:
    """Return the core seconds of the tasks that completed in a time window."""
    done = sum(
        event["state"] == "done" and first <= event["at"] < last for event in ends
    )
    return done * run_ms / 1000


def refill_ms(events: list[dict], first: float, last: float) -> float:
    """Return the mean time in ms from a task end to the next start in its place.

    Ends and starts on the same worker are paired in order.
    """
    vacant: dict[str, collections.deque] = collections.defaultdict(collections.deque)
    gaps = []
    for event in sorted(events, key=lambda event: event["at"]):
        if event["kind"] == "end":
            vacant[event["worker"]].append(event["at"])
        elif event["kind"] == "start" and vacant[event["worker"]]:
            ended_at = vacant[event["worker"]].popleft()
            if first <= event["at"] < last:
                gaps.append(event["at"] - ended_at)
    return statistics.mean(gaps) * 1000


def measure(*, seed: int = 1, run_ms: float = TASK_MS) -> None:
    """Print the ratios and counts, and one JSON line.

    :param seed: Seed of the choice of entry processes.
    :param run_ms: Run time of a task in milliseconds.
    """
    with cell.Cell(seed) as running:
        zone = running.cluster.zones[0]
        with change.Load(running, run_ms) as load:
            time.sleep(3)
            began = time.monotonic()
            time.sleep(STEADY_S)
            steady = time.monotonic()
            running.client.call_as_operator("POST", f"/v1/zones/{zone}/out")
            out_at = time.monotonic()
            time.sleep(OUT_S)
            # Starts are allowed from the call on, so they may precede its response.
            in_at = time.monotonic()
            running.client.call_as_operator("POST", f"/v1/zones/{zone}/in")
            time.sleep(AFTER_S)
            ended = time.monotonic()
        left_over = not running.wait_done(load.submitted, DRAIN_S)
        outcomes = collections.Counter(
            (running.status(name).get("outcome") or {}).get("state", "none")
            for name in load.submitted
        )
        records = running.cluster.records()
    events = records["workers"]["events"]
    ends = [event for event in events if event["kind"] == "end"]
    starts = [event for event in events if event["kind"] == "start"]
    per_task = collections.Counter(
        event["task"] for event in ends if event["state"] == "done"
    )
    outage = facts.ZoneOutage(zone, out_at, in_at)
    violations = checker.check(records, facts.RunFacts(zone_outages=(outage,)))
    window = work_done(ends, out_at, ended, run_ms)
    allowed = CORES * (ended - out_at) - CORES / 3 * (in_at - out_at)
    without = work_done(ends, began, steady, run_ms) / (CORES * (steady - began))
    result = {
        "bench": "zone",
        "seed": seed,
        "run_ms": run_ms,
        "completed_ratio": round(window / allowed, 3),
        # The same load without an outage, as a fraction of all workers.
        "baseline_ratio": round(without, 3),
        "refill_ms": round(refill_ms(events, began, steady), 1),
        "late_starts": sum(
            event["availability_zone"] == zone
            and out_at + checker.IN_FORCE_S < event["at"] < in_at
            for event in starts
        ),
        "lost": outcomes["none"],
        "doubled": sum(count > 1 for count in per_task.values()),
        "outcomes": outcomes,
        "all_ended": not left_over,
        "violations": len(violations),
        "events_dropped": records["workers"]["dropped"],
    }
    if violations:
        print(violations[:3])
    print(json.dumps(result))


if __name__ == "__main__":
    defopt.run(measure, argv=sys.argv[1:])
