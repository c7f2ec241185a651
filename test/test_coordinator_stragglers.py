"""Tests of the detection of slow workers."""

import testtools

from test import coordinator_case as case
from toucanspring.coordinator import planner, stragglers

JOB = "0" * 16


class SlowWorkerTest(testtools.TestCase):
    """A worker becomes several times slower but replies to polls as before."""

    def setUp(self):
        super().setUp()
        self.entries = [case.entry(f"w{n}", cpus=2000) for n in range(5)]
        self.cell = case.new_cell(*self.entries)
        self.cell_planner = planner.Planner(self.cell)

    def run_steps(self, step, slow=("w0",), seconds=3.0):
        self.cell.accept(case.job(JOB, step), 1.0)
        case.confirm(self.cell, self.cell_planner.plan(1.0), 1.0)
        for tick in range(1, int(seconds / 0.5) + 1):
            now = 1.0 + tick * 0.5
            for name, worker in self.cell.workers.items():
                rate = 2 if name in slow else 16
                rows = [
                    case.running(task, percent=min(99, rate * tick))
                    for task in worker.allocations
                ]
                case.poll(self.cell, name, rows, now=now, sent_at=0.0)

    def test_a_slow_worker_gets_no_new_tasks_during_the_pause(self):
        self.run_steps(case.step(5, cpus=1500))
        [slow] = stragglers.find_slow(self.cell.workers.values(), 4.0)
        self.assertEqual("w0", slow.id)
        self.cell.accept(case.job("1" * 16, case.step(5, cpus=500)), 4.1)
        starts = self.cell_planner.plan(4.1).starts
        self.assertNotIn("w0", {start.worker.id for start in starts})
        later = 4.1 + stragglers.SLOW_WORKER_PAUSE_S
        self.assertTrue(slow.is_usable(later, frozenset()))

    def test_tasks_that_would_end_sooner_elsewhere_are_moved(self):
        self.run_steps(case.step(5, cpus=1500))
        [slow] = stragglers.find_slow(self.cell.workers.values(), 4.0)
        [allocation] = stragglers.find_movable(slow, 4.0)
        # A task that is almost done is not moved.
        allocation.task.percent = 90
        self.assertEqual([], stragglers.find_movable(slow, 4.0))

    def test_equal_workers_are_not_slow(self):
        self.run_steps(case.step(5, cpus=1500), slow=())
        self.assertEqual([], stragglers.find_slow(self.cell.workers.values(), 4.0))

    def test_gang_members_do_not_affect_the_speed_of_workers(self):
        self.run_steps(case.step(5, cpus=1500, gang=True))
        self.assertEqual([], stragglers.find_slow(self.cell.workers.values(), 4.0))
