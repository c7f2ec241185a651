"""Measure conflicts on the row `workers` when many partitions need workers at once.

The schedulers, movers and rosters are those of the product; time, the table service and
the workers are simulated. Any donor can meet any need.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
import sys
import time

import defopt
import gevent
from gevent import event

from test import cell, fake_tables, partitioned
from toucanspring import errors
from toucanspring.adapters import tables
from toucanspring.owners import mover, roster

NEEDY = (2, 8, 32, 128)  # partitions in need; as many others are donors
SPARE_WORKERS = 2  # per donor, in addition to the one that it keeps
CALL_S = 0.005  # round trip to the table service; half passes before the effect
LIMIT_S = 30.0  # of simulated time


class Timeline:
    """Simulated clock that advances from one wake-up to the next."""

    def __init__(self) -> None:
        self.now = 100.0
        self._sleepers: list[tuple[float, int, event.Event]] = []
        self._numbers = itertools.count()

    def __call__(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def sleep(self, seconds: float) -> None:
        """Sleep in simulated time."""
        woken = event.Event()
        entry = (self.now + seconds, next(self._numbers), woken)
        heapq.heappush(self._sleepers, entry)
        woken.wait()

    def advance(self) -> None:
        """Advance to the next wake-up and run that greenlet until it sleeps again."""
        self.now, _, woken = heapq.heappop(self._sleepers)
        woken.set()
        gevent.sleep(0)
        gevent.sleep(0)


class Counts:
    """Counters of calls of the table service by the owners."""

    def __init__(self) -> None:
        self.committed = self.conflicts = self.reads = self.workers = 0


class Client(fake_tables.FakeClient):
    """Table client with latency; half of it passes before the effect."""

    def __init__(self, shared: Tables) -> None:
        super().__init__(shared)
        self._timeline = shared.timeline
        self._counts = shared.counts

    def transact(
        self, checks: dict[str, int], writes: dict[str, bytes], deletes: tuple = ()
    ) -> tables.Committed | errors.Failure:
        """Commit after half of the round trip and return after the other half."""
        if not self._timeline:
            return self._commit(checks, writes, deletes)
        self._timeline.sleep(CALL_S / 2)
        result = self._commit(checks, writes, deletes)
        if isinstance(result, tables.Committed):
            self._counts.committed += 1
        else:
            self._counts.conflicts += 1
        self._timeline.sleep(CALL_S / 2)
        return result

    def read(self, keys: list[str]) -> dict[str, tables.Row]:
        """Return the rows as of the middle of the call."""
        if not self._timeline:
            return super().read(keys)
        self._counts.reads += 1
        self._timeline.sleep(CALL_S / 2)
        rows = super().read(keys)
        self._timeline.sleep(CALL_S / 2)
        return rows


class Tables(fake_tables.FakeTables):
    """Tables with clients that have latency once a timeline is set."""

    def __init__(self) -> None:
        super().__init__()
        self.timeline: Timeline | None = None
        self.counts = Counts()

    def client(self) -> Client:
        """Return a new client for one owner."""
        return Client(self)


def make_partitions(needy: int) -> partitioned.Partitions:
    """Return partitions in need with one worker each, and as many donors."""
    counts = [1] * needy + [1 + SPARE_WORKERS] * needy
    return partitioned.Partitions(*counts, tables=Tables())


def run(rng: random.Random, needy: int) -> dict[str, object]:
    """Return the counts until each partition in need has a second worker."""
    started = time.process_time()
    shared = make_partitions(needy)
    for number in range(needy):
        shared.submit(number, f"job-{number}", demand=cell.CAPACITY, task_count=2)
    timeline = Timeline()
    shared.clock = timeline
    for owner in shared.owners.values():
        owner.clock = owner.mover._clock = timeline
        owner.client._timeline = timeline

    def run_owner(owner: partitioned.Owner) -> None:
        timeline.sleep(rng.random() * mover.STEP_INTERVAL_S)
        while True:
            owner.step()
            timeline.sleep(mover.STEP_INTERVAL_S)

    greenlets = [gevent.spawn(run_owner, owner) for owner in shared.owners.values()]
    gevent.sleep(0)
    began = timeline.now
    totals = shared.tables.counts
    while timeline.now - began < LIMIT_S:
        committed = totals.committed
        timeline.advance()
        if totals.committed > committed and is_met(shared, needy):
            break
    gevent.killall(greenlets)
    return {
        "needy": needy,
        "met": sum(len(shared.row()[number]) > 1 for number in range(needy)),
        "seconds": round(timeline.now - began, 2),
        "moves": totals.committed,
        "conflicts": totals.conflicts,
        "conflicts_per_move": round(totals.conflicts / max(1, totals.committed), 2),
        "reads": totals.reads,
        "row_bytes": len(shared.tables.rows[roster.WORKERS_ROW].value),
        "cpu_s": round(time.process_time() - started, 1),
    }


def is_met(shared: partitioned.Partitions, needy: int) -> bool:
    """Return whether each partition in need has received a worker."""
    row = shared.row()
    return all(len(row[number]) > 1 for number in range(needy))


def measure(*, seed: int = 1) -> None:
    """Print the counts for each number of partitions in need as one JSON line.

    :param seed: Seed of the times at which the owners run their steps.
    """
    runs = [run(random.Random(f"{seed}/{needy}"), needy) for needy in NEEDY]
    print(json.dumps({"bench": "roster", "seed": seed, "runs": runs}))


if __name__ == "__main__":
    defopt.run(measure, argv=sys.argv[1:])
