"""What workers say of their tasks: progress, ends, silence; changes the book."""

from __future__ import annotations

from collections.abc import Iterable

import logbook

from toucanspring import log as structured
from toucanspring import resources
from toucanspring.coordinator import cell_state, ports, state, stragglers, workers

log = logbook.Logger(__name__)

# How a run ended, as workers report it.
DONE = "done"
FAILED = "failed"
ALL_DONE_PERCENT = 100
# Without a queue in the configuration a job keeps the attempts of a careful one.
DEFAULT_ATTEMPTS = 1


def take_look(
    records: cell_state.Book,
    worker: workers.Worker,
    look: ports.Look,
    sent_at: float,
    now: float,
) -> list[str]:
    """Take in what a worker runs and what has ended; return the jobs concerned."""
    if look.born != worker.born:
        if worker.born and worker.confirmed:
            structured.decide(
                log, "worker_restarted", worker=worker.id, held=len(worker.held)
            )
        worker.restart(look.born)
    if not worker.confirmed or not worker.answering:
        records.capacity_version += 1
    worker.confirmed = worker.answering = True
    worker.take_clock(look.clock_ms, now)
    listed = {(row.task, row.run) for row in look.running}
    touched = []
    for end in look.ended:
        if end.number > worker.seen_end and _end(records, worker, end, now):
            touched.append(end.task.partition(".")[0])
        listed.add((end.task, end.run))
    _compare(records, worker, look.running, now)
    for task_id, held in list(worker.held.items()):
        task = held.task
        if (task_id, task.run) not in listed and task.settled_at < sent_at:
            structured.decide(
                log, "run_vanished", task=task_id, run=task.run, worker=worker.id
            )
            records.requeue(held.step, task, now)
            touched.append(held.step.job.spec.id)
    return touched


def _compare(
    records: cell_state.Book,
    worker: workers.Worker,
    running: Iterable[ports.RunningTask],
    now: float,
) -> None:
    foreign = {}
    for row in running:
        held = worker.held.get(row.task)
        if held is None or held.task.run != row.run:
            foreign[row.task] = _size_of(records, row.task)
            if row.task not in worker.foreign:
                records.stops.append(cell_state.Stop(worker.id, row.task, row.run))
            continue
        task = held.task
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        stragglers.take_progress(worker, held, row.percent, now)
        if row.percent != task.percent or not task.percent_at:
            task.percent, task.percent_at = row.percent, now
        if task.phase is state.Phase.IN_DOUBT:
            task.phase = state.Phase.RUNNING
            task.started_at = task.started_at or now
            task.settled_at = now
            if held.step.job.is_final:
                records.stop(held.step, task)
    if len(foreign) < len(worker.foreign):
        records.capacity_version += 1
    worker.foreign = foreign


def _size_of(records: cell_state.Book, task_id: str) -> resources.Resources:
    name = state.parse_task_id(task_id)
    record = records.jobs.get(name.job) if name is not None else None
    if record is None or name.step >= len(record.spec.steps):
        # An unknown task may be of any size, so nothing starts beside it.
        return resources.UNLIMITED
    return record.spec.steps[name.step].occupied()


def _end(
    records: cell_state.Book, worker: workers.Worker, end: ports.EndedTask, now: float
) -> bool:
    """Take in how a run ended; return whether it changed a job."""
    name = state.parse_task_id(end.task)
    record = records.jobs.get(name.job) if name is not None else None
    run = record.steps.get((name.occurrence, name.step)) if record else None
    if run is None or name.index >= len(run.tasks):
        return False
    task = run.tasks[name.index]
    if task.run != end.run or task.phase not in state.OCCUPYING:
        return False
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    structured.decide(
        log,
        "run_ended",
        task=end.task,
        run=end.run,
        how=end.how,
        worker=worker.id,
        lasted_s=round(now - task.started_at, 3) if task.started_at else 0,
    )
    if end.how == DONE:
        stragglers.take_end(worker, workers.Held(run, task), now)
    records.release(run, task)
    if end.how == DONE:
        worker.note_success()
        _done(records, run, task, now)
    elif end.how == FAILED:
        if worker.note_failure(record.spec.id, now):
            structured.decide(
                log,
                "worker_quarantined",
                worker=worker.id,
                for_s=round(worker.quarantined_until - now, 1),
            )
        _failed(records, run, task, worker.id, now)
    else:
        records.back_to_queue(run, task, now)
    records.dirty[record.spec.id] = record
    return True


def _done(
    records: cell_state.Book, run: state.StepRun, task: state.Task, now: float
) -> None:
    if run.step.long_running:
        records.back_to_queue(run, task, now)
        return
    task.phase = state.Phase.DONE
    run.unfinished -= 1
    if run.step.gang:
        # The members end together, and one end stands for all.
        for other in run.tasks:
            if other.phase in state.OCCUPYING and other.run == task.run:
                records.release(run, other)
                other.phase = state.Phase.DONE
                run.unfinished -= 1
    if run.unfinished == 0 and not run.job.is_final:
        _step_done(records, run, now)


def _step_done(records: cell_state.Book, run: state.StepRun, now: float) -> None:
    record = run.job
    occurrences = max(1, record.spec.repeats)
    complete = sum(step.unfinished == 0 for step in record.steps.values())
    if complete == occurrences * len(record.spec.steps):
        records.finish(record, state.JobState.COMPLETED, now)
        return
    for number, step in enumerate(record.spec.steps):
        key = (run.occurrence, number)
        if key in record.steps or not step.after:
            continue
        if records.may_open(record, run.occurrence, step):
            records.queue(state.new_step(record, run.occurrence, number, now))


def _failed(
    records: cell_state.Book,
    run: state.StepRun,
    task: state.Task,
    worker_id: str,
    now: float,
) -> None:
    # A gang fails as a whole, however many of its members do in one run.
    failing = run.tasks if run.step.gang else [task]
    if task.run > max(each.failed_run for each in failing):
        for each in failing:
            each.failures += 1
            each.failed_run = task.run
    task.avoided = task.avoided | {worker_id}
    task.avoid_until = now + cell_state.AVOID_S
    records.back_to_queue(run, task, now)
    queue = records.catalogue.queue(run.job.spec.queue)
    attempts = queue.max_attempts if queue is not None else DEFAULT_ATTEMPTS
    exhausted = task.failures >= attempts and not run.step.long_running
    if exhausted and not run.job.is_final:
        records.finish(run.job, state.JobState.FAILED, now)


def lapse(records: cell_state.Book, worker: workers.Worker, now: float) -> None:
    """Take note that a silent worker's lease is over: it runs nothing."""
    worker.answering = worker.confirmed = False
    structured.decide(log, "worker_lost", worker=worker.id, tasks=len(worker.held))
    for held in list(worker.held.values()):
        records.requeue(held.step, held.task, now)
    worker.foreign.clear()


def find_stuck(worker: workers.Worker, now: float) -> list[workers.Held]:
    """Return the tasks whose progress stands still although the worker answers."""
    found = []
    for held in worker.held.values():
        task, step = held.task, held.step.step
        if task.phase is not state.Phase.RUNNING or step.long_running:
            continue
        # A member of a gang that is through waits there for the others.
        if task.percent >= ALL_DONE_PERCENT:
            continue
        if not task.percent_at or now - task.percent_at < workers.STUCK_S:
            continue
        if step.gang and any(
            other.phase is not state.Phase.RUNNING
            or now - other.started_at < workers.STUCK_S
            for other in held.step.tasks
        ):
            continue
        # One percent of a long task takes longer than the usual limit.
        if now - task.percent_at > workers.STUCK_S + step.estimate_ms / 1000 / 20:
            found.append(held)
    return found
