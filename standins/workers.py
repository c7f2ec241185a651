"""Stand-in for workers: many of them in one process, each on its own port."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import random  # noqa: E402
import time  # noqa: E402

import defopt  # noqa: E402
import gevent  # noqa: E402
import msgspec  # noqa: E402
from gevent import event, server  # noqa: E402

from standins import service, task_runs, worker_link  # noqa: E402
from toucanspring import resources, stream, wire  # noqa: E402
from toucanspring.adapters import vms  # noqa: E402

RACK_SIZE = 8
REPORT_INTERVAL_S = 0.5
MAX_TICK_AGE_MS = 1000
LEASE_GRACE_S = 2.0
CHECKPOINT_LIMIT_S = 0.9 * LEASE_GRACE_S
USAGE_LAG_S = 1.0


class WorkerFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /faults`; `workers` empty means all, absent fields stay as set.

    `die` drops all tasks and connections; the worker returns with a new incarnation
    after `return_after_ms`, or on a later `revive`. `pause_ms` freezes it, its tasks
    included. `fail_all` fails each new task, `cut` closes the streams once.
    `blocked_owners` and `blocked_addresses` (`address` or `address:port`) hold back
    all traffic with these owners; it is delivered late when they are unblocked.
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


class Worker(task_runs.TaskHost):
    """Run tasks by timers under a lease, and enforce epoch, tick age and capacity."""

    def __init__(
        self,
        listed: vms.Vm,
        clock: task_runs.Clock,
        record: service.Record,
        rng: random.Random,
    ) -> None:
        super().__init__(listed, clock, record)
        self.links: set[worker_link.Link] = set()
        self.gate = event.Event()
        self._rng = rng
        self._server: server.StreamServer | None = None
        self._epochs: dict[int, int] = {}
        self._partition = -1
        self._lease_until = 0.0
        self._lease_timer = False
        self._report_series = 0
        self._blocked_owners: frozenset[str] = frozenset()
        self._blocked_addresses: frozenset[str] = frozenset()

    # Life cycle

    def revive(self) -> None:
        """Start with a new incarnation and no memory of earlier work."""
        if self._server is not None:
            return
        # Clocks of different boots are not comparable; offsets make that visible.
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
        first = time.monotonic() + self._rng.random() * REPORT_INTERVAL_S
        self._report_series += 1
        self._clock.at(first, self._report_regularly, self._report_series)

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
        self._used = resources.ZERO
        self._epochs.clear()
        self._partition = -1
        self._lease_until = 0.0
        self._paused_at = None
        self.cut()

    def cut(self) -> None:
        """Close all streams; tasks go on."""
        for link in list(self.links):
            link.stream.close()
        self._open_gate()

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
        lapsed = now >= self._lease_until + LEASE_GRACE_S
        for task_id, running in list(self._running.items()):
            running.advance(paused_at)
            running.changed_at = now
            if lapsed:
                self._checkpoint_now(task_id, running, now, ran_until=paused_at)
            else:
                self._schedule_end(task_id, running)
        if not lapsed and not self._lease_timer:
            self._check_lease(incarnation)
        self._report_series += 1
        self._report_regularly(self._report_series)
        self._open_gate()

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
        self._open_gate()

    def holds_back(self, link: worker_link.Link) -> bool:
        """Return whether traffic on a link waits at present."""
        return (
            self._paused_at is not None
            or link.owner in self._blocked_owners
            or link.peer in self._blocked_addresses
            or link.peer.rpartition(":")[0] in self._blocked_addresses
        )

    def _open_gate(self) -> None:
        self.gate.set()
        self.gate.clear()

    def _accept(self, sock: object, address: tuple[str, int]) -> None:
        connected = stream.Stream(sock, wire.decode_worker)
        link = worker_link.Link(self, connected, f"{address[0]}:{address[1]}")
        self.links.add(link)
        link.serve()

    # Messages

    def handle(self, link: worker_link.Link, message: object) -> bool:
        """Carry out one message; `False` ends the connection."""
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
        """Forget finished tasks, or the lease of an owner that needs it no more."""
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
            # A worker serves one partition at a time, until its lease has expired.
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

    def _post_attached(self, link: worker_link.Link, now: float) -> None:
        running = [
            wire.RunningTask(
                task_id,
                entry.start.attempt,
                entry.start.demand,
                entry.start.team,
                int((now - entry.started_at) * 1000),
            )
            for task_id, entry in self._running.items()
        ]
        finished = [
            task
            for partition, task in self._finished.values()
            if partition == link.partition
        ]
        # Finished tasks beyond the frame limit are shown as running and reported as
        # finished right after; omitted, they would be taken for tasks never started.
        size = task_runs.FINISHED_OVERHEAD_BYTES * len(running)
        shown = []
        later = []
        for task in finished:
            size += len(task.answer) + task_runs.FINISHED_OVERHEAD_BYTES
            if size <= task_runs.MAX_REPORT_BYTES:
                shown.append(task)
            else:
                size -= len(task.answer)
                later.append(task)
                running.append(
                    wire.RunningTask(task.task_id, task.attempt, resources.ZERO, "")
                )
        self._unreported = []
        link.post(
            wire.Attached(
                self.listed.id,
                self._incarnation,
                self.listed.resources,
                self.listed.availability_zone,
                self.listed.rack,
                self._tick(now),
                running,
                shown,
            )
        )
        for report in self._split(later, {}, now):
            link.post(report)

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
            cause = self._known(task)
            if cause == "":
                accepted.append(task.task_id)
                continue
            if cause is None and not (self._used + task.demand).fits(capacity):
                cause = "capacity"
            if cause is not None:
                refused.append((task.task_id, cause))
                continue
            accepted.append(task.task_id)
            self._run(task, link.partition, link.epoch, now, tick_age_ms)
        if refused:
            self._record_refusals(link, refused)
        link.post(wire.Started(message.batch, accepted, refused))

    def _known(self, task: wire.TaskStart) -> str | None:
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
        stopped_by = self._lease_until + CHECKPOINT_LIMIT_S
        for task_id in list(self._running):
            self._begin_checkpoint(task_id, now, stopped_by)

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

    # Ends and reports

    def _report_regularly(self, series: int) -> None:
        if series != self._report_series or self._paused_at is not None:
            return  # `resume` and `revive` begin a new series
        now = time.monotonic()
        usage = {
            task_id: running.plan.usage or resources.ZERO
            for task_id, running in self._running.items()
            if now - running.started_at >= USAGE_LAG_S
        }
        self._report(usage)
        self._clock.at(now + REPORT_INTERVAL_S, self._report_regularly, series)

    def _report(self, usage: dict[str, resources.Resources]) -> None:
        unreported, self._unreported = self._unreported, []
        now = time.monotonic()
        for link in self.links:
            if link.partition < 0 or link.partition != self._partition:
                continue
            finished = [
                task for partition, task in unreported if partition == link.partition
            ]
            for report in self._split(finished, usage, now) or [
                wire.Report(self._tick(now), [], usage)
            ]:
                link.post(report)

    def _split(
        self,
        finished: list[wire.FinishedTask],
        usage: dict[str, resources.Resources],
        now: float,
    ) -> list[wire.Report]:
        """Return reports below the frame limit, none if there is nothing finished."""
        reports = []
        batch: list[wire.FinishedTask] = []
        size = task_runs.FINISHED_OVERHEAD_BYTES * len(usage)
        for task in finished:
            added = len(task.answer) + task_runs.FINISHED_OVERHEAD_BYTES
            if batch and size + added > task_runs.MAX_REPORT_BYTES:
                reports.append(wire.Report(self._tick(now), batch, usage))
                batch, size, usage = [], 0, {}
            batch.append(task)
            size += added
        if batch:
            reports.append(wire.Report(self._tick(now), batch, usage))
        return reports


class Workers:
    """Host the workers and their common control interface."""

    def __init__(self, workers: list[Worker], record: service.Record) -> None:
        self._workers = {worker.listed.id: worker for worker in workers}
        self._record = record

    def handle(self, request: service.Request) -> service.Response:
        """Answer one call of the control interface."""
        if request.method == "GET" and request.path == "/v1/vms":
            listed = [worker.listed for worker in self._workers.values()]
            return service.json_response(listed)
        answer = service.control(request, self._record, self._set_faults)
        return answer or service.Response(404)

    def _set_faults(self, body: bytes) -> list[str]:
        faults = msgspec.json.decode(body, type=WorkerFaults)
        names = faults.workers or list(self._workers)
        unknown = sorted(set(names) - set(self._workers))
        if unknown:
            raise msgspec.ValidationError(f"no worker named {', '.join(unknown)}")
        for name in names:
            self._workers[name].apply(faults)
        self._record.add("faults", changes=msgspec.to_builtins(faults))
        return names


def main(
    *,
    address: str = "127.0.0.1",
    port: int,
    count: int = 24,
    first_port: int,
    zones: list[str] = ["zone-a", "zone-b", "zone-c"],  # noqa: B006
    cpus: int = 32_000,
    memory: int = 65_536,
    accelerators: int = 0,
    accelerated: int = 0,
    seed: int = 0,
) -> None:
    """Serve workers on consecutive ports, and one control interface.

    :param address: IP address to listen on.
    :param port: Port of the control interface; `GET /v1/vms` lists the workers.
    :param count: Number of workers.
    :param first_port: Port of the first worker.
    :param zones: Availability zones, assigned in turn; racks hold eight workers.
    :param cpus: Millicores of a worker.
    :param memory: MiB of memory of a worker.
    :param accelerators: Accelerators of an accelerated worker.
    :param accelerated: Number of workers that have accelerators.
    :param seed: Seed of incarnations and clock offsets.
    """
    record = service.Record()
    clock = task_runs.Clock()
    rng = random.Random(f"{seed}/{first_port}/{time.monotonic_ns()}")
    workers = []
    for index in range(count):
        zone = zones[index % len(zones)]
        rack = index // len(zones) // RACK_SIZE
        listed = vms.Vm(
            id=f"worker-{first_port + index}",
            role=vms.Role.WORKER,
            availability_zone=zone,
            rack=f"{zone}-rack-{rack}",
            address=address,
            port=first_port + index,
            resources=resources.Resources(
                cpus, memory, accelerators if index < accelerated else 0
            ),
        )
        worker = Worker(listed, clock, record, rng)
        worker.revive()
        workers.append(worker)
    gevent.spawn(clock.run)
    control = service.HttpServer(address, port, Workers(workers, record).handle)
    control.open()
    service.run_until_signal(f"{count} workers ready on {address}:{port}")


if __name__ == "__main__":
    defopt.run(main)
