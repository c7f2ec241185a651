"""Rebalancing of spread services after an availability zone returns to service."""

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

# A partition moves one service task per interval, so that a returning zone does not
# cause a burst of checkpoints.
MOVE_INTERVAL_S = 10.0
RETRY_S = 1.0  # delay before the next attempt if nothing could be moved
# How long the target worker stays reserved; covers the time of a checkpoint.
RESERVATION_S = 5.0
MIN_SKEW = 2  # with a skew of 1, a move would only swap two zones
# Limit of the delay between moves of one service; it doubles after each move that
# did not reduce the skew.
MAX_DELAY_S = 600.0


@dataclasses.dataclass(slots=True)
class LastMove:
    """Last move of a service, and when its next move is due."""

    skew: int  # most minus fewest tasks in a zone, before the move
    delay_s: float
    due_at: float


class Spreader:
    """Moves tasks of spread services to the zones that have the fewest of them."""

    def __init__(
        self, core: lifecycle.Lifecycle, move_interval_s: float = MOVE_INTERVAL_S
    ) -> None:
        self._core = core
        self._move_interval_s = move_interval_s  # 0 disables moves
        self._next_move_at = 0.0
        self._last_moves: dict[str, LastMove] = {}
        self._moving_task: task_table.LiveTask | None = None  # the task being moved

    def step(self, now: float) -> None:
        """Stop one task if a move is due; the queue restarts it in another zone."""
        core = self._core
        self._finish_move()
        if (
            not self._move_interval_s
            or now < self._next_move_at
            or core.expected_workers
        ):
            return
        self._next_move_at = now + min(RETRY_S, self._move_interval_s)
        services = self._fully_running_services()
        self._last_moves = {
            job_id: last
            for job_id, last in self._last_moves.items()
            if job_id in services
        }
        skews = []
        for job_id, tasks in services.items():
            counts = self._count_by_zone(core.table.jobs[job_id], tasks)
            if counts:
                skew = max(counts.values()) - min(counts.values())
                skews.append((-skew, job_id, counts))
        for skew, job_id, counts in sorted(skews, key=lambda entry: entry[:2]):
            if -skew < MIN_SKEW:
                return
            if self._is_due(job_id, -skew, now) and self._move(
                core.table.jobs[job_id], services[job_id], counts, now
            ):
                self._record_move(job_id, -skew, now)
                self._next_move_at = now + self._move_interval_s
                return

    def _finish_move(self) -> None:
        """Drop the reservation once the moved task has restarted."""
        task, core = self._moving_task, self._core
        if task is None:
            return
        reserved = core.reservations.get(task.job_id)
        if reserved is None or not reserved.for_move:
            self._moving_task = None
            return
        record = core.table.jobs.get(task.job_id)
        restarted = record and record.live.get(task.index)
        if record is None or (restarted and restarted is not task):
            del core.reservations[task.job_id]
            core.placement_needed = True
            self._moving_task = None

    def _fully_running_services(self) -> dict[str, list[task_table.LiveTask]]:
        """Return the tasks of each spread service whose tasks are all running."""
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

    def _count_by_zone(
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
        """Return the zone of a task; empty if its worker is not known."""
        state = self._core.workers.get(task.worker)
        return state.facts.availability_zone if state else ""

    def _is_due(self, job_id: str, skew: int, now: float) -> bool:
        last = self._last_moves.get(job_id)
        return last is None or skew < last.skew or now >= last.due_at

    def _record_move(self, job_id: str, skew: int, now: float) -> None:
        delay_s = self._move_interval_s
        last = self._last_moves.get(job_id)
        if last is not None and skew >= last.skew:
            delay_s = min(MAX_DELAY_S, 2 * last.delay_s)
        self._last_moves[job_id] = LastMove(skew, delay_s, now + delay_s)

    def _move(
        self,
        record: task_table.JobRecord,
        tasks: list[task_table.LiveTask],
        counts: dict[str, int],
        now: float,
    ) -> bool:
        """Stop a task in a zone with the most tasks if one with the fewest has room."""
        core = self._core
        least, most = min(counts.values()), max(counts.values())
        targets = frozenset(zone for zone, count in counts.items() if count == least)
        demand = core.demand(record.spec)
        excluded = gang.excluded_workers(
            core, record.spec, now
        ) | avoidance.avoided_workers(core, record, demand, now)
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
        # Without a reservation, waiting work would take the room before the task stops.
        core.reservations[record.spec.id] = reservation.Reservation(
            frozenset([target]), now, now + RESERVATION_S, for_move=True
        )
        self._moving_task = task
        return True
