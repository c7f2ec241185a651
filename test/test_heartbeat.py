import testtools

from toucanspring import errors
from toucanspring.cell import freshness, heartbeat, ownership

TIMING = ownership.Timing()
OWN = 7


def message(clock=1.0, echo=10.0, echo_incarnation=OWN, **fields):
    values = {
        "incarnation": 3,
        "clock": heartbeat.to_clock(clock),
        "echo": heartbeat.to_clock(echo),
        "echo_incarnation": echo_incarnation,
        "versions": freshness.Versions(1, 1, 1),
        "view_age_ms": 100,
        "has_read_head": True,
        "promise": False,
        "promise_free_ms": 5000,
        "owned": {},
    }
    return heartbeat.Heartbeat(**{**values, **fields})


class PeerTrackerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.tracker = heartbeat.PeerTracker(OWN, TIMING)

    def test_a_promise_counts_from_the_echoed_clock(self):
        # Guards against counting a delayed promise from its arrival.
        self.tracker.record("a", message(promise=True, echo=10.0), 11.9)
        self.assertEqual({"a": 10.0}, self.tracker.promises)

    def test_duplicates_and_reordered_heartbeats_change_nothing(self):
        # Guards against an old promise that arrives after its withdrawal.
        promise = message(clock=1.0, promise=True)
        self.assertTrue(self.tracker.record("a", promise, 10.1))
        self.assertTrue(self.tracker.record("a", message(clock=2.0, echo=10.5), 10.6))
        self.assertFalse(self.tracker.record("a", promise, 10.7))
        self.assertEqual({}, self.tracker.promises)
        self.assertEqual({"a"}, self.tracker.reachable(12.6))
        self.assertEqual(set(), self.tracker.reachable(12.7))

    def test_an_echo_of_another_clock_is_ignored(self):
        # Guards against a restart on another VM, whose clock has another origin.
        for foreign in (
            message(promise=True, echo_incarnation=OWN - 1),
            message(promise=True, echo=99.0),
            message(promise=True, echo=0.0),
            message(echo_incarnation=OWN - 1),
        ):
            self.tracker = heartbeat.PeerTracker(OWN, TIMING)
            self.assertTrue(self.tracker.record("a", foreign, 11.0))
            self.assertEqual(
                ({}, {}), (self.tracker.promises, self.tracker.promise_free)
            )

    def test_a_restart_withdraws_the_promise_of_the_former_incarnation(self):
        self.tracker.record("a", message(promise=True), 11.0)
        restarted = message(clock=0.5, incarnation=4, echo=0.0, echo_incarnation=0)
        self.assertTrue(self.tracker.record("a", restarted, 11.1))
        self.assertEqual({}, self.tracker.promises)

    def test_only_members_that_have_read_the_head_confirm_versions(self):
        # Guards against a process that confirmed a change and lost it in a restart.
        self.tracker.record("a", message(promise=True, has_read_head=True), 11.0)
        self.assertEqual({"a"}, set(self.tracker.promised_versions))
        later = message(clock=2.0, promise=True, has_read_head=False)
        self.tracker.record("a", later, 11.1)
        self.assertEqual(set(), set(self.tracker.promised_versions))

    def test_a_malformed_heartbeat_is_a_failure(self):
        for body in (b"", b"\xc1", heartbeat.encode([1, 2]), heartbeat.encode("x")):
            self.assertIsInstance(heartbeat.decode(body), errors.Malformed)
