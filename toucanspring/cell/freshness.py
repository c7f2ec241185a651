"""Decide how old a process's view of the documents may be.

All functions are pure. Times are monotonic seconds of the deciding process.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Mapping

import msgspec

from toucanspring.cell import ownership

MAX_AGE_S = 1.5
# Promises count no longer than a view that was read: a member may confirm a change
# right after its promise.
VIEW_TIMING = ownership.Timing(lease_s=MAX_AGE_S, promise_s=MAX_AGE_S)


class Versions(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Hold the versions of the three documents; 0 means that none exists."""

    config: int = 0
    keys: int = 0
    zones: int = 0

    def covers(self, other: Versions) -> bool:
        """Return whether no document of `other` is newer."""
        return (
            self.config >= other.config
            and self.keys >= other.keys
            and self.zones >= other.zones
        )


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Hold the versions in force and when they were last known to be the latest."""

    versions: Versions = Versions()
    confirmed_at: float = ownership.NEVER


def merge(first: Versions, second: Versions) -> Versions:
    """Return the newer version of each document."""
    return Versions(
        max(first.config, second.config),
        max(first.keys, second.keys),
        max(first.zones, second.zones),
    )


def confirm_by_head(view: View, head: Versions, sent_at: float) -> View:
    """Take in a head read that was requested at `sent_at`.

    A head that is older than the view is stale and confirms nothing.
    """
    if head != view.versions or sent_at <= view.confirmed_at:
        return view
    return dataclasses.replace(view, confirmed_at=sent_at)


def confirm_by_peer(
    view: View, versions: Versions, age_s: float, echoed_at: float, drift: float
) -> View:
    """Take in a peer's view; its age counts back from the echoed own clock.

    The heartbeat was sent after `echoed_at`, so the view is at least as fresh as that.
    """
    if versions != view.versions:
        return view
    confirmed_at = echoed_at - age_s * (1 + drift)
    if confirmed_at <= view.confirmed_at:
        return view
    return dataclasses.replace(view, confirmed_at=confirmed_at)


def renew(validity: ownership.Lease, confirmed_at: float) -> ownership.Lease:
    """Let a view count as the latest for `MAX_AGE_S` since it was known to be so."""
    return ownership.renew(validity, confirmed_at, VIEW_TIMING)


def extend(
    validity: ownership.Lease,
    view: View,
    lists: Collection[Collection[str]],
    promises: Mapping[str, float],
    known: Mapping[str, Versions],
    now: float,
) -> ownership.Lease:
    """Let a view count as the latest while a majority cannot reach the store.

    `known` holds the versions of the witnesses: members that have read the head row
    since they wrote their row. A change is answered as accepted only once at least
    half of the list in each member row have it, or that member itself, so a majority
    of witnesses with the same versions as this view includes one that would know the
    change. As with ownership, an extension that has ended is not resumed by promises:
    in between, members that lost this process from their lists may accept changes.
    """
    standing = {
        name: at for name, at in promises.items() if known.get(name) == view.versions
    }
    return ownership.extend(validity, lists, standing, now, VIEW_TIMING)


def is_accepted(
    rows: Mapping[str, Collection[str]], confirmed: Collection[str]
) -> bool:
    """Return whether a change can be answered as accepted.

    `rows` maps each member to the list in its row: that member may extend its view by
    promises of more than half of this list.
    """
    return all(
        name in confirmed or 2 * len(set(members) & set(confirmed)) >= len(members)
        for name, members in rows.items()
    )
