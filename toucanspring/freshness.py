"""Decide how old a process's view of the documents may be.

All functions are pure. Times are monotonic seconds of the deciding process.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Mapping

import msgspec

from toucanspring import ownership

MAX_AGE_S = 1.5


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


def confirm(view: View, head: Versions, sent_at: float) -> View:
    """Take in a head read that was requested at `sent_at`.

    A head that is older than the view is stale and confirms nothing.
    """
    if head != view.versions or sent_at <= view.confirmed_at:
        return view
    return dataclasses.replace(view, confirmed_at=sent_at)


def vouch(
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


def is_young(view: View, now: float) -> bool:
    """Return whether the view was the latest a short time ago."""
    return now - view.confirmed_at <= MAX_AGE_S


def is_vouched(
    view: View,
    now: float,
    members: Collection[str],
    promises: Mapping[str, float],
    known: Mapping[str, Versions],
    timing: ownership.Timing,
) -> bool:
    """Return whether a majority promises that nobody changes documents.

    `known` holds the versions of the witnesses: members that have read the head row
    since they started. A change is answered as accepted only once half of the members
    have it, so a majority of witnesses with the same versions as this view includes
    one that would know the change.
    """
    standing = {
        name: at for name, at in promises.items() if known.get(name) == view.versions
    }
    return now < ownership.majority_until(members, standing, timing)
