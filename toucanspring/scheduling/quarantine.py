"""Quarantine of workers that fail every task."""

from __future__ import annotations

import collections
import enum

QUICK_FAILURE_S = 10.0  # a failure after a longer run is not held against a worker
FAILURES = 5  # quick failures in a row that lead to quarantine
MIN_JOBS = 2  # one broken job must not take workers out
# A job that failed quickly on so many other workers since its last success is taken
# for broken: its failures count against no further worker.
BROKEN_WORKERS = 3
MAX_JOBS = 10_000  # jobs with failures that are remembered; the oldest is dropped
FIRST_PROBE_S = 10.0
MAX_PROBE_S = 1800.0
PROBE_GROWTH = 2.0


class Verdict(enum.StrEnum):
    """Whether a worker may get tasks; `probe` allows exactly one."""

    YES = "yes"
    PROBE = "probe"
    NO = "no"


class Record:
    """Hold the recent failures and the probes of one worker."""

    __slots__ = ("delay_s", "failures", "jobs", "probe_at", "probing", "quarantined")

    def __init__(self) -> None:
        self.failures = 0
        self.jobs: set[str] = set()
        self.quarantined = False
        self.probing = False
        self.probe_at = 0.0
        self.delay_s = FIRST_PROBE_S


class Quarantine:
    """Decide from task results which workers may get tasks."""

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        # Job -> workers where it failed quickly since its last success.
        self._failed_on: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )

    def record(
        self, worker: str, job_id: str, ok: bool, run_seconds: float, now: float
    ) -> None:
        """Record the result of a task."""
        record = self._records.get(worker)
        if record is not None and record.quarantined:
            self._record_probe(worker, record, ok, now)
            return
        if ok:
            self._failed_on.pop(job_id, None)
        if ok or run_seconds > QUICK_FAILURE_S:
            self._records.pop(worker, None)
            return
        if self._is_broken(job_id, worker):
            return
        if record is None:
            record = self._records[worker] = Record()
        record.failures += 1
        if len(record.jobs) < MIN_JOBS:
            record.jobs.add(job_id)
        if record.failures >= FAILURES and len(record.jobs) >= MIN_JOBS:
            record.quarantined = True
            record.probe_at = now + record.delay_s

    def allows(self, worker: str, now: float) -> Verdict:
        """Return whether a worker may get tasks."""
        record = self._records.get(worker)
        if record is None or not record.quarantined:
            return Verdict.YES
        if now < record.probe_at:
            return Verdict.NO
        return Verdict.PROBE

    def probe_started(self, worker: str, now: float) -> None:
        """Record that a probe was sent; no other one is due before the delay ends."""
        record = self._records.get(worker)
        if record is not None and record.quarantined:
            record.probing = True
            record.probe_at = now + max(record.delay_s, QUICK_FAILURE_S)

    def quarantined(self) -> list[str]:
        """Return the workers in quarantine."""
        return [name for name, record in self._records.items() if record.quarantined]

    def forget(self, worker: str) -> None:
        """Drop what is known of a worker that was removed or replaced."""
        self._records.pop(worker, None)

    def _is_broken(self, job_id: str, worker: str) -> bool:
        """Note a quick failure; return whether the job fails on many workers."""
        workers = self._failed_on.get(job_id)
        if workers is None:
            workers = self._failed_on[job_id] = set()
            if len(self._failed_on) > MAX_JOBS:
                self._failed_on.popitem(last=False)
        if len(workers) <= BROKEN_WORKERS:
            workers.add(worker)
        return len(workers - {worker}) >= BROKEN_WORKERS

    def _record_probe(self, worker: str, record: Record, ok: bool, now: float) -> None:
        # Results of tasks that ran before the quarantine say nothing new.
        if not record.probing:
            return
        if ok:
            del self._records[worker]
            return
        record.probing = False
        record.delay_s = min(MAX_PROBE_S, record.delay_s * PROBE_GROWTH)
        record.probe_at = now + record.delay_s
