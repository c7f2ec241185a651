"""Rows of events in the table service, and their merge with live entries."""

from __future__ import annotations

from collections.abc import Iterable

import logbook
import msgspec

from toucanspring import errors
from toucanspring.adapters import tables
from toucanspring.reporting import event_buffer, event_kinds

log = logbook.Logger(__name__)

PREFIX = "events/"
PAGE_ROWS = 50
RETENTION_HOURS = 96
ROWS_PER_REMOVAL = 50
SUBJECT_FIELDS = ("process", *event_kinds.SUBJECTS)


class StoredEntry(msgspec.Struct, array_like=True, frozen=True):
    """Stored entry; its event may be of a kind unknown to this release."""

    number: int
    first: float
    last: float
    count: int
    event: dict[str, object]


class Row(msgspec.Struct, frozen=True):
    """Row `events/<hour>/<process>/<writer>-<segment>`.

    A writer is one run of a process; writer and number identify an entry. `lost`
    counts the events that the writer has dropped so far.
    """

    process: str
    writer: str
    lost: int
    entries: list[StoredEntry]


_decoder = msgspec.msgpack.Decoder(Row)


def key_of(process: str, writer: str, segment: event_buffer.Segment) -> str:
    """Return the key of a segment's row; keys sort by hour."""
    return f"{_prefix_of(segment.hour)}/{process}/{writer}-{segment.number}"


def _prefix_of(hour: int) -> str:
    return f"{PREFIX}{max(0, hour):07d}"


def encode(
    process: str, writer: str, lost: int, entries: list[event_buffer.Entry]
) -> bytes:
    """Encode entries as the value of a row."""
    fields = {"process": process, "writer": writer, "lost": lost, "entries": entries}
    return msgspec.msgpack.encode(fields)


def decode(body: bytes) -> Row | errors.Malformed:
    """Decode the value of a row or the answer of a process."""
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        return errors.Malformed(reason=f"events: {error}")


def read(client: tables.TableClient, since: float) -> list[Row] | errors.Failure:
    """Return the rows with entries since a Unix time."""
    found: list[Row] = []
    # Starts an hour earlier, since keys have the hour of their writer's clock.
    after = _prefix_of(int(since // event_buffer.HOUR_S) - 1)
    while True:
        page = client.scan(PREFIX, after, PAGE_ROWS)
        if isinstance(page, errors.Failure):
            return page
        for stored in page:
            row = decode(stored.value)
            if isinstance(row, errors.Failure):
                log.error("row {}: {}", stored.key, row.reason)
            else:
                found.append(row)
        if len(page) < PAGE_ROWS:
            return found
        after = page[-1].key


def remove_old(client: tables.TableClient, wall_time: float) -> int | errors.Failure:
    """Delete rows outside of the retention; return their number.

    Also deletes rows whose hour is too far in the future, written by a wrong clock,
    which would otherwise never expire.
    """
    hour = int(wall_time // event_buffer.HOUR_S)
    oldest = _prefix_of(hour - RETENTION_HOURS)
    removed = 0
    for after, limit in (("", oldest), (_prefix_of(hour + RETENTION_HOURS), "")):
        while True:
            page = client.scan(PREFIX, after, ROWS_PER_REMOVAL)
            if isinstance(page, errors.Failure):
                return page
            old = [row for row in page if not limit or row.key < limit]
            if old:
                checks = {row.key: row.version for row in old}
                result = client.transact(checks, {}, list(checks))
                if isinstance(result, errors.Failure):
                    return result
                removed += len(old)
            if len(old) < ROWS_PER_REMOVAL:
                break
    return removed


def join(rows: Iterable[Row], live: Iterable[Row]) -> list[dict[str, object]]:
    """Return each entry once, sorted by time.

    The rows must be read before the live processes are queried: an entry that is in
    both is taken from the process, whose count is more recent.
    """
    entries: dict[tuple[str, int], dict[str, object]] = {}
    for row in [*rows, *live]:
        for entry in row.entries:
            entries[row.writer, entry.number] = {
                "time": entry.first,
                "last": entry.last,
                "count": entry.count,
                "process": row.process,
                **entry.event,
            }
    return [
        item for _, item in sorted(entries.items(), key=lambda e: (e[1]["time"], e[0]))
    ]


def count_lost(rows: Iterable[Row]) -> int:
    """Return the number of events that writers have dropped, as last reported."""
    lost: dict[str, int] = {}
    for row in rows:
        lost[row.writer] = max(lost.get(row.writer, 0), row.lost)
    return sum(lost.values())


def select(
    items: Iterable[dict[str, object]],
    since: float = 0.0,
    kind: str = "",
    subject: str = "",
) -> list[dict[str, object]]:
    """Return the entries of a kind about a subject, such as `w-3` or `partition:2`."""
    return [
        item
        for item in items
        if item["last"] >= since
        and (not kind or item["kind"] == kind)
        and (not subject or _is_about(item, subject))
    ]


def _is_about(item: dict[str, object], subject: str) -> bool:
    field, separator, name = subject.partition(":")
    if separator and field in SUBJECT_FIELDS:
        return _matches(item.get(field), name)
    return any(_matches(item.get(field), subject) for field in SUBJECT_FIELDS)


def _matches(value: object, name: str) -> bool:
    if isinstance(value, list):
        return name in value
    return value is not None and str(value) == name
