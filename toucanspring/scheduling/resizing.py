"""Choice of the workers that move because the number of partitions has changed.

Performs no I/O. Other moves follow needs and take idle workers only; in a full cell a
new partition would get none, and a surplus one would keep its own.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

MAX_BATCH = 8


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Candidate:
    """Describe a usable worker of the donor; the first in order moves first."""

    busy: bool
    ends_at: float  # expected end of its last task, in monotonic seconds
    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class Donor:
    """Describe the partition that may give workers away."""

    number: int
    has_jobs: bool  # that have not ended
    has_queue: bool  # of tasks that wait for room


def choose(
    donor: Donor,
    candidates: Iterable[Candidate],
    current: int,
    counts: Mapping[int, int],
    starving: Iterable[int],
) -> tuple[int, list[str]] | None:
    """Return a receiver and the workers to free for it, or None.

    `current` is the number of partitions, `counts` the workers of each partition and
    `starving` the partitions whose work has waited for long.
    """
    ordered = sorted(candidates)
    if donor.number >= current:
        if donor.has_queue:
            return None
        empty = [each.worker for each in ordered if not each.busy]
        # With a last worker, a job that waits for another one can start here.
        chosen = empty[donor.has_jobs :][:MAX_BATCH]
        receiver = min(range(current), key=lambda each: (counts.get(each, 0), each))
        return (receiver, chosen) if chosen else None
    even = sum(counts.values()) // current
    spare = counts.get(donor.number, 0) - max(even, 1)
    lacking = sorted(
        (counts.get(each, 0), each)
        for each in starving
        if each < current and 2 * counts.get(each, 0) < max(even, 1)
    )
    if spare <= 0 or not lacking:
        return None
    count, receiver = lacking[0]
    wanted = min(spare, max(even, 1) - count, MAX_BATCH)
    chosen = [each.worker for each in ordered[:wanted]]
    return (receiver, chosen) if chosen else None
