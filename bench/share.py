"""Measure how far teams are from their target shares in a full cell.

Eight teams with different shares, task sizes, run times and backlogs compete for 24
workers for 60 s of simulated time, starting with an empty cell. The error of a team is
the difference between its fraction of the dominant shares of all teams and its target,
in percentage points over the whole time. The baseline starts tasks in arrival order on
the first worker with room.
"""

import collections
import dataclasses
import heapq
import random

from bench import work
from toucanspring import resources
from toucanspring.policy import fair_share
from toucanspring.scheduling import placement

WORKERS = 24
END_S = 60.0
TICK_S = 0.02
WINDOW_S = 60.0


@dataclasses.dataclass(frozen=True)
class Demand:
    """Workload of one team; `tasks` is the length of its backlog."""

    share: float
    cpus: tuple[int, int]
    memory: tuple[int, int]
    run_seconds: tuple[float, float]
    tasks: int


# The team with the largest share has neither the most nor the longest tasks, so
# both arrival order and equal treatment of all tasks miss the targets.
TEAMS = {
    "orders": Demand(30, (1000, 2000), (1024, 4096), (1, 4), 9_000),
    "proofs": Demand(20, (4000, 8000), (4096, 8192), (4, 12), 4_000),
    "ensembles": Demand(15, (8000, 8000), (8192, 16_384), (8, 20), 2_000),
    "routes": Demand(10, (500, 1000), (4096, 8192), (1, 3), 20_000),
    "reports": Demand(10, (1000, 4000), (1024, 2048), (2, 10), 9_000),
    "models": Demand(8, (2000, 6000), (8192, 24_576), (5, 15), 6_000),
    "tests": Demand(5, (500, 500), (512, 512), (1, 2), 40_000),
    "archive": Demand(2, (1000, 1000), (2048, 2048), (10, 30), 10_000),
}


def make_tasks(team: str, rng: random.Random) -> list[tuple]:
    """Return the backlog of a team as (demand, run time)."""
    kind = TEAMS[team]
    return [
        (
            resources.Resources(
                rng.randrange(kind.cpus[0], kind.cpus[1] + 1, 100),
                rng.randrange(kind.memory[0], kind.memory[1] + 1, 64),
            ),
            rng.uniform(*kind.run_seconds),
        )
        for _ in range(kind.tasks)
    ]


class Policy:
    """Start the next task of the team furthest below its target that has room."""

    def __init__(self, seed: int) -> None:
        self.index = placement.WorkerIndex(random.Random(seed))
        teams = [
            fair_share.Team(name, share=kind.share) for name, kind in TEAMS.items()
        ]
        self.tracker = fair_share.ShareTracker(teams, WINDOW_S)
        self._backlogs: dict[str, collections.deque] = {}

    def prepare(self, backlogs: dict[str, list], total: resources.Resources) -> None:
        """Set the backlogs and the total capacity."""
        self.tracker.set_total(total)
        self._backlogs = {
            team: collections.deque(tasks) for team, tasks in backlogs.items()
        }

    def start(self, now: float) -> list[tuple]:
        """Return (team, worker, demand, run time) of the tasks to start now."""
        started = []
        blocked: set[str] = set()
        under_target_blocked = False
        while True:
            shortfalls = self.tracker.shortfalls(self._backlogs, now)
            yielding = (
                self.tracker.yielding(self._backlogs, now)
                if under_target_blocked
                else ()
            )
            for team in self.tracker.rank(self._backlogs, now):
                if team in blocked or team in yielding:
                    continue
                demand, seconds = self._backlogs[team][0]
                worker = self.index.choose(demand)
                if isinstance(worker, str):
                    self._backlogs[team].popleft()
                    self.index.allocate(worker, demand)
                    self.tracker.started(team, demand, now)
                    started.append((team, worker, demand, seconds))
                    break
                blocked.add(team)
                if shortfalls[team] > 0 and not under_target_blocked:
                    under_target_blocked = True
                    yielding = self.tracker.yielding(self._backlogs, now)
            else:
                return started

    def end(self, team: str, worker: str, demand, now: float) -> None:
        """Release the resources of a task."""
        self.index.release(worker, demand)
        self.tracker.ended(team, demand, now)


class Baseline:
    """Start tasks in arrival order on the first worker with room."""

    def __init__(self, seed: int) -> None:
        self.index = work.FirstFit()
        self._rng = random.Random(seed)
        self._tasks: list[tuple] = []

    def prepare(self, backlogs: dict[str, list], _total) -> None:
        """Queue all tasks in random order of arrival."""
        self._tasks = [
            (team, demand, seconds)
            for team, tasks in backlogs.items()
            for demand, seconds in tasks
        ]
        self._rng.shuffle(self._tasks)

    def start(self, _now: float) -> list[tuple]:
        """Return (team, worker, demand, run time) of the tasks to start now."""
        started = []
        while self._tasks:
            team, demand, seconds = self._tasks[-1]
            worker = self.index.choose(demand)
            if worker is None:
                break
            self._tasks.pop()
            self.index.allocate(worker, demand)
            started.append((team, worker, demand, seconds))
        return started

    def end(self, _team: str, worker: str, demand, _now: float) -> None:
        """Release the resources of a task."""
        self.index.release(worker, demand)


def simulate(policy, seed: int) -> float:
    """Return the largest error in percentage points."""
    rng = random.Random(seed)
    total = resources.ZERO
    for name, capacity, zone, rack in work.worker_facts(WORKERS, 3):
        capacity = resources.Resources(capacity.cpus, capacity.memory)
        policy.index.add(name, capacity, zone, rack)
        total += capacity
    policy.prepare({team: make_tasks(team, rng) for team in TEAMS}, total)
    integrals = collections.Counter()
    use = dict.fromkeys(TEAMS, resources.ZERO)
    running: list[tuple] = []
    number = 0
    now = busy = 0.0
    while now < END_S:
        while running and running[0][0] <= now:
            _, _, team, worker, demand = heapq.heappop(running)
            policy.end(team, worker, demand, now)
            use[team] -= demand
        for team, worker, demand, seconds in policy.start(now):
            number += 1
            heapq.heappush(running, (now + seconds, number, team, worker, demand))
            use[team] += demand
        total_in_use = sum(use.values(), resources.ZERO)
        busy += total_in_use.dominant(total) * TICK_S
        for team, held in use.items():
            integrals[team] += held.dominant(total) * TICK_S
        now += TICK_S
    total_integral = sum(integrals.values())
    shares = sum(kind.share for kind in TEAMS.values())
    worst = 0.0
    for team, kind in TEAMS.items():
        target = 100 * kind.share / shares
        actual = 100 * integrals[team] / total_integral
        worst = max(worst, abs(actual - target))
        print(f"{type(policy).__name__} {team}: {actual:.2f} of {target:.2f}")
    print(f"{type(policy).__name__} utilisation: {busy / END_S:.4f}")
    return worst


def main() -> None:
    """Run the policy and the baseline on the same tasks."""
    seed = work.parse_seed()
    error = simulate(Policy(seed), seed)
    baseline_error = simulate(Baseline(seed), seed)
    work.print_result(
        bench="share",
        seed=seed,
        max_error_points=error,
        baseline_error_points=baseline_error,
    )


if __name__ == "__main__":
    main()
