"""Stand-in of the platform's executors, with a record of what was ordered and run."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import time
from collections.abc import Callable

from standin_2 import http, store

MAX_HOLD_MS = 6000
STOP_S = (0.01, 0.03)
MAX_ENDS = 500


@dataclasses.dataclass
class Run:
    """One run of a task; times are monotonic seconds."""

    task: str
    number: int
    executor: str
    born: int
    started_at: float
    ends_at: float
    outcome: str = ""
    ended_at: float = 0.0
    noted_at: float = 0.0  # when `last_seen` reached its end
    is_lapsed: bool = False  # the lease lapsed before its end was taken note of


class Record:
    """What executors were told and did; `write` gets each line."""

    def __init__(self, write: Callable[[str], None]) -> None:
        self.write = write
        self.runs: dict[str, list[Run]] = {}
        self.broken: list[str] = []

    def begin(self, run: Run) -> None:
        """Record a start, and check that the task neither runs nor is done."""
        for other in self.runs.setdefault(run.task, []):
            if not other.outcome:
                self.break_rule(
                    f"TWICE {run.task}: run {run.number} starts on {run.executor} "
                    f"while run {other.number} is at work on {other.executor}"
                )
        self.runs[run.task].append(run)
        self.write(f"start {run.task} run {run.number} on {run.executor} {run.born}")

    def end(self, run: Run, outcome: str) -> None:
        """Record the end of a run."""
        run.outcome, run.ended_at = outcome, time.monotonic()
        self.write(f"end {run.task} run {run.number} on {run.executor}: {outcome}")

    def break_rule(self, text: str) -> None:
        """Record a broken rule."""
        self.broken.append(text)
        self.write(f"BROKEN {text}")

    def check_done_twice(self) -> None:
        """Find starts after an end `done` that was taken note of, then or later."""
        for task, runs in self.runs.items():
            for done in runs:
                if done.outcome != "done" or not done.noted_at or done.is_lapsed:
                    continue
                for later in runs:
                    if later.started_at > done.ended_at:
                        self.break_rule(
                            f"TWICE {task}: run {done.number} ended done on "
                            f"{done.executor} and was taken note of; run "
                            f"{later.number} started on {later.executor} "
                            f"{later.started_at - done.ended_at:.3f} s after the end"
                        )


class Executor:
    """One executor; `run_s(task)` is how long a task runs."""

    def __init__(
        self,
        name: str,
        port: int,
        entry: dict,
        rows: store.Store,
        record: Record,
        run_s: Callable[[str], float],
        check_start: Callable[[Executor, str], None] = lambda _executor, _task: None,
    ) -> None:
        self.name = name
        self.entry = {**entry, "address": f"{http.LOOPBACK}:{port}", "state": "ready"}
        self.record = record
        self.runs: dict[str, Run] = {}
        self.is_up = False
        self.stop_s = STOP_S  # shortest and longest time of a stop
        self._rows = rows
        self._run_s = run_s
        self._check_start = check_start
        self._server = http.Server(port, self._serve)
        self._seq = 0

    async def start(self) -> None:
        """Start a new life that knows nothing of the one before, and register."""
        self.born = round(time.time() * 1000)
        self._began_at = time.monotonic()
        self._fence = self._end_count = self._lease_ms = 0
        self._highest: dict[str, int] = {}
        self._ended: list[tuple[int, Run]] = []
        self._changed = asyncio.Event()
        self.runs = {}
        self._seq = 0
        self.is_up = True
        self.register()
        await self._server.start()
        self.record.write(f"executor {self.name} is up, born {self.born}")

    def crash(self) -> None:
        """End this life with all that runs."""
        self.is_up = False
        self._server.crash()
        self.record.write(f"executor {self.name} crashes")
        for run in list(self.runs.values()):
            self.record.end(run, "lost with its executor")
        self.runs.clear()

    def register(self) -> None:
        """Write the entry into the store."""
        self._seq += 1
        row = {**self.entry, "seq": self._seq, "born": self.born, "slots": 8}
        row |= {"version": "v1", "cold_remaining_ms": 0, "clock_ms": self._clock_ms()}
        self._rows.put("servers", self.name, row)

    def advance(self) -> None:
        """End the runs that are complete, or all if the lease has run out."""
        if not self.is_up:
            return
        now = time.monotonic()
        if self._lease_ms and self._clock_ms() >= self._lease_ms:
            for _, run in self._ended:
                run.is_lapsed = True
            for run in list(self.runs.values()):
                self._finish(run, "lapsed")
            self._lease_ms = 0
        for run in list(self.runs.values()):
            if now >= run.ends_at:
                self._finish(run, "done")

    def _clock_ms(self) -> int:
        return round((time.monotonic() - self._began_at) * 1000) + 1

    def _finish(self, run: Run, outcome: str) -> None:
        del self.runs[run.task]
        self._end_count += 1
        self._ended.append((self._end_count, run))
        self.record.end(run, outcome)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, _method: str, target: str, headers: dict[str, str], body: bytes
    ) -> http.Answer | None:
        if not self.is_up:
            return None
        born = self.born
        if headers.get("toucanspring-target-instance", self.name) != self.name:
            return 421, {}
        call = json.loads(body or b"{}")
        self.advance()
        if call.get("fence_token", 0) < self._fence:
            return 409, {"clock_ms": self._clock_ms(), "reason": "fence"}
        self._fence = call.get("fence_token", 0)
        match target.rpartition("/")[2]:
            case "run-start":
                answer = self._start_run(call)
            case "run-stop":
                answer = await self._stop_run(call)
            case "hold":
                answer = await self._hold(call)
            case _:
                return 404, {}
        return answer if self.is_up and self.born == born else None

    def _renew(self, deadline_ms: int) -> None:
        longest = self._clock_ms() + MAX_HOLD_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest))

    def _refuse(self, reason: str) -> http.Answer:
        return 409, {"clock_ms": self._clock_ms(), "reason": reason}

    def _start_run(self, call: dict) -> http.Answer:
        task, number = call["task"], call["run"]
        if call["deadline_ms"] <= self._clock_ms():
            return self._refuse("late")
        self._renew(call["deadline_ms"])
        known = self.runs.get(task)
        if known is None or known.number != number:
            if number <= self._highest.get(task, 0):
                return self._refuse("old")
            self._check_start(self, task)
            now = time.monotonic()
            run = Run(task, number, self.name, self.born, now, now + self._run_s(task))
            self._highest[task] = number
            self.record.begin(run)
            self.runs[task] = run
        return 200, {"clock_ms": self._clock_ms()}

    async def _stop_run(self, call: dict) -> http.Answer:
        task, number = call["task"], call["run"]
        self._highest[task] = max(number, self._highest.get(task, 0))
        known = self.runs.get(task)
        if known is not None and known.number == number:
            known.ends_at = float("inf")
            await asyncio.sleep(random.uniform(*self.stop_s))
            if self.runs.get(task) is known:
                self._finish(known, "stopped")
        return 200, {"clock_ms": self._clock_ms()}

    async def _hold(self, call: dict) -> http.Answer:
        seen, now = call.get("last_seen", 0), time.monotonic()
        if call.get("deadline_ms"):
            self._renew(call["deadline_ms"])
        for number, run in self._ended:
            if number <= seen:
                run.noted_at = now
                self.record.write(
                    f"noted {run.task} run {run.number} on {self.name}: end {number}, "
                    f"last_seen {seen}, {run.outcome}"
                )
        self._ended = [each for each in self._ended if each[0] > seen]
        deadline = now + call.get("wait_ms", 0) / 1000
        while not self._ended and (left_s := deadline - time.monotonic()) > 0:
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                break
        now = time.monotonic()
        running = [
            [run.task, run.number, "", self._percent(run, now), 0]
            for run in self.runs.values()
        ]
        ended = [
            [number, run.task, run.number, run.outcome, ""]
            for number, run in self._ended[:MAX_ENDS]
        ]
        return 200, {
            "clock_ms": self._clock_ms(),
            "born": self.born,
            "running": running,
            "ended": ended,
        }

    @staticmethod
    def _percent(run: Run, now: float) -> int:
        whole_s = max(0.001, run.ends_at - run.started_at)
        return min(99, int(100 * (now - run.started_at) / whole_s))
