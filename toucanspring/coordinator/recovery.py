"""Recovery of the cell's state from the rows in the store, after a failover."""

from __future__ import annotations

import time
from collections.abc import Iterable

import logbook

from toucanspring import errors
from toucanspring.coordinator import cell_state, job_specs, ports, rows, table_cache

log = logbook.Logger(__name__)

# The wall clocks of two processes may differ, so longer ages are not meaningful.
MAX_AGE_S = 600.0


def restore(
    cell: cell_state.CellState,
    jobs: Iterable[ports.Row],
    progress: table_cache.TableSnapshot,
    now: float,
) -> None:
    """Restore all readable jobs with their progress, the oldest first.

    A job with unreadable progress is left alone: its tasks may have run or be running.
    """
    found: dict[str, rows.Progress] = {}
    cell.unreadable.clear()
    for row in progress.rows.values():
        decoded = rows.decode(rows.Progress, row.value)
        if isinstance(decoded, errors.Malformed):
            log.error("job {} is left alone: {}", row.id.key, decoded.reason)
            cell.unreadable.add(row.id.key)
            continue
        found[row.id.key] = decoded
    decoded_jobs = [rows.decode(job_specs.Job, row.value) for row in jobs]
    specs = [spec for spec in decoded_jobs if isinstance(spec, job_specs.Job)]
    if len(specs) < len(decoded_jobs):
        log.error("ignoring {} unreadable job rows", len(decoded_jobs) - len(specs))
    for spec in sorted(specs, key=lambda each: each.accepted_at_ms):
        if spec.id not in cell.jobs and spec.id not in cell.unreadable:
            cell.restore(spec, found.get(spec.id), now, age_s(spec))


def age_s(spec: job_specs.Job) -> float:
    """Return the seconds since a job was accepted, by the wall clock, up to a limit."""
    return max(0.0, min(MAX_AGE_S, time.time() - spec.accepted_at_ms / 1000))
