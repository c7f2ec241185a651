"""Service `events`: stores the automatic actions of processes in the table service.

All published events of `event_kinds` go into a bounded buffer, which is written in
batches. Publishers never wait for a write; an outage of the store only delays it.
"""

from __future__ import annotations

import math
import secrets
import time
from collections.abc import Callable, Iterator

import gevent
import gevent.event
import gevent.lock
import gevent.pool
import logbook
import msgspec

from toucanspring import errors, uptime
from toucanspring.adapters import tables
from toucanspring.callers import answers
from toucanspring.reporting import event_buffer, event_kinds, event_rows

log = logbook.Logger(__name__)

WRITE_INTERVAL_S = 30.0
# Delay of a write, so that it includes all events of one cause, such as a lost rack.
BATCH_DELAY_S = 1.0
# Urgent events wait at most this long after the last write, thus 5 s in total.
URGENT_INTERVAL_S = 3.5
RETRY_S = 5.0
# Old rows are deleted at this interval, and first after a shorter delay, since a
# process may not run for long.
CLEANUP_INTERVAL_S = 3600.0
FIRST_CLEANUP_DELAY_S = 600.0
STOP_LIMIT_S = 3.0
PEER_TIMEOUT_S = 2.0
MAX_PEER_CALLS = 32


class Report(msgspec.Struct, frozen=True):
    """Entries and the reasons why the list may be incomplete.

    `missing` names processes that did not answer; `store_missing` says why rows were
    not read; `lost` events were dropped by their processes.
    """

    events: list[dict[str, object]]
    missing: list[str]
    store_missing: str
    lost: int


class Service:
    """Manage the buffer of this process and its rows."""

    def __init__(
        self,
        core: object,
        settings: object,
        clock: Callable[[], float] = uptime.now,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._kernel = core
        self._process = settings.process
        self._clock = clock
        self._wall_clock = wall_clock
        self._writer = secrets.token_hex(6)
        self._buffer = event_buffer.Buffer()
        self._due = math.inf
        self._written_at = -math.inf
        self._cleanup_at = clock() + FIRST_CLEANUP_DELAY_S
        self._changed = gevent.event.Event()
        # A report may scan all rows, so only one runs at a time.
        self._read_lock = gevent.lock.BoundedSemaphore()
        self._greenlet: gevent.Greenlet | None = None
        for kind in event_kinds.KINDS:
            core.subscribe(kind, self.record)

    def start(self) -> None:
        """Serve other processes and write periodically."""
        self._kernel.find("peers").handle("events", self._serve)
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Write all remaining events; gives up after `STOP_LIMIT_S`."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        with gevent.Timeout(STOP_LIMIT_S, False):
            self.write()

    def record(self, event: event_kinds.Event) -> None:
        """Add an event to the buffer without waiting."""
        self._buffer.add(event, self._wall_clock())
        interval_s = URGENT_INTERVAL_S if event.URGENT else WRITE_INTERVAL_S
        due = max(self._clock() + BATCH_DELAY_S, self._written_at + interval_s)
        if due < self._due:
            self._due = due
            self._changed.set()

    def write(self) -> None:
        """Write the segments with changes."""
        self._due = math.inf
        self._written_at = self._clock()
        for segment in self._buffer.unwritten():
            if not self._write_segment(segment):
                self._due = min(self._due, self._clock() + RETRY_S)
                break
        self._buffer.drop_written(self._clock())

    def export(self) -> bytes:
        """Return the entries in memory, encoded as a row."""
        entries = [
            entry for segment in self._buffer.segments for entry in segment.entries
        ]
        return event_rows.encode(
            self._process, self._writer, self._buffer.lost, entries
        )

    def report(self, since_s: float, kind: str = "", subject: str = "") -> Report:
        """Return the entries of the last `since_s` seconds of the whole cell."""
        since = self._wall_clock() - since_s
        with self._read_lock:
            rows = event_rows.read(self._tables, since)
        stored = [] if isinstance(rows, errors.Failure) else rows
        live, missing = self._collect_live()
        items = event_rows.join(stored, live)
        return Report(
            event_rows.select(items, since, kind, subject),
            missing,
            rows.reason or rows.kind if isinstance(rows, errors.Failure) else "",
            event_rows.count_lost([*stored, *live]),
        )

    # Internals

    @property
    def _tables(self) -> tables.TableClient:
        return self._kernel.find("store").tables

    def _run(self) -> None:
        while True:
            wait_s = max(0.0, min(self._due, self._cleanup_at) - self._clock())
            if self._changed.wait(wait_s):
                self._changed.clear()
                continue
            try:
                if self._clock() >= self._due:
                    self.write()
                if self._clock() >= self._cleanup_at:
                    self._remove_old()
            except Exception:
                log.exception("writing events failed")
                self._due = self._clock() + RETRY_S

    def _write_segment(self, segment: event_buffer.Segment) -> bool:
        """Replace the row of a segment; return whether that is confirmed."""
        key = event_rows.key_of(self._process, self._writer, segment)
        if segment.in_doubt:
            # No other process writes this key, so another version is an earlier write
            # of this segment, or the row was deleted.
            rows = self._tables.read([key])
            if isinstance(rows, errors.Failure):
                return False
            segment.version = rows[key].version
        value = event_rows.encode(
            self._process, self._writer, self._buffer.lost, segment.entries
        )
        segment.unwritten = False  # events added during the call set it again
        segment.in_doubt = True
        written = False
        try:
            result = self._tables.transact({key: segment.version}, {key: value})
            match result:
                case tables.Committed(versions=versions):
                    segment.version = versions[key]
                    segment.written_at = self._clock()
                    segment.in_doubt = False
                    written = True
                case errors.Unavailable():
                    segment.in_doubt = False
        finally:
            segment.unwritten |= not written
        return written

    def _remove_old(self) -> None:
        self._cleanup_at = self._clock() + CLEANUP_INTERVAL_S
        if 0 in self._kernel.find("claims").owned():
            event_rows.remove_old(self._tables, self._wall_clock())

    def _collect_live(self) -> tuple[list[event_rows.Row], list[str]]:
        """Return the entries of live processes, and those that did not answer."""
        membership = self._kernel.find("membership")
        peers = self._kernel.find("peers")
        others = sorted(set(membership.members()) - {self._process})
        bodies = gevent.pool.Pool(MAX_PEER_CALLS).map(
            lambda name: peers.call(name, "events", b"", PEER_TIMEOUT_S), others
        )
        found, missing = [], []
        for name, body in zip(
            [*others, self._process], [*bodies, self.export()], strict=True
        ):
            row = event_rows.decode(body) if isinstance(body, bytes) else body
            if isinstance(row, errors.Failure):
                missing.append(name)
            else:
                found.append(row)
        return found, missing

    def _serve(self, _sender: str, _body: bytes) -> Iterator[bytes]:
        return answers.split(self.export())
