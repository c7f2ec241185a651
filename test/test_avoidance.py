import testtools

from test import cell
from toucanspring import job, resources
from toucanspring.scheduling import avoidance, failure_tracking

HALF = resources.Resources(16_000, 32_768, 0)
STEP_S = 0.1


class AvoidanceTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.tracker = failure_tracking.FailureTracker()

    def fail(self, worker, now, rack="r"):
        self.tracker.record(worker, rack, False, 0.1, now)

    def test_a_worker_is_avoided_for_longer_after_each_failed_trial(self):
        # Guards against a bad worker that gets many tasks of a job after each delay.
        self.fail("a", 0.0)
        self.fail("a", 1.0)  # started before the first failure, so not counted again
        self.assertEqual({"a"}, self.tracker.avoided_workers(9.9))
        self.assertEqual(set(), self.tracker.avoided_workers(10.0))
        self.fail("a", 10.0)
        self.assertEqual({"a"}, self.tracker.avoided_workers(29.9))
        self.assertEqual(set(), self.tracker.avoided_workers(30.0))

    def test_a_success_or_a_long_run_clears_a_worker(self):
        for ok, seconds in ((True, 0.1), (False, 60.0)):
            self.fail("a", 0.0)
            self.tracker.record("a", "r", ok, seconds, 1.0)
            self.assertEqual(set(), self.tracker.avoided_workers(1.0))

    def test_a_rack_is_avoided_after_two_of_its_workers(self):
        self.fail("a", 0.0)
        self.fail("b", 0.0, rack="other")
        self.fail("c", 0.0, rack="")
        self.fail("d", 0.0, rack="")
        self.assertEqual(set(), self.tracker.avoided_racks(1.0))
        self.fail("e", 0.0)
        self.assertEqual({"r"}, self.tracker.avoided_racks(1.0))


class CellTest(testtools.TestCase):
    """One job in a cell where some workers fail all tasks immediately."""

    def run_job(self, spec, bad, run_s=5.0, limit_s=120.0):
        self.cell = cell.Cell(workers=24)
        self.cell.submit(spec)
        started = {}
        while spec.id not in self.cell.finished and limit_s > 0:
            self.cell.now += STEP_S
            limit_s -= STEP_S
            for worker in self.cell.workers.values():
                for task_id, task in list(worker.running.items()):
                    if task_id not in worker.running:
                        continue  # stopped with another member of its gang
                    key = (task_id, task.attempt)
                    age = self.cell.now - started.setdefault(key, self.cell.now)
                    if worker.name in bad:
                        self.cell.end(worker.name, task_id, "failed", run_ms=50)
                    elif age >= run_s:
                        self.cell.end(worker.name, task_id, run_ms=int(run_s * 1000))
                self.cell.report(worker.name)
            self.cell.call("tick")
        return self.cell.finished[spec.id]

    def test_one_job_survives_a_bad_rack(self):
        # Guards against a third of the workers using up the retries of most tasks.
        # Quarantine needs failures of two jobs, and 344 of 600 tasks failed.
        bad = {f"w{number}" for number in range(0, 24, 3)}
        outcome = self.run_job(cell.spec(task_count=300, demand=HALF), bad)
        self.assertEqual(job.State.DONE, outcome.state, outcome)

    def test_a_gang_survives_a_bad_rack(self):
        # Guards against a gang that is placed on the same bad workers each time.
        bad = {f"w{number}" for number in range(0, 24, 3)}
        spec = cell.spec(kind=job.Kind.GANG, task_count=32, demand=HALF)
        outcome = self.run_job(spec, bad)
        self.assertEqual(job.State.DONE, outcome.state, outcome)

    def test_a_job_that_fails_everywhere_still_ends(self):
        # Guards against a broken job that waits forever for a worker that it does not
        # avoid.
        bad = {f"w{number}" for number in range(24)}
        outcome = self.run_job(cell.spec(task_count=3, demand=HALF), bad)
        self.assertEqual(job.State.FAILED, outcome.state)

    def test_room_is_not_made_on_workers_that_the_job_avoids(self):
        # Guards against urgent work that preempts tasks on workers that it avoids.
        c = self.cell = cell.Cell(workers=2)
        c.submit(
            cell.spec(
                "low", task_count=4, demand=HALF, job_class=job.JobClass.DEFERRABLE
            )
        )
        c.call("tick")
        c.submit(
            cell.spec("now", team="kern", demand=HALF, job_class=job.JobClass.URGENT)
        )
        core = c.scheduler._core
        record = core.table.jobs["now"]
        avoidance.record_end(core, record, "w0", False, 0.1, c.now)
        for _ in range(20):
            c.now += STEP_S
            c.call("tick")
            c.report("w0")
            c.report("w1")
            if "now/0" in c.running():
                break
        self.assertEqual("w1", c.running()["now/0"])
        stopped = [t for t in c.stopped() if t not in c.running()]
        self.assertEqual(1, len(stopped), stopped)
