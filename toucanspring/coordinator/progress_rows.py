"""Rows that hold the progress of a job.

Most jobs have one. A wide recurring job has one row more for each occurrence, since
occurrences may overlap in any number, and no row may outgrow the store's limit.
"""

from __future__ import annotations

from collections.abc import Iterable

import logbook
from msgspec import structs

from toucanspring import errors
from toucanspring.coordinator import ports, rows, state

log = logbook.Logger(__name__)


def encode(record: state.JobRecord) -> dict[ports.RowId, bytes]:
    """Return the rows to write for a job, in the order of their writing.

    Rows of occurrences that are as written last are left out. They come before the row
    of the job: a write may end between two rows, and rows of earlier versions hold all
    occurrences, so they must not be replaced first.
    """
    row_id = rows.progress_row_id(record.spec.id)
    if not record.is_split:
        return {row_id: rows.encode(state.to_progress(record))}
    found = {}
    # Those with a hash include the ones whose steps were dropped as the job ended.
    for occurrence in dict.fromkeys(
        [
            *record.steps.unfinished_occurrences(),
            *record.written_hashes,
            *record.steps.finished().minus(record.written_done),
        ]
    ):
        steps = tuple(state.to_step_rows(record, occurrence))
        value = rows.encode(rows.Progress("", steps))
        if record.written_hashes.get(occurrence) != hash(value):
            found[rows.occurrence_row_id(record.spec.id, occurrence)] = value
    found[row_id] = rows.encode(rows.Progress(record.state.value, (), True))
    return found


def record_written(record: state.JobRecord, written: dict[ports.RowId, bytes]) -> None:
    """Record the rows of a job that have been written."""
    for row_id, value in written.items():
        _, occurrence = rows.parse_progress_key(row_id.key)
        if occurrence is None:
            continue
        record.stored.add(occurrence)
        if value == _encode_done(record, occurrence):
            record.written_hashes.pop(occurrence, None)
            record.written_done.add(occurrence)
        else:
            record.written_hashes[occurrence] = hash(value)


def _encode_done(record: state.JobRecord, occurrence: int) -> bytes | None:
    """Return the last row of an occurrence, None if not all its steps are done."""
    if occurrence not in record.steps.finished():
        return None
    steps = tuple(state.to_step_rows(record, occurrence))
    return rows.encode(rows.Progress("", steps))


def ended_row_ids(record: state.JobRecord) -> list[ports.RowId]:
    """Return the coordinator's rows of an ended job in the order of their removal.

    The row of the job is removed last: without it, the job would run again.
    """
    job_id = record.spec.id
    occurrences = record.stored if record.is_split else ()
    return [
        rows.job_copy_row_id(job_id),
        *(rows.occurrence_row_id(job_id, each) for each in occurrences),
        rows.progress_row_id(job_id),
    ]


def group(found: Iterable[ports.Row]) -> dict[str, list[ports.Row]]:
    """Return the rows of each job by its ID."""
    grouped: dict[str, list[ports.Row]] = {}
    for row in found:
        job_id, _ = rows.parse_progress_key(row.id.key)
        grouped.setdefault(job_id, []).append(row)
    return grouped


def read(job_id: str, found: Iterable[ports.Row]) -> rows.Progress | errors.Malformed:
    """Return the progress of one job; decoded, it takes many times its rows."""
    progress: rows.Progress | None = None
    steps: list[rows.StepRow] = []
    for row in found:
        _, occurrence = rows.parse_progress_key(row.id.key)
        decoded = rows.decode(rows.Progress, row.value)
        if isinstance(decoded, errors.Malformed):
            log.error("job {} is left alone: {}", job_id, decoded.reason)
            return decoded
        if occurrence is None:
            progress = decoded
        else:
            steps.extend(decoded.steps)
    # Without the row of the job, its first write has ended before that row.
    progress = progress or rows.Progress(state.JobState.QUEUED.value)
    return _add_occurrences(progress, steps) if steps else progress


def _add_occurrences(
    progress: rows.Progress, steps: list[rows.StepRow]
) -> rows.Progress:
    """Return progress with the steps of occurrences that have rows of their own."""
    own = {step.occurrence for step in steps}
    kept = [step for step in progress.steps if step.occurrence not in own]
    return structs.replace(progress, steps=(*kept, *steps))
