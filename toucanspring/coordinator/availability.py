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
    # Sums over all of them; plain numbers, since they are added up in each round.
    cpus: int = 0
    memory: int = 0
    accelerators: int = 0
    free_cpus: int = 0
    free_memory: int = 0
    free_accelerators: int = 0
    _lightly_used: bool | None = None

    def add(self, capacity: resources.Resources, free: resources.Resources) -> None:
        """Count a worker in the sums."""
        self.cpus += capacity.cpus
        self.memory += capacity.memory
        self.accelerators += capacity.accelerators
        if resources.ZERO.fits(free):  # an unknown task may use any amount
            self.free_cpus += free.cpus
            self.free_memory += free.memory
            self.free_accelerators += free.accelerators

    @property
    def lightly_used(self) -> bool:
        """Return whether less than half was in use at the start of the round."""
        if self._lightly_used is None:
            used = resources.Resources(
                self.cpus - self.free_cpus,
                self.memory - self.free_memory,
                self.accelerators - self.free_accelerators,
            )
            capacity = resources.Resources(self.cpus, self.memory, self.accelerators)
            self._lightly_used = used.dominant(capacity) < LIGHT_USE_SHARE
        return self._lightly_used


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What a worker could take at the end of a round."""

    entry: ports.WorkerEntry
    paused: bool
    free: resources.Resources
    used: resources.Resources
    has_unknown_tasks: bool

    def has_same_load(self, worker: workers.Worker) -> bool:
        """Return whether the worker has as much free as then; costs little."""
        return (
            self.used is worker.used
            and self.entry is worker.entry
            and not self.has_unknown_tasks
            and not worker.unknown_tasks
        )


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
        zones_out, seen = self._cell.zones_out, self._seen
        for worker in self._cell.workers.values():
            if not worker.is_available(zones_out):
                continue
            paused = worker.is_paused(now)
            pool = self.pool(worker.entry.pool)
            (pool.paused if paused else pool.usable).append(worker)
            before = seen.get(worker.id)
            if before is not None and before.has_same_load(worker):
                improved = improved or (before.paused and not paused)
                pool.add(worker.entry.capacity, before.free)
                continue
            free = worker.free()
            pool.add(worker.entry.capacity, free)
            improved = improved or (
                before is None
                or before.entry is not worker.entry
                or (before.paused and not paused)
                or not free.fits(before.free)
                or not before.used.fits(worker.used)
            )
        light = {name for name, pool in self._pools.items() if pool.lightly_used}
        improved = improved or not light <= self._lightly_used
        self._lightly_used = light
        self.version += improved

    def end_round(self) -> None:
        """Remember what each worker could still take after the starts of a round."""
        before, self._seen = self._seen, {}
        for pool in self._pools.values():
            for paused, found in ((False, pool.usable), (True, pool.paused)):
                for worker in found:
                    known = before.get(worker.id)
                    if (
                        known is None
                        or known.paused is not paused
                        or not known.has_same_load(worker)
                    ):
                        known = Seen(
                            worker.entry,
                            paused,
                            worker.free(),
                            worker.used,
                            bool(worker.unknown_tasks),
                        )
                    self._seen[worker.id] = known
