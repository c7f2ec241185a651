"""Quarantine of workers on which all tasks fail."""

from __future__ import annotations

import collections
import enum

QUICK_FAILURE_S = 10.0  # a failure after a longer run does not count
FAILURE_THRESHOLD = 5  # consecutive quick failures before quarantine
MIN_FAILED_JOBS = 2  # a single broken job must not cause a quarantine
# A job that failed quickly on this many other workers since its last success is
# considered broken; its failures do not count against further workers.
BROKEN_JOB_WORKERS = 3
MAX_TRACKED_JOBS = 10_000  # failing jobs that are remembered; drops the oldest
FIRST_PROBE_DELAY_S = 10.0
MAX_PROBE_DELAY_S = 1800.0
PROBE_DELAY_GROWTH = 2.0


class Eligibility(enum.StrEnum):
    """Whether a worker may get tasks; PROBE allows exactly one."""

    YES = "yes"
    PROBE = "probe"
    NO = "no"


class WorkerHealth:
    """Recent failures and probe state of one worker."""

    __slots__ = ("delay_s", "failures", "jobs", "probe_at", "probing", "quarantined")

    def __init__(self) -> None:
        self.failures = 0
        self.jobs: set[str] = set()
        self.quarantined = False
        self.probing = False
        self.probe_at = 0.0
        self.delay_s = FIRST_PROBE_DELAY_S


class Quarantine:
    """Decides from task results which workers may get tasks."""

    def __init__(self) -> None:
        self._records: dict[str, WorkerHealth] = {}
        # Job ID -> workers on which it failed quickly since its last success.
        self._failed_on: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )

    def record_result(
        self, worker: str, job_id: str, ok: bool, run_seconds: float, now: float
    ) -> None:
        """Record the end of a task; may start or end the quarantine of its worker."""
        record = self._records.get(worker)
        if record is not None and record.quarantined:
            self._record_probe(worker, record, ok, now)
            return
        if ok:
            self._failed_on.pop(job_id, None)
        if ok or run_seconds > QUICK_FAILURE_S:
            self._records.pop(worker, None)
            return
        if self._note_failure(job_id, worker):
            return
        if record is None:
            record = self._records[worker] = WorkerHealth()
        record.failures += 1
        if len(record.jobs) < MIN_FAILED_JOBS:
            record.jobs.add(job_id)
        if record.failures >= FAILURE_THRESHOLD and len(record.jobs) >= MIN_FAILED_JOBS:
            record.quarantined = True
            record.probe_at = now + record.delay_s

    def eligibility(self, worker: str, now: float) -> Eligibility:
        """Return whether a worker may get tasks."""
        record = self._records.get(worker)
        if record is None or not record.quarantined:
            return Eligibility.YES
        if now < record.probe_at:
            return Eligibility.NO
        return Eligibility.PROBE

    def probe_started(self, worker: str, now: float) -> None:
        """Record that a probe was sent; the next is due after the delay."""
        record = self._records.get(worker)
        if record is not None and record.quarantined:
            record.probing = True
            record.probe_at = now + max(record.delay_s, QUICK_FAILURE_S)

    def quarantined(self) -> list[str]:
        """Return the workers in quarantine."""
        return [name for name, record in self._records.items() if record.quarantined]

    def forget(self, worker: str) -> None:
        """Drop the state of a worker that was removed or replaced."""
        self._records.pop(worker, None)

    def _note_failure(self, job_id: str, worker: str) -> bool:
        """Record a quick failure; return whether the job is considered broken."""
        workers = self._failed_on.get(job_id)
        if workers is None:
            workers = self._failed_on[job_id] = set()
            if len(self._failed_on) > MAX_TRACKED_JOBS:
                self._failed_on.popitem(last=False)
        if len(workers) <= BROKEN_JOB_WORKERS:
            workers.add(worker)
        return len(workers - {worker}) >= BROKEN_JOB_WORKERS

    def _record_probe(
        self, worker: str, record: WorkerHealth, ok: bool, now: float
    ) -> None:
        # Ignores results of tasks that were started before the quarantine.
        if not record.probing:
            return
        if ok:
            del self._records[worker]
            return
        record.probing = False
        record.delay_s = min(MAX_PROBE_DELAY_S, record.delay_s * PROBE_DELAY_GROWTH)
        record.probe_at = now + record.delay_s
