"""Workers that are lost between any two steps of the coordinator."""

import gevent

from test import coordinator_case as case
from test import test_coordinator_leadership as leadership_case
from toucanspring.coordinator import ports, rows

JOB = leadership_case.JOB
LEASE_MS = 300


class LostWorkerTest(leadership_case.LeadershipCase):
    def setUp(self):
        super().setUp()
        self.patch(leadership_case, "MAX_LEASE_MS", LEASE_MS)

    def start_tasks(self):
        """Start a short and a long task on w1; return the coordinator."""
        self.directory.known.pop("w2")
        self.accept(case.step(1), job_id="1" * 16)
        self.accept(case.step(1))
        leader = self.coordinate()
        self.wait_for(lambda: self.workers.starts == 2)
        runs = self.workers.incarnations["w1"].runs
        for run in runs.values():
            run.ends_at += 0.0 if run.task.startswith("1") else 60.0
        return leader

    def lose_after_first_poll(self, epoch):
        """Lose w1 once it has answered a poll of the coordinator of an epoch."""
        poll = self.workers.poll

        def answer_once(worker, epoch_, *rest):
            answer = poll(worker, epoch_, *rest)
            if worker.id == "w1" and epoch_ == epoch:
                self.workers.silent.add("w1")
            return answer

        self.workers.poll = answer_once

    def slow_writes(self, seconds):
        """Slow down all writes, so that one takes longer than a gap between polls."""
        transact = self.store.transact

        def transact_slowly(*arguments):
            gevent.sleep(seconds)
            return transact(*arguments)

        self.store.transact = transact_slowly

    def assert_runs_elsewhere(self):
        self.directory.known["w2"] = case.entry("w2", cpus=4000)
        self.directory.changed()
        runs = self.workers.incarnations["w2"].runs
        self.wait_for(lambda: f"{JOB}.0.0.0" in runs)
        self.assert_no_violations()

    # Guards against a wait without end for a worker that has listed ends to its first
    # poll and is lost while they are being written: its tasks would never run again.
    def test_a_worker_lost_during_the_first_write_of_ends(self):
        self.workers.run_s = 0.1
        leader = self.start_tasks()
        leader.release()
        self.lose_after_first_poll(leader.epoch + 1)
        gevent.sleep(0.15)
        successor = self.start_leadership("two")
        self.slow_writes(0.3)
        self.assertTrue(successor.ready.wait(2.0))
        self.wait_for(lambda: "w1" in self.workers.silent)
        self.assert_runs_elsewhere()

    # As above; the worker has restarted under the same coordinator.
    def test_a_restarted_worker_lost_after_its_first_answer(self):
        self.workers.run_s = 60
        self.directory.known.pop("w2")
        self.accept(case.step(1))
        leader = self.coordinate()
        self.wait_for(lambda: self.workers.starts == 1)
        entry = case.entry("w1", cpus=4000, incarnation=2)
        self.workers.add(entry)
        self.directory.known["w1"] = entry
        self.directory.changed()
        self.wait_for(lambda: self.workers.starts == 2)
        self.workers.silent.add("w1")
        worker = leader.cell.workers["w1"]
        self.assertLess(worker.lease_expires_at, float("inf"))
        self.assert_runs_elsewhere()

    # As above; the worker registers after the load, never answers, and the progress
    # that names it belongs to a job whose row is read late.
    def test_a_worker_that_never_answers_and_is_named_by_progress_read_late(self):
        self.directory.known.clear()
        task = rows.TaskRow(0, 1, 0, "w1", 1)
        progress = rows.Progress("active", (rows.StepRow(0, 0, (task,)),))
        self.store.put(rows.progress_row_id(JOB), rows.encode(progress))
        self.coordinate()
        self.workers.silent.add("w1")
        self.directory.known["w1"] = case.entry("w1", cpus=4000)
        self.directory.changed()
        self.accept(case.step(1))
        gevent.sleep(0.1)
        self.assert_runs_elsewhere()

    # As above; orders to the worker fail from its first answer on.
    def test_a_worker_lost_between_its_first_answer_and_the_first_start(self):
        self.directory.known.pop("w2")
        poll = self.workers.poll

        def answer_polls_only_once(worker, *rest):
            answer = poll(worker, *rest)
            if isinstance(answer, ports.PollReply):
                self.workers.silent.add("w1")
            return answer

        self.workers.poll = answer_polls_only_once
        self.workers.run_s = 60
        self.accept(case.step(1))
        self.coordinate()
        gevent.sleep(0.2)
        self.workers.poll = poll
        self.assert_runs_elsewhere()

    # Guards against tasks that wait for the longest lease that their worker may have,
    # although another worker has started at its address, as after the loss of a zone.
    def test_a_worker_whose_address_belongs_to_a_later_one_is_lost_at_once(self):
        self.patch(leadership_case, "MAX_LEASE_MS", 6000)
        self.workers.run_s = 60
        self.directory.known.pop("w2")
        self.accept(case.step(1))
        self.coordinate()
        self.wait_for(lambda: self.workers.starts == 1)
        self.kill()
        poll = self.workers.poll

        def refuse(worker, *rest):
            if worker.id == "w1":
                return ports.OrderRefused(reason=ports.OTHER_INCARNATION)
            return poll(worker, *rest)

        self.workers.poll = refuse
        self.workers.incarnations["w1"].runs.clear()
        leader = self.coordinate("one")
        gevent.sleep(0.5)
        self.assertEqual(1, self.workers.starts)  # the answer alone is not enough
        later = case.entry("w3", cpus=4000, incarnation=2)
        self.workers.add(later)
        self.directory.known["w3"] = later
        self.directory.changed()
        self.wait_for(lambda: self.workers.starts == 2, limit_s=2.0)
        self.assertEqual({}, leader.cell.workers["w1"].allocations)
        self.assert_no_violations()
