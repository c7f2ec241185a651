"""Claims below the ceiling of an organisation, and those that can't be met."""

import testtools

from test import coordinator_case as case
from toucanspring import resources
from toucanspring.coordinator import catalogue, planner, plans

WORKERS = 4  # of 32 cores
APPROVED = catalogue.Approval(decision_s=0.05, per_worker_s=0.001, validity_s=2.5)


class UnmetClaimTest(testtools.TestCase):
    """An organisation has urgent work that can never start, and work that can wait."""

    def setUp(self):
        super().setUp()
        self.count = 0
        entries = [case.entry(f"w{number}") for number in range(WORKERS)]
        self.cell = case.new_cell(*entries)
        self.configure(10_000)
        self.planner = planner.Planner(self.cell)

    def configure(self, cpus, **changes):
        hot = catalogue.Organisation(
            name="hot",
            keys=frozenset(),
            weight=50.0,
            ceiling=resources.Resources(cpus=cpus),
        )
        self.cell.configure(
            case.configure(
                case.queue("checks", priority=0, target_s=60.0, **changes),
                case.queue("labels", priority=2, target_s=60.0),
                organisations=[hot],
            )
        )

    def submit(self, queue, step):
        self.count += 1
        name = f"{self.count:016x}"
        spec = case.job(name, step, organisation="hot", queue=queue)
        self.cell.accept(spec, 1.0)
        return self.cell.jobs[name].steps[0, 0]

    def plan(self, now):
        """Plan a round; return the queues of its starts."""
        plan = self.planner.plan(now)
        case.confirm(self.cell, plan, now)
        return [start.step.job.spec.queue for start in plan.starts]

    def assert_labels_start(self):
        """Check that the claim holds back and stops no less urgent work."""
        self.submit("labels", case.step(1, cpus=1000))
        self.assertEqual(["labels"], self.plan(1.2))
        self.assertEqual([], self.cell.stops)

    # Guards against an idle cell: a gang that exceeds the ceiling by itself claims the
    # whole allowance of its organisation.
    def test_a_gang_above_the_ceiling_holds_nobody_back(self):
        step_run = self.submit("checks", case.step(6, cpus=2000, gang=True))
        self.plan(1.1)
        self.assertEqual(plans.EXCEEDS_CEILING, step_run.wait_reason)
        self.assert_labels_start()

    # As above, for one task.
    def test_a_task_above_the_ceiling_holds_nobody_back(self):
        self.submit("checks", case.step(3, cpus=12_000))
        self.assert_labels_start()

    # As above; a configuration lowers the ceiling below a gang that waits, then raises
    # it again.
    def test_a_ceiling_that_changes_decides_anew(self):
        fill = self.submit("labels", case.step(1, cpus=9000))
        self.assertEqual(["labels"], self.plan(1.0))
        self.submit("checks", case.step(4, cpus=2000, gang=True))
        self.assertEqual([], self.plan(1.1))
        self.configure(7000)
        self.assertEqual([], self.plan(1.2))
        self.cell.requeue(fill, fill.tasks[0], 1.2)
        self.cell.cancel(fill.job.spec.id, 1.2)
        self.assert_labels_start()
        self.configure(10_000)
        self.assertEqual(["checks"] * 4, self.plan(1.5))

    # As above; the workers are too few, too small or of another kind.
    def test_a_gang_that_the_workers_cannot_hold_holds_nobody_back(self):
        self.configure(200_000)
        self.submit("labels", case.step(2, cpus=30_000))
        self.assertEqual(["labels"] * 2, self.plan(1.0))
        wide = case.step(WORKERS + 1, cpus=30_000, gang=True)
        apart = case.step(WORKERS + 1, cpus=29_000, gang=True, max_per_worker=1)
        kind = case.step(5, cpus=29_000, gang=True, required_label="b")
        for step in (wide, apart, kind):
            self.submit("checks", step)
        self.assert_labels_start()

    # As above; the approval service denies most workers.
    def test_a_gang_without_enough_approved_workers_holds_nobody_back(self):
        self.configure(100_000, approval=APPROVED)
        self.submit("labels", case.step(1, cpus=30_000))
        self.assertEqual(["labels"], self.plan(1.0))
        step_run = self.submit("checks", case.step(3, cpus=30_000, gang=True))
        step_run.allowed = {f"w{number}": number < 2 for number in range(WORKERS)}
        self.assert_labels_start()

    # As above; what the organisation runs for ever leaves too little below the ceiling.
    def test_a_gang_that_services_leave_no_allowance_holds_nobody_back(self):
        self.submit("labels", case.step(1, cpus=6000, long_running=True))
        self.assertEqual(["labels"], self.plan(1.0))
        self.submit("checks", case.step(5, cpus=1000, gang=True))
        self.assert_labels_start()

    # Guards against allowance that is kept for tasks that wait for a worker each.
    def test_no_more_is_claimed_than_the_workers_take_at_once(self):
        self.submit("labels", case.step(1, cpus=3000))
        self.assertEqual(["labels"], self.plan(1.0))
        self.submit("checks", case.step(12, cpus=1500, max_per_worker=1))
        self.assertEqual(["checks"] * WORKERS, self.plan(1.1))
        self.assert_labels_start()

    # Guards against a fix that lets less urgent work take what a gang waits for.
    def test_a_claim_that_can_be_met_holds(self):
        self.submit("labels", case.step(1, cpus=4000))
        self.assertEqual(["labels"], self.plan(1.0))
        self.submit("checks", case.step(8, cpus=1000, gang=True))
        self.submit("labels", case.step(1, cpus=1000))
        self.assertEqual([], self.plan(1.2))
