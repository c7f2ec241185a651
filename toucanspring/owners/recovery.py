"""Scheduler state after a takeover, and when workers attach or are lost."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from toucanspring import job, resources, wire
from toucanspring.owners import log_records
from toucanspring.scheduling import (
    admission,
    attempt,
    effects,
    gang,
    lifecycle,
    task_table,
    worker_state,
)


def restore(
    core: lifecycle.Lifecycle,
    specs: Iterable[job.JobSpec],
    finished: Mapping[str, job.Outcome],
    intents: Mapping[str, effects.Intent],
    cancelled: Iterable[str],
    expected: Mapping[str, resources.Resources | None],
    now: float,
) -> None:
    """Rebuild the state from the log; tasks may be running on `expected` workers."""
    core.expected_workers = dict(expected)
    records = [record for spec in specs if (record := core.table.add(spec, now))]
    for task_id, outcome in finished.items():
        record = core.table.jobs.get(job.job_of(task_id))
        if record is not None:
            record.set_final(task_table.task_index(task_id), outcome)
    for job_id in cancelled:
        if record := core.table.jobs.get(job_id):
            record.cancelled = True
    for record in records:
        if record.complete():
            core.table.finish_job(record)
    started: dict[str, list[effects.Intent]] = {}
    for intent in intents.values():
        started.setdefault(job.job_of(intent.task_id), []).append(intent)
    for record in records:
        if record.outcome is None:
            _restore_job(core, record, started.get(record.spec.id, ()), now)
    requeue_unconfirmed(core, now)


def adopt(
    core: lifecycle.Lifecycle, ended: Iterable[log_records.EndedJob], now: float
) -> None:
    """Add jobs that ended in another partition, for lookups and dependencies."""
    for each in ended:
        record = core.table.add(each.spec, now)
        if record is None:
            continue
        for task_id, outcome in each.outcomes.items():
            record.set_final(task_table.task_index(task_id), outcome)
        record.cancelled = each.cancelled
        core.table.finish_job(record)


def _restore_job(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    intents: Iterable[effects.Intent],
    now: float,
) -> None:
    spec = record.spec
    if not admission.wait_for_dependencies(core, record, now):
        return  # none of its tasks has started
    if restored_task(spec.idempotent, intent=False, expected=True) == "held":
        record.unconfirmed.update(record.waiting_indices())
        core.unconfirmed_jobs.add(spec.id)
        return
    for intent in intents:
        index = task_table.task_index(intent.task_id)
        if index in record.finals:
            continue
        task = task_table.LiveTask(
            intent.task_id,
            spec.id,
            index,
            intent.attempt,
            job.State.STARTING,
            intent.worker,
            now,
            demand=intent.demand or spec.demand,
            team=spec.team,
            incarnation=intent.incarnation,
            expected_end=now + spec.run_seconds,
        )
        core.adopt(record, task, now)
    for task in list(record.live.values()):
        expected = task.worker in core.expected_workers
        if restored_task(spec.idempotent, intent=True, expected=expected) == "lost":
            attempt.lost(core, task, f"worker {task.worker} is gone", now)
    if record.outcome is not None:
        return
    if record.cancelled:
        core.end_waiting(record, lifecycle.NOT_RUN_CANCELLED, now)
    elif spec.kind is job.Kind.GANG and (record.live or record.gang_stop_reason):
        # Complete again once its workers have attached.
        core.unconfirmed_jobs.add(spec.id)
    else:
        core.enqueue(record, now)


def restored_task(idempotent: bool, intent: bool, expected: bool) -> str:
    """Return the state of an unfinished task after a takeover.

    `held`: it may be running on any worker, since starts of idempotent tasks are not
    logged; `attributed`: it may be running on the worker named in its intent; `lost`:
    that worker no longer exists; `waiting`: it never started.
    """
    if idempotent:
        return "held"
    if not intent:
        return "waiting"
    return "attributed" if expected else "lost"


def attach(
    core: lifecycle.Lifecycle,
    facts: effects.WorkerFacts,
    running: Iterable[wire.RunningTask],
    finished: Iterable[wire.FinishedTask],
    now: float,
) -> None:
    """Register a worker and reconcile its tasks with those attributed to it.

    The worker must have closed older streams of the partition before it responded,
    so that a start it does not know can no longer arrive.
    """
    worker = facts.worker
    former = core.workers.get(worker)
    state = core.workers[worker] = worker_state.WorkerState(facts)
    if former is not None:
        state.leaving = former.leaving
        _drop_orphans(core, former)
    admission.register_worker(core, facts, now)
    core.index.add(worker, facts.capacity, facts.availability_zone, facts.rack)
    core.shares.set_total(core.index.total())
    attributed = core.tasks_on.setdefault(worker, {})
    for task in attributed.values():
        core.index.allocate(worker, task.demand)
    state.schedulable = True
    core.placement_needed = True
    if core.collecting_gang:
        # It may have been moved here for the gang. `move_planner` releases it if the
        # gang has enough workers.
        core.collected_workers |= {worker}
    core.update_schedulable(worker, now)
    present = set()
    # Running attempts are processed first: an older attempt that has ended must not
    # requeue the task while a newer one is running.
    for entry in running:
        present.add((entry.task_id, entry.attempt))
        _attach_running(core, state, entry, now)
    attempt.report(core, worker, finished, now)
    for task in list(attributed.values()):
        if (task.id, task.attempt) not in present and task.id in core.table.live:
            _attach_absent(core, task, facts, now)
    core.expected_workers.pop(worker, None)
    requeue_unconfirmed(core, now)


def _attach_running(
    core: lifecycle.Lifecycle,
    state: worker_state.WorkerState,
    entry: wire.RunningTask,
    now: float,
) -> None:
    worker = state.facts.worker
    task = core.table.live.get(entry.task_id)
    if task is not None and task.worker == worker and task.attempt == entry.attempt:
        task.state = job.State.RUNNING
        task.throttle = entry.throttle
        task.incarnation = state.facts.incarnation
        if task.demand != entry.demand:
            core.resize(task, entry.demand, now)  # the log does not contain the size
        if task.stop_reason:
            core.stop(task, task.stop_reason, task.stop_mode)  # the stop may be lost
        elif core.table.jobs[task.job_id].cancelled:
            core.stop(task, lifecycle.CANCELLED, "kill")
        return
    record = core.table.jobs.get(job.job_of(entry.task_id))
    index = task_table.task_index(entry.task_id)
    if record is not None and index in record.unconfirmed:
        started_at = now - entry.age_ms / 1000
        task = task_table.LiveTask(
            entry.task_id,
            record.spec.id,
            index,
            entry.attempt,
            job.State.RUNNING,
            worker,
            started_at,
            demand=entry.demand,
            team=record.spec.team,
            incarnation=state.facts.incarnation,
            expected_end=started_at + core.estimator.run_seconds(record.spec),
            throttle=entry.throttle,
        )
        core.adopt(record, task, now)
        if record.cancelled:
            core.stop(task, lifecycle.CANCELLED, "kill")
        return
    state.orphans[entry.task_id] = entry
    core.index.allocate(worker, entry.demand)
    core.allowances.use(entry.team, entry.demand)
    core.effects.stop(worker, entry.task_id, "kill")


def _attach_absent(
    core: lifecycle.Lifecycle,
    task: task_table.LiveTask,
    facts: effects.WorkerFacts,
    now: float,
) -> None:
    """Handle an attributed task that is unknown to the worker."""
    restarted = task.incarnation != facts.incarnation
    match absent_task(task.state, restarted):
        case "keep":
            return
        case "never_ran":
            attempt.never_ran(core, task, now)
        case _:
            reason = "restarted" if restarted else "does not know the task"
            attempt.lost(core, task, f"worker {facts.worker} {reason}", now)


def absent_task(state: job.State, restarted: bool) -> str:
    """Return how to handle an attempt that is unknown to an attached worker.

    `keep`: its start was not sent yet; `never_ran`: it certainly has not run and cannot
    run later, since the worker keeps ended tasks until they are acknowledged and
    refuses older epochs; `lost`: it may have run.
    """
    if state is job.State.INTENDED:
        return "never_ran" if restarted else "keep"
    if state is job.State.STARTING and not restarted:
        return "never_ran"
    return "lost"


def handle_lost_worker(core: lifecycle.Lifecycle, worker: str, now: float) -> None:
    """End all attempts on a worker whose lease and stop grace have expired."""
    state = core.workers.pop(worker, None)
    if state is not None:
        _drop_orphans(core, state)
    core.index.remove(worker)
    core.shares.set_total(core.index.total())
    if worker in core.expected_workers:
        amount = core.expected_workers.pop(worker)
        if amount is None:
            core.unlisted_until[worker] = now + admission.UNLISTED_LIMIT_S
        else:
            core.unseen_workers[worker] = amount
    for task in list(core.tasks_on.pop(worker, {}).values()):
        if task.id in core.table.live:
            attempt.lost(core, task, f"worker {worker} was lost", now)
    requeue_unconfirmed(core, now)


def _drop_orphans(core: lifecycle.Lifecycle, state: worker_state.WorkerState) -> None:
    for orphan in state.orphans.values():
        core.allowances.free(orphan.team, orphan.demand)
    state.orphans.clear()


def requeue_unconfirmed(core: lifecycle.Lifecycle, now: float) -> None:
    """Requeue the restored tasks once no worker can be running them."""
    count_possible_use(core)
    if core.expected_workers:
        return
    for job_id in sorted(core.unconfirmed_jobs):
        record = core.table.jobs[job_id]
        held = sorted(record.unconfirmed)
        record.unconfirmed.clear()
        # An attempt may have run and failed before the takeover, so these tasks must
        # not end as "not run".
        record.ran.update(held)
        if record.outcome is not None:
            continue
        if record.cancelled:
            core.end_waiting(record, lifecycle.FAILED_CANCELLED, now)
        elif record.gang_stop_reason:
            gang.restart(core, record, record.gang_stop_reason, now)
        elif record.spec.kind is not job.Kind.GANG:
            core.enqueue(record, now, held)  # the other tasks are queued already
        elif not record.live:
            core.queue.remove(job_id)
            core.enqueue(record, now)
        elif record.waiting_count():
            gang.restart(core, record, "members are missing after a takeover", now)
    core.unconfirmed_jobs.clear()


def count_possible_use(core: lifecycle.Lifecycle) -> None:
    """Charge restored tasks that may be running to their teams' allowances.

    Their actual sizes are not in the log and may exceed the declared ones. The upper
    bound is the capacity of the workers not yet attached, or unlimited if unknown.
    """
    capacity = resources.ZERO
    for amount in core.expected_workers.values():
        if amount is None:
            capacity = resources.UNLIMITED
            break
        capacity += amount
    teams = {core.table.jobs[job_id].spec.team for job_id in core.unconfirmed_jobs}
    core.allowances.set_unconfirmed(dict.fromkeys(teams, capacity))
