"""Order of approval requests and their division into calls, in simulated time."""

import heapq
import itertools

import testtools

from test import coordinator_case as case
from toucanspring.coordinator import approval_queue, plans, state

NARROW_S, WIDEST_S = 0.4, 0.9
CALLERS = 2


class CheapestFirst:
    """The order of commit 302112e: by priority, then the cheapest request first."""

    def __init__(self):
        self._waiting, self._sequence = [], itertools.count()

    def add(self, request, now):
        entry = (request.priority, request.cost_s, next(self._sequence), now, request)
        heapq.heappush(self._waiting, entry)

    def pop(self, now):
        if not self._waiting:
            return None
        *_, submitted_at, request = heapq.heappop(self._waiting)
        return request, now - submitted_at


def make_request(cost_s, workers=1, **changes):
    cell = case.new_cell()
    cell.accept(case.job("0" * 16), 1.0)
    run = cell.jobs["0" * 16].steps[0, 0]
    values = {"priority": 1, "validity_s": 2.5, "slack_s": 2.0, **changes}
    names = tuple(f"w{number}" for number in range(workers))
    return plans.ApprovalRequest(run, names, cost_s, **values)


def run_service(queue, arrivals, callers=CALLERS, end=60.0):
    """Return when each request was sent; arrivals are (time, request) in order."""
    arrivals = list(arrivals)
    free_at, sent = [0.0] * callers, {}
    heapq.heapify(free_at)
    while free_at[0] < end:
        now = free_at[0]
        while arrivals and arrivals[0][0] <= now:
            when, request = arrivals.pop(0)
            queue.add(request, when)
        found = queue.pop(now)
        if found is None:
            if not arrivals:
                break
            heapq.heapreplace(free_at, arrivals[0][0])
            continue
        sent[found[0]] = now
        heapq.heapreplace(free_at, now + found[0].cost_s)
    return sent


def load_step(widest, rate):
    """Return a load of narrow requests from 0 s on, beside the widest one at 1 s."""
    narrow = [
        (number / rate, make_request(NARROW_S)) for number in range(int(rate * 55))
    ]
    return sorted([*narrow, (1.0, widest)], key=lambda each: each[0])


class OrderTest(testtools.TestCase):
    def test_the_widest_request_is_sent_beside_a_load_of_narrower_ones(self):
        """Guards against a gang whose request is passed by all cheaper ones.

        In a trial, 10 of 99 gangs had not started after 24 s.
        """
        widest = make_request(WIDEST_S)
        rate = 1.05 * CALLERS / NARROW_S
        before = run_service(CheapestFirst(), load_step(widest, rate))
        self.assertGreater(before.get(widest, 60.0) - 1.0, 24.0)
        after = run_service(approval_queue.ApprovalQueue(), load_step(widest, rate))
        self.assertLess(after[widest] - 1.0, 3.0)

    def test_no_request_waits_for_ever_beside_more_urgent_ones(self):
        """Guards against a late request of low priority that is never sent."""
        last = make_request(WIDEST_S, priority=9, slack_s=-50.0)
        urgent = [
            (number / 20, make_request(NARROW_S, priority=0, waited_s=60.0))
            for number in range(1200)
        ]
        load = sorted([*urgent, (1.0, last)], key=lambda each: each[0])
        before = run_service(CheapestFirst(), load)
        after = run_service(approval_queue.ApprovalQueue(), load)
        self.assertEqual((False, True), (last in before, last in after))

    def test_a_place_only_improves_while_a_request_waits(self):
        """Guards against a request that newer ones pass however long it has waited."""
        bound_s = (
            approval_queue.MAX_CREDIT_S
            + approval_queue.PRIORITY_PATIENCE_S * approval_queue.MAX_PRIORITIES
            + approval_queue.MAX_COST_PATIENCE_S
            + approval_queue.MAX_SLACK_PATIENCE_S
            + approval_queue.TOP_LATE_PATIENCE_S
        )
        worst = make_request(9.0, priority=9, slack_s=-1.0)
        best = make_request(0.0, priority=0, slack_s=0.0, waited_s=99.0)
        slack = make_request(9.0, priority=9, slack_s=99.0)
        for request in (worst, slack):
            place = approval_queue.send_by(request, 10.0)
            self.assertLess(place, approval_queue.send_by(best, 10.0 + bound_s + 0.01))

    def test_less_slack_less_width_and_more_urgency_come_first(self):
        """Guards against requests in the order of arrival only."""
        queue = approval_queue.ApprovalQueue()
        usual = make_request(0.5)
        for changes in ({"slack_s": 0.5}, {"priority": 0}, {"waited_s": 1.0}):
            first = make_request(0.5, **changes)
            queue.add(usual, 1.0)
            queue.add(first, 1.0)
            self.assertIs(first, queue.pop(1.0)[0])
            self.assertIs(usual, queue.pop(1.0)[0])
        late, narrow = make_request(0.5, slack_s=-1.0), make_request(0.3)
        for each in (late, usual, narrow):
            queue.add(each, 1.0)
        order = [queue.pop(1.0)[0] for _ in range(3)]
        self.assertEqual([narrow, usual, late], order)

    def test_more_callers_send_no_request_later_on_the_whole(self):
        """Guards against an order with which more capacity serves less."""
        load = load_step(make_request(WIDEST_S), 6.0)
        sums = []
        for callers in (2, 3, 4):
            sent = run_service(approval_queue.ApprovalQueue(), load, callers)
            waits = [sent.get(request, 60.0) - when for when, request in load]
            sums.append(sum(waits))
        self.assertEqual(sorted(sums, reverse=True), sums)

    def test_requests_of_ended_jobs_are_dropped(self):
        """Guards against a service that is busy with jobs that were cancelled."""
        queue, ended = approval_queue.ApprovalQueue(), make_request(0.5)
        queue.add(ended, 1.0)
        ended.step.job.state = state.JobState.CANCELLED
        self.assertIsNone(queue.pop(1.0))


class DivisionTest(testtools.TestCase):
    def wide(self, workers):
        per_worker_s = 0.0049
        cost_s = 0.34 + per_worker_s * workers
        return make_request(cost_s, workers, per_worker_s=per_worker_s)

    def test_the_parts_name_each_worker_once_and_cost_less(self):
        """Guards against workers that are lost when a request is divided."""
        request = self.wide(176)
        calls = approval_queue.count_calls(request, 20)
        parts = approval_queue.split(request, calls)
        named = [name for part in parts for name in part.workers]
        self.assertEqual(sorted(request.workers), sorted(named))
        self.assertLess(max(part.cost_s for part in parts), 0.65)
        self.assertGreater(request.cost_s, 1.2)
        for part in parts:
            expected = 0.34 + 0.0049 * len(part.workers)
            self.assertAlmostEqual(expected, part.cost_s)

    def test_a_request_is_divided_only_where_that_shortens_it(self):
        """Guards against calls that keep callers busy and bring nothing forward."""
        self.assertEqual(1, approval_queue.count_calls(self.wide(10), 20))
        self.assertEqual(1, approval_queue.count_calls(self.wide(100), 1))
        self.assertLessEqual(approval_queue.count_calls(self.wide(100), 20), 6)
        cheap = make_request(0.2, 100, per_worker_s=0.0001)
        self.assertEqual(1, approval_queue.count_calls(cheap, 20))

    def test_a_call_that_saves_little_is_not_made(self):
        """Guards against callers that are all busy with parts of a few requests.

        Each further call takes its caller as long as the service decides.
        """
        request = make_request(0.9 + 0.008 * 169, 169, per_worker_s=0.008)
        calls = approval_queue.count_calls(request, 20)
        parts = approval_queue.split(request, calls)
        least = 2 * 0.9 + 0.008 * 169
        self.assertLess(sum(part.cost_s for part in parts), 1.5 * least)

    def test_no_call_names_more_workers_than_the_service_takes(self):
        """Guards against a wide request that the service refuses."""
        request = self.wide(200)
        parts = approval_queue.split(request, approval_queue.count_calls(request, 1))
        self.assertEqual([100, 100], [len(part.workers) for part in parts])


class LoadTest(testtools.TestCase):
    def test_the_load_follows_a_burst_and_decays(self):
        """Guards against short requests that wait while long ones have all callers."""
        load = approval_queue.Load()
        for number in range(800):
            load.add(0.025, number / 100)  # 100 a second, each 25 ms
        self.assertAlmostEqual(2.5, load.value(8.0), delta=0.1)
        self.assertLess(load.value(16.0), 0.1)


class LateRequestTest(testtools.TestCase):
    """Urgent requests of 25 ms each, twice as many as one caller can send."""

    # Guards against a queue that sends each request just too late: in order of arrival,
    # all of them wait until their slack is used up.
    def test_requests_in_time_go_before_those_that_are_late_by_waiting(self):
        load = [
            (0.0125 * number, make_request(0.025, priority=0, slack_s=0.5))
            for number in range(600)
        ]
        in_time = {}
        for name, queue in (
            ("arrival", ArrivalQueue()),
            ("yielding", approval_queue.ApprovalQueue()),
        ):
            sent = run_service(queue, load, 1)
            in_time[name] = sum(
                sent.get(request, 60.0) - when < 0.5 for when, request in load
            )
        self.assertGreater(in_time["yielding"], 3 * in_time["arrival"])
        self.assertGreater(in_time["yielding"], 250)


class ArrivalQueue:
    """Sends requests in the order of their arrival."""

    def __init__(self):
        self.waiting = []

    def __len__(self):
        return len(self.waiting)

    def add(self, request, _now):
        self.waiting.append(request)

    def pop(self, now):
        return (self.waiting.pop(0), now) if self.waiting else None
