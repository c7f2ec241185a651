import testtools

from test import cell, partitioned
from toucanspring import job
from toucanspring.owners import roster
from toucanspring.scheduling import capacity_report, move_planner

WHOLE = cell.CAPACITY
ROW = roster.WORKERS_ROW


class GangTest(testtools.TestCase):
    def end_tasks(self, p, number, name):
        for worker in list(p[number].cell.workers.values()):
            for task in list(worker.running):
                if task.startswith(f"{name}/"):
                    p[number].cell.end(worker.name, task)

    def test_a_gang_larger_than_its_partition_gets_workers(self):
        p = partitioned.Partitions(2, 2, 2)
        p.gang(0, "gang", 4)
        p.run(5)
        self.assertEqual(4, p.running("gang"))
        self.assertEqual([1, 1], [len(p.row()[number]) for number in (1, 2)])

    def test_a_gang_of_the_whole_cell_gets_the_last_workers(self):
        p = partitioned.Partitions(2, 2, 2)
        p.gang(0, "gang", 6)
        p.run(move_planner.LAST_WORKER_AFTER_S + 5)
        self.assertEqual(6, p.running("gang"))

    def test_two_gangs_are_served_one_after_the_other(self):
        # Guards against a deadlock of gangs that each hold a part of the workers.
        p = partitioned.Partitions(2, 2, 2)
        p.gang(1, "first", 5)
        p.clock.now += 0.1
        p.gang(0, "second", 5)
        p.run(move_planner.LAST_WORKER_AFTER_S + 5)
        self.assertEqual((5, 0), (p.running("first"), p.running("second")))
        self.end_tasks(p, 1, "first")
        p.run(move_planner.LAST_WORKER_AFTER_S + 10)
        self.assertEqual(5, p.running("second"))

    def test_the_order_survives_a_takeover(self):
        # Guards against an older gang that loses its place when its owner dies.
        p = partitioned.Partitions(2, 2, 2)
        p.gang(1, "first", 5)
        p.clock.now += 0.1
        p.gang(0, "second", 5)
        p.run(3)
        p.take_over(1)
        p.run(move_planner.LAST_WORKER_AFTER_S + 10)
        self.assertEqual((5, 0), (p.running("first"), p.running("second")))

    def test_a_gang_keeps_its_workers_until_it_starts(self):
        # Guards against a second gang that is served while the first one still waits
        # for earlier tasks of its partition to end.
        p = partitioned.Partitions(2, 2, 3)
        p.submit(0, "own", demand=WHOLE, task_count=2)
        p.run(1)
        p.gang(0, "first", 4)
        p.run(3)
        p.gang(1, "second", 2)
        p.run(5)
        self.assertEqual([4, 1, 2], [len(p.row()[number]) for number in range(3)])
        self.end_tasks(p, 0, "own")
        p.run(2)
        self.assertEqual(4, p.running("first"))
        p.run(3)
        self.assertEqual(2, p.running("second"))

    def test_a_donor_serves_its_own_older_gang_first(self):
        # Guards against two gangs that take the same workers from each other.
        p = partitioned.Partitions(2, 2)
        p.submit(0, "own", demand=WHOLE, task_count=2)
        p.run(1)
        p.gang(0, "first", 2)
        p.run(0.5)
        p.gang(1, "second", 3)
        p.run(move_planner.LAST_WORKER_AFTER_S + 3)
        self.assertEqual(set(), p[0].cordoned_workers)
        self.end_tasks(p, 0, "own")
        p.run(1)
        self.assertEqual((2, 0), (p.running("first"), p.running("second")))

    def test_a_gang_beyond_the_present_workers_holds_up_no_other(self):
        p = partitioned.Partitions(2, 2, 2)
        p.gang(0, "first", 6)
        for owner in p.owners.values():
            owner.cell.call("set_availability_zones", frozenset({"z1"}))
        p.run(0.5)
        p.gang(1, "second", 3)
        p.run(move_planner.LAST_WORKER_AFTER_S + 5)
        self.assertEqual((0, 3), (p.running("first"), p.running("second")))

    def test_gangs_of_equal_age_are_ordered_by_job_id(self):
        requests = [
            capacity_report.CapacityRequest(5, name, WHOLE, 1) for name in ("b", "a")
        ]
        reports = {
            number: capacity_report.CapacityReport(0, each)
            for number, each in enumerate(requests)
        }
        self.assertEqual((1, requests[1]), capacity_report.oldest_gang(reports))

    def test_busy_workers_are_drained_after_the_limit_only(self):
        p = partitioned.Partitions(2, 2)
        p.submit(1, "own", demand=WHOLE, task_count=9)
        p.run(1)
        p.gang(0, "gang", 3)
        p.run(move_planner.DRAIN_AFTER_S - 1)
        self.assertEqual(set(), p[1].cordoned_workers)
        p.run(2)
        [drained] = p[1].cordoned_workers
        [task] = p.workers[drained].running
        p[1].cell.end(drained, task)
        p.run(3)
        self.assertEqual(3, p.running("gang"))
        self.assertEqual(1, p.running("own"))

    def test_drained_workers_are_used_again_when_the_need_is_gone(self):
        p = partitioned.Partitions(2, 2)
        p.submit(1, "own", demand=WHOLE, task_count=9)
        p.run(1)
        p.gang(0, "gang", 3)
        p.run(move_planner.DRAIN_AFTER_S + 1)
        [drained] = p[1].cordoned_workers
        p[0].cell.cancel("gang")
        p.run(1)
        self.assertEqual(set(), p[1].cordoned_workers)
        [task] = p.workers[drained].running
        p[1].cell.end(drained, task, "checkpointed")
        p.run(0.5)
        self.assertNotEqual({}, p.workers[drained].running)

    def test_services_leave_a_drained_worker(self):
        # Guards against a gang that waits for tasks that never end.
        p = partitioned.Partitions(1, 3)
        p.submit(1, "feed", kind=job.Kind.SERVICE, task_count=3, spread=True)
        p.run(1)
        p.gang(0, "gang", 3)
        p.run(move_planner.DRAIN_AFTER_S + 1)
        for name in list(p[1].cell.workers):
            p[1].cell.report(name)
        p.run(4)
        self.assertEqual(3, p.running("gang"))
        self.assertEqual(3, p.running("feed"))

    def test_other_work_does_not_take_the_workers_that_arrive_for_a_gang(self):
        # Guards against a gang that never has all its workers at the same time.
        p = partitioned.Partitions(1, 2, 2)
        p.submit(2, "busy", demand=WHOLE, task_count=2)
        p.run(1)
        p.gang(0, "gang", 4)
        p.run(3)
        p.submit(0, "small", task_count=200)
        p.run(2)
        self.assertEqual(0, p.running("small"))
        p.run(move_planner.DRAIN_AFTER_S)
        self.end_tasks(p, 2, "busy")
        p.run(move_planner.LAST_WORKER_AFTER_S + 3)
        self.assertEqual(4, p.running("gang"))


class TooLargeTest(testtools.TestCase):
    def outcome(self, name, settle_s=8, **fields):
        p = partitioned.Partitions(1, 2)
        p.submit(0, name, **fields)
        p.run(settle_s)
        return p[0].cell.finished.get(name)

    def test_a_job_that_another_partition_can_run_is_not_refused(self):
        p = partitioned.Partitions(1, 2)
        large = cell.resources.Resources(64_000, 131_072, 8)
        p.workers["w10"].capacity = large
        p.take_over(1)
        p.submit(0, "a", demand=large)
        p.run(10)
        self.assertEqual(1, p.running("a"))

    def test_a_gang_that_the_cell_can_hold_waits(self):
        gang = {"kind": job.Kind.GANG, "demand": WHOLE}
        self.assertIsNone(self.outcome("a", task_count=3, **gang))
        refused = self.outcome("a", task_count=4, **gang)
        self.assertIs(job.State.NOT_RUN, refused.state)

    def test_a_task_that_fits_no_worker_of_the_cell_is_refused(self):
        refused = self.outcome("a", demand=WHOLE + cell.ONE)
        self.assertIs(job.State.NOT_RUN, refused.state)

    def test_nothing_is_refused_while_workers_are_still_being_listed(self):
        # Guards against a rejection by a partition that has seen only its first worker.
        p = partitioned.Partitions(0, 1)
        p.submit(0, "a", demand=WHOLE, kind=job.Kind.GANG, task_count=2)
        p.run(3)
        p.workers["w11"] = cell.Worker("w11", "z0", WHOLE)
        p.write_row({"w10": 1, "w11": 1})
        p.run(20)
        self.assertEqual(2, p.running("a"))

    def test_nothing_is_refused_before_the_other_workers_are_known(self):
        p = partitioned.Partitions(1, 2)
        p[0].move = lambda: None
        p.submit(0, "a", kind=job.Kind.GANG, demand=WHOLE, task_count=4)
        p.run(20)
        self.assertNotIn("a", p[0].cell.finished)
