"""Tests that a step which could run is not left waiting."""

import dataclasses

import testtools

from test import coordinator_case as case
from toucanspring import resources
from toucanspring.coordinator import approvals, catalogue, gangs, planner, plans

JOB = "0" * 16
OTHER = "1" * 16
BUSY = "b" * 16
APPROVED = catalogue.Approval(decision_s=0.05, per_worker_s=0.001, validity_s=2.5)


class BlockedStepTest(testtools.TestCase):
    """One worker is full for a long time, the others are left alone for a while."""

    def setUp(self):
        super().setUp()
        entries = [case.entry(f"w{number}", cpus=10_000) for number in range(3)]
        self.cell = case.new_cell(*entries)
        self.cell_planner = planner.Planner(self.cell)

    def fill(self, name="w0"):
        """Start a task on one worker that leaves no room there."""
        paused = [each for each in self.cell.workers.values() if each.id != name]
        for worker in paused:
            worker.backoff_until = 1.5
        self.cell.accept(case.job(BUSY, case.step(1, cpus=10_000)), 1.0)
        case.confirm(self.cell, self.cell_planner.plan(1.0), 1.0)

    def block(self):
        self.cell.accept(case.job(JOB, case.step(1)), 1.1)
        self.assertEqual([], self.cell_planner.plan(1.1).starts)
        self.assertEqual([], self.cell_planner.plan(1.2).starts)

    def assert_starts(self, now):
        [start] = self.cell_planner.plan(now).starts
        self.assertEqual(JOB, start.step.job.spec.id)

    def test_a_blocked_step_starts_when_a_backoff_ends(self):
        """Guards against a step that waits although a backoff is over.

        Only time passes: no worker reports anything.
        """
        self.fill()
        self.block()
        self.assert_starts(1.6)

    def test_a_step_is_not_blocked_by_its_own_task_that_has_ended(self):
        """Guards against a limit per worker that outlasts a task without demand."""
        step = case.step(2, cpus=0, memory=0, max_per_worker=1)
        cell = case.new_cell(case.entry("w0"))
        cell_planner = planner.Planner(cell)
        cell.accept(case.job(JOB, step), 1.0)
        case.confirm(cell, cell_planner.plan(1.0), 1.0)
        self.assertEqual([], cell_planner.plan(1.1).starts)
        case.poll(cell, "w0", ended=[case.ended(1, f"{JOB}.0.0.0")], now=1.2)
        [start] = cell_planner.plan(1.3).starts
        self.assertEqual(1, start.task.index)

    def test_a_blocked_step_starts_when_a_quarantine_ends(self):
        """Guards against a step that waits although a quarantine is over."""
        self.fill()
        for name in ("w1", "w2"):
            self.cell.workers[name].quarantined_until = 4.2
        self.block()
        self.assert_starts(4.3)

    def test_a_blocked_step_starts_when_a_slow_worker_may_be_used_again(self):
        """Guards against a step that waits although the pause of a worker is over."""
        self.fill()
        for name in ("w1", "w2"):
            self.cell.workers[name].slow_until = 5.1
        self.block()
        self.assert_starts(5.2)

    def test_a_blocked_step_starts_when_a_restart_ends_unknown_tasks(self):
        """Guards against a step that waits beside a worker that has restarted.

        It ran a task that the coordinator does not know, and nothing else.
        """
        self.fill()
        for name in ("w1", "w2"):
            other = case.running("f" * 16 + ".0.0.0")
            case.poll(self.cell, name, running=[other], now=1.05)
        self.block()
        self.assertEqual([], self.cell_planner.plan(1.6).starts)
        entry = self.cell.workers["w1"].entry
        self.cell.register_worker(dataclasses.replace(entry, incarnation=2))
        case.poll(self.cell, "w1", now=1.7, incarnation=2)
        self.assert_starts(1.8)

    def test_a_blocked_step_starts_when_an_unknown_task_gives_way_to_a_small_one(self):
        """Guards against a step that waits since the number of tasks is the same."""
        self.fill()
        self.cell.accept(case.job(OTHER, case.step(1)), 1.05)
        self.cell.cancel(OTHER, 1.05)
        for name in ("w1", "w2"):
            other = case.running("f" * 16 + ".0.0.0")
            case.poll(self.cell, name, running=[other], now=1.05)
        self.block()
        self.assertEqual([], self.cell_planner.plan(1.6).starts)
        case.poll(self.cell, "w1", [case.running(f"{OTHER}.0.0.0")], now=1.7)
        self.assert_starts(1.8)

    def test_a_step_without_room_is_looked_at_when_room_returns_to_its_former_size(
        self,
    ):
        """A round that fills a worker and an end that frees it leave no difference."""
        self.fill()
        self.cell.accept(case.job(OTHER, case.step(2, cpus=10_000)), 1.5)
        plan = self.cell_planner.plan(1.6)
        case.confirm(self.cell, plan, 1.6)
        self.cell.accept(case.job(JOB, case.step(1)), 1.7)
        self.assertEqual([], self.cell_planner.plan(1.7).starts)
        [task] = self.cell.workers["w1"].allocations
        case.poll(self.cell, "w1", ended=[case.ended(1, task)], now=2.0)
        self.assert_starts(2.0)


class ReservationTest(testtools.TestCase):
    def test_a_blocked_step_starts_when_a_gang_gives_up_its_reservation(self):
        """Guards against a step that waits for workers which nobody reserves."""
        cell = case.new_cell(
            case.entry("w1", cpus=10_000),
            case.entry("w2", cpus=10_000),
            catalogue_=case.configure(
                case.queue("builds", priority=1), case.queue("labels", priority=2)
            ),
        )
        cell_planner = planner.Planner(cell)
        long = case.step(1, cpus=8000, checkpointing=True)
        cell.accept(case.job(BUSY, long, queue="labels"), 1.0)
        case.confirm(cell, cell_planner.plan(1.0), 1.0)
        cell.accept(case.job(OTHER, case.step(2, cpus=9000, gang=True)), 1.0)
        cell.accept(case.job(JOB, case.step(1), queue="labels"), 1.2)
        self.assertEqual([], cell_planner.plan(1.3).starts)
        cell.cancel(OTHER, 1.4)
        [start] = cell_planner.plan(1.5).starts
        self.assertEqual(JOB, start.step.job.spec.id)


class GangApprovalTest(testtools.TestCase):
    """Gangs on a queue whose placements need approval."""

    def setUp(self):
        super().setUp()
        self.catalogue = case.configure(
            case.queue("builds", priority=1, approval=APPROVED),
            case.queue("labels", priority=2),
        )

    def test_a_gang_requests_approval_of_workers_beside_those_it_waits_for(self):
        """Guards against a gang that waits for a full worker while others are empty.

        The tasks on the approved workers might be preempted, but are not, since the
        gang is late.
        """
        cell = case.new_cell(
            *(case.entry(f"w{number}", cpus=10_000) for number in range(5)),
            catalogue_=self.catalogue,
        )
        cell_planner = planner.Planner(cell)
        cell.workers["w4"].backoff_until = 2.0
        long = case.step(4, cpus=9000, checkpointing=True)
        cell.accept(case.job(BUSY, long, queue="labels"), 1.0)
        case.confirm(cell, cell_planner.plan(1.0), 1.0)
        cell.accept(case.job(JOB, case.step(1, cpus=9000, gang=True)), 1.0)
        [request] = cell_planner.plan(1.1).approval_requests
        self.assertEqual(("w0", "w1", "w2", "w3"), request.workers)
        plans.record_approvals(request, dict.fromkeys(request.workers, "t"), 90.0)
        cell.jobs[JOB].due_at = 1.0
        requests = [
            each.workers
            for tick in range(20)
            for each in cell_planner.plan(2.1 + tick / 10).approval_requests
        ]
        self.assertEqual([("w4",)], requests)

    def test_expired_tickets_of_the_chosen_workers_are_among_those_requested(self):
        """Guards against a gang that never asks about the worker it has chosen.

        A request names 100 workers at most, and the free ones are not the first.
        """
        size = approvals.MAX_WORKERS_PER_REQUEST + 4
        cell = case.new_cell(
            *(
                case.entry(f"w{number}", cpus=10_000 if number < size - 2 else 20_000)
                for number in range(size)
            ),
            catalogue_=self.catalogue,
        )
        cell_planner = planner.Planner(cell)
        cell.accept(case.job(JOB, case.step(2, cpus=10_000, gang=True)), 1.0)
        run = cell.jobs[JOB].steps[0, 0]
        run.allowed = dict.fromkeys(cell.workers, True)
        [request] = cell_planner.plan(1.0).approval_requests
        tickets = dict.fromkeys(request.workers, "t")
        plans.record_approvals(request, tickets, 3.5)
        self.assertEqual(2, len(cell_planner.plan(1.1).starts))


class HeldBackTest(testtools.TestCase):
    """Most of the pool is idle, but its workers are paused or reserved."""

    def setUp(self):
        super().setUp()
        self.cell = case.new_cell(
            *(case.entry(f"w{number}", cpus=10_000) for number in range(9)),
            catalogue_=case.configure(
                case.queue("builds", priority=1, max_attempts=1),
                case.queue("labels", priority=2, max_attempts=1),
            ),
        )
        self.cell_planner = planner.Planner(self.cell)

    def first_start(self, job_id, since, limit_s=2.0):
        for tick in range(round(limit_s * 20)):
            now = since + tick / 20
            plan = self.cell_planner.plan(now)
            case.confirm(self.cell, plan, now)
            for start in plan.starts:
                if start.step.job.spec.id == job_id:
                    return start
        return None

    def quarantine_all(self):
        """Let runs of two jobs fail on every worker."""
        for worker in self.cell.workers.values():
            for job_id in (OTHER, BUSY):
                worker.record_failure(job_id, 2.5)

    def test_jobs_that_fail_everywhere_do_not_keep_others_waiting(self):
        """Guards against an idle pool in which all workers are in quarantine."""
        self.quarantine_all()
        paused = [each.is_paused(2.6) for each in self.cell.workers.values()]
        self.assertEqual([True] * 9, paused)
        self.cell.accept(case.job(JOB, case.step(2)), 2.6)
        self.assertIsNotNone(self.first_start(JOB, 2.6))

    def test_an_unknown_task_does_not_make_an_idle_pool_count_as_used(self):
        """Guards against paused workers that stay unused beside one odd task."""
        self.quarantine_all()
        unknown = [case.running(f"{'e' * 16}.0.0.0")]
        case.poll(self.cell, "w0", running=unknown, now=2.6)
        self.cell.accept(case.job(JOB, case.step(2)), 2.6)
        self.assertIsNotNone(self.first_start(JOB, 2.6))

    def test_a_gang_does_not_wait_for_the_end_of_all_quarantines(self):
        """Guards against a gang that waits in an idle pool of paused workers."""
        self.quarantine_all()
        self.cell.accept(case.job(JOB, case.step(5, cpus=9000, gang=True)), 2.6)
        self.assertIsNotNone(self.first_start(JOB, 2.6))

    def test_a_worker_that_is_paused_is_used_after_the_others(self):
        self.cell.accept(case.job(JOB, case.step(8, cpus=9000)), 1.0)
        for number in range(1, 9):
            self.cell.workers[f"w{number}"].quarantined_until = 90.0
        self.cell.workers["w0"].failures = 1
        self.assertEqual("w0", self.first_start(JOB, 1.0).worker.id)

    def test_paused_workers_get_nothing_while_much_of_the_pool_is_in_use(self):
        self.cell.accept(case.job(BUSY, case.step(5, cpus=10_000)), 1.0)
        case.confirm(self.cell, self.cell_planner.plan(1.0), 1.0)
        for worker in self.cell.workers.values():
            if not worker.allocations:
                worker.quarantined_until = 90.0
        self.cell.accept(case.job(JOB), 1.1)
        self.assertIsNone(self.first_start(JOB, 1.1, 5.0))

    def test_a_pool_becomes_idle_when_its_busy_workers_leave(self):
        """Guards against a step that waits beside paused workers with room."""
        self.cell.accept(case.job(BUSY, case.step(5, cpus=10_000)), 1.0)
        case.confirm(self.cell, self.cell_planner.plan(1.0), 1.0)
        for worker in self.cell.workers.values():
            if not worker.allocations:
                worker.quarantined_until = 90.0
        self.cell.accept(case.job(JOB), 1.1)
        self.assertIsNone(self.first_start(JOB, 1.1, 5.0))
        for worker in self.cell.workers.values():
            worker.responsive = not worker.allocations
        self.assertIsNotNone(self.first_start(JOB, 6.2, 0.1))

    def reserve(self):
        """Let a gang that has time wait for a long task of less urgency."""
        long = case.step(1, cpus=8000, checkpointing=True)
        self.cell.accept(case.job(BUSY, long, queue="labels"), 1.0)
        case.confirm(self.cell, self.cell_planner.plan(1.0), 1.0)
        self.cell.accept(case.job(OTHER, case.step(9, cpus=9000, gang=True)), 1.0)
        self.cell.jobs[OTHER].due_at = 90.0

    def test_a_task_does_not_wait_for_a_gang_that_waits_in_an_idle_pool(self):
        """Guards against a reservation that keeps idle workers for long."""
        self.reserve()
        self.cell.accept(case.job(JOB, queue="labels"), 1.0)
        self.assertIsNone(self.first_start(JOB, 1.3, 1.0))
        self.assertIsNotNone(self.first_start(JOB, 2.3, 1.0))

    def test_a_gang_does_not_wait_for_a_gang_that_waits_in_an_idle_pool(self):
        """Guards against a reservation that keeps idle workers from other gangs."""
        self.reserve()
        gang = case.step(3, cpus=9000, gang=True)
        self.cell.accept(case.job(JOB, gang, queue="labels"), 1.0)
        self.assertIsNotNone(self.first_start(JOB, 1.3))


class CrowdTest(testtools.TestCase):
    """More steps that cannot run wait ahead of a small one than a round looks at."""

    def setUp(self):
        super().setUp()
        self.crowd = planner.MAX_STEPS_PER_ROUND + 50
        held = catalogue.Organisation(
            name="held", keys=frozenset(), weight=0, ceiling=resources.Resources(1)
        )
        self.cell = case.new_cell(
            *(case.entry(f"w{number}", cpus=10_000) for number in range(3)),
            catalogue_=case.configure(
                case.queue("checks", priority=0),
                case.queue("advised", priority=0, approval=APPROVED),
                case.queue("labels", priority=2),
                organisations=[held],
            ),
        )
        self.cell_planner = planner.Planner(self.cell)

    def crowd_with(self, step, **changes):
        for number in range(self.crowd):
            spec = case.job(f"c{number:015x}", step, **{"queue": "checks", **changes})
            self.cell.accept(spec, 1.0)
        self.cell.accept(case.job(JOB, queue="labels"), 1.0)

    def assert_starts_soon(self):
        """The rounds go on while tasks elsewhere end and free their room."""
        started = []
        for tick in range(4):
            worker = self.cell.workers["w2"]
            worker.backoff_until = 1.2 + tick / 10
            plan = self.cell_planner.plan(1.1 + tick / 10)
            started += [each.step.job.spec.id for each in plan.starts]
        self.assertEqual([JOB], started)

    def test_steps_without_a_worker_do_not_hold_up_later_ones(self):
        """Guards against a round that is used up by a label no worker has."""
        self.crowd_with(case.step(1, required_label="absent"))
        self.assert_starts_soon()

    def test_steps_above_a_ceiling_do_not_hold_up_later_ones(self):
        """Guards against a round that is used up by one organisation's queue."""
        self.crowd_with(case.step(1), organisation="held")
        self.assert_starts_soon()

    def test_steps_without_room_do_not_hold_up_later_ones(self):
        """Guards against a round that is used up by steps that are too large."""
        for worker in self.cell.workers.values():
            worker.used = resources.Resources(5000)
        self.crowd_with(case.step(1, cpus=6000))
        self.assert_starts_soon()

    def test_steps_that_await_approval_do_not_hold_up_later_ones(self):
        """Guards against a round that is used up by requests without an answer."""
        self.crowd_with(case.step(1), queue="advised")
        self.assert_starts_soon()

    def test_gangs_without_room_do_not_hold_up_later_ones(self):
        """Guards against a round that is used up by gangs that wait."""
        for worker in self.cell.workers.values():
            worker.used = resources.Resources(5000)
        self.crowd_with(case.step(4, cpus=6000, gang=True))
        self.assert_starts_soon()

    def test_gangs_that_fit_nowhere_leave_the_reservations_to_others(self):
        """Guards against gangs that hold all reservations and use none."""
        for number in range(gangs.MAX_RESERVING_GANGS):
            gang = case.step(4, cpus=9000, gang=True)
            self.cell.accept(case.job(f"{number:016x}", gang, queue="checks"), 1.0)
        long = case.step(1, cpus=8000, checkpointing=True)
        self.cell.accept(case.job(BUSY, long, queue="labels"), 1.0)
        case.confirm(self.cell, self.cell_planner.plan(1.0), 1.0)
        gang = case.step(3, cpus=9000, gang=True)
        self.cell.accept(case.job(OTHER, gang, queue="checks"), 1.1)
        self.cell_planner.plan(1.5)
        self.assertEqual(3, len(self.cell.jobs[OTHER].steps[0, 0].reserved))
