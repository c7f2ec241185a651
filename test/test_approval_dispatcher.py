"""Tests that every request to the approval service ends."""

import gevent
import testtools

from test import coordinator_case as case
from test import test_coordinator_processes as processes
from toucanspring import uptime
from toucanspring.coordinator import approval_dispatcher, plans, state

JOB = "0" * 16
NAMES = ("one", "two", "three", "four")


class EndOfRequestTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.network = processes.Network()
        self.approvals = {}
        self.dispatchers = {}
        self.replied = []
        for name in NAMES:
            peers = self.network.join(name)
            peers.targets = {other: 0 for other in NAMES if other != name}
            self.approvals[name] = processes.Approvals()
            dispatcher = approval_dispatcher.ApprovalDispatcher(
                processes.Kernel(peers), self.approvals[name], self.replied.append
            )
            self.dispatchers[name] = dispatcher
            peers.handle(approval_dispatcher.METHOD, dispatcher.serve)

    def request(self, cost_s, priority=1):
        cell = case.new_cell()
        cell.accept(case.job(JOB), 1.0)
        run = cell.jobs[JOB].steps[0, 0]
        run.approval_pending = True
        return plans.ApprovalRequest(run, ("w1",), cost_s, priority, 2.5)

    def wait_for_replies(self, count):
        with gevent.Timeout(5.0, AssertionError("no answer")):
            while len(self.replied) < count:
                gevent.sleep(0.005)

    def test_an_unreadable_relayed_answer_ends_the_request(self):
        """Guards against a step that waits forever for an answer it cannot read."""
        for name in ("two", "three", "four"):
            self.network.members[name].handle(
                approval_dispatcher.METHOD, lambda *_call: b"\xc1"
            )
        request = self.request(0.5)
        self.dispatchers["one"].submit(request)
        self.wait_for_replies(1)
        self.assertFalse(request.step.approval_pending)
        self.assertEqual({}, self.dispatchers["one"]._in_flight)

    def test_an_exception_of_the_client_ends_the_request(self):
        """Guards against a step and a caller that stay occupied after the call."""
        self.approvals["one"].ask = lambda *_request: {}["absent"]
        for name in ("two", "three", "four"):
            self.network.members["one"].targets.pop(name)
        request = self.request(0.01)
        self.dispatchers["one"].submit(request)
        self.wait_for_replies(1)
        self.assertFalse(request.step.approval_pending)
        self.assertEqual({}, self.dispatchers["one"]._in_flight)

    def test_a_short_request_passes_long_ones_that_find_no_caller(self):
        """Guards against short requests that wait for callers kept for them."""
        for _ in range(3):
            self.dispatchers["one"].submit(self.request(0.5, priority=0))
        short = self.request(0.01, priority=1)
        self.dispatchers["one"].submit(short)
        in_flight = self.dispatchers["one"]._in_flight.values()
        self.assertEqual([0.01, 0.5, 0.5], sorted(in_flight))
        self.wait_for_replies(4)

    def test_a_request_is_sent_once_the_only_caller_may_be_tried_again(self):
        """Guards against requests that wait for another one to be submitted.

        The timer of the retry fired before the caller was free again.
        """
        for name in ("two", "three", "four"):
            self.network.members["one"].targets.pop(name)
        dispatcher = self.dispatchers["one"]
        dispatcher._retry_at[approval_dispatcher.LOCAL] = uptime.now() + 0.05
        dispatcher.submit(self.request(0.01))
        self.wait_for_replies(1)

    def test_a_request_of_a_job_that_has_ended_is_not_sent(self):
        """Guards against a service that is busy with jobs that were cancelled."""
        request = self.request(0.01)
        request.step.job.state = state.JobState.CANCELLED
        self.dispatchers["one"].submit(request)
        self.assertEqual({}, self.dispatchers["one"]._in_flight)

    def test_waiting_requests_cost_little_for_each_reply(self):
        """Guards against replies that each look at all of the waiting requests."""
        dispatcher = self.dispatchers["one"]
        for _ in range(300):
            dispatcher.submit(self.request(0.5))
        calls, find = [], dispatcher._free_caller
        dispatcher._free_caller = lambda cost_s: calls.append(1) or find(cost_s)
        dispatcher._dispatch()
        self.assertLessEqual(len(calls), 2)
