import hypothesis
import testtools
from hypothesis import strategies

from toucanspring import resources
from toucanspring.scheduling import allowance, effects

AMOUNT = strategies.builds(resources.Resources, *[strategies.integers(0, 1000)] * 3)


def total(row):
    return sum(row.parts.values(), resources.ZERO)


class ResizeTest(testtools.TestCase):
    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 4),
                AMOUNT,
                AMOUNT,
                strategies.frozensets(strategies.integers(0, 4), max_size=2),
            ),
            max_size=12,
        )
    )
    def test_the_sum_stays_within_the_ceiling(self, changes):
        # Guards against parts that exceed the ceiling after any sequence of changes.
        row = allowance.Row()
        for partition, target, ceiling, ownerless in changes:
            before = row
            row = allowance.resize(row, partition, target, ceiling, ownerless)
            fixed = sum(
                (before.parts.get(p, resources.ZERO) for p in ownerless - {partition}),
                resources.ZERO,
            )
            for name in ("cpus", "memory", "accelerators"):
                limit = max(getattr(ceiling, name), getattr(fixed, name))
                if partition not in ownerless:
                    self.assertLessEqual(getattr(total(row), name), limit)
            part = row.parts.get(partition, resources.ZERO)
            self.assertTrue(part.fits(target))
            again = allowance.resize(row, partition, target, ceiling, ownerless)
            self.assertEqual(row, again)  # a request can be repeated safely

    def test_a_lowered_ceiling_shrinks_holders_in_proportion(self):
        # Guards against shrinking one partition only, and against shrinking a partition
        # without an owner, whose tasks nobody could stop.
        parts = {0: 6, 1: 3, 2: 3, 3: 4}
        row = allowance.Row({p: resources.Resources(n, 0, n) for p, n in parts.items()})
        ceiling = resources.Resources(10, 0, 10)
        row = allowance.resize(row, 0, row.parts[0], ceiling, frozenset({3}))
        self.assertEqual(
            {0: 3, 1: 2, 2: 1, 3: 4}, {p: part.cpus for p, part in row.parts.items()}
        )


class AllowanceTrackerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.one = resources.Resources(1, 0, 0)
        self.tracker = allowance.AllowanceTracker()
        self.tracker.set_ceilings({"zimna": resources.Resources(160, 160, 0)})
        self.hold(40, 0.0)

    def hold(self, cpus, now):
        self.tracker.set_held({"zimna": resources.Resources(cpus, 0, 0)}, now)

    def test_unused_allowance_is_returned_after_5_s_and_not_used_meanwhile(self):
        # Guards against unused parts, and against use of a part that was returned.
        self.tracker.use("zimna", self.one.times(10))
        self.tracker.free("zimna", self.one.times(4))
        self.assertEqual([], self.tracker.step(4.9))
        (returned,) = self.tracker.step(5.0)
        expected = effects.ReturnAllowance(
            "zimna", self.one.times(30), self.one.times(10)
        )
        self.assertEqual(expected, returned)
        self.hold(40, 5.1)  # a stale read
        self.assertEqual(4, self.tracker.max_starts("zimna", self.one))
        self.hold(10, 5.2)
        self.hold(40, 5.3)  # granted again later
        self.assertEqual(34, self.tracker.max_starts("zimna", self.one))

    def test_a_request_asks_for_a_chunk_and_is_repeated(self):
        # Guards against a store write per start, and against a lost request.
        self.tracker.use("zimna", self.one.times(40))
        want = self.one.times(500)
        self.tracker.report_shortage("zimna", want, self.one)
        (request,) = self.tracker.step(1.0)
        self.assertEqual(self.one.times(50), request.target)
        self.tracker.report_shortage("zimna", want, self.one)
        self.assertEqual([], self.tracker.step(1.5))
        self.tracker.report_shortage("zimna", want, self.one)
        self.assertEqual([request], self.tracker.step(2.1))

    def test_only_teams_that_hold_or_use_something_are_checked(self):
        # Guards against ticks that check 700 teams of which few are active.
        self.tracker.set_ceilings({f"t{n}": self.one.times(10) for n in range(700)})
        self.tracker.set_held({f"t{n}": resources.ZERO for n in range(700)}, 0.0)
        self.assertEqual(["zimna"], self.tracker.teams())
        self.tracker.report_shortage("t1", self.one, self.one)
        (request,) = self.tracker.step(1.0)
        self.assertEqual("t1", request.team)
        self.assertEqual(["t1", "zimna"], self.tracker.teams())
        self.tracker.step(5.0)
        self.hold(0, 5.1)
        self.tracker.step(5.2)
        self.assertNotIn("zimna", self.tracker.teams())
        self.tracker.use("zimna", self.one)
        self.assertIn("zimna", self.tracker.teams())

    def test_nothing_counts_as_excess_before_the_row_was_read(self):
        # Guards against a new owner that stops all tasks because it holds nothing yet.
        tracker = allowance.AllowanceTracker()
        tracker.set_ceilings({"zimna": self.one.times(100)})
        tracker.use("zimna", self.one.times(50))
        self.assertEqual(resources.ZERO, tracker.excess("zimna"))
        tracker.set_held({"zimna": self.one.times(30)}, 1.0)
        self.assertEqual(self.one.times(20), tracker.excess("zimna"))
