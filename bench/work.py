"""Workers, tasks and settings shared by the benchmarks."""

import argparse
import json
import random

from toucanspring import resources

# Capacity of the present workers; one in eight also has accelerators.
PLAIN = resources.Resources(32_000, 65_536, 0)
ACCELERATED = resources.Resources(32_000, 65_536, 8)
RACK_SIZE = 8

# Kinds of tasks in the mix: weight, range of millicores, range of MiB of memory, and
# whether they use accelerators. The requested resources of the mix have the proportions
# of the cell's capacity.
KINDS = (
    (0.40, (500, 2000), (512, 4096), False),
    (0.25, (2000, 8000), (1024, 8192), False),
    (0.20, (500, 4000), (4096, 16_384), False),
    (0.11, (4000, 12_000), (8192, 24_576), False),
    (0.04, (1000, 4000), (2048, 8192), True),
)


def parse_seed() -> int:
    """Return the seed from the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args().seed


def print_result(**figures: object) -> None:
    """Print the figures as one JSON line."""
    rounded = {
        name: round(value, 4) if isinstance(value, float) else value
        for name, value in figures.items()
    }
    print(json.dumps(rounded, allow_nan=False))


def worker_facts(count: int, zones: int) -> list[tuple]:
    """Return name, capacity, availability zone and rack of each worker."""
    facts = []
    for number in range(count):
        rack = number // RACK_SIZE
        capacity = ACCELERATED if number % RACK_SIZE == 0 else PLAIN
        facts.append((f"w{number}", capacity, f"az{rack % zones}", f"rack{rack}"))
    return facts


def make_demand(rng: random.Random) -> resources.Resources:
    """Return the size of a random task in steps of 100 millicores and 64 MiB."""
    weights = [kind[0] for kind in KINDS]
    _, cpus, memory, accelerated = rng.choices(KINDS, weights)[0]
    return resources.Resources(
        rng.randrange(cpus[0], cpus[1] + 1, 100),
        rng.randrange(memory[0], memory[1] + 1, 64),
        rng.choice((1, 1, 2, 4)) if accelerated else 0,
    )


class FirstFit:
    """Baseline: choose the first worker with room, in the order they were added."""

    def __init__(self) -> None:
        self._free: dict[str, resources.Resources] = {}

    def add(self, worker: str, capacity: resources.Resources, *_location: str) -> None:
        """Add an empty worker."""
        self._free[worker] = capacity

    def choose(self, demand: resources.Resources) -> str | None:
        """Return the first worker with room."""
        for worker, free in self._free.items():
            if demand.fits(free):
                return worker
        return None

    def free(self, worker: str) -> resources.Resources:
        """Return the unallocated resources of a worker."""
        return self._free[worker]

    def allocate(self, worker: str, demand: resources.Resources) -> None:
        """Allocate `demand` on a worker."""
        self._free[worker] -= demand

    def release(self, worker: str, demand: resources.Resources) -> None:
        """Release `demand` on a worker."""
        self._free[worker] += demand
