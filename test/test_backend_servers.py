import collections
import random

import gevent
import msgspec
import testtools

from standins import backend_servers as standin
from standins import checker, events, ports
from toucanspring import errors
from toucanspring.adapters import backend_servers


class BackendServerTest(testtools.TestCase):
    """Runs the client against stand-in executors within this process."""

    def setUp(self):
        super().setUp()
        self.record = events.Record()
        rng = random.Random(3).random
        port = ports.find_ports(2)
        self.servers = [f"127.0.0.1:{port + index}" for index in range(2)]
        self.executors = [
            standin.Executor(
                f"e{index}", "127.0.0.1", port + index, 8, self.record, rng
            )
            for index in range(2)
        ]
        for executor in self.executors:
            executor.server.open()
            self.addCleanup(executor.server.close)
        self.client = self.connect()

    def connect(self, connections=7):
        client = backend_servers.HttpBackendServerClient("me", connections)
        self.addCleanup(client.close)
        return client

    def send(self, request_id, timeout_s=1.0, epoch=None, client=None, **work):
        answer = (client or self.client).send(
            self.servers[0], request_id, msgspec.json.encode(work), timeout_s, epoch
        )
        return answer.read() if isinstance(answer, backend_servers.Answer) else answer

    def runs(self, request_id):
        events = msgspec.json.decode(self.record.dump())["events"]
        return [
            event["executor"]
            for event in events
            if event["kind"] == "run" and event["request"] == request_id
        ]

    def violations(self):
        return checker.check({"servers": msgspec.json.decode(self.record.dump())})

    def test_each_caller_gets_the_answer_to_its_own_request(self):
        # Guards against answers that are mixed up between calls on shared connections.
        def ask(index):
            length = index % 5 * 50_000 + 1
            got = self.send(
                f"r/{index}?#", 5.0, answer_bytes=length, chunked=index % 2 == 0
            )
            return got == standin.expected_answer(f"r/{index}?#", length)

        calls = [gevent.spawn(ask, index) for index in range(60)]
        self.assertEqual([True] * 60, [call.get(timeout=10) for call in calls])
        self.assertEqual([], self.violations())

    def test_a_full_server_refuses_and_nothing_ran(self):
        clients = [self.connect() for _ in range(2)]
        calls = [
            gevent.spawn(
                self.send, f"r{index}", 5.0, client=clients[index % 2], run_ms=1000
            )
            for index in range(12)
        ]
        results = [call.get(timeout=5) for call in calls]
        refused = [
            index
            for index, result in enumerate(results)
            if result == errors.NotRun(reason="slots")
        ]
        self.assertEqual(4, len(refused))
        self.assertEqual(
            [], [self.runs(f"r{index}") for index in refused if self.runs(f"r{index}")]
        )
        self.assertEqual([], self.violations())

    def test_connections_beyond_the_limit_are_refused_without_running(self):
        clients = [self.connect(35) for _ in range(2)]
        calls = [
            gevent.spawn(
                self.send, f"r{index}", 5.0, client=clients[index % 2], run_ms=1500
            )
            for index in range(70)
        ]
        results = collections.Counter(
            result.reason if isinstance(result, errors.NotRun) else type(result)
            for result in (call.get(timeout=5) for call in calls)
        )
        self.assertEqual({bytes: 8, "slots": 56, "connections": 6}, dict(results))

    def test_truncated_answers_are_never_complete(self):
        for chunked in (False, True):
            for cut_at in (0, 1, 99_999):
                got = self.send(
                    "r", answer_bytes=100_000, chunked=chunked, cut_at=cut_at
                )
                self.assertIsInstance(got, errors.Ambiguous)
        stalled = self.send("r", 0.2, answer_bytes=100_000, stall_ms=500)
        self.assertIsInstance(stalled, errors.Ambiguous)
        whole = self.send("r", answer_bytes=100_000, stall_ms=50)
        self.assertEqual(100_000, len(whole))

    def test_iterating_a_truncated_answer_raises(self):
        # Guards against a truncated stream that seems to the caller to end normally.
        work = msgspec.json.encode({"answer_bytes": 100_000, "cut_at": 50_000})
        answer = self.client.send(self.servers[0], "r", work, 1.0)
        self.assertEqual(200, answer.status)
        self.assertRaises(backend_servers.BrokenAnswer, list, answer.chunks)

    def test_a_late_answer_is_ambiguous_and_can_be_looked_up(self):
        self.assertIsInstance(
            self.send("r1", 0.1, run_ms=300, answer="late"), errors.Ambiguous
        )
        found = self.client.lookup(self.servers[0], "r1", 1.0)
        self.assertEqual(backend_servers.Running(), found)
        gevent.sleep(0.3)
        found = self.client.lookup(self.servers[0], "r1", 1.0)
        self.assertEqual(b"late", found.read())
        unseen = self.client.lookup(self.servers[1], "r1", 1.0)
        self.assertIsInstance(unseen, errors.NotFound)

    def test_a_repeated_non_idempotent_request_gets_the_first_outcome(self):
        epoch = backend_servers.Epoch(2, 5)
        first = gevent.spawn(self.send, "r1", epoch=epoch, run_ms=100, answer="one")
        gevent.sleep(0.03)
        self.assertEqual(b"one", self.send("r1", epoch=epoch, answer="two"))
        self.assertEqual(b"one", self.send("r1", epoch=epoch, answer="three"))
        self.assertEqual(b"one", first.get(timeout=1))
        self.assertEqual(["e0"], self.runs("r1"))

    def test_after_an_epoch_is_raised_unseen_is_conclusive(self):
        # Guards against a paused owner whose request arrives after the lookup.
        server = self.servers[0]
        old, new = backend_servers.Epoch(2, 5), backend_servers.Epoch(2, 6)
        self.assertIsNone(self.client.raise_epoch(server, new))
        unseen = self.client.lookup(server, "r1", 1.0)
        self.assertIsInstance(unseen, errors.NotFound)
        self.assertEqual(errors.NotRun(reason="epoch"), self.send("r1", epoch=old))
        self.assertEqual(6, self.client.raise_epoch(server, old).epoch)
        other = backend_servers.Epoch(3, 1)
        self.assertEqual(64, len(self.send("r2", epoch=other)))
        self.assertEqual([], self.runs("r1"))

    def test_only_old_outcomes_are_removed(self):
        # Guards against a stand-in that grows without limit, or removes them too early.
        self.patch(standin, "MAX_REMEMBERED_BYTES", 1000)
        for name in ("r1", "r1", "r2", "r2", "r3"):
            self.send(name, answer_bytes=400)
        states = [
            type(self.client.lookup(self.servers[0], name, 1.0))
            for name in ("r1", "r2", "r3")
        ]
        kept = backend_servers.Answer
        self.assertEqual([errors.NotFound, kept, kept], states)

    def test_a_lost_answer_is_ambiguous_for_calls_and_lookups(self):
        self.executors[0].set_faults({"lose_answers": 2})
        self.assertIsInstance(self.send("r1"), errors.Ambiguous)
        lookup = self.client.lookup(self.servers[0], "r1", 1.0)
        self.assertIsInstance(lookup, errors.Unavailable)
        self.assertEqual(["e0"], self.runs("r1"))

    def test_a_refused_connection_did_not_run(self):
        self.send("r0")  # leaves an idle connection
        self.executors[0].set_faults({"down": True})
        self.assertIsInstance(self.send("r1"), errors.Unavailable)
        self.assertEqual([], self.runs("r1"))
        self.executors[0].set_faults({"down": False})
        self.assertEqual(64, len(self.send("r1")))

    def test_waiting_for_a_connection_is_not_a_failure_of_the_server(self):
        # Guards against a busy server that is reported as unreachable.
        client = self.connect(1)
        first = gevent.spawn(self.send, "r1", client=client, run_ms=150)
        gevent.sleep(0.02)
        waited = self.send("r2", 0.05, client=client)
        self.assertEqual("no free connection within 0.05 s", waited.reason)
        self.assertIsInstance(waited, errors.NotRun)
        first.join()

    def test_an_error_without_the_not_run_header_is_an_answer(self):
        # Guards against `NotRun` without a statement of the server that it did not run.
        answer = self.client.send(self.servers[0], "r1", b'{"status": 503}', 1.0)
        self.assertEqual(503, answer.status)
        self.assertEqual(["e0"], self.runs("r1"))

    def test_a_server_name_without_a_port_is_invalid(self):
        self.assertIsInstance(
            self.client.send("nowhere", "r1", b"", 1.0), errors.Invalid
        )
