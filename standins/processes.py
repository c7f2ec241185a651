"""Child processes of tests, the demonstration and benchmarks."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import time
from collections.abc import Callable, Mapping, Sequence

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0
POLL_S = 0.02


class StartFailed(Exception):
    """Raised when a process exits or does not become ready; includes its output."""


class ManagedProcess:
    """Own one child process whose output goes to a file."""

    def __init__(
        self,
        name: str,
        command: Sequence[str],
        directory: pathlib.Path,
        variables: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.command = list(command)
        self.output = directory / f"{name}.log"
        overrides = {"PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}
        environment = {**os.environ, **overrides, **(variables or {})}
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
        """Kill the process."""
        self.signal(signal.SIGKILL)
        self._child.wait()

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stop the process with SIGTERM, or after the time limit with SIGKILL."""
        self.signal(signal.SIGCONT)  # a stopped process would not handle SIGTERM
        self.signal(signal.SIGTERM)
        try:
            return self._child.wait(timeout=timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._child.returncode

    def read_output(self) -> str:
        """Return the output so far."""
        return self.output.read_text(errors="replace")


def wait_until(
    process: ManagedProcess,
    is_ready: Callable[[], bool],
    timeout_s: float = START_TIMEOUT_S,
) -> None:
    """Wait until a process is ready; raise `StartFailed` if it exits before."""
    deadline = time.monotonic() + timeout_s
    while not is_ready():
        if process.status() is not None:
            raise StartFailed(
                f"{process.name} ended with {process.status()}:\n"
                f"{process.read_output()}"
            )
        if time.monotonic() > deadline:
            process.stop()
            raise StartFailed(
                f"{process.name} not ready in {timeout_s} s:\n{process.read_output()}"
            )
        time.sleep(POLL_S)
