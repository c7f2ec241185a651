"""The number of jobs that have not started: by runs that were seen, not planned."""

import testtools

from test import coordinator_case as case
from test import test_coordinator_leadership as leadership_case
from toucanspring.coordinator import planner, ports, rows, state

JOB = leadership_case.JOB
TASK = f"{JOB}.0.0.0"


class PendingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cell = case.new_cell()
        self.cell.accept(case.job(JOB, case.step(1)), 1.0)
        [self.start] = planner.Planner(self.cell).plan(1.0).starts

    def assert_pending(self, count, cell=None):
        self.assertEqual(count, (cell or self.cell).pending(case.QUEUE))

    # Guards against jobs that count as started although nothing of them has begun.
    def test_a_planned_start_is_none(self):
        self.assert_pending(1)
        self.assertEqual(state.JobState.QUEUED, self.cell.jobs[JOB].state)

    def test_a_start_that_the_worker_has_refused_is_none(self):
        start = self.start
        self.cell.cancel_start(start.step, start.task, start.run, 1.1)
        self.assert_pending(1)

    def test_a_start_without_an_answer_is_none_until_the_worker_tells_of_it(self):
        start = self.start
        self.cell.mark_start_ambiguous(start.step, start.task, start.run)
        self.assert_pending(1)
        case.poll(self.cell, "w1", [case.running(TASK)], now=1.2)
        self.assert_pending(0)

    def test_a_confirmed_start_is_one(self):
        start = self.start
        self.cell.confirm_start(start.step, start.task, start.run, 1.1)
        self.assert_pending(0)
        self.assertIn(JOB, self.cell.begun)

    def test_an_end_tells_of_a_start_whose_answer_was_lost(self):
        end = case.ended(1, TASK, how="failed")
        case.poll(self.cell, "w1", ended=[end], now=1.2)
        self.assert_pending(0)

    # Guards against a job that counts as waiting again once its task is waiting.
    def test_a_job_that_has_begun_stays_so(self):
        case.poll(self.cell, "w1", [case.running(TASK)], now=1.2)
        self.cell.requeue(self.start.step, self.start.task, 1.3)
        self.assert_pending(0)


class RestoredPendingTest(testtools.TestCase):
    def restore(self, progress):
        cell = case.new_cell(now=9.0)
        cell.restore(case.job(JOB, case.step(2)), progress, 10.0, 0.0)
        return cell

    # Guards against a successor that takes a recorded start for one that took place.
    def test_a_recorded_start_is_none_after_a_takeover(self):
        cell = case.new_cell()
        cell.accept(case.job(JOB, case.step(2)), 1.0)
        planner.Planner(cell).plan(1.0)
        successor = self.restore(state.to_progress(cell.jobs[JOB]))
        self.assertEqual(1, successor.pending(case.QUEUE))
        case.poll(successor, "w1", [case.running(TASK)], now=11.0)
        self.assertEqual(0, successor.pending(case.QUEUE))

    def test_a_start_that_was_seen_is_one_after_a_takeover(self):
        cell = case.new_cell()
        cell.accept(case.job(JOB, case.step(2)), 1.0)
        case.confirm(cell, planner.Planner(cell).plan(1.0), 1.0)
        successor = self.restore(state.to_progress(cell.jobs[JOB]))
        self.assertEqual(0, successor.pending(case.QUEUE))

    # Guards against rows of earlier versions, which became active with the record of a
    # start.
    def test_a_row_of_an_earlier_version_counts_by_what_its_tasks_tell(self):
        recorded = rows.TaskRow(0, 1, worker="w1", incarnation=1)
        for task, count in (
            (recorded, 1),
            (rows.TaskRow(0, 1, failures=1, failed_run=1), 0),
            (rows.TaskRow(0, 1, done=True), 0),
            (rows.TaskRow(0, 1, checkpoint="c"), 0),
        ):
            progress = rows.Progress("active", (rows.StepRow(0, 0, (task,)),))
            self.assertEqual(count, self.restore(progress).pending(case.QUEUE))


class RefusedStartsTest(leadership_case.LeadershipCase):
    # Guards against a count of 0 while jobs wait for workers that refuse all starts,
    # under this coordinator and the next one.
    def test_jobs_whose_starts_are_refused_stay_pending(self):
        start, refused = self.workers.start, []

        def refuse(_worker, order):
            refused.append(order.task)
            return ports.OrderRefused(reason=ports.UNHEALTHY)

        self.workers.start = refuse
        self.accept(case.step(1))
        for process in ("one", "two"):
            refused.clear()
            leader = self.coordinate(process)
            self.wait_for(lambda: refused)
            self.wait_for(lambda: self.progress() is not None)
            self.assertEqual(1, leader.pending(case.QUEUE))
            self.assertEqual(state.JobState.QUEUED, leader.status(JOB))
            leader.release()
        self.workers.start, self.workers.run_s = start, 30
        leader = self.coordinate("three")
        self.wait_for(lambda: not leader.pending(case.QUEUE))
        self.assertEqual(state.JobState.ACTIVE, leader.status(JOB))
        self.wait_for(lambda: self.progress().state == "active")

    # Guards against a state that only the coordinator knows, for good.
    def test_the_state_is_stored_without_further_changes(self):
        self.workers.run_s = 30
        self.coordinate()
        self.accept(case.step(1))
        self.wait_for(lambda: self.workers.starts == 1)
        self.wait_for(lambda: self.progress().state == "active")
