"""Service `budgets`: keeps the counts of error budgets in the table service.

Each run of a process is one writer with one row, which it rewrites with its closed
minutes. Rows of runs that have ended are folded into the row of a live writer in one
transaction, so each count is in exactly one row. Minutes are those of the writer's wall
clock and matter only for the report: whether a count was written is decided by row
versions alone.
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

from toucanspring import errors, kernel
from toucanspring.adapters import tables
from toucanspring.reporting import burn

log = logbook.Logger(__name__)

PREFIX = "burn/"
# 9 processes make 0.075 writes a second, 128 make 1.1. A process that is killed loses
# up to 192 s: an interval with its jitter, and the minute that was open before it.
WRITE_INTERVAL_S = 120.0
IN_DOUBT_RETRY_S = 10.0
FOLD_INTERVAL_S = 3600.0
# The owner of partition 0 folds rows without news for this long. A writer that was only
# idle begins another row.
INACTIVE_MINUTES = 360
TOMBSTONE_MINUTES = 1440
ROWS_PER_FOLD = 20
PAGE_ROWS = 50
# Writers that a row names as folded into it; a report needs those of the last seconds.
KEPT_FOLDED = 64
STOP_LIMIT_S = 3.0


class Row(msgspec.Struct, frozen=True):
    """Row `burn/<process>/<writer>`; writer and sequence make each value unique.

    A row that was folded stays for a day as a marker without counts, with the minute
    of the fold: a first write that arrives late would otherwise find no row and take
    effect again.
    """

    writer: str
    sequence: int
    folded: list[str]
    series: list[burn.Series]
    ended: int = 0


class Export(msgspec.Struct, frozen=True):
    """Hold all counts that a live process knows; `minute` is now by its clock.

    `sequence` is that of the row last known to be written. `doubtful` counts were sent
    to the store without an answer. `lost` requests were dropped, because they may be in
    another row.
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
    """Hold one transaction until it is known whether it took effect."""

    row: Row
    value: bytes
    checks: dict[str, int]
    tombstones: dict[str, bytes]
    deletes: list[str]
    new_counts: burn.Counts  # what was unwritten before
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

    The rows must be read before the exports are asked for: a row that is folded in
    between is then in both, and named as folded by the export.
    """
    rows, exports = list(rows), list(exports)
    skipped = {name for part in (*rows, *exports) for name in part.folded}
    known = {export.writer: export.sequence for export in exports}
    # A row ahead of its writer holds the doubtful counts, and rows folded with them.
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
    """Own the row of this run and what is not written yet."""

    def __init__(
        self,
        core: kernel.Kernel,
        settings: object,
        clock: Callable[[], float] = time.monotonic,
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
        self._fold_own = True  # rows of earlier runs under this name
        self._fold_all_at = clock() + FOLD_INTERVAL_S
        self._lost = 0
        self._greenlet: gevent.Greenlet | None = None
        self._begin_row()

    def start(self) -> None:
        """Write closed minutes from time to time."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Write what is left; gives up soon if the store does not answer."""
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
        """Write the closed minutes, or settle whether the last write took effect."""
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
        # Spread, so that processes that start together do not write together.
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
        """Begin another row if a process that thought this one ended has folded it."""
        if not self._may_be_folded:
            return True
        rows = self._tables.read([self._key])
        if isinstance(rows, errors.Failure):
            return False
        if rows[self._key].version != self._version:
            log.info("the error budgets of this process were folded into others")
            self._begin_row()
        self._may_be_folded = False
        return True

    def _rows_to_fold(self, minute: int) -> dict[str, tuple[int, Row]]:
        """Return rows whose writers have ended, as far as can be told."""
        fold_all = (
            self._clock() >= self._fold_all_at
            and 0 in self._kernel.find("claims").owned()
        )
        if not fold_all and not self._fold_own:
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
            self._fold_own = False
            if fold_all:
                self._fold_all_at = self._clock() + FOLD_INTERVAL_S
        return dict(list(ended.items())[:ROWS_PER_FOLD])

    def _has_ended(self, key: str, row: Row, minute: int) -> bool:
        if row.ended:
            return abs(minute - row.ended) >= TOMBSTONE_MINUTES
        age = abs(minute - burn.Counts(row.series).newest())
        return age >= INACTIVE_MINUTES or key.startswith(self._prefix)

    def _plan(self, folded: dict[str, tuple[int, Row]], minute: int) -> Attempt:
        # Merging in one go held requests up for 52 ms at 100 pairs of service and team,
        # with pauses for 17 ms.
        counts = burn.Counts(self._row.series, pause=lambda: gevent.sleep(0))
        counts.add(self._unwritten.series())
        names = list(self._row.folded)
        tombstones = {}
        for key, (_, row) in folded.items():
            counts.add(row.series)
            if not row.ended:
                names += [*row.folded, row.writer]
                tombstone = Row(row.writer, -1, [], [], max(1, minute))
                tombstones[key] = _encode(tombstone)
        row = Row(
            self._row.writer,
            self._row.sequence + 1,
            names[-KEPT_FOLDED:],
            counts.merged(minute).series(),
        )
        checks = {key: version for key, (version, _) in folded.items()}
        checks[self._key] = self._version
        deletes = [key for key in folded if key not in tombstones]
        return Attempt(row, _encode(row), checks, tombstones, deletes, self._unwritten)

    def _send(self, attempt: Attempt) -> None:
        was_in_doubt = attempt.in_doubt
        attempt.in_doubt = True  # also if this greenlet ends during the call
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
                pass  # the earlier call decides
            case _:
                self._roll_back(attempt)
                self._may_be_folded = isinstance(result, errors.Conflict)

    def _settle(self, attempt: Attempt) -> None:
        """Find out whether an attempt took effect, and repeat it if it did not.

        The repetition has the same checks, so only one of the two can take effect.
        """
        rows = self._tables.read(list(attempt.checks))
        if isinstance(rows, errors.Failure):
            return
        others = attempt.checks.keys() - {self._key}
        if any(rows[key].version != attempt.checks[key] for key in others):
            # They changed with this attempt or against it. The own row, read after
            # that, tells which.
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
            # The process that folded the row may have read it with or without them.
            self._lost += attempt.new_counts.requests()
            log.warning("{} requests are lost to error budgets", self._lost)
            self._attempt = None
            self._begin_row()

    def _adopt(self, attempt: Attempt, version: int) -> None:
        self._attempt = None
        self._row = attempt.row
        self._version = version

    def _roll_back(self, attempt: Attempt) -> None:
        self._attempt = None
        self._unwritten.add(attempt.new_counts.series())
        # Its folded rows, if any, are looked for again.
        self._fold_own = True
