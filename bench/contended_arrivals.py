"""Jobs of organisations that compete for too little capacity, on unequal workers.

Three kinds of jobs on 176 workers need about nine tenths of the capacity. Loads:
`burst`, twice the rate of lookups for 4 s and of rebuilds for another 4 s; `hot`, two
organisations send five times their usual rate for 8 s; `wave`, the rate swings by half
within 17 s; `shift`, twice the whole load for 12 s.
"""

import math
import random

from bench import arrivals
from toucanspring import resources
from toucanspring.coordinator import catalogue

END_S = 40.0  # of the arrivals
WORKERS = 176
POOL = arrivals.POOL
APPROVAL_CALLS = 36  # concurrent calls of the approval service, one for each process
# Of workers by the position in their rack.
SPEEDS = (0.7, 0.7, 1.7)
TAIL_FRACTION = 0.03  # of the tasks
TAIL_FACTOR = 7.0
ORGANISATIONS = 20
CEILING_OF_SHARE = 2.0  # of an organisation, as a multiple of its share
LOADS = ("burst", "hot", "wave", "shift")

KINDS = {
    "lookup": arrivals.JobKind(
        rate=44.0, mean_steps=1.0, mean_width=3.2, mean_s=0.68, max_s=2.0, cpus=5000,
        memory=5100, value=0.415, stretch=1.5, target_s=0.25, failure_fraction=0.02,
        estimate_error=0.5, checkpointing=0.0, gang=0.3, approved=0.7,
        approval=arrivals.approval(0.009, 0.00013),
    ),
    "rebuild": arrivals.JobKind(
        rate=2.39, mean_steps=1.2, mean_width=20.0, mean_s=3.4, max_s=8.0, cpus=9000,
        memory=17000, value=8.74, stretch=2.2, target_s=1.0, failure_fraction=0.05,
        estimate_error=0.2, checkpointing=0.5, gang=1.0, approved=0.35,
        approval=arrivals.approval(0.34, 0.0049),
    ),
    "rebalance": arrivals.JobKind(
        rate=4.93, mean_steps=1.5, mean_width=25.0, mean_s=1.9, max_s=5.0, cpus=3500,
        memory=5000, value=2.64, stretch=4.0, target_s=3.0, failure_fraction=0.005,
        estimate_error=0.9, checkpointing=0.8, gang=0.0, approved=0.45,
        approval=arrivals.approval(0.08, 0.0011),
    ),
}  # fmt: skip
PRIORITIES = {"lookup": 0, "rebuild": 1, "rebalance": 2}
CAPACITY = resources.Resources(WORKERS * 32_000, WORKERS * 65_536, 0)


RATE_LIMIT = 1.9  # of an organisation, as a multiple of its usual rate


def shares() -> dict[str, float]:
    """Return the shares of the organisations in the load, a few of them large."""
    sizes = {f"o{n}": 5.0 if n < 3 else 1.0 for n in range(ORGANISATIONS)}
    total = sum(sizes.values())
    return {name: size / total for name, size in sizes.items()}


def make_catalogue() -> catalogue.Catalogue:
    """Return the queues of all kinds and the organisations."""
    rate = sum(kind.rate for kind in KINDS.values())
    return catalogue.Catalogue(
        version=1,
        queues=arrivals.make_queues(KINDS, PRIORITIES),
        organisations={
            name: catalogue.Organisation(
                name=name, keys=frozenset({name}),
                weight=max(1.0, RATE_LIMIT * rate * share),
                ceiling=resources.Resources(
                    round(CEILING_OF_SHARE * CAPACITY.cpus * share),
                    round(CEILING_OF_SHARE * CAPACITY.memory * share),
                ),
            )
            for name, share in shares().items()
        },
    )  # fmt: skip


def speed(number: int) -> float:
    """Return the speed of a worker by its number."""
    return SPEEDS[number % len(SPEEDS)]


def _rate_factor(load: str, name: str, organisation: str, now: float) -> float:
    match load, name:
        case "burst", "lookup" if 8 <= now < 12:
            return 2.0
        case "burst", "rebuild" if 20 <= now < 24:
            return 2.0
        case "hot", _ if organisation in ("o0", "o5") and 10 <= now < 18:
            return 5.0
        case "wave", _:
            return 1 + 0.55 * math.sin(2 * math.pi * now / 17)
        case "shift", _ if 10 <= now < 22:
            return 2.0
    return 1.0


def make_arrivals(load: str, rng: random.Random) -> list[arrivals.Arrival]:
    """Generate the jobs of one run."""
    found = []
    for name, kind in KINDS.items():
        for organisation, share in shares().items():
            now, peak = 0.0, 5.0
            while True:
                now += rng.expovariate(kind.rate * peak * share)
                if now > END_S:
                    break
                if rng.random() * peak > _rate_factor(load, name, organisation, now):
                    continue
                made = arrivals.make_arrival(
                    name, kind, now, len(found), rng, WORKERS, organisation
                )
                _add_tails(made, kind, rng)
                found.append(made)
    return sorted(found, key=lambda each: each.at)


def _add_tails(made: arrivals.Arrival, kind: arrivals.JobKind, rng) -> None:
    """Prolong a few tasks, and the time that the job may take accordingly."""
    for step, times in zip(made.spec.steps, made.task_seconds, strict=True):
        for index in range(len(times)):
            if rng.random() < TAIL_FRACTION / (step.count if step.gang else 1):
                times[index] *= TAIL_FACTOR
        if step.gang:
            times[:] = [max(times)] * len(times)
    chain_s = sum(max(times) for times in made.task_seconds)
    made.due_s = kind.stretch * chain_s + kind.target_s
