"""Events for changes of the lease state and of the access to the store."""

from __future__ import annotations

from typing import Protocol

from toucanspring import kernel, periodic
from toucanspring.cell import member_rows, ownership
from toucanspring.reporting import event_kinds


class Members(Protocol):
    """The part of the membership service that is used here."""

    local_member: member_rows.LocalMember

    def clock(self) -> float:
        """Return the time in seconds of `uptime`."""

    def lease_state(self, now: float) -> ownership.LeaseState:
        """Return the state of the lease of this process."""

    def store_contact_age(self, now: float) -> float:
        """Return seconds since the last request that the store answered was sent."""


class TransitionDetector:
    """Detect changes between successive updates; times are seconds of `uptime`."""

    def __init__(self) -> None:
        self._state = ownership.LeaseState.HELD
        self._lease_expired_at = 0.0  # as last detected
        # When the last answered request was sent; `None` while the store is reachable.
        self._store_lost_at: float | None = None
        self._was_missed = False

    def update(
        self,
        state: ownership.LeaseState,
        partitions: int,
        store_age_s: float,
        now: float,
    ) -> list[event_kinds.Event]:
        """Return the changes; the lease state is ignored without partitions."""
        found = self._update_store(store_age_s, now)
        if not partitions:
            state = ownership.LeaseState.HELD
        before, self._state = self._state, state
        if state is before:
            return found
        if before is ownership.LeaseState.HELD:
            self._lease_expired_at = now
        match state:
            case ownership.LeaseState.EXTENDED:
                found.append(event_kinds.OwnershipExtended(partitions))
            case ownership.LeaseState.NARROWED:
                found.append(event_kinds.OwnershipNarrowed(partitions))
            case _ if partitions:
                seconds = now - self._lease_expired_at
                found.append(event_kinds.OwnershipResumed(partitions, seconds))
        return found

    def _update_store(self, age_s: float, now: float) -> list[event_kinds.Event]:
        missed, self._was_missed = (
            self._was_missed,
            age_s >= member_rows.STORE_UNREACHABLE_S,
        )
        if self._store_lost_at is not None and not self._was_missed:
            seconds, self._store_lost_at = now - age_s - self._store_lost_at, None
            return [event_kinds.StoreAvailable(seconds)]
        # A single missed update means that the process was paused; it polls the store
        # as soon as it resumes.
        if self._store_lost_at is None and missed and self._was_missed:
            self._store_lost_at = now - age_s
            return [event_kinds.StoreUnavailable(age_s)]
        return []


class TransitionReporter:
    """Publish the lease and store transitions and the pauses of this process."""

    def __init__(self, members: Members, core: kernel.Kernel) -> None:
        self._members = members
        self._kernel = core
        self._transitions = TransitionDetector()
        self._paused_at = ownership.NEVER

    def report_changes(self) -> None:
        """Publish the changes since the last call."""
        members = self._members
        now = members.clock()
        held = len(members.local_member.hooks.owned())
        for event in self._transitions.update(
            members.lease_state(now), held, members.store_contact_age(now), now
        ):
            self._kernel.publish(event)

    def report_pause(self, late_s: float) -> None:
        """Publish a pause once, although each loop reports it."""
        now = self._members.clock()
        if now - self._paused_at >= periodic.MIN_PAUSE_S:
            self._kernel.publish(event_kinds.ProcessPaused(late_s))
        self._paused_at = now
