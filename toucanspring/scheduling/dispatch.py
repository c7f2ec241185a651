"""Place waiting tasks on workers, one team at a time."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Iterator

from toucanspring import job
from toucanspring.scheduling import (
    avoidance,
    gang,
    lifecycle,
    placement,
    preemption,
    quarantine,
    task_table,
    waiting,
)

TEAM_BATCH = 64  # tasks of one team started before the teams are ranked again
STARTS_PER_TICK = 512  # limits one tick to a few tens of milliseconds
MAX_UNPLACED_GROUPS = 64  # unplaceable jobs examined per team and tick
# Jobs at the head of the queue that are examined in every tick. The rest of
# MAX_UNPLACED_GROUPS advances through the queue from tick to tick until a task of the
# team starts, so that many unplaceable jobs cannot starve a later one. After a start
# the scan begins at the head again.
HEAD_GROUPS = 32
MAX_BLOCKED_JOBS = 256  # unplaceable jobs considered for preemption
CAPACITY_REASONS = frozenset({"cpus", "memory"})
RESCAN_INTERVAL_S = 1.0  # rescan of waiting jobs when nothing has changed


class Dispatcher:
    """Start waiting tasks as capacity, allowances and availability zones permit."""

    def __init__(self, core: lifecycle.Lifecycle) -> None:
        self._core = core
        self._next_scan = 0.0
        self._groups: dict[str, Iterator[waiting.Group]] = {}
        self._lacks_capacity = False  # a group found too little free CPU or memory
        # Position in the queue of each team's scan, counted from HEAD_GROUPS.
        self._scan_offsets: dict[str, int] = {}
        self._started_teams: set[str] = set()  # started tasks in the last tick
        # Jobs that could not be placed when last examined, by ID.
        self.blocked: dict[str, task_table.JobRecord] = {}

    def place(self, now: float) -> int:
        """Start as many tasks as possible and return their number."""
        core = self._core
        if not core.placement_needed and now < self._next_scan:
            return 0
        core.placement_needed = False
        self._next_scan = now + RESCAN_INTERVAL_S
        self.blocked = {
            job_id: record
            for job_id, record in self.blocked.items()
            if job_id in core.queue
        }
        self._groups = {}
        for team in self._started_teams:
            self._scan_offsets.pop(team, None)
        self._started_teams.clear()
        gang.expire_reservations(core, now)
        candidates = set(core.queue.teams())
        no_room: set[tuple] = set()
        started = 0
        # Running teams without waiting tasks are not ranked, because they would
        # accumulate a deficit for a share that they do not request.
        waiting_teams = frozenset(candidates)
        yielding: set[str] = set()
        while candidates and started < STARTS_PER_TICK:
            ranked = core.shares.rank(waiting_teams, now)
            progress = 0
            for rank, team in enumerate(ranked, 1):
                if team not in candidates:
                    continue
                self._lacks_capacity = False
                progress = self._place_team(team, rank, no_room, now, team in yielding)
                if progress:
                    break
                candidates.discard(team)
                if self._lacks_capacity and not yielding:
                    yielding = self._yielding(team, waiting_teams, now)
            started += progress
            if not progress:
                break
            candidates &= set(core.queue.teams())
        if started >= STARTS_PER_TICK:
            core.placement_needed = True  # continue in the next tick
        return started

    def _yielding(self, team: str, waiting: frozenset[str], now: float) -> set[str]:
        """Return the teams that leave free capacity to `team`, if it is below share."""
        shares = self._core.shares
        if shares.shortfalls(waiting, now)[team] <= 0:
            return set()
        return shares.yielding(waiting, now)

    def _place_team(
        self, team: str, rank: int, no_room: set, now: float, only_preempting: bool
    ) -> int:
        # The iterator is kept for the whole tick because creating one takes time
        # linear in the number of waiting jobs.
        groups = self._groups.get(team)
        if groups is None:
            groups = self._groups[team] = self._next_groups(team, now)
        started = 0
        unplaced = 0
        for group in groups:
            if only_preempting and not self._may_preempt(group.spec.id, now):
                self._groups[team] = itertools.chain([group], groups)
                break
            placed = self._place_group(group, TEAM_BATCH - started, rank, no_room, now)
            started += placed
            unplaced += not placed
            if placed:
                self._started_teams.add(team)
            if placed and group.indices:
                self._groups[team] = itertools.chain([group], groups)
            if started >= TEAM_BATCH or unplaced >= MAX_UNPLACED_GROUPS:
                break
        return started

    def _next_groups(self, team: str, now: float) -> Iterator[waiting.Group]:
        """Yield the head of a team's queue, then the groups after the last scan.

        Jobs for which running tasks were preempted come before both. Far back in the
        queue, they might not be examined before their reservation expires.
        """
        skipped_until = HEAD_GROUPS + self._scan_offsets.pop(team, 0)
        queue = self._core.queue
        freed = {
            job_id for job_id in self._core.reservations if self._has_freed_room(job_id)
        }
        for job_id in sorted(freed):
            group = queue.find(job_id)
            if group is not None and group.spec.team == team:
                yield group
        for position, group in enumerate(queue.next_groups(team, now)):
            if HEAD_GROUPS <= position < skipped_until or group.spec.id in freed:
                continue
            if position >= HEAD_GROUPS:
                self._scan_offsets[team] = position + 1 - HEAD_GROUPS
            yield group
        self._scan_offsets.pop(team, None)  # the scan reached the end of the queue

    def _may_preempt(self, job_id: str, now: float) -> bool:
        """Return whether a job may preempt others and therefore need not yield."""
        record = self._core.table.jobs[job_id]
        return self._has_freed_room(job_id) or preemption.may_preempt(
            self._core, record, now
        )

    def _has_freed_room(self, job_id: str) -> bool:
        """Return whether running tasks were preempted for a job."""
        reserved = self._core.reservations.get(job_id)
        return reserved is not None and reserved.by_preemption

    def _place_group(
        self, group: waiting.Group, limit: int, rank: int, no_room: set, now: float
    ) -> int:
        core, spec = self._core, group.spec
        record = core.table.jobs[spec.id]
        if not core.allowances.knows_ceiling(spec.team):
            reason = f"team {spec.team} is not configured"
            core.decisions.record_wait(spec.id, rank, reason)
            return 0
        is_gang = spec.kind is job.Kind.GANG
        count = len(group) if is_gang else min(len(group), limit)
        demand = core.demand(spec)
        room = core.allowances.max_starts(spec.team, demand)
        if room < (count if is_gang else 1):
            needed = demand.times(len(group))
            least = demand.times(count) if is_gang else demand
            core.allowances.report_shortage(spec.team, needed, least)
            core.decisions.record_wait(
                spec.id, rank, "allowance below the team's ceiling"
            )
            return 0
        avoided = avoidance.avoided_workers(core, record, demand, now)
        excluded = gang.excluded_workers(core, spec, now) | avoided
        placement_key = (demand, spec.availability_zones, excluded, is_gang and count)
        if placement_key in no_room:
            return self._record_no_room(record, rank, placement.NoRoom({}))
        if room < count:
            core.allowances.report_shortage(spec.team, demand.times(count), demand)
            count = room
        constraints = self._constraints(record, excluded, avoided)
        if is_gang:
            chosen = gang.place(core, record, demand, constraints)
            if isinstance(chosen, placement.NoRoom):
                gang.reserve(core, spec, count, demand, avoided, now)
                no_room.add(placement_key)
                return self._record_no_room(record, rank, chosen)
        else:
            found = core.index.choose_many(demand, count, constraints)
            if not found:
                rejected = placement.NoRoom(core.index.explain(demand, constraints))
                no_room.add(placement_key)
                return self._record_no_room(record, rank, rejected)
            chosen = [
                (worker, core.queue.take(spec.id, self._task_limit(worker, share, now)))
                for worker, share in found
            ]
        self.blocked.pop(spec.id, None)
        started = 0
        for worker, indices in chosen:
            core.start(record, worker, indices, demand, now)
            ids = [f"{spec.id}/{index}" for index in indices[-8:]]
            core.decisions.record_placement(spec.id, rank, ids, worker, "best fit")
            started += len(indices)
        return started

    def _task_limit(self, worker: str, share: int, now: float) -> int:
        eligibility = self._core.quarantine.eligibility(worker, now)
        return 1 if eligibility is quarantine.Eligibility.PROBE else share

    def _record_no_room(
        self, record: task_table.JobRecord, rank: int, rejected: placement.NoRoom
    ) -> int:
        if not CAPACITY_REASONS.isdisjoint(rejected.rejected):
            self._lacks_capacity = True
        if record.spec.id not in self.blocked:
            if len(self.blocked) >= MAX_BLOCKED_JOBS:
                del self.blocked[next(iter(self.blocked))]
            self.blocked[record.spec.id] = record
        self._core.decisions.record_wait(
            record.spec.id, rank, "room", rejected.rejected
        )
        return 0

    def _constraints(
        self,
        record: task_table.JobRecord,
        excluded: frozenset[str],
        avoided: frozenset[str],
    ) -> placement.Constraints:
        core, spec = self._core, record.spec
        zones = frozenset(spec.availability_zones) if spec.availability_zones else None
        counts: collections.Counter[str] | None = None
        if spec.spread or spec.compact:
            counts = collections.Counter()
            for task in record.live.values():
                state = core.workers.get(task.worker)
                if state is not None:
                    counts[state.facts.availability_zone] += 1
                    counts[state.facts.rack] += 1
        if not (zones or excluded or counts is not None):
            return placement.UNCONSTRAINED
        return placement.Constraints(
            zones, excluded, counts, spec.compact and not spec.spread, avoided
        )
