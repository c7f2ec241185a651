"""Workers kept free for a job that waits."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Keep workers free for a job that is expected to start at `starts_at`."""

    workers: frozenset[str]
    starts_at: float
    expires: float
    making_room: bool = False  # running tasks were stopped for it
    exclusive: bool = True  # tasks of other jobs stay off the workers
    # What waiting for `starts_at` leaves idle, in seconds of the whole cell.
    idle_cost: float = 0.0
    weighed: bool = False  # the cost was compared with that of checkpoints
    moving: bool = False  # the job waits only once its task has stopped
