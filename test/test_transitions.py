import testtools

from toucanspring import periodic
from toucanspring.cell import ownership, transitions
from toucanspring.reporting import event_kinds

HELD = ownership.LeaseState.HELD
EXTENDED = ownership.LeaseState.EXTENDED
NARROWED = ownership.LeaseState.NARROWED


class TransitionsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.transitions = transitions.TransitionDetector()
        self.now = 0.0

    def update(self, state=HELD, partitions=2, age_s=0.1, seconds=0.5):
        self.now += seconds
        return self.transitions.update(state, partitions, age_s, self.now)

    def test_each_change_of_the_lease_state_is_reported_once(self):
        self.assertEqual([], self.update())
        self.assertEqual([event_kinds.OwnershipExtended(2)], self.update(EXTENDED))
        self.assertEqual([], self.update(EXTENDED))
        self.assertEqual([event_kinds.OwnershipNarrowed(2)], self.update(NARROWED))
        self.assertEqual([event_kinds.OwnershipResumed(2, 1.5)], self.update())

    def test_the_lease_state_is_ignored_without_partitions(self):
        # Guards against events at each start, when no lease exists yet.
        self.assertEqual([], self.update(NARROWED, 0))
        self.assertEqual([], self.update(HELD, 0))

    def test_an_outage_of_the_store_is_reported_with_its_duration(self):
        self.update()
        self.assertEqual([], self.update(age_s=1.1))
        (lost,) = self.update(age_s=1.6)
        self.assertIsInstance(lost, event_kinds.StoreUnavailable)
        self.assertEqual([], self.update(age_s=2.1))
        (back,) = self.update(age_s=0.1)
        self.assertAlmostEqual(2.5, back.seconds)

    def test_a_pause_is_not_an_outage_of_the_store(self):
        self.update()
        self.assertEqual([], self.update(age_s=5.0, seconds=5.0))
        self.assertEqual([], self.update())


class RoundsTest(testtools.TestCase):
    def test_a_round_that_comes_late_is_a_pause(self):
        # Guards against reporting slow work, such as a late store response, as a pause.
        now, pauses, calls = [0.0], [], []

        def work():
            calls.append(now[0])
            now[0] += 3.0

        def clock():
            return now[0]

        self.patch(
            periodic.gevent, "sleep", lambda _s: now.__setitem__(0, now[0] + late)
        )
        late = 0.001
        periodic.repeat(1.0, work, clock, lambda: len(calls) == 2, pauses.append)
        self.assertEqual([], pauses)
        late = 4.0
        periodic.repeat(1.0, work, clock, lambda: len(calls) == 3, pauses.append)
        self.assertEqual([4.0], pauses)
