"""Placement, restart and end of gangs, and reservations of workers for them."""

from __future__ import annotations

import dataclasses
import math

from toucanspring import job, resources
from toucanspring.reporting import event_kinds
from toucanspring.scheduling import (
    draining,
    interruption,
    lifecycle,
    placement,
    reservation,
    task_table,
)

RESERVATION_S = 1.0  # then it is renewed from the current expected ends of tasks
# More reservations would leave little capacity for backfilling.
MAX_RESERVATIONS = 2


def excluded_workers(
    core: lifecycle.Lifecycle, spec: job.JobSpec, now: float
) -> frozenset[str]:
    """Return the reserved workers that a task of this job must not use.

    A task that is expected to end before the reservation starts may backfill.
    """
    excluded: frozenset[str] = frozenset()
    if core.collecting_gang == spec.id:
        # Reservations of later gangs must not hold the workers that it collects.
        return excluded
    urgent = spec.job_class in (job.JobClass.CHECK, job.JobClass.URGENT)
    if core.collecting_gang and not urgent:
        excluded = core.collected_workers
    if not core.reservations:
        return excluded
    end = now + core.estimator.run_seconds(spec)
    for job_id, reserved in core.reservations.items():
        service = spec.kind is job.Kind.SERVICE
        if not reserved.exclusive or job_id == spec.id:
            continue
        if service or end > reserved.starts_at:
            excluded |= reserved.workers
    return excluded


def expire_reservations(core: lifecycle.Lifecycle, now: float) -> None:
    """Drop reservations that have expired or whose job no longer waits."""
    for job_id, reserved in list(core.reservations.items()):
        waits = job_id in core.queue or reserved.for_move
        if now >= reserved.expires_at or not waits:
            del core.reservations[job_id]
            core.placement_needed = True


def place(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    demand: resources.Resources,
    constraints: placement.Constraints,
) -> list[tuple[str, list[int]]] | placement.NoRoom:
    """Take all waiting tasks of a gang from the queue and choose their workers."""
    spec = record.spec
    count = record.waiting_count()
    chosen: list[tuple[str, int]] | placement.NoRoom = placement.NoRoom({})
    if quarantined := core.quarantine.quarantined():
        # Workers due for a probe are used only if there is no room without them, since
        # one could delay the whole gang. They are not excluded altogether, since
        # without other work nothing else would probe them.
        all_excluded = constraints.excluded.union(quarantined)
        chosen = core.index.choose_gang(
            demand,
            count,
            dataclasses.replace(constraints, excluded=all_excluded),
            spec.compact,
        )
    if isinstance(chosen, placement.NoRoom):
        chosen = core.index.choose_gang(demand, count, constraints, spec.compact)
    if isinstance(chosen, placement.NoRoom):
        return chosen
    core.reservations.pop(spec.id, None)
    indices = core.queue.take(spec.id, count)
    placed, position = [], 0
    for worker, share in chosen:
        placed.append((worker, indices[position : position + share]))
        position += share
    return placed


def reserve(
    core: lifecycle.Lifecycle,
    spec: job.JobSpec,
    count: int,
    demand: resources.Resources,
    avoided: frozenset[str],
    now: float,
) -> None:
    """Reserve the workers on which a gang is expected to have room first."""
    if spec.id in core.reservations or len(core.reservations) >= MAX_RESERVATIONS:
        return
    unavailable = avoided
    for reserved in core.reservations.values():
        unavailable |= reserved.workers
    found = earliest_room(core, spec, count, demand, unavailable, now)
    if found is not None:
        workers, starts_at = found
        core.reservations[spec.id] = reservation.Reservation(
            workers,
            starts_at,
            now + RESERVATION_S,
            idle_cost=draining.idle_cost(core, workers, starts_at, now),
        )


def earliest_room(
    core: lifecycle.Lifecycle,
    spec: job.JobSpec,
    count: int,
    demand: resources.Resources,
    unavailable: frozenset[str],
    now: float,
) -> tuple[frozenset[str], float] | None:
    """Return the workers and the earliest time at which `count` tasks should fit."""
    zones = spec.availability_zones
    free: dict[str, resources.Resources] = {}
    ends: list[tuple[float, str, resources.Resources]] = []
    for name, state in core.workers.items():
        if not state.schedulable or name in unavailable:
            continue
        if zones and state.facts.availability_zone not in zones:
            continue
        free[name] = core.index.free(name)
        for task in core.tasks_on[name].values():
            if not math.isinf(task.expected_end):
                end = max(task.expected_end, now + draining.OVERDUE_S)
                ends.append((end, name, task.demand))
    fits = {name: demand.count_in(amount) for name, amount in free.items()}
    total, starts_at = sum(fits.values()), now
    ends.sort(key=lambda end: end[:2])
    for end, name, amount in ends:
        if total >= count:
            break
        free[name] += amount
        more = demand.count_in(free[name])
        total += more - fits[name]
        fits[name], starts_at = more, end
    if total < count:
        return None
    workers = set()
    for name in sorted(fits, key=lambda name: (-fits[name], name)):
        if count <= 0:
            break
        workers.add(name)
        count -= fits[name]
    return frozenset(workers), starts_at


def restart(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    reason: str,
    now: float,
    delay: float = 0.0,
) -> None:
    """Stop the running members and queue all unfinished ones together."""
    record.gang_delay = max(record.gang_delay, delay)
    if not record.gang_stop_reason:
        record.gang_stop_reason = reason or "gang member stopped"
        core.effects.publish(
            event_kinds.GangRequeued(
                record.spec.id, len(record.live), record.gang_stop_reason
            )
        )
        _stop_members(core, record, f"gang stopped: {record.gang_stop_reason}", now)
    _finish_stop(core, record, now)


def abort(
    core: lifecycle.Lifecycle, record: task_table.JobRecord, reason: str, now: float
) -> None:
    """End a gang after one member ended without success and cannot be retried."""
    first = not record.gang_aborted
    record.gang_aborted = True
    if first:
        record.gang_stop_reason = record.gang_stop_reason or reason
        _stop_members(core, record, f"gang ended: {reason}", now)
    _finish_stop(core, record, now)


def member_ended(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    outcome: job.Outcome,
    now: float,
) -> None:
    """Abort the gang, or finish its stop, after one member has become final."""
    if outcome.state is not job.State.DONE:
        abort(core, record, outcome.reason, now)
    else:
        _finish_stop(core, record, now)


def _stop_members(
    core: lifecycle.Lifecycle, record: task_table.JobRecord, reason: str, now: float
) -> None:
    mode = (
        "checkpoint" if record.spec.idempotent and not record.gang_aborted else "kill"
    )
    for task in list(record.live.values()):
        if task.state is job.State.INTENDED:
            core.release_task(record, task, now)  # the start was not sent
        else:
            interruption.interrupt(core, task, reason, mode, event_kinds.StopCause.GANG)


def _finish_stop(
    core: lifecycle.Lifecycle, record: task_table.JobRecord, now: float
) -> None:
    """End or requeue a stopped gang once no member occupies a worker."""
    if record.live or record.unconfirmed or record.outcome is not None:
        return
    reason, record.gang_stop_reason = record.gang_stop_reason, ""
    if not reason:
        return
    if record.gang_aborted or record.cancelled:
        core.end_waiting(record, job.Outcome(job.State.NOT_RUN, reason), now)
        return
    delay, record.gang_delay = record.gang_delay, 0.0
    record.delayed.update(record.waiting_indices())
    core.queue.remove(record.spec.id)
    core.schedule_retry(record, -1, now + delay)
