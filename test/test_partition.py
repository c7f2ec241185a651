import gevent
import gevent.event
import testtools

from test import fake_tables
from toucanspring import (
    effects,
    errors,
    inbox,
    job,
    kernel,
    log_records,
    partition,
    request_log,
    resources,
    settings,
    text,
    wire,
    worker_link,
)

CAPACITY = resources.Resources(32_000, 65_536, 0)
TEAM = text.Team("labels", "kernhalde", 1.0, resources.UNLIMITED)


class Service:
    def start(self):
        pass

    def stop(self):
        pass


class Claims(Service):
    def __init__(self, row_version):
        self.version = row_version
        self.allowed = True
        self.released = []

    def row_version(self, _number):
        return self.version

    def may_start(self, _number, _now):
        return self.allowed

    def release(self, number):
        self.released.append(number)


class Documents(Service):
    def __init__(self):
        self.out = frozenset()
        self.is_fresh = True

    def cell(self):
        return text.Cell(teams={"labels": TEAM})

    def zones_out(self):
        return self.out

    def fresh(self, _now):
        return self.is_fresh


class Objects:
    def put(self, _key, _content):
        return None


class Store(Service):
    def __init__(self, tables):
        self.tables = tables
        self.objects = Objects()


class Members(Service):
    def watch(self, _keys, _take):
        pass

    def unwatch(self, _take):
        pass


class Link:
    """Keep what is sent to one worker; `before_start` runs at each start."""

    def __init__(self):
        self.started = []
        self.attempts = {}
        self.stopped = []
        self.acknowledged = []
        self.before_start = None

    def start(self, tasks, _allowed):
        if self.before_start is not None:
            self.before_start(tasks)
        self.started += [task.task_id for task in tasks]
        self.attempts.update({task.task_id: task.attempt for task in tasks})
        return True

    def stop(self, task_ids, _mode):
        self.stopped += task_ids

    def acknowledge(self, task_ids):
        self.acknowledged += task_ids


class Fleet(Service):
    def __init__(self, workers):
        self.found = {worker: Link() for worker in workers}
        self.leaving = set()

    def assigned(self, _number):
        return dict.fromkeys(self.found, CAPACITY)

    def add_partition(self, _number, _epoch, _row_version, _post):
        pass

    def remove_partition(self, _number):
        pass

    def is_leaving(self, worker):
        return worker in self.leaving

    def link(self, _number, worker):
        return self.found.get(worker)


class PartitionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.shared = fake_tables.FakeTables()
        self.table = self.shared.client()
        self.version = self.claim()
        self.owner = self.open(1)

    def claim(self):
        answer = self.shared.client().transact({}, {"partitions/0": b""}, ())
        return answer.versions["partitions/0"]

    def open(self, epoch, table=None):
        """Start an owner with two workers that have not attached yet."""
        core = kernel.Kernel()
        self.claims = Claims(self.version)
        self.documents = Documents()
        self.fleet = Fleet(["w1", "w2"])
        core.register("claims", self.claims)
        core.register("documents", self.documents)
        core.register("store", Store(table or self.table))
        core.register("fleet", self.fleet)
        core.register("partitions", Service())
        core.register("membership", Members())
        options = settings.Settings(process="entry-1", partitions=1)
        owner = partition.Partition(0, epoch, core, options)
        owner.__enter__()
        self.addCleanup(owner.__exit__)
        self.assertTrue(owner.ready.wait(5))
        return owner

    def take_over(self):
        """Let a successor claim the partition while the owner knows nothing of it."""
        self.version = self.claim()
        return self.open(2, self.shared.client())

    def attach(self, owner, worker="w1", running=(), finished=(), incarnation=1):
        zone = {"w1": "zone-a", "w2": "zone-b"}[worker]
        facts = (worker, incarnation, CAPACITY, zone, "rack-1", 5)
        message = wire.Attached(*facts, list(running), list(finished))
        owner.post(worker_link.FromWorker(worker, message))

    def finish(self, owner, name, worker="w1"):
        attempt = self.fleet.found[worker].attempts[name]
        ended = wire.FinishedTask(name, attempt, "done", answer=b"label")
        owner.post(worker_link.FromWorker(worker, wire.Report(6, [ended], {})))

    def ask(self, owner, make):
        result = gevent.event.AsyncResult()
        owner.post(make(result))
        return result.get(timeout=5)

    def submit(self, owner, *names, **fields):
        fields = {"name": "proofs", "team": "labels", **fields}
        demand = resources.Resources(1000, 1000)
        specs = [job.JobSpec(id=name, demand=demand, **fields) for name in names]
        return self.ask(owner, lambda result: inbox.Submit(specs, result))

    def state(self, owner, name):
        status = self.ask(
            owner, lambda result: inbox.Ask(lambda found: found.lookup(name), result)
        )
        return status.outcome.state if status.outcome else None

    def wait(self, condition):
        self.assertTrue(fake_tables.wait_for(condition, 5))

    def records(self):
        rows = self.shared.client().scan("log/0/")
        return [
            record
            for row in rows
            for record in log_records.decode_batch(row.value).records
        ]

    def test_a_job_is_answered_once_durable_and_accepted_once(self):
        first = self.submit(self.owner, "a", "a")
        again = self.submit(self.owner, "a")
        self.assertEqual([["a", "a"], ["a"]], [first, again])
        accepted = [r for r in self.records() if isinstance(r, log_records.Accepted)]
        self.assertEqual(1, len(accepted))

    def test_an_id_with_other_content_is_a_conflict(self):
        self.submit(self.owner, "a")
        [answer] = self.submit(self.owner, "a", task_count=2)
        self.assertIsInstance(answer, errors.Conflict)

    def test_a_non_idempotent_task_starts_after_its_intent_is_in_the_log(self):
        # Guards against a start that a successor cannot know of.
        seen = []

        def check(tasks):
            intended = [
                intent.task_id
                for record in self.records()
                if isinstance(record, log_records.Intended)
                for intent in record.intents
            ]
            seen.append(all(task.task_id in intended for task in tasks))

        for link in self.fleet.found.values():
            link.before_start = check
        self.attach(self.owner)
        self.submit(self.owner, "a", idempotent=False)
        self.wait(lambda: seen)
        self.assertEqual([True], seen)

    def test_nothing_is_sent_to_a_zone_taken_out_after_the_decision(self):
        # The scheduler learns of the zone by a message; the send looks it up.
        self.documents.out = frozenset({"zone-a"})
        self.attach(self.owner, "w1")
        self.submit(self.owner, "a")
        gevent.sleep(0.1)
        self.assertEqual([], self.fleet.found["w1"].started)
        self.attach(self.owner, "w2")
        self.wait(lambda: self.fleet.found["w2"].started == ["a/0"])

    def test_a_worker_that_left_before_it_was_attached_gets_no_work(self):
        # The VM list dropped a worker just before its first attach; it was then used
        # for as long as the list stayed the same (scenario vm_list).
        self.fleet.leaving.add("w1")
        self.owner.post(worker_link.Leaving("w1", True))
        self.attach(self.owner, "w1")
        self.submit(self.owner, "a")
        gevent.sleep(0.1)
        self.assertEqual([], self.fleet.found["w1"].started)
        self.attach(self.owner, "w2")
        self.wait(lambda: self.fleet.found["w2"].started == ["a/0"])

    def test_nothing_starts_with_an_old_view_or_without_ownership(self):
        for name in ("is_fresh", "allowed"):
            holder = self.documents if name == "is_fresh" else self.claims
            setattr(holder, name, False)
            self.attach(self.owner)
            self.submit(self.owner, name)
            gevent.sleep(0.1)
            self.assertNotIn(f"{name}/0", self.fleet.found["w1"].started)
            setattr(holder, name, True)
            self.wait(lambda name=name: f"{name}/0" in self.fleet.found["w1"].started)

    def test_a_worker_keeps_a_result_until_it_is_in_the_log(self):
        # Guards against a result that only a dying owner knew.
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
        # Guards against a move that leaves the only record of a result behind: the
        # successor would run the task again.
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
        # Guards against an unknown outcome of a task that certainly never ran: its
        # start was refused, and only this worker can tell a successor so.
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

    def start_elsewhere(self, idempotent):
        """Start a task on w1, then let a successor take over."""
        self.attach(self.owner)
        self.submit(self.owner, "a", idempotent=idempotent)
        self.wait(lambda: self.fleet.found["w1"].started)
        return self.take_over()

    def test_a_job_that_has_ended_cannot_be_cancelled(self):
        # Callers were told "cancelled" of work that was done.
        self.attach(self.owner)
        self.submit(self.owner, "a", "b")
        self.wait(lambda: len(self.fleet.found["w1"].started) == 2)
        self.finish(self.owner, "a/0")
        self.wait(lambda: self.fleet.found["w1"].acknowledged == ["a/0"])
        found = self.ask(self.owner, lambda result: inbox.Cancel(["a", "b"], result))
        self.assertIsInstance(found["a"], errors.Refused)
        self.assertEqual("cancelled", found["b"])
        # A repeated call, such as after a lost answer, gets the same answer.
        again = self.ask(self.owner, lambda result: inbox.Cancel(["b"], result))
        self.assertEqual({"b": "cancelled"}, again)

    def test_a_successor_starts_what_certainly_never_ran(self):
        successor = self.start_elsewhere(idempotent=False)
        self.attach(successor)
        self.wait(lambda: self.fleet.found["w1"].started == ["a/0"])

    def test_a_successor_never_repeats_what_may_have_run(self):
        # The worker restarted, so that nobody knows what it did before.
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

    def test_a_fenced_owner_gives_the_partition_up(self):
        self.take_over()
        claims = self.owner._kernel.find("claims")
        [answer] = self.submit(self.owner, "late")
        self.assertIsInstance(answer, errors.Fenced)
        self.wait(lambda: claims.released == [0])

    def test_a_request_is_begun_once(self):
        log = self.owner.requests
        self.assertEqual(request_log.Begun(1), log.begin("r", "server-1"))
        running = request_log.Running("server-1", 1, interrupted=False)
        self.assertEqual(running, log.begin("r", "server-2"))
        outcome = job.Outcome(job.State.DONE, answer=b"box")
        self.assertIsNone(log.finish("r", outcome))
        self.assertEqual(request_log.Finished(outcome), log.begin("r", "server-2"))

    def test_two_begins_at_the_same_time_allow_one_send(self):
        log = self.owner.requests
        jobs = [gevent.spawn(log.begin, "r", f"server-{n}") for n in range(5)]
        gevent.joinall(jobs, timeout=5)
        begun = [each for each in jobs if isinstance(each.value, request_log.Begun)]
        self.assertEqual(1, len(begun))

    def test_a_successor_knows_which_server_may_run_a_request(self):
        self.owner.requests.begin("r", "server-1")
        successor = self.take_over()
        running = request_log.Running("server-1", 2, interrupted=True)
        self.assertEqual(running, successor.requests.begin("r", "server-2"))

    def test_messages_left_in_the_inbox_are_answered(self):
        # Guards against callers that wait for a partition that has moved.
        self.owner._greenlet.kill()
        result = gevent.event.AsyncResult()
        spec = job.JobSpec(id="a", name="proofs", team="labels")
        self.owner.post(inbox.Submit([spec], result))
        self.owner.__exit__()
        [answer] = result.get(timeout=5)
        self.assertIsInstance(answer, errors.Unavailable)

    def test_a_failing_question_is_not_left_without_an_answer(self):
        found = self.ask(self.owner, lambda result: inbox.Ask(lambda _: 1 / 0, result))
        self.assertIsInstance(found, errors.Unknown)

    def test_a_finished_job_is_published(self):
        events = []
        core = self.owner._kernel
        core.subscribe(effects.JobFinished, events.append)
        self.attach(self.owner)
        self.submit(self.owner, "a")
        self.wait(lambda: self.fleet.found["w1"].started)
        self.finish(self.owner, "a/0")
        self.wait(lambda: events)
        self.assertEqual("a", events[0].job_id)
