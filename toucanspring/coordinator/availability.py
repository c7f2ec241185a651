"""The workers that may take new tasks in a planning round.

A step for which nothing fitted need not be looked at before some worker could take
more. That is found by comparison with the end of the previous round, so it does not
matter whether an event or only the passing of time made the difference.
"""

from __future__ import annotations

import dataclasses

from toucanspring import resources
from toucanspring.coordinator import catalogue, cell_state, ports, workers

# A pool is lightly used below this share of its capacity.
LIGHT_USE_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class Pool:
    """The available workers of one pool; `paused` ones have failed or were slow."""

    usable: list[workers.Worker] = dataclasses.field(default_factory=list)
    paused: list[workers.Worker] = dataclasses.field(default_factory=list)
    capacity: resources.Resources = resources.ZERO
    free: resources.Resources = resources.ZERO
    lightly_used: bool = False  # at the start of the round


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What a worker could take at the end of a round."""

    entry: ports.WorkerEntry
    paused: bool
    free: resources.Resources
    used: resources.Resources


class Availability:
    """The available workers by pool; `version` rises when any could take more."""

    def __init__(self, cell: cell_state.CellState) -> None:
        self.version = 0
        self._cell = cell
        self._pools: dict[str, Pool] = {}
        self._seen: dict[str, Seen] = {}
        self._lightly_used: set[str] = set()
        self._catalogue: catalogue.Catalogue | None = None

    def pool(self, name: str) -> Pool:
        """Return the available workers of a pool."""
        return self._pools.setdefault(name, Pool())

    def begin_round(self, now: float) -> None:
        """Look at all workers; raise the version if any of them could take more."""
        self._pools.clear()
        improved = self._cell.catalogue is not self._catalogue
        self._catalogue = self._cell.catalogue
        for worker in self._cell.workers.values():
            if not worker.is_available(self._cell.zones_out):
                continue
            paused, free = worker.is_paused(now), worker.free()
            pool = self.pool(worker.entry.pool)
            (pool.paused if paused else pool.usable).append(worker)
            pool.capacity = pool.capacity + worker.entry.capacity
            if resources.ZERO.fits(free):  # an unknown task may use any amount
                pool.free = pool.free + free
            before = self._seen.get(worker.id)
            improved = improved or (
                before is None
                or before.entry is not worker.entry
                or (before.paused and not paused)
                or not free.fits(before.free)
                or not before.used.fits(worker.used)
            )
        for pool in self._pools.values():
            used = pool.capacity - pool.free
            pool.lightly_used = used.dominant(pool.capacity) < LIGHT_USE_SHARE
        light = {name for name, pool in self._pools.items() if pool.lightly_used}
        improved = improved or not light <= self._lightly_used
        self._lightly_used = light
        self.version += improved

    def end_round(self) -> None:
        """Remember what each worker could still take after the starts of a round."""
        self._seen = {
            worker.id: Seen(worker.entry, paused, worker.free(), worker.used)
            for pool in self._pools.values()
            for paused, found in ((False, pool.usable), (True, pool.paused))
            for worker in found
        }
