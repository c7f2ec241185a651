"""One worker stand-in: life cycle, faults and message handling."""

from __future__ import annotations

import random
import time

import msgspec
from gevent import event, server

from standins import events, service, task_runs, worker_link, worker_reports
from toucanspring import resources, stream, wire
from toucanspring.adapters import vms

MAX_TICK_AGE_MS = 1000
LEASE_GRACE_S = 2.0
CHECKPOINT_LIMIT_S = 0.9 * LEASE_GRACE_S


class WorkerFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /faults`; `workers` empty means all, absent fields stay as set.

    `die` drops all tasks and connections; the worker returns with a new incarnation
    after `return_after_ms`, or on a later `revive`. `pause_ms` freezes it, its tasks
    included. `fail_all` fails each new task, `cut` closes the streams once.
    `blocked_owners` and `blocked_addresses` (`address` or `address:port`) block
    all traffic with these owners, which is delivered once they are unblocked.
    """

    workers: list[str] = []
    die: bool = False
    return_after_ms: float | None = None
    revive: bool = False
    pause_ms: float | None = None
    fail_all: bool | None = None
    cut: bool = False
    blocked_owners: list[str] | None = None
    blocked_addresses: list[str] | None = None


class Worker(worker_reports.ReportingHost):
    """Runs tasks by timers under a lease, and enforces epoch, tick age and capacity."""

    def __init__(
        self,
        listed: vms.Vm,
        clock: task_runs.Clock,
        record: events.Record,
        rng: random.Random,
    ) -> None:
        super().__init__(listed, clock, record)
        self.blocks_changed = event.Event()
        self._rng = rng
        self._server: server.StreamServer | None = None
        self._epochs: dict[int, int] = {}
        self._lease_until = 0.0
        self._lease_timer = False
        self._blocked_owners: frozenset[str] = frozenset()
        self._blocked_addresses: frozenset[str] = frozenset()

    # Life cycle

    def revive(self) -> None:
        """Start with a new incarnation and without any earlier state."""
        if self._server is not None:
            return
        # Ticks of different incarnations are not comparable; random offsets expose code
        # that compares them.
        self._tick_offset_ms = self._rng.randrange(1 << 32)
        self._incarnation = self._rng.randrange(1, 1 << 48)
        self._record.add(
            "worker",
            worker=self.listed.id,
            incarnation=self._incarnation,
            availability_zone=self.listed.availability_zone,
            rack=self.listed.rack,
            capacity=self.listed.resources,
        )
        listener = service.listen(self.listed.address, self.listed.port)
        self._server = server.StreamServer(listener, self._accept)
        self._server.start()
        first = time.monotonic() + self._rng.random() * worker_reports.REPORT_INTERVAL_S
        self._report_series += 1
        self._clock.at(first, self._report_periodically, self._report_series)

    def die(self) -> None:
        """Lose all tasks, finished results, epochs and connections."""
        if self._server is None:
            return
        self._server.stop(timeout=0)
        self._server = None
        self._record.add("died", worker=self.listed.id, incarnation=self._incarnation)
        self._incarnation = 0
        self._report_series += 1
        self._lease_timer = False
        self._running.clear()
        self._finished.clear()
        self._unreported.clear()
        self._allocated = self._usage = resources.ZERO
        self._is_over = False
        self._epochs.clear()
        self._partition = -1
        self._lease_until = 0.0
        self._paused_at = None
        self._reported_usage = {}
        self.cut()

    def cut(self) -> None:
        """Close all streams; tasks go on."""
        for link in list(self.links):
            link.stream.close()
        self._wake_links()

    def pause(self) -> None:
        """Freeze the worker and its tasks."""
        if self._server is None or self._paused_at is not None:
            return
        self._paused_at = time.monotonic()
        self._record.add("paused", worker=self.listed.id, incarnation=self._incarnation)

    def resume(self, incarnation: int) -> None:
        """Continue after a pause; an expired lease ends the tasks first."""
        if incarnation != self._incarnation or self._paused_at is None:
            return
        paused_at, self._paused_at = self._paused_at, None
        now = time.monotonic()
        self._record.add(
            "resumed", worker=self.listed.id, incarnation=self._incarnation
        )
        expired = now >= self._lease_until + LEASE_GRACE_S
        for task_id, running in list(self._running.items()):
            running.advance(paused_at)
            running.changed_at = now
            if expired:
                self._checkpoint_now(task_id, running, now, ran_until=paused_at)
            else:
                self._schedule_end(task_id, running)
        if not expired and not self._lease_timer:
            self._check_lease(incarnation)
        self._report_series += 1
        self._report_periodically(self._report_series)
        self._wake_links()

    def apply(self, faults: WorkerFaults) -> None:
        """Apply one call of the control interface."""
        if faults.fail_all is not None:
            self._fail_all = faults.fail_all
        if faults.blocked_owners is not None:
            self._blocked_owners = frozenset(faults.blocked_owners)
        if faults.blocked_addresses is not None:
            self._blocked_addresses = frozenset(faults.blocked_addresses)
        if faults.die:
            self.die()
        if faults.revive:
            self.revive()
        if faults.cut:
            self.cut()
        now = time.monotonic()
        if faults.pause_ms is not None:
            self.pause()
            self._clock.at(now + faults.pause_ms / 1000, self.resume, self._incarnation)
        if faults.die and faults.return_after_ms is not None:
            self._clock.at(now + faults.return_after_ms / 1000, self.revive)
        self._wake_links()

    def is_blocked(self, link: worker_link.Link) -> bool:
        """Return whether traffic on a link is blocked."""
        return (
            self._paused_at is not None
            or link.owner in self._blocked_owners
            or link.peer in self._blocked_addresses
            or link.peer.rpartition(":")[0] in self._blocked_addresses
        )

    def _wake_links(self) -> None:
        self.blocks_changed.set()
        self.blocks_changed.clear()

    def _accept(self, sock: object, address: tuple[str, int]) -> None:
        connected = stream.Stream(sock, wire.decode_worker)
        link = worker_link.Link(self, connected, f"{address[0]}:{address[1]}")
        self.links.add(link)
        link.serve()

    # Messages

    def handle(self, link: worker_link.Link, message: object) -> bool:
        """Handle one message; `False` ends the connection."""
        if isinstance(message, wire.Attach):
            return self._attach(link, message)
        if link.partition < 0 or not hasattr(message, "epoch"):
            return False
        highest = self._epochs.get(link.partition, 0)
        if message.epoch < highest or link.partition != self._partition:
            if isinstance(message, wire.Start):
                self._refuse_all(link, message, "epoch")
            link.post(wire.Fenced(highest))
            return True
        match message:
            case wire.Start():
                self._start(link, message)
            case wire.Renew():
                self._renew(message.lease_ms, message.tick)
            case wire.Poll():
                link.post(wire.Report(self._tick(time.monotonic()), [], {}))
            case wire.Stop():
                self._stop(message)
            case wire.Throttle():
                self._throttle(message)
            case wire.Acknowledge() | wire.Release():
                self._forget(message)
            case _:
                return False
        return True

    def _forget(self, message: wire.Acknowledge | wire.Release) -> None:
        """Remove acknowledged tasks, or end a lease that the owner no longer needs."""
        if isinstance(message, wire.Acknowledge):
            for task_id in message.task_ids:
                self._finished.pop(task_id, None)
        elif not self._running:
            self._lease_until = 0.0

    def _attach(self, link: worker_link.Link, message: wire.Attach) -> bool:
        now = time.monotonic()
        highest = self._epochs.get(message.partition, 0)
        if message.epoch < highest:
            self._record.add(
                "fenced",
                worker=self.listed.id,
                owner=message.owner,
                epoch=message.epoch,
                highest=highest,
            )
            link.post(wire.Fenced(highest))
            return True
        if message.partition != self._partition and now < self._lease_until:
            # A worker serves one partition at a time, until the lease expires.
            return False
        self._epochs[message.partition] = message.epoch
        self._partition = message.partition
        link.partition = message.partition
        link.epoch = message.epoch
        for other in list(self.links):
            if other is not link and other.partition >= 0:
                self.links.discard(other)
                other.post(wire.Fenced(message.epoch))
                other.close_when_sent()
        self._record.add(
            "attach",
            worker=self.listed.id,
            incarnation=self._incarnation,
            owner=message.owner,
            partition=message.partition,
            epoch=message.epoch,
        )
        self._post_attached(link, now)
        return True

    def _start(self, link: worker_link.Link, message: wire.Start) -> None:
        now = time.monotonic()
        tick_age_ms = self._tick(now) - message.tick
        if now >= self._lease_until:
            self._refuse_all(link, message, "lease")
            return
        if not 0 <= tick_age_ms <= MAX_TICK_AGE_MS:
            self._refuse_all(link, message, "tick")
            return
        accepted = []
        refused = []
        capacity = self.listed.resources
        for task in message.tasks:
            cause = self._check_duplicate(task)
            if cause == "":
                accepted.append(task.task_id)
                continue
            if cause is None and not (self._allocated + task.demand).fits(capacity):
                cause = "capacity"
            if cause is not None:
                refused.append((task.task_id, cause))
                continue
            accepted.append(task.task_id)
            self._run(task, link.partition, link.epoch, now, tick_age_ms)
        if refused:
            self._record_refusals(link, refused)
        link.post(wire.Started(message.batch, accepted, refused))

    def _check_duplicate(self, task: wire.TaskStart) -> str | None:
        """Return `None` for a new task, "" for a repeated start, or a refusal."""
        running = self._running.get(task.task_id)
        if running is not None:
            return "" if running.start.attempt == task.attempt else "running"
        finished = self._finished.get(task.task_id)
        if finished is not None and task.attempt <= finished[1].attempt:
            return "" if finished[1].attempt == task.attempt else "attempt"
        return None

    def _refuse_all(
        self, link: worker_link.Link, message: wire.Start, cause: str
    ) -> None:
        refused = [(task.task_id, cause) for task in message.tasks]
        self._record_refusals(link, refused)
        link.post(wire.Started(message.batch, [], refused))

    def _record_refusals(
        self, link: worker_link.Link, refused: list[tuple[str, str]]
    ) -> None:
        self._record.add(
            "refused", worker=self.listed.id, owner=link.owner, refused=refused
        )

    def _renew(self, lease_ms: int, tick: int) -> None:
        """Extend the lease, counted from a clock value that this worker reported."""
        now = time.monotonic()
        if tick > self._tick(now):
            return  # from an earlier incarnation
        counted_from = (tick - self._tick_offset_ms) / 1000
        self._lease_until = max(self._lease_until, counted_from + lease_ms / 1000)
        if now >= self._lease_until:
            return
        if not self._lease_timer:
            self._lease_timer = True
            self._clock.at(self._lease_until, self._check_lease, self._incarnation)

    def _check_lease(self, incarnation: int) -> None:
        if incarnation != self._incarnation:
            return
        self._lease_timer = False
        if self._paused_at is not None:
            return
        now = time.monotonic()
        if now < self._lease_until:
            self._lease_timer = True
            self._clock.at(self._lease_until, self._check_lease, incarnation)
            return
        if self._running:
            self._record.add(
                "lease_expired",
                worker=self.listed.id,
                incarnation=self._incarnation,
                tasks=len(self._running),
            )
        deadline = self._lease_until + CHECKPOINT_LIMIT_S
        for task_id in list(self._running):
            self._begin_checkpoint(task_id, now, deadline)

    def _stop(self, message: wire.Stop) -> None:
        now = time.monotonic()
        for task_id in message.task_ids:
            running = self._running.get(task_id)
            if running is None:
                continue
            if message.mode == "checkpoint":
                self._begin_checkpoint(task_id, now, now + CHECKPOINT_LIMIT_S)
            else:
                self._finish(task_id, running, "failed", "stopped", b"", now)
