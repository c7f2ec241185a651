"""Tests of learned run times and remaining times of jobs."""

import testtools

from test import coordinator_case as case
from toucanspring.coordinator import job_times, planner, state

JOB = "0" * 16


class JobTimesTest(testtools.TestCase):
    """The declared time of each task is 1 s."""

    def setUp(self):
        super().setUp()
        self.cell = case.new_cell(case.entry())
        self.cell_planner = planner.Planner(self.cell)

    def start(self, *steps, now=1.0, job_id=JOB, queue=case.QUEUE):
        self.cell.accept(case.job(job_id, *steps, queue=queue), now)
        case.confirm(self.cell, self.cell_planner.plan(now), now)
        return self.cell.jobs[job_id].steps[0, 0]

    def end(self, step_run, index, now, number):
        rows = [
            case.running(step_run.task_id(each.index), percent=each.percent)
            for each in step_run.tasks
            if each.index != index and each.phase is state.TaskPhase.RUNNING
        ]
        ends = [case.ended(number, step_run.task_id(index))]
        case.poll(self.cell, "w1", rows, ends, now=now)
        self.cell.workers["w1"].acked_end = number

    def remaining_s(self, step_run, now):
        step_run.remaining_until = 0.0
        return job_times.remaining_chain_s(self.cell, step_run, now)

    def test_without_samples_the_declared_times_apply(self):
        self.cell.accept(
            case.job(JOB, case.step(2), case.step(after=(0,)), case.step(after=(0, 1))),
            1.0,
        )
        step_run = self.cell.jobs[JOB].steps[0, 0]
        self.assertEqual(3.0, self.remaining_s(step_run, 1.0))

    def test_parallel_steps_do_not_add_up(self):
        # Guards against lateness by the sum of all steps.
        self.cell.accept(
            case.job(JOB, case.step(), case.step(after=(0,)), case.step(after=(0,))),
            1.0,
        )
        self.assertEqual(2.0, self.remaining_s(self.cell.jobs[JOB].steps[0, 0], 1.0))

    def test_siblings_that_ended_tell_more_than_the_declared_time(self):
        # Guards against lateness by declared times that are off by up to 0.9.
        step_run = self.start(case.step(4))
        self.end(step_run, 0, now=5.0, number=1)
        self.assertAlmostEqual(4.0, job_times.task_s(self.cell, step_run))

    def test_a_tail_does_not_change_what_siblings_tell(self):
        # Guards against a tail seven times as long that makes its siblings look late.
        step_run = self.start(case.step(5))
        for number, took_s in enumerate((1.0, 1.1, 1.2, 7.0)):
            self.end(step_run, number, now=1.0 + took_s, number=number + 1)
        self.assertAlmostEqual(1.15, job_times.task_s(self.cell, step_run))

    def test_progress_of_running_tasks_counts(self):
        # Guards against a step that counts in full until its last task ends.
        step_run = self.start(case.step(2), case.step(after=(0,)))
        rows = [case.running(step_run.task_id(n), percent=50) for n in range(2)]
        case.poll(self.cell, "w1", rows, now=3.0)
        # 2 s are left of 4 s, then comes the next step.
        self.assertAlmostEqual(3.0, self.remaining_s(step_run, 3.0))
        self.assertAlmostEqual(2.0, self.remaining_s(step_run, 4.0))

    def test_the_queue_tells_what_the_step_does_not(self):
        # Guards against declared times where the whole queue ends in half of them.
        for number in range(6):
            job_id = f"{number:016x}"
            now = 1.0 + 10 * number
            step_run = self.start(case.step(1), now=now, job_id=job_id)
            self.end(step_run, 0, now=now + 0.5, number=number + 1)
        self.cell.accept(case.job("f" * 16, case.step(1)), 90.0)
        step_run = self.cell.jobs["f" * 16].steps[0, 0]
        self.assertAlmostEqual(0.5, self.remaining_s(step_run, 90.0))

    def test_a_task_with_a_checkpoint_counts_with_what_is_left(self):
        step_run = self.start(case.step(1, checkpointing=True))
        task = step_run.tasks[0]
        task.checkpoint, task.percent = "50", 50
        self.cell.requeue(step_run, task, 2.0)
        self.assertAlmostEqual(0.5, self.remaining_s(step_run, 2.0))

    def test_slack_counts_the_whole_job(self):
        # Guards against a job that seems to be in time until its last step begins.
        self.cell.accept(case.job(JOB, case.step(), case.step(after=(0,))), 1.0)
        step_run = self.cell.jobs[JOB].steps[0, 0]
        self.assertEqual(6.0, step_run.job.due_at)
        self.assertEqual(3.0, job_times.slack_s(self.cell, step_run, 1.0))

    def test_run_times_are_learned_at_nominal_speed(self):
        # Guards against a slow worker that makes its tasks look like tails.
        worker = self.cell.workers["w1"]
        self.cell.speeds._speeds["w1"] = 0.5
        self.assertEqual(0.5, self.cell.speeds.speed("w1", worker.kind))
        step_run = self.start(case.step(2))
        self.end(step_run, 0, now=5.0, number=1)
        self.assertAlmostEqual(2.0, job_times.task_s(self.cell, step_run))

    def test_a_new_coordinator_learns_from_the_first_polls(self):
        # Guards against a takeover after which lateness is wrong until jobs have ended.
        step_run = self.start(case.step(2))
        rows = [case.running(step_run.task_id(n), percent=20) for n in range(2)]
        case.poll(self.cell, "w1", rows, now=2.0)
        successor = case.new_cell(case.entry())
        progress = state.to_progress(self.cell.jobs[JOB])
        successor.restore(self.cell.jobs[JOB].spec, progress, 3.0, 2.0)
        restored = successor.jobs[JOB].steps[0, 0]
        self.assertAlmostEqual(1.0, job_times.task_s(successor, restored))
        for percent, now in ((30, 3.0), (50, 4.0)):
            rows = [
                case.running(restored.task_id(n), percent=percent) for n in range(2)
            ]
            case.poll(successor, "w1", rows, now=now)
        self.assertGreater(job_times.task_s(successor, restored), 1.9)
