"""The owner of one partition: a task with a message queue, a log and workers."""

from __future__ import annotations

import random
from collections.abc import Callable

import gevent
import gevent.event
import gevent.queue
import logbook

from toucanspring import errors, kernel, settings, uptime, wire
from toucanspring.owners import (
    acceptance,
    allowances,
    execution,
    inbox,
    journal,
    log_check,
    log_records,
    request_log,
    worker_events,
    worker_link,
)
from toucanspring.policy import fair_share
from toucanspring.scheduling import effects, scheduler, tick_interval

log = logbook.Logger(__name__)

MAX_MESSAGES_PER_ROUND = 256
LOAD_RETRY_S = 0.3
DRAIN_LIMIT_S = 2.0  # for the last log writes when the partition is released
ASK_TIMEOUT_S = 3.0


class Partition:
    """Run one partition from its claim until it is lost or released."""

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
        self.closed = gevent.event.Event()
        self.superseded = False  # another process owns the partition
        self._kernel = core
        self._settings = options
        self._inbox: gevent.queue.Queue = gevent.queue.Queue()
        self._scheduler = scheduler.Scheduler(
            number, random.Random(), options.spread_move_s
        )
        self._greenlet: gevent.Greenlet | None = None
        self._layout = core.find("layout")
        count = self._layout.layout.count
        self._applied_cell: object | None = None
        self._applied_zones_out: frozenset[str] = frozenset()
        self._moves_possible = False  # whether workers can move between partitions
        self._apply_partition_count(count)
        # The version of this epoch. If this process claims the partition again, the
        # new version must not be used for the old epoch.
        self.row_version = core.find("claims").row_version(number)
        store = core.find("store")
        self.journal = journal.Journal(
            number,
            epoch,
            self.row_version,
            store.tables,
            store.objects,
            journal.flush_interval(count),
            self._layout,
        )
        self.log_check = log_check.LogCheck(core, self.journal, self.row_version)
        self.allowances = allowances.AllowanceManager(
            number,
            core,
            lambda held, limits: self.post(inbox.AllowancesChanged(held, limits)),
        )
        self.requests = request_log.RequestLog(self.journal)
        self._worker_events = worker_events.WorkerEvents(number, epoch, core)
        self._executor = execution.Executor(
            number, core, self._scheduler, self.journal, self.allowances, self.post
        )
        self._acceptance = acceptance.Acceptance(
            self._scheduler, self.journal, self._executor
        )

    def __enter__(self) -> Partition:
        self.journal.__enter__()
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *_exc: object) -> None:
        if not (self.journal.fenced or self.superseded):
            self.journal.drain(DRAIN_LIMIT_S)
        self._kernel.find("fleet").remove_partition(self.number)
        if self._greenlet is not None:
            self._greenlet.kill()
        self._executor.close()
        self.allowances.close()
        self.journal.__exit__()
        self._refuse_inbox()
        self.closed.set()

    def post(self, message: object) -> None:
        """Queue a message for the partition's task."""
        self._inbox.put(message)

    def attached_workers(self) -> dict[str, effects.WorkerFacts]:
        """Return the attached workers."""
        return dict(self._executor.workers)

    def ask(self, function: Callable[[scheduler.Scheduler], object]) -> object:
        """Run a function of the scheduler in the partition's task; return its result.

        Returns a failure if the function raises or the task does not answer in time.
        """
        result = gevent.event.AsyncResult()
        self.post(inbox.SchedulerQuery(function, result))
        try:
            return result.get(timeout=ASK_TIMEOUT_S)
        except gevent.Timeout:
            return errors.Timeout(reason="the partition did not answer in time")

    def holds_job(self, job_id: str) -> bool:
        """Return whether a job was accepted here, even if not durably yet."""
        return self._acceptance.holds(job_id)

    def apply_layout(self) -> None:
        """Apply a changed partition count."""
        count = self._layout.layout.count
        self.journal.interval_s = journal.flush_interval(count)
        # Posted without waiting: event listeners must not block on the task.
        self.post(
            inbox.SchedulerQuery(
                lambda _scheduler: self._apply_partition_count(count),
                gevent.event.AsyncResult(),
            )
        )

    def _apply_partition_count(self, count: int) -> None:
        moves_possible = count > 1 and self._settings.moves == "on"
        if moves_possible != self._moves_possible:
            self._moves_possible = moves_possible
            self._scheduler.expect_other_partitions(moves_possible)

    def bound_workers(self) -> frozenset[str]:
        """Return the workers named in incomplete records, which must not be moved.

        After a takeover, only they know whether a task was started or has ended if the
        log does not say so.
        """
        intents = self.journal.state.intents.values()
        return frozenset(intent.worker for intent in intents).union(
            self._executor.unacknowledged
        )

    def is_durable(self, job_id: str) -> bool:
        """Return whether all outcomes of a job that are known so far are in the log."""
        return self._executor.is_durable(job_id)

    # The task

    def _run(self) -> None:
        self._load()
        self.ready.set()
        last_tick = 0.0
        interval_s = tick_interval.TICK_INTERVAL_S
        idle_ticks = 0
        while not self.journal.fenced:
            handled = self._handle_messages(interval_s)
            now = uptime.now()
            if handled or now - last_tick >= interval_s:
                last_tick = now
                found: list[effects.Effect] = []
                if self._executor.may_start(now):
                    self._apply_changed_documents(now)
                    found = self._scheduler.tick(now)
                    self._executor.carry_out(found)
                idle_ticks = 0 if handled or found else idle_ticks + 1
                interval_s = tick_interval.next_interval(
                    idle_ticks, self._scheduler.is_quiescent
                )
        log.warning("partition {}: fenced under epoch {}", self.number, self.epoch)
        # Spawned because the release kills this greenlet.
        gevent.spawn(self._kernel.find("claims").release, self.number)

    def _handle_messages(self, wait_s: float) -> int:
        handled = 0
        timeout_s: float | None = wait_s
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
                log.exception(
                    "partition {}: handling {!r} failed", self.number, type(message)
                )
        return handled

    def _load(self) -> None:
        """Read the log and the worker map, and rebuild the scheduler's state."""
        while True:
            failure = self.journal.load()
            expected = self._kernel.find("fleet").assigned(self.number)
            if failure is None and isinstance(expected, dict):
                break
            log.warning(
                "partition {}: loading failed: {}", self.number, failure or expected
            )
            self.journal.state = log_records.State()
            gevent.sleep(LOAD_RETRY_S)
        state = self.journal.state
        now = uptime.now()
        self._apply_documents(now)
        self._executor.carry_out(
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
        self._kernel.find("fleet").add_partition(
            self.number, self.epoch, self.row_version, self.post
        )
        log.info(
            "partition {}: owner under epoch {}, {} jobs, {} workers expected",
            self.number,
            self.epoch,
            len(state.specs),
            len(expected),
        )

    def _handle(self, message: object) -> None:
        now = uptime.now()
        match message:
            case worker_link.FromWorker(worker=worker, message=content):
                self._handle_worker(worker, content, now)
            case worker_link.EpochRefused() | worker_link.Lost() | inbox.WorkerMoved():
                self._handle_unavailable_worker(message, now)
            case worker_link.Disconnected(worker=worker, unanswered=unanswered):
                self._executor.carry_out(
                    self._scheduler.starts_unanswered(worker, unanswered, now)
                )
            case worker_link.Leaving(worker=worker, leaving=leaving):
                self._executor.carry_out(
                    self._scheduler.worker_leaving(worker, leaving, now)
                )
            case inbox.Submit():
                self._acceptance.submit(message)
            case inbox.Cancel(job_ids=job_ids, result=result):
                self._acceptance.cancel(job_ids, result)
            case inbox.SchedulerQuery(function=function, result=result):
                result.set(self._answer(function))
            case inbox.Durable(action=action, failure=failure):
                self._executor.carry_out(action(failure))
            case inbox.TeamsChanged():
                self._apply_documents(now)
            case inbox.DependencyFinished(job_id=job_id, outcome=outcome):
                self._executor.carry_out(
                    self._scheduler.dependency_finished(job_id, outcome, now)
                )
            case inbox.AllowancesChanged(held=held, limits=limits):
                self._executor.carry_out(
                    self._scheduler.set_allowances(held, now, limits)
                )
            case _:
                log.error("partition {}: unexpected {!r}", self.number, message)

    def _handle_unavailable_worker(
        self,
        message: worker_link.EpochRefused | worker_link.Lost | inbox.WorkerMoved,
        now: float,
    ) -> None:
        worker = message.worker
        if isinstance(message, worker_link.EpochRefused):
            self._worker_events.refused(message)
            return
        if isinstance(message, worker_link.Lost):
            self._worker_events.lost(worker, self._scheduler.count_tasks(worker))
        self._executor.workers.pop(worker, None)
        self._executor.carry_out(self._scheduler.worker_lost(worker, now))

    def _apply_changed_documents(self, now: float) -> None:
        """Apply documents whose notice still waits in the inbox.

        The permission to start refers to the latest documents of the process.
        """
        documents = self._kernel.find("documents")
        if (
            documents.cell() is not self._applied_cell
            or documents.zones_out() != self._applied_zones_out
        ):
            self._apply_documents(now)

    def _apply_documents(self, now: float) -> None:
        documents = self._kernel.find("documents")
        self._applied_cell = documents.cell()
        self._applied_zones_out = documents.zones_out()
        teams = {
            team.name: fair_share.Team(
                team.name, team.organisation, team.share, team.ceiling
            )
            for team in documents.cell().teams.values()
        }
        self.allowances.set_teams(teams)
        self._executor.carry_out(self._scheduler.set_teams(teams, now))
        self._executor.carry_out(
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
                self._executor.workers[worker] = facts
                self._worker_events.attached(facts)
                self._executor.carry_out(
                    self._scheduler.worker_attached(
                        facts, message.running, message.finished, now
                    )
                )
                # `Leaving` messages for a worker that is not attached have no effect.
                leaving = self._kernel.find("fleet").is_leaving(worker)
                self._executor.carry_out(
                    self._scheduler.worker_leaving(worker, leaving, now)
                )
            case wire.Report(finished=finished, usage=usage):
                if finished or usage:
                    self._executor.carry_out(
                        self._scheduler.worker_report(worker, finished, usage, now)
                    )
            case wire.Started(accepted=accepted, refused=refused):
                self._executor.carry_out(
                    self._scheduler.starts_answered(worker, accepted, refused, now)
                )

    def _answer(
        self, function: Callable[[scheduler.Scheduler], object]
    ) -> object | errors.Unknown:
        try:
            return function(self._scheduler)
        except Exception:
            log.exception("partition {}: query of the scheduler failed", self.number)
            return errors.Unknown(reason="internal error")

    def _refuse_inbox(self) -> None:
        """Answer callers whose messages were not handled and had no effect."""
        failure = errors.Unavailable(reason="the partition is moving to another owner")
        while True:
            try:
                message = self._inbox.get_nowait()
            except gevent.queue.Empty:
                return
            match message:
                case inbox.Submit(specs=specs, result=result):
                    result.set([failure] * len(specs))
                case inbox.Cancel(job_ids=job_ids, result=result):
                    result.set(dict.fromkeys(job_ids, failure))
                case inbox.SchedulerQuery(result=result):
                    result.set(failure)
