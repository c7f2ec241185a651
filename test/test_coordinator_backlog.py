"""Jobs that wait in the store while others fill the memory for jobs."""

import functools
import gc
import tracemalloc

import testtools

from test import coordinator_case as case
from test import test_coordinator_leadership as leadership_case
from toucanspring import errors
from toucanspring.coordinator import (
    backlog,
    cell_state,
    load_report,
    load_view,
    rows,
    state,
)
from toucanspring.policy import admission

MAX_BYTES = 2_000_000


def wide_job(number, organisation="desk", steps=1500):
    """Return a job whose row has some 35 kB, and that takes 0.5 MB in memory."""
    return case.job(
        f"{number:016x}",
        *[case.step(1, cpus=10, required_label=f"{each}") for each in range(steps)],
        organisation=organisation,
    )


def done_step(done, occurrence=0):
    """Return the progress of a step of which some tasks are done."""
    tasks = tuple(rows.TaskRow(index, 1, done=True) for index in range(done))
    return rows.StepRow(occurrence, 0, tasks)


def measure(action):
    """Return the most bytes that an action held at any time."""
    gc.collect()
    tracemalloc.start()
    try:
        action()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


class SharesTest(testtools.TestCase):
    def fill(self, held, organisation, size, count=1000):
        """Hold jobs until there is no room; return how many there are."""
        for number in range(count):
            entry = backlog.Entry(organisation, "q", False, size)
            if not held.has_room(entry):
                return number
            held.hold(f"{organisation}-{size}-{number}", entry)
        return count

    # Guards against one organisation, or its large jobs, that fill the memory for all.
    def test_there_is_room_for_the_first_jobs_of_another_line(self):
        held = backlog.Backlog(1_000_000)
        large = self.fill(held, "one", 100_000)
        small = self.fill(held, "one", 10_000)
        others = [self.fill(held, f"org-{each}", 10_000) for each in range(5)]
        self.assertEqual(5, large)
        self.assertGreater(small, 10)
        self.assertGreater(min(others), 0)
        reserved = 7 * backlog.RESERVED_BYTES
        self.assertLessEqual(held.held_bytes(), 1_000_000 + reserved)

    def test_jobs_wait_in_the_order_of_their_line(self):
        held = backlog.Backlog(50_000)
        entry = backlog.Entry("one", "q", False, 20_000)
        held.hold("0", entry)
        for name in ("1", "2"):
            self.assertFalse(held.has_room(entry))
            held.add(name, entry)
        self.assertIsNone(held.find_next())
        held.release("0")
        self.assertEqual("1", held.find_next())
        # A newcomer doesn't take the memory that has become free.
        self.assertFalse(held.has_room(entry))
        held.hold("1", entry)
        self.assertIsNone(held.find_next())
        self.assertEqual(1, held.count_queued("q"))

    # Guards against a job that is accepted and larger than the memory for jobs.
    def test_a_job_larger_than_the_memory_is_held_beside_small_ones(self):
        held = backlog.Backlog(1000)
        entry = backlog.Entry("one", "q", False, 50_000)
        self.assertTrue(held.has_room(entry))
        held.hold("0", entry)
        self.assertFalse(held.has_room(entry))
        self.assertFalse(held.has_room(backlog.Entry("other", "q", False, 50_000)))
        for name in ("one", "other"):
            self.assertEqual(8, self.fill(held, name, 4000))

    def test_the_size_bounds_the_memory_of_a_job(self):
        for steps in (1, 3, 100):
            values = [rows.encode(wide_job(each, steps=steps)) for each in range(50)]
            cell = case.new_cell()

            def accept(cell, values):
                for value in values:
                    cell.accept(rows.decode(case.job_specs.Job, value), 0.0)

            used = measure(functools.partial(accept, cell, values))
            self.assertLess(used, cell.backlog.held_bytes())
            self.assertGreater(used, cell.backlog.held_bytes() / 4)


class FullBacklogTest(testtools.TestCase):
    # Guards against names of waiting jobs that fill the memory instead of the jobs.
    def test_a_submission_is_refused_while_too_many_jobs_wait(self):
        cell = cell_state.CellState(16_000)
        cell.configure(case.configure())
        builder = load_report.Builder(cell, 1, 0.0)
        view, spec = load_view.View(), case.job("f" * 16)
        for number in range(16):
            view.receive(builder.build(1.0 + number / 10), 1.0 + number / 10)
            found = view.decide(spec, case.queue(), case.resources.ZERO, 2.6, 0.5)
            is_refused = isinstance(found, admission.Refuse)
            self.assertEqual(len(cell.backlog) >= 10, is_refused)
            cell.accept(wide_job(number, steps=200), 0.0)
        self.assertEqual(admission.BACKLOG, found.reason)
        self.assertGreaterEqual(found.retry_after_s, 5)


class EndedJobsTest(testtools.TestCase):
    # Guards against jobs that end faster than they are forgotten and fill the memory.
    def test_a_submission_is_refused_while_too_many_ended_jobs_are_kept(self):
        cell = cell_state.CellState(20_000)
        cell.configure(case.configure())
        for number in range(40):
            self.assertEqual(number >= 35, cell.is_full())
            name = f"{number:016x}"
            cell.accept(case.job(name, case.step(1), payload="x" * 4000), 0.0)
            record = cell.cancel(name, 1.0)
            record.durable_state, record.has_copy = record.state, True
            cell.shrink(record)
        self.assertEqual(0, cell.backlog.held_bytes())

    # Guards against a payload, or steps, that are kept for 150 s after the end.
    def test_an_ended_job_takes_little_memory(self):
        cell = case.new_cell()

        def end_jobs():
            for number in range(500):
                name = f"{number:016x}"
                spec = case.job(name, *[case.step(1)] * 30, payload=f"{number}" * 1000)
                cell.accept(spec, 0.0)
                record = cell.cancel(name, 1.0)
                record.durable_state, record.has_copy = record.state, True
                cell.shrink(record)
            cell.dirty.clear()

        gc.collect()
        tracemalloc.start()
        try:
            end_jobs()
            held, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(held, 500 * backlog.ENDED_JOB_BYTES)


class BacklogTest(leadership_case.LeadershipCase):
    def setUp(self):
        super().setUp()
        other = case.catalogue.Organisation(name="other", keys=frozenset(), weight=0.0)
        self.directory.catalogue = case.configure(organisations=(other,))
        self.max_progress_bytes = MAX_BYTES / 8

    def start_leadership(self, process="one"):
        leader = super().start_leadership(process)
        leader.cell.backlog._max_bytes = MAX_BYTES
        leader._job_rows._max_bytes = MAX_BYTES / 8
        leader._job_rows.progress._max_bytes = self.max_progress_bytes
        return leader

    def put(self, spec):
        self.workers.jobs[spec.id] = spec
        self.store.put(rows.job_row_ids(spec.id)[0], rows.encode(spec))

    def put_wide(self, count):
        for number in range(count):
            self.put(wide_job(number + 1))

    # Guards against a bound for one submission that is none for many: each of these
    # takes 2.2 MB.
    def test_jobs_beyond_the_memory_wait_in_the_store(self):
        leader = self.coordinate()
        self.put_wide(8)
        self.wait_for(lambda: len(leader.cell.jobs) + len(leader.cell.backlog) == 8)
        self.assertEqual(1, len(leader.cell.jobs))
        for number in range(8):
            self.assertEqual(state.JobState.QUEUED, leader.status(f"{number + 1:016x}"))
            self.assertTrue(leader.holds(f"{number + 1:016x}"))
        self.assertEqual(8, leader.pending(case.QUEUE))
        values = [row.value for row in leader._jobs.rows.values()]
        self.assertEqual({b""}, set(values))

    # Guards against others' work that waits for the end of what fills the memory.
    def test_the_work_of_others_runs_meanwhile(self):
        leader = self.coordinate()
        self.put_wide(8)
        self.wait_for(lambda: len(leader.cell.backlog) == 7)
        for number in range(20):
            self.put(
                case.job(f"{number + 100:016x}", case.step(2), organisation="other")
            )
        self.wait_for(
            lambda: all(self.is_complete(f"{each + 100:016x}") for each in range(20))
        )
        # Small jobs of the same organisation as well.
        self.accept(case.step(2), job_id="f" * 16)
        self.wait_for(lambda: self.is_complete("f" * 16))

    # Guards against work that is never taken out of the store again.
    def test_what_waits_runs_once_there_is_memory(self):
        leader = self.coordinate()
        for number in range(6):
            steps = [case.step(1, cpus=10 + each, memory=1) for each in range(1500)]
            self.put(case.job(f"{number + 1:016x}", *steps[:60], payload="x" * 100))
        leader.cell.backlog._max_bytes = 100_000
        for number in range(6, 12):
            steps = [case.step(1, cpus=10 + each, memory=1) for each in range(60)]
            self.put(case.job(f"{number + 1:016x}", *steps))
        self.wait_for(
            lambda: all(self.is_complete(f"{each + 1:016x}") for each in range(12)), 20
        )
        self.wait_for(lambda: leader.cell.backlog.held_bytes() == 0)
        self.assert_no_violations()

    # Guards against one odd job that ends the reading of all others.
    def test_the_others_are_read_after_one_that_raises(self):
        leader = self.coordinate()
        self.put_wide(4)
        self.wait_for(lambda: len(leader.cell.backlog) == 3)
        odd = next(iter(leader.cell.backlog._entries))
        accept = leader.cell.accept

        def raise_for_one(spec, *arguments):
            if spec.id == odd:
                raise ValueError(spec.id)
            accept(spec, *arguments)

        leader.cell.accept = raise_for_one
        leader.cell.backlog._max_bytes = 20 * MAX_BYTES
        self.wait_for(lambda: len(leader.cell.jobs) == 3)
        self.assertIn(odd, leader.cell.backlog)
        leader.cell.accept = accept
        self.wait_for(lambda: odd in leader.cell.jobs)

    def test_a_job_in_the_backlog_is_cancelled(self):
        leader = self.coordinate()
        self.put_wide(4)
        self.wait_for(lambda: len(leader.cell.backlog) == 3)
        name = next(iter(leader.cell.backlog._entries))
        self.assertEqual(state.JobState.CANCELLED, leader.cancel(name))
        self.assertNotIn(name, leader.cell.backlog)
        self.assertEqual(3, leader.pending(case.QUEUE))
        self.wait_for(lambda: leader.cell.jobs[name].is_shrunk)
        self.assertEqual(state.JobState.CANCELLED, leader.status(name))

    # Guards against successors that end as they read all accepted jobs at once.
    def test_a_successor_lets_them_wait_as_well(self):
        leader = self.coordinate()
        self.put_wide(8)
        cancelled = f"{8:016x}"
        self.wait_for(lambda: len(leader.cell.jobs) + len(leader.cell.backlog) == 8)
        self.assertEqual(state.JobState.CANCELLED, leader.cancel(cancelled))
        self.kill()
        self.store.remove(rows.LEADER_LEASE_ROW)
        leader = self.coordinate("two")
        self.assertLessEqual(len(leader.cell.jobs), 2)
        self.assertGreaterEqual(len(leader.cell.backlog), 6)
        self.assertEqual(state.JobState.CANCELLED, leader.status(cancelled))
        self.assertEqual(7, leader.pending(case.QUEUE))
        self.assertFalse(leader._job_rows.outlines)

    # Guards against progress that is lost while a job waits, so that it starts again
    # from the beginning.
    def test_a_job_that_has_begun_keeps_its_progress_in_the_backlog(self):
        spec = wide_job(1)
        self.put(spec)
        self.put(wide_job(2))
        done = tuple(rows.StepRow(0, each, (), True) for each in range(1500))
        for number in (1, 2):
            known = rows.Progress("active", done[:-1], True)
            self.store.put(rows.progress_row_id(f"{number:016x}"), rows.encode(known))
        leader = self.coordinate()
        [name] = leader.cell.backlog._entries
        self.assertEqual(state.JobState.ACTIVE, leader.status(name))
        leader.cell.backlog._max_bytes = 10 * MAX_BYTES
        self.wait_for(lambda: name in leader.cell.jobs)
        self.assertEqual(1499, leader.cell.jobs[name].steps.count_done())

    # Guards against a task that runs again after a takeover that didn't keep its end.
    def test_progress_that_a_load_left_out_is_read_again(self):
        early, late = "1" * 16, "2" * 16
        known = rows.Progress("active", (done_step(2900),), True)
        for name in (early, late):
            self.store.put(rows.progress_row_id(name), rows.encode(known))
        self.put(case.job(early, case.step(2901)))
        self.max_progress_bytes = 0
        leader = self.coordinate()
        self.wait_for(lambda: self.is_complete(early))
        self.put(case.job(late, case.step(2901)))
        self.wait_for(lambda: self.is_complete(late), 20)
        tasks = [f"{each}.0.0.2900" for each in (early, late)]
        self.assertEqual(tasks, sorted(self.workers.done))
        self.assertFalse(leader.cell.unread_progress)

    # Guards against a cancellation that is answered as if none of the job had begun.
    def test_a_job_whose_progress_was_left_out_is_cancelled(self):
        known = rows.Progress("active", (done_step(2900),), True)
        self.store.put(rows.progress_row_id("1" * 16), rows.encode(known))
        self.max_progress_bytes = 0
        leader = self.coordinate()
        self.assertIsInstance(leader.cancel("1" * 16), errors.Unavailable)
        self.store.put(
            rows.job_row_ids("1" * 16)[0],
            rows.encode(case.job("1" * 16, case.step(2901, cpus=10**6))),
        )
        self.wait_for(lambda: leader.holds("1" * 16))
        self.assertEqual(state.JobState.CANCELLED, leader.cancel("1" * 16))
