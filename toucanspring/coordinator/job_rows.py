"""What a coordinator keeps of the rows of jobs, and reads again when it needs it.

All rows may be many times as large as its memory. While it loads, it keeps the values
that fit into a bound, and of the others an outline. Later it keeps none. The same holds
for the rows of progress.
"""

from __future__ import annotations

import dataclasses
import math

import logbook
from msgspec import structs

from toucanspring import errors
from toucanspring.coordinator import (
    backlog,
    cell_state,
    job_specs,
    ports,
    progress_rows,
    row_sizes,
    rows,
    state,
)

log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Outline:
    """A job without its steps and payload, with the memory that it needs, in bytes."""

    spec: job_specs.Job
    size: int
    is_split: bool


def to_outline(spec: job_specs.Job) -> Outline:
    """Return the outline of a job."""
    return Outline(
        structs.replace(spec, steps=(), payload=""),
        backlog.find_size(spec),
        row_sizes.is_split(spec),
    )


class LoadedProgress:
    """The rows of progress of one cell while it loads; values of up to `max_bytes`.

    Those of jobs that have ended or of which a run may go on are kept whatever the
    bound is. `left_out` has the progress without steps of the jobs whose values are not
    kept, `needed` the jobs that have to be restored from all their rows.
    """

    def __init__(self, max_bytes: float = math.inf) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._kept: set[str] = set()
        self.needed: set[str] = set()
        self.left_out: dict[str, rows.Progress] = {}

    def digest(self, row: ports.Row) -> ports.Row:
        """Return what is kept of a row."""
        job_id, occurrence = rows.parse_progress_key(row.id.key)
        found = rows.decode(rows.Progress, row.value)
        if isinstance(found, errors.Malformed) or state.may_be_running(found):
            self.needed.add(job_id)
        if job_id in self.left_out:
            return dataclasses.replace(row, value=b"")
        if job_id not in self._kept and not self._has_room(row):
            outline = _find_outline(found, occurrence)
            if job_id not in self.needed and outline is not None:
                self.left_out[job_id] = outline
                return dataclasses.replace(row, value=b"")
        self._kept.add(job_id)
        self._bytes += len(row.value)
        return row

    def find_incomplete(self) -> list[str]:
        """Return the jobs that were found to be needed after rows were left out."""
        return sorted(self.needed & self.left_out.keys())

    def clear(self) -> None:
        """Forget what only the load needs."""
        self._kept.clear()
        self.needed.clear()
        self.left_out.clear()

    def _has_room(self, row: ports.Row) -> bool:
        return self._bytes + len(row.value) <= self._max_bytes


def _find_outline(
    found: rows.Progress | errors.Malformed, occurrence: int | None
) -> rows.Progress | None:
    """Return the progress of a job without steps, None if it tells too little.

    The state of an ended job isn't all that is needed of it, and rows of earlier
    versions have the state in their steps.
    """
    if isinstance(found, errors.Malformed):
        return None
    if occurrence is not None:
        return rows.Progress(state.JobState.QUEUED.value, (), True)
    if found.state == state.JobState.ACTIVE.value and not found.is_observed:
        return None
    if found.state not in (state.JobState.QUEUED.value, state.JobState.ACTIVE.value):
        return None
    return structs.replace(found, steps=())


class JobRows:
    """The rows of the jobs of one cell; values of up to `max_bytes` while it loads.

    `progress` is loaded before them.
    """

    def __init__(self, cell: cell_state.CellState, max_bytes: float = math.inf) -> None:
        self._cell = cell
        self._max_bytes = max_bytes
        self._bytes = 0
        self._kept: dict[str, ports.RowId] = {}
        self._is_loading = True
        self.progress = LoadedProgress(max_bytes)
        self.outlines: dict[str, Outline] = {}

    def digest(self, row: ports.Row) -> ports.Row:
        """Return what is kept of a row."""
        key = row.id.key
        if not row.value:
            return row
        if not self._is_loading:
            cell = self._cell
            is_known = key in cell.jobs or key in cell.backlog or key in cell.unreadable
            return dataclasses.replace(row, value=b"") if is_known else row
        if self._keeps(row):
            return row
        if key not in self._kept and key not in self.outlines:
            spec = rows.decode(job_specs.Job, row.value)
            if isinstance(spec, errors.Malformed):
                return row
            self.outlines[key] = to_outline(spec)
        return dataclasses.replace(row, value=b"")

    def _keeps(self, row: ports.Row) -> bool:
        """Return whether a value is kept, which only one row of a job has."""
        key = row.id.key
        if key in self._kept:
            return self._kept[key] == row.id
        if key in self.outlines:
            return False
        if key not in self.progress.needed and (
            key in self.progress.left_out
            or self._bytes + len(row.value) > self._max_bytes
        ):
            return False
        self._kept[key] = row.id
        self._bytes += len(row.value)
        return True

    def end_load(self) -> None:
        """Keep no values from now on but of rows that are not known."""
        self._is_loading = False
        self._kept.clear()
        self.outlines.clear()
        self.progress.clear()


def read_progress(
    store: ports.Store, job_id: str
) -> rows.Progress | None | errors.Failure:
    """Return the stored progress of a job, None if it has none.

    It doesn't change while the job waits in the backlog.
    """
    found = read_progress_rows(store, job_id)
    if isinstance(found, errors.Failure):
        return found
    return progress_rows.read(job_id, found) if found else None


def read_progress_rows(
    store: ports.Store, job_id: str
) -> list[ports.Row] | errors.Failure:
    """Return the rows of the progress of a job."""
    row_id = rows.progress_row_id(job_id)
    found, start, end = [], job_id, job_id + "/"
    while True:
        page = store.read(row_id.table, row_id.part, start, end)
        if isinstance(page, errors.Failure):
            return page
        found += page.rows
        if not page.has_more:
            break
        start = page.rows[-1].id.key + "\0"
    return found
