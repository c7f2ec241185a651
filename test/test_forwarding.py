import collections
import types

from test import request_fakes
from toucanspring import errors
from toucanspring.callers import answers, requests
from toucanspring.cell import rpc
from toucanspring.owners import outcomes, request_log


class ForwardingTest(request_fakes.RequestsCase):
    """Requests whose ID belongs to another process."""

    def forward(self, *results, deadline_s=0.5, clock=None):
        self.start()
        if clock is not None:  # the poller already sleeps in real time
            self.patch(requests, "gevent", clock.gevent)
            self.patch(requests, "uptime", types.SimpleNamespace(now=clock))
        self.core.find("claims").owner = "entry-2"
        script = collections.deque(results)
        self.calls = 0

        def call(method, body):
            self.calls += 1
            return script.popleft() if len(script) > 1 else script[0]

        self.core.find("peers").stream = call
        return self.serve(idempotent=False, deadline_s=deadline_s)

    def chunks(self, body=b"whole", truncated=False):
        stored = answers.Stored(
            team="desk", service="s", digest=b"", status=200, body=body
        )
        for part in requests._stream_answer(stored):
            yield part
            if truncated:
                raise rpc.StreamBrokenError("the owner ended")

    def test_a_broken_answer_of_the_owner_is_retried(self):
        # Guards against a truncated answer, and against a missing retry, which the
        # owner's log makes safe.
        result = self.forward(
            self.chunks(truncated=True), request_fakes.LOST, self.chunks()
        )
        self.check_whole(result)
        self.assertEqual(3, self.calls)

    def test_a_refusal_after_a_lost_call_leaves_the_outcome_unknown(self):
        # Guards against "not run" while the first call may still arrive.
        result = self.forward(request_fakes.LOST, errors.NotRun(reason="full"))
        self.assertIsInstance(result, errors.Unknown)

    def test_a_recorded_refusal_after_a_lost_call_is_not_run(self):
        # Guards against "unknown" for each request in progress during a handover.
        result = self.forward(
            request_fakes.LOST, errors.RecordedNotRun(reason="never seen")
        )
        self.assertEqual(errors.NotRun(reason="never seen"), result)

    def test_a_new_owner_is_searched_until_the_deadline(self):
        moved = errors.Refused(reason="not the owner")
        self.check_whole(self.forward(moved, request_fakes.UNREACHABLE, self.chunks()))
        clock = request_fakes.Clock()
        result = self.forward(moved, deadline_s=20.0, clock=clock)
        # Not `NotRun`: an earlier call with the same ID may have run.
        self.assertIsInstance(result, errors.Unavailable)
        self.assertGreater(clock.elapsed_s, 20.0 - 2 * requests.RETRY_S)
        self.assertLessEqual(clock.elapsed_s, 20.0)

    def test_the_owner_refuses_ids_of_other_partitions(self):
        self.start()
        self.core.find("claims").partitions = {}
        serve = self.core.find("peers").handlers["request"]
        result = serve(
            "entry-2", answers.encode(request_fakes.make_request(idempotent=False))
        )
        self.assertIsInstance(result, errors.Refused)
        self.assertEqual([], self.client.sent)

    def test_the_outcome_of_a_request_that_the_log_names_running_is_looked_up(self):
        self.start()
        start = outcomes.Start("10.0.0.9:80", "desk", "request-desk", b"")
        self.partitions.begin_answer = request_log.Running(start.encode(), 1, True)
        self.patch(self.partitions, "finish_request", lambda *_: None)
        self.client.lookups = collections.deque([b"late"])
        result = self.serve(idempotent=False)
        self.assertIsInstance(result, errors.Conflict)  # unknown content of the ID
        self.assertEqual([], self.client.sent)
