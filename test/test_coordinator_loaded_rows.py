"""What a coordinator keeps of the rows of jobs and of their progress while it loads."""

import testtools

from standins import rowstore
from test import coordinator_case as case
from test import test_coordinator_backlog as backlog_case
from toucanspring import errors, uptime
from toucanspring.coordinator import (
    cell_state,
    fenced_writer,
    job_rows,
    leader_lease,
    ports,
    progress_rows,
    recovery,
    rows,
    state,
    table_cache,
    table_reader,
)


class LoadTest(testtools.TestCase):
    # Guards against a takeover that holds all rows, or all steps, at once.
    def test_a_load_holds_little_of_many_large_rows(self):
        store = rowstore.MemoryStore()
        for number in range(150):
            spec = backlog_case.wide_job(number)
            store.put(rows.job_row_ids(spec.id)[0], rows.encode(spec))
            store.put(rows.job_copy_row_id(spec.id), rows.encode(spec))
        total = sum(len(row.value) for row in store.rows.values())
        self.assertGreater(total, 4 * backlog_case.MAX_BYTES)
        cell = cell_state.CellState(backlog_case.MAX_BYTES)
        cell.configure(case.configure())
        kept = job_rows.JobRows(cell, backlog_case.MAX_BYTES / 4)
        cache = table_cache.TableCache(
            store, rows.JOBS, lambda _row: None, digest=kept.digest
        )

        def load():
            self.assertIsNone(cache.load())
            progress = table_reader.TableSnapshot({}, 1, {})
            recovery.restore(cell, cache.rows.values(), progress, 0.0, kept.outlines)

        self.assertLess(backlog_case.measure(load), 3 * backlog_case.MAX_BYTES)
        self.assertEqual(150, len(cell.jobs) + len(cell.backlog))

    def load_progress(self, store, max_bytes):
        """Return the progress that a load keeps."""
        kept = job_rows.LoadedProgress(max_bytes)
        jobs = table_cache.TableCache(store, rows.JOBS, lambda _row: None)
        acquired = leader_lease.acquire(store, "one", "10.0.0.1", "one")
        store_clock = leader_lease.StoreClock()
        store_clock.update(store.timestamp().store_ms, uptime.now())
        writer = fenced_writer.FencedWriter(store, acquired, store_clock)
        loader = recovery.Loader(store, writer, jobs, lambda: False, kept)
        return kept, loader.load().rows.values()

    # Guards against a successor that ends for want of memory, as each one after it: all
    # jobs that have begun were read at once.
    def test_a_load_holds_little_of_the_progress_of_many_jobs(self):
        store = rowstore.MemoryStore()
        value = rows.encode(
            rows.Progress("active", (backlog_case.done_step(2900),), True)
        )
        for number in range(100):
            store.put(rows.progress_row_id(f"{number:016x}"), value)
        kept, found = self.load_progress(store, 10 * len(value))
        self.assertEqual(10 * len(value), sum(len(row.value) for row in found))
        self.assertEqual(90, len(kept.left_out))

    # Guards against a run that goes on and is taken for one that never was.
    def test_all_progress_of_a_running_job_is_kept(self):
        store = rowstore.MemoryStore()
        running = rows.StepRow(2, 0, (rows.TaskRow(0, 1, worker="w1"),))
        steps = [
            rows.StepRow(0, 0, (), True),
            backlog_case.done_step(1, occurrence=1),
            running,
        ]
        name = "1" * 16
        store.put(
            rows.progress_row_id(name), rows.encode(rows.Progress("active", (), True))
        )
        for step in steps:
            row_id = rows.occurrence_row_id(name, step.occurrence)
            store.put(row_id, rows.encode(rows.Progress("", (step,))))
        kept, found = self.load_progress(store, 0)
        self.assertEqual({name}, kept.needed)
        known = progress_rows.read(name, found)
        self.assertEqual((tuple(steps), "active"), (known.steps, known.state))

    # Guards against states that only the whole row, or none, can tell.
    def test_rows_that_tell_more_than_a_state_are_kept(self):
        for value in (
            rows.encode(rows.Progress("cancelled", (backlog_case.done_step(9),), True)),
            rows.encode(rows.Progress("active", (backlog_case.done_step(9),))),
            rows.encode(rows.CANCEL_MARK),
            rows.encode(rows.Progress("paused", (), True)),
            b"\xc1",
        ):
            kept = job_rows.LoadedProgress(0)
            row = ports.Row(rows.progress_row_id("1" * 16), value, 1)
            self.assertIs(row, kept.digest(row))
            self.assertFalse(kept.left_out)

    def test_the_progress_of_one_job_is_read_from_all_its_rows(self):
        store = rowstore.MemoryStore()
        spec = case.job("1" * 16, case.step(60), repeats=600, interval_ms=1)
        record = state.JobRecord(spec, 0.0, state=state.JobState.ACTIVE)
        for occurrence in range(600):
            record.steps.complete((occurrence, 0))
        for row_id, value in progress_rows.encode(record).items():
            store.put(row_id, value)
        store.put(rows.progress_row_id("2" * 16), b"\xc1")
        self.assertEqual(600, len(job_rows.read_progress(store, spec.id).steps))
        self.assertIsNone(job_rows.read_progress(store, "3" * 16))
        self.assertIsInstance(job_rows.read_progress(store, "2" * 16), errors.Malformed)
