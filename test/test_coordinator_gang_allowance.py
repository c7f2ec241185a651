"""Gangs that need room and allowance of their organisation at the same time."""

import testtools

from test import coordinator_case as case
from toucanspring import resources
from toucanspring.coordinator import catalogue, planner

GANG, SINGLES = "0" * 16, "1" * 16


class GangAllowanceTest(testtools.TestCase):
    """An organisation may use 8 cores; the workers of one kind are full."""

    def setUp(self):
        super().setUp()
        hot = catalogue.Organisation(
            name="hot",
            keys=frozenset(),
            weight=50.0,
            ceiling=resources.Resources(cpus=8000),
        )
        queues = (
            case.queue("builds", priority=1, target_s=60.0),
            case.queue("labels", priority=2, target_s=60.0),
        )
        self.cell = case.new_cell(
            case.entry("w0", cpus=8000),
            case.entry("w1", cpus=8000),
            case.entry("w2", cpus=8000, labels=frozenset({"b", "r1"})),
            catalogue_=case.configure(*queues, organisations=[hot]),
        )
        self.planner = planner.Planner(self.cell)

    def submit(self, name, step, organisation="hot", queue="labels"):
        spec = case.job(name, step, organisation=organisation, queue=queue)
        self.cell.accept(spec, 1.0)

    def fill_workers(self):
        step = case.step(2, cpus=7000, required_label="a")
        self.submit("f" * 16, step, organisation="desk")
        self.assertEqual(["f" * 16] * 2, self.plan(1.0))

    def submit_gang(self):
        step = case.step(2, cpus=4000, gang=True, required_label="a")
        self.submit(GANG, step, queue="builds")

    def plan(self, now):
        plan = self.planner.plan(now)
        case.confirm(self.cell, plan, now)
        return [start.step.job.spec.id for start in plan.starts]

    # Guards against a gang that starves beside its own organisation's less urgent work:
    # while it waited for room, that work took the allowance, and the reverse.
    def test_a_gang_that_waits_for_room_keeps_its_allowance(self):
        self.fill_workers()
        self.submit_gang()
        self.submit(SINGLES, case.step(4, cpus=1000))
        self.assertEqual([], self.plan(1.4))

    # Guards against allowance that a gang keeps although it cannot be in time any more.
    def test_a_late_gang_keeps_no_allowance(self):
        self.fill_workers()
        self.submit_gang()
        self.submit(SINGLES, case.step(1, cpus=1000))
        self.assertEqual([SINGLES], self.plan(100.0))
