"""Starts and stops stand-ins and daemons for tests, the demonstration and benches."""

from __future__ import annotations

import contextlib
import dataclasses
import hashlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence

import msgspec

from toucanspring.adapters import vms

ROOT = pathlib.Path(__file__).resolve().parent.parent
ADDRESS = "127.0.0.1"
ZONES = ("zone-a", "zone-b", "zone-c")
# Below the range from which the system takes ports of outgoing connections.
FIRST_PORT = 12_000
LAST_PORT = 32_000
START_ATTEMPTS = 5
RESERVE_ATTEMPTS = 1000
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0
POLL_S = 0.02


class StartFailed(Exception):
    """Raised when a process ended or did not get ready; holds its output."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DaemonFacts:
    """What a `toucanspringd` command line is built from; addresses are URLs."""

    process: str
    address: str
    http_port: int
    peer_port: int
    availability_zone: str
    partitions: int
    tables: str
    objects: str
    vms: str
    peer_token: str
    operator_key_hash: str
    extra: tuple[str, ...] = ()


def daemon_command(facts: DaemonFacts) -> list[str]:
    """Return the command line of `toucanspringd`."""
    command = [sys.executable, "-m", "toucanspring.daemon"]
    for field in dataclasses.fields(facts):
        if field.name != "extra":
            name = field.name.replace("_", "-")
            command += [f"--{name}", str(getattr(facts, field.name))]
    return [*command, *facts.extra]


class ManagedProcess:
    """Own one child process whose output goes to a file."""

    def __init__(
        self, name: str, command: Sequence[str], directory: pathlib.Path
    ) -> None:
        self.name = name
        self.command = list(command)
        self.output = directory / f"{name}.log"
        environment = {**os.environ, "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}
        with self.output.open("ab") as sink:
            self._child = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=sink,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
                env=environment,
            )

    @property
    def pid(self) -> int:
        """Return the process ID."""
        return self._child.pid

    def status(self) -> int | None:
        """Return the exit status, or `None` while the process runs."""
        return self._child.poll()

    def signal(self, number: int) -> None:
        """Send a signal, such as SIGSTOP to pause and SIGCONT to resume."""
        if self.status() is None:
            self._child.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        self._child.wait()

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """End the process with SIGTERM, or after the time limit with SIGKILL."""
        self.signal(signal.SIGCONT)  # a stopped process would not see SIGTERM
        self.signal(signal.SIGTERM)
        try:
            return self._child.wait(timeout=timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._child.returncode

    def text(self) -> str:
        """Return the output so far."""
        return self.output.read_text(errors="replace")


def call(
    port: int,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> tuple[int, bytes]:
    """Make one HTTP call on the loopback address; bytes are sent as they are."""
    connection = http.client.HTTPConnection(ADDRESS, port, timeout=timeout_s)
    with contextlib.closing(connection):
        content = body if isinstance(body, bytes | None) else msgspec.json.encode(body)
        connection.request(method, path, content, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()


def find_ports(count: int) -> int:
    """Return the first of `count` consecutive ports that are free at present."""
    with PortReservation(count) as reserved:
        return reserved.first


class PortReservation:
    """Keep consecutive ports from other clusters on this host until closed.

    The sockets bind exclusively and allow reuse only afterwards, so that a child that
    sets SO_REUSEADDR can listen while another reservation fails. Without it a cluster
    that starts during the restart of a daemon could take the daemon's port.
    """

    def __init__(self, count: int) -> None:
        self._sockets: list[socket.socket] = []
        for _ in range(RESERVE_ATTEMPTS):
            self.first = random.randrange(FIRST_PORT, LAST_PORT - count)
            if all(map(self._bind, range(self.first, self.first + count))):
                return
            self.close()
        raise StartFailed(f"no {count} consecutive free ports")

    def __enter__(self) -> PortReservation:
        return self

    def __exit__(self, *_exc: object) -> None:
        self.close()

    def close(self) -> None:
        """Release the ports."""
        while self._sockets:
            self._sockets.pop().close()

    def _bind(self, port: int) -> bool:
        sock = socket.socket()
        self._sockets.append(sock)
        try:
            sock.bind((ADDRESS, port))
        except OSError:
            return False
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return True


class Cluster:
    """Run a platform of stand-ins, and daemons on request; a context manager.

    The output of each process is in `directory`, which is kept after a failure.
    """

    def __init__(
        self,
        workers: int = 24,
        backend_servers: int = 3,
        zones: Sequence[str] = ZONES,
        partitions: int = 3,
        worker_options: Sequence[str] = (),
        backend_options: Sequence[str] = (),
        worker_processes: int = 1,
        build_command: Callable[[DaemonFacts], list[str]] = daemon_command,
    ) -> None:
        self.zones = tuple(zones)
        self.partitions = partitions
        self.operator_key = "operator-key-of-this-test-cluster"
        self.peer_token = "peer-token-of-this-test-cluster"
        self._reservations: list[PortReservation] = []
        self.processes: dict[str, ManagedProcess] = {}
        self.control_ports: dict[str, int] = {}
        self.service_ports: dict[str, int] = {}
        self.daemon_facts: dict[str, DaemonFacts] = {}
        self.ready_daemons: set[str] = set()  # those a balancer would send callers to
        self._workers = workers
        self._worker_processes = worker_processes
        self._backend_servers = backend_servers
        self._worker_options = tuple(worker_options)
        self._backend_options = tuple(backend_options)
        self._build_command = build_command
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="toucanspring-"))

    def __enter__(self) -> Cluster:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, kind: type | None, *_exc: object) -> None:
        self.stop()
        if kind is None:
            shutil.rmtree(self.directory, ignore_errors=True)

    def start(self) -> None:
        """Start the stand-ins and publish the VM list."""
        for name in ("tables", "objects", "vms"):
            self._start_service(name)
        for index in range(self._worker_processes):
            share = self._workers // self._worker_processes
            share += index < self._workers % self._worker_processes
            if share:
                name = "workers" if index == 0 else f"workers-{index}"
                self._start_hosts(name, "workers", share, self._worker_options)
        if self._backend_servers:
            self._start_hosts(
                "backend_servers",
                "backend_servers",
                self._backend_servers,
                self._backend_options,
            )
        self.publish(self.listed())

    def stop(self) -> None:
        """Stop the daemons, then the stand-ins."""
        for name in reversed(list(self.processes)):
            self.processes.pop(name).stop()
        while self._reservations:
            self._reservations.pop().close()

    # Stand-ins

    def listed(self) -> list[vms.Vm]:
        """Return the VM entries of all workers and backend servers."""
        found: list[vms.Vm] = []
        for name, port in self.control_ports.items():
            if name not in ("tables", "objects", "vms"):
                _, body = call(port, "GET", "/v1/vms")
                found += msgspec.json.decode(body, type=list[vms.Vm])
        return found

    def publish(self, listed: Sequence[vms.Vm]) -> None:
        """Set the VM list."""
        status, body = call(self.service_ports["vms"], "PUT", "/v1/vms", listed)
        if status >= 300:
            raise ValueError(body.decode())

    def set_faults(self, name: str, **faults: object) -> None:
        """Set faults of a stand-in, as its `Faults` documents them."""
        status, body = call(self.control_ports[name], "POST", "/faults", faults)
        if status != 200:
            raise ValueError(body.decode())

    def record(self, name: str) -> dict:
        """Return the record of a stand-in: events, next, dropped, now."""
        _, body = call(self.control_ports[name], "GET", "/record", timeout_s=60.0)
        return json.loads(body)

    def records(self) -> dict[str, dict]:
        """Return the records of all stand-ins by name."""
        return {name: self.record(name) for name in self.control_ports}

    def _reserve(self, count: int) -> int:
        self._reservations.append(PortReservation(count))
        return self._reservations[-1].first

    def _start_service(self, name: str) -> None:
        for attempt in range(START_ATTEMPTS):
            port = self._reserve(2)
            options = ["--port", str(port), "--control-port", str(port + 1)]
            if self._try(name, name, options, attempt):
                self.service_ports[name] = port
                self.control_ports[name] = port + 1
                return

    def _start_hosts(
        self, name: str, module: str, count: int, extra: Sequence[str]
    ) -> None:
        for attempt in range(START_ATTEMPTS):
            port = self._reserve(count + 1)
            options = ["--port", str(port), "--first-port", str(port + 1)]
            options += ["--count", str(count), "--zones", *self.zones, *extra]
            if self._try(name, module, options, attempt):
                self.control_ports[name] = port
                return

    def _try(
        self, name: str, module: str, options: Sequence[str], attempt: int
    ) -> bool:
        """Start a stand-in; another process may take its port in between."""
        command = [sys.executable, "-m", f"standins.{module}", *options]
        process = ManagedProcess(name, command, self.directory)
        try:
            _wait_until(process, lambda: " ready on " in process.text())
        except StartFailed:
            if attempt == START_ATTEMPTS - 1 or "in use" not in process.text():
                raise
            process.output.unlink()
            return False
        self.processes[name] = process
        return True

    # Daemons

    def start_daemon(
        self,
        name: str,
        availability_zone: str | None = None,
        extra: Sequence[str] = (),
        wait: bool = True,
    ) -> DaemonFacts:
        """Start a `toucanspringd`; a known name restarts on its former ports."""
        facts = self.daemon_facts.get(name)
        if facts is None:
            port = self._reserve(2)
            zone = self.zones[len(self.daemon_facts) % len(self.zones)]
            facts = DaemonFacts(
                process=name,
                address=ADDRESS,
                http_port=port,
                peer_port=port + 1,
                availability_zone=availability_zone or zone,
                partitions=self.partitions,
                tables=self.url("tables"),
                objects=self.url("objects"),
                vms=self.url("vms"),
                peer_token=self.peer_token,
                operator_key_hash=hashlib.sha256(
                    self.operator_key.encode()
                ).hexdigest(),
                extra=tuple(extra),
            )
            self.daemon_facts[name] = facts
        process = ManagedProcess(name, self._build_command(facts), self.directory)
        self.processes[name] = process
        if wait:
            self.wait_ready(name)
        return facts

    def wait_ready(self, name: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until a daemon answers `/readyz` with 200."""
        port = self.daemon_facts[name].http_port

        def is_ready() -> bool:
            try:
                return call(port, "GET", "/readyz", timeout_s=1.0)[0] == 200
            except OSError:
                return False

        _wait_until(self.processes[name], is_ready, timeout_s)
        self.ready_daemons.add(name)

    def kill_daemon(self, name: str) -> None:
        """End a daemon at once, as a crash of its VM would."""
        self.ready_daemons.discard(name)
        self.processes.pop(name).kill()

    def stop_daemon(self, name: str, timeout_s: float = 60.0) -> int:
        """End a daemon gracefully and return its exit status."""
        self.ready_daemons.discard(name)
        return self.processes.pop(name).stop(timeout_s)

    def url(self, name: str) -> str:
        """Return the URL of the tables, the objects or the VM list."""
        return f"http://{ADDRESS}:{self.service_ports[name]}"


def _wait_until(
    process: ManagedProcess,
    is_ready: Callable[[], bool],
    timeout_s: float = START_TIMEOUT_S,
) -> None:
    deadline = time.monotonic() + timeout_s
    while not is_ready():
        if process.status() is not None:
            raise StartFailed(
                f"{process.name} ended with {process.status()}:\n{process.text()}"
            )
        if time.monotonic() > deadline:
            process.stop()
            raise StartFailed(
                f"{process.name} not ready in {timeout_s} s:\n{process.text()}"
            )
        time.sleep(POLL_S)
