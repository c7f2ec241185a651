"""Append-only log of one partition in the table service, with snapshots."""

from __future__ import annotations

import dataclasses
import uuid

import gevent
import gevent.event
import logbook

from toucanspring import errors
from toucanspring.adapters import tables
from toucanspring.cell import layout
from toucanspring.owners import log_records

log = logbook.Logger(__name__)

MIN_FLUSH_INTERVAL_S = 0.05
LOG_WRITES_PER_S = 100  # budget of all partitions of one table service
MAX_RECORDS_PER_ROW = 1000
MAX_ROW_BYTES = 512 * 1024
RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 2.0
SCAN_ROWS = 200
# A snapshot contains the whole state. It is written once the log has grown by the size
# of the last one, so that snapshots write no more bytes than the log. The second limit
# bounds the rows that a successor reads: ten scans of a few milliseconds each.
ROWS_BEFORE_SNAPSHOT = 400
MAX_ROWS_BEFORE_SNAPSHOT = 2000
MAX_PENDING_RECORDS = 200_000


def flush_interval(partitions: int) -> float:
    """Return the seconds between flushes that keep within the write budget."""
    return max(MIN_FLUSH_INTERVAL_S, partitions / LOG_WRITES_PER_S)


@dataclasses.dataclass(slots=True)
class Entry:
    """A record and the result that its writer waits for.

    `droppable` records fail at once when the store cannot be reached; others are
    retried. A record that accepts an ID has the version of the row `layout` under
    which the ID may be accepted.
    """

    record: log_records.Record
    droppable: bool
    result: gevent.event.AsyncResult
    layout_version: int | None = None


class Journal:
    """Write the log of one partition; each write checks the ownership row.

    `append` returns a result that becomes None once the record is durable, or a
    failure: `Unavailable` (not written), `Fenced` (not written, ownership lost) or
    `Ambiguous` (ownership lost in a write that may have taken effect).
    """

    def __init__(
        self,
        partition: int,
        epoch: int,
        row_version: int,
        table: tables.TableClient,
        objects: object,
        interval_s: float = MIN_FLUSH_INTERVAL_S,
        layout_service: layout.Service | None = None,
    ) -> None:
        self.partition = partition
        self.epoch = epoch
        self.state = log_records.State()
        self.writes = 0
        self.interval_s = interval_s
        self._owner_key = f"partitions/{partition}"
        self._owner_check = {self._owner_key: row_version}
        self._layout = layout_service
        # Layout version of the pending entries.
        self._version = layout_service.view.version if layout_service else 0
        self._table = table
        self._objects = objects
        self._sequence = 0
        self._first_row = 1
        self._snapshot_key = ""
        self._snapshot_bytes = 0
        self._bytes_since = 0  # size of the rows after the snapshot
        self._pending: list[Entry] = []
        self._batch: list[Entry] = []  # of the write in progress
        self._wakeup = gevent.event.Event()
        self._idle = gevent.event.Event()
        self._idle.set()
        self._write_done = gevent.event.Event()  # cleared while a row is written
        self._write_done.set()
        self._greenlet: gevent.Greenlet | None = None
        self.fenced = False

    def __enter__(self) -> Journal:
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *_exc: object) -> None:
        if self._greenlet is not None:
            self._greenlet.kill()
        self.fenced = True
        ambiguous = errors.Ambiguous(reason="the partition was released during a write")
        for entry in self._batch:
            if not entry.result.ready():
                entry.result.set(ambiguous)
        self._fail_pending(errors.Fenced(reason="the partition was released"))

    def key(self, sequence: int) -> str:
        """Return the key of a log row."""
        return f"log/{self.partition}/{sequence:012d}"

    # Reading after a takeover

    def load(self) -> None | errors.Failure:
        """Read the snapshot and all later rows into `state`."""
        snapshot_key = f"snapshot/{self.partition}"
        rows = self._table.read([snapshot_key])
        if isinstance(rows, errors.Failure):
            return rows
        if rows[snapshot_key].version:
            failure = self._load_snapshot(rows[snapshot_key].value)
            if failure is not None:
                return failure
        after = self.key(self._sequence)
        while True:
            found = self._table.scan(f"log/{self.partition}/", after, SCAN_ROWS)
            if isinstance(found, errors.Failure):
                return found
            for row in found:
                self._bytes_since += len(row.value)
                for record in log_records.decode_batch(row.value).records:
                    self.state.apply(record)
                after = row.key
                self._sequence = int(row.key.rpartition("/")[2])
            if len(found) < SCAN_ROWS:
                return None

    def _load_snapshot(self, value: bytes) -> None | errors.Failure:
        snapshot = log_records.decode_snapshot(value)
        content = self._objects.get(snapshot.object_key)
        if isinstance(content, errors.Failure):
            return content
        for record in log_records.decode_batch(content).records:
            self.state.apply(record)
        self._snapshot_key = snapshot.object_key
        self._snapshot_bytes = len(content)
        self._sequence = snapshot.sequence
        self._first_row = snapshot.sequence + 1
        return None

    # Writing

    def append(
        self,
        record: log_records.Record,
        droppable: bool,
        layout_version: int | None = None,
    ) -> gevent.event.AsyncResult:
        """Queue a record for the next flush.

        With a `layout_version`, the record is written only while the row `layout` has
        that version, and otherwise fails with `LayoutChanged`.
        """
        result = gevent.event.AsyncResult()
        if self.fenced:
            result.set(errors.Fenced(reason="another process owns the partition"))
        elif droppable and len(self._pending) >= MAX_PENDING_RECORDS:
            result.set(
                errors.Overloaded(reason="too many records wait for a log write")
            )
        elif entry := self._drop_outdated(
            [Entry(record, droppable, result, layout_version)]
        ):
            self._pending += entry
            self._idle.clear()
            self._wakeup.set()
        return result

    def drain(self, timeout_s: float) -> bool:
        """Wait until everything appended is durable; return whether it is."""
        return self._idle.wait(timeout_s)

    def wait_for_write(self, timeout_s: float) -> bool:
        """Wait until no write is in progress; return whether that is so."""
        return self._write_done.wait(timeout_s)

    def _run(self) -> None:
        while not self.fenced:
            self._wakeup.wait()
            self._wakeup.clear()
            while self._pending and not self.fenced:
                self._batch = self._take_batch()
                self._write_done.clear()
                self._write(self._batch)
                self._write_done.set()
                if self._needs_snapshot():
                    self._compact()
                gevent.sleep(self.interval_s)
            if not self._pending:
                self._idle.set()

    def _take_batch(self) -> list[Entry]:
        if self._layout is not None and self._layout.view.version != self._version:
            self._version = self._layout.view.version
            self._pending = self._drop_outdated(self._pending)
        batch: list[Entry] = []
        size = 0
        for entry in self._pending[:MAX_RECORDS_PER_ROW]:
            size += len(log_records.encode(entry.record))
            if batch and size > MAX_ROW_BYTES:
                break
            batch.append(entry)
        del self._pending[: len(batch)]
        return batch

    def _write(self, batch: list[Entry]) -> None:
        """Write one row; retry until it is certain whether it was written."""
        batch_id = uuid.uuid4().hex
        key = self.key(self._sequence + 1)
        pause = RETRY_PAUSE_S
        sent = False  # an earlier attempt may still take effect
        while batch:
            value = log_records.encode(
                log_records.Batch(
                    batch_id, self.epoch, [entry.record for entry in batch]
                )
            )
            answer = self._table.transact(
                {**self._checks(batch), key: 0}, {key: value}, ()
            )
            self.writes += 1
            match answer:
                case tables.Committed():
                    return self._confirm(batch, len(value))
                case errors.Conflict():
                    batch = self._resolve_conflict(batch, batch_id, key)
                    if not batch:
                        return None
                    batch_id = uuid.uuid4().hex  # the remaining entries are a new batch
                    sent = False
                case errors.Ambiguous():
                    sent = True
                case _ if not sent:
                    batch = self._drop(batch, answer)
                    self._drop_pending(answer)
            gevent.sleep(pause)
            pause = min(MAX_RETRY_PAUSE_S, pause * 2)
        return None

    def _confirm(self, batch: list[Entry], size: int) -> None:
        self._sequence += 1
        self._bytes_since += size
        for entry in batch:
            self.state.apply(entry.record)
        for entry in batch:
            entry.result.set(None)

    def _checks(self, batch: list[Entry]) -> dict[str, int]:
        """Return the rows that must be unchanged when a batch is written."""
        checks = dict(self._owner_check)
        for entry in batch:
            # The version is the same in all entries that have one, see `_take_batch`.
            if entry.layout_version is not None:
                checks[layout.ROW] = entry.layout_version
        return checks

    def _resolve_conflict(
        self, batch: list[Entry], batch_id: str, key: str
    ) -> list[Entry]:
        """Find out whether the conflict is caused by an earlier attempt of this batch.

        The ownership row or the layout has changed, or the log row exists. In each
        case, no delayed attempt of this batch can take effect later, so one read is
        conclusive. Returns the entries to write again after a change of the layout.
        """
        while True:
            rows = self._table.read([key, *self._checks(batch)])
            if not isinstance(rows, errors.Failure):
                break
            gevent.sleep(RETRY_PAUSE_S)
        row = rows[key]
        if row.version and log_records.decode_batch(row.value).batch_id == batch_id:
            self._confirm(batch, len(row.value))
            return []
        owned = rows[self._owner_key].version == self._owner_check[self._owner_key]
        if not row.version and owned and layout.ROW in rows:
            self._layout.apply_row(rows[layout.ROW])
            return self._drop_outdated(batch)
        log.warning(
            "partition {}: log row {} was not written; ownership is lost",
            self.partition,
            key,
        )
        self.fenced = True
        failure = errors.Fenced(reason="another process owns the partition")
        for entry in batch:
            entry.result.set(failure)
        self._fail_pending(failure)
        return []

    def _drop_outdated(self, entries: list[Entry]) -> list[Entry]:
        """Fail the entries for another layout version; return the others."""
        kept = []
        for entry in entries:
            required = entry.layout_version
            if required is None or required == self._layout.view.version:
                kept.append(entry)
            else:
                entry.result.set(
                    errors.LayoutChanged(reason="the number of partitions changed")
                )
        return kept

    def _drop(self, batch: list[Entry], answer: errors.Failure) -> list[Entry]:
        kept = []
        for entry in batch:
            if entry.droppable:
                entry.result.set(
                    errors.StoreUnavailable(reason=f"store: {answer.reason}")
                )
            else:
                kept.append(entry)
        return kept

    def _drop_pending(self, answer: errors.Failure) -> None:
        self._pending = self._drop(self._pending, answer)

    def _fail_pending(self, failure: errors.Failure) -> None:
        for entry in self._pending:
            entry.result.set(failure)
        self._pending = []
        self._idle.set()

    # Compaction

    def _needs_snapshot(self) -> bool:
        rows = self._sequence - self._first_row
        if rows >= MAX_ROWS_BEFORE_SNAPSHOT:
            return True
        grown = self._bytes_since >= self._snapshot_bytes
        return rows >= ROWS_BEFORE_SNAPSHOT and grown

    def _compact(self) -> None:
        """Replace the log rows by a snapshot in the object store."""
        self.state.forget_oldest()
        batch = log_records.Batch("snapshot", self.epoch, self.state.to_records())
        object_key = f"snapshot-{self.partition}-{self.epoch}-{self._sequence}"
        content = log_records.encode(batch)
        failure = self._objects.put(object_key, content)
        if isinstance(failure, errors.Failure):
            log.warning("partition {}: no snapshot: {}", self.partition, failure)
            return
        key = f"snapshot/{self.partition}"
        pointer = log_records.encode(log_records.Snapshot(object_key, self._sequence))
        answer = self._table.transact(self._owner_check, {key: pointer}, ())
        self.writes += 1
        if not isinstance(answer, tables.Committed):
            log.warning("partition {}: no snapshot: {}", self.partition, answer)
            return
        if self._snapshot_key:
            self._objects.delete(self._snapshot_key)
        self._snapshot_key = object_key
        self._snapshot_bytes, self._bytes_since = len(content), 0
        first, last = self._first_row, self._sequence
        self._first_row = last + 1
        for start in range(first, last + 1, SCAN_ROWS):
            stop = min(last + 1, start + SCAN_ROWS)
            keys = [self.key(sequence) for sequence in range(start, stop)]
            self._table.transact(self._owner_check, {}, keys)
