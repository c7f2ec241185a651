"""Stand-in of the platform's executors.

The spec of a run says how many ms it lasts, how many thousandths of a core it occupies
and, for a task that lasts, how it ends.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import time
from collections.abc import Callable

import httpio
import store

HEARTBEAT_S = 1.5
SILENT_PINGS = 3  # after which an entry is removed
MAX_HOLD_MS = 6000
STOP_S = 0.05
MAX_LISTED_ENDS = 500


@dataclasses.dataclass(slots=True)
class Run:
    """Hold a run that is at work; times are of the steady clock, in seconds."""

    task: str
    number: int
    cpu: int
    started_at: float
    lasts_s: float
    timer: asyncio.TimerHandle | None = None
    stopping: bool = False
    lasting: bool = False

    def percent(self) -> int:
        """Return the progress; a task that lasts has 100 while it is at work."""
        if self.lasting:
            return 100
        return min(99, int(100 * (time.monotonic() - self.started_at) / self.lasts_s))


@dataclasses.dataclass(slots=True)
class Machine:
    """Describe what one boot of an executor is."""

    kind: str
    cpu: int
    mem_mb: int = 65_536


class Executor:
    """Execute orders under a lease, over restarts under the same id and address."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        rack: str,
        address: tuple[str, int],
        platform: store.Store,
        record: Callable[..., None],
    ) -> None:
        self.name = name
        self.address = address
        self.machine = Machine("", 0)
        self.up = False
        self.running: dict[str, Run] = {}
        self.born = 0
        # Called for each start with the machine as it is: (executor, task, run, spec).
        self.on_start: Callable[[Executor, str, int, str], None] = lambda *_: None
        # Called for each end of a run: (executor, task, run, how).
        self.on_end: Callable[[Executor, str, int, str], None] = lambda *_: None
        # Called after a hold has been answered: (executor, fence number).
        self.on_hold: Callable[[Executor, int], None] = lambda *_: None
        self.fence = 0
        self.unhealthy = False  # it refuses all starts with 503
        self.zone, self.rack = zone, rack
        self._service = service
        self._store, self._record = platform, record
        self._ended: list[list] = []
        self._last_end = 0
        self._forbidden: dict[str, int] = {}
        self._deadline_ms = 0
        self._booted_at = 0.0
        self._news = asyncio.Event()
        self._server = httpio.Server(self.handle)
        self._tasks: list[asyncio.Task] = []
        self._seq = 0

    def clock_ms(self) -> int:
        """Return the steady clock of this boot in ms."""
        return round((time.monotonic() - self._booted_at) * 1000) + 1

    async def boot(self, machine: Machine) -> None:
        """Start as a new life that knows nothing of the one before."""
        self.machine = machine
        self.running, self._ended, self._last_end = {}, [], 0
        self._forbidden, self.fence, self._deadline_ms = {}, 0, 0
        self.born, self._booted_at = round(time.time() * 1000), time.monotonic()
        self.up, self._seq = True, 0
        self._record("executor_up", executor=self.name, kind=machine.kind,
                     cpu=machine.cpu, born=self.born)  # fmt: skip
        # The entry is written before the first call can arrive.
        await self._register()
        await self._server.start(self.address)
        self._tasks = [
            asyncio.create_task(self._send_heartbeats()),
            asyncio.create_task(self._watch_lease()),
        ]

    def crash(self) -> None:
        """End at once; what ran is gone and the entry goes after three pings."""
        self._record("executor_down", executor=self.name, running=len(self.running))
        self.up = False
        for task in self._tasks:
            task.cancel()
        for run in self.running.values():
            if run.timer is not None:
                run.timer.cancel()
        self.running = {}
        self._server.abort()
        self._tasks = [asyncio.create_task(self._expire_entry())]

    async def _expire_entry(self) -> None:
        await asyncio.sleep(HEARTBEAT_S * SILENT_PINGS)
        await self._store.write({("servers", "", self.name): None})

    async def _register(self) -> None:
        entry = {
            "service": self._service, "address": "{}:{}".format(*self.address),
            "zone": self.zone, "version": "1", "slots": 8, "state": "ready",
            "cold_remaining_ms": 0, "seq": self._seq, "born": self.born,
            "labels": [self.machine.kind, self.rack],
            "capacity": {"cpu": self.machine.cpu, "mem_mb": self.machine.mem_mb,
                         "gpus": 0},
        }  # fmt: skip
        self._seq += 1
        await self._store.write(
            {("servers", "", self.name): json.dumps(entry).encode()}
        )

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self._register()

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock_ms() > self._deadline_ms:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")

    def used_cpu(self) -> int:
        """Return the thousandths of a core that all runs occupy."""
        return sum(run.cpu for run in self.running.values())

    def has_ends(self) -> bool:
        """Return whether ends are listed that nobody has taken note of."""
        return bool(self._ended)

    def _end(self, run: Run, how: str) -> None:
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self._last_end += 1
        self._ended.append([self._last_end, run.task, run.number, how, ""])
        self._forbid(run.task, run.number)
        self._record("ended", executor=self.name, task=run.task, run=run.number,
                     how=how)  # fmt: skip
        self._news.set()
        self.on_end(self, run.task, run.number, how)

    def _forbid(self, task: str, number: int) -> None:
        self._forbidden[task] = max(number, self._forbidden.get(task, 0))

    def _extend(self, deadline_ms: int) -> None:
        limit = self.clock_ms() + MAX_HOLD_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, limit))

    async def handle(self, request: httpio.Request) -> tuple[int, object] | None:
        """Answer one call."""
        if request.headers.get("toucanspring-target-instance") != self.name:
            return 421, {"clock_ms": self.clock_ms()}
        call = json.loads(request.body)
        if call.get("fence_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = call.get("fence_token", 0)
        match request.path:
            case "/toucanspring/run-start" if self.unhealthy:
                return 503, {}
            case "/toucanspring/run-start":
                return self._start(call)
            case "/toucanspring/run-stop":
                return self._stop(call)
            case "/toucanspring/hold":
                return await self._hold(call)
        return 404, {}

    def _start(self, call: dict) -> tuple[int, object]:
        task, number = call["task"], call["run"]
        answer = {"clock_ms": self.clock_ms()}
        known = self.running.get(task)
        if known is not None and known.number == number:
            return 200, answer
        if call["deadline_ms"] <= self.clock_ms():
            return 409, {**answer, "reason": "late"}
        self._extend(call["deadline_ms"])
        if number <= self._forbidden.get(task, 0) or known is not None:
            return 409, {**answer, "reason": "old"}
        lasts_ms, cpu, *end = call["spec"].split()
        run = Run(task, number, int(cpu), time.monotonic(), int(lasts_ms) / 1000)
        run.lasting = bool(end)
        run.timer = asyncio.get_running_loop().call_later(
            run.lasts_s, lambda: self._end(run, end[0] if end else "done")
        )
        self.running[task] = run
        self._record("started", executor=self.name, task=task, run=number,
                     kind=self.machine.kind, used_cpu=self.used_cpu())  # fmt: skip
        self.on_start(self, task, number, call["spec"])
        return 200, answer

    def _stop(self, call: dict) -> tuple[int, object]:
        task, number = call["task"], call["run"]
        run = self.running.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, lambda: self._end(run, "stopped"))
        self._forbid(task, number)
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, call: dict) -> tuple[int, object]:
        if call.get("deadline_ms"):
            self._extend(call["deadline_ms"])
        seen, fence = call.get("last_seen", 0), self.fence
        self._ended = [end for end in self._ended if end[0] > seen]
        if call.get("wait_ms") and not self._ended:
            self._news.clear()
            try:
                async with asyncio.timeout(min(2000, call["wait_ms"]) / 1000):
                    await self._news.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, "", run.percent(), run.cpu]
            for run in self.running.values()
        ]
        asyncio.get_running_loop().call_soon(self.on_hold, self, fence)
        return 200, {"clock_ms": self.clock_ms(), "born": self.born,
                     "running": running,
                     "ended": self._ended[:MAX_LISTED_ENDS]}  # fmt: skip
