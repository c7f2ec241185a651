import testtools

from toucanspring.coordinator import candidacy, lag


class LagTest(testtools.TestCase):
    def test_two_checks_without_an_answer_in_a_row_show_a_lag(self):
        tracker = lag.LagTracker()
        self.assertFalse(tracker.is_lagging)
        tracker.record(False)
        self.assertFalse(tracker.is_lagging)
        tracker.record(False)
        self.assertTrue(tracker.is_lagging)

    def test_a_single_slow_check_shows_none(self):
        tracker = lag.LagTracker()
        for answered in (False, True, False, True, False):
            tracker.record(answered)
            self.assertFalse(tracker.is_lagging)

    def test_checks_of_an_earlier_epoch_do_not_count(self):
        tracker = lag.LagTracker()
        tracker.record(False)
        tracker.clear()
        tracker.record(False)
        self.assertFalse(tracker.is_lagging)


class SuccessorTest(testtools.TestCase):
    def test_equal_and_stronger_processes_may_succeed_weak_ones_may_not(self):
        strengths = {"a": 1000.0, "b": 1000.0, "c": 900.0, "d": 1700.0, "e": 300.0}
        found = candidacy.find_equals("a", strengths, ["b", "c", "d", "e"])
        self.assertEqual(["b", "c", "d"], found)

    def test_processes_of_unknown_strength_may_succeed(self):
        self.assertEqual(["b"], candidacy.find_equals("a", {}, ["b"]))
