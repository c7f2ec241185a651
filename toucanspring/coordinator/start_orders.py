"""Start orders to workers: sent, repeated, or cancelled if void by then."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import logbook

from toucanspring import errors
from toucanspring import log as structured
from toucanspring.coordinator import (
    ceilings,
    cell_state,
    leader,
    order_pacing,
    order_queue,
    plans,
    ports,
    workers,
)

log = logbook.Logger(__name__)

MAX_START_ATTEMPTS = 4
# Reasons why a recorded start is cancelled before it is sent, as logged.
TICKET_EXPIRED = "the ticket expired before the order was sent"
WORKER_LEAVES = "the worker takes no more tasks"
WORKER_FAILED = "the worker failed before the order was sent"
WORKER_RESTARTED = "the worker restarted before the order was sent"
NOT_WANTED = "the job was cancelled before the order was repeated"
ABOVE_CEILING = "the ceiling of the organisation was lowered before the order was sent"
NOT_PERMITTED = (
    "the lease or the view of the settings ran out before the order was sent"
)


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedStart:
    """A recorded start, planned at a time in seconds of `uptime`."""

    start: plans.Start
    planned_at: float


class StartOrders:
    """Start orders that wait and are in flight, at most `max_per_worker` of a worker.

    `record_call` is told the worker, the answer and the time of each call.
    """

    def __init__(
        self,
        coordinator: leader.Leader,
        client: ports.Workers,
        max_lease_ms: int,
        max_per_worker: int,
        pacing: order_pacing.OrderPacing,
        record_call: Callable[[workers.Worker, object, float], None],
        clock: Callable[[], float],
    ) -> None:
        self._leader = coordinator
        self._client = client
        self._max_lease_ms = max_lease_ms
        self._pacing = pacing
        self._record_call = record_call
        self._clock = clock
        self.queue = order_queue.OrderQueue(
            self._start, pacing.max_in_flight, max_per_worker
        )

    def submit(self, start: plans.Start, planned_at: float) -> None:
        """Queue a start order whose intent is durable."""
        self.queue.submit(start.worker.id, QueuedStart(start, planned_at))

    def _start(self, queued: QueuedStart) -> float:
        """Send a start order, or cancel it if it is void by now; return 0."""
        start = queued.start
        cell, step_run = self._leader.cell, start.step
        if not cell.may_order(step_run, start.task, start.run):
            cell.cancel_start(step_run, start.task, start.run, self._clock())
            return 0.0
        began = self._clock()
        ticket, reason = self._check_start(start, began)
        if reason:
            if reason == TICKET_EXPIRED:
                self._pacing.record_void(began - queued.planned_at)
            cell.cancel_start(step_run, start.task, start.run, began)
            self._log_failure(queued, began, reason)
            return 0.0
        try:
            self._send(queued, ticket)
        except Exception:
            log.exception("starting {} failed", step_run.task_id(start.task.index))
            cell.mark_start_ambiguous(step_run, start.task, start.run)
            self._leader.wake()
        return 0.0

    def _send(self, queued: QueuedStart, ticket: str) -> None:
        """Send a start order until its outcome is known."""
        start, began = queued.start, self._clock()
        cell, step_run = self._leader.cell, start.step
        for attempt in range(MAX_START_ATTEMPTS):
            sent = self._clock()
            if attempt:
                reason = self._check_repetition(start, sent)
                if reason:
                    cell.mark_start_ambiguous(step_run, start.task, start.run)
                    self._log_failure(queued, began, reason)
                    return
            elif not self._leader.may_renew(sent):
                cell.cancel_start(step_run, start.task, start.run, sent)
                return
            answer = self._order(start, ticket, attempt, sent)
            now = self._clock()
            if not attempt and isinstance(answer, ports.OrderDone | ports.OrderRefused):
                self._pacing.record_delay(now - queued.planned_at)
            match answer:
                case ports.OrderDone() if start.worker.incarnation != start.incarnation:
                    # The run ended with the incarnation that answered.
                    cell.mark_start_ambiguous(step_run, start.task, start.run)
                    self._log_failure(queued, began, WORKER_RESTARTED)
                    return
                case ports.OrderDone(clock_ms=clock_ms):
                    start.worker.update_clock(clock_ms, now)
                    cell.confirm_start(step_run, start.task, start.run, now)
                    self._leader.wake()
                    return
                case errors.Ambiguous() if attempt + 1 < MAX_START_ATTEMPTS:
                    start.worker.may_have_restarted = True
                    continue  # starting the same run again is idempotent
            self._handle_failure(start, answer, attempt > 0, now)
            self._log_failure(queued, began, answer.reason)
            return

    def _order(
        self, start: plans.Start, ticket: str, attempt: int, sent: float
    ) -> ports.OrderDone | ports.OrderRefused | errors.Failure:
        """Send a start order once."""
        worker = start.worker
        lease_until_ms = worker.estimate_clock(sent) + self._max_lease_ms
        worker.extend_lease(lease_until_ms, sent)
        answer = self._client.start(
            worker.target(start.incarnation),
            ports.Start(
                task=start.step.task_id(start.task.index),
                run=start.run,
                payload=start.step.job.spec.payload,
                lease_until_ms=lease_until_ms,
                epoch=self._leader.epoch,
                checkpoint=start.task.checkpoint,
                ticket=ticket,
                timeout_s=self._pacing.order_timeout_s(attempt),
                may_send=lambda: self._may_send(start),
            ),
        )
        now = self._clock()
        self._record_call(worker, answer, now)
        self._pacing.record_order(now - sent)
        self.queue.max_in_flight = self._pacing.max_in_flight
        return answer

    def _may_send(self, start: plans.Start) -> bool:
        """Return whether a start that was to be sent some time ago may still be."""
        is_wanted = self._leader.cell.may_order(start.step, start.task, start.run)
        return is_wanted and not self._check_start(start, self._clock())[1]

    def _check_start(self, start: plans.Start, now: float) -> tuple[str, str]:
        """Return the ticket of a start, and why it must not be sent if so."""
        worker = start.worker
        if not self._leader.may_start(now):
            return "", NOT_PERMITTED
        if worker.incarnation != start.incarnation:
            return "", WORKER_RESTARTED
        paused = start.backoff_until < worker.backoff_until
        if not worker.responsive or (paused and now < worker.backoff_until):
            return "", WORKER_FAILED
        if not worker.is_available(self._leader.cell.zones_out):
            return "", WORKER_LEAVES
        if ceilings.are_exceeded(self._leader.cell, start.step):
            return "", ABOVE_CEILING
        if not start.ticket:
            return "", ""
        ticket = start.step.tickets.get(worker.id)
        if ticket is None or ticket.expires_at <= now + self._pacing.order_s:
            return "", TICKET_EXPIRED
        return ticket.text, ""

    def _check_repetition(self, start: plans.Start, now: float) -> str:
        """Return why a start without an answer is stopped, not repeated, or ""."""
        if not self._leader.cell.may_order(start.step, start.task, start.run):
            return NOT_WANTED
        # A successor relies on no lease being renewed.
        if not (self._leader.may_renew(now) and self._leader.may_start(now)):
            return NOT_PERMITTED
        if start.worker.incarnation != start.incarnation:
            return WORKER_RESTARTED
        if not start.worker.is_available(self._leader.cell.zones_out):
            return WORKER_LEAVES
        if ceilings.are_exceeded(self._leader.cell, start.step):
            return ABOVE_CEILING
        return ""

    def _log_failure(self, queued: QueuedStart, sent: float, reason: str) -> None:
        start = queued.start
        structured.decide(
            log, "start_failed", task=start.step.task_id(start.task.index),
            run=start.run, worker=start.worker.id, reason=reason,
            age_s=round(sent - queued.planned_at, 3),
        )  # fmt: skip
        self._leader.wake()

    def _handle_failure(
        self, start: plans.Start, failure: errors.Failure, repeated: bool, now: float
    ) -> None:
        cell, worker, step_run = self._leader.cell, start.worker, start.step
        match failure:
            case ports.OrderRefused(reason=reason):
                self._handle_refusal(start, reason, repeated, now)
                return
            case errors.Ambiguous():
                worker.backoff_until = now + workers.BACKOFF_S
                cell.mark_start_ambiguous(step_run, start.task, start.run)
            case _ if repeated:
                cell.mark_start_ambiguous(step_run, start.task, start.run)
            case _:
                worker.backoff_until = now + workers.BACKOFF_S
                cell.cancel_start(step_run, start.task, start.run, now)

    def _handle_refusal(
        self, start: plans.Start, reason: str, repeated: bool, now: float
    ) -> None:
        cell, worker, step_run = self._leader.cell, start.worker, start.step
        if reason == ports.FENCED:
            self._leader.step_down(f"worker {worker.id} has seen a higher epoch")
            return
        if reason == ports.NO_TICKET:
            step_run.tickets.pop(worker.id, None)
        elif reason in (ports.NO_ROOM, ports.UNHEALTHY, ports.OTHER_INCARNATION):
            worker.backoff_until = now + workers.BACKOFF_S
        elif reason == ports.INVALID:
            start.task.avoided_workers = start.task.avoided_workers | {worker.id}
            start.task.avoid_until = now + cell_state.FAILED_WORKER_AVOIDANCE_S
        if repeated or reason == ports.OLD_RUN:
            # The first order may have taken effect, and its run may have ended.
            cell.mark_start_ambiguous(step_run, start.task, start.run)
        else:
            cell.cancel_start(step_run, start.task, start.run, now)
