"""Starts and stops stand-ins and daemons for tests, the demo and benchmarks."""

from __future__ import annotations

import contextlib
import dataclasses
import hashlib
import http.client
import json
import pathlib
import shutil
import sys
import tempfile
from collections.abc import Callable, Sequence

import msgspec

from standins import ports, processes
from toucanspring.adapters import vms

ZONES = ("zone-a", "zone-b", "zone-c")
START_ATTEMPTS = 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class DaemonOptions:
    """Options of a `toucanspringd` command line; the service addresses are URLs."""

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


def daemon_command(options: DaemonOptions) -> list[str]:
    """Return the command line of `toucanspringd`."""
    command = [sys.executable, "-m", "toucanspring.daemon"]
    for field in dataclasses.fields(options):
        if field.name != "extra":
            name = field.name.replace("_", "-")
            command += [f"--{name}", str(getattr(options, field.name))]
    return [*command, *options.extra]


def call(
    port: int,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> tuple[int, bytes]:
    """Make one HTTP call on the loopback address; a body of bytes is sent unchanged."""
    connection = http.client.HTTPConnection(ports.ADDRESS, port, timeout=timeout_s)
    with contextlib.closing(connection):
        content = body if isinstance(body, bytes | None) else msgspec.json.encode(body)
        connection.request(method, path, content, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()


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
        build_command: Callable[[DaemonOptions], list[str]] = daemon_command,
    ) -> None:
        self.zones = tuple(zones)
        self.partitions = partitions
        self.operator_key = "operator-key-of-this-test-cluster"
        self.peer_token = "peer-token-of-this-test-cluster"
        self._reservations: list[ports.PortReservation] = []
        self.processes: dict[str, processes.ManagedProcess] = {}
        self.control_ports: dict[str, int] = {}
        self.service_ports: dict[str, int] = {}
        self.daemon_options: dict[str, DaemonOptions] = {}
        self.ready_daemons: set[str] = set()  # a load balancer would use these
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
        self.publish(self.list_vms())

    def stop(self) -> None:
        """Stop the daemons, then the stand-ins."""
        for name in reversed(list(self.processes)):
            self.processes.pop(name).stop()
        while self._reservations:
            self._reservations.pop().close()

    # Stand-ins

    def list_vms(self) -> list[vms.Vm]:
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
        self._reservations.append(ports.PortReservation(count))
        return self._reservations[-1].first

    def _start_service(self, name: str) -> None:
        for attempt in range(START_ATTEMPTS):
            port = self._reserve(2)
            options = ["--port", str(port), "--control-port", str(port + 1)]
            if self._try_start(name, name, options, attempt):
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
            if self._try_start(name, module, options, attempt):
                self.control_ports[name] = port
                return

    def _try_start(
        self, name: str, module: str, options: Sequence[str], attempt: int
    ) -> bool:
        """Start a stand-in; return `False` if another process has taken its ports."""
        command = [sys.executable, "-m", f"standins.{module}", *options]
        process = processes.ManagedProcess(name, command, self.directory)
        try:
            processes.wait_until(process, lambda: " ready on " in process.read_output())
        except processes.StartFailed:
            if attempt == START_ATTEMPTS - 1 or "in use" not in process.read_output():
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
    ) -> DaemonOptions:
        """Start a `toucanspringd`; a known name restarts on its former ports."""
        options = self.daemon_options.get(name)
        if options is None:
            port = self._reserve(2)
            zone = self.zones[len(self.daemon_options) % len(self.zones)]
            options = DaemonOptions(
                process=name,
                address=ports.ADDRESS,
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
            self.daemon_options[name] = options
        process = processes.ManagedProcess(
            name, self._build_command(options), self.directory
        )
        self.processes[name] = process
        if wait:
            self.wait_ready(name)
        return options

    def wait_ready(
        self, name: str, timeout_s: float = processes.START_TIMEOUT_S
    ) -> None:
        """Wait until a daemon answers `/readyz` with 200."""
        port = self.daemon_options[name].http_port

        def is_ready() -> bool:
            try:
                return call(port, "GET", "/readyz", timeout_s=1.0)[0] == 200
            except OSError:
                return False

        processes.wait_until(self.processes[name], is_ready, timeout_s)
        self.ready_daemons.add(name)

    def kill_daemon(self, name: str) -> None:
        """Kill a daemon, as a crash of its VM would."""
        self.ready_daemons.discard(name)
        self.processes.pop(name).kill()

    def stop_daemon(self, name: str, timeout_s: float = 60.0) -> int:
        """Stop a daemon gracefully and return its exit status."""
        self.ready_daemons.discard(name)
        return self.processes.pop(name).stop(timeout_s)

    def url(self, name: str) -> str:
        """Return the URL of the tables, the objects or the VM list."""
        return f"http://{ports.ADDRESS}:{self.service_ports[name]}"
