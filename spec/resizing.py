"""Model of one job ID while the number of partitions changes.

Each generation of the layout row maps the ID to one partition. Owners may be paused or
replaced at any time: a paused owner takes no step while others do, and a replaced owner
goes on with the state that it has. A write in flight takes effect, or fails, at any
later time, and its answer arrives at any time after that. Ended work is handed over.
The rules are those of `duplicate_check`, `log_check`, `handover` and `journal`,
restated here, since these perform I/O; `ACTIONS` maps each action to its
implementation.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

ACTIONS = {
    "change": "toucanspring.cell.layout.Service.change",
    "release": "toucanspring.cell.layout.Service.remove_former",
    "read row": "toucanspring.cell.layout.Service.reread",
    "report empty": "toucanspring.owners.handover.Service.step",
    "ask": "toucanspring.owners.duplicate_check.DuplicateCheck.check_jobs",
    "answer": "toucanspring.owners.log_check.LogCheck.verify",
    "accept": "toucanspring.owners.journal.Journal.append",
    "write": "toucanspring.owners.journal.Journal.append",
    "write answered": "toucanspring.owners.journal.Journal.append",
    "end": "toucanspring.owners.execution.Executor.carry_out",
    "hand over": "toucanspring.owners.handover.Service.step",
    "forget": "toucanspring.owners.handover.Service.step",
    "take over": "toucanspring.owners.journal.Journal.load",
}
NONE, LIVE, ENDED = "none", "live", "ended"


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limit the space; all states within the bounds are visited."""

    partitions: int = 2
    changes: int = 2  # of the row, releases of former numbers included
    takeovers: int = 1


@dataclasses.dataclass(frozen=True)
class Rules:
    """Say which rules are in force; removing one must break an invariant."""

    row_check: bool = True  # an acceptance checks the version of the layout row
    ask_former: bool = True  # owners of former partitions are asked
    settle_writes: bool = True  # a write in flight is settled before an answer
    ownership_check: bool = True  # the ownership row is read before an answer
    generation_check: bool = True  # no owner answers under an older generation
    forgetting_check: bool = True  # the removal of ended work checks the row as well
    adopted_first: bool = True  # ended work is removed only once durable elsewhere


class Row(NamedTuple):
    """Partition of the ID under the present number, and those under former ones."""

    present: int
    former: frozenset[int]


class Write(NamedTuple):
    """A write in flight; `sender` is the index of the owner handing over, else -1."""

    generation: int
    written: bool
    sender: int


class Owner(NamedTuple):
    """An owner; `view` is the generation of the row that it has read.

    `sealed` is the generation under which its log is completely known, `denied` holds
    the partitions that denied the ID under generation `asking`.
    """

    epoch: int
    partition: int
    known: str
    view: int
    sealed: int
    write: Write | None
    asking: int
    denied: frozenset[int]
    may_forget: int  # generation of a handover that was answered, else -1


class State(NamedTuple):
    """The rows by generation, the logs with their epochs, and the owners."""

    rows: tuple[Row, ...]
    empty: frozenset[int]  # partitions that reported so under the last generation
    logs: tuple[tuple[int, str], ...]
    owners: tuple[Owner, ...]
    acceptances: int


Steps = Iterator[tuple[str, State]]


class Model:
    """Enumerate the transitions under some rules and bounds."""

    def __init__(self, rules: Rules, bounds: Bounds) -> None:
        self._rules = rules
        self._bounds = bounds

    def protocol(self) -> minicheck.Protocol:
        """Return the model in the form that minicheck checks."""
        partitions = range(self._bounds.partitions)
        owners = tuple(
            Owner(1, p, NONE, 0, -1, None, -1, frozenset(), -1) for p in partitions
        )
        initial = State(
            (Row(0, frozenset()),),
            frozenset(),
            tuple((1, NONE) for _ in partitions),
            owners,
            0,
        )
        return minicheck.Protocol(
            name="resizing",
            candidate=False,
            fields=State._fields,
            initial=initial,
            transitions=lambda state: list(self._steps(state)),
            invariants=INVARIANTS,
        )

    def _steps(self, s: State) -> Steps:
        if len(s.rows) <= self._bounds.changes:
            yield from self._change(s)
        for index, owner in enumerate(s.owners):
            yield from self._read(s, index, owner)
            yield from self._accept(s, index, owner)
            yield from self._write(s, index, owner)
            yield from self._hand_over(s, index, owner)
        yield from self._take_over(s)

    def _change(self, s: State) -> Steps:
        row = s.rows[-1]
        for p in range(self._bounds.partitions):
            if p != row.present:
                changed = Row(p, (row.former | {row.present}) - {p})
                yield "change", s._replace(rows=(*s.rows, changed), empty=frozenset())
        if row.former and len(s.empty) == self._bounds.partitions:
            released = Row(row.present, frozenset())
            yield "release", s._replace(rows=(*s.rows, released), empty=frozenset())

    def _read(self, s: State, index: int, o: Owner) -> Steps:
        if o.view < len(s.rows) - 1:
            yield "read row", _with_owner(s, index, o._replace(view=len(s.rows) - 1))
        sealed = self._seal(s, o)
        last = len(s.rows) - 1
        fits = o.known == NONE or o.partition == s.rows[-1].present
        if sealed and sealed.view == last and fits and o.partition not in s.empty:
            after = _with_owner(s, index, sealed)
            yield "report empty", after._replace(empty=s.empty | {o.partition})

    def _seal(self, s: State, o: Owner) -> Owner | None:
        """Return the owner sealed under its generation, or `None` if it cannot be."""
        if o.sealed == o.view:
            return o
        if self._rules.settle_writes and o.write is not None:
            return None
        if self._rules.ownership_check and s.logs[o.partition][0] != o.epoch:
            return None
        return o._replace(sealed=o.view)

    def _accept(self, s: State, index: int, o: Owner) -> Steps:
        row = s.rows[o.view]
        free = o.known == NONE and o.write is None
        if free and o.asking < 0 and row.present == o.partition:
            asking = o._replace(asking=o.view, denied=frozenset())
            yield "ask", _with_owner(s, index, asking)
        if o.asking < 0:
            return
        for other, asked in enumerate(s.owners):
            if asked.partition not in s.rows[o.asking].former - o.denied:
                continue
            if self._rules.generation_check and asked.view < o.asking:
                continue
            sealed = self._seal(s, asked)
            if sealed is None:
                continue
            if asked.known == NONE:
                answered = o._replace(denied=o.denied | {asked.partition})
            else:
                answered = o._replace(asking=-1, denied=frozenset())
            yield "answer", _with_owner(_with_owner(s, other, sealed), index, answered)
        waits = self._rules.ask_former and s.rows[o.asking].former - o.denied
        if free and not waits:
            write = Write(o.asking, False, -1)
            sent = o._replace(write=write, asking=-1, denied=frozenset())
            yield "accept", _with_owner(s, index, sent)

    def _write(self, s: State, index: int, o: Owner) -> Steps:
        write = o.write
        if write is None:
            return
        if write.written:
            known = s.logs[o.partition][1] if write.sender < 0 else ENDED
            after = _with_owner(s, index, o._replace(write=None, known=known))
            if write.sender >= 0:
                after = _allow_forgetting(after, write.sender, write.generation)
            yield "write answered", after
            return
        # Without the check of an adoption no invariant breaks: the check keeps copies
        # out of partitions that have reported that they hold nothing.
        checked = self._rules.row_check or write.sender >= 0
        epoch, held = s.logs[o.partition]
        if epoch != o.epoch or (checked and write.generation != len(s.rows) - 1):
            yield "write fails", _with_owner(s, index, o._replace(write=None))
            return
        done = _with_owner(s, index, o._replace(write=write._replace(written=True)))
        if write.sender >= 0:
            yield "write", _with_log(done, o.partition, ENDED if held == NONE else held)
        elif held == NONE:
            accepted = done._replace(acceptances=s.acceptances + 1)
            yield "write", _with_log(accepted, o.partition, LIVE)

    def _hand_over(self, s: State, index: int, o: Owner) -> Steps:
        owned = s.logs[o.partition][0] == o.epoch
        if owned and o.known == LIVE and o.write is None:
            yield (
                "end",
                _with_log(
                    _with_owner(s, index, o._replace(known=ENDED)), o.partition, ENDED
                ),
            )
        present = s.rows[o.view].present
        if o.known == ENDED and present != o.partition and o.may_forget < 0:
            if not self._rules.adopted_first:
                yield "hand over", _with_owner(s, index, o._replace(may_forget=o.view))
            for other, receiver in enumerate(s.owners):
                if receiver.partition != present or receiver.write is not None:
                    continue
                if receiver.view == o.view:
                    write = Write(o.view, False, index)
                    sent = receiver._replace(write=write)
                    yield "hand over", _with_owner(s, other, sent)
        if o.may_forget < 0:
            return
        last = len(s.rows) - 1
        if not owned or (self._rules.forgetting_check and o.may_forget != last):
            yield "forgetting fails", _with_owner(s, index, o._replace(may_forget=-1))
        else:
            forgotten = o._replace(known=NONE, may_forget=-1)
            yield (
                "forget",
                _with_log(_with_owner(s, index, forgotten), o.partition, NONE),
            )

    def _take_over(self, s: State) -> Steps:
        if len(s.owners) >= self._bounds.partitions + self._bounds.takeovers:
            return
        for p, (epoch, held) in enumerate(s.logs):
            # Its process may not have read the row since it started.
            new = Owner(epoch + 1, p, held, 0, -1, None, -1, frozenset(), -1)
            logs = (*s.logs[:p], (epoch + 1, held), *s.logs[p + 1 :])
            yield "take over", s._replace(logs=logs, owners=(*s.owners, new))


def _with_owner(s: State, index: int, owner: Owner) -> State:
    return s._replace(owners=(*s.owners[:index], owner, *s.owners[index + 1 :]))


def _allow_forgetting(s: State, index: int, generation: int) -> State:
    """Let the sender of a handover remove the work it sent, if it still has it."""
    sender = s.owners[index]
    if sender.known != ENDED:
        return s
    return _with_owner(s, index, sender._replace(may_forget=generation))


def _with_log(s: State, p: int, held: str) -> State:
    logs = (*s.logs[:p], (s.logs[p][0], held), *s.logs[p + 1 :])
    return s._replace(logs=logs)


def _is_kept(fields: dict) -> bool:
    held = any(held != NONE for _, held in fields["logs"])
    return held or not fields["acceptances"]


def _is_live_once(fields: dict) -> bool:
    holders = [held for _, held in fields["logs"] if held != NONE]
    return LIVE not in holders or len(holders) == 1


INVARIANTS = {
    "an ID is accepted at most once": lambda fields: fields["acceptances"] <= 1,
    "accepted work is in a log": _is_kept,
    "work that has not ended is in one log": _is_live_once,
}
SPACES = (
    Bounds(partitions=2, changes=2, takeovers=1),
    Bounds(partitions=3, changes=2, takeovers=0),
)
# Removed rule -> bounds that are large enough for the shortest counterexample.
REMOVALS = {
    "row_check": Bounds(takeovers=0),
    "ask_former": Bounds(takeovers=0),
    "settle_writes": Bounds(takeovers=0),
    "ownership_check": Bounds(changes=1),
    "generation_check": Bounds(takeovers=0),
    "forgetting_check": Bounds(takeovers=0),
    "adopted_first": Bounds(takeovers=0),
}
