"""Service `budgets`: keeps the counts of error budgets in the table service.

Each run of a process is one writer with one row, which it replaces to add the minutes
that are complete. Rows of runs that have ended are folded into the row of a live writer
in one transaction, so each count is in exactly one row. Minutes are taken from the wall
clock of the writer and matter only for reports: whether a count was written is decided
by row versions alone.
"""

from __future__ import annotations

import dataclasses
import random
import secrets
import time
from collections.abc import Callable, Iterable

import gevent
import logbook
import msgspec

from toucanspring import errors, kernel, uptime
from toucanspring.adapters import tables
from toucanspring.reporting import burn

log = logbook.Logger(__name__)

PREFIX = "burn/"
# 9 processes make 0.075 writes per second, 128 make 1.1. A process that is killed loses
# up to 192 s of counts: an interval with its jitter and the minute open before it.
WRITE_INTERVAL_S = 120.0
# Interval while it is unknown whether the last write took effect.
IN_DOUBT_RETRY_S = 10.0
FOLD_INTERVAL_S = 3600.0
# The owner of partition 0 folds rows whose counts are this old. A writer that was only
# idle starts a new row after that.
INACTIVE_MINUTES = 360
TOMBSTONE_MINUTES = 1440
ROWS_PER_FOLD = 20
PAGE_ROWS = 50
# Writers that a row names as folded into it; a report needs those of the last seconds.
KEPT_FOLDED = 64
STOP_LIMIT_S = 3.0


class Row(msgspec.Struct, frozen=True):
    """Row `burn/<process>/<writer>`; writer and sequence make each value unique.

    A folded row stays for a day as a tombstone without counts, with the minute of the
    fold in `ended`: without it, a delayed first write would find no row and take effect
    again.
    """

    writer: str
    sequence: int
    folded: list[str]
    series: list[burn.Series]
    ended: int = 0


class Export(msgspec.Struct, frozen=True):
    """All counts known to a live process; `minute` is the current one by its clock.

    `sequence` is that of the row last known to be written. `doubtful` counts were sent
    to the store, which did not answer. `lost` requests were dropped, because they may
    already be counted in another row.
    """

    minute: int
    writer: str
    sequence: int
    folded: list[str]
    written: list[burn.Series]
    doubtful: list[burn.Series]
    unwritten: list[burn.Series]
    lost: int = 0


@dataclasses.dataclass(slots=True)
class Attempt:
    """Transaction that is kept until it is known whether it took effect."""

    row: Row
    value: bytes
    checks: dict[str, int]
    tombstones: dict[str, bytes]
    deletes: list[str]
    new_counts: burn.Counts  # unwritten before this attempt
    in_doubt: bool = False  # may have taken effect, or may still do so


_encode = msgspec.msgpack.encode
_decoder = msgspec.msgpack.Decoder(Row)


def read_rows(
    client: tables.TableClient, prefix: str = PREFIX
) -> dict[str, tuple[int, Row]] | errors.Failure:
    """Return version and content of the rows of all writers."""
    found: dict[str, tuple[int, Row]] = {}
    after = ""
    while True:
        page = client.scan(prefix, after, PAGE_ROWS)
        if isinstance(page, errors.Failure):
            return page
        for keyed in page:
            try:
                found[keyed.key] = keyed.version, _decoder.decode(keyed.value)
            except msgspec.MsgspecError as error:
                log.error("row {}: {}", keyed.key, error)
        if len(page) < PAGE_ROWS:
            return found
        after = page[-1].key


def join(
    rows: Iterable[Row], exports: Iterable[Export], minute: int
) -> list[list[burn.Sample]]:
    """Return the samples of the cell, each count once.

    The rows must be read before the exports are requested: the counts of a row that is
    folded in between are then in both, and the export lists that row in `folded`.
    """
    rows, exports = list(rows), list(exports)
    skipped = {name for part in (*rows, *exports) for name in part.folded}
    known = {export.writer: export.sequence for export in exports}
    # A row with a later sequence than its export includes the doubtful counts and the
    # rows folded in the same write.
    ahead = {row.writer for row in rows if row.sequence > known.get(row.writer, -1)}
    found = [
        burn.samples(row.series, minute)
        for row in rows
        if row.writer in ahead - skipped
    ]
    for export in exports:
        parts = [export.unwritten]
        if export.writer not in skipped | ahead:
            parts += [export.written, export.doubtful]
        found += [burn.samples(part, export.minute) for part in parts]
    return found


class Service:
    """Manage the row of this run and the counts that are not written yet."""

    def __init__(
        self,
        core: kernel.Kernel,
        settings: object,
        clock: Callable[[], float] = uptime.now,
        wall_clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        self._kernel = core
        self._prefix = f"{PREFIX}{settings.process}/"
        self._clock = clock
        self._wall_clock = wall_clock
        self._rng = rng or random.Random()
        self._unwritten = burn.Counts()
        self._attempt: Attempt | None = None
        self._may_be_folded = False
        self._fold_earlier_runs = True  # rows of earlier runs under this name
        self._fold_all_at = clock() + FOLD_INTERVAL_S
        self._lost = 0
        self._greenlet: gevent.Greenlet | None = None
        self._begin_row()

    def start(self) -> None:
        """Start to write complete minutes periodically."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Write all remaining counts; gives up after `STOP_LIMIT_S`."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        with gevent.Timeout(STOP_LIMIT_S, False):
            if self._attempt is not None:
                self.write()
            self.write(include_open=True)

    def export(self) -> Export:
        """Return all counts that this process knows."""
        minute = self._minute()
        unwritten = burn.Counts(self._unwritten.series())
        unwritten.add_samples(self._recorder.export(self._clock()), minute)
        attempt = self._attempt
        return Export(
            minute,
            self._row.writer,
            self._row.sequence,
            self._row.folded,
            self._row.series,
            [] if attempt is None else attempt.new_counts.series(),
            unwritten.series(),
            self._lost,
        )

    def write(self, include_open: bool = False) -> None:
        """Settle the last write if it is in doubt, then write the complete minutes."""
        if self._attempt is not None:
            self._settle(self._attempt)
        if self._attempt is not None or not self._confirm_row():
            return
        minute = self._minute()
        samples = self._recorder.take(self._clock(), include_open)
        self._unwritten.add_samples(samples, minute)
        self._unwritten = self._unwritten.merged(minute)
        folded = self._rows_to_fold(minute)
        if self._unwritten or folded:
            self._attempt = self._plan(folded, minute)
            self._unwritten = burn.Counts()
            self._send(self._attempt)

    # Internals

    @property
    def _tables(self) -> tables.TableClient:
        return self._kernel.find("store").tables

    @property
    def _recorder(self) -> burn.Recorder:
        return self._kernel.find("requests").burn

    @property
    def _key(self) -> str:
        return self._prefix + self._row.writer

    def _minute(self) -> int:
        return int(self._wall_clock() // 60)

    def _run(self) -> None:
        # A random delay, so that processes that start together do not write together.
        gevent.sleep(self._rng.uniform(0, WRITE_INTERVAL_S))
        while True:
            try:
                self.write()
            except Exception:
                log.exception("writing error budgets failed")
            in_doubt = self._attempt is not None
            pause_s = IN_DOUBT_RETRY_S if in_doubt else WRITE_INTERVAL_S
            gevent.sleep(pause_s * self._rng.uniform(0.9, 1.1))

    def _begin_row(self) -> None:
        self._row = Row(secrets.token_hex(8), 0, [], [])
        self._version = 0

    def _confirm_row(self) -> bool:
        """Start a new row if another process has folded the present one."""
        if not self._may_be_folded:
            return True
        rows = self._tables.read([self._key])
        if isinstance(rows, errors.Failure):
            return False
        if rows[self._key].version != self._version:
            log.info("another process folded the error budget row of this process")
            self._begin_row()
        self._may_be_folded = False
        return True

    def _rows_to_fold(self, minute: int) -> dict[str, tuple[int, Row]]:
        """Return the rows whose writers have probably ended."""
        fold_all = (
            self._clock() >= self._fold_all_at
            and 0 in self._kernel.find("claims").owned()
        )
        if not fold_all and not self._fold_earlier_runs:
            return {}
        found = read_rows(self._tables, PREFIX if fold_all else self._prefix)
        if isinstance(found, errors.Failure):
            return {}
        found.pop(self._key, None)
        ended = {
            key: entry
            for key, entry in found.items()
            if self._has_ended(key, entry[1], minute)
        }
        if len(ended) <= ROWS_PER_FOLD:
            self._fold_earlier_runs = False
            if fold_all:
                self._fold_all_at = self._clock() + FOLD_INTERVAL_S
        return dict(list(ended.items())[:ROWS_PER_FOLD])

    def _has_ended(self, key: str, row: Row, minute: int) -> bool:
        if row.ended:
            return abs(minute - row.ended) >= TOMBSTONE_MINUTES
        age = abs(minute - burn.Counts(row.series).newest())
        return age >= INACTIVE_MINUTES or key.startswith(self._prefix)

    def _plan(self, folded: dict[str, tuple[int, Row]], minute: int) -> Attempt:
        # Without pauses, merging delayed requests by 52 ms at 100 pairs of service and
        # team; with pauses, by 17 ms.
        counts = burn.Counts(self._row.series, pause=lambda: gevent.sleep(0))
        counts.add(self._unwritten.series())
        folded_writers = list(self._row.folded)
        tombstones = {}
        for key, (_, row) in folded.items():
            counts.add(row.series)
            if not row.ended:
                folded_writers += [*row.folded, row.writer]
                tombstone = Row(row.writer, -1, [], [], max(1, minute))
                tombstones[key] = _encode(tombstone)
        row = Row(
            self._row.writer,
            self._row.sequence + 1,
            folded_writers[-KEPT_FOLDED:],
            counts.merged(minute).series(),
        )
        checks = {key: version for key, (version, _) in folded.items()}
        checks[self._key] = self._version
        deletes = [key for key in folded if key not in tombstones]
        return Attempt(row, _encode(row), checks, tombstones, deletes, self._unwritten)

    def _send(self, attempt: Attempt) -> None:
        was_in_doubt = attempt.in_doubt
        attempt.in_doubt = True  # also if this greenlet is killed during the call
        result = self._tables.transact(
            attempt.checks,
            {**attempt.tombstones, self._key: attempt.value},
            attempt.deletes,
        )
        match result:
            case tables.Committed(versions=versions):
                self._adopt(attempt, versions[self._key])
            case errors.Ambiguous():
                log.debug("error budgets: {}", result.reason)
            case _ if was_in_doubt:
                pass  # the earlier call may still have taken effect
            case _:
                self._roll_back(attempt)
                self._may_be_folded = isinstance(result, errors.Conflict)

    def _settle(self, attempt: Attempt) -> None:
        """Read back whether an attempt took effect, and retry it if it did not.

        The retry has the same checks, so only one of the two can take effect.
        """
        rows = self._tables.read(list(attempt.checks))
        if isinstance(rows, errors.Failure):
            return
        other_keys = attempt.checks.keys() - {self._key}
        if any(rows[key].version != attempt.checks[key] for key in other_keys):
            # They were changed by this attempt or by another process. A later read of
            # the own row shows which.
            own = self._tables.read([self._key])
            if isinstance(own, errors.Failure):
                return
            if own[self._key].version == self._version:
                self._roll_back(attempt)
                return
            rows = own
        row = rows[self._key]
        if row.value == attempt.value:
            self._adopt(attempt, row.version)
        elif row.version == self._version:
            self._send(attempt)
        else:
            # Another process folded the row, with or without this attempt's counts.
            self._lost += attempt.new_counts.requests()
            log.warning(
                "{} requests so far were dropped from error budgets", self._lost
            )
            self._attempt = None
            self._begin_row()

    def _adopt(self, attempt: Attempt, version: int) -> None:
        self._attempt = None
        self._row = attempt.row
        self._version = version

    def _roll_back(self, attempt: Attempt) -> None:
        self._attempt = None
        self._unwritten.add(attempt.new_counts.series())
        # Search again for the rows that the attempt was to fold.
        self._fold_earlier_runs = True
