"""In-memory workers with leases, which record each order that breaks an invariant."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable

import gevent

from toucanspring import errors, resources
from toucanspring.coordinator import job_specs, ports, state

MAX_LEASE_MS = 6000
COMPLETE_PERCENT = 100
RUNNING_PERCENT = 50


@dataclasses.dataclass(slots=True)
class Run:
    """One run on a worker; times are monotonic seconds."""

    task: str
    number: int
    demand: resources.Resources
    ends_at: float


@dataclasses.dataclass(slots=True)
class Incarnation:
    """State of a worker since its latest start; a restart begins a new incarnation."""

    entry: ports.WorkerEntry
    number: int
    started_at: float = dataclasses.field(default_factory=time.monotonic)
    epoch: int = 0
    lease_until_ms: int = 0
    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    ended: list[ports.EndedTask] = dataclasses.field(default_factory=list)
    highest_run: dict[str, int] = dataclasses.field(default_factory=dict)
    end_count: int = 0
    expired_end: int = 0  # number of the last end before the lease expired

    def clock_ms(self) -> int:
        """Return the time of the worker's clock."""
        return round((time.monotonic() - self.started_at) * 1000) + 1


class LeaseWorkers:
    """Run tasks for fixed times; implements `coordinator.ports.Workers`.

    `violations` lists broken invariants. Workers in `silent` send no replies;
    `lose_answers` is how many of the next starts are executed without a reply,
    `delay_starts` how many are delayed until `apply_delayed` is called. `fails` tells
    which runs fail, and `check_run` returns the violation that a run causes, or "".
    Members of a gang complete together.
    """

    def __init__(self, run_s: float = 0.02) -> None:
        self.run_s = run_s
        self.incarnations: dict[str, Incarnation] = {}
        self.jobs: dict[str, job_specs.Job] = {}
        self.silent: set[str] = set()
        self.lose_answers = 0
        self.delay_starts = 0
        self.violations: list[str] = []
        self.done: dict[str, int] = {}  # successful runs by task
        self.acknowledged: set[str] = set()  # tasks whose success was acknowledged
        self.starts = 0
        self.failing: set[str] = set()
        self.fails: Callable[[str, int], bool] = lambda _task, _run: False
        self.check_run: Callable[[str, int], str] = lambda _task, _run: ""
        self.failed_runs: dict[str, set[int]] = {}  # by task
        self.noted_failures: dict[str, set[int]] = {}  # those that were acknowledged
        self._delayed: list[tuple[ports.WorkerEntry, ports.Start]] = []

    def add(self, entry: ports.WorkerEntry) -> None:
        """Add a worker, or restart the one of the same ID as a new incarnation."""
        self.incarnations[entry.id] = Incarnation(entry, entry.incarnation)

    def start(
        self, worker: ports.WorkerEntry, order: ports.Start
    ) -> ports.OrderDone | ports.OrderRefused | errors.Failure:
        """Start a run; idempotent for the same run."""
        gevent.sleep(0)
        if worker.id in self.silent:
            return errors.Ambiguous(reason="no answer")
        if self.delay_starts:
            self.delay_starts -= 1
            self._delayed.append((worker, order))
            return errors.Ambiguous(reason="no answer")
        answer = self._start(worker, order)
        if self.lose_answers:
            self.lose_answers -= 1
            return errors.Ambiguous(reason="no answer")
        return answer

    def apply_delayed(self) -> None:
        """Execute the delayed starts."""
        delayed, self._delayed = self._delayed, []
        for worker, order in delayed:
            self._start(worker, order)

    def _start(
        self, worker: ports.WorkerEntry, order: ports.Start
    ) -> ports.OrderDone | ports.OrderRefused:
        incarnation = self._current_incarnation(worker.id)
        if worker.incarnation not in (0, incarnation.number):
            return ports.OrderRefused(reason=ports.OTHER_INCARNATION)
        if order.epoch < incarnation.epoch:
            return ports.OrderRefused(reason=ports.FENCED)
        incarnation.epoch = order.epoch
        if order.lease_until_ms <= incarnation.clock_ms():
            return ports.OrderRefused(reason=ports.TOO_LATE)
        self._renew(incarnation, order.lease_until_ms)
        running = incarnation.runs.get(order.task)
        if running is not None and running.number == order.run:
            return ports.OrderDone(incarnation.clock_ms())
        if order.run <= incarnation.highest_run.get(order.task, 0):
            return ports.OrderRefused(reason=ports.OLD_RUN)
        name = state.parse_task_id(order.task)
        job = self.jobs[name.job]
        step = job.steps[name.step]
        self._check(incarnation, order, step)
        if fault := self.check_run(order.task, order.run):
            self.violations.append(fault)
        incarnation.highest_run[order.task] = order.run
        self.starts += 1
        incarnation.runs[order.task] = Run(
            order.task, order.run, step.occupied(), time.monotonic() + self.run_s
        )
        return ports.OrderDone(incarnation.clock_ms())

    def _check(
        self, incarnation: Incarnation, order: ports.Start, step: job_specs.Step
    ) -> None:
        used = step.occupied()
        for run in incarnation.runs.values():
            used = used + run.demand
        if not used.fits(incarnation.entry.capacity):
            self.violations.append(f"{incarnation.entry.id} exceeds its capacity")
        if order.task in self.acknowledged:
            self.violations.append(f"{order.task} started after its acknowledged end")
        for other in self.incarnations.values():
            self._advance(other)
            if order.task in other.runs:
                self.violations.append(f"{order.task} runs twice")
        name = state.parse_task_id(order.task)
        for predecessor in step.after:
            for index in range(self.jobs[name.job].steps[predecessor].count):
                task = f"{name.job}.{name.occurrence}.{predecessor}.{index}"
                if task not in self.done:
                    self.violations.append(f"{order.task} started before {task}")

    def stop(
        self, worker: ports.WorkerEntry, task: str, run: int, epoch: int
    ) -> ports.OrderDone | ports.OrderRefused | errors.Failure:
        """Stop a run, or refuse to start it if it has not started."""
        gevent.sleep(0)
        if worker.id in self.silent:
            return errors.Ambiguous(reason="no answer")
        incarnation = self._current_incarnation(worker.id)
        if worker.incarnation not in (0, incarnation.number):
            return ports.OrderRefused(reason=ports.OTHER_INCARNATION)
        if epoch < incarnation.epoch:
            return ports.OrderRefused(reason=ports.FENCED)
        incarnation.epoch = epoch
        incarnation.highest_run[task] = max(run, incarnation.highest_run.get(task, 0))
        running = incarnation.runs.get(task)
        if running is not None and running.number == run:
            self._end(incarnation, running, "stopped")
        return ports.OrderDone(incarnation.clock_ms())

    def poll(
        self,
        worker: ports.WorkerEntry,
        epoch: int,
        acked_end: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> ports.PollReply | ports.OrderRefused | errors.Failure:
        """Renew the lease, remove ends up to `acked_end` and return the others."""
        gevent.sleep(0)
        deadline = time.monotonic() + wait_ms / 1000
        polled = self.incarnations[worker.id]
        if worker.incarnation not in (0, polled.number):
            return errors.Unconfirmed(reason="another incarnation")
        while True:
            incarnation = self._current_incarnation(worker.id)
            if worker.id in self.silent or incarnation is not polled:
                return errors.Ambiguous(reason="no answer")
            if epoch < incarnation.epoch:
                return ports.OrderRefused(reason=ports.FENCED)
            incarnation.epoch = epoch
            self._renew(incarnation, lease_until_ms or 0)
            for end in incarnation.ended:
                # An end that had not been read when the lease expired does not count.
                counts = incarnation.expired_end < end.number <= acked_end
                if counts and end.outcome == "done":
                    self.acknowledged.add(end.task)
                elif counts and end.outcome == "failed":
                    self.noted_failures.setdefault(end.task, set()).add(end.run)
            incarnation.ended = [
                end for end in incarnation.ended if end.number > acked_end
            ]
            if incarnation.ended or time.monotonic() >= deadline:
                break
            gevent.sleep(0.002)
        return ports.PollReply(
            incarnation.clock_ms(),
            incarnation.number,
            tuple(
                ports.RunningTask(run.task, run.number, "", _percent(run))
                for run in incarnation.runs.values()
            ),
            tuple(incarnation.ended),
        )

    def forget(self, worker_id: str) -> None:
        """Do nothing; there are no connections."""

    def release(self, worker_id: str) -> None:
        """Do nothing; there are no connections."""

    def advance(self) -> None:
        """End the runs that are complete or whose lease has expired."""
        for incarnation in self.incarnations.values():
            self._advance(incarnation)

    def _current_incarnation(self, worker_id: str) -> Incarnation:
        incarnation = self.incarnations[worker_id]
        self._advance(incarnation)
        return incarnation

    def _advance(self, incarnation: Incarnation) -> None:
        now = time.monotonic()
        expired = (
            incarnation.lease_until_ms
            and incarnation.clock_ms() >= incarnation.lease_until_ms
        )
        for run in list(incarnation.runs.values()):
            if expired:
                self._end(incarnation, run, "lapsed")
            elif run.ends_at > now or run.task not in incarnation.runs:
                continue  # the latter: it has ended with its gang
            elif incarnation.entry.id in self.failing or self.fails(
                run.task, run.number
            ):
                self._end(incarnation, run, "failed")
            elif (members := self._find_members(run)) is None:
                self._end(incarnation, run, "done")
            else:
                self._complete_gang(run.number, members, now)
        if expired:
            incarnation.expired_end = incarnation.end_count

    def _find_members(self, run: Run) -> list[str] | None:
        """Return the tasks of the gang of a run, or None without a gang."""
        name = state.parse_task_id(run.task)
        step = self.jobs[name.job].steps[name.step]
        if not step.gang:
            return None
        prefix = run.task.rpartition(".")[0]
        return [f"{prefix}.{index}" for index in range(step.count)]

    def _complete_gang(self, number: int, members: list[str], now: float) -> None:
        """End all runs of a gang, if all are complete and none is to fail."""
        held = [
            (incarnation, run)
            for incarnation in self.incarnations.values()
            if incarnation.clock_ms() < incarnation.lease_until_ms
            for task in members
            if (run := incarnation.runs.get(task)) is not None
            and (run.number, self.fails(task, number)) == (number, False)
            and run.ends_at <= now
        ]
        if len(held) == len(members):
            for incarnation, run in held:
                self._end(incarnation, run, "done")

    def _end(self, incarnation: Incarnation, run: Run, outcome: str) -> None:
        del incarnation.runs[run.task]
        incarnation.end_count += 1
        incarnation.ended.append(
            ports.EndedTask(incarnation.end_count, run.task, run.number, outcome, "")
        )
        if outcome == "done":
            self.done[run.task] = self.done.get(run.task, 0) + 1
        elif outcome == "failed":
            self.failed_runs.setdefault(run.task, set()).add(run.number)

    @staticmethod
    def _renew(incarnation: Incarnation, until_ms: int) -> None:
        longest = incarnation.clock_ms() + MAX_LEASE_MS
        incarnation.lease_until_ms = max(
            incarnation.lease_until_ms, min(until_ms, longest)
        )


def _percent(run: Run) -> int:
    complete = run.ends_at <= time.monotonic()  # a member of a gang that waits
    return COMPLETE_PERCENT if complete else RUNNING_PERCENT
