"""Stream to one worker of an owned partition, and expiry of the worker's lease."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

import gevent
import gevent.event
import logbook

from toucanspring import errors, uptime, wire
from toucanspring.adapters import vms, workers

log = logbook.Logger(__name__)

WORKER_LEASE_S = 20.0
STOP_GRACE_S = 2.0  # time after its lease in which a worker stops its tasks
MAX_DRIFT_FRACTION = 0.05  # assumed bound on the drift between monotonic clocks
# A worker without tasks reports every 7 s. If one renewal is lost, the lease is renewed
# again after at most 2 + 7 + 7 s, which is before its end even with the drift.
RENEW_INTERVAL_S = 2.0
# A renewal that was not allowed is retried long before the next report.
RENEW_RETRY_S = 3.0
CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.2
MAX_RECONNECT_PAUSE_S = 3.0
WATCH_INTERVAL_S = 0.5
# A worker refuses starts whose tick is older than 1 s. The difference is for the time
# on the network.
MAX_TICK_AGE_S = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class FromWorker:
    """Message from a worker to the partition that owns it."""

    worker: str
    message: wire.WorkerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Notice that a worker's lease and stop grace have certainly expired."""

    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class Disconnected:
    """Notice that a worker's stream has closed; its tasks may still be running.

    `unanswered` lists the tasks whose start was sent but not confirmed.
    """

    worker: str
    unanswered: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class EpochRefused:
    """Notice that the worker refused to attach, since it knows a higher epoch."""

    worker: str
    known: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """Notice whether the VM list has the worker as leaving or no longer has it."""

    worker: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deferred:
    """Starts, or a stop (without `is_allowed`), that wait for a recent tick."""

    tasks: list[wire.TaskStart] = dataclasses.field(default_factory=list)
    is_allowed: Callable[[], bool] | None = None
    stopped: list[str] = dataclasses.field(default_factory=list)
    mode: str = ""


def expiry_wait() -> float:
    """Return the seconds after which a lease has expired on every process's clock."""
    return (WORKER_LEASE_S + STOP_GRACE_S) * (1 + MAX_DRIFT_FRACTION)


class Link:
    """Maintain the stream to one worker and renew or observe its lease."""

    def __init__(
        self,
        partition: int,
        epoch: int,
        vm: vms.Vm,
        post: Callable[[object], None],
        may_renew: Callable[[], bool],
        former_lease_over: Callable[[], bool],
        owner: str = "",
    ) -> None:
        self.partition = partition
        self.epoch = epoch
        self.vm = vm
        self.attached = False
        self.incarnation: int | None = None  # that the stream is attached to
        self.lost = False
        self._post = post
        self._may_renew = may_renew
        self._former_lease_over = former_lease_over
        self._owner = owner
        self._stream: workers.WorkerLink | None = None
        self._early_messages: list[workers.WorkerEvent] = []
        self._tick_received_at = 0.0
        self._renewed_at = 0.0
        self._lease_base: float | None = None  # receipt time of the renewed tick
        self._former_over_at: float | None = None
        # Commands that wait for a recent tick, in order.
        self._deferred: list[Deferred] = []
        self._retry: gevent.Greenlet | None = None
        self._runner = gevent.spawn(self._run)
        self._watcher = gevent.spawn(self._watch_lease)

    def close(self) -> None:
        """Close the stream and stop observing the lease."""
        gevent.killall([self._runner, self._watcher])
        if self._retry is not None:
            self._retry.kill(block=False)
        if self._stream is not None:
            self._stream.close()

    def start(
        self, tasks: list[wire.TaskStart], is_allowed: Callable[[], bool]
    ) -> bool:
        """Send starts; return `False` if they certainly were not sent.

        The caller has checked that they are allowed. If the last tick is too old, a
        new one is requested and `is_allowed` is called again after it has arrived,
        since the tick in a start must not be newer than the check.
        """
        if not self.attached or self._stream is None or self._stream.closed:
            return False
        age_s = uptime.now() - self._tick_received_at
        if not self._deferred and age_s <= MAX_TICK_AGE_S:
            self._stream.start(self.epoch, tasks)
            return True
        self._deferred.append(Deferred(tasks=tasks, is_allowed=is_allowed))
        if len(self._deferred) == 1:
            self._stream.poll(self.epoch)
        return True

    def stop(self, task_ids: list[str], mode: str) -> None:
        """Stop tasks; `mode` is `kill` or `checkpoint`."""
        if self._deferred:
            # Sent before a deferred start of the same task, it would have no effect.
            self._deferred.append(Deferred(stopped=task_ids, mode=mode))
        elif self.attached and self._stream is not None:
            self._stream.stop(self.epoch, task_ids, mode)

    def throttle(self, task_id: str, fraction: float) -> None:
        """Limit a task to a fraction of its CPUs."""
        if self.attached and self._stream is not None:
            self._stream.throttle(self.epoch, task_id, fraction)

    def acknowledge(self, task_ids: list[str]) -> None:
        """Let the worker delete the results of finished tasks."""
        if self.attached and self._stream is not None:
            self._stream.acknowledge(self.epoch, task_ids)

    def release(self) -> None:
        """End the worker's lease, so that another partition can attach, and close."""
        self.attached = False
        if self._stream is not None:
            self._stream.release(self.epoch)
        self.close()

    def traffic(self) -> tuple[int, int]:
        """Return the bytes sent and received on the current stream."""
        if self._stream is None:
            return 0, 0
        return self._stream.sent_bytes, self._stream.received_bytes

    def _run(self) -> None:
        pause = RECONNECT_PAUSE_S
        while True:
            if not self.vm.address:  # not in the VM list yet
                gevent.sleep(RECONNECT_PAUSE_S)
                continue
            closed = gevent.event.AsyncResult()
            opened = workers.connect(
                self.vm.address,
                self.vm.port,
                self._receive,
                lambda failure, unanswered, closed=closed: closed.set(
                    (failure, unanswered)
                ),
                owner=self._owner,
                timeout_s=CONNECT_TIMEOUT_S,
            )
            if not isinstance(opened, errors.Failure):
                if self._attach(opened):
                    pause = RECONNECT_PAUSE_S
                    failure, unanswered = closed.get()
                    self._detach(failure, unanswered)
                opened.close()
            gevent.sleep(pause * random.uniform(0.5, 1.0))
            pause = min(MAX_RECONNECT_PAUSE_S, pause * 2)

    def _attach(self, opened: workers.WorkerLink) -> bool:
        self._early_messages.clear()
        answer = opened.attach(self.partition, self.epoch, int(WORKER_LEASE_S * 1000))
        if isinstance(answer, errors.Failure):
            log.info("worker {}: attach failed: {}", self.vm.id, answer)
            if isinstance(answer, errors.Fenced):
                self._post(EpochRefused(self.vm.id, answer.epoch))
            return False
        self._stream = opened
        self._tick_received_at = uptime.now()
        self._renewed_at = 0.0
        self.incarnation = answer.incarnation
        self.attached = True
        self.lost = False
        self._watcher.kill(block=False)
        self._renew()
        self._post(FromWorker(self.vm.id, answer))
        for message in self._early_messages:
            self._post(FromWorker(self.vm.id, message))
        self._early_messages.clear()
        return True

    def _detach(self, failure: errors.Failure, unanswered: list[str]) -> None:
        log.info("worker {}: disconnected: {}", self.vm.id, failure.reason)
        self.attached = False
        self.incarnation = None
        self._stream = None
        self._watcher = gevent.spawn(self._watch_lease)
        deferred, self._deferred = self._deferred, []
        self._post(Disconnected(self.vm.id, unanswered))
        # Posted after `Disconnected`, so that the tasks are not placed here again.
        for command in deferred:
            self._refuse(command, "the worker did not send a tick")

    def _receive(self, message: workers.WorkerEvent) -> None:
        if isinstance(message, wire.Report):
            self._tick_received_at = uptime.now()
            if self._tick_received_at - self._renewed_at >= RENEW_INTERVAL_S:
                self._renew()
            if self._deferred:
                self._send_deferred()
            if not message.finished and not message.usage:
                return  # an empty report must not wake the partition's task
        if self.attached:
            self._post(FromWorker(self.vm.id, message))
        else:
            # Reports that arrive before the response to the attach are posted after it.
            self._early_messages.append(message)

    def _send_deferred(self) -> None:
        deferred, self._deferred = self._deferred, []
        for command in deferred:
            if command.is_allowed is None:
                self.stop(command.stopped, command.mode)
            elif not command.is_allowed() or not self.start(
                command.tasks, command.is_allowed
            ):
                self._refuse(command, "the worker is not available")

    def _refuse(self, command: Deferred, reason: str) -> None:
        """Report starts that were never sent as refused."""
        refused = [(task.task_id, reason) for task in command.tasks]
        if refused:
            self._post(FromWorker(self.vm.id, wire.Started(0, [], refused)))

    def _renew(self) -> None:
        self._check_former_lease(uptime.now())
        if self._stream is None:
            return
        if not self._may_renew():
            if not self._retry:
                self._retry = gevent.spawn_later(RENEW_RETRY_S, self._request_report)
            return
        # The worker counts the lease from the tick, which it read before it sent the
        # report. An expiry counted from the receipt of that report is never too early.
        self._lease_base = self._tick_received_at
        self._renewed_at = uptime.now()
        self._stream.renew(self.epoch, int(WORKER_LEASE_S * 1000), self._stream.tick)

    def _request_report(self) -> None:
        """Request a report, whose receipt triggers the next attempt to renew."""
        self._retry = None
        if self._stream is not None:
            self._stream.poll(self.epoch)

    def _check_former_lease(self, now: float) -> None:
        if self._former_over_at is None and self._former_lease_over():
            self._former_over_at = now

    def _watch_lease(self) -> None:
        """Report the worker as lost once no lease of any owner can still be valid.

        Runs only while the worker is not attached. If the end of the former owner's
        lease is noticed late, the worker is only reported later.
        """
        while not self.lost:
            gevent.sleep(WATCH_INTERVAL_S)
            now = uptime.now()
            self._check_former_lease(now)
            if self._former_over_at is None:
                continue
            base = max(self._former_over_at, self._lease_base or 0.0)
            if now - base > expiry_wait():
                self.lost = True
                self._lease_base = None
                self._post(Lost(self.vm.id))
