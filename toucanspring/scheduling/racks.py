"""Choice of workers by rack and availability zone."""

from __future__ import annotations

import bisect
import collections
import heapq
import math
from collections.abc import Iterable, Iterator, Mapping

from toucanspring import resources
from toucanspring.scheduling import inventory

NOBODY: frozenset[str] = frozenset()
# MiB counted with each millicore for a lower bound on the room of a rack. Any value
# is correct; the bound is tightest for demands of this ratio.
MEMORY_PER_CPU = 2
# At most this many racks have their workers counted to find the tightest fit.
MAX_COUNTED_RACKS = 256
POSITION_BITS = 32  # bits for the position of a rack in a packed heap entry


class Zone:
    """Racks of one availability zone."""

    __slots__ = ("names", "number", "racks")

    def __init__(self, number: int) -> None:
        self.number = number  # ascending in the order in which zones were added
        self.racks: dict[str, Rack] = {}
        self.names: list[str] = []  # of the racks, sorted

    def max_room(self, demand: resources.Resources) -> int:
        """Return an upper bound on how many tasks fit, from the totals of the racks."""
        return sum(_max_rooms(self.racks.values(), demand))


class Rack:
    """Workers of one rack in the order in which they were added, and their totals.

    The totals of free resources are updated with each change, so that placing a
    compact gang visits the workers of only a few racks. Negative amounts count as 0,
    and so do the resources of a worker that is not schedulable.
    """

    __slots__ = ("accelerators", "cpus", "members", "memory", "paired_cpus", "zone")

    def __init__(self, zone: Zone) -> None:
        self.zone = zone
        self.members: dict[str, inventory.Worker] = {}
        self.cpus = self.memory = self.accelerators = 0
        # Sum of the free processors for which a worker has MEMORY_PER_CPU each.
        self.paired_cpus = 0

    @property
    def free(self) -> resources.Resources:
        """Return the totals."""
        return resources.Resources(self.cpus, self.memory, self.accelerators)

    def adjust_totals(self, entry: inventory.Worker, sign: int) -> None:
        """Add (sign 1) or subtract (-1) the free resources of a worker."""
        cpus, memory = max(0, entry.cpus), max(0, entry.memory)
        self.cpus += sign * cpus
        self.memory += sign * memory
        self.accelerators += sign * max(0, entry.accelerators)
        self.paired_cpus += sign * min(cpus, memory // MEMORY_PER_CPU)

    def update_totals(
        self,
        cpus_before: int,
        memory_before: int,
        accelerators_before: int,
        entry: inventory.Worker,
    ) -> None:
        """Apply a change of the free resources of a schedulable worker."""
        cpus, memory, accelerators = entry.cpus, entry.memory, entry.accelerators
        if (
            cpus < 0
            or memory < 0
            or cpus_before < 0
            or memory_before < 0
            or accelerators != accelerators_before
        ):
            self.accelerators += max(0, accelerators) - max(0, accelerators_before)
            cpus, memory = max(0, cpus), max(0, memory)
            cpus_before, memory_before = max(0, cpus_before), max(0, memory_before)
        self.cpus += cpus - cpus_before
        self.memory += memory - memory_before
        paired = memory // MEMORY_PER_CPU
        paired_before = memory_before // MEMORY_PER_CPU
        self.paired_cpus += (cpus if cpus < paired else paired) - (
            cpus_before if cpus_before < paired_before else paired_before
        )

    def best(
        self, demand: resources.Resources, excluded: frozenset[str], compact: bool
    ) -> inventory.Worker | None:
        """Return the fullest worker with room, or the emptiest one to spread."""
        cpus, memory, accelerators = demand.cpus, demand.memory, demand.accelerators
        sign = 1 if compact else -1
        best, best_order = None, (math.inf, 0, 0)
        for entry in self.members.values():
            if (
                entry.cpus < cpus
                or entry.memory < memory
                or entry.accelerators < accelerators
                or not entry.schedulable
                or entry.name in excluded
            ):
                continue
            spare = 0 if accelerators else entry.accelerators
            order = (spare, sign * entry.cpus, sign * entry.memory)
            if order < best_order:
                best, best_order = entry, order
        return best

    def room(
        self,
        demand: resources.Resources,
        excluded: frozenset[str],
        limit: float = math.inf,
    ) -> int:
        """Return how many tasks fit; may stop counting above `limit`."""
        return _count_room(self.members.values(), demand, excluded, limit)

    def rooms(
        self, demand: resources.Resources, excluded: frozenset[str]
    ) -> list[tuple[str, int]]:
        """Return the workers with room and how many tasks each can take."""
        cpus, memory = demand.cpus, demand.memory
        return [
            (entry.name, room)
            for entry in self.members.values()
            if (entry.cpus >= cpus or not cpus)
            and (entry.memory >= memory or not memory)
            and entry.schedulable
            and entry.name not in excluded
            and (room := demand.count_in(entry.free)) > 0
        ]


class RackIndex:
    """Index of all racks, for placement by zone and rack."""

    def __init__(self) -> None:
        self._zones: dict[str, Zone] = {}
        self._racks: dict[tuple[str, str], Rack] = {}
        # Rack name -> number of zones that have a rack of this name.
        self._zones_with: collections.Counter[str] = collections.Counter()
        self._last_zone_number = 0

    def add(self, entry: inventory.Worker) -> None:
        """Add a worker to its rack; creates the rack and zone if necessary."""
        key = (entry.availability_zone, entry.rack)
        rack = self._racks.get(key)
        if rack is None:
            zone = self._zones.get(key[0])
            if zone is None:
                self._last_zone_number += 1
                zone = self._zones[key[0]] = Zone(self._last_zone_number)
            rack = self._racks[key] = zone.racks[key[1]] = Rack(zone)
            bisect.insort(zone.names, key[1])
            self._zones_with[key[1]] += 1
        rack.members[entry.name] = entry
        rack.adjust_totals(entry, 1)
        entry.rack_totals = rack

    def remove(self, entry: inventory.Worker) -> None:
        """Remove a worker, and its rack and zone once they are empty."""
        zone_name, name = key = (entry.availability_zone, entry.rack)
        rack = self._racks[key]
        zone = rack.zone
        if entry.schedulable:
            rack.adjust_totals(entry, -1)
        del rack.members[entry.name]
        if rack.members:
            return
        del self._racks[key]
        del zone.racks[name]
        del zone.names[bisect.bisect_left(zone.names, name)]
        if not zone.racks:
            del self._zones[zone_name]
        self._zones_with[name] -= 1
        if not self._zones_with[name]:
            del self._zones_with[name]

    def has_any(self, names: Iterable[str]) -> bool:
        """Return whether one of the names is the name of a rack."""
        return any(name in self._zones_with for name in names)

    def choose(
        self,
        zone: str,
        demand: resources.Resources,
        excluded: frozenset[str],
        counts: Mapping[str, int],
        compact: bool,
    ) -> inventory.Worker | None:
        """Return the best worker in the first rack of a zone that has room.

        `counts` maps racks to the number of the job's tasks there. Racks with few
        tasks come first, or with `compact` racks with many; ties are ordered by name.
        """
        found = self._zones[zone]
        for name in _racks_in_order(found, counts, compact):
            entry = found.racks[name].best(demand, excluded, compact)
            if entry is not None:
                return entry
        return None

    def place_compact_gang(
        self,
        demand: resources.Resources,
        count: int,
        excluded: frozenset[str],
        pools: list[inventory.WorkerPool],
        zone_pools: Mapping[str, inventory.WorkerPool],
    ) -> list[tuple[str, int]] | int:
        """Return workers for a gang in one rack, or else in one zone.

        Only workers in `pools` may be used; `zone_pools` holds them by zone.

        The tightest rack or zone is preferred. At most MAX_COUNTED_RACKS racks are
        counted, and zones are compared by the totals of their racks, since counting
        all workers took most of the time of a decision. The room of the chosen rack
        or zone is therefore at most the upper bound of any other one that has enough
        room and was not counted.

        If no zone has enough room, return the number of tasks that fit in all zones,
        capped at `count`.
        """
        total = _room_in_pools(pools, demand, excluded, count)
        if total < count:
            return total
        racks = list(self._racks.values())
        if not zone_pools.keys() >= self._zones.keys():
            racks = [rack for key, rack in self._racks.items() if key[0] in zone_pools]
        best = _tightest_rack(racks, demand, count, excluded)
        if best is not None:
            return _fill_in_order(best.rooms(demand, excluded), count)
        zones = [
            (upper, zone.number, name, zone)
            for name, zone in self._zones.items()
            if name in zone_pools and (upper := zone.max_room(demand)) >= count
        ]
        for _, _, name, zone in sorted(zones):
            if _room_in_pools([zone_pools[name]], demand, excluded, count) >= count:
                parts = [rack.rooms(demand, excluded) for rack in zone.racks.values()]
                parts.sort(key=lambda part: -sum(room for _, room in part))
                return _fill_in_order([pair for part in parts for pair in part], count)
        return count


def _racks_in_order(
    zone: Zone, counts: Mapping[str, int], compact: bool
) -> Iterator[str]:
    """Yield the racks of a zone by preference; sorts only those in `counts`."""
    sign = -1 if compact else 1
    counted = sorted(
        (sign * number, name)
        for name, number in counts.items()
        if number and name in zone.racks
    )
    if compact:
        yield from (name for _, name in counted)
    taken = {name for _, name in counted}
    yield from (name for name in zone.names if name not in taken)
    if not compact:
        yield from (name for _, name in counted)


def _tightest_rack(
    racks: list[Rack],
    demand: resources.Resources,
    count: int,
    excluded: frozenset[str],
) -> Rack | None:
    """Return the first rack with the least room for at least `count` tasks.

    Beyond MAX_COUNTED_RACKS racks only the upper bounds are compared.
    """
    # Packed integers: allocating tuples for thousands of racks triggered full garbage
    # collections, which took up to 100 ms.
    bounds = [
        upper << POSITION_BITS | number
        for number, upper in enumerate(_max_rooms(racks, demand))
        if upper >= count
    ]
    heapq.heapify(bounds)
    # A task uses at most this much of `Rack.paired_cpus`, and less than this remains
    # on a worker that has no more room. A rack that exceeds the bound below therefore
    # has more room than the best one so far.
    paired_per_task = max(demand.cpus, demand.memory / MEMORY_PER_CPU)
    is_bounded = paired_per_task > 0 and not demand.accelerators
    best, least, counted = None, (math.inf, 0), 0
    while bounds and (best is None or counted < MAX_COUNTED_RACKS):
        number = heapq.heappop(bounds) & (1 << POSITION_BITS) - 1
        rack = racks[number]
        if (
            is_bounded
            and rack.paired_cpus > (least[0] + len(rack.members)) * paired_per_task
            and (not excluded or excluded.isdisjoint(rack.members))
        ):
            continue
        counted += 1
        room = rack.room(demand, excluded, least[0])
        if room >= count and (room, number) < least:
            best, least = rack, (room, number)
    return best


def _max_rooms(racks: Iterable[Rack], demand: resources.Resources) -> list[int]:
    """Return for each rack an upper bound on how many tasks fit, from its totals."""
    cpus, memory, accelerators = demand.cpus, demand.memory, demand.accelerators
    if cpus <= 0 or memory <= 0:
        return [demand.count_in(rack.free) for rack in racks]
    # Inlined, since a large cell has thousands of racks.
    if accelerators:
        return [
            min(
                rack.cpus // cpus,
                rack.memory // memory,
                rack.accelerators // accelerators,
            )
            for rack in racks
        ]
    return [
        fitting
        if (fitting := rack.cpus // cpus) < (by_memory := rack.memory // memory)
        else by_memory
        for rack in racks
    ]


def _room_in_pools(
    pools: list[inventory.WorkerPool],
    demand: resources.Resources,
    excluded: frozenset[str],
    limit: int,
) -> int:
    """Return how many tasks fit, capped at `limit`."""
    room = 0
    for pool in pools:
        for members in pool.members_with(demand):
            room += _count_room(members, demand, excluded, limit - room)
            if room >= limit:
                return limit
    return room


def _count_room(
    entries: Iterable[inventory.Worker],
    demand: resources.Resources,
    excluded: frozenset[str],
    limit: float,
) -> int:
    """Return how many tasks fit on workers; may stop counting above `limit`."""
    cpus, memory = demand.cpus, demand.memory
    room = 0
    if cpus <= 0 or memory <= 0 or demand.accelerators:
        for entry in entries:
            if (
                entry.accelerators >= demand.accelerators
                and entry.schedulable
                and entry.name not in excluded
            ):
                room += demand.count_in(entry.free)
        return room
    for entry in entries:
        free_cpus, free_memory = entry.cpus, entry.memory
        if (
            free_cpus >= cpus
            and free_memory >= memory
            and entry.schedulable
            and not (excluded and entry.name in excluded)
        ):
            fitting, by_memory = free_cpus // cpus, free_memory // memory
            room += by_memory if by_memory < fitting else fitting
            if room > limit:
                break
    return room


def _fill_in_order(rooms: list[tuple[str, int]], count: int) -> list[tuple[str, int]]:
    """Assign `count` tasks to workers in the given order."""
    chosen = []
    for name, room in rooms:
        share = min(room, count)
        if share:
            chosen.append((name, share))
            count -= share
    return chosen
