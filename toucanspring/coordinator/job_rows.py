"""What a coordinator keeps of the rows of jobs, and reads again when it needs it.

All rows may be many times as large as its memory. While it loads, it keeps the values
that fit into a bound, and of the others an outline. Later it keeps none.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection

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
)

log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Outline:
    """A job without its steps and payload, with the memory that it needs, in bytes."""

    spec: job_specs.Job
    size: int
    is_split: bool


class JobRows:
    """The rows of the jobs of one cell; values of up to `max_bytes` while it loads."""

    def __init__(self, cell: cell_state.CellState, max_bytes: float = math.inf) -> None:
        self._cell = cell
        self._max_bytes = max_bytes
        self._bytes = 0
        self._kept: dict[str, ports.RowId] = {}
        self._is_loading = True
        self.needed: Collection[str] = frozenset()  # kept whatever the bound is
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
            self.outlines[key] = Outline(
                structs.replace(spec, steps=(), payload=""),
                backlog.find_size(spec),
                row_sizes.is_split(spec),
            )
        return dataclasses.replace(row, value=b"")

    def _keeps(self, row: ports.Row) -> bool:
        """Return whether a value is kept, which only one row of a job has."""
        key = row.id.key
        if key in self._kept:
            return self._kept[key] == row.id
        if key in self.outlines:
            return False
        if key not in self.needed and self._bytes + len(row.value) > self._max_bytes:
            return False
        self._kept[key] = row.id
        self._bytes += len(row.value)
        return True

    def end_load(self) -> None:
        """Keep no values from now on but of rows that are not known."""
        self._is_loading = False
        self._kept.clear()
        self.outlines.clear()


def read_progress(
    store: ports.Store, job_id: str
) -> rows.Progress | None | errors.Failure:
    """Return the stored progress of a job, None if it has none.

    It doesn't change while the job waits in the backlog.
    """
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
    return progress_rows.read(job_id, found) if found else None
