"""Workers as the coordinator sees them: capacity, leases and health."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from toucanspring import resources
from toucanspring.coordinator import ports, state

# A worker's clock may run slow by this fraction, which makes its leases last longer.
MAX_CLOCK_DRIFT = 0.02
LEASE_EXPIRY_SLACK_S = 0.3
# Longer than any call timeout, so no delayed reply is older than this.
MAX_REPLY_AGE_MS = 3000
# Consecutive failures, from at least two jobs, after which a worker is quarantined.
QUARANTINE_FAILURES = 2
MIN_QUARANTINE_S = 3.0
MAX_QUARANTINE_S = 24.0
# Delay before new starts on a worker that did not reply, is unhealthy or has no room.
BACKOFF_S = 0.5
# A task is stuck if its progress has not changed for this long while its worker
# responds.
STUCK_S = 1.2
# A reply that comes this long after the one before ends a silence of the worker. It
# exceeds the time that a poll waits at the worker.
SILENCE_S = 1.8


@dataclasses.dataclass(slots=True, eq=False)
class Allocation:
    """A task that is allocated to a worker."""

    step: state.StepRun
    task: state.Task


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """State of one worker; times are seconds of `uptime`."""

    entry: ports.WorkerEntry
    incarnation: int = 0
    registered: bool = True  # its entry is in the worker directory
    confirmed: bool = False  # it has replied to a poll in the current epoch
    responsive: bool = False
    # The latest poll had no reply, or a reply carried an earlier clock time than
    # expected.
    may_have_restarted: bool = False
    replied_at: float = float("-inf")  # the latest reply to a poll
    # The first reply after a silence: a worker that was paused has made no progress.
    returned_at: float = float("-inf")
    used: resources.Resources = resources.ZERO
    allocations: dict[str, Allocation] = dataclasses.field(default_factory=dict)
    # Resources of tasks that the worker runs without an allocation.
    unknown_tasks: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    # When runs that must end are stopped (again), by task and number of the run.
    stops_due_at: dict[tuple[str, int], float] = dataclasses.field(default_factory=dict)
    acked_end: int = 0
    clock_ms: int = 0
    clock_read_at: float = 0.0
    lease_until_ms: int = 0
    # Until then it may run tasks; always finite, so that no task waits for ever.
    lease_expires_at: float = 0.0
    backoff_until: float = 0.0
    failures: int = 0
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    # Rate of its tasks relative to tasks of the same steps on other workers.
    speed: float = 1.0
    samples: int = 0
    slow_until: float = 0.0
    slowness: float = 1.0  # speed relative to the median when it was found slow
    quarantine_s: float = MIN_QUARANTINE_S
    quarantined_until: float = 0.0

    @property
    def id(self) -> str:
        """Return the ID of the worker."""
        return self.entry.id

    @property
    def kind(self) -> tuple[str, ...]:
        """Return the attributes that may explain the speed of the worker."""
        return f"zone={self.entry.zone}", *self.entry.labels

    def target(self, incarnation: int) -> ports.WorkerEntry:
        """Return the entry for a call to an incarnation; 0 stands for any."""
        if self.entry.incarnation == incarnation:
            return self.entry
        return dataclasses.replace(self.entry, incarnation=incarnation)

    def free(self) -> resources.Resources:
        """Return the capacity that no known task uses."""
        free = self.entry.capacity - self.used
        for demand in self.unknown_tasks.values():
            free = free - demand
        return free

    def count_tasks(self) -> int:
        """Return how many tasks run on the worker or are about to."""
        return len(self.allocations) + len(self.unknown_tasks)

    def has_room(self, demand: resources.Resources) -> bool:
        """Return whether `demand` fits into the free capacity."""
        if self.unknown_tasks:
            return demand.fits(self.free())
        capacity, used = self.entry.capacity, self.used
        return (
            demand.cpus + used.cpus <= capacity.cpus
            and demand.memory + used.memory <= capacity.memory
            and demand.accelerators + used.accelerators <= capacity.accelerators
        )

    def is_available(self, zones_out: frozenset[str]) -> bool:
        """Return whether the worker can be reached and may take new tasks."""
        return (
            self.confirmed
            and self.responsive
            and self.registered
            and self.is_described()
            and not self.entry.draining
            and self.entry.zone not in zones_out
        )

    def is_described(self) -> bool:
        """Return whether the entry is of the incarnation that has answered.

        A worker may restart under its ID with other labels and another capacity.
        """
        return self.entry.incarnation in (0, self.incarnation)

    def is_paused(self, now: float) -> bool:
        """Return whether the worker is left alone because it failed or was slow."""
        return now < max(self.backoff_until, self.quarantined_until, self.slow_until)

    def is_usable(self, now: float, zones_out: frozenset[str]) -> bool:
        """Return whether new tasks may start on the worker."""
        return self.is_available(zones_out) and not self.is_paused(now)

    def estimate_clock(self, now: float) -> int:
        """Return a lower bound of the current time on the worker's clock, in ms."""
        return self.clock_ms + int(
            (now - self.clock_read_at) * 1000 * (1 - MAX_CLOCK_DRIFT)
        )

    def update_clock(self, clock_ms: int, received_at: float) -> None:
        """Update the clock estimate from a reply of the worker."""
        known_ms = self.estimate_clock(received_at) if self.clock_ms else 0
        if clock_ms >= known_ms:
            self.clock_ms, self.clock_read_at = clock_ms, received_at
        elif clock_ms < known_ms - MAX_REPLY_AGE_MS:
            self.may_have_restarted = True

    def extend_lease(self, until_ms: int, now: float) -> None:
        """Record the lease in an order before the order is sent."""
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        self._update_lease_expiry(now)

    def _update_lease_expiry(self, now: float) -> None:
        left_ms = self.lease_until_ms - self.estimate_clock(now)
        self.lease_expires_at = (
            now + left_ms / 1000 / (1 - MAX_CLOCK_DRIFT) + LEASE_EXPIRY_SLACK_S
        )

    def record_reply(self, now: float) -> None:
        """Record a reply to a poll."""
        if now - self.replied_at > SILENCE_S:
            self.returned_at = now
        self.replied_at = now

    def record_restart(self, incarnation: int) -> None:
        """Reset the state for a new incarnation, which runs no tasks.

        The first answer to a coordinator counts as one. The worker may be lost before
        the next order to it, so that the end of its lease stays as it was.
        """
        self.incarnation = incarnation
        self.acked_end = 0
        self.unknown_tasks.clear()
        self.stops_due_at.clear()
        self.clock_ms = self.lease_until_ms = 0
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
        """Record a run that succeeded."""
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
