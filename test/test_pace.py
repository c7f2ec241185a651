import testtools

from toucanspring.scheduling import pace


class RoundsTest(testtools.TestCase):
    def test_rounds_are_rare_only_after_two_idle_ones_at_rest(self):
        # Guards against timed checks that miss the last change, and against waiting
        # work that is looked at once a second.
        for idle_rounds, rests, expected in (
            (0, True, pace.TICK_INTERVAL_S),
            (1, True, pace.IDLE_TICK_INTERVAL_S),
            (2, True, pace.REST_TICK_INTERVAL_S),
            (9, False, pace.IDLE_TICK_INTERVAL_S),
        ):
            found = pace.interval(idle_rounds, lambda at=rests: at)
            self.assertEqual(expected, found)
