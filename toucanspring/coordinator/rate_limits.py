"""Which jobs an organisation sends beyond its weight in jobs a second.

They are accepted and run, after the work that the organisations are entitled to.
"""

from __future__ import annotations

import dataclasses

from toucanspring.coordinator import catalogue

# Jobs come in bunches; so many seconds of the rate may come at once.
BURST_S = 2.0
MIN_BURST_JOBS = 4.0


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Hold what an organisation may still send; times are seconds."""

    tokens: float
    refilled_at: float


class RateLimits:
    """Count the jobs of each organisation against its weight."""

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}

    def count_job(
        self, name: str, organisation: catalogue.Organisation | None, now: float
    ) -> bool:
        """Count one job; return whether it is beyond the rate."""
        if organisation is None or organisation.weight <= 0:
            return False
        capacity = max(MIN_BURST_JOBS, organisation.weight * BURST_S)
        bucket = self._buckets.setdefault(name, TokenBucket(capacity, now))
        earned = max(0.0, now - bucket.refilled_at) * organisation.weight
        bucket.tokens = min(capacity, bucket.tokens + earned)
        bucket.refilled_at = max(now, bucket.refilled_at)
        if bucket.tokens < 1:
            return True
        bucket.tokens -= 1
        return False
