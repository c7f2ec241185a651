"""A small deployment: processes of the project on stand-ins of the platform."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from standin_2 import executors, http, store

ROOT = pathlib.Path(__file__).resolve().parents[2]
TICK_S = 0.002
HEARTBEAT_S = 1.5
START_S = 20.0
FIRST_PORT, LAST_PORT = 12_000, 32_000
OUTSIDE_VARIABLES = ("PATH", "HOME", "JAVA_HOME", "LANG")
KEY, TENANT, HOST = "key-of-team", "team", "queue.example"


def find_ports(count: int) -> int:
    """Return the first of some consecutive ports that are free at present."""
    while True:
        first = random.randrange(FIRST_PORT, LAST_PORT - count)
        sockets = []
        try:
            for port in range(first, first + count):
                sockets.append(socket.socket())
                sockets[-1].bind((http.LOOPBACK, port))
            return first
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()


class Deployment:
    """Run processes, executors and a store, and end them all."""

    def __init__(self, record_path: pathlib.Path, processes: int) -> None:
        self._file = record_path.open("w")
        self._began_at = time.monotonic()
        self._folder = tempfile.TemporaryDirectory()
        self._first = find_ports(200)
        self._next = self._first
        self.record = executors.Record(self.write)
        self.store = store.Store(self._take_port())
        self.executors: list[executors.Executor] = []
        self.names = [f"entry-{number}" for number in range(processes)]
        self._ports = {name: self._take_port(4) for name in self.names}
        self._children: dict[str, subprocess.Popen] = {}
        self._tasks: list[asyncio.Task] = []
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        self._command = role["run"].split()

    def write(self, line: str) -> None:
        """Add a line with the seconds since the start to the record."""
        self._file.write(f"{time.monotonic() - self._began_at:8.3f} {line}\n")

    def _take_port(self, count: int = 1) -> int:
        self._next += count
        return self._next - count

    def add_executor(self, name: str, entry: dict, **options: object) -> None:
        """Add an executor that starts with the deployment."""
        port = self._take_port()
        self.executors.append(
            executors.Executor(name, port, entry, self.store, self.record, **options)
        )

    async def __aenter__(self) -> Deployment:
        await self.store.server.start()
        for each in self.executors:
            await each.start()
        self._tasks = [
            asyncio.create_task(self._advance()),
            asyncio.create_task(self._send_heartbeats()),
        ]
        for name in self.names:
            self.start(name)
        await self._await_ready()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        for task in self._tasks:
            task.cancel()
        for child in self._children.values():
            child.send_signal(signal.SIGKILL)
            child.wait()
        for each in self.executors:
            each.crash()
        self.store.server.crash()
        self._folder.cleanup()
        self._file.close()

    def start(self, name: str) -> None:
        """Start a process with the command of the deploy file."""
        path = pathlib.Path(self._folder.name) / f"{name}.toml"
        path.write_text(self._render_settings(name))
        known = {key: os.environ[key] for key in OUTSIDE_VARIABLES if key in os.environ}
        command = [sys.executable, *self._command[1:]]
        with (path.parent / f"{name}.log").open("ab") as log:
            self._children[name] = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={
                    **known,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "TOUCANSPRING_SETTINGS": str(path),
                },
            )  # fmt: skip
        self.write(f"process {name} is started")

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self._children[name].send_signal(number)
        self.write(f"process {name} gets {signal.Signals(number).name}")

    def read_log(self, name: str) -> str:
        """Return what a process has written."""
        return (pathlib.Path(self._folder.name) / f"{name}.log").read_text()

    def _render_settings(self, name: str) -> str:
        port = self._ports[name]
        return "\n".join(
            [
                f'node_name = "{name}"', 'role = "entry"', 'zone = "a"',
                f'ip = "{http.LOOPBACK}"', f"internal_ports = [{port + 2}, {port + 3}]",
                "[listen_addrs]", f'front = "{http.LOOPBACK}:{port}"',
                f'ready = "{http.LOOPBACK}:{port + 1}"',
                "[limits]", "cpu_share = 0.537", "cores = 2", "memory_mb = 300",
                "link_mbps = 1000.0",
                "[bounds]", f"max_hold_ms = {executors.MAX_HOLD_MS}", "grace_s = 6",
                "[platform]", f'address = "{http.LOOPBACK}:{self.store.server.port}"',
                "row_bytes = 65536", "",
            ]
        )  # fmt: skip

    async def _advance(self) -> None:
        while True:
            for each in self.executors:
                each.advance()
            await asyncio.sleep(TICK_S)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for each in self.executors:
                if each.is_up:
                    each.register()

    async def _await_ready(self) -> None:
        deadline = time.monotonic() + START_S
        for name in self.names:
            port = self._ports[name] + 1
            while (await http.call(port, "GET", "/toucanspring/ready", {}))[0] != 200:
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{name} does not become ready")
                await asyncio.sleep(0.1)

    def judge(self) -> int:
        """Print what was broken, and return the exit status of the case."""
        self.record.check_done_twice()
        for text in self.record.broken:
            print(text)
        count = sum(len(each) for each in self.record.runs.values())
        print(f"{count} runs of {len(self.record.runs)} tasks")
        if not count:
            return 2
        return 1 if self.record.broken else 0

    async def call(
        self, name: str, method: str, path: str, body: object = None, key: str = KEY
    ) -> tuple[int, bytes]:
        """Send a request of a client to a process, and record it with its answer."""
        headers = {
            "Host": HOST,
            "Toucanspring-Credential": key,
            "Toucanspring-Timeout-Ms": "3000",
            "Content-Type": "application/json",
        }
        data = b"" if body is None else json.dumps(body).encode()
        found = await http.call(self._ports[name], method, path, headers, data)
        self.write(f"{method} {path} at {name}: {found[0]} {found[1].decode()}")
        return found
