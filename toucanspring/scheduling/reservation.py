"""Reservation of workers for a waiting job."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Workers reserved for a job that should start at `starts_at` (monotonic time)."""

    workers: frozenset[str]
    starts_at: float
    expires_at: float
    by_preemption: bool = False  # running tasks were stopped for the job
    exclusive: bool = True  # other jobs must not use the workers, except to backfill
    # Capacity left idle until `starts_at`, in seconds of the whole cell.
    idle_cost: float = 0.0
    cost_compared: bool = False  # idle_cost was compared with the cost of checkpoints
    for_move: bool = False  # the task to be moved there may still be running
