import random
import types

import gevent
import testtools

from test import request_fakes
from toucanspring import errors
from toucanspring.adapters import vms
from toucanspring.callers import answers, backend_pool, forwarding, listing, routing

LEAVING = vms.State.LEAVING


class ListingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.pauses = []  # pauses of the process in seconds, one per read
        self.answer = request_fakes.servers(1)
        self.listing = listing.VmListCache(self.read, lambda: self.now)

    def read(self):
        listed = self.answer
        if self.pauses:
            self.now += self.pauses.pop(0)
            self.answer = request_fakes.servers(1, state=LEAVING)
        return listed

    def test_a_list_is_usable_until_the_next_poll_is_overdue(self):
        self.assertLess(self.listing.usable_until(), self.now)
        self.assertEqual(listing.POLL_S, self.listing.update())
        self.assertEqual(
            self.now + listing.POLL_S + listing.SLACK_S, self.listing.usable_until()
        )

    def test_a_list_is_read_again_after_a_pause(self):
        # Guards against a list that was sent before a pause and received after it.
        self.pauses = [60.0]
        self.listing.update()
        self.assertEqual(LEAVING, self.listing.vms[0].state)
        self.assertGreater(self.listing.usable_until(), self.now)

    def test_nothing_is_usable_while_an_overdue_read_runs(self):
        self.listing.update()
        self.now += 60.0
        usable = []
        self.listing._read = lambda: (
            usable.append(self.listing.usable_until() >= self.now) or self.answer
        )
        self.listing.update()
        self.listing.update()
        self.assertEqual([False, True], usable)

    def test_the_last_list_stays_usable_while_the_vm_list_is_down(self):
        # Guards against an outage of the VM list that stops all requests.
        self.listing.update()
        self.answer = errors.Unavailable(reason="down")
        for _ in range(3):
            self.now += self.listing.update()
            self.assertGreater(self.listing.usable_until(), self.now)
        self.assertEqual(1, len(self.listing.vms))


class PausedSendTest(testtools.TestCase):
    """Tests with a pause of the process between the choice of a server and the send."""

    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.usable_until = 1.0
        service = types.SimpleNamespace(classes={}, retries=0, name="request-desk")
        self.backend_pool = backend_pool.BackendPool(
            service, random.Random(5), lambda: self.now, lambda: self.usable_until
        )
        self.backend_pool.set_servers([facts("b1")])
        self.client = request_fakes.Client(b"whole")

    def pause_after_choice(self, seconds):
        plain = self.backend_pool.acquire

        def acquire(*args):
            server = plain(*args)
            self.backend_pool.acquire = plain
            self.now += seconds
            return server

        self.backend_pool.acquire = acquire

    def start(self, deadline_s=30.0):
        request = request_fakes.make_request(deadline_s=deadline_s)
        attempt = forwarding.IdempotentCall(
            self.backend_pool, self.client, request, lambda: self.now
        )
        running = gevent.spawn(attempt.run)
        gevent.sleep(0.01)
        return running

    def test_a_server_that_left_during_the_pause_gets_no_request(self):
        # Guards against new requests to a server that is listed as leaving: a daemon
        # that was paused for 6 s sent one request to such a server.
        self.pause_after_choice(6.0)
        running = self.start()
        self.assertEqual([], self.client.sent)
        self.backend_pool.set_servers([facts("b1", leaving=True), facts("b2")])
        self.usable_until = self.now + 1.0
        self.backend_pool.dispatch()
        self.assertIsInstance(running.get(timeout=5), answers.Answer)
        ((server, _, _),) = self.client.sent
        self.assertEqual("b2:80", server)

    def test_waiting_requests_get_no_server_of_an_outdated_list(self):
        self.now = 2.0
        running = self.start()
        self.assertEqual([], self.client.sent)
        self.usable_until = 3.0
        self.assertIsInstance(running.get(timeout=5), answers.Answer)

    def test_a_pause_beyond_the_deadline_is_not_run(self):
        self.pause_after_choice(6.0)
        running = self.start(deadline_s=5.0)
        self.assertIsInstance(running.get(timeout=5), errors.NotRun)
        self.assertEqual([], self.client.sent)


def facts(name, leaving=False):
    return routing.ServerFacts(name, name, 80, "zug-1", leaving)


class PausedOwnerTest(request_fakes.RequestsCase):
    def test_a_started_request_waits_for_the_list_before_it_is_sent(self):
        # Guards against a request that a resumed owner sends to a server that left.
        self.start()
        pool = self.service._pool_of("request-desk")
        plain = self.partitions.begin_request

        def begin(request_id, server):
            pool.usable_until = lambda: float("-inf")  # paused here
            return plain(request_id, server)

        self.patch(self.partitions, "begin_request", begin)
        running = gevent.spawn(self.serve, idempotent=False)
        gevent.sleep(0.05)
        self.assertEqual([], self.client.sent)
        pool.set_servers([])
        pool.usable_until = lambda: float("inf")
        self.assertIsInstance(running.get(timeout=5), errors.NotRun)
        self.assertEqual([], self.client.sent)
