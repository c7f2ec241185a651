import gevent

from test import coordinator_case as case
from test import test_coordinator_leadership as leadership_case
from toucanspring import errors
from toucanspring.coordinator import rows

OTHER_JOB = "2" * 16


class UnreadableRowTest(leadership_case.LeadershipCase):
    def test_a_job_with_unreadable_progress_runs_nothing_again(self):
        # Guards against progress that cannot be read and counts as absent.
        for number, value in enumerate((b"\xc1", b"\x91" * 2000 + b"\x90", b"{}")):
            job_id = f"{number:016x}"
            self.accept(case.step(2), job_id=job_id)
            self.store.put(rows.progress_row_id(job_id), value)
        leader = self.coordinate()
        self.accept(case.step(2), job_id=OTHER_JOB)
        self.wait_for(lambda: self.is_complete(OTHER_JOB))
        # A change of the job's own row is no reason to run it either.
        self.accept(case.step(2), job_id=f"{0:016x}")
        gevent.sleep(0.1)
        self.assertEqual(2, self.workers.starts)
        for call in (leader.status, leader.cancel):
            self.assertIsInstance(call(f"{0:016x}"), errors.Malformed)
        self.assert_no_violations()

    def test_a_job_whose_progress_does_not_match_it_is_left_alone(self):
        # Guards against progress of another build that ends each new coordinator.
        task = rows.TaskRow(0, 1, 0, "w1", 1)
        started = rows.StepRow(0, 0, (task,))
        later = rows.TaskRow(2, 1, 0, "w1", 1)
        negative = rows.TaskRow(-1, 1, 0, "w1", 1)
        stored = (
            rows.Progress("paused", (started,)),
            rows.Progress("active", (started, rows.StepRow(0, 1, ()))),
            rows.Progress("active", (started, rows.StepRow(0, -1, ()))),
            rows.Progress("active", (started, rows.StepRow(1, 0, ()))),
            rows.Progress("active", (started, rows.StepRow(-1, 0, ()))),
            rows.Progress("active", (started, started)),
            rows.Progress("active", (rows.StepRow(0, 0, (task, later)),)),
            rows.Progress("active", (rows.StepRow(0, 0, (task, negative)),)),
            rows.Progress("active", (rows.StepRow(0, 0, (task, task)),)),
        )
        job_ids = [f"{number:016x}" for number in range(len(stored))]
        for job_id, progress in zip(job_ids, stored, strict=True):
            self.accept(case.step(2), job_id=job_id)
            self.store.put(rows.progress_row_id(job_id), rows.encode(progress))
        leader = self.coordinate()
        self.assertEqual(set(job_ids), leader.cell.unreadable)
        self.assertEqual({}, leader.cell.jobs)
        self.assertEqual({}, leader.cell.used)
        for worker in leader.cell.workers.values():
            self.assertEqual({}, worker.allocations)
        self.accept(case.step(2), job_id=OTHER_JOB)
        self.wait_for(lambda: self.is_complete(OTHER_JOB))
        self.assertEqual(2, self.workers.starts)
        for job_id, progress in zip(job_ids, stored, strict=True):
            self.assertEqual(progress, self.progress(job_id))
            for call in (leader.status, leader.cancel):
                self.assertIsInstance(call(job_id), errors.Malformed)
        self.assert_no_violations()

    def test_an_unreadable_lease_is_not_taken_as_free(self):
        # Guards against a second coordinator with an epoch that was used before.
        self.store.put(rows.LEADER_LEASE_ROW, b"\xc1")
        found = leadership_case.leader_lease.acquire(self.store, "one", "a", "i")
        self.assertIsInstance(found, errors.Malformed)
        self.assertEqual(b"\xc1", self.store.rows[rows.LEADER_LEASE_ROW].value)
