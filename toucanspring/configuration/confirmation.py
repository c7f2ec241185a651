"""Which processes have a document version in force, and waiting for enough of them."""

from __future__ import annotations

import time
from collections.abc import Callable

from gevent import event

from toucanspring import errors
from toucanspring.cell import freshness, membership

# How long a stored change waits until half of the members have it in force.
LIMIT_S = 2.5
# Until the member rows are read again after a failure.
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
        """Look again at what the members announced."""
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
        return {process for process, done in confirmed.items() if done}

    def wait(self, name: str, version: int) -> errors.Ambiguous | None:
        """Wait until enough members have a stored version in force.

        A majority that vouches for an old view during an outage of the store then
        always includes a member that knows the change.
        """
        deadline = time.monotonic() + LIMIT_S
        # A member that wrote its row before the change but was not read yet counts too.
        scanned = False
        while True:
            self._announced.clear()
            scanned = scanned or self._members.read_members() is None
            confirmed = self.processes(name, version)
            rows = self._members.member_lists()
            if scanned and freshness.is_accepted(rows, confirmed):
                return None
            wait_s = deadline - time.monotonic()
            if wait_s <= 0:
                return errors.Ambiguous(
                    reason=f"version {version} is stored, but too few "
                    f"processes confirmed it: {sorted(confirmed)} of {sorted(rows)}"
                )
            self._announced.wait(min(wait_s, RETRY_S if not scanned else wait_s))
