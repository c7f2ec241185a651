"""Choice of the workers that leave a partition for others; performs no I/O."""

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

# Work that has waited less mostly gets room sooner from tasks that end than from a
# worker that moves, which takes about 2 s.
WAIT_BEFORE_MOVE_S = 1.0
IDLE_S = 0.5  # a worker between two tasks is not idle
REST_S = 10.0  # a moved worker stays so long unless a gang needs it
# Until then a gang gets idle workers only, since draining leaves capacity unused.
DRAIN_AFTER_S = 5.0
# Without any worker a partition would need a move to start its next task.
KEPT_WORKERS = 1
# A gang that has waited so long gets the last worker of a partition as well.
LAST_AFTER_S = 10.0
# Bounds what one need takes before the next statements are heard.
MAX_SPARE_BATCH = 8


@dataclasses.dataclass(frozen=True)
class Facts:
    """Hold what the partition's own state does not tell.

    `arriving` workers belong to the partition but have not attached yet; `bound`
    workers are named by records that are not complete in the log; `counts` has the
    workers of each partition.
    """

    version: int = 0
    changed_at: Mapping[int, int] = dataclasses.field(default_factory=dict)
    moved_at: Mapping[str, float] = dataclasses.field(default_factory=dict)
    accepted_ms: Mapping[str, int] = dataclasses.field(default_factory=dict)
    arriving: Mapping[str, capacity_report.Listed] = dataclasses.field(
        default_factory=dict
    )
    elsewhere: Mapping[str, capacity_report.Listed] = dataclasses.field(
        default_factory=dict
    )
    bound: frozenset[str] = frozenset()
    current: int = 0  # number of partitions; 0 keeps `resizing` out
    counts: Mapping[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Name empty workers that are to move to one partition together."""

    receiver: int
    workers: tuple[str, ...]


class Moves:
    """State a partition's needs and choose which of its workers to give away."""

    def __init__(
        self, core: lifecycle.Lifecycle, dispatcher: dispatch.Dispatcher
    ) -> None:
        self._core = core
        self._dispatcher = dispatcher
        self._room = partition_capacity.Room(core)
        self._idle_since: dict[str, float] = {}

    def state(self, facts: Facts, now: float) -> capacity_report.Statement:
        """Return what the partition lacks and what it does not use."""
        core = self._core
        new = facts.elsewhere.keys() - (core.other_partition_workers or {}).keys()
        if new - core.known_workers.keys():
            core.new_worker_at = now  # others may follow
        core.other_partition_workers = dict(facts.elsewhere)
        self._note_idle(now)
        gangs: list[capacity_report.Need] = []
        waiting: dict[tuple, capacity_report.Need] = {}
        for record in self._blocked():
            stated = self._need(record, facts, now)
            if record.spec.kind is job.Kind.GANG:
                if stated := self._gang_need(stated, facts):
                    gangs.append(stated)
            elif stated.waited_ms >= WAIT_BEFORE_MOVE_S * 1000:
                shape = (stated.demand, stated.availability_zones)
                waiting[shape] = capacity_report.join(waiting.get(shape), stated)
        lacking: list[capacity_report.Need] = []
        for entry in sorted(waiting.values(), key=lambda entry: entry.order):
            if len(lacking) == capacity_report.MAX_WAITING:
                break
            if short := self._still_lacking(entry, facts, now):
                lacking.append(short)
        return capacity_report.Statement(
            facts.version,
            min(gangs, key=lambda entry: entry.order, default=None),
            lacking,
            [
                capacity_report.Idle(worker, state.availability_zone, state.capacity)
                for worker in self._spare(facts, now)[: capacity_report.MAX_IDLE]
                for state in (core.workers[worker].facts,)
            ],
        )

    def plan(
        self,
        own: int,
        statements: dict[int, capacity_report.Statement],
        facts: Facts,
        now: float,
        moving: frozenset[str] = frozenset(),
    ) -> Batch | None:
        """Choose workers to move now; withhold them and those to drain.

        Workers that no need asks for any more are used again, except `moving` ones:
        whose they are is not known until the row has been read again.
        """
        self._note_idle(now)
        served = capacity_report.oldest_gang(statements)
        self._collect(own, served)
        chosen: list[str] = []
        batch = None
        first = served is not None and self._serves_first(served[1], facts, now)
        if served is not None and served[0] != own and not first:
            chosen = self._choose_for_gang(served[1], give=True)
            self._stop_services(chosen)
            batch = self._empty_batch(served[0], chosen, facts)
        fresh = {
            partition: stated
            for partition, stated in statements.items()
            # An older statement does not count the workers that have moved since.
            if stated.workers_version >= facts.changed_at.get(partition, 0)
        }
        if batch is not None and batch.receiver not in fresh:
            batch = None
        if batch is None:
            batch = self._spare_batch(own, fresh, frozenset(chosen), facts, now)
        if batch is None and facts.current:
            resized = self._resize(own, fresh, frozenset(chosen), facts, now)
            if resized is not None:
                receiver, freed = resized
                chosen = [*chosen, *freed]
                batch = self._empty_batch(receiver, freed, facts)
        if moving:
            batch = None
        self._withhold(moving.union(chosen, batch.workers if batch else ()), now)
        return batch

    # Needs

    def _blocked(self) -> Iterator[task_table.JobRecord]:
        for record in self._dispatcher.blocked.values():
            if record.spec.id in self._core.queue and record.outcome is None:
                yield record

    def _need(
        self, record: task_table.JobRecord, facts: Facts, now: float
    ) -> capacity_report.Need:
        spec = record.spec
        return capacity_report.Need(
            facts.accepted_ms.get(spec.id, 0),
            spec.id,
            self._core.demand(spec),
            len(self._core.queue.find(spec.id)),
            tuple(spec.availability_zones or ()),
            int((now - record.accepted_at) * 1000),
        )

    def _gang_need(
        self, wanted: capacity_report.Need, facts: Facts
    ) -> capacity_report.Need | None:
        """Return what a gang lacks beyond its own partition's workers when empty.

        A gang that gets workers is stated until it starts, so that no other gang is
        served before.
        """
        own = self._room.own(wanted) + self._room.listed(wanted, facts.arriving)
        lacking = max(0, wanted.tasks - own)
        if not lacking and self._core.collecting_gang != wanted.job_id:
            return None
        # A gang beyond the present workers would hold up all others.
        if lacking > self._room.listed(wanted, facts.elsewhere):
            return None
        return wanted.with_tasks(lacking)

    def _still_lacking(
        self, wanted: capacity_report.Need, facts: Facts, now: float
    ) -> capacity_report.Need | None:
        """Return a need without what is free or on its way, if others can meet it."""
        left = wanted.tasks - self._room.listed(wanted, facts.arriving)
        left -= self._room.free(wanted, now)
        if left <= 0 or not self._room.listed(wanted, facts.elsewhere):
            return None
        return wanted.with_tasks(left)

    # Workers

    def _is_empty(self, worker: str) -> bool:
        core = self._core
        return not core.tasks_on.get(worker) and not core.workers[worker].orphans

    def _emptied_at(self, worker: str) -> float:
        """Return when the last task is expected to end, in monotonic seconds."""
        tasks = self._core.tasks_on.get(worker, {}).values()
        return max((task.expected_end for task in tasks), default=0.0)

    def _note_idle(self, now: float) -> None:
        idle = {worker for worker in self._core.workers if self._is_empty(worker)}
        self._idle_since = {
            worker: self._idle_since.get(worker, now) for worker in idle
        }

    def _spare(self, facts: Facts, now: float) -> list[str]:
        """Return the idle workers that own waiting work does not need."""
        core = self._core
        held = core.collected_workers.union(
            facts.bound, *(entry.workers for entry in core.reservations.values())
        )
        usable = dict(self._room.usable())
        spare = [
            worker
            for worker, state in usable.items()
            if (state.schedulable or worker in core.cordoned_workers)
            and worker not in held
            and now - self._idle_since.get(worker, now) >= IDLE_S
            and now - facts.moved_at.get(worker, -math.inf) >= REST_S
        ]
        for record in self._blocked():
            wanted = self._need(record, facts, now)
            left = wanted.tasks
            for worker in list(spare):
                if left <= 0:
                    break
                known = usable[worker].facts
                if room := wanted.room_in(known.availability_zone, known.capacity):
                    left -= room
                    spare.remove(worker)
        return sorted(spare)[: max(0, len(usable) - KEPT_WORKERS)]

    # Gifts

    def _serves_first(
        self, other: capacity_report.Need, facts: Facts, now: float
    ) -> bool:
        """Return whether an older gang waits here that needs no other workers."""
        for record in self._blocked():
            if record.spec.kind is not job.Kind.GANG:
                continue
            wanted = self._need(record, facts, now)
            if wanted.order < other.order and self._room.own(wanted) >= wanted.tasks:
                return True
        return False

    def _choose_for_gang(self, wanted: capacity_report.Need, give: bool) -> list[str]:
        """Return workers whose room is what a gang lacks, those empty first.

        With `give` they are to leave the partition without what runs there. Once the
        gang has waited for long, busy workers are included: they are drained.
        """
        found = []
        for worker, state in self._room.usable():
            amount = state.facts.capacity if give else self._room.lasting(worker)
            room = wanted.room_in(state.facts.availability_zone, amount)
            empty = self._is_empty(worker)
            if room and (empty or wanted.waited_ms >= DRAIN_AFTER_S * 1000):
                serving = bool(self._room.services(worker))
                ends_at = self._emptied_at(worker)
                found.append((not empty, serving, ends_at, worker, room))
        found.sort()
        if give and wanted.waited_ms < LAST_AFTER_S * 1000:
            usable = sum(1 for _ in self._room.usable())
            found = found[: max(0, usable - KEPT_WORKERS)]
        chosen, left = [], wanted.tasks
        for *_, worker, room in found:
            if left <= 0:
                break
            chosen.append(worker)
            left -= room
        return chosen

    def _stop_services(self, workers: list[str]) -> None:
        """Let services on drained workers start again elsewhere; they never end."""
        for worker in workers:
            for task in self._room.services(worker):
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
        self, receiver: int, chosen: list[str], facts: Facts
    ) -> Batch | None:
        empty = tuple(
            worker
            for worker in chosen
            if self._is_empty(worker) and worker not in facts.bound
        )
        return Batch(receiver, empty) if empty else None

    def _spare_batch(
        self,
        own: int,
        statements: Mapping[int, capacity_report.Statement],
        drained: frozenset[str],
        facts: Facts,
        now: float,
    ) -> Batch | None:
        """Return idle workers for the oldest waiting work that they have room for."""
        core = self._core
        wanted = sorted(
            (entry.order, partition, entry)
            for partition, stated in statements.items()
            if partition != own
            for entry in stated.waiting
        )
        if not wanted:
            return None
        spare = [each for each in self._spare(facts, now) if each not in drained]
        for _, partition, entry in wanted:
            chosen, left = [], entry.tasks
            for worker in spare:
                known = core.workers[worker].facts
                room = entry.room_in(known.availability_zone, known.capacity)
                if room and left > 0 and len(chosen) < MAX_SPARE_BATCH:
                    chosen.append(worker)
                    left -= room
            if chosen:
                return Batch(partition, tuple(chosen))
        return None

    def _resize(
        self,
        own: int,
        statements: Mapping[int, capacity_report.Statement],
        drained: frozenset[str],
        facts: Facts,
        now: float,
    ) -> tuple[int, list[str]] | None:
        """Return workers to free because the number of partitions has changed."""
        core = self._core
        held = core.collected_workers.union(
            drained, facts.bound, *(each.workers for each in core.reservations.values())
        )
        has_jobs = own >= facts.current and any(
            each.outcome is None for each in core.table.jobs.values()
        )
        candidates = [
            resizing.Candidate(
                not self._is_empty(worker), self._emptied_at(worker), worker
            )
            for worker, _ in self._room.usable()
            if worker not in held
            and not self._room.services(worker)
            and now - facts.moved_at.get(worker, -math.inf) >= REST_S
        ]
        starving = [
            partition
            for partition, stated in statements.items()
            if any(each.waited_ms >= DRAIN_AFTER_S * 1000 for each in stated.waiting)
        ]
        donor = resizing.Donor(own, has_jobs, bool(len(core.queue)))
        return resizing.choose(donor, candidates, facts.current, facts.counts, starving)

    def _collect(
        self, own: int, served: tuple[int, capacity_report.Need] | None
    ) -> None:
        """Keep other work off the workers that the served gang of this partition needs.

        Work that backfills would take the workers that arrive one after the other.
        """
        core = self._core
        job_id, workers = "", frozenset()
        if served is not None and served[0] == own:
            wanted = served[1]
            group = core.queue.find(wanted.job_id)
            if group is not None:
                job_id = wanted.job_id
                whole = wanted.with_tasks(len(group))
                workers = frozenset(self._choose_for_gang(whole, give=False))
        if (job_id, workers) != (core.collecting_gang, core.collected_workers):
            core.collecting_gang, core.collected_workers = job_id, workers
            core.placement_needed = True

    def _withhold(self, workers: frozenset[str], now: float) -> None:
        core = self._core
        changed = core.cordoned_workers ^ workers
        core.cordoned_workers = set(workers)
        for worker in changed:
            core.update_schedulable(worker, now)
