import random

import testtools

from toucanspring import resources
from toucanspring.scheduling import placement, racks

CAPACITIES = (
    resources.Resources(32_000, 65_536, 0),
    resources.Resources(16_000, 131_072, 4),
)
ZONES = ("az0", "az1", "az2")


def size(group):
    return sum(room for _, room in group)


class Plain:
    """Searches all workers, by the rules that the index follows."""

    def __init__(self, rng, workers=30):
        self.rng = rng
        self.index = placement.WorkerIndex(random.Random(1))
        self.number = 0
        self.places = {}  # worker -> zone and rack
        self.racks = []  # in the order in which they were added
        self.zones = []  # the same
        self.closed = set()
        for _ in range(workers):
            self.add()

    def add(self):
        place = (self.rng.choice(ZONES), f"rack{self.rng.randrange(4)}")
        self.number += 1
        self.places[f"w{self.number}"] = place
        self.index.add(f"w{self.number}", self.rng.choice(CAPACITIES), *place)
        if place not in self.racks:
            self.racks.append(place)
        if place[0] not in self.zones:
            self.zones.append(place[0])

    def remove(self, name):
        place = self.places.pop(name)
        self.index.remove(name)
        if place not in self.places.values():
            self.racks.remove(place)
        if place[0] not in {zone for zone, _ in self.racks}:
            self.zones.remove(place[0])

    def change(self):
        """Use, close, open, add or remove random workers."""
        name, other = self.rng.sample(list(self.places), 2)
        amount = resources.Resources(
            self.rng.randrange(12_000), self.rng.randrange(30_000)
        )
        if amount.fits(self.index.free(name)) or self.rng.random() < 0.02:
            self.index.allocate(name, amount)
        if self.rng.random() < 0.1:
            self.closed ^= {other}
            self.index.set_schedulable(other, other not in self.closed)
        if self.rng.random() < 0.1 and len(self.places) > 5:
            self.remove(name)
        elif self.rng.random() < 0.1:
            self.add()

    def question(self, **fields):
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
        excluded = frozenset(rng.sample(list(self.places), rng.choice((0, 0, 3))))
        return demand, placement.Constraints(zones, excluded, **fields)

    def rooms(self, demand, constraints):
        """Return how many tasks each usable worker with room can take."""
        return {
            name: room
            for name, (zone, _) in self.places.items()
            if zone in (constraints.availability_zones or ZONES)
            and name not in self.closed
            and name not in constraints.excluded
            and (room := demand.count_in(self.index.free(name))) > 0
        }

    def by_place(self, demand, constraints):
        """Return the worker, or the zone alone if no rack is preferred."""
        counts = constraints.spread_counts
        sign = -1 if constraints.compact else 1

        def order(name):
            free = self.index.free(name)
            zone, rack = self.places[name]
            spare = 0 if demand.accelerators else free.accelerators
            fullest = (spare, -sign * free.cpus, -sign * free.memory)
            first = (sign * counts.get(zone, 0), zone)
            return (*first, sign * counts.get(rack, 0), rack, *fullest)

        best = min(self.rooms(demand, constraints), key=order, default=None)
        if any(rack in counts for _, rack in self.places.values()):
            return best
        return best and self.places[best][0]

    def upper_room(self, place, demand):
        """Return what fits in a rack by the sums of what is free there."""
        total = resources.ZERO
        for name, where in self.places.items():
            if where == place and name not in self.closed:
                free = self.index.free(name)
                total += resources.Resources(
                    max(0, free.cpus), max(0, free.memory), max(0, free.accelerators)
                )
        return demand.count_in(total)

    def upper_rooms(self, demand):
        """Return what fits in each zone by the sums of its racks."""
        uppers = dict.fromkeys(ZONES, 0)
        for place in self.racks:
            uppers[place[0]] += self.upper_room(place, demand)
        return uppers

    def gang(self, demand, count, constraints):
        """Return the workers of a compact gang, or None without room in one zone."""
        racks, zones = {}, {}
        for place in self.racks:
            racks[place] = [
                pair
                for pair in self.rooms(demand, constraints).items()
                if self.places[pair[0]] == place
            ]
            if racks[place]:
                zones.setdefault(place[0], []).append(racks[place])
        whole = [group for group in racks.values() if size(group) >= count]
        if not whole:
            uppers = self.upper_rooms(demand)
            whole = [
                sum(sorted(zones[zone], key=size, reverse=True), [])
                for zone in sorted(
                    zones, key=lambda zone: (uppers[zone], self.zones.index(zone))
                )
                if sum(map(size, zones[zone])) >= count
            ][:1]
        chosen = []
        for name, room in min(whole, key=size, default=[]):
            if count:
                chosen.append((name, min(room, count)))
                count -= chosen[-1][1]
        return chosen


class RacksTest(testtools.TestCase):
    def test_choices_by_place_agree_with_a_search_of_all_workers(self):
        # Guards against racks that the sorted names miss or keep, and another order.
        rng = random.Random(11)
        for _ in range(25):
            plain = Plain(rng)
            for _ in range(60):
                names = rng.sample([*ZONES, "rack0", "rack1", "rack2"], 3)
                counts = {name: rng.randrange(4) for name in names}
                question = plain.question(
                    spread_counts=counts, compact=rng.random() < 0.5
                )
                expected = plain.by_place(*question)
                chosen = plain.index.choose(*question)
                if isinstance(chosen, placement.NoRoom):
                    chosen = None
                elif expected in ZONES:
                    chosen = plain.places[chosen][0]
                self.assertEqual(expected, chosen)
                plain.change()

    def test_compact_gangs_agree_with_a_search_of_all_workers(self):
        # Guards against counts that stop too early, racks that are left out, and sums
        # that miss a change.
        rng = random.Random(12)
        for _ in range(25):
            plain = Plain(rng)
            for _ in range(60):
                for _ in range(rng.choice((0, 1, 4))):
                    plain.change()
                demand, constraints = plain.question()
                count = rng.choice((1, 2, 8, 30, 60))
                expected = plain.gang(demand, count, constraints)
                chosen = plain.index.choose_gang(demand, count, constraints, True)
                total = size(plain.rooms(demand, constraints).items())
                if total < count:
                    self.assertIsInstance(chosen, placement.NoRoom)
                elif expected:
                    self.assertEqual(expected, chosen)
                else:
                    self.assertEqual(count, size(chosen))

    def test_a_rack_has_at_most_the_upper_bound_of_those_not_counted(self):
        # Guards against racks far larger than needed when few are counted, and against
        # no rack although one has room.
        self.patch(racks, "MAX_COUNTED_RACKS", 2)
        rng = random.Random(13)
        for _ in range(100):
            plain = Plain(rng)
            for _ in range(20):
                plain.change()
            demand, constraints = plain.question()
            count = rng.choice((1, 2, 8))
            rooms = dict.fromkeys(plain.racks, 0)
            for name, room in plain.rooms(demand, constraints).items():
                rooms[plain.places[name]] += room
            whole = [place for place, room in rooms.items() if room >= count]
            if whole and demand != resources.ZERO:  # which has no bound
                chosen = plain.index.choose_gang(demand, count, constraints, True)
                (place,) = {plain.places[name] for name, _ in chosen}
                uppers = [plain.upper_room(other, demand) for other in whole]
                self.assertLessEqual(rooms[place], min(uppers))
