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
    def extension_expiry_s(self) -> float:
        """Return how long after a claim no former owner can be extended any more."""
        return (self.lease_s + self.extension_s) * (1 + self.drift)

    @property
    def lease_expiry_s(self) -> float:
        """Return how long a counter must stand still before a claim."""
        return self.lease_s * (1 + self.drift)

    @property
    def promise_expiry_s(self) -> float:
        """Return how long after its last promise a member is certainly not counted."""
        return self.promise_s * (1 + self.drift)


class LeaseState(enum.Enum):
    """What an owner may do with its partitions."""

    HELD = "held"  # the lease in the store is valid
    EXTENDED = "extended"  # a majority promises that it cannot reach the store
    NARROWED = "narrowed"  # starts nothing and renews no worker leases


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Hold until when a process may act as owner without a further proof."""

    granted_until: float = NEVER
    valid_until: float = NEVER
    ended: bool = True


def renew(lease: Lease, sent_at: float, timing: Timing) -> Lease:
    """Count the lease from the moment a successful renewal was sent.

    Only a successful renewal, which reads the ownership rows, resumes an ended tenure.
    """
    until = max(sent_at + timing.lease_s, lease.granted_until)
    return Lease(until, max(until, NEVER if lease.ended else lease.valid_until), False)


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
    lease: Lease,
    lists: Iterable[Collection[str]],
    promises: Mapping[str, float],
    now: float,
    timing: Timing,
) -> Lease:
    """Move the end of a tenure with the promises known at `now`.

    `lists` holds each member list that the owner's row may contain: after a renewal
    with a lost answer there are two, and the majority must hold in both. A tenure that
    has run out stays ended, even if promises arrive later: a successor may have
    concluded in between that this owner is gone.
    """
    if lease.ended or now >= lease.valid_until:
        return dataclasses.replace(lease, ended=True)
    until = min(
        (majority_until(members, promises, timing) for members in lists), default=NEVER
    )
    until = min(until, lease.granted_until + timing.extension_s)
    return dataclasses.replace(lease, valid_until=max(lease.valid_until, until))


def lease_state(lease: Lease, now: float) -> LeaseState:
    """Return what the owner may do at `now`."""
    if lease.ended or now >= lease.valid_until:
        return LeaseState.NARROWED
    return LeaseState.HELD if now < lease.granted_until else LeaseState.EXTENDED


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Hold when the present counter and incarnation of a member row were first read.

    Both times are those at which the answer arrived, hence later than the renewal.
    """

    incarnation: int
    counter: int
    counter_seen_at: float
    incarnation_seen_at: float


def observe(
    last: Observation | None, incarnation: int, counter: int, received_at: float
) -> Observation:
    """Return the sighting after a read; an absent row has incarnation 0."""
    if last is None or last.incarnation != incarnation:
        return Observation(incarnation, counter, received_at, received_at)
    if last.counter != counter:
        return dataclasses.replace(last, counter=counter, counter_seen_at=received_at)
    return last


def is_lease_expired(
    observation: Observation | None, incarnation: int, now: float, timing: Timing
) -> bool:
    """Return whether the owner with this incarnation has certainly lost its lease.

    If the row shows another incarnation, the owner's renewals fail since that was
    first seen.
    """
    if observation is None:
        return False
    same = observation.incarnation == incarnation
    since = observation.counter_seen_at if same else observation.incarnation_seen_at
    return now - since >= timing.lease_expiry_s


def may_claim(
    owner_expired: bool, promised_at: float, now: float, timing: Timing
) -> bool:
    """Return whether a claim may be sent; `promised_at` is the own last promise."""
    return owner_expired and now - promised_at >= timing.promise_expiry_s


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseFreeInterval:
    """Hold the interval of own time in which a member certainly sent no promise."""

    since: float
    until: float


def promise_free_interval(
    echoed_at: float, received_at: float, promise_free_s: float, timing: Timing
) -> PromiseFreeInterval:
    """Convert a heartbeat's time without a promise to own time.

    The heartbeat was sent between `echoed_at` and `received_at`, so the interval
    starts late and ends early.
    """
    return PromiseFreeInterval(
        received_at - promise_free_s * (1 - timing.drift), echoed_at
    )


def extension_ended(
    members: Collection[str],
    promise_free: Mapping[str, PromiseFreeInterval],
    claimed_at: float,
    now: float,
    timing: Timing,
) -> bool:
    """Return whether an owner with this list must have ended since `claimed_at`.

    That holds if at one moment after the claim at least half of the list had sent no
    promise for as long as a promise can count: then no majority stood, and an ended
    extension is not resumed. It also holds once no extension can last any longer.
    """
    if not members or now - claimed_at >= timing.extension_expiry_s:
        return True  # nobody's promise counts, or none counts any longer
    known = [promise_free[name] for name in members if name in promise_free]
    for moment in {interval.until for interval in known}:
        if moment < claimed_at:
            continue
        silent = sum(
            interval.since <= moment - timing.promise_expiry_s
            and moment <= interval.until
            for interval in known
        )
        if silent * 2 >= len(members):
            return True
    return False
