"""The load of the cell, as the coordinator counts and sends it; see `load_view`."""

from __future__ import annotations

import collections
import dataclasses
import math

import msgspec

from toucanspring import decoding, errors, resources
from toucanspring.coordinator import (
    cell_state,
    job_specs,
    plans,
    state,
    urgency,
    workers,
)
from toucanspring.policy import admission

NOTICE = "load"
INTERVAL_S = 0.5  # a process knows of a change within twice this time
# Time constant of the drain rate: some run times of common tasks.
SMOOTHING_S = 4.0
# Younger work may only wait for the next round or an approval, so that nothing tells
# yet how fast the backlog drains.
MIN_WAITED_S = 1.0
# Starts come in lumps, e.g. when a pool fills with tasks of a minute. Declared times
# may be twice the true ones, so that work drains at up to twice the time of the pool.
MAX_RATE = 2.0
# Workers register again within some seconds after a total failure.
WORKERS_KNOWN_AFTER_S = 10.0
# An organisation at its ceiling has room for a task now and then, while all its other
# work goes on waiting for the ceiling.
NEAR_CEILING_SHARE = 0.9
MAX_LARGEST = 8  # bounds the notice; with more kinds the size of tasks is not judged


class PriorityRow(msgspec.Struct, frozen=True, array_like=True):
    """Load of one priority and all more urgent ones of a pool, in pool milliseconds.

    `fair` counts the organisations within their share only. `drain` is in thousandths.
    """

    priority: int
    backlog_ms: int
    timely_ms: int
    fair_backlog_ms: int
    fair_timely_ms: int
    drain: int
    oldest_ms: int


class PoolRow(msgspec.Struct, frozen=True, array_like=True):
    """A pool: cores, thousandths in use, its largest workers (none: not known)."""

    name: str
    cores: int
    used: int
    largest: tuple[resources.Resources, ...]
    priorities: tuple[PriorityRow, ...]


class OrganisationRow(msgspec.Struct, frozen=True, array_like=True):
    """Thousandths of the cell in use, waiting core-seconds, whether over its share."""

    name: str
    used: int
    demand_s: int
    is_over_share: bool


class Report(msgspec.Struct, frozen=True, array_like=True):
    """The load that the coordinator of an epoch counted at a time of its own clock."""

    epoch: int
    sequence: int
    counted_ms: int  # since the epoch began
    pools: tuple[PoolRow, ...]
    organisations: tuple[OrganisationRow, ...]
    is_full: bool = False  # no more jobs should be accepted; see `backlog`


encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Report)


def decode(body: bytes) -> Report | errors.Malformed:
    """Decode a report of another process."""
    return decoding.decode(_decoder, body, "load report")


def estimate_s(step: job_specs.Step) -> float:
    """Return the expected run time of one task of a step."""
    return step.estimate_ms / 1000


def find_chain_s(steps: tuple[job_specs.Step, ...]) -> float:
    """Return the expected time of the longest chain of steps."""
    ends: list[float] = []
    for step in steps:
        begins = max((ends[each] for each in step.after), default=0.0)
        ends.append(begins + estimate_s(step))
    return max(ends, default=0.0)


def find_demands(
    steps: tuple[job_specs.Step, ...],
) -> list[tuple[resources.Resources, resources.Resources]]:
    """Return what one task of each step occupies, and takes at least of the ceiling."""
    return [
        (step.occupied(), step.demand.times(step.count if step.gang else 1))
        for step in steps
    ]


def is_judged(job: job_specs.Job) -> bool:
    """Return whether the time when a job would end can be told at all."""
    return not job.repeats and all(
        step.estimate_ms and not step.long_running and not step.uses_idle_cpus
        for step in job.steps
    )


@dataclasses.dataclass(slots=True)
class _Sums:
    """Waiting core-seconds of one pool and priority."""

    backlog: float = 0.0
    timely: float = 0.0
    fair_backlog: float = 0.0
    fair_timely: float = 0.0
    oldest_s: float = 0.0

    def add(self, amount: float, timely: bool, fair: bool, age_s: float) -> None:
        self.backlog += amount
        self.timely += amount * timely
        self.fair_backlog += amount * fair
        self.fair_timely += amount * (timely and fair)
        self.oldest_s = max(self.oldest_s, age_s)

    def merge(self, other: _Sums) -> None:
        self.backlog += other.backlog
        self.timely += other.timely
        self.fair_backlog += other.fair_backlog
        self.fair_timely += other.fair_timely
        self.oldest_s = max(self.oldest_s, other.oldest_s)


class Builder:
    """Counts the load of a cell under one epoch.

    Starts are counted as they are planned, waiting steps once for each report.
    """

    def __init__(self, cell: cell_state.CellState, epoch: int, now: float) -> None:
        self._cell = cell
        self._epoch = epoch
        self._began_at = self._counted_at = now
        self._sequence = 0
        self._started: dict[tuple[str, int], float] = collections.defaultdict(float)
        self._drains: dict[tuple[str, int], float] = {}
        self._largest: dict[str, tuple[resources.Resources, ...]] = {}
        self._paused = False  # nothing might start in a round since the last count

    def record_round(self, starts: list[plans.Start], may_start: bool) -> None:
        """Count the runs that a round has planned, if anything may start."""
        self._paused = self._paused or not may_start
        for start in starts:
            queue = start.step.job.queue
            if queue is not None:
                key = (queue.pool, queue.priority)
                self._started[key] += _core_s(start.step, 1)

    def build(self, now: float) -> Report:
        """Count the load.

        The drain rates stay as they are if nothing might start since the last count: a
        backlog of an outage says nothing of the rate after it.
        """
        over_share = urgency.find_over_share(self._cell)
        sums, demands = self._count_waiting(over_share, now)
        pools = tuple(self._make_pool(name, sums, now) for name in self._find_pools())
        self._started.clear()
        self._paused = False
        self._counted_at = now
        self._sequence += 1
        capacity = self._cell.capacity()
        organisations = tuple(
            OrganisationRow(
                name,
                _to_thousandths(self._cell.used[name].dominant(capacity)),
                round(demands.get(name, 0.0)),
                name in over_share,
            )
            for name in sorted(self._cell.catalogue.organisations)
        )
        counted_ms = round((now - self._began_at) * 1000)
        is_full = self._cell.is_full()
        return Report(
            self._epoch, self._sequence, counted_ms, pools, organisations, is_full
        )

    def _find_pools(self) -> list[str]:
        found = {queue.pool for queue in self._cell.catalogue.queues}
        return sorted(found)

    def _count_waiting(
        self, over_share: frozenset[str], now: float
    ) -> tuple[dict[tuple[str, int], _Sums], dict[str, float]]:
        sums: dict[tuple[str, int], _Sums] = collections.defaultdict(_Sums)
        demands: dict[str, float] = collections.defaultdict(float)
        for step_run in self._cell.ready.values():
            job, step = step_run.job, step_run.step
            queue = job.queue
            if queue is None or step.long_running or job.is_final:
                continue
            amount = _core_s(step_run, len(step_run.waiting))
            name = job.spec.organisation
            demands[name] += amount
            if job.over_rate or self._is_at_ceiling(step_run):
                continue
            timely = not urgency.is_late(step_run, now)
            sums[queue.pool, queue.priority].add(
                amount, timely, name not in over_share, now - step_run.ready_at
            )
        return sums, demands

    def _is_at_ceiling(self, step_run: state.StepRun) -> bool:
        name = step_run.job.spec.organisation
        organisation = self._cell.organisations.get(name)
        if organisation is None:
            return bool(name)  # nothing starts for an unknown organisation
        ceiling = organisation.ceiling
        if not (ceiling.cpus or ceiling.memory or ceiling.accelerators):
            return False
        count = step_run.step.count if step_run.step.gang else 1
        wanted = self._cell.used[name] + step_run.step.demand.times(count)
        return any(
            limit and amount > NEAR_CEILING_SHARE * limit
            for amount, limit in zip(
                (wanted.cpus, wanted.memory, wanted.accelerators),
                (ceiling.cpus, ceiling.memory, ceiling.accelerators),
                strict=True,
            )
        )

    def _make_pool(
        self,
        name: str,
        sums: dict[tuple[str, int], _Sums],
        now: float,
    ) -> PoolRow:
        capacity = used = resources.ZERO
        largest = self._largest.get(name, ())
        occupied: dict[int, int] = collections.defaultdict(int)  # by priority
        for worker in self._cell.pool(name):
            # Workers that have not answered a new coordinator yet count, too: without
            # them the backlog would seem many times as long.
            zones_out = self._cell.zones_out
            if not worker.entry.draining and worker.entry.zone not in zones_out:
                capacity = capacity + worker.entry.capacity
                used = used + worker.used
                _add_occupied(worker, occupied)
            if not any(worker.entry.capacity.fits(each) for each in largest):
                kept = [
                    each for each in largest if not each.fits(worker.entry.capacity)
                ]
                largest = (*kept, worker.entry.capacity)
        self._largest[name] = largest
        cores = capacity.cpus / 1000
        share = used.dominant(capacity)
        is_full = share >= admission.SATURATED_SHARE
        rows, total, passed_s = [], _Sums(), now - self._counted_at
        started, running = 0.0, 0.0
        queues = self._cell.catalogue.queues
        priorities = {queue.priority for queue in queues if queue.pool == name}
        priorities |= {priority for pool, priority in sums if pool == name}
        for priority in sorted(priorities):
            total.merge(sums.get((name, priority), _Sums()))
            started += self._started.get((name, priority), 0.0)
            running += occupied[priority] / 1000
            key = (name, priority)
            if cores and not self._paused and passed_s > 0:
                # Between the starts of long tasks, the share that they hold tells.
                rate = min(MAX_RATE, started / cores / passed_s)
                rate = max(rate, running / cores)
                if not is_full or total.oldest_s < MIN_WAITED_S:
                    rate = max(1.0, rate)  # what waits may wait for something else
                self._smooth(key, rate, passed_s)
            rows.append(_make_row(priority, total, cores, self._drains.get(key, 1.0)))
        known = now - self._began_at >= WORKERS_KNOWN_AFTER_S
        return PoolRow(
            name,
            round(cores),
            _to_thousandths(share),
            largest if known and len(largest) <= MAX_LARGEST else (),
            tuple(rows),
        )

    def _smooth(self, key: tuple[str, int], rate: float, passed_s: float) -> None:
        """Follow the drain rate, which begins at 1."""
        before = self._drains.get(key, 1.0)
        weight = 1 - math.exp(-passed_s / SMOOTHING_S)
        self._drains[key] = before + weight * (rate - before)


def _add_occupied(worker: workers.Worker, occupied: dict[int, int]) -> None:
    """Add the millicores that the tasks of a worker hold, by priority."""
    for allocation in worker.allocations.values():
        queue, step = allocation.step.job.queue, allocation.step.step
        if queue is not None and not step.long_running:
            occupied[queue.priority] += step.occupied().cpus


def _core_s(step_run: state.StepRun, tasks: int) -> float:
    step = step_run.step
    millicores = 0 if step.uses_idle_cpus else step.demand.cpus
    return tasks * millicores / 1000 * estimate_s(step)


def _make_row(priority: int, total: _Sums, cores: float, drain: float) -> PriorityRow:
    scale = 1000 / cores if cores else 0.0
    return PriorityRow(
        priority,
        round(total.backlog * scale),
        round(total.timely * scale),
        round(total.fair_backlog * scale),
        round(total.fair_timely * scale),
        _to_thousandths(drain),
        round(total.oldest_s * 1000),
    )


def _to_thousandths(value: float) -> int:
    return round(value * 1000)
