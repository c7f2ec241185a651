"""States, bounds and invariants of the model of worker moves."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

LEASE = 1  # units of time; a worker refuses starts once its lease has this age
STOPPED = 2  # units after a renewal at which the tasks have ended
UNASSIGNED = -1  # the row has no entry for the worker
UNLOADED = -1  # an owner that has not read the row yet


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limit the space; all states within the bounds are visited."""

    epochs: tuple[int, int] = (2, 1)  # of each partition
    versions: int = 3  # of the row `workers`
    attempts: int = 1  # starts of each task on the worker
    tasks: tuple[int, ...] = (
        0,
    )  # partitions with a task to run; those of others have ended
    writes: bool = False  # whether others write the row for other workers
    drops: bool = False  # whether the worker may leave the row


@dataclasses.dataclass(frozen=True)
class Rules:
    """Say which rules are in force; removing one must break a property."""

    ownership_check: bool = True  # the transaction checks the donor's ownership row
    version_check: bool = True  # and the version of the row `workers`
    lease_wait: bool = True  # a worker with a valid lease refuses other partitions
    drain: bool = True  # only empty workers move
    withhold: bool = True  # a worker whose move is in doubt gets no tasks
    release: bool = True  # the donor ends its lease and closes its link
    own_drop: bool = True  # only its own owner drops a lost worker from the row


class Move(NamedTuple):
    """A transaction of an owner; `target` is a partition or `UNASSIGNED`."""

    state: str  # planned, sent, doubt or resent
    version: int
    target: int


class Owner(NamedTuple):
    """Owner of a partition in one epoch, kept after its end if the process runs."""

    holds: bool  # whether it owns the partition by its own clock
    seen: int  # version of the row, or UNLOADED
    link: str  # none, open, attached or lost
    since_renewal: int  # time since it last renewed the worker's lease
    move: Move | None
    task: str  # held, waiting, worker, fixed_worker or final
    attempt: int


class Write(NamedTuple):
    """A transaction in flight."""

    partition: int
    epoch: int
    version: int
    target: int
    repeated: bool  # an earlier one with the same checks was sent


class Start(NamedTuple):
    """A start message in flight."""

    partition: int
    epoch: int
    attempt: int


class Worker(NamedTuple):
    """The worker; its sets hold (partition, attempt).

    Once its lease has expired, tasks are `stopping`, and no later lease resumes them.
    """

    partition: int  # that it serves
    epochs: tuple[int, int]  # highest seen
    lease: int  # age
    running: frozenset[tuple[int, int]]
    stopping: frozenset[tuple[int, int]]
    ended: frozenset[tuple[int, int]]


class State(NamedTuple):
    """The store, the owners by partition and epoch, the worker, the messages."""

    rows: tuple[int, ...]  # partition of the worker by version
    epochs: tuple[int, int]
    owners: tuple[tuple[Owner | None, ...], tuple[Owner | None, ...]]  # None: died
    worker: Worker
    on_fixed_worker: frozenset[
        int
    ]  # partitions whose task runs on a worker that never moves
    final: frozenset[int]
    writes: frozenset[Write]
    starts: frozenset[Start]


# Labelled successors of a state `s`; `p` is a partition, `e` an epoch.
Steps = Iterator[tuple[str, State]]


def initial(bounds: Bounds) -> State:
    """Return the state in which partition 0 has the worker and nothing runs."""
    tasks = ["waiting" if p in bounds.tasks else "final" for p in (0, 1)]
    donor = Owner(True, 0, "attached", 0, None, tasks[0], 1)
    receiver = Owner(True, 0, "none", 0, None, tasks[1], 1)
    worker = Worker(0, (1, 0), 0, frozenset(), frozenset(), frozenset())
    nothing = frozenset()
    return State(
        (0,),
        (1, 1),
        ((donor,), (receiver,)),
        worker,
        nothing,
        frozenset(p for p in (0, 1) if p not in bounds.tasks),
        nothing,
        nothing,
    )


def with_owner(s: State, p: int, e: int, owner: Owner | None) -> State:
    """Return the state with one owner replaced."""
    own = (*s.owners[p][: e - 1], owner, *s.owners[p][e:])
    return s._replace(owners=(own, s.owners[1]) if p == 0 else (s.owners[0], own))


def running_or_stopping(worker: Worker) -> frozenset[tuple[int, int]]:
    """Return the tasks on the worker, including those that are stopping."""
    return worker.running | worker.stopping


def is_served(s: State) -> bool:
    """Return whether the worker is attached to the owner of the row's partition."""
    p = s.rows[-1]
    if p == UNASSIGNED:
        return False
    owner = s.owners[p][s.epochs[p] - 1]
    return owner is not None and owner.holds and owner.link == "attached"


def is_finished(s: State) -> bool:
    """Return whether each task has ended."""
    return len(s.final) == len(s.epochs)


INVARIANTS = {
    "a worker runs tasks of one partition at a time": lambda d: (
        len({p for p, _ in running_or_stopping(d["worker"])}) <= 1
    ),
    "no task runs in two places": lambda d: all(
        sum(p == name for name, _ in running_or_stopping(d["worker"]))
        + (p in d["on_fixed_worker"])
        <= 1
        for p in (0, 1)
    ),
}
# From each state, steps without further faults must lead to such a state.
GOALS = {
    "the worker is eventually attached to its owner": is_served,
    "no task is lost": is_finished,
}
