import random

import gevent
import testtools

from standins import events, ports, task_runs, worker_reports
from standins import worker as standin
from test import fake_tables
from toucanspring import resources, uptime, wire
from toucanspring.adapters import vms, workers
from toucanspring.owners import fleet, worker_link

CAPACITY = resources.Resources(4000, 4000)


class LinkTest(testtools.TestCase):
    """Run a link against a stand-in worker with leases of 1 s."""

    def setUp(self):
        super().setUp()
        self.patch(worker_link, "WORKER_LEASE_S", 1.0)
        self.patch(worker_link, "STOP_GRACE_S", 0.3)
        self.patch(worker_link, "RENEW_INTERVAL_S", 0.2)
        self.patch(standin, "LEASE_GRACE_S", 0.3)
        self.patch(standin, "CHECKPOINT_LIMIT_S", 0.25)
        self.patch(worker_reports, "REPORT_INTERVAL_S", 0.1)
        clock = task_runs.Clock()
        self.addCleanup(gevent.spawn(clock.run).kill)
        self.vm = vms.Vm(
            id="w1",
            role=vms.Role.WORKER,
            availability_zone="zone-a",
            address="127.0.0.1",
            port=ports.find_ports(1),
            resources=CAPACITY,
        )
        self.record = events.Record()
        self.worker = standin.Worker(self.vm, clock, self.record, random.Random(5))
        self.worker.revive()
        self.addCleanup(self.worker.die)
        self.posted = []
        self.may_renew = True
        self.former_over = True

    def open(self, epoch=1, post=None, partition=0):
        link = worker_link.Link(
            partition,
            epoch,
            self.vm,
            post or self.posted.append,
            lambda: self.may_renew,
            lambda: self.former_over,
            f"owner-{epoch}",
        )
        self.addCleanup(link.close)
        return link

    def wait(self, condition, limit_s=5):
        self.assertTrue(fake_tables.wait_for(condition, limit_s))

    def messages(self, kind):
        return [
            posted.message
            for posted in self.posted
            if isinstance(posted, worker_link.FromWorker)
            and isinstance(posted.message, kind)
        ]

    def start_task(self, link, name="a/0"):
        self.wait(lambda: link.attached)
        payload = b'{"run_ms": 60000}'
        start = wire.TaskStart(name, 1, CAPACITY, "labels", True, payload)
        self.assertTrue(link.start([start], lambda: True))
        self.wait(lambda: any(m.accepted for m in self.messages(wire.Started)))

    def is_posted(self, kind):
        return any(isinstance(posted, kind) for posted in self.posted)

    def test_renewals_keep_a_task_running_beyond_the_lease(self):
        link = self.open()
        self.start_task(link)
        gevent.sleep(2.0)
        self.assertEqual([], [m for m in self.messages(wire.Report) if m.finished])
        self.assertFalse(self.is_posted(worker_link.Lost))

    def test_without_renewals_the_worker_stops_its_tasks(self):
        link = self.open()
        self.start_task(link)
        self.may_renew = False
        self.wait(lambda: any(m.finished for m in self.messages(wire.Report)))

    def test_a_worker_is_lost_only_after_its_tasks_have_stopped(self):
        # Guards against a second copy of a task that still runs on an unreachable
        # worker: once it is reported lost, the worker must have stopped its tasks.
        lost_at = []

        def post(message):
            self.posted.append(message)
            if isinstance(message, worker_link.Lost):
                lost_at.append(uptime.now())

        link = self.open(post=post)
        self.start_task(link)
        self.worker.apply(standin.WorkerFaults(blocked_owners=["owner-1"]))
        self.wait(lambda: lost_at, limit_s=10)
        self.assertEqual({}, self.worker._running)
        self.assertFalse(link.attached)

    def test_a_worker_is_not_lost_while_a_former_owner_may_renew(self):
        self.former_over = False
        self.worker.apply(standin.WorkerFaults(blocked_owners=["owner-1"]))
        self.open()
        gevent.sleep(2.5)
        self.assertFalse(self.is_posted(worker_link.Lost))
        self.former_over = True
        self.wait(lambda: self.is_posted(worker_link.Lost), limit_s=10)

    def test_a_successor_takes_the_worker_and_its_tasks(self):
        former_posts = []
        former = self.open(1, former_posts.append)
        self.wait(lambda: former.attached)
        former.start(
            [wire.TaskStart("a/0", 1, CAPACITY, "labels", True, b'{"run_ms": 60000}')],
            lambda: True,
        )
        self.wait(lambda: self.worker._running)
        self.open(2)
        self.wait(lambda: self.messages(wire.Attached))
        [attached] = self.messages(wire.Attached)
        self.assertEqual(["a/0"], [task.task_id for task in attached.running])
        self.wait(lambda: not former.attached)
        self.assertFalse(former.start([], lambda: True))

    def open_with_old_tick(self):
        self.patch(worker_reports, "REPORT_INTERVAL_S", 3600.0)
        link = self.open()
        self.wait(lambda: link.attached)
        link._tick_received_at -= 2 * worker_link.MAX_TICK_AGE_S
        return link

    def test_a_renewal_that_was_not_allowed_is_tried_again_before_the_next_report(self):
        # Guards against worker leases that expire because the owner's own lease had
        # expired for a moment when a report arrived.
        self.patch(worker_link, "RENEW_RETRY_S", 0.05)
        self.patch(worker_reports, "REPORT_INTERVAL_S", 3600.0)
        self.may_renew = False
        link = self.open()
        self.wait(lambda: link.attached)
        self.assertEqual(0.0, self.worker._lease_until)
        self.may_renew = True
        self.wait(lambda: self.worker._lease_until > uptime.now())

    def test_a_start_with_an_old_tick_asks_for_a_new_one(self):
        # Guards against refusals by workers that report rarely.
        link = self.open_with_old_tick()
        self.start_task(link)
        self.assertEqual(["a/0"], list(self.worker._running))

    def test_a_start_is_checked_again_after_the_new_tick(self):
        # Guards against a delayed start in a zone that was taken out meanwhile.
        link = self.open_with_old_tick()
        start = wire.TaskStart("a/0", 1, CAPACITY, "labels", True)
        self.assertTrue(link.start([start], lambda: False))
        self.wait(lambda: self.messages(wire.Started))
        [answer] = self.messages(wire.Started)
        self.assertEqual(["a/0"], [task_id for task_id, _ in answer.refused])
        self.assertEqual({}, self.worker._running)

    def test_a_stop_does_not_overtake_a_start_that_waits_for_a_tick(self):
        # Guards against a task that starts after it was stopped.
        link = self.open_with_old_tick()
        start = wire.TaskStart("a/0", 1, CAPACITY, "labels", True, b'{"run_ms": 60000}')
        link.start([start], lambda: True)
        link.stop(["a/0"], "kill")
        self.wait(lambda: any(m.finished for m in self.messages(wire.Report)))
        self.assertEqual({}, self.worker._running)

    def test_starts_that_wait_for_a_silent_worker_are_refused(self):
        # Guards against tasks that wait until the worker's lease expires although their
        # start was never sent.
        self.patch(workers, "ANSWER_TIMEOUT_S", 0.2)
        link = self.open_with_old_tick()
        self.worker.pause()
        link.start([wire.TaskStart("a/0", 1, CAPACITY, "t", True)], lambda: True)
        self.wait(lambda: self.messages(wire.Started))
        kinds = [type(getattr(each, "message", each)) for each in self.posted[-2:]]
        self.assertEqual([worker_link.Disconnected, wire.Started], kinds)
        self.assertEqual([], self.posted[-2].unanswered)

    def test_a_released_worker_attaches_to_another_partition_at_once(self):
        # Guards against a moved worker that cannot be used until its lease has expired.
        former = self.open(partition=1)
        self.wait(lambda: former.attached)
        self.patch(worker_link, "WORKER_LEASE_S", 60.0)
        former._renew()
        former.release()
        link = self.open()
        self.wait(lambda: link.attached)

    def test_a_former_owner_cannot_take_a_moved_worker_back(self):
        # Guards against a paused donor that resumes after the receiver has attached.
        former = self.open(partition=1)
        self.wait(lambda: former.attached)
        former.release()
        link = self.open()
        self.wait(lambda: link.attached)
        resumed = self.open(epoch=1, partition=1)
        gevent.sleep(1.5)
        self.assertFalse(resumed.attached)
        self.assertTrue(link.attached)

    def test_a_worker_with_tasks_is_not_released(self):
        # Guards against a second partition on a worker that still runs tasks.
        former = self.open(partition=1)
        self.start_task(former)
        former.release()
        link = self.open()
        gevent.sleep(0.5)
        self.assertFalse(link.attached)

    def test_a_dead_worker_comes_back_with_another_incarnation(self):
        self.open()
        self.wait(lambda: self.messages(wire.Attached))
        self.worker.die()
        self.wait(lambda: self.is_posted(worker_link.Disconnected))
        self.worker.revive()
        self.wait(lambda: len(self.messages(wire.Attached)) == 2, limit_s=10)
        first, second = self.messages(wire.Attached)
        self.assertNotEqual(first.incarnation, second.incarnation)


class AssignTest(testtools.TestCase):
    def test_new_workers_go_to_the_partitions_with_the_fewest(self):
        assigned = {"a": 0, "b": 0, "c": 1}
        fleet.assign(assigned, ["d", "e", "f"], 3)
        counts = [list(assigned.values()).count(number) for number in range(3)]
        self.assertEqual([2, 2, 2], counts)

    def test_assigned_workers_do_not_move(self):
        # Guards against a worker that runs tasks of one partition under another.
        assigned = {"a": 0, "b": 0, "c": 0}
        fleet.assign(assigned, ["d"], 2)
        self.assertEqual({"a": 0, "b": 0, "c": 0, "d": 1}, assigned)
