"""Index of workers by free resources, and the choice of workers for tasks."""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Mapping

from toucanspring import resources
from toucanspring.scheduling import inventory, racks, rejection


@dataclasses.dataclass(frozen=True, slots=True)
class Constraints:
    """Limit and order the workers for one decision.

    `spread_counts` maps names of availability zones and racks to the number of
    tasks of the same job there; places with few are preferred, or with `compact`
    places with many.
    """

    availability_zones: frozenset[str] | None = None
    excluded: frozenset[str] = frozenset()
    spread_counts: Mapping[str, int] | None = None
    compact: bool = False
    avoided: frozenset[str] = frozenset()  # the part of `excluded` that a job avoids


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoom:
    """Say why no worker is suitable: reason -> number of workers."""

    rejected: dict[str, int]


UNCONSTRAINED = Constraints()


class WorkerIndex:
    """Know the free resources of all workers and choose among them."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._workers: dict[str, inventory.Worker] = {}
        self._numbered: list[inventory.Worker] = []
        self._cell = inventory.Shelf()
        self._zones: dict[str, inventory.Shelf] = {}
        self._racks = racks.Racks()
        self._capacities: collections.Counter[tuple[str, resources.Resources]] = (
            collections.Counter()
        )
        self._total = resources.ZERO
        self._units = (0.0, 0.0)  # 1 / mean processors and memory of a worker

    def __len__(self) -> int:
        return len(self._workers)

    def __contains__(self, worker: str) -> bool:
        return worker in self._workers

    def add(
        self,
        worker: str,
        capacity: resources.Resources,
        availability_zone: str,
        rack: str,
    ) -> None:
        """Add an empty worker; one of the same name is replaced."""
        self.remove(worker)
        entry = inventory.Worker(worker, capacity, availability_zone, rack)
        self._workers[worker] = entry
        entry.number = len(self._numbered)
        self._numbered.append(entry)
        self._racks.add(entry)
        self._capacities[availability_zone, capacity] += 1
        self._set_total(self._total + capacity)
        self._insert(
            entry, inventory.size_class(entry.cpus), inventory.size_class(entry.memory)
        )

    def remove(self, worker: str) -> None:
        """Forget a worker; unknown names are ignored."""
        entry = self._workers.pop(worker, None)
        if entry is None:
            return
        if entry.schedulable:
            self._withdraw(entry)
        last = self._numbered.pop()
        if last is not entry:
            self._numbered[entry.number] = last
            last.number = entry.number
        self._racks.remove(entry)
        key = (entry.availability_zone, entry.capacity)
        self._capacities[key] -= 1
        if not self._capacities[key]:
            del self._capacities[key]
        self._set_total(self._total - entry.capacity)

    def set_schedulable(self, worker: str, schedulable: bool) -> None:
        """Allow or forbid new tasks on a worker; unknown names are ignored."""
        entry = self._workers.get(worker)
        if entry is None or entry.schedulable == schedulable:
            return
        if schedulable:
            entry.schedulable = True
            self._insert(
                entry,
                inventory.size_class(entry.cpus),
                inventory.size_class(entry.memory),
            )
        else:
            self._withdraw(entry)
            entry.schedulable = False
        entry.home.count(entry, 1 if schedulable else -1)

    def allocate(self, worker: str, demand: resources.Resources) -> None:
        """Take `demand` from a worker; free amounts may become negative."""
        self._change(self._workers[worker], demand, -1)

    def release(self, worker: str, demand: resources.Resources) -> None:
        """Give `demand` back to a worker; unknown names are ignored."""
        entry = self._workers.get(worker)
        if entry is not None:
            self._change(entry, demand, 1)

    def free(self, worker: str) -> resources.Resources:
        """Return what is not allocated on a worker."""
        return self._workers[worker].free

    def total(self) -> resources.Resources:
        """Return the capacity of all workers, schedulable or not."""
        return self._total

    def can_ever_fit(
        self,
        demand: resources.Resources,
        count_together: int = 1,
        availability_zones: frozenset[str] | None = None,
    ) -> bool:
        """Return whether empty workers have room for so many tasks at once."""
        room = 0
        for (zone, capacity), workers in self._capacities.items():
            if availability_zones is None or zone in availability_zones:
                room += demand.count_in(capacity) * workers
                if room >= count_together:
                    return True
        return room >= count_together

    def choose(
        self, demand: resources.Resources, constraints: Constraints = UNCONSTRAINED
    ) -> str | NoRoom:
        """Return the worker for one task."""
        if constraints.spread_counts is not None:
            found = self._choose_by_place(demand, constraints)
        else:
            found = self._best(self._shelves(constraints), demand, constraints.excluded)
        if found is None:
            return self._no_room(demand, constraints)
        return found.name

    def choose_many(
        self,
        demand: resources.Resources,
        count: int,
        constraints: Constraints = UNCONSTRAINED,
    ) -> list[tuple[str, int]]:
        """Return workers for up to `count` equal tasks, and how many for each."""
        placed: dict[str, int] = {}
        counts = constraints.spread_counts
        if counts is not None:
            counts = collections.Counter(counts)
            constraints = dataclasses.replace(constraints, spread_counts=counts)
        shelves = self._shelves(constraints)
        left = count
        while left > 0:
            if counts is None:
                entry = self._best(shelves, demand, constraints.excluded)
            else:
                entry = self._choose_by_place(demand, constraints)
            if entry is None:
                break
            share = min(left, demand.count_in(entry.free))
            if counts is not None:
                if not constraints.compact:
                    share = 1
                counts[entry.availability_zone] += share
                counts[entry.rack] += share
            self._change(entry, demand.times(share), -1)
            placed[entry.name] = placed.get(entry.name, 0) + share
            left -= share
        for name, share in placed.items():
            self._change(self._workers[name], demand.times(share), 1)
        return list(placed.items())

    def choose_gang(
        self,
        demand: resources.Resources,
        count: int,
        constraints: Constraints = UNCONSTRAINED,
        compact: bool = False,
    ) -> list[tuple[str, int]] | NoRoom:
        """Return workers for all `count` tasks, or none.

        With `compact` they are in one rack if one has room, else in one
        availability zone, else anywhere.
        """
        if compact:
            allowed = constraints.availability_zones
            zones = {
                name: shelf
                for name, shelf in self._zones.items()
                if allowed is None or name in allowed
            }
            chosen = self._racks.compact_gang(
                demand,
                count,
                constraints.excluded,
                self._shelves(constraints),
                zones,
            )
            if isinstance(chosen, list):
                return chosen
            if chosen < count:
                return self._no_room(demand, constraints)
        chosen = self.choose_many(demand, count, constraints)
        if sum(share for _, share in chosen) < count:
            return self._no_room(demand, constraints)
        return chosen

    def explain(
        self, demand: resources.Resources, constraints: Constraints = UNCONSTRAINED
    ) -> dict[str, int]:
        """Count workers that cannot take the demand now by the first reason.

        Looks at every worker.
        """
        return rejection.count_reasons(
            self._numbered,
            demand,
            constraints.availability_zones,
            constraints.excluded,
            constraints.avoided,
        )

    def _no_room(self, demand: resources.Resources, constraints: Constraints) -> NoRoom:
        return NoRoom(
            rejection.estimate_reasons(
                self._numbered,
                demand,
                constraints.availability_zones,
                constraints.excluded,
                self._rng,
                constraints.avoided,
            )
        )

    def _set_total(self, total: resources.Resources) -> None:
        self._total = total
        size = len(self._workers)
        self._units = (size / max(1, total.cpus), size / max(1, total.memory))

    def _insert(self, entry: inventory.Worker, row: int, column: int) -> None:
        zone = self._zones.get(entry.availability_zone)
        if zone is None:
            zone = self._zones[entry.availability_zone] = inventory.Shelf()
        entry.buckets = (
            self._cell.table_of(entry).insert(entry, row, column, 0),
            zone.table_of(entry).insert(entry, row, column, 1),
        )
        self._raise_bounds(entry)

    @staticmethod
    def _raise_bounds(entry: inventory.Worker) -> None:
        for bucket in entry.buckets:
            if entry.cpus > bucket.max_cpus:
                bucket.max_cpus = entry.cpus
            if entry.memory > bucket.max_memory:
                bucket.max_memory = entry.memory

    @staticmethod
    def _withdraw(entry: inventory.Worker) -> None:
        for which, bucket in enumerate(entry.buckets):
            bucket.table.remove(entry, which)
        entry.buckets = ()

    def _change(
        self, entry: inventory.Worker, amount: resources.Resources, sign: int
    ) -> None:
        cpus = entry.cpus + sign * amount.cpus
        memory = entry.memory + sign * amount.memory
        accelerators = entry.accelerators + sign * amount.accelerators
        if not entry.schedulable:
            entry.cpus, entry.memory, entry.accelerators = cpus, memory, accelerators
            return
        before = entry.cpus, entry.memory, entry.accelerators
        row, column = inventory.size_class(cpus), inventory.size_class(memory)
        bucket = entry.buckets[0]
        if (
            row == bucket.row
            and column == bucket.column
            and accelerators == entry.accelerators
        ):
            entry.cpus, entry.memory = cpus, memory
            if sign > 0:
                self._raise_bounds(entry)
        else:
            self._withdraw(entry)
            entry.cpus, entry.memory, entry.accelerators = cpus, memory, accelerators
            self._insert(entry, row, column)
        entry.home.note_change(*before, entry)

    def _shelves(self, constraints: Constraints) -> list[inventory.Shelf]:
        zones = constraints.availability_zones
        if zones is None or zones.issuperset(self._zones):
            return [self._cell]
        return [self._zones[zone] for zone in sorted(zones) if zone in self._zones]

    def _best(
        self,
        shelves: list[inventory.Shelf],
        demand: resources.Resources,
        excluded: frozenset[str],
    ) -> inventory.Worker | None:
        best: tuple[float, inventory.Worker] | None = None
        units = self._units
        row, column = (
            inventory.size_class(demand.cpus),
            inventory.size_class(demand.memory),
        )
        for shelf in shelves:
            for table in shelf.tables_for(demand.accelerators):
                if not table.row_mask >> row:
                    continue
                found = table.best(demand, row, column, excluded, units)
                if found is not None:
                    if best is None or found[0] < best[0]:
                        best = found
                    break
        return best[1] if best else None

    def _choose_by_place(
        self, demand: resources.Resources, constraints: Constraints
    ) -> inventory.Worker | None:
        """Return the worker in the preferred zone and rack."""
        counts = constraints.spread_counts or {}
        sign = -1 if constraints.compact else 1
        allowed = constraints.availability_zones
        zones = [zone for zone in self._zones if allowed is None or zone in allowed]
        zones.sort(key=lambda zone: (sign * counts.get(zone, 0), zone))
        for zone in zones:
            shelf = self._zones[zone]
            found = self._best([shelf], demand, constraints.excluded)
            if found is None:
                continue
            if not self._racks.have_any(counts):
                return found
            return self._racks.choose(
                zone, demand, constraints.excluded, counts, constraints.compact
            )
        return None
