"""Decide who owns a partition, from leases, row sightings and promises.

All functions are pure. Times are monotonic seconds of the deciding process; no
time of another process is ever compared with them.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Collection, Iterable, Mapping

NEVER = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Hold the durations that all processes of a cell must agree on."""

    lease_s: float = 2.5
    promise_s: float = 2.0
    # The only clock assumption: over a lease, two monotonic clocks differ by less.
    drift: float = 0.05
    # Longest extension after the last renewal. It outlasts an outage of ten minutes
    # three times, and bounds the wait of a successor when all members of the former
    # owner's list are gone for good, since nobody can then say that none promised.
    extension_s: float = 1800.0

    @property
    def extension_over_s(self) -> float:
        """Return how long after a claim no former owner can be extended any more."""
        return (self.lease_s + self.extension_s) * (1 + self.drift)

    @property
    def silence_s(self) -> float:
        """Return how long a counter must stand still before a claim."""
        return self.lease_s * (1 + self.drift)

    @property
    def quiet_s(self) -> float:
        """Return how long after its last promise a member is certainly not counted."""
        return self.promise_s * (1 + self.drift)


class Standing(enum.Enum):
    """What an owner may do with its partitions."""

    HELD = "held"  # the lease in the store is valid
    EXTENDED = "extended"  # a majority promises that it cannot reach the store
    NARROWED = "narrowed"  # starts nothing and renews no worker leases


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """Hold until when a process may act as owner without a further proof."""

    lease_until: float = NEVER
    valid_until: float = NEVER
    ended: bool = True


def renew(tenure: Tenure, sent_at: float, timing: Timing) -> Tenure:
    """Count the lease from the moment a successful renewal was sent.

    Only a successful renewal, which reads the ownership rows, resumes an ended tenure.
    """
    until = max(sent_at + timing.lease_s, tenure.lease_until)
    return Tenure(
        until, max(until, NEVER if tenure.ended else tenure.valid_until), False
    )


def majority_since(members: Collection[str], promises: Mapping[str, float]) -> float:
    """Return the latest time since which more than half of `members` have promised.

    `promises` maps a process to the echoed own clock its latest promise counts from.
    """
    if not members:
        return NEVER
    counted = sorted((promises.get(name, NEVER) for name in members), reverse=True)
    return counted[len(counted) // 2]


def majority_until(
    members: Collection[str], promises: Mapping[str, float], timing: Timing
) -> float:
    """Return until when more than half of `members` stand by a promise."""
    return majority_since(members, promises) + timing.promise_s


def extend(
    tenure: Tenure,
    lists: Iterable[Collection[str]],
    promises: Mapping[str, float],
    now: float,
    timing: Timing,
) -> Tenure:
    """Move the end of a tenure with the promises known at `now`.

    `lists` holds each member list that the owner's row may contain: after a renewal
    with a lost answer there are two, and the majority must hold in both. A tenure that
    has run out stays ended, even if promises arrive later: a successor may have
    concluded in between that this owner is gone.
    """
    if tenure.ended or now >= tenure.valid_until:
        return dataclasses.replace(tenure, ended=True)
    until = min(
        (majority_until(members, promises, timing) for members in lists), default=NEVER
    )
    until = min(until, tenure.lease_until + timing.extension_s)
    return dataclasses.replace(tenure, valid_until=max(tenure.valid_until, until))


def judge(tenure: Tenure, now: float) -> Standing:
    """Return what the owner may do at `now`."""
    if tenure.ended or now >= tenure.valid_until:
        return Standing.NARROWED
    return Standing.HELD if now < tenure.lease_until else Standing.EXTENDED


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """Hold when the present counter and incarnation of a member row were first read.

    Both times are those at which the answer arrived, hence later than the renewal.
    """

    incarnation: int
    counter: int
    counter_at: float
    incarnation_at: float


def observe(
    last: Sighting | None, incarnation: int, counter: int, received_at: float
) -> Sighting:
    """Return the sighting after a read; an absent row has incarnation 0."""
    if last is None or last.incarnation != incarnation:
        return Sighting(incarnation, counter, received_at, received_at)
    if last.counter != counter:
        return dataclasses.replace(last, counter=counter, counter_at=received_at)
    return last


def is_silent(
    sighting: Sighting | None, incarnation: int, now: float, timing: Timing
) -> bool:
    """Return whether the owner with this incarnation has certainly lost its lease.

    If the row shows another incarnation, the owner's renewals fail since that was
    first seen.
    """
    if sighting is None:
        return False
    same = sighting.incarnation == incarnation
    since = sighting.counter_at if same else sighting.incarnation_at
    return now - since >= timing.silence_s


def may_claim(
    owner_silent: bool, promised_at: float, now: float, timing: Timing
) -> bool:
    """Return whether a claim may be sent; `promised_at` is the own last promise."""
    return owner_silent and now - promised_at >= timing.quiet_s


@dataclasses.dataclass(frozen=True, slots=True)
class Quiet:
    """Hold the interval of own time in which a member certainly sent no promise."""

    since: float
    until: float


def quiet_interval(
    echoed_at: float, received_at: float, quiet_for: float, timing: Timing
) -> Quiet:
    """Convert a heartbeat's time without a promise to own time.

    The heartbeat was sent between `echoed_at` and `received_at`, so the interval
    starts late and ends early.
    """
    return Quiet(received_at - quiet_for * (1 - timing.drift), echoed_at)


def lost_majority(
    members: Collection[str],
    quiet: Mapping[str, Quiet],
    claimed_at: float,
    now: float,
    timing: Timing,
) -> bool:
    """Return whether an owner with this list must have ended since `claimed_at`.

    That holds if at one moment after the claim at least half of the list had sent no
    promise for as long as a promise can count: then no majority stood, and an ended
    extension is not resumed. It also holds once no extension can last any longer.
    """
    if not members or now - claimed_at >= timing.extension_over_s:
        return True  # nobody's promise counts, or none counts any longer
    known = [quiet[name] for name in members if name in quiet]
    for moment in {interval.until for interval in known}:
        if moment < claimed_at:
            continue
        silent = sum(
            interval.since <= moment - timing.quiet_s and moment <= interval.until
            for interval in known
        )
        if silent * 2 >= len(members):
            return True
    return False
