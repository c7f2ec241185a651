"""What callers and workers see, and the promises that this must keep."""

from __future__ import annotations

import dataclasses
import enum
import time

from standins import lease_workers
from toucanspring.coordinator import job_specs, state

CANCEL_S = 3.0  # after the answer to a cancellation nothing of the job starts
ZONE_S = 5.0  # after a zone is taken out nothing starts there
# Orders that were held back may be carried out this much later.
LATE_ORDER_S = 4.0


class Acceptance(enum.Enum):
    """Say what a caller knows of a job that it has handed in."""

    SENDING = "sending"
    ACCEPTED = "accepted"
    REFUSED = "refused"  # every try was told "not run"
    UNKNOWN = "unknown"  # some try had no answer


@dataclasses.dataclass
class Ordered:
    """Hold a job as its caller sees it; times are monotonic seconds."""

    spec: job_specs.Job
    acceptance: Acceptance = Acceptance.SENDING
    told: str = ""
    cancelling: bool = False  # a cancellation was sent, and may have taken effect
    cancelled_at: float = float("inf")  # when its answer arrived


class Promises:
    """Collect what is broken."""

    def __init__(self, workers: lease_workers.LeaseWorkers) -> None:
        self.jobs: dict[str, Ordered] = {}
        self.out_since: dict[str, float] = {}  # zones out of service
        self._workers = workers
        self._started: set[str] = set()

    @property
    def broken(self) -> list[str]:
        """Return the broken promises so far."""
        return self._workers.violations

    def break_(self, text: str) -> None:
        """Take note of a broken promise."""
        self._workers.violations.append(text)

    def expect(self, spec: job_specs.Job) -> Ordered:
        """Take in a job that is about to be handed in."""
        self._workers.jobs[spec.id] = spec
        ordered = self.jobs[spec.id] = Ordered(spec)
        return ordered

    def start_of(self, task: str, payload: str, zone: str) -> str:
        """Return what is wrong with the start of a task; empty if nothing."""
        name = state.parse_task_id(task)
        ordered = self.jobs.get(name.job) if name is not None else None
        if ordered is None or ordered.spec.payload != payload:
            return f"{task} was started, but nobody asked for that"
        self._started.add(name.job)
        now = time.monotonic()
        if ordered.acceptance is Acceptance.REFUSED:
            return f"{task} was started after its job was refused"
        if now > ordered.cancelled_at + CANCEL_S + LATE_ORDER_S:
            return f"{task} was started long after its job was cancelled"
        if now > self.out_since.get(zone, now) + ZONE_S + LATE_ORDER_S:
            return f"{task} was started in zone {zone}, which is out of service"
        return ""

    def refused(self, ordered: Ordered) -> None:
        """Take note that a job was refused for good."""
        ordered.acceptance = Acceptance.REFUSED
        if ordered.spec.id in self._started:
            self.break_(f"{ordered.spec.id} was refused, but had started")

    def told(self, ordered: Ordered, shown: str) -> None:
        """Take note of a state that a caller was told."""
        job_id = ordered.spec.id
        if ordered.told in ("completed", "cancelled") and shown != ordered.told:
            self.break_(f"{job_id} was {ordered.told}, then {shown}")
        ordered.told = shown
        match shown:
            case "completed":
                missing = [
                    task for task in _tasks(ordered.spec) if task not in self._done()
                ]
                if missing:
                    self.break_(f"{job_id} completed without {missing[0]}")
            case "failed":
                self.break_(f"{job_id} failed without cause")
            case "cancelled" if not ordered.cancelling:
                self.break_(f"{job_id} is cancelled, but nobody wanted that")

    def unknown(self, ordered: Ordered) -> None:
        """Take note that a job is said to be unknown."""
        if ordered.acceptance is Acceptance.ACCEPTED:
            self.break_(f"{ordered.spec.id} was accepted and is unknown now")

    def unfinished(self) -> list[str]:
        """Return the accepted jobs that nobody cancelled and that are not done."""
        return [
            job_id
            for job_id, ordered in self.jobs.items()
            if ordered.acceptance is Acceptance.ACCEPTED
            and not ordered.cancelling
            and ordered.told != "completed"
        ]

    def _done(self) -> dict[str, int]:
        self._workers.advance()
        return self._workers.done


def _tasks(spec: job_specs.Job) -> list[str]:
    return [
        f"{spec.id}.0.{number}.{index}"
        for number, step in enumerate(spec.steps)
        for index in range(step.count)
    ]
