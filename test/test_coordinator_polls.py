"""Polls of workers: acknowledged ends and leases while the store is slow."""

import gevent

from test import coordinator_case as case
from test import test_coordinator_leadership as leadership_tests
from toucanspring import uptime
from toucanspring.coordinator import dispatch, ports

JOB = "0" * 16


class SlowWriteTest(leadership_tests.LeadershipCase):
    def test_ends_are_acknowledged_and_leases_renewed_while_writes_are_slow(self):
        """Guards against lists of ends that grow and leases that nothing renews.

        A write of over 0.2 s between two polls made each poll carry neither, as long
        as each answer had a new end.
        """
        polls = []
        transact, poll = self.store.transact, self.workers.poll

        def transact_slowly(*changes):
            gevent.sleep(0.25)
            return transact(*changes)

        def end_run():
            incarnation = self.workers.incarnations["w1"]
            incarnation.end_count += 1
            incarnation.ended.append(
                ports.EndedTask(incarnation.end_count, "f.0.0.0", 1, "done", "")
            )
            leader.cell.dirty[JOB] = leader.cell.jobs[JOB]

        def poll_and_end(worker, epoch, acked_end, lease_until_ms, wait_ms):
            answer = poll(worker, epoch, acked_end, lease_until_ms, wait_ms)
            polls.append((acked_end, lease_until_ms))
            end_run()
            return answer

        self.directory.known = {"w1": self.directory.known["w1"]}
        leader = self.coordinate()
        self.accept(case.step(1, cpus=5000))
        self.wait_for(lambda: JOB in leader.cell.jobs)
        self.store.transact = transact_slowly
        self.workers.poll = poll_and_end
        end_run()
        gevent.sleep(4.0)
        self.assertGreater(sum(lease is not None for _, lease in polls[4:]), 2)
        self.assertLess(len(self.workers.incarnations["w1"].ended), 10)


class LossyWorkersTest(leadership_tests.LeadershipCase):
    # Guards against an end that is seen two seconds late, since the poll that was to
    # return it was lost.
    def test_polls_wait_for_less_long_while_calls_are_lost(self):
        waits = []
        poll = self.workers.poll

        def poll_and_note(worker, epoch, acked_end, lease_until_ms, wait_ms):
            waits.append(wait_ms)
            return poll(worker, epoch, acked_end, lease_until_ms, wait_ms)

        self.workers.run_s = 30
        self.workers.poll = poll_and_note
        leader = self.coordinate()
        self.accept(case.step(1))
        self.wait_for(lambda: self.workers.starts == 1)
        for _ in range(10):
            leader._dispatcher.pacing.losses.record(False, uptime.now())
        self.wait_for(lambda: dispatch.LOSSY_POLL_WAIT_MS in waits)


class MoveTest(leadership_tests.LeadershipCase):
    """Tasks are stopped to be moved only while they can start elsewhere."""

    def setUp(self):
        super().setUp()
        self.workers.run_s = 30
        for name in ("w3", "w4"):
            entry = self.directory.known[name] = case.entry(name, cpus=4000)
            self.workers.add(entry)
        self.leader = self.coordinate()
        self.accept(case.step(1))
        self.wait_for(lambda: self.workers.starts == 1)
        self.task = self.leader.cell.jobs[JOB].steps[0, 0].tasks[0]
        self.wait_for(lambda: self.task.phase is case.RUNNING)

    # Guards against stuck tasks that are stopped while nothing may start, so that their
    # work stands still for as long as the view is too old.
    def test_a_stuck_task_is_stopped_only_while_it_may_start_again(self):
        self.directory.view_age = 5.0
        self.task.progressed_at -= 60
        self.task.percent = 50
        gevent.sleep(2.0)
        self.assertEqual((case.RUNNING, 0), (self.task.phase, self.task.times_stuck))
        self.directory.view_age = 0.0
        self.wait_for(lambda: self.workers.starts == 2)

    # Guards against tasks of slow workers that are stopped while nothing may start.
    def test_a_task_leaves_a_slow_worker_only_while_it_may_start_elsewhere(self):
        self.directory.view_age = 5.0
        gevent.sleep(0.3)
        for worker in self.leader.cell.workers.values():
            worker.samples = 3
            worker.speed = 0.05 if worker.allocations else 1.0
        self.task.percent = 50
        self.task.started_at -= 10
        gevent.sleep(0.6)
        self.assertEqual((case.RUNNING, 1), (self.task.phase, self.workers.starts))
        self.directory.view_age = 0.0
        self.wait_for(lambda: self.workers.starts == 2)

    # Guards against tasks that are stopped and never start again, since their queue was
    # removed while they ran.
    def test_tasks_of_a_removed_queue_stay_where_they_run(self):
        self.directory.catalogue = case.configure(case.queue("other"))
        self.task.progressed_at -= 60
        self.task.percent = 50
        for worker in self.leader.cell.workers.values():
            worker.samples = 3
            worker.speed = 0.05 if worker.allocations else 1.0
        self.task.started_at -= 10
        gevent.sleep(2.0)
        self.assertEqual((case.RUNNING, 0), (self.task.phase, self.task.times_stuck))
        self.directory.catalogue = case.configure()
        self.wait_for(lambda: self.workers.starts == 2)
