"""Workers sorted into buckets by free resources, to find the best fit quickly."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Protocol

from toucanspring import resources

# Free processors and memory are sorted into size classes, four for each power of
# two, so that a class differs from the next by at most 25%.
CLASS_BITS = 2
# Upper bound on the members of one bucket that are compared; limits the cost of a
# decision independently of the number of workers.
MAX_PROBES = 4
# Weight of the difference between left over processors and left over memory.
IMBALANCE_WEIGHT = 0.5


def size_class(amount: int) -> int:
    """Return the size class of an amount; 0 for none."""
    if amount <= 0:
        return 0
    bits = amount.bit_length()
    if bits <= CLASS_BITS:
        return amount
    shift = bits - 1 - CLASS_BITS
    return (shift << CLASS_BITS) + (amount >> shift)


def class_floor(number: int) -> int:
    """Return the smallest amount in a size class."""
    if number < 2 << CLASS_BITS:
        return number
    shift = (number >> CLASS_BITS) - 1
    return ((number & (1 << CLASS_BITS) - 1) + (1 << CLASS_BITS)) << shift


CLASSES = 64 << CLASS_BITS  # enough for 64 bit amounts
FLOORS = [class_floor(number) for number in range(CLASSES)]


class Home(Protocol):
    """Sums of the workers beside a worker, which hear of its changes."""

    def count(self, entry: Worker, sign: int) -> None:
        """Add what a worker has free to the sums, or take it out."""

    def note_change(
        self,
        cpus_before: int,
        memory_before: int,
        accelerators_before: int,
        entry: Worker,
    ) -> None:
        """Take in that other amounts are free on a worker."""


class Worker:
    """Hold the state of one worker in the index."""

    __slots__ = (
        "accelerators",
        "availability_zone",
        "buckets",
        "capacity",
        "cpus",
        "home",
        "memory",
        "name",
        "number",
        "positions",
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
        self.number = 0  # position in the list of all workers
        self.home: Home | None = None
        # Buckets and positions in them: in the cell's shelf, then in the zone's.
        self.buckets: tuple[Bucket, ...] = ()
        self.positions = [0, 0]

    @property
    def free(self) -> resources.Resources:
        """Return what is not allocated."""
        return resources.Resources(self.cpus, self.memory, self.accelerators)


class Bucket:
    """Hold the workers of one table whose free resources are of the same classes."""

    __slots__ = ("column", "max_cpus", "max_memory", "members", "row", "table")

    def __init__(self, table: Table, row: int, column: int) -> None:
        self.table = table
        self.row = row
        self.column = column
        self.members: list[Worker] = []
        # Upper bounds on the free amounts of the members, made exact by `scan`.
        self.max_cpus = 0
        self.max_memory = 0

    def scan(
        self, demand: resources.Resources, excluded: frozenset[str]
    ) -> Worker | None:
        """Return any member with room; looks at all of them if need be."""
        if demand.cpus > self.max_cpus or demand.memory > self.max_memory:
            return None
        max_cpus = max_memory = 0
        for entry in self.members:
            if (
                entry.cpus >= demand.cpus
                and entry.memory >= demand.memory
                and entry.name not in excluded
            ):
                return entry
            max_cpus = max(max_cpus, entry.cpus)
            max_memory = max(max_memory, entry.memory)
        self.max_cpus, self.max_memory = max_cpus, max_memory
        return None


class Table:
    """Sort workers into buckets by free processors and free memory."""

    __slots__ = ("column_masks", "row_mask", "rows")

    def __init__(self) -> None:
        self.rows: dict[int, dict[int, Bucket]] = {}
        self.row_mask = 0  # bit per size class of processors that is not empty
        self.column_masks = [0] * CLASSES  # the same for memory, per row

    def insert(self, worker: Worker, row: int, column: int, which: int) -> Bucket:
        """Add a worker to a bucket and return the bucket."""
        columns = self.rows.get(row)
        if columns is None:
            columns = self.rows[row] = {}
        bucket = columns.get(column)
        if bucket is None:
            bucket = columns[column] = Bucket(self, row, column)
        members = bucket.members
        if not members:
            self.column_masks[row] |= 1 << column
            self.row_mask |= 1 << row
        worker.positions[which] = len(members)
        members.append(worker)
        return bucket

    def remove(self, worker: Worker, which: int) -> None:
        """Take a worker out of its bucket."""
        bucket = worker.buckets[which]
        members = bucket.members
        last = members.pop()
        if last is not worker:
            position = worker.positions[which]
            members[position] = last
            last.positions[which] = position
        if not members:
            row = bucket.row
            bucket.max_cpus = bucket.max_memory = 0
            self.column_masks[row] &= ~(1 << bucket.column)
            if not self.column_masks[row]:
                self.row_mask &= ~(1 << row)

    def best(
        self,
        demand: resources.Resources,
        first_row: int,
        first_column: int,
        excluded: frozenset[str],
        units: tuple[float, float],
    ) -> tuple[float, Worker] | None:
        """Return cost and worker of the best fit.

        `first_row` and `first_column` are the size classes of the demand.

        The cost is what is left over, in `units` of processors and memory, plus a
        part of the difference of the two, since one without the other is stranded.
        """
        need_cpus, need_memory = demand.cpus, demand.memory
        cpu_unit, memory_unit = units
        best: Worker | None = None
        best_cost = math.inf
        unsure = []
        masks = self.column_masks
        rows = self.row_mask >> first_row << first_row
        while rows:
            bit = rows & -rows
            rows ^= bit
            row = bit.bit_length() - 1
            columns = masks[row] >> first_column << first_column
            if not columns:
                continue
            least_cost = (FLOORS[row] - need_cpus) * cpu_unit * (1 + IMBALANCE_WEIGHT)
            if least_cost >= best_cost:
                break
            buckets = self.rows[row]
            while columns:
                bit = columns & -columns
                columns ^= bit
                bucket = buckets[bit.bit_length() - 1]
                found = False
                for entry in bucket.members[-MAX_PROBES:]:
                    cpus = entry.cpus - need_cpus
                    memory = entry.memory - need_memory
                    if cpus < 0 or memory < 0 or entry.name in excluded:
                        continue
                    found = True
                    left_cpus, left_memory = cpus * cpu_unit, memory * memory_unit
                    cost = left_cpus + left_memory
                    cost += IMBALANCE_WEIGHT * abs(left_cpus - left_memory)
                    if cost < best_cost:
                        best, best_cost = entry, cost
                if found:
                    # The other buckets of this row leave more memory over.
                    break
                if len(bucket.members) > MAX_PROBES:
                    unsure.append(bucket)
        if best is None:
            best, best_cost = _scan(unsure, demand, excluded), 0.0
        return None if best is None else (best_cost, best)


def _scan(
    buckets: list[Bucket], demand: resources.Resources, excluded: frozenset[str]
) -> Worker | None:
    """Return a worker with room from buckets that were only looked at in part."""
    for bucket in buckets:
        entry = bucket.scan(demand, excluded)
        if entry is not None:
            return entry
    return None


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

    def members_with(self, demand: resources.Resources) -> Iterator[list[Worker]]:
        """Yield the buckets that may hold workers with room, the emptiest first."""
        row, column = size_class(demand.cpus), size_class(demand.memory)
        for table in self.tables_for(demand.accelerators):
            rows = table.row_mask >> row << row
            while rows:
                number = rows.bit_length() - 1
                rows ^= 1 << number
                columns = table.column_masks[number] >> column << column
                while columns:
                    position = columns.bit_length() - 1
                    columns ^= 1 << position
                    yield table.rows[number][position].members
