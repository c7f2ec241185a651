"""Measure the cost of placement decisions at 24 and at 26,000 workers.

Spread decisions place the tasks of jobs with `JOB_TASKS` tasks one by one; compact
decisions choose the workers of whole gangs. Both are measured at 26,000 workers only.

A decision consists of choice and allocation. Random tasks are ended to keep the cell at
each load in `LOADS`, and this time counts towards the time per decision. Both sizes are
measured in alternating blocks, so that other load on the machine affects both alike.
The results are those of the worst load.
"""

import collections
import random
import statistics
import time

from bench import work
from toucanspring.scheduling import placement

SMALL = 24
LARGE = 26_000
BLOCKS = 10
BLOCK_DECISIONS = 1500
BASELINE_DECISIONS = 300
FILL_TRIES = 25  # tasks to try on each worker to fill the cell of the baseline
LOADS = (0.5, 0.85, 1.0)  # of the processors; at 1.0 many choices find no room
ZONES = {SMALL: 3, LARGE: 27}
CONSTRAINED = 0.1  # fraction of the tasks that name two availability zones
SPREAD_JOBS = 5
JOB_TASKS = 40
GANGS = 60
GANG_SIZES = (4, 8, 16, 32, 64, 128)


class Cell:
    """A cell that is kept at a given load."""

    def __init__(self, index, seed: int, count: int, load: float) -> None:
        self.index = index
        self.latencies: list[float] = []
        self.block_means: list[float] = []
        self._rng = random.Random(seed)
        self._count = count
        self._target_cpus = load * count * work.PLAIN.cpus
        self._used = 0
        self._running: list[tuple] = []
        for facts in work.worker_facts(count, ZONES[count]):
            index.add(*facts)

    def raise_load(self, load: float) -> None:
        """Place tasks up to a load and reset the measurements."""
        self.latencies.clear()
        self.block_means.clear()
        self._target_cpus = load * self._count * work.PLAIN.cpus
        index = self.index
        misses = 0
        while self._used < self._target_cpus and misses < 50:
            demand = work.make_demand(self._rng)
            worker = index.choose(demand)
            if isinstance(worker, str):
                index.allocate(worker, demand)
                self._running.append((worker, demand))
                self._used += demand.cpus
            else:
                misses += 1

    def fill_in_order(self) -> None:
        """Fill one worker after another; same as first fit, but faster."""
        for worker, *_ in work.worker_facts(self._count, ZONES[self._count]):
            if self._used >= self._target_cpus:
                break
            for _ in range(FILL_TRIES):
                demand = work.make_demand(self._rng)
                if demand.fits(self.index.free(worker)):
                    self.index.allocate(worker, demand)
                    self._running.append((worker, demand))
                    self._used += demand.cpus

    def measure(self, decisions: int, constrained: bool) -> None:
        """Make decisions and record how long they take."""
        rng, index = self._rng, self.index
        names = [f"az{number}" for number in range(ZONES[self._count])]
        spent = 0.0
        for _ in range(decisions):
            demand = work.make_demand(rng)
            arguments = [demand]
            if constrained and rng.random() < CONSTRAINED:
                allowed = frozenset(rng.sample(names, 2))
                arguments.append(placement.Constraints(availability_zones=allowed))
            started = time.perf_counter()
            worker = index.choose(*arguments)
            placed = isinstance(worker, str)
            if placed:
                index.allocate(worker, demand)
            decided = time.perf_counter()
            self.latencies.append(decided - started)
            spent += decided - started
            if placed:
                self._running.append((worker, demand))
                self._used += demand.cpus
            if not placed or self._used > self._target_cpus:
                spent += self._end_task()
        self.block_means.append(spent / decisions)

    def measure_spread(self) -> list[float]:
        """Return the seconds per decision for tasks that are spread over racks."""
        rng, index = self._rng, self.index
        places = {facts[0]: facts[2:] for facts in work.worker_facts(*self._size())}
        spent = []
        for _ in range(SPREAD_JOBS):
            demand = work.make_demand(rng)
            counts: collections.Counter[str] = collections.Counter()
            placed = []
            for _ in range(JOB_TASKS):
                constraints = placement.Constraints(spread_counts=counts)
                started = time.perf_counter()
                worker = index.choose(demand, constraints)
                spent.append(time.perf_counter() - started)
                if isinstance(worker, str):
                    index.allocate(worker, demand)
                    counts.update(places[worker])
                    placed.append(worker)
            for worker in placed:
                index.release(worker, demand)
        return spent

    def measure_compact(self, gangs: int = GANGS) -> list[float]:
        """Return the seconds per decision for gangs in one rack or zone."""
        spent = []
        for _ in range(gangs):
            demand = work.make_demand(self._rng)
            count = self._rng.choice(GANG_SIZES)
            started = time.perf_counter()
            self.index.choose_gang(demand, count, compact=True)
            spent.append(time.perf_counter() - started)
        return spent

    def _size(self) -> tuple[int, int]:
        return self._count, ZONES[self._count]

    def _end_task(self) -> float:
        running = self._running
        position = self._rng.randrange(len(running))
        running[position], running[-1] = running[-1], running[position]
        worker, demand = running.pop()
        self._used -= demand.cpus
        started = time.perf_counter()
        self.index.release(worker, demand)
        return time.perf_counter() - started


def make_cell(seed: int, count: int) -> Cell:
    """Return an empty cell with the index under test."""
    return Cell(placement.WorkerIndex(random.Random(seed)), seed, count, 0.0)


def main() -> None:
    """Measure both sizes at all loads."""
    seed = work.parse_seed()
    slowest = ratio = p99 = spread = compact = compact_max = 0.0
    baseline_mean = 0.0
    cells = {count: make_cell(seed, count) for count in (SMALL, LARGE)}
    # The first decision builds tables that later ones use, so it is timed separately.
    first = cells[LARGE].measure_compact(1)[0]
    for load in LOADS:
        for cell in cells.values():
            cell.raise_load(load)
        for _ in range(BLOCKS):
            for cell in cells.values():
                cell.measure(BLOCK_DECISIONS, constrained=True)
        means = {
            count: statistics.median(cell.block_means) for count, cell in cells.items()
        }
        for count, cell in cells.items():
            cell_p99 = statistics.quantiles(cell.latencies, n=100)[98]
            p99 = max(p99, cell_p99)
            slowest = max(slowest, means[count])
            print(
                f"load {load}, {count} workers: {means[count] * 1e6:.1f} us,"
                f" p99 {cell_p99 * 1e3:.3f} ms"
            )
        ratio = max(ratio, means[LARGE] / means[SMALL])
        by_rack = cells[LARGE].measure_spread()
        gangs = cells[LARGE].measure_compact()
        spread = max(spread, statistics.mean(by_rack))
        compact = max(compact, statistics.mean(gangs))
        compact_max = max(compact_max, *gangs)
        print(
            f"load {load}: spread {statistics.mean(by_rack) * 1e3:.3f} ms,"
            f" compact {statistics.mean(gangs) * 1e3:.3f} ms,"
            f" max {max(gangs) * 1e3:.1f} ms"
        )
        if load == 0.85:
            baseline = Cell(work.FirstFit(), seed, LARGE, load)
            baseline.fill_in_order()
            baseline.measure(BASELINE_DECISIONS, constrained=False)
            baseline_mean = baseline.block_means[0]
    work.print_result(
        bench="placement",
        seed=seed,
        decisions_per_s=1 / slowest,
        p99_ms=p99 * 1e3,
        cost_ratio=ratio,
        baseline_decisions_per_s=1 / baseline_mean,
        spread_ms=spread * 1e3,
        compact_ms=compact * 1e3,
        compact_max_ms=compact_max * 1e3,
        compact_first_ms=first * 1e3,
    )


if __name__ == "__main__":
    main()
