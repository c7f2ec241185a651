"""Choose the workers to move after the number of partitions has changed.

All other moves respond to requests for capacity and take idle workers only. In a full
cell, those alone would leave a new partition without workers and would not empty a
surplus one. This module performs no I/O.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

MAX_BATCH = 8


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Candidate:
    """Usable worker of the donor; workers move in sort order."""

    busy: bool
    ends_at: float  # expected end of its last task, in monotonic seconds
    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class Donor:
    """Partition that may give up workers."""

    number: int
    has_jobs: bool  # unfinished jobs
    has_queue: bool  # tasks waiting for capacity


def choose_workers(
    donor: Donor,
    candidates: Iterable[Candidate],
    partition_count: int,
    counts: Mapping[int, int],
    starving: Iterable[int],
) -> tuple[int, list[str]] | None:
    """Return the receiving partition and the workers to move there, or None.

    `counts` is the number of workers by partition, and `starving` lists the partitions
    whose tasks have been waiting for a long time.
    """
    ordered = sorted(candidates)
    if donor.number >= partition_count:
        if donor.has_queue:
            return None
        empty = [each.worker for each in ordered if not each.busy]
        # One worker stays for jobs that still wait for another job.
        chosen = empty[donor.has_jobs :][:MAX_BATCH]
        receiver = min(
            range(partition_count), key=lambda each: (counts.get(each, 0), each)
        )
        return (receiver, chosen) if chosen else None
    even_share = sum(counts.values()) // partition_count
    spare = counts.get(donor.number, 0) - max(even_share, 1)
    receivers = sorted(
        (counts.get(each, 0), each)
        for each in starving
        if each < partition_count and 2 * counts.get(each, 0) < max(even_share, 1)
    )
    if spare <= 0 or not receivers:
        return None
    count, receiver = receivers[0]
    wanted = min(spare, max(even_share, 1) - count, MAX_BATCH)
    chosen = [each.worker for each in ordered[:wanted]]
    return (receiver, chosen) if chosen else None
