"""The book as the rows of the store tell it, after a takeover."""

from __future__ import annotations

import time
from collections.abc import Iterable

import logbook

from toucanspring import errors
from toucanspring.coordinator import cell_state, job_specs, ports, rows, table_cache

log = logbook.Logger(__name__)

# Wall clocks of two processes may differ; an age beyond this says nothing.
MAX_AGE_S = 600.0


def restore(
    cell: cell_state.CellState,
    jobs: Iterable[ports.Row],
    progress: table_cache.TableSnapshot,
    now: float,
) -> None:
    """Take in all readable jobs, the oldest first, with what has become of them."""
    found: dict[str, rows.Progress] = {}
    for row in progress.rows.values():
        decoded = rows.decode(rows.Progress, row.value)
        if isinstance(decoded, errors.Malformed):
            log.error("progress of {}: {}", row.id.key, decoded)
            continue
        found[row.id.key] = decoded
    known = [rows.decode(job_specs.Job, row.value) for row in jobs]
    specs = [spec for spec in known if isinstance(spec, job_specs.Job)]
    if len(specs) < len(known):
        log.error("{} job rows are unreadable", len(known) - len(specs))
    for spec in sorted(specs, key=lambda each: each.accepted_at_ms):
        if spec.id not in cell.jobs:
            cell.restore(spec, found.get(spec.id), now, age_s(spec))


def age_s(spec: job_specs.Job) -> float:
    """Return how long ago a job was accepted, by the wall clocks of two processes."""
    return max(0.0, min(MAX_AGE_S, time.time() - spec.accepted_at_ms / 1000))
