import itertools
import random
import time

import testtools

from test import cell
from toucanspring import errors, job, resources
from toucanspring.policy import fair_share
from toucanspring.scheduling import effects, quarantine

State = job.State


class StartsTest(testtools.TestCase):
    def test_a_non_idempotent_task_starts_only_after_its_intent_is_durable(self):
        # Guards against a start that would be unknown after a takeover.
        c = cell.Cell()
        c.hold_intents = True
        c.submit(cell.spec(idempotent=False))
        c.tick()
        self.assertEqual(1, len(c.pending_intents))
        self.assertEqual({}, c.running())
        c.write_intents()
        self.assertEqual({"a/0": "w0"}, c.running())

    def test_an_intent_for_a_zone_that_goes_out_of_service_starts_in_another(self):
        # Guards against a start that was decided while the zone was still in service.
        c = cell.Cell(workers=2)
        c.hold_intents = True
        c.submit(cell.spec(idempotent=False))
        c.tick()
        zone = c.workers[c.pending_intents[0].worker].zone
        c.zones_out = frozenset({zone})
        c.call("set_availability_zones", c.zones_out)
        c.hold_intents = False
        c.write_intents()
        c.tick()
        self.assertNotEqual(zone, c.workers[c.running()["a/0"]].zone)
        self.assertEqual(2, c.intents["a/0"].attempt)

    def test_a_refused_start_is_requeued_as_a_new_attempt(self):
        # Guards against giving up after a refusal, and against retries without a delay.
        c = cell.Cell()
        c.submit(cell.spec(idempotent=False))
        worker = c.workers["w0"]
        c.start = lambda *_: None
        c.tick()
        c.call("starts_answered", "w0", [], [("a/0", "tick")])
        c.tick(0.02)
        self.assertEqual(1, c.intents["a/0"].attempt)
        del c.start
        c.tick(0.2)
        self.assertEqual(2, worker.running["a/0"].attempt)

    def test_work_waits_for_allowance_and_asks_for_a_chunk(self):
        # Guards against starts beyond this partition's part of the ceiling.
        limit = resources.Resources(16_000, 1 << 20, 8)
        c = cell.Cell(teams=[fair_share.Team("zimna", ceiling=limit)])
        c.submit(cell.spec(task_count=20))
        self.assertEqual([], c.tick())  # the row has not been read yet
        c.grant("zimna", resources.ZERO)
        request = c.tick()[-1]
        self.assertIsInstance(request, effects.RequestAllowance)
        self.assertEqual({}, c.running())
        held = resources.Resources(5_500, 1 << 20, 0)
        c.grant("zimna", held)
        c.tick()
        self.assertEqual(5, len(c.running()))

    def test_a_partition_is_quiescent_only_without_pending_timers(self):
        # Guards against decisions that are up to a second late because a partition with
        # pending timers ticks at the quiescent interval.
        limit = resources.Resources(16_000, 1 << 20, 8)
        c = cell.Cell(teams=[fair_share.Team("zimna", ceiling=limit)])
        is_quiescent = c.scheduler.is_quiescent
        self.assertTrue(is_quiescent())
        c.submit(cell.spec())
        c.tick()
        self.assertFalse(is_quiescent())  # a job waits for an unknown allowance
        c.grant("zimna", limit)
        c.tick()
        self.assertEqual({"a/0": "w0"}, c.running())
        self.assertFalse(is_quiescent())  # the unused amount is returned after 5 s
        c.grant("zimna", c.scheduler._core.allowances.used("zimna"))
        self.assertTrue(is_quiescent())
        for begin, end in (
            (("worker_leaving", "w0", True), ("worker_leaving", "w0", False)),
            (
                ("set_availability_zones", frozenset({"z9"})),
                ("set_availability_zones", frozenset()),
            ),
        ):
            c.call(*begin)
            self.assertFalse(is_quiescent())
            c.call(*end)
            self.assertTrue(is_quiescent())

    def test_a_lowered_allowance_stops_the_latest_tasks(self):
        # Guards against a team that stays above a lowered ceiling.
        limit = resources.Resources(16_000, 1 << 20, 8)
        c = cell.Cell(teams=[fair_share.Team("zimna", ceiling=limit)])
        c.grant("zimna", limit)
        c.submit(cell.spec("old", task_count=4))
        c.tick()
        c.tick(1)
        c.submit(cell.spec("new", task_count=4))
        c.tick()
        c.grant("zimna", resources.Resources(5_000, 1 << 20, 8))
        self.assertEqual(["new/0", "new/1", "new/2"], sorted(c.stopped("checkpoint")))

    def test_a_job_that_can_never_run_is_rejected_with_the_reason(self):
        # Guards against jobs that wait forever.
        c = cell.Cell(teams=[fair_share.Team("zimna", ceiling=cell.CAPACITY)])
        c.tick(10)  # all workers are known by then
        big = cell.CAPACITY.times(2)
        cases = {
            "size": (cell.spec("size", demand=big), "ceiling"),
            "gang": (cell.spec("gang", kind=job.Kind.GANG, task_count=33), "ceiling"),
            "zone": (cell.spec("zone", availability_zones=("z9",)), "zones"),
            "team": (cell.spec("team", team="nobody"), "not configured"),
            "loop": (cell.spec("loop", after=("loop",)), "itself"),
            "once": (
                cell.spec("once", kind=job.Kind.SERVICE, idempotent=False),
                "idempotent",
            ),
        }
        for job_id, (spec, reason) in cases.items():
            c.submit(spec)
            # A reason in the configuration needs one that is newer than the job.
            self.assertEqual(
                job_id not in ("size", "gang", "team"), job_id in c.finished
            )
            c.tick()
            c.tick(1.6)
            self.assertIs(State.NOT_RUN, c.finished[job_id].state)
            self.assertIn(reason, c.finished[job_id].reason)
            self.assertNotIn(f"{job_id}/0", c.starts)

    def test_a_job_is_not_rejected_by_a_configuration_older_than_the_job(self):
        # Guards against an accepted job that ends as not run, since the owner of its
        # partition learns of a new team, or of a raised ceiling, after the job.
        small = resources.Resources(500, 1024, 0)
        for known in ({}, {"zimna": fair_share.Team("zimna", ceiling=small)}):
            c = cell.Cell(teams=[])
            c.call("set_teams", {"kern": fair_share.Team("kern"), **known})
            c.tick(10)
            c.submit(cell.spec("a"))
            c.tick(1)
            self.assertEqual({}, c.finished)
            self.assertEqual({}, c.starts)
            c.call("set_teams", {"zimna": fair_share.Team("zimna")})
            c.tick(0.1)
            self.assertEqual({"a/0": 1}, c.starts)

    def test_a_job_that_awaits_a_newer_configuration_can_be_cancelled(self):
        c = cell.Cell(teams=[fair_share.Team("kern")])
        c.submit(cell.spec("a"))
        c.cancel("a")
        self.assertIs(State.NOT_RUN, c.finished["a"].state)
        c.tick(10)
        self.assertEqual({}, c.starts)


class EndsTest(testtools.TestCase):
    def test_retries_are_bounded_and_their_delay_grows(self):
        # Guards against endless retries, and against retries without a delay.
        c = cell.Cell()
        c.submit(cell.spec(retries=3))
        starts = []
        while "a" not in c.finished:
            c.tick(0.1)
            if c.running():
                starts.append(c.now)
                c.end("w0", "a/0", "failed", reason="exit 1", run_ms=20_000)
        delays = [b - a for a, b in itertools.pairwise(starts)]
        self.assertEqual(4, len(starts))
        self.assertEqual(sorted(delays), delays)
        self.assertEqual(job.Outcome(State.FAILED, "exit 1"), c.finished["a"])

    def test_failures_on_a_quarantined_worker_do_not_count(self):
        # Guards against jobs that fail because one worker fails all tasks.
        c = cell.Cell()
        for number in range(3):
            c.submit(cell.spec(f"j{number}", task_count=2, retries=1))
        core = c.scheduler._core
        while core.quarantine.eligibility("w0", c.now) is quarantine.Eligibility.YES:
            c.tick(0.5)
            c.end_all("failed", run_ms=10)
        for _ in range(3):  # failed probes
            c.tick(100)
            c.end_all("failed", run_ms=10)
        late = cell.spec("late", retries=0)
        c.submit(late)
        c.tick(1000)
        c.end_all("failed", run_ms=10)
        c.run(step=200.0)
        self.assertIs(State.DONE, c.finished["late"].state)

    def test_a_repeated_or_old_report_changes_nothing(self):
        # Guards against counting an end twice, or for a newer attempt.
        c = cell.Cell()
        c.submit(cell.spec(retries=1))
        c.tick()
        old = c.end("w0", "a/0", "failed")
        c.call("worker_report", "w0", [old, old], {})
        c.tick(5)
        c.call("worker_report", "w0", [old], {})
        self.assertEqual({"a/0": "w0"}, c.running())
        c.end("w0", "a/0", answer=b"42")
        self.assertEqual(job.Outcome(State.DONE, "", b"42"), c.finished["a"])
        c.call("worker_report", "w0", [old], {})
        self.assertEqual({"done": 1}, c.scheduler.lookup("a").counts)

    def test_a_service_is_restarted_when_it_ends(self):
        # Guards against a service that is not restarted, or counts as done.
        c = cell.Cell()
        c.submit(cell.spec(kind=job.Kind.SERVICE, retries=0))
        for state in ("done", "failed", "done"):
            c.tick(70)
            c.end("w0", "a/0", state)
        c.tick(70)
        self.assertEqual({"a/0": "w0"}, c.running())
        c.cancel("a")
        c.report("w0")
        self.assertEqual(job.Outcome(State.FAILED, "cancelled"), c.finished["a"])

    def test_a_failed_dependency_ends_the_whole_chain_as_not_run(self):
        # Guards against dependents that wait forever. The chain of 3,000 jobs is longer
        # than the recursion limit.
        c = cell.Cell()
        c.submit(cell.spec("j0", idempotent=False))
        c.submit(*(cell.spec(f"j{n}", after=(f"j{n - 1}",)) for n in range(1, 3000)))
        c.tick()
        c.end("w0", "j0/0", "failed", reason="disk")
        self.assertEqual(3000, len(c.finished))
        self.assertIs(State.NOT_RUN, c.finished["j2999"].state)
        self.assertIn("j0 ended failed: disk", c.finished["j1"].reason)

    def test_a_dependency_of_another_partition_is_watched(self):
        # Guards against starting a job whose dependency is unknown in this partition.
        c = cell.Cell()
        watch = c.submit(cell.spec(after=("far",)))
        self.assertEqual([effects.WatchJobs("a", ["far"])], watch)
        c.tick()
        self.assertEqual({}, c.running())
        self.assertEqual(["job far"], c.scheduler.explain("a").waits_for)
        c.call("dependency_finished", "far", job.Outcome(State.DONE))
        c.tick()
        self.assertEqual({"a/0": "w0"}, c.running())

    def test_cancelling_10000_tasks_while_they_start_and_end_is_exact(self):
        # Guards against quadratic cost, and against "not run" for tasks that ran.
        c = cell.Cell(workers=24)
        rng = random.Random(3)
        c.submit(cell.spec(task_count=10_000))
        while len(c.outcomes) < 2_000:
            c.tick()
            for task_id, worker in list(c.running().items()):
                if rng.random() < 0.5:
                    c.end(worker, task_id, report=False)
            for name in c.workers:
                c.report(name)
        c.tick()
        stopped = set(c.running())
        started = time.process_time()
        c.cancel("a")
        for name in c.workers:
            c.report(name)
        spent = time.process_time() - started
        self.assertIs(State.FAILED, c.finished["a"].state)
        counts = c.scheduler.lookup("a").counts
        self.assertEqual(10_000, sum(counts.values()))
        self.assertEqual(len(c.starts), counts["done"] + counts["failed"])
        self.assertEqual(len(stopped), counts["failed"])
        self.assertLess(spent, 1.0)  # 10 times the time on a slow machine

    def test_lookup_and_explain_of_an_unknown_job_is_not_found(self):
        c = cell.Cell()
        self.assertIsInstance(c.scheduler.lookup("x"), errors.NotFound)
        self.assertIsInstance(c.scheduler.explain("x"), errors.NotFound)


class PreemptionTest(testtools.TestCase):
    def fill(self, c, **fields):
        c.submit(cell.spec("fill", task_count=64, run_seconds=1000, **fields))
        c.tick()
        self.assertEqual(64, len(c.running()))

    def test_an_urgent_job_checkpoints_deferrable_tasks_and_takes_their_capacity(self):
        # Guards against urgent jobs that wait for hours behind deferrable tasks, and
        # against other jobs that take the freed capacity first.
        c = cell.Cell(workers=2)
        self.fill(c, job_class=job.JobClass.DEFERRABLE)
        c.submit(cell.spec("other", team="kern", task_count=5))
        c.submit(cell.spec("now", job_class=job.JobClass.URGENT, task_count=3))
        c.tick()
        c.tick(0.2)
        self.assertEqual(3, len(c.stopped("checkpoint")))
        for name in c.workers:
            c.report(name)
        c.tick()
        self.assertEqual(3, len(c.running("now")))
        self.assertEqual({}, c.running("other"))
        c.end_all()
        c.run()
        marks = [
            t for e in c.seen if isinstance(e, effects.StartTasks) for t in e.tasks
        ]
        self.assertEqual(3, sum(task.progress == b"mark" for task in marks))

    def test_preemption_stops_only_as_many_tasks_as_needed(self):
        # Guards against further stops after those that free enough capacity.
        c = cell.Cell(workers=1)
        for name, cpus, count in (("early", 2000, 13), ("late", 3000, 2)):
            demand = resources.Resources(cpus, 1024)
            low = job.JobClass.DEFERRABLE
            c.submit(cell.spec(name, demand=demand, task_count=count, job_class=low))
            c.tick()
        large = resources.Resources(4000, 1024)
        c.submit(cell.spec("now", job_class=job.JobClass.URGENT, demand=large))
        c.tick()
        c.tick(0.2)
        self.assertEqual({"late/0", "late/1"}, set(c.stopped("checkpoint")))
        c.report("w0")
        c.tick()
        self.assertEqual(1, len(c.running("now")))

    def test_jobs_that_preemption_cannot_help_do_not_block_later_ones(self):
        # Guards against an urgent job that waits forever behind jobs that cannot start.
        c = cell.Cell(workers=1)
        c.submit(cell.spec("kept", task_count=16, idempotent=False, run_seconds=1000))
        c.tick()
        low = job.JobClass.DEFERRABLE
        c.submit(cell.spec("low", task_count=16, job_class=low, run_seconds=1000))
        c.tick()
        large = resources.Resources(20_000, 1024)
        for number in range(400):
            name = f"large-{number}"
            c.submit(cell.spec(name, job_class=job.JobClass.URGENT, demand=large))
        c.submit(cell.spec("now", job_class=job.JobClass.URGENT))
        for _ in range(150):
            c.tick(0.2)
            c.report("w0")
        self.assertEqual(1, len(c.stopped("checkpoint")))
        self.assertEqual(1, len(c.running("now")))

    def test_non_idempotent_tasks_are_never_preempted(self):
        # Guards against losing tasks that must not be restarted.
        c = cell.Cell(workers=2)
        self.fill(c, job_class=job.JobClass.DEFERRABLE, idempotent=False)
        c.submit(cell.spec("now", job_class=job.JobClass.URGENT))
        for _ in range(100):
            c.tick(0.2)
        self.assertEqual([], c.stopped())

    def test_capacity_used_above_the_share_is_reclaimed(self):
        # Guards against a team that keeps capacity to which others are entitled, and
        # against reclaiming more than that.
        c = cell.Cell(workers=2)
        self.fill(c)
        c.submit(cell.spec("mine", team="kern", task_count=64, run_seconds=1000))
        for _ in range(400):
            c.tick(0.2)
            for name in c.workers:
                c.report(name)
        self.assertEqual(32, len(c.running("mine")))
        self.assertEqual(32, len(c.running("fill")))

    def test_idempotent_tasks_in_a_zone_out_of_service_are_checkpointed(self):
        # Guards against tasks that stay in a zone out of service, or are lost with it.
        c = cell.Cell(workers=2)
        self.fill(c)
        self.assertEqual([], c.stopped())
        c.zones_out = frozenset({"z1"})
        c.call("set_availability_zones", c.zones_out)
        c.report("w1")
        self.assertEqual(32, len(c.stopped("checkpoint")))
        self.assertEqual({"w0"}, set(c.running().values()))
        c.run(step=1.0)
        self.assertIs(State.DONE, c.finished["fill"].state)
