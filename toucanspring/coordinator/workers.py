"""Workers as the coordinator sees them: room, leases and how they behave."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from toucanspring import resources
from toucanspring.coordinator import ports, state

# A worker's clock may be this much slow, so that its leases last longer.
CLOCK_SLOWNESS = 0.02
LAPSE_SLACK_S = 0.3
# Calls are given up before their answers are this old.
OLDEST_ANSWER_MS = 3000
# After so many failures in a row, of at least two jobs, a worker gets no work.
FAILURES_IN_A_ROW = 2
QUARANTINE_FIRST_S = 3.0
QUARANTINE_MAX_S = 24.0
# A worker that did not answer, or refused while unhealthy, is left alone this long.
PENALTY_S = 0.5
# A task whose progress stands still for this long on an answering worker is stuck.
STUCK_S = 1.2


@dataclasses.dataclass(slots=True, eq=False)
class Held:
    """Say that a task takes room on a worker."""

    step: state.StepRun
    task: state.Task


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """Hold one worker; times are monotonic seconds."""

    entry: ports.WorkerEntry
    born: int = 0
    registered: bool = True  # its entry is in the store
    confirmed: bool = False  # it has answered under the present epoch
    answering: bool = False
    # The latest look had no answer, or an answer came from a younger clock: the worker
    # may have begun another life.
    in_doubt: bool = False
    used: resources.Resources = resources.ZERO
    held: dict[str, Held] = dataclasses.field(default_factory=dict)
    # Tasks that it runs and that nobody asked this coordinator to keep.
    foreign: dict[str, resources.Resources] = dataclasses.field(default_factory=dict)
    seen_end: int = 0
    clock_ms: int = 0
    clock_at: float = 0.0
    lease_until_ms: int = 0
    lapses_at: float = float("inf")
    penalty_until: float = 0.0
    failures: int = 0
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    # Rate of its tasks beside those of the same steps elsewhere.
    speed: float = 1.0
    samples: int = 0
    slow_until: float = 0.0
    slowness: float = 1.0  # its speed beside the others' when it was found slow
    quarantine_s: float = QUARANTINE_FIRST_S
    quarantined_until: float = 0.0

    @property
    def id(self) -> str:
        """Return the worker's name."""
        return self.entry.id

    def free(self) -> resources.Resources:
        """Return the room that nothing known takes."""
        free = self.entry.capacity - self.used
        for demand in self.foreign.values():
            free = free - demand
        return free

    def is_usable(self, now: float, zones_out: frozenset[str]) -> bool:
        """Return whether new tasks may start here."""
        return (
            self.confirmed
            and self.answering
            and self.registered
            and not self.entry.draining
            and self.entry.zone not in zones_out
            and now >= self.penalty_until
            and now >= self.quarantined_until
            and now >= self.slow_until
        )

    def estimate_clock(self, now: float) -> int:
        """Return a time that the worker's clock has reached."""
        return self.clock_ms + int((now - self.clock_at) * 1000 * (1 - CLOCK_SLOWNESS))

    def take_clock(self, clock_ms: int, received_at: float) -> None:
        """Take in the worker's clock from an answer."""
        known_ms = self.estimate_clock(received_at) if self.clock_ms else 0
        if clock_ms >= known_ms:
            self.clock_ms, self.clock_at = clock_ms, received_at
        elif clock_ms < known_ms - OLDEST_ANSWER_MS:
            self.in_doubt = True

    def promise_lease(self, until_ms: int, now: float) -> None:
        """Take note that an order carrying a lease is about to be sent."""
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        self._update_lapse(now)

    def _update_lapse(self, now: float) -> None:
        left_ms = self.lease_until_ms - self.estimate_clock(now)
        self.lapses_at = now + left_ms / 1000 / (1 - CLOCK_SLOWNESS) + LAPSE_SLACK_S

    def restart(self, born: int) -> None:
        """Take note that this is another life of the worker, with nothing running."""
        self.born = born
        self.seen_end = 0
        self.foreign.clear()
        self.clock_ms = self.lease_until_ms = 0
        self.lapses_at = float("inf")
        self.failures = self.samples = 0
        self.slow_until = 0.0
        self.failed_jobs.clear()

    def note_failure(self, job_id: str, now: float) -> bool:
        """Count a failed run; return whether the worker is now quarantined."""
        self.failures += 1
        self.failed_jobs.add(job_id)
        if self.failures < FAILURES_IN_A_ROW or len(self.failed_jobs) < 2:
            return False
        self.quarantined_until = now + self.quarantine_s
        self.quarantine_s = min(QUARANTINE_MAX_S, self.quarantine_s * 2)
        # One more failure after the quarantine renews it.
        self.failures = FAILURES_IN_A_ROW - 1
        return True

    def note_success(self) -> None:
        """Take note of a run that ended well."""
        self.failures = 0
        self.failed_jobs.clear()
        self.quarantine_s = QUARANTINE_FIRST_S


def total_capacity(workers: Iterable[Worker]) -> resources.Resources:
    """Return the capacity of all registered workers."""
    total = resources.ZERO
    for worker in workers:
        if worker.registered:
            total = total + worker.entry.capacity
    return total
