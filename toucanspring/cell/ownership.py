"""Partition ownership by leases in the store and majority promises.

An owner renews a lease in the store. While neither it nor a majority of the members
reaches the store, the lease is extended by promises of these members to claim nothing.
All functions are pure. Times are seconds of `uptime` in the process that evaluates
them; no time of another process is ever compared with them.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Collection, Iterable, Mapping

NEVER = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Durations that must be equal in all processes of a cell."""

    lease_s: float = 2.5
    promise_s: float = 2.0
    # Upper bound for the relative rate difference of two monotonic clocks over a lease,
    # the only assumption about clocks.
    drift: float = 0.05
    # Longest extension after the last renewal. It covers a store outage three times as
    # long as the expected ten minutes. It also bounds the wait of a successor when all
    # members of the former owner's list are permanently gone, since then no process
    # can tell whether they promised.
    extension_s: float = 1800.0

    @property
    def extension_expiry_s(self) -> float:
        """Return the time after a claim when all former owners' extensions are over."""
        return (self.lease_s + self.extension_s) * (1 + self.drift)

    @property
    def lease_expiry_s(self) -> float:
        """Return how long a member row must be unchanged for its lease to be over."""
        return self.lease_s * (1 + self.drift)

    @property
    def promise_expiry_s(self) -> float:
        """Return after which time a promise no longer counts on any process's clock."""
        return self.promise_s * (1 + self.drift)


class LeaseState(enum.Enum):
    """State of the lease, which determines what an owner may do."""

    HELD = "held"  # the lease in the store is valid
    EXTENDED = "extended"  # by promises of a majority without store access
    NARROWED = "narrowed"  # expired: no tasks are started, no worker leases renewed


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Lease of a process: granted by the store, extended by promises."""

    granted_until: float = NEVER
    valid_until: float = NEVER
    ended: bool = True


def renew(lease: Lease, sent_at: float, timing: Timing) -> Lease:
    """Return the lease after a successful renewal that was sent at `sent_at`.

    Only a successful renewal, which checks the ownership rows, resumes an ended lease.
    """
    until = max(sent_at + timing.lease_s, lease.granted_until)
    return Lease(until, max(until, NEVER if lease.ended else lease.valid_until), False)


def majority_since(members: Collection[str], promises: Mapping[str, float]) -> float:
    """Return the time of the oldest promise in the most recent majority of `members`.

    `promises` maps a process to the echoed local time that its latest promise counts
    from.
    """
    if not members:
        return NEVER
    counted = sorted((promises.get(name, NEVER) for name in members), reverse=True)
    return counted[len(counted) // 2]


def majority_until(
    members: Collection[str], promises: Mapping[str, float], timing: Timing
) -> float:
    """Return until when promises of more than half of `members` count."""
    return majority_since(members, promises) + timing.promise_s


def extend(
    lease: Lease,
    lists: Iterable[Collection[str]],
    promises: Mapping[str, float],
    now: float,
    timing: Timing,
) -> Lease:
    """Extend a lease by the promises known at `now`.

    `lists` holds each member list that the owner's row may contain: after a renewal
    with a lost response there are two, and a majority is needed in both. An expired
    lease stays ended even if promises arrive later, since a successor may have found
    in the meantime that this owner has ended.
    """
    if lease.ended or now >= lease.valid_until:
        return dataclasses.replace(lease, ended=True)
    until = min(
        (majority_until(members, promises, timing) for members in lists), default=NEVER
    )
    until = min(until, lease.granted_until + timing.extension_s)
    return dataclasses.replace(lease, valid_until=max(lease.valid_until, until))


def lease_state(lease: Lease, now: float) -> LeaseState:
    """Return the state of a lease at `now`."""
    if lease.ended or now >= lease.valid_until:
        return LeaseState.NARROWED
    return LeaseState.HELD if now < lease.granted_until else LeaseState.EXTENDED


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Time at which the current counter and incarnation of a row were first read.

    Both are the times at which the response arrived, which is later than the renewal.
    """

    incarnation: int
    counter: int
    counter_seen_at: float
    incarnation_seen_at: float


def observe(
    last: Observation | None, incarnation: int, counter: int, received_at: float
) -> Observation:
    """Return the observation after a read; an absent row has incarnation 0."""
    if last is None or last.incarnation != incarnation:
        return Observation(incarnation, counter, received_at, received_at)
    if last.counter != counter:
        return dataclasses.replace(last, counter=counter, counter_seen_at=received_at)
    return last


def is_lease_expired(
    observation: Observation | None, incarnation: int, now: float, timing: Timing
) -> bool:
    """Return whether the lease of an owner's incarnation has expired on any clock.

    Once the row shows another incarnation, renewals of the earlier one fail, so its
    lease counts from the time when the new incarnation was first read.
    """
    if observation is None:
        return False
    same = observation.incarnation == incarnation
    since = observation.counter_seen_at if same else observation.incarnation_seen_at
    return now - since >= timing.lease_expiry_s


def may_claim(
    owner_expired: bool, promised_at: float, now: float, timing: Timing
) -> bool:
    """Return whether to send a claim; `promised_at` is the caller's last promise."""
    return owner_expired and now - promised_at >= timing.promise_expiry_s


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseFreeInterval:
    """Interval of local time in which a member sent no promise."""

    since: float
    until: float


def promise_free_interval(
    echoed_at: float, received_at: float, promise_free_s: float, timing: Timing
) -> PromiseFreeInterval:
    """Convert the promise-free time in a heartbeat to local time.

    The heartbeat was sent between `echoed_at` and `received_at`; the interval is
    shortened at both ends accordingly.
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
    """Return whether an owner with this member list has ended since `claimed_at`.

    That is so if at some time after the claim at least half of the list had sent no
    promise for as long as a promise counts: there was no majority then, and an ended
    extension is not resumed. It is also so once the longest extension is over.
    """
    if not members or now - claimed_at >= timing.extension_expiry_s:
        return True  # no promise can count, or the longest extension is over
    known = [promise_free[name] for name in members if name in promise_free]
    for instant in {interval.until for interval in known}:
        if instant < claimed_at:
            continue
        silent = sum(
            interval.since <= instant - timing.promise_expiry_s
            and instant <= interval.until
            for interval in known
        )
        if silent * 2 >= len(members):
            return True
    return False
