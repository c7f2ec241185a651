"""Measure how services are spread again after an outage of an availability zone.

A simulated cell of 24 workers in three zones runs spread services and more batch work
than it can do. One zone is taken out of service and returned, with several limits on
the rate of moves.
"""

import collections
import random

from bench import outage, wait, work
from toucanspring import job, resources
from toucanspring.policy import fair_share
from toucanspring.scheduling import effects, scheduler

RATES_S = (0.0, 2.0, 10.0, 30.0)  # seconds per move; 0 disables moves
SERVICES = 4
SERVICE_TASKS = 12
LOAD = 1.5
OUT_FROM_S = 600.0
BACK_S = 900.0
END_S = 1800.0
WINDOW_S = 60.0


class Policy(wait.Policy):
    """Run the cell; record stops and the spread after the return of the zone."""

    def __init__(self, seed: int, spread_move_s: float) -> None:
        super().__init__(seed)
        self._scheduler = scheduler.Scheduler(0, random.Random(seed), spread_move_s)
        self._scheduler.set_teams({wait.TEAM: fair_share.Team(wait.TEAM)}, 0.0)
        self._is_out = False
        self.stops: list[float] = []  # times after the return
        self.even_at: float | None = None  # when all services were evenly spread again
        self.idle: list[float] = []  # idle fraction of the cell after the return

    def step(self, now: float) -> None:
        """Change the state of the zone when due, tick, and record the spread."""
        is_out = OUT_FROM_S <= now < BACK_S
        if is_out != self._is_out:
            self._is_out = is_out
            out = frozenset([outage.ZONE]) if is_out else frozenset()
            self._apply(self._scheduler.set_availability_zones(out, now), now)
        super().step(now)
        if now < BACK_S:
            return
        free = self._scheduler.free_by_worker().values()
        capacity = wait.WORKERS * work.PLAIN.cpus
        self.idle.append(sum(amount.cpus for amount in free) / capacity)
        if self.even_at is None and self._is_even():
            self.even_at = now

    def _is_even(self) -> bool:
        """Return whether zones differ by at most one task in each service."""
        counts: dict[str, collections.Counter] = collections.defaultdict(
            lambda: collections.Counter(
                dict.fromkeys(outage.ZONE_BY_WORKER.values(), 0)
            )
        )
        for key, (_, _, worker) in self._running.items():
            if key.startswith("service"):
                counts[job.job_of(key)][outage.ZONE_BY_WORKER[worker]] += 1
        return len(counts) == SERVICES and all(
            max(found.values()) - min(found.values()) < 2
            and sum(found.values()) == SERVICE_TASKS
            for found in counts.values()
        )

    def _apply(self, found: list[effects.Effect], now: float) -> None:
        for effect in found:
            if isinstance(effect, effects.StopTasks) and now >= BACK_S:
                self.stops += [now] * len(effect.task_ids)
        super()._apply(found, now)


def make_jobs(seed: int) -> list[tuple[float, job.JobSpec]]:
    """Return (arrival time, job) for spread services and batch jobs."""
    rng = random.Random(seed)
    jobs = [
        (
            0.0,
            job.JobSpec(
                id=f"service{number}",
                name=f"service{number}",
                team=wait.TEAM,
                kind=job.Kind.SERVICE,
                task_count=SERVICE_TASKS,
                demand=resources.Resources(2000, 4096),
                run_seconds=float("inf"),
                spread=True,
            ),
        )
        for number in range(SERVICES)
    ]
    left = LOAD * wait.WORKERS * work.PLAIN.cpus * END_S
    while left > 0:
        cpus = rng.randrange(1000, 8001, 500)
        spec = job.JobSpec(
            id=f"batch{len(jobs)}",
            name="batch",
            team=wait.TEAM,
            demand=resources.Resources(cpus, rng.randrange(1, 3) * cpus),
            run_seconds=rng.uniform(20, 200),
        )
        jobs.append((rng.uniform(1, END_S), spec))
        left -= cpus * spec.run_seconds
    return sorted(jobs, key=lambda entry: entry[0])


def main() -> None:
    """Run the cell with each rate."""
    seed = work.parse_seed()
    figures: dict[str, object] = {}
    for rate in RATES_S:
        policy = Policy(seed, rate)
        policy.run(make_jobs(seed), END_S)
        peak = max(
            (
                sum(at <= other < at + WINDOW_S for other in policy.stops)
                for at in policy.stops
            ),
            default=0,
        )
        figures[f"move_{rate:g}_s"] = {
            "even_after_s": policy.even_at and policy.even_at - BACK_S,
            "stops": len(policy.stops),
            "stops_per_minute_max": peak,
            "idle": round(sum(policy.idle) / len(policy.idle), 4),
        }
    work.print_result(bench="spread", seed=seed, **figures)


if __name__ == "__main__":
    main()
