"""Model of one task under coordinators that may be paused or replaced at any time.

A paused coordinator takes no step while others do. Another process may acquire the
leader lease at any time, even before it has expired. A write in flight takes effect or
fails at any later time, and may take effect once more if its answer was lost. An order
arrives at any time. Tasks run and end, and worker leases expire. The rules are those of
`fenced_writer`, `leadership`, `dispatch` and `reports` of the coordinator, restated
here, since these perform I/O; `ACTIONS` maps each action to its implementation.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

ACTIONS = {
    "claim": "toucanspring.coordinator.leader_lease.acquire",
    "leader lease expires": "toucanspring.coordinator.leadership.Leadership.may_renew",
    "allocate": "toucanspring.coordinator.cell_state.CellState.allocate",
    "write": "toucanspring.coordinator.fenced_writer.FencedWriter.commit",
    "write fails": "toucanspring.coordinator.fenced_writer.FencedWriter.commit",
    "delayed duplicate": "toucanspring.coordinator.fenced_writer.FencedWriter.commit",
    "order": "toucanspring.coordinator.dispatch.Dispatcher.start",
    "order arrives": "standins.lease_workers.LeaseWorkers.start",
    "task ends": "standins.lease_workers.LeaseWorkers.poll",
    "worker lease expires": "standins.lease_workers.LeaseWorkers.poll",
    "poll": "toucanspring.coordinator.reports.apply_poll_reply",
    "acknowledge": "toucanspring.coordinator.leadership.Leadership.acknowledge_ends",
    "mark lost": "toucanspring.coordinator.reports.mark_lost",
}
NO_WORKER = -1


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limit the space; all states within the bounds are visited."""

    workers: int = 2
    claims: int = 2  # of the leader lease
    runs: int = 2  # starts of the task


@dataclasses.dataclass(frozen=True)
class Rules:
    """Say which rules are in force; removing one must break an invariant."""

    durable_intent: bool = True  # a start is ordered only once its record is durable
    leader_lease_check: bool = True  # a write checks the leader lease's row
    lease_rewrite: bool = True  # and rewrites it, so that a delayed duplicate fails
    fence: bool = True  # workers refuse lower epochs
    durable_end: bool = True  # an end is acknowledged only once it is durable
    lease_wait: bool = True  # a worker is lost only once its lease has expired
    expiry: bool = True  # without its lease a coordinator soon stops giving orders


class Record(NamedTuple):
    """The durable row of the task: its run, its worker, and whether it is done."""

    run: int = 0
    worker: int = NO_WORKER
    done: bool = False


class Coordinator(NamedTuple):
    """A coordinator; `write` is in flight, `placing`: a start has yet to be ordered."""

    epoch: int
    version: int
    record: Record
    write: Record | None = None
    placing: bool = False
    expired: bool = False


class Worker(NamedTuple):
    """A worker; `running`, `ended` and `highest` are numbers of runs, 0 for none."""

    epoch: int = 0
    running: int = 0
    ended: int = 0
    highest: int = 0


class State(NamedTuple):
    """The rows of the store, duplicates of writes, coordinators, workers and orders."""

    epoch: int
    version: int
    record: Record
    duplicates: frozenset[tuple[int, Record]]
    acknowledged: bool
    coordinators: tuple[Coordinator, ...]
    workers: tuple[Worker, ...]
    orders: frozenset[tuple[int, int, int]]  # epoch, run, worker


Steps = Iterator[tuple[str, State]]


class Model:
    """Enumerate the transitions under some rules and bounds."""

    def __init__(self, rules: Rules, bounds: Bounds) -> None:
        self._rules = rules
        self._bounds = bounds

    def protocol(self) -> minicheck.Protocol:
        """Return the model in the form that minicheck checks."""
        workers = tuple(Worker() for _ in range(self._bounds.workers))
        initial = State(0, 0, Record(), frozenset(), False, (), workers, frozenset())
        return minicheck.Protocol(
            name="coordination",
            candidate=False,
            fields=State._fields,
            initial=initial,
            transitions=lambda state: list(self._steps(state)),
            invariants=INVARIANTS,
        )

    def _steps(self, s: State) -> Steps:
        if len(s.coordinators) < self._bounds.claims:
            new = Coordinator(s.epoch + 1, s.version + 1, s.record)
            yield (
                "claim",
                s._replace(
                    epoch=s.epoch + 1,
                    version=s.version + 1,
                    coordinators=(*s.coordinators, new),
                ),
            )
        for index, coordinator in enumerate(s.coordinators):
            if not coordinator.expired:
                # Without a successor it renews its lease.
                if coordinator.epoch < s.epoch:
                    yield (
                        "leader lease expires",
                        _with_coordinator(s, index, coordinator._replace(expired=True)),
                    )
                yield from self._decide(s, index, coordinator)
                yield from self._poll(s, index, coordinator)
            if coordinator.write is not None:
                yield self._write(s, index, coordinator)
        for version, record in s.duplicates:
            if version == s.version:
                overwritten = s._replace(record=record, duplicates=frozenset())
                yield "delayed duplicate", overwritten
        yield from self._worker_steps(s)

    def _decide(self, s: State, index: int, c: Coordinator) -> Steps:
        record = c.record
        free = c.write is None and not c.placing and not record.done
        if free and record.worker == NO_WORKER and record.run < self._bounds.runs:
            for worker in range(self._bounds.workers):
                placed = Record(record.run + 1, worker, False)
                if self._rules.durable_intent:
                    yield (
                        "allocate",
                        _with_coordinator(s, index, c._replace(write=placed)),
                    )
                else:
                    chosen = c._replace(record=placed, placing=True)
                    yield "allocate", _with_coordinator(s, index, chosen)
        if c.placing:
            order = (c.epoch, record.run, record.worker)
            sent = _with_coordinator(s, index, c._replace(placing=False))
            yield "order", sent._replace(orders=s.orders | {order})
        if free and record.worker != NO_WORKER and self._may_mark_lost(s, c):
            rescheduled = c._replace(record=record._replace(worker=NO_WORKER))
            yield "mark lost", _with_coordinator(s, index, rescheduled)

    def _may_mark_lost(self, s: State, c: Coordinator) -> bool:
        """Return whether the rules in force allow to give up the worker of the task."""
        if not self._rules.lease_wait:
            return True
        name = c.record.worker
        under_way = any(order[2] == name for order in s.orders)
        # A coordinator that was replaced may still give orders until its lease expires.
        active = self._rules.expiry and any(
            not other.expired for other in s.coordinators if other.epoch < c.epoch
        )
        return not (s.workers[name].running or under_way or active)

    def _write(self, s: State, index: int, c: Coordinator) -> tuple[str, State]:
        if self._rules.leader_lease_check and c.version != s.version:
            lost = c._replace(write=None, expired=True)
            return "write fails", _with_coordinator(s, index, lost)
        version = s.version + 1 if self._rules.lease_rewrite else s.version
        started = c.write.worker != NO_WORKER and not c.write.done
        written = c._replace(
            record=c.write, write=None, placing=started, version=version
        )
        after = _with_coordinator(s, index, written)
        return "write", after._replace(
            record=c.write,
            version=version,
            duplicates=s.duplicates | {(s.version, c.write)},
        )

    def _poll(self, s: State, index: int, c: Coordinator) -> Steps:
        record = c.record
        for name, worker in enumerate(s.workers):
            if self._rules.fence and worker.epoch > c.epoch:
                continue
            seen = worker._replace(epoch=max(worker.epoch, c.epoch))
            ours = record.worker == name and not c.placing and c.write is None
            if worker.ended and worker.ended == record.run:
                if not record.done and ours:
                    ended = c._replace(write=record._replace(done=True))
                    yield (
                        "poll",
                        _with_worker(_with_coordinator(s, index, ended), name, seen),
                    )
                if record.done or not self._rules.durable_end:
                    acknowledged = _with_worker(s, name, seen._replace(ended=0))
                    yield "acknowledge", acknowledged._replace(acknowledged=True)
                continue
            if worker.running and worker.running != record.run:
                # This coordinator did not place the run, so it stops it.
                yield "poll", _with_worker(s, name, seen._replace(running=0))
                continue
            answered = (c.epoch, record.run, name) not in s.orders
            if ours and not record.done and not worker.running and answered:
                free = c._replace(record=record._replace(worker=NO_WORKER))
                yield (
                    "poll",
                    _with_worker(_with_coordinator(s, index, free), name, seen),
                )
            elif seen != worker:
                yield "poll", _with_worker(s, name, seen)

    def _worker_steps(self, s: State) -> Steps:
        for order in s.orders:
            epoch, run, name = order
            worker = s.workers[name]
            remaining = s._replace(orders=s.orders - {order})
            fenced = self._rules.fence and epoch < worker.epoch
            if fenced or run <= worker.highest:
                yield "order arrives", remaining
                continue
            started = Worker(max(epoch, worker.epoch), run, worker.ended, run)
            yield "order arrives", _with_worker(remaining, name, started)
        for name, worker in enumerate(s.workers):
            if not worker.running:
                continue
            ended = worker._replace(running=0, ended=worker.running)
            yield "task ends", _with_worker(s, name, ended)
            # An order carries a lease, so the orders in flight have expired as well.
            kept = frozenset(order for order in s.orders if order[2] != name)
            expired_worker = _with_worker(s, name, worker._replace(running=0))
            yield "worker lease expires", expired_worker._replace(orders=kept)


def _with_coordinator(s: State, index: int, changed: Coordinator) -> State:
    coordinators = (*s.coordinators[:index], changed, *s.coordinators[index + 1 :])
    return s._replace(coordinators=coordinators)


def _with_worker(s: State, name: int, changed: Worker) -> State:
    return s._replace(workers=(*s.workers[:name], changed, *s.workers[name + 1 :]))


def _runs_in_one_place(fields: dict) -> bool:
    return sum(worker.running > 0 for worker in fields["workers"]) <= 1


def _stays_ended(fields: dict) -> bool:
    return not fields["acknowledged"] or not any(
        each.running for each in fields["workers"]
    )


def _is_recorded(fields: dict) -> bool:
    return not fields["acknowledged"] or fields["record"].done


INVARIANTS = {
    "the task runs in one place": _runs_in_one_place,
    "nothing runs after an acknowledged end": _stays_ended,
    "an acknowledged end is recorded": _is_recorded,
}
SPACES = (
    Bounds(workers=2, claims=2, runs=2),
    Bounds(workers=1, claims=3, runs=2),
)
# Removed rule -> bounds that are large enough for the shortest counterexample.
REMOVALS = {
    "durable_intent": Bounds(),
    "leader_lease_check": Bounds(),
    "lease_rewrite": Bounds(claims=1, runs=2),
    "fence": Bounds(),
    "durable_end": Bounds(claims=1, runs=1),
    "lease_wait": Bounds(claims=1),
    "expiry": Bounds(),
}
