"""Random failures, takeovers and configurations: no job ends wrongly or waits."""

import testtools

from test import attempts_model, attempts_workers
from test import coordinator_case as case
from toucanspring.coordinator import planner, ports, state

JOB = "0" * 16
SEEDS = range(60)


class AttemptsTest(testtools.TestCase):
    def test_failed_runs_are_counted_once_and_judged_by_a_known_configuration(self):
        """Guards against jobs that are failed, started or left waiting wrongly.

        Each history checks the rules of `attempts_model` after each event.
        """
        self.assert_holds(SEEDS)

    def test_a_job_whose_rows_are_read_late_keeps_its_progress(self):
        """Guards against progress without a copy of its job that is overwritten.

        With each seed a job was active after its end, or ran or failed again.
        """
        self.assert_holds((47, 106, 108, 142, 162, 172))

    def test_a_start_that_waited_in_the_queue_is_sent_only_if_it_is_still_wanted(self):
        """Guards against starts of tasks that were requeued since.

        With each seed a worker ran more than its capacity.
        """
        self.assert_holds((219, 235, 290, 422, 538))

    def assert_holds(self, seeds):
        found, counts = {}, 0
        for seed in seeds:
            history = attempts_model.History(seed)
            try:
                history.run()
            except attempts_workers.Broken as broken:
                found[seed] = str(broken)
            counts += history.counts["failed"]
        self.assertEqual({}, found)
        self.assertGreater(counts, 0)


class ListedEndsTest(testtools.TestCase):
    """A worker lists its ends in several replies, since there are many."""

    def setUp(self):
        super().setUp()
        self.cell = case.new_cell(case.entry(cpus=100_000))
        step = case.step(ports.MAX_LISTED_ENDS + 1, cpus=1, memory=1)
        self.cell.accept(case.job(JOB, step), 1.0)
        cell_planner = planner.Planner(self.cell)
        cell_planner.max_starts = step.count
        case.confirm(self.cell, cell_planner.plan(1.0), 1.0)
        self.ends = [
            case.ended(number, f"{JOB}.0.0.{number - 1}")
            for number in range(1, step.count + 1)
        ]

    def test_a_run_that_a_full_list_of_ends_leaves_out_is_not_gone(self):
        """Guards against a second start of a task whose end is not listed yet."""
        case.poll(self.cell, "w1", ended=self.ends[:-1], now=2.0)
        self.assertEqual(case.RUNNING, case.phases(self.cell)[-1])
        self.assertEqual([], planner.Planner(self.cell).plan(2.1).starts)
        case.poll(self.cell, "w1", ended=self.ends[-1:], now=2.2)
        self.assertIs(state.JobState.COMPLETED, self.cell.jobs[JOB].state)

    def test_a_run_beside_a_list_of_ends_that_is_not_full_is_gone(self):
        case.poll(self.cell, "w1", ended=self.ends[:-2], now=2.0)
        self.assertEqual([case.WAITING] * 2, case.phases(self.cell)[-2:])
