"""Facts that operators and callers know about a run, for the checker."""

from __future__ import annotations

import dataclasses
import math

from toucanspring import resources


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneOutage:
    """Time for which operators took a zone out of service."""

    availability_zone: str
    out_at: float
    in_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Ceiling:
    """Ceiling of a team from a time on."""

    team: str
    amount: resources.Resources
    from_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedAnswer:
    """Answer that a caller received as complete, and the correct one."""

    request: str
    body: bytes
    expected: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class KeyUse:
    """Time at which work was accepted with a key."""

    key: str
    accepted_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunFacts:
    """Facts in addition to the records.

    `task_outcomes` maps task IDs to the final state that callers received,
    `requests_not_run` holds the IDs of requests that were refused as not run.
    """

    zone_outages: tuple[ZoneOutage, ...] = ()
    ceilings: tuple[Ceiling, ...] = ()
    gang_sizes: dict[str, int] = dataclasses.field(default_factory=dict)
    accepted_tasks: frozenset[str] = frozenset()
    task_outcomes: dict[str, str] = dataclasses.field(default_factory=dict)
    requests_not_run: frozenset[str] = frozenset()
    answers: tuple[ReceivedAnswer, ...] = ()
    key_uses: tuple[KeyUse, ...] = ()
    withdrawn_keys: dict[str, float] = dataclasses.field(default_factory=dict)
