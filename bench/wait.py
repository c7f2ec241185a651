"""Measure waits of checks and met deadlines at 1.5 times the capacity.

Both deployments of the design page are run in simulated time. Requests: the model of
`bench.overload` at 1.5 times the capacity, with 9 entry processes for Kernhalde and 8
for Zimna Patna. Jobs: a cell of 24 workers gets 1.5 times the work it can do, of which
0.6 times the capacity has a deadline that earliest-deadline order alone can meet;
Zimna Patna's deadline jobs are gangs of one night. The baseline serves in arrival
order, on random servers and on the first worker with room.
"""

import dataclasses
import heapq
import random

from bench import overload, work
from toucanspring import job, placement, resources, waiting

LOAD = 1.5
DEADLINE_LOAD = 0.6  # of the capacity, part of the load
WORKERS = 24
SPAN_S = 3600.0  # in which jobs arrive
WINDOW = 100  # waiting groups that are looked at in one pass


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Describe what differs between the deployments."""

    name: str
    entries: int
    gang: bool  # deadline jobs start together
    members: tuple[int, int]  # tasks of a deadline job
    run_seconds: tuple[float, float]
    slack_s: tuple[float, float]  # between the latest start and arrival


DEPLOYMENTS = (
    Deployment("kernhalde", 9, False, (1, 8), (30, 240), (300, 1500)),
    Deployment("zimna", 8, True, (8, 48), (120, 600), (600, 2400)),
)


def make_jobs(deployment: Deployment, seed: int) -> list[tuple[float, job.JobSpec]]:
    """Return jobs with their arrival, up to the load."""
    rng = random.Random(seed)
    capacity = WORKERS * work.PLAIN.cpus * SPAN_S
    jobs = []

    def add(job_class: job.JobClass, load: float) -> None:
        left = load * capacity
        while left > 0:
            with_deadline = job_class == job.JobClass.DEADLINE
            members = rng.randint(*deployment.members) if with_deadline else 1
            span = deployment.run_seconds if with_deadline else (20, 200)
            seconds = rng.uniform(*span)
            cpus = rng.randrange(1000, 8001, 500)
            spec = job.JobSpec(
                id=f"{job_class}{len(jobs)}",
                name=job_class,
                team="team",
                kind=job.Kind.GANG if with_deadline and deployment.gang else "batch",
                task_count=members,
                demand=resources.Resources(cpus, rng.randrange(1, 3) * cpus),
                run_seconds=seconds,
                job_class=job_class,
                deadline_seconds=(
                    seconds + rng.uniform(*deployment.slack_s)
                    if with_deadline
                    else None
                ),
            )
            jobs.append((rng.uniform(0, SPAN_S), spec))
            left -= cpus * members * seconds

    add(job.JobClass.DEADLINE, DEADLINE_LOAD)
    add(job.JobClass.NORMAL, (LOAD - DEADLINE_LOAD) / 2)
    add(job.JobClass.DEFERRABLE, (LOAD - DEADLINE_LOAD) / 2)
    return sorted(jobs, key=lambda entry: entry[0])


class Policy:
    """Serve in the order of the waiting queue; gangs ahead keep room free."""

    def __init__(self, seed: int) -> None:
        self.index = placement.WorkerIndex(random.Random(seed))
        self._queue = waiting.WaitingQueue()

    def submit(self, spec: job.JobSpec, now: float) -> None:
        """Queue a job."""
        self._queue.add(spec, range(spec.task_count), now)

    def start(self, now: float) -> list[tuple[job.JobSpec, str]]:
        """Return (job, worker) for each task to start now."""
        started = []
        blocked = False  # a deadline job waits for room
        groups = self._queue.next_groups("team", now)
        for looked_at, group in enumerate(groups):
            if looked_at >= WINDOW:
                break
            spec = group.spec
            with_deadline = spec.job_class == job.JobClass.DEADLINE
            if blocked and not with_deadline:
                break
            if spec.kind == job.Kind.GANG:
                chosen = self.index.choose_gang(spec.demand, len(group))
                if isinstance(chosen, placement.NoRoom):
                    chosen = []
            else:
                chosen = self.index.choose_many(spec.demand, len(group))
            for worker, count in chosen:
                self.index.allocate(worker, spec.demand.times(count))
                started += [(spec, worker)] * count
            count = sum(share for _, share in chosen)
            blocked = blocked or (with_deadline and count < len(group))
            self._queue.take(spec.id, count)
        return started


class Baseline:
    """Start jobs strictly in arrival order on the first worker with room."""

    def __init__(self, _seed: int) -> None:
        self.index = work.FirstFit()
        self._waiting: list[tuple[job.JobSpec, int]] = []

    def submit(self, spec: job.JobSpec, _now: float) -> None:
        """Queue a job."""
        self._waiting.append((spec, spec.task_count))

    def start(self, _now: float) -> list[tuple[job.JobSpec, str]]:
        """Return (job, worker) for each task to start now."""
        started = []
        while self._waiting:
            spec, count = self._waiting[0]
            chosen = []
            while len(chosen) < count:
                worker = self.index.choose(spec.demand)
                if worker is None:
                    break
                self.index.allocate(worker, spec.demand)
                chosen.append(worker)
            if len(chosen) < count and spec.kind == job.Kind.GANG:
                for worker in chosen:
                    self.index.release(worker, spec.demand)
                break
            started += [(spec, worker) for worker in chosen]
            if len(chosen) < count:
                self._waiting[0] = (spec, count - len(chosen))
                break
            del self._waiting[0]
        return started


def run_jobs(policy, jobs: list[tuple[float, job.JobSpec]]) -> float:
    """Return the part of the deadline jobs that ended in time."""
    for name, capacity, zone, rack in work.worker_facts(WORKERS, 3):
        plain = resources.Resources(capacity.cpus, capacity.memory)
        policy.index.add(name, plain, zone, rack)
    arrivals = {spec.id: at for at, spec in jobs}
    left = {spec.id: spec.task_count for _, spec in jobs}
    due = [spec for _, spec in jobs if spec.deadline_seconds is not None]
    met = 0
    events: list[tuple] = [
        (at, number, spec, "") for number, (at, spec) in enumerate(jobs)
    ]
    heapq.heapify(events)
    number = len(events)
    end = SPAN_S + max(spec.deadline_seconds for spec in due)
    while events and events[0][0] <= end:
        now, _, spec, worker = heapq.heappop(events)
        if worker:
            policy.index.release(worker, spec.demand)
            left[spec.id] -= 1
            if not left[spec.id] and spec.deadline_seconds is not None:
                met += now <= arrivals[spec.id] + spec.deadline_seconds + 1e-6
        else:
            policy.submit(spec, now)
        for started, on_worker in policy.start(now):
            number += 1
            ends_at = now + started.run_seconds
            heapq.heappush(events, (ends_at, number, started, on_worker))
    return met / len(due)


def main() -> None:
    """Run both deployments with the policy and the baseline."""
    seed = work.parse_seed()
    waits = {"policy": 0.0, "baseline": 0.0}
    met = {"policy": 1.0, "baseline": 1.0}
    for deployment in DEPLOYMENTS:
        overload.ENTRIES = deployment.entries
        jobs = make_jobs(deployment, seed)
        for name, requests_policy, jobs_policy in (
            ("policy", overload.Policy, Policy),
            ("baseline", overload.Baseline, Baseline),
        ):
            _, p99 = overload.simulate(requests_policy, LOAD, seed)
            ratio = run_jobs(jobs_policy(seed), jobs)
            print(f"{deployment.name} {name}: deadlines met {ratio:.4f}")
            waits[name] = max(waits[name], p99)
            met[name] = min(met[name], ratio)
    work.print_result(
        bench="wait",
        seed=seed,
        check_p99_ms=waits["policy"],
        baseline_check_p99_ms=waits["baseline"],
        deadline_met_ratio=met["policy"],
        baseline_deadline_met_ratio=met["baseline"],
    )


if __name__ == "__main__":
    main()
