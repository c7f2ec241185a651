"""Tests of the detection of slow workers."""

import testtools

from test import coordinator_case as case
from toucanspring import resources
from toucanspring.coordinator import planner, stop_causes, stragglers

JOB = "0" * 16


class SlowWorkerTest(testtools.TestCase):
    """A worker becomes several times slower but replies to polls as before."""

    def setUp(self):
        super().setUp()
        self.entries = [case.entry(f"w{n}", cpus=2000) for n in range(5)]
        self.cell = case.new_cell(*self.entries)
        self.cell_planner = planner.Planner(self.cell)

    def run_steps(self, step, slow=("w0",), seconds=3.0):
        self.cell.accept(case.job(JOB, step), 1.0)
        case.confirm(self.cell, self.cell_planner.plan(1.0), 1.0)
        for tick in range(1, int(seconds / 0.5) + 1):
            now = 1.0 + tick * 0.5
            for name, worker in self.cell.workers.items():
                rate = 2 if name in slow else 16
                rows = [
                    case.running(task, percent=min(99, rate * tick))
                    for task in worker.allocations
                ]
                case.poll(self.cell, name, rows, now=now, sent_at=0.0)

    def test_a_slow_worker_gets_no_new_tasks_during_the_pause(self):
        self.run_steps(case.step(5, cpus=1500))
        [slow] = stragglers.find_slow(self.cell.workers.values(), 4.0)
        self.assertEqual("w0", slow.id)
        self.cell.accept(case.job("1" * 16, case.step(5, cpus=500)), 4.1)
        starts = self.cell_planner.plan(4.1).starts
        self.assertNotIn("w0", {start.worker.id for start in starts})
        later = 4.1 + stragglers.SLOW_WORKER_PAUSE_S
        self.assertTrue(slow.is_usable(later, frozenset()))

    def test_tasks_that_would_end_sooner_elsewhere_are_moved(self):
        self.run_steps(case.step(5, cpus=1500))
        [slow] = stragglers.find_slow(self.cell.workers.values(), 4.0)
        [allocation] = stragglers.find_movable(slow, 4.0)
        # A task that is almost done is not moved.
        allocation.task.percent = 90
        self.assertEqual([], stragglers.find_movable(slow, 4.0))

    def test_equal_workers_are_not_slow(self):
        self.run_steps(case.step(5, cpus=1500), slow=())
        self.assertEqual([], stragglers.find_slow(self.cell.workers.values(), 4.0))

    def run_long_tasks(self, rates, seconds=30.0):
        """Poll workers with tasks that last 100 s; return those found slow."""
        self.cell.accept(case.job(JOB, case.step(40, cpus=200)), 1.0)
        case.confirm(self.cell, self.cell_planner.plan(1.0), 1.0)
        found = []
        for tick in range(1, int(seconds / 0.05)):
            now = 1.0 + tick * 0.05
            for number, (name, worker) in enumerate(self.cell.workers.items()):
                if (tick + number) % (6 + number):
                    continue  # polls take 0.3 to 0.5 s
                ran_s = (now - 1.0) * rates.get(name, 1.0)
                rows = [
                    case.running(task, percent=int(ran_s + index / 8))
                    for index, task in enumerate(worker.allocations)
                ]
                case.poll(self.cell, name, rows, now=now, sent_at=0.0)
            slow = stragglers.find_slow(self.cell.workers.values(), now)
            found += [each.id for each in slow]
        return found

    # Guards against long tasks that are stopped and begun again on and on, since they
    # are polled before they have done one percent: 190 of 120 in 16 s.
    def test_equal_workers_with_long_tasks_are_not_slow(self):
        self.assertEqual([], self.run_long_tasks({}))

    def test_a_slow_worker_with_long_tasks_is_found(self):
        self.assertEqual({"w0"}, set(self.run_long_tasks({"w0": 0.1})))

    def test_a_worker_with_long_tasks_that_stand_still_is_found(self):
        self.assertEqual({"w0"}, set(self.run_long_tasks({"w0": 0.0})))

    def test_gang_members_do_not_affect_the_speed_of_workers(self):
        self.run_steps(case.step(5, cpus=1500, gang=True))
        self.assertEqual([], stragglers.find_slow(self.cell.workers.values(), 4.0))


class TailTest(testtools.TestCase):
    """One task of a step on slow workers takes seven times as long as its siblings."""

    def setUp(self):
        super().setUp()
        slow = [case.entry(f"w{n}", cpus=2000) for n in range(6)]
        fast = [
            case.entry(f"f{n}", cpus=2000, labels=frozenset({"b"})) for n in range(3)
        ]
        self.cell = case.new_cell(
            *slow, *fast, catalogue_=case.configure(case.queue(stretch=10.0))
        )
        self.cell_planner = planner.Planner(self.cell)
        self.teach(1.7, 0.7)

    def teach(self, fast, slow):
        for _ in range(100):
            for worker in self.cell.workers.values():
                speed = fast if "b" in worker.entry.labels else slow
                self.cell.speeds.observe(worker.id, worker.kind, speed)

    def run_step(self, step, rates=None, count=6):
        """Let tasks run for 2 s; the first one is in the tail."""
        self.cell.accept(case.job(JOB, step), 1.0)
        case.confirm(self.cell, self.cell_planner.plan(1.0), 1.0)
        step_run = self.cell.jobs[JOB].steps[0, 0]
        rates = rates or [5] + [35] * (count - 1)
        for seconds in (0.7, 2):
            for task, rate in zip(step_run.tasks, rates, strict=True):
                percent = round(seconds * rate)
                row = case.running(step_run.task_id(task.index), percent=percent)
                case.poll(self.cell, task.worker, [row], now=1.0 + seconds, sent_at=0.0)
        return step_run

    def find(self, now=3.0):
        return [each.task.index for each in stragglers.find_tails(self.cell, now)]

    def test_a_tail_with_a_checkpoint_moves_to_a_fast_worker_once(self):
        # Guards against a job that waits for one task on a slow worker.
        step_run = self.run_step(case.step(6, cpus=1500, checkpointing=True))
        task = step_run.tasks[0]
        self.assertTrue(task.worker.startswith("w"))
        self.assertEqual([0], self.find())
        self.assertEqual([], self.find())
        self.cell.stop(step_run, task, stop_causes.StopCause.TAIL)
        end = case.ended(1, step_run.task_id(0), how="stopped", checkpoint="c")
        case.poll(self.cell, task.worker, [], [end], now=3.2)
        [start] = self.cell_planner.plan(3.3).starts
        self.assertTrue(start.worker.id.startswith("f"))

    def test_a_tail_without_a_checkpoint_stays(self):
        # Guards against work that is done twice.
        self.run_step(case.step(6, cpus=1500))
        self.assertEqual([], self.find())

    def test_a_tail_stays_without_room_on_fast_workers(self):
        # Guards against a stop after which the task only waits.
        self.run_step(case.step(6, cpus=1500, checkpointing=True))
        for number in range(3):
            worker = self.cell.workers[f"f{number}"]
            worker.used = worker.entry.capacity
        self.assertEqual([], self.find())

    def test_a_tail_that_is_almost_done_stays(self):
        # Guards against a move that takes longer than the rest of the task.
        step_run = self.run_step(case.step(6, cpus=1500, checkpointing=True))
        step_run.tasks[0].percent = 95
        self.assertEqual([], self.find())

    def test_tasks_on_a_slow_worker_are_no_tails(self):
        # Guards against stops of all tasks of slow workers: their learned speed
        # explains that they take 4 times as long as most siblings.
        self.teach(1.6, 0.4)
        step_run = self.run_step(
            case.step(9, cpus=1500, checkpointing=True), rates=[10] * 9
        )
        slow = [task for task in step_run.tasks if task.worker.startswith("w")]
        self.assertEqual(6, len(slow))
        # Most of the step has ended on fast workers, which have room again.
        for number in range(3):
            self.cell.workers[f"f{number}"].used = resources.ZERO
        step_run.run_times_s.extend([2.5 * 1.5] * 16)
        self.assertEqual([], self.find())
        # The same progress is a tail where the worker isn't slow.
        for task in slow:
            self.cell.speeds._speeds[task.worker] = 1.3
        self.cell.speeds._bounds = [1.4]
        self.assertEqual([0, 1, 2], self.find())

    def test_nothing_moves_where_all_workers_are_alike(self):
        # Guards against stops on deployments that have nowhere faster to go.
        self.teach(1.0, 1.0)
        self.run_step(case.step(6, cpus=1500, checkpointing=True))
        self.assertEqual([], self.find())
