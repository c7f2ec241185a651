"""Acceptance and cancellation of the jobs of one partition."""

from __future__ import annotations

import dataclasses
import time

import gevent
import gevent.event

from toucanspring import errors, job, uptime
from toucanspring.owners import execution, inbox, journal, log_records
from toucanspring.scheduling import effects, scheduler


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """A job whose record is being written."""

    spec: job.JobSpec
    written: gevent.event.AsyncResult


class Acceptance:
    """Add jobs to the log, then to the scheduler, in the partition's task."""

    def __init__(
        self,
        core: scheduler.Scheduler,
        log: journal.Journal,
        executor: execution.Executor,
    ) -> None:
        self._scheduler = core
        self._journal = log
        self._executor = executor
        self._accepting: dict[str, Pending] = {}

    def holds(self, job_id: str) -> bool:
        """Return whether a job was accepted, even if not durably yet."""
        return job_id in self._journal.state.specs or job_id in self._accepting

    def submit(self, message: inbox.Submit) -> None:
        """Accept new jobs; the result is set once all are durable or refused."""
        specs = message.specs
        answers: list[object] = [None] * len(specs)
        waiting: list[tuple[int, gevent.event.AsyncResult]] = []
        for index, spec in enumerate(specs):
            known = self._journal.state.specs.get(spec.id)
            pending = self._accepting.get(spec.id)
            if known is None and pending is not None:
                known = pending.spec
            if known is not None and known != spec:
                answers[index] = errors.Conflict(
                    key=spec.id, reason="another job with this ID was accepted"
                )
            elif spec.id in self._journal.state.specs:
                answers[index] = spec.id
            elif pending is not None:
                waiting.append((index, pending.written))
            elif spec.id in message.answers:
                answers[index] = message.answers[spec.id]
            else:
                written = self._accept(spec, message.layout_version)
                waiting.append((index, written))
        gevent.spawn(self._answer_submit, specs, answers, waiting, message.result)

    def _accept(
        self, spec: job.JobSpec, layout_version: int | None
    ) -> gevent.event.AsyncResult:
        record = log_records.Accepted(spec, time.time_ns() // 1_000_000)
        written = self._journal.append(record, True, layout_version)
        self._accepting[spec.id] = Pending(spec, written)

        def add_to_scheduler(failure: errors.Failure | None) -> list[effects.Effect]:
            self._accepting.pop(spec.id, None)
            if failure is not None:
                return []
            return self._scheduler.submit([spec], uptime.now())

        self._executor.when_written(written, add_to_scheduler)
        return written

    def _answer_submit(
        self,
        specs: list[job.JobSpec],
        answers: list[object],
        waiting: list[tuple[int, gevent.event.AsyncResult]],
        result: gevent.event.AsyncResult,
    ) -> None:
        for index, written in waiting:
            failure = written.get()
            answers[index] = specs[index].id if failure is None else failure
        result.set(answers)

    def cancel(self, job_ids: list[str], result: gevent.event.AsyncResult) -> None:
        """Cancel jobs that have not ended, once the cancellation is durable."""
        state = self._journal.state
        answers: dict[str, object] = {}
        known: list[str] = []
        for name in job_ids:
            if name not in state.specs:
                answers[name] = errors.NotFound(reason=f"no job {name}")
            elif state.is_finished(name) and name not in state.cancelled:
                answers[name] = errors.Refused(reason=f"job {name} has already ended")
            else:
                known.append(name)
        if not known:
            result.set(answers)
            return
        written = self._journal.append(log_records.Cancelled(known), droppable=True)

        def cancel(failure: errors.Failure | None) -> list[effects.Effect]:
            answers.update(dict.fromkeys(known, failure or "cancelled"))
            if failure is not None:
                result.set(answers)
                return []
            found = self._scheduler.cancel(known, uptime.now())
            result.set(answers)
            return found

        self._executor.when_written(written, cancel)
