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
LOOK_WAIT_MS = 1400
LOOK_RETRY_S = 0.15
# A worker that answers no look for this long gets no new tasks.
SILENT_S = 0.8
START_TRIES = 3
STOP_RETRY_S = 0.25
MAX_ORDERS = 400  # under way at once
# A worker that no look watches for this long may begin another life unnoticed.
UNWATCHED_S = 0.2
NOTE_LIMIT_S = 1.0  # how long ends wait for the store before the lease is renewed
# Within this time after the lease of the seat, leases of workers are still renewed,
# since an outage of the store is then likelier than another coordinator.
OUTAGE_HOLD_S = 6.0


class Owner(Protocol):
    """What the orders need of the coordinator that gives them."""

    cell_state: cell_state.Book
    epoch: int

    def may_renew(self, now: float) -> bool:
        """Return whether leases of workers may be renewed."""

    def note(self, worker: workers.Worker, last_end: int) -> None:
        """Forget ends at the worker once the next write is durable."""

    def superseded(self, reason: str) -> None:
        """End the tenure, since a worker has seen a higher epoch."""

    def wake(self) -> None:
        """Plan again soon."""


class Desk:
    """Own the orders under way and the loops of all workers."""

    def __init__(
        self,
        owner: Owner,
        client: ports.Workers,
        max_lease_ms: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._owner = owner
        self._client = client
        self._max_lease_ms = max_lease_ms
        self._clock = clock
        self._loops: dict[str, gevent.Greenlet] = {}
        self._noted: dict[str, event.Event] = {}
        self._orders = pool.Pool(MAX_ORDERS)

    def __enter__(self) -> Desk:
        return self

    def __exit__(self, *_exc: object) -> None:
        gevent.killall(list(self._loops.values()), block=False)
        self._orders.kill(block=False)
        self._loops.clear()

    def attend(self, worker: workers.Worker) -> None:
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
            if not self._owner.may_renew(now):
                gevent.sleep(LOOK_RETRY_S)
                continue
            if not worker.entry.address:
                # Known from an intent only; it may register late.
                if self._lapse(worker, now):
                    return
                gevent.sleep(LOOK_RETRY_S)
                continue
            if self._look(worker):
                answered_at = self._clock()
                continue
            now = self._clock()
            if now - answered_at > SILENT_S and worker.answering:
                worker.answering = False
                structured.decide(log, "worker_silent", worker=worker.id)
            if self._lapse(worker, now):
                return
            gevent.sleep(LOOK_RETRY_S)

    def _lapse(self, worker: workers.Worker, now: float) -> bool:
        """Give up the tasks of a worker whose lease is over; return whether it left."""
        if now > worker.lapses_at:
            if worker.held or worker.foreign:
                reports.lapse(self._owner.book, worker, now)
                self._owner.wake()
            if not worker.registered:
                self._owner.book.remove_worker(worker.id)
                self._client.forget(worker.id)
                self._loops.pop(worker.id, None)
                return True
        return False

    def _look(self, worker: workers.Worker) -> bool:
        sent = self._clock()
        until = None
        # A look that is not answered may still arrive: without a lease in it, the work
        # of a worker that is gone is given up in time.
        if worker.clock_ms and not worker.in_doubt:
            until = worker.estimate_clock(sent) + self._max_lease_ms
            worker.promise_lease(until, sent)
        wait_ms = LOOK_WAIT_MS if worker.confirmed and worker.answering else 0
        # Another life counts its ends anew: it would forget some that nobody has read.
        seen_end = 0 if worker.in_doubt else worker.seen_end
        answer = self._client.look(
            worker.entry, self._owner.epoch, seen_end, until, wait_ms
        )
        now = self._clock()
        worker.in_doubt = not isinstance(answer, ports.Look)
        match answer:
            case ports.Look():
                self._take(worker, answer, sent, now)
                return True
            case ports.OrderRefused(reason=ports.FENCED):
                self._owner.superseded(f"worker {worker.id} has seen a higher epoch")
            case ports.OrderRefused(reason=ports.OTHER_LIFE):
                log.info("worker {} has another life than registered", worker.id)
        return False

    def _take(
        self, worker: workers.Worker, look: ports.Look, sent: float, now: float
    ) -> None:
        records = self._owner.book
        last = max((end.number for end in look.ended), default=worker.seen_end)
        fresh = last > worker.seen_end
        restarted = look.born != worker.born
        touched = reports.take_look(records, worker, look, sent, now)
        if restarted:
            last = max((end.number for end in look.ended), default=0)
            fresh = last > 0
        for held in reports.find_stuck(worker, now):
            structured.decide(
                log,
                "task_stuck",
                task=held.step.task_id(held.task.index),
                worker=worker.id,
                percent=held.task.percent,
            )
            worker.penalty_until = now + workers.QUARANTINE_FIRST_S
            records.stop(held.step, held.task)
        if touched or fresh or records.stops:
            self._owner.wake()
        if fresh:
            signal = self._noted[worker.id]
            signal.clear()
            self._owner.note(worker, last)
            # A look before the ends are durable would only return them again.
            signal.wait(NOTE_LIMIT_S)
            if self._clock() - now > UNWATCHED_S:
                worker.in_doubt = True

    # Starts and stops

    def start(self, start: plans.Start) -> None:
        """Order a run whose intent is durable."""
        self._orders.spawn(self._start, start)

    def _start(self, start: plans.Start) -> None:
        records, worker, run = self._owner.book, start.worker, start.step
        task_id = run.task_id(start.task.index)
        if run.job.is_final or start.task.run != start.run:
            records.not_started(run, start.task, start.run, self._clock())
            return
        for attempt in range(START_TRIES):
            sent = self._clock()
            if not self._owner.may_renew(sent):
                return  # a successor counts on this
            until = worker.estimate_clock(sent) + self._max_lease_ms
            worker.promise_lease(until, sent)
            answer = self._client.start(
                worker.entry,
                ports.Start(
                    task=task_id,
                    run=start.run,
                    payload=run.job.spec.payload,
                    lease_until_ms=until,
                    epoch=self._owner.epoch,
                    checkpoint=start.task.checkpoint,
                    ticket=start.ticket,
                ),
            )
            now = self._clock()
            match answer:
                case ports.Done(clock_ms=clock_ms):
                    worker.take_clock(clock_ms, now)
                    records.started(run, start.task, start.run, now)
                    self._owner.wake()
                    return
                case errors.Ambiguous() if attempt + 1 < START_TRIES:
                    worker.in_doubt = True
                    continue  # a repeat of the same run changes nothing
                case errors.Ambiguous():
                    worker.penalty_until = now + workers.PENALTY_S
                    records.start_unanswered(run, start.task, start.run)
                case ports.OrderRefused(reason=reason):
                    self._refused(start, reason, attempt > 0, now)
                case _ if attempt > 0:
                    records.start_unanswered(run, start.task, start.run)
                case _:
                    worker.penalty_until = now + workers.PENALTY_S
                    records.not_started(run, start.task, start.run, now)
            structured.decide(
                log, "start_failed", task=task_id, run=start.run,
                worker=worker.id, reason=answer.reason,
            )  # fmt: skip
            self._owner.wake()
            return

    def _refused(
        self, start: plans.Start, reason: str, repeated: bool, now: float
    ) -> None:
        records, worker, run = self._owner.book, start.worker, start.step
        if reason == ports.FENCED:
            self._owner.superseded(f"worker {worker.id} has seen a higher epoch")
            return
        if reason == ports.NO_TICKET:
            run.tickets.pop(worker.id, None)
        elif reason in (ports.NO_ROOM, ports.UNHEALTHY):
            worker.penalty_until = now + workers.PENALTY_S
        elif reason == ports.INVALID:
            start.task.avoided = start.task.avoided | {worker.id}
            start.task.avoid_until = now + cell_state.AVOID_S
        if repeated or reason == ports.OLD_RUN:
            # The first order may have been carried out, or its run has ended.
            records.start_unanswered(run, start.task, start.run)
        else:
            records.not_started(run, start.task, start.run, now)

    def stop(self, order: cell_state.Stop) -> None:
        """Order a stop, and repeat it until it is confirmed or without object."""
        self._orders.spawn(self._stop, order)

    def _stop(self, order: cell_state.Stop) -> None:
        while True:
            worker = self._owner.book.workers.get(order.worker)
            if worker is None or not worker.entry.address:
                return
            held = worker.held.get(order.task)
            if order.task not in worker.foreign and (
                held is None or held.task.run != order.run
            ):
                return
            answer = self._client.stop(
                worker.entry, order.task, order.run, self._owner.epoch
            )
            now = self._clock()
            match answer:
                case ports.Done(clock_ms=clock_ms):
                    worker.take_clock(clock_ms, now)
                    self._owner.book.stop_confirmed(
                        worker.id, order.task, order.run, now
                    )
                    return
                case ports.OrderRefused(reason=ports.FENCED):
                    self._owner.superseded(f"worker {worker.id} refused a stop")
                    return
                case ports.OrderRefused(reason=ports.OLD_RUN | ports.OTHER_LIFE):
                    self._owner.book.stop_confirmed(
                        worker.id, order.task, order.run, now
                    )
                    return
            gevent.sleep(STOP_RETRY_S)
