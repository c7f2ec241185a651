"""Index of workers by free resources, and the choice of workers for tasks."""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Iterator, Mapping

from toucanspring import resources

# Free processors and memory are sorted into size classes, four for each power of
# two, so that a class differs from the next by at most 25%.
CLASS_BITS = 2
# Upper bound on the members of one bucket that are compared; limits the cost of a
# decision independently of the number of workers.
MAX_PROBES = 8
# Weight of the difference between left over processors and left over memory.
IMBALANCE_WEIGHT = 0.5


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


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoom:
    """Say why no worker is suitable: reason -> number of workers."""

    rejected: dict[str, int]


UNCONSTRAINED = Constraints()


def size_class(amount: int) -> int:
    """Return the size class of an amount; 0 for none."""
    if amount <= 0:
        return 0
    bits = amount.bit_length()
    if bits <= CLASS_BITS:
        return amount
    shift = bits - 1 - CLASS_BITS
    return (shift << CLASS_BITS) + (amount >> shift)


class Worker:
    """Hold the state of one worker in the index."""

    __slots__ = (
        "accelerators",
        "availability_zone",
        "capacity",
        "cpus",
        "memory",
        "name",
        "places",
        "rack",
        "schedulable",
    )

    def __init__(
        self, name: str, capacity: resources.Resources, zone: str, rack: str
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.availability_zone = zone
        self.rack = rack
        self.cpus = capacity.cpus
        self.memory = capacity.memory
        self.accelerators = capacity.accelerators
        self.schedulable = True
        # (bucket, position) in the table of the cell and in that of the zone.
        self.places: list[tuple[list[Worker], int]] = []

    @property
    def free(self) -> resources.Resources:
        """Return what is not allocated."""
        return resources.Resources(self.cpus, self.memory, self.accelerators)


class Table:
    """Sort workers into buckets by free processors and free memory."""

    def __init__(self) -> None:
        self.rows: dict[int, dict[int, list[Worker]]] = {}
        self.row_mask = 0  # bit per size class of processors that is not empty
        self.column_masks: dict[int, int] = {}  # the same for memory, per row
        self.size = 0

    def insert(self, worker: Worker, row: int, column: int) -> tuple[list, int]:
        """Add a worker; return its bucket and position."""
        columns = self.rows.get(row)
        if columns is None:
            columns = self.rows[row] = {}
            self.column_masks[row] = 0
        bucket = columns.get(column)
        if bucket is None:
            bucket = columns[column] = []
        if not bucket:
            self.column_masks[row] |= 1 << column
            self.row_mask |= 1 << row
        bucket.append(worker)
        self.size += 1
        return bucket, len(bucket) - 1

    def emptied(self, row: int, column: int) -> None:
        """Clear the mask bits of an empty bucket."""
        self.column_masks[row] &= ~(1 << column)
        if not self.column_masks[row]:
            self.row_mask &= ~(1 << row)

    def buckets(self) -> Iterator[tuple[int, int, list[Worker]]]:
        """Iterate over row, column and members of buckets that are not empty."""
        for row, columns in self.rows.items():
            for column, bucket in columns.items():
                if bucket:
                    yield row, column, bucket


class Shelf:
    """Hold the tables of one set of workers.

    Workers without accelerators are in `plain`; the others are in a table per
    number of free accelerators.
    """

    def __init__(self) -> None:
        self.plain = Table()
        self.accelerated: dict[int, Table] = {}

    def table_of(self, worker: Worker) -> Table:
        """Return the table that a worker belongs to."""
        if not worker.capacity.accelerators:
            return self.plain
        table = self.accelerated.get(worker.accelerators)
        if table is None:
            table = self.accelerated[worker.accelerators] = Table()
        return table

    def tables_for(self, accelerators: int) -> list[Table]:
        """Return the tables that may hold room, the preferred one first.

        Work without accelerators uses workers that have them last, and among
        these first those whose accelerators are in use.
        """
        tables = [
            self.accelerated[count]
            for count in sorted(self.accelerated)
            if count >= accelerators
        ]
        return tables if accelerators else [self.plain, *tables]


class WorkerIndex:
    """Know the free resources of all workers and choose among them."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._workers: dict[str, Worker] = {}
        self._cell = Shelf()
        self._zones: dict[str, Shelf] = {}
        self._racks: dict[str, dict[str, Worker]] = {}
        self._capacities: collections.Counter[tuple[str, resources.Resources]] = (
            collections.Counter()
        )
        self._total = resources.ZERO

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
        entry = Worker(worker, capacity, availability_zone, rack)
        self._workers[worker] = entry
        self._racks.setdefault(rack, {})[worker] = entry
        self._capacities[availability_zone, capacity] += 1
        self._total += capacity
        self._insert(entry)

    def remove(self, worker: str) -> None:
        """Forget a worker; unknown names are ignored."""
        entry = self._workers.pop(worker, None)
        if entry is None:
            return
        if entry.schedulable:
            self._withdraw(entry)
        members = self._racks[entry.rack]
        del members[worker]
        if not members:
            del self._racks[entry.rack]
        key = (entry.availability_zone, entry.capacity)
        self._capacities[key] -= 1
        if not self._capacities[key]:
            del self._capacities[key]
        self._total -= entry.capacity

    def set_schedulable(self, worker: str, schedulable: bool) -> None:
        """Allow or forbid new tasks on a worker; unknown names are ignored."""
        entry = self._workers.get(worker)
        if entry is None or entry.schedulable == schedulable:
            return
        if schedulable:
            entry.schedulable = True
            self._insert(entry)
        else:
            self._withdraw(entry)
            entry.schedulable = False

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
            return NoRoom(self.explain(demand, constraints))
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
            chosen = self._compact_gang(demand, count, constraints)
            if chosen is not None:
                return chosen
        chosen = self.choose_many(demand, count, constraints)
        if sum(share for _, share in chosen) < count:
            return NoRoom(self.explain(demand, constraints))
        return chosen

    def explain(
        self, demand: resources.Resources, constraints: Constraints = UNCONSTRAINED
    ) -> dict[str, int]:
        """Count workers that cannot take the demand now by the first reason."""
        rejected: collections.Counter[str] = collections.Counter()
        zones = constraints.availability_zones
        for entry in self._workers.values():
            if zones is not None and entry.availability_zone not in zones:
                rejected["availability zone"] += 1
            elif not entry.schedulable:
                rejected["not schedulable"] += 1
            elif entry.name in constraints.excluded:
                rejected["excluded"] += 1
            elif entry.accelerators < demand.accelerators:
                rejected["accelerators"] += 1
            elif entry.cpus < demand.cpus:
                rejected["cpus"] += 1
            elif entry.memory < demand.memory:
                rejected["memory"] += 1
        return dict(rejected)

    def _insert(self, entry: Worker) -> None:
        row, column = size_class(entry.cpus), size_class(entry.memory)
        zone = self._zones.get(entry.availability_zone)
        if zone is None:
            zone = self._zones[entry.availability_zone] = Shelf()
        entry.places = [
            shelf.table_of(entry).insert(entry, row, column)
            for shelf in (self._cell, zone)
        ]

    def _withdraw(self, entry: Worker) -> None:
        row, column = size_class(entry.cpus), size_class(entry.memory)
        shelves = (self._cell, self._zones[entry.availability_zone])
        for which, (bucket, position) in enumerate(entry.places):
            table = shelves[which].table_of(entry)
            last = bucket.pop()
            if last is not entry:
                bucket[position] = last
                last.places[which] = (bucket, position)
            table.size -= 1
            if not bucket:
                table.emptied(row, column)
        entry.places = []

    def _change(self, entry: Worker, amount: resources.Resources, sign: int) -> None:
        cpus = entry.cpus + sign * amount.cpus
        memory = entry.memory + sign * amount.memory
        accelerators = entry.accelerators + sign * amount.accelerators
        moves = entry.schedulable and (
            accelerators != entry.accelerators
            or size_class(cpus) != size_class(entry.cpus)
            or size_class(memory) != size_class(entry.memory)
        )
        if moves:
            self._withdraw(entry)
        entry.cpus, entry.memory, entry.accelerators = cpus, memory, accelerators
        if moves:
            self._insert(entry)

    def _shelves(self, constraints: Constraints) -> list[Shelf]:
        zones = constraints.availability_zones
        if zones is None or zones.issuperset(self._zones):
            return [self._cell]
        return [self._zones[zone] for zone in sorted(zones) if zone in self._zones]

    def _best(
        self,
        shelves: list[Shelf],
        demand: resources.Resources,
        excluded: frozenset[str],
    ) -> Worker | None:
        best: tuple[float, Worker] | None = None
        for shelf in shelves:
            for table in shelf.tables_for(demand.accelerators):
                found = table.size and self._best_in(table, demand, excluded)
                if found:
                    if best is None or found[0] < best[0]:
                        best = found
                    break
        return best[1] if best else None

    def _best_in(
        self, table: Table, demand: resources.Resources, excluded: frozenset[str]
    ) -> tuple[float, Worker] | None:
        """Return cost and worker of the best fit in one table."""
        cpu_unit = 1 / max(1, self._total.cpus)
        memory_unit = 1 / max(1, self._total.memory)
        first_row = size_class(demand.cpus)
        first_column = size_class(demand.memory)
        rows = table.row_mask >> first_row << first_row
        best: Worker | None = None
        best_cost = float("inf")
        while rows:
            bit = rows & -rows
            rows ^= bit
            row = bit.bit_length() - 1
            columns = table.column_masks[row] >> first_column << first_column
            while columns:
                bit = columns & -columns
                columns ^= bit
                bucket = table.rows[row][bit.bit_length() - 1]
                probes = 0
                for entry in reversed(bucket):
                    cpus = entry.cpus - demand.cpus
                    memory = entry.memory - demand.memory
                    if cpus < 0 or memory < 0 or entry.name in excluded:
                        continue
                    left_cpus, left_memory = cpus * cpu_unit, memory * memory_unit
                    cost = (
                        left_cpus
                        + left_memory
                        + IMBALANCE_WEIGHT * abs(left_cpus - left_memory)
                    )
                    if cost < best_cost:
                        best, best_cost = entry, cost
                    probes += 1
                    if probes >= MAX_PROBES:
                        break
                if probes:
                    # Wider buckets of the same row leave more memory over.
                    break
        return (best_cost, best) if best else None

    def _choose_by_place(
        self, demand: resources.Resources, constraints: Constraints
    ) -> Worker | None:
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
            if not any(rack in counts for rack in self._racks):
                return found
            racks = {
                entry.rack
                for table in shelf.tables_for(demand.accelerators)
                for _, _, bucket in table.buckets()
                for entry in bucket
            }
            for rack in sorted(
                racks, key=lambda name: (sign * counts.get(name, 0), name)
            ):
                entry = self._best_of(
                    self._racks[rack].values(), demand, constraints.excluded
                )
                if entry is not None:
                    return entry
        return None

    def _best_of(self, entries, demand, excluded) -> Worker | None:
        suitable = [
            entry
            for entry in entries
            if entry.schedulable
            and entry.name not in excluded
            and demand.fits(entry.free)
        ]
        return min(
            suitable,
            key=lambda entry: (entry.accelerators, entry.cpus, entry.memory),
            default=None,
        )

    def _compact_gang(
        self, demand: resources.Resources, count: int, constraints: Constraints
    ) -> list[tuple[str, int]] | None:
        """Return workers in one rack, else in one zone, with the least room over."""
        allowed = constraints.availability_zones
        by_zone: dict[str, list[tuple[int, list[tuple[str, int]]]]] = {}
        best: tuple[int, list[tuple[str, int]]] | None = None
        for members in self._racks.values():
            zone = next(iter(members.values())).availability_zone
            if allowed is not None and zone not in allowed:
                continue
            rooms = [
                (entry.name, demand.count_in(entry.free))
                for entry in members.values()
                if entry.schedulable and entry.name not in constraints.excluded
            ]
            rooms = [pair for pair in rooms if pair[1] > 0]
            room = sum(pair[1] for pair in rooms)
            if room >= count and (best is None or room < best[0]):
                best = (room, rooms)
            elif room:
                by_zone.setdefault(zone, []).append((room, rooms))
        if best is None:
            for racks in by_zone.values():
                room = sum(pair[0] for pair in racks)
                if room >= count and (best is None or room < best[0]):
                    racks.sort(key=lambda pair: -pair[0])
                    best = (room, [pair for rack in racks for pair in rack[1]])
        if best is None:
            return None
        return _fill(best[1], count)


def _fill(rooms: list[tuple[str, int]], count: int) -> list[tuple[str, int]]:
    """Return how many of `count` tasks each worker takes, in the given order."""
    chosen = []
    for name, room in rooms:
        share = min(room, count)
        if share:
            chosen.append((name, share))
            count -= share
    return chosen
