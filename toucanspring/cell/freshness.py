"""Validity of a process's view of the configuration documents.

A view may be used while it is known to be at most `MAX_AGE_S` old, or while a majority
of members confirms it during an outage of the store. All functions are pure. Times are
monotonic seconds of the process that evaluates them.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Mapping

import msgspec

from toucanspring.cell import ownership

MAX_AGE_S = 1.5
# Promises count no longer than a view that was read, since a member may confirm a
# change right after its promise.
VIEW_TIMING = ownership.Timing(lease_s=MAX_AGE_S, promise_s=MAX_AGE_S)


class Versions(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Versions of the three documents; 0 if a document does not exist."""

    config: int = 0
    keys: int = 0
    zones: int = 0

    def covers(self, other: Versions) -> bool:
        """Return whether each document is at least as new as in `other`."""
        return (
            self.config >= other.config
            and self.keys >= other.keys
            and self.zones >= other.zones
        )


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Versions in force and the latest time at which they were known to be current."""

    versions: Versions = Versions()
    confirmed_at: float = ownership.NEVER


def merge(first: Versions, second: Versions) -> Versions:
    """Return the higher version of each document."""
    return Versions(
        max(first.config, second.config),
        max(first.keys, second.keys),
        max(first.zones, second.zones),
    )


def confirm_by_head(view: View, head: Versions, sent_at: float) -> View:
    """Confirm a view by a read of the head row that was sent at `sent_at`.

    A head with other versions leaves the view unchanged: it is either stale or names
    documents that are yet to be fetched.
    """
    if head != view.versions or sent_at <= view.confirmed_at:
        return view
    return dataclasses.replace(view, confirmed_at=sent_at)


def confirm_by_peer(
    view: View, versions: Versions, age_s: float, echoed_at: float, drift: float
) -> View:
    """Confirm a view by the equal view in a peer's heartbeat.

    The heartbeat was sent after the echoed local time `echoed_at`, so the view was
    current `age_s` before that at the earliest, allowing for clock drift.
    """
    if versions != view.versions:
        return view
    confirmed_at = echoed_at - age_s * (1 + drift)
    if confirmed_at <= view.confirmed_at:
        return view
    return dataclasses.replace(view, confirmed_at=confirmed_at)


def renew(validity: ownership.Lease, confirmed_at: float) -> ownership.Lease:
    """Extend the validity to `MAX_AGE_S` after the view was last confirmed."""
    return ownership.renew(validity, confirmed_at, VIEW_TIMING)


def extend(
    validity: ownership.Lease,
    view: View,
    lists: Collection[Collection[str]],
    promises: Mapping[str, float],
    known: Mapping[str, Versions],
    now: float,
) -> ownership.Lease:
    """Extend the validity of a view while a majority cannot reach the store.

    `known` maps the members that have read the head row since they wrote their member
    row to their versions. A change is reported as accepted only after at least half of
    the list in each member row, or the member itself, have confirmed it. A majority of
    such members with the same versions as this view therefore includes one that would
    know a newer change. As with ownership, promises do not resume an extension that
    has ended: members that no longer list this process may have accepted changes.
    """
    eligible = {
        name: at for name, at in promises.items() if known.get(name) == view.versions
    }
    return ownership.extend(validity, lists, eligible, now, VIEW_TIMING)


def is_accepted(
    rows: Mapping[str, Collection[str]], confirmed: Collection[str]
) -> bool:
    """Return whether a change can be reported as accepted.

    `rows` maps each member to the list in its row. A member may extend its view by
    promises of more than half of its list, so half of each list must have confirmed.
    """
    return all(
        name in confirmed or 2 * len(set(members) & set(confirmed)) >= len(members)
        for name, members in rows.items()
    )
