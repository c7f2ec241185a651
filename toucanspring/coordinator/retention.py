"""Removal of the rows of jobs that ended a while ago, beside the planning rounds."""

from __future__ import annotations

from collections.abc import Callable, Collection

import gevent

from toucanspring import errors, uptime
from toucanspring.coordinator import cell_state, ports, rows, table_cache

PASS_INTERVAL_S = 0.25
FAILURE_PAUSE_S = 0.25
JOB_PAUSE_S = 0.01  # leaves the store to other calls between jobs
MAX_JOBS_PER_COMMIT = 40  # with two rows each, they fit into one transaction


class Retention:
    """Removes the job rows of expired jobs, and names the jobs to forget then.

    A job's progress is removed last: a job without progress would run again after a
    failover. The owner removes it in a fenced write, then calls `forget`.
    """

    def __init__(
        self,
        cell: cell_state.CellState,
        store: ports.Store,
        jobs: table_cache.TableCache,
        on_removable: Callable[[], None],
    ) -> None:
        self._cell = cell
        self._store = store
        self._jobs = jobs
        self._on_removable = on_removable
        self._removable: dict[str, None] = {}
        self._greenlet: gevent.Greenlet | None = None

    def __enter__(self) -> Retention:
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *_exc: object) -> None:
        self._greenlet.kill(block=False)

    def take(self, dirty: Collection[str]) -> list[str]:
        """Return some jobs to remove in the next write, none that it changes."""
        free = [job_id for job_id in self._removable if job_id not in dirty]
        return free[:MAX_JOBS_PER_COMMIT]

    def forget(self, job_ids: Collection[str]) -> None:
        """Forget jobs whose progress has been removed."""
        for job_id in job_ids:
            self._removable.pop(job_id, None)
            self._cell.jobs.pop(job_id, None)
            self._cell.backlog.release(job_id)

    def _run(self) -> None:
        while True:
            self._remove_expired()
            gevent.sleep(PASS_INTERVAL_S)

    def _remove_expired(self) -> None:
        for job_id in self._cell.find_expired_jobs(uptime.now()):
            if job_id in self._removable:
                continue
            failed = isinstance(self._remove_job_rows(job_id), errors.Failure)
            gevent.sleep(FAILURE_PAUSE_S if failed else JOB_PAUSE_S)

    def _remove_job_rows(self, job_id: str) -> None | errors.Failure:
        """Remove the job rows, and the job once the change feed reports them gone."""
        remaining = [
            self._jobs.rows[row_id]
            for row_id in rows.job_row_ids(job_id)
            if row_id in self._jobs.rows
        ]
        for row in remaining:
            answer = self._store.transact({row.id: row.version}, {}, (row.id,))
            if isinstance(answer, errors.Failure):
                return answer
        # An older copy may not have all rows of the job.
        ended_at = self._cell.jobs[job_id].ended_at
        is_complete = not self._jobs.unread_parts and self._jobs.synced_at > ended_at
        if is_complete and not remaining:
            self._removable[job_id] = None
            self._on_removable()
        return None
