"""Workers under leases in memory, which note each promise that an order breaks."""

from __future__ import annotations

import dataclasses
import time

import gevent

from toucanspring import errors, resources
from toucanspring.coordinator import job_specs, ports, state

MAX_LEASE_MS = 6000


@dataclasses.dataclass(slots=True)
class Run:
    """Hold one run on a worker; times are monotonic seconds."""

    task: str
    number: int
    demand: resources.Resources
    ends_at: float


@dataclasses.dataclass(slots=True)
class Life:
    """Hold one life of a worker."""

    entry: ports.WorkerEntry
    born: int
    started_at: float = dataclasses.field(default_factory=time.monotonic)
    epoch: int = 0
    lease_until_ms: int = 0
    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    ended: list[ports.EndedTask] = dataclasses.field(default_factory=list)
    highest: dict[str, int] = dataclasses.field(default_factory=dict)
    numbers: int = 0
    lapsed_end: int = 0  # the last end before the lease was over

    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        return round((time.monotonic() - self.started_at) * 1000) + 1


class LeaseWorkers:
    """Run tasks for fixed times; implements `coordinator.ports.Workers`.

    `violations` lists broken promises. Workers in `silent` answer nothing; `lose` is
    how many of the next starts are carried out without an answer, `hold_back` how many
    are only carried out by `carry_out_late`.
    """

    def __init__(self, run_s: float = 0.02) -> None:
        self.run_s = run_s
        self.lives: dict[str, Life] = {}
        self.jobs: dict[str, job_specs.Job] = {}
        self.silent: set[str] = set()
        self.lose = 0
        self.hold_back = 0
        self.violations: list[str] = []
        self.done: dict[str, int] = {}  # task -> runs that ended well
        self.noted: set[str] = set()
        self.starts = 0
        self.failing: set[str] = set()
        self._late: list[tuple[ports.WorkerEntry, ports.Start]] = []

    def add(self, entry: ports.WorkerEntry) -> None:
        """Begin a life of a worker; an earlier one of the same ID ends."""
        self.lives[entry.id] = Life(entry, entry.incarnation)

    def start(
        self, worker: ports.WorkerEntry, order: ports.Start
    ) -> ports.OrderDone | ports.OrderRefused | errors.Failure:
        """Start a run; a repeat of the same run changes nothing."""
        gevent.sleep(0)
        if worker.id in self.silent:
            return errors.Ambiguous(reason="no answer")
        if self.hold_back:
            self.hold_back -= 1
            self._late.append((worker, order))
            return errors.Ambiguous(reason="no answer")
        answer = self._start(worker, order)
        if self.lose:
            self.lose -= 1
            return errors.Ambiguous(reason="no answer")
        return answer

    def carry_out_late(self) -> None:
        """Carry out the starts that were held back."""
        late, self._late = self._late, []
        for worker, order in late:
            self._start(worker, order)

    def _start(
        self, worker: ports.WorkerEntry, order: ports.Start
    ) -> ports.OrderDone | ports.OrderRefused:
        life = self._life(worker.id)
        if order.epoch < life.epoch:
            return ports.OrderRefused(reason=ports.FENCED)
        life.epoch = order.epoch
        if order.lease_until_ms <= life.clock_ms():
            return ports.OrderRefused(reason=ports.TOO_LATE)
        self._renew(life, order.lease_until_ms)
        running = life.runs.get(order.task)
        if running is not None and running.number == order.run:
            return ports.OrderDone(life.clock_ms())
        if order.run <= life.highest.get(order.task, 0):
            return ports.OrderRefused(reason=ports.OLD_RUN)
        name = state.parse_task_id(order.task)
        job = self.jobs[name.job]
        step = job.steps[name.step]
        self._check(life, order, step)
        life.highest[order.task] = order.run
        self.starts += 1
        life.runs[order.task] = Run(
            order.task, order.run, step.occupied(), time.monotonic() + self.run_s
        )
        return ports.OrderDone(life.clock_ms())

    def _check(self, life: Life, order: ports.Start, step: job_specs.Step) -> None:
        used = step.occupied()
        for run in life.runs.values():
            used = used + run.demand
        if not used.fits(life.entry.capacity):
            self.violations.append(f"{life.entry.id} is over its capacity")
        if order.task in self.noted:
            self.violations.append(f"{order.task} started after its noted end")
        for other in self.lives.values():
            self._advance(other)
            if order.task in other.runs:
                self.violations.append(f"{order.task} runs twice")
        name = state.parse_task_id(order.task)
        for before in step.after:
            for index in range(self.jobs[name.job].steps[before].count):
                task = f"{name.job}.{name.occurrence}.{before}.{index}"
                if task not in self.done:
                    self.violations.append(f"{order.task} started before {task}")

    def stop(
        self, worker: ports.WorkerEntry, task: str, run: int, epoch: int
    ) -> ports.OrderDone | ports.OrderRefused | errors.Failure:
        """Stop a run, or forbid it if it has not started."""
        gevent.sleep(0)
        if worker.id in self.silent:
            return errors.Ambiguous(reason="no answer")
        life = self._life(worker.id)
        if epoch < life.epoch:
            return ports.OrderRefused(reason=ports.FENCED)
        life.epoch = epoch
        life.highest[task] = max(run, life.highest.get(task, 0))
        running = life.runs.get(task)
        if running is not None and running.number == run:
            self._end(life, running, "stopped")
        return ports.OrderDone(life.clock_ms())

    def poll(
        self,
        worker: ports.WorkerEntry,
        epoch: int,
        acked_end: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> ports.PollReply | ports.OrderRefused | errors.Failure:
        """Renew the lease, forget ends up to `acked_end` and return the others."""
        gevent.sleep(0)
        deadline = time.monotonic() + wait_ms / 1000
        asked = self.lives[worker.id]
        while True:
            life = self._life(worker.id)
            if worker.id in self.silent or life is not asked:
                return errors.Ambiguous(reason="no answer")
            if epoch < life.epoch:
                return ports.OrderRefused(reason=ports.FENCED)
            life.epoch = epoch
            self._renew(life, lease_until_ms or 0)
            for end in life.ended:
                # An end that nobody had read when the lease was over does not count.
                counts = life.lapsed_end < end.number <= acked_end
                if counts and end.outcome == "done":
                    self.noted.add(end.task)
            life.ended = [end for end in life.ended if end.number > acked_end]
            if life.ended or time.monotonic() >= deadline:
                break
            gevent.sleep(0.002)
        return ports.PollReply(
            life.clock_ms(),
            life.born,
            tuple(
                ports.RunningTask(run.task, run.number, "", 50)
                for run in life.runs.values()
            ),
            tuple(life.ended),
        )

    def forget(self, worker_id: str) -> None:
        """Do nothing; there are no connections."""

    def advance(self) -> None:
        """End the runs whose time is over."""
        for life in self.lives.values():
            self._advance(life)

    def _life(self, worker_id: str) -> Life:
        life = self.lives[worker_id]
        self._advance(life)
        return life

    def _advance(self, life: Life) -> None:
        now = time.monotonic()
        lapsed = life.lease_until_ms and life.clock_ms() >= life.lease_until_ms
        for run in list(life.runs.values()):
            if lapsed:
                self._end(life, run, "lapsed")
            elif run.ends_at <= now:
                how = "failed" if life.entry.id in self.failing else "done"
                self._end(life, run, how)
        if lapsed:
            life.lapsed_end = life.numbers

    def _end(self, life: Life, run: Run, how: str) -> None:
        del life.runs[run.task]
        life.numbers += 1
        life.ended.append(ports.EndedTask(life.numbers, run.task, run.number, how, ""))
        if how == "done":
            self.done[run.task] = self.done.get(run.task, 0) + 1

    @staticmethod
    def _renew(life: Life, until_ms: int) -> None:
        longest = life.clock_ms() + MAX_LEASE_MS
        life.lease_until_ms = max(life.lease_until_ms, min(until_ms, longest))
