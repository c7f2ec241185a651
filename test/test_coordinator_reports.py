"""Tests of worker reports and their effect on the cell state."""

import testtools

from test import coordinator_case as case
from toucanspring.coordinator import (
    catalogue,
    cell_state,
    dispatch,
    planner,
    ports,
    reports,
    rows,
    state,
)

JOB = "0" * 16


def start_all(cell, now=1.0):
    plan = planner.Planner(cell).plan(now)
    case.confirm(cell, plan, now)
    return plan.starts


class EndTest(testtools.TestCase):
    def begin(self, *steps, entries=(), **changes):
        cell = case.new_cell(*entries)
        cell.accept(case.job(JOB, *steps, **changes), 1.0)
        start_all(cell)
        return cell

    def test_the_last_end_completes_the_job(self):
        cell = self.begin(case.step(2))
        ends = [case.ended(n + 1, f"{JOB}.0.0.{n}") for n in range(2)]
        self.assertEqual([JOB, JOB], case.poll(cell, "w1", ended=ends, now=2.0))
        self.assertEqual(state.JobState.COMPLETED, cell.jobs[JOB].state)
        # Callers see the new state once it is durable.
        self.assertEqual(state.JobState.QUEUED, cell.jobs[JOB].durable_state)

    def test_an_end_counts_once(self):
        cell = self.begin(case.step(2))
        end = case.ended(1, f"{JOB}.0.0.0")
        case.poll(cell, "w1", ended=[end], now=2.0)
        self.assertEqual([], case.poll(cell, "w1", ended=[end], now=2.1))
        self.assertEqual(1, cell.jobs[JOB].steps[0, 0].unfinished)

    def test_a_later_step_opens_when_all_before_it_are_done(self):
        cell = self.begin(case.step(2), case.step(1, after=(0,)))
        first = case.ended(1, f"{JOB}.0.0.0")
        other = case.running(f"{JOB}.0.0.1")
        case.poll(cell, "w1", [other], [first], now=2.0)
        self.assertNotIn((0, 1), cell.jobs[JOB].steps)
        second = case.ended(2, f"{JOB}.0.0.1")
        case.poll(cell, "w1", ended=[second], now=2.1)
        self.assertIn((0, 1), cell.jobs[JOB].steps)

    def test_a_task_that_failed_too_often_fails_the_job(self):
        cell = self.begin(case.step(1), case.step(1))
        other = case.running(f"{JOB}.0.1.0")
        end = case.ended(1, f"{JOB}.0.0.0", how="failed")
        case.poll(cell, "w1", [other], [end], now=2.0)
        self.assertEqual(state.JobState.ACTIVE, cell.jobs[JOB].state)
        start_all(cell, 5.0)
        end = case.ended(2, f"{JOB}.0.0.0", run=2, how="failed")
        case.poll(cell, "w1", [other], [end], now=6.0)
        self.assertEqual([], start_all(cell, 6.0))
        self.assertEqual(state.JobState.FAILED, cell.jobs[JOB].state)
        self.assertEqual([cell_state.Stop("w1", f"{JOB}.0.1.0", 1)], cell.stops)

    def test_ends_other_than_failures_cost_no_attempt(self):
        cell = self.begin(case.step(1))
        for run, how in enumerate(("stopped", "lapsed", "broken", "alone"), 1):
            end = case.ended(run, f"{JOB}.0.0.0", run=run, how=how)
            case.poll(cell, "w1", ended=[end], now=2.0 + run)
            start_all(cell, 2.1 + run)
        task = cell.jobs[JOB].steps[0, 0].tasks[0]
        self.assertEqual((5, 0), (task.run, task.failures))

    def test_one_end_of_a_gang_completes_all_members(self):
        entries = [case.entry(f"w{n}", cpus=1000) for n in range(3)]
        cell = self.begin(case.step(3, gang=True), entries=entries)
        task = next(iter(cell.workers["w1"].allocations))
        case.poll(cell, "w1", ended=[case.ended(1, task)], now=2.0)
        self.assertEqual([case.DONE] * 3, case.phases(cell))
        self.assertEqual(state.JobState.COMPLETED, cell.jobs[JOB].state)

    def test_a_gang_that_loses_a_member_stops_and_counts_one_failure(self):
        entries = [case.entry(f"w{n}", cpus=1000) for n in range(3)]
        cell = self.begin(case.step(3, gang=True), entries=entries)
        for name, how in (("w0", "failed"), ("w1", "broken"), ("w2", "failed")):
            task = next(iter(cell.workers[name].allocations))
            case.poll(cell, name, ended=[case.ended(1, task, how=how)], now=2.0)
        run = cell.jobs[JOB].steps[0, 0]
        self.assertEqual({1}, {task.failures for task in run.tasks})
        self.assertEqual([], planner.Planner(cell).plan(2.1).starts)
        self.assertEqual({2}, {start.run for start in start_all(cell, 5.0)})

    def test_a_long_running_task_starts_again_however_it_ends(self):
        cell = self.begin(case.step(1, long_running=True))
        for run in range(1, 6):
            how = "failed" if run % 2 else "done"
            end = case.ended(run, f"{JOB}.0.0.0", run=run, how=how)
            case.poll(cell, "w1", ended=[end], now=run * 10.0)
            self.assertEqual(1, len(start_all(cell, run * 10.0 + 5)))


class UnknownQueueTest(testtools.TestCase):
    """Failed runs of jobs whose queue is in no configuration that has been read."""

    def fail(self, cell, run, number=1, now=2.0):
        end = case.ended(number, f"{JOB}.0.0.0", run=run, how="failed")
        case.poll(cell, "w1", ended=[end], now=now)

    def restored(self, failures, catalogue_):
        """Return a cell as restored while run 2 of a task may be running."""
        cell = case.new_cell(catalogue_=catalogue_)
        task = rows.TaskRow(
            0, 2, failures, worker="w1", incarnation=1, failed_run=min(failures, 1)
        )
        progress = rows.Progress("active", (rows.StepRow(0, 0, (task,)),))
        cell.restore(case.job(JOB, case.step(1)), progress, 1.0, 0.0)
        return cell

    # Guards against a job that is shown as failed after one failed run, since the
    # coordinator that learned of the failure had not read the configuration.
    def test_a_failure_ends_no_job_before_the_configuration_is_read(self):
        cell = self.restored(0, catalogue.Catalogue())
        self.fail(cell, run=2)
        self.assertEqual([], start_all(cell, 5.0))
        self.assertEqual(state.JobState.ACTIVE, cell.jobs[JOB].state)
        cell.configure(case.configure())
        [start] = start_all(cell, 5.1)
        self.assertEqual(3, start.run)

    # Guards against a task that starts again after as many failed runs as its queue
    # allows, since the last failure was learned before the configuration.
    def test_a_task_without_attempts_left_fails_once_the_configuration_is_read(self):
        cell = self.restored(1, catalogue.Catalogue())
        self.fail(cell, run=2)
        cell.configure(case.configure())
        self.assertEqual([], start_all(cell, 5.0))
        self.assertEqual(state.JobState.FAILED, cell.jobs[JOB].state)

    # Guards against a task that a successor starts again after the failures that its
    # predecessor has recorded.
    def test_restored_failures_count(self):
        cell = self.restored(2, case.configure())
        case.poll(cell, "w1", now=2.0)
        self.assertEqual([], start_all(cell, 5.0))
        self.assertEqual(state.JobState.FAILED, cell.jobs[JOB].state)

    # Guards against a job that is shown as failed after one failed run, since its queue
    # was removed while the task ran.
    def test_a_failure_ends_no_job_whose_queue_was_removed(self):
        cell = self.restored(0, case.configure(case.queue("other")))
        self.fail(cell, run=2)
        self.assertEqual([], start_all(cell, 5.0))
        self.assertEqual(state.JobState.ACTIVE, cell.jobs[JOB].state)


class PollTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cell = case.new_cell()
        self.cell.accept(case.job(JOB, case.step(1)), 1.0)

    def test_a_run_that_is_not_listed_after_its_start_is_gone(self):
        start_all(self.cell, 1.0)
        case.poll(self.cell, "w1", now=2.0, sent_at=0.9)
        self.assertEqual([case.RUNNING], case.phases(self.cell))
        case.poll(self.cell, "w1", now=2.0, sent_at=1.1)
        self.assertEqual([case.WAITING], case.phases(self.cell))

    def test_a_start_under_way_is_not_gone(self):
        planner.Planner(self.cell).plan(1.0)
        case.poll(self.cell, "w1", now=2.0)
        self.assertEqual([state.TaskPhase.STARTING], case.phases(self.cell))

    def test_an_unknown_task_is_stopped_and_nothing_starts_beside_it(self):
        other = case.running("f" * 16 + ".0.0.0")
        case.poll(self.cell, "w1", running=[other], now=1.0)
        stop = cell_state.Stop("w1", "f" * 16 + ".0.0.0", 1)
        self.assertEqual([stop], self.cell.stops)
        self.assertEqual([], planner.Planner(self.cell).plan(1.1).starts)

    def test_a_requeued_task_keeps_its_checkpoint(self):
        start_all(self.cell)
        row = case.running(f"{JOB}.0.0.0", checkpoint="c1", percent=40)
        case.poll(self.cell, "w1", running=[row], now=1.5)
        end = case.ended(1, f"{JOB}.0.0.0", how="lapsed")
        case.poll(self.cell, "w1", ended=[end], now=2.0)
        [start] = planner.Planner(self.cell).plan(2.1).starts
        self.assertEqual("c1", start.task.checkpoint)

    def test_a_task_without_progress_is_stuck(self):
        start_all(self.cell, 1.0)
        worker = self.cell.workers["w1"]
        for now, percent in ((1.5, 10), (2.0, 20), (3.0, 20)):
            row = case.running(f"{JOB}.0.0.0", percent=percent)
            case.poll(self.cell, "w1", running=[row], now=now, sent_at=now)
        self.assertEqual([], reports.find_stuck(worker, 3.0))
        self.assertEqual(1, len(reports.find_stuck(worker, 3.5)))

    # Guards against a worker that was only paused or silent and whose tasks start again
    # elsewhere as soon as it is back.
    def test_the_silence_of_a_worker_is_no_standstill_of_its_tasks(self):
        start_all(self.cell, 1.0)
        worker = self.cell.workers["w1"]
        standing = case.running(f"{JOB}.0.0.0", percent=20)
        for now in (1.5, 2.0, 6.0, 6.5):
            case.poll(self.cell, "w1", running=[standing], now=now, sent_at=now)
        self.assertEqual([], reports.find_stuck(worker, 6.5))
        case.poll(self.cell, "w1", running=[standing], now=7.5, sent_at=7.5)
        self.assertEqual(1, len(reports.find_stuck(worker, 7.5)))

    def test_two_polls_without_an_end_between_them_find_a_stuck_task(self):
        # Nothing progresses or ends on the worker, so each poll lasts its full wait.
        start_all(self.cell)
        worker = self.cell.workers["w1"]
        standing = case.running(f"{JOB}.0.0.0", percent=7)
        case.poll(self.cell, "w1", [standing], now=2.0)
        now = 2.0 + dispatch.POLL_WAIT_MS / 1000
        case.poll(self.cell, "w1", [standing], now=now)
        self.assertEqual(1, len(reports.find_stuck(worker, now)))

    def test_a_task_is_not_found_stuck_over_and_over(self):
        """Guards against a task that is far slower than estimated and never ends.

        It gains 1% in 2.5 s on each worker, and was stopped each time.
        """
        stops = 0
        for run in range(1, 6):
            began = run * 100.0
            [start] = start_all(self.cell, began)
            self.assertEqual(run, start.run)
            for tick in range(100):
                now = began + 0.5 + tick / 2
                row = case.running(f"{JOB}.0.0.0", run, percent=tick // 5)
                case.poll(self.cell, "w1", [row], now=now, sent_at=now)
                worker = self.cell.workers["w1"]
                if reports.find_stuck(worker, now):
                    break
            else:
                break
            stops += 1
            end = case.ended(run, f"{JOB}.0.0.0", run, how="stopped")
            case.poll(self.cell, "w1", ended=[end], now=now + 1)
        self.assertEqual(1, stops)

    def test_a_member_that_waits_for_the_others_of_its_gang_is_not_stuck(self):
        """A member that is done stays at 100% until slower members are done too."""
        cell = case.new_cell(case.entry("w1"), case.entry("w2"))
        gang = case.step(2, cpus=20_000, gang=True)
        cell.accept(case.job(JOB, gang), 1.0)
        start_all(cell, 1.0)
        for tick in range(20):
            now = 1.5 + tick * 0.5
            for name, percent in (("w1", 100), ("w2", 4 * tick)):
                [task] = cell.workers[name].allocations
                row = case.running(task, percent=percent)
                case.poll(cell, name, running=[row], now=now, sent_at=now)
                worker = cell.workers[name]
                self.assertEqual([], reports.find_stuck(worker, now))

    def test_tasks_of_a_lost_worker_are_requeued(self):
        start_all(self.cell)
        reports.mark_lost(self.cell, self.cell.workers["w1"], 9.0)
        self.assertEqual([case.WAITING], case.phases(self.cell))
        self.assertEqual([], planner.Planner(self.cell).plan(9.1).starts)


class CancelTest(testtools.TestCase):
    def test_a_cancelled_job_starts_nothing_and_stops_what_runs(self):
        cell = case.new_cell(case.entry(cpus=1000))
        cell.accept(case.job(JOB, case.step(2)), 1.0)
        start_all(cell)
        cell.cancel(JOB, 2.0)
        self.assertEqual([cell_state.Stop("w1", f"{JOB}.0.0.0", 1)], cell.stops)
        self.assertEqual([], planner.Planner(cell).plan(2.1).starts)
        cell.cancel(JOB, 3.0)
        self.assertEqual(state.JobState.CANCELLED, cell.jobs[JOB].state)

    def test_a_run_whose_start_is_confirmed_after_the_cancellation_stops(self):
        cell = case.new_cell()
        cell.accept(case.job(JOB, case.step(1)), 1.0)
        plan = planner.Planner(cell).plan(1.0)
        cell.cancel(JOB, 1.1)
        case.confirm(cell, plan, 1.2)
        self.assertEqual([cell_state.Stop("w1", f"{JOB}.0.0.0", 1)], cell.stops)


class RestoreTest(testtools.TestCase):
    def restored(self, progress, now=10.0):
        cell = case.new_cell(now=now - 1)
        spec = case.job(JOB, case.step(3))
        cell.restore(spec, progress, now, 0.0)
        return cell

    def progress(self):
        tasks = (
            rows.TaskRow(0, 1, done=True),
            rows.TaskRow(1, 2, worker="w1", incarnation=1, checkpoint="c"),
        )
        return rows.Progress("active", (rows.StepRow(0, 0, tasks),), True)

    def test_done_tasks_stay_done_and_recorded_starts_are_in_doubt(self):
        cell = self.restored(self.progress())
        self.assertEqual(
            [case.DONE, state.TaskPhase.IN_DOUBT, case.WAITING], case.phases(cell)
        )
        self.assertEqual(1000, cell.workers["w1"].used.cpus)

    def test_a_poll_resolves_tasks_in_doubt(self):
        cell = self.restored(self.progress())
        case.poll(cell, "w1", running=[case.running(f"{JOB}.0.0.1", 2)], now=11.0)
        self.assertEqual(case.RUNNING, case.phases(cell)[1])
        cell = self.restored(self.progress())
        case.poll(cell, "w1", now=11.0)
        self.assertEqual(case.WAITING, case.phases(cell)[1])

    def test_a_gang_whose_failure_is_recorded_fails_once(self):
        """After a failover, other members report the end of the same run."""
        cell = case.new_cell(case.entry("w1"), case.entry("w2"), now=9.0)
        tasks = (
            rows.TaskRow(0, 1, failures=1, failed_run=1),
            rows.TaskRow(1, 1, failures=1, failed_run=1, worker="w2", incarnation=1),
        )
        progress = rows.Progress("active", (rows.StepRow(0, 0, tasks),))
        spec = case.job(JOB, case.step(2, gang=True))
        cell.restore(spec, progress, 10.0, 0.0)
        end = case.ended(1, f"{JOB}.0.0.1", how="failed")
        case.poll(cell, "w2", ended=[end], now=11.0)
        self.assertEqual(state.JobState.ACTIVE, cell.jobs[JOB].state)
        run = cell.jobs[JOB].steps[0, 0]
        self.assertEqual([1, 1], [task.failures for task in run.tasks])

    def test_an_earlier_run_of_a_restored_task_is_stopped(self):
        cell = self.restored(self.progress())
        case.poll(cell, "w1", running=[case.running(f"{JOB}.0.0.1", 1)], now=11.0)
        self.assertIn(cell_state.Stop("w1", f"{JOB}.0.0.1", 1), cell.stops)

    def test_stored_progress_survives_a_round_trip(self):
        cell = self.restored(self.progress())
        again = state.to_progress(cell.jobs[JOB])
        self.assertEqual(self.progress(), again)
        self.assertEqual(again, rows.decode(rows.Progress, rows.encode(again)))

    def test_the_checkpoint_of_a_done_task_is_not_stored(self):
        # Guards against a progress row that grows beyond what the store takes.
        cell = self.restored(self.progress())
        end = case.ended(1, f"{JOB}.0.0.1", run=2, checkpoint="c2")
        case.poll(cell, "w1", ended=[end], now=11.0)
        self.assertEqual(case.DONE, case.phases(cell)[1])
        [step] = state.to_progress(cell.jobs[JOB]).steps
        self.assertEqual(["", ""], [task.checkpoint for task in step.tasks])

    def test_run_numbers_increase_across_a_failover(self):
        cell = self.restored(self.progress())
        case.poll(cell, "w1", now=11.0)
        [first, second] = planner.Planner(cell).plan(11.1).starts
        self.assertEqual([(1, 3), (2, 1)], [
            (first.task.index, first.run), (second.task.index, second.run)
        ])  # fmt: skip


class EntryTest(testtools.TestCase):
    def test_an_unregistered_worker_gets_no_new_tasks(self):
        cell = case.new_cell()
        cell.accept(case.job(JOB), 1.0)
        cell.mark_unregistered("w1")
        self.assertEqual([], planner.Planner(cell).plan(1.0).starts)

    def test_a_worker_known_from_restored_tasks_only_is_added(self):
        cell = cell_state.CellState()
        cell.configure(case.configure())
        tasks = (rows.TaskRow(0, 1, worker="w9", incarnation=1),)
        progress = rows.Progress("active", (rows.StepRow(0, 0, tasks),))
        cell.restore(case.job(JOB, case.step(1)), progress, 1.0, 0.0)
        self.assertFalse(cell.workers["w9"].registered)
        self.assertIsInstance(cell.workers["w9"].entry, ports.WorkerEntry)
        reports.mark_lost(cell, cell.workers["w9"], 20.0)
        self.assertEqual([case.WAITING], case.phases(cell))


class LostGangMemberTest(testtools.TestCase):
    """A worker restarts right after the gang on it has completed."""

    def test_a_gang_is_done_although_a_member_was_requeued_before(self):
        """Guards against a member that waits forever for members that are done."""
        entries = [case.entry(f"w{n}", cpus=1000) for n in range(2)]
        cell = case.new_cell(*entries)
        cell.accept(case.job(JOB, case.step(2, gang=True)), 1.0)
        start_all(cell)
        case.poll(cell, "w0", now=2.0, incarnation=2)
        self.assertIn(case.WAITING, case.phases(cell))
        [task] = cell.workers["w1"].allocations
        case.poll(cell, "w1", ended=[case.ended(1, task)], now=2.1)
        self.assertEqual([case.DONE] * 2, case.phases(cell))
        self.assertEqual(state.JobState.COMPLETED, cell.jobs[JOB].state)
        self.assertEqual({}, cell.ready)


class DroppedStopTest(testtools.TestCase):
    """A stop is not sent, or has no effect, and the worker goes on."""

    def test_the_stop_of_a_member_on_an_unregistered_worker_is_ordered_again(self):
        """Guards against a gang that waits forever for a member that is stopping.

        After a takeover the worker of the member registers late: its stop could not be
        sent without an address.
        """
        entries = [case.entry(f"w{n}", cpus=1000) for n in range(2)]
        old = case.new_cell(*entries)
        old.accept(case.job(JOB, case.step(2, gang=True)), 1.0)
        start_all(old)
        record = old.jobs[JOB]
        cell = case.new_cell(entries[0])
        cell.restore(record.spec, state.to_progress(record), 2.0, 1.0)
        case.poll(cell, "w0", now=2.1)  # its member is gone, so the other is stopped
        self.assertEqual(1, len(cell.stops))
        cell.stops.clear()  # dropped: the worker has no address
        cell.register_worker(entries[1])
        [task] = cell.workers["w1"].allocations
        row = case.running(task)
        for tick in range(1, 5):
            case.poll(cell, "w1", [row], now=2.1 + tick, sent_at=2.1 + tick)
        self.assertEqual([cell_state.Stop("w1", task, 1)], cell.stops)

    # Guards against the loss of work of a job whose progress cannot be read: its runs
    # were stopped as unknown.
    def test_a_run_of_a_job_that_is_left_alone_is_not_stopped(self):
        cell = case.new_cell()
        cell.unreadable.add(JOB)
        case.poll(cell, "w1", running=[case.running(f"{JOB}.0.0.0")], now=2.0)
        case.poll(cell, "w1", running=[case.running(f"{JOB}.0.0.0")], now=9.0)
        self.assertEqual([], cell.stops)
        cell.accept(case.job("1" * 16), 9.0)
        self.assertEqual([], start_all(cell, 9.1))  # the demand of the run is unknown

    def test_another_run_of_an_unknown_task_is_stopped_too(self):
        """Guards against a worker that stays full with a run nobody stops."""
        cell = case.new_cell()
        task = "f" * 16 + ".0.0.0"
        case.poll(cell, "w1", running=[case.running(task, run=1)], now=1.0)
        case.poll(cell, "w1", running=[case.running(task, run=2)], now=1.1)
        self.assertEqual(
            [cell_state.Stop("w1", task, 1), cell_state.Stop("w1", task, 2)], cell.stops
        )

    def test_an_unknown_task_that_goes_on_is_stopped_again(self):
        """Guards against a worker that stays unusable after a stop was lost."""
        cell = case.new_cell()
        row = case.running("f" * 16 + ".0.0.0")
        for now in (1.0, 2.0, 3.0, 4.1, 5.0):
            case.poll(cell, "w1", running=[row], now=now)
        self.assertEqual(2, len(cell.stops))

    def test_a_member_that_runs_without_the_others_after_a_takeover_is_stopped(self):
        """Guards against a gang that waits for a member of a broken run."""
        entries = [case.entry(f"w{n}", cpus=1000) for n in range(2)]
        old = case.new_cell(*entries)
        old.accept(case.job(JOB, case.step(2, gang=True)), 1.0)
        start_all(old)
        case.poll(old, "w0", now=2.0, incarnation=2)
        record = old.jobs[JOB]
        cell = case.new_cell(*entries)
        cell.restore(record.spec, state.to_progress(record), 2.0, 1.0)
        [task] = cell.workers["w1"].allocations
        case.poll(cell, "w1", [case.running(task)], now=2.1)
        self.assertEqual([cell_state.Stop("w1", task, 1)], cell.stops)
