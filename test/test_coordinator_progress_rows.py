"""Progress of jobs in rows that the store takes, and rows that it refuses."""

import gevent
import testtools
from msgspec import structs

from standins import rowstore
from test import coordinator_case as case
from test import test_coordinator_leadership as leadership_case
from test import test_coordinator_store as store_case
from toucanspring import errors
from toucanspring.coordinator import (
    fenced_writer,
    job_changes,
    job_writer,
    ports,
    progress_rows,
    row_sizes,
    rows,
    state,
)

JOB = leadership_case.JOB
OTHER_JOB = "2" * 16
WIDTH = 60


def recurring(width=WIDTH, repeats=20, **changes):
    values = {"repeats": repeats, "interval_ms": 1, "first_at_ms": 1}
    return case.job(JOB, case.step(width), **{**values, **changes})


def make_record(spec, occurrences, worker="w" * 16):
    """Return a record of a job with running tasks in some occurrences."""
    record = state.JobRecord(spec, 0.0, state=state.JobState.ACTIVE)
    for occurrence in range(occurrences):
        step_run = state.add_step(record, occurrence, 0, 0.0)
        for task in step_run.tasks:
            task.run, task.phase = 1, state.TaskPhase.RUNNING
            task.worker, task.incarnation = worker, 1_700_000_000_000
            task.checkpoint = "c" * 16
    return record


def to_rows(values):
    return [ports.Row(row_id, value, 1) for row_id, value in values.items()]


class ProgressRowsTest(testtools.TestCase):
    # Guards against a write that the store refuses for good: occurrences of a recurring
    # job overlap, and their tasks exceed the largest row.
    def test_no_row_grows_with_the_occurrences_that_overlap(self):
        spec = recurring()
        self.assertTrue(row_sizes.fits(spec, 4096))
        for occurrences in (1, 7, 20):
            found = progress_rows.encode(make_record(spec, occurrences))
            self.assertEqual(occurrences + 1, len(found))
            self.assertLess(max(map(len, found.values())), 4096)

    # Guards against a small recurring job that outgrows its one row.
    def test_a_job_in_one_row_counts_all_its_occurrences(self):
        spec = recurring(width=3, repeats=40)
        self.assertFalse(row_sizes.is_split(spec))
        [value] = progress_rows.encode(make_record(spec, 40)).values()
        self.assertTrue(row_sizes.fits(spec, len(value) + 2000))
        self.assertFalse(row_sizes.fits(spec, len(value) // 2))

    def test_the_progress_is_read_as_it_was_written(self):
        for spec in (recurring(), recurring(width=2, repeats=3)):
            record = make_record(spec, 3)
            stored = progress_rows.group(to_rows(progress_rows.encode(record)))
            self.assertEqual([JOB], list(stored))
            found = progress_rows.read(JOB, stored[JOB])
            self.assertEqual(state.to_progress(record), found)

    # Guards against writes that grow with the past of a job.
    def test_only_the_occurrences_that_have_changed_are_written(self):
        record = make_record(recurring(), 3)
        progress_rows.record_written(record, progress_rows.encode(record))
        [step_run] = [each for key, each in record.steps.items() if key[0] == 1]
        step_run.tasks[0].phase = state.TaskPhase.DONE
        self.assertEqual(
            {rows.occurrence_row_id(JOB, 1), rows.progress_row_id(JOB)},
            progress_rows.encode(record).keys(),
        )

    # Guards against tasks that run twice, since the progress of an earlier version, in
    # one row, is dropped before the rows of the occurrences are there.
    def test_a_write_that_ends_early_loses_nothing_of_a_row_of_an_earlier_version(self):
        record = make_record(recurring(), 3)
        known = state.to_progress(record)
        stored = {rows.progress_row_id(JOB): rows.encode(known)}
        for row_id, value in progress_rows.encode(record).items():
            stored[row_id] = value
            found = progress_rows.read(JOB, to_rows(stored))
            self.assertEqual(
                sorted(known.steps, key=lambda each: each.occurrence),
                sorted(found.steps, key=lambda each: each.occurrence),
            )

    # Guards against a job that runs again, since only some of its rows are stored.
    def test_a_first_write_that_ends_early_is_read(self):
        record = make_record(recurring(), 2)
        first, *_ = to_rows(progress_rows.encode(record))
        found = progress_rows.read(JOB, [first])
        self.assertEqual(WIDTH, len(found.steps[0].tasks))

    # Guards against half of a job's progress that counts as all of it.
    def test_a_job_with_an_unreadable_row_is_unreadable(self):
        written = to_rows(progress_rows.encode(make_record(recurring(), 2)))
        for number in range(len(written)):
            odd = [*written]
            odd[number] = ports.Row(odd[number].id, b"\xc1", 1)
            self.assertIsInstance(progress_rows.read(JOB, odd), errors.Malformed)


class RefusedRowTest(store_case.LeaderLeaseCase):
    # Guards against one row that the store refuses and that holds up all others, until
    # the lease is lost; the next coordinator did the same.
    def test_only_the_rows_that_the_store_refuses_are_left_out(self):
        writer = self.make_writer(self.acquire())
        self.store.max_row_bytes = 100
        sizes = {f"{number:02}": 50 + number for number in range(60)}
        ids = {key: ports.RowId("t", rows.COORDINATOR_PART, key) for key in sizes}
        failure = writer.commit({ids[key]: b"x" * sizes[key] for key in sizes})
        self.assertIsInstance(failure, fenced_writer.PartlyWritten)
        refused = {each.key for each in failure.refused}
        self.assertEqual({key for key in sizes if sizes[key] > 100}, refused)
        stored = {row_id.key for row_id in self.store.rows if row_id.table == "t"}
        self.assertEqual(sizes.keys() - refused, stored)
        self.assertFalse(writer.lost)
        self.assertIsNone(writer.commit({ids["00"]: b"y"}))


class RefusedSubmissionTest(testtools.TestCase):
    # Guards against submissions that are refused with another one of their batch.
    def test_a_submission_that_the_store_refuses_takes_no_others_with_it(self):
        store = rowstore.MemoryStore()
        store.max_row_bytes = 500
        specs = [
            case.job(f"{number:016x}", payload="p" * (600 if number == 3 else 10))
            for number in range(8)
        ]
        batch = [job_writer.PendingJob(spec, 1e9) for spec in specs]
        for each in batch:
            each.row_ids = [ports.RowId(rows.JOBS, "0", each.spec.id)]
        job_writer.JobWriter(store)._write(batch)
        results = [each.result.get(block=False) for each in batch]
        self.assertIsInstance(results[3], errors.Invalid)
        self.assertEqual([None] * 7, results[:3] + results[4:])
        self.assertEqual(7, len(store.rows))


class RefusedJobTest(leadership_case.LeadershipCase):
    def setUp(self):
        super().setUp()
        self.patch(job_changes, "REFUSED_JOB_PAUSE_S", 0.1)

    def refuse(self, job_id):
        """Refuse the progress of a job, however small."""
        transact = self.store.transact

        def refuse_row(checks, puts, removals=()):
            if any(row_id.key.startswith(job_id) for row_id in puts):
                return ports.Unacceptable(reason="a row is refused")
            return transact(checks, puts, removals)

        self.store.transact = refuse_row
        return transact

    # Guards against jobs of others that wait for one whose row the store refuses, under
    # each coordinator in turn.
    def test_the_jobs_of_others_run_under_each_coordinator(self):
        self.refuse(JOB)
        self.accept(case.step(2))
        for number, job_id in enumerate(("3" * 16, "4" * 16)):
            leader = self.coordinate(f"process-{number}")
            self.accept(case.step(2), job_id=job_id)
            self.wait_for(lambda job_id=job_id: self.is_complete(job_id))
            self.assertFalse(leader.ended.is_set())
            leader.release()
        self.assertIsNone(self.progress(JOB))
        self.assertEqual(4, self.workers.starts)
        self.assert_no_violations()

    # Guards against a task that runs again, since its end was acknowledged but not
    # stored, and against a job that stays aside after the store takes its rows again.
    def test_an_end_is_acknowledged_once_the_store_has_taken_it(self):
        self.workers.run_s = 0.2
        leader = self.coordinate()
        self.accept(case.step(1))
        self.accept(case.step(1), job_id=OTHER_JOB)
        self.wait_for(lambda: self.workers.starts == 2)
        transact = self.refuse(JOB)
        self.wait_for(lambda: self.is_complete(OTHER_JOB))
        gevent.sleep(0.3)
        self.assertNotIn(f"{JOB}.0.0.0", self.workers.acknowledged)
        self.assertNotIn(leader.cell.jobs[JOB].durable_state, state.FINAL_STATES)
        self.store.transact = transact
        self.wait_for(self.is_complete)
        self.wait_for(lambda: f"{JOB}.0.0.0" in self.workers.acknowledged)
        self.assertEqual(2, self.workers.starts)
        self.assert_no_violations()

    # Guards against a cancellation that is acknowledged and forgotten at a takeover.
    def test_a_cancellation_is_not_acknowledged_while_the_store_refuses_it(self):
        self.workers.run_s = 30
        leader = self.coordinate()
        self.accept(case.step(1))
        self.wait_for(lambda: self.workers.starts == 1)
        transact = self.refuse(JOB)
        self.assertIsInstance(leader.cancel(JOB), errors.Failure)
        self.store.transact = transact
        self.wait_for(lambda: self.progress().state == "cancelled")
        self.assertEqual(state.JobState.CANCELLED, leader.cancel(JOB))

    # Guards against progress that stays too large for the checkpoints of its tasks.
    def test_checkpoints_give_way_to_the_largest_row(self):
        record = make_record(case.job(JOB, case.step(30)), 1)
        whole = progress_rows.encode(record)[rows.progress_row_id(JOB)]
        record.is_refused = True
        smaller = progress_rows.encode(record)[rows.progress_row_id(JOB)]
        self.assertLess(len(smaller), len(whole) - 30 * 15)


class RecurringJobTest(leadership_case.LeadershipCase):
    # Guards against a cell in which nothing starts, since the progress of a recurring
    # job whose occurrences overlap has outgrown its row after a loss of all processes.
    def test_overlapping_occurrences_outlast_a_takeover(self):
        self.store.max_row_bytes = 2048
        for name in ("w1", "w2"):
            entry = case.entry(name, cpus=2_000_000, memory=4_000_000)
            self.workers.add(entry)
            self.directory.known[name] = entry
        self.workers.run_s = 1.5
        # Its tasks show no progress, and must not count as stuck.
        step = structs.replace(case.step(WIDTH), estimate_ms=60_000)
        self.accept(step, repeats=6, interval_ms=1, first_at_ms=1)
        leader = self.coordinate()
        self.wait_for(lambda: self.workers.starts == 6 * WIDTH)
        self.kill()
        successor = self.coordinate()
        self.assertEqual(leader.epoch + 1, successor.epoch)
        self.accept(case.step(2), job_id=OTHER_JOB)
        self.wait_for(lambda: self.is_complete(OTHER_JOB), limit_s=10.0)
        self.wait_for(self.is_complete, limit_s=10.0)
        self.assertEqual(6 * WIDTH + 2, self.workers.starts)
        self.assert_no_violations()

    # Guards against a job that never ends: its last ends were stored, and the write was
    # cut short before the row with its state.
    def test_a_job_whose_last_row_was_not_written_is_completed(self):
        done = rows.StepRow(0, 0, (), True)
        again = rows.StepRow(1, 0, (), True)
        self.accept(case.step(WIDTH * 2), repeats=2, interval_ms=1, first_at_ms=1)
        for occurrence, step in enumerate((done, again)):
            self.store.put(
                rows.occurrence_row_id(JOB, occurrence),
                rows.encode(rows.Progress("", (step,))),
            )
        self.coordinate()
        self.wait_for(self.is_complete)
        self.assertEqual(0, self.workers.starts)
