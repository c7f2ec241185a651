"""Workers and racks that a job stays away from because it fails there.

Quarantine needs the failures of several jobs, so that one broken job takes no worker
out. A cell may run a single large job, and workers that fail at once attract most of
its tasks, since they always have room. The job itself therefore avoids them for a time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucanspring import event_kinds, quarantine, resources

if TYPE_CHECKING:
    from toucanspring import lifecycle, task_table

FIRST_AVOID_S = 10.0
AVOID_GROWTH = 2.0
MAX_AVOID_S = 600.0
# A rack is avoided once the job has failed on so many of its workers.
WORKERS_OF_BAD_RACK = 2


class _Place:
    """Hold until when a worker is avoided, in monotonic seconds."""

    __slots__ = ("delay_s", "rack", "until")

    def __init__(self, rack: str) -> None:
        self.rack = rack
        self.delay_s = FIRST_AVOID_S / AVOID_GROWTH
        self.until = 0.0


class Avoidance:
    """Record on which workers the tasks of one job fail quickly."""

    def __init__(self) -> None:
        self._places: dict[str, _Place] = {}

    def record(
        self, worker: str, rack: str, ok: bool, run_seconds: float, now: float
    ) -> float:
        """Record the end of a task; a success or a long run clears the worker.

        Return for how many seconds the worker is avoided from now on, or 0.
        """
        if ok or run_seconds > quarantine.QUICK_FAILURE_S:
            self._places.pop(worker, None)
            return 0.0
        place = self._places.setdefault(worker, _Place(rack))
        if now < place.until:
            return 0.0  # started before the worker was avoided
        place.delay_s = min(MAX_AVOID_S, place.delay_s * AVOID_GROWTH)
        place.until = now + place.delay_s
        return place.delay_s

    def count_in(self, rack: str, now: float) -> int:
        """Return the number of avoided workers of a rack; 0 without a name."""
        return sum(
            place.rack == rack != "" and now < place.until
            for place in self._places.values()
        )

    def workers(self, now: float) -> set[str]:
        """Return the workers to avoid."""
        return {name for name, place in self._places.items() if now < place.until}

    def racks(self, now: float) -> set[str]:
        """Return the racks to avoid."""
        counts: dict[str, int] = {}
        for place in self._places.values():
            if place.rack and now < place.until:
                counts[place.rack] = counts.get(place.rack, 0) + 1
        return {rack for rack, count in counts.items() if count >= WORKERS_OF_BAD_RACK}


def record_end(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    worker: str,
    ok: bool,
    run_seconds: float,
    now: float,
) -> None:
    """Note where a task of a job ended well or failed."""
    if record.avoidance is None:
        if ok:
            return
        record.avoidance = Avoidance()
    state = core.workers.get(worker)
    rack = state.facts.rack if state is not None else ""
    avoided_s = record.avoidance.record(worker, rack, ok, run_seconds, now)
    if not avoided_s:
        return
    job_id = record.spec.id
    core.effects.publish(event_kinds.WorkerAvoided(job_id, worker, avoided_s))
    if record.avoidance.count_in(rack, now) == WORKERS_OF_BAD_RACK:
        core.effects.publish(event_kinds.RackAvoided(job_id, rack))


def avoided(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    demand: resources.Resources,
    now: float,
) -> frozenset[str]:
    """Return the workers that a job avoids, or none if no others could run it.

    A job that fails everywhere is broken and uses up its retries on any worker.
    """
    if record.avoidance is None:
        return frozenset()
    workers = record.avoidance.workers(now)
    if not workers:
        return frozenset()
    if racks := record.avoidance.racks(now):
        workers.update(
            name for name, state in core.workers.items() if state.facts.rack in racks
        )
    zones = record.spec.availability_zones
    for name, state in core.workers.items():
        in_zone = not zones or state.facts.availability_zone in zones
        if name in workers or not state.schedulable or not in_zone:
            continue
        if demand.fits(state.facts.capacity):
            return frozenset(workers)
    return frozenset()
