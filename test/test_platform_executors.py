import dataclasses
import json

import gevent
import testtools

from test import coordinator_case as case
from test import platform_case
from test import test_coordinator_leadership as leadership_case
from toucanspring import errors
from toucanspring.coordinator import ports

import executors  # isort: skip


BROKEN = (b"", b"\xff", b"[]", b'{"clock_ms":5', b"[" * 1100 + b"]" * 1100)
ODD_TEXTS = (None, 5, ["a"], {}, "x" * 201)
ODD_RUNS = (None, "2", 1.5, -1, 10**20, 10**400, [2])
ODD_CHECKPOINTS = (5, ["c"], {}, "x" * 4097)
PERCENTS = (None, "41", -1, 101, 10**20, 10**400, [41])


class ExecutorsTest(testtools.TestCase):
    def serve(self, status, body=None):
        content = body if isinstance(body, bytes) else json.dumps(body or {}).encode()
        self.server = platform_case.Server(lambda *_request: (status, content))
        self.addCleanup(self.server.stop)
        # Calls to any incarnation, since the answers of the server tell of none.
        address = f"127.0.0.1:{self.server.port}"
        self.worker = case.entry(address=address, incarnation=0)
        return executors.Executors()

    def order(self, **changes):
        values = {
            "task": "a.0.1.17",
            "run": 2,
            "payload": "(text)",
            "lease_until_ms": 486000,
            "epoch": 7,
        }
        return ports.Start(**{**values, **changes})

    def test_a_start_names_the_target_instance(self):
        client = self.serve(200, {"clock_ms": 482113})
        answer = client.start(self.worker, self.order(checkpoint="c1"))
        self.assertEqual(ports.OrderDone(482113), answer)
        _, path, body, headers = self.server.requests[0]
        self.assertEqual("/toucanspring/run-start", path)
        self.assertEqual("w1", headers["toucanspring-target-instance"])
        self.assertEqual(
            {
                "task": "a.0.1.17",
                "run": 2,
                "spec": "(text)",
                "deadline_ms": 486000,
                "fence_token": 7,
                "checkpoint": "c1",
            },
            json.loads(body),
        )

    def test_refusals_are_mapped_to_the_coordinators_reasons(self):
        for status, word, reason in (
            (409, "fence", ports.FENCED),
            (409, "old", ports.OLD_RUN),
            (409, "late", ports.TOO_LATE),
            (409, "room", ports.NO_ROOM),
            (409, "ticket", ports.NO_TICKET),
            (421, "", ports.OTHER_INCARNATION),
            (429, "", ports.UNHEALTHY),
            (503, "", ports.UNHEALTHY),
            (400, "", ports.INVALID),
        ):
            client = self.serve(status, {"clock_ms": 1, "reason": word})
            answer = client.start(self.worker, self.order())
            self.assertEqual(ports.OrderRefused(reason=reason), answer)

    def test_a_failure_of_the_server_may_have_had_an_effect(self):
        client = self.serve(500)
        answer = client.start(self.worker, self.order())
        self.assertIsInstance(answer, errors.Ambiguous)

    def test_a_hold_answer_is_decoded(self):
        client = self.serve(
            200,
            {
                "clock_ms": 5,
                "born": 9,
                "running": [["a.0.0.0", 2, "c", 41, 900]],
                "ended": [[58, "a.0.0.9", 1, "done", ""]],
            },
        )
        reply = client.poll(self.worker, 7, 57, 6000, 1000)
        self.assertEqual((ports.RunningTask("a.0.0.0", 2, "c", 41),), reply.running)
        end = ports.EndedTask(58, "a.0.0.9", 1, "done", "")
        self.assertEqual((end,), reply.ended)
        self.assertEqual((5, 9), (reply.clock_ms, reply.incarnation))
        self.assertEqual(
            {"fence_token": 7, "last_seen": 57, "deadline_ms": 6000, "wait_ms": 1000},
            json.loads(self.server.requests[0][2]),
        )

    def test_a_poll_without_a_lease_sends_none(self):
        client = self.serve(200, {"clock_ms": 5})
        client.poll(self.worker, 7, 0, None, 0)
        self.assertEqual({"fence_token": 7}, json.loads(self.server.requests[0][2]))

    def test_a_malformed_hold_answer_is_a_failure(self):
        client = self.serve(200, {"clock_ms": 5, "running": [["a"]]})
        answer = client.poll(self.worker, 7, 0, None, 0)
        self.assertIsInstance(answer, errors.Malformed)

    def test_the_approval_service_returns_tickets(self):
        self.serve(200, {"approved": [["w1", "t1"]], "validity_ms": 3000})
        approvals = executors.Approvals(("127.0.0.1", self.server.port))
        self.assertEqual({"w1": "t1"}, approvals.ask("a.0.1", ["w1", "w2"], 1.0))
        self.assertEqual(
            {"step": "a.0.1", "workers": ["w1", "w2"]},
            json.loads(self.server.requests[0][2]),
        )

    def test_a_busy_approval_service_is_a_failure(self):
        self.serve(429)
        approvals = executors.Approvals(("127.0.0.1", self.server.port))
        self.assertIsInstance(approvals.ask("a.0.1", ["w1"], 1.0), errors.Unavailable)

    def test_each_odd_answer_of_an_executor_is_a_failure(self):
        # Guards against values that end the polling of the worker or the coordinator.
        run, end = ["a.0.0.0", 2, "c", 41], [58, "a.0.0.9", 1, "done", ""]
        bodies = [*BROKEN]
        for field, values in (
            ("clock_ms", (None, "5", 1.5, -1, 10**20, 10**400)),
            ("born", (None, "9", 1.5, -1, 10**20, 10**400)),
            ("running", (None, 5, {}, [5], [[]], ["a.0.0.0"])),
            ("ended", (None, 5, {}, [5], [[]], [[58, "a.0.0.9"]])),
        ):
            bodies += [{"clock_ms": 5, field: value} for value in values]
        for index, values in enumerate(
            (ODD_TEXTS, ODD_RUNS, ODD_CHECKPOINTS, PERCENTS)
        ):
            for value in values:
                odd = [*run[:index], value, *run[index + 1 :]]
                bodies.append({"clock_ms": 5, "running": [run, odd]})
        for index, values in enumerate(
            (ODD_RUNS, ODD_TEXTS, ODD_RUNS, (None, 5, []), ODD_CHECKPOINTS)
        ):
            for value in values:
                odd = [*end[:index], value, *end[index + 1 :]]
                bodies.append({"clock_ms": 5, "ended": [end, odd]})
        for body in bodies:
            client = self.serve(200, body)
            answer = client.poll(self.worker, 7, 0, None, 0)
            self.assertIsInstance(answer, errors.Malformed, str(body)[:200])

    def test_odd_answers_to_an_order_are_ambiguous(self):
        # Guards against RecursionError, which left the task starting for ever.
        for status in (200, 409):
            for body in (*BROKEN, {"clock_ms": 10**20}, {"reason": 5}):
                client = self.serve(status, body)
                answer = client.start(self.worker, self.order())
                self.assertIsInstance(answer, errors.Ambiguous, str(body)[:200])

    def test_odd_answers_of_the_approval_service_are_failures(self):
        for body in (
            *BROKEN,
            {},
            {"approved": {"w1": "t1"}},
            {"approved": [["w1"]]},
            {"approved": [["w1", 5]]},
            {"approved": [[["w1"], "t1"]]},
        ):
            self.serve(200, body)
            approvals = executors.Approvals(("127.0.0.1", self.server.port))
            answer = approvals.ask("a.0.1", ["w1"], 1.0)
            self.assertIsInstance(answer, errors.Malformed, str(body)[:200])


class OddAnswerTest(leadership_case.LeadershipCase):
    """Answers of one executor, decoded by the adapter, beside a good one."""

    def wait_for(self, condition, turns=1000):
        """Wait for a condition for 5 s, or longer while the event loop is held up.

        Two polls take some ten turns of the loop. With a limit of real time the test
        failed on a machine so busy that a turn took 0.9 s.
        """
        for _ in range(turns):
            if condition():
                return
            gevent.sleep(0.005)
        self.fail("the condition did not hold")

    def poll(self, worker, *arguments):
        if worker.id != "w2" or self.body is None:
            return self.good_poll(worker, *arguments)
        gevent.sleep(0.01)
        odd_worker = dataclasses.replace(
            self.odd_worker, incarnation=worker.incarnation
        )
        return self.adapter.poll(odd_worker, *arguments)

    def test_an_odd_answer_stops_neither_the_coordinator_nor_later_polls(self):
        # Guards against an answer that ends each epoch, or the polls of its worker.
        self.body = None
        server = platform_case.Server(lambda *_request: (200, self.body))
        self.addCleanup(server.stop)
        self.odd_worker = case.entry("w2", address=f"127.0.0.1:{server.port}")
        self.adapter = executors.Executors()
        self.good_poll, self.workers.poll = self.workers.poll, self.poll
        leader = self.coordinate()
        self.wait_for(lambda: all(x.confirmed for x in leader.cell.workers.values()))
        task = "1" * 16 + ".0.0.0"
        run, end = [task, 1, "", 5], [1, task, 1, "done", ""]
        for body in (
            {"clock_ms": 5, "born": 10**20},
            {"clock_ms": 10**20},
            {"clock_ms": 5, "running": [[[task], 1, "", 5]]},
            {"clock_ms": 5, "running": [[*run[:3], None]]},
            {"clock_ms": 5, "ended": [["1", *end[1:]]]},
            {"clock_ms": 5, "ended": [[1, 5, *end[2:]]]},
            {"clock_ms": 5, "ended": [[1, f"x.{'9' * 5000}.0.0", 1, "done", ""]]},
            b'{"clock_ms":5,"zz":' + BROKEN[-1] + b"}",
        ):
            self.body = body if isinstance(body, bytes) else json.dumps(body).encode()
            polls = len(server.requests)
            self.wait_for(lambda count=polls + 2: len(server.requests) >= count)
        self.wait_for(lambda: not leader.cell.workers["w2"].responsive)
        job_id = "3" * 16
        self.accept(case.step(8), job_id=job_id)
        self.wait_for(lambda: self.is_complete(job_id))
        self.body = None
        self.wait_for(lambda: leader.cell.workers["w2"].responsive)
        self.assertFalse(self.leaderships[-1][0].ready())
