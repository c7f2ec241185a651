"""Cache of the VM list, with the time until which requests may be routed by it."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from toucanspring import errors, uptime
from toucanspring.adapters import vms
from toucanspring.cell import ownership

log = logbook.Logger(__name__)

POLL_S = 1.0
# A read that exceeds the client's timeout by more than this, or a poll that begins
# later by more than this, means that the process was paused. A list in use is therefore
# at most 2.75 s old, below the 3 s after which a leaving backend server must get no new
# work. While the VM list cannot be reached, the last list stays in use.
SLACK_S = 0.25


class VmListCache:
    """Hold the last VM list, and detect polls delayed by a pause of the process."""

    def __init__(
        self,
        read: Callable[[], list[vms.Vm] | errors.Failure],
        clock: Callable[[], float] = uptime.now,
    ) -> None:
        self.vms: list[vms.Vm] = []
        self._read = read
        self._clock = clock
        self._usable_until = ownership.NEVER

    def usable_until(self) -> float:
        """Return the monotonic time after which the list must be read before a send."""
        return self._usable_until

    def update(self) -> float:
        """Read the list; return the seconds until the next poll."""
        while True:
            sent_at = self._clock()
            if sent_at <= self._usable_until:
                self._usable_until = sent_at + vms.TIMEOUT_S + SLACK_S
            listed = self._read()
            now = self._clock()
            if now <= sent_at + vms.TIMEOUT_S + SLACK_S:
                break
            # The answer may be as old as the pause.
        if isinstance(listed, errors.Failure):
            log.warning("VM list: {}", listed.reason)
        else:
            self.vms = listed
        pause_s = max(0.0, sent_at + POLL_S - now)
        self._usable_until = now + pause_s + SLACK_S
        return pause_s
