"""Events that the scheduler publishes for its decisions, and their contents."""

import testtools

from test import cell
from toucanspring import job, resources
from toucanspring.policy import fair_share
from toucanspring.reporting import event_kinds
from toucanspring.scheduling import effects, overuse

Cause = event_kinds.StopCause


class InterruptionTest(testtools.TestCase):
    def published(self, kind):
        return [
            effect.event
            for effect in self.cell.seen
            if isinstance(effect, effects.Publish) and isinstance(effect.event, kind)
        ]

    def fail_tasks(self, worker, job_id):
        for task_id in list(self.cell.running(job_id)):
            if self.cell.running()[task_id] == worker:
                self.cell.end(worker, task_id, "failed")

    def test_zone_events_count_the_tasks_that_were_stopped(self):
        self.cell = c = cell.Cell(workers=2)
        c.submit(cell.spec(task_count=40, run_seconds=1000))
        c.tick()
        there = list(c.running().values()).count("w1")
        c.zones_out = frozenset({"z1"})
        c.call("set_availability_zones", c.zones_out)
        out = self.published(event_kinds.ZoneTakenOut)
        self.assertEqual([event_kinds.ZoneTakenOut("z1", 0, 1, there)], out)
        stopped = self.published(event_kinds.TasksStopped)
        expected = event_kinds.TasksStopped(
            "a", "w1", "z1", Cause.ZONE_OUT, "checkpoint", ""
        )
        self.assertEqual([expected] * there, stopped)
        c.zones_out = frozenset()
        c.call("set_availability_zones", c.zones_out)
        returned = self.published(event_kinds.ZoneReturned)
        self.assertEqual([event_kinds.ZoneReturned("z1", 0, there)], returned)

    def test_a_successor_does_not_publish_again_that_a_zone_is_out(self):
        self.cell = c = cell.Cell(workers=2)
        c.zones_out = frozenset({"z1"})
        c.call("set_availability_zones", c.zones_out)
        c.take_over()
        c.attach("w1")
        self.assertEqual(1, len(self.published(event_kinds.ZoneTakenOut)))

    def test_a_preemption_event_names_the_preempting_job(self):
        self.cell = c = cell.Cell(workers=1)
        low = job.JobClass.DEFERRABLE
        c.submit(cell.spec("low", task_count=32, job_class=low, run_seconds=1000))
        c.tick()
        c.submit(cell.spec("now", job_class=job.JobClass.URGENT))
        c.tick()
        c.tick(0.2)
        (event,) = self.published(event_kinds.TasksStopped)
        self.assertEqual(("low", "w0"), (event.job, event.worker))
        self.assertEqual((Cause.PREEMPTED, "now"), (event.cause, event.for_job))

    def test_a_lowered_ceiling_is_the_cause_of_its_stops(self):
        limit = resources.Resources(16_000, 1 << 20, 8)
        self.cell = c = cell.Cell(teams=[fair_share.Team("zimna", ceiling=limit)])
        c.grant("zimna", limit)
        c.submit(cell.spec(task_count=4))
        c.tick()
        c.grant("zimna", resources.Resources(3_000, 1 << 20, 8))
        (event,) = self.published(event_kinds.TasksStopped)
        self.assertEqual(Cause.CEILING, event.cause)

    def test_a_gang_that_lost_a_member_is_queued_again(self):
        self.cell = c = cell.Cell(workers=2)
        gang = job.Kind.GANG
        c.submit(cell.spec("g", kind=gang, task_count=40, run_seconds=1000))
        c.tick()
        c.lose("w0")
        (event,) = self.published(event_kinds.GangRequeued)
        self.assertEqual("g", event.job)
        self.assertIn("w0", event.reason)
        causes = {each.cause for each in self.published(event_kinds.TasksStopped)}
        self.assertEqual({Cause.GANG}, causes)

    def test_quarantine_probe_and_release_are_published(self):
        self.cell = c = cell.Cell(workers=1)
        for name in ("a", "b"):
            c.submit(cell.spec(name, task_count=8, retries=100))
        for _ in range(3):
            c.tick(3.0)
            c.end_all("failed")
        self.assertEqual(1, len(self.published(event_kinds.WorkerQuarantined)))
        for _ in range(100):
            c.tick(1.0)
            if self.published(event_kinds.WorkerProbed):
                break
        c.end_all("done")
        self.assertEqual(1, len(self.published(event_kinds.WorkerReleased)))

    def test_avoided_workers_are_published_and_named_by_explain(self):
        # Guards against `explain` that says only that workers are excluded.
        self.cell = c = cell.Cell(workers=4)
        c.submit(cell.spec(task_count=128, retries=100, run_seconds=1000))
        c.tick()
        self.fail_tasks("w0", "a")
        self.fail_tasks("w3", "a")
        avoided = self.published(event_kinds.WorkerAvoided)
        self.assertEqual(
            {("a", "w0"), ("a", "w3")}, {(e.job, e.worker) for e in avoided}
        )
        racks = self.published(event_kinds.RackAvoided)
        self.assertEqual([event_kinds.RackAvoided("a", "z0-r0")], racks)
        c.tick(2.0)
        rejected = c.scheduler.explain("a").rejected
        self.assertEqual(2, rejected.get("avoided"))
        self.assertNotIn("excluded", rejected)

    def test_throttles_on_processors_are_published(self):
        self.cell = c = cell.Cell()
        demand = resources.Resources(8_000, 8_192, 0)
        c.submit(cell.spec(task_count=4, demand=demand))
        c.tick()
        usage = {f"a/{n}": resources.Resources(12_000, 1_024, 0) for n in range(4)}
        c.call("worker_report", "w0", [], usage)
        throttled = self.published(event_kinds.TasksThrottled)
        self.assertEqual(4, len(throttled))
        c.now += overuse.SETTLE_S
        usage = {f"a/{n}": resources.Resources(500, 1_024, 0) for n in range(4)}
        c.call("worker_report", "w0", [], usage)
        lifted = self.published(event_kinds.ThrottlesLifted)
        self.assertEqual([event_kinds.ThrottlesLifted("a", "w0")] * 4, lifted)

    def test_memory_is_the_cause_of_a_checkpoint(self):
        self.cell = c = cell.Cell()
        c.submit(cell.spec(task_count=2))
        c.tick()
        usage = {f"a/{n}": resources.Resources(500, 40_000, 0) for n in range(2)}
        c.call("worker_report", "w0", [], usage)
        (event,) = self.published(event_kinds.TasksStopped)
        self.assertEqual(Cause.MEMORY, event.cause)
