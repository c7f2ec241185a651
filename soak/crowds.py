"""Crowds of clients outside the limits, beside the callers of a run."""

from __future__ import annotations

import random
import sys

import gevent
from gevent import subprocess

from soak import cell
from standins import processes

KINDS = (
    "refused", "unknown_jobs", "half_head", "abandoned", "inside", "trickle",
    "strange_methods", "pipelined", "endless_head",
)  # fmt: skip
SIZE = 40  # clients of one crowd
MEAN_PAUSE_S = 2.0
MEAN_STAY_S = 6.0


class Crowds:
    """Send one crowd after the other to processes of the cell, as a context manager."""

    def __init__(self, running: cell.Cell, rng: random.Random) -> None:
        self._cell = running
        self._rng = rng
        self._greenlet: gevent.Greenlet | None = None
        self.sent: list[str] = []

    def __enter__(self) -> Crowds:
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *_exc: object) -> None:
        self._greenlet.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(self._rng.expovariate(1 / MEAN_PAUSE_S))
            kind = self._rng.choice(KINDS)
            name = self._rng.choice(self._cell.daemons)
            self.sent.append(f"{kind} to {name}")
            self._send(kind, self._cell.caller_ports[name])

    def _send(self, kind: str, port: int) -> None:
        command = [sys.executable, "-m", "test.client_crowd", kind, str(SIZE)]
        path = f"/{cell.FIRST_QUEUE}/{0xFF:016x}"
        with subprocess.Popen(
            [*command, str(port), path, cell.KEY],
            cwd=processes.ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
        ) as child:
            try:
                gevent.sleep(self._rng.expovariate(1 / MEAN_STAY_S))
            finally:
                child.kill()
