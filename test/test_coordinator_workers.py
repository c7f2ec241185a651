"""Tests of clock estimates, leases and quarantine of workers."""

import testtools

from test import coordinator_case as case
from toucanspring.coordinator import cell_state, rows, workers


class LeaseTest(testtools.TestCase):
    def test_the_first_clock_reading_is_used(self):
        # The coordinator has run for a long time; the worker's clock starts at zero.
        worker = workers.Worker(case.entry())
        worker.update_clock(1_500, received_at=11_000.0)
        self.assertEqual(1_500, worker.estimate_clock(11_000.0))
        worker.update_clock(2_500, received_at=11_001.0)
        self.assertEqual(2_500, worker.estimate_clock(11_001.0))

    def test_a_delayed_reply_does_not_set_the_clock_back(self):
        worker = workers.Worker(case.entry())
        worker.update_clock(5_000, received_at=10.0)
        worker.update_clock(5_100, received_at=12.0)
        self.assertEqual(5_000 + 1_960, worker.estimate_clock(12.0))

    def test_a_clock_that_goes_back_indicates_a_restart(self):
        worker = workers.Worker(case.entry("w1"))
        worker.update_clock(60_000, 1.0)
        worker.update_clock(59_800, 1.2)  # a delayed reply
        self.assertFalse(worker.may_have_restarted)
        worker.update_clock(40, 2.0)
        self.assertTrue(worker.may_have_restarted)

    def test_lease_expiry_allows_for_a_slow_clock(self):
        worker = workers.Worker(case.entry())
        worker.update_clock(1_000, received_at=10.0)
        worker.extend_lease(7_000, now=10.0)
        self.assertGreater(worker.lease_expires_at, 10.0 + 6.0 / 0.98)

    # Guards against a worker that is waited for without end: it is lost after its first
    # answer, and no later order ends the wait.
    def test_a_restart_does_not_prolong_the_wait_for_a_worker(self):
        worker = workers.Worker(case.entry())
        worker.update_clock(1_000, received_at=10.0)
        worker.extend_lease(7_000, now=10.0)
        expires_at = worker.lease_expires_at
        worker.record_restart(2)
        self.assertEqual(expires_at, worker.lease_expires_at)
        worker.update_clock(10, received_at=11.0)
        self.assertEqual(10, worker.estimate_clock(11.0))


class QuarantineTest(testtools.TestCase):
    def test_failures_of_one_job_do_not_quarantine(self):
        worker = workers.Worker(case.entry())
        self.assertFalse(worker.record_failure("a", 1.0))
        self.assertFalse(worker.record_failure("a", 1.1))

    def test_failures_of_two_jobs_quarantine_until_a_run_ends_well(self):
        worker = workers.Worker(case.entry())
        worker.record_failure("a", 1.0)
        self.assertTrue(worker.record_failure("b", 1.1))
        worker.confirmed = worker.responsive = True
        worker.incarnation = worker.entry.incarnation
        self.assertFalse(worker.is_usable(1.2, frozenset()))
        self.assertTrue(worker.is_usable(5.0, frozenset()))
        self.assertTrue(worker.record_failure("c", 5.1))
        worker.record_success()
        self.assertFalse(worker.record_failure("d", 20.0))


class UnscannedJobs(dict):
    """Jobs that must not be gone through."""

    def values(self):
        raise AssertionError("all jobs were scanned")

    items = __iter__ = values


class RestoredTasksTest(testtools.TestCase):
    def restore(self, cell):
        tasks = (rows.TaskRow(0, 3, worker="w1", incarnation=1),)
        progress = rows.Progress("active", (rows.StepRow(0, 0, tasks),))
        cell.restore(case.job("0" * 16, case.step(2)), progress, 0.0, 0.0)

    def test_a_restored_task_is_allocated_whenever_its_worker_registers(self):
        for order in ("worker first", "task first"):
            cell = cell_state.CellState()
            cell.configure(case.configure())
            if order == "worker first":
                cell.register_worker(case.entry("w1"))
            self.restore(cell)
            worker = cell.register_worker(case.entry("w1"))
            self.assertEqual([f"{'0' * 16}.0.0.0"], list(worker.allocations), order)
            self.assertEqual(1000, worker.used.cpus, order)

    # Guards against takeovers whose processor time grows with workers times tasks.
    def test_registering_a_worker_scans_no_jobs(self):
        cell = cell_state.CellState()
        cell.configure(case.configure())
        self.restore(cell)
        cell.jobs = UnscannedJobs(cell.jobs)
        cell.register_worker(case.entry("w1"))
        cell.register_worker(case.entry("w2"))
        self.assertEqual(2, len(cell.workers))
