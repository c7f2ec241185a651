"""Model of one task under coordinators that may be paused or replaced at any time.

A paused coordinator takes no step while others do. Another process may acquire the
leader lease at any time, even before it has expired. A coordinator may release its
lease, or end and acquire it again. A write in flight takes effect or fails at any later
time, and may take effect once more if its answer was lost. An order
arrives at any time. Tasks run and end, and worker leases expire. With `failing` a run
may fail, and a coordinator begins without the configuration, which says how many failed
runs are allowed. The rules are those of `attempts`, `fenced_writer`, `leadership`,
`dispatch` and `reports` of the coordinator, restated here, since these perform I/O;
`ACTIONS` maps each action to its implementation.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

ACTIONS = {
    "claim": "toucanspring.coordinator.leader_lease.acquire",
    "release": "toucanspring.coordinator.fenced_writer.FencedWriter.release",
    "restart": "toucanspring.coordinator.leader_lease.acquire",
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
    "task fails": "standins.lease_workers.LeaseWorkers.poll",
    "read configuration": "toucanspring.coordinator.leadership.Leadership",
    "fail job": "toucanspring.coordinator.attempts.fail_exhausted",
}
NO_WORKER = -1
ALLOWED_FAILURES = 2  # by the configuration
DEFAULT_FAILURES = 1  # allowed by no configuration


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limit the space; all states within the bounds are visited."""

    workers: int = 2
    claims: int = 2  # of the leader lease
    runs: int = 2  # starts of the task
    failing: bool = False  # runs may fail, and configurations are read late
    releases: bool = False  # holders may release the lease, or end and restart


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
    known_renewals: bool = True  # the lease tells of all former holders that may renew
    known_configuration: bool = True  # failed runs are judged by a configuration read


class Record(NamedTuple):
    """The durable row of the task; `counted` is the latest run that failed."""

    run: int = 0
    worker: int = NO_WORKER
    done: bool = False
    failures: int = 0
    counted: int = 0
    job_failed: bool = False


class Coordinator(NamedTuple):
    """A coordinator; `write` is in flight, `placing`: a start has yet to be ordered.

    It waits until the holders `former` give no more orders.
    """

    epoch: int
    version: int
    record: Record
    write: Record | None = None
    placing: bool = False
    expired: bool = False
    configured: bool = True
    former: frozenset[int] = frozenset()  # epochs


class Worker(NamedTuple):
    """A worker; `running`, `ended` and `highest` are numbers of runs, 0 for none."""

    epoch: int = 0
    running: int = 0
    ended: int = 0
    highest: int = 0
    failed: bool = False  # the ended run


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
    failures: int = 0  # of runs
    acknowledged_failures: int = 0
    # Of the leader lease: epochs of those that may give orders, the holder included.
    renewing: frozenset[int] = frozenset()


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
        yield from self._change_holder(s)
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

    def _change_holder(self, s: State) -> Steps:
        if len(s.coordinators) < self._bounds.claims:
            yield "claim", self._claim(s, s.renewing)
        if not self._bounds.releases or not s.coordinators:
            return
        holder = s.coordinators[-1]
        if holder.expired:
            return
        # It gives no more orders. A write that it has sent may still take effect.
        ended = _with_coordinator(
            s, len(s.coordinators) - 1, holder._replace(expired=True, write=None)
        )
        if holder.write is not None:
            duplicate = (holder.version, holder.write)
            ended = ended._replace(duplicates=s.duplicates | {duplicate})
        others = s.renewing - {holder.epoch}
        if not self._rules.known_renewals:
            others = frozenset()
        if holder.epoch in s.renewing:
            yield "release", ended._replace(version=s.version + 1, renewing=others)
        if len(s.coordinators) < self._bounds.claims:
            yield "restart", self._claim(ended, others)

    def _claim(self, s: State, former: frozenset[int]) -> State:
        new = Coordinator(
            s.epoch + 1,
            s.version + 1,
            s.record,
            configured=not self._bounds.failing,
            former=former,
        )
        return s._replace(
            epoch=new.epoch,
            version=new.version,
            coordinators=(*s.coordinators, new),
            renewing=former | {new.epoch},
        )

    def _decide(self, s: State, index: int, c: Coordinator) -> Steps:
        record = c.record
        if not c.configured:
            known = c._replace(configured=True)
            yield "read configuration", _with_coordinator(s, index, known)
        ended = record.done or record.job_failed
        free = c.write is None and not c.placing and not ended
        waiting = free and record.worker == NO_WORKER
        if waiting and self._is_exhausted(c):
            failed = c._replace(write=record._replace(job_failed=True))
            yield "fail job", _with_coordinator(s, index, failed)
        elif waiting and c.configured and record.run < self._bounds.runs:
            for worker in range(self._bounds.workers):
                placed = record._replace(run=record.run + 1, worker=worker)
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

    def _is_exhausted(self, c: Coordinator) -> bool:
        """Return whether the rules in force let the job fail."""
        if c.configured:
            return c.record.failures >= ALLOWED_FAILURES
        return (
            not self._rules.known_configuration
            and c.record.failures >= DEFAULT_FAILURES
        )

    def _may_mark_lost(self, s: State, c: Coordinator) -> bool:
        """Return whether the rules in force allow to give up the worker of the task."""
        if not self._rules.lease_wait:
            return True
        name = c.record.worker
        under_way = any(order[2] == name for order in s.orders)
        # A coordinator that was replaced may still give orders until its lease expires.
        active = self._rules.expiry and any(
            not other.expired for other in s.coordinators if other.epoch in c.former
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
            if worker.ended and worker.failed and worker.ended == record.counted:
                acknowledged = _with_worker(s, name, seen._replace(ended=0))
                yield (
                    "acknowledge",
                    acknowledged._replace(
                        acknowledged_failures=s.acknowledged_failures + 1
                    ),
                )
                continue
            if worker.ended and worker.ended == record.run:
                if not record.done and ours:
                    ended = c._replace(write=_with_end(record, worker))
                    yield (
                        "poll",
                        _with_worker(_with_coordinator(s, index, ended), name, seen),
                    )
                if not worker.failed and (record.done or not self._rules.durable_end):
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
            started = worker._replace(
                epoch=max(epoch, worker.epoch), running=run, highest=run
            )
            yield "order arrives", _with_worker(remaining, name, started)
        for name, worker in enumerate(s.workers):
            if not worker.running:
                continue
            ended = worker._replace(running=0, ended=worker.running, failed=False)
            yield "task ends", _with_worker(s, name, ended)
            if self._bounds.failing:
                failed = _with_worker(s, name, ended._replace(failed=True))
                yield "task fails", failed._replace(failures=s.failures + 1)
            # An order carries a lease, so the orders in flight have expired as well.
            kept = frozenset(order for order in s.orders if order[2] != name)
            expired_worker = _with_worker(s, name, worker._replace(running=0))
            yield "worker lease expires", expired_worker._replace(orders=kept)


def _with_end(record: Record, worker: Worker) -> Record:
    if not worker.failed:
        return record._replace(done=True)
    return record._replace(
        worker=NO_WORKER, failures=record.failures + 1, counted=worker.ended
    )


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


def _fails_with_cause(fields: dict) -> bool:
    return not fields["record"].job_failed or fields["failures"] >= ALLOWED_FAILURES


def _counts_failures(fields: dict) -> bool:
    failures = fields["record"].failures
    return fields["acknowledged_failures"] <= failures <= fields["failures"]


def _starts_within_attempts(fields: dict) -> bool:
    record = fields["record"]
    return record.worker == NO_WORKER or record.failures < ALLOWED_FAILURES


INVARIANTS = {
    "the task runs in one place": _runs_in_one_place,
    "nothing runs after an acknowledged end": _stays_ended,
    "an acknowledged end is recorded": _is_recorded,
    "the job is failed only after the allowed number of failed runs": _fails_with_cause,
    "a failed run is counted once, and before it is acknowledged": _counts_failures,
    "no run starts after the allowed number of failed runs": _starts_within_attempts,
}
SPACES = (
    Bounds(workers=2, claims=2, runs=2),
    Bounds(workers=1, claims=3, runs=2),
    Bounds(workers=1, claims=2, runs=3, failing=True),
)
# Two former holders, one of which may be unknown to the third.
RELEASES = Bounds(claims=3, releases=True)
# Removed rule -> bounds that are large enough for the shortest counterexample.
REMOVALS = {
    "durable_intent": Bounds(),
    "leader_lease_check": Bounds(),
    "lease_rewrite": Bounds(claims=1, runs=2),
    "fence": Bounds(),
    "durable_end": Bounds(claims=1, runs=1),
    "lease_wait": Bounds(claims=1),
    "expiry": Bounds(),
    "known_configuration": Bounds(workers=1, failing=True),
}
