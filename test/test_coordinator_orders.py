"""The coordinator's orders to workers: limits in flight, and rounds that go on."""

import types

import gevent
import testtools
from gevent import event

from test import coordinator_case as case
from test import test_coordinator_leadership as leadership_tests
from toucanspring.coordinator import (
    dispatch,
    order_queue,
    planner,
    ports,
    reports,
    state,
)

JOB, OTHER = "0" * 16, "1" * 16


class OrderQueueTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.sent, self.silent = [], set()
        self.release = event.Event()
        self.queue = order_queue.OrderQueue(self.send, 4, 2)
        self.addCleanup(self.queue.close)

    def send(self, order):
        worker, _ = order
        self.sent.append(order)
        if worker in self.silent:
            self.release.wait()
            return 0.01
        gevent.sleep(0)
        return 0.0

    def submit(self, worker, count):
        for number in range(count):
            self.queue.submit(worker, (worker, number))

    def settle(self):
        for _ in range(50):
            gevent.sleep(0)

    def test_a_silent_worker_holds_few_slots(self):
        """Guards against orders to one silent worker that hold up all others."""
        self.silent.add("w1")
        self.submit("w1", 50)
        self.submit("w2", 10)
        self.settle()
        self.assertEqual(10, sum(worker == "w2" for worker, _ in self.sent))
        self.assertEqual((2, 48), (self.queue.in_flight, self.queue.waiting))
        self.assertEqual(0, self.queue.backlog)

    def test_workers_take_turns(self):
        self.silent.update({"w1", "w2", "w3"})
        self.submit("w1", 10)
        self.submit("w2", 10)
        self.submit("w3", 10)
        self.settle()
        self.assertEqual(["w1", "w1", "w2", "w2"], sorted(w for w, _ in self.sent))
        self.assertEqual(10, self.queue.backlog)

    # Guards against a stop of a job whose cancellation was answered that waits behind
    # those of all jobs that were cancelled later, since it was lost once.
    def test_a_repeated_order_goes_before_those_that_came_later(self):
        self.queue._send = self.lose_first
        self.submit("w1", 1)
        self.settle()
        for number in range(1, 7):
            self.queue.submit("w1", ("w1", number))
        gevent.sleep(0.03)
        self.release.set()
        self.settle()
        self.assertEqual([0, 1, 2, 0, 3, 4, 5, 6], [number for _, number in self.sent])

    def lose_first(self, order):
        """Leave the first order unanswered once; others wait for `release`."""
        self.sent.append(order)
        if len(self.sent) == 1:
            return 0.01
        self.release.wait()
        return 0.0

    # Guards against a promise that all orders are sent soon while some that a worker
    # could not take yet are about to be repeated.
    def test_orders_that_wait_to_be_repeated_are_counted(self):
        self.silent.add("w1")
        self.release.set()
        self.submit("w1", 3)
        self.settle()
        self.assertEqual((0, 3), (self.queue.in_flight, self.queue.waiting))
        self.assertEqual(2, self.queue.count_rounds())

    def test_an_order_that_waits_to_be_repeated_holds_no_slot(self):
        self.silent.add("w1")
        self.submit("w1", 2)
        self.settle()
        self.silent.clear()
        self.release.set()
        self.settle()
        self.assertEqual((0, 2), (self.queue.in_flight, self.queue.waiting))
        with gevent.Timeout(5.0, AssertionError("the orders were not repeated")):
            while len(self.sent) < 4:
                gevent.sleep(0.005)
        self.settle()
        self.assertEqual((0, 0), (self.queue.in_flight, self.queue.waiting))

    def test_a_failing_order_frees_its_slot(self):
        self.queue = order_queue.OrderQueue(lambda _order: 1 / 0, 1, 1)
        self.patch(gevent.get_hub(), "handle_error", lambda *_error: None)
        self.queue.submit("w1", 1)
        self.queue.submit("w2", 2)
        self.settle()
        self.assertEqual((0, 0, 2), (
            self.queue.in_flight, self.queue.waiting, self.queue.ended,
        ))  # fmt: skip

    def test_nothing_is_sent_after_close(self):
        self.silent.add("w1")
        self.submit("w1", 5)
        self.settle()
        self.queue.close()
        self.settle()
        self.assertEqual(2, len(self.sent))


class RoundTest(leadership_tests.LeadershipCase):
    def test_a_round_does_not_wait_for_stops_to_a_silent_worker(self):
        """Guards against rounds that wait for orders and renew no leader lease.

        A cancelled job had more running tasks on a silent worker than orders may be
        in flight.
        """
        self.workers.run_s = 30
        wide = case.entry("w1", cpus=500_000, memory=1_000_000)
        self.workers.add(wide)
        self.directory.known = {"w1": wide}
        leader = self.coordinate()
        self.accept(case.step(450))
        self.wait_for(lambda: self.workers.starts == 450)
        self.wait_for(lambda: set(case.phases(leader.cell)) == {case.RUNNING})
        self.workers.silent.add("w1")
        self.assertEqual(state.JobState.CANCELLED, leader.cancel(JOB))
        self.wait_for(lambda: not leader.cell.workers["w1"].responsive)
        self.workers.run_s = 0.02
        narrow = case.entry("w2", cpus=4000)
        self.workers.add(narrow)
        self.directory.known = {"w1": wide, "w2": narrow}
        self.directory.changed()
        self.accept(case.step(2), job_id=OTHER)
        self.wait_for(lambda: self.is_complete(OTHER), 2.0)


class QueuedStartTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cell = case.new_cell()
        self.cell.accept(case.job(JOB, case.step(1)), 1.0)
        [self.start] = planner.Planner(self.cell).plan(1.0).starts

    def assert_not_sent(self, now, may_start=lambda _now: True):
        """Queue the start at a later time; it is not sent, and its task waits again."""
        leader = types.SimpleNamespace(
            cell=self.cell, epoch=1, may_renew=lambda _now: True, may_start=may_start,
            wake=lambda: None,
        )  # fmt: skip
        sent = []
        client = types.SimpleNamespace(
            start=lambda _worker, order: sent.append(order) or ports.OrderDone(10_000)
        )
        with dispatch.Dispatcher(leader, client, 6000, lambda: now) as orders:
            orders.start(self.start, 1.0)
            while orders.starts.waiting or orders.starts.in_flight:
                gevent.sleep(0)
        self.assertEqual([], sent)
        self.assertEqual([case.WAITING], case.phases(self.cell))

    # Guards against a start on a worker that has come back as another kind while the
    # start was being written.
    def test_a_start_is_not_sent_to_an_incarnation_whose_entry_is_not_known(self):
        case.poll(self.cell, "w1", now=1.1, incarnation=2)
        self.assert_not_sent(1.2)

    def test_a_start_whose_worker_was_lost_meanwhile_is_not_sent(self):
        """Guards against two runs of a task at the same time.

        The start waited in the queue until the worker was lost and had come back.
        """
        reports.mark_lost(self.cell, self.cell.workers["w1"], 9.0)
        case.poll(self.cell, "w1", now=10.0)
        self.assert_not_sent(10.0)

    # Guards against a process that was paused between the write of an intent and its
    # order, and starts tasks on a lease and a view of the settings that have run out.
    def test_a_start_whose_permission_has_run_out_is_not_sent(self):
        self.assert_not_sent(6.0, may_start=lambda now: now < 3.5)


class RenewalTest(leadership_tests.LeadershipCase):
    def test_a_start_that_was_not_sent_for_want_of_a_lease_is_queued_again(self):
        """Guards against a recorded start that is never ordered.

        After a long outage of the store without a takeover its task never ran.
        """
        leader = self.coordinate()
        leader.may_renew = lambda _now: False
        self.accept(case.step(1))
        self.wait_for(lambda: self.progress() is not None)
        gevent.sleep(0.05)
        self.assertEqual(0, self.workers.starts)
        del leader.may_renew
        self.wait_for(self.is_complete)
        self.assert_no_violations()

    def test_a_start_without_an_answer_is_stopped_if_it_may_not_be_repeated(self):
        """Guards against a start that is neither repeated nor stopped.

        It may still take effect while the next run is at work on another worker.
        """
        self.workers.run_s = 0.5
        leader = self.coordinate()
        start = self.workers.start

        def lose(worker, order):
            leader.may_renew = lambda _now: False
            leader.cell.workers[worker.id].quarantined_until = float("inf")
            return start(worker, order)

        self.workers.start = lose
        self.workers.delay_starts = 1
        self.accept(case.step(1))
        self.wait_for(lambda: not self.workers.delay_starts)
        gevent.sleep(0.05)
        self.workers.start = start
        del leader.may_renew
        self.wait_for(lambda: self.workers.starts == 1)
        self.workers.apply_delayed()
        self.wait_for(self.is_complete)
        self.assertEqual({f"{JOB}.0.0.0": 1}, self.workers.done)
        self.assert_no_violations()


class UnregisteredWorkerTest(leadership_tests.LeadershipCase):
    def test_a_worker_that_registers_late_is_told_to_stop(self):
        """Guards against a task of a cancelled job that runs on.

        Its worker was not registered when the job was cancelled after a takeover.
        """
        self.workers.run_s = 30
        self.coordinate()
        self.accept(case.step(1))
        self.wait_for(lambda: self.workers.starts == 1)
        self.kill()
        [busy] = [name for name, each in self.workers.incarnations.items() if each.runs]
        registered = dict(self.directory.known)
        del self.directory.known[busy]
        leader = self.coordinate()
        self.assertEqual(state.JobState.CANCELLED, leader.cancel(JOB))
        gevent.sleep(0.05)
        self.directory.known = registered
        self.directory.changed()
        self.wait_for(lambda: not self.workers.incarnations[busy].runs, 3.0)
