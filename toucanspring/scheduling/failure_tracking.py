"""Workers and racks where the tasks of one job fail."""

from __future__ import annotations

from toucanspring.scheduling import quarantine

FIRST_AVOID_S = 10.0
AVOID_GROWTH = 2.0
MAX_AVOID_S = 600.0
# A rack is avoided once the job has failed on so many of its workers.
WORKERS_OF_BAD_RACK = 2


class _Place:
    """Hold until when a worker is avoided, in monotonic seconds."""

    __slots__ = ("delay_s", "rack", "until")

    def __init__(self, rack: str) -> None:
        self.rack = rack
        self.delay_s = FIRST_AVOID_S / AVOID_GROWTH
        self.until = 0.0


class FailurePlaces:
    """Record on which workers the tasks of one job fail quickly."""

    def __init__(self) -> None:
        self._places: dict[str, _Place] = {}

    def record(
        self, worker: str, rack: str, ok: bool, run_seconds: float, now: float
    ) -> float:
        """Record the end of a task; a success or a long run clears the worker.

        Return for how many seconds the worker is avoided from now on, or 0.
        """
        if ok or run_seconds > quarantine.QUICK_FAILURE_S:
            self._places.pop(worker, None)
            return 0.0
        place = self._places.setdefault(worker, _Place(rack))
        if now < place.until:
            return 0.0  # started before the worker was avoided
        place.delay_s = min(MAX_AVOID_S, place.delay_s * AVOID_GROWTH)
        place.until = now + place.delay_s
        return place.delay_s

    def count_in(self, rack: str, now: float) -> int:
        """Return the number of avoided workers of a rack; 0 without a name."""
        return sum(
            place.rack == rack != "" and now < place.until
            for place in self._places.values()
        )

    def workers(self, now: float) -> set[str]:
        """Return the workers to avoid."""
        return {name for name, place in self._places.items() if now < place.until}

    def racks(self, now: float) -> set[str]:
        """Return the racks to avoid."""
        counts: dict[str, int] = {}
        for place in self._places.values():
            if place.rack and now < place.until:
                counts[place.rack] = counts.get(place.rack, 0) + 1
        return {rack for rack, count in counts.items() if count >= WORKERS_OF_BAD_RACK}
