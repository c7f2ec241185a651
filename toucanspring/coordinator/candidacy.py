"""Which process is to coordinate, by what its VM can carry.

The strength of a process is the number of starts a second that its VM can coordinate; 0
means unknown.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Container, Iterable, Mapping, Sequence

# What one start costs the coordinator: its share of the planning, the write, the order
# and the polls.
PROCESSOR_MS_PER_START = 1.25
LINK_KBIT_PER_START = 20.0
# A process is weak if a present one is stronger by more than this.
STRONG_SHARE = 0.5
# A weak process leaves a free lease to the strong ones for this long. It is longer than
# the last rank of these and a check of the peers together.
WEAK_WAIT_S = 0.4
RANK_WAIT_S = 0.1
MAX_RANK = 2  # bounds the wait for processes that are gone
STRONG_FIRST = 2
# A handover costs the cell the successor's reads, polls and approvals, so it is not
# repeated for each restart of an unstable strong process.
HANDOVER_INTERVAL_S = 10.0
OFFER_RETRY_S = 1.0
# A coordinator that lags again that soon after a handover has too much work for any VM.
LAG_HANDOVER_INTERVAL_S = 30.0


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


def is_weak(strength: float, strengths: Iterable[float]) -> bool:
    """Return whether a process of some strength is to leave the others the lead."""
    return 0 < strength < STRONG_SHARE * max(strengths, default=0.0)


def find_weak_wait_s(
    process: str, strengths: Mapping[str, float], gone: Container[str]
) -> float:
    """Return how long a process leaves a free lease to stronger ones.

    `strengths` has all known processes, `gone` those that are known to be gone.
    """
    present = _find_present(process, strengths, gone)
    return WEAK_WAIT_S if is_weak(present[process], present.values()) else 0.0


def find_takeover_wait_s(
    process: str,
    strengths: Mapping[str, float],
    gone: Container[str],
    coordinator: str,
) -> float:
    """Return how long a process waits before it replaces a coordinator.

    Processes of the same tier act one after the other, against the ring of names from
    the coordinator on: each has streams to those right before it in this order, and so
    knows when they are gone.
    """
    present = _find_present(process, strengths, {coordinator, *gone})
    weak = is_weak(present[process], present.values())
    tier = [
        name
        for name, strength in present.items()
        if is_weak(strength, present.values()) == weak
    ]
    order = sorted(tier, key=lambda name: (name < coordinator, name), reverse=True)
    rank = min(order.index(process), MAX_RANK)
    return rank * RANK_WAIT_S + (WEAK_WAIT_S if weak else 0.0)


def find_successors(
    process: str, strengths: Mapping[str, float], connected: Iterable[str]
) -> list[str]:
    """Return the connected processes that a weak coordinator may hand over to.

    Each of them is stronger by more than `STRONG_SHARE` and not weak itself, so a lease
    that is handed over never comes back in this way.
    """
    own = strengths.get(process, 0.0)
    present = {name: strengths.get(name, 0.0) for name in connected}
    return [
        name
        for name, strength in present.items()
        if is_weak(own, [strength]) and not is_weak(strength, present.values())
    ]


def find_equals(
    process: str, strengths: Mapping[str, float], connected: Iterable[str]
) -> list[str]:
    """Return the connected processes that are not weak beside a coordinator."""
    present = {name: strengths.get(name, 0.0) for name in connected}
    known = [strengths.get(process, 0.0), *present.values()]
    return [name for name, each in present.items() if not is_weak(each, known)]


@dataclasses.dataclass(slots=True)
class HandoverPace:
    """Limits how often the lease is offered to stronger processes.

    Times are seconds of `uptime`. `epoch` is that of the last handover in the cell.
    """

    epoch: int = 0
    handed_over_at: float = -math.inf
    offered_at: float = -math.inf

    def may_offer(
        self, epoch: int, now: float, interval_s: float = HANDOVER_INTERVAL_S
    ) -> bool:
        """Return whether the holder of an epoch may offer its lease.

        A lease that was handed over and not acquired is offered again.
        """
        if now - self.offered_at < OFFER_RETRY_S:
            return False
        return epoch == self.epoch or now - self.handed_over_at >= interval_s

    def record_handover(self, epoch: int, now: float) -> None:
        """Record that the holder of an epoch has handed its lease over."""
        if epoch > self.epoch:
            self.epoch, self.handed_over_at = epoch, now


def order_successors(names: Sequence[str], strengths: Mapping[str, float]) -> list[str]:
    """Return processes in the order in which a failing coordinator asks them.

    The strong ones may be in the same trouble, so not all of them come first.
    """
    known = {name: strengths.get(name, 0.0) for name in names}
    weak = [name for name in names if is_weak(known[name], known.values())]
    strong = [name for name in names if name not in weak]
    return [*strong[:STRONG_FIRST], *weak, *strong[STRONG_FIRST:]]


def _find_present(
    process: str, strengths: Mapping[str, float], gone: Container[str]
) -> dict[str, float]:
    present = {
        name: strength for name, strength in strengths.items() if name not in gone
    }
    present[process] = strengths.get(process, 0.0)
    return present
