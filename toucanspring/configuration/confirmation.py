"""Confirmation of stored document versions by the members of the cell."""

from __future__ import annotations

from collections.abc import Callable

from gevent import event

from toucanspring import errors, uptime
from toucanspring.cell import freshness, membership

# Limit on the wait until half of the members have a stored change in force.
LIMIT_S = 2.5
# Delay of the next read of the member rows after a failed one.
RETRY_S = 0.1


class Confirmation:
    """Compare the versions that the members announce with a stored one."""

    def __init__(
        self,
        members: membership.Service,
        versions: Callable[[], freshness.Versions],
    ) -> None:
        self._members = members
        self._versions = versions
        self._announced = event.Event()

    def notify(self) -> None:
        """Wake waiters to check the announced versions again."""
        self._announced.set()

    def by_process(self, name: str, version: int) -> dict[str, bool]:
        """Return for each member whether it has a version of a document in force."""
        found = dict.fromkeys(self._members.members(), False)
        for process, message in self._members.peer_states().items():
            if process in found:
                found[process] = getattr(message.versions, name) >= version
        own = self._members.identity.process
        found[own] = getattr(self._versions(), name) >= version
        return found

    def processes(self, name: str, version: int) -> set[str]:
        """Return the processes that have a version of a document in force."""
        confirmed = self.by_process(name, version)
        return {process for process, is_confirmed in confirmed.items() if is_confirmed}

    def wait(self, name: str, version: int) -> errors.Ambiguous | None:
        """Wait until enough members have a stored version in force.

        A majority that confirms an old view during a store outage then always includes
        a member that knows the change.
        """
        deadline = uptime.now() + LIMIT_S
        # A member that registered before the change must be counted even if its row
        # was not read yet.
        scanned = False
        while True:
            self._announced.clear()
            scanned = scanned or self._members.read_members() is None
            confirmed = self.processes(name, version)
            rows = self._members.member_lists()
            if scanned and freshness.is_accepted(rows, confirmed):
                return None
            wait_s = deadline - uptime.now()
            if wait_s <= 0:
                return errors.Ambiguous(
                    reason=f"version {version} is stored, but too few "
                    f"processes confirmed it: {sorted(confirmed)} of {sorted(rows)}"
                )
            self._announced.wait(min(wait_s, RETRY_S if not scanned else wait_s))
