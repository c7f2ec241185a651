"""Changes of what a process may do and whether it reaches the store, as events."""

from __future__ import annotations

from typing import Protocol

from toucanspring import kernel, rounds
from toucanspring.cell import member_rows, ownership
from toucanspring.reporting import event_kinds


class Members(Protocol):
    """What this process knows of its own standing."""

    own: member_rows.OwnRow

    def clock(self) -> float:
        """Return the monotonic time in seconds."""

    def standing(self, now: float) -> ownership.Standing:
        """Return whether the partitions are held, extended or narrowed."""

    def store_age(self, now: float) -> float:
        """Return the seconds since the last answer of the store was requested."""


class Transitions:
    """Compare each look with the one before; times are monotonic seconds."""

    def __init__(self) -> None:
        self._standing = ownership.Standing.HELD
        self._left_at = 0.0  # when the lease was last seen to be over
        self._out_since: float | None = None  # last answer before the store was lost
        self._missed = False

    def look(
        self,
        standing: ownership.Standing,
        partitions: int,
        store_age_s: float,
        now: float,
    ) -> list[event_kinds.Event]:
        """Return what has changed; a process without partitions has no standing."""
        found = self._look_at_store(store_age_s, now)
        if not partitions:
            standing = ownership.Standing.HELD
        before, self._standing = self._standing, standing
        if standing is before:
            return found
        if before is ownership.Standing.HELD:
            self._left_at = now
        match standing:
            case ownership.Standing.EXTENDED:
                found.append(event_kinds.OwnershipExtended(partitions))
            case ownership.Standing.NARROWED:
                found.append(event_kinds.OwnershipNarrowed(partitions))
            case _ if partitions:
                seconds = now - self._left_at
                found.append(event_kinds.OwnershipResumed(partitions, seconds))
        return found

    def _look_at_store(self, age_s: float, now: float) -> list[event_kinds.Event]:
        missed, self._missed = self._missed, age_s >= member_rows.NO_ACCESS_S
        if self._out_since is not None and not self._missed:
            seconds, self._out_since = now - age_s - self._out_since, None
            return [event_kinds.StoreAvailable(seconds)]
        # Once alone, the process was paused, and polls when it goes on.
        if self._out_since is None and missed and self._missed:
            self._out_since = now - age_s
            return [event_kinds.StoreUnavailable(age_s)]
        return []


class Reporter:
    """Publish the transitions and pauses of this process."""

    def __init__(self, members: Members, core: kernel.Kernel) -> None:
        self._members = members
        self._kernel = core
        self._transitions = Transitions()
        self._paused_at = ownership.NEVER

    def look(self) -> None:
        """Publish what has changed since the last look."""
        members = self._members
        now = members.clock()
        held = len(members.own.guard.owned())
        for event in self._transitions.look(
            members.standing(now), held, members.store_age(now), now
        ):
            self._kernel.publish(event)

    def note_pause(self, late_s: float) -> None:
        """Publish a pause once, although each loop sees it."""
        now = self._members.clock()
        if now - self._paused_at >= rounds.PAUSE_S:
            self._kernel.publish(event_kinds.ProcessPaused(late_s))
        self._paused_at = now
