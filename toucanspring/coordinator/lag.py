"""Whether the VM of the coordinator has become too slow for its work.

The event loop serves timers first, so a process that lags answers its heartbeats in
time while bytes of others wait. Calls to other processes show it: the fastest of a few
that are made at the same time depends on this process only.
"""

from __future__ import annotations

import collections

# A call takes a few milliseconds.
MAX_ROUND_TRIP_S = 0.2
# Checks in a row: a single one may be slow after a burst or a takeover.
SLOW_CHECKS = 2


class LagTracker:
    """Whether any of the calls of each of the last checks was answered in time."""

    def __init__(self) -> None:
        self._answered: collections.deque[bool] = collections.deque(maxlen=SLOW_CHECKS)

    def record(self, answered: bool) -> None:
        """Record whether a call of one check was answered in time."""
        self._answered.append(answered)

    def clear(self) -> None:
        """Forget the checks, since this process does not coordinate."""
        self._answered.clear()

    @property
    def is_lagging(self) -> bool:
        """Return whether none of the last checks was answered in time."""
        return len(self._answered) == SLOW_CHECKS and not any(self._answered)
