"""Marks of jobs that were cancelled before the store held them.

A write of a submission may take effect seconds after its caller gave up. Its job must
not start then, since the cancellation was acknowledged. So a mark, the progress row of
a cancelled job, is stored before the answer, and applies to the job when it comes.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools

from toucanspring import errors
from toucanspring.coordinator import cell_state, ports, rows, state

# As long as callers may ask for an ended job. Submissions are given up after a minute,
# and the store may do a write some seconds after that.
RETENTION_S = cell_state.ENDED_JOB_RETENTION_S
MAX_MARKS = 4096
MAX_MARKS_OF_ORGANISATION = 1024
MAX_REMOVALS = 40  # in one write


@dataclasses.dataclass(slots=True)
class _Mark:
    organisation: str | None  # None if the store held the mark before
    made_at: float  # seconds of `uptime`
    is_stored: bool = False


class CancelMarks:
    """The marks of one cell, in the order of their making.

    The marks themselves are entries of the cell's unclaimed progress; this owns when
    they are written and removed.
    """

    def __init__(self, cell: cell_state.CellState) -> None:
        self._cell = cell
        self._marks: dict[str, _Mark] = {}
        self._counts: collections.Counter[str | None] = collections.Counter()
        self._unwritten: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._marks)

    def restore(self, now: float) -> None:
        """Take over the marks that were read from the store; their age starts anew."""
        for job_id, progress in self._cell.unclaimed.items():
            if progress.is_mark and job_id not in self._marks:
                self._marks[job_id] = _Mark(None, now, is_stored=True)
                self._counts[None] += 1

    def add(
        self, job_id: str, organisation: str, now: float
    ) -> None | errors.Unavailable | errors.Overloaded:
        """Mark an unknown job as cancelled; refused while there are too many marks."""
        if job_id in self._marks:
            return None
        if job_id in self._cell.unclaimed or job_id in self._cell.unread_progress:
            return errors.Unavailable(reason="the rows of the job are incomplete")
        if (
            len(self._marks) >= MAX_MARKS
            or self._counts[organisation] >= MAX_MARKS_OF_ORGANISATION
        ):
            oldest = next(iter(self._marks.values()))
            return errors.Overloaded(
                reason="too many cancellations of unknown jobs",
                retry_after_s=max(1.0, oldest.made_at + RETENTION_S - now),
            )
        self._marks[job_id] = _Mark(organisation, now)
        self._counts[organisation] += 1
        self._cell.unclaimed[job_id] = rows.CANCEL_MARK
        self._unwritten[job_id] = None
        return None

    def is_stored(self, job_id: str) -> bool:
        """Return whether the store holds the mark of a job."""
        mark = self._marks.get(job_id)
        return mark is not None and mark.is_stored

    def claim(self, record: state.JobRecord) -> bool:
        """Hand a mark over to the record of its job; return whether there was one."""
        job_id = record.spec.id
        mark = self._marks.pop(job_id, None)
        if mark is None:
            return False
        self._counts[mark.organisation] -= 1
        self._unwritten.pop(job_id, None)
        if not mark.is_stored:
            record.durable_state = state.JobState.QUEUED
            self._cell.dirty[job_id] = record
        return True

    def take(self) -> dict[ports.RowId, bytes]:
        """Return the rows of the marks that are not stored yet."""
        taken, self._unwritten = self._unwritten, {}
        value = rows.encode(rows.CANCEL_MARK)
        return {rows.progress_row_id(job_id): value for job_id in taken}

    def confirm(self, written: dict[ports.RowId, bytes]) -> None:
        """Record that the rows of marks are stored."""
        for row_id in written:
            mark = self._marks.get(row_id.key)
            if mark is not None:
                mark.is_stored = True

    def find_expired(self, now: float) -> list[str]:
        """Return the oldest marks whose time is over, as many as one write removes."""
        oldest = itertools.islice(self._marks.items(), MAX_REMOVALS)
        return [job_id for job_id, mark in oldest if now - mark.made_at > RETENTION_S]

    def forget(self, job_ids: list[str]) -> None:
        """Forget marks whose rows have been removed.

        A job that came meanwhile is written again.
        """
        for job_id in job_ids:
            mark = self._marks.pop(job_id, None)
            record = self._cell.jobs.get(job_id)
            if mark is not None:
                self._counts[mark.organisation] -= 1
                self._cell.unclaimed.pop(job_id, None)
            elif record is not None:
                record.durable_state = state.JobState.QUEUED
                self._cell.dirty[job_id] = record
