"""Memory and time of a coordinator beside much accepted work that can't run yet."""

import collections
import functools
import gc
import tracemalloc

import testtools

from test import coordinator_case as case
from toucanspring.coordinator import (
    openings,
    planner,
    ports,
    recovery,
    rows,
    state,
    table_reader,
)

NOW_MS = 10**12
# For 1.5 million tasks; the smallest VM has 160 MB, and a process takes 50 before it
# has any work.
MAX_BYTES = 16_000_000


def small_step(count, **changes):
    return case.step(count, cpus=10, memory=1, **changes)


def recurring(number, width, repeats, **changes):
    values = {"repeats": repeats, "first_at_ms": 1, "interval_ms": 1}
    return case.job(f"{number:016x}", small_step(width), **{**values, **changes})


def measure(action):
    """Return the bytes that are held after an action and were not before."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = action()
        gc.collect()
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del kept
    return held


def accept_all(cell, jobs):
    for each in jobs:
        cell.accept(each, 0.0)
    cell.open_due_occurrences(NOW_MS, 0.0)


class Runner:
    """Runs the work of a cell: what starts in a round is done in the next."""

    def __init__(self, cell):
        self.cell = cell
        self.planner = planner.Planner(cell)
        self.planner.max_starts = 10_000
        self.ends = collections.Counter()
        self.most_open = 0

    def run_round(self, now, done=True):
        plan = self.planner.plan(now)
        case.confirm(self.cell, plan, now)
        self.most_open = max(self.most_open, len(self.cell.ready))
        ended = collections.defaultdict(list)
        for start in plan.starts if done else ():
            self.ends[start.worker.id] += 1
            task_id = start.step.task_id(start.task.index)
            ended[start.worker.id].append(
                case.ended(self.ends[start.worker.id], task_id, start.run)
            )
        for name, rows_ in ended.items():
            case.poll(self.cell, name, ended=rows_, now=now)
        return plan

    def run(self, rounds):
        starts = [len(self.run_round(1.0 + each / 10).starts) for each in range(rounds)]
        return sum(starts)


class SizesTest(testtools.TestCase):
    # Guards against coordinators that one small recurring submission ends in turn: a
    # task that has not begun had an object of its own.
    def test_one_submission_of_many_tasks_takes_little_memory(self):
        cell = case.new_cell()
        jobs = [recurring(1, 500, 3000)]
        self.assertLess(measure(lambda: accept_all(cell, jobs)), MAX_BYTES)

    # Guards against a bound for one submission that is none for many.
    def test_many_submissions_take_little_memory(self):
        for count in (30, 300):
            jobs = [recurring(each, 500, 3000 // count) for each in range(count)]
            held = measure(functools.partial(accept_all, case.new_cell(), jobs))
            self.assertLess(held, MAX_BYTES)

    # Guards against steps that all are open since nothing comes before them.
    def test_submissions_of_many_steps_take_little_memory(self):
        cell = case.new_cell()
        step = small_step(1)
        jobs = [case.job(f"{each:016x}", *[step] * 1000) for each in range(160)]
        self.assertLess(measure(lambda: accept_all(cell, jobs)), MAX_BYTES)

    # Guards against successors that end in the same way: rows of an earlier version
    # name each occurrence that was open.
    def test_a_takeover_opens_no_more_than_there_was_before(self):
        spec = recurring(1, 500, 3000)
        listed = [
            ports.Row(
                rows.occurrence_row_id(spec.id, each),
                rows.encode(rows.Progress("", (rows.StepRow(each, 0, ()),))),
                1,
            )
            for each in range(3000)
        ]
        active = rows.Progress(state.JobState.ACTIVE.value, (), True)
        listed.append(ports.Row(rows.progress_row_id(spec.id), rows.encode(active), 1))
        read = table_reader.TableSnapshot({row.id: row for row in listed}, 1, {})
        job_row = ports.Row(rows.job_row_ids(spec.id)[0], rows.encode(spec), 1)
        cell = case.new_cell()

        def take_over():
            recovery.restore(cell, [job_row], read, 0.0)
            cell.open_due_occurrences(NOW_MS, 0.0)

        self.assertLess(measure(take_over), MAX_BYTES)
        self.assertEqual(openings.MAX_NOT_BEGUN, len(cell.ready))

    # Guards against work that is left out and never opened.
    def test_all_of_a_wide_recurring_job_runs_in_the_end(self):
        cell = case.new_cell()
        spec = recurring(1, 3, 500)
        spec = case.job(
            spec.id, *spec.steps, small_step(2, after=(0,)), repeats=500, interval_ms=1
        )
        accept_all(cell, [spec])
        runner = Runner(cell)
        self.assertEqual(500 * 5, runner.run(60))
        self.assertIs(state.JobState.COMPLETED, cell.jobs[spec.id].state)
        self.assertLessEqual(runner.most_open, 4 * openings.MAX_NOT_BEGUN)
        self.assertEqual(0, len(cell.jobs[spec.id].steps))

    def test_all_independent_steps_run_in_the_end(self):
        cell = case.new_cell()
        steps = [small_step(1) for _ in range(900)]
        accept_all(cell, [case.job("1" * 16, *steps, small_step(1, after=(0, 899)))])
        runner = Runner(cell)
        self.assertEqual(901, runner.run(40))
        self.assertIs(state.JobState.COMPLETED, cell.jobs["1" * 16].state)

    # Guards against a step that could run behind many of its job that can't.
    def test_a_step_of_another_kind_does_not_wait_for_the_bound(self):
        cell = case.new_cell()
        blocked = [small_step(1, required_label="none") for _ in range(300)]
        accept_all(cell, [case.job("1" * 16, *blocked, small_step(1))])
        [start] = Runner(cell).run_round(1.0).starts
        self.assertEqual(300, start.step.number)

    # Guards against small work of others that waits behind the large one.
    def test_other_work_starts_beside_it(self):
        other = case.catalogue.Organisation(name="other", keys=frozenset(), weight=0.0)
        cell = case.new_cell(catalogue_=case.configure(organisations=(other,)))
        accept_all(cell, [recurring(each, 500, 10) for each in range(300)])
        runner = Runner(cell)
        runner.planner.max_starts = 100
        now = 20.0  # the large jobs are late
        for _ in range(3):
            runner.run_round(now, done=False)
        cell.accept(case.job("f" * 16, small_step(2), organisation="other"), now)
        started = {each.step.id for each in runner.run_round(now).starts}
        self.assertIn(f"{'f' * 16}.0.0", started)

    # Guards against a small late job that waits beside idle workers for the end of a
    # large one.
    def test_a_late_job_is_not_passed_over_beside_free_room(self):
        cell = case.new_cell()
        accept_all(cell, [recurring(1, 500, 3000)])
        cell.accept(case.job("f" * 16, small_step(2)), 0.0)
        runner = Runner(cell)
        runner.planner.max_starts = 100
        now = 20.0
        runner.run_round(now, done=False)
        started = {each.step.id for each in runner.run_round(now).starts}
        self.assertIn(f"{'f' * 16}.0.0", started)

    # Guards against starts that wait to be sent and make a pool seem full.
    def test_a_late_job_is_not_passed_over_beside_starts_that_wait(self):
        cell = case.new_cell()
        accept_all(cell, [recurring(1, 500, 3000)])
        runner = Runner(cell)
        runner.planner.max_starts = 100
        now = 20.0
        for _ in range(20):
            runner.run_round(now, done=False)  # 2,000 of 3,200
        cell.accept(case.job("f" * 16, small_step(2)), 0.0)
        started = {each.step.id for each in runner.run_round(now + 2.0).starts}
        self.assertIn(f"{'f' * 16}.0.0", started)

    # Guards against cancellations that leave what was cancelled in memory.
    def test_a_cancelled_job_holds_nothing(self):
        cell = case.new_cell()
        accept_all(cell, [recurring(1, 500, 3000)])
        record = cell.cancel(f"{1:016x}", 1.0)
        self.assertEqual((0, {}), (len(record.steps), cell.ready))


class ProgressTest(testtools.TestCase):
    # Guards against a successor that ends for want of memory, as each one after it: the
    # progress of all jobs was decoded at once, at many times the size of its rows.
    def test_the_progress_of_one_job_at_a_time_is_decoded(self):
        cell, stored = case.new_cell(), {}
        jobs = [case.job(f"{number:016x}", small_step(3000)) for number in range(100)]
        tasks = tuple(rows.TaskRow(index, 1, done=True) for index in range(2900))
        value = rows.encode(rows.Progress("active", (rows.StepRow(0, 0, tasks),), True))
        for each in jobs:
            row_id = rows.progress_row_id(each.id)
            stored[row_id] = ports.Row(row_id, value, 1)
        progress = table_reader.TableSnapshot(stored, 1, {})
        found = [
            ports.Row(rows.job_row_ids(each.id)[0], rows.encode(each), 1)
            for each in jobs
        ]
        tracemalloc.start()
        try:
            recovery.restore(cell, found, progress, 1.0)
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        self.assertEqual(100, len(cell.jobs))
        self.assertLess(peak, 5_000_000)
