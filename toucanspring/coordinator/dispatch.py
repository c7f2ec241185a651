"""Orders to workers: a loop for each that renews its lease, and starts and stops."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

import gevent
import logbook
from gevent import event, pool

from toucanspring import errors
from toucanspring import log as structured
from toucanspring.coordinator import cell_state, plans, ports, reports, workers

log = logbook.Logger(__name__)

# Above the time after which a task without progress counts as stuck, so that the second
# of two looks tells.
POLL_WAIT_MS = 1400
POLL_RETRY_S = 0.15
# A worker that answers no look for this long gets no new tasks.
UNRESPONSIVE_AFTER_S = 0.8
MAX_START_ATTEMPTS = 3
STOP_RETRY_S = 0.25
MAX_CONCURRENT_ORDERS = 400  # under way at once
# A worker that no look watches for this long may begin another life unnoticed.
MAX_POLL_GAP_S = 0.2
DURABLE_WAIT_S = 1.0  # how long ends wait for the store before the lease is renewed
# Within this time after the lease of the seat, leases of workers are still renewed,
# since an outage of the store is then likelier than another coordinator.
STORE_OUTAGE_GRACE_S = 6.0


class Leader(Protocol):
    """What the orders need of the coordinator that gives them."""

    cell: cell_state.CellState
    epoch: int

    def may_renew(self, now: float) -> bool:
        """Return whether leases of workers may be renewed."""

    def note(self, worker: workers.Worker, last_end: int) -> None:
        """Forget ends at the worker once the next write is durable."""

    def superseded(self, reason: str) -> None:
        """End the tenure, since a worker has seen a higher epoch."""

    def wake(self) -> None:
        """Plan again soon."""


class Dispatcher:
    """Own the orders under way and the loops of all workers."""

    def __init__(
        self,
        leader: Leader,
        client: ports.Workers,
        max_lease_ms: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._leader = leader
        self._client = client
        self._max_lease_ms = max_lease_ms
        self._clock = clock
        self._loops: dict[str, gevent.Greenlet] = {}
        self._noted: dict[str, event.Event] = {}
        self._orders = pool.Pool(MAX_CONCURRENT_ORDERS)

    def __enter__(self) -> Dispatcher:
        return self

    def __exit__(self, *_exc: object) -> None:
        gevent.killall(list(self._loops.values()), block=False)
        self._orders.kill(block=False)
        self._loops.clear()

    def watch(self, worker: workers.Worker) -> None:
        """Look at a worker until it is lost and no longer registered."""
        if worker.id not in self._loops:
            self._noted[worker.id] = event.Event()
            self._loops[worker.id] = gevent.spawn(self._run, worker)

    def noted(self, worker: workers.Worker) -> None:
        """Let a worker forget the ends that have become durable."""
        signal = self._noted.get(worker.id)
        if signal is not None:
            signal.set()

    # Looks

    def _run(self, worker: workers.Worker) -> None:
        answered_at = self._clock()
        while True:
            now = self._clock()
            if not self._leader.may_renew(now):
                gevent.sleep(POLL_RETRY_S)
                continue
            if not worker.entry.address:
                # Known from an intent only; it may register late.
                if self._expire_lease(worker, now):
                    return
                gevent.sleep(POLL_RETRY_S)
                continue
            if self._poll(worker):
                answered_at = self._clock()
                continue
            now = self._clock()
            if now - answered_at > UNRESPONSIVE_AFTER_S and worker.responsive:
                worker.responsive = False
                structured.decide(log, "worker_silent", worker=worker.id)
            if self._expire_lease(worker, now):
                return
            gevent.sleep(POLL_RETRY_S)

    def _expire_lease(self, worker: workers.Worker, now: float) -> bool:
        """Give up the tasks of a worker whose lease is over; return whether it left."""
        if now > worker.lease_expires_at:
            if worker.allocations or worker.unknown_tasks:
                reports.mark_lost(self._leader.cell, worker, now)
                self._leader.wake()
            if not worker.registered:
                self._leader.cell.remove_worker(worker.id)
                self._client.forget(worker.id)
                self._loops.pop(worker.id, None)
                return True
        return False

    def _poll(self, worker: workers.Worker) -> bool:
        sent = self._clock()
        until = None
        # A look that is not answered may still arrive: without a lease in it, the work
        # of a worker that is gone is given up in time.
        if worker.clock_ms and not worker.may_have_restarted:
            until = worker.estimate_clock(sent) + self._max_lease_ms
            worker.extend_lease(until, sent)
        wait_ms = POLL_WAIT_MS if worker.confirmed and worker.responsive else 0
        # Another life counts its ends anew: it would forget some that nobody has read.
        acked_end = 0 if worker.may_have_restarted else worker.acked_end
        answer = self._client.poll(
            worker.entry, self._leader.epoch, acked_end, until, wait_ms
        )
        now = self._clock()
        worker.may_have_restarted = not isinstance(answer, ports.PollReply)
        match answer:
            case ports.PollReply():
                self._apply_reply(worker, answer, sent, now)
                return True
            case ports.OrderRefused(reason=ports.FENCED):
                self._leader.superseded(f"worker {worker.id} has seen a higher epoch")
            case ports.OrderRefused(reason=ports.OTHER_INCARNATION):
                log.info("worker {} has another life than registered", worker.id)
        return False

    def _apply_reply(
        self, worker: workers.Worker, look: ports.PollReply, sent: float, now: float
    ) -> None:
        cell = self._leader.cell
        last = max((end.number for end in look.ended), default=worker.acked_end)
        fresh = last > worker.acked_end
        restarted = look.incarnation != worker.incarnation
        touched = reports.apply_poll_reply(cell, worker, look, sent, now)
        if restarted:
            last = max((end.number for end in look.ended), default=0)
            fresh = last > 0
        for allocation in reports.find_stuck(worker, now):
            structured.decide(
                log,
                "task_stuck",
                task=allocation.step.task_id(allocation.task.index),
                worker=worker.id,
                percent=allocation.task.percent,
            )
            worker.backoff_until = now + workers.MIN_QUARANTINE_S
            cell.stop(allocation.step, allocation.task)
        if touched or fresh or cell.stops:
            self._leader.wake()
        if fresh:
            signal = self._noted[worker.id]
            signal.clear()
            self._leader.note(worker, last)
            # A look before the ends are durable would only return them again.
            signal.wait(DURABLE_WAIT_S)
            if self._clock() - now > MAX_POLL_GAP_S:
                worker.may_have_restarted = True

    # Starts and stops

    def start(self, start: plans.Start) -> None:
        """Order a run whose intent is durable."""
        self._orders.spawn(self._start, start)

    def _start(self, start: plans.Start) -> None:
        cell, worker, run = self._leader.cell, start.worker, start.step
        task_id = run.task_id(start.task.index)
        if run.job.is_final or start.task.run != start.run:
            cell.cancel_start(run, start.task, start.run, self._clock())
            return
        for attempt in range(MAX_START_ATTEMPTS):
            sent = self._clock()
            if not self._leader.may_renew(sent):
                return  # a successor counts on this
            until = worker.estimate_clock(sent) + self._max_lease_ms
            worker.extend_lease(until, sent)
            answer = self._client.start(
                worker.entry,
                ports.Start(
                    task=task_id,
                    run=start.run,
                    payload=run.job.spec.payload,
                    lease_until_ms=until,
                    epoch=self._leader.epoch,
                    checkpoint=start.task.checkpoint,
                    ticket=start.ticket,
                ),
            )
            now = self._clock()
            match answer:
                case ports.OrderDone(clock_ms=clock_ms):
                    worker.update_clock(clock_ms, now)
                    cell.confirm_start(run, start.task, start.run, now)
                    self._leader.wake()
                    return
                case errors.Ambiguous() if attempt + 1 < MAX_START_ATTEMPTS:
                    worker.may_have_restarted = True
                    continue  # a repeat of the same run changes nothing
                case errors.Ambiguous():
                    worker.backoff_until = now + workers.BACKOFF_S
                    cell.mark_start_ambiguous(run, start.task, start.run)
                case ports.OrderRefused(reason=reason):
                    self._refused(start, reason, attempt > 0, now)
                case _ if attempt > 0:
                    cell.mark_start_ambiguous(run, start.task, start.run)
                case _:
                    worker.backoff_until = now + workers.BACKOFF_S
                    cell.cancel_start(run, start.task, start.run, now)
            structured.decide(
                log, "start_failed", task=task_id, run=start.run,
                worker=worker.id, reason=answer.reason,
            )  # fmt: skip
            self._leader.wake()
            return

    def _refused(
        self, start: plans.Start, reason: str, repeated: bool, now: float
    ) -> None:
        cell, worker, run = self._leader.cell, start.worker, start.step
        if reason == ports.FENCED:
            self._leader.superseded(f"worker {worker.id} has seen a higher epoch")
            return
        if reason == ports.NO_TICKET:
            run.tickets.pop(worker.id, None)
        elif reason in (ports.NO_ROOM, ports.UNHEALTHY):
            worker.backoff_until = now + workers.BACKOFF_S
        elif reason == ports.INVALID:
            start.task.avoided_workers = start.task.avoided_workers | {worker.id}
            start.task.avoid_until = now + cell_state.FAILED_WORKER_AVOIDANCE_S
        if repeated or reason == ports.OLD_RUN:
            # The first order may have been carried out, or its run has ended.
            cell.mark_start_ambiguous(run, start.task, start.run)
        else:
            cell.cancel_start(run, start.task, start.run, now)

    def stop(self, order: cell_state.Stop) -> None:
        """Order a stop, and repeat it until it is confirmed or without object."""
        self._orders.spawn(self._stop, order)

    def _stop(self, order: cell_state.Stop) -> None:
        while True:
            worker = self._leader.cell.workers.get(order.worker)
            if worker is None or not worker.entry.address:
                return
            allocation = worker.allocations.get(order.task)
            if order.task not in worker.unknown_tasks and (
                allocation is None or allocation.task.run != order.run
            ):
                return
            answer = self._client.stop(
                worker.entry, order.task, order.run, self._leader.epoch
            )
            now = self._clock()
            match answer:
                case ports.OrderDone(clock_ms=clock_ms):
                    worker.update_clock(clock_ms, now)
                    self._leader.cell.confirm_stop(
                        worker.id, order.task, order.run, now
                    )
                    return
                case ports.OrderRefused(reason=ports.FENCED):
                    self._leader.superseded(f"worker {worker.id} refused a stop")
                    return
                case ports.OrderRefused(reason=ports.OLD_RUN | ports.OTHER_INCARNATION):
                    self._leader.cell.confirm_stop(
                        worker.id, order.task, order.run, now
                    )
                    return
            gevent.sleep(STOP_RETRY_S)
