"""Streams to the workers of the partitions that this process owns."""

from __future__ import annotations

import dataclasses
import random
import time
from collections.abc import Callable

import gevent
import gevent.event
import logbook

from toucanspring import errors, kernel, need, resources, roster, settings, wire
from toucanspring.adapters import tables, vms, workers

log = logbook.Logger(__name__)

WORKER_LEASE_S = 20.0
STOP_GRACE_S = 2.0  # a worker has stopped its tasks this long after its lease ended
DRIFT_FRACTION = 0.05  # assumed bound on the drift between monotonic clocks
RENEW_INTERVAL_S = 2.0
CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.2
MAX_RECONNECT_PAUSE_S = 3.0
POLL_INTERVAL_S = 1.0
FORGET_ABSENT_S = 600.0
WORKERS_ROW = roster.WORKERS_ROW


@dataclasses.dataclass(frozen=True, slots=True)
class FromWorker:
    """Carry a worker's message to the partition that owns the worker."""

    worker: str
    message: wire.WorkerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Say that a worker's lease and stop grace have certainly ended."""

    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class Disconnected:
    """Say that a worker's stream broke; its tasks may still run.

    `unanswered` lists the tasks whose start was sent but not confirmed.
    """

    worker: str
    unanswered: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """Say whether the VM list shows the worker as leaving or absent."""

    worker: str
    leaving: bool


def expiry_wait() -> float:
    """Return the seconds after which a lease has certainly ended everywhere."""
    return (WORKER_LEASE_S + STOP_GRACE_S) * (1 + DRIFT_FRACTION)


class Link:
    """Own the stream to one worker and watch its lease."""

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
        self.lost = False
        self._post = post
        self._may_renew = may_renew
        self._former_lease_over = former_lease_over
        self._owner = owner
        self._stream: workers.WorkerLink | None = None
        self._early: list[workers.WorkerEvent] = []
        self._tick_received_at = 0.0
        self._renewed_at = 0.0
        self._lease_base: float | None = None  # when the renewed tick was received
        self._greenlets = [gevent.spawn(self._run), gevent.spawn(self._watch_lease)]

    def close(self) -> None:
        """Close the stream and stop watching."""
        gevent.killall(self._greenlets)
        if self._stream is not None:
            self._stream.close()

    def start(self, tasks: list[wire.TaskStart]) -> bool:
        """Send starts; return False if they certainly were not sent."""
        if not self.attached or self._stream is None or self._stream.closed:
            return False
        self._stream.start(self.epoch, tasks)
        return True

    def stop(self, task_ids: list[str], mode: str) -> None:
        """Stop tasks; `mode` is `kill` or `checkpoint`."""
        if self.attached and self._stream is not None:
            self._stream.stop(self.epoch, task_ids, mode)

    def acknowledge(self, task_ids: list[str]) -> None:
        """Let the worker forget finished tasks."""
        if self.attached and self._stream is not None:
            self._stream.acknowledge(self.epoch, task_ids)

    def release(self) -> None:
        """End the worker's lease, so that another partition may attach, and close."""
        self.attached = False
        if self._stream is not None:
            self._stream.release(self.epoch)
        self.close()

    def traffic(self) -> tuple[int, int]:
        """Return the bytes sent and received on the present stream."""
        if self._stream is None:
            return 0, 0
        return self._stream.sent_bytes, self._stream.received_bytes

    def _run(self) -> None:
        pause = RECONNECT_PAUSE_S
        while True:
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
        self._early.clear()
        answer = opened.attach(self.partition, self.epoch, int(WORKER_LEASE_S * 1000))
        if isinstance(answer, errors.Failure):
            log.info("worker {}: not attached: {}", self.vm.id, answer)
            return False
        self._stream = opened
        self._tick_received_at = time.monotonic()
        self._renewed_at = 0.0
        self.attached = True
        self.lost = False
        self._renew()
        self._post(FromWorker(self.vm.id, answer))
        for message in self._early:
            self._post(FromWorker(self.vm.id, message))
        self._early.clear()
        return True

    def _detach(self, failure: errors.Failure, unanswered: list[str]) -> None:
        log.info("worker {}: disconnected: {}", self.vm.id, failure.reason)
        self.attached = False
        self._stream = None
        self._post(Disconnected(self.vm.id, unanswered))

    def _receive(self, message: workers.WorkerEvent) -> None:
        if isinstance(message, wire.Report):
            self._tick_received_at = time.monotonic()
            if self._tick_received_at - self._renewed_at >= RENEW_INTERVAL_S:
                self._renew()
            if not message.finished and not message.usage:
                return  # tells the partition nothing and would wake its task
        if self.attached:
            self._post(FromWorker(self.vm.id, message))
        else:
            # Reports that overtake the attach answer are delivered after it.
            self._early.append(message)

    def _renew(self) -> None:
        if self._stream is None or not self._may_renew():
            return
        # The worker counts the lease from the tick, which it read before it sent the
        # report. Counting from the receipt of that report is therefore never early.
        self._lease_base = self._tick_received_at
        self._renewed_at = time.monotonic()
        self._stream.renew(self.epoch, int(WORKER_LEASE_S * 1000), self._stream.tick)

    def _watch_lease(self) -> None:
        """Report the worker as lost once no lease of anybody can still be valid."""
        former_over_at: float | None = None
        while True:
            gevent.sleep(0.5)
            now = time.monotonic()
            if former_over_at is None and self._former_lease_over():
                former_over_at = now
            if self.lost or self.attached or former_over_at is None:
                continue
            base = max(former_over_at, self._lease_base or 0.0)
            if now - base > expiry_wait():
                self.lost = True
                self._lease_base = None
                self._post(Lost(self.vm.id))


class Service:
    """Keep links to the workers of owned partitions (kernel name `fleet`)."""

    def __init__(self, core: kernel.Kernel, options: settings.Settings) -> None:
        self._kernel = core
        self._settings = options
        self._links: dict[int, dict[str, Link]] = {}
        self.roster = roster.Roster()
        self._vms: dict[str, vms.Vm] = {}
        self._absent_since: dict[str, float] = {}
        self._posts: dict[int, tuple[int, Callable[[object], None]]] = {}
        self._leaving: dict[str, bool] = {}
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin polling the VM list and the worker map."""
        self._kernel.find("claims").holds_back = self.has_unreachable
        self._greenlet = gevent.spawn(self._poll)

    def stop(self) -> None:
        """Close all links."""
        if self._greenlet is not None:
            self._greenlet.kill()
        for partition in list(self._posts):
            self.remove_partition(partition)

    def add_partition(
        self, partition: int, epoch: int, post: Callable[[object], None]
    ) -> None:
        """Connect to the workers of a partition and post their messages."""
        self._posts[partition] = (epoch, post)
        self._links[partition] = {}
        self._update_links(partition)

    def remove_partition(self, partition: int) -> None:
        """Close the links of a partition."""
        self._posts.pop(partition, None)
        for link in self._links.pop(partition, {}).values():
            link.close()

    def link(self, partition: int, worker: str) -> Link | None:
        """Return the link to a worker of an owned partition."""
        return self._links.get(partition, {}).get(worker)

    def traffic(self) -> tuple[int, int]:
        """Return the bytes sent to and received from workers over present streams."""
        pairs = [
            link.traffic() for links in self._links.values() for link in links.values()
        ]
        return sum(pair[0] for pair in pairs), sum(pair[1] for pair in pairs)

    def links(self, partition: int) -> dict[str, Link]:
        """Return the links of an owned partition by worker."""
        return self._links.get(partition, {})

    def has_unreachable(self, partition: int) -> bool:
        """Return whether a worker may still run tasks but cannot be reached.

        A new owner would have to wait for its lease from the beginning.
        """
        return any(
            not (link.attached or link.lost) for link in self.links(partition).values()
        )

    def is_leaving(self, worker: str) -> bool:
        """Return whether the VM list shows a worker as leaving or not at all."""
        return self._leaving.get(worker, False)

    def assigned(
        self, partition: int
    ) -> dict[str, resources.Resources | None] | errors.Failure:
        """Read which workers belong to a partition, with their listed capacity."""
        failure = self._read_assignment()
        if failure is not None:
            return failure
        if not self._vms:
            listed = self._kernel.find("store").vms.list()
            if not isinstance(listed, errors.Failure):
                self._see_vms(listed)
        return {
            worker: self._capacity(worker)
            for worker in self.roster.workers_of(partition)
        }

    def listed(self, partition: int) -> dict[str, need.Listed]:
        """Return the workers of a partition by their entries in the VM list."""
        return self._listed(lambda owner: owner == partition)

    def elsewhere(self, partition: int) -> dict[str, need.Listed]:
        """Return the workers of all other partitions."""
        return self._listed(lambda owner: owner != partition)

    def _listed(self, matches: Callable[[int], bool]) -> dict[str, need.Listed]:
        return {
            worker: need.Listed(
                self._vms[worker].availability_zone,
                self._capacity(worker),
                self.is_leaving(worker),
            )
            for worker, owner in self.roster.partitions.items()
            if matches(owner) and worker in self._vms
        }

    def reread(self) -> None | errors.Failure:
        """Read which workers belong to which partition, and follow changes."""
        failure = self._read_assignment()
        if failure is None:
            for partition in list(self._posts):
                self._update_links(partition)
        return failure

    def hand_over(self, partition: int, worker: str) -> None:
        """Close the link to a worker that was moved to another partition."""
        link = self._links.get(partition, {}).pop(worker, None)
        if link is not None:
            link.release()

    def _capacity(self, worker: str) -> resources.Resources | None:
        listed = self._vms.get(worker)
        if listed is None or listed.resources == resources.ZERO:
            return None
        return listed.resources

    def _poll(self) -> None:
        while True:
            try:
                self._poll_once()
            except Exception:
                log.exception("polling the VM list failed")
            gevent.sleep(POLL_INTERVAL_S)

    def _poll_once(self) -> None:
        if not self._posts:
            return
        listed = self._kernel.find("store").vms.list()
        if not isinstance(listed, errors.Failure):
            self._see_vms(listed)
        if self._read_assignment() is None and 0 in self._posts:
            self._assign_workers()
        for partition in list(self._posts):
            self._update_links(partition)

    def _see_vms(self, listed: list[vms.Vm]) -> None:
        now = time.monotonic()
        workers = {vm.id: vm for vm in listed if vm.role == "worker"}
        self._vms.update(workers)
        for worker in self._vms:
            if worker in workers:
                self._absent_since.pop(worker, None)
            else:
                self._absent_since.setdefault(worker, now)
        for worker in self._vms:
            vm = workers.get(worker)
            leaving = vm is None or vm.state == "leaving"
            if self._leaving.get(worker, False) != leaving:
                self._leaving[worker] = leaving
                self._post_leaving(worker, leaving)

    def _post_leaving(self, worker: str, leaving: bool) -> None:
        entry = self._posts.get(self.roster.partitions.get(worker, -1))
        if entry is not None:
            entry[1](Leaving(worker, leaving))

    def _read_assignment(self) -> None | errors.Failure:
        rows = self._kernel.find("store").tables.read([WORKERS_ROW])
        if isinstance(rows, errors.Failure):
            return rows
        row = rows[WORKERS_ROW]
        self.roster.take(row, time.monotonic())
        return None

    def _assign_workers(self) -> None:
        """Give new workers to the partitions that have the fewest."""
        now = time.monotonic()
        forgotten = [
            worker
            for worker, since in self._absent_since.items()
            if now - since > FORGET_ABSENT_S and worker in self.roster.partitions
        ]
        new = sorted(
            (worker for worker in self._vms if worker not in self.roster.partitions),
            key=lambda worker: (
                self._vms[worker].availability_zone,
                self._vms[worker].rack,
                worker,
            ),
        )
        new = [worker for worker in new if worker not in self._absent_since]
        if not new and not forgotten:
            return
        assigned = {
            worker: partition
            for worker, partition in self.roster.partitions.items()
            if worker not in forgotten
        }
        assign(assigned, new, self._settings.partitions)
        answer = self._kernel.find("store").tables.transact(
            {WORKERS_ROW: self.roster.version},
            {WORKERS_ROW: roster.encode(assigned)},
            (),
        )
        if isinstance(answer, tables.Committed):
            log.info("assigned {} workers, dropped {}", len(new), len(forgotten))
        self._read_assignment()

    def _update_links(self, partition: int) -> None:
        epoch, post = self._posts[partition]
        claims = self._kernel.find("claims")
        links = self._links[partition]
        wanted = self.roster.workers_of(partition) & self._vms.keys()
        for worker in wanted - links.keys():
            links[worker] = Link(
                partition,
                epoch,
                self._vms[worker],
                post,
                lambda: claims.may_renew_workers(partition, time.monotonic()),
                lambda: claims.previous_owner_gone(partition, time.monotonic()),
                self._settings.process,
            )
            if self._leaving.get(worker):
                post(Leaving(worker, True))
        for worker in wanted & links.keys():
            links[worker].vm = self._vms[worker]  # a replaced VM has a new address
        for worker in links.keys() - wanted:
            if links[worker].lost:
                links.pop(worker).close()


def assign(assigned: dict[str, int], new: list[str], partitions: int) -> None:
    """Add new workers to a worker map, each to the partition with the fewest."""
    counts = dict.fromkeys(range(partitions), 0)
    for partition in assigned.values():
        if partition in counts:
            counts[partition] += 1
    for worker in new:
        partition = min(counts, key=lambda index: (counts[index], index))
        assigned[worker] = partition
        counts[partition] += 1
