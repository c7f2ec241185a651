"""Handle the end of attempts: reports, refused starts and lost workers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from toucanspring import job, wire
from toucanspring.reporting import event_kinds
from toucanspring.scheduling import (
    avoidance,
    effects,
    lifecycle,
    quarantine,
    task_table,
)

SERVICE_STABLE_S = 60.0  # a run of this length resets a service's restart delay

# A worker that refuses a start gets no new ones for this time, which doubles with
# each consecutive refusal.
REFUSAL_PAUSE_S = 0.1
REFUSAL_PAUSE_MAX_S = 5.0


def report(
    core: lifecycle.Lifecycle,
    worker: str,
    finished: Iterable[wire.FinishedTask],
    now: float,
) -> None:
    """Apply ended attempts that a worker reports, possibly repeatedly."""
    for end in finished:
        core.effects.acknowledge(worker, end.task_id)
        task = core.table.live.get(end.task_id)
        if task is not None and task.worker == worker and task.attempt == end.attempt:
            record = core.table.jobs[task.job_id]
            core.release_task(record, task, now)
            _record_observation(core, record, worker, end, now)
            _handle_end(core, record, task, end, now)
            continue
        _report_unattributed(core, worker, end, now)


def _report_unattributed(
    core: lifecycle.Lifecycle, worker: str, end: wire.FinishedTask, now: float
) -> None:
    """Handle a report of an old attempt, an orphan or a previous owner's task."""
    state = core.workers.get(worker)
    orphan = state.orphans.get(end.task_id) if state else None
    if orphan is not None and orphan.attempt == end.attempt:
        del state.orphans[end.task_id]
        core.index.release(worker, orphan.demand)
        core.allowances.free(orphan.team, orphan.demand)
        core.placement_needed = True
    record = core.table.jobs.get(job.job_of(end.task_id))
    if record is None:
        return
    index = task_table.task_index(end.task_id)
    if index in record.finals:
        # The first record may not be durable yet. If the worker discarded the task
        # before that, the next owner would start it again, so the acknowledgement
        # waits for a second record.
        core.effects.record_outcome(end.task_id, record.finals[index])
        return
    # The next attempt must not reuse the number of a reported one.
    record.attempts[index] = max(record.attempts.get(index, 0), end.attempt)
    if index in record.unconfirmed:
        record.unconfirmed.discard(index)
        task = task_table.LiveTask(
            end.task_id, record.spec.id, index, end.attempt, worker=worker
        )
        _record_observation(core, record, worker, end, now)
        _handle_end(core, record, task, end, now)


def _record_observation(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    worker: str,
    end: wire.FinishedTask,
    now: float,
) -> None:
    """Update estimates and failure tracking, unless the task was checkpointed."""
    if end.state == "checkpointed":
        return
    spec = record.spec
    ok = end.state == "done"
    seconds = end.run_ms / 1000
    if ok:
        core.estimator.observe(spec.name, spec.team, spec.demand, end.usage, seconds)
    avoidance.record_end(core, record, worker, ok, seconds, now)
    before = core.quarantine.eligibility(worker, now)
    core.quarantine.record_result(worker, spec.id, ok, seconds, now)
    after = core.quarantine.eligibility(worker, now)
    if after is before:
        return
    core.update_schedulable(worker, now)
    if before is quarantine.Eligibility.YES:
        core.effects.publish(event_kinds.WorkerQuarantined(worker))
    elif after is quarantine.Eligibility.YES:
        core.effects.publish(event_kinds.WorkerReleased(worker))


def _handle_end(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    task: task_table.LiveTask,
    end: wire.FinishedTask,
    now: float,
) -> None:
    """Finish, retry or requeue the task of an attempt that ran."""
    spec, index = record.spec, task.index
    stopped = task.stop_reason or record.gang_stop_reason
    if end.state == "done" and (spec.kind is not job.Kind.SERVICE or record.cancelled):
        outcome = task_table.DONE
        if end.answer:
            outcome = job.Outcome(job.State.DONE, "", end.answer)
        core.finalize(record, index, outcome, now)
        return
    record.ran.add(index)
    if end.state == "checkpointed":
        record.progress[index] = end.answer
    if record.cancelled:
        core.finalize(record, index, lifecycle.FAILED_CANCELLED, now)
    elif not spec.idempotent:
        reason = end.reason or stopped or end.state
        core.finalize(record, index, job.Outcome(job.State.FAILED, reason), now)
    elif spec.kind is job.Kind.SERVICE:
        _restart_service(core, record, task, end, now)
    elif stopped or end.state == "checkpointed":
        core.requeue(record, index, now, reason=stopped)
    else:
        _retry(core, record, task, end.reason or "failed", now)


def _retry(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    task: task_table.LiveTask,
    reason: str,
    now: float,
) -> None:
    failures = record.failures.setdefault(task.index, [])
    failures.append(task.worker)
    quarantined = set(core.quarantine.quarantined())
    counted = sum(1 for worker in failures if worker not in quarantined)
    retries = record.spec.retries
    if counted > retries or len(failures) > retries + lifecycle.MAX_UNCOUNTED_FAILURES:
        core.finalize(record, task.index, job.Outcome(job.State.FAILED, reason), now)
        return
    core.requeue(record, task.index, now, retry_delay(core, len(failures)), reason)


def _restart_service(
    core: lifecycle.Lifecycle,
    record: task_table.JobRecord,
    task: task_table.LiveTask,
    end: wire.FinishedTask,
    now: float,
) -> None:
    failures = record.failures.setdefault(task.index, [])
    if end.run_ms >= SERVICE_STABLE_S * 1000:
        failures.clear()
    delay = 0.0
    if not task.stop_reason and end.state != "checkpointed":
        failures.append(task.worker)
        # Older failures are dropped; only the delay depends on their number.
        del failures[: -lifecycle.MAX_UNCOUNTED_FAILURES]
        delay = retry_delay(core, len(failures))
    core.requeue(record, task.index, now, delay)


def retry_delay(core: lifecycle.Lifecycle, failures: int) -> float:
    """Return an exponential delay with jitter, in seconds."""
    delay = lifecycle.RETRY_FIRST_S * lifecycle.RETRY_GROWTH ** (failures - 1)
    return min(lifecycle.RETRY_MAX_S, delay) * core.rng.uniform(0.8, 1.2)


def starts_accepted(
    core: lifecycle.Lifecycle, worker: str, task_ids: Iterable[str]
) -> None:
    """Mark tasks as running whose start a worker accepted."""
    state = core.workers.get(worker)
    if state is not None:
        state.refusals = 0
    live, running, starting = core.table.live, job.State.RUNNING, job.State.STARTING
    for task_id in task_ids:
        task = live.get(task_id)
        if task is not None and task.worker == worker and task.state is starting:
            task.state = running


def starts_refused(
    core: lifecycle.Lifecycle,
    worker: str,
    refusals: Iterable[tuple[str, str]],
    now: float,
) -> None:
    """Requeue tasks whose start was refused; they have not run."""
    state = core.workers.get(worker)
    if state is not None and refusals:
        pause = REFUSAL_PAUSE_S * 2**state.refusals
        state.paused_until = now + min(pause, REFUSAL_PAUSE_MAX_S)
        state.refusals = min(state.refusals + 1, 10)
        core.paused.add(worker)
        core.update_schedulable(worker, now)
    for task_id, reason in refusals:
        task = core.table.live.get(task_id)
        if (
            task is None
            or task.worker != worker
            or task.state is not job.State.STARTING
        ):
            continue
        record = core.table.jobs[task.job_id]
        core.release_task(record, task, now)
        core.requeue(record, task.index, now, reason=f"start refused: {reason}")


def intents_durable(
    core: lifecycle.Lifecycle, intents: Iterable[effects.Intent], now: float
) -> None:
    """Send the starts whose intents are durable and whose worker is still usable."""
    for task in _matching_intents(core, intents):
        record = core.table.jobs[task.job_id]
        state = core.workers.get(task.worker)
        usable = (
            state is not None
            and state.attached
            and not state.leaving
            and state.facts.incarnation == task.incarnation
            and state.facts.availability_zone not in core.zones_out
        )
        if usable:
            task.state = job.State.STARTING
            core.effects.start(task.worker, [core.start_message(record, task)])
        else:
            core.release_task(record, task, now)
            core.requeue(record, task.index, now, reason="worker is no longer usable")


def intents_failed(
    core: lifecycle.Lifecycle, intents: Iterable[effects.Intent], now: float
) -> None:
    """Requeue tasks whose intents were not written; their starts were not sent."""
    for task in _matching_intents(core, intents):
        record = core.table.jobs[task.job_id]
        core.release_task(record, task, now)
        delay = lifecycle.RETRY_FIRST_S
        core.requeue(record, task.index, now, delay, "the intent was not written")


def _matching_intents(
    core: lifecycle.Lifecycle, intents: Iterable[effects.Intent]
) -> Iterator[task_table.LiveTask]:
    """Yield the tasks that are still waiting for exactly these intents."""
    for intent in intents:
        task = core.table.live.get(intent.task_id)
        if (
            task is not None
            and task.attempt == intent.attempt
            and task.worker == intent.worker
            and task.state is job.State.INTENDED
        ):
            yield task


def never_ran(core: lifecycle.Lifecycle, task: task_table.LiveTask, now: float) -> None:
    """Requeue a task that its worker has not started and cannot start later."""
    record = core.table.jobs[task.job_id]
    core.release_task(record, task, now)
    core.requeue(record, task.index, now, reason="the start did not reach the worker")


def lost(
    core: lifecycle.Lifecycle, task: task_table.LiveTask, reason: str, now: float
) -> None:
    """End an attempt whose worker is gone, so that the task runs no more."""
    record = core.table.jobs[task.job_id]
    index = task.index
    core.release_task(record, task, now)
    disposition = after_loss(task.state, record.spec.idempotent)
    if disposition == "never_ran":
        core.requeue(record, index, now, reason=reason)
        return
    record.ran.add(index)
    if disposition == "unknown":
        core.finalize(record, index, job.Outcome(job.State.UNKNOWN, reason), now)
        return
    record.losses[index] = losses = record.losses.get(index, 0) + 1
    if losses > lifecycle.MAX_LOSSES and record.spec.kind is not job.Kind.SERVICE:
        core.finalize(record, index, job.Outcome(job.State.FAILED, reason), now)
    else:
        core.requeue(record, index, now, reason=reason)


def after_loss(state: job.State, idempotent: bool) -> str:
    """Return how to treat an attempt whose worker is gone.

    `never_ran`: the start was not sent. `requeue`: the task has stopped and may run
    again. `unknown`: the task may have run and must not run again.
    """
    if state is job.State.INTENDED:
        return "never_ran"
    return "requeue" if idempotent else "unknown"
