import testtools

from toucanspring.reporting import burn

NOW = 1_000_000.0


def find(budgets, team=""):
    return next(each for each in budgets if each.team == team)


class BurnTest(testtools.TestCase):
    def record(self, pattern):
        """Return a recorder fed with `(age in seconds, good, bad)`, oldest first."""
        recorder = burn.Recorder()
        for age, good, bad in pattern:
            for good_one in [True] * good + [False] * bad:
                recorder.record("desk", "reps", good_one, NOW - age)
        return recorder

    def test_a_burst_that_has_ended_raises_no_fast_alert(self):
        # Guards against paging someone for a failure that has already ended.
        burst = [(3000, 0, 300)]
        ended = self.record([*burst, (100, 1000, 0)])
        ongoing = self.record([*burst, (100, 800, 200)])
        for recorder, alert in ((ended, ""), (ongoing, "fast")):
            budgets = burn.evaluate([recorder.export(NOW)], {"desk": 99.0})
            self.assertEqual(alert, find(budgets).alert)

    def test_exports_of_all_processes_add_up(self):
        # Guards against a report on the cell that has the counts of one process only.
        parts = [self.record([(10, 90, 10)]), self.record([(10, 100, 0)])]
        budgets = burn.evaluate([part.export(NOW) for part in parts], {"desk": 95.0})
        for budget in (find(budgets), find(budgets, "reps")):
            window = budget.windows[0]
            self.assertEqual((190, 10), (window.good, window.bad))
            self.assertAlmostEqual(1.0, window.rate)
            self.assertAlmostEqual(0.0, budget.left)

    def test_requests_before_the_budget_period_do_not_count(self):
        recorder = self.record([(burn.BUDGET_PERIOD_S + 120, 0, 50), (10, 10, 0)])
        budget = find(burn.evaluate([recorder.export(NOW)], {"desk": 99.0}))
        self.assertEqual(1.0, budget.left)
