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
    """Restrictions and preferences on workers for one placement decision.

    `spread_counts` maps names of availability zones and racks to the number of tasks
    of the same job there. Zones and racks with few tasks are preferred, or with
    `compact` those with many.
    """

    availability_zones: frozenset[str] | None = None
    excluded: frozenset[str] = frozenset()
    spread_counts: Mapping[str, int] | None = None
    compact: bool = False
    avoided: frozenset[str] = frozenset()  # subset of `excluded`: the job failed there


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoom:
    """No worker is suitable; `rejected` maps reasons to numbers of workers."""

    rejected: dict[str, int]


UNCONSTRAINED = Constraints()


class WorkerIndex:
    """Free resources of all workers of a partition, searchable by demand."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._workers: dict[str, inventory.Worker] = {}
        self._worker_list: list[inventory.Worker] = []
        self._cell_pool = inventory.WorkerPool()
        self._zone_pools: dict[str, inventory.WorkerPool] = {}
        self._racks = racks.RackIndex()
        self._capacities: collections.Counter[tuple[str, resources.Resources]] = (
            collections.Counter()
        )
        self._total = resources.ZERO
        self._units = (0.0, 0.0)  # 1 / mean processors and memory per worker

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
        """Add an empty worker; replaces one with the same name."""
        self.remove(worker)
        entry = inventory.Worker(worker, capacity, availability_zone, rack)
        self._workers[worker] = entry
        entry.list_index = len(self._worker_list)
        self._worker_list.append(entry)
        self._racks.add(entry)
        self._capacities[availability_zone, capacity] += 1
        self._set_total(self._total + capacity)
        self._insert_into_buckets(
            entry, inventory.size_class(entry.cpus), inventory.size_class(entry.memory)
        )

    def remove(self, worker: str) -> None:
        """Remove a worker; ignores unknown names."""
        entry = self._workers.pop(worker, None)
        if entry is None:
            return
        if entry.schedulable:
            self._remove_from_buckets(entry)
        last = self._worker_list.pop()
        if last is not entry:
            self._worker_list[entry.list_index] = last
            last.list_index = entry.list_index
        self._racks.remove(entry)
        key = (entry.availability_zone, entry.capacity)
        self._capacities[key] -= 1
        if not self._capacities[key]:
            del self._capacities[key]
        self._set_total(self._total - entry.capacity)

    def set_schedulable(self, worker: str, schedulable: bool) -> None:
        """Allow or forbid new tasks on a worker; ignores unknown names."""
        entry = self._workers.get(worker)
        if entry is None or entry.schedulable == schedulable:
            return
        if schedulable:
            entry.schedulable = True
            self._insert_into_buckets(
                entry,
                inventory.size_class(entry.cpus),
                inventory.size_class(entry.memory),
            )
        else:
            self._remove_from_buckets(entry)
            entry.schedulable = False
        entry.rack_totals.adjust_totals(entry, 1 if schedulable else -1)

    def allocate(self, worker: str, demand: resources.Resources) -> None:
        """Subtract `demand` from a worker; free amounts may become negative."""
        self._change_free(self._workers[worker], demand, -1)

    def release(self, worker: str, demand: resources.Resources) -> None:
        """Return `demand` to a worker; ignores unknown names."""
        entry = self._workers.get(worker)
        if entry is not None:
            self._change_free(entry, demand, 1)

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
        """Return whether so many tasks fit at once when all workers are empty."""
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
        """Return the best worker for one task."""
        if constraints.spread_counts is not None:
            found = self._choose_by_topology(demand, constraints)
        else:
            found = self._best(
                self._pools_for(constraints), demand, constraints.excluded
            )
        if found is None:
            return self._explain_no_room(demand, constraints)
        return found.name

    def choose_many(
        self,
        demand: resources.Resources,
        count: int,
        constraints: Constraints = UNCONSTRAINED,
    ) -> list[tuple[str, int]]:
        """Return workers for up to `count` equal tasks, and the number for each."""
        placed: dict[str, int] = {}
        counts = constraints.spread_counts
        if counts is not None:
            counts = collections.Counter(counts)
            constraints = dataclasses.replace(constraints, spread_counts=counts)
        pools = self._pools_for(constraints)
        left = count
        while left > 0:
            if counts is None:
                entry = self._best(pools, demand, constraints.excluded)
            else:
                entry = self._choose_by_topology(demand, constraints)
            if entry is None:
                break
            share = min(left, demand.count_in(entry.free))
            if counts is not None:
                if not constraints.compact:
                    share = 1
                counts[entry.availability_zone] += share
                counts[entry.rack] += share
            self._change_free(entry, demand.times(share), -1)
            placed[entry.name] = placed.get(entry.name, 0) + share
            left -= share
        for name, share in placed.items():
            self._change_free(self._workers[name], demand.times(share), 1)
        return list(placed.items())

    def choose_gang(
        self,
        demand: resources.Resources,
        count: int,
        constraints: Constraints = UNCONSTRAINED,
        compact: bool = False,
    ) -> list[tuple[str, int]] | NoRoom:
        """Return workers for all `count` tasks, or NoRoom.

        With `compact` the tasks are in one rack if one has room, else in one
        availability zone, else anywhere.
        """
        if compact:
            allowed = constraints.availability_zones
            zones = {
                name: pool
                for name, pool in self._zone_pools.items()
                if allowed is None or name in allowed
            }
            chosen = self._racks.place_compact_gang(
                demand,
                count,
                constraints.excluded,
                self._pools_for(constraints),
                zones,
            )
            if isinstance(chosen, list):
                return chosen
            if chosen < count:
                return self._explain_no_room(demand, constraints)
        chosen = self.choose_many(demand, count, constraints)
        if sum(share for _, share in chosen) < count:
            return self._explain_no_room(demand, constraints)
        return chosen

    def explain(
        self, demand: resources.Resources, constraints: Constraints = UNCONSTRAINED
    ) -> dict[str, int]:
        """Count workers that cannot take the demand now, by their first reason.

        Checks every worker.
        """
        return rejection.count_reasons(
            self._worker_list,
            demand,
            constraints.availability_zones,
            constraints.excluded,
            constraints.avoided,
        )

    def _explain_no_room(
        self, demand: resources.Resources, constraints: Constraints
    ) -> NoRoom:
        return NoRoom(
            rejection.estimate_reasons(
                self._worker_list,
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

    def _insert_into_buckets(
        self, entry: inventory.Worker, row: int, column: int
    ) -> None:
        zone = self._zone_pools.get(entry.availability_zone)
        if zone is None:
            zone = self._zone_pools[entry.availability_zone] = inventory.WorkerPool()
        entry.buckets = (
            self._cell_pool.table_of(entry).insert(entry, row, column, 0),
            zone.table_of(entry).insert(entry, row, column, 1),
        )
        self._raise_bucket_bounds(entry)

    @staticmethod
    def _raise_bucket_bounds(entry: inventory.Worker) -> None:
        for bucket in entry.buckets:
            if entry.cpus > bucket.max_cpus:
                bucket.max_cpus = entry.cpus
            if entry.memory > bucket.max_memory:
                bucket.max_memory = entry.memory

    @staticmethod
    def _remove_from_buckets(entry: inventory.Worker) -> None:
        for level, bucket in enumerate(entry.buckets):
            bucket.table.remove(entry, level)
        entry.buckets = ()

    def _change_free(
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
                self._raise_bucket_bounds(entry)
        else:
            self._remove_from_buckets(entry)
            entry.cpus, entry.memory, entry.accelerators = cpus, memory, accelerators
            self._insert_into_buckets(entry, row, column)
        entry.rack_totals.update_totals(*before, entry)

    def _pools_for(self, constraints: Constraints) -> list[inventory.WorkerPool]:
        zones = constraints.availability_zones
        if zones is None or zones.issuperset(self._zone_pools):
            return [self._cell_pool]
        return [
            self._zone_pools[zone] for zone in sorted(zones) if zone in self._zone_pools
        ]

    def _best(
        self,
        pools: list[inventory.WorkerPool],
        demand: resources.Resources,
        excluded: frozenset[str],
    ) -> inventory.Worker | None:
        best: tuple[float, inventory.Worker] | None = None
        units = self._units
        row, column = (
            inventory.size_class(demand.cpus),
            inventory.size_class(demand.memory),
        )
        for pool in pools:
            for table in pool.tables_for(demand.accelerators):
                if not table.row_mask >> row:
                    continue
                found = table.best(demand, row, column, excluded, units)
                if found is not None:
                    if best is None or found[0] < best[0]:
                        best = found
                    break
        return best[1] if best else None

    def _choose_by_topology(
        self, demand: resources.Resources, constraints: Constraints
    ) -> inventory.Worker | None:
        """Return the best worker in the most preferred zone and rack with room."""
        counts = constraints.spread_counts or {}
        sign = -1 if constraints.compact else 1
        allowed = constraints.availability_zones
        zones = [
            zone for zone in self._zone_pools if allowed is None or zone in allowed
        ]
        zones.sort(key=lambda zone: (sign * counts.get(zone, 0), zone))
        for zone in zones:
            pool = self._zone_pools[zone]
            found = self._best([pool], demand, constraints.excluded)
            if found is None:
                continue
            if not self._racks.has_any(counts):
                return found
            return self._racks.choose(
                zone, demand, constraints.excluded, counts, constraints.compact
            )
        return None
