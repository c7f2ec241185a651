"""Attempts of tasks: the starts that workers recorded, paired with their ends."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from standins import events


@dataclasses.dataclass(slots=True)
class Attempt:
    """One execution of a task from its start to the end that was recorded."""

    start: events.Start
    until: float = math.inf
    state: str = ""

    @property
    def ended(self) -> bool:
        """Return whether the end was recorded."""
        return self.state != ""


class Attempts:
    """Pairs starts with ends, from events in order of time."""

    def __init__(self) -> None:
        self.started: list[Attempt] = []
        self._open: dict[str, dict[tuple[str, int], Attempt]] = collections.defaultdict(
            dict
        )
        self._paused_at: dict[str, float] = {}

    def add(self, event: dict) -> None:
        """Process one event; events of other kinds are ignored."""
        match event["kind"]:
            case "start":
                self._add_start(event)
            case "end":
                self._add_end(event)
            case "paused":
                self._paused_at[event["worker"]] = event["at"]
            case "resumed":
                self._paused_at.pop(event["worker"], None)
            case "died":
                worker = event["worker"]
                self._end_all(worker, self._paused_at.pop(worker, event["at"]))

    def end_paused(self) -> None:
        """End the tasks of workers that never resumed: none ran after the pause."""
        for worker, at in self._paused_at.items():
            self._end_all(worker, at)

    def _add_start(self, event: dict) -> None:
        start = msgspec.convert(_without_kind(event), events.Start)
        attempt = Attempt(start)
        self.started.append(attempt)
        # A second start of the same attempt replaces the first, which then counts
        # as running without an end.
        self._open[start.worker][start.task, start.attempt] = attempt

    def _add_end(self, event: dict) -> None:
        end = msgspec.convert(_without_kind(event), events.End)
        attempt = self._open[end.worker].pop((end.task, end.attempt), None)
        if attempt is not None:
            attempt.until = end.ran_until
            attempt.state = end.state

    def _end_all(self, worker: str, at: float) -> None:
        for attempt in self._open.pop(worker, {}).values():
            attempt.until = at
            attempt.state = "lost"


def _without_kind(event: dict) -> dict:
    return {name: value for name, value in event.items() if name != "kind"}


class Change(NamedTuple):
    """A start (`sign` 1) or an end (-1) of an attempt, or a time to check (0)."""

    at: float
    sign: int
    attempt: Attempt | None


def list_changes(attempts: Iterable[Attempt]) -> list[Change]:
    """Return starts and ends in order of time; at equal times ends come first."""
    changes = []
    for attempt in attempts:
        if attempt.until > attempt.start.at:
            changes.append(Change(attempt.start.at, 1, attempt))
            if attempt.until < math.inf:
                changes.append(Change(attempt.until, -1, attempt))
    changes.sort(key=lambda change: (change.at, change.sign))
    return changes


def group_by(attempts: Iterable[Attempt], name: str) -> dict[str, list[Attempt]]:
    """Group attempts by a field of their start."""
    groups: dict[str, list[Attempt]] = collections.defaultdict(list)
    for attempt in attempts:
        groups[getattr(attempt.start, name)].append(attempt)
    return groups
