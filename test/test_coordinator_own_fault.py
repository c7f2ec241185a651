"""Jobs that fail wherever they run, beside those of others."""

import testtools

from test import coordinator_case as case
from toucanspring.coordinator import planner, workers

FAILING = ("1" * 16, "2" * 16)
OTHER = "3" * 16
WORKERS = 10


class OwnFaultTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        entries = [case.entry(f"w{number}", cpus=2000) for number in range(WORKERS)]
        self.cell = case.new_cell(*entries)
        self.planner = planner.Planner(self.cell)
        self.ends = dict.fromkeys(self.cell.workers, 0)

    def plan(self, now):
        plan = self.planner.plan(now)
        case.confirm(self.cell, plan, now)
        return plan.starts

    def end(self, start, now, how="failed"):
        worker, task = start.worker.id, start.step.task_id(start.task.index)
        self.ends[worker] += 1
        end = case.ended(self.ends[worker], task, start.run, how)
        case.poll(self.cell, worker, ended=[end], now=now, sent_at=0.0)

    def paused(self, now):
        return [each for each in self.cell.workers.values() if each.is_paused(now)]

    # Guards against services of one organisation whose failures have all workers left
    # alone, so that the failed task of another one does not start again.
    def test_services_that_fail_everywhere_pause_few_workers(self):
        for job_id in FAILING:
            self.cell.accept(case.job(job_id, case.step(6, long_running=True)), 1.0)
        now = 1.0
        for _ in range(100):
            starts = self.plan(now)
            now += 0.2
            for start in starts:
                self.end(start, now)
            self.assertLess(len(self.paused(now)), WORKERS / 2)

    # Guards against workers that fail whatever they start and go on getting tasks.
    def test_a_worker_that_fails_the_runs_of_others_is_paused(self):
        for number in range(2):
            step = case.step(WORKERS, cpus=2000)
            self.cell.accept(case.job(f"{number:016x}", step), 1.0)
            starts = self.plan(1.0 + number)
            self.assertEqual(WORKERS, len(starts))
            for start in starts:
                fails = start.worker.id in ("w0", "w1")
                self.end(start, 1.5 + number, "failed" if fails else "done")
            self.cell.cancel(f"{number:016x}", 1.6 + number)
        self.assertEqual({"w0", "w1"}, {each.id for each in self.paused(2.6)})

    # Guards against a task that lasts and waits for the end of pauses in a busy pool.
    def test_a_task_that_lasts_uses_paused_workers_in_a_busy_pool(self):
        step = case.step(WORKERS, cpus=1200, max_per_worker=1)
        self.cell.accept(case.job(FAILING[0], step), 1.0)
        self.plan(1.0)
        for worker in self.cell.workers.values():
            worker.quarantined_until = 1.0 + workers.MAX_QUARANTINE_S
        self.cell.accept(
            case.job(OTHER, case.step(1, cpus=500, long_running=True)), 1.1
        )
        self.assertEqual([], self.plan(1.2))
        self.assertEqual(1, len(self.plan(2.8)))
