import random

import testtools

from toucanspring import resources
from toucanspring.scheduling import placement

SMALL = resources.Resources(1000, 2048, 0)
PLAIN = resources.Resources(32_000, 65_536, 0)
ACCELERATED = resources.Resources(32_000, 65_536, 4)


def make_index(count=6, capacity=PLAIN, racks_of=2, zones=3):
    index = placement.WorkerIndex(random.Random(1))
    for number in range(count):
        rack = number // racks_of
        index.add(f"w{number}", capacity, f"az{rack % zones}", f"rack{rack}")
    return index


class WorkerIndexTest(testtools.TestCase):
    def test_random_operations_agree_with_an_exhaustive_search(self):
        # Guards against workers with room that the buckets miss, and against choosing
        # workers without room.
        rng = random.Random(7)
        index = placement.WorkerIndex(rng)
        held = []
        names = [f"w{number}" for number in range(40)]
        for number, name in enumerate(names):
            capacity = ACCELERATED if number % 5 == 0 else PLAIN
            index.add(name, capacity, f"az{number % 3}", f"rack{number // 8}")
        schedulable = set(names)
        for step in range(4000):
            demand = resources.Resources(
                rng.randrange(100, 12_000),
                rng.randrange(100, 24_000),
                rng.choice((0, 0, 0, 1, 2)),
            )
            zones = rng.choice((None, None, frozenset({"az1"})))
            excluded = frozenset(rng.sample(names, 3))
            constraints = placement.Constraints(
                availability_zones=zones, excluded=excluded
            )
            allowed = [
                name
                for name in schedulable - excluded
                if (zones is None or f"az{int(name[1:]) % 3}" in zones)
                and demand.fits(index.free(name))
            ]
            chosen = index.choose(demand, constraints)
            if allowed:
                self.assertIn(chosen, allowed)
                index.allocate(chosen, demand)
                held.append((chosen, demand))
            else:
                self.assertIsInstance(chosen, placement.NoRoom)
                self.assertEqual(40, sum(chosen.rejected.values()))
            if held and rng.random() < 0.45:
                worker, amount = held.pop(rng.randrange(len(held)))
                index.release(worker, amount)
            if step % 50 == 0:
                name = rng.choice(names)
                index.set_schedulable(name, name not in schedulable)
                schedulable ^= {name}
        for worker, amount in held:
            index.release(worker, amount)
        for number, name in enumerate(names):
            capacity = ACCELERATED if number % 5 == 0 else PLAIN
            self.assertEqual(capacity, index.free(name))

    def test_work_without_accelerators_uses_other_workers_first(self):
        # Guards against accelerators blocked by work that does not need them.
        index = make_index(2)
        index.add("gpu", ACCELERATED, "az0", "rack9")
        for _ in range(64):
            worker = index.choose(SMALL)
            self.assertNotEqual("gpu", worker)
            index.allocate(worker, SMALL)
        self.assertEqual("gpu", index.choose(SMALL))

    def test_choose_many_places_as_many_as_fit_and_changes_nothing(self):
        index = make_index(3)
        chosen = index.choose_many(SMALL, 1000)
        self.assertEqual(96, sum(share for _, share in chosen))
        self.assertEqual(PLAIN, index.free("w0"))
        self.assertEqual(7, sum(share for _, share in index.choose_many(SMALL, 7)))

    def test_spread_counts_lead_to_the_emptiest_zone_and_rack(self):
        # Guards against a service that loses all its tasks with one rack.
        index = make_index(12, racks_of=2, zones=3)
        constraints = placement.Constraints(spread_counts={})
        chosen = index.choose_many(SMALL, 6, constraints)
        self.assertEqual(6, len(chosen))
        racks = {int(worker[1:]) // 2 for worker, _ in chosen}
        self.assertEqual(6, len(racks))

    def test_spread_tasks_in_one_rack_use_all_its_workers(self):
        # Guards against a service with all tasks on one worker of a small cell.
        index = make_index(8, racks_of=8, zones=1)
        chosen = index.choose_many(SMALL, 8, placement.Constraints(spread_counts={}))
        self.assertEqual(8, len(chosen))

    def test_racks_of_the_same_name_in_two_zones_are_different(self):
        # Guards against a compact gang that spans zones.
        index = placement.WorkerIndex(random.Random(1))
        for number in range(4):
            index.add(f"w{number}", PLAIN, f"az{number % 2}", "rack0")
        chosen = index.choose_gang(PLAIN, 2, compact=True)
        self.assertEqual(1, len({int(worker[1:]) % 2 for worker, _ in chosen}))

    def test_a_gang_gets_room_for_all_members_or_none(self):
        # Guards against a gang that starts with only some members.
        index = make_index(2)
        chosen = index.choose_gang(SMALL, 64)
        self.assertEqual(64, sum(share for _, share in chosen))
        self.assertIsInstance(index.choose_gang(SMALL, 65), placement.NoRoom)

    def test_a_compact_gang_stays_in_one_rack_or_zone(self):
        index = make_index(12, racks_of=2, zones=3)
        demand = resources.Resources(16_000, 1024, 0)
        in_rack = index.choose_gang(demand, 4, compact=True)
        self.assertEqual(1, len({int(worker[1:]) // 2 for worker, _ in in_rack}))
        in_zone = index.choose_gang(demand, 8, compact=True)
        self.assertEqual(1, len({int(worker[1:]) // 2 % 3 for worker, _ in in_zone}))
        anywhere = index.choose_gang(demand, 20, compact=True)
        self.assertEqual(20, sum(share for _, share in anywhere))

    def test_can_ever_fit_ignores_present_use(self):
        # Guards against a permanent rejection of a job because the cell is busy.
        index = make_index(2)
        index.allocate("w0", PLAIN)
        index.allocate("w1", PLAIN)
        self.assertTrue(index.can_ever_fit(PLAIN, 2))
        self.assertFalse(index.can_ever_fit(PLAIN, 3))
        self.assertFalse(index.can_ever_fit(resources.Resources(1, 1, 1), 1))

    def test_a_removed_worker_is_not_chosen(self):
        index = make_index(1)
        index.remove("w0")
        index.release("w0", SMALL)
        self.assertIsInstance(index.choose(SMALL), placement.NoRoom)
        self.assertEqual(resources.ZERO, index.total())
