"""Application of worker reports (progress, ended runs) to the cell state."""

from __future__ import annotations

from collections.abc import Iterable

import logbook

from toucanspring import log as structured
from toucanspring import resources
from toucanspring.coordinator import (
    cell_state,
    job_times,
    openings,
    ports,
    state,
    stragglers,
    workers,
)

log = logbook.Logger(__name__)

# Outcomes of a run, as reported by workers.
DONE = "done"
FAILED = "failed"
COMPLETE_PERCENT = 100
# A job that has failed on so many other workers lately, and ended well on none, fails
# by its own fault: the worker is not left alone for it.
OWN_FAULT_WORKERS = 2
OWN_FAULT_PERIOD_S = 10.0
# A stop is ordered again if a run that must end is still held after this long; an order
# may be dropped, for instance while the address of the worker is unknown.
STOP_REPEAT_S = 3.0


def apply_poll_reply(
    cell: cell_state.CellState,
    worker: workers.Worker,
    reply: ports.PollReply,
    sent_at: float,
    now: float,
) -> list[str]:
    """Apply running and ended tasks of a worker; return the IDs of changed jobs."""
    if reply.incarnation != worker.incarnation:
        if worker.incarnation and worker.confirmed:
            structured.decide(
                log, "worker_restarted", worker=worker.id, held=len(worker.allocations)
            )
        worker.record_restart(reply.incarnation)
        cell.speeds.forget(worker.id)
    worker.confirmed = worker.responsive = True
    worker.record_reply(now)
    worker.update_clock(reply.clock_ms, now)
    listed = {(row.task, row.run) for row in reply.running}
    changed_jobs: list[str] = []
    for end in reply.ended:
        if end.number > worker.acked_end and _apply_end(cell, worker, end, now):
            changed_jobs.append(end.task.partition(".")[0])
        listed.add((end.task, end.run))
    _reconcile_running(cell, worker, reply.running, now)
    # A full list of ends may leave out the ends of further runs.
    is_complete = len(reply.ended) < ports.MAX_LISTED_ENDS
    known = worker.allocations if is_complete else {}
    for task_id, allocation in list(known.items()):
        task = allocation.task
        if (task_id, task.run) not in listed and task.confirmed_at < sent_at:
            structured.decide(
                log, "run_vanished", task=task_id, run=task.run, worker=worker.id
            )
            cell.requeue(allocation.step, task, now)
            changed_jobs.append(allocation.step.job.spec.id)
    _order_stops(cell, worker, reply.running, now)
    return changed_jobs


def _order_stops(
    cell: cell_state.CellState,
    worker: workers.Worker,
    running: Iterable[ports.RunningTask],
    now: float,
) -> None:
    """Order stops of unknown runs, and all stops again that had no effect.

    Runs of jobs whose progress cannot be read go on: they may be rightful.
    """
    due_at: dict[tuple[str, int], float] = {}
    unknown = [
        (row.task, row.run)
        for row in running
        if row.task in worker.unknown_tasks
        and row.task.partition(".")[0] not in cell.unreadable
    ]
    stopping = [
        (task_id, allocation.task.run)
        for task_id, allocation in worker.allocations.items()
        if allocation.task.phase is state.TaskPhase.STOPPING
    ]
    for key in [*unknown, *stopping]:
        due_at[key] = worker.stops_due_at.get(key, now + STOP_REPEAT_S)
        if now >= due_at[key]:
            due_at[key] = now + STOP_REPEAT_S
            cell.stops.append(cell_state.Stop(worker.id, *key))
    worker.stops_due_at = due_at


def _reconcile_running(
    cell: cell_state.CellState,
    worker: workers.Worker,
    running: Iterable[ports.RunningTask],
    now: float,
) -> None:
    unknown_tasks = {}
    for row in running:
        allocation = worker.allocations.get(row.task)
        if allocation is None or allocation.task.run != row.run:
            unknown_tasks[row.task] = _demand_of(cell, row.task)
            if (row.task, row.run) not in worker.stops_due_at:
                worker.stops_due_at[row.task, row.run] = now
            continue
        task = allocation.task
        cell.note_begun(allocation.step.job)
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        stragglers.record_progress(cell.speeds, worker, allocation, row.percent, now)
        if row.percent != task.percent or not task.progressed_at:
            task.percent, task.progressed_at = row.percent, now
        if task.phase is state.TaskPhase.IN_DOUBT:
            task.phase = state.TaskPhase.RUNNING
            task.started_at = task.started_at or now
            task.confirmed_at = now
            cell.stop_unwanted(allocation.step, task)
    worker.unknown_tasks = unknown_tasks


def _demand_of(cell: cell_state.CellState, task_id: str) -> resources.Resources:
    parsed_id = state.parse_task_id(task_id)
    record = cell.jobs.get(parsed_id.job) if parsed_id is not None else None
    if record is None or parsed_id.step >= len(record.spec.steps):
        # The demand is unknown, so nothing else is started on the worker.
        return resources.UNLIMITED
    return record.spec.steps[parsed_id.step].occupied()


def _apply_end(
    cell: cell_state.CellState, worker: workers.Worker, end: ports.EndedTask, now: float
) -> bool:
    """Apply the end of a run; return whether it changed a job."""
    parsed_id = state.parse_task_id(end.task)
    record = cell.jobs.get(parsed_id.job) if parsed_id is not None else None
    step_run = (
        record.steps.get_open((parsed_id.occurrence, parsed_id.step))
        if record
        else None
    )
    task = step_run.tasks.find(parsed_id.index) if step_run else None
    if task is None or task.run != end.run or task.phase not in state.ALLOCATED_PHASES:
        return False
    cell.note_begun(record)
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    structured.decide(
        log,
        "run_ended",
        task=end.task,
        run=end.run,
        how=end.outcome,
        worker=worker.id,
        lasted_s=round(now - task.started_at, 3) if task.started_at else 0,
    )
    if end.outcome == DONE:
        allocation = workers.Allocation(step_run, task)
        stragglers.record_completion(cell.speeds, worker, allocation, now)
        job_times.record_end(cell, step_run, task, now)
    _count_stop(cell, step_run, task, end, now)
    cell.release(step_run, task)
    if end.outcome == DONE:
        worker.record_success()
        record.failed_on.clear()
        _complete_task(cell, step_run, task, now)
    elif end.outcome == FAILED:
        is_own_fault = _fails_everywhere(record, worker, now)
        record.failed_on[worker.id] = now
        if not is_own_fault and worker.record_failure(record.spec.id, now):
            structured.decide(
                log,
                "worker_quarantined",
                worker=worker.id,
                for_s=round(worker.quarantined_until - now, 1),
            )
        _fail_task(cell, step_run, task, worker.id, now)
    else:
        cell.return_to_queue(step_run, task, now)
    cell.dirty[record.spec.id] = record
    return True


def _count_stop(
    cell: cell_state.CellState,
    step_run: state.StepRun,
    task: state.Task,
    end: ports.EndedTask,
    now: float,
) -> None:
    """Count a run that ended since it was stopped."""
    if task.phase is not state.TaskPhase.STOPPING or end.outcome in (DONE, FAILED):
        return
    ran_s = now - task.started_at if task.started_at else 0.0
    core_s = ran_s * step_run.step.demand.cpus / 1000
    saved = bool(end.checkpoint) and not step_run.job.is_final
    cell.stop_counts.record(task.stop_cause, core_s, saved)


def _fails_everywhere(
    record: state.JobRecord, worker: workers.Worker, now: float
) -> bool:
    """Return whether the runs of a job fail on other workers than this one as well."""
    others = [
        name
        for name, failed_at in record.failed_on.items()
        if name != worker.id and now - failed_at < OWN_FAULT_PERIOD_S
    ]
    return len(others) >= OWN_FAULT_WORKERS


def _complete_task(
    cell: cell_state.CellState, step_run: state.StepRun, task: state.Task, now: float
) -> None:
    if step_run.step.long_running:
        cell.return_to_queue(step_run, task, now)
        return
    cell.complete(step_run, task)
    if step_run.step.gang:
        # Members complete together, so one report completes all of them, also those
        # that were requeued since their worker was lost after the completion.
        for other in list(step_run.tasks.known()):
            if other.run != task.run:
                continue
            if other.phase in state.ALLOCATED_PHASES:
                cell.release(step_run, other)
            cell.complete(step_run, other)
    if step_run.unfinished == 0 and not step_run.job.is_final:
        _complete_step(cell, step_run, now)


def _complete_step(
    cell: cell_state.CellState, step_run: state.StepRun, now: float
) -> None:
    record = step_run.job
    record.steps.complete((step_run.occurrence, step_run.number))
    if state.is_complete(record):
        cell.finish(record, state.JobState.COMPLETED, now)
        return
    for opened in openings.open_occurrence(record, step_run.occurrence, now):
        cell.enqueue(opened)


def _fail_task(
    cell: cell_state.CellState,
    step_run: state.StepRun,
    task: state.Task,
    worker_id: str,
    now: float,
) -> None:
    # A gang fails as a whole: several failed members of one run count once.
    failing = [task]
    if step_run.step.gang:
        failing = list(step_run.tasks.known())
    if task.run > max(each.failed_run for each in failing):
        for each in failing:
            each.failures += 1
            each.failed_run = task.run
            step_run.most_failures = max(step_run.most_failures, each.failures)
    task.avoided_workers = task.avoided_workers | {worker_id}
    task.avoid_until = now + cell_state.FAILED_WORKER_AVOIDANCE_S
    cell.return_to_queue(step_run, task, now)


def mark_lost(cell: cell_state.CellState, worker: workers.Worker, now: float) -> None:
    """Requeue the tasks of a worker whose lease has expired, so that it runs none."""
    worker.responsive = worker.confirmed = False
    structured.decide(
        log, "worker_lost", worker=worker.id, tasks=len(worker.allocations)
    )
    for allocation in list(worker.allocations.values()):
        cell.requeue(allocation.step, allocation.task, now)
    worker.unknown_tasks.clear()


def find_stuck(worker: workers.Worker, now: float) -> list[workers.Allocation]:
    """Return the tasks without progress although their worker responds.

    A worker that was silent may have been paused as a whole, so the time of its silence
    does not count. Tasks that could not start again, since their queue is missing, are
    left alone. Each time a task is found its limit is doubled.
    """
    found = []
    for allocation in worker.allocations.values():
        task, step = allocation.task, allocation.step.step
        if task.phase is not state.TaskPhase.RUNNING or step.long_running:
            continue
        if allocation.step.job.queue is None:
            continue
        # A gang member that has completed its work waits for the other members.
        if task.percent >= COMPLETE_PERCENT:
            continue
        if not task.progressed_at:
            continue
        stands_for_s = now - max(task.progressed_at, worker.returned_at)
        if stands_for_s < workers.STUCK_S:
            continue
        if step.gang and any(
            other.phase is not state.TaskPhase.RUNNING
            or now - other.started_at < workers.STUCK_S
            for other in allocation.step.tasks.known()
        ):
            continue
        # Progress is in whole percent, and 1% of a long task may exceed the limit. A
        # task that was stopped before may be slower than its estimate says.
        limit_s = workers.STUCK_S + step.estimate_ms / 1000 / 20
        if stands_for_s > limit_s * 2**task.times_stuck:
            task.times_stuck += 1
            found.append(allocation)
    return found
