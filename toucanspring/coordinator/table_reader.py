"""Reads of whole tables of the store, part by part in pages that fit a slow link."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from gevent import pool

from toucanspring import errors
from toucanspring.coordinator import ports

# The pages in transit share the link of the VM: at 5 Mbit/s, 625 kB, they take about
# 0.6 s, half of the timeout of a read. Small pages cost a call each.
MAX_PARALLEL_READS = 4
PAGE_BYTES = 48_000  # values of a page; a third more on the wire, and the rows' names
FIRST_PAGE_ROWS = 50  # until the size of the rows is known
MIN_PAGE_ROWS = 1  # rows may be larger than a page should be
MAX_PAGE_ROWS = 300


@dataclasses.dataclass(slots=True)
class TableSnapshot:
    """Rows of a table as read part by part; complete up to `version`.

    `unread_parts` maps each part that could not be read to the failure.
    """

    rows: dict[ports.RowId, ports.Row]
    version: int
    unread_parts: dict[str, errors.Failure]


@dataclasses.dataclass(slots=True)
class _Part:
    """The pages of one part that have been read; `version` is that of the first."""

    name: str
    rows: list[ports.Row] = dataclasses.field(default_factory=list)
    next_key: str = ""
    version: int | None = None
    complete: bool = False
    failure: errors.Failure | None = None


class TableReader:
    """Reads one table; `read` continues where the call before it failed.

    `digest` returns what is kept of a row, at the time when its page is read.
    """

    def __init__(
        self,
        store: ports.Store,
        table: str,
        digest: Callable[[ports.Row], ports.Row] = lambda row: row,
    ) -> None:
        self._store = store
        self._table = table
        self._digest = digest
        self._parts = {"": _Part("")}
        self._all_listed = False
        self._max_rows = FIRST_PAGE_ROWS
        self._rows_read = 0
        self._bytes_read = 0

    def read(self) -> TableSnapshot | errors.Failure:
        """Read all parts that are not read yet; fails only if none can be read."""
        if not self._all_listed:
            failure = self._list_parts()
            if failure is not None:
                return failure
        unread = [part for part in self._parts.values() if not part.complete]
        readers = pool.Pool(MAX_PARALLEL_READS)
        try:
            readers.map(self._read_part, unread)
        finally:
            readers.kill(block=False)
        versions = [
            part.version for part in self._parts.values() if part.version is not None
        ]
        failures = {
            part.name: part.failure
            for part in self._parts.values()
            if part.failure is not None
        }
        if not versions:
            return next(iter(failures.values()))
        found = {
            row.id: row
            for part in self._parts.values()
            if part.complete
            for row in part.rows
        }
        return TableSnapshot(found, min(versions), failures)

    def _list_parts(self) -> None | errors.Failure:
        # A part that is listed nowhere is written later than the version of this read,
        # so that the changes after that version include its rows.
        first = self._parts[""]
        self._read_part(first)
        listed = self._store.parts(self._table)
        if isinstance(listed, errors.Failure):
            return listed
        for name in listed:
            self._parts.setdefault(name, _Part(name))
        self._all_listed = first.version is not None
        return None

    def _read_part(self, part: _Part) -> None:
        while not part.complete:
            limit = self._page_rows()
            page = self._store.read(self._table, part.name, part.next_key, limit=limit)
            if isinstance(page, errors.Failure):
                part.failure = page
                self._max_rows = max(MIN_PAGE_ROWS, limit // 2)
                return
            part.failure = None
            part.rows.extend(self._digest(row) for row in page.rows)
            if part.version is None:
                part.version = page.at.version
            part.complete = not page.has_more
            if page.has_more:
                part.next_key = page.rows[-1].id.key + "\0"
            self._max_rows = min(MAX_PAGE_ROWS, 2 * self._max_rows)
            self._rows_read += len(page.rows)
            self._bytes_read += sum(len(row.value) for row in page.rows)

    def _page_rows(self) -> int:
        """Return how many rows of the mean size read so far make a page."""
        if not self._bytes_read:
            return self._max_rows
        fitting = PAGE_BYTES * self._rows_read // self._bytes_read
        return max(MIN_PAGE_ROWS, min(self._max_rows, fitting))
