"""Tracking of the workers and racks on which tasks of one job fail."""

from __future__ import annotations

from toucanspring.scheduling import quarantine

FIRST_AVOIDANCE_S = 10.0
AVOIDANCE_GROWTH = 2.0
MAX_AVOIDANCE_S = 600.0
# A rack is avoided while this many of its workers are.
RACK_AVOIDANCE_THRESHOLD = 2


class _AvoidedWorker:
    """Worker on which the job failed; `until` is in monotonic seconds."""

    __slots__ = ("delay_s", "rack", "until")

    def __init__(self, rack: str) -> None:
        self.rack = rack
        self.delay_s = FIRST_AVOIDANCE_S / AVOIDANCE_GROWTH
        self.until = 0.0


class FailureTracker:
    """Workers on which tasks of one job fail quickly, avoided with backoff."""

    def __init__(self) -> None:
        self._avoided: dict[str, _AvoidedWorker] = {}

    def record(
        self, worker: str, rack: str, ok: bool, run_seconds: float, now: float
    ) -> float:
        """Record the end of a task; a success or a long run clears the worker.

        Return the number of seconds for which the worker is now avoided, or 0.
        """
        if ok or run_seconds > quarantine.QUICK_FAILURE_S:
            self._avoided.pop(worker, None)
            return 0.0
        avoided = self._avoided.setdefault(worker, _AvoidedWorker(rack))
        if now < avoided.until:
            return 0.0  # the task was started before the worker was avoided
        avoided.delay_s = min(MAX_AVOIDANCE_S, avoided.delay_s * AVOIDANCE_GROWTH)
        avoided.until = now + avoided.delay_s
        return avoided.delay_s

    def count_avoided_in(self, rack: str, now: float) -> int:
        """Return the number of avoided workers in a rack; 0 for an empty name."""
        return sum(
            avoided.rack == rack != "" and now < avoided.until
            for avoided in self._avoided.values()
        )

    def avoided_workers(self, now: float) -> set[str]:
        """Return the workers to avoid now."""
        return {name for name, avoided in self._avoided.items() if now < avoided.until}

    def avoided_racks(self, now: float) -> set[str]:
        """Return the racks to avoid now."""
        counts: dict[str, int] = {}
        for avoided in self._avoided.values():
            if avoided.rack and now < avoided.until:
                counts[avoided.rack] = counts.get(avoided.rack, 0) + 1
        return {
            rack for rack, count in counts.items() if count >= RACK_AVOIDANCE_THRESHOLD
        }
