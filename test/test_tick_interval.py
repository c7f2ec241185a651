import testtools

from toucanspring.scheduling import tick_interval


class NextIntervalTest(testtools.TestCase):
    def test_the_interval_is_long_only_after_two_idle_ticks_while_quiescent(self):
        # Guards against timed checks that miss the last change, and against waiting
        # tasks that are examined only once a second.
        for idle_ticks, is_quiescent, expected in (
            (0, True, tick_interval.TICK_INTERVAL_S),
            (1, True, tick_interval.IDLE_TICK_INTERVAL_S),
            (2, True, tick_interval.QUIESCENT_TICK_INTERVAL_S),
            (9, False, tick_interval.IDLE_TICK_INTERVAL_S),
        ):
            found = tick_interval.next_interval(idle_ticks, lambda at=is_quiescent: at)
            self.assertEqual(expected, found)
