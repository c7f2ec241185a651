"""Tests that every request to the approval service ends."""

import gevent
import testtools

from test import coordinator_case as case
from test import test_coordinator_processes as processes
from toucanspring import errors, uptime
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


class DivisionTest(testtools.TestCase):
    """A wide request that several callers answer together."""

    NAMES = tuple(f"p{number}" for number in range(12))

    def setUp(self):
        super().setUp()
        network = processes.Network()
        self.approvals, self.replied = {}, []
        for name in self.NAMES:
            peers = network.join(name)
            peers.targets = {other: 0 for other in self.NAMES if other != name}
            self.approvals[name] = processes.Approvals()
            dispatcher = approval_dispatcher.ApprovalDispatcher(
                processes.Kernel(peers), self.approvals[name], self.replied.append
            )
            peers.handle(approval_dispatcher.METHOD, dispatcher.serve)
            if name == "p0":
                self.dispatcher = dispatcher

    def request(self, workers=60, **changes):
        cell = case.new_cell()
        cell.accept(case.job(JOB), 1.0)
        run = cell.jobs[JOB].steps[0, 0]
        run.approval_pending = True
        names = tuple(f"w{number}" for number in range(workers))
        cost_s = 0.3 + 0.005 * workers
        return plans.ApprovalRequest(
            run, names, cost_s, 1, 2.5, per_worker_s=0.005, **changes
        )

    def wait_for_end(self, request):
        with gevent.Timeout(5.0, AssertionError("no answer")):
            while request.step.approval_pending:
                gevent.sleep(0.005)

    def test_the_answers_of_all_calls_count(self):
        """Guards against workers without an answer, and an answer taken for the last.

        A step that may ask again before all answers asks for the same workers twice.
        """
        pending = []
        request = self.request()
        self.dispatcher._on_reply = lambda part: pending.append(
            part.step.approval_pending
        )
        self.dispatcher.submit(request)
        calls = len(self.dispatcher._in_flight)
        self.assertGreater(calls, 1)
        self.assertLessEqual(calls, len(self.NAMES) / 2)
        self.wait_for_end(request)
        self.assertEqual([True] * (calls - 1) + [False], pending)
        self.assertEqual(set(request.workers), set(request.step.allowed))
        self.assertEqual({}, self.dispatcher._in_flight)

    def test_a_failed_call_leaves_the_answers_of_the_others(self):
        """Guards against a caller that is lost and takes all answers with it."""
        failing = self.approvals["p1"]
        failing.failure = errors.Unavailable(reason="busy")
        request = self.request()
        self.dispatcher.submit(request)
        calls = len(self.dispatcher._in_flight)
        self.wait_for_end(request)
        known = len(request.step.allowed)
        self.assertEqual(len(request.workers) * (calls - 1) // calls, known)
        self.assertGreater(request.step.approval_retry_at, 0.0)

    def test_more_workers_than_a_call_takes_are_asked_for_in_turn(self):
        """Guards against a request that never ends where only one caller is left."""
        self.dispatcher._kernel.find("peers").targets.clear()
        self.approvals["p0"].ask = lambda *_request: {}["absent"]
        request = self.request(workers=150)
        self.dispatcher.submit(request)
        self.wait_for_end(request)
        self.assertEqual({}, self.dispatcher._in_flight)

    def test_one_request_takes_no_callers_that_others_wait_for(self):
        """Guards against a wide request that delays those behind it."""
        requests = [self.request() for _ in range(12)]
        for request in requests:
            self.dispatcher.submit(request)
        long = len(self.dispatcher._in_flight)
        most = len(self.NAMES) - approval_dispatcher.CALLERS_FOR_SHORT_REQUESTS
        self.assertLessEqual(long, most)
        for request in requests:
            self.wait_for_end(request)
            self.assertEqual(set(request.workers), set(request.step.allowed))

    def test_an_optional_request_is_dropped_without_a_free_caller(self):
        """Guards against renewals that delay first requests, and against steps that
        wait for the answer to a request that was dropped.
        """
        for _ in range(12):
            self.dispatcher.submit(self.request())
        optional = self.request(is_optional=True)
        self.dispatcher.submit(optional)
        self.assertFalse(optional.step.approval_pending)
        self.assertGreater(optional.step.approval_retry_at, 0.0)
        self.assertEqual(1, self.dispatcher.measure()["approvals_dropped"])
