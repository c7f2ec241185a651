"""In-memory table store of the coordinator, with outages, lost and delayed replies."""

from __future__ import annotations

import collections
import time
from collections.abc import Callable

import gevent
from gevent import event

from toucanspring import errors
from toucanspring.coordinator import ports

HISTORY_ROWS = 10_000
# The platform's store returns at most this many rows in one reply.
MAX_PAGE_ROWS = 500
PACKET_BYTES = 4096  # replies that share a slow link take turns by packets
ROW_OVERHEAD_BYTES = 100  # names of fields, table, part and key of a row in JSON


class MemoryStore:
    """Versioned rows in memory; implements `coordinator.ports.Store`.

    `reachable` false refuses all calls, `parts_down` those for some parts (but not the
    feeds), `tables_down` those for some tables.
    `lose_answers` is how many of the next transactions take effect without a reply,
    `delay_transactions` how many are delayed until `apply_delayed` is called. Each read
    takes `read_delay_s`. Rows larger than `max_row_bytes` are refused for good. With
    `bytes_per_s`, replies to reads share a link of that bandwidth, and one that takes
    longer than `read_timeout_s` is lost.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.rows: dict[ports.RowId, ports.Row] = {}
        self.version = 0
        self.reachable = True
        self.parts_down: set[str] = set()
        self.tables_down: set[str] = set()
        self.lose_answers = 0
        self.delay_transactions = 0
        self.transactions = 0
        self.reads = 0
        self.read_delay_s = 0.0
        self.max_row_bytes = 1 << 30
        self.bytes_per_s = 0
        self.read_timeout_s = 1.2
        self._link_free_at = 0.0
        self._delayed: list[tuple] = []
        self._history: collections.deque[ports.Row] = collections.deque()
        self._changed = event.Event()
        self._clock = clock

    def timestamp(self) -> ports.StoreTimestamp:
        """Return the newest version and the store's clock."""
        return ports.StoreTimestamp(self.version, round(self._clock() * 1000))

    def put(self, row_id: ports.RowId, value: bytes) -> None:
        """Write a row without any check, as an operator does."""
        self._apply({row_id: value}, ())

    def remove(self, row_id: ports.RowId) -> None:
        """Remove a row without any check, as an operator does."""
        self._apply({}, (row_id,))

    def drop_history(self) -> None:
        """Drop the history of changes, so that `follow` cannot continue."""
        self._history.clear()
        self.version += 1

    def apply_delayed(self) -> list[ports.Committed | ports.Rejected]:
        """Apply the delayed transactions."""
        delayed, self._delayed = self._delayed, []
        return [self._transact(*each) for each in delayed]

    def transact(
        self,
        checks: dict[ports.RowId, int],
        puts: dict[ports.RowId, bytes],
        removals: tuple[ports.RowId, ...] = (),
    ) -> ports.Committed | ports.Rejected | errors.Failure:
        """Apply all changes if all rows in `checks` have their versions, else none."""
        gevent.sleep(0)
        self.transactions += 1
        touched = {row_id.part for row_id in (*checks, *puts, *removals)}
        tables = {row_id.table for row_id in (*checks, *puts, *removals)}
        if touched & self.parts_down or not self._serves(*tables):
            return errors.Unavailable(reason="the store is unreachable")
        if len(touched) > 1:
            raise ValueError("a transaction must not cover several parts")
        if any(len(value) > self.max_row_bytes for value in puts.values()):
            return ports.Unacceptable(reason="a row is too large")
        if self.delay_transactions:
            self.delay_transactions -= 1
            self._delayed.append((dict(checks), dict(puts), removals))
            return errors.Ambiguous(reason="no answer")
        answer = self._transact(checks, puts, removals)
        if self.lose_answers:
            self.lose_answers -= 1
            return errors.Ambiguous(reason="no answer")
        return answer

    def read(
        self, table: str, part: str, start: str = "", stop: str = "", limit: int = 0
    ) -> ports.Page | errors.Failure:
        """Return the rows from key `start` up to, not including, `stop`."""
        gevent.sleep(self.read_delay_s)
        self.reads += 1
        if part in self.parts_down or not self._serves(table):
            return errors.Unavailable(reason="the store is unreachable")
        found = sorted(
            (
                row
                for row in self.rows.values()
                if (row.id.table, row.id.part) == (table, part)
                and row.id.key >= start
                and (not stop or row.id.key < stop)
            ),
            key=lambda row: row.id.key,
        )
        rows = tuple(found[: min(limit or MAX_PAGE_ROWS, MAX_PAGE_ROWS)])
        page = ports.Page(rows, len(rows) < len(found), self.timestamp())
        if self.bytes_per_s and not self._send(rows):
            return errors.Unavailable(reason="no answer in time")
        return page

    def _send(self, rows: tuple[ports.Row, ...]) -> bool:
        """Send rows over the slow link; return whether they arrive in time."""
        # Values are sent in Base64.
        left = sum(len(row.value) * 4 // 3 + ROW_OVERHEAD_BYTES for row in rows)
        deadline = time.monotonic() + self.read_timeout_s
        while left > 0:
            packet = min(left, PACKET_BYTES)
            left -= packet
            now = time.monotonic()
            if now > deadline:
                return False
            self._link_free_at = (
                max(now, self._link_free_at) + packet / self.bytes_per_s
            )
            gevent.sleep(self._link_free_at - now)
        return time.monotonic() <= deadline

    def parts(self, table: str) -> list[str] | errors.Failure:
        """Return the parts of a table that hold rows."""
        gevent.sleep(0)
        if not self._serves(table):
            return errors.Unavailable(reason="the store is unreachable")
        return sorted({row_id.part for row_id in self.rows if row_id.table == table})

    def follow(
        self,
        table: str,
        after: int,
        wait_s: float,
        _answer_timeout_s: float | None = None,
    ) -> ports.Changes | ports.HistoryGone | errors.Failure:
        """Return the changes of a table after a version; wait for one if none exist."""
        deadline = time.monotonic() + wait_s
        while True:
            gevent.sleep(0)
            if not self._serves(table):
                return errors.Unavailable(reason="the store is unreachable")
            oldest = self._history[0].version if self._history else self.version + 1
            if after + 1 < oldest and after < self.version:
                return ports.HistoryGone(reason="the history was dropped")
            found = [
                change
                for change in self._history
                if change.version > after and change.id.table == table
            ]
            remaining_s = deadline - time.monotonic()
            if found or remaining_s <= 0:
                rows = tuple(
                    change if change.value else ports.Row(change.id, b"", 0)
                    for change in found
                )
                return ports.Changes(rows, self.timestamp())
            self._changed.clear()
            self._changed.wait(remaining_s)

    def _serves(self, *tables: str) -> bool:
        return self.reachable and not self.tables_down.intersection(tables)

    def _transact(
        self,
        checks: dict[ports.RowId, int],
        puts: dict[ports.RowId, bytes],
        removals: tuple[ports.RowId, ...],
    ) -> ports.Committed | ports.Rejected:
        current = {
            row_id: self.rows.get(row_id, ports.Row(row_id, b"", 0))
            for row_id in checks
        }
        if any(current[row_id].version != checks[row_id] for row_id in checks):
            return ports.Rejected(tuple(current.values()))
        self._apply(puts, removals)
        return ports.Committed(self.timestamp())

    def _apply(
        self, puts: dict[ports.RowId, bytes], removals: tuple[ports.RowId, ...]
    ) -> None:
        self.version += 1
        for row_id, value in puts.items():
            self.rows[row_id] = ports.Row(row_id, value, self.version)
            self._history.append(self.rows[row_id])
        for row_id in removals:
            if self.rows.pop(row_id, None) is not None:
                self._history.append(ports.Row(row_id, b"", self.version))
        while len(self._history) > HISTORY_ROWS:
            self._history.popleft()
        self._changed.set()
