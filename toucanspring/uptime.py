"""Clock of all leases, deadlines and ages: the time since the machine has started.

`time.monotonic` stands still while a machine is suspended, so a process that wakes up
would take leases and permissions for valid that have run out meanwhile.
"""

from __future__ import annotations

import time

# Other systems than Linux have no clock of this kind.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now() -> float:
    """Return the seconds since the start, with the time of suspensions.

    Source: `CLOCK_BOOTTIME`. Only differences within one process have a meaning.
    """
    return time.clock_gettime(_CLOCK)
