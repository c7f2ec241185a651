"""Local copies of tables in the store, kept current by its change feed."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable, Container, Iterable

import gevent
import logbook
from gevent import pool

from toucanspring import errors
from toucanspring.coordinator import ports

log = logbook.Logger(__name__)

# Timeout of a call that waits for changes; bounds the age of an unchanged copy.
FOLLOW_TIMEOUT_S = 0.8
MAX_PARALLEL_READS = 8
RETRY_FIRST_S = 0.05
RETRY_MAX_S = 0.4

RowCallback = Callable[[ports.Row], None]


@dataclasses.dataclass(slots=True)
class TableSnapshot:
    """Rows of a table as read part by part; complete up to `version`.

    `unread_parts` maps each part that could not be read to the failure.
    """

    rows: dict[ports.RowId, ports.Row]
    version: int
    unread_parts: dict[str, errors.Failure]


def read_table(store: ports.Store, table: str) -> TableSnapshot | errors.Failure:
    """Read all parts of a table; a part may fail without failing the others."""
    parts = store.parts(table)
    if isinstance(parts, errors.Failure):
        return parts
    # The part "" is always read, since any reply carries the version of the store.
    return read_parts(store, table, {"", *parts})


def read_parts(
    store: ports.Store, table: str, parts: Iterable[str]
) -> TableSnapshot | errors.Failure:
    """Read some parts of a table; fails only if none can be read."""
    found: dict[ports.RowId, ports.Row] = {}
    versions: list[int] = []
    unread_parts: dict[str, errors.Failure] = {}
    wanted = list(parts)
    readers = pool.Pool(MAX_PARALLEL_READS)
    answers = readers.imap(lambda part: _read_part(store, table, part), wanted)
    for part, read in zip(wanted, answers, strict=True):
        if isinstance(read, errors.Failure):
            unread_parts[part] = read
            continue
        rows, version = read
        found.update((row.id, row) for row in rows)
        versions.append(version)
    if not versions:
        return next(iter(unread_parts.values()))
    return TableSnapshot(found, min(versions), unread_parts)


def _read_part(
    store: ports.Store, table: str, part: str
) -> tuple[list[ports.Row], int] | errors.Failure:
    rows: list[ports.Row] = []
    start, oldest = "", None
    while True:
        page = store.read(table, part, start)
        if isinstance(page, errors.Failure):
            return page
        rows.extend(page.rows)
        oldest = page.at.version if oldest is None else oldest
        if not page.has_more:
            return rows, oldest
        start = page.rows[-1].id.key + "\0"


class TableCache:
    """Copy of one table; `on_change(row)` is called for each changed row.

    `wait_s` is the timeout of one call that waits for changes. A pause of `pause_s`
    after each call batches the changes of a busy table.
    """

    def __init__(
        self,
        store: ports.Store,
        table: str,
        on_change: RowCallback,
        clock: Callable[[], float] = time.monotonic,
        wait_s: float = FOLLOW_TIMEOUT_S,
        pause_s: float = 0.0,
    ) -> None:
        self.rows: dict[ports.RowId, ports.Row] = {}
        # The copy includes every write made before this time (monotonic seconds).
        self.synced_at = float("-inf")
        self._store = store
        self._table = table
        self._on_change = on_change
        self._clock = clock
        self._wait_s = wait_s
        self._pause_s = pause_s
        self.unread_parts: frozenset[str] = frozenset()  # could not be read yet
        self._version: int | None = None
        self._greenlet: gevent.Greenlet | None = None
        self._reader: gevent.Greenlet | None = None
        self._failing = False

    def __enter__(self) -> TableCache:
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *_exc: object) -> None:
        self.close()

    def close(self) -> None:
        """Stop updating the copy."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
            self._greenlet = None
        if self._reader is not None:
            self._reader.kill(block=False)

    def age(self, now: float) -> float:
        """Return for how many seconds the copy may have missed changes."""
        return now - self.synced_at

    def poll(self) -> None | errors.Failure:
        """Read the whole table, or wait for its next changes and apply them."""
        sent = self._clock()
        if self._version is None:
            read = read_table(self._store, self._table)
            if isinstance(read, errors.Failure):
                return read
            self._apply_snapshot(read.rows, read.unread_parts)
            self._version = read.version
            self.unread_parts = frozenset(read.unread_parts)
        else:
            answer = self._store.follow(self._table, self._version, self._wait_s)
            match answer:
                case ports.Changes(rows=rows, at=at):
                    for row in rows:
                        self._apply(row)
                    self._version = max(self._version, at.version)
                    if not rows and self._clock() - sent >= self._wait_s:
                        # The table did not change while the store waited.
                        sent += self._wait_s
                case ports.HistoryGone():
                    log.info(
                        "table {}: change history has expired; reading all rows",
                        self._table,
                    )
                    self._version = None
                    return None
                case errors.Failure():
                    return answer
        if not self.unread_parts:
            self.synced_at = sent
        elif self._reader is None or self._reader.ready():
            self._reader = gevent.spawn(self._read_missing_parts)
        return None

    def _read_missing_parts(self) -> None:
        """Retry the parts that could not be read; the feed does cover their changes."""
        gevent.sleep(RETRY_MAX_S)
        read = read_parts(self._store, self._table, self.unread_parts)
        if isinstance(read, errors.Failure):
            return
        for row in read.rows.values():
            known = self.rows.get(row.id)
            if known is None or known.version < row.version:
                self._apply(row)
        self.unread_parts = frozenset(read.unread_parts)

    def _run(self) -> None:
        pause = RETRY_FIRST_S
        while True:
            try:
                failure = self.poll()
            except Exception:
                log.exception("table {}: update failed", self._table)
                failure = errors.Unknown(reason="internal error")
            if failure is None:
                if self._failing:
                    log.info("table {}: following changes again", self._table)
                self._failing, pause = False, RETRY_FIRST_S
                gevent.sleep(self._pause_s)
                continue
            if not self._failing:
                log.warning("table {}: not followed: {}", self._table, failure)
            self._failing = True
            gevent.sleep(pause)
            pause = min(RETRY_MAX_S, pause * 2)

    def _apply_snapshot(
        self, rows: dict[ports.RowId, ports.Row], unread_parts: Container[str]
    ) -> None:
        gone = [
            row_id
            for row_id in self.rows
            if row_id not in rows and row_id.part not in unread_parts
        ]
        for row_id in gone:
            self._apply(ports.Row(row_id, b"", 0))
        for row in rows.values():
            known = self.rows.get(row.id)
            if known is None or known.version != row.version:
                self._apply(row)

    def _apply(self, row: ports.Row) -> None:
        if row.version:
            self.rows[row.id] = row
        else:
            self.rows.pop(row.id, None)
        try:
            self._on_change(row)
        except Exception:
            log.exception("table {}: handling row {} failed", self._table, row.id.key)
