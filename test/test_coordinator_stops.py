"""Stops of many runs on one worker: bounded in time, and none holds up the others."""

import dataclasses
import types

import gevent
import testtools
from gevent import event

from test import coordinator_case as case
from test import worker_sockets
from toucanspring import errors, resources
from toucanspring.coordinator import (
    cell_state,
    dispatch,
    planner,
    ports,
    stop_limits,
)
from toucanspring.coordinator import plans as planning

JOB = "0" * 16
# How many stops may follow each other within the permitted time of a cancellation
# (4.0 s), each as slow as permitted (0.4 s), so that one may be lost: 0.6 s until it
# counts as lost, 0.25 s of pause and its repetition.
MOST_IN_A_ROW = 6
# What a worker takes; it resets further connections.
WORKER_CONNECTIONS = 64
# Of a former coordinator: a poll and its starts, until they have ended.
FORMER_CONNECTIONS = 5


class StopCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cell = case.new_cell()
        self.worker = self.cell.workers["w1"]
        self.sent = []
        self.lost = set()  # tasks whose stops get no answer
        self.now = 1.0
        self.are_late = False  # stops take effect, and their answers come too late
        self.release = None  # an event that the stops in flight wait for
        self.forgotten = []
        self.released = []
        self.client = types.SimpleNamespace(
            stop=self.answer, start=self.start, forget=self.forgotten.append,
            release=self.released.append, poll=lambda *_poll: event.Event().wait(),
        )  # fmt: skip
        self.use(stop_limits.DEFAULT)

    def use(self, limits):
        """Order stops under the limits of a platform from now on."""
        leader = worker_sockets.Leader(self.cell)
        self.orders = dispatch.Dispatcher(
            leader, self.client, 6000, lambda: self.now, limits
        )
        self.addCleanup(self.orders.__exit__)

    def answer(self, worker, task, _run, _epoch):
        self.sent.append(task)
        if self.release is not None:
            self.release.wait()
        if task in self.lost or worker.id in self.lost:
            return errors.Ambiguous(reason="no answer")
        self.cell.workers[worker.id].unknown_tasks.pop(task, None)
        if self.are_late:
            return errors.Ambiguous(reason="no answer in time")
        return ports.OrderDone(10_000)

    def start(self, _worker, order):
        raise AssertionError(order)

    def submit(self, count, worker="w1"):
        """Order stops of runs that a worker holds."""
        for number in range(count):
            order = cell_state.Stop(worker, f"{JOB}.0.0.{number}", 1)
            held = self.cell.workers[worker].unknown_tasks
            held[order.task] = resources.ZERO
            self.orders.stop(order)

    def submit_to_workers(self, count):
        """Order 64 stops of each of further workers, and leave them unanswered."""
        names = [f"x{number}" for number in range(count)]
        for name in names:
            self.cell.register_worker(case.entry(name))
            case.poll(self.cell, name)
        self.release = event.Event()
        for name in names:
            self.submit(64, name)

    def settle(self):
        for _ in range(30):
            gevent.sleep(0)

    def count_rounds(self):
        """Return how many stops follow each other after the acknowledgement.

        Counted is what callers may rely on: from when the cancellation may be
        acknowledged until all stops are answered.
        """
        rounds = 0
        self.settle()
        while not self.orders.has_timely_stops(JOB):
            answered, self.release = self.release, event.Event()
            answered.set()
            self.settle()
        while self.orders.stops.in_flight:
            rounds += 1
            answered, self.release = self.release, event.Event()
            answered.set()
            self.settle()
        return rounds


class ManyStopsTest(StopCase):
    # Guards against tasks of a cancelled job that run on after the permitted time: 64
    # of them on one worker were stopped two at a time.
    def test_few_stops_follow_each_other_however_many_a_worker_holds(self):
        for count in (1, 64, 150, 600):
            self.release = event.Event()
            self.submit(count)
            self.assertLessEqual(self.count_rounds(), MOST_IN_A_ROW, count)
            self.assertEqual({}, self.worker.unknown_tasks)

    # As above, for fewer than a worker takes connections for: callers do not wait.
    def test_a_cancellation_waits_for_no_stops_of_a_few_hundred_tasks(self):
        self.release = event.Event()
        self.submit(MOST_IN_A_ROW * 48)
        self.assertTrue(self.orders.has_timely_stops(JOB))
        self.submit(MOST_IN_A_ROW * 48 + 49)
        self.assertFalse(self.orders.has_timely_stops(JOB))

    # Guards against cancellations that are acknowledged while the stops of many
    # workers together wait for longer than permitted.
    def test_a_cancellation_waits_for_stops_of_all_workers_together(self):
        self.submit_to_workers(70)
        self.assertFalse(self.orders.has_timely_stops(JOB))
        self.assertLessEqual(self.count_rounds(), MOST_IN_A_ROW)

    # Guards against a cancellation that is not answered for seconds since the stops of
    # other jobs wait, although no task of its own job runs.
    def test_a_cancellation_does_not_wait_for_stops_of_other_jobs(self):
        self.release = event.Event()
        self.submit(1000)
        self.assertFalse(self.orders.has_timely_stops(JOB))
        self.assertTrue(self.orders.has_timely_stops("1" * 16))

    # Guards against a cancellation that is repeated at a new coordinator and answered
    # before the stops of its job, which it has read, are ordered.
    def test_a_cancellation_waits_for_stops_that_are_not_queued_yet(self):
        self.cell.stops.append(cell_state.Stop("w1", f"{JOB}.0.0.1", 1))
        self.assertFalse(self.orders.has_timely_stops(JOB))

    # Guards against a cancellation that is answered as the coordination ends, while the
    # stops of its job are left to the next coordinator.
    def test_a_cancellation_is_not_answered_as_the_coordination_ends(self):
        self.release = event.Event()
        self.submit(600)
        self.orders.__exit__()
        self.assertFalse(self.orders.has_timely_stops(JOB))

    # As above, for a new coordinator that has not polled the worker yet.
    def test_a_cancellation_waits_for_the_first_answers_of_workers(self):
        self.worker.confirmed = False
        self.submit(600)
        self.settle()
        self.assertFalse(self.orders.has_timely_stops(JOB))
        self.worker.confirmed = True
        self.orders.stops.note_answer("w1")
        self.assertFalse(self.orders.has_timely_stops(JOB))

    def test_a_cancellation_does_not_wait_for_a_worker_that_never_answers(self):
        self.worker.confirmed = False
        self.submit(600)
        self.settle()
        self.now += 1.0
        self.assertTrue(self.orders.has_timely_stops(JOB))

    # Guards against a worker that is cut off and keeps all cancellations waiting.
    def test_a_cancellation_does_not_wait_for_stops_of_a_silent_worker(self):
        self.lost.add("w1")
        self.submit(600)
        self.settle()
        self.assertTrue(self.orders.has_timely_stops(JOB))

    # Guards against connections that a worker resets, its polls among them, so that its
    # lease lapses and all that it runs is killed.
    def test_a_worker_gets_no_more_connections_than_it_takes(self):
        self.release = event.Event()
        self.submit(600)
        self.settle()
        most = self.orders.stops.in_flight + dispatch.MAX_STARTS_PER_WORKER + 1
        self.assertLessEqual(most + FORMER_CONNECTIONS, WORKER_CONNECTIONS)

    # Guards against idle connections of a former coordinator that count at the worker
    # beside those of the present one.
    def test_the_end_of_coordination_closes_the_connections_to_workers(self):
        self.orders._loops["w1"] = gevent.spawn(gevent.sleep)
        self.orders.__exit__()
        self.assertEqual(["w1"], self.forgotten)

    # Guards against connections that stay open after a wide cancellation: in time to
    # each worker as many as its stops needed, and so more than a process may open.
    def test_connections_that_only_stops_needed_are_closed_after_them(self):
        self.release = event.Event()
        self.submit(150)
        self.settle()
        self.assertEqual([], self.released)
        self.count_rounds()
        self.assertEqual(["w1"], self.released)

    # As above, for a job that is as wide as all workers together.
    def test_stops_of_many_workers_do_not_wait_for_each_other(self):
        self.submit_to_workers(40)
        self.assertLessEqual(self.count_rounds(), MOST_IN_A_ROW)

    # Guards against tasks of a cancelled job that run on where stops may take longer or
    # a cancellation less time: six stops followed each other under all limits.
    def test_the_last_stop_is_in_time_under_the_limits_of_each_platform(self):
        for stop_s, cancel_s in ((0.2, 3.0), (0.4, 3.0), (0.9, 3.0), (0.9, 4.0)):
            self.use(stop_limits.StopLimits(stop_s, cancel_s))
            self.release = event.Event()
            self.submit(64)
            rounds = self.count_rounds()
            # One stop gets no answer, for as long as a call waits, and is repeated.
            lost_s = stop_s + 0.2 + 0.25
            self.assertLessEqual(
                (rounds - 1) * stop_s + lost_s, cancel_s, (stop_s, cancel_s)
            )

    # Guards against connections that are opened to a worker for a few stops.
    def test_few_stops_use_few_connections(self):
        self.release = event.Event()
        self.submit(2 * MOST_IN_A_ROW)
        self.settle()
        self.assertEqual(2, self.orders.stops.in_flight)

    # Guards against slots and connections that are held for a worker which is gone.
    def test_a_silent_worker_gets_few_stops_at_a_time(self):
        self.release = event.Event()
        self.submit(150)
        self.settle()
        self.lost.add("w1")
        for _ in range(2):
            answered, self.release = self.release, event.Event()
            answered.set()
            self.settle()
        self.assertEqual(2, self.orders.stops.in_flight)

    # Guards against stops that a new coordinator sends two at a time, since it could
    # send none before it knew the worker.
    def test_a_worker_gets_many_stops_at_a_time_once_it_is_known(self):
        self.release = event.Event()
        self.worker.confirmed = False
        self.submit(64)
        self.settle()
        self.assertEqual(0, self.orders.stops.in_flight)
        running = [
            ports.RunningTask(task, 1, "", 5) for task in self.worker.unknown_tasks
        ]
        reply = ports.PollReply(10_000, 1, tuple(running), ())
        self.orders._apply_reply(self.worker, reply, 1.0, 1.0)
        gevent.sleep(0.3)  # until the stops are repeated
        self.assertEqual(11, self.orders.stops.in_flight)


class AllWorkersTest(StopCase):
    # The smallest VM of a deployment with 24 workers, with 1.07 cores, 300 MB and 4,100
    # descriptors; stops of 0.9 s, 3 s from the acknowledgement and 4 s until it.
    VM = stop_limits.choose(0.9, 3.0, 4.0, 1_950, 300e6, 1.07)

    def register(self, count):
        """Register workers that are polled; return their names."""
        names = [f"x{number}" for number in range(count)]
        for name in names:
            self.orders.watch(self.cell.register_worker(case.entry(name)))
            case.poll(self.cell, name)
        return names

    # Guards against tasks of cancelled jobs that run on since the stops of all workers
    # together wait for each other: 6,120 tasks on 24 workers, 500 stops at a time.
    def test_all_tasks_of_many_workers_are_stopped_in_time(self):
        self.use(self.VM)
        names = self.register(24)
        self.release = event.Event()
        for name in names:
            self.submit(255, name)
        rounds = 0
        self.settle()
        while self.orders.stops.in_flight:
            rounds += 1
            answered, self.release = self.release, event.Event()
            answered.set()
            self.settle()
        # Each takes 0.95 s; the last one is sent after 4.75 s of the 7 s, of which one
        # that gets no answer takes 1.35 s.
        self.assertLessEqual(rounds, 6)

    # Guards against stops that take the descriptors of the connections to workers.
    def test_stops_leave_a_few_connections_to_each_worker(self):
        self.use(stop_limits.choose(0.4, 4.0, 6.0, 1_950, 550e6, 2.0))
        self.register(176)
        most = self.orders.stops.max_in_flight
        self.assertLessEqual(most + 176 * stop_limits.KEPT_CONNECTIONS, 1_850)
        self.assertLess(500, most)


class LateAnswerTest(StopCase):
    def poll(self):
        """Apply a reply of the worker with the runs that it still holds."""
        running = [
            ports.RunningTask(task, 1, "", 5) for task in self.worker.unknown_tasks
        ]
        reply = ports.PollReply(10_000, 1, tuple(running), ())
        self.orders._apply_reply(self.worker, reply, 1.0, 1.0)

    # Guards against tasks of a cancelled job that run on (review/8) where answers take
    # longer than a stop may, as on a machine that is too busy: the worker counted as
    # silent, and the other stops were sent two at a time.
    def test_a_worker_whose_answers_are_late_gets_as_many_stops_as_before(self):
        self.are_late = True
        self.release = event.Event()
        self.submit(64)
        rounds = 0
        while self.worker.unknown_tasks:
            rounds += 1
            answered, self.release = self.release, event.Event()
            answered.set()
            self.settle()
            self.poll()
            self.settle()
        self.assertLessEqual(rounds, MOST_IN_A_ROW)


class SlowStopTest(StopCase):
    # Guards against one stop without an answer that pauses all others of its worker.
    def test_a_stop_without_an_answer_does_not_hold_up_the_others(self):
        self.lost.add(f"{JOB}.0.0.0")
        self.submit(40)
        for _ in range(4):
            self.settle()
        self.assertEqual(40, len(set(self.sent)))
        self.assertEqual([f"{JOB}.0.0.0"], list(self.worker.unknown_tasks))

    # Guards against stops that are ordered again while they wait, so that the queue of
    # a worker grows with the time.
    def test_a_stop_that_waits_is_not_queued_twice(self):
        self.release = event.Event()
        self.submit(30)
        self.submit(30)
        orders = self.orders.count_orders()
        self.assertEqual(30, orders["stops_waiting"] + orders["stops_in_flight"])
        self.count_rounds()
        self.assertEqual(30, len(self.sent))


class CancelledStartTest(StopCase):
    def start(self, _worker, order):
        """Lose a start, whose job is cancelled meanwhile."""
        self.sent.append(order.task)
        self.interrupt()
        return errors.Ambiguous(reason="no answer")

    def send(self, interrupt):
        self.interrupt = interrupt
        self.cell.accept(case.job(JOB, case.step(1)), 1.0)
        [start] = planner.Planner(self.cell).plan(1.0).starts
        self.orders.start(start, 1.0)
        self.settle()
        self.assertEqual(1, len(self.sent))
        self.assertEqual([case.STOPPING], case.phases(self.cell))
        self.assertEqual(1, len(self.cell.stops))

    # Guards against a start that is repeated for up to 1.6 s after the cancellation of
    # its job, before which nothing stops it.
    def test_an_unanswered_start_of_a_cancelled_job_is_stopped_at_once(self):
        self.send(lambda: self.cell.cancel(JOB, 1.0))

    # Guards against a start that is repeated on a worker whose availability zone is
    # taken out of service, or that leaves.
    def test_an_unanswered_start_in_a_zone_out_of_service_is_stopped_at_once(self):
        self.send(lambda: setattr(self.cell, "zones_out", frozenset({"zone-a"})))


class LoweredCeilingTest(StopCase):
    def start(self, _worker, order):
        self.sent.append(order.task)
        return ports.OrderDone(10_000)

    def configure(self, cpus):
        desk = dataclasses.replace(case.DESK, ceiling=resources.Resources(cpus=cpus))
        self.cell.configure(case.configure(organisations=[desk]))

    # Guards against starts that wait for a slot of their worker and are sent after the
    # ceiling was lowered: with slow answers the last of 120 waits for seconds.
    def test_starts_that_wait_are_not_sent_above_a_lowered_ceiling(self):
        self.configure(8000)
        self.cell.accept(case.job(JOB, case.step(8)), 1.0)
        starts = planner.Planner(self.cell).plan(1.0).starts
        self.assertEqual(8, len(starts))
        self.configure(5000)
        for each in starts:
            self.orders.start(each, 1.0)
        self.settle()
        self.assertEqual(5, len(self.sent))
        self.assertEqual(3, case.phases(self.cell).count(case.WAITING))


class SpreadTest(testtools.TestCase):
    # Guards against one worker with more tasks than can be stopped in time, while
    # others have few.
    def test_small_tasks_are_spread_once_a_worker_has_many(self):
        cell = case.new_cell()
        cell.register_worker(case.entry("w2"))
        case.poll(cell, "w2")
        plans = planner.Planner(cell)
        plans.max_tasks_stopped_in_time = 3
        cell.accept(case.job(JOB, case.step(8, cpus=10)), 1.0)
        starts = plans.plan(1.0).starts
        counts = sorted(
            sum(each.worker.id == name for each in starts) for name in ("w1", "w2")
        )
        self.assertEqual([4, 4], counts)


class SpreadGangTest(testtools.TestCase):
    def plan(self, step, limits, soft):
        cell = case.new_cell(*(case.entry(f"w{number}") for number in range(3)))
        plans = planner.Planner(cell)
        plans.max_tasks_stopped_in_time = soft
        plans.task_room.limits = limits
        cell.accept(case.job(JOB, *step), 1.0)
        plan = plans.plan(1.0)
        case.confirm(cell, plan, 1.0)
        return plans, sorted(len(each.allocations) for each in cell.workers.values())

    # Guards against a gang whose members all go to one worker, so that their stops
    # take longer than a cancellation may, beside workers that have none.
    def test_a_wide_gang_is_spread(self):
        gang = case.step(12, cpus=10, gang=True)
        limits = stop_limits.TaskLimits(6, 18)
        self.assertEqual([4, 4, 4], self.plan([gang], limits, 3)[1])

    def test_a_narrow_gang_stays_together(self):
        gang = case.step(3, cpus=10, gang=True)
        limits = stop_limits.TaskLimits(6, 18)
        self.assertEqual([0, 0, 3], self.plan([gang], limits, 3)[1])

    # Guards against a gang that waits beside free capacity although nothing of its job
    # runs; it is still spread.
    def test_a_gang_beyond_the_limit_starts_if_nothing_of_its_job_runs(self):
        gang = case.step(12, cpus=10, gang=True)
        limits = stop_limits.TaskLimits(3, 9)
        self.assertEqual([4, 4, 4], self.plan([gang], limits, 2)[1])

    # Guards against a gang that places more tasks than can be stopped in time, or stops
    # others to make room, while other tasks of its job run.
    def test_a_gang_beyond_the_limit_waits_while_its_job_runs(self):
        steps = [case.step(3, cpus=10), case.step(12, cpus=10, gang=True)]
        limits = stop_limits.TaskLimits(3, 99)
        plans, counts = self.plan(steps, limits, 1)
        self.assertEqual([1, 1, 1], counts)
        self.assertEqual([], plans.plan(9.0).starts)
        reasons = {each.wait_reason for each in plans._cell.ready.values()}
        self.assertEqual({planning.TOO_MANY_TASKS}, reasons)


class FullWorkersTest(testtools.TestCase):
    OTHER, SERVICE = "1" * 16, "2" * 16

    def setUp(self):
        super().setUp()
        self.cell = case.new_cell(case.entry("w1"), case.entry("w2"))
        self.plans = planner.Planner(self.cell)
        self.plans.max_tasks_stopped_in_time = 1
        self.plans.task_room.limits = stop_limits.TaskLimits(3, 6)
        self.cell.accept(case.job(JOB, case.step(8, cpus=10)), 1.0)
        starts = self.plans.plan(1.0).starts
        self.assertEqual(6, len(starts))
        for each in starts:
            self.cell.confirm_start(each.step, each.task, each.run, 1.0)

    def held(self):
        return [len(each.allocations) for each in self.cell.workers.values()]

    # Guards against more tasks on a worker, or on all of them, than can be stopped in
    # time: 612 on each of two workers, of which 303 ran on too long (review/14).
    def test_no_worker_gets_more_tasks_than_can_be_stopped_in_time(self):
        self.assertEqual([3, 3], self.held())
        self.assertEqual([], self.plans.plan(9.0).starts)
        [step_run] = self.cell.ready.values()
        self.assertEqual(planning.TOO_MANY_TASKS, step_run.wait_reason)

    # Guards against a step that waits for good once it has waited for other tasks.
    def test_a_further_task_starts_once_one_has_ended(self):
        self.plans.plan(1.1)
        ended, *others = self.cell.workers["w2"].allocations
        running = [case.running(each) for each in others]
        case.poll(self.cell, "w2", running, [case.ended(1, ended)], now=1.2)
        self.assertEqual(1, len(self.plans.plan(1.2).starts))
        self.assertEqual([3, 3], self.held())

    # Guards against work that waits beside free capacity although nothing of it runs.
    def test_a_job_of_which_nothing_runs_starts_one_task(self):
        self.cell.accept(case.job(self.OTHER, case.step(4, cpus=10)), 1.0)
        self.assertEqual(1, len(self.plans.plan(1.1).starts))
        self.assertEqual([], self.plans.plan(3.0).starts)

    # As above, for tasks that last, each of which has to run.
    def test_all_tasks_that_last_start(self):
        step = case.step(4, cpus=10, long_running=True)
        self.cell.accept(case.job(self.SERVICE, step), 1.0)
        self.assertEqual(4, len(self.plans.plan(1.1).starts))
        self.assertEqual([5, 5], self.held())
