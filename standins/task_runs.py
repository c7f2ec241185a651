"""Tasks of one worker stand-in: plans, timers, checkpoints and results."""

from __future__ import annotations

import abc
import heapq
import itertools
import time
from collections.abc import Callable

import gevent
import msgspec

from standins import events
from toucanspring import resources, wire
from toucanspring.adapters import vms

# Minimum time between reports of ends; the first end after a longer time is reported at
# once. The design allows 20 ms from the end of a task to its report.
FINISH_BATCH_S = 0.015
CLOCK_STEP_S = 0.004
MIN_CLOCK_STEP_S = 0.001
MAX_REPORT_BYTES = wire.MAX_FRAME_BYTES - (1 << 16)
FINISHED_OVERHEAD_BYTES = 200
FAIL_ALL_RUN_MS = 10.0


class Plan(msgspec.Struct, frozen=True):
    """Payload of a task, in JSON; with `run_ms` null the task runs until stopped.

    Without `usage` no usage is reported, so that the scheduler cannot estimate sizes.
    """

    run_ms: float | None = 10.0
    fail: bool | str = False
    answer: str = ""
    answer_bytes: int = 0
    usage: resources.Resources | None = None
    checkpoint_ms: float = 50.0


class Progress(msgspec.Struct, frozen=True):
    """Checkpoint of a task: the run time that is done."""

    done_ms: float


class Clock:
    """Run callbacks at monotonic times from one greenlet and one heap."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = itertools.count()

    def at(self, when: float, function: Callable, *args: object) -> None:
        """Call a function, which must not block, at or shortly after `when`."""
        heapq.heappush(self._heap, (when, next(self._numbers), function, args))

    def run(self) -> None:
        """Run callbacks forever."""
        heap = self._heap
        while True:
            now = time.monotonic()
            while heap and heap[0][0] <= now:
                _, _, function, args = heapq.heappop(heap)
                function(*args)
            wait_s = heap[0][0] - time.monotonic() if heap else CLOCK_STEP_S
            gevent.sleep(min(CLOCK_STEP_S, max(MIN_CLOCK_STEP_S, wait_s)))


class RunningAttempt:
    """A running attempt; throttling reduces its speed to `rate`, at most 1.0."""

    __slots__ = (
        "start",
        "plan",
        "partition",
        "started_at",
        "remaining_ms",
        "done_ms",
        "rate",
        "changed_at",
        "generation",
        "stopping",
    )

    def __init__(
        self, start: wire.TaskStart, plan: Plan, partition: int, now: float
    ) -> None:
        self.start = start
        self.plan = plan
        self.partition = partition
        self.started_at = now
        self.done_ms = 0.0
        self.remaining_ms = plan.run_ms
        self.rate = 1.0
        self.changed_at = now
        self.generation = 0
        self.stopping = False

    def advance(self, now: float) -> None:
        """Add the work done since the last change."""
        worked_ms = (now - self.changed_at) * 1000 * self.rate
        self.done_ms += worked_ms
        if self.remaining_ms is not None:
            self.remaining_ms = max(0.0, self.remaining_ms - worked_ms)
        self.changed_at = now

    def usage(self) -> resources.Resources:
        """Return the current usage of the task; throttling limits CPUs only."""
        full = self.plan.usage or resources.ZERO
        return resources.Resources(
            int(full.cpus * self.rate), full.memory, full.accelerators
        )

    def end_time(self) -> float | None:
        """Return when the work is complete at the current rate; `None` if never."""
        if self.remaining_ms is None or self.rate <= 0:
            return None
        return self.changed_at + self.remaining_ms / 1000 / self.rate


_plan_decoder = msgspec.json.Decoder(Plan)


class TaskHost(abc.ABC):
    """Runs tasks by timers; `worker_reports` adds the reports, `worker` the lease."""

    def __init__(self, listed: vms.Vm, clock: Clock, record: events.Record) -> None:
        self.listed = listed
        self._clock = clock
        self._record = record
        self._incarnation = 0
        self._running: dict[str, RunningAttempt] = {}
        self._finished: dict[str, tuple[int, wire.FinishedTask]] = {}
        self._unreported: list[tuple[int, wire.FinishedTask]] = []
        self._allocated = resources.ZERO
        self._usage = resources.ZERO  # actual usage of the tasks
        self._is_over = False
        self._flush_timer = False
        self._flushed_at = 0.0
        self._tick_offset_ms = 0
        self._paused_at: float | None = None
        self._fail_all = False

    def _run(
        self,
        task: wire.TaskStart,
        partition: int,
        epoch: int,
        now: float,
        tick_age_ms: int,
    ) -> None:
        running = RunningAttempt(task, self._plan(task), partition, now)
        if task.progress:
            done_ms = msgspec.json.decode(task.progress, type=Progress).done_ms
            running.done_ms = done_ms
            if running.remaining_ms is not None:
                running.remaining_ms = max(0.0, running.remaining_ms - done_ms)
        self._running[task.task_id] = running
        self._allocated += task.demand
        self._update_usage(resources.ZERO, running.usage(), now)
        self._record.append(
            events.Start(
                at=now,
                worker=self.listed.id,
                incarnation=self._incarnation,
                availability_zone=self.listed.availability_zone,
                partition=partition,
                epoch=epoch,
                task=task.task_id,
                attempt=task.attempt,
                team=task.team,
                demand=task.demand,
                idempotent=task.idempotent,
                resumed=bool(task.progress),
                tick_age_ms=tick_age_ms,
            )
        )
        self._schedule_end(task.task_id, running)

    def _update_usage(
        self, before: resources.Resources, after: resources.Resources, now: float
    ) -> None:
        self._usage += after - before
        is_over = not self._usage.fits(self.listed.resources)
        if is_over is self._is_over:
            return
        self._is_over = is_over
        self._record.append(
            events.Use(at=now, worker=self.listed.id, is_over=is_over, used=self._usage)
        )

    def _plan(self, task: wire.TaskStart) -> Plan:
        if self._fail_all:
            return Plan(run_ms=FAIL_ALL_RUN_MS, fail="the worker fails every task")
        if not task.payload:
            return Plan()
        try:
            return _plan_decoder.decode(task.payload)
        except msgspec.DecodeError as error:
            return Plan(run_ms=0.0, fail=f"payload: {error}")

    def _begin_checkpoint(self, task_id: str, now: float, deadline: float) -> None:
        running = self._running[task_id]
        if running.stopping:
            return
        running.advance(now)
        running.stopping = True
        running.generation += 1
        self._clock.at(
            min(now + running.plan.checkpoint_ms / 1000, deadline),
            self._end_checkpoint,
            self._incarnation,
            task_id,
            running,
            running.generation,
        )

    def _end_checkpoint(
        self, incarnation: int, task_id: str, running: RunningAttempt, generation: int
    ) -> None:
        if self._is_current(incarnation, task_id, running, generation):
            self._checkpoint_now(task_id, running, time.monotonic())

    def _checkpoint_now(
        self,
        task_id: str,
        running: RunningAttempt,
        now: float,
        ran_until: float | None = None,
    ) -> None:
        progress = msgspec.json.encode(Progress(running.done_ms))
        self._finish(task_id, running, "checkpointed", "", progress, now, ran_until)

    def _throttle(self, message: wire.Throttle) -> None:
        running = self._running.get(message.task_id)
        if running is not None and not running.stopping:
            now = time.monotonic()
            running.advance(now)
            before = running.usage()
            running.rate = min(1.0, max(0.0, message.fraction))
            self._update_usage(before, running.usage(), now)
            self._schedule_end(message.task_id, running)

    def _schedule_end(self, task_id: str, running: RunningAttempt) -> None:
        running.generation += 1
        if running.stopping:
            self._clock.at(
                time.monotonic(),
                self._end_checkpoint,
                self._incarnation,
                task_id,
                running,
                running.generation,
            )
            return
        when = running.end_time()
        if when is not None:
            self._clock.at(
                when,
                self._end,
                self._incarnation,
                task_id,
                running,
                running.generation,
            )

    def _is_current(
        self, incarnation: int, task_id: str, running: RunningAttempt, generation: int
    ) -> bool:
        return (
            incarnation == self._incarnation
            and self._paused_at is None
            and running.generation == generation
            and self._running.get(task_id) is running
        )

    def _end(
        self, incarnation: int, task_id: str, running: RunningAttempt, generation: int
    ) -> None:
        if not self._is_current(incarnation, task_id, running, generation):
            return
        now = time.monotonic()
        plan = running.plan
        if plan.fail:
            reason = plan.fail if isinstance(plan.fail, str) else "failed as planned"
            self._finish(task_id, running, "failed", reason, b"", now)
            return
        answer = plan.answer.encode() or b"x" * plan.answer_bytes
        if len(answer) > MAX_REPORT_BYTES - FINISHED_OVERHEAD_BYTES:
            reason = f"answer of {len(answer)} bytes"
            self._finish(task_id, running, "failed", reason, b"", now)
            return
        self._finish(task_id, running, "done", "", answer, now)

    def _finish(
        self,
        task_id: str,
        running: RunningAttempt,
        state: str,
        reason: str,
        answer: bytes,
        now: float,
        ran_until: float | None = None,
    ) -> None:
        del self._running[task_id]
        self._allocated -= running.start.demand
        self._update_usage(running.usage(), resources.ZERO, now)
        finished = wire.FinishedTask(
            task_id,
            running.start.attempt,
            state,
            reason,
            answer,
            int((now - running.started_at) * 1000),
            running.plan.usage or resources.ZERO,
        )
        self._finished[task_id] = (running.partition, finished)
        self._unreported.append((running.partition, finished))
        self._record.append(
            events.End(
                at=now,
                worker=self.listed.id,
                incarnation=self._incarnation,
                task=task_id,
                attempt=running.start.attempt,
                state=state,
                reason=reason,
                ran_until=now if ran_until is None else ran_until,
            )
        )
        if self._flush_timer:
            return
        self._flush_timer = True
        due = self._flushed_at + FINISH_BATCH_S
        if due > now:
            self._clock.at(due, self._flush)
        else:
            # Runs after the other callbacks that are due; one report covers all ends.
            gevent.spawn(self._flush)

    def _flush(self) -> None:
        self._flush_timer = False
        self._flushed_at = time.monotonic()
        if self._unreported and self._paused_at is None:
            self._report({})

    @abc.abstractmethod
    def _report(self, usage: dict[str, resources.Resources]) -> None:
        """Send the finished tasks and the usage of running ones."""

    def _tick(self, now: float) -> int:
        return int(now * 1000) + self._tick_offset_ms
