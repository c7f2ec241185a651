"""Tests of learned run times."""

import random

import testtools

from toucanspring.policy import run_times

TAIL = 7


def observe(known, count=400, ratio=0.5, tails=0.03, seed=1, name="q"):
    """Observe runs with a spread of one half and a heavy tail."""
    rng = random.Random(seed)
    for _ in range(count):
        declared_s = rng.uniform(0.5, 5)
        run_s = declared_s * ratio * rng.uniform(0.75, 1.25)
        known.observe(name, declared_s, run_s * (TAIL if rng.random() < tails else 1))


class RunTimesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.known = run_times.RunTimes()

    def test_the_declared_time_is_the_prior(self):
        for found in (self.known.typical_s, self.known.high_s, self.known.mean_s):
            self.assertEqual(3.0, found("q", 3.0))

    def test_one_run_does_not_replace_the_declared_time(self):
        # Guards against a single tail that makes all jobs of a queue late.
        self.known.observe("q", 1.0, 7.0)
        self.assertEqual(3.0, self.known.typical_s("q", 3.0))

    def test_the_ratio_of_the_queue_is_learned(self):
        # Guards against slack by declared times that are off by up to 0.9.
        for ratio in (0.1, 0.5, 1.9):
            known = run_times.RunTimes()
            observe(known, ratio=ratio)
            self.assertAlmostEqual(
                2.0 * ratio, known.typical_s("q", 2.0), delta=0.3 * ratio
            )

    def test_tails_affect_the_mean_only(self):
        # Guards against estimates that one tail among the latest runs multiplies.
        for seed in range(20):
            known = run_times.RunTimes()
            observe(known, seed=seed)
            self.assertLess(known.typical_s("q", 1.0), 0.6)
            self.assertLess(known.high_s("q", 1.0), 0.7)
            self.assertGreater(known.mean_s("q", 1.0), 0.5)
            self.assertLess(known.mean_s("q", 1.0), 0.8)

    def test_a_change_is_followed_within_the_samples_kept(self):
        observe(self.known, ratio=0.5)
        observe(self.known, count=run_times.MAX_SAMPLES, ratio=1.5, tails=0)
        self.assertGreater(self.known.typical_s("q", 1.0), 1.2)

    def test_names_are_independent_and_bounded(self):
        # Guards against a client whose job names fill the memory.
        for number in range(run_times.MAX_NAMES + 10):
            self.known.observe(number, 1.0, 2.0)
        self.assertEqual(run_times.MAX_NAMES, len(self.known._ratios))
        self.assertEqual(1.0, self.known.mean_s(0, 1.0))
        observe(self.known)
        self.assertEqual(run_times.MAX_SAMPLES, len(self.known.find("q").latest))

    def test_a_run_without_declared_time_is_ignored(self):
        self.known.observe("q", 0.0, 2.0)
        self.assertIsNone(self.known.find("q"))

    def test_an_export_restores_the_estimates_after_a_takeover(self):
        observe(self.known)
        for number in range(2 * run_times.MAX_EXPORTED):
            self.known.observe(number, 1.0, 2.0)
        observe(self.known, count=1)
        exported = self.known.export()
        self.assertEqual(run_times.MAX_EXPORTED, len(exported))
        successor = run_times.RunTimes()
        successor.observe(199, 1.0, 9.0)
        successor.restore(exported)
        for name in ("typical_s", "high_s", "mean_s"):
            expected = getattr(self.known, name)("q", 2.0)
            self.assertAlmostEqual(
                expected, getattr(successor, name)("q", 2.0), delta=0.01
            )
        # What the successor has seen itself counts.
        self.assertEqual(1, successor.find(199).count)
