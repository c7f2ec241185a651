"""Service `mover`: moves idle workers to partitions that need more capacity."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable

import gevent
import logbook

from toucanspring import errors, kernel, settings, uptime
from toucanspring.adapters import tables
from toucanspring.cell import ownership_rows
from toucanspring.owners import inbox, partition, roster
from toucanspring.reporting import event_kinds
from toucanspring.scheduling import capacity_report, move_planner

log = logbook.Logger(__name__)

STEP_INTERVAL_S = 0.5
# While no partition needs workers. Each step wakes the partition's task, which is most
# of the CPU time of the mover in this state.
IDLE_INTERVAL_S = 1.0
# A moved worker that has not attached after this time is not expected to do so.
ATTACH_LIMIT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class AmbiguousMove:
    """A move whose transaction may or may not have taken effect."""

    epoch: int
    batch: move_planner.Batch
    checked_version: int


class Service:
    """Report the capacity needs of owned partitions and move their idle workers."""

    def __init__(
        self,
        core: kernel.Kernel,
        options: settings.Settings,
        clock: Callable[[], float] = uptime.now,
    ) -> None:
        self._kernel = core
        self._clock = clock
        self._enabled = options.moves == "on"
        self._reports: dict[int, capacity_report.CapacityReport] = {}
        self._ambiguous_moves: dict[int, AmbiguousMove] = {}
        self._steps: dict[int, gevent.Greenlet] = {}
        self._greenlet: gevent.Greenlet | None = None
        self._count_moves: Callable[[int], None] = lambda _moved: None

    def start(self) -> None:
        """Start to report needs and to move workers."""
        if self._enabled:
            self._kernel.find("membership").capacity_reports = self.capacity_reports
            counter = self._kernel.find("metrics").counter(
                "toucanspring_worker_moves_total",
                "Workers that this process has moved to other partitions.",
            )
            self._count_moves = lambda moved: counter.add({}, moved)
            self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop moving workers."""
        if self._greenlet is not None:
            self._greenlet.kill()
        gevent.killall(list(self._steps.values()))

    def capacity_reports(self) -> dict[int, capacity_report.CapacityReport]:
        """Return the capacity reports of owned partitions, for heartbeats."""
        owned = self._kernel.find("claims").owned()
        return {
            number: report
            for number, report in self._reports.items()
            if number in owned
        }

    def latest_reports(self) -> dict[int, capacity_report.CapacityReport]:
        """Return the latest report on each partition from its current owner."""
        found: dict[int, tuple[int, capacity_report.CapacityReport]] = {}
        peers = self._kernel.find("membership").peer_states()
        for message in peers.values():
            for number, report in message.capacity_reports.items():
                epoch = message.owned.get(number, 0)
                if epoch > found.get(number, (0, None))[0]:
                    found[number] = epoch, report
        owned = self._kernel.find("claims").owned()
        for number, report in self.capacity_reports().items():
            if owned[number] >= found.get(number, (0, None))[0]:
                found[number] = owned[number], report
        return {number: report for number, (_, report) in found.items()}

    def _run(self) -> None:
        while True:
            needed = any(
                report.gang or report.waiting
                for report in self.latest_reports().values()
            )
            gevent.sleep(STEP_INTERVAL_S if needed else IDLE_INTERVAL_S)
            if self._kernel.find("layout").layout.count == 1:
                self._reports.clear()
                continue
            owned = self._kernel.find("partitions").owned()
            for number in self._reports.keys() - owned.keys():
                del self._reports[number]
            for number, owner in owned.items():
                # A step that waits for the store delays only its own partition.
                running = self._steps.get(number)
                if owner.ready.is_set() and (running is None or running.dead):
                    self._steps[number] = gevent.spawn(self.step, owner)

    def step(self, owner: partition.Partition) -> None:
        """Report what a partition needs, then move workers that others need."""
        number = owner.number
        fleet = self._kernel.find("fleet")
        if not self._kernel.find("claims").may_start(number, self._clock()):
            self._reports.pop(number, None)
            return
        ambiguous = self._ambiguous_moves.get(number)
        if ambiguous is not None:
            self._resolve(owner, ambiguous)
        reports = self.latest_reports()
        latest = max((each.workers_version for each in reports.values()), default=0)
        if latest > fleet.roster.version:
            fleet.reread()
        cell_view = self._cell_view(owner)
        ambiguous = self._ambiguous_moves.get(number)
        moving = frozenset(ambiguous.batch.workers if ambiguous else ())

        def decide(
            scheduler: object,
        ) -> tuple[capacity_report.CapacityReport, move_planner.Batch | None]:
            now = self._clock()
            report = scheduler.move_planner.report(cell_view, now)
            batch = scheduler.move_planner.plan(
                number, {**reports, number: report}, cell_view, now, moving
            )
            return report, batch

        decided = owner.ask(decide)
        if isinstance(decided, errors.Failure):
            return
        self._reports[number], batch = decided
        if batch is not None:
            self._move(owner, batch)

    def _cell_view(self, owner: partition.Partition) -> move_planner.CellView:
        fleet = self._kernel.find("fleet")
        now = self._clock()
        attached = owner.attached_workers()
        return move_planner.CellView(
            fleet.roster.version,
            dict(fleet.roster.changed_at),
            dict(fleet.roster.moved_at),
            owner.journal.state.accepted_ms,
            {
                worker: listed
                for worker, listed in fleet.listed(owner.number).items()
                if worker not in attached
                and now - fleet.roster.moved_at.get(worker, -ATTACH_LIMIT_S)
                < ATTACH_LIMIT_S
            },
            fleet.listed_elsewhere(owner.number),
            owner.bound_workers(),
            self._kernel.find("layout").layout.current,
            collections.Counter(fleet.roster.partitions.values()),
        )

    # Transactions

    def _move(self, owner: partition.Partition, batch: move_planner.Batch) -> None:
        """Move empty, cordoned workers in the row `workers`."""
        number = owner.number
        fleet = self._kernel.find("fleet")
        known = fleet.roster
        if any(known.partitions.get(worker) != number for worker in batch.workers):
            fleet.reread()
            return
        changed = {**known.partitions, **dict.fromkeys(batch.workers, batch.receiver)}
        version = known.version
        answer = self._kernel.find("store").tables.transact(
            # The transaction checks the ownership row, since a former owner must not
            # move a worker on which its successor starts tasks.
            {
                roster.WORKERS_ROW: version,
                ownership_rows.key_of(number): owner.row_version,
            },
            {roster.WORKERS_ROW: roster.encode(changed)},
            (),
        )
        match answer:
            case tables.Committed(versions=versions):
                if versions[roster.WORKERS_ROW] > known.version:
                    known.replace(versions[roster.WORKERS_ROW], changed, self._clock())
                self._finish_move(owner, batch)
            case errors.Ambiguous():
                self._ambiguous_moves[number] = AmbiguousMove(
                    owner.epoch, batch, version
                )
            case errors.Conflict():
                # A repeated transaction may conflict with its own first attempt, so
                # an ambiguous move is resolved after the next read of the row.
                fleet.reread()
            case _:
                log.info("partition {}: move failed: {}", number, answer.reason)

    def _resolve(self, owner: partition.Partition, ambiguous: AmbiguousMove) -> None:
        """Find out whether a move with a lost response has taken effect."""
        number = owner.number
        if ambiguous.epoch != owner.epoch:
            # The later epoch read the row after its claim, so the transaction either
            # was included in that read or fails its ownership check.
            del self._ambiguous_moves[number]
            return
        fleet = self._kernel.find("fleet")
        if fleet.reread() is not None:
            return
        still_owned = fleet.roster.partitions.get(ambiguous.batch.workers[0]) == number
        match roster.ambiguous_move_result(
            fleet.roster.version, ambiguous.checked_version, still_owned
        ):
            case "repeat":
                # Resolves the ambiguity: both transactions check the same version, so
                # only one of them can take effect.
                self._move(owner, ambiguous.batch)
            case "moved":
                self._finish_move(owner, ambiguous.batch)
            case _:
                del self._ambiguous_moves[number]

    def _finish_move(
        self, owner: partition.Partition, batch: move_planner.Batch
    ) -> None:
        self._ambiguous_moves.pop(owner.number, None)
        for worker in batch.workers:
            self._kernel.find("fleet").release_worker(owner.number, worker)
            owner.post(inbox.WorkerMoved(worker))
        self._count_moves(len(batch.workers))
        self._kernel.publish(
            event_kinds.WorkersMoved(tuple(batch.workers), owner.number, batch.receiver)
        )
        log.info(
            "partition {}: moved {} to partition {}",
            owner.number,
            ", ".join(batch.workers),
            batch.receiver,
        )
