"""Buckets of workers by free resources, for a fast best-fit search."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Protocol

from toucanspring import resources

# Free processors and memory fall into size classes, four per power of two, so that
# adjacent classes differ by at most 25%.
CLASS_BITS = 2
# At most this many members of a bucket are compared, so that the cost of a decision
# does not depend on the number of workers.
MAX_PROBES = 4
# Weight of the difference between leftover processors and leftover memory.
IMBALANCE_WEIGHT = 0.5


def size_class(amount: int) -> int:
    """Return the size class of an amount; 0 for amounts of 0 and below."""
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


CLASS_COUNT = 64 << CLASS_BITS  # enough for 64 bit amounts
CLASS_FLOORS = [class_floor(number) for number in range(CLASS_COUNT)]


class RackTotals(Protocol):
    """Totals of the free resources in a rack, updated when a worker changes."""

    def adjust_totals(self, entry: Worker, sign: int) -> None:
        """Add (sign 1) or subtract (-1) the free resources of a worker."""

    def update_totals(
        self,
        cpus_before: int,
        memory_before: int,
        accelerators_before: int,
        entry: Worker,
    ) -> None:
        """Apply a change of the free resources of a schedulable worker."""


class Worker:
    """Entry of one worker in the index, with its free resources."""

    __slots__ = (
        "accelerators",
        "availability_zone",
        "buckets",
        "capacity",
        "cpus",
        "list_index",
        "memory",
        "name",
        "positions",
        "rack",
        "rack_totals",
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
        self.list_index = 0  # position in the list of all workers
        self.rack_totals: RackTotals | None = None
        # By level: 0 is the pool of the cell, 1 the pool of the availability zone.
        self.buckets: tuple[Bucket, ...] = ()
        self.positions = [0, 0]

    @property
    def free(self) -> resources.Resources:
        """Return what is not allocated; amounts may be negative."""
        return resources.Resources(self.cpus, self.memory, self.accelerators)


class Bucket:
    """Workers of one table whose free resources have the same size classes."""

    __slots__ = ("column", "max_cpus", "max_memory", "members", "row", "table")

    def __init__(self, table: BucketTable, row: int, column: int) -> None:
        self.table = table
        self.row = row
        self.column = column
        self.members: list[Worker] = []
        # Upper bounds on the free amounts of the members, tightened by `scan`.
        self.max_cpus = 0
        self.max_memory = 0

    def scan(
        self, demand: resources.Resources, excluded: frozenset[str]
    ) -> Worker | None:
        """Return any member with room; in the worst case checks all of them."""
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


class BucketTable:
    """Buckets by the size classes of free processors (row) and memory (column)."""

    __slots__ = ("column_masks", "row_mask", "rows")

    def __init__(self) -> None:
        self.rows: dict[int, dict[int, Bucket]] = {}
        self.row_mask = 0  # one bit for each row that is not empty
        self.column_masks = [0] * CLASS_COUNT  # for each row, its columns

    def insert(self, worker: Worker, row: int, column: int, level: int) -> Bucket:
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
        worker.positions[level] = len(members)
        members.append(worker)
        return bucket

    def remove(self, worker: Worker, level: int) -> None:
        """Remove a worker from its bucket."""
        bucket = worker.buckets[level]
        members = bucket.members
        last = members.pop()
        if last is not worker:
            position = worker.positions[level]
            members[position] = last
            last.positions[level] = position
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

        `first_row` and `first_column` are the size classes of the demand. The cost is
        the sum of leftover processors and memory, scaled by `units`, plus
        IMBALANCE_WEIGHT times their difference: processors without memory, or memory
        without processors, would be stranded.
        """
        need_cpus, need_memory = demand.cpus, demand.memory
        cpu_unit, memory_unit = units
        best: Worker | None = None
        best_cost = math.inf
        partly_probed = []
        masks = self.column_masks
        rows = self.row_mask >> first_row << first_row
        while rows:
            bit = rows & -rows
            rows ^= bit
            row = bit.bit_length() - 1
            columns = masks[row] >> first_column << first_column
            if not columns:
                continue
            least_cost = (
                (CLASS_FLOORS[row] - need_cpus) * cpu_unit * (1 + IMBALANCE_WEIGHT)
            )
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
                    # The remaining buckets of this row leave more memory unused.
                    break
                if len(bucket.members) > MAX_PROBES:
                    partly_probed.append(bucket)
        if best is None:
            best, best_cost = _scan_all(partly_probed, demand, excluded), 0.0
        return None if best is None else (best_cost, best)


def _scan_all(
    buckets: list[Bucket], demand: resources.Resources, excluded: frozenset[str]
) -> Worker | None:
    """Return a worker with room from buckets that were only partly probed."""
    for bucket in buckets:
        entry = bucket.scan(demand, excluded)
        if entry is not None:
            return entry
    return None


class WorkerPool:
    """Bucket tables of the workers of the cell or of one availability zone.

    Workers without accelerators are in `without_accelerators`. The others are in one
    table for each number of free accelerators.
    """

    def __init__(self) -> None:
        self.without_accelerators = BucketTable()
        self.by_free_accelerators: dict[int, BucketTable] = {}

    def table_of(self, worker: Worker) -> BucketTable:
        """Return the table for a worker by its free accelerators."""
        if not worker.capacity.accelerators:
            return self.without_accelerators
        table = self.by_free_accelerators.get(worker.accelerators)
        if table is None:
            table = self.by_free_accelerators[worker.accelerators] = BucketTable()
        return table

    def tables_for(self, accelerators: int) -> list[BucketTable]:
        """Return the tables that may have room, in order of preference.

        Tasks without accelerators use workers with accelerators last, starting with
        those that have the fewest free.
        """
        tables = [
            self.by_free_accelerators[count]
            for count in sorted(self.by_free_accelerators)
            if count >= accelerators
        ]
        return tables if accelerators else [self.without_accelerators, *tables]

    def members_with(self, demand: resources.Resources) -> Iterator[list[Worker]]:
        """Yield the members of buckets that may have room, the emptiest first."""
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
