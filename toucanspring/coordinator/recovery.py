"""Recovery of the cell's state from the rows in the store, after a failover."""

from __future__ import annotations

import time
import types
from collections.abc import Callable, Collection, Iterable, Mapping

import gevent
import logbook

from toucanspring import errors, uptime
from toucanspring import log as structured
from toucanspring.coordinator import (
    cell_state,
    fenced_writer,
    job_rows,
    job_specs,
    leader_lease,
    ports,
    progress_rows,
    rows,
    table_cache,
    table_reader,
    workers,
)

log = logbook.Logger(__name__)

LOAD_RETRY_S = 0.1
INTERRUPTION_CHECK_S = 0.05

# The wall clocks of two processes may differ, so longer ages are not meaningful.
MAX_AGE_S = 600.0


class Loader:
    """Reads the rows that a new coordinator restores, and keeps its lease meanwhile.

    The jobs are read into the copy `jobs`, after their progress; `kept` decides what is
    kept of that. The load ends as soon as the lease is lost or `is_interrupted` returns
    true.
    """

    def __init__(
        self,
        store: ports.Store,
        writer: fenced_writer.FencedWriter,
        jobs: table_cache.TableCache,
        is_interrupted: Callable[[], bool],
        kept: job_rows.LoadedProgress,
    ) -> None:
        self._store = store
        self._writer = writer
        self._progress = table_reader.TableReader(store, rows.PROGRESS, kept.digest)
        self._kept = kept
        self._jobs = jobs
        self._is_interrupted = is_interrupted
        self.took_s = 0.0

    def load(self) -> table_reader.TableSnapshot | None:
        """Return the kept progress, or None if the load has ended early."""
        began = uptime.now()
        with self._writer.renew_lease():
            reading = gevent.spawn(self._read)
            try:
                while not (reading.ready() or self._has_to_end()):
                    reading.join(INTERRUPTION_CHECK_S)
            finally:
                reading.kill(block=False)
        self.took_s = uptime.now() - began
        return None if self._has_to_end() else reading.get()

    def _has_to_end(self) -> bool:
        return self._writer.lost or self._is_interrupted()

    def _read(self) -> table_reader.TableSnapshot | None:
        while True:
            progress = self._try_read()
            if isinstance(progress, table_reader.TableSnapshot):
                return progress
            log.warning(
                "epoch {}: loading jobs failed: {}", self._writer.epoch, progress
            )
            if self._writer.overdue_s(uptime.now()):
                return None
            gevent.sleep(LOAD_RETRY_S)

    def _try_read(self) -> table_reader.TableSnapshot | errors.Failure:
        # Once the lease is acquired, no write of an earlier epoch can take effect, so
        # the progress that is read here is final.
        progress = self._progress.read()
        if isinstance(progress, errors.Failure):
            return progress
        if rows.COORDINATOR_PART in progress.unread_parts:
            return progress.unread_parts[rows.COORDINATOR_PART]
        failure = self._complete(progress) or self._jobs.load()
        if failure is not None:
            return failure
        if rows.COORDINATOR_PART in self._jobs.unread_parts:
            return errors.Unavailable(reason="the coordinator's part cannot be read")
        return progress

    def _complete(self, progress: table_reader.TableSnapshot) -> None | errors.Failure:
        """Add all rows of the jobs that are needed and of which some were left out."""
        for job_id in self._kept.find_incomplete():
            found = job_rows.read_progress_rows(self._store, job_id)
            if isinstance(found, errors.Failure):
                return found
            progress.rows.update((row.id, row) for row in found)
        return None


def restore_cell(
    cell: cell_state.CellState,
    epoch: int,
    jobs: Collection[ports.Row],
    progress: table_reader.TableSnapshot,
    read_s: float,
    kept: job_rows.JobRows,
) -> None:
    """Restore all jobs in the rows that were read within `read_s`, and log it."""
    now = uptime.now()
    read = [*jobs, *progress.rows.values()]
    left_out = {
        job_id: outline
        for job_id, outline in kept.progress.left_out.items()
        if job_id not in kept.progress.needed
    }
    restore(cell, jobs, progress, now, kept.outlines, left_out)
    structured.decide(
        log, "cell_restored", epoch=epoch, jobs=len(cell.jobs),
        configuration=cell.catalogue.version,
        rows=len(read), bytes=sum(len(row.value) for row in read),
        unfinished=sum(not each.is_final for each in cell.jobs.values()),
        backlog=len(cell.backlog), job_bytes=cell.backlog.held_bytes(),
        progress_left_out=len(left_out),
        read_ms=round(read_s * 1000),
        restore_ms=round((uptime.now() - now) * 1000),
    )  # fmt: skip


def find_longest_lease(
    acquired: leader_lease.Acquired, acquired_at: float, max_lease_s: float
) -> float:
    """Return when each lease of a worker that a former coordinator renewed is over."""
    return (
        acquired_at
        + acquired.renewals_left_s
        + max_lease_s * (1 + workers.MAX_CLOCK_DRIFT)
        + workers.LEASE_EXPIRY_SLACK_S
    )


def restore(
    cell: cell_state.CellState,
    jobs: Iterable[ports.Row],
    progress: table_reader.TableSnapshot,
    now: float,
    outlines: Mapping[str, job_rows.Outline] = types.MappingProxyType({}),
    left_out: Mapping[str, rows.Progress] = types.MappingProxyType({}),
) -> None:
    """Restore all readable jobs with their progress, the oldest first.

    A job whose progress is unreadable is left alone: its tasks may have run or be
    running. Progress whose job has not been read is kept until the job is. A job of
    which `left_out` has the progress without steps waits in the backlog.
    """
    stored = progress_rows.group(progress.rows.values())
    for job_id in left_out:
        stored.pop(job_id, None)
    listed = list(jobs)
    copied = {row.id.key for row in listed if row.id.part == rows.COORDINATOR_PART}
    accepted_at_ms, values = _index_jobs(listed, outlines)
    # One job at a time is decoded: its steps and its progress take many times the
    # memory of their rows.
    for job_id in sorted(accepted_at_ms, key=accepted_at_ms.__getitem__):
        known = left_out.get(job_id)
        if job_id in stored:
            known = progress_rows.read(job_id, stored.pop(job_id))
        if isinstance(known, errors.Malformed):
            cell.unreadable.add(job_id)
            continue
        spec = None
        if job_id in values:
            spec = rows.decode(job_specs.Job, values[job_id])
        if spec is not None and job_id not in left_out:
            cell.restore(spec, known, now, age_s(spec))
        else:
            outline = outlines.get(job_id) or job_rows.to_outline(spec)
            age = age_s(outline.spec)
            cell.restore_outline(
                outline.spec, outline.size, outline.is_split, known, now, age
            )
        if job_id in cell.jobs:
            cell.jobs[job_id].has_copy = job_id in copied
    cell.unread_progress = {
        job_id: outline
        for job_id, outline in left_out.items()
        if job_id not in accepted_at_ms
    }
    for job_id, found in stored.items():
        known = progress_rows.read(job_id, found)
        if isinstance(known, errors.Malformed):
            cell.unreadable.add(job_id)
        else:
            cell.unclaimed[job_id] = known


def _index_jobs(
    listed: list[ports.Row], outlines: Mapping[str, job_rows.Outline]
) -> tuple[dict[str, int], dict[str, bytes]]:
    """Return when each readable job was accepted, and the values that were kept."""
    accepted_at_ms = {
        job_id: outline.spec.accepted_at_ms for job_id, outline in outlines.items()
    }
    values: dict[str, bytes] = {}
    unreadable = 0
    for row in listed:
        spec = rows.decode(job_specs.Job, row.value) if row.value else None
        if isinstance(spec, job_specs.Job):
            accepted_at_ms[spec.id] = spec.accepted_at_ms
            values[spec.id] = row.value
        unreadable += isinstance(spec, errors.Malformed)
    if unreadable:
        log.error("ignoring {} unreadable job rows", unreadable)
    return accepted_at_ms, values


def age_s(spec: job_specs.Job) -> float:
    """Return the seconds since a job was accepted, by the wall clock, up to a limit."""
    return max(0.0, min(MAX_AGE_S, time.time() - spec.accepted_at_ms / 1000))
