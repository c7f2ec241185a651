import random

import testtools

from toucanspring import resources
from toucanspring.policy import fair_share

TOTAL = resources.Resources(100_000, 100_000, 0)
TASK = resources.Resources(1000, 1000, 0)


def make_tracker(shares, ceilings=None, window_s=60.0):
    ceilings = ceilings or {}
    tracker = fair_share.ShareTracker(
        [
            fair_share.Team(
                name, share=share, ceiling=ceilings.get(name, resources.UNLIMITED)
            )
            for name, share in shares.items()
        ],
        window_s,
    )
    tracker.set_total(TOTAL)
    return tracker


class ShareTrackerTest(testtools.TestCase):
    def test_targets_divide_the_cell_among_active_teams_only(self):
        # Guards against capacity reserved for teams that have no work.
        tracker = make_tracker({"a": 3, "b": 1, "c": 6})
        self.assertEqual({"a": 0.75, "b": 0.25}, tracker.targets(["a", "b"]))

    def test_a_share_above_the_ceiling_goes_to_the_other_teams(self):
        tracker = make_tracker(
            {"a": 3, "b": 1}, {"a": resources.Resources(20_000, 20_000, 0)}
        )
        targets = tracker.targets(["a", "b"])
        self.assertAlmostEqual(0.2, targets["a"])
        self.assertAlmostEqual(0.8, targets["b"])

    def test_no_total_and_unknown_teams_do_not_fail(self):
        tracker = fair_share.ShareTracker([], 60.0)
        self.assertEqual(["x"], tracker.rank(["x"], 0.0))
        tracker.started("x", TASK, 0.0)
        tracker.ended("x", TASK, 1.0)
        self.assertEqual({}, tracker.over_share(["x"], 1.0))

    def test_equal_tasks_end_in_proportion_to_the_shares(self):
        # Guards against a drift of the usage away from the shares.
        shares = {"a": 5, "b": 3, "c": 2}
        tracker = make_tracker(shares)
        rng = random.Random(3)
        running = []
        used = dict.fromkeys(shares, 0.0)
        for step in range(1, 3000):
            now = step * 0.02
            for entry in [entry for entry in running if entry[0] <= now]:
                running.remove(entry)
                tracker.ended(entry[1], TASK, now)
            while len(running) < 100:
                team = tracker.rank(shares, now)[0]
                tracker.started(team, TASK, now)
                running.append((now + rng.uniform(0.5, 4), team))
            for _, team in running:
                used[team] += 1
        for team, share in shares.items():
            part = used[team] / sum(used.values())
            self.assertAlmostEqual(share / 10, part, delta=0.01)

    def test_a_deficit_is_recovered(self):
        tracker = make_tracker({"a": 1, "b": 1})
        for _ in range(50):
            tracker.started("a", TASK, 0.0)
        tracker.rank(["a", "b"], 0.0)
        tracker.rank(["a", "b"], 10.0)
        for _ in range(50):
            tracker.started("b", TASK, 10.0)
        self.assertGreater(tracker.shortfalls(["a", "b"], 10.0)["b"], 0)

    def test_idle_time_earns_no_credit(self):
        # Guards against an idle team that saves up its share and then fills the cell.
        tracker = make_tracker({"a": 1, "b": 1})
        for _ in range(50):
            tracker.started("a", TASK, 0.0)
        for step in range(100):
            tracker.rank(["a"], step * 0.1)
        for _ in range(50):
            tracker.started("b", TASK, 10.0)
        self.assertAlmostEqual(0.0, tracker.shortfalls(["a", "b"], 10.0)["b"])

    def test_over_share_lists_only_teams_above_their_share_of_a_full_cell(self):
        # Guards against preemption while the cell has free capacity.
        tracker = make_tracker({"a": 1, "b": 1})
        for _ in range(80):
            tracker.started("a", TASK, 0.0)
        over = tracker.over_share(["a", "b"], 1.0)
        self.assertEqual(["a"], list(over))
        self.assertAlmostEqual(0.3, over["a"])
        for _ in range(40):
            tracker.ended("a", TASK, 2.0)
        self.assertEqual({}, tracker.over_share(["a", "b"], 2.0))

    def test_teams_far_above_their_target_yield_only_in_a_full_cell(self):
        # Guards against small tasks that occupy freed capacity before a large one fits,
        # and against idle capacity while a team is blocked for another reason.
        tracker = make_tracker({"a": 1, "b": 1})
        for _ in range(80):
            tracker.started("a", TASK, 0.0)
        self.assertEqual(set(), tracker.yielding(["a", "b"], 0.0))
        for _ in range(15):
            tracker.started("b", TASK, 0.0)
        self.assertEqual({"a"}, tracker.yielding(["a", "b"], 0.0))

    def test_average_usage_is_a_moving_average(self):
        tracker = make_tracker({"a": 1}, window_s=10.0)
        for _ in range(50):
            tracker.started("a", TASK, 0.0)
        self.assertLess(tracker.average_usage(1.0)["a"], 0.1)
        self.assertAlmostEqual(0.5, tracker.average_usage(200.0)["a"], places=6)
