"""Decisions of one process on submissions, before they are written or refused."""

from __future__ import annotations

import collections
import zlib
from collections.abc import Callable
from typing import Protocol

import logbook

from toucanspring import errors, resources
from toucanspring import log as structured
from toucanspring.coordinator import (
    catalogue,
    job_specs,
    load_view,
    metered,
    ports,
    rows,
)
from toucanspring.policy import admission

log = logbook.Logger(__name__)

ACCEPTED = "accepted"
KNOWN = "known"  # would be refused, but has been accepted before
UNCERTAIN = "uncertain"  # would be refused, but may have been accepted before
# Callers ask for a job for as long.
WRITTEN_MEMORY_S = 120.0
MAX_WRITTEN = 10_000
# A store that takes longer may still hold writes back that were sent before. It answers
# in 4 ms, and a lookup takes two reads one after the other.
MAX_LOOKUP_S = 0.1
KNOWN_TIMEOUT_S = 0.3
# The feed of the configuration answers at least this often.
VIEW_INTERVAL_S = 0.8
STALE_VIEW_S = 1.5
LOG_INTERVAL_S = 1.0


class Scheduler(Protocol):
    """What a gate asks of `service.Service`."""

    load: load_view.View

    def has_slow_writes(self) -> bool:
        """Return whether writes of this process are or have lately been slow."""

    def find_write(self, job_id: str) -> object | None:
        """Return a write of a job by this process that is under way, if any."""

    def read_job(self, job_id: str) -> ports.Row | errors.Failure:
        """Return the row of an accepted job; `NotFound` if all rows are absent."""

    def holds(self, job_id: str, timeout_s: float) -> bool:
        """Return whether the coordinator answers that it holds a job."""


class Gate:
    """Refuses submissions under overload, and tells repeats from new ones.

    `clock` returns seconds of `uptime`.
    """

    def __init__(
        self, scheduler: Scheduler, meters: metered.Meters, clock: Callable[[], float]
    ) -> None:
        self._scheduler = scheduler
        self._meters = meters
        self._clock = clock
        self._written: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._failing_since: float | None = None
        self._suppressed: dict[str, int] = collections.defaultdict(int)
        self._logged_at: dict[str, float] = {}

    # Admission

    def judge(
        self,
        job: job_specs.Job,
        queue: catalogue.Queue,
        organisation: catalogue.Organisation | None,
    ) -> None | errors.Conflict | admission.Accept | admission.Refuse:
        """Accept or refuse a submission.

        None means that the same job is accepted already, `Conflict` that another one
        has its ID.
        """
        ceiling = organisation.ceiling if organisation is not None else resources.ZERO
        now, fraction = self._clock(), find_fraction(job.id)
        found = self._scheduler.load.decide(job, queue, ceiling, now, fraction)
        if isinstance(found, admission.Accept):
            self._meters.count_admission(queue.name, ACCEPTED)
            return found
        answer = self._find_accepted(job)
        if isinstance(answer, errors.NotFound):
            self._meters.count_admission(queue.name, found.reason)
            self._log_refusal(job, found, now)
            return found
        if isinstance(answer, errors.Failure) and not isinstance(
            answer, errors.Conflict
        ):
            self._meters.count_admission(queue.name, UNCERTAIN)
            return admission.Accept()
        self._meters.count_admission(queue.name, KNOWN)
        return answer

    def _find_accepted(self, job: job_specs.Job) -> None | errors.Failure:
        """Return None if the job is stored, `NotFound` if it certainly is not."""
        if self._failing_since is not None or self._scheduler.has_slow_writes():
            return errors.Ambiguous(reason="earlier writes may still take effect")
        if self._may_have_written(job.id):
            return errors.Ambiguous(reason="written by this process or another one")
        asked_at = self._clock()
        row = self._scheduler.read_job(job.id)
        if isinstance(row, errors.Failure):
            took_s = self._clock() - asked_at
            if isinstance(row, errors.NotFound) and took_s > MAX_LOOKUP_S:
                return errors.Ambiguous(reason="the store is slow")
            return row
        known = rows.decode(job_specs.Job, row.value)
        if isinstance(known, errors.Malformed):
            return known
        if job_specs.is_same(known, job):
            return None
        return errors.Conflict(reason="another job has the same ID")

    def _log_refusal(
        self, job: job_specs.Job, found: admission.Refuse, now: float
    ) -> None:
        """Log refusals of one reason once a second, with the number left out."""
        if now - self._logged_at.get(found.reason, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            self._suppressed[found.reason] += 1
            return
        self._logged_at[found.reason] = now
        load, settings = self._scheduler.load, job.queue_settings
        ahead = settings and load.find_load(
            settings.pool, settings.priority, job.organisation
        )
        structured.decide(
            log, "job_refused", job=job.id, queue=job.queue,
            organisation=job.organisation, reason=found.reason,
            retry_after_s=found.retry_after_s, view_age_s=round(load.age(now), 2),
            wait_s=round(ahead.wait_s(), 2) if ahead else None,
            drain=round(ahead.drain, 3) if ahead else None,
            not_logged=self._suppressed.pop(found.reason, 0),
        )  # fmt: skip

    # Repeats

    def note_written(self, job_id: str, failure: None | errors.Failure) -> None:
        """Record the result of a write of a job by this process or a relay."""
        now = self._clock()
        match failure:
            case errors.Unavailable():
                pass  # nothing was written
            case errors.Invalid():
                self._note_store(True, now)
                return
            case _:
                self.note_doubt(job_id)
        failed = isinstance(failure, errors.Unavailable | errors.Ambiguous)
        self._note_store(not failed, now)

    def note_doubt(self, job_id: str) -> None:
        """Record that another process may have written a job."""
        now = self._clock()
        self._written[job_id] = now
        self._written.move_to_end(job_id)
        self._forget_written(now)

    def _forget_written(self, now: float) -> None:
        while self._written:
            oldest = next(iter(self._written.values()))
            if len(self._written) <= MAX_WRITTEN and now - oldest <= WRITTEN_MEMORY_S:
                return
            self._written.popitem(last=False)

    def _may_have_written(self, job_id: str) -> bool:
        in_flight = self._scheduler.find_write(job_id) is not None
        return in_flight or job_id in self._written

    def may_be_accepted(self, job_id: str, timeout_s: float) -> bool:
        """Return whether a submission that can't be written may be accepted already."""
        return self._may_have_written(job_id) or (
            timeout_s > 0
            and self._scheduler.holds(job_id, min(KNOWN_TIMEOUT_S, timeout_s))
        )

    # Outages of the store

    def _note_store(self, works: bool, now: float) -> None:
        since = self._failing_since
        if works and since is not None:
            took_s = round(now - since, 2)
            structured.decide(log, "submissions_written_again", after_s=took_s)
            self._failing_since = None
        elif not works and since is None:
            structured.decide(log, "submissions_not_written")
            self._failing_since = now

    def find_retry_after_s(self, job_id: str, view_age_s: float) -> int:
        """Return when the caller of a job that can't be written should return."""
        since = self._failing_since
        outage_s = None if since is None else self._clock() - since
        if view_age_s > STALE_VIEW_S:
            outage_s = max(outage_s or 0.0, view_age_s - VIEW_INTERVAL_S)
        return admission.find_outage_retry_s(outage_s, find_fraction(job_id))


def find_fraction(job_id: str) -> float:
    """Return a fraction from 0 to 1 that is the same for all submissions of a job."""
    return zlib.crc32(job_id.encode()) / 2**32
