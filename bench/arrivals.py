"""Jobs of heavy days: urgent checks, proofs of many tasks, builds that are gangs."""

import dataclasses
import random

from toucanspring import resources
from toucanspring.coordinator import catalogue, job_specs

END_S = 60.0
WORKERS = 24
POOL = "pool"
WIDEST_GANG = 0.5  # of what the approved workers hold when empty


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """Describe jobs of one kind; times are seconds."""

    rate: float  # jobs a second
    steps: float
    width: float
    seconds: float
    most_s: float
    cpus: float  # thousandths
    memory: int
    worth: float
    stretch: float
    target_s: float
    error: float  # part of the runs that fail
    estimate_off: float
    checkpointing: float  # part of the steps
    gang: float
    approved: float  # part of the workers
    approval: catalogue.Approval


def _approval(decision_s: float, per_worker_s: float) -> catalogue.Approval:
    return catalogue.Approval(
        decision_s=decision_s, per_worker_s=per_worker_s, validity_s=2.5
    )


KINDS = {
    "check": Kind(
        rate=15.0, steps=1.0, width=2.0, seconds=1.0, most_s=2.5, cpus=2600,
        memory=4700, worth=0.46, stretch=1.5, target_s=0.25, error=0.005,
        estimate_off=0.9, checkpointing=0.0, gang=0.3, approved=0.7,
        approval=_approval(0.012, 0.0002),
    ),
    "build": Kind(
        rate=0.82, steps=1.2, width=5.0, seconds=6.2, most_s=16.0, cpus=9000,
        memory=9000, worth=9.8, stretch=2.2, target_s=1.0, error=0.02,
        estimate_off=0.2, checkpointing=0.5, gang=1.0, approved=0.35,
        approval=_approval(0.45, 0.0065),
    ),
    "proof": Kind(
        rate=3.4, steps=1.5, width=10.0, seconds=2.2, most_s=5.4, cpus=1800,
        memory=2600, worth=1.5, stretch=4.0, target_s=3.0, error=0.05,
        estimate_off=0.5, checkpointing=0.8, gang=0.0, approved=0.45,
        approval=_approval(0.053, 0.00075),
    ),
}  # fmt: skip
PRIORITIES = {"check": 0, "build": 1, "proof": 2}


def make_catalogue() -> catalogue.Catalogue:
    """Return the queues of all kinds."""
    return catalogue.Catalogue(
        version=1,
        queues=tuple(
            catalogue.Queue(
                name=name, host="h", path_prefix=f"/{name}/", pool=POOL,
                priority=PRIORITIES[name], max_attempts=3, stretch=kind.stretch,
                target_s=kind.target_s, approval=kind.approval,
            )
            for name, kind in KINDS.items()
        ),
    )  # fmt: skip


@dataclasses.dataclass(eq=False)
class Arrival:
    """Hold a job with what only the simulation knows of it."""

    spec: job_specs.Job
    kind: str
    at: float
    seconds: list[list[float]]  # of each task by step
    due: float  # seconds after its arrival
    worth: float
    ended_at: float = 0.0


def _spread(rng: random.Random, mean: float, spread: float, most: float) -> float:
    return min(most, mean * rng.lognormvariate(-spread * spread / 2, spread))


def make_arrivals(load: str, rng: random.Random) -> list[Arrival]:
    """Draw the jobs of one day."""
    found = []
    for name, kind in KINDS.items():
        now = 0.0
        while True:
            burst = load == "burst" and name == "check" and 20 <= now < 24
            now += rng.expovariate(kind.rate * (3 if burst else 1))
            if now > END_S:
                break
            found.append(_make_arrival(name, kind, now, len(found), rng))
    return sorted(found, key=lambda each: each.at)


def _make_arrival(
    name: str, kind: Kind, at: float, number: int, rng: random.Random
) -> Arrival:
    steps, seconds, cost = [], [], 0.0
    for position in range(1 if rng.random() > kind.steps - 1 else 2):
        count = max(1, round(_spread(rng, kind.width, 0.7, kind.width * 5)))
        base = _spread(rng, kind.seconds, 0.5, kind.most_s)
        times = [base * rng.uniform(0.8, 1.2) for _ in range(count)]
        cpus = round(_spread(rng, kind.cpus, 0.4, 15_000))
        off = rng.uniform(1 - kind.estimate_off, 1 + kind.estimate_off)
        gang = rng.random() < kind.gang
        if gang:
            slots = WORKERS * kind.approved * (32_000 // cpus)
            count = min(count, max(1, int(slots * WIDEST_GANG)))
        steps.append(
            job_specs.Step(
                count=count,
                demand=resources.Resources(cpus, kind.memory, 0),
                estimate_ms=round(1000 * base * off),
                after=(position - 1,) if position else (),
                gang=gang,
                checkpointing=rng.random() < kind.checkpointing,
            )
        )
        if gang:
            times = [max(times)] * count
        seconds.append(times)
        cost += cpus / 1000 * sum(times)
    mean_cost = kind.steps * kind.width * kind.seconds * kind.cpus / 1000
    size = min(4.0, 0.3 + 0.7 * cost / mean_cost)
    chain_s = sum(max(times) for times in seconds)
    spec = job_specs.Job(
        id=f"{number:016x}", queue=name, organisation="o", payload="",
        steps=tuple(steps),
    )  # fmt: skip
    due = kind.stretch * chain_s + kind.target_s
    return Arrival(spec, name, at, seconds, due, kind.worth * size)
