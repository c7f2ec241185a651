"""The removal of ended jobs from the store."""

from unittest import mock

import gevent
from gevent import event

from test import coordinator_case as case
from test import test_coordinator_leadership as leadership_case
from toucanspring import errors
from toucanspring.coordinator import cell_state, rows

OTHER_JOB = "2" * 16


class RetentionTest(leadership_case.LeadershipCase):
    def setUp(self):
        super().setUp()
        self.removing, self.released = event.Event(), event.Event()
        transact = self.store.transact

        def hold_removals(checks, puts, removals=()):
            if any(
                row_id in rows.job_row_ids(leadership_case.JOB) for row_id in removals
            ):
                self.removing.set()
                self.released.wait()
            return transact(checks, puts, removals)

        self.store.transact = hold_removals
        patch = mock.patch.object(cell_state, "ENDED_JOB_RETENTION_S", 0.0)
        patch.start()
        self.addCleanup(patch.stop)

    def test_rounds_do_not_wait_for_the_removal_of_ended_jobs(self):
        # Guards against a leader lease that is lost while ended jobs are removed.
        self.coordinate()
        self.accept(case.step(1))
        self.assertTrue(self.removing.wait(5.0))
        self.accept(case.step(1, long_running=True), job_id=OTHER_JOB)
        self.wait_for(lambda: self.progress(OTHER_JOB) is not None)
        self.assertTrue(self.is_complete())  # the progress is removed last
        self.released.set()
        self.wait_for(lambda: self.progress() is None)

    def test_a_removed_job_leaves_no_row_and_is_forgotten(self):
        self.released.set()
        leader = self.coordinate()
        self.accept(case.step(1))
        self.wait_for(lambda: self.removing.is_set() and not leader.cell.jobs)
        self.assertFalse([each for each in self.store.rows if each.key == "0" * 16])
        self.assertEqual(1, self.workers.starts)

    def test_a_job_is_not_removed_by_an_old_copy_of_the_jobs(self):
        # Guards against a job that runs again, since its row was not known when its
        # progress was removed.
        self.released.set()
        leader, follow = self.coordinate(), self.store.follow

        def follow_other_tables(table, *arguments):
            if table == rows.JOBS:
                gevent.sleep(0.05)
                return errors.Unavailable(reason="the store is unreachable")
            return follow(table, *arguments)

        self.store.follow = follow_other_tables
        gevent.sleep(1.0)  # the last call of the feed ends
        self.accept(case.step(1))
        leader.status(leadership_case.JOB)
        self.wait_for(self.is_complete)
        gevent.sleep(0.6)
        self.store.follow = follow
        self.wait_for(lambda: not leader.cell.jobs)
        self.assertFalse([each for each in self.store.rows if each.key == "0" * 16])
        self.assertEqual(1, self.workers.starts)
