"""The task that owns one partition: its queue, its log and its workers."""

from __future__ import annotations

import dataclasses
import random
import time
from collections.abc import Callable

import gevent
import gevent.event
import gevent.queue
import logbook

from toucanspring import (
    allowances,
    effects,
    errors,
    fleet,
    job,
    journal,
    kernel,
    log_records,
    resources,
    scheduler,
    settings,
    wire,
)

log = logbook.Logger(__name__)

TICK_INTERVAL_S = 0.02
MAX_MESSAGES_PER_ROUND = 256
LOAD_RETRY_S = 0.3
DRAIN_LIMIT_S = 5.0


# Messages to the partition's task


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Accept jobs; the result is a list of job IDs and failures, once durable."""

    specs: list[job.JobSpec]
    result: gevent.event.AsyncResult


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel jobs; the result maps each job ID to `cancelled` or a failure."""

    job_ids: list[str]
    result: gevent.event.AsyncResult


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Run a read-only function of the scheduler in the partition's task."""

    function: Callable[[scheduler.Scheduler], object]
    result: gevent.event.AsyncResult


@dataclasses.dataclass(frozen=True, slots=True)
class Durable:
    """Say that an append has ended; `failure` is None when it is durable."""

    action: Callable[[errors.Failure | None], list[effects.Effect]]
    failure: errors.Failure | None


@dataclasses.dataclass(frozen=True, slots=True)
class TeamsChanged:
    """Say that teams or availability zones have changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class AllowancesChanged:
    """Deliver the parts of the ceilings that the partition holds."""

    held: dict[str, resources.Resources]


# Answers to requests that are run through a partition's log


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """Allow exactly one send of a request, under this epoch."""

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """Give the recorded outcome of a request."""

    outcome: job.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """Say that the request was sent to a server and has no outcome yet.

    `interrupted` means that an earlier owner sent it, so that nobody here waits for
    its answer; the server has to be asked under the new `epoch`.
    """

    server: str
    epoch: int
    interrupted: bool


class Partition:
    """Own one partition from the moment it is claimed until it is lost."""

    def __init__(
        self,
        number: int,
        epoch: int,
        core: kernel.Kernel,
        options: settings.Settings,
    ) -> None:
        self.number = number
        self.epoch = epoch
        self.ready = gevent.event.Event()
        self._kernel = core
        self._settings = options
        self._inbox: gevent.queue.Queue = gevent.queue.Queue()
        self._scheduler = scheduler.Scheduler(number, random.Random())
        self._beginning: set[str] = set()
        self._accepting: dict[str, tuple[job.JobSpec, gevent.event.AsyncResult]] = {}
        self._workers: dict[str, effects.WorkerFacts] = {}
        self._greenlet: gevent.Greenlet | None = None
        claims = core.find("claims")
        store = core.find("store")
        self.journal = journal.Journal(
            number,
            epoch,
            claims.row_version(number),
            store.tables,
            store.objects,
            journal.flush_interval(options.partitions),
        )
        self.allowances = allowances.Keeper(
            number, core, lambda held: self.post(AllowancesChanged(held))
        )

    def __enter__(self) -> Partition:
        self.journal.__enter__()
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *_exc: object) -> None:
        self.journal.drain(DRAIN_LIMIT_S if not self.journal.fenced else 0)
        self._kernel.find("fleet").remove_partition(self.number)
        if self._greenlet is not None:
            self._greenlet.kill()
        self.allowances.close()
        self.journal.__exit__()
        self._refuse_inbox()

    def post(self, message: object) -> None:
        """Queue a message for the partition's task."""
        self._inbox.put(message)

    def facts(self) -> dict[str, effects.WorkerFacts]:
        """Return the workers that have attached."""
        return dict(self._workers)

    # The task

    def _run(self) -> None:
        self._load()
        self.ready.set()
        last_tick = 0.0
        while not self.journal.fenced:
            handled = self._handle_messages()
            now = time.monotonic()
            if handled or now - last_tick >= TICK_INTERVAL_S:
                last_tick = now
                if self._may_start(now):
                    self._carry_out(self._scheduler.tick(now))
        log.warning("partition {}: fenced under epoch {}", self.number, self.epoch)
        self._kernel.find("claims").release(self.number)

    def _may_start(self, now: float) -> bool:
        claims = self._kernel.find("claims")
        documents = self._kernel.find("documents")
        return claims.may_start(self.number, now) and documents.fresh(now)

    def _handle_messages(self) -> int:
        handled = 0
        timeout_s: float | None = TICK_INTERVAL_S
        while handled < MAX_MESSAGES_PER_ROUND:
            try:
                message = self._inbox.get(timeout=timeout_s)
            except gevent.queue.Empty:
                break
            timeout_s = 0
            handled += 1
            try:
                self._handle(message)
            except Exception:
                log.exception("partition {}: {!r}", self.number, type(message))
        return handled

    def _load(self) -> None:
        """Read the log and the worker map, then rebuild the scheduler."""
        while True:
            failure = self.journal.load()
            expected = self._kernel.find("fleet").assigned(self.number)
            if failure is None and isinstance(expected, set):
                break
            log.warning("partition {}: loading: {}", self.number, failure or expected)
            self.journal.state = log_records.State()
            gevent.sleep(LOAD_RETRY_S)
        state = self.journal.state
        now = time.monotonic()
        self._update_documents(now)
        self._carry_out(
            self._scheduler.restore(
                list(state.specs.values()),
                state.outcome_map(),
                dict(state.intents),
                set(state.cancelled),
                expected,
                now,
            )
        )
        self.allowances.start()
        self._kernel.find("fleet").add_partition(self.number, self.epoch, self.post)
        log.info(
            "partition {}: owner under epoch {}, {} jobs, {} workers expected",
            self.number,
            self.epoch,
            len(state.specs),
            len(expected),
        )

    def _handle(self, message: object) -> None:
        now = time.monotonic()
        match message:
            case fleet.FromWorker(worker=worker, message=content):
                self._handle_worker(worker, content, now)
            case fleet.Lost(worker=worker):
                self._workers.pop(worker, None)
                self._carry_out(self._scheduler.worker_lost(worker, now))
            case fleet.Disconnected(worker=worker, unanswered=unanswered):
                self._carry_out(
                    self._scheduler.starts_unanswered(worker, unanswered, now)
                )
            case fleet.Leaving(worker=worker, leaving=leaving):
                self._carry_out(self._scheduler.worker_leaving(worker, leaving, now))
            case Submit(specs=specs, result=result):
                self._submit(specs, result)
            case Cancel(job_ids=job_ids, result=result):
                self._cancel(job_ids, result)
            case Ask(function=function, result=result):
                result.set(function(self._scheduler))
            case Durable(action=action, failure=failure):
                self._carry_out(action(failure))
            case TeamsChanged():
                self._update_documents(now)
            case AllowancesChanged(held=held):
                self._carry_out(self._scheduler.set_allowances(held, now))
            case _:
                log.error("partition {}: unexpected {!r}", self.number, message)

    def _update_documents(self, now: float) -> None:
        documents = self._kernel.find("documents")
        teams = documents.cell().decision_teams()
        self.allowances.set_teams(teams)
        self._carry_out(self._scheduler.set_teams(teams, now))
        self._carry_out(
            self._scheduler.set_availability_zones(documents.zones_out(), now)
        )

    def _handle_worker(
        self, worker: str, message: wire.WorkerMessage, now: float
    ) -> None:
        match message:
            case wire.Attached():
                facts = effects.WorkerFacts(
                    worker,
                    message.incarnation,
                    message.capacity,
                    message.availability_zone,
                    message.rack,
                )
                self._workers[worker] = facts
                self._carry_out(
                    self._scheduler.worker_attached(
                        facts, message.running, message.finished, now
                    )
                )
            case wire.Report(finished=finished, usage=usage):
                if finished or usage:
                    self._carry_out(
                        self._scheduler.worker_report(worker, finished, usage, now)
                    )
            case wire.Started(accepted=accepted, refused=refused):
                self._carry_out(
                    self._scheduler.starts_answered(worker, accepted, refused, now)
                )

    # Submission and cancellation

    def _submit(
        self, specs: list[job.JobSpec], result: gevent.event.AsyncResult
    ) -> None:
        answers: list[object] = [None] * len(specs)
        waiting: list[tuple[int, gevent.event.AsyncResult]] = []
        for index, spec in enumerate(specs):
            known = self.journal.state.specs.get(spec.id)
            pending = self._accepting.get(spec.id)
            if known is None and pending is not None:
                known = pending[0]
            if known is not None and known != spec:
                answers[index] = errors.Conflict(
                    key=spec.id, reason="another job with this ID was accepted"
                )
            elif spec.id in self.journal.state.specs:
                answers[index] = spec.id
            elif pending is not None:
                waiting.append((index, pending[1]))
            else:
                waiting.append((index, self._accept(spec)))
        gevent.spawn(self._answer_submit, specs, answers, waiting, result)

    def _accept(self, spec: job.JobSpec) -> gevent.event.AsyncResult:
        written = self.journal.append(log_records.Accepted(spec), droppable=True)
        self._accepting[spec.id] = (spec, written)

        def enter(failure: errors.Failure | None) -> list[effects.Effect]:
            self._accepting.pop(spec.id, None)
            if failure is not None:
                return []
            return self._scheduler.submit([spec], time.monotonic())

        self._when_written(written, enter)
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

    def _cancel(self, job_ids: list[str], result: gevent.event.AsyncResult) -> None:
        known = [name for name in job_ids if name in self.journal.state.specs]
        answers: dict[str, object] = {
            name: errors.NotFound(reason=f"no job {name}")
            for name in job_ids
            if name not in self.journal.state.specs
        }
        if not known:
            result.set(answers)
            return
        written = self.journal.append(log_records.Cancelled(known), droppable=True)

        def cancel(failure: errors.Failure | None) -> list[effects.Effect]:
            answers.update(dict.fromkeys(known, failure or "cancelled"))
            if failure is not None:
                result.set(answers)
                return []
            found = self._scheduler.cancel(known, time.monotonic())
            result.set(answers)
            return found

        self._when_written(written, cancel)

    # Effects

    def _when_written(
        self,
        written: gevent.event.AsyncResult,
        action: Callable[[errors.Failure | None], list[effects.Effect]],
    ) -> None:
        written.rawlink(lambda result: self.post(Durable(action, result.value)))

    def _carry_out(self, found: list[effects.Effect]) -> None:
        written: gevent.event.AsyncResult | None = None
        for effect in found:
            match effect:
                case effects.StartTasks(worker=worker, tasks=tasks):
                    self._start(worker, tasks)
                case effects.StopTasks(worker=worker, task_ids=task_ids, mode=mode):
                    self._stop(worker, task_ids, mode)
                case effects.RecordIntents(intents=intents):
                    self._record_intents(intents)
                case effects.RecordOutcomes(outcomes=outcomes):
                    written = self.journal.append(
                        log_records.Finished(outcomes), droppable=False
                    )
                case effects.Acknowledge(worker=worker, task_ids=task_ids):
                    self._acknowledge(worker, task_ids, written)
                case effects.RequestAllowance(team=team, target=target):
                    self.allowances.hold(team, target)
                case effects.ReturnAllowance(team=team, target=target):
                    self.allowances.hold(team, target)
                case effects.JobFinished(job_id=job_id, outcome=outcome):
                    self._kernel.publish(effects.JobFinished(job_id, outcome))
                case effects.RequestReservation():
                    self._kernel.find("partitions").reserve(self, effect)

    def _start(self, worker: str, tasks: list[wire.TaskStart]) -> None:
        """Send starts if they are still allowed at this moment.

        The link reads the worker's clock without yielding after this check, so that
        the worker can tell how old the check is.
        """
        if self._may_send(worker, time.monotonic()):
            link = self._kernel.find("fleet").link(self.number, worker)
            if link is not None and link.start(tasks):
                return
        refused = [(task.task_id, "the worker may not be used now") for task in tasks]
        self._carry_out(
            self._scheduler.starts_answered(worker, [], refused, time.monotonic())
        )

    def _may_send(self, worker: str, now: float) -> bool:
        facts = self._workers.get(worker)
        zones_out = self._kernel.find("documents").zones_out()
        return (
            facts is not None
            and facts.availability_zone not in zones_out
            and self._may_start(now)
        )

    def _stop(self, worker: str, task_ids: list[str], mode: str) -> None:
        link = self._kernel.find("fleet").link(self.number, worker)
        if link is not None:
            link.stop(task_ids, mode)

    def _record_intents(self, intents: list[effects.Intent]) -> None:
        written = self.journal.append(log_records.Intended(intents), droppable=True)

        def resume(failure: errors.Failure | None) -> list[effects.Effect]:
            now = time.monotonic()
            if failure is not None or not self._may_start(now):
                return self._scheduler.intents_failed(intents, now)
            return self._scheduler.intents_durable(intents, now)

        self._when_written(written, resume)

    def _acknowledge(
        self,
        worker: str,
        task_ids: list[str],
        written: gevent.event.AsyncResult | None,
    ) -> None:
        """Let the worker forget tasks once the outcomes recorded before are durable."""

        def forget(failure: errors.Failure | None) -> list[effects.Effect]:
            if failure is None:
                link = self._kernel.find("fleet").link(self.number, worker)
                if link is not None:
                    link.acknowledge(task_ids)
            return []

        if written is None:
            forget(None)
        else:
            self._when_written(written, forget)

    # Requests that run at most once

    def begin_request(
        self, request_id: str, server: str
    ) -> Begun | Finished | Running | errors.Failure:
        """Record that a request may be sent, unless it is known already."""
        entry = self.journal.state.requests.get(request_id)
        if entry is not None:
            if entry.outcome is not None:
                return Finished(entry.outcome)
            return Running(entry.server, self.epoch, entry.epoch != self.epoch)
        if request_id in self._beginning:
            return Running(server, self.epoch, interrupted=False)
        self._beginning.add(request_id)
        try:
            failure = self.journal.append(
                log_records.RequestStarted(request_id, server, self.epoch),
                droppable=True,
            ).get()
        finally:
            self._beginning.discard(request_id)
        return failure if failure is not None else Begun(self.epoch)

    def finish_request(
        self, request_id: str, outcome: job.Outcome
    ) -> None | errors.Failure:
        """Record the outcome of a request."""
        return self.journal.append(
            log_records.RequestFinished(request_id, outcome), droppable=False
        ).get()

    def _refuse_inbox(self) -> None:
        """Answer callers whose messages were not handled; nothing of them ran."""
        failure = errors.Unavailable(reason="the partition is moving to another owner")
        while True:
            try:
                message = self._inbox.get_nowait()
            except gevent.queue.Empty:
                return
            match message:
                case Submit(specs=specs, result=result):
                    result.set([failure] * len(specs))
                case Cancel(job_ids=job_ids, result=result):
                    result.set(dict.fromkeys(job_ids, failure))
                case Ask(result=result):
                    result.set(failure)
