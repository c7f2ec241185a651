"""The report of the coordinator and the view of the other processes."""

import testtools

from test import coordinator_case as case
from toucanspring import errors, resources
from toucanspring.coordinator import catalogue, load_report, load_view, planner
from toucanspring.policy import admission

CORES = 64.0


class Cell:
    """A cell of two workers with 32 cores each, and its builder."""

    def __init__(self, *organisations, epoch=1, now=0.0):
        self.count = 0
        self.cell = case.new_cell(case.entry("w1"), case.entry("w2"))
        self.cell.configure(
            case.configure(
                case.queue("checks", priority=0),
                case.queue("labels", priority=2),
                organisations=organisations,
            )
        )
        self.planner = planner.Planner(self.cell)
        self.builder = load_report.Builder(self.cell, epoch, now)

    def submit(self, queue, now, organisation="desk", **changes):
        self.count += 1
        name = f"{self.count:016x}"
        step = case.step(**{"count": 8, "cpus": 4000, **changes})
        spec = case.job(name, step, queue=queue, organisation=organisation)
        self.cell.accept(spec, now)
        return self.cell.jobs[name]

    def plan(self, now):
        plan = self.planner.plan(now)
        case.confirm(self.cell, plan, now)
        self.builder.record_round(plan.starts, True)
        return plan

    def end(self, now):
        """End all running tasks."""
        for worker in list(self.cell.workers.values()):
            for allocation in list(worker.allocations.values()):
                step_run, task = allocation.step, allocation.task
                self.cell.release(step_run, task)
                self.cell.complete(step_run, task)


def find_row(report, priority):
    [pool] = report.pools
    [row] = [each for each in pool.priorities if each.priority == priority]
    return row


class BuilderTest(testtools.TestCase):
    def test_the_backlog_counts_a_priority_and_all_more_urgent_ones(self):
        cell = Cell()
        cell.submit("checks", 1.0)
        cell.submit("labels", 1.5)
        report = cell.builder.build(2.0)
        # 8 tasks of 4 cores for 1 s on 64 cores.
        self.assertEqual(500, find_row(report, 0).backlog_ms)
        self.assertEqual(1000, find_row(report, 2).backlog_ms)
        self.assertEqual(1000, find_row(report, 2).oldest_ms)
        [desk] = report.organisations
        self.assertEqual(("desk", 64), (desk.name, desk.demand_s))

    def test_late_work_is_told_from_work_in_time(self):
        cell = Cell()
        cell.submit("labels", 0.0)  # due after 3 s
        cell.submit("labels", 4.0)
        row = find_row(cell.builder.build(5.0), 2)
        self.assertEqual((1000, 500), (row.backlog_ms, row.timely_ms))

    # Guards against refusals for all because one organisation sends many times its
    # rate, waits for its own ceiling, or is over its share.
    def test_work_that_stands_behind_others_is_left_out(self):
        hot = catalogue.Organisation(
            name="hot",
            keys=frozenset(),
            weight=1.0,
            ceiling=resources.Resources(cpus=16_000),
        )
        cell = Cell(hot)
        for _ in range(3):
            cell.submit("labels", 0.0, "hot")
        cell.plan(0.1)
        row = find_row(cell.builder.build(0.2), 2)
        self.assertEqual(0, row.backlog_ms)
        # Nor does its backlog appear for the moment in which a task has ended.
        worker = next(each for each in cell.cell.workers.values() if each.allocations)
        allocation = next(iter(worker.allocations.values()))
        cell.cell.release(allocation.step, allocation.task)
        cell.cell.complete(allocation.step, allocation.task)
        self.assertEqual(0, find_row(cell.builder.build(0.3), 2).backlog_ms)
        record = cell.submit("labels", 0.3)
        record.over_rate = True
        self.assertEqual(0, find_row(cell.builder.build(0.4), 2).backlog_ms)

    def test_the_rate_of_starts_is_the_drain(self):
        cell = Cell()
        for second in range(40):
            for _ in range(4):
                cell.submit("labels", second)
            cell.end(second)
            cell.plan(second + 0.1)
            report = cell.builder.build(second + 1.0)
        # Twice the capacity arrives, once the capacity starts each second.
        row = find_row(report, 2)
        self.assertAlmostEqual(1000, row.drain, delta=20)
        self.assertGreater(row.backlog_ms, 30_000)
        self.assertEqual(1000, report.pools[0].used)

    # Guards against refusals after an outage, in which nothing drains.
    def test_the_drain_is_not_measured_while_nothing_may_start(self):
        cell = Cell()
        for _ in range(2):
            cell.submit("labels", 0.0)
        cell.plan(0.0)  # they fill the pool
        cell.submit("checks", 0.0)
        for half in range(1, 20):
            cell.builder.record_round([], False)
            report = cell.builder.build(half / 2)
        self.assertEqual(1000, find_row(report, 0).drain)
        for half in range(20, 40):
            cell.builder.record_round([], True)
            report = cell.builder.build(half / 2)
        self.assertLess(find_row(report, 0).drain, 200)

    # Guards against refusals between the starts of tasks that last for a minute.
    def test_long_tasks_drain_by_the_share_that_they_hold(self):
        cell = Cell()
        for _ in range(3):
            cell.submit("labels", 0.0)
        cell.plan(0.0)  # two of three fill the pool
        for half in range(1, 60):
            report = cell.builder.build(half / 2)
        self.assertAlmostEqual(1000, find_row(report, 2).drain, delta=5)

    # Guards against refusals at the start of a burst: under light load little starts
    # each second, and steps wait for their approvals.
    def test_the_drain_is_not_measured_in_a_pool_with_room(self):
        cell = Cell()
        cell.submit("labels", 0.0)
        for half in range(1, 20):
            report = cell.builder.build(half / 2)
        self.assertEqual(1000, find_row(report, 2).drain)

    # Guards against refusals by a new coordinator whose workers have not answered yet.
    def test_workers_that_have_not_answered_count_as_capacity(self):
        cell = Cell()
        for worker in cell.cell.workers.values():
            worker.confirmed = False
        cell.submit("labels", 0.0)
        report = cell.builder.build(1.0)
        self.assertEqual(64, report.pools[0].cores)
        self.assertEqual((), report.pools[0].largest)
        later = cell.builder.build(load_report.WORKERS_KNOWN_AFTER_S)
        self.assertEqual(1, len(later.pools[0].largest))

    # Guards against a notice that fills the links of small machines, and a count that
    # takes the time of rounds.
    def test_a_report_of_a_large_cell_is_small(self):
        organisations = [
            catalogue.Organisation(name=f"organisation-{n}", keys=frozenset())
            for n in range(20)
        ]
        cell = Cell(*organisations)
        for n in range(2000):
            cell.submit("labels", 0.0, f"organisation-{n % 20}")
        report = cell.builder.build(1.0)
        self.assertLess(len(load_report.encode(report)), 1200)
        self.assertEqual(report, load_report.decode(load_report.encode(report)))

    def test_a_malformed_report_is_refused(self):
        for body in (b"", b"\xc1", load_report.encode([1, 2])):
            self.assertIsInstance(load_report.decode(body), errors.Malformed)


def overloaded(epoch=1, sequence=1, counted_ms=0, seconds=100, used=1000, largest=()):
    amount = seconds * 1000
    row = load_report.PriorityRow(2, amount, amount, amount, amount, 1000, 9000)
    pool = load_report.PoolRow(case.POOL, 64, used, largest, (row,))
    return load_report.Report(epoch, sequence, counted_ms, (pool,), ())


class ViewTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.view = load_view.View()
        self.queue = case.queue("labels", priority=2)
        self.job = case.job()

    def decide(self, now, job=None, ceiling=resources.ZERO, fraction=0.0):
        found = self.view.decide(job or self.job, self.queue, ceiling, now, fraction)
        return getattr(found, "reason", "")

    def test_without_a_report_everything_is_accepted(self):
        self.assertEqual("", self.decide(1.0))

    def test_a_report_is_used_up_to_its_age(self):
        self.view.receive(overloaded(), 10.0)
        self.assertEqual(admission.OVERLOAD, self.decide(10.1))
        self.assertEqual(admission.OVERLOAD, self.decide(12.0))
        self.assertEqual("", self.decide(12.1))

    # Guards against a former coordinator that goes on sending.
    def test_only_the_newest_report_of_the_newest_epoch_counts(self):
        self.assertTrue(self.view.receive(overloaded(2, 1, seconds=0), 10.0))
        self.assertFalse(self.view.receive(overloaded(1, 99), 10.1))
        self.assertFalse(self.view.receive(overloaded(2, 1), 10.1))
        self.assertEqual("", self.decide(10.2))
        self.assertTrue(self.view.receive(overloaded(2, 2), 10.5))
        self.assertEqual(admission.OVERLOAD, self.decide(10.6))

    # Guards against a queued notice that counts as new when it arrives.
    def test_the_age_shows_that_a_report_was_delayed(self):
        self.view.receive(overloaded(1, 1, 0), 10.0)
        self.view.receive(overloaded(1, 2, 500), 12.4)
        self.assertAlmostEqual(1.9, self.view.age(12.4), delta=0.15)
        self.assertEqual("", self.decide(12.7))

    # Guards against views that always seem old after hours, as clocks drift.
    def test_the_clock_of_the_coordinator_may_be_slow(self):
        for number in range(2000):
            report = overloaded(1, number, round(number * 490))
            self.view.receive(report, number / 2)
        self.assertLess(self.view.age(number / 2), 0.1)

    def test_a_new_coordinator_replaces_the_view(self):
        self.view.receive(overloaded(1, 50, 25_000), 25.0)
        self.view.receive(overloaded(2, 1, 500, seconds=0), 26.0)
        self.assertEqual(0.0, self.view.age(26.0))
        self.assertEqual("", self.decide(26.0))

    def test_jobs_without_an_end_to_tell_are_accepted(self):
        self.view.receive(overloaded(), 10.0)
        for step in (
            case.step(long_running=True),
            case.step(uses_idle_cpus=True),
            case.job_specs.Step(count=1, demand=resources.Resources(1000)),
        ):
            self.assertEqual("", self.decide(10.1, case.job("0" * 16, step)))
        self.assertEqual("", self.decide(10.1, case.job("0" * 16, repeats=2)))

    def test_what_never_fits_is_refused_while_the_workers_are_known(self):
        wide = case.job("0" * 16, case.step(cpus=9000))
        worker = resources.Resources(8000, 65_536)
        self.view.receive(overloaded(seconds=0, largest=(worker,)), 10.0)
        self.assertEqual(admission.NEVER_FITS, self.decide(10.1, wide))
        self.assertEqual("", self.decide(12.1, wide))
        self.assertEqual("", self.decide(10.1))

    def test_the_ceiling_counts_without_a_view(self):
        gang = case.job("0" * 16, case.step(4, cpus=3000, gang=True))
        low, high = resources.Resources(11_000), resources.Resources(12_000)
        self.assertEqual(admission.OVER_CEILING, self.decide(0.0, gang, low))
        self.assertEqual("", self.decide(0.0, gang, high))

    def test_the_chain_is_the_longest_one(self):
        steps = (
            case.step(),
            case.step(after=(0,)),
            case.step(after=(0,)),
            case.step(after=(1, 2)),
        )
        self.assertEqual(3.0, load_report.find_chain_s(steps))
