import json

import testtools

from test import coordinator_case as case
from test import platform_case
from toucanspring import errors
from toucanspring.coordinator import ports

import executors  # isort: skip


class ExecutorsTest(testtools.TestCase):
    def serve(self, status, body=None):
        content = json.dumps(body or {}).encode()
        self.server = platform_case.Server(lambda *_request: (status, content))
        self.addCleanup(self.server.stop)
        self.worker = case.entry(address=f"127.0.0.1:{self.server.port}")
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
