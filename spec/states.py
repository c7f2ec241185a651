"""States, bounds and invariants of the ownership model."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

from toucanspring import job
from toucanspring.cell import ownership

LEASE = 1  # units of time; an owner's lease is valid while its age is below this
WORKER_LEASE = 2  # units of time
TIMING = ownership.Timing(lease_s=LEASE, promise_s=0, drift=0.0)
IDEMPOTENT = {"I": True, "N": False}
STARTING, RUNNING = job.State.STARTING, job.State.RUNNING
INTENDED = job.State.INTENDED


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limit the space; all states within the bounds are visited."""

    workers: int = 1
    epochs: int = 2
    attempts: int = 2
    restarts: int = 0  # of worker 0
    tasks: str = "IN"  # other tasks are final in the initial state


@dataclasses.dataclass(frozen=True)
class Rules:
    """Say which rules are in force; removing one must break an invariant."""

    fence: bool = True  # workers refuse lower epochs
    takeover_wait: bool = True  # a claim waits until the owner's lease has expired
    intent_record: bool = True  # a start of N waits until its intent is durable
    restore_wait: bool = True  # restored tasks wait until all workers are settled
    lost_wait: bool = True  # a lost worker's lease must have expired


class View(NamedTuple):
    """What a process knows of a task; `worker` is 0 while it has none."""

    state: str
    worker: int
    attempt: int
    incarnation: int  # of the worker


class Start(NamedTuple):
    """A start message in flight."""

    epoch: int
    task: str
    attempt: int
    worker: int


class Intent(NamedTuple):
    """The logged intent to start task `N`."""

    worker: int
    attempt: int
    incarnation: int


class Process(NamedTuple):
    """A process; `epoch` is 0 while it does not act as the owner.

    `n` and `i` are its views of the tasks `N` and `I`.
    """

    epoch: int
    age: int  # since its last successful renewal was sent
    renewal: int  # age of the unanswered renewal; -1 for none
    written: bool  # whether that renewal has reached the store
    seen: int  # time since it read the other's counter; -1 if that has changed
    attached: tuple[bool, ...]
    settled: tuple[bool, ...]  # attached or lost since the takeover
    since_renewal: tuple[int, ...]  # since it last renewed each worker's lease
    n: View
    i: View


class Worker(NamedTuple):
    """A worker; `running` and `ended` hold (task, attempt)."""

    epoch: int  # highest seen
    lease: int  # age of the lease
    incarnation: int
    running: frozenset[tuple[str, int]]
    ended: frozenset[tuple[str, int]]


class State(NamedTuple):
    """The store, the processes, the workers and the starts in flight."""

    epoch: int
    owner: int
    intent: Intent | None
    final: tuple[str, ...]  # tasks with an outcome in the log
    processes: tuple[Process, Process]
    workers: tuple[Worker, ...]
    starts: frozenset[Start]
    n_runs: int  # of task N


# Labelled successors of a state, named `s` in the modules of the steps; `p` is the
# number of a process and `w` that of a worker.
Steps = Iterator[tuple[str, State]]


def waiting(attempt: int) -> View:
    """Return the view of a task whose next start has this attempt number."""
    return View("waiting", 0, attempt, 0)


WAITING = waiting(1)
HELD = View("held", 0, 1, 0)
FINAL = View("final", 0, 0, 0)


def initial(bounds: Bounds) -> State:
    """Return the state in which process 0 owns and has attached all workers."""
    count = bounds.workers
    owner = Process(
        1,
        0,
        -1,
        False,
        -1,
        (True,) * count,
        (True,) * count,
        (0,) * count,
        WAITING if "N" in bounds.tasks else FINAL,
        WAITING if "I" in bounds.tasks else FINAL,
    )
    other = owner._replace(epoch=0, attached=(False,) * count)
    worker = Worker(1, 0, 0, frozenset(), frozenset())
    final = tuple(task for task in IDEMPOTENT if task not in bounds.tasks)
    return State(1, 0, None, final, (owner, other), (worker,) * count, frozenset(), 0)


def with_item(items: tuple, index: int, item: object) -> tuple:
    """Return the tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


def view_of(process: Process, task: str) -> View:
    """Return what a process knows of a task."""
    return process.n if task == "N" else process.i


def with_view(process: Process, task: str, view: View) -> Process:
    """Return a process with another view of a task."""
    return process._replace(n=view) if task == "N" else process._replace(i=view)


def with_process(state: State, number: int, process: Process) -> State:
    """Return the state with one process replaced."""
    return state._replace(processes=with_item(state.processes, number, process))


def holds_lease(process: Process) -> bool:
    """Return whether a process may act as the owner, by its own clock."""
    if not process.epoch:
        return False
    lease = ownership.renew(ownership.Lease(), -process.age, TIMING)
    return ownership.lease_state(lease, 0) is ownership.LeaseState.HELD


def without_partition_state(me: Process) -> Process:
    """Return a process without the state of a partition that it does not own."""
    count = len(me.attached)
    return me._replace(
        age=0,
        attached=(False,) * count,
        settled=(False,) * count,
        since_renewal=(0,) * count,
        n=FINAL,
        i=FINAL,
    )


INVARIANTS = {
    "one owner at a time": lambda d: (
        sum(holds_lease(process) for process in d["processes"]) <= 1
    ),
    "a non-idempotent task starts at most once": lambda d: d["n_runs"] <= 1,
    "no task runs in two places": lambda d: all(
        sum(task == name for worker in d["workers"] for name, _ in worker.running) <= 1
        for task in IDEMPOTENT
    ),
    "a non-idempotent task that ran has an intent or an outcome": lambda d: (
        not d["n_runs"] or d["intent"] is not None or "N" in d["final"]
    ),
}
