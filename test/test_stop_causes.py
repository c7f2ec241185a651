"""Counts of stopped runs by cause."""

import testtools

from test import coordinator_case as case
from toucanspring.coordinator import planner, stop_causes

CAUSE = stop_causes.StopCause
TASK = "0" * 16 + ".0.0.0"


class StopCausesTest(testtools.TestCase):
    """One task of two cores runs for 3 s before it is stopped."""

    def setUp(self):
        super().setUp()
        self.cell = case.new_cell()
        self.cell.accept(case.job("0" * 16, case.step(cpus=2000)), 0.0)
        plan = planner.Planner(self.cell).plan(0.1)
        case.confirm(self.cell, plan, 1.0)

    def end(self, how="stopped", checkpoint=""):
        case.poll(
            self.cell, "w1", ended=[case.ended(1, TASK, 1, how, checkpoint)], now=4.0
        )

    def stop(self, cause):
        step_run = self.cell.jobs["0" * 16].steps[0, 0]
        self.cell.stop(step_run, step_run.tasks[0], cause)

    # Guards against stops whose cause no metric tells.
    def test_a_stop_for_a_cancelled_job_counts_as_such(self):
        self.cell.cancel("0" * 16, 3.0)
        self.end()
        counts = self.cell.stop_counts.take()
        self.assertEqual({CAUSE.JOB_ENDED: 1}, dict(counts.runs))
        self.assertAlmostEqual(6.0, counts.lost_core_s[CAUSE.JOB_ENDED])

    # Guards against work counted as lost that a checkpoint holds.
    def test_saved_work_is_not_lost(self):
        self.stop(CAUSE.GANG_PREEMPTION)
        self.end(checkpoint="c")
        counts = self.cell.stop_counts.take()
        self.assertEqual({CAUSE.GANG_PREEMPTION: 1}, dict(counts.runs))
        self.assertEqual({}, dict(counts.lost_core_s))

    # Guards against a run counted as stopped although it ended well before the stop.
    def test_a_run_that_ended_well_is_not_counted(self):
        self.stop(CAUSE.SLOW_WORKER)
        self.end("done")
        self.assertEqual({}, dict(self.cell.stop_counts.take().runs))

    # Guards against a count that is reported twice.
    def test_counts_are_taken_once(self):
        self.stop(CAUSE.STUCK)
        self.end()
        self.cell.stop_counts.take()
        self.assertEqual({}, dict(self.cell.stop_counts.take().runs))
