import random

import testtools

from toucanspring import resources
from toucanspring.scheduling import placement, racks

CAPACITIES = (
    resources.Resources(32_000, 65_536, 0),
    resources.Resources(16_000, 131_072, 4),
)
ZONES = ("az0", "az1", "az2")


def total_room(group):
    return sum(room for _, room in group)


class ReferenceIndex:
    """Reference for the index: searches all workers by the same rules."""

    def __init__(self, rng, workers=30):
        self.rng = rng
        self.index = placement.WorkerIndex(random.Random(1))
        self.number = 0
        self.locations = {}  # worker -> zone and rack
        self.racks = []  # zone and rack, in the order in which they were added
        self.zones = []  # in the order in which they were added
        self.unschedulable = set()
        for _ in range(workers):
            self.add()

    def add(self):
        location = (self.rng.choice(ZONES), f"rack{self.rng.randrange(4)}")
        self.number += 1
        self.locations[f"w{self.number}"] = location
        self.index.add(f"w{self.number}", self.rng.choice(CAPACITIES), *location)
        if location not in self.racks:
            self.racks.append(location)
        if location[0] not in self.zones:
            self.zones.append(location[0])

    def remove(self, name):
        location = self.locations.pop(name)
        self.index.remove(name)
        if location not in self.locations.values():
            self.racks.remove(location)
        if location[0] not in {zone for zone, _ in self.racks}:
            self.zones.remove(location[0])

    def change_randomly(self):
        """Allocate on, cordon, uncordon, add or remove random workers."""
        name, other = self.rng.sample(list(self.locations), 2)
        amount = resources.Resources(
            self.rng.randrange(12_000), self.rng.randrange(30_000)
        )
        if amount.fits(self.index.free(name)) or self.rng.random() < 0.02:
            self.index.allocate(name, amount)
        if self.rng.random() < 0.1:
            self.unschedulable ^= {other}
            self.index.set_schedulable(other, other not in self.unschedulable)
        if self.rng.random() < 0.1 and len(self.locations) > 5:
            self.remove(name)
        elif self.rng.random() < 0.1:
            self.add()

    def random_query(self, **fields):
        """Return a random demand and constraints."""
        rng = self.rng
        demand = resources.Resources(
            rng.randrange(500, 9_000),
            rng.choice((0, 512, 20_000)),
            rng.choice((0, 0, 0, 1)),
        )
        if rng.random() < 0.05:
            demand = resources.ZERO
        zones = rng.choice((None, None, frozenset(rng.sample(ZONES, 2))))
        excluded = frozenset(rng.sample(list(self.locations), rng.choice((0, 0, 3))))
        return demand, placement.Constraints(zones, excluded, **fields)

    def rooms(self, demand, constraints):
        """Return how many tasks each usable worker with room can take."""
        return {
            name: room
            for name, (zone, _) in self.locations.items()
            if zone in (constraints.availability_zones or ZONES)
            and name not in self.unschedulable
            and name not in constraints.excluded
            and (room := demand.count_in(self.index.free(name))) > 0
        }

    def choose_by_topology(self, demand, constraints):
        """Return the best worker, or only its zone if `counts` names no rack."""
        counts = constraints.spread_counts
        sign = -1 if constraints.compact else 1

        def order(name):
            free = self.index.free(name)
            zone, rack = self.locations[name]
            spare = 0 if demand.accelerators else free.accelerators
            fullest = (spare, -sign * free.cpus, -sign * free.memory)
            first = (sign * counts.get(zone, 0), zone)
            return (*first, sign * counts.get(rack, 0), rack, *fullest)

        best = min(self.rooms(demand, constraints), key=order, default=None)
        if any(rack in counts for _, rack in self.locations.values()):
            return best
        return best and self.locations[best][0]

    def max_room(self, location, demand):
        """Return how many tasks fit by the total of what is free in a rack."""
        total = resources.ZERO
        for name, where in self.locations.items():
            if where == location and name not in self.unschedulable:
                free = self.index.free(name)
                total += resources.Resources(
                    max(0, free.cpus), max(0, free.memory), max(0, free.accelerators)
                )
        return demand.count_in(total)

    def zone_upper_bounds(self, demand):
        """Return how many tasks fit in each zone by the totals of its racks."""
        bounds = dict.fromkeys(ZONES, 0)
        for location in self.racks:
            bounds[location[0]] += self.max_room(location, demand)
        return bounds

    def gang(self, demand, count, constraints):
        """Return the workers of a compact gang, or None without room in one zone."""
        racks, zones = {}, {}
        for location in self.racks:
            racks[location] = [
                pair
                for pair in self.rooms(demand, constraints).items()
                if self.locations[pair[0]] == location
            ]
            if racks[location]:
                zones.setdefault(location[0], []).append(racks[location])
        large_enough = [group for group in racks.values() if total_room(group) >= count]
        if not large_enough:
            bounds = self.zone_upper_bounds(demand)
            large_enough = [
                sum(sorted(zones[zone], key=total_room, reverse=True), [])
                for zone in sorted(
                    zones, key=lambda zone: (bounds[zone], self.zones.index(zone))
                )
                if sum(map(total_room, zones[zone])) >= count
            ][:1]
        chosen = []
        for name, room in min(large_enough, key=total_room, default=[]):
            if count:
                chosen.append((name, min(room, count)))
                count -= chosen[-1][1]
        return chosen


class RacksTest(testtools.TestCase):
    def test_choices_by_place_agree_with_a_search_of_all_workers(self):
        # Guards against names of racks that are missing or stale, and a wrong order.
        rng = random.Random(11)
        for _ in range(25):
            reference = ReferenceIndex(rng)
            for _ in range(60):
                names = rng.sample([*ZONES, "rack0", "rack1", "rack2"], 3)
                counts = {name: rng.randrange(4) for name in names}
                query = reference.random_query(
                    spread_counts=counts, compact=rng.random() < 0.5
                )
                expected = reference.choose_by_topology(*query)
                chosen = reference.index.choose(*query)
                if isinstance(chosen, placement.NoRoom):
                    chosen = None
                elif expected in ZONES:
                    chosen = reference.locations[chosen][0]
                self.assertEqual(expected, chosen)
                reference.change_randomly()

    def test_compact_gangs_agree_with_a_search_of_all_workers(self):
        # Guards against counts that stop too early, racks that are left out, and totals
        # that miss a change.
        rng = random.Random(12)
        for _ in range(25):
            reference = ReferenceIndex(rng)
            for _ in range(60):
                for _ in range(rng.choice((0, 1, 4))):
                    reference.change_randomly()
                demand, constraints = reference.random_query()
                count = rng.choice((1, 2, 8, 30, 60))
                expected = reference.gang(demand, count, constraints)
                chosen = reference.index.choose_gang(demand, count, constraints, True)
                total = total_room(reference.rooms(demand, constraints).items())
                if total < count:
                    self.assertIsInstance(chosen, placement.NoRoom)
                elif expected:
                    self.assertEqual(expected, chosen)
                else:
                    self.assertEqual(count, total_room(chosen))

    def test_a_rack_has_at_most_the_upper_bound_of_those_not_counted(self):
        # Guards against a rack far larger than needed when only few are counted, and
        # against finding none although one has room.
        self.patch(racks, "MAX_COUNTED_RACKS", 2)
        rng = random.Random(13)
        for _ in range(100):
            reference = ReferenceIndex(rng)
            for _ in range(20):
                reference.change_randomly()
            demand, constraints = reference.random_query()
            count = rng.choice((1, 2, 8))
            rooms = dict.fromkeys(reference.racks, 0)
            for name, room in reference.rooms(demand, constraints).items():
                rooms[reference.locations[name]] += room
            large_enough = [
                location for location, room in rooms.items() if room >= count
            ]
            if large_enough and demand != resources.ZERO:  # without a bound
                chosen = reference.index.choose_gang(demand, count, constraints, True)
                (location,) = {reference.locations[name] for name, _ in chosen}
                bounds = [reference.max_room(other, demand) for other in large_enough]
                self.assertLessEqual(rooms[location], min(bounds))
