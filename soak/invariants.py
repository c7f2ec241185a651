"""Invariants of what callers and workers observe."""

from __future__ import annotations

import dataclasses
import enum
import time

from soak import failures
from standins import lease_workers
from toucanspring.coordinator import job_specs, state

CANCEL_S = 3.0  # after the answer to a cancellation, no task of the job starts
ZONE_S = 5.0  # after a zone is taken out of service, no task starts there
# Delayed orders may be executed this much later.
MAX_ORDER_DELAY_S = 4.0
FINAL_STATES = ("completed", "cancelled", "failed")


class Acceptance(enum.Enum):
    """Result of submitting a job, as its caller knows it."""

    SENDING = "sending"
    ACCEPTED = "accepted"
    REFUSED = "refused"  # every attempt was answered "not run"
    UNKNOWN = "unknown"  # some attempt had no answer


@dataclasses.dataclass
class SubmittedJob:
    """A job as its caller sees it; times are monotonic seconds."""

    spec: job_specs.Job
    submitted_at: float
    acceptance: Acceptance = Acceptance.SENDING
    reported_state: str = ""
    cancelling: bool = False  # a cancellation was sent, and may have taken effect
    cancelled_at: float = float("inf")  # when its answer arrived


class InvariantChecker:
    """Checks the observations of one run and collects violations."""

    def __init__(self, workers: lease_workers.LeaseWorkers) -> None:
        self.jobs: dict[str, SubmittedJob] = {}
        self.zones_out_since: dict[str, float] = {}  # zones out of service
        self._workers = workers
        self._started: set[str] = set()
        self._attempts = failures.AttemptsHistory()
        workers.check_run = self.check_attempts

    @property
    def violations(self) -> list[str]:
        """Return the violations so far."""
        return self._workers.violations

    def add_violation(self, text: str) -> None:
        """Record a violation."""
        self._workers.violations.append(text)

    def add_job(self, spec: job_specs.Job) -> SubmittedJob:
        """Add a job that is about to be submitted."""
        self._workers.jobs[spec.id] = spec
        submitted = self.jobs[spec.id] = SubmittedJob(spec, time.monotonic())
        return submitted

    def check_start(self, task: str, payload: str, zone: str) -> str:
        """Return the violation that the start of a task causes, or an empty string."""
        name = state.parse_task_id(task)
        submitted = self.jobs.get(name.job) if name is not None else None
        if submitted is None or submitted.spec.payload != payload:
            return f"{task} was started, but no such job was submitted"
        self._started.add(name.job)
        now = time.monotonic()
        if submitted.acceptance is Acceptance.REFUSED:
            return f"{task} was started after its job was refused"
        if now > submitted.cancelled_at + CANCEL_S + MAX_ORDER_DELAY_S:
            return f"{task} was started long after its job was cancelled"
        if now > self.zones_out_since.get(zone, now) + ZONE_S + MAX_ORDER_DELAY_S:
            return f"{task} was started in zone {zone}, which is out of service"
        return ""

    def record_attempts(self, attempts: dict[str, int]) -> None:
        """Record the attempts of each queue in a configuration that is written."""
        self._attempts.record(attempts, time.monotonic())

    def find_attempts(self, queue: str) -> set[int | None]:
        """Return the attempts that may be in force; None if the queue is removed."""
        return self._attempts.find(queue, time.monotonic())

    def check_attempts(self, task: str, run: int) -> str:
        """Return the violation that a run causes after too many failed ones, or ""."""
        spec = self.jobs[task.partition(".")[0]].spec
        failed = failures.count_noted(self._workers, spec, task, run)
        counts = [each for each in self.find_attempts(spec.queue) if each is not None]
        if not counts or failed < max(counts):
            return ""
        return f"{task} run {run} started after {failed} failed of {max(counts)}"

    def _check_failed(self, submitted: SubmittedJob) -> None:
        spec = submitted.spec
        counts = self._attempts.find(
            spec.queue, time.monotonic(), submitted.submitted_at
        )
        lowest = min((each for each in counts if each is not None), default=None)
        self._workers.advance()
        failed = failures.count_most_failed(self._workers, spec)
        if lowest is None or failed < lowest:
            self.add_violation(
                f"{spec.id} failed without cause: {failed} failed runs of {lowest}"
            )

    def record_refusal(self, submitted: SubmittedJob) -> None:
        """Record that all attempts to submit a job were refused."""
        submitted.acceptance = Acceptance.REFUSED
        if submitted.spec.id in self._started:
            self.add_violation(f"{submitted.spec.id} was refused, but had started")

    def record_state(self, submitted: SubmittedJob, job_state: str) -> None:
        """Record the state of a job that a caller received."""
        job_id = submitted.spec.id
        if (
            submitted.reported_state in FINAL_STATES
            and job_state != submitted.reported_state
        ):
            self.add_violation(
                f"{job_id} was {submitted.reported_state}, then {job_state}"
            )
        submitted.reported_state = job_state
        if submitted.acceptance is Acceptance.UNKNOWN:
            submitted.acceptance = Acceptance.ACCEPTED  # there is such a job
        match job_state:
            case "completed":
                missing = [
                    task
                    for task in _task_ids(submitted.spec)
                    if task not in self._done()
                ]
                if missing:
                    self.add_violation(f"{job_id} completed without {missing[0]}")
            case "failed":
                self._check_failed(submitted)
            case "cancelled" if not submitted.cancelling:
                self.add_violation(f"{job_id} was cancelled without a request")

    def record_unknown(self, submitted: SubmittedJob) -> None:
        """Record that a caller was told that a job is unknown."""
        if submitted.acceptance is Acceptance.ACCEPTED:
            self.add_violation(f"{submitted.spec.id} was accepted and is unknown now")

    def unfinished(self) -> list[str]:
        """Return the accepted jobs that are not final, but should be.

        Those that were cancelled, or whose queue is removed, need not be.
        """
        return [
            job_id
            for job_id, submitted in self.jobs.items()
            if submitted.acceptance is Acceptance.ACCEPTED
            and not submitted.cancelling
            and submitted.reported_state not in FINAL_STATES
            and not self._attempts.is_removed(submitted.spec.queue)
        ]

    def _done(self) -> dict[str, int]:
        self._workers.advance()
        return self._workers.done


def _task_ids(spec: job_specs.Job) -> list[str]:
    return [
        f"{spec.id}.0.{number}.{index}"
        for number, step in enumerate(spec.steps)
        for index in range(step.count)
    ]
