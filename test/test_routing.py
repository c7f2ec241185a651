import random

import testtools

from toucanspring import errors
from toucanspring.callers import routing

OK, REFUSED, FAILED = routing.Outcome


def make_facts(count=6, **changes):
    return [
        routing.ServerFacts(
            f"s{number}", "127.0.0.1", 8000 + number, f"az{number % 3}", **changes
        )
        for number in range(count)
    ]


class RouterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.router = routing.Router(random.Random(1))

    def chosen(self, count=200, now=0.0, **arguments):
        servers = [self.router.choose(now, **arguments) for _ in range(count)]
        return {server.id for server in servers}

    def use(self, server_id, outcome, now, seconds=0.1):
        self.router.sent(server_id)
        self.router.finished(server_id, outcome, seconds, now)

    def test_leaving_servers_and_zones_out_are_excluded(self):
        # Guards against new requests in a zone that is out of service.
        facts = make_facts(6)
        leaving = routing.ServerFacts("s0", "127.0.0.1", 8000, "az0", leaving=True)
        self.router.set_servers([leaving, *facts[1:]])
        self.router.set_zones_out(frozenset({"az1"}))
        self.assertEqual({"s2", "s3", "s5"}, self.chosen())
        self.assertEqual({"s2"}, self.chosen(excluded=frozenset({"s3", "s5"})))

    def test_without_a_usable_server_the_request_is_overloaded(self):
        self.assertIsInstance(self.router.choose(0.0), errors.Overloaded)
        self.router.set_servers(make_facts(1))
        excluded = frozenset({"s0"})
        self.assertIsInstance(self.router.choose(0.0, excluded), errors.Overloaded)

    def test_load_is_balanced(self):
        self.router.set_servers(make_facts(6))
        for _ in range(24):
            self.router.sent(self.router.choose(0.0).id)
        loads = [self.router.load(f"s{number}") for number in range(6)]
        self.assertLessEqual(max(loads) - min(loads), 2)

    def test_a_server_gets_no_more_than_its_slots(self):
        # Guards against a queue that is sent to servers that are certain to refuse.
        self.router.set_servers(make_facts(2, slots=2))
        for _ in range(4):
            self.router.sent(self.router.choose(0.0).id)
        self.assertIsInstance(self.router.choose(0.0), errors.Overloaded)
        self.router.finished("s1", OK, 0.1, 1.0)
        self.assertEqual("s1", self.router.choose(1.0).id)

    def test_after_a_refusal_one_more_request_is_sent_later(self):
        self.router.set_servers(make_facts(1))
        self.use("s0", OK, 0.0)
        self.router.sent("s0")
        self.use("s0", REFUSED, 1.0)
        refused = self.router.choose(1.0)
        self.assertIsInstance(refused, errors.Overloaded)
        now = 1.0 + refused.retry_after_s
        background = self.router.choose(now, background=True)
        self.assertIsInstance(background, errors.Overloaded)
        self.assertEqual("s0", self.router.choose(now).id)

    def test_a_freed_slot_is_kept_for_checks_when_servers_are_full(self):
        # Guards against checks that wait behind less urgent requests.
        self.router.set_servers(make_facts(1))
        self.use("s0", OK, 0.0)
        self.router.sent("s0")
        self.use("s0", REFUSED, 1.0)
        self.router.finished("s0", OK, 0.1, 2.0)
        background = self.router.choose(2.0, background=True)
        self.assertIsInstance(background, errors.Overloaded)
        self.assertEqual("s0", self.router.choose(2.0).id)
        self.assertEqual("s0", self.router.choose(2.1, background=True).id)

    def test_the_breaker_opens_after_failures_and_allows_one_probe(self):
        # Guards against requests to a failed server, and a burst when it returns.
        self.router.set_servers(make_facts(2))
        for _ in range(5):
            self.use("s0", FAILED, 1.0)
        self.assertEqual({"s1"}, self.chosen(now=1.5))
        self.assertEqual({"s0", "s1"}, self.chosen(now=2.1))
        self.router.sent("s0")
        self.assertEqual({"s1"}, self.chosen(now=2.1))
        self.router.finished("s0", FAILED, 0.1, 2.2)
        self.assertEqual({"s1"}, self.chosen(now=4.0))
        self.use("s0", OK, 4.3)
        self.assertEqual({"s0", "s1"}, self.chosen(now=4.3))

    def test_an_unsent_request_does_not_change_the_breaker(self):
        # Guards against an open breaker that an abandoned request closes.
        self.router.set_servers(make_facts(2))
        for _ in range(5):
            self.use("s0", FAILED, 1.0)
        self.router.sent("s0")
        self.router.unsent("s0")
        self.assertEqual(0, self.router.load("s0"))
        self.assertEqual({"s1"}, self.chosen(now=1.5))
        self.assertEqual({"s0", "s1"}, self.chosen(now=2.5))

    def test_retries_are_a_fraction_of_the_requests(self):
        # Guards against retries that multiply the load of a failing service.
        self.router.set_servers(make_facts(1))
        while self.router.retry_allowed(0.0):
            pass
        for _ in range(100):
            self.use("s0", OK, 0.0)
        allowed = 0
        while self.router.retry_allowed(0.0):
            self.router.sent("s0", retry=True)
            allowed += 1
        self.assertIn(allowed, (9, 10))
        self.assertTrue(self.router.retry_allowed(5.0))

    def test_a_new_list_keeps_the_state_of_servers(self):
        self.router.set_servers(make_facts(2))
        self.router.sent("s0")
        self.router.set_servers(make_facts(3))
        self.assertEqual(1, self.router.load("s0"))
        self.router.finished("gone", OK, 0.1, 0.0)
