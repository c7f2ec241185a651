import gevent
import testtools

from test import coordinator_case as case
from test import test_coordinator_leadership as leadership_case
from toucanspring import errors
from toucanspring.coordinator import planner, ports, recovery, rows, state, table_reader

JOB = "0" * 16
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

    # Guards against a task that waits for ever for a worker which is gone, since the
    # job was read after its progress.
    def test_a_job_read_late_waits_only_for_the_lease_of_a_worker_that_is_gone(self):
        task = rows.TaskRow(0, 1, 0, "gone", 1)
        progress = rows.Progress("active", (rows.StepRow(0, 0, (task,)),))
        self.store.put(rows.progress_row_id(OTHER_JOB), rows.encode(progress))
        leader = self.coordinate()
        self.accept(case.step(1), job_id=OTHER_JOB)
        self.wait_for(lambda: "gone" in leader.cell.workers)
        worker = leader.cell.workers["gone"]
        self.assertEqual(leader.cell.former_leases_end_at, worker.lease_expires_at)
        worker.lease_expires_at = 0.0  # it is over
        self.wait_for(lambda: self.is_complete(OTHER_JOB))
        self.assert_no_violations()

    def test_an_unreadable_lease_is_not_taken_as_free(self):
        # Guards against a second coordinator with an epoch that was used before.
        self.store.put(rows.LEADER_LEASE_ROW, b"\xc1")
        found = leadership_case.leader_lease.acquire(self.store, "one", "a", "i")
        self.assertIsInstance(found, errors.Malformed)
        self.assertEqual(b"\xc1", self.store.rows[rows.LEADER_LEASE_ROW].value)


class UnreadJobTest(testtools.TestCase):
    """The progress of a job is stored, but the job itself is read later or elsewhere.

    The write of its first progress was split, and the one with the copy failed.
    """

    def restore(self, spec, *row_ids):
        cell = case.new_cell()
        stored = ports.Row(
            rows.progress_row_id(JOB), rows.encode(rows.Progress("cancelled")), 1
        )
        progress = table_reader.TableSnapshot({stored.id: stored}, 1, {})
        listed = [ports.Row(each, rows.encode(spec), 1) for each in row_ids]
        recovery.restore(cell, listed, progress, 1.0)
        return cell

    def test_a_job_that_is_read_after_its_progress_keeps_it(self):
        # Guards against a cancelled job that is active again and runs.
        spec = case.job(JOB, case.step(1))
        cell = self.restore(spec)
        cell.accept(spec, 2.0)
        self.assertIs(state.JobState.CANCELLED, cell.jobs[JOB].state)
        self.assertEqual([], planner.Planner(cell).plan(2.1).starts)

    def test_a_job_without_a_copy_gets_one_with_its_next_write(self):
        # Guards against progress that a successor cannot assign to its job.
        spec = case.job(JOB, case.step(1))
        copy = rows.job_copy_row_id(JOB)
        own = rows.job_row_ids(JOB)[0]
        self.assertTrue(self.restore(spec, own, copy).jobs[JOB].has_copy)
        self.assertFalse(self.restore(spec, own).jobs[JOB].has_copy)
        cell = self.restore(spec)
        cell.accept(spec, 2.0)
        self.assertFalse(cell.jobs[JOB].has_copy)

    def test_progress_that_does_not_match_a_job_read_later_is_left_alone(self):
        # Guards against a job that runs although its progress cannot be applied.
        cell = self.restore(case.job(JOB))
        cell.unclaimed[JOB] = rows.Progress("paused")
        cell.accept(case.job(JOB), 2.0)
        self.assertEqual(({JOB}, {}), (cell.unreadable, cell.jobs))
