"""Limits of starts and the margin of tickets, from measured times; controlled time."""

import dataclasses

import gevent
import gevent.event
import testtools

from standins import lease_workers
from test import coordinator_case as case
from test import test_coordinator_leadership as leadership_tests
from toucanspring.coordinator import (
    approvals,
    catalogue,
    dispatch,
    order_pacing,
    planner,
    plans,
    ports,
)

JOB = "0" * 16
VALIDITY_S = 2.0
APPROVED = catalogue.Approval(
    decision_s=0.05, per_worker_s=0.001, validity_s=VALIDITY_S
)


class OrderPacingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.pacing = order_pacing.OrderPacing()

    def record_orders(self, order_s, count=order_pacing.ORDER_SAMPLES):
        for _ in range(count):
            self.pacing.record_order(order_s)

    def test_the_ticket_margin_follows_slow_writes(self):
        self.assertEqual(
            order_pacing.MIN_TICKET_MARGIN_S, self.pacing.ticket_margin_s()
        )
        self.pacing.record_write(0.4)
        self.assertAlmostEqual(0.45, self.pacing.ticket_margin_s())
        for _ in range(order_pacing.WRITE_SAMPLES):
            self.pacing.record_write(0.01)
        self.assertEqual(
            order_pacing.MIN_TICKET_MARGIN_S, self.pacing.ticket_margin_s()
        )

    def test_the_ticket_margin_follows_late_orders_up_to_a_limit(self):
        for _ in range(order_pacing.DELAY_SAMPLES):
            self.pacing.record_delay(0.6)
        self.assertAlmostEqual(0.65, self.pacing.ticket_margin_s())
        for _ in range(order_pacing.DELAY_SAMPLES):
            self.pacing.record_delay(5.0)
        self.assertEqual(
            order_pacing.MAX_TICKET_MARGIN_S, self.pacing.ticket_margin_s()
        )

    def test_a_few_late_orders_do_not_change_the_ticket_margin(self):
        for number in range(order_pacing.DELAY_SAMPLES):
            self.pacing.record_delay(0.5 if number % 20 == 0 else 0.01)
        self.assertEqual(
            order_pacing.MIN_TICKET_MARGIN_S, self.pacing.ticket_margin_s()
        )

    def test_a_round_after_a_slow_write_may_start_more(self):
        """Guards against 240 starts a second while each round takes 0.5 s."""
        self.record_orders(0.01, 10 * order_pacing.ORDER_SAMPLES)
        self.pacing.record_write(0.5)
        first = self.pacing.start_limit(0, 0, 100)
        self.assertGreaterEqual(first, 200)
        self.assertEqual(
            order_pacing.MAX_STARTS_PER_ROUND, self.pacing.start_limit(0, 0, first)
        )

    def test_a_calm_round_may_start_as_many_as_before(self):
        self.record_orders(0.01)
        self.pacing.record_write(0.01)
        self.assertEqual(
            order_pacing.MIN_STARTS_PER_ROUND, self.pacing.start_limit(0, 0, 0)
        )

    def test_waiting_orders_reduce_the_starts_of_a_round(self):
        """Guards against intents that get old before their orders are sent."""
        self.pacing.record_write(0.5)
        full = order_pacing.FIRST_IN_FLIGHT
        self.assertEqual(70, self.pacing.start_limit(30, full, 100))
        self.assertEqual(1, self.pacing.start_limit(300, full, 100))
        self.assertEqual(1, self.pacing.start_limit(0, full, 0))
        self.assertEqual(40, self.pacing.start_limit(0, full - 40, 0))

    def test_the_waiting_orders_are_bounded_at_any_rate_of_dispatch(self):
        self.pacing.record_write(0.5)
        slots = order_pacing.FIRST_IN_FLIGHT
        for rate in (10, 40, 100):  # orders that end during a round
            unfinished = ended = 0
            for _ in range(50):
                backlog = max(0, unfinished - slots)
                in_flight = min(unfinished, slots)
                unfinished += self.pacing.start_limit(backlog, in_flight, ended)
                ended = min(unfinished, rate)
                unfinished -= ended
            self.assertLessEqual(unfinished, 2 * slots)

    def test_fewer_orders_are_in_flight_while_most_are_slow(self):
        """Guards against orders without an answer because they fill the link."""
        self.record_orders(0.35, 20 * order_pacing.ORDER_SAMPLES)
        self.assertEqual(order_pacing.MIN_IN_FLIGHT, self.pacing.max_in_flight)
        self.record_orders(0.01, 20 * order_pacing.ORDER_SAMPLES)
        self.assertEqual(order_pacing.MAX_IN_FLIGHT, self.pacing.max_in_flight)

    def test_some_silent_workers_do_not_reduce_the_orders_in_flight(self):
        for number in range(20 * order_pacing.ORDER_SAMPLES):
            self.pacing.record_order(0.4 if number % 3 == 0 else 0.01)
        self.assertEqual(order_pacing.MAX_IN_FLIGHT, self.pacing.max_in_flight)


class PlannerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cell = case.new_cell(
            case.entry("w1"),
            catalogue_=case.configure(case.queue(approval=APPROVED)),
        )
        self.cell.accept(case.job(JOB, case.step(4)), 1.0)
        self.planner = planner.Planner(self.cell)
        [self.request] = self.planner.plan(1.0).approval_requests

    def approve(self, expires_at):
        plans.record_approvals(self.request, {"w1": "t"}, expires_at)

    def test_a_ticket_that_expires_before_the_order_arrives_is_not_used(self):
        """Guards against starts refused for their ticket while rounds are slow."""
        self.approve(1.3)
        self.planner.approvals.ticket_margin_s = 0.4
        plan = self.planner.plan(1.0)
        self.assertEqual([], plan.starts)
        self.assertEqual(1, len(plan.approval_requests))

    def test_a_fresh_ticket_is_used_however_late_orders_arrive(self):
        self.approve(1.0 + VALIDITY_S * approvals.MIN_USABLE_VALIDITY + 0.01)
        self.planner.approvals.ticket_margin_s = 60.0
        self.assertEqual(4, len(self.planner.plan(1.0).starts))

    def test_a_round_plans_no_more_than_its_limit(self):
        self.approve(3.0)
        self.planner.max_starts = 3
        self.assertEqual(3, len(self.planner.plan(1.0).starts))


class Leader:
    """A coordinator that does nothing by itself."""

    epoch = 1

    def __init__(self, cell):
        self.cell = cell

    def may_renew(self, _now):
        return True

    def may_start(self, _now):
        return True

    def wake(self):
        pass


class QueuedStartTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 10.0
        self.cell = case.new_cell(
            case.entry("w1"),
            catalogue_=case.configure(case.queue(approval=APPROVED)),
            now=self.now,
        )
        spec = case.job(JOB, case.step(1))
        self.cell.accept(spec, self.now)
        cell_planner = planner.Planner(self.cell)
        [request] = cell_planner.plan(self.now).approval_requests
        plans.record_approvals(request, {"w1": "t"}, self.now + VALIDITY_S)
        [self.start] = cell_planner.plan(self.now).starts
        self.workers = lease_workers.LeaseWorkers()
        self.workers.add(self.cell.workers["w1"].entry)
        self.workers.jobs[JOB] = spec
        self.dispatcher = dispatch.Dispatcher(
            Leader(self.cell), self.workers, 6000, lambda: self.now
        )

    def send(self):
        with self.dispatcher:
            self.dispatcher.start(self.start, 10.0)
            gevent.sleep(0.05)

    def test_a_start_with_a_valid_ticket_is_sent(self):
        self.send()
        self.assertEqual(1, self.workers.starts)
        self.assertEqual([case.RUNNING], case.phases(self.cell))

    def test_a_start_whose_ticket_has_expired_is_not_sent(self):
        """Guards against orders that their worker refuses for the ticket."""
        self.now += VALIDITY_S
        self.send()
        self.assertEqual(0, self.workers.starts)
        self.assertEqual([case.WAITING], case.phases(self.cell))
        self.assertGreater(self.dispatcher.pacing.ticket_margin_s(), 0.9)

    def test_a_start_uses_a_ticket_that_was_renewed_while_it_waited(self):
        self.now += VALIDITY_S
        self.start.step.tickets["w1"] = ports.Ticket("newer", self.now + VALIDITY_S)
        sent = []
        start = self.workers.start
        self.workers.start = lambda worker, order: (
            sent.append(order.ticket),
            start(worker, order),
        )[1]
        self.send()
        self.assertEqual(["newer"], sent)

    def test_a_start_is_not_sent_to_a_worker_that_has_just_failed(self):
        self.cell.workers["w1"].backoff_until = self.now + 0.5
        self.send()
        self.assertEqual(0, self.workers.starts)
        self.assertEqual([case.WAITING], case.phases(self.cell))

    # Guards against starts on workers that have become draining, have left or are out
    # of service since the start was planned.
    def test_a_start_is_not_sent_to_a_draining_worker(self):
        self.cell.workers["w1"].entry = case.entry("w1", draining=True)
        self.assert_not_sent()

    def test_a_start_is_not_sent_to_a_worker_that_has_left(self):
        self.cell.mark_unregistered("w1")
        self.assert_not_sent()

    def test_a_start_is_not_sent_to_a_zone_out_of_service(self):
        self.cell.zones_out = frozenset({"zone-a"})
        self.assert_not_sent()

    def assert_not_sent(self):
        self.send()
        self.assertEqual(0, self.workers.starts)
        self.assertEqual([case.WAITING], case.phases(self.cell))

    def test_a_start_on_a_worker_that_was_paused_when_it_was_planned_is_sent(self):
        """Guards against plans that use a paused worker and are never carried out."""
        self.cell.workers["w1"].backoff_until = self.now + 0.5
        self.start = dataclasses.replace(self.start, backoff_until=self.now + 0.5)
        self.send()
        self.assertEqual(1, self.workers.starts)

    def test_starts_are_sent_again_after_orders_were_slower_than_tickets_last(self):
        """Guards against tickets that all count as expired for good."""
        self.dispatcher.pacing.order_s = 2 * VALIDITY_S
        cell_planner = planner.Planner(self.cell)
        for _ in range(5):
            self.send()
            if self.workers.starts:
                return
            plan = cell_planner.plan(self.now)
            [self.start] = plan.starts
        self.fail("no start was sent")

    def test_members_of_a_gang_that_lost_one_are_not_sent(self):
        """Guards against members that start only to be stopped again."""
        cell = case.new_cell(case.entry("w1"))
        spec = case.job(JOB, case.step(2, gang=True))
        cell.accept(spec, self.now)
        first, second = planner.Planner(cell).plan(self.now).starts
        cell.cancel_start(first.step, first.task, first.run, self.now)
        self.workers.jobs[JOB] = spec
        self.dispatcher = dispatch.Dispatcher(
            Leader(cell), self.workers, 6000, lambda: self.now
        )
        self.start = second
        self.send()
        self.assertEqual(0, self.workers.starts)
        self.assertEqual([case.WAITING] * 2, case.phases(cell))

    def test_a_start_that_ends_in_an_internal_error_is_stopped(self):
        """Guards against a task that stays allocated since no order was confirmed."""

        def fail(*_order):
            raise RuntimeError("internal")

        self.workers.start = fail
        self.send()
        self.assertEqual([case.STOPPING], case.phases(self.cell))
        self.assertEqual(1, len(self.cell.stops))


class SlowWriteTest(leadership_tests.LeadershipCase):
    def test_no_start_is_sent_with_an_expired_ticket_while_writes_are_slow(self):
        """Guards against refused starts, each with a write, an order and a requeue."""
        self.directory.catalogue = case.configure(case.queue(approval=APPROVED))
        clock = leadership_tests.leadership.uptime.now
        remaining_s = [0.2, 0.2, 0.2, VALIDITY_S]
        late = []
        transact, start = self.store.transact, self.workers.start

        def transact_slowly(*changes):
            gevent.sleep(0.3)
            return transact(*changes)

        def check(worker, order):
            late.append(float(order.ticket) < clock())
            return start(worker, order)

        self.workers.start = check
        leader = self.coordinate()
        self.store.transact = transact_slowly

        def approve(request):
            left_s = remaining_s.pop(0) if len(remaining_s) > 1 else remaining_s[0]
            expires_at = clock() + left_s
            tickets = dict.fromkeys(request.workers, f"{expires_at}")
            plans.record_approvals(request, tickets, expires_at)
            leader.wake()

        leader._request_approval = approve
        self.accept(case.step(2))
        self.wait_for(self.is_complete)
        self.assertEqual({False}, set(late))


class WaitingStartsTest(leadership_tests.LeadershipCase):
    # Guards against a small job whose starts wait 10 s behind those of a large one,
    # since starts were recorded until the workers seemed full.
    def test_few_recorded_starts_wait_to_be_sent(self):
        start = self.workers.start

        def start_slowly(worker, order):
            gevent.sleep(0.05)
            return start(worker, order)

        self.workers.start = start_slowly
        self.workers.run_s = 30
        leader = self.coordinate()
        self.accept(case.step(1000, cpus=1, memory=1))
        starts = leader._dispatcher.starts
        most = 0
        for _ in range(20):
            gevent.sleep(0.05)
            most = max(most, starts.waiting)
        self.assertLessEqual(most, 2 * dispatch.MAX_WAITING_STARTS_PER_WORKER + 120)
        self.assertGreater(self.workers.starts, 50)


class StartLimitTest(leadership_tests.LeadershipCase):
    def setUp(self):
        super().setUp()
        entries = [case.entry(f"w{number}", cpus=3000) for number in range(300)]
        for each in entries:
            self.workers.add(each)
        self.directory.known = {each.id: each for each in entries}
        self.rounds = []

    def coordinate(self):
        leader = super().coordinate()
        leader._on_round = lambda starts, _took_s: self.rounds.append(starts)
        self.wait_for(
            lambda: all(each.confirmed for each in leader.cell.workers.values())
        )
        return leader

    def test_rounds_with_slow_writes_start_more_tasks(self):
        """Guards against 240 starts a second while a write takes 0.5 s."""
        transact = self.store.transact

        def transact_slowly(*changes):
            gevent.sleep(0.3)
            return transact(*changes)

        self.workers.run_s = 30
        self.coordinate()
        self.store.transact = transact_slowly
        self.accept(case.step(900))
        self.wait_for(lambda: self.workers.starts == 900)
        self.assertGreater(max(self.rounds), 200)

    def test_nothing_more_is_recorded_while_orders_wait(self):
        """Guards against intents that get old while their orders wait."""
        answered = gevent.event.Event()
        start = self.workers.start

        def start_late(worker, order):
            answered.wait()
            return start(worker, order)

        self.workers.run_s = 30
        self.workers.start = start_late
        leader = self.coordinate()
        self.accept(case.step(900))
        gevent.sleep(1.2)
        recorded = leader.cell.jobs[JOB].steps[0, 0]
        self.assertLess(900 - len(recorded.waiting), 250)
        answered.set()
        self.wait_for(lambda: self.workers.starts == 900)


class LostCallsTest(testtools.TestCase):
    """Orders that get no answer and are carried out late, or never."""

    def setUp(self):
        super().setUp()
        self.pacing = order_pacing.OrderPacing()

    # Guards against a step of ten tasks that waits 0.4 s for one of its starts in two
    # out of five cases, at one lost order in twenty.
    def test_a_lost_start_is_repeated_soon_where_orders_are_fast(self):
        for _ in range(order_pacing.ORDER_SAMPLES):
            self.pacing.record_order(0.004)
        self.assertEqual(
            order_pacing.MIN_ORDER_TIMEOUT_S, self.pacing.order_timeout_s(0)
        )
        self.assertEqual(
            order_pacing.MAX_ORDER_TIMEOUT_S, self.pacing.order_timeout_s(3)
        )

    def test_a_start_has_the_time_that_orders_take(self):
        for _ in range(order_pacing.ORDER_SAMPLES):
            self.pacing.record_order(0.3)
        self.assertEqual(
            order_pacing.MAX_ORDER_TIMEOUT_S, self.pacing.order_timeout_s(0)
        )

    # The time limit itself must not hide that orders take longer.
    def test_starts_that_all_time_out_get_more_time(self):
        for _ in range(order_pacing.ORDER_SAMPLES):
            self.pacing.record_order(self.pacing.order_timeout_s(0))
        self.assertEqual(
            order_pacing.MAX_ORDER_TIMEOUT_S, self.pacing.order_timeout_s(0)
        )

    def test_one_call_in_twenty_counts_as_frequent_and_is_forgotten(self):
        losses = self.pacing.losses
        for number in range(100):
            losses.record(number % 20 != 0, 10.0)
        self.assertTrue(losses.is_frequent(10.5))
        self.assertFalse(losses.is_frequent(10.5 + 2 * order_pacing.LOSS_WINDOW_S))

    def test_single_lost_calls_are_not_frequent(self):
        losses = self.pacing.losses
        for number in range(1000):
            losses.record(number % 500 != 0, 10.0)
        self.assertFalse(losses.is_frequent(10.5))
