"""Avoidance of the workers and racks on which a job fails.

Quarantine requires failures of several jobs, so that one broken job does not disable
workers. In a cell that runs a single large job, workers whose tasks fail at once would
attract most of its tasks, since they always have room. The job therefore avoids them
for a time.
"""

from __future__ import annotations

from toucanspring import resources
from toucanspring.reporting import event_kinds
from toucanspring.scheduling import failure_tracking, lifecycle, task_table


def record_end(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    worker: str,
    ok: bool,
    run_seconds: float,
    now: float,
) -> None:
    """Record on which worker a task of a job succeeded or failed."""
    if record.failure_tracker is None:
        if ok:
            return
        record.failure_tracker = failure_tracking.FailureTracker()
    state = core.workers.get(worker)
    rack = state.facts.rack if state is not None else ""
    avoided_s = record.failure_tracker.record(worker, rack, ok, run_seconds, now)
    if not avoided_s:
        return
    job_id = record.spec.id
    core.effects.publish(event_kinds.WorkerAvoided(job_id, worker, avoided_s))
    if (
        record.failure_tracker.count_avoided_in(rack, now)
        == failure_tracking.RACK_AVOIDANCE_THRESHOLD
    ):
        core.effects.publish(event_kinds.RackAvoided(job_id, rack))


def avoided_workers(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    demand: resources.Resources,
    now: float,
) -> frozenset[str]:
    """Return the workers that a job avoids, or none if no others could run it.

    A job that fails everywhere is broken and uses up its retries on any worker.
    """
    if record.failure_tracker is None:
        return frozenset()
    workers = record.failure_tracker.avoided_workers(now)
    if not workers:
        return frozenset()
    if racks := record.failure_tracker.avoided_racks(now):
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
