import gevent

from test import partition_case
from toucanspring import errors, job, wire
from toucanspring.owners import request_log, worker_link


class OutageTest(partition_case.PartitionCase):
    def test_a_worker_keeps_a_result_until_it_is_in_the_log(self):
        # Guards against a result that is lost with its owner.
        self.attach(self.owner)
        self.submit(self.owner, "a")
        self.wait(lambda: self.fleet.found["w1"].started)
        self.table.down = True
        self.finish(self.owner, "a/0")
        gevent.sleep(0.1)
        self.assertEqual([], self.fleet.found["w1"].acknowledged)
        self.assertFalse(self.owner.is_durable("a"))
        self.table.down = False
        self.wait(lambda: self.fleet.found["w1"].acknowledged == ["a/0"])
        self.assertTrue(self.owner.is_durable("a"))

    def test_a_worker_is_bound_until_its_results_are_in_the_log(self):
        # Guards against moving the worker that has the only copy of a result, after
        # which a successor would run the task again.
        self.attach(self.owner)
        self.submit(self.owner, "a")
        link = self.fleet.found["w1"]
        self.wait(lambda: link.started)
        self.table.down = True
        self.finish(self.owner, "a/0")
        self.wait(lambda: self.owner.bound_workers() == {"w1"})
        self.table.down = False
        self.wait(lambda: link.acknowledged)
        self.assertEqual(frozenset(), self.owner.bound_workers())

    def test_a_worker_is_bound_by_an_intent_without_outcome(self):
        # Guards against the outcome "unknown" for a task whose start was refused: only
        # this worker can tell a successor that it never ran.
        self.attach(self.owner)
        self.submit(self.owner, "a", idempotent=False)
        self.wait(lambda: self.fleet.found["w1"].started)
        self.assertEqual({"w1"}, self.owner.bound_workers())
        self.finish(self.owner, "a/0")
        self.wait(lambda: not self.owner.bound_workers())

    def test_an_outage_refuses_new_jobs_and_starts_accepted_ones(self):
        self.submit(self.owner, "a")
        self.table.down = True
        [refused] = self.submit(self.owner, "b")
        self.assertIsInstance(refused, errors.StoreUnavailable)
        self.attach(self.owner)
        self.wait(lambda: self.fleet.found["w1"].started == ["a/0"])

    def test_an_outage_starts_no_non_idempotent_task(self):
        self.submit(self.owner, "a", idempotent=False)
        self.table.down = True
        self.attach(self.owner)
        gevent.sleep(0.2)
        self.assertEqual([], self.fleet.found["w1"].started)
        self.table.down = False
        self.wait(lambda: self.fleet.found["w1"].started == ["a/0"])


class SuccessorTest(partition_case.PartitionCase):
    def start_elsewhere(self, idempotent):
        """Start a task on w1, then let a successor take over."""
        self.attach(self.owner)
        self.submit(self.owner, "a", idempotent=idempotent)
        self.wait(lambda: self.fleet.found["w1"].started)
        return self.take_over()

    def test_a_successor_starts_what_certainly_never_ran(self):
        successor = self.start_elsewhere(idempotent=False)
        self.attach(successor)
        self.wait(lambda: self.fleet.found["w1"].started == ["a/0"])

    def test_a_successor_never_repeats_what_may_have_run(self):
        # The worker has restarted, so it is unknown what it ran before.
        successor = self.start_elsewhere(idempotent=False)
        self.attach(successor, incarnation=2)
        self.attach(successor, "w2")
        self.wait(lambda: self.state(successor, "a") is job.State.UNKNOWN)
        started = [link.started for link in self.fleet.found.values()]
        self.assertEqual([[], []], started)

    def test_a_successor_waits_for_a_worker_that_may_run_a_task(self):
        # Guards against a task in two places at once.
        successor = self.start_elsewhere(idempotent=True)
        self.attach(successor, "w2")
        gevent.sleep(0.1)
        self.assertEqual([], self.fleet.found["w2"].started)
        successor.post(worker_link.Lost("w1"))
        self.wait(lambda: self.fleet.found["w2"].started == ["a/0"])

    def test_a_successor_takes_the_result_that_the_worker_kept(self):
        former = self.fleet.found["w1"]
        successor = self.start_elsewhere(idempotent=False)
        kept = wire.FinishedTask("a/0", former.attempts["a/0"], "done")
        self.attach(successor, finished=[kept])
        self.wait(lambda: self.state(successor, "a") is job.State.DONE)

    def test_a_fenced_owner_releases_the_partition(self):
        self.take_over()
        claims = self.owner._kernel.find("claims")
        [answer] = self.submit(self.owner, "late")
        self.assertIsInstance(answer, errors.Fenced)
        self.wait(lambda: claims.released == [0])

    def test_a_successor_knows_which_server_may_run_a_request(self):
        self.owner.requests.begin("r", "server-1")
        successor = self.take_over()
        running = request_log.Running("server-1", 2, interrupted=True)
        self.assertEqual(running, successor.requests.begin("r", "server-2"))
