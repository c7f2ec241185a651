"""Which process is to coordinate, by what its VM can carry.

The strength of a process is the number of starts a second that its VM can coordinate; 0
means unknown.
"""

from __future__ import annotations

import dataclasses
import math

# What one start costs the coordinator: its share of the planning, the write, the order
# and the polls.
PROCESSOR_MS_PER_START = 1.25
LINK_KBIT_PER_START = 20.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Capacity:
    """What the VM of a process can carry; 0 means unknown."""

    cores: float = 0.0
    link_mbps: float = 0.0
    memory_mb: float = 0.0


def find_strength(cores: float, link_mbps: float) -> float:
    """Return the strength of a process; an unknown amount does not limit it."""
    limits = (
        cores * 1000 / PROCESSOR_MS_PER_START,
        link_mbps * 1000 / LINK_KBIT_PER_START,
    )
    known = [limit for limit in limits if math.isfinite(limit) and limit > 0]
    return min(known, default=0.0)
