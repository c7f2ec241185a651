"""Accepted jobs whose queue a later configuration removes."""

import msgspec
import testtools

from test import coordinator_case as case
from test import test_coordinator_leadership as leadership_case
from toucanspring.coordinator import (
    catalogue,
    cell_state,
    job_specs,
    planner,
    plans,
    rows,
    state,
)

JOB = leadership_case.JOB
APPROVED = catalogue.Approval(decision_s=0.05, per_worker_s=0.001, validity_s=2.5)


def settings(**changes):
    return catalogue.to_settings(case.queue(**changes))


class RemovedQueueTest(testtools.TestCase):
    def plan(self, cell, now):
        plan = planner.Planner(cell).plan(now)
        case.confirm(cell, plan, now)
        return plan

    # Guards against accepted jobs that never run, since their queue was removed.
    def test_a_job_runs_to_its_end_without_its_queue(self):
        cell = case.new_cell()
        steps = case.step(1), case.step(1, after=(0,))
        cell.accept(case.job(JOB, *steps, queue_settings=settings()), 1.0)
        self.plan(cell, 1.0)
        cell.configure(case.configure(case.queue("other")))
        end = case.ended(1, f"{JOB}.0.0.0")
        case.poll(cell, "w1", ended=[end], now=2.0)
        self.assertEqual(1, len(self.plan(cell, 2.1).starts))

    # Guards against attempts and ranks that change with the removal.
    def test_the_settings_are_those_of_the_acceptance(self):
        for queue in (case.queue(), case.queue(max_attempts=4, approval=APPROVED)):
            stored = catalogue.to_settings(queue)
            found = catalogue.restore_queue(queue.name, stored)
            self.assertEqual(stored, catalogue.to_settings(found))
            self.assertEqual(queue.approval, found.approval)
        cell = case.new_cell()
        cell.accept(case.job(JOB, queue_settings=settings(max_attempts=1)), 1.0)
        self.plan(cell, 1.0)
        cell.configure(case.configure(case.queue("other")))
        end = case.ended(1, f"{JOB}.0.0.0", how="failed")
        case.poll(cell, "w1", ended=[end], now=2.0)
        self.plan(cell, 5.0)
        self.assertEqual(state.JobState.FAILED, cell.jobs[JOB].state)

    def test_a_queue_in_force_decides(self):
        cell = case.new_cell()
        cell.accept(case.job(JOB, queue_settings=settings(pool="gone")), 1.0)
        self.assertEqual(1, len(self.plan(cell, 1.0).starts))

    # Guards against a coordinator that takes what it has not read for removed.
    def test_nothing_is_decided_before_a_configuration_is_known(self):
        cell = cell_state.CellState()
        cell.accept(case.job(JOB, queue_settings=settings()), 1.0)
        self.assertIsNone(cell.jobs[JOB].queue)

    # A row of an earlier version does not hold the settings.
    def test_a_job_of_an_earlier_version_waits_for_its_queue(self):
        encoded = rows.encode(case.job(JOB, queue_settings=settings()))
        *fields, _ = msgspec.msgpack.decode(encoded)
        spec = rows.decode(job_specs.Job, rows.encode(fields))
        self.assertIsNone(spec.queue_settings)
        cell = case.new_cell(catalogue_=case.configure(case.queue("other")))
        cell.accept(spec, 1.0)
        plan = self.plan(cell, 1.0)
        self.assertEqual([plans.UNKNOWN_QUEUE], [each.reason for each in plan.waits])


class TakeoverTest(leadership_case.LeadershipCase):
    # Guards against a successor that knows only the queues of its configuration.
    def test_a_job_without_its_queue_runs_after_a_takeover(self):
        steps = case.step(1), case.step(1, after=(0,))
        self.accept(*steps, queue_settings=settings())
        self.directory.catalogue = case.configure(case.queue("other"))
        self.coordinate("one").release()
        self.coordinate("two")
        self.wait_for(self.is_complete)
        self.assertEqual(2, self.workers.starts)
        self.assert_no_violations()
