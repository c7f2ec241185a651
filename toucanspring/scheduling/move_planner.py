"""Choice of the workers to move to other partitions; performs no I/O."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterator, Mapping

from toucanspring import job
from toucanspring.reporting import event_kinds
from toucanspring.scheduling import (
    capacity_report,
    dispatch,
    interruption,
    lifecycle,
    partition_capacity,
    resizing,
    task_table,
)

# Work that has waited for less time usually gets room sooner from tasks that end than
# from moving a worker, which takes about 2 s.
WAIT_BEFORE_MOVE_S = 1.0
MIN_IDLE_S = 0.5  # a worker between two tasks is not idle
MOVE_COOLDOWN_S = 10.0  # before the next move of a worker, unless for a gang
# A gang that has waited less gets only idle workers, since draining leaves capacity
# unused.
DRAIN_AFTER_S = 5.0
# A partition without workers could not start its next task before a move.
MIN_WORKERS = 1
# A gang that has waited this long may take the last worker of a partition too.
LAST_WORKER_AFTER_S = 10.0
# Limits what one request takes before the next reports arrive.
MAX_SPARE_BATCH = 8


@dataclasses.dataclass(frozen=True)
class CellView:
    """State outside the partition that the planner needs.

    `arriving` workers belong to the partition but have not attached yet. `bound`
    workers are named in records that are not complete in the log. `changed_at` maps
    partitions to the version of the row `workers` that last changed their workers,
    `moved_at` maps workers to the monotonic time of their last move, and
    `worker_counts` maps partitions to their numbers of workers.
    """

    workers_version: int = 0
    changed_at: Mapping[int, int] = dataclasses.field(default_factory=dict)
    moved_at: Mapping[str, float] = dataclasses.field(default_factory=dict)
    accepted_ms: Mapping[str, int] = dataclasses.field(default_factory=dict)
    arriving: Mapping[str, capacity_report.ListedWorker] = dataclasses.field(
        default_factory=dict
    )
    other_partition_workers: Mapping[str, capacity_report.ListedWorker] = (
        dataclasses.field(default_factory=dict)
    )
    bound: frozenset[str] = frozenset()
    partition_count: int = 0  # 0 disables moves by `resizing`
    worker_counts: Mapping[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Empty workers to move to one partition in one transaction."""

    receiver: int
    workers: tuple[str, ...]


class MovePlanner:
    """Reports what capacity a partition lacks and plans moves of its workers."""

    def __init__(
        self, core: lifecycle.Lifecycle, dispatcher: dispatch.Dispatcher
    ) -> None:
        self._core = core
        self._dispatcher = dispatcher
        self._capacity = partition_capacity.PartitionCapacity(core)
        self._idle_since: dict[str, float] = {}

    def report(self, view: CellView, now: float) -> capacity_report.CapacityReport:
        """Return the capacity that the partition lacks and its idle workers."""
        core = self._core
        new = (
            view.other_partition_workers.keys()
            - (core.other_partition_workers or {}).keys()
        )
        if new - core.known_workers.keys():
            core.new_worker_at = now  # more may follow
        core.other_partition_workers = dict(view.other_partition_workers)
        self._update_idle_times(now)
        gangs: list[capacity_report.CapacityRequest] = []
        waiting: dict[tuple, capacity_report.CapacityRequest] = {}
        for record in self._blocked():
            request = self._request(record, view, now)
            if record.spec.kind is job.Kind.GANG:
                if request := self._gang_request(request, view):
                    gangs.append(request)
            elif request.waited_ms >= WAIT_BEFORE_MOVE_S * 1000:
                shape = (request.demand, request.availability_zones)
                waiting[shape] = capacity_report.merge(waiting.get(shape), request)
        lacking: list[capacity_report.CapacityRequest] = []
        for entry in sorted(waiting.values(), key=lambda entry: entry.order):
            if len(lacking) == capacity_report.MAX_WAITING:
                break
            if remaining := self._remaining_request(entry, view, now):
                lacking.append(remaining)
        return capacity_report.CapacityReport(
            view.workers_version,
            min(gangs, key=lambda entry: entry.order, default=None),
            lacking,
            [
                capacity_report.IdleWorker(
                    worker, state.availability_zone, state.capacity
                )
                for worker in self._spare_workers(view, now)[: capacity_report.MAX_IDLE]
                for state in (core.workers[worker].facts,)
            ],
        )

    def plan(
        self,
        own: int,
        reports: dict[int, capacity_report.CapacityReport],
        view: CellView,
        now: float,
        moving: frozenset[str] = frozenset(),
    ) -> Batch | None:
        """Choose workers to move now; cordon them and those to drain first.

        Workers that are no longer requested are uncordoned, except those in `moving`:
        their owner is not known until the row `workers` has been read again.
        """
        self._update_idle_times(now)
        served = capacity_report.oldest_gang(reports)
        self._collect_for_gang(own, served)
        chosen: list[str] = []
        batch = None
        serve_own_first = served is not None and self._has_older_gang(
            served[1], view, now
        )
        if served is not None and served[0] != own and not serve_own_first:
            chosen = self._choose_for_gang(served[1], donate=True)
            self._stop_services(chosen)
            batch = self._empty_batch(served[0], chosen, view)
        fresh = {
            partition: report
            for partition, report in reports.items()
            # An older report does not include the workers that have moved since.
            if report.workers_version >= view.changed_at.get(partition, 0)
        }
        if batch is not None and batch.receiver not in fresh:
            batch = None
        if batch is None:
            batch = self._spare_batch(own, fresh, frozenset(chosen), view, now)
        if batch is None and view.partition_count:
            resized = self._rebalance_after_resize(
                own, fresh, frozenset(chosen), view, now
            )
            if resized is not None:
                receiver, freed = resized
                chosen = [*chosen, *freed]
                batch = self._empty_batch(receiver, freed, view)
        if moving:
            batch = None
        self._cordon(moving.union(chosen, batch.workers if batch else ()), now)
        return batch

    # Requests

    def _blocked(self) -> Iterator[task_table.JobRecord]:
        for record in self._dispatcher.blocked.values():
            if record.spec.id in self._core.queue and record.outcome is None:
                yield record

    def _request(
        self, record: task_table.JobRecord, view: CellView, now: float
    ) -> capacity_report.CapacityRequest:
        spec = record.spec
        return capacity_report.CapacityRequest(
            view.accepted_ms.get(spec.id, 0),
            spec.id,
            self._core.demand(spec),
            len(self._core.queue.find(spec.id)),
            tuple(spec.availability_zones or ()),
            int((now - record.accepted_at) * 1000),
        )

    def _gang_request(
        self, request: capacity_report.CapacityRequest, view: CellView
    ) -> capacity_report.CapacityRequest | None:
        """Return what a gang lacks even if its partition's own workers were empty.

        A gang that is being given workers stays in the report until it starts, so that
        no other gang is served before.
        """
        own = self._capacity.eventual_room(request) + self._capacity.listed_room(
            request, view.arriving
        )
        lacking = max(0, request.tasks - own)
        if not lacking and self._core.collecting_gang != request.job_id:
            return None
        # A gang too large for the present workers would block all others.
        if lacking > self._capacity.listed_room(request, view.other_partition_workers):
            return None
        return request.with_tasks(lacking)

    def _remaining_request(
        self, request: capacity_report.CapacityRequest, view: CellView, now: float
    ) -> capacity_report.CapacityRequest | None:
        """Return a request less what is free or arriving, if other workers fit it."""
        left = request.tasks - self._capacity.listed_room(request, view.arriving)
        left -= self._capacity.free_room(request, now)
        if left <= 0 or not self._capacity.listed_room(
            request, view.other_partition_workers
        ):
            return None
        return request.with_tasks(left)

    # Workers

    def _is_empty(self, worker: str) -> bool:
        core = self._core
        return not core.tasks_on.get(worker) and not core.workers[worker].orphans

    def _expected_empty_at(self, worker: str) -> float:
        """Return the monotonic time at which the last task is expected to end."""
        tasks = self._core.tasks_on.get(worker, {}).values()
        return max((task.expected_end for task in tasks), default=0.0)

    def _update_idle_times(self, now: float) -> None:
        idle = {worker for worker in self._core.workers if self._is_empty(worker)}
        self._idle_since = {
            worker: self._idle_since.get(worker, now) for worker in idle
        }

    def _spare_workers(self, view: CellView, now: float) -> list[str]:
        """Return the idle workers that the partition's waiting work does not need."""
        core = self._core
        reserved = core.collected_workers.union(
            view.bound, *(entry.workers for entry in core.reservations.values())
        )
        usable = dict(self._capacity.usable_workers())
        spare = [
            worker
            for worker, state in usable.items()
            if (state.schedulable or worker in core.cordoned_workers)
            and worker not in reserved
            and now - self._idle_since.get(worker, now) >= MIN_IDLE_S
            and now - view.moved_at.get(worker, -math.inf) >= MOVE_COOLDOWN_S
        ]
        for record in self._blocked():
            request = self._request(record, view, now)
            left = request.tasks
            for worker in list(spare):
                if left <= 0:
                    break
                facts = usable[worker].facts
                if room := request.room_in(facts.availability_zone, facts.capacity):
                    left -= room
                    spare.remove(worker)
        return sorted(spare)[: max(0, len(usable) - MIN_WORKERS)]

    # Workers for other partitions

    def _has_older_gang(
        self, other: capacity_report.CapacityRequest, view: CellView, now: float
    ) -> bool:
        """Return whether an older gang waits that this partition can run by itself."""
        for record in self._blocked():
            if record.spec.kind is not job.Kind.GANG:
                continue
            request = self._request(record, view, now)
            if (
                request.order < other.order
                and self._capacity.eventual_room(request) >= request.tasks
            ):
                return True
        return False

    def _choose_for_gang(
        self, request: capacity_report.CapacityRequest, donate: bool
    ) -> list[str]:
        """Return workers with the room that a gang lacks, empty ones first.

        With `donate` they will leave the partition, so services on them do not count
        as usage. Once the gang has waited for DRAIN_AFTER_S, busy workers are included
        and drained.
        """
        found = []
        for worker, state in self._capacity.usable_workers():
            amount = (
                state.facts.capacity
                if donate
                else self._capacity.capacity_without_services(worker)
            )
            room = request.room_in(state.facts.availability_zone, amount)
            empty = self._is_empty(worker)
            if room and (empty or request.waited_ms >= DRAIN_AFTER_S * 1000):
                serving = bool(self._capacity.services_on(worker))
                ends_at = self._expected_empty_at(worker)
                found.append((not empty, serving, ends_at, worker, room))
        found.sort()
        if donate and request.waited_ms < LAST_WORKER_AFTER_S * 1000:
            usable = sum(1 for _ in self._capacity.usable_workers())
            found = found[: max(0, usable - MIN_WORKERS)]
        chosen, left = [], request.tasks
        for *_, worker, room in found:
            if left <= 0:
                break
            chosen.append(worker)
            left -= room
        return chosen

    def _stop_services(self, workers: list[str]) -> None:
        """Restart services on drained workers elsewhere, since they never end."""
        for worker in workers:
            for task in self._capacity.services_on(worker):
                if not task.stop_reason and task.state is not job.State.INTENDED:
                    reason = "the worker moves to a gang's partition"
                    interruption.interrupt(
                        self._core,
                        task,
                        reason,
                        "checkpoint",
                        event_kinds.StopCause.MOVE,
                    )

    def _empty_batch(
        self, receiver: int, chosen: list[str], view: CellView
    ) -> Batch | None:
        empty = tuple(
            worker
            for worker in chosen
            if self._is_empty(worker) and worker not in view.bound
        )
        return Batch(receiver, empty) if empty else None

    def _spare_batch(
        self,
        own: int,
        reports: Mapping[int, capacity_report.CapacityReport],
        drained: frozenset[str],
        view: CellView,
        now: float,
    ) -> Batch | None:
        """Return idle workers for the oldest waiting work that they can run."""
        core = self._core
        requests = sorted(
            (entry.order, partition, entry)
            for partition, report in reports.items()
            if partition != own
            for entry in report.waiting
        )
        if not requests:
            return None
        spare = [each for each in self._spare_workers(view, now) if each not in drained]
        for _, partition, entry in requests:
            chosen, left = [], entry.tasks
            for worker in spare:
                facts = core.workers[worker].facts
                room = entry.room_in(facts.availability_zone, facts.capacity)
                if room and left > 0 and len(chosen) < MAX_SPARE_BATCH:
                    chosen.append(worker)
                    left -= room
            if chosen:
                return Batch(partition, tuple(chosen))
        return None

    def _rebalance_after_resize(
        self,
        own: int,
        reports: Mapping[int, capacity_report.CapacityReport],
        drained: frozenset[str],
        view: CellView,
        now: float,
    ) -> tuple[int, list[str]] | None:
        """Return workers to move because the number of partitions has changed."""
        core = self._core
        reserved = core.collected_workers.union(
            drained, view.bound, *(each.workers for each in core.reservations.values())
        )
        has_jobs = own >= view.partition_count and any(
            each.outcome is None for each in core.table.jobs.values()
        )
        candidates = [
            resizing.Candidate(
                not self._is_empty(worker), self._expected_empty_at(worker), worker
            )
            for worker, _ in self._capacity.usable_workers()
            if worker not in reserved
            and not self._capacity.services_on(worker)
            and now - view.moved_at.get(worker, -math.inf) >= MOVE_COOLDOWN_S
        ]
        starving = [
            partition
            for partition, report in reports.items()
            if any(each.waited_ms >= DRAIN_AFTER_S * 1000 for each in report.waiting)
        ]
        donor = resizing.Donor(own, has_jobs, bool(len(core.queue)))
        return resizing.choose_workers(
            donor, candidates, view.partition_count, view.worker_counts, starving
        )

    def _collect_for_gang(
        self, own: int, served: tuple[int, capacity_report.CapacityRequest] | None
    ) -> None:
        """Reserve workers for the gang that is served now, if it is in this partition.

        Otherwise backfilled work would take the workers as they arrive one by one.
        """
        core = self._core
        job_id, workers = "", frozenset()
        if served is not None and served[0] == own:
            request = served[1]
            group = core.queue.find(request.job_id)
            if group is not None:
                job_id = request.job_id
                full_request = request.with_tasks(len(group))
                workers = frozenset(self._choose_for_gang(full_request, donate=False))
        if (job_id, workers) != (core.collecting_gang, core.collected_workers):
            core.collecting_gang, core.collected_workers = job_id, workers
            core.placement_needed = True

    def _cordon(self, workers: frozenset[str], now: float) -> None:
        core = self._core
        changed = core.cordoned_workers ^ workers
        core.cordoned_workers = set(workers)
        for worker in changed:
            core.update_schedulable(worker, now)
