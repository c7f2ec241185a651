"""Bounded buffer of events, aggregated by minute and divided into segments.

One row stores one segment. Memory holds the complete segment and a write replaces the
whole row, so neither a retry nor a lost answer duplicates an entry.
"""

from __future__ import annotations

import dataclasses

import msgspec

from toucanspring.reporting import event_kinds

SEGMENT_BYTES = 8 * 1024
# Limits what a process writes per hour and, with the retention, its rows: 96 hours of
# 64 KiB are 6 MiB. Urgent events may use the same amount in addition.
MAX_BYTES_PER_HOUR = 64 * 1024
# Limits the memory during an outage of the store; doubled for urgent events.
MAX_BUFFERED_BYTES = 512 * 1024
# Entries per minute that keep their subjects; later ones are counted by kind and cause.
ENTRIES_PER_MINUTE = 200
# A written segment is kept for this long, so that a reader that scanned the rows before
# the write still gets it from the process. Longer than the minute of its last entry.
WRITTEN_RETENTION_S = 120.0
HOUR_S = 3600


class Entry(msgspec.Struct, array_like=True):
    """Equal events of one minute; times are Unix seconds."""

    number: int
    first: float
    last: float
    count: int
    event: event_kinds.Event


@dataclasses.dataclass(slots=True, eq=False)
class Segment:
    """Entries of one row.

    `version` is the last known row version; if `in_doubt`, it must be read again.
    """

    hour: int
    number: int
    entries: list[Entry] = dataclasses.field(default_factory=list)
    size: int = 0
    unwritten: bool = True
    in_doubt: bool = False
    version: int = 0
    written_at: float = 0.0


class Buffer:
    """Aggregate events into the entries of the current minute.

    Times are Unix seconds, except in `drop_written`.
    """

    def __init__(self) -> None:
        self.segments: list[Segment] = []
        self.lost = 0
        self._numbers = 0
        self._segment_numbers = 0
        self._minute = 0
        self._index: dict[tuple[object, ...], tuple[Segment, Entry]] = {}
        self._hour = 0
        self._hour_bytes = 0

    def add(self, event: event_kinds.Event, wall_time: float) -> None:
        """Add an event, or count it as lost if the buffer is full."""
        minute = int(wall_time // 60)
        if minute != self._minute:
            self._minute = minute
            self._index = {}
        key = event_kinds.fold_key(event)
        is_full = len(self._index) >= ENTRIES_PER_MINUTE and not event.URGENT
        if is_full and key not in self._index:
            event = event_kinds.without_subjects(event)
            key = event_kinds.fold_key(event)
        found = self._index.get(key)
        if found is None:
            self._append(key, event, wall_time)
            return
        segment, entry = found
        entry.event = event_kinds.fold(entry.event, event)
        entry.count += 1
        entry.last = wall_time
        segment.unwritten = True

    def unwritten(self) -> list[Segment]:
        """Return the segments with changes, the oldest first."""
        return [segment for segment in self.segments if segment.unwritten]

    def drop_written(self, now: float) -> None:
        """Drop segments that were written long enough ago, but never the last one."""
        self.segments = [
            segment
            for segment in self.segments[:-1]
            if segment.unwritten or now - segment.written_at < WRITTEN_RETENTION_S
        ] + self.segments[-1:]

    def _append(
        self, key: tuple[object, ...], event: event_kinds.Event, wall_time: float
    ) -> None:
        hour = int(wall_time // HOUR_S)
        if hour != self._hour:
            self._hour, self._hour_bytes = hour, 0
        entry = Entry(self._numbers, wall_time, wall_time, 1, event)
        size = len(msgspec.msgpack.encode(entry))
        factor = 2 if event.URGENT else 1
        buffered = sum(segment.size for segment in self.segments)
        if (
            self._hour_bytes + size > factor * MAX_BYTES_PER_HOUR
            or buffered + size > factor * MAX_BUFFERED_BYTES
        ):
            self.lost += 1
            if self.segments:
                # Its row has the number of lost events.
                self.segments[-1].unwritten = True
            return
        segment = self._open_segment(hour, size)
        segment.entries.append(entry)
        segment.size += size
        segment.unwritten = True
        self._numbers += 1
        self._hour_bytes += size
        self._index[key] = segment, entry

    def _open_segment(self, hour: int, size: int) -> Segment:
        if self.segments:
            last = self.segments[-1]
            if last.hour == hour and last.size + size <= SEGMENT_BYTES:
                return last
        self._segment_numbers += 1
        self.segments.append(Segment(hour, self._segment_numbers))
        return self.segments[-1]
