"""The processes under test, the platform around them and the proxies in between."""

from __future__ import annotations

import contextlib
import dataclasses
import pathlib
import random
import signal
import sys
import time

import gevent

from soak import invariants, proxy
from standins import lease_workers, ports, processes, rowstore
from toucanspring import errors, resources
from toucanspring.adapters import exchange
from toucanspring.coordinator import candidacy, catalogue, job_specs
from toucanspring.coordinator import ports as types

PLATFORM = processes.ROOT / "platform"
if str(PLATFORM) not in sys.path:
    sys.path.append(str(PLATFORM))

import emulator  # noqa: E402  from the folder of the adapter

ADDRESS = "127.0.0.1"
NOWHERE = f"{ADDRESS}:1"  # a port without a listener
ZONES = ("a", "b", "c")
POOL, KEY = "pool", "key"
FIRST_QUEUE, SECOND_QUEUE = "jobs", "more"
ATTEMPTS = {FIRST_QUEUE: 3, SECOND_QUEUE: 2}
PORTS_PER_PROCESS = 4
HEARTBEAT_S = 1.5
RESTART_S = 0.5  # after which the platform restarts a process that has ended
# No process restarts faster than this; the coordinator relies on 0.2 s.
WORKER_RESTART_S = 0.3
RUN_TIME_RANGE_S = (0.05, 1.2)
FAILING_FRACTION = 0.4  # of the jobs have runs that fail
FAILED_FRACTION = 0.4  # of the runs of these jobs
STRONG = candidacy.Capacity(cores=3.6, link_mbps=1000.0, memory_mb=8192.0)
WEAK_CORES_RANGE = (0.2, 1.2)
WEAK_LINKS_MBPS = (5.0, 20.0, 100.0)
WEAK_MEMORY_MB = 512.0


def choose_capacities(
    rng: random.Random, names: list[str]
) -> dict[str, candidacy.Capacity]:
    """Make one or two processes strong and the others weak."""
    strong = rng.sample(names, min(len(names), rng.choice((1, 2))))
    return {
        name: STRONG
        if name in strong
        else candidacy.Capacity(
            cores=round(rng.uniform(*WEAK_CORES_RANGE), 2),
            link_mbps=rng.choice(WEAK_LINKS_MBPS),
            memory_mb=WEAK_MEMORY_MB,
        )
        for name in names
    }


def draw_failure(seed: int, task: str, run: int) -> bool:
    """Return whether a run fails by its own fault; depends on its name and the seed."""
    job = random.Random(f"failing job {task.partition('.')[0]} of {seed}")
    if job.random() >= FAILING_FRACTION:
        return False
    return random.Random(f"{task} {run} of {seed}").random() < FAILED_FRACTION


class Cell:
    """The processes, the workers, the store and the proxies, as a context manager."""

    def __init__(
        self,
        rng: random.Random,
        folder: pathlib.Path,
        daemons: int,
        workers: int,
        capacity_rng: random.Random | None = None,  # None: all alike
        queues: tuple[str, ...] = (FIRST_QUEUE,),
    ) -> None:
        self.rng = rng
        self.store = rowstore.MemoryStore()
        self.workers = lease_workers.LeaseWorkers()
        self.checker = invariants.InvariantChecker(self.workers)
        self.daemons = [f"entry-{number}" for number in range(1, daemons + 1)]
        self.capacities: dict[str, candidacy.Capacity] = {}
        if capacity_rng is not None:
            self.capacities = choose_capacities(capacity_rng, self.daemons)
        self.proxies: dict[str, proxy.Proxy] = {}
        self.caller_ports: dict[str, int] = {}  # by process, without a proxy
        self.version = 0
        self.attempts = {name: ATTEMPTS[name] for name in queues}
        self.removed_queues: set[str] = set()
        self.terminated: set[str] = set()  # processes that the soak has ended
        self._folder = folder
        self._running: dict[str, processes.ManagedProcess] = {}
        self._settings: dict[str, pathlib.Path] = {}
        self._stack = contextlib.ExitStack()
        self._greenlets: list[gevent.Greenlet] = []
        count = 2 + 2 * workers + (PORTS_PER_PROCESS + 2) * daemons
        self._ports = iter(range(first := ports.find_ports(count), first + count))
        self._add_platform()
        for number in range(workers):
            self._add_worker(f"w{number}", ZONES[number % len(ZONES)])
        for number, name in enumerate(self.daemons):
            self._add_process(name, ZONES[number % len(ZONES)])

    def __enter__(self) -> Cell:
        self.configure()
        for name in self.daemons:
            self.start(name)
        self._greenlets = [
            gevent.spawn(self._send_heartbeats),
            gevent.spawn(self._restart_ended),
        ]
        return self

    def __exit__(self, *_exc: object) -> None:
        gevent.killall(self._greenlets)
        for each in self._running.values():
            each.kill()
        self._stack.close()

    def _add_platform(self) -> None:
        self._store_at = (ADDRESS, next(self._ports))
        self._approvals_at = (ADDRESS, next(self._ports))
        for address, resource in (
            (self._store_at, emulator.StoreResource(self.store)),
            (self._approvals_at, emulator.ApprovalResource()),
        ):
            listener = emulator.Listener(address, resource.application())
            self._stack.enter_context(listener)

    def _add_proxy(self, name: str, target: tuple[str, int]) -> str:
        found = self.proxies[name] = proxy.Proxy(next(self._ports), target)
        self._stack.enter_context(found)
        return found.address

    def _add_worker(self, name: str, zone: str) -> None:
        target = (ADDRESS, next(self._ports))
        entry = types.WorkerEntry(
            id=name, pool=POOL, address=self._add_proxy(name, target), zone=zone,
            rack=f"r-{zone}", labels=frozenset({"kind", f"r-{zone}"}),
            capacity=resources.Resources(8000, 16_384, 0), incarnation=_now_ms(),
        )  # fmt: skip
        self.workers.add(entry)

        def check(order: object) -> str:
            self.workers.run_s = self.rng.uniform(*RUN_TIME_RANGE_S)
            return self.checker.check_start(order.task, order.spec, zone)

        app = emulator.ExecutorResource(self.workers, name, check).application()
        self._stack.enter_context(emulator.Listener(target, app))
        self._register(name)

    def _add_process(self, name: str, zone: str) -> None:
        first = self.caller_ports[name] = next(self._ports)
        for _ in range(PORTS_PER_PROCESS - 1):
            next(self._ports)
        store = self._add_proxy(f"store of {name}", self._store_at)
        self._add_proxy(f"callers of {name}", (ADDRESS, first))
        approvals = f"{self._approvals_at[0]}:{self._approvals_at[1]}"
        text = emulator.render_settings(
            name, zone, first, ADDRESS, store, approvals, self.capacities.get(name)
        )
        self._settings[name] = self._folder / f"{name}.toml"
        self._settings[name].write_text(text)

    # The platform

    def configure(self) -> None:
        """Write a new version of the configuration."""
        self.version += self.rng.randrange(1, 5)
        attempts = {
            name: count
            for name, count in self.attempts.items()
            if name not in self.removed_queues
        }
        queues = tuple(
            catalogue.Queue(
                name=name, host=ADDRESS, path_prefix=f"/{name}/", pool=POOL,
                max_attempts=count, stretch=3.0, target_s=2.0,
                approval=catalogue.Approval(
                    decision_s=0.01, per_worker_s=0.0, validity_s=2.5
                ),
            )
            for name, count in attempts.items()
        )  # fmt: skip
        team = catalogue.Organisation(name="team", keys=frozenset({KEY}), weight=50)
        known = catalogue.Catalogue(
            version=self.version, queues=queues, organisations={team.name: team}
        )
        self.checker.record_attempts(attempts)
        row = types.RowId("op", "", "config")
        self.store.put(row, emulator.encode_configuration(known))

    def set_zone(self, zone: str, out: bool) -> None:
        """Take a zone out of service, or return it."""
        row = types.RowId("op", "", f"evacuate/{zone}")
        if out:
            self.store.put(row, b"{}")
            self.checker.zones_out_since[zone] = time.monotonic()
            return
        self.store.remove(row)
        self.checker.zones_out_since.pop(zone, None)

    def restart_worker(self, name: str) -> None:
        """Crash a worker and restart it as a new incarnation without any state."""
        self.proxies[name].set_mode(proxy.Reset())
        gevent.sleep(WORKER_RESTART_S)
        old = self.workers.incarnations[name].entry
        self.workers.add(dataclasses.replace(old, incarnation=_now_ms()))
        self.proxies[name].set_mode(proxy.Pass())
        self._register(name)

    @property
    def odd_kinds(self) -> list[str]:
        """Return the kinds of odd entries."""
        return list(emulator.encode_odd_executors(self._find_entry("odd")))

    def write_odd_entry(self, name: str, kind: str) -> None:
        """Write an odd entry over that of a worker, or under a new name."""
        entry = self._find_entry(name)
        self.store.put(_worker_row(name), emulator.encode_odd_executors(entry)[kind])

    def mend_odd_entry(self, name: str) -> None:
        """Turn an odd entry into a good one of a worker that takes no tasks."""
        entry = self._find_entry(name)
        self.store.put(
            _worker_row(name), emulator.encode_executor(entry, draining=True)
        )

    def mend_worker(self, name: str) -> None:
        """Let a worker write its entry again, unless it is silent."""
        if name not in self.workers.silent:
            self._register(name)

    def remove_entry(self, name: str) -> None:
        """Remove the entry of a worker."""
        self.store.remove(_worker_row(name))

    def _find_entry(self, name: str) -> types.WorkerEntry:
        """Return the entry of a worker, or one like it that nothing listens for."""
        if name in self.workers.incarnations:
            return self.workers.incarnations[name].entry
        entry = next(iter(self.workers.incarnations.values())).entry
        return dataclasses.replace(entry, id=name, address=NOWHERE)

    def _register(self, name: str) -> None:
        entry = self.workers.incarnations[name].entry
        self.store.put(
            _worker_row(name), emulator.encode_executor(entry, draining=False)
        )

    def _send_heartbeats(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_S)
            for name in self.workers.incarnations:
                if self.store.reachable and name not in self.workers.silent:
                    self._register(name)

    # The processes

    def start(self, name: str) -> None:
        """Start a process."""
        self.terminated.discard(name)
        self._running[name] = processes.ManagedProcess(
            name,
            [sys.executable, str(PLATFORM)],
            self._folder,
            {"TOUCANSPRING_SETTINGS": str(self._settings[name])},
        )

    def call(
        self, name: str, method: str, job: job_specs.Job, timeout_s: float
    ) -> exchange.Reply | errors.Failure:
        """Send a caller's request about a job to a process, on its own connection."""
        address = exchange.parse_address(self.proxies[f"callers of {name}"].address)
        endpoint = exchange.Endpoint(*address, 1)
        body = emulator.encode_job(job) if method == "POST" else b""
        headers = emulator.caller_headers(KEY, timeout_s)
        path = emulator.job_path(f"/{job.queue}/", job.id)
        try:
            return endpoint.call(method, path, body, headers, timeout_s)
        finally:
            endpoint.close()

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.terminated.add(name)
        self._running[name].signal(number)

    def _restart_ended(self) -> None:
        """Restart processes that have ended, as the platform does."""
        while True:
            gevent.sleep(RESTART_S)
            for name, each in list(self._running.items()):
                if each.status() is None:
                    continue
                if name not in self.terminated:
                    self.checker.add_violation(f"{name} ended with {each.status()}")
                self.start(name)


def _worker_row(name: str) -> types.RowId:
    return types.RowId("servers", "", name)


def _now_ms() -> int:
    return round(time.time() * 1000)
