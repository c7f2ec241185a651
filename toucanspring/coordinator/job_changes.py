"""Changed jobs on their way to the store, and those of which it refuses a row."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable

import logbook

from toucanspring import log as structured
from toucanspring.coordinator import (
    cell_state,
    fenced_writer,
    plans,
    ports,
    progress_rows,
    rows,
    state,
)

log = logbook.Logger(__name__)

# A job of which the store refuses a row starts and writes nothing for this long.
REFUSED_JOB_PAUSE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Changed jobs as they are written; `puts` come in the order of their writing."""

    jobs: dict[str, state.JobRecord]
    states: dict[str, state.JobState]
    progress: dict[str, dict[ports.RowId, bytes]]
    puts: dict[ports.RowId, bytes]


class JobChanges:
    """The changed jobs of one cell; `epoch` is for the log."""

    def __init__(self, cell: cell_state.CellState, epoch: int) -> None:
        self._cell = cell
        self._epoch = epoch
        # Jobs whose latest changes the store refuses to hold.
        self._refused: set[str] = set()

    def take(self, now: float) -> dict[str, state.JobRecord]:
        """Return the changed jobs that are to be written now."""
        return _take_due(self._cell.dirty, now)

    def encode(self, jobs: dict[str, state.JobRecord], now: float) -> Batch:
        """Return the rows of jobs and of those of which only the first run is new."""
        begun = _take_due(self._cell.begun, now)
        jobs = {
            **jobs,
            **{
                job_id: record
                for job_id, record in begun.items()
                if not record.is_final and job_id not in jobs
            },
        }
        progress = {
            job_id: progress_rows.encode(record) for job_id, record in jobs.items()
        }
        # A write may be split and end early. A successor that cannot read the part with
        # the row of a job needs the copy to apply its progress.
        puts = {
            rows.job_copy_row_id(job_id): rows.encode(record.spec)
            for job_id, record in jobs.items()
            if not (record.has_copy or record.is_shrunk)
        }
        for each in progress.values():
            puts |= each
        states = {job_id: record.state for job_id, record in jobs.items()}
        return Batch(jobs, states, progress, puts)

    def confirm(
        self,
        batch: Batch,
        failure: None | fenced_writer.PartlyWritten,
        starts: Iterable[plans.Start],
        now: float,
    ) -> set[str]:
        """Record that a batch is durable; return the jobs that the store refuses.

        What has been written of these before stays valid. Their next write is smaller:
        it has no checkpoints, and none of `starts`.
        """
        refused: dict[str, str] = {}
        if failure is not None:
            refused = {
                rows.parse_progress_key(row_id.key)[0]: reason
                for row_id, reason in failure.refused.items()
            }
        for job_id, record in batch.jobs.items():
            if job_id in refused:
                self._set_aside(record, refused[job_id], now)
                continue
            record.durable_state = batch.states[job_id]
            record.has_copy = True
            self._refused.discard(job_id)
            progress_rows.record_written(record, batch.progress[job_id])
            self._cell.shrink(record)
        for start in starts:
            if start.step.job.spec.id in refused:
                self._cell.cancel_start(start.step, start.task, start.run, now)
        return set(refused)

    def _set_aside(self, record: state.JobRecord, reason: str, now: float) -> None:
        job_id = record.spec.id
        record.is_refused = True
        record.set_aside_until = now + REFUSED_JOB_PAUSE_S
        self._cell.dirty[job_id] = record
        self._refused.add(job_id)
        structured.decide(
            log, "rows_refused", job=job_id, epoch=self._epoch, reason=reason
        )

    def may_acknowledge(self, jobs: Collection[str]) -> bool:
        """Return whether the store holds the ends of jobs that were in a batch."""
        return self._refused.isdisjoint(jobs)


def _take_due(
    jobs: dict[str, state.JobRecord], now: float
) -> dict[str, state.JobRecord]:
    """Remove and return the jobs that are not set aside."""
    due = {
        job_id: record
        for job_id, record in jobs.items()
        if now >= record.set_aside_until
    }
    for job_id in due:
        del jobs[job_id]
    return due
