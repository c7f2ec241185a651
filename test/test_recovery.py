import testtools

from test import cell
from toucanspring import job, resources, wire
from toucanspring.owners import recovery
from toucanspring.policy import fair_share

State = job.State


class TakeoverTest(testtools.TestCase):
    def test_running_work_survives_and_waiting_work_waits_for_all_workers(self):
        # Guards against a second copy of a task on a worker not yet attached.
        c = cell.Cell(workers=3)
        c.submit(cell.spec(task_count=120))
        c.tick()
        before = c.running()
        c.take_over()
        c.attach("w0")
        c.attach("w1")
        c.tick()
        self.assertEqual(before, c.running())
        self.assertEqual(["worker w2"], c.scheduler.explain("a").waits_for)
        c.submit(cell.spec("new"))
        c.lose("w2")
        c.attach("w2")
        c.tick()
        self.assertEqual(96, len(c.running()))
        c.run()
        self.assertEqual({"done": 120}, c.scheduler.lookup("a").counts)

    def test_new_work_starts_before_all_workers_are_attached(self):
        # Guards against one unreachable worker that blocks the whole partition.
        c = cell.Cell(workers=2)
        c.take_over()
        c.attach("w0")
        c.submit(cell.spec("new"))
        c.tick()
        self.assertEqual({"new/0": "w0"}, c.running())

    def test_an_intent_decides_what_follows_for_non_idempotent_work(self):
        # Guards against a second start, and against a loss of work that never ran.
        for fate in ("running", "ended", "never arrived", "restarted", "lost"):
            c = cell.Cell(workers=2)
            c.submit(cell.spec(idempotent=False))
            c.deliver_unanswered = fate != "never arrived"
            for name in c.workers:
                c.disconnect(name)
            c.tick()
            worker = c.workers[c.intents["a/0"].worker]
            if fate == "ended":
                c.end(worker.name, "a/0", answer=b"box 7")
            c.take_over()
            if fate in ("restarted", "lost"):
                worker.running.clear()
                worker.incarnation += 1
            for name in c.workers:
                if fate == "lost" and name == worker.name:
                    c.lose(name)
                else:
                    c.attach(name)
            c.tick()
            with self.subTest(fate):
                match fate:
                    case "running" | "never arrived":
                        attempt = 1 if fate == "running" else 2
                        task = next(
                            w.running["a/0"] for w in c.workers.values() if w.running
                        )
                        self.assertEqual(attempt, task.attempt)
                        self.assertEqual(1, c.starts["a/0"])
                    case "ended":
                        self.assertEqual(b"box 7", c.finished["a"].answer)
                    case _:
                        self.assertIs(State.UNKNOWN, c.finished["a"].state)

    def test_outcomes_and_cancellations_in_the_log_stand(self):
        # Guards against running finished or cancelled work again.
        c = cell.Cell(workers=1)
        c.submit(
            cell.spec(task_count=3), cell.spec("b", idempotent=False, task_count=40)
        )
        c.tick()
        c.end("w0", "a/0")
        c.cancelled.update("ab")
        c.take_over()
        c.attach("w0")
        c.report("w0")
        self.assertEqual({"done": 1, "failed": 2}, c.scheduler.lookup("a").counts)
        counts = c.scheduler.lookup("b").counts
        self.assertEqual({"failed": 29, "not_run": 11}, counts)

    def test_work_that_may_run_elsewhere_counts_against_the_allowance(self):
        # Guards against a team above its ceiling while a worker is unreachable.
        limit = resources.Resources(40_000, 1 << 20, 8)
        c = cell.Cell(workers=2, teams=[cell.fair_share.Team("zimna", ceiling=limit)])
        c.grant("zimna", limit)
        c.submit(cell.spec(task_count=100))
        c.tick()
        self.assertEqual(40, len(c.running()))
        c.take_over()
        c.grant("zimna", limit)
        c.attach("w0")
        c.submit(cell.spec("new", task_count=100))
        c.tick()
        self.assertEqual({}, c.running("new"))

    def test_a_successor_starts_nothing_of_a_team_that_it_does_not_know(self):
        # Guards against a team that runs without any ceiling after a takeover, since
        # the configuration that its new owner has does not contain the team.
        limit = resources.Resources(1_000, 1 << 20, 0)
        c = cell.Cell(workers=1, teams=[fair_share.Team("zimna", ceiling=limit)])
        c.grant("zimna", limit)
        c.submit(cell.spec("a", task_count=3))
        c.tick()
        self.assertEqual({"a/0": 1}, c.starts)
        c.rows, c.teams = {}, {"kern": fair_share.Team("kern")}
        c.take_over()
        c.attach("w0")
        c.tick(1)
        c.tick(10)
        self.assertEqual({"a/0": 1}, c.starts)
        explanation = c.scheduler.explain("a")
        self.assertIn("team zimna is not configured", explanation.waits_for)
        c.call("set_teams", {"zimna": fair_share.Team("zimna")})
        c.tick(1)
        self.assertEqual({"a/0": 1, "a/1": 1, "a/2": 1}, c.starts)

    def test_a_worker_that_was_lost_before_it_attached_can_still_be_large_enough(self):
        # Guards against a job that is rejected for its size by a successor, while the
        # only worker that is large enough has no power.
        large = resources.Resources(64_000, 1 << 20, 0)
        for capacity in (large, None):
            c = cell.Cell(workers=1)
            c.take_over()
            c.scheduler.restore([], {}, {}, (), {"w0": None, "large": capacity}, c.now)
            c.attach("w0")
            c.call("worker_lost", "large")
            c.submit(cell.spec("a", demand=cell.CAPACITY.times(2)))
            c.tick(10)
            c.tick(10)
            self.assertEqual({}, c.finished)
            c.workers["large"] = cell.Worker("large", "z0", large)
            c.attach("large")
            c.tick(1)
            self.assertEqual({"a/0": 1}, c.starts)

    def test_a_lost_worker_of_unknown_size_delays_a_rejection_only(self):
        c = cell.Cell(workers=1)
        c.take_over()
        c.scheduler.restore([], {}, {}, (), {"w0": None, "gone": None}, c.now)
        c.attach("w0")
        c.call("worker_lost", "gone")
        c.submit(cell.spec("a", demand=cell.CAPACITY.times(2)))
        c.tick(590)
        self.assertEqual({}, c.finished)
        c.tick(20)
        self.assertIs(State.NOT_RUN, c.finished["a"].state)

    def test_an_older_ended_attempt_does_not_hide_the_running_one(self):
        # Guards against a second copy if the acknowledgement was lost before a retry on
        # the same worker.
        c = cell.Cell()
        c.submit(cell.spec())
        c.tick()
        old = c.end("w0", "a/0", "failed")
        c.tick(5)
        c.workers["w0"].ended["a/0"] = old
        c.take_over()
        c.attach("w0")
        c.tick(5)
        self.assertEqual({"a/0": "w0"}, c.running())
        self.assertEqual([], c.stopped())


class WorkerTest(testtools.TestCase):
    def test_the_rules_for_a_task_that_its_worker_does_not_know(self):
        # Guards against a change of the rules on which the model in spec/ relies.
        rules = {
            (State.INTENDED, False): "keep",
            (State.INTENDED, True): "never_ran",
            (State.STARTING, False): "never_ran",
            (State.STARTING, True): "lost",
            (State.RUNNING, False): "lost",
            (State.RUNNING, True): "lost",
        }
        for (state, restarted), expected in rules.items():
            self.assertEqual(expected, recovery.absent_task(state, restarted))

    def test_an_unanswered_start_stays_with_its_worker(self):
        # Guards against a second start while the first one may have arrived.
        c = cell.Cell(workers=2)
        c.disconnect("w0")
        c.disconnect("w1")
        c.submit(cell.spec(task_count=4), cell.spec("b", idempotent=False))
        c.tick()
        before = c.running()
        c.workers["w1"].connected = True
        c.attach("w1")
        for _ in range(100):
            c.tick(1)
        self.assertEqual(before, c.running())
        c.attach("w0")
        c.end_all()
        self.assertEqual({"a", "b"}, set(c.finished))

    def test_a_task_that_kills_its_workers_is_given_up(self):
        # Guards against a task that crashes one worker after another.
        c = cell.Cell(workers=1)
        c.submit(cell.spec())
        while "a" not in c.finished:
            c.tick(1)
            c.lose("w0")
            c.attach("w0")
        self.assertIs(State.FAILED, c.finished["a"].state)
        self.assertEqual(6, c.starts["a/0"])

    def test_an_unknown_task_on_a_worker_is_stopped_and_holds_room(self):
        # Guards against orphan tasks and against overcommitting their worker.
        c = cell.Cell(workers=0)
        c.workers["w0"] = cell.Worker("w0", "z0", cell.CAPACITY)
        c.specs["gone"] = cell.spec("gone")
        stray = wire.TaskStart("gone/0", 1, cell.CAPACITY, "zimna", True)
        c.workers["w0"].running["gone/0"] = stray
        c.perform_stop, c.stop = c.stop, lambda *_: None
        c.attach("w0")
        c.submit(cell.spec())
        c.tick()
        self.assertEqual(["gone/0"], c.stopped("kill"))
        self.assertNotIn("a/0", c.running())
        c.perform_stop(c.workers["w0"], ["gone/0"], "kill")
        c.report("w0")
        c.tick()
        self.assertEqual({"a/0": "w0"}, c.running())
