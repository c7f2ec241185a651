"""The latest report of load in one process, and its decisions by it."""

from __future__ import annotations

import math

from toucanspring import resources
from toucanspring.coordinator import catalogue, job_specs, load_report
from toucanspring.policy import admission

# The clocks of two processes may differ in speed by less than this.
MAX_CLOCK_DRIFT = 0.05


class View:
    """The latest report of the newest epoch in one process, and its decisions."""

    def __init__(self) -> None:
        self.report: load_report.Report | None = None
        self._counted_at = -math.inf
        self._received_at = -math.inf
        self._offset_s = math.inf  # of the clock of the coordinator, with the way here
        self._pools: dict[str, load_report.PoolRow] = {}
        self._over_share: frozenset[str] = frozenset()
        # Of the wait for all work and for the work in time.
        self._bands: dict[tuple[str, int, bool], list[admission.Band]] = {}
        self._shown: dict[tuple[str, int, bool], tuple[float, float]] = {}

    def receive(self, report: load_report.Report, now: float) -> bool:
        """Keep a report unless a newer one is known; return whether it was kept."""
        known = self.report
        if known is not None and (report.epoch, report.sequence) <= (
            known.epoch,
            known.sequence,
        ):
            return False
        if known is None or known.epoch != report.epoch:
            self._offset_s = math.inf
            self._bands.clear()
        self._note_time(report.counted_ms / 1000, now)
        self.report = report
        self._pools = {pool.name: pool for pool in report.pools}
        self._over_share = frozenset(
            each.name for each in report.organisations if each.is_over_share
        )
        self._show_waits()
        return True

    def _note_time(self, counted_s: float, now: float) -> None:
        """Find when a report was counted, by the fastest way here that was seen."""
        drift_s = MAX_CLOCK_DRIFT * (now - self._received_at)
        self._offset_s = min(self._offset_s + drift_s, now - counted_s)
        self._received_at = now
        self._counted_at = counted_s + self._offset_s

    def age(self, now: float) -> float:
        """Return the age of the report in seconds; infinite without one."""
        return now - self._counted_at

    def find_load(
        self, pool: str, priority: int, organisation: str
    ) -> admission.PoolLoad | None:
        """Return the load ahead of a new job of an organisation, None if unknown."""
        found = self._pools.get(pool)
        if found is None:
            return None
        over = organisation in self._over_share
        for row in found.priorities:
            if row.priority == priority:
                return _to_load(found, row, over)
        return None

    def decide(
        self,
        job: job_specs.Job,
        queue: catalogue.Queue,
        ceiling: resources.Resources,
        now: float,
        fraction: float,
    ) -> admission.Accept | admission.Refuse:
        """Accept or refuse a submission by this view; see `policy.admission`."""
        age_s = self.age(now)
        if (
            self.report is not None
            and self.report.is_full
            and age_s <= admission.MAX_VIEW_AGE_S
        ):
            return admission.refuse_for_backlog(fraction)
        pool = self._pools.get(queue.pool)
        current = pool is not None and age_s <= admission.MAX_VIEW_AGE_S
        found = admission.judge_size(
            load_report.find_demands(job.steps),
            pool.largest if current else (),
            ceiling,
            fraction,
        )
        if (
            isinstance(found, admission.Refuse)
            or not current
            or not load_report.is_judged(job)
        ):
            return found
        chain_s = load_report.find_chain_s(job.steps)
        objective_s = admission.find_objective_s(chain_s, queue.stretch, queue.target_s)
        over = job.organisation in self._over_share
        waits = self._shown.get((queue.pool, queue.priority, over), (0.0, 0.0))
        return admission.decide(
            admission.Work(chain_s, objective_s),
            self.find_load(queue.pool, queue.priority, job.organisation),
            *waits,
            age_s,
            fraction,
        )

    def measure(self, now: float) -> dict[str, float]:
        """Return the gauges of the known load by name."""
        rows = [(pool, row) for pool in self._pools.values() for row in pool.priorities]
        return {
            "load_view_age_seconds": min(1e6, self.age(now)),
            "load_epoch": self.report.epoch if self.report is not None else 0,
            **{
                f"load_backlog_seconds_{pool.name}_{row.priority}": row.backlog_ms / 1e3
                for pool, row in rows
            },
            **{
                f"load_drain_{pool.name}_{row.priority}": row.drain / 1e3
                for pool, row in rows
            },
        }

    def _show_waits(self) -> None:
        for pool in self._pools.values():
            for row in pool.priorities:
                for over in (False, True):
                    key = (pool.name, row.priority, over)
                    bands = self._bands.setdefault(
                        key, [admission.Band(), admission.Band()]
                    )
                    load = _to_load(pool, row, over)
                    self._shown[key] = (
                        bands[0].update(load.wait_s()),
                        bands[1].update(load.timely_wait_s()),
                    )


def _to_load(
    pool: load_report.PoolRow, row: load_report.PriorityRow, over: bool
) -> admission.PoolLoad:
    return admission.PoolLoad(
        (row.backlog_ms if over else row.fair_backlog_ms) / 1000,
        (row.timely_ms if over else row.fair_timely_ms) / 1000,
        row.drain / 1000,
        pool.used / 1000,
        row.oldest_ms / 1000,
    )
