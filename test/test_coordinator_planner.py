"""Tests of placement, approvals, priorities and gang scheduling."""

import testtools

from test import coordinator_case as case
from toucanspring import resources
from toucanspring.coordinator import catalogue, gangs, planner, plans, preemption

JOB = "0" * 16
APPROVED = catalogue.Approval(decision_s=0.05, per_worker_s=0.001, validity_s=2.5)


def approve(question, names, now):
    plans.record_approvals(question, dict.fromkeys(names, "t"), now + 2.5)


class ApprovalTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.catalogue = case.configure(case.queue(approval=APPROVED))

    def answer_all(self, cell_planner, now, approved):
        """Plan and answer until nothing more is requested; return the starts."""
        starts = []
        while True:
            plan = cell_planner.plan(now)
            starts += plan.starts
            if not plan.approval_requests:
                return starts
            for question in plan.approval_requests:
                names = [name for name in question.workers if name in approved]
                approve(question, names, now)

    def test_a_step_starts_only_on_approved_workers(self):
        cell = case.new_cell(
            case.entry("w1"), case.entry("w2"), catalogue_=self.catalogue
        )
        cell.accept(case.job(JOB, case.step(4)), 1.0)
        cell_planner = planner.Planner(cell)
        plan = cell_planner.plan(1.0)
        self.assertEqual([], plan.starts)
        [question] = plan.approval_requests
        self.assertEqual(("w1", "w2"), question.workers)
        self.assertEqual([], cell_planner.plan(1.01).approval_requests)
        approve(question, ["w2"], 1.1)
        self.assertEqual(
            {"w2"}, {each.worker.id for each in cell_planner.plan(1.1).starts}
        )

    def test_the_reason_to_wait_is_recorded_once(self):
        cell = case.new_cell(case.entry("w1"), catalogue_=self.catalogue)
        cell.accept(case.job(JOB, case.step(1, cpus=32_000)), 1.0)
        cell.accept(case.job("1" * 16, case.step(1, cpus=32_000)), 1.1)
        cell_planner = planner.Planner(cell)
        questions = cell_planner.plan(1.1).approval_requests
        reasons = [
            wait.reason for _ in range(5) for wait in cell_planner.plan(1.2).waits
        ]
        self.assertEqual([], reasons)
        for question in questions:
            approve(question, ["w1"], 1.3)
        reasons = [
            wait.reason for _ in range(5) for wait in cell_planner.plan(1.3).waits
        ]
        self.assertEqual([plans.NO_ROOM], reasons)

    def test_an_expired_ticket_is_requested_again(self):
        cell = case.new_cell(case.entry("w1"), catalogue_=self.catalogue)
        cell.accept(case.job(JOB, case.step(1)), 1.0)
        cell_planner = planner.Planner(cell)
        [question] = cell_planner.plan(1.0).approval_requests
        approve(question, ["w1"], 1.1)
        plan = cell_planner.plan(5.0)
        self.assertEqual([], plan.starts)
        self.assertEqual([("w1",)], [each.workers for each in plan.approval_requests])

    def test_a_blocked_step_requests_approval_of_later_workers(self):
        """Guards against a step that waits forever for one full worker.

        After a failover or an evacuation, that was the only worker approved for it.
        """
        entries = [case.entry(f"w{number}") for number in range(18)]
        cell = case.new_cell(*entries, catalogue_=self.catalogue)
        cell.accept(case.job(JOB, case.step(40, cpus=1000)), 1.0)
        cell_planner = planner.Planner(cell)
        starts = self.answer_all(cell_planner, 1.0, approved=["w3"])
        self.assertEqual(32, len(starts))
        for number in range(18, 22):  # too few for a request before the step is blocked
            cell.register_worker(case.entry(f"w{number}"))
            case.poll(cell, f"w{number}", now=1.2)
        [question] = cell_planner.plan(1.3).approval_requests
        self.assertEqual(("w18", "w19", "w20", "w21"), question.workers)


class RoomTest(testtools.TestCase):
    def test_no_worker_is_overcommitted(self):
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

    def unlimited(self, *names):
        return [
            catalogue.Organisation(name=name, keys=frozenset(), weight=0.0)
            for name in names
        ]

    # Guards against an organisation above its ceiling, since the configuration that
    # the coordinator knows does not have it yet.
    def test_nothing_starts_for_an_organisation_whose_ceiling_is_not_known(self):
        cell = case.new_cell()
        cell.accept(case.job(JOB, case.step(5), organisation="labels"), 1.0)
        cell_planner = planner.Planner(cell)
        plan = cell_planner.plan(1.0)
        self.assertEqual([], plan.starts)
        self.assertEqual([plans.UNKNOWN_ORGANISATION], [x.reason for x in plan.waits])
        cell.configure(case.configure(organisations=self.unlimited("labels")))
        self.assertEqual(5, len(cell_planner.plan(1.1).starts))

    # Guards against an organisation without a ceiling once it is removed.
    def test_a_removed_organisation_keeps_its_ceiling(self):
        labels = catalogue.Organisation(
            name="labels", keys=frozenset(), ceiling=resources.Resources(cpus=2500)
        )
        cell = case.new_cell(catalogue_=case.configure(organisations=[labels]))
        cell.accept(case.job(JOB, case.step(5), organisation="labels"), 1.0)
        cell.configure(case.configure())
        self.assertEqual(2, len(planner.Planner(cell).plan(1.0).starts))

    def test_a_job_without_an_organisation_has_no_ceiling(self):
        cell = case.new_cell()
        cell.accept(case.job(JOB, case.step(5), organisation=""), 1.0)
        self.assertEqual(5, len(planner.Planner(cell).plan(1.0).starts))

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

    def test_a_step_is_limited_to_max_per_worker(self):
        cell = case.new_cell(case.entry("w1"), case.entry("w2"))
        cell.accept(case.job(JOB, case.step(5, max_per_worker=2)), 1.0)
        self.assertEqual(4, len(planner.Planner(cell).plan(1.0).starts))

    def test_a_failed_task_goes_elsewhere_then_back(self):
        cell = case.new_cell(case.entry("w1"))
        cell.accept(case.job(JOB, case.step(1)), 1.0)
        cell_planner = planner.Planner(cell)
        case.confirm(cell, cell_planner.plan(1.0), 1.0)
        end = case.ended(1, f"{JOB}.0.0.0", how="failed")
        case.poll(cell, "w1", ended=[end], now=1.5)
        self.assertEqual([], cell_planner.plan(1.6).starts)
        self.assertEqual(1, len(cell_planner.plan(4.0).starts))

    def test_a_failed_task_does_not_hold_up_the_others_of_its_step(self):
        cell = case.new_cell(case.entry("w1", cpus=1000))
        cell.accept(case.job(JOB, case.step(2)), 1.0)
        cell_planner = planner.Planner(cell)
        case.confirm(cell, cell_planner.plan(1.0), 1.0)
        end = case.ended(1, f"{JOB}.0.0.0", how="failed")
        case.poll(cell, "w1", ended=[end], now=1.5)
        [start] = cell_planner.plan(1.6).starts
        self.assertEqual(1, start.task.index)


class OddStepTest(testtools.TestCase):
    # Guards against one job that ends the coordination of each process in turn.
    def test_an_exception_for_one_step_leaves_the_others_running(self):
        cell = case.new_cell()
        cell.accept(case.job("a" * 16), 1.0)
        cell.accept(case.job("b" * 16), 1.1)
        cell_planner = planner.Planner(cell)
        plan_step = cell_planner._plan_step

        def fail_for_one(step_run, *rest):
            if step_run.job.spec.id == "a" * 16:
                raise ZeroDivisionError
            plan_step(step_run, *rest)

        cell_planner._plan_step = fail_for_one
        [start] = cell_planner.plan(1.2).starts
        self.assertEqual("b" * 16, start.step.job.spec.id)
        cell_planner._plan_step = plan_step
        self.assertEqual([], cell_planner.plan(1.3).starts)
        pause_s = planner.FAILED_STEP_PAUSE_S
        self.assertEqual(1, len(cell_planner.plan(1.3 + pause_s).starts))


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

    def test_an_organisation_over_its_share_comes_after_the_others(self):
        organisations = [
            catalogue.Organisation(name=name, keys=frozenset(), weight=1.0)
            for name in ("desk", "labels")
        ]
        cell = case.new_cell(
            case.entry(cpus=10_000),
            catalogue_=case.configure(organisations=organisations),
        )
        cell.accept(case.job("a" * 16, case.step(9)), 1.0)
        cell_planner = planner.Planner(cell)
        cell_planner.plan(1.0)
        cell.accept(case.job("b" * 16, case.step(1)), 1.1)
        cell.accept(case.job("c" * 16, case.step(1), organisation="labels"), 1.2)
        [start] = cell_planner.plan(1.3).starts
        self.assertEqual("c" * 16, start.step.job.spec.id)


class LaterConfigurationTest(testtools.TestCase):
    """Jobs that were learned by an older configuration than the one in force."""

    def plan(self, first, then):
        """Plan for one of two jobs; the first one is learned by another catalogue."""
        cell = case.new_cell(case.entry(cpus=1000), catalogue_=first)
        cell.accept(case.job("a" * 16), 1.0)
        cell.configure(then)
        cell.accept(case.job("b" * 16), 1.1)
        [start] = planner.Planner(cell).plan(1.2).starts
        return start.step.job.spec.id

    # Guards against a job that counts as late for ever, since its queue was not known
    # when the coordinator learned of it.
    def test_a_job_of_a_queue_that_comes_later_gets_its_due_time(self):
        in_force = case.configure(case.queue(priority=2))
        first = case.configure(case.queue("other"))
        self.assertEqual("a" * 16, self.plan(first, in_force))

    # Guards against due times by a configuration that is no longer in force.
    def test_due_times_follow_the_configuration(self):
        in_force = case.configure(case.queue(priority=2))
        first = case.configure(case.queue(priority=2, target_s=0.0, stretch=0.1))
        self.assertEqual("a" * 16, self.plan(first, in_force))

    # Guards against a job that waits without a line in the log that says why.
    def test_a_job_of_a_missing_queue_says_why_it_waits(self):
        cell = case.new_cell(catalogue_=case.configure(case.queue("other")))
        cell.accept(case.job("a" * 16), 1.0)
        plan = planner.Planner(cell).plan(1.0)
        self.assertEqual(
            ["queue not in the configuration"], [each.reason for each in plan.waits]
        )

    def test_a_due_time_stays_when_the_queue_is_removed(self):
        cell = case.new_cell()
        cell.accept(case.job("a" * 16), 1.0)
        due_at = cell.jobs["a" * 16].due_at
        cell.configure(case.configure(case.queue("other")))
        self.assertEqual((4.0, 4.0), (due_at, cell.jobs["a" * 16].due_at))


class OverloadTest(testtools.TestCase):
    """Demand exceeds the cell's capacity for longer than the deadlines allow."""

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


class HotOrganisationTest(testtools.TestCase):
    """One organisation submits jobs at many times its usual rate."""

    def setUp(self):
        super().setUp()
        organisations = [
            catalogue.Organisation(name=name, keys=frozenset(), weight=2.0)
            for name in ("hot", "desk")
        ]
        self.cell = case.new_cell(
            case.entry(cpus=6000),
            catalogue_=case.configure(
                case.queue("checks", priority=0),
                case.queue("labels", priority=2),
                organisations=organisations,
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

    # Guards against jobs beyond the rate that go first, since the coordinator learned
    # of them before it knew their organisation.
    def test_jobs_of_an_organisation_that_comes_later_are_counted(self):
        in_force = self.cell.catalogue
        self.cell = case.new_cell(
            case.entry(cpus=6000), catalogue_=case.configure(*in_force.queues)
        )
        for number in range(20):
            spec = case.job(f"a{number:015x}", organisation="hot", queue="checks")
            self.cell.accept(spec, 1.0)
        self.cell.configure(in_force)
        self.cell.accept(case.job("b" * 16, queue="labels"), 1.1)
        starts = planner.Planner(self.cell).plan(1.2).starts
        names = [start.step.job.spec.organisation for start in starts]
        self.assertEqual(1, names.count("desk"))

    def test_jobs_beyond_the_rate_start_while_there_is_room(self):
        for number in range(6):
            spec = case.job(f"a{number:015x}", organisation="hot", queue="checks")
            self.cell.accept(spec, 1.0)
        self.assertEqual(6, len(planner.Planner(self.cell).plan(1.2).starts))


class CeilingTest(testtools.TestCase):
    """An organisation at its ceiling submits urgent and less urgent work."""

    def setUp(self):
        super().setUp()
        hot = catalogue.Organisation(
            name="hot",
            keys=frozenset(),
            weight=50.0,
            ceiling=resources.Resources(cpus=10_000),
        )
        self.cell = case.new_cell(
            *(case.entry(f"w{number}") for number in range(4)),
            catalogue_=case.configure(
                case.queue("checks", priority=0, target_s=2.0),
                case.queue("builds", priority=1, target_s=9.0),
                case.queue("proofs", priority=1),
                case.queue("labels", priority=2),
                organisations=[hot],
            ),
        )
        self.planner = planner.Planner(self.cell)

    def submit(self, number, step, queue, now=1.0):
        name = f"{number:016x}"
        spec = case.job(name, step, organisation="hot", queue=queue)
        self.cell.accept(spec, now)
        return name

    def fill(self, **changes):
        step = case.step(5, cpus=2000, **{"checkpointing": True, **changes})
        self.labels = self.submit(1, step, "labels")
        case.confirm(self.cell, self.planner.plan(1.0), 1.0)

    # Guards against urgent work that waits for the organisation's own work which can
    # wait, although the workers have room.
    def test_urgent_work_stops_as_much_as_it_needs(self):
        self.fill()
        self.submit(2, case.step(3, cpus=1000), "checks")
        self.planner.plan(1.2)
        self.assertEqual(2, len(self.cell.stops))
        self.planner.plan(1.3)
        self.assertEqual(2, len(self.cell.stops))

    def test_the_allowance_goes_to_the_urgent_work(self):
        self.fill()
        self.submit(2, case.step(2, cpus=1000), "checks")
        self.planner.plan(1.2)
        [stop] = self.cell.stops
        end = case.ended(1, stop.task, how="stopped", checkpoint="c")
        case.poll(self.cell, stop.worker, ended=[end], now=1.4, sent_at=0.0)
        starts = self.planner.plan(1.5).starts
        self.assertEqual(["checks"] * 2, [x.step.job.spec.queue for x in starts])

    # Guards against less urgent work that takes the allowance in small pieces.
    def test_less_urgent_work_leaves_the_allowance_to_waiting_urgent_work(self):
        self.fill(max_per_worker=1)
        self.submit(2, case.step(1, cpus=4000), "checks")
        self.submit(3, case.step(5, cpus=500), "labels")
        starts = self.planner.plan(1.2).starts
        self.assertEqual([], [x for x in starts if x.step.job.spec.queue == "labels"])

    def test_work_without_checkpoints_goes_on(self):
        self.fill(checkpointing=False)
        self.submit(2, case.step(3), "checks")
        self.planner.plan(1.2)
        self.assertEqual([], self.cell.stops)

    def test_services_go_on(self):
        self.fill(long_running=True)
        self.submit(2, case.step(3), "checks")
        self.planner.plan(1.2)
        self.assertEqual([], self.cell.stops)

    def test_work_that_is_late_or_beyond_the_rate_stops_nothing(self):
        self.fill()
        late = self.submit(2, case.step(3), "checks")
        self.cell.jobs[late].due_at = 1.1
        beyond = self.submit(3, case.step(3), "checks")
        self.cell.jobs[beyond].over_rate = True
        self.planner.plan(1.2)
        self.assertEqual([], self.cell.stops)

    # Guards against a gang that stops work as urgent as itself, since a more urgent
    # step has claimed something in the same round.
    def test_a_gang_stops_only_less_urgent_work(self):
        step = case.step(5, cpus=2000, checkpointing=True)
        self.submit(1, step, "proofs")
        case.confirm(self.cell, self.planner.plan(1.0), 1.0)
        self.submit(2, case.step(1, cpus=1000), "checks")
        self.submit(3, case.step(3, cpus=2000, gang=True), "builds")
        self.planner.plan(1.2)
        self.assertEqual(1, len(self.cell.stops))

    def test_each_task_is_stopped_for_others_a_limited_number_of_times(self):
        self.fill()
        for task in self.cell.jobs[self.labels].steps[0, 0].tasks:
            task.preemptions = preemption.MAX_PREEMPTIONS
        self.submit(2, case.step(3), "checks")
        self.planner.plan(1.2)
        self.assertEqual([], self.cell.stops)


class GangTest(testtools.TestCase):
    """Gangs are submitted while tasks of lower priority fill the workers."""

    def setUp(self):
        super().setUp()
        self.cell = case.new_cell(
            *(case.entry(f"w{number}", cpus=10_000) for number in range(3)),
            catalogue_=case.configure(
                case.queue("builds", priority=1), case.queue("labels", priority=2)
            ),
        )
        self.cell_planner = planner.Planner(self.cell)

    def fill(self, now=1.0):
        labels = case.step(30, checkpointing=True)
        self.cell.accept(case.job("a" * 16, labels, queue="labels"), now)
        case.confirm(self.cell, self.cell_planner.plan(now), now)

    def test_a_gang_starts_whole_or_not_at_all(self):
        gang = case.step(4, cpus=9000, gang=True)
        self.cell.accept(case.job(JOB, gang), 1.0)
        self.assertEqual([], self.cell_planner.plan(1.0).starts)
        smaller = case.step(3, cpus=9000, gang=True)
        self.cell.accept(case.job("1" * 16, smaller), 1.1)
        starts = self.cell_planner.plan(1.1).starts
        self.assertEqual([1, 1, 1], [start.run for start in starts])

    def test_a_gang_preempts_only_after_a_delay(self):
        self.fill()
        self.cell.accept(case.job(JOB, case.step(1, cpus=9000, gang=True)), 1.0)
        self.cell_planner.plan(1.3)
        self.assertEqual([], self.cell.stops)
        self.cell_planner.plan(1.0 + gangs.PREEMPT_AFTER_S + 0.1)
        self.assertEqual(9, len(self.cell.stops))

    def test_a_gang_with_much_slack_or_none_preempts_nothing(self):
        self.fill()
        gang = case.step(1, cpus=9000, gang=True)
        self.cell.accept(case.job(JOB, gang, queue="builds"), 1.0)
        record = self.cell.jobs[JOB]
        record.due_at = 30.0
        self.cell_planner.plan(10.0)
        record.due_at = 9.0
        self.cell_planner.plan(10.0)
        self.assertEqual([], self.cell.stops)

    def test_preemptions_of_a_task_are_limited(self):
        self.fill()
        for record in self.cell.jobs.values():
            for task in record.steps[0, 0].tasks:
                task.preemptions = preemption.MAX_PREEMPTIONS
        self.cell.accept(case.job(JOB, case.step(1, cpus=9000, gang=True)), 1.0)
        self.cell_planner.plan(2.6)
        self.assertEqual([], self.cell.stops)

    def test_a_gang_preempts_on_the_same_workers_in_each_round(self):
        self.fill()
        self.cell.accept(case.job(JOB, case.step(1, cpus=9000, gang=True)), 1.0)
        for tick in range(20):
            self.cell_planner.plan(2.6 + tick * 0.01)
        self.assertEqual(1, len({stop.worker for stop in self.cell.stops}))

    def test_no_other_task_starts_on_workers_reserved_for_a_gang(self):
        self.fill()
        self.cell.accept(case.job(JOB, case.step(3, cpus=9000, gang=True)), 1.0)
        self.cell_planner.plan(1.3)
        ends = [
            case.ended(number + 1, f"{'a' * 16}.0.0.{allocation.task.index}")
            for number, allocation in enumerate(
                list(self.cell.workers["w1"].allocations.values())[:2]
            )
        ]
        case.poll(self.cell, "w1", ended=ends, now=1.4, sent_at=0.0)
        self.cell.accept(case.job("b" * 16, queue="labels"), 1.4)
        self.assertEqual([], self.cell_planner.plan(1.45).starts)
