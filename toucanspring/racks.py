"""Racks of workers, and the choice of workers by rack and availability zone."""

from __future__ import annotations

import array
import bisect
import collections
import math
from collections.abc import Iterable, Iterator, Mapping

from toucanspring import inventory, resources

NOBODY: frozenset[str] = frozenset()
# MiB that are paired with a millicore for a lower bound on the room of a rack. Any
# value is correct; the bound is tightest for demands of this proportion.
MEMORY_PER_CPU = 2
# After so many changes of workers between two compact gangs the tables are built anew.
MAX_CHANGES = 10_000


class Zone:
    """Hold the racks of one availability zone, and what is free in one table.

    The table has columns for processors, memory and accelerators, and a slot for each
    worker, with the workers of a rack in succession. Amounts below 0 count as 0, as
    does everything on a worker that is not schedulable. Compact gangs look at each
    worker of a large cell; with `Worker` objects and `Resources.count_in` that took
    most of the time of a decision.
    """

    __slots__ = ("accelerators", "cpus", "memory", "names", "racks", "stale")

    def __init__(self) -> None:
        self.racks: dict[str, Rack] = {}
        self.names: list[str] = []  # of the racks, sorted
        self.cpus = array.array("q")
        self.memory = array.array("q")
        self.accelerators = array.array("q")
        self.stale = True  # the table has to be built again

    def build(self) -> None:
        """Build the table."""
        self.stale = False
        all_cpus, all_memory, all_accelerators = [], [], []
        for rack in self.racks.values():
            rack.first = len(all_cpus)
            rack.cpus = rack.memory = rack.accelerators = rack.paired = 0
            for entry in rack.members.values():
                entry.slot = len(all_cpus)
                cpus, memory, accelerators = _usable(entry)
                all_cpus.append(cpus)
                all_memory.append(memory)
                all_accelerators.append(accelerators)
                rack.cpus += cpus
                rack.memory += memory
                rack.accelerators += accelerators
                rack.paired += min(cpus, memory // MEMORY_PER_CPU)
            rack.last = len(all_cpus)
        self.cpus = array.array("q", all_cpus)
        self.memory = array.array("q", all_memory)
        self.accelerators = array.array("q", all_accelerators)

    def room(self, demand: resources.Resources, excluded: frozenset[str]) -> int:
        """Return how many tasks fit."""
        if demand == resources.ZERO:
            return sum(rack.room(demand, excluded) for rack in self.racks.values())
        room = _count_room(self, 0, len(self.cpus), demand)
        if excluded:
            for rack in self.racks.values():
                if not excluded.isdisjoint(rack.members):
                    room += rack.room(demand, excluded)
                    room -= _count_room(self, rack.first, rack.last, demand)
        return room


class Rack:
    """Hold the workers of one rack in the order in which they were added."""

    __slots__ = (
        "accelerators",
        "cpus",
        "first",
        "last",
        "members",
        "memory",
        "paired",
        "zone",
    )

    def __init__(self, zone: Zone) -> None:
        self.zone = zone
        self.members: dict[str, inventory.Worker] = {}
        # Sums of the columns in the slots of the rack.
        self.cpus = self.memory = self.accelerators = 0
        self.first = self.last = 0
        # Sum of the processors for which a worker has MEMORY_PER_CPU each.
        self.paired = 0

    def note_free(self, entry: inventory.Worker) -> None:
        """Take in what may be used on a worker now."""
        zone = self.zone
        if zone.stale:
            return
        slot = entry.slot
        cpus, memory, accelerators = _usable(entry)
        cpus_before, memory_before = zone.cpus[slot], zone.memory[slot]
        self.cpus += cpus - cpus_before
        self.memory += memory - memory_before
        self.paired += min(cpus, memory // MEMORY_PER_CPU)
        self.paired -= min(cpus_before, memory_before // MEMORY_PER_CPU)
        zone.cpus[slot] = cpus
        zone.memory[slot] = memory
        if accelerators != zone.accelerators[slot]:
            self.accelerators += accelerators - zone.accelerators[slot]
            zone.accelerators[slot] = accelerators

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

    def rooms(
        self, demand: resources.Resources, excluded: frozenset[str]
    ) -> list[tuple[str, int]]:
        """Return the workers with room and how many tasks each can take."""
        return [
            (entry.name, room)
            for entry in self.members.values()
            if entry.schedulable
            and entry.name not in excluded
            and (room := demand.count_in(entry.free)) > 0
        ]

    def room(
        self,
        demand: resources.Resources,
        excluded: frozenset[str],
        limit: float = math.inf,
    ) -> int:
        """Return how many tasks fit; may stop counting above `limit`."""
        hit = excluded and not excluded.isdisjoint(self.members)
        if hit or demand == resources.ZERO:  # which fits into empty slots too
            return sum(room for _, room in self.rooms(demand, excluded))
        return _count_room(self.zone, self.first, self.last, demand, limit)


class Racks:
    """Know all racks and choose among them by what runs there."""

    def __init__(self) -> None:
        self._zones: dict[str, Zone] = {}
        self._racks: dict[tuple[str, str], Rack] = {}
        # Number of zones that have a rack of the name.
        self._zones_with: collections.Counter[str] = collections.Counter()
        # Workers that changed since the tables were brought up to date, or `None` as
        # long as no table is in use. Each choice of a worker comes through here, and
        # writing to the tables at once raised the cost ratio of bench.placement
        # above 2.
        self._changed: list[inventory.Worker] | None = None

    def add(self, entry: inventory.Worker) -> None:
        """Add a worker."""
        key = (entry.availability_zone, entry.rack)
        rack = self._racks.get(key)
        if rack is None:
            zone = self._zones.setdefault(key[0], Zone())
            rack = self._racks[key] = zone.racks[key[1]] = Rack(zone)
            bisect.insort(zone.names, key[1])
            self._zones_with[key[1]] += 1
        rack.members[entry.name] = entry
        rack.zone.stale = True
        entry.home = rack

    def remove(self, entry: inventory.Worker) -> None:
        """Forget a worker."""
        zone_name, name = key = (entry.availability_zone, entry.rack)
        rack = self._racks[key]
        zone = rack.zone
        zone.stale = True
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

    def note_change(self, entry: inventory.Worker) -> None:
        """Take in that what may be used on a worker has changed."""
        changed = self._changed
        if changed is None:
            return
        if len(changed) < MAX_CHANGES:
            changed.append(entry)
            return
        self._changed = None
        for zone in self._zones.values():
            zone.stale = True

    def _refresh(self) -> None:
        """Bring the tables up to date."""
        for entry in dict.fromkeys(self._changed or ()):
            entry.home.note_free(entry)
        self._changed = []
        for zone in self._zones.values():
            if zone.stale:
                zone.build()

    def have_any(self, names: Iterable[str]) -> bool:
        """Return whether one of the names is that of a rack."""
        return any(name in self._zones_with for name in names)

    def choose(
        self,
        zone: str,
        demand: resources.Resources,
        excluded: frozenset[str],
        counts: Mapping[str, int],
        compact: bool,
    ) -> inventory.Worker | None:
        """Return the best worker of the preferred rack of a zone that has room.

        `counts` maps racks to the tasks of the job there; racks with few are
        preferred, or with `compact` racks with many, and then the first by name.
        """
        found = self._zones[zone]
        for name in _in_order(found, counts, compact):
            entry = found.racks[name].best(demand, excluded, compact)
            if entry is not None:
                return entry
        return None

    def compact_gang(
        self,
        demand: resources.Resources,
        count: int,
        excluded: frozenset[str],
        allowed: frozenset[str] | None,
    ) -> list[tuple[str, int]] | int:
        """Return workers in one rack, else in one zone, with the least room over.

        Without enough room in one zone, return how many tasks fit in all zones.
        """
        zones = [
            zone
            for name, zone in self._zones.items()
            if allowed is None or name in allowed
        ]
        self._refresh()
        racks: Iterable[Rack] = self._racks.values()
        if allowed is not None:
            racks = [rack for key, rack in self._racks.items() if key[0] in allowed]
        best = _tightest(racks, demand, count, excluded)
        if best is not None:
            return _fill(best.rooms(demand, excluded), count)
        rooms = [(zone.room(demand, excluded), zone) for zone in zones]
        least = min((room for room, _ in rooms if room >= count), default=None)
        if least is None:
            return sum(room for room, _ in rooms)
        tied = [zone for room, zone in rooms if room == least]
        # The zone whose first rack with room was added first wins a tie.
        first = next(
            rack for rack in racks if rack.zone in tied and rack.room(demand, excluded)
        )
        parts = [rack.rooms(demand, excluded) for rack in first.zone.racks.values()]
        parts.sort(key=lambda part: -sum(room for _, room in part))
        return _fill([pair for part in parts for pair in part], count)


def _in_order(zone: Zone, counts: Mapping[str, int], compact: bool) -> Iterator[str]:
    """Yield the racks of a zone; sorts only those with tasks of the job."""
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


def _tightest(
    racks: Iterable[Rack],
    demand: resources.Resources,
    count: int,
    excluded: frozenset[str],
) -> Rack | None:
    """Return the first rack with the least room for at least `count` tasks."""
    needed = demand.times(count)
    cpus, memory, accelerators = needed.cpus, needed.memory, needed.accelerators
    best, least = None, math.inf
    # A task takes at most so much of `Rack.paired`, and what is left on each worker is
    # less, so a rack with enough of it has more room than the best one so far.
    paired = max(demand.cpus, demand.memory / MEMORY_PER_CPU)
    bounded = paired > 0 and not accelerators and not excluded
    for rack in racks:
        if rack.cpus < cpus or rack.memory < memory or rack.accelerators < accelerators:
            continue
        if bounded and rack.paired > (least + rack.last - rack.first) * paired:
            continue
        room = rack.room(demand, excluded, least)
        if count <= room < least:
            best, least = rack, room
            if room == count:
                break
    return best


def _usable(entry: inventory.Worker) -> tuple[int, int, int]:
    """Return what may be used on a worker: processors, memory, accelerators."""
    if not entry.schedulable:
        return 0, 0, 0
    cpus, memory, accelerators = entry.cpus, entry.memory, entry.accelerators
    if cpus < 0 or memory < 0 or accelerators < 0:
        return max(0, cpus), max(0, memory), max(0, accelerators)
    return cpus, memory, accelerators


def _count_room(
    zone: Zone,
    first: int,
    last: int,
    demand: resources.Resources,
    limit: float = math.inf,
) -> int:
    """Return how many tasks fit on workers; may stop counting above `limit`."""
    cpus, memory, accelerators = demand.cpus, demand.memory, demand.accelerators
    all_cpus, all_memory = zone.cpus[first:last], zone.memory[first:last]
    room = 0
    if cpus <= 0 or memory <= 0 or accelerators:
        columns = zip(all_cpus, all_memory, zone.accelerators[first:last], strict=True)
        for free in columns:
            if free[2] >= accelerators and free[0] >= cpus and free[1] >= memory:
                room += demand.count_in(resources.Resources(*free))
        return room
    for free_cpus, free_memory in zip(all_cpus, all_memory, strict=True):
        if free_cpus >= cpus and free_memory >= memory:
            fitting = free_cpus // cpus
            by_memory = free_memory // memory
            room += by_memory if by_memory < fitting else fitting
            if room > limit:
                break
    return room


def _fill(rooms: list[tuple[str, int]], count: int) -> list[tuple[str, int]]:
    """Return how many of `count` tasks each worker takes, in the given order."""
    chosen = []
    for name, room in rooms:
        share = min(room, count)
        if share:
            chosen.append((name, share))
            count -= share
    return chosen
