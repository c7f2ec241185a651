"""Execution of the effects that a partition's scheduler returns."""

from __future__ import annotations

import collections
from collections.abc import Callable

import gevent
import gevent.event

from toucanspring import errors, job, kernel, uptime, wire
from toucanspring.owners import (
    allowances,
    inbox,
    journal,
    log_records,
    worker_link,
)
from toucanspring.scheduling import effects, scheduler

WATCH_INTERVAL_S = 0.5
# A dependency may be submitted after the jobs that wait for it. If it is still unknown
# in all answers of this time, it counts as not run.
UNKNOWN_JOB_LIMIT_S = 30.0


class Executor:
    """Send starts and stops, write records and request allowances."""

    def __init__(
        self,
        number: int,
        core: kernel.Kernel,
        partition_scheduler: scheduler.Scheduler,
        log: journal.Journal,
        allowance_manager: allowances.AllowanceManager,
        post: Callable[[object], None],
    ) -> None:
        self.workers: dict[str, effects.WorkerFacts] = {}  # attached ones
        self._number = number
        self._kernel = core
        self._scheduler = partition_scheduler
        self._journal = log
        self._allowances = allowance_manager
        self._post = post
        self._watched: dict[str, gevent.Greenlet] = {}
        self._unwritten: collections.Counter[str] = collections.Counter()
        # Worker -> acknowledgements that wait for the log.
        self.unacknowledged: collections.Counter[str] = collections.Counter()

    def close(self) -> None:
        """Stop watching jobs of other partitions."""
        gevent.killall(list(self._watched.values()), block=False)

    def may_start(self, now: float) -> bool:
        """Return whether tasks may be started at `now`."""
        claims = self._kernel.find("claims")
        documents = self._kernel.find("documents")
        return claims.may_start(self._number, now) and documents.fresh(now)

    def when_written(
        self,
        written: gevent.event.AsyncResult,
        action: Callable[[errors.Failure | None], list[effects.Effect]],
    ) -> None:
        """Run `action` in the partition's task after an append succeeded or failed."""
        written.rawlink(lambda result: self._post(inbox.Durable(action, result.value)))

    def carry_out(self, found: list[effects.Effect]) -> None:
        """Carry out effects in order."""
        written: gevent.event.AsyncResult | None = None
        for effect in found:
            match effect:
                case effects.StartTasks(worker=worker, tasks=tasks):
                    self._start(worker, tasks)
                case effects.StopTasks(worker=worker, task_ids=task_ids, mode=mode):
                    self._stop(worker, task_ids, mode)
                case effects.ThrottleTask():
                    self._throttle(effect)
                case effects.RecordIntents(intents=intents):
                    self._record_intents(intents)
                case effects.RecordOutcomes(outcomes=outcomes):
                    written = self._record_outcomes(outcomes)
                case effects.Acknowledge(worker=worker, task_ids=task_ids):
                    self._acknowledge(worker, task_ids, written)
                case _:
                    self._carry_out_call(effect)

    def _carry_out_call(self, effect: effects.Effect) -> None:
        """Carry out an effect outside the partition."""
        match effect:
            case effects.RequestAllowance(team=team, target=target, least=least):
                self._allowances.request_amount(team, target, least)
            case effects.ReturnAllowance(team=team, target=target):
                self._allowances.request_amount(team, target)
            case effects.Publish(event=event):
                self._kernel.publish(event)
            case effects.JobFinished(job_id=job_id, outcome=outcome):
                self._kernel.publish(effects.JobFinished(job_id, outcome))
            case effects.WatchJobs(job_ids=job_ids):
                for job_id in job_ids:
                    self._watch_job(job_id)

    def _start(self, worker: str, tasks: list[wire.TaskStart]) -> None:
        """Send starts if they are still allowed.

        The link reads the worker's last tick after this check without yielding to other
        greenlets, so the worker can tell how old the check is.
        """

        def is_allowed() -> bool:
            return self._may_send(worker, uptime.now())

        if is_allowed():
            link = self._link(worker)
            if link is not None and link.start(tasks, is_allowed):
                return
        refused = [(task.task_id, "the worker is not available") for task in tasks]
        self.carry_out(
            self._scheduler.starts_answered(worker, [], refused, uptime.now())
        )

    def _link(self, worker: str) -> worker_link.Link | None:
        """Return the link to a worker if its stream reaches the known incarnation.

        The link attaches anew by itself, and its messages about that may still wait.
        """
        link = self._kernel.find("fleet").link(self._number, worker)
        facts = self.workers.get(worker)
        if link is None or facts is None or link.incarnation != facts.incarnation:
            return None
        return link

    def _may_send(self, worker: str, now: float) -> bool:
        facts = self.workers.get(worker)
        zones_out = self._kernel.find("documents").zones_out()
        return (
            facts is not None
            and facts.availability_zone not in zones_out
            and self.may_start(now)
        )

    def _stop(self, worker: str, task_ids: list[str], mode: str) -> None:
        link = self._link(worker)
        if link is not None:
            link.stop(task_ids, mode)

    def _throttle(self, effect: effects.ThrottleTask) -> None:
        link = self._link(effect.worker)
        if link is not None:
            link.throttle(effect.task_id, effect.fraction)

    def is_durable(self, job_id: str) -> bool:
        """Return whether all outcomes of a job that are known so far are in the log.

        An outcome that is not yet durable may change after a takeover, so it must not
        be reported to callers.
        """
        return job_id not in self._unwritten

    def _record_outcomes(
        self, outcomes: dict[str, job.Outcome]
    ) -> gevent.event.AsyncResult:
        job_ids = {job.job_of(task_id) for task_id in outcomes}
        self._unwritten.update(job_ids)
        written = self._journal.append(log_records.Finished(outcomes), droppable=False)

        def forget(failure: errors.Failure | None) -> list[effects.Effect]:
            if failure is None:
                self._unwritten -= collections.Counter(job_ids)
            return []

        self.when_written(written, forget)
        return written

    def _record_intents(self, intents: list[effects.Intent]) -> None:
        written = self._journal.append(log_records.Intended(intents), droppable=True)

        def resume(failure: errors.Failure | None) -> list[effects.Effect]:
            now = uptime.now()
            if failure is not None or not self.may_start(now):
                return self._scheduler.intents_failed(intents, now)
            return self._scheduler.intents_durable(intents, now)

        self.when_written(written, resume)

    def _acknowledge(
        self,
        worker: str,
        task_ids: list[str],
        written: gevent.event.AsyncResult | None,
    ) -> None:
        """Let the worker delete results once the outcomes just recorded are durable."""

        def forget(failure: errors.Failure | None) -> list[effects.Effect]:
            if failure is None:
                if written is not None:
                    self.unacknowledged -= collections.Counter([worker])
                link = self._link(worker)
                if link is not None:
                    link.acknowledge(task_ids)
            return []

        if written is None:
            forget(None)
        else:
            self.unacknowledged[worker] += 1
            self.when_written(written, forget)

    # Dependencies on jobs of other partitions

    def _watch_job(self, job_id: str) -> None:
        if job_id not in self._watched:
            self._watched[job_id] = gevent.spawn(self._poll_outcome, job_id)

    def _poll_outcome(self, job_id: str) -> None:
        """Poll a job until it has an outcome or is found not to exist."""
        unknown_since: float | None = None
        while True:
            status = self._kernel.find("partitions").lookup(job_id)
            match status:
                case effects.JobStatus(outcome=job.Outcome() as outcome):
                    break
                case errors.NotFound():
                    now = uptime.now()
                    unknown_since = unknown_since or now
                    if now - unknown_since > UNKNOWN_JOB_LIMIT_S:
                        outcome = job.Outcome(
                            job.State.NOT_RUN, f"no job {job_id} exists"
                        )
                        break
                case _:
                    # Without an answer, nor could the job be submitted.
                    unknown_since = None
            gevent.sleep(WATCH_INTERVAL_S)
        self._watched.pop(job_id, None)
        self._post(inbox.DependencyFinished(job_id, outcome))
