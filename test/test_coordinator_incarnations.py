"""Calls to a worker that restarts under its ID: none reaches another incarnation."""

import gevent
import testtools

from test import coordinator_case as case
from test import (
    platform_case,  # noqa: F401  finds the adapter's modules
    worker_sockets,
)
from toucanspring import resources, uptime
from toucanspring.coordinator import cell_state, dispatch, planner

import executors  # isort: skip

JOB = "0" * 16
TASK = f"{JOB}.0.0.0"


class IncarnationCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fake = worker_sockets.Worker(self)
        self.cell = case.new_cell(now=uptime.now())
        self.cell.accept(case.job(JOB, case.step(1)), uptime.now())
        self.worker = self.cell.workers["w1"]
        self.leader = worker_sockets.Leader(self.cell)
        self.client = executors.Executors()
        self.addCleanup(self.client.forget, "w1")
        self.orders = dispatch.Dispatcher(self.leader, self.client, 6000)
        self.addCleanup(self.orders.__exit__)

    def wait_for(self, condition):
        with gevent.Timeout(5.0, AssertionError("the condition did not hold")):
            while not condition():
                gevent.sleep(0.001)

    def settle(self):
        """Wait until the dispatcher waits for an acknowledgement."""
        count = -1
        while count != len(self.fake.current.calls):
            count = len(self.fake.current.calls)
            gevent.sleep(0.05)

    def plan(self):
        """Return a planned start."""
        [start] = planner.Planner(self.cell).plan(uptime.now()).starts
        return start

    def send(self, start):
        self.orders.start(start, uptime.now())
        self.wait_for(lambda: not (self.orders.starts.in_flight or self.waits()))

    def waits(self):
        return self.orders.starts.waiting


class AcknowledgementTest(IncarnationCase):
    """The order of events of review case 6."""

    def test_no_acknowledgement_reaches_a_new_incarnation(self):
        # Guards against a worker that forgets ends which it never listed, so that their
        # tasks run again: it restarts while the write of the former ends is awaited.
        self.fake.current.ends = [(1, TASK, 1), (2, TASK, 1)]
        self.orders.watch(self.worker)
        self.wait_for(lambda: self.leader.pending)
        self.settle()
        _, last_end = self.leader.pending[-1]
        self.fake.restart(2)
        self.fake.current.ends = [(1, TASK, 7)]
        self.worker.acked_end = last_end
        self.orders.notify_acknowledged(self.worker)
        self.wait_for(lambda: self.leader.pending[-1] == (self.worker, 1))
        [first] = self.fake.current.polls_before_knowledge()
        self.assertNotIn("last_seen", first)
        self.assertNotIn("deadline_ms", first)
        self.assertEqual(2, self.worker.incarnation)

    def test_a_poll_whose_idle_connection_broke_is_sent_without_lease(self):
        # Guards against a lease, on the clock of the former incarnation, for a worker
        # that restarted between two polls, however short the time between them.
        self.orders.watch(self.worker)
        self.wait_for(lambda: self.fake.current.answered_polls > 2)
        former = self.fake.current
        self.fake.answers["hold"] = self.restart_at_once
        self.wait_for(lambda: self.fake.current is not former)
        self.wait_for(lambda: self.fake.current.calls)
        [first] = self.fake.current.polls_before_knowledge()
        self.assertNotIn("deadline_ms", first)

    def restart_at_once(self, incarnation, _body):
        """Answer a poll, then end the incarnation before the next one is sent."""
        del self.fake.answers["hold"]
        gevent.spawn(self.fake.restart, 2)
        return {"clock_ms": incarnation.clock_ms(), "born": incarnation.born}


class StartTest(IncarnationCase):
    """The order of events of review case 7."""

    def connect(self):
        """Let the dispatcher learn of the first incarnation."""
        self.orders.watch(self.worker)
        self.wait_for(lambda: self.fake.current.answered_polls > 1)

    def starts(self):
        return [each.calls_of("run-start") for each in self.fake.incarnations]

    def test_a_start_reaches_the_incarnation_that_it_was_planned_for(self):
        self.connect()
        self.send(self.plan())
        self.assertEqual(1, len(self.starts()[0]))
        self.assertEqual([case.RUNNING], case.phases(self.cell))

    def test_a_start_does_not_reach_an_incarnation_that_has_not_answered(self):
        # Guards against a task on a worker that has come back as another kind, while
        # nothing has told the coordinator of the restart.
        start = self.plan()
        self.fake.restart(2)
        self.send(start)
        self.assertEqual([[], []], self.starts())
        self.assertEqual([case.WAITING], case.phases(self.cell))

    def test_a_start_on_an_idle_connection_does_not_reach_the_next_incarnation(self):
        # As above, with a connection that was used before and is found broken.
        self.connect()
        self.send(self.plan())
        self.cell.accept(case.job("1" * 16, case.step(1)), uptime.now())
        start = self.plan()
        self.fake.restart(2)
        self.send(start)
        self.assertEqual([1, 0], [len(each) for each in self.starts()])

    # Guards against a start on a worker whose availability zone was taken out of
    # service while the connection for the start was checked, for up to 2 s.
    def test_a_start_is_not_sent_that_is_no_longer_permitted_after_a_check(self):
        start = self.plan()
        self.fake.answers["hold"] = self.take_zone_out
        self.send(start)
        self.assertEqual(1, len(self.fake.current.calls_of("hold")))
        self.assertEqual([[]], self.starts())
        self.assertEqual([case.WAITING], case.phases(self.cell))

    def take_zone_out(self, incarnation, _body):
        """Answer a check, during which the zone of the worker leaves service."""
        self.cell.zones_out = frozenset({self.worker.entry.zone})
        return {"clock_ms": incarnation.clock_ms(), "born": incarnation.born}

    def test_a_repeated_start_does_not_reach_the_next_incarnation(self):
        # Guards against a start that the former incarnation left unanswered.
        self.connect()
        self.fake.answers["run-start"] = self.restart_unanswered
        self.send(self.plan())
        self.assertEqual([1, 0], [len(each) for each in self.starts()])
        self.assertNotIn(case.RUNNING, case.phases(self.cell))

    def restart_unanswered(self, _incarnation, _body):
        del self.fake.answers["run-start"]
        self.fake.restart(2)

    def test_a_start_planned_for_the_former_incarnation_is_not_sent(self):
        # Guards against a recorded start that waits until the restart is known, and
        # then goes to an incarnation whose kind was not looked at.
        self.connect()
        start = self.plan()
        self.fake.restart(2)
        self.wait_for(lambda: self.worker.incarnation == 2)
        self.cell.register_worker(case.entry("w1", incarnation=2))
        self.send(start)
        self.assertEqual([[], []], self.starts())
        self.assertEqual([case.WAITING], case.phases(self.cell))


class CostTest(IncarnationCase):
    def test_orders_need_neither_a_connection_nor_a_poll_each(self):
        # Guards against a check for each order; operators pay for both.
        self.fake.answers["hold"] = self.hold
        for number in range(1, 40):
            self.cell.accept(case.job(f"{number:016x}", case.step(1)), uptime.now())
        for _ in range(40):
            plan = planner.Planner(self.cell).plan(uptime.now())
            for start in plan.starts:
                self.send(start)
        self.assertEqual(32, len(self.fake.current.calls_of("run-start")))
        self.assertEqual(1, self.fake.connections)
        self.assertLessEqual(len(self.fake.current.calls_of("hold")), 1)

    def test_orders_beside_polls_need_a_short_poll_for_each_connection(self):
        # Guards against checks that grow with the orders in flight and the polls.
        self.orders.watch(self.worker)
        for number in range(1, 32):
            self.cell.accept(case.job(f"{number:016x}", case.step(1)), uptime.now())
        plan = planner.Planner(self.cell).plan(uptime.now())
        for start in plan.starts:
            self.orders.start(start, uptime.now())
        self.wait_for(lambda: not (self.orders.starts.in_flight or self.waits()))
        self.assertEqual(32, len(self.fake.current.calls_of("run-start")))
        # As many as calls in flight at a time.
        most = dispatch.MAX_STARTS_PER_WORKER + 1
        self.assertLessEqual(self.fake.connections, most)
        polls = self.fake.current.calls_of("hold")
        self.assertLessEqual(sum("wait_ms" not in each for each in polls), most)

    # Guards against stops that are late since each new connection asks for a list of
    # all that the worker runs: 48 lists of 255 tasks for one cancellation.
    def test_many_stops_share_their_checks(self):
        for number in range(96):
            order = cell_state.Stop("w1", f"{JOB}.0.0.{number}", 1)
            self.worker.unknown_tasks[order.task] = resources.ZERO
            self.orders.stop(order)
        stops = self.orders.stops
        self.wait_for(lambda: not (stops.in_flight or stops.waiting))
        calls = self.fake.current.calls_of
        self.assertEqual(96, len(calls("run-stop")))
        self.assertLessEqual(self.fake.connections, 48)
        self.assertLessEqual(len(calls("hold")), 8)

    def hold(self, incarnation, _body):
        return {"clock_ms": incarnation.clock_ms(), "born": incarnation.born}
