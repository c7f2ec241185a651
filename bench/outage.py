"""Measure deadlines met and capacity used during an outage of an availability zone.

The jobs are those of `bench.wait` with less deadline work, so that
earliest-deadline-first order can meet the deadlines in two of three zones. One zone is
out of service in the middle third of the span. The policy is the scheduler of one
partition; the baseline is the same scheduler with only normal jobs without deadlines.
"""

import msgspec

from bench import wait, work
from toucanspring import job
from toucanspring.scheduling import effects

DEADLINE_LOAD = 0.4  # fraction of the capacity; two thirds of that remain
SPAN_S = 1800.0  # time during which jobs arrive
OUT_FROM_S = SPAN_S / 3
OUT_UNTIL_S = 2 * SPAN_S / 3
# Tasks that end soon are not stopped, so a zone takes some time to drain.
DRAIN_S = 30.0
ZONE = "az0"
WORKER_FACTS = work.worker_facts(wait.WORKERS, 3)
ZONE_BY_WORKER = {name: zone for name, _, zone, _ in WORKER_FACTS}


class Policy(wait.Policy):
    """Simulate an outage of a zone and record the usage."""

    def __init__(self, seed: int, jobs: list[tuple[float, job.JobSpec]]) -> None:
        super().__init__(seed)
        self._demands = {spec.id: spec.demand for _, spec in jobs}
        self._is_out = False
        # (time, used millicores, usable millicores)
        self.usage: list[tuple[float, int, int]] = []
        self.late_starts = 0
        self.checkpoints = 0  # after the drain, while the zone is out of service
        self.stopped_millicore_s = 0.0  # that the checkpointed tasks had run

    def step(self, now: float) -> None:
        """Change the state of the zone when due, tick, and record the usage."""
        is_out = OUT_FROM_S <= now < OUT_UNTIL_S
        if is_out != self._is_out:
            self._is_out = is_out
            out = frozenset([ZONE]) if is_out else frozenset()
            self._apply(self._scheduler.set_availability_zones(out, now), now)
        super().step(now)
        free = self._scheduler.free_by_worker()
        used = usable = 0
        for name, capacity, zone, _ in WORKER_FACTS:
            if not (is_out and zone == ZONE):
                used += capacity.cpus - free[name].cpus
                usable += capacity.cpus
        self.usage.append((now, used, usable))
        self._count_late(now)

    def _apply(self, found: list[effects.Effect], now: float) -> None:
        if OUT_FROM_S + DRAIN_S <= now < OUT_UNTIL_S:
            for effect in found:
                if isinstance(effect, effects.StopTasks):
                    self._count_stops(effect.task_ids, now)
        super()._apply(found, now)

    def _count_stops(self, task_ids: list[str], now: float) -> None:
        for key in self._running.keys() & set(task_ids):
            self.checkpoints += 1
            cpus = self._demands[job.job_of(key)].cpus
            self.stopped_millicore_s += cpus * (now - self._running[key][1])

    def _count_late(self, now: float) -> None:
        if self._is_out:
            self.late_starts += sum(
                ZONE_BY_WORKER[worker] == ZONE
                and started_at >= OUT_FROM_S + wait.TICK_S
                for _, started_at, worker in self._running.values()
            )


def used_ratio(policy: Policy, start: float, end: float) -> float:
    """Return the used fraction of the usable capacity in an interval."""
    found = [entry for entry in policy.usage if start <= entry[0] < end]
    return sum(used for _, used, _ in found) / sum(usable for *_, usable in found)


def redone_ratio(policy: Policy) -> float:
    """Return the fraction of usable capacity that stopped tasks had used by then.

    This is the work that would be repeated if the tasks did not support checkpoints.
    """
    start, end = OUT_FROM_S + DRAIN_S, OUT_UNTIL_S
    usable = [entry[2] for entry in policy.usage if start <= entry[0] < end]
    return policy.stopped_millicore_s / (sum(usable) * wait.TICK_S)


def without_classes(
    jobs: list[tuple[float, job.JobSpec]],
) -> list[tuple[float, job.JobSpec]]:
    """Return the jobs as normal jobs without deadlines, in arrival order."""
    return [
        (
            at,
            msgspec.structs.replace(
                spec, job_class=job.JobClass.NORMAL, deadline_seconds=None
            ),
        )
        for at, spec in jobs
    ]


def met_ratio(policy: Policy, jobs: list[tuple[float, job.JobSpec]]) -> float:
    """Return the fraction of the deadline jobs in `jobs` that ended in time."""
    due = [(at, spec) for at, spec in jobs if spec.deadline_seconds is not None]
    met = sum(
        policy.ended_at(spec) <= at + spec.deadline_seconds + 1e-6 for at, spec in due
    )
    return met / len(due)


def main() -> None:
    """Run both deployments with and without classes."""
    seed = work.parse_seed()
    wait.DEADLINE_LOAD = DEADLINE_LOAD
    wait.SPAN_S = SPAN_S
    met = {"policy": 1.0, "baseline": 1.0}
    used = {"policy": 1.0, "baseline": 1.0}
    refilled = 1.0
    late = 0
    checkpoints, redone = 0, 0.0
    for deployment in wait.DEPLOYMENTS:
        jobs = wait.make_jobs(deployment, seed)
        latest = max(at + (spec.deadline_seconds or 0.0) for at, spec in jobs)
        for name, given in (("policy", jobs), ("baseline", without_classes(jobs))):
            policy = Policy(seed, jobs)
            policy.run(given, latest + wait.TICK_S)
            ratio = met_ratio(policy, jobs)
            out = used_ratio(policy, OUT_FROM_S + DRAIN_S, OUT_UNTIL_S)
            back = used_ratio(policy, OUT_UNTIL_S, OUT_UNTIL_S + DRAIN_S)
            print(
                f"{deployment.name} {name}: deadlines met {ratio:.4f}, "
                f"used while out {out:.4f}, in the {DRAIN_S:g} s after {back:.4f}"
            )
            met[name] = min(met[name], ratio)
            used[name] = min(used[name], out)
            if name == "policy":
                refilled = min(refilled, back)
                late += policy.late_starts
                checkpoints += policy.checkpoints
                redone = max(redone, redone_ratio(policy))
    work.print_result(
        bench="outage",
        seed=seed,
        deadline_met_ratio=met["policy"],
        baseline_deadline_met_ratio=met["baseline"],
        used_ratio=used["policy"],
        baseline_used_ratio=used["baseline"],
        refilled_ratio=refilled,
        late_starts=late,
        checkpoints=checkpoints,
        redone_ratio=redone,
    )


if __name__ == "__main__":
    main()
