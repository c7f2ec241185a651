"""Logging as plain text or JSON lines."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Iterator
from typing import TextIO

import logbook
import msgspec

PLAIN = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} {record.channel}: "
    "{record.message}{record.extra[ids]}"
)
ID_FIELDS = ("request", "task", "team")


def ids_of(record: logbook.LogRecord) -> dict[str, str]:
    """Return the request, task and team IDs that apply to a record."""
    return {name: record.extra[name] for name in ID_FIELDS if record.extra.get(name)}


def format_plain(record: logbook.LogRecord, _handler: object) -> str:
    """Return a record as one line, followed by its traceback if it has one."""
    fields = {**ids_of(record), **(record.extra.get("decision") or {})}
    ids = "".join(f" {name}={value}" for name, value in fields.items())
    line = (
        f"{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} {record.channel}: "
        f"{record.message}{ids}"
    )
    if record.formatted_exception:
        line += "\n" + record.formatted_exception
    return line


def format_json(record: logbook.LogRecord, _handler: object) -> str:
    """Return a record as one JSON object."""
    fields = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "logger": record.channel,
        "message": record.message,
        **ids_of(record),
        **(record.extra.get("decision") or {}),
    }
    if record.formatted_exception:
        fields["exception"] = record.formatted_exception
    return msgspec.json.encode(fields).decode()


FORMATTERS = {"plain": format_plain, "json": format_json}


def decide(logger: logbook.Logger, event: str, **inputs: object) -> None:
    """Log one decision as an event name with the inputs that led to it."""
    logger.info(event, extra={"decision": inputs})


def set_up(
    level: str, log_format: str, output: TextIO | None = None
) -> logbook.Handler:
    """Send records of at least `level` to `output`, standard error by default."""
    handler = logbook.StreamHandler(
        output or sys.stderr, level=level.upper(), bubble=False
    )
    handler.formatter = FORMATTERS[log_format]
    handler.push_application()
    return handler


@contextlib.contextmanager
def context(**ids: str) -> Iterator[None]:
    """Add `request`, `task` or `team` IDs to the records of this greenlet."""

    def inject(record: logbook.LogRecord) -> None:
        record.extra.update(ids)

    with logbook.Processor(inject).greenletbound():
        yield
