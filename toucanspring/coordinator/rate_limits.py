"""Submission rates of organisations; the limit is the weight in jobs per second.

Jobs above the rate are accepted but are scheduled after the jobs within it.
"""

from __future__ import annotations

import dataclasses

from toucanspring.coordinator import catalogue

# Jobs arrive in bursts; a bucket holds the tokens of this many seconds.
BURST_S = 2.0
MIN_BURST_JOBS = 4.0


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Token bucket of one organisation; times are seconds of `uptime`."""

    tokens: float
    refilled_at: float


class RateLimits:
    """Token buckets by organisation."""

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}

    def count_job(
        self, name: str, organisation: catalogue.Organisation, now: float
    ) -> bool:
        """Count one job; return whether it is above the rate."""
        if organisation.weight <= 0:
            return False
        capacity = max(MIN_BURST_JOBS, organisation.weight * BURST_S)
        bucket = self._buckets.setdefault(name, TokenBucket(capacity, now))
        refill = max(0.0, now - bucket.refilled_at) * organisation.weight
        bucket.tokens = min(capacity, bucket.tokens + refill)
        bucket.refilled_at = max(now, bucket.refilled_at)
        if bucket.tokens < 1:
            return True
        bucket.tokens -= 1
        return False
