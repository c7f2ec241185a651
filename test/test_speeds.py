"""Tests of learned worker speeds."""

import random

import testtools

from toucanspring.policy import speeds

WORKERS = 24
TASKS_PER_STEP = 5


def kind(number, zones=3, racks=8):
    return f"zone={number % zones}", "a" if number % 2 else "b", f"r{number % racks}"


def learn(speed_of, seed=1, steps=2000, known=None, tails=0.03):
    """Observe steps of tasks with a heavy tail on random workers; yield after each."""
    rng = random.Random(seed)
    known = known or speeds.Speeds()
    for _ in range(steps):
        base_s = rng.lognormvariate(0, 0.5)
        nominal_rates = []
        for number in rng.sample(range(WORKERS), TASKS_PER_STEP):
            run_s = base_s * rng.uniform(0.85, 1.15) / speed_of(number)
            if rng.random() < tails:
                run_s *= 7
            name, attributes = f"w{number}", kind(number)
            if nominal_rates:
                typical = sorted(nominal_rates)[len(nominal_rates) // 2]
                known.observe(name, attributes, 1 / run_s / typical)
            nominal_rates.append(1 / run_s / known.speed(name, attributes))
        yield known


def learn_all(*args, **options):
    *_, known = learn(*args, **options)
    return known


def ranks(known):
    return [known.rank(f"w{n}", kind(n)) for n in range(WORKERS)]


class SpeedsTest(testtools.TestCase):
    def test_speeds_by_zone_are_found(self):
        # Guards against placing gangs across workers of unequal speed.
        known = learn_all(lambda number: 1.7 if number % 3 == 0 else 0.7)
        self.assertEqual([int(n % 3 == 0) for n in range(WORKERS)], ranks(known))
        ratio = known.speed("w0", kind(0)) / known.speed("w1", kind(1))
        self.assertAlmostEqual(1.7 / 0.7, ratio, delta=0.2)

    def test_speeds_by_label_are_found(self):
        # Guards against learning by availability zone only.
        known = learn_all(lambda number: 1.3 if number % 2 == 0 else 1.0)
        self.assertEqual([int(n % 2 == 0) for n in range(WORKERS)], ranks(known))

    def test_speeds_that_no_attribute_explains_are_found(self):
        # Guards against a group's speed replacing that of its members.
        fast = set(random.Random(3).sample(range(WORKERS), 8))
        known = learn_all(lambda number: 1.7 if number in fast else 0.7)
        self.assertEqual([int(n in fast) for n in range(WORKERS)], ranks(known))

    def test_equal_workers_are_never_told_apart(self):
        # Guards against noise and tails that change placement among equal workers.
        for seed in range(5):
            for known in learn(lambda _: 1.0, seed=seed):
                self.assertFalse(known.differ)

    def test_a_difference_within_the_spread_of_tasks_makes_no_class(self):
        # Guards against reordering placement for less than callers notice.
        known = learn_all(lambda number: 1.05 if number % 3 == 0 else 1.0)
        self.assertFalse(known.differ)

    def test_one_slow_worker_is_no_class(self):
        # Guards against work with slack being sent to a broken worker by preference.
        known = learn_all(lambda number: 0.3 if number == 5 else 1.0)
        self.assertFalse(known.differ)
        self.assertLess(known.speed("w5", kind(5)), 0.5)

    def test_a_worker_without_samples_has_the_speed_of_its_group(self):
        known = learn_all(lambda number: 1.7 if number % 3 == 0 else 0.7)
        self.assertEqual(1, known.rank("new", kind(9)))
        self.assertEqual(0, known.rank("new", kind(10)))
        self.assertEqual(1.0, speeds.Speeds().speed("new", kind(9)))

    def test_a_forgotten_worker_is_learned_anew(self):
        # Guards against the speed of a former incarnation of another kind.
        known = learn_all(lambda number: 1.7 if number % 3 == 0 else 0.7)
        known.forget("w0")
        self.assertEqual(0, known.rank("w0", kind(1)))
        self.assertEqual(1, known.rank("w0", kind(3)))

    def test_changed_speeds_are_followed(self):
        known = learn_all(lambda number: 1.7 if number % 3 == 0 else 0.7)
        learn_all(lambda _: 1.0, seed=2, known=known)
        self.assertFalse(known.differ)

    def test_memory_is_bounded(self):
        known = learn_all(lambda _: 1.0)
        self.assertEqual(WORKERS, len(known._samples))
        for number in range(WORKERS):
            self.assertLessEqual(len(known._samples[f"w{number}"]), speeds.MAX_SAMPLES)
            known.forget(f"w{number}")
        self.assertEqual({}, known._samples | known._kinds | known._speeds)

    def test_a_sample_without_progress_is_ignored(self):
        # Guards against the logarithm of zero.
        known = speeds.Speeds()
        for _ in range(100):
            known.observe("w1", kind(1), 0.0)
        self.assertEqual(1.0, known.speed("w1", kind(1)))
