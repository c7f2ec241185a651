import collections

import gevent

from test import edge_fakes, request_fakes
from toucanspring import errors
from toucanspring.adapters import backend_servers
from toucanspring.callers import answers, outcome_lookup
from toucanspring.owners import log_records, outcomes, runner

LARGE = answers.MAX_LOGGED_BYTES + 1


class NonIdempotentTest(request_fakes.RequestsCase):
    def serve(self, **changes):
        return super().serve(idempotent=False, **changes)

    def test_a_repeated_id_gets_the_same_answer_and_runs_once(self):
        # Guards against running a request again when it is repeated.
        for body in (b"whole", b"x" * LARGE):
            self.start(body, b"another")
            for _ in range(3):
                self.check_whole(self.serve(), body)
            self.assertEqual(["r1"], self.client.ran)

    def test_repeats_wait_for_the_running_request(self):
        self.start(0.1)
        for result in edge_fakes.run_together(lambda _: self.serve(), 5):
            self.check_whole(result)
        self.assertEqual(["r1"], self.client.ran)

    def test_an_id_cannot_be_used_for_another_request(self):
        # Guards against answering a request with the response to another one.
        self.start()
        self.check_whole(self.serve())
        self.assertIsInstance(self.serve(body=b"other"), errors.Conflict)

    def test_a_refused_send_is_repeated_at_the_server_that_the_log_names(self):
        self.start(request_fakes.REFUSED, request_fakes.REFUSED, b"whole")
        self.check_whole(self.serve())
        self.assertEqual(1, len({server for server, _, _ in self.client.sent}))
        self.assertEqual(["r1"], self.partitions.begun)

    def test_a_server_that_stays_full_is_replaced_in_the_log_before_the_send(self):
        # Guards against a request that is bound to one server, and against a successor
        # that asks the wrong server.
        self.patch(runner, "MOVE_AFTER_S", 0.0)
        self.start(request_fakes.REFUSED, request_fakes.UNREACHABLE, b"whole")
        named = []
        plain = self.partitions.move_request

        def move(request_id, server):
            named.append(outcomes.decode_start(server).server)
            return plain(request_id, server)

        self.patch(self.partitions, "move_request", move)
        self.check_whole(self.serve())
        sent = [server for server, _, _ in self.client.sent]
        self.assertEqual(3, len(set(sent)))
        self.assertEqual(sent[1:], named)
        entry = self.partitions.requests["r1"]
        self.assertEqual(sent[-1], outcomes.decode_start(entry.server).server)

    def test_a_lost_answer_never_moves_a_request(self):
        # Guards against running one request at two servers.
        self.patch(runner, "MOVE_AFTER_S", 0.0)
        self.patch(outcome_lookup, "UNSEEN_LIMIT_S", 0.1)
        self.start(request_fakes.REFUSED, request_fakes.LOST, b"whole")
        self.assertIsInstance(self.serve(), errors.Unknown)
        self.assertEqual(["r1"], self.client.ran)

    def test_a_move_that_is_not_durable_is_not_sent(self):
        self.patch(runner, "MOVE_AFTER_S", 0.0)
        self.start(request_fakes.REFUSED, b"whole")
        failure = errors.StoreUnavailable(reason="store")
        self.patch(self.partitions, "move_request", lambda *_: failure)
        self.assertIsInstance(self.serve(), errors.NotRun)
        self.assertEqual([], self.client.ran)

    def test_an_owner_that_claimed_again_does_not_send_under_the_new_epoch(self):
        # Guards against a send after another owner recorded the ID as not run.
        self.start()
        plain = self.partitions.begin_request

        def begin(request_id, server):
            self.core.find("claims").partitions = {0: 3, 1: 3, 2: 3}
            return plain(request_id, server)

        self.patch(self.partitions, "begin_request", begin)
        self.client.raise_answer = errors.Fenced(epoch=9)
        self.assertIsInstance(self.serve(deadline_s=0.2), errors.Unknown)
        self.assertEqual([], self.client.sent)

    def test_a_request_to_an_unreachable_server_is_recorded_as_not_run(self):
        self.patch(runner, "MOVE_AFTER_S", 0.05)
        self.start(request_fakes.UNREACHABLE)
        for _ in range(2):
            self.assertIsInstance(self.serve(), errors.NotRun)
        self.assertEqual(["r1"], self.partitions.begun)

    def test_nothing_is_sent_without_a_durable_start(self):
        # Guards against a request that runs again after the owner is lost.
        self.start()
        self.partitions.begin_answer = errors.StoreUnavailable(reason="store")
        self.assertIsInstance(self.serve(), errors.NotRun)
        self.assertEqual([], self.client.sent)

    def test_an_owner_that_moved_in_doubt_does_not_say_not_run(self):
        # Guards against "not run" while a repeat of the request runs at the successor.
        for begun in (errors.Ambiguous(reason="write"), errors.Fenced(reason="moved")):
            self.start()
            self.partitions.begin_answer = begun
            self.assertNotIsInstance(self.serve(), errors.NotRun)
            self.assertEqual([], self.client.sent)

    def test_a_dead_server_is_not_named_in_the_log(self):
        # Guards against a request that ends as not run although other servers could run
        # it.
        self.start(count=2)
        self.client.unreachable = {"10.0.0.1:80"}
        for number in range(8):
            self.check_whole(self.serve(request_id=f"r{number}"))
        self.assertEqual({"10.0.0.2:80"}, {server for server, _, _ in self.client.sent})

    def test_a_request_that_its_server_does_not_know_ends_as_unknown(self):
        # Guards against callers that wait until their deadline without a reason.
        self.start(request_fakes.LOST)
        clock = request_fakes.Clock()
        self.patch(outcome_lookup, "gevent", clock.gevent)
        self.patch(runner, "gevent", clock.gevent)
        self.patch(self.service._runner, "_clock", clock)
        self.patch(self.service._runner._outcome_lookup, "_clock", clock)
        self.assertIsInstance(self.serve(deadline_s=30.0), errors.Unknown)
        self.assertGreaterEqual(clock.elapsed_s, outcome_lookup.UNSEEN_LIMIT_S)
        limit_s = outcome_lookup.UNSEEN_LIMIT_S + outcome_lookup.MAX_BACKOFF_S
        self.assertLess(clock.elapsed_s, limit_s)

    def test_an_id_that_ran_as_idempotent_is_not_run_again(self):
        self.start(count=1)
        self.client.ran = ["r1"]
        self.client.lookups = collections.deque([b"whole"])
        self.assertIsInstance(self.serve(), errors.Conflict)
        self.assertEqual([], self.client.sent)

    def test_a_request_is_not_refused_as_not_run_without_reading_the_log(self):
        # Guards against "not run" for the repeat of an ID that ran before.
        self.start()
        doubt = errors.Unavailable(reason="ownership is in doubt")
        self.patch(self.partitions, "request_entry", lambda _: doubt)
        self.assertIsInstance(self.serve(deadline_s=0.2), errors.Unavailable)

    def test_a_server_that_leaves_during_the_record_gets_nothing(self):
        # Guards against a request to a leaving server after a slow log write.
        self.start()
        plain = self.partitions.begin_request

        def begin(request_id, server):
            self.core.find("documents").out = frozenset({"zug-1"})
            self.service._apply_documents()
            return plain(request_id, server)

        self.patch(self.partitions, "begin_request", begin)
        self.assertIsInstance(self.serve(), errors.NotRun)
        self.assertEqual([], self.client.sent)
        self.assertEqual("not_run", self.partitions.requests["r1"].outcome.state)

    def test_a_lost_answer_is_asked_for_and_not_sent_again(self):
        self.start(request_fakes.LOST)
        self.client.lookups = collections.deque([backend_servers.Running(), b"late"])
        self.check_whole(self.serve(), b"late")
        self.assertEqual(1, len(self.client.sent))

    def test_a_caller_learns_later_what_was_unknown_at_the_deadline(self):
        self.start(0.5)
        self.assertIsInstance(self.serve(deadline_s=0.1), errors.Unknown)
        self.assertIsInstance(self.service.lookup("r1"), runner.Running)
        gevent.sleep(0.5)
        self.assertEqual(b"whole", self.service.lookup("r1").body)

    def test_a_fenced_owner_reports_nothing_as_final(self):
        # Guards against a paused owner whose refusal contradicts the successor.
        self.start(request_fakes.FENCED)
        self.client.raise_answer = errors.Fenced(epoch=9)
        self.assertIsInstance(self.serve(deadline_s=0.2), errors.Unknown)
        self.assertIsNone(self.partitions.requests["r1"].outcome)

    def take_over(self, lookup):
        start = outcomes.Start(
            "10.0.0.9:80",
            "desk",
            "request-desk",
            answers.digest(request_fakes.make_request()),
        )
        entry = log_records.RequestEntry(start.encode(), 1)
        self.start()
        self.core.find("claims").partitions = {0: 2, 1: 2, 2: 2}
        self.partitions.requests["r1"] = entry
        self.client.lookups = collections.deque([backend_servers.Running(), lookup])

    def test_a_successor_asks_the_server_after_raising_the_epoch(self):
        # Guards against a request that runs twice, or is lost, when its owner dies.
        self.take_over(b"late")
        self.check_whole(self.serve(), b"late")
        self.assertEqual([("10.0.0.9:80", 2)], self.client.epochs)
        self.assertEqual([], self.client.sent)
        self.assertEqual(b"late", self.service.lookup("r1").body)

    def test_a_request_that_the_server_never_saw_is_recorded_as_not_run(self):
        self.take_over(errors.NotFound(reason="unseen"))
        run = self.service._runner.run
        for _ in range(2):
            self.assertIsInstance(self.serve(), errors.NotRun)
            proof = run(request_fakes.make_request(idempotent=False))
            self.assertIsInstance(proof, errors.RecordedNotRun)
        self.assertEqual([], self.client.sent)

    def test_a_refusal_that_is_not_durable_is_no_record(self):
        # Guards against "recorded" for an ID that a successor may still run.
        self.take_over(errors.NotFound(reason="unseen"))
        self.patch(self.partitions, "finish_request", lambda *_: errors.Fenced(epoch=9))
        result = self.service._runner.run(request_fakes.make_request(idempotent=False))
        self.assertIs(errors.NotRun, type(result))

    def test_a_dead_server_leaves_the_outcome_unknown(self):
        self.patch(runner, "FOLLOW_S", 0.2)
        self.patch(outcome_lookup, "LOOKUP_TIMEOUT_S", 0.1)
        self.take_over(request_fakes.UNREACHABLE)
        for _ in range(2):
            self.assertIsInstance(self.serve(), errors.Unknown)
