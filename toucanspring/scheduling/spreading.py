"""Spread of services over availability zones that are in service again."""

from __future__ import annotations

import collections
import dataclasses

from toucanspring import job
from toucanspring.reporting import event_kinds
from toucanspring.scheduling import (
    avoidance,
    gang,
    interruption,
    lifecycle,
    placement,
    reservation,
    task_table,
)

# One task of the services of a partition is moved in this time, so that a zone that
# returns is not filled by a burst of checkpoints.
MOVE_S = 10.0
LOOK_S = 1.0  # until the next look for room, if nothing could be moved
# The room is kept for so long; covers the time that a worker takes to checkpoint.
ROOM_S = 5.0
MIN_DIFFERENCE = 2  # between two zones; a move at a smaller one would only swap them
# A service whose spread a move did not improve waits twice as long for the next one.
MAX_DELAY_S = 600.0


@dataclasses.dataclass(slots=True)
class Trial:
    """Remember the last move of a service."""

    difference: int  # between its zones before the move
    delay_s: float
    due_at: float


class Spreader:
    """Move tasks of spread services to zones that have fewer of them."""

    def __init__(self, core: lifecycle.Lifecycle, move_s: float = MOVE_S) -> None:
        self._core = core
        self._move_s = move_s  # 0 moves nothing
        self._next_move = 0.0
        self._trials: dict[str, Trial] = {}
        self._stopped: task_table.LiveTask | None = None  # the task that moves

    def step(self, now: float) -> None:
        """Move one task when a move is due; the queue starts it again."""
        core = self._core
        self._end_move()
        if not self._move_s or now < self._next_move or core.expected:
            return
        self._next_move = now + min(LOOK_S, self._move_s)
        services = self._services()
        self._trials = {
            job_id: trial
            for job_id, trial in self._trials.items()
            if job_id in services
        }
        differences = []
        for job_id, tasks in services.items():
            counts = self._by_zone(core.table.jobs[job_id], tasks)
            if counts:
                difference = max(counts.values()) - min(counts.values())
                differences.append((-difference, job_id, counts))
        for difference, job_id, counts in sorted(differences, key=lambda one: one[:2]):
            if -difference < MIN_DIFFERENCE:
                return
            if self._is_due(job_id, -difference, now) and self._move(
                core.table.jobs[job_id], services[job_id], counts, now
            ):
                self._note(job_id, -difference, now)
                self._next_move = now + self._move_s
                return

    def _end_move(self) -> None:
        """Give back the room that was kept once the task has started again."""
        task, core = self._stopped, self._core
        if task is None:
            return
        held = core.reservations.get(task.job_id)
        if held is None or not held.moving:
            self._stopped = None
            return
        record = core.table.jobs.get(task.job_id)
        again = record and record.live.get(task.index)
        if record is None or (again and again is not task):
            del core.reservations[task.job_id]
            core.changed = True
            self._stopped = None

    def _services(self) -> dict[str, list[task_table.LiveTask]]:
        """Return the tasks of the spread services that run completely."""
        core = self._core
        found: dict[str, list[task_table.LiveTask]] = collections.defaultdict(list)
        moving = set()
        for task in core.table.live.values():
            spec = core.table.jobs[task.job_id].spec
            if spec.kind is job.Kind.SERVICE and spec.spread:
                found[spec.id].append(task)
                if task.stop_reason or task.state is not job.State.RUNNING:
                    moving.add(spec.id)
        return {
            job_id: tasks
            for job_id, tasks in found.items()
            if job_id not in moving and job_id not in core.queue
        }

    def _by_zone(
        self, record: task_table.JobRecord, tasks: list[task_table.LiveTask]
    ) -> dict[str, int]:
        """Return the number of tasks in each zone that the service may use."""
        core = self._core
        allowed = record.spec.availability_zones
        counts = {
            state.facts.availability_zone: 0
            for state in core.workers.values()
            if state.schedulable
            and (not allowed or state.facts.availability_zone in allowed)
        }
        for task in tasks:
            if (zone := self._zone_of(task)) in counts:
                counts[zone] += 1
        return counts

    def _zone_of(self, task: task_table.LiveTask) -> str:
        """Return the zone of a task; empty on a worker that has not attached."""
        state = self._core.workers.get(task.worker)
        return state.facts.availability_zone if state else ""

    def _is_due(self, job_id: str, difference: int, now: float) -> bool:
        trial = self._trials.get(job_id)
        return trial is None or difference < trial.difference or now >= trial.due_at

    def _note(self, job_id: str, difference: int, now: float) -> None:
        delay_s = self._move_s
        trial = self._trials.get(job_id)
        if trial is not None and difference >= trial.difference:
            delay_s = min(MAX_DELAY_S, 2 * trial.delay_s)
        self._trials[job_id] = Trial(difference, delay_s, now + delay_s)

    def _move(
        self,
        record: task_table.JobRecord,
        tasks: list[task_table.LiveTask],
        counts: dict[str, int],
        now: float,
    ) -> bool:
        """Stop a task in the fullest zone if an emptiest one has room for it."""
        core = self._core
        least, most = min(counts.values()), max(counts.values())
        targets = frozenset(zone for zone, count in counts.items() if count == least)
        demand = core.demand(record.spec)
        excluded = gang.excluded_for(core, record.spec, now) | avoidance.avoided(
            core, record, demand, now
        )
        constraints = placement.Constraints(targets, excluded)
        target = core.index.choose(demand, constraints)
        if isinstance(target, placement.NoRoom):
            return False
        sources = [task for task in tasks if counts.get(self._zone_of(task)) == most]
        task = max(sources, key=lambda task: (task.started_at, task.id))
        interruption.interrupt(
            core,
            task,
            "service is spread over the zones",
            "checkpoint",
            event_kinds.StopCause.SPREAD,
        )
        # Without it, waiting work would take the room before the task has stopped.
        core.reservations[record.spec.id] = reservation.Reservation(
            frozenset([target]), now, now + ROOM_S, moving=True
        )
        self._stopped = task
        return True
