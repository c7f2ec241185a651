"""A small deployment of the project: its processes, their settings, its clients."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

from review.standin_3 import executors, store, wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
SERVICE = "forecast"
HOST = "queue.example"
PREFIX = "/jobs/"
KEY = "key-of-council"
MAX_HOLD_MS = 6000
START_TIMEOUT_S = 20.0
KEPT = ("PATH", "HOME", "LANG")


def find_ports(address: str, count: int) -> list[int]:
    """Return free ports of an address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((address, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


class Process:
    """One process of the project on a machine of its own loopback address."""

    def __init__(self, number: int, folder: pathlib.Path, store_address: str) -> None:
        self.name = f"edge-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self._folder = folder
        front, ready, peers, self.metrics_port = find_ports(self.ip, 4)
        self.front, self.ready = f"{self.ip}:{front}", f"{self.ip}:{ready}"
        self._settings = folder / f"{self.name}.toml"
        self.log = folder / f"{self.name}.log"
        self.program: subprocess.Popen | None = None
        self._settings.write_text(
            f'''node_name = "{self.name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "{self.ip}"
zone = "{ZONES[number % len(ZONES)]}"
internal_ports = [{peers},{peers}]
orders = "call"
[listen_addrs]
front = "{self.front}"
ready = "{self.ready}"
[limits]
cpu_share = 0.535
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
grace_s = 6
max_hold_ms = {MAX_HOLD_MS}
stop_timeout_ms = 900
cancel_ms = 3000
[platform]
address = "{store_address}"
form = "table"
row_bytes = 65536
'''
        )

    def start(self) -> None:
        """Start the program with the command of the deploy file."""
        kept = {name: os.environ[name] for name in KEPT if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "TOUCANSPRING_SETTINGS": str(self._settings),
            "TOUCANSPRING_METRICS_PORT": f"{self.metrics_port}",
        }
        with self.log.open("ab") as output:
            self.program = subprocess.Popen(
                ["python3", "platform"], cwd=ROOT, env=environment,
                stdout=output, stderr=output, stdin=subprocess.DEVNULL,
            )  # fmt: skip

    def is_running(self) -> bool:
        """Return whether the program has been started and has not ended."""
        return self.program is not None and self.program.poll() is None

    def memory_mb(self) -> int:
        """Return the memory that the program uses, in millions of bytes."""
        if not self.is_running():
            return 0
        status = pathlib.Path(f"/proc/{self.program.pid}/status").read_text()
        lines = [line for line in status.splitlines() if line.startswith("VmRSS:")]
        return int(lines[0].split()[1]) * 1024 // 1_000_000 if lines else 0

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        if self.is_running():
            self.program.send_signal(number)

    def end(self) -> None:
        """Kill the program and wait for its end."""
        if self.program is not None:
            if self.program.poll() is None:
                self.program.kill()
            self.program.wait()

    def decisions(self, name: str) -> list[dict]:
        """Return the lines of the log about a decision."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            if name in line:
                try:
                    found.append(json.loads(line))
                except ValueError:
                    continue
        return found


class Deployment:
    """Processes, store, executors, and a record of what was sent, answered and run."""

    def __init__(
        self, processes: int, workers: int, record: pathlib.Path, rate: float = 1.0
    ) -> None:
        self.store = store.Store()
        self.history: list[executors.Run] = []
        self.workers = [
            executors.Executor(
                f"{0x5EED0000 + number:016x}", ZONES[number % 3], MAX_HOLD_MS,
                self.history, rate,
            )
            for number in range(workers)
        ]  # fmt: skip
        self.processes: list[Process] = []
        self._count = processes
        self._record = record.open("w")
        self._began = time.monotonic()
        self.route = {
            "name": "checks", "host": HOST, "path_prefix": PREFIX, "service": SERVICE,
            "priority": 1, "max_attempts": 4, "stretch": 2.0,
            "target_runtime_ms": 3000, "timeout_ms": 3000,
        }  # fmt: skip

    def note(self, text: str) -> None:
        """Write a line with the seconds since the begin of the case to the record."""
        self._record.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._record.flush()

    def at(self, moment: float) -> str:
        """Return a time of the steady clock as it stands in the record."""
        return f"{moment - self._began:.3f}"

    async def start(self, folder: pathlib.Path) -> None:
        """Start store, executors and processes; return when all are ready."""
        configuration = {
            "version": 3,
            "routes": [self.route],
            "services": [{"name": SERVICE, "rejects_overload": False}],
            "limits": [],
            "tenants": [
                {
                    "name": "council", "api_keys": [KEY], "weight": 1000,
                    "upper_bound": {"cpu": 0, "mem_mb": 0, "gpus": 0},
                }
            ],
        }  # fmt: skip
        await self.store.put("op", "config", configuration)
        for worker in self.workers:
            await worker.start()
            await self.store.put("servers", worker.name, worker.entry(SERVICE))
        for number in range(self._count):
            address = await self.store.listen(f"edge-{number}")
            self.processes.append(Process(number, folder, address))
        for each in self.processes:
            each.start()
        for each in self.processes:
            await self.await_ready(each)

    async def await_ready(self, process: Process) -> None:
        """Wait until a process accepts clients; raises `TimeoutError`."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                status, _ = await wire.call(
                    process.ready, "GET", "/toucanspring/ready", {}, timeout_s=1.0
                )
                if status == 200:
                    return
                await asyncio.sleep(0.05)

    async def find_leader(self, timeout_s: float = 10.0) -> Process:
        """Return the process that coordinates; raises `TimeoutError`."""
        async with asyncio.timeout(timeout_s):
            while True:
                seats = [
                    (seat.get("epoch", 0), each.name, each)
                    for each in self.processes
                    for seat in each.decisions("seat_taken")
                ]
                if seats:
                    epoch, _, process = max(seats, key=lambda seat: seat[:2])
                    left = [s.get("epoch") for s in process.decisions("seat_left")]
                    if epoch not in left and process.is_running():
                        return process
                await asyncio.sleep(0.05)

    async def request(
        self,
        process: Process,
        method: str,
        job: str,
        body: object = None,
        timeout_s: float = 3.0,
    ) -> tuple[int, dict]:
        """Send a client's request, and record it with its answer."""
        headers = {
            "Host": HOST, "Toucanspring-Credential": KEY,
            "Toucanspring-Timeout-Ms": f"{timeout_s * 1000:.0f}",
            "Content-Type": "application/json",
        }  # fmt: skip
        self.note(f"client sends {method} {job} to {process.name}")
        status, answer = await wire.call(
            process.front, method, PREFIX + job, headers, body, timeout_s
        )
        shown = f"{status} {json.dumps(answer)}" if status else "no answer"
        self.note(f"client got for {method} {job} from {process.name}: {shown}")
        return status, answer

    def end(self) -> None:
        """End all processes."""
        for each in self.processes:
            each.end()
        self._record.close()


def play(
    record: pathlib.Path,
    scenario: Callable[[Deployment, bool], Awaitable[int]],
    processes: int,
    workers: int,
    rate: float = 1.0,
) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if it can't run.

    `scenario` gets the deployment and whether the disruption is to be played.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        deployment = Deployment(processes, workers, record, rate)
        with tempfile.TemporaryDirectory() as folder:
            try:
                deployment.note(f"TROUBLE={int(trouble)}")
                await deployment.start(pathlib.Path(folder))
                found = await scenario(deployment, trouble)
                deployment.note(f"exit {found}")
                return found
            except Exception as error:
                deployment.note(f"the case could not run: {error!r}")
                return 2
            finally:
                deployment.end()

    return asyncio.run(run())


if __name__ == "__main__":
    sys.exit("import this module from a case")
