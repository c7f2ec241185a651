"""Ways in which the records of a run can break an invariant of the design page."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation:
    """A broken invariant; `at` is in monotonic seconds, 0 if it has no time."""

    at: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class IncompleteRecord(Violation):
    """A stand-in dropped events, so the records may miss other violations."""

    record: str
    dropped: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class OverCapacity(Violation):
    """A worker or an executor ran more than its capacity."""

    place: str
    used: tuple[int, ...]
    capacity: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Overused(Violation):
    """The actual usage of a worker's tasks exceeded its capacity for too long."""

    place: str
    used: tuple[int, ...]
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class TwoPlaces(Violation):
    """Two attempts of one task ran at the same time."""

    task: str
    workers: tuple[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartedAgain(Violation):
    """A non-idempotent task started more than once."""

    task: str
    starts: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestRanAgain(Violation):
    """A non-idempotent request ran more than once."""

    request: str
    executors: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneStart(Violation):
    """A task started in an availability zone that had been taken out."""

    task: str
    availability_zone: str
    seconds_after: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class OverCeiling(Violation):
    """The running tasks of a team exceeded its ceiling."""

    team: str
    used: tuple[int, ...]
    ceiling: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeavingRun(Violation):
    """A backend server got new work after it was listed as leaving."""

    request: str
    executor: str
    seconds_after: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class StaleEpoch(Violation):
    """A worker started a task of an owner that had been superseded."""

    task: str
    worker: str
    epoch: int
    highest: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PartialGang(Violation):
    """Only some members of a gang ran, for longer than allowed."""

    job: str
    running: int
    size: int
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RanAfterNotRun(Violation):
    """Work ran although its caller received the outcome that it had not."""

    work: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class FalseOutcome(Violation):
    """A task was reported as done or failed, but no worker recorded that."""

    task: str
    state: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LostWork(Violation):
    """Accepted work has no final outcome."""

    work: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class WrongAnswer(Violation):
    """A caller got a truncated answer, or that of another request."""

    request: str
    length: int
    expected_length: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyAccepted(Violation):
    """Work was accepted with a key that had been withdrawn."""

    key: str
    seconds_after: float


# Violations in which work ran more than once.
DUPLICATE_RUNS = (TwoPlaces, StartedAgain, RequestRanAgain)
