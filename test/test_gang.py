import testtools

from test import cell
from toucanspring import job

GANG = job.Kind.GANG
State = job.State


class GangTest(testtools.TestCase):
    def test_all_members_start_or_none(self):
        # Guards against members that occupy workers while others wait.
        c = cell.Cell(workers=2)
        c.submit(cell.spec("one", task_count=10))
        c.tick()
        c.submit(cell.spec("gang", kind=GANG, task_count=60))
        c.tick()
        self.assertEqual({}, c.running("gang"))
        c.end_all()
        c.tick()
        self.assertEqual(60, len(c.running("gang")))

    def test_a_lost_member_stops_the_others_and_all_start_again(self):
        # Guards against a gang that keeps running with only some members.
        c = cell.Cell(workers=3)
        c.submit(cell.spec("gang", kind=GANG, task_count=50))
        c.tick()
        lost = {t for t, w in c.running().items() if w == "w0"}
        self.assertNotEqual(set(), lost)
        c.lose("w0")
        self.assertEqual(50 - len(lost), len(c.stopped("checkpoint")))
        c.attach("w0")
        for name in c.workers:
            c.report(name)
        c.tick()
        self.assertEqual(50, len(c.running("gang")))
        c.run()
        self.assertIs(State.DONE, c.finished["gang"].state)

    def test_a_refused_member_of_a_non_idempotent_gang_ends_it(self):
        # Guards against starting non-idempotent members twice.
        c = cell.Cell(workers=2)
        c.submit(cell.spec("gang", kind=GANG, task_count=40, idempotent=False))
        start = c.start

        def start_others(worker, tasks):
            start(worker, [t for t in tasks if t.task_id != "gang/0"])

        c.start = start_others
        c.tick()
        name = c.intents["gang/0"].worker
        c.call("starts_answered", name, [], [("gang/0", "capacity")])
        for name in c.workers:
            c.report(name)
        for _ in range(50):
            c.tick(1)
        self.assertIn("gang", c.finished)
        self.assertIs(State.FAILED, c.finished["gang"].state)
        self.assertEqual(1, max(c.starts.values()))

    def test_a_waiting_gang_holds_a_reservation_that_short_work_may_use(self):
        # Guards against gangs that starve behind a stream of small tasks, and against
        # capacity left idle until the gang starts.
        c = cell.Cell(workers=1)
        c.submit(cell.spec("long", task_count=16, run_seconds=100))
        c.tick()
        c.submit(cell.spec("gang", kind=GANG, task_count=32, run_seconds=10))
        c.tick()
        c.submit(cell.spec("late", task_count=8, run_seconds=500))
        c.submit(cell.spec("short", task_count=8, run_seconds=5))
        c.tick()
        c.tick()
        self.assertEqual(8, len(c.running("short")))
        self.assertEqual({}, c.running("late"))
        c.end_all()
        c.tick(1)
        self.assertEqual(32, len(c.running("gang")))

    def test_a_member_out_of_retries_ends_the_gang(self):
        # Guards against members that keep running without the failed one.
        c = cell.Cell(workers=2)
        c.submit(cell.spec("gang", kind=GANG, task_count=40, retries=1))
        for _ in range(2):
            c.tick(5)
            c.end(
                c.running()["gang/7"], "gang/7", "failed", reason="nan", run_ms=20_000
            )
            for name in c.workers:
                c.report(name)
        self.assertEqual(job.Outcome(State.FAILED, "nan"), c.finished["gang"])
        self.assertEqual({}, c.running())


class DrainTest(testtools.TestCase):
    def cell_with_gang(self, fill_seconds, **fields):
        """Return a full cell in which a gang and other work wait."""
        c = cell.Cell(workers=2)
        low = job.JobClass.DEFERRABLE
        fill = cell.spec("fill", task_count=64, run_seconds=fill_seconds, job_class=low)
        c.submit(fill)
        c.tick()
        fields = {"job_class": job.JobClass.DEADLINE, "team": "zimna", **fields}
        gang = cell.spec(
            "gang", kind=GANG, task_count=40, deadline_seconds=3600, **fields
        )
        more = cell.spec("more", team=gang.team, task_count=64, run_seconds=1000)
        c.submit(gang, more)
        return c

    def advance(self, c, ticks=20):
        for _ in range(ticks):
            c.tick(0.2)
            for name in c.workers:
                c.report(name)

    def test_checkpoints_replace_a_long_drain_for_a_deadline_gang(self):
        # Guards against workers left idle until the last long task has ended.
        c = self.cell_with_gang(fill_seconds=1000)
        c.end("w0", "fill/0")
        self.advance(c)
        self.assertEqual(40, len(c.running("gang")))
        self.assertEqual(39, len(c.stopped("checkpoint")))

    def test_tasks_that_end_soon_are_left_to_end(self):
        # Guards against checkpoints that cost more than the idle time they save.
        c = self.cell_with_gang(fill_seconds=6)
        self.advance(c)
        self.assertEqual([], c.stopped())
        self.assertEqual({}, c.running("gang"))

    def test_a_gang_beyond_the_share_of_its_team_stops_no_work_of_others(self):
        # Guards against distant deadlines that override fair shares.
        c = self.cell_with_gang(fill_seconds=1000, team="kern")
        self.advance(c)
        self.assertEqual({}, c.running("gang"))
        self.assertEqual([], c.stopped())

    def test_gangs_of_other_classes_stop_nothing(self):
        # Guards against preemption for gangs of classes that can wait.
        c = self.cell_with_gang(fill_seconds=1000, job_class=job.JobClass.NORMAL)
        self.advance(c)
        self.assertEqual([], c.stopped())
