"""Choice of workers, approvals and room for gangs."""

import testtools

from test import coordinator_case as case
from toucanspring import resources
from toucanspring.coordinator import catalogue, gangs, planner, plans

JOB = "0" * 16
APPROVED = catalogue.Approval(decision_s=0.05, per_worker_s=0.001, validity_s=2.5)


def approve(question, names, now):
    plans.record_approvals(question, dict.fromkeys(names, "t"), now + 2.5)


class ApprovalTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.catalogue = case.configure(case.queue(approval=APPROVED))

    def test_a_step_starts_only_on_approved_workers(self):
        cell = case.new_cell(
            case.entry("w1"), case.entry("w2"), catalogue_=self.catalogue
        )
        cell.accept(case.job(JOB, case.step(4)), 1.0)
        chooser = planner.Planner(cell)
        plan = chooser.plan(1.0)
        self.assertEqual([], plan.starts)
        [question] = plan.approval_requests
        self.assertEqual(("w1", "w2"), question.workers)
        self.assertEqual([], chooser.plan(1.01).approval_requests)
        approve(question, ["w2"], 1.1)
        self.assertEqual({"w2"}, {each.worker.id for each in chooser.plan(1.1).starts})

    def test_the_reason_to_wait_is_told_once(self):
        cell = case.new_cell(case.entry("w1"), catalogue_=self.catalogue)
        cell.accept(case.job(JOB, case.step(1, cpus=32_000)), 1.0)
        cell.accept(case.job("1" * 16, case.step(1, cpus=32_000)), 1.1)
        chooser = planner.Planner(cell)
        questions = chooser.plan(1.1).approval_requests
        told = [wait.reason for _ in range(5) for wait in chooser.plan(1.2).waits]
        self.assertEqual([], told)
        for question in questions:
            approve(question, ["w1"], 1.3)
        told = [wait.reason for _ in range(5) for wait in chooser.plan(1.3).waits]
        self.assertEqual([plans.NO_ROOM], told)

    def test_an_expired_ticket_is_asked_for_again(self):
        cell = case.new_cell(case.entry("w1"), catalogue_=self.catalogue)
        cell.accept(case.job(JOB, case.step(1)), 1.0)
        chooser = planner.Planner(cell)
        [question] = chooser.plan(1.0).approval_requests
        approve(question, ["w1"], 1.1)
        plan = chooser.plan(5.0)
        self.assertEqual([], plan.starts)
        self.assertEqual([("w1",)], [each.workers for each in plan.approval_requests])

    def test_a_blocked_step_asks_about_workers_that_came_later(self):
        """After a takeover or an evacuation a job knew one full worker only."""
        entries = [case.entry(f"w{number}") for number in range(18)]
        cell = case.new_cell(*entries, catalogue_=self.catalogue)
        cell.accept(case.job(JOB, case.step(40, cpus=1000)), 1.0)
        chooser = planner.Planner(cell)
        [question] = chooser.plan(1.0).approval_requests
        approve(question, ["w3"], 1.1)
        self.assertEqual(32, len(chooser.plan(1.1).starts))
        for number in range(18, 22):  # too few to be asked about at once
            cell.register_worker(case.entry(f"w{number}"))
            case.look(cell, f"w{number}", now=1.2)
        [question] = chooser.plan(1.3).approval_requests
        self.assertEqual(("w18", "w19", "w20", "w21"), question.workers)


class RoomTest(testtools.TestCase):
    def test_no_worker_gets_more_than_it_has(self):
        cell = case.new_cell(case.entry("w1", cpus=10_000))
        cell.accept(case.job(JOB, case.step(20, cpus=3000)), 1.0)
        plan = planner.Planner(cell).plan(1.0)
        self.assertEqual(3, len(plan.starts))
        self.assertEqual(
            resources.Resources(1000, 65_536 - 3 * 1024, 0),
            cell.workers["w1"].free(),
        )

    def test_an_organisation_stays_below_its_ceiling(self):
        desk = catalogue.Organisation(
            name="desk",
            keys=frozenset({"k"}),
            ceiling=resources.Resources(cpus=2500),
        )
        cell = case.new_cell(catalogue_=case.configure(organisations=[desk]))
        cell.accept(case.job(JOB, case.step(5)), 1.0)
        self.assertEqual(2, len(planner.Planner(cell).plan(1.0).starts))

    def test_a_draining_worker_and_a_zone_out_of_service_get_nothing(self):
        cell = case.new_cell(
            case.entry("w1", draining=True),
            case.entry("w2", zone="zone-b"),
            case.entry("w3"),
        )
        cell.zones_out = frozenset({"zone-b"})
        cell.accept(case.job(JOB, case.step(3)), 1.0)
        plan = planner.Planner(cell).plan(1.0)
        self.assertEqual({"w3"}, {start.worker.id for start in plan.starts})

    def test_at_most_so_many_tasks_of_a_step_on_one_worker(self):
        cell = case.new_cell(case.entry("w1"), case.entry("w2"))
        cell.accept(case.job(JOB, case.step(5, max_per_worker=2)), 1.0)
        self.assertEqual(4, len(planner.Planner(cell).plan(1.0).starts))

    def test_a_failed_task_goes_elsewhere_then_back(self):
        cell = case.new_cell(case.entry("w1"))
        cell.accept(case.job(JOB, case.step(1)), 1.0)
        chooser = planner.Planner(cell)
        case.confirm(cell, chooser.plan(1.0), 1.0)
        end = case.ended(1, f"{JOB}.0.0.0", how="failed")
        case.look(cell, "w1", ended=[end], now=1.5)
        self.assertEqual([], chooser.plan(1.6).starts)
        self.assertEqual(1, len(chooser.plan(4.0).starts))

    def test_a_failed_task_does_not_hold_up_the_others_of_its_step(self):
        cell = case.new_cell(case.entry("w1", cpus=1000))
        cell.accept(case.job(JOB, case.step(2)), 1.0)
        chooser = planner.Planner(cell)
        case.confirm(cell, chooser.plan(1.0), 1.0)
        end = case.ended(1, f"{JOB}.0.0.0", how="failed")
        case.look(cell, "w1", ended=[end], now=1.5)
        [start] = chooser.plan(1.6).starts
        self.assertEqual(1, start.task.index)


class UrgencyTest(testtools.TestCase):
    def test_urgent_work_and_work_due_sooner_start_first(self):
        cell = case.new_cell(
            case.entry(cpus=2000),
            catalogue_=case.configure(
                case.queue("builds", priority=1), case.queue("checks", priority=0)
            ),
        )
        cell.accept(case.job("a" * 16), 1.0)
        cell.accept(case.job("b" * 16, queue="checks"), 1.1)
        cell.accept(case.job("c" * 16, queue="checks"), 1.2)
        plan = planner.Planner(cell).plan(1.3)
        self.assertEqual(
            ["b" * 16, "c" * 16], [each.step.job.spec.id for each in plan.starts]
        )

    def test_a_team_beyond_its_share_comes_after_the_others(self):
        teams = [
            catalogue.Organisation(name=name, keys=frozenset(), weight=1.0)
            for name in ("desk", "labels")
        ]
        cell = case.new_cell(
            case.entry(cpus=10_000),
            catalogue_=case.configure(organisations=teams),
        )
        cell.accept(case.job("a" * 16, case.step(9)), 1.0)
        chooser = planner.Planner(cell)
        chooser.plan(1.0)
        cell.accept(case.job("b" * 16, case.step(1)), 1.1)
        cell.accept(case.job("c" * 16, case.step(1), organisation="labels"), 1.2)
        [start] = chooser.plan(1.3).starts
        self.assertEqual("c" * 16, start.step.job.spec.id)


class OverloadTest(testtools.TestCase):
    """More work comes than the cell can do, for longer than the work may wait."""

    def test_work_that_can_be_in_time_goes_before_work_that_is_late(self):
        cell = case.new_cell(
            case.entry(cpus=1000),
            catalogue_=case.configure(case.queue("labels", priority=2)),
        )
        cell.accept(case.job("a" * 16, queue="labels"), 1.0)
        cell.accept(case.job("b" * 16, queue="labels"), 30.0)
        [start] = planner.Planner(cell).plan(30.0).starts
        self.assertEqual("b" * 16, start.step.job.spec.id)

    def test_the_most_urgent_work_goes_first_although_it_is_late(self):
        cell = case.new_cell(
            case.entry(cpus=2000),
            catalogue_=case.configure(
                case.queue("checks", priority=0), case.queue("labels", priority=2)
            ),
        )
        cell.accept(case.job("a" * 16, queue="checks"), 1.0)
        cell.accept(case.job("b" * 16, queue="checks"), 30.0)
        cell.accept(case.job("c" * 16, queue="labels"), 30.0)
        starts = planner.Planner(cell).plan(30.0).starts
        self.assertEqual(
            ["b" * 16, "a" * 16], [start.step.job.spec.id for start in starts]
        )


class HotTeamTest(testtools.TestCase):
    """One organisation sends many times its usual number of jobs."""

    def setUp(self):
        super().setUp()
        teams = [
            catalogue.Organisation(name=name, keys=frozenset(), weight=2.0)
            for name in ("hot", "desk")
        ]
        self.cell = case.new_cell(
            case.entry(cpus=6000),
            catalogue_=case.configure(
                case.queue("checks", priority=0),
                case.queue("labels", priority=2),
                organisations=teams,
            ),
        )

    def test_jobs_beyond_the_rate_wait_for_those_within_it(self):
        for number in range(20):
            spec = case.job(f"a{number:015x}", organisation="hot", queue="checks")
            self.cell.accept(spec, 1.0)
        self.cell.accept(case.job("b" * 16, queue="labels"), 1.1)
        self.cell.accept(case.job("c" * 16, queue="checks"), 1.1)
        starts = planner.Planner(self.cell).plan(1.2).starts
        names = [start.step.job.spec.organisation for start in starts]
        self.assertEqual(4, names.count("hot"))
        self.assertEqual(2, names.count("desk"))

    def test_jobs_beyond_the_rate_start_while_there_is_room(self):
        for number in range(6):
            spec = case.job(f"a{number:015x}", organisation="hot", queue="checks")
            self.cell.accept(spec, 1.0)
        self.assertEqual(6, len(planner.Planner(self.cell).plan(1.2).starts))


class GangTest(testtools.TestCase):
    """Gangs that find the workers full of less urgent work."""

    def setUp(self):
        super().setUp()
        self.cell = case.new_cell(
            *(case.entry(f"w{number}", cpus=10_000) for number in range(3)),
            catalogue_=case.configure(
                case.queue("builds", priority=1), case.queue("labels", priority=2)
            ),
        )
        self.chooser = planner.Planner(self.cell)

    def fill(self, now=1.0):
        labels = case.step(30, checkpointing=True)
        self.cell.accept(case.job("a" * 16, labels, queue="labels"), now)
        case.confirm(self.cell, self.chooser.plan(now), now)

    def test_a_gang_starts_whole_or_not_at_all(self):
        gang = case.step(4, cpus=9000, gang=True)
        self.cell.accept(case.job(JOB, gang), 1.0)
        self.assertEqual([], self.chooser.plan(1.0).starts)
        smaller = case.step(3, cpus=9000, gang=True)
        self.cell.accept(case.job("1" * 16, smaller), 1.1)
        starts = self.chooser.plan(1.1).starts
        self.assertEqual([1, 1, 1], [start.run for start in starts])

    def test_a_gang_waits_for_ends_before_it_stops_work(self):
        self.fill()
        self.cell.accept(case.job(JOB, case.step(1, cpus=9000, gang=True)), 1.0)
        self.chooser.plan(1.3)
        self.assertEqual([], self.cell.stops)
        self.chooser.plan(1.0 + gangs.PREEMPT_AFTER_S + 0.1)
        self.assertEqual(9, len(self.cell.stops))

    def test_a_gang_with_time_to_spare_or_too_late_stops_nothing(self):
        self.fill()
        gang = case.step(1, cpus=9000, gang=True)
        self.cell.accept(case.job(JOB, gang, queue="builds"), 1.0)
        record = self.cell.jobs[JOB]
        record.due_at = 30.0
        self.chooser.plan(10.0)
        record.due_at = 9.0
        self.chooser.plan(10.0)
        self.assertEqual([], self.cell.stops)

    def test_a_task_is_not_stopped_for_gangs_again_and_again(self):
        self.fill()
        for record in self.cell.jobs.values():
            for task in record.steps[0, 0].tasks:
                task.preemptions = gangs.MAX_PREEMPTIONS
        self.cell.accept(case.job(JOB, case.step(1, cpus=9000, gang=True)), 1.0)
        self.chooser.plan(2.6)
        self.assertEqual([], self.cell.stops)

    def test_a_gang_clears_the_same_workers_in_each_round(self):
        self.fill()
        self.cell.accept(case.job(JOB, case.step(1, cpus=9000, gang=True)), 1.0)
        for tick in range(20):
            self.chooser.plan(2.6 + tick * 0.01)
        self.assertEqual(1, len({stop.worker for stop in self.cell.stops}))

    def test_no_other_work_takes_the_room_that_a_gang_waits_for(self):
        self.fill()
        self.cell.accept(case.job(JOB, case.step(3, cpus=9000, gang=True)), 1.0)
        self.chooser.plan(1.3)
        ends = [
            case.ended(number + 1, f"{'a' * 16}.0.0.{allocation.task.index}")
            for number, allocation in enumerate(
                list(self.cell.workers["w1"].allocations.values())[:2]
            )
        ]
        case.look(self.cell, "w1", ended=ends, now=1.4, sent_at=0.0)
        self.cell.accept(case.job("b" * 16, queue="labels"), 1.4)
        self.assertEqual([], self.chooser.plan(1.45).starts)
