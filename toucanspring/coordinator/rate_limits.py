"""Which jobs an organisation sends beyond its weight in jobs a second.

They are accepted and run, after the work that the organisations are entitled to.
"""

from __future__ import annotations

import dataclasses

from toucanspring.coordinator import catalogue

# Jobs come in bunches; so many seconds of the rate may come at once.
BURST_S = 2.0
MIN_BURST = 4.0


@dataclasses.dataclass(slots=True)
class Allowance:
    """Hold what an organisation may still send; times are seconds."""

    jobs: float
    counted_at: float


class Rates:
    """Count the jobs of each organisation against its weight."""

    def __init__(self) -> None:
        self._allowances: dict[str, Allowance] = {}

    def take(
        self, name: str, organisation: catalogue.Organisation | None, now: float
    ) -> bool:
        """Count one job; return whether it is beyond the rate."""
        if organisation is None or organisation.weight <= 0:
            return False
        most = max(MIN_BURST, organisation.weight * BURST_S)
        allowance = self._allowances.setdefault(name, Allowance(most, now))
        earned = max(0.0, now - allowance.counted_at) * organisation.weight
        allowance.jobs = min(most, allowance.jobs + earned)
        allowance.counted_at = max(now, allowance.counted_at)
        if allowance.jobs < 1:
            return True
        allowance.jobs -= 1
        return False
