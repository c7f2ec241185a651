"""Record of a stand-in, and types for events that occur thousands of times a second."""

from __future__ import annotations

import collections
import time

import msgspec

from toucanspring import resources

MAX_RECORDED_EVENTS = 2_000_000


class Start(
    msgspec.Struct, frozen=True, gc=False, tag_field="kind", tag="start", kw_only=True
):
    """A worker started an attempt of a task at `at` (monotonic seconds)."""

    at: float
    worker: str
    incarnation: int
    availability_zone: str
    partition: int
    epoch: int
    task: str
    attempt: int
    team: str
    demand: resources.Resources
    idempotent: bool
    resumed: bool  # carries the progress of an earlier attempt
    tick_age_ms: int


class End(
    msgspec.Struct, frozen=True, gc=False, tag_field="kind", tag="end", kw_only=True
):
    """An attempt ended; it last executed at `ran_until` (earlier after a pause)."""

    at: float
    worker: str
    incarnation: int
    task: str
    attempt: int
    state: str
    reason: str
    ran_until: float


class Use(
    msgspec.Struct, frozen=True, gc=False, tag_field="kind", tag="use", kw_only=True
):
    """The usage of a worker's tasks exceeded its capacity, or no longer does."""

    at: float
    worker: str
    is_over: bool
    used: resources.Resources


class Record:
    """Events with monotonic times, which the processes of a host have in common."""

    def __init__(self, limit: int = MAX_RECORDED_EVENTS) -> None:
        self._events: collections.deque[object] = collections.deque(maxlen=limit)
        self._added = 0

    def add(self, kind: str, **fields: object) -> None:
        """Append an event that happened now."""
        self._added += 1
        self._events.append({"at": time.monotonic(), "kind": kind, **fields})

    def append(self, event: msgspec.Struct) -> None:
        """Append an event that has its own fields `at` and `kind`."""
        self._added += 1
        self._events.append(event)

    def dump(self, after: int = 0) -> bytes:
        """Return JSON with the events from number `after` on and the next number.

        `dropped` counts events removed beyond the limit; the record is then incomplete.
        """
        dropped = self._added - len(self._events)
        skip = max(0, after - dropped)
        events = list(self._events)[skip:] if skip else list(self._events)
        return msgspec.json.encode(
            {
                "events": events,
                "next": self._added,
                "dropped": dropped,
                "now": time.monotonic(),
            }
        )

    def clear(self) -> None:
        """Remove all events."""
        self._events.clear()
        self._added = 0
