import pathlib
import socket
import struct
import tempfile

import gevent
import logbook
import testtools
import trustme
from gevent import socket as gevent_socket

from test import fake_tables
from toucanspring import errors, frames, outbox, stream, uptime, wire
from toucanspring.cell import peers, rpc


class PeersTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.logged = logbook.TestHandler()
        self.logged.push_application()
        self.addCleanup(self.logged.pop_application)

    def start(self, name, **values):
        service = peers.Service(None, fake_tables.settings_of(name, **values))
        service.start()
        self.addCleanup(service.stop)
        return service

    def pair(self, **values):
        """Return a caller and a callee that it is connected to."""
        caller, callee = self.start("caller", **values), self.start("callee", **values)
        caller.set_targets({"callee": ("127.0.0.1", callee.port)})
        self.assert_connected(caller)
        return caller, callee

    def assert_connected(self, caller, limit_s=4.0):
        made = fake_tables.wait_for(
            lambda: caller._connections["callee"]._outbox is not None, limit_s
        )
        self.assertTrue(made)

    def dial(self, service):
        sock = gevent_socket.create_connection(("127.0.0.1", service.port))
        self.addCleanup(sock.close)
        return sock

    def dial_as(self, service, **fields):
        """Return a raw stream after its hello."""
        values = {"process": "raw", "incarnation": 1, "cell": "cell", "token": "token"}
        hello = frames.encode(frames.Hello(**{**values, **fields}))
        opened = stream.Stream(self.dial(service), frames.decode)
        opened.send(frames.Frame(frames.Kind.HELLO, 0, hello))
        return opened

    def test_a_process_that_was_called_by_an_unknown_one_can_call_it(self):
        # Guards against callers that wait for an owner which is known by its heartbeats
        # only, since the store was lost before its member row was read.
        caller, callee = self.pair()
        caller.handle("echo", lambda sender, body: sender.encode() + body)
        answered = fake_tables.wait_for(
            lambda: callee.call("caller", "echo", b"x", 1) == b"calleex"
        )
        self.assertTrue(answered)

    def test_a_process_whose_stream_has_ended_is_not_dialled(self):
        caller, callee = self.pair()
        caller.stop()
        self.assertTrue(fake_tables.wait_for(lambda: not callee._callers))
        self.assertIsInstance(callee.call("caller", "echo", b"", 1), errors.Unavailable)
        self.assertEqual({}, callee._connections)

    def test_a_process_of_the_previous_build_is_not_dialled(self):
        callee = self.start("callee")
        opened = self.dial_as(callee)
        self.assertEqual(frames.Kind.WELCOME, opened.receive().kind)
        self.assertIsInstance(callee.call("raw", "echo", b"", 1), errors.Unavailable)
        self.assertEqual({}, callee._connections)

    def test_calls_return_answers_and_typed_failures(self):
        caller, callee = self.pair()
        conflict = errors.Conflict(key="k", current_version=2, given_version=1)
        callee.handle("echo", lambda sender, body: sender.encode() + body)
        callee.handle("conflict", lambda sender, body: conflict)
        callee.handle("broken", lambda sender, body: 1 / 0)
        self.assertEqual(b"callerx", caller.call("callee", "echo", b"x", 1))
        self.assertEqual(conflict, caller.call("callee", "conflict", b"", 1))
        broken = caller.call("callee", "broken", b"", 1)
        self.assertIsInstance(broken, errors.Unknown)
        missing = caller.call("callee", "missing", b"", 1)
        self.assertIsInstance(missing, errors.NotFound)
        unknown = caller.call("nobody", "echo", b"", 1)
        self.assertIsInstance(unknown, errors.Unavailable)
        long = caller.call("callee", "echo", b"x" * wire.MAX_FRAME_BYTES, 1)
        self.assertIsInstance(long, errors.Oversized)

    def test_answers_arrive_at_their_own_calls_in_any_order(self):
        # Guards against delivery of an answer to another call.
        caller, callee = self.pair()

        def answer(_sender, body):
            gevent.sleep(0.001 * (7 * int(body) % 20))
            return body

        callee.handle("echo", answer)
        bodies = [str(index).encode() for index in range(100)]
        calls = [gevent.spawn(caller.call, "callee", "echo", b, 5) for b in bodies]
        gevent.joinall(calls)
        self.assertEqual(bodies, [call.value for call in calls])

    def test_a_call_without_an_answer_is_ambiguous(self):
        caller, callee = self.pair()
        callee.handle("slow", lambda sender, body: gevent.sleep(5))
        result = caller.call("callee", "slow", b"", 0.1)
        self.assertIsInstance(result, errors.Ambiguous)
        self.assertEqual({}, caller._connections["callee"]._waiting)

    def test_an_abandoned_call_is_ambiguous_and_leaves_no_state(self):
        # Guards against calls to a former owner that wait for the whole timeout.
        caller, callee = self.pair()
        callee.handle("slow", lambda sender, body: gevent.sleep(600))
        self.patch(rpc, "ABANDON_CHECK_S", 0.01)
        results = iter([False, True])
        result = caller.call("callee", "slow", b"", 600, abandon=lambda: next(results))
        self.assertIsInstance(result, errors.Ambiguous)
        self.assertIn("abandoned", result.reason)
        self.assertEqual({}, caller._connections["callee"]._waiting)

    def test_a_call_on_a_broken_stream_is_ambiguous_and_the_peer_is_redialled(self):
        caller, callee = self.pair()
        callee.handle("slow", lambda sender, body: gevent.sleep(5))
        callee.handle("echo", lambda sender, body: body)
        call = gevent.spawn(caller.call, "callee", "slow", b"", 5)
        gevent.sleep(0.05)
        for accepted in list(callee._accepted):
            accepted.close()
        self.assertIsInstance(call.get(timeout=1), errors.Ambiguous)
        self.assert_connected(caller)
        self.assertEqual(b"x", caller.call("callee", "echo", b"x", 1))

    def test_a_call_that_was_never_sent_is_unavailable(self):
        # Guards against an ambiguous failure for work that did not start.
        caller, callee = self.pair()
        box = caller._connections["callee"]._outbox
        box._sender.kill()
        result = caller.call("callee", "echo", b"", 0.05)
        self.assertIsInstance(result, errors.Unavailable)
        box._max_bytes = 0
        full = caller.call("callee", "echo", b"", 0.05)
        self.assertEqual("queue to callee is full", full.reason)

    def test_a_long_answer_arrives_complete(self):
        caller, callee = self.pair()
        content = bytes(range(256)) * 12_000  # three frames
        callee.handle("bytes", lambda sender, body: content)
        callee.handle("parts", lambda sender, body: iter([content, b"", b"end"]))
        self.assertEqual(content, caller.call("callee", "bytes", b"", 5))
        parts = b"".join(caller.call_stream("callee", "parts", b"", 5))
        self.assertEqual(content + b"end", parts)
        self.assertEqual(content + b"end", caller.call("callee", "parts", b"", 5))

    def test_a_truncated_answer_is_never_taken_for_a_complete_one(self):
        caller, callee = self.pair()

        def fail_midway():
            yield b"part"
            raise ValueError("no more")

        def lose_stream():
            yield b"part"
            gevent.sleep(0.05)  # lets the part be sent
            for accepted in list(callee._accepted):
                accepted.close()

        for source in (fail_midway, lose_stream):
            callee.handle("parts", lambda sender, body, source=source: source())
            self.assert_connected(caller)
            chunks = caller.call_stream("callee", "parts", b"", 1)
            self.assertRaises(rpc.StreamBrokenError, list, chunks)
            self.assert_connected(caller)
            joined = caller.call("callee", "parts", b"", 1)
            self.assertIsInstance(joined, errors.Ambiguous)

    def test_an_end_marker_with_another_length_breaks_the_answer(self):
        # Guards against chunks lost by a defect of the callee.
        caller, _ = self.pair()
        target = caller._connections["callee"]
        first = frames.Frame(frames.Kind.CHUNK, 1, b"part")
        answers = rpc.queue.SimpleQueue()
        answers.put(frames.Frame(frames.Kind.END, 1, frames.encode(5)))
        chunks = target._chunks(target._outbox, 1, answers, first, 1)
        self.assertRaises(rpc.StreamBrokenError, list, chunks)

    def test_a_slow_reader_of_an_answer_blocks_only_its_own_chunks(self):
        # Guards against unbounded memory at either end.
        caller, callee = self.pair()
        produced = []

        def produce():
            for index in range(500):
                produced.append(index)
                yield b"x" * frames.CHUNK_BYTES

        callee.handle("parts", lambda sender, body: produce())
        callee.handle("echo", lambda sender, body: body)
        chunks = caller.call_stream("callee", "parts", b"", 5)
        next(chunks)
        gevent.sleep(0.2)
        self.assertTrue(len(produced) <= frames.WINDOW_CHUNKS + 1, len(produced))
        self.assertEqual(b"x", caller.call("callee", "echo", b"x", 1))
        self.assertEqual(499, sum(1 for _ in chunks))

    def test_an_abandoned_answer_ends_at_the_callee(self):
        caller, callee = self.pair()
        ended = []

        def produce():
            try:
                while True:
                    yield b"x" * frames.CHUNK_BYTES
            finally:
                ended.append(True)

        callee.handle("parts", lambda sender, body: produce())
        chunks = caller.call_stream("callee", "parts", b"", 5)
        next(chunks)
        chunks.close()
        self.assertTrue(fake_tables.wait_for(lambda: ended, 2))

    def test_notices_are_delivered_and_only_the_latest_is_queued(self):
        caller, callee = self.pair()
        got = []
        callee.handle_notice("state", lambda sender, body: got.append(body))
        box = caller._connections["callee"]._outbox
        for index in range(50):  # the sending greenlet does not run in between
            self.assertTrue(caller.notify("callee", "state", str(index).encode()))
        self.assertEqual(1, len(box._items))
        self.assertTrue(fake_tables.wait_for(lambda: got, 1))
        self.assertEqual([b"49"], got)

    def test_a_stalled_peer_costs_bounded_memory_and_time(self):
        self.patch(outbox, "SEND_TIMEOUT_S", 0.3)
        caller = self.start("caller")
        listener = gevent_socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 14)
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        self.addCleanup(listener.close)
        caller.set_targets({"callee": listener.getsockname()})
        sock, _ = listener.accept()
        self.addCleanup(sock.close)
        sock.recv(1000)
        welcome = frames.encode(frames.Welcome("callee", 1))
        sock.sendall(wire.encode(frames.Frame(frames.Kind.WELCOME, 0, welcome)))
        self.assert_connected(caller)
        sending = caller._connections["callee"]._stream._socket
        sending.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 16)
        body = b"x" * 900_000
        calls = [gevent.spawn(caller.call, "callee", "m", body, 2) for _ in range(40)]
        gevent.sleep(0)
        box = caller._connections["callee"]._outbox
        self.assertTrue(box._bytes <= outbox.MAX_QUEUED_BYTES)
        started = uptime.now()
        gevent.joinall(calls)
        self.assertTrue(uptime.now() - started < 1.5)
        kinds = {type(call.value) for call in calls}
        self.assertEqual({errors.Unavailable, errors.Ambiguous}, kinds)

    def test_too_many_calls_of_one_peer_are_refused(self):
        callee = self.start("callee")
        callee.handle("slow", lambda sender, body: gevent.sleep(5))
        opened = self.dial_as(callee)
        self.assertEqual(frames.Kind.WELCOME, opened.receive(1).kind)
        body = frames.encode(frames.Call("slow", b"x" * 900_000))
        for correlation in range(12):
            opened.send(frames.Frame(frames.Kind.CALL, correlation, body))
        refusal = opened.receive(2)
        self.assertIsInstance(frames.decode_failure(refusal.body), errors.Overloaded)

    def test_streams_without_a_valid_hello_are_closed(self):
        # Guards against unknown callers, other cells and a missing hello.
        self.patch(peers, "HANDSHAKE_TIMEOUT_S", 0.2)
        callee = self.start("callee")
        huge = struct.pack(">I", peers.MAX_HELLO_BYTES + 1)
        silent, garbage, oversized = (self.dial(callee) for _ in range(3))
        garbage.sendall(struct.pack(">I", 3) + b"\xc1\xc1\xc1")
        oversized.sendall(huge)
        for sock in (garbage, oversized, silent):
            sock.settimeout(2)
            self.assertEqual(b"", sock.recv(1))
        for fields in ({"token": "wrong"}, {"token": "\u00e9"}, {"cell": "other"}):
            answer = self.dial_as(callee, **fields).receive(2)
            self.assertIsInstance(answer, errors.Closed)
        self.assertEqual({}, callee._accepted)
        self.assertEqual(0, callee._pending_handshakes)

    def test_a_flood_of_silent_streams_does_not_lock_out_peers(self):
        self.patch(peers, "HANDSHAKE_TIMEOUT_S", 0.3)
        callee = self.start("callee")
        for _ in range(peers.MAX_PENDING_HANDSHAKES + 20):
            self.dial(callee)
        caller = self.start("caller")
        caller.set_targets({"callee": ("127.0.0.1", callee.port)})
        self.assert_connected(caller)

    def test_malformed_and_oversized_frames_close_only_their_stream(self):
        caller, callee = self.pair()
        callee.handle("echo", lambda sender, body: body)
        too_long = struct.pack(">I", wire.MAX_FRAME_BYTES + 1)
        for garbage in (struct.pack(">I", 1) + b"\xc1", too_long):
            opened = self.dial_as(callee)
            opened.receive(1)
            opened._socket.sendall(garbage)
            self.assertIsInstance(opened.receive(2), errors.Closed)
        # A well-formed frame with a body that is not a call is only refused.
        opened = self.dial_as(callee)
        opened.receive(1)
        opened.send(frames.Frame(frames.Kind.NOTICE, 0, b"\xc1"))
        opened.send(frames.Frame(frames.Kind.WINDOW, 7, b"\xc1"))
        opened.send(frames.Frame(frames.Kind.CALL, 1, b"\xc1"))
        refusal = frames.decode_failure(opened.receive(1).body)
        self.assertIsInstance(refusal, errors.Malformed)
        self.assertEqual(b"x", caller.call("callee", "echo", b"x", 1))

    def test_an_unexpected_process_at_an_address_is_not_used(self):
        # Guards against an address that now belongs to another VM.
        caller, callee = self.start("caller"), self.start("other")
        caller.set_targets({"callee": ("127.0.0.1", callee.port)})
        gevent.sleep(0.3)
        result = caller.call("callee", "echo", b"", 0.1)
        self.assertIsInstance(result, errors.Unavailable)

    def test_bytes_are_counted_across_reconnections(self):
        caller, callee = self.pair()
        callee.handle("echo", lambda sender, body: body)
        caller.call("callee", "echo", b"x" * 5000, 1)
        before = caller.traffic()
        self.assertTrue(min(before) > 5000)
        caller.set_targets({})
        self.assertEqual(before, caller.traffic())

    def test_streams_have_nagle_disabled(self):
        caller, callee = self.pair()
        for end in (caller._connections["callee"]._stream, *callee._accepted):
            flag = end._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            self.assertNotEqual(0, flag)

    def test_tls_is_used_when_certificates_are_given(self):
        authority, foreign = trustme.CA(), trustme.CA()
        directory = pathlib.Path(self.useFixture(TemporaryDirectory()).path)

        def write(name, issuer):
            certificate = issuer.issue_cert("127.0.0.1")
            paths = {
                "tls_certificate": directory / f"{name}.pem",
                "tls_key": directory / f"{name}.key",
                "tls_ca": directory / "ca.pem",
            }
            certificate.cert_chain_pems[0].write_to_path(paths["tls_certificate"])
            certificate.private_key_pem.write_to_path(paths["tls_key"])
            return {key: str(path) for key, path in paths.items()}

        authority.cert_pem.write_to_path(directory / "ca.pem")
        caller, callee = self.pair(**write("own", authority))
        callee.handle("echo", lambda sender, body: body)
        self.assertEqual(b"x", caller.call("callee", "echo", b"x", 1))
        self.assertFalse(self.logged.has_warnings)
        self.assertIsInstance(self.dial_as(callee).receive(2), errors.Closed)
        stranger = self.start("stranger", **write("foreign", foreign))
        stranger.set_targets({"callee": ("127.0.0.1", callee.port)})
        gevent.sleep(0.4)
        self.assertIsNone(stranger._connections["callee"]._outbox)

    def test_a_warning_says_that_streams_are_not_encrypted(self):
        self.start("plain")
        self.assertTrue(self.logged.has_warnings)


class TemporaryDirectory:
    """Fixture for testtools."""

    def setUp(self):
        self._directory = tempfile.TemporaryDirectory()
        self.path = self._directory.name

    def cleanUp(self):  # noqa: N802
        self._directory.cleanup()

    def getDetails(self):  # noqa: N802
        return {}
