"""Local copies of tables in the store, kept current by its change feed."""

from __future__ import annotations

import random
from collections.abc import Callable, Container

import gevent
import logbook

from toucanspring import errors, uptime
from toucanspring.coordinator import ports, table_reader

log = logbook.Logger(__name__)

# Timeout of a call that waits for changes; bounds the age of an unchanged copy.
FOLLOW_TIMEOUT_S = 0.8
LATE_S = 0.2  # an answer that comes this much after the wait is late
# After this many answers in a row that did not arrive in time, the changes since the
# last one may be more than the link carries in that time.
MAX_UNANSWERED = 2
# After a failure, a call waits for no change and has a short timeout, so that the copy
# is current soon after the store is back. An answer takes up to 0.3 s while the store
# is slow; one that takes longer is left to the read of the whole table.
PROBE_TIMEOUT_S = 0.4
RETRY_FIRST_S = 0.05
RETRY_MAX_S = 0.4
MIN_RETRY_SHARE = 0.3  # the shortest pause before a retry, as a share of the longest

RowCallback = Callable[[ports.Row], None]


class TableCache:
    """Copy of one table; `on_change(row)` is called for each changed row.

    `on_batch()` is called after the changes that came together.
    `wait_s` is the timeout of one call that waits for changes, `late_wait_s` that of
    calls after one whose answer was late, until one is in time. A pause of `pause_s`
    after each call batches the changes of a busy table. `digest` returns what is kept
    of a row: of a read one before, of a changed one after `on_change`.
    """

    def __init__(
        self,
        store: ports.Store,
        table: str,
        on_change: RowCallback,
        clock: Callable[[], float] = uptime.now,
        wait_s: float = FOLLOW_TIMEOUT_S,
        pause_s: float = 0.0,
        on_batch: Callable[[], None] = lambda: None,
        late_wait_s: float | None = None,
        digest: Callable[[ports.Row], ports.Row] = lambda row: row,
    ) -> None:
        self.rows: dict[ports.RowId, ports.Row] = {}
        # The copy includes every write made before this time (seconds of `uptime`).
        self.synced_at = float("-inf")
        self._store = store
        self._table = table
        self._digest = digest
        self._on_change = on_change
        self._on_batch = on_batch
        self._clock = clock
        self._wait_s = wait_s
        self._late_wait_s = wait_s if late_wait_s is None else late_wait_s
        self._late = False
        self._unanswered = 0
        self._probing = False  # the latest call failed
        # Whether the whole table is read since the feed may have fallen behind.
        self._catching_up = False
        self._pause_s = pause_s
        self.unread_parts: frozenset[str] = frozenset()  # could not be read yet
        self._version: int | None = None
        # The read of the whole table while parts of it are missing, when it began, and
        # the rows that have changed since; the feed delivers all their later changes.
        self._reading: table_reader.TableReader | None = None
        self._reading_since = 0.0
        self._changed_since: set[ports.RowId] = set()
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

    def load(self) -> None | errors.Failure:
        """Read the table, or those of its parts that could not be read before."""
        if self._reading is None:
            self._reading = table_reader.TableReader(
                self._store, self._table, self._digest
            )
            self._reading_since = self._clock()
        reading = self._reading
        read = reading.read()
        if isinstance(read, errors.Failure):
            return read
        if self._reading is not reading:
            return None  # the whole table is read again
        if self._version is None:
            self._apply_snapshot(read.rows, read.unread_parts)
            self._version = read.version
            if not read.unread_parts:
                self.synced_at = self._reading_since
        else:
            self._apply_parts(read.rows, read.unread_parts)
        self.unread_parts = frozenset(read.unread_parts)
        if not self.unread_parts:
            self._end_reading()
        self._on_batch()
        return None

    def _end_reading(self) -> None:
        self._reading = None
        self._changed_since.clear()

    def poll(self) -> None | errors.Failure:
        """Read the whole table, or wait for its next changes and apply them."""
        if self._version is None:
            return self.load()
        if self._unanswered >= MAX_UNANSWERED:
            return self._read_again()
        if self.unread_parts and (self._reader is None or self._reader.ready()):
            self._reader = gevent.spawn(self._read_missing_parts)
        sent = self._clock()
        wait_s, timeout_s = self._limit_call()
        answer = self._store.follow(self._table, self._version, wait_s, timeout_s)
        took_s = self._clock() - sent
        self._note_lateness(answer, took_s - wait_s)
        self._note_progress(answer, took_s >= (timeout_s or wait_s))
        self._probing = isinstance(answer, errors.Failure)
        match answer:
            case ports.Changes(rows=rows, at=at):
                if self._reading is not None:
                    self._changed_since.update(row.id for row in rows)
                for row in rows:
                    self._apply(row)
                self._version = max(self._version, at.version)
                if rows:
                    self._on_batch()
                if not rows and took_s >= wait_s:
                    # The table did not change while the store waited.
                    sent += wait_s
            case ports.HistoryGone():
                log.info(
                    "table {}: change history has expired; reading all rows",
                    self._table,
                )
                self._version = None
                self._end_reading()
                return None
            case errors.Failure():
                return answer
        if not self.unread_parts:
            self.synced_at = sent
        return None

    def _limit_call(self) -> tuple[float, float | None]:
        """Return how long a call waits for changes, and the timeout of its answer."""
        if self._probing:
            return 0.0, PROBE_TIMEOUT_S
        return (self._late_wait_s if self._late else self._wait_s), None

    def _note_lateness(
        self, answer: ports.Changes | errors.Failure, late_s: float
    ) -> None:
        if late_s > LATE_S:
            self._late = True
        elif isinstance(answer, ports.Changes) and not answer.rows:
            # An answer with changes does not say how long the store has waited.
            self._late = False

    def _note_progress(
        self, answer: ports.Changes | errors.Failure, timed_out: bool
    ) -> None:
        if not isinstance(answer, errors.Failure):
            self._unanswered = 0
            if self._catching_up and not self.unread_parts:
                self._end_reading()
            self._catching_up = False
        elif timed_out:
            # A refusal comes at once; it says nothing of the number of changes.
            self._unanswered += 1

    def _read_again(self) -> None | errors.Failure:
        """Read the whole table in pages, each of which fits a slow link."""
        if not self._catching_up:
            log.info("table {}: following has fallen behind; reading it", self._table)
            self._catching_up = True
            self._end_reading()
            if self._reader is not None:
                self._reader.kill(block=False)
        behind, self._version = self._version, None
        failure = self.load()
        if failure is not None:
            # The store may be out. The next call follows, which costs less than a read;
            # a further read goes on where this one failed.
            self._version = behind
            self._unanswered -= 1
            return failure
        self._unanswered, self._catching_up = 0, False
        return None

    def _read_missing_parts(self) -> None:
        """Retry the parts that could not be read; the feed does cover their changes."""
        gevent.sleep(RETRY_MAX_S)
        self.load()

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
            # Processes that lost the store at the same moment retry at different times.
            gevent.sleep(pause * random.uniform(MIN_RETRY_SHARE, 1.0))
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

    def _apply_parts(
        self, rows: dict[ports.RowId, ports.Row], unread_parts: Container[str]
    ) -> None:
        """Apply parts that could not be read before; the feed has newer changes."""
        gone = [
            row_id
            for row_id in self.rows
            if row_id.part in self.unread_parts
            and row_id.part not in unread_parts
            and row_id not in rows
            and row_id not in self._changed_since
        ]
        for row_id in gone:
            self._apply(ports.Row(row_id, b"", 0))
        for row in rows.values():
            known = self.rows.get(row.id)
            if row.id not in self._changed_since and (
                known is None or known.version < row.version
            ):
                self._apply(row)

    def digest_all(self) -> None:
        """Keep of each row what `digest` returns now."""
        for row_id, row in self.rows.items():
            self.rows[row_id] = self._digest(row)

    def _apply(self, row: ports.Row) -> None:
        if row.version:
            self.rows[row.id] = row
        else:
            self.rows.pop(row.id, None)
        try:
            self._on_change(row)
        except Exception:
            log.exception("table {}: handling row {} failed", self._table, row.id.key)
        if row.version:
            self.rows[row.id] = self._digest(row)
