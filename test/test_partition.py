import gevent
import gevent.event

from test import partition_case
from toucanspring import errors, job, resources
from toucanspring.configuration import text
from toucanspring.owners import execution, inbox, log_records, request_log, worker_link
from toucanspring.reporting import event_kinds
from toucanspring.scheduling import effects


class PartitionTest(partition_case.PartitionCase):
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
        # Guards against a start that a successor does not know of.
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
        # If a worker disappeared from the VM list just before its first attach, it was
        # used until the list changed again (scenario vm_list).
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

    def test_a_round_uses_the_documents_whose_notice_still_waits(self):
        # Guards against rounds that judge or start jobs by an earlier configuration
        # than the one that permits them, while the notice waits in a long inbox.
        self.attach(self.owner)
        self.submit(self.owner, "a", team="proofs")
        gevent.sleep(0.1)
        self.assertEqual([], self.fleet.found["w1"].started)
        team = text.Team("proofs", "kernhalde", 1.0, resources.UNLIMITED)
        self.documents.parsed = text.Cell(teams={"proofs": team})
        self.wait(lambda: self.fleet.found["w1"].started == ["a/0"])

    def test_a_job_that_has_ended_cannot_be_cancelled(self):
        # Guards against "cancelled" as the result for a job that has completed.
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

    def test_messages_left_in_the_inbox_are_answered(self):
        # Guards against callers that wait for a partition that has moved.
        self.owner._greenlet.kill()
        result = gevent.event.AsyncResult()
        spec = job.JobSpec(id="a", name="proofs", team="labels")
        self.owner.post(inbox.Submit([spec], result))
        self.owner.__exit__()
        [answer] = result.get(timeout=5)
        self.assertIsInstance(answer, errors.Unavailable)

    def test_a_failing_query_is_answered(self):
        found = self.ask(
            self.owner, lambda result: inbox.SchedulerQuery(lambda _: 1 / 0, result)
        )
        self.assertIsInstance(found, errors.Unknown)

    def test_time_without_answers_does_not_count_as_time_without_the_job(self):
        # Guards against an accepted job that ends as not run right after an outage in
        # which the job that it depends on could not be submitted.
        self.patch(execution, "WATCH_INTERVAL_S", 0.01)
        self.patch(execution, "UNKNOWN_JOB_LIMIT_S", 0.2)
        unanswered = errors.Unavailable(reason="no owner")
        answer = [unanswered]
        self.owner._kernel.find("partitions").lookup = lambda _name: answer[0]
        self.attach(self.owner)
        self.submit(self.owner, "a", after=("other",))
        gevent.sleep(0.3)
        answer[0] = errors.NotFound(reason="no job other")
        gevent.sleep(0.05)
        answer[0] = unanswered
        gevent.sleep(0.05)
        self.assertIsNone(self.state(self.owner, "a"))
        answer[0] = errors.NotFound(reason="no job other")
        self.wait(lambda: self.state(self.owner, "a") is job.State.NOT_RUN)

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

    def test_what_happens_to_workers_is_published(self):
        # Guards against losses and decisions that appear only in the log of a process.
        owner = self.open(1)
        published = []
        for kind in event_kinds.KINDS:
            owner._kernel.subscribe(kind, published.append)
        self.attach(owner)
        self.submit(owner, "a")
        self.wait(lambda: self.fleet.found["w1"].started == ["a/0"])
        self.documents.out = frozenset({"zone-a"})
        owner.post(inbox.TeamsChanged())
        owner.post(worker_link.EpochRefused("w2", 3))
        owner.post(worker_link.Lost("w1"))
        expected = [
            event_kinds.ZoneTakenOut("zone-a", 0, 1, 1),
            event_kinds.TasksStopped(
                "a", "w1", "zone-a", event_kinds.StopCause.ZONE_OUT, "checkpoint", ""
            ),
            event_kinds.EpochRefused("w2", 0, 1, 3),
            event_kinds.WorkerLost("w1", "z0", "r0", 0, 1),
        ]
        self.wait(lambda: len(published) >= 4)
        self.assertEqual(expected, published)
