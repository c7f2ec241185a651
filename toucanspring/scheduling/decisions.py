"""Bounded record of recent scheduling decisions, for `explain`."""

from __future__ import annotations

import collections

MAX_JOBS = 10_000
MAX_PLACEMENTS = 32  # latest placements kept per job


class JobDecisions:
    """Last decisions about one job."""

    __slots__ = ("placements", "rank", "rejected", "waits_for")

    def __init__(self) -> None:
        self.rank = 0  # of its team when last considered, from 1
        self.rejected: dict[str, int] = {}  # reason -> number of workers
        self.waits_for: list[str] = []
        self.placements: dict[str, str] = {}  # task ID -> worker and reason


class Decisions:
    """Decisions about the most recently considered jobs."""

    def __init__(self, limit: int = MAX_JOBS) -> None:
        self._records: collections.OrderedDict[str, JobDecisions] = (
            collections.OrderedDict()
        )
        self._limit = limit

    def __len__(self) -> int:
        return len(self._records)

    def _record(self, job_id: str) -> JobDecisions:
        record = self._records.get(job_id)
        if record is None:
            record = self._records[job_id] = JobDecisions()
            if len(self._records) > self._limit:
                self._records.popitem(last=False)
        else:
            self._records.move_to_end(job_id)
        return record

    def record_wait(
        self,
        job_id: str,
        rank: int,
        waits_for: str,
        rejected: dict[str, int] | None = None,
    ) -> None:
        """Record why a job could not be started."""
        record = self._record(job_id)
        record.rank = rank
        record.waits_for = [waits_for]
        record.rejected = rejected or {}

    def record_placement(
        self, job_id: str, rank: int, task_ids: list[str], worker: str, reason: str
    ) -> None:
        """Record the worker on which tasks were started and why it was chosen."""
        record = self._record(job_id)
        record.rank = rank
        record.waits_for = []
        record.rejected = {}
        placements = record.placements
        for task_id in task_ids[-MAX_PLACEMENTS:]:
            placements.pop(task_id, None)
            placements[task_id] = f"{worker}: {reason}"
        while len(placements) > MAX_PLACEMENTS:
            del placements[next(iter(placements))]

    def find(self, job_id: str) -> JobDecisions:
        """Return the decisions about a job, or an empty record if there are none."""
        return self._records.get(job_id) or JobDecisions()
