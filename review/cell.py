"""A small deployment: the project's processes, the platform's stand-ins, callers."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import json
import os
import pathlib
import random
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable

import executors
import httpio
import store

ROOT = pathlib.Path(__file__).resolve().parent.parent
ADDRESS = "127.0.0.1"
# Below the ephemeral ports, which the system uses for outgoing connections.
FIRST_PORT, LAST_PORT = 12_000, 32_000
ZONES = ("bern-a", "olten-b", "aarau-c")
REGION = "ch-mittelland"
SERVICE, HOST, PREFIX = "probenpult", "nony24.example", "/lohu930/"
RESTART_S = 0.5  # after which the platform starts a process again
START_TIMEOUT_S = 20.0
TIMEOUT_S = 3.0  # of a caller's request
RETRIES = 4
STATE_TRIES = 2
RETRY_PAUSE_S = 0.5
IDLE_S = 3.0  # for which nothing of a submission may run while its turn has come
SAMPLE_S = 0.1
LIMIT_S = 112.0  # of a case, so that it ends within 120 s with all its processes

HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """Raised if a case could not run, so that it says nothing of the rule."""


class Record:
    """Write what was sent, answered and run to a file, with seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def __call__(self, event: str, **fields: object) -> None:
        """Write one event."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


# Cases that run at the same time take their ports from different blocks: a process
# binds its ports only when it starts.
BLOCK_PORTS = 200
_given_ports: set[int] = set()


@functools.cache
def _take_block() -> socket.socket:
    """Bind the first port of a block that no other case has, until the end."""
    while True:
        first = random.randrange(FIRST_PORT, LAST_PORT, BLOCK_PORTS)
        guard = socket.socket()
        try:
            guard.bind((ADDRESS, first))
            return guard
        except OSError:
            guard.close()


def find_ports(count: int) -> list[int]:
    """Return ports that are free at present and were not returned before."""
    first = _take_block().getsockname()[1]
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(first + 1, first + BLOCK_PORTS)
        if port in _given_ports:
            continue
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((ADDRESS, port))
            found.append(port)
            _given_ports.add(port)
    return found


@dataclasses.dataclass(slots=True)
class Tenant:
    """Hold a tenant with one key; a `max_cpu` of 0 means no upper bound."""

    name: str
    key: str
    weight: float = 100.0
    max_cpu: int = 0  # in thousandths of a core

    def show(self) -> dict:
        """Return the tenant as the configuration shows it."""
        shown = {"name": self.name, "api_keys": [self.key], "weight": self.weight}
        if self.max_cpu:
            shown["upper_bound"] = {"cpu": self.max_cpu}
        return shown


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Hold a queue as the configuration shows it."""

    name: str
    prefix: str
    priority: int = 1
    max_attempts: int = 3
    stretch: float = 4.0
    target_ms: int = 3000

    def show(self) -> dict:
        """Return the route of the queue."""
        return {
            "name": self.name, "host": HOST, "path_prefix": self.prefix,
            "service": SERVICE, "priority": self.priority,
            "max_attempts": self.max_attempts, "stretch": self.stretch,
            "target_runtime_ms": self.target_ms,
        }  # fmt: skip


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Hold the key of a submission and what its tasks need at the same time."""

    key: str
    count: int
    cpu: int
    prefix: str = PREFIX
    max_cpu: int = 0  # upper bound of its tenant


class Node:
    """Run one process of the deploy file's role, and start it again if it ends."""

    def __init__(
        self,
        name: str,
        zone: str,
        store_port: int,
        folder: pathlib.Path,
        record: Record,
    ) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._role_name, self._role = next(iter(deploy["roles"].items()))
        ports = find_ports(6)
        self.name = name
        self.front, self._ready = (ADDRESS, ports[0]), (ADDRESS, ports[1])
        self._metrics_port = ports[5]
        self._record = record
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._settings.write_text(_render_settings(name, zone, ports, store_port))
        self._child: asyncio.subprocess.Process | None = None
        self._keeper: asyncio.Task | None = None
        self._powered = asyncio.Event()

    def start(self) -> None:
        """Start the process, and again whenever it has ended while there is power."""
        self._powered.set()
        if self._keeper is None:
            self._keeper = asyncio.create_task(self._keep())

    async def _keep(self) -> None:
        while True:
            await self._powered.wait()
            with self._log.open("ab") as sink:
                self._child = await asyncio.create_subprocess_exec(
                    *self._role["run"].split(),
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=sink,
                    stderr=sink,
                    cwd=ROOT,
                    env=self._environment(),
                )
            self._record("process_started", node=self.name, pid=self._child.pid)
            status = await self._child.wait()
            self._record("process_ended", node=self.name, status=status)
            await asyncio.sleep(RESTART_S)

    def _environment(self) -> dict[str, str]:
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        return {
            **kept,
            **self._role.get("env", {}),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TOUCANSPRING_SETTINGS": str(self._settings),
            # All nodes share one address here, so each needs a port of its own.
            "TOUCANSPRING_METRICS_PORT": str(self._metrics_port),
        }

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._child is not None and self._child.returncode is None:
            self._record("signal", node=self.name, signal=number.name)
            self._child.send_signal(number)

    def cut_power(self) -> None:
        """Kill the process and leave it down until `start`."""
        self._powered.clear()
        self.send(signal.SIGKILL)

    async def is_ready(self) -> bool:
        """Return whether the process takes new connections."""
        answer = await httpio.call(
            self._ready, "GET", "/toucanspring/ready", {}, b"", 1.0
        )
        return answer is not None and answer[0] == 200

    async def stop(self) -> None:
        """End the process for good."""
        if self._keeper is not None:
            self._keeper.cancel()
        child = self._child
        if child is not None and child.returncode is None:
            child.kill()
            await child.wait()


def _render_settings(name: str, zone: str, ports: list[int], store_port: int) -> str:
    low, high = ports[3:5]
    zones = "\n".join(f'{each} = "{REGION}"' for each in ZONES)
    return f"""\
node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "{ADDRESS}"
zone = "{zone}"
region = "{REGION}"
internal_ports = [{low},{high}]
seeds = []
bootstrap = true
include_in_tolerance = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform"]
orders = "call"
[zones]
{zones}
[listen_addrs]
front = "{ADDRESS}:{ports[0]}"
ready = "{ADDRESS}:{ports[1]}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
grace_s = 6
recovery_s = 12
max_hold_ms = {executors.MAX_HOLD_MS}
stop_timeout_ms = 400
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
[platform]
address = "{ADDRESS}:{store_port}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
txn_ms = 6.0
partition_writes_s = 200
row_bytes = {store.ROW_BYTES}
across = false
history_s = 20
"""


class Cell:
    """Own the platform's stand-ins and the processes while the context is open."""

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self.record = record
        self.store = store.Store()
        self.store.on_refused = lambda reason: record("store_refused", reason=reason)
        self.nodes: list[Node] = []
        self.executors: list[executors.Executor] = []
        self.tenants: list[Tenant] = []
        self._folder = folder
        self._version = 7

    async def open(self, nodes: int, count: int, per_rack: int = 8) -> None:
        """Start the store and `count` executors, then the processes."""
        port, *free = find_ports(1 + count)
        await self.store.server.start((ADDRESS, port))
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            rack = f"{zone}-{number // per_rack}"
            self._add_executor(secrets.token_hex(8), zone, rack, free[number])
        for number in range(nodes):
            zone = ZONES[number % len(ZONES)]
            self.nodes.append(
                Node(f"edge-{zone}-{number}", zone, port, self._folder, self.record)
            )

    def _add_executor(
        self, name: str, zone: str, rack: str, port: int
    ) -> executors.Executor:
        added = executors.Executor(
            name, SERVICE, zone, rack, (ADDRESS, port), self.store, self.record
        )
        self.executors.append(added)
        return added

    async def replace(self, lost: executors.Executor, name: str) -> None:
        """Boot an executor with another id on the machine of one that has crashed."""
        added = self._add_executor(name, lost.zone, lost.rack, lost.address[1])
        added.on_start, added.on_end = lost.on_start, lost.on_end
        await added.boot(lost.machine)

    async def configure(self, *queues: Queue) -> None:
        """Write the next version of the configuration, with one queue by default."""
        self._version += 3
        shown = queues or [Queue("proofs", PREFIX)]
        value = {
            "version": self._version, "routes": [queue.show() for queue in shown],
            "services": [{"name": SERVICE, "rejects_overload": False}],
            "tenants": [tenant.show() for tenant in self.tenants], "limits": {},
        }  # fmt: skip
        await self.store.write({("op", "", "config"): json.dumps(value).encode()})

    async def await_ready(self) -> None:
        """Wait until all processes take connections; raises `NotRun` if they do not."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > deadline:
                raise NotRun("the processes did not become ready")
            await asyncio.sleep(0.1)
        self.record("all_ready")

    def find_leader(self) -> Node | None:
        """Return the node that last wrote to the store under a condition.

        Found by the rows that the processes write, like the bench's `leader`.
        """
        text = self.store.read_value(("seat", "coordinator", "coordinator"))
        return next((n for n in self.nodes if n.name.encode() in text), None)

    async def call(
        self,
        method: str,
        job: str,
        key: str,
        body: bytes = b"",
        node: Node | None = None,
        prefix: str = PREFIX,
    ) -> tuple[int, bytes] | None:
        """Send one request of a caller to a node, any one by default."""
        node = node or random.choice(self.nodes)
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "Toucanspring-Credential": key,
            "Toucanspring-Timeout-Ms": f"{TIMEOUT_S * 1000:.0f}",
        }
        answer = await httpio.call(
            node.front, method, f"{prefix}{job}", headers, body, TIMEOUT_S
        )
        status = answer[0] if answer is not None else "none"
        text = answer[1].decode(errors="replace") if answer is not None else ""
        self.record("call", method=method, job=job, node=node.name, status=status,
                    answer=text)  # fmt: skip
        return answer

    async def submit(
        self, job: str, key: str, submission: dict, prefix: str = PREFIX
    ) -> bool:
        """Submit a job with a caller's retries; return whether it was accepted."""
        body = json.dumps(submission).encode()
        for _ in range(1 + RETRIES):
            answer = await self.call("POST", job, key, body, prefix=prefix)
            if answer is not None and 200 <= answer[0] < 300:
                return True
            await asyncio.sleep(RETRY_PAUSE_S)
        return False

    async def read_state(self, job: str, key: str, prefix: str = PREFIX) -> str:
        """Return the state of a job, or "" if no node tells it in some tries."""
        for _ in range(STATE_TRIES):
            answer = await self.call("GET", job, key, prefix=prefix)
            if answer is not None and answer[0] == 200:
                return json.loads(answer[1])["state"]
            if answer is not None and answer[0] == 410:
                return "unknown"
            await asyncio.sleep(RETRY_PAUSE_S)
        return ""

    async def find_idle(self, jobs: dict[str, Demand]) -> list[str]:
        """Return the breaks of LOST: jobs of which nothing runs for 3 s.

        Counted only while there is room for the job twice over and less than half of
        the capacity is in use, in each sample. Where its tenant has an upper bound, all
        tenants together must have less than half of it running.
        """
        left = set()
        for job, demand in jobs.items():
            state = await self.read_state(job, demand.key, demand.prefix)
            if state != "completed":
                left.add(job)
        began = time.monotonic()
        while left and time.monotonic() - began <= IDLE_S:
            up = [each for each in self.executors if each.up]
            free = [each.machine.cpu - each.used_cpu() for each in up]
            used = 1 - sum(free) / sum(each.machine.cpu for each in up)
            in_use = sum(each.used_cpu() for each in up)
            running = {task.partition(".")[0] for each in up for task in each.running}
            left = {
                job
                for job in left - running
                if used < 0.5
                and sum(cpu // jobs[job].cpu for cpu in free) >= 2 * jobs[job].count
                and (not jobs[job].max_cpu or 2 * in_use < jobs[job].max_cpu)
            }
            await asyncio.sleep(SAMPLE_S)
        breaks = []
        for job in sorted(left):
            state = await self.read_state(job, jobs[job].key, jobs[job].prefix)
            if state != "completed":
                breaks.append(
                    f"LOST: {job} is {state or '?'} and nothing of it ran for "
                    f"{IDLE_S:.0f} s, with room for it twice over; in use: {used:.0%}"
                )
                self.record("broken", text=breaks[-1])
        return breaks

    async def close(self) -> None:
        """End the processes and the stand-ins."""
        await asyncio.gather(*(node.stop() for node in self.nodes))
        for executor in self.executors:
            executor.crash()
        self.store.server.abort()


@contextlib.asynccontextmanager
async def _open(record: Record) -> AsyncIterator[Cell]:
    with tempfile.TemporaryDirectory() as folder:
        cell = Cell(record, pathlib.Path(folder))
        try:
            yield cell
        finally:
            await cell.close()
            if keep := os.environ.get("KEEP_LOGS"):
                for path in pathlib.Path(folder).glob("*.log"):
                    (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())


def run(
    folder: pathlib.Path, case: Callable[[Cell, bool], Awaitable[list[str]]]
) -> int:
    """Run a case that returns the breaks of its rule; return the exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def play() -> list[str]:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(LIMIT_S), _open(record) as cell:
            return await case(cell, trouble)

    try:
        breaks = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        # Any other error of a case says nothing of the rule either.
        record("not_run", reason=repr(error))
        print(f"not run: {error!r}", file=sys.stderr)
        return NOT_RUN
    finally:
        record.close()
    for text in breaks:
        print(text)
    print("rule broken" if breaks else "rule held")
    return BROKEN if breaks else HELD


def make_id() -> str:
    """Return an id that a caller chooses for a submission."""
    return secrets.token_hex(8)
