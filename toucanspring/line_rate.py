"""Limit on the rate of log lines."""

from __future__ import annotations

from collections.abc import Callable

from toucanspring import uptime


class LineRate:
    """Permit a burst of lines and then a rate; count those that were not permitted."""

    def __init__(
        self,
        lines_per_s: float,
        burst: int,
        clock: Callable[[], float] = uptime.now,
    ) -> None:
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._clock = clock
        self._tokens = float(burst)
        self._refilled_at = clock()
        self.dropped = 0  # since the last line

    def take(self) -> bool:
        """Return whether a line may be written now, else count it as dropped."""
        now = self._clock()
        refill = (now - self._refilled_at) * self._lines_per_s
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True

    def report_dropped(self) -> dict[str, int]:
        """Return a field with the number of lines dropped before this one, if any."""
        dropped, self.dropped = self.dropped, 0
        return {"not_logged": dropped} if dropped else {}
