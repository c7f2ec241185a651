"""Measure the utilisation of a full cell against its upper bound.

24 workers run a list of mixed tasks. The ratio is the used fraction of the scarcest
resource until the last task starts; the upper bound is the whole cell. The policy is
the waiting queue with the worker index; the baseline starts tasks strictly in arrival
order on the first worker with room.
"""

import heapq
import random

from bench import work
from toucanspring import job, resources
from toucanspring.scheduling import placement, waiting

WORKERS = 24
TASKS = 6000
RUN_SECONDS = (20.0, 300.0)
SCAN_LIMIT = 200  # waiting tasks to consider after each task end


class Policy:
    """Start waiting tasks in queue order, but skip those without room."""

    def __init__(self, seed: int) -> None:
        self.index = placement.WorkerIndex(random.Random(seed))
        self._queue = waiting.WaitingQueue()

    def submit(self, specs: list[job.JobSpec]) -> None:
        """Queue all jobs."""
        for number, spec in enumerate(specs):
            self._queue.add(spec, [0], now=number * 1e-6)

    def start(self) -> list[tuple[str, job.JobSpec]]:
        """Return the tasks to start now and their workers."""
        started = []
        for scanned, group in enumerate(self._queue.next_groups("team")):
            if scanned >= SCAN_LIMIT:
                break
            worker = self.index.choose(group.spec.demand)
            if isinstance(worker, str):
                self._queue.take(group.spec.id, 1)
                self.index.allocate(worker, group.spec.demand)
                started.append((worker, group.spec))
        return started

    def has_waiting(self) -> bool:
        """Return whether any task is waiting."""
        return len(self._queue) > 0


class Baseline:
    """Start tasks in arrival order on the first worker with room."""

    def __init__(self) -> None:
        self.index = work.FirstFit()
        self._specs: list[job.JobSpec] = []

    def submit(self, specs: list[job.JobSpec]) -> None:
        """Queue all jobs."""
        self._specs = list(reversed(specs))

    def start(self) -> list[tuple[str, job.JobSpec]]:
        """Return the tasks to start now and their workers."""
        started = []
        while self._specs:
            worker = self.index.choose(self._specs[-1].demand)
            if worker is None:
                break
            spec = self._specs.pop()
            self.index.allocate(worker, spec.demand)
            started.append((worker, spec))
        return started

    def has_waiting(self) -> bool:
        """Return whether any task is waiting."""
        return bool(self._specs)


def make_work(seed: int) -> list[job.JobSpec]:
    """Return single-task jobs of the mix."""
    rng = random.Random(seed)
    return [
        job.JobSpec(
            id=f"j{number}",
            name="mix",
            team="team",
            demand=work.make_demand(rng),
            run_seconds=rng.uniform(*RUN_SECONDS),
        )
        for number in range(TASKS)
    ]


def simulate(policy, specs: list[job.JobSpec]) -> float:
    """Return the used fraction of the scarcest resource until the last start."""
    total = resources.ZERO
    for facts in work.worker_facts(WORKERS, 3):
        policy.index.add(*facts)
        total += facts[1]
    policy.submit(specs)
    now = 0.0
    running: list[tuple[float, str, str, resources.Resources]] = []
    used = resources.ZERO
    integrals = [0.0, 0.0, 0.0]
    while True:
        for worker, spec in policy.start():
            entry = (now + spec.run_seconds, spec.id, worker, spec.demand)
            heapq.heappush(running, entry)
            used += spec.demand
        if not policy.has_waiting():
            break
        ends_at, _, worker, demand = heapq.heappop(running)
        for dimension, amount in enumerate((used.cpus, used.memory, used.accelerators)):
            integrals[dimension] += amount * (ends_at - now)
        now = ends_at
        policy.index.release(worker, demand)
        used -= demand
    fractions = [
        integral / now / amount
        for integral, amount in zip(
            integrals, (total.cpus, total.memory, total.accelerators), strict=True
        )
    ]
    print(
        type(policy).__name__,
        [round(fraction, 4) for fraction in fractions],
        f"{now:.0f} s",
    )
    return max(fractions)


def main() -> None:
    """Run the policy and the baseline on the same jobs."""
    seed = work.parse_seed()
    specs = make_work(seed)
    work.print_result(
        bench="packing",
        seed=seed,
        utilisation_ratio=simulate(Policy(seed), specs),
        baseline_utilisation_ratio=simulate(Baseline(), specs),
    )


if __name__ == "__main__":
    main()
