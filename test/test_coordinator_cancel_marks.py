"""Cancellations of jobs that the store doesn't hold yet."""

import gevent

from test import coordinator_case as case
from test import test_coordinator_leadership as leadership_case
from test import test_coordinator_processes as process_case
from toucanspring import errors, uptime
from toucanspring.coordinator import cancel_marks, cell_state, rows, state

JOB = leadership_case.JOB
MARK = rows.progress_row_id(JOB)


class CancelMarksTest(leadership_case.LeadershipCase):
    def put_late(self, number=0):
        """Do a write of the job whose caller has given up."""
        spec = case.job(JOB, case.step(2), case.step(2, after=(0,)))
        self.workers.jobs[JOB] = spec
        self.store.put(rows.job_row_ids(JOB)[number], rows.encode(spec))
        return spec

    def assert_stays_cancelled(self, leader):
        self.wait_for(lambda: JOB in leader.cell.jobs)
        gevent.sleep(0.2)
        self.assertEqual(0, self.workers.starts)
        self.assertEqual(state.JobState.CANCELLED, leader.status(JOB))
        self.assertEqual(state.JobState.CANCELLED, leader.cancel(JOB))
        self.assertEqual(0, leader.pending(case.QUEUE))

    # Guards against work that starts after its cancellation was answered, since the
    # write of its submission took effect seconds later.
    def test_a_job_that_is_written_after_its_cancellation_does_not_start(self):
        leader = self.coordinate()
        self.assertIsInstance(leader.cancel(JOB, "desk"), errors.NotFound)
        self.put_late()
        self.assert_stays_cancelled(leader)

    # Guards against a second late write of a submission that was tried again.
    def test_it_does_not_start_by_a_second_late_write(self):
        leader = self.coordinate()
        self.assertIsInstance(leader.cancel(JOB, "desk"), errors.NotFound)
        self.put_late(1)
        self.put_late(0)
        self.assert_stays_cancelled(leader)

    # Guards against a cancellation that only one coordinator knows of.
    def test_it_does_not_start_under_a_successor(self):
        self.coordinate()
        self.assertIsInstance(
            self.leaderships[-1][1].cancel(JOB, "desk"), errors.NotFound
        )
        self.kill()
        self.store.remove(rows.LEADER_LEASE_ROW)
        leader = self.coordinate("two")
        self.assertIsInstance(leader.status(JOB), errors.NotFound)
        self.put_late()
        self.assert_stays_cancelled(leader)

    # Guards against a successor that restores a job which came while none coordinated.
    def test_it_does_not_start_if_it_is_written_between_two_coordinators(self):
        self.coordinate()
        self.leaderships[-1][1].cancel(JOB, "desk")
        self.kill()
        self.put_late()
        self.store.remove(rows.LEADER_LEASE_ROW)
        leader = self.coordinate("two")
        self.assert_stays_cancelled(leader)

    # Guards against an answer before what it promises is stored.
    def test_the_answer_waits_for_the_mark(self):
        leader = self.coordinate()
        transact, held = self.store.transact, gevent.event.Event()

        def hold(checks, puts, removals=()):
            if MARK in puts:
                held.wait()
            return transact(checks, puts, removals)

        self.store.transact = hold
        cancelling = gevent.spawn(leader.cancel, JOB, "desk")
        gevent.sleep(0.1)
        self.assertFalse(cancelling.ready())
        # The job comes while the mark is being written.
        self.put_late()
        gevent.sleep(0.1)
        held.set()
        self.assertEqual(state.JobState.CANCELLED, cancelling.get(timeout=2))
        self.wait_for(lambda: self.progress().state == "cancelled")
        self.assert_stays_cancelled(leader)

    # Guards against marks and rows that stay for ever.
    def test_a_mark_is_removed_once_no_write_can_come(self):
        self.patch(cancel_marks, "RETENTION_S", 0.2)
        leader = self.coordinate()
        leader.cancel(JOB, "desk")
        self.assertIn(MARK, self.store.rows)
        self.wait_for(lambda: MARK not in self.store.rows)
        self.wait_for(lambda: not leader.cell.unclaimed)
        self.assertEqual(0, leader.measure()["cancel_marks"])

    # Guards against a job without progress, which would run after a takeover, since its
    # mark was just being removed as it came.
    def test_a_job_that_comes_as_its_mark_is_removed_is_written_again(self):
        leader = self.coordinate()
        leader.cancel(JOB, "desk")
        transact, held = self.store.transact, gevent.event.Event()

        def hold(checks, puts, removals=()):
            if MARK in removals:
                held.wait()
            return transact(checks, puts, removals)

        self.store.transact = hold
        self.patch(cancel_marks, "RETENTION_S", 0.0)
        gevent.sleep(0.3)  # the removal is under way
        self.put_late()
        self.wait_for(lambda: JOB in leader.cell.jobs)
        held.set()
        self.wait_for(lambda: self.progress() is not None)
        gevent.sleep(0.2)
        self.assertEqual("cancelled", self.progress().state)
        self.assert_stays_cancelled(leader)

    def test_a_late_job_is_removed_as_any_ended_one(self):
        leader = self.coordinate()
        leader.cancel(JOB, "desk")
        self.put_late()
        self.wait_for(lambda: JOB in leader.cell.jobs)
        self.patch(cell_state, "ENDED_JOB_RETENTION_S", 0.0)
        self.wait_for(lambda: JOB not in leader.cell.jobs)
        self.wait_for(lambda: not [each for each in self.store.rows if each.key == JOB])

    # Guards against a client whose cancellations of unknown jobs fill the memory of the
    # coordinator, and against one that uses up what others may cancel.
    def test_the_marks_of_an_organisation_are_bounded(self):
        self.patch(cancel_marks, "MAX_MARKS_OF_ORGANISATION", 3)
        leader = self.coordinate()
        for number in range(3):
            answer = leader.cancel(f"{number + 1:016x}", "desk")
            self.assertIsInstance(answer, errors.NotFound)
        refused = leader.cancel(JOB, "desk")
        self.assertIsInstance(refused, errors.Overloaded)
        self.assertGreater(refused.retry_after_s, cancel_marks.RETENTION_S / 2)
        self.assertIsInstance(leader.cancel(f"{1:016x}", "desk"), errors.NotFound)
        self.assertIsInstance(leader.cancel(JOB, "other"), errors.NotFound)

    # Guards against a write for each repeat of a cancellation.
    def test_a_repeated_cancellation_writes_nothing(self):
        leader = self.coordinate()
        leader.cancel(JOB, "desk")
        version = self.store.rows[MARK].version
        leader.cancel(JOB, "desk")
        self.assertEqual(version, self.store.rows[MARK].version)

    def test_marks_take_little_memory_and_are_written_together(self):
        marks = cancel_marks.CancelMarks(case.new_cell())
        for number in range(cancel_marks.MAX_MARKS + 10):
            marks.add(f"{number:016x}", f"{number % 8}", uptime.now())
        self.assertEqual(cancel_marks.MAX_MARKS, len(marks))
        self.assertEqual(cancel_marks.MAX_MARKS, len(marks.take()))
        self.assertEqual({}, marks.take())


class ProcessesTest(process_case.ProcessCase):
    # Guards against a late write that starts a job cancelled at another process, and
    # against a marked job that is shown although nobody has submitted it.
    def test_any_process_cancels_an_unknown_job(self):
        first, _ = self.start_cell("one", "two", "three")
        for each in self.processes.values():
            self.assertIsInstance(each.cancel(JOB, "desk"), errors.NotFound)
        other = next(each for name, each in self.processes.items() if name != first)
        self.assertIsInstance(other.status(JOB), errors.NotFound)
        self.assertIsInstance(other._read_status(JOB), errors.NotFound)
        self.assertIsNone(other.submit(case.job(JOB, case.step(2)), 1.0))
        self.wait_for(lambda: other.status(JOB) is state.JobState.CANCELLED)
        self.assertEqual(state.JobState.CANCELLED, other._read_status(JOB))
        self.assertEqual(0, self.workers.starts)
