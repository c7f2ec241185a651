"""Dispatch of orders to workers: polls that renew leases, starts and stops."""

from __future__ import annotations

import collections
from collections.abc import Callable

import gevent
import logbook
from gevent import event

from toucanspring import errors, uptime
from toucanspring import log as structured
from toucanspring.coordinator import (
    cell_state,
    leader,
    order_pacing,
    order_queue,
    plans,
    ports,
    reports,
    start_orders,
    stop_causes,
    stop_limits,
    workers,
)

log = logbook.Logger(__name__)

# Exceeds the time without progress after which a task is stuck, so that two successive
# polls detect it.
POLL_WAIT_MS = 1400
# While calls are lost often, a poll that is lost hides the ends of tasks for less long.
LOSSY_POLL_WAIT_MS = 500
POLL_RETRY_S = 0.15
# A worker that replies to no poll for this long gets no new tasks.
UNRESPONSIVE_AFTER_S = 0.8
MAX_STARTS_PER_WORKER = 4  # in flight
# Recorded starts that wait to be sent, in the mean. A start of more urgent work waits
# behind them, and they hold capacity meanwhile.
MAX_WAITING_STARTS_PER_WORKER = 32
DURABLE_WAIT_S = 1.0  # limit of a wait for the store before the next lease renewal


class Dispatcher:
    """Orders in flight and a polling loop for each worker."""

    def __init__(
        self,
        coordinator: leader.Leader,
        client: ports.Workers,
        max_lease_ms: int,
        clock: Callable[[], float] = uptime.now,
        limits: stop_limits.StopLimits = stop_limits.DEFAULT,
    ) -> None:
        self._leader = coordinator
        self._client = client
        self._max_lease_ms = max_lease_ms
        self._clock = clock
        self._loops: dict[str, gevent.Greenlet] = {}
        self._acknowledged: dict[str, event.Event] = {}
        self.pacing = order_pacing.OrderPacing()
        self._start_orders = start_orders.StartOrders(
            coordinator,
            client,
            max_lease_ms,
            MAX_STARTS_PER_WORKER,
            self.pacing,
            self._record_call,
            clock,
        )
        self.starts = self._start_orders.queue
        self._ended_before = 0
        self._began_at = clock()
        self._closed = False
        self._limits = limits
        self._rounds = limits.count_rounds()
        self.stops = order_queue.OrderQueue(
            self._stop,
            limits.find_max_in_flight(0),
            stop_limits.STOPS_PER_WORKER,
            self._rounds,
            stop_limits.MAX_STOPS_PER_WORKER,
            lambda worker_id: client.release(worker_id),
        )
        self._pending_stops: set[cell_state.Stop] = set()
        self._pending_of_job: collections.Counter[str] = collections.Counter()

    def __enter__(self) -> Dispatcher:
        return self

    def __exit__(self, *_exc: object) -> None:
        self._closed = True
        gevent.killall(list(self._loops.values()), block=False)
        self.starts.close()
        self.stops.close()
        # The next coordinator needs the connections that a worker permits.
        for worker_id in self._loops:
            self._client.forget(worker_id)
        self._loops.clear()

    def watches(self, worker: workers.Worker) -> bool:
        """Return whether a worker is polled, or its lease awaited."""
        return worker.id in self._loops

    def watch(self, worker: workers.Worker) -> None:
        """Poll a worker until its lease has expired and it is unregistered."""
        if not self.watches(worker):
            self._acknowledged[worker.id] = event.Event()
            self._loops[worker.id] = gevent.spawn(self._run, worker)
            self._divide_connections()

    def notify_acknowledged(self, worker: workers.Worker) -> None:
        """End the wait of a worker's loop for the ends to become durable."""
        signal = self._acknowledged.get(worker.id)
        if signal is not None:
            signal.set()

    def _divide_connections(self) -> None:
        """Give the stops the connections that no worker needs otherwise."""
        self.stops.max_in_flight = self._limits.find_max_in_flight(len(self._loops))

    # Polling

    def _run(self, worker: workers.Worker) -> None:
        answered_at = self._clock()
        while True:
            now = self._clock()
            if not self._leader.may_renew(now):
                gevent.sleep(POLL_RETRY_S)
                continue
            if not worker.entry.address:
                # Known from restored tasks only; it may register later.
                if self._expire_lease(worker, now):
                    return
                gevent.sleep(POLL_RETRY_S)
                continue
            if self._poll_safely(worker):
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
        """Requeue tasks if the lease has expired; return whether the worker left."""
        if now > worker.lease_expires_at:
            if worker.allocations or worker.unknown_tasks:
                reports.mark_lost(self._leader.cell, worker, now)
                self._leader.wake()
            if not worker.registered:
                self._leader.cell.remove_worker(worker.id)
                self._client.forget(worker.id)
                self._loops.pop(worker.id, None)
                self._divide_connections()
                return True
        return False

    def _poll_safely(self, worker: workers.Worker) -> bool:
        """Poll a worker; an internal error counts as a poll without a reply."""
        try:
            return self._poll(worker)
        except Exception:
            log.exception("polling worker {} failed", worker.id)
            worker.may_have_restarted = True
            return False

    def _poll(self, worker: workers.Worker) -> bool:
        sent = self._clock()
        answer: object = errors.Unconfirmed(reason="the incarnation is not known")
        if worker.clock_ms and not worker.may_have_restarted:
            # A poll without a reply may still arrive and extend the lease. Further
            # polls carry no lease, so that the tasks of a lost worker are requeued in
            # time.
            lease_until_ms = worker.estimate_clock(sent) + self._max_lease_ms
            worker.extend_lease(lease_until_ms, sent)
            answer = self._client.poll(
                worker.target(worker.incarnation),
                self._leader.epoch,
                worker.acked_end,
                lease_until_ms,
                self._poll_wait_ms(worker, sent),
            )
        if isinstance(answer, errors.Unconfirmed):
            # Another incarnation may answer this poll. It counts ends from 1, so that
            # an old number would drop ends that were never read, and has another clock.
            worker.may_have_restarted = True
            sent = self._clock()
            answer = self._client.poll(worker.target(0), self._leader.epoch, 0, None, 0)
        now = self._clock()
        self._record_call(worker, answer, now)
        unchecked = worker.may_have_restarted
        worker.may_have_restarted = not isinstance(answer, ports.PollReply)
        match answer:
            case ports.PollReply():
                has_new_ends = self._apply_reply(worker, answer, sent, now)
                # The poll after a check renews the lease at once. Otherwise one before
                # the write of the ends would only list them again.
                if has_new_ends and (worker.may_have_restarted or not unchecked):
                    self._acknowledged[worker.id].wait(DURABLE_WAIT_S)
                return True
            case ports.OrderRefused(reason=ports.FENCED):
                self._leader.step_down(f"worker {worker.id} has seen a higher epoch")
            case ports.OrderRefused(reason=ports.OTHER_INCARNATION):
                log.info("worker {} is not the registered incarnation", worker.id)
                if self._leader.cell.is_replaced(worker):
                    worker.lease_expires_at = 0.0
        return False

    def _poll_wait_ms(self, worker: workers.Worker, now: float) -> int:
        if not (worker.confirmed and worker.responsive):
            return 0
        if worker.allocations and self.pacing.losses.is_frequent(now):
            return LOSSY_POLL_WAIT_MS
        return POLL_WAIT_MS

    def _record_call(self, worker: workers.Worker, answer: object, now: float) -> None:
        if worker.responsive:
            lost = isinstance(answer, errors.Ambiguous)
            self.pacing.losses.record(not lost, now)

    def _apply_reply(
        self, worker: workers.Worker, reply: ports.PollReply, sent: float, now: float
    ) -> bool:
        """Apply a reply; return whether it lists ends that are not durable yet."""
        cell = self._leader.cell
        last = max((end.number for end in reply.ended), default=worker.acked_end)
        has_new_ends = last > worker.acked_end
        restarted = reply.incarnation != worker.incarnation
        changed_jobs = reports.apply_poll_reply(cell, worker, reply, sent, now)
        self.stops.note_answer(worker.id)
        if restarted:
            last = max((end.number for end in reply.ended), default=0)
            has_new_ends = last > 0
        stuck = reports.find_stuck(worker, now) if self._leader.may_start(now) else ()
        for allocation in stuck:
            structured.decide(
                log,
                "task_stuck",
                task=allocation.step.task_id(allocation.task.index),
                worker=worker.id,
                percent=allocation.task.percent,
            )
            worker.backoff_until = now + workers.MIN_QUARANTINE_S
            cell.stop(allocation.step, allocation.task, stop_causes.StopCause.STUCK)
        if changed_jobs or has_new_ends or cell.stops:
            self._leader.wake()
        if has_new_ends:
            self._acknowledged[worker.id].clear()
            jobs = frozenset(end.task.partition(".")[0] for end in reply.ended)
            self._leader.acknowledge_ends(worker, last, jobs)
        return has_new_ends

    # Starts and stops

    def count_orders(self) -> dict[str, int]:
        """Return how many orders wait and are in flight, for the log."""
        return {
            "starts_waiting": self.starts.waiting,
            "starts_in_flight": self.starts.in_flight,
            "stops_waiting": self.stops.waiting,
            "stops_in_flight": self.stops.in_flight,
        }

    def start_limit(self) -> int:
        """Return how many starts the next round may plan."""
        queue = self.starts
        ended, self._ended_before = queue.ended - self._ended_before, queue.ended
        limit = self.pacing.start_limit(queue.backlog, queue.in_flight, ended)
        workers = len(self._leader.cell.workers)
        return max(
            1, min(limit, MAX_WAITING_STARTS_PER_WORKER * workers - queue.waiting)
        )

    def start(self, start: plans.Start, planned_at: float) -> None:
        """Queue a start order whose intent is durable."""
        self._start_orders.submit(start, planned_at)

    def stop(self, order: cell_state.Stop) -> None:
        """Queue a stop order, sent until it is confirmed or the run is gone."""
        if order not in self._pending_stops:
            self._pending_stops.add(order)
            self._pending_of_job[order.job] += 1
            self.stops.submit(order.worker, order)

    def max_tasks_stopped_in_time(self) -> int:
        """Return how many tasks of one worker a cancellation stops without waiting."""
        return self._rounds * stop_limits.MAX_STOPS_PER_WORKER

    def find_task_limits(self) -> stop_limits.TaskLimits:
        """Return how many tasks a cancellation can stop in time."""
        return self._limits.find_task_limits(len(self._loops))

    def has_timely_stops(self, job_id: str) -> bool:
        """Return whether all stops of a job are sent within a cancellation's time.

        Stops of other jobs don't count once those of the job are confirmed.
        """
        if self._closed or any(
            order.job == job_id for order in self._leader.cell.stops
        ):
            return False  # not queued, or left to the next coordinator
        if job_id not in self._pending_of_job:
            return True
        is_new = self._clock() - self._began_at < UNRESPONSIVE_AFTER_S
        if is_new and any(
            order.job == job_id and not self._is_confirmed(order.worker)
            for order in self._pending_stops
        ):
            return False  # it may answer its first poll and take all its stops then
        return self.stops.count_rounds() <= self._rounds

    def _stop(self, order: cell_state.Stop) -> float:
        """Send a stop order once; return the seconds until it is repeated, or 0."""
        repeat_after_s = 0.0
        try:
            repeat_after_s = self._send_stop(order)
        finally:
            if not repeat_after_s:
                self._note_confirmed(order)
        return repeat_after_s

    def _is_confirmed(self, worker_id: str) -> bool:
        worker = self._leader.cell.workers.get(worker_id)
        return worker is None or worker.confirmed

    def _note_confirmed(self, order: cell_state.Stop) -> None:
        self._pending_stops.discard(order)
        self._pending_of_job[order.job] -= 1
        if not self._pending_of_job[order.job]:
            del self._pending_of_job[order.job]

    def _send_stop(self, order: cell_state.Stop) -> float:
        worker = self._leader.cell.workers.get(order.worker)
        if worker is None:
            return 0.0
        allocation = worker.allocations.get(order.task)
        if order.task not in worker.unknown_tasks and (
            allocation is None or allocation.task.run != order.run
        ):
            return 0.0
        if not (worker.entry.address and worker.confirmed):
            # Known from restored tasks, it may register later; or a poll has to tell
            # first which incarnation it is.
            return stop_limits.RETRY_S
        incarnation = worker.incarnation
        answer = self._client.stop(
            worker.target(incarnation), order.task, order.run, self._leader.epoch
        )
        now = self._clock()
        match answer:
            case ports.OrderDone(clock_ms=clock_ms):
                if incarnation == worker.incarnation:
                    worker.update_clock(clock_ms, now)
            case ports.OrderRefused(reason=ports.FENCED):
                self._leader.step_down(f"worker {worker.id} refused a stop")
                return 0.0
            case ports.OrderRefused(reason=ports.OLD_RUN | ports.OTHER_INCARNATION):
                pass
            case _:
                return stop_limits.RETRY_S
        self._leader.cell.confirm_stop(worker.id, order.task, order.run, now)
        return 0.0
