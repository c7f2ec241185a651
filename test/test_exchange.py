import contextlib

import gevent
import testtools
from gevent import event, server

from standins import service
from toucanspring import errors, uptime
from toucanspring.adapters import exchange

OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: "


class RawServer:
    """Answers each connection with a script of byte strings, pauses and events."""

    def __init__(self, *script, end=True):
        self.requests = []
        self.connections = 0
        self._script = script
        self._end = end
        self._server = server.StreamServer(service.listen("127.0.0.1", 0), self._serve)
        self._server.start()
        self.port = self._server.server_port

    def _serve(self, sock, _address):
        self.connections += 1
        with contextlib.suppress(OSError):  # clients that time out reset connections
            self._answer(sock)

    def _answer(self, sock):
        while received := sock.recv(65536):
            self.requests.append(received)
            for step in self._script:
                if isinstance(step, bytes):
                    sock.sendall(step)
                elif isinstance(step, event.Event):
                    step.wait(5)
                else:
                    gevent.sleep(step)
            if self._end:
                sock.close()
                return

    def stop(self):
        self._server.stop(timeout=0)


class TrimTest(testtools.TestCase):
    # Guards against idle connections that take the descriptors of a process.
    def test_idle_connections_beyond_a_number_are_closed(self):
        release = event.Event()
        started = RawServer(release, OK_HEAD + b"0\r\n\r\n", end=False)
        self.addCleanup(started.stop)
        opened = exchange.Endpoint("127.0.0.1", started.port, 12)
        self.addCleanup(opened.close)
        calls = [gevent.spawn(opened.call, "GET", "/") for _ in range(12)]
        while started.connections < 12:
            gevent.sleep(0.005)
        release.set()
        gevent.joinall(calls)
        opened.trim(7)
        self.assertEqual(7, opened._pool._socket_queue.qsize())
        for _ in range(7):
            self.assertEqual(200, opened.call("GET", "/").status)
        self.assertEqual(12, started.connections)


class OpenIdleTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        started = RawServer(OK_HEAD + b"0\r\n\r\n", end=False)
        self.addCleanup(started.stop)
        self.endpoint = exchange.Endpoint("127.0.0.1", started.port, 2)
        self.addCleanup(self.endpoint.close)

    # Guards against a connection to a worker that has left, which nobody closes.
    def test_a_connection_to_a_closed_endpoint_does_not_stay(self):
        opening = gevent.spawn(self.endpoint.open_idle)
        gevent.sleep(0)  # until it waits for the server
        self.endpoint.close()
        opening.join(5)
        self.assertTrue(opening.successful())
        self.assertEqual(0, self.endpoint._pool._socket_queue.qsize())

    # Guards against checks that take connections beyond those that may be open.
    def test_as_many_are_opened_as_may_be(self):
        for _ in range(3):
            self.assertIsNone(self.endpoint.open_idle())
        self.assertEqual(2, self.endpoint._pool._socket_queue.qsize())
        self.assertFalse(self.endpoint._pool.exhausted)


class ExchangeTest(testtools.TestCase):
    def serve(self, *script, **options):
        started = RawServer(*script, **options)
        self.addCleanup(started.stop)
        return started

    def endpoint(self, port, connections=1):
        opened = exchange.Endpoint("127.0.0.1", port, connections, "tester")
        self.addCleanup(opened.close)
        return opened

    def exchange(self, *script, timeout_s=0.3, **options):
        port = self.serve(*script, **options).port
        return self.endpoint(port).call("POST", "/x", b"body", timeout_s=timeout_s)

    def test_a_refused_connection_certainly_has_no_effect(self):
        started = RawServer()
        started.stop()
        reply = self.endpoint(started.port).call("POST", "/x")
        self.assertIsInstance(reply, errors.Unavailable)

    def test_a_lost_answer_is_ambiguous(self):
        # Guards against repeating a call that may have taken effect.
        for script in ((), (b"HTTP/1.1 20",), (5.0,)):
            self.assertIsInstance(self.exchange(*script), errors.Ambiguous)

    def test_garbage_is_ambiguous(self):
        self.assertIsInstance(
            self.exchange(b"\xff\xfe nonsense\r\n\r\n"), errors.Ambiguous
        )

    def test_a_short_body_is_never_complete(self):
        # Guards against a truncated answer that is presented as complete.
        for script in (
            (OK_HEAD + b"10\r\n\r\n123456789",),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123",),
            (b"HTTP/1.1 200 OK\r\n\r\nthe end of this body is not declared",),
        ):
            self.assertIsInstance(self.exchange(*script), errors.Ambiguous, script)

    def test_a_complete_body_in_slow_pieces_is_accepted(self):
        pieces = [OK_HEAD + b"3\r\n\r\n", 0.02, b"a", 0.02, b"b", 0.02, b"c"]
        self.assertEqual(b"abc", self.exchange(*pieces).body)

    def test_a_slow_body_ends_at_the_deadline(self):
        # Guards against a sender that is just fast enough for each single read.
        pieces = [OK_HEAD + b"1000\r\n\r\n"] + [b"x", 0.05] * 100
        reply = self.exchange(*pieces)
        self.assertIsInstance(reply, errors.Ambiguous)
        self.assertIn("before the deadline", reply.reason)

    def test_an_oversized_answer_is_not_collected(self):
        port = self.serve(OK_HEAD + b"200000\r\n\r\n" + b"x" * 200_000).port
        reply = self.endpoint(port).call("GET", "/", max_bytes=100_000)
        self.assertIsInstance(reply, errors.Oversized)

    def test_an_endless_head_is_not_collected(self):
        # Guards against memory use that grows until the deadline.
        filler = b"X-Filler: " + b"x" * 65_536 + b"\r\n"
        reply = self.exchange(b"HTTP/1.1 200 OK\r\n", *[filler] * 1000, timeout_s=5)
        self.assertIn("head exceeds", reply.reason)

    def test_pieces_are_passed_on_as_they_arrive(self):
        # Guards against holding back a slow answer until a block is full.
        first_arrived = event.Event()
        script = [OK_HEAD + b"4\r\n\r\nab", first_arrived, b"cd"]
        opened = self.endpoint(self.serve(*script).port).open("GET", "/")
        blocks = opened.blocks()
        self.assertEqual(b"ab", next(blocks))
        first_arrived.set()
        self.assertEqual([b"cd"], list(blocks))

    def test_calls_that_wait_for_a_connection_of_the_pool_are_not_sent(self):
        # Guards against calls that are reported as ambiguous although they only waited
        # for a connection, and against connections beyond the limit.
        go_on = event.Event()
        started = self.serve(go_on, OK_HEAD + b"0\r\n\r\n", end=False)
        endpoint = self.endpoint(started.port, connections=2)

        def call(timeout_s):
            return gevent.spawn(endpoint.call, "POST", "/", timeout_s=timeout_s)

        served = [call(5.0) for _ in range(2)]
        while len(started.requests) < 2:
            gevent.sleep(0.01)
        waiting = [call(0.1) for _ in range(4)]
        late = [call(5.0) for _ in range(2)]
        refused = [type(each.get(timeout=5)) for each in waiting]
        self.assertEqual([errors.Unavailable] * 4, refused)
        self.assertEqual(2, len(started.requests))
        go_on.set()
        answered = [type(each.get(timeout=5)) for each in served + late]
        self.assertEqual([exchange.Reply] * 4, answered)
        self.assertEqual((2, 4), (started.connections, len(started.requests)))

    def test_nothing_is_sent_after_the_last_time_to_send(self):
        # Guards against a request that waits for a connection and is then sent to a
        # server that was chosen too long ago.
        started = self.serve(OK_HEAD + b"0\r\n\r\n", end=False)
        endpoint = self.endpoint(started.port)
        late = endpoint.open("POST", "/", send_by=uptime.now() - 0.001)
        self.assertIsInstance(late, errors.Overloaded)
        self.assertEqual(200, endpoint.call("POST", "/").status)
        self.assertEqual(1, started.connections)  # returned to the pool unused
        self.assertEqual(1, len(started.requests))

    def test_every_failure_returns_its_connection_to_the_pool(self):
        # Guards against a pool of one connection that stays empty after a failure.
        failing = self.serve(OK_HEAD + b"9\r\n\r\n1", 0.2)
        endpoint = self.endpoint(failing.port)
        for _ in range(3):
            endpoint.call("GET", "/", timeout_s=0.05)
            with gevent.Timeout(0.02, False):
                endpoint.call("GET", "/", timeout_s=5.0)
            killed = gevent.spawn(endpoint.call, "GET", "/", timeout_s=5.0)
            gevent.sleep(0.01)
            killed.kill()
            opened = endpoint.open("GET", "/", timeout_s=0.5)
            opened.close()
        self.assertIsInstance(endpoint.open("GET", "/"), exchange.OpenReply)

    def test_a_blocked_send_returns_its_connection_to_the_pool(self):
        # Guards against a pool that loses a connection with each blocked send.
        idle = server.StreamServer(
            service.listen("127.0.0.1", 0), lambda _sock, _address: gevent.sleep(9)
        )
        idle.start()
        self.addCleanup(idle.stop, timeout=0)
        endpoint = self.endpoint(idle.server_port)
        for _ in range(3):
            reply = endpoint.call("PUT", "/", bytes(1 << 24), timeout_s=0.05)
            self.assertIsInstance(reply, errors.Ambiguous)

    def test_the_rest_of_an_abandoned_answer_is_not_read_by_the_next_call(self):
        # Guards against a caller that receives the rest of the answer to another call.
        started = self.serve(OK_HEAD + b"200000\r\n\r\n" + b"x" * 200_000, end=False)
        endpoint = self.endpoint(started.port)
        opened = endpoint.open("GET", "/")
        self.assertTrue(next(opened.blocks()))
        opened.close()
        self.assertEqual(200_000, len(endpoint.call("GET", "/").body))
        self.assertEqual(2, started.connections)

    def test_a_connection_closed_while_idle_is_replaced(self):
        started = self.serve(OK_HEAD + b"2\r\n\r\nok")
        endpoint = self.endpoint(started.port)
        for _ in range(3):
            self.assertEqual(b"ok", endpoint.call("POST", "/").body)
            gevent.sleep(0.01)

    def test_late_bytes_on_an_idle_connection_are_not_the_next_answer(self):
        # Guards against an answer that arrives twice being taken for the next one.
        twice = OK_HEAD + b"1\r\n\r\n1"
        started = self.serve(twice, 0.01, twice, end=False)
        endpoint = self.endpoint(started.port)
        endpoint.call("GET", "/")
        gevent.sleep(0.05)
        endpoint.call("GET", "/")
        self.assertEqual(2, started.connections)

    def test_a_line_break_in_a_header_is_refused(self):
        endpoint = self.endpoint(1)
        self.assertRaises(
            ValueError, endpoint.call, "GET", "/", headers={"X-A": "1\r\nX-B: 2"}
        )

    def test_addresses(self):
        for text in ("10.0.0.1:80", "http://10.0.0.1:80", "http://10.0.0.1:80/"):
            self.assertEqual(("10.0.0.1", 80), exchange.parse_address(text))
        self.assertEqual(("::1", 80), exchange.parse_address("[::1]:80"))
        for text in ("", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "a:70000", "a:-1"):
            self.assertIsInstance(exchange.parse_address(text), errors.Invalid, text)

    def test_an_address_that_no_call_can_use_is_invalid(self):
        # Guards against ValueError and UnicodeError, here or later from the resolver.
        for text in (
            f"10.0.0.1:{'9' * 5000}",
            "10.0.0.1:\N{SUPERSCRIPT TWO}",
            "10.0.0.1:\N{ARABIC-INDIC DIGIT THREE}",
            "10.0.0.1:+80",
            "10.0.0.1: 80",
            ":80",
            "a..b:80",
            f"{'x' * 64}:80",
            f"{'x.' * 130}x:80",
            "a\0:80",
            "a\r\nX-B\n:80",
            "a b:80",
            "user@a:80",
            "\N{LATIN SMALL LETTER E WITH ACUTE}:80",
            "fe80::1%\N{LATIN SMALL LETTER E WITH ACUTE}:80",
            "[::g]:80",
            "[:80",
            "a/b:80",
            "https://a:80",
        ):
            found = exchange.parse_address(text)
            self.assertIsInstance(found, errors.Invalid, text[:40])

    def test_host_names_are_addresses(self):
        for text in ("localhost:80", "my_host-1.example:80", f"{'x' * 63}.a:80"):
            self.assertIsInstance(exchange.parse_address(text), tuple)


class PeerTest(testtools.TestCase):
    """Calls to one of the processes that may follow each other behind an address."""

    REPLY = OK_HEAD + b"0\r\n\r\n"
    serve, endpoint = ExchangeTest.serve, ExchangeTest.endpoint

    def setUp(self):
        super().setUp()
        self.server = self.serve(self.REPLY, end=False)
        self.client = self.endpoint(self.server.port, connections=3)

    def call(self, peer=None):
        return self.client.call("POST", "/x", peer=peer, timeout_s=2.0)

    def test_nothing_is_sent_to_a_peer_that_has_not_answered(self):
        # Guards against a call that reaches whatever process is at the address.
        self.call()
        self.assertIsInstance(self.call(peer=1), errors.Unconfirmed)
        self.client.confirm(2, self.call())
        self.assertIsInstance(self.call(peer=1), errors.Unconfirmed)
        self.assertEqual((2, 1), (len(self.server.requests), self.server.connections))

    def test_a_confirmed_connection_is_used_again(self):
        # Guards against a connection or a check for each call.
        self.client.confirm(1, self.call())
        for _ in range(5):
            self.assertEqual(200, self.call(peer=1).status)
        self.assertEqual((6, 1), (len(self.server.requests), self.server.connections))

    def test_a_connection_opened_after_the_answered_request_is_not_confirmed(self):
        # Guards against a call on a connection that a later process has accepted.
        release = event.Event()
        self.server = self.serve(OK_HEAD + b"1\r\n\r\n", release, b"x", end=False)
        self.client = self.endpoint(self.server.port, connections=3)
        early, late = (self.client.open("POST", "/x") for _ in range(2))
        release.set()
        reply = exchange.read_reply(early, 100)
        exchange.read_reply(late, 100)
        self.client.confirm(1, reply)
        release.clear()
        held = self.client.open("POST", "/x", peer=1)
        self.assertIsInstance(
            self.client.open("POST", "/x", peer=1), errors.Unconfirmed
        )
        release.set()
        # The answer to this later request confirms the other connection as well.
        self.client.confirm(1, exchange.read_reply(held, 100))
        release.clear()
        both = [self.client.open("POST", "/x", peer=1) for _ in range(2)]
        release.set()
        for each in both:
            self.assertEqual(200, exchange.read_reply(each, 100).status)
        self.assertEqual(2, self.server.connections)

    def test_an_answer_that_is_read_late_does_not_replace_a_later_peer(self):
        # Guards against calls for a process that has ended.
        first, second = self.call(), self.call()
        self.client.confirm(2, second)
        self.client.confirm(1, first)
        self.assertEqual(200, self.call(peer=2).status)
        self.assertIsInstance(self.call(peer=1), errors.Unconfirmed)

    def test_a_broken_idle_connection_is_not_replaced(self):
        # Guards against the first call to the process that follows.
        self.server = self.serve(self.REPLY, end=True)
        self.client = self.endpoint(self.server.port)
        self.client.confirm(1, self.call())
        gevent.sleep(0.05)
        self.assertIsInstance(self.call(peer=1), errors.Unconfirmed)
        self.assertEqual(1, self.server.connections)
