"""Workers as the coordinator sees them: room, leases and how they behave."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from toucanspring import resources
from toucanspring.coordinator import ports, state

# A worker's clock may be this much slow, so that its leases last longer.
MAX_CLOCK_DRIFT = 0.02
LEASE_EXPIRY_SLACK_S = 0.3
# Calls are given up before their answers are this old.
MAX_REPLY_AGE_MS = 3000
# After so many failures in a row, of at least two jobs, a worker gets no work.
QUARANTINE_FAILURES = 2
MIN_QUARANTINE_S = 3.0
MAX_QUARANTINE_S = 24.0
# A worker that did not answer, or refused while unhealthy, is left alone this long.
BACKOFF_S = 0.5
# A task whose progress stands still for this long on an answering worker is stuck.
STUCK_S = 1.2


@dataclasses.dataclass(slots=True, eq=False)
class Allocation:
    """Say that a task takes room on a worker."""

    step: state.StepRun
    task: state.Task


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """Hold one worker; times are monotonic seconds."""

    entry: ports.WorkerEntry
    incarnation: int = 0
    registered: bool = True  # its entry is in the store
    confirmed: bool = False  # it has answered under the present epoch
    responsive: bool = False
    # The latest look had no answer, or an answer came from a younger clock: the worker
    # may have begun another life.
    may_have_restarted: bool = False
    used: resources.Resources = resources.ZERO
    allocations: dict[str, Allocation] = dataclasses.field(default_factory=dict)
    # Tasks that it runs and that nobody asked this coordinator to keep.
    unknown_tasks: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    acked_end: int = 0
    clock_ms: int = 0
    clock_read_at: float = 0.0
    lease_until_ms: int = 0
    lease_expires_at: float = float("inf")
    backoff_until: float = 0.0
    failures: int = 0
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    # Rate of its tasks beside those of the same steps elsewhere.
    speed: float = 1.0
    samples: int = 0
    slow_until: float = 0.0
    slowness: float = 1.0  # its speed beside the others' when it was found slow
    quarantine_s: float = MIN_QUARANTINE_S
    quarantined_until: float = 0.0

    @property
    def id(self) -> str:
        """Return the worker's name."""
        return self.entry.id

    def free(self) -> resources.Resources:
        """Return the room that nothing known takes."""
        free = self.entry.capacity - self.used
        for demand in self.unknown_tasks.values():
            free = free - demand
        return free

    def is_usable(self, now: float, zones_out: frozenset[str]) -> bool:
        """Return whether new tasks may start here."""
        return (
            self.confirmed
            and self.responsive
            and self.registered
            and not self.entry.draining
            and self.entry.zone not in zones_out
            and now >= self.backoff_until
            and now >= self.quarantined_until
            and now >= self.slow_until
        )

    def estimate_clock(self, now: float) -> int:
        """Return a time that the worker's clock has reached."""
        return self.clock_ms + int(
            (now - self.clock_read_at) * 1000 * (1 - MAX_CLOCK_DRIFT)
        )

    def update_clock(self, clock_ms: int, received_at: float) -> None:
        """Take in the worker's clock from an answer."""
        known_ms = self.estimate_clock(received_at) if self.clock_ms else 0
        if clock_ms >= known_ms:
            self.clock_ms, self.clock_read_at = clock_ms, received_at
        elif clock_ms < known_ms - MAX_REPLY_AGE_MS:
            self.may_have_restarted = True

    def extend_lease(self, until_ms: int, now: float) -> None:
        """Take note that an order carrying a lease is about to be sent."""
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        self._update_lease_expiry(now)

    def _update_lease_expiry(self, now: float) -> None:
        left_ms = self.lease_until_ms - self.estimate_clock(now)
        self.lease_expires_at = (
            now + left_ms / 1000 / (1 - MAX_CLOCK_DRIFT) + LEASE_EXPIRY_SLACK_S
        )

    def record_restart(self, incarnation: int) -> None:
        """Take note that this is another life of the worker, with nothing running."""
        self.incarnation = incarnation
        self.acked_end = 0
        self.unknown_tasks.clear()
        self.clock_ms = self.lease_until_ms = 0
        self.lease_expires_at = float("inf")
        self.failures = self.samples = 0
        self.slow_until = 0.0
        self.failed_jobs.clear()

    def record_failure(self, job_id: str, now: float) -> bool:
        """Count a failed run; return whether the worker is now quarantined."""
        self.failures += 1
        self.failed_jobs.add(job_id)
        if self.failures < QUARANTINE_FAILURES or len(self.failed_jobs) < 2:
            return False
        self.quarantined_until = now + self.quarantine_s
        self.quarantine_s = min(MAX_QUARANTINE_S, self.quarantine_s * 2)
        # One more failure after the quarantine renews it.
        self.failures = QUARANTINE_FAILURES - 1
        return True

    def record_success(self) -> None:
        """Take note of a run that ended well."""
        self.failures = 0
        self.failed_jobs.clear()
        self.quarantine_s = MIN_QUARANTINE_S


def total_capacity(workers: Iterable[Worker]) -> resources.Resources:
    """Return the capacity of all registered workers."""
    total = resources.ZERO
    for worker in workers:
        if worker.registered:
            total = total + worker.entry.capacity
    return total
