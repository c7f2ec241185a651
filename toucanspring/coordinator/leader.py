"""What the orders to workers need of the coordinator."""

from __future__ import annotations

from typing import Protocol

from toucanspring.coordinator import cell_state, workers


class Leader(Protocol):
    """The coordinator on whose behalf orders are sent."""

    cell: cell_state.CellState
    epoch: int

    def may_renew(self, now: float) -> bool:
        """Return whether worker leases may be renewed."""

    def may_start(self, now: float) -> bool:
        """Return whether tasks may start, and so be stopped to start elsewhere."""

    def acknowledge_ends(
        self, worker: workers.Worker, last_end: int, jobs: frozenset[str]
    ) -> None:
        """Acknowledge ends of `jobs` to the worker once they are durable."""

    def step_down(self, reason: str) -> None:
        """Stop coordinating, since a worker has seen a higher epoch."""

    def wake(self) -> None:
        """Start a planning round soon."""
