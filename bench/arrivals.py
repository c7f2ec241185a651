"""Jobs under heavy load: urgent checks, proofs of many tasks, builds that are gangs."""

import dataclasses
import random

from toucanspring import resources
from toucanspring.coordinator import catalogue, job_specs

END_S = 60.0  # of the arrivals
WORKERS = 24
POOL = "pool"
MAX_GANG_FRACTION = 0.5  # of the tasks that the empty approved workers have room for


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobKind:
    """Distribution of the jobs of one kind."""

    rate: float  # jobs per second
    mean_steps: float
    mean_width: float  # tasks per step
    mean_s: float  # run time of a task
    max_s: float
    cpus: float  # mean millicores of a task
    memory: int  # MiB
    value: float
    stretch: float
    target_s: float
    failure_fraction: float  # of the runs
    estimate_error: float  # largest, as a fraction of the run time
    checkpointing: float  # fraction of the steps
    gang: float  # fraction of the steps
    approved: float  # fraction of the workers
    approval: catalogue.Approval


def approval(decision_s: float, per_worker_s: float) -> catalogue.Approval:
    """Return approval settings whose tickets are valid for 2.5 s."""
    return catalogue.Approval(
        decision_s=decision_s, per_worker_s=per_worker_s, validity_s=2.5
    )


KINDS = {
    "check": JobKind(
        rate=15.0, mean_steps=1.0, mean_width=2.0, mean_s=1.0, max_s=2.5, cpus=2600,
        memory=4700, value=0.46, stretch=1.5, target_s=0.25, failure_fraction=0.005,
        estimate_error=0.9, checkpointing=0.0, gang=0.3, approved=0.7,
        approval=approval(0.012, 0.0002),
    ),
    "build": JobKind(
        rate=0.82, mean_steps=1.2, mean_width=5.0, mean_s=6.2, max_s=16.0, cpus=9000,
        memory=9000, value=9.8, stretch=2.2, target_s=1.0, failure_fraction=0.02,
        estimate_error=0.2, checkpointing=0.5, gang=1.0, approved=0.35,
        approval=approval(0.45, 0.0065),
    ),
    "proof": JobKind(
        rate=3.4, mean_steps=1.5, mean_width=10.0, mean_s=2.2, max_s=5.4, cpus=1800,
        memory=2600, value=1.5, stretch=4.0, target_s=3.0, failure_fraction=0.05,
        estimate_error=0.5, checkpointing=0.8, gang=0.0, approved=0.45,
        approval=approval(0.053, 0.00075),
    ),
}  # fmt: skip
PRIORITIES = {"check": 0, "build": 1, "proof": 2}


def make_catalogue() -> catalogue.Catalogue:
    """Return the queues of all kinds."""
    return catalogue.Catalogue(version=1, queues=make_queues(KINDS, PRIORITIES))


def make_queues(
    kinds: dict[str, JobKind], priorities: dict[str, int]
) -> tuple[catalogue.Queue, ...]:
    """Return a queue for each kind."""
    return tuple(
        catalogue.Queue(
            name=name, host="h", path_prefix=f"/{name}/", pool=POOL,
            priority=priorities[name], max_attempts=3, stretch=kind.stretch,
            target_s=kind.target_s, approval=kind.approval,
        )
        for name, kind in kinds.items()
    )  # fmt: skip


@dataclasses.dataclass(eq=False)
class Arrival:
    """A job with the facts that only the simulation knows."""

    spec: job_specs.Job
    kind: str
    at: float
    task_seconds: list[list[float]]  # run time of each task, by step
    due_s: float  # after arrival
    value: float
    ended_at: float = 0.0


def _draw_lognormal(
    rng: random.Random, mean: float, sigma: float, maximum: float
) -> float:
    return min(maximum, mean * rng.lognormvariate(-sigma * sigma / 2, sigma))


def make_arrivals(load: str, rng: random.Random) -> list[Arrival]:
    """Generate the jobs of one run."""
    arrivals = []
    for name, kind in KINDS.items():
        now = 0.0
        while True:
            burst = load == "burst" and name == "check" and 20 <= now < 24
            now += rng.expovariate(kind.rate * (3 if burst else 1))
            if now > END_S:
                break
            arrivals.append(make_arrival(name, kind, now, len(arrivals), rng))
    return sorted(arrivals, key=lambda each: each.at)


def make_arrival(
    name: str,
    kind: JobKind,
    at: float,
    number: int,
    rng: random.Random,
    workers: int = WORKERS,
    organisation: str = "",
) -> Arrival:
    """Draw one job; a gang fits into half of the workers that may run it."""
    steps, seconds, cost = [], [], 0.0
    for position in range(1 if rng.random() > kind.mean_steps - 1 else 2):
        count = max(
            1, round(_draw_lognormal(rng, kind.mean_width, 0.7, kind.mean_width * 5))
        )
        base = _draw_lognormal(rng, kind.mean_s, 0.5, kind.max_s)
        times = [base * rng.uniform(0.8, 1.2) for _ in range(count)]
        cpus = round(_draw_lognormal(rng, kind.cpus, 0.4, 15_000))
        estimate_factor = rng.uniform(1 - kind.estimate_error, 1 + kind.estimate_error)
        gang = rng.random() < kind.gang
        if gang:
            slots = workers * kind.approved * (32_000 // cpus)
            count = min(count, max(1, int(slots * MAX_GANG_FRACTION)))
        steps.append(
            job_specs.Step(
                count=count,
                demand=resources.Resources(cpus, kind.memory, 0),
                estimate_ms=round(1000 * base * estimate_factor),
                after=(position - 1,) if position else (),
                gang=gang,
                checkpointing=rng.random() < kind.checkpointing,
            )
        )
        if gang:
            times = [max(times)] * count
        seconds.append(times)
        cost += cpus / 1000 * sum(times)
    mean_cost = kind.mean_steps * kind.mean_width * kind.mean_s * kind.cpus / 1000
    size = min(4.0, 0.3 + 0.7 * cost / mean_cost)
    chain_s = sum(max(times) for times in seconds)
    spec = job_specs.Job(
        id=f"{number:016x}", queue=name, organisation=organisation, payload="",
        steps=tuple(steps),
    )  # fmt: skip
    due_s = kind.stretch * chain_s + kind.target_s
    return Arrival(spec, name, at, seconds, due_s, kind.value * size)
