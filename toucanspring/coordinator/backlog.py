"""Accepted jobs that wait in the store, as the memory for jobs is in use.

They are named here in the order of their acceptance, in a line for each organisation
and for small and large jobs, so that neither waits for the other.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from toucanspring.coordinator import job_specs, openings, state

# Bytes of a job in memory besides its payload and steps, of a step, and of an open one.
JOB_BYTES = 2200
STEP_BYTES = 260
OPEN_STEP_BYTES = 1200
SMALL_BYTES = 16_000
RESERVED_BYTES = 32_000  # for the small jobs of an organisation, however much is held

ENTRY_BYTES = 800  # of a job that waits, with the names of its rows
MAX_ENTRIES_SHARE = 0.5  # of the memory for jobs, beside it
ENDED_JOB_BYTES = 2300  # with the names of its rows
ENDED_JOBS_SHARE = 4.0  # of the memory for jobs, beside it

Line = tuple[str, bool]  # organisation, whether its jobs are small


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A job in the store, with its state there and the memory that it needs, in bytes.

    `has_progress` means that runs of it were recorded, of which none goes on.
    """

    organisation: str
    queue: str
    is_recurring: bool
    size: int
    state: state.JobState = state.JobState.QUEUED
    has_progress: bool = False

    @property
    def line(self) -> Line:
        """Return the line in which the job waits."""
        return self.organisation, self.size <= SMALL_BYTES


def find_size(spec: job_specs.Job) -> int:
    """Return a bound of the memory of a job of which nothing runs, in bytes."""
    kinds = len({state.find_kind(step) for step in spec.steps})
    steps = max(1, spec.repeats) * len(spec.steps)
    return (
        JOB_BYTES
        + len(spec.payload)
        + STEP_BYTES * len(spec.steps)
        + OPEN_STEP_BYTES * min(steps, kinds * openings.MAX_NOT_BEGUN)
    )


class Backlog:
    """The memory that jobs may take, `max_bytes` in all, and the jobs that wait for it.

    A line may take as much as it leaves free for all others, so that there always is
    room for the first jobs of another line. The sum may exceed the bound by what is
    reserved for the lines of small jobs, or by one large job.
    """

    def __init__(self, max_bytes: float = math.inf) -> None:
        self._max_bytes = max_bytes
        self._held: dict[str, tuple[Line, int]] = {}
        self._bytes: collections.Counter[Line] = collections.Counter()
        self._total = 0
        self._entries: dict[str, Entry] = {}
        self._lines: dict[Line, dict[str, None]] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._entries

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, job_id: str) -> Entry | None:
        """Return a job that waits, None if it does not."""
        return self._entries.get(job_id)

    def is_full(self) -> bool:
        """Return whether so many jobs wait that no more should be accepted."""
        return len(self) * ENTRY_BYTES >= self._max_bytes * MAX_ENTRIES_SHARE

    def is_too_many(self, jobs: int) -> bool:
        """Return whether the jobs in memory, ended ones included, are too many."""
        return jobs * ENDED_JOB_BYTES >= self._max_bytes * ENDED_JOBS_SHARE

    def held_bytes(self) -> int:
        """Return the memory that is counted for the jobs in memory."""
        return self._total

    def has_room(self, entry: Entry) -> bool:
        """Return whether a job may be held now, behind those that wait in its line.

        One large job is held whatever its size is, and some small ones of each line.
        """
        if entry.line in self._lines:
            return False
        return self._fits(entry)

    def _fits(self, entry: Entry) -> bool:
        if self._bytes[entry.line] + entry.size <= self._max_bytes - self._total:
            return True
        _, is_small = entry.line
        if is_small:
            return self._bytes[entry.line] + entry.size <= RESERVED_BYTES
        return all(is_small for _, is_small in self._bytes)

    def hold(self, job_id: str, entry: Entry) -> None:
        """Count the memory of a job that is held from now on."""
        self.release(job_id)
        self.remove(job_id)
        self._held[job_id] = entry.line, entry.size
        self._bytes[entry.line] += entry.size
        self._total += entry.size

    def release(self, job_id: str) -> None:
        """Count the memory of a job as free."""
        line, size = self._held.pop(job_id, (None, 0))
        if line is not None:
            self._total -= size
            self._bytes[line] -= size
            if not self._bytes[line]:
                del self._bytes[line]

    def add(self, job_id: str, entry: Entry) -> None:
        """Let a job wait in the store, behind all others of its line."""
        self._entries[job_id] = entry
        self._lines.setdefault(entry.line, {})[job_id] = None

    def remove(self, job_id: str) -> None:
        """Forget a job that waits."""
        entry = self._entries.pop(job_id, None)
        if entry is not None:
            line = self._lines[entry.line]
            del line[job_id]
            if not line:
                del self._lines[entry.line]

    def find_next(self) -> str | None:
        """Return the job to hold next, None if there is no room for any.

        The line with the least memory comes first.
        """
        for line in sorted(self._lines, key=lambda each: self._bytes[each]):
            job_id = next(iter(self._lines[line]))
            if self._fits(self._entries[job_id]):
                return job_id
        return None

    def count_queued(self, queue: str) -> int:
        """Return how many jobs of a queue wait, recurring jobs excluded."""
        return sum(
            entry.queue == queue
            and entry.state is state.JobState.QUEUED
            and not entry.is_recurring
            for entry in self._entries.values()
        )
