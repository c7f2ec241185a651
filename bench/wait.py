"""Measure waiting times of checks and deadlines met at 1.5 times the capacity.

Both deployments of the design page are simulated, with the scheduler of one partition.
Requests follow the model of `bench.overload` at 1.5 times the capacity, with 9 entry
processes for Kernhalde and 8 for Zimna Patna. Jobs: a cell of 24 workers gets 1.5 times
the work that it can do; work of 0.6 times the capacity has deadlines, which
earliest-deadline-first order can meet on its own. The deadline jobs of Zimna Patna are
gangs of one night. The baseline serves in arrival order: requests on random servers and
jobs on the first worker with room.
"""

import collections
import dataclasses
import heapq
import math
import random

from bench import overload, work
from toucanspring import job, resources, wire
from toucanspring.policy import fair_share
from toucanspring.scheduling import effects, scheduler

LOAD = 1.5
DEADLINE_LOAD = 0.6  # fraction of the capacity; included in LOAD
WORKERS = 24
SPAN_S = 3600.0  # time during which jobs arrive
TICK_S = 2.0
TEAM = "team"


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Parameters that differ between the deployments."""

    name: str
    entries: int
    gang: bool  # deadline jobs start together
    task_counts: tuple[int, int]  # range of tasks per deadline job
    run_seconds: tuple[float, float]
    slack_s: tuple[float, float]  # range of the time between arrival and latest start


DEPLOYMENTS = (
    Deployment("kernhalde", 9, False, (1, 8), (30, 240), (300, 1500)),
    Deployment("zimna", 8, True, (8, 48), (120, 600), (600, 2400)),
)


def make_jobs(deployment: Deployment, seed: int) -> list[tuple[float, job.JobSpec]]:
    """Return (arrival time, job) for jobs that add up to the load."""
    rng = random.Random(seed)
    capacity = WORKERS * work.PLAIN.cpus * SPAN_S
    jobs = []

    def add(job_class: job.JobClass, load: float) -> None:
        left = load * capacity
        while left > 0:
            with_deadline = job_class == job.JobClass.DEADLINE
            task_counts = rng.randint(*deployment.task_counts) if with_deadline else 1
            span = deployment.run_seconds if with_deadline else (20, 200)
            seconds = rng.uniform(*span)
            cpus = rng.randrange(1000, 8001, 500)
            spec = job.JobSpec(
                id=f"{job_class}{len(jobs)}",
                name=job_class,
                team=TEAM,
                kind=job.Kind.GANG if with_deadline and deployment.gang else "batch",
                task_count=task_counts,
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
            left -= cpus * task_counts * seconds

    add(job.JobClass.DEADLINE, DEADLINE_LOAD)
    add(job.JobClass.NORMAL, (LOAD - DEADLINE_LOAD) / 2)
    add(job.JobClass.DEFERRABLE, (LOAD - DEADLINE_LOAD) / 2)
    return sorted(jobs, key=lambda entry: entry[0])


class Policy:
    """Run jobs with the scheduler of one partition and simulated workers."""

    def __init__(self, seed: int) -> None:
        self._scheduler = scheduler.Scheduler(0, random.Random(seed))
        self._scheduler.set_teams({TEAM: fair_share.Team(TEAM)}, 0.0)
        self._seconds_left: dict[str, float] = {}
        self._running: dict[str, tuple[int, float, str]] = {}  # attempt, start, worker
        self._ends: list[tuple[float, str, int]] = []
        self._ended: dict[str, list[float]] = collections.defaultdict(list)

    def run(self, jobs: list[tuple[float, job.JobSpec]], end: float) -> None:
        """Submit jobs when they arrive and tick the scheduler until the end."""
        for name, capacity, zone, rack in work.worker_facts(WORKERS, 3):
            plain = resources.Resources(capacity.cpus, capacity.memory)
            facts = effects.WorkerFacts(name, 1, plain, zone, rack)
            self._apply(self._scheduler.worker_attached(facts, [], [], 0.0), 0.0)
        position = 0
        now = 0.0
        while now < end:
            now += TICK_S
            while self._ends and self._ends[0][0] <= now:
                self._end(*heapq.heappop(self._ends))
            while position < len(jobs) and jobs[position][0] <= now:
                spec = jobs[position][1]
                for index in range(spec.task_count):
                    self._seconds_left[job.task_id(spec.id, index)] = spec.run_seconds
                self._apply(self._scheduler.submit([spec], now), now)
                position += 1
            self.step(now)

    def step(self, now: float) -> None:
        """Tick the scheduler and apply its effects."""
        self._apply(self._scheduler.tick(now), now)

    def ended_at(self, spec: job.JobSpec) -> float:
        """Return when the last task of a job ended, or infinity if one has not."""
        ended = self._ended[spec.id]
        return max(ended) if len(ended) == spec.task_count else math.inf

    def _end(self, at: float, task_id: str, attempt: int) -> None:
        if self._running.get(task_id, (None,))[0] == attempt:
            self._ended[job.job_of(task_id)].append(at)
            self._report(task_id, "done", at)

    def _report(self, task_id: str, state: str, now: float) -> None:
        attempt, started_at, worker = self._running.pop(task_id)
        run_ms = round((now - started_at) * 1000)
        finished = wire.FinishedTask(task_id, attempt, state, run_ms=run_ms)
        self._apply(self._scheduler.worker_report(worker, [finished], {}, now), now)

    def _apply(self, found: list[effects.Effect], now: float) -> None:
        for effect in found:
            match effect:
                case effects.StartTasks(worker, tasks):
                    for task in tasks:
                        key = task.task_id
                        self._running[key] = (task.attempt, now, worker)
                        ends_at = now + self._seconds_left[key]
                        heapq.heappush(self._ends, (ends_at, key, task.attempt))
                    ids = [task.task_id for task in tasks]
                    self._apply(
                        self._scheduler.starts_answered(worker, ids, [], now), now
                    )
                case effects.StopTasks(_, task_ids, _):
                    # The task resumes from its checkpoint at its next start.
                    for key in task_ids:
                        if key in self._running:
                            self._seconds_left[key] -= now - self._running[key][1]
                            self._report(key, "checkpointed", now)


class Baseline:
    """Start jobs strictly in arrival order on the first worker with room."""

    def __init__(self, _seed: int) -> None:
        self.index = work.FirstFit()
        self._ended: dict[str, list[float]] = collections.defaultdict(list)
        self._waiting: list[tuple[job.JobSpec, int]] = []

    def ended_at(self, spec: job.JobSpec) -> float:
        """Return when the last task of a job ended, or infinity if one has not."""
        ended = self._ended[spec.id]
        return max(ended) if len(ended) == spec.task_count else math.inf

    def _start(self) -> list[tuple[job.JobSpec, str]]:
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

    def end(self, spec: job.JobSpec, worker: str, now: float) -> None:
        """Record the end of a task and release its resources."""
        self.index.release(worker, spec.demand)
        self._ended[spec.id].append(now)

    def run(self, jobs: list[tuple[float, job.JobSpec]], end: float) -> None:
        """Run jobs until the end; start tasks at each arrival and at each task end."""
        for name, capacity, zone, rack in work.worker_facts(WORKERS, 3):
            plain = resources.Resources(capacity.cpus, capacity.memory)
            self.index.add(name, plain, zone, rack)
        events = [(at, number, spec, "") for number, (at, spec) in enumerate(jobs)]
        heapq.heapify(events)
        number = len(events)
        while events and events[0][0] <= end:
            now, _, spec, worker = heapq.heappop(events)
            if worker:
                self.end(spec, worker, now)
            else:
                self._waiting.append((spec, spec.task_count))
            for started, on_worker in self._start():
                number += 1
                ends_at = now + started.run_seconds
                heapq.heappush(events, (ends_at, number, started, on_worker))


def met_ratio(policy, jobs: list[tuple[float, job.JobSpec]]) -> float:
    """Return the fraction of the deadline jobs that ended in time."""
    due = [
        (at + spec.deadline_seconds, spec)
        for at, spec in jobs
        if spec.deadline_seconds is not None
    ]
    policy.run(jobs, max(deadline for deadline, _ in due) + TICK_S)
    met = sum(policy.ended_at(spec) <= deadline + 1e-6 for deadline, spec in due)
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
            ratio = met_ratio(jobs_policy(seed), jobs)
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
