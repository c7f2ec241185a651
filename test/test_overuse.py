import testtools

from test import cell
from toucanspring import job, resources
from toucanspring.scheduling import effects, estimate, overuse

EIGHT = resources.Resources(8_000, 8_192, 0)


def amount(cpus, memory=1_024):
    return resources.Resources(cpus, memory, 0)


class OveruseTest(testtools.TestCase):
    def start(self, count=4, workers=1, **fields):
        fields.setdefault("demand", EIGHT)
        self.cell = cell.Cell(workers=workers)
        self.cell.submit(cell.spec(task_count=count, **fields))
        self.cell.call("tick")
        self.assertEqual(count, len(self.cell.running()))

    def report(self, usage, after_s=0.0, name="w0"):
        """Report usage by task; return the throttled and stopped tasks."""
        self.cell.now += after_s
        found = self.cell.call("worker_report", name, [], usage)
        throttled = {
            each.task_id: round(each.fraction, 3)
            for each in found
            if isinstance(each, effects.ThrottleTask)
        }
        stopped = [
            task_id
            for each in found
            if isinstance(each, effects.StopTasks)
            for task_id in each.task_ids
        ]
        return throttled, stopped

    def test_use_within_the_capacity_is_left_alone(self):
        # Guards against throttling a task that uses what others leave idle.
        self.start()
        usage = {"a/0": amount(20_000), "a/1": amount(4_000)}
        self.assertEqual(({}, []), self.report(usage))

    def test_tasks_beyond_their_size_are_limited_to_it(self):
        # Guards against a VM that is overcommitted because of wrong declared sizes.
        self.start()
        usage = {"a/0": amount(32_000), "a/1": amount(8_000), "a/2": amount(1_000)}
        self.assertEqual(({"a/0": 0.25}, []), self.report(usage))

    def test_a_lagging_report_does_not_limit_twice(self):
        self.start()
        usage = {"a/0": amount(32_000), "a/1": amount(8_000)}
        self.report(usage)
        self.assertEqual(({}, []), self.report(usage, 1.0))
        self.assertEqual({"a/0": 0.062}, self.report(usage, overuse.SETTLE_S)[0])

    def test_limits_end_when_there_is_room_for_the_full_use(self):
        # Guards against work that stays throttled on an idle worker, and against
        # throttles that flap.
        self.start()
        self.report({"a/0": amount(32_000), "a/1": amount(8_000)})
        usage = {"a/0": amount(8_000), "a/1": amount(8_000)}
        self.assertEqual({}, self.report(usage, overuse.SETTLE_S)[0])
        self.cell.end("w0", "a/1")
        self.assertIn(effects.ThrottleTask("w0", "a/0", 1.0), self.cell.seen)
        self.assertEqual({}, self.report({"a/0": amount(32_000)}, 1.0)[0])

    def test_memory_is_freed_by_the_task_beyond_its_size(self):
        # Guards against killing a task for the memory use of another.
        self.start()
        usage = {
            "a/0": amount(1_000, 8_000),
            "a/1": amount(1_000, 50_000),
            "a/2": amount(1_000, 9_000),
        }
        self.assertEqual(({}, ["a/1"]), self.report(usage))
        self.cell.report("w0")
        self.assertNotIn("a/1", self.cell.running())

    def test_used_memory_is_not_given_to_other_tasks(self):
        # Guards against a worker that is refilled each time a task is stopped.
        self.start(count=3, demand=resources.Resources(1_000, 2_048, 0))
        self.report({f"a/{index}": amount(1_000, 21_000) for index in range(3)})
        self.cell.submit(cell.spec("b", demand=EIGHT))
        self.cell.call("tick")
        self.assertEqual({}, self.cell.running("b"))
        free = self.cell.scheduler._core.index.free("w0")
        self.assertEqual(65_536 - 63_000, free.memory)

    def test_a_stop_under_way_is_counted_once(self):
        self.start()
        self.cell.workers["w0"].connected = True
        usage = {f"a/{index}": amount(1_000, 20_000) for index in range(4)}
        _, stopped = self.report(usage)
        self.assertEqual(1, len(stopped))
        self.assertEqual([], self.report(usage)[1])

    def test_non_idempotent_tasks_are_not_stopped(self):
        # Guards against failing a task because its size was declared wrong.
        self.start(idempotent=False)
        usage = {"a/0": amount(1_000, 70_000)}
        self.assertEqual([], self.report(usage)[1])

    def test_lower_classes_are_stopped_first(self):
        c = self.cell = cell.Cell()
        for name, job_class in (
            ("b", job.JobClass.DEFERRABLE),
            ("a", job.JobClass.URGENT),
        ):
            c.submit(cell.spec(name, demand=EIGHT, job_class=job_class))
        c.call("tick")
        usage = {"a/0": amount(1_000, 50_000), "b/0": amount(1_000, 20_000)}
        self.assertEqual(["b/0"], self.report(usage)[1])

    def test_nothing_starts_on_an_overused_worker(self):
        # Guards against more work on a VM that is already overcommitted.
        self.start(count=1)
        self.report({"a/0": amount(40_000)})
        self.cell.submit(cell.spec("b", demand=EIGHT))
        self.cell.call("tick")
        self.assertEqual({}, self.cell.running("b"))
        self.cell.end("w0", "a/0")
        self.cell.call("tick")
        self.assertEqual({"b/0": "w0"}, self.cell.running("b"))

    def test_later_starts_hold_what_the_task_used(self):
        self.start()
        usage = {f"a/{index}": amount(1_000, 17_000) for index in range(4)}
        self.report(usage)
        held = self.cell.scheduler._core.estimator.demand(self.cell.specs["a"])
        self.assertEqual(
            int(EIGHT.memory * estimate.MAX_OF_DECLARED), held.memory, held
        )

    def test_a_successor_lifts_the_limits_of_its_predecessor(self):
        # Guards against tasks that stay throttled forever after a takeover.
        self.start(count=1)
        worker = self.cell.workers["w0"]
        self.cell.take_over()
        running = [
            cell.wire.RunningTask(t.task_id, t.attempt, t.demand, t.team, 0, 0.25)
            for t in worker.running.values()
        ]
        worker.connected = True
        self.cell.call("worker_attached", worker.facts(), running, [])
        self.assertEqual({"a/0": 1.0}, self.report({"a/0": amount(2_000)})[0])
