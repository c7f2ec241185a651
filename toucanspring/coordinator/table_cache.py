"""Copies of the store's tables, kept up to date through its change feed."""

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

# A feed without changes is asked again this often, which bounds the age of the copy.
WAIT_S = 0.8
PARTS_AT_ONCE = 8
RETRY_FIRST_S = 0.05
RETRY_MAX_S = 0.4

Listener = Callable[[ports.Row], None]


@dataclasses.dataclass(slots=True)
class Reading:
    """Hold the rows of a table; changes after `version` may be missing.

    `unread` maps the parts that could not be read to the reason.
    """

    rows: dict[ports.Place, ports.Row]
    version: int
    unread: dict[str, errors.Failure]


def read_table(store: ports.Store, table: str) -> Reading | errors.Failure:
    """Return the rows of all parts of a table that can be read."""
    parts = store.parts(table)
    if isinstance(parts, errors.Failure):
        return parts
    # The empty part is read even if it holds nothing: the answer tells the version.
    return read_parts(store, table, {"", *parts})


def read_parts(
    store: ports.Store, table: str, parts: Iterable[str]
) -> Reading | errors.Failure:
    """Return the rows of some parts; a failure if none can be read."""
    found: dict[ports.Place, ports.Row] = {}
    versions: list[int] = []
    unread: dict[str, errors.Failure] = {}
    wanted = list(parts)
    readers = pool.Pool(PARTS_AT_ONCE)
    answers = readers.imap(lambda part: _read_part(store, table, part), wanted)
    for part, read in zip(wanted, answers, strict=True):
        if isinstance(read, errors.Failure):
            unread[part] = read
            continue
        rows, version = read
        found.update((row.place, row) for row in rows)
        versions.append(version)
    if not versions:
        return next(iter(unread.values()))
    return Reading(found, min(versions), unread)


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
        start = page.rows[-1].place.key + "\0"


class Feed:
    """Own the copy of one table; `changed(row)` is called for each change.

    `wait_s` is the longest wait of one call for a change. `pause_s` after each call
    bundles the changes of a busy table.
    """

    def __init__(
        self,
        store: ports.Store,
        table: str,
        changed: Listener,
        clock: Callable[[], float] = time.monotonic,
        wait_s: float = WAIT_S,
        pause_s: float = 0.0,
    ) -> None:
        self.rows: dict[ports.Place, ports.Row] = {}
        # The copy holds everything that was in the store at this (monotonic) time.
        self.complete_at = float("-inf")
        self._store = store
        self._table = table
        self._changed = changed
        self._clock = clock
        self._wait_s = wait_s
        self._pause_s = pause_s
        self.unread: frozenset[str] = frozenset()  # parts that could not be read yet
        self._version: int | None = None
        self._greenlet: gevent.Greenlet | None = None
        self._reader: gevent.Greenlet | None = None
        self._lost = False

    def __enter__(self) -> Feed:
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *_exc: object) -> None:
        self.close()

    def close(self) -> None:
        """Stop following."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
            self._greenlet = None
        if self._reader is not None:
            self._reader.kill(block=False)

    def age(self, now: float) -> float:
        """Return for how many seconds changes may have been missed."""
        return now - self.complete_at

    def step(self) -> None | errors.Failure:
        """Read the table, or wait for its next changes."""
        sent = self._clock()
        if self._version is None:
            read = read_table(self._store, self._table)
            if isinstance(read, errors.Failure):
                return read
            self._replace(read.rows, read.unread)
            self._version = read.version
            self.unread = frozenset(read.unread)
        else:
            answer = self._store.follow(self._table, self._version, self._wait_s)
            match answer:
                case ports.Changes(rows=rows, at=at):
                    for row in rows:
                        self._take(row)
                    self._version = max(self._version, at.version)
                    if not rows and self._clock() - sent >= self._wait_s:
                        # The store found nothing until its wait was over.
                        sent += self._wait_s
                case ports.HistoryGone():
                    log.info("table {}: reading all rows again", self._table)
                    self._version = None
                    return None
                case errors.Failure():
                    return answer
        if not self.unread:
            self.complete_at = sent
        elif self._reader is None or self._reader.ready():
            self._reader = gevent.spawn(self._read_rest)
        return None

    def _read_rest(self) -> None:
        """Read the parts that could not be read before; changes of them do arrive."""
        gevent.sleep(RETRY_MAX_S)
        read = read_parts(self._store, self._table, self.unread)
        if isinstance(read, errors.Failure):
            return
        for row in read.rows.values():
            known = self.rows.get(row.place)
            if known is None or known.version < row.version:
                self._take(row)
        self.unread = frozenset(read.unread)

    def _run(self) -> None:
        pause = RETRY_FIRST_S
        while True:
            try:
                failure = self.step()
            except Exception:
                log.exception("table {}", self._table)
                failure = errors.Unknown(reason="internal error")
            if failure is None:
                if self._lost:
                    log.info("table {}: followed again", self._table)
                self._lost, pause = False, RETRY_FIRST_S
                gevent.sleep(self._pause_s)
                continue
            if not self._lost:
                log.warning("table {}: not followed: {}", self._table, failure)
            self._lost = True
            gevent.sleep(pause)
            pause = min(RETRY_MAX_S, pause * 2)

    def _replace(
        self, rows: dict[ports.Place, ports.Row], unread: Container[str]
    ) -> None:
        gone = [
            place
            for place in self.rows
            if place not in rows and place.part not in unread
        ]
        for place in gone:
            self._take(ports.Row(place, b"", 0))
        for row in rows.values():
            known = self.rows.get(row.place)
            if known is None or known.version != row.version:
                self._take(row)

    def _take(self, row: ports.Row) -> None:
        if row.version:
            self.rows[row.place] = row
        else:
            self.rows.pop(row.place, None)
        try:
            self._changed(row)
        except Exception:
            log.exception("table {}: row {}", self._table, row.place.key)
