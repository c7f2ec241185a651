import collections
import time
import types

import gevent
import hypothesis
import testtools
from hypothesis import strategies

from test import edge_fakes
from toucanspring import (
    answers,
    errors,
    handler,
    inquiry,
    job,
    link,
    log_records,
    outcomes,
    request_log,
    requests,
    runner,
)
from toucanspring.adapters import backend_servers, exchange, vms

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, database=None
)
REFUSED = errors.NotRun(reason="slots")
FENCED = errors.NotRun(reason="epoch")
UNREACHED = errors.Unavailable(reason="connection refused")
LOST = errors.Ambiguous(reason="no answer")
CUT = "cut"  # the answer ends after its first part
LARGE = answers.MAX_LOGGED_BYTES + 1


class Reply:
    """Stand for the connection of an answer."""

    def __init__(self, parts, cut, status):
        self.parts = parts
        self.status = status
        self.headers = {"x-a": "1"}
        self.cut = cut
        self.closed = False

    def blocks(self):
        yield from self.parts
        if self.cut:
            raise exchange.BrokenAnswer(errors.Ambiguous(reason="ended early"))

    def close(self):
        self.closed = True


def answer(body=b"whole", cut=False, status=200):
    reply = Reply([body[:1], body[1:]], cut, status)
    return backend_servers.Answer(status, reply.headers, reply.blocks(), reply)


class Client:
    """Answer from a script; the last entry repeats."""

    def __init__(self, *script):
        self.script = collections.deque(script or [b"whole"])
        self.sent = []
        self.ran = []
        self.epochs = []
        self.raise_answer = None
        self.dead = set()
        self.lookups = collections.deque([errors.NotFound(reason="unseen")])

    def send(self, server, request_id, body, timeout_s, epoch=None, headers=None):
        self.sent.append((server, request_id, epoch))
        step = self.script.popleft() if len(self.script) > 1 else self.script[0]
        if isinstance(step, float):
            self.ran.append(request_id)
            gevent.sleep(step)
            return answer()
        if isinstance(step, errors.Failure):
            if step is LOST:
                self.ran.append(request_id)
            return step
        self.ran.append(request_id)
        if step is CUT:
            return answer(cut=True)
        return answer(step)

    def lookup(self, server, request_id, timeout_s):
        if server in self.dead:
            return UNREACHED
        if request_id not in self.ran and timeout_s == runner.PROBE_TIMEOUT_S:
            return errors.NotFound(reason="unseen")
        step = self.lookups.popleft() if len(self.lookups) > 1 else self.lookups[0]
        return answer(step) if isinstance(step, bytes) else step

    def raise_epoch(self, server, epoch):
        self.epochs.append((server, epoch.epoch))
        return self.raise_answer

    def forget(self, server):
        pass

    def close(self):
        pass


def servers(count, **changes):
    return [
        vms.Vm(
            **{
                "id": f"b{number}",
                "role": vms.Role.BACKEND_SERVER,
                "availability_zone": "zug-1",
                "address": f"10.0.0.{number}",
                "port": 80,
                "service": "request-desk",
                **changes,
            }
        )
        for number in range(1, count + 1)
    ]


def make_request(request_id="r1", idempotent=True, deadline_s=1.0, body=b"ask"):
    return requests.Request(
        id=request_id,
        service="request-desk",
        team="desk",
        job_class=job.JobClass.CHECK,
        idempotent=idempotent,
        body=body,
        deadline_s=deadline_s,
    )


class RequestsCase(testtools.TestCase):
    def start(self, *script, count=3, listed=None):
        """Start the service with a scripted client and servers."""
        self.client = Client(*script)
        self.core = edge_fakes.build(
            self.client, servers(count) if listed is None else listed
        )
        self.service = self.core.find("requests")
        self.partitions = self.core.find("partitions")
        self.service.start()
        self.addCleanup(self.service.stop)
        gevent.sleep(0.01)
        return self.service

    def serve(self, **changes):
        return self.service.serve(make_request(**changes))

    def check_whole(self, result, body=b"whole"):
        self.assertIsInstance(result, requests.Answer, result)
        self.assertEqual(body, b"".join(result.chunks))


class IdempotentTest(RequestsCase):
    def test_a_refused_request_goes_elsewhere(self):
        # Guards against a full server that turns into a refusal of the caller.
        self.start(REFUSED, REFUSED, b"whole")
        self.check_whole(self.serve())
        self.assertEqual(3, len(self.client.sent))

    def test_refusals_until_the_deadline_are_not_run(self):
        self.start(REFUSED)
        result = self.serve(deadline_s=0.2)
        self.assertIsInstance(result, errors.NotRun)
        self.assertEqual([], self.client.ran)

    def test_an_answer_that_breaks_at_once_is_retried_elsewhere(self):
        # Guards against a truncated answer that is presented as whole.
        self.start(CUT, b"whole")
        self.check_whole(self.serve())
        first, second = (server for server, _, _ in self.client.sent)
        self.assertNotEqual(first, second)

    def test_an_answer_that_breaks_later_raises(self):
        self.patch(requests.forwarding, "PREFETCH_BYTES", 1)
        self.start(CUT)
        result = self.serve()
        with testtools.ExpectedException(handler.AnswerCut):
            list(result.chunks)

    def test_a_lost_answer_makes_the_outcome_unknown(self):
        # Guards against "not run" for a request that a server may have begun.
        for script in ([LOST], [LOST, REFUSED], [LOST, UNREACHED], [CUT, REFUSED]):
            self.start(*script)
            result = self.serve(deadline_s=0.3)
            self.assertIsInstance(result, errors.Unknown, script)

    def test_retries_stay_within_their_number_and_budget(self):
        # Guards against retries that multiply the load on failing servers.
        self.start(LOST)
        self.serve()
        self.assertEqual(3, len(self.client.sent))  # the service allows 2 retries
        for _ in range(30):
            self.serve(deadline_s=0.05)
        self.assertLess(len(self.client.sent), 30 * 1.5 + 13)

    def test_unreached_servers_are_certainly_not_run(self):
        self.start(UNREACHED)
        result = self.serve(deadline_s=0.3)
        self.assertIsInstance(result, errors.NotRun)

    def test_leaving_servers_and_zones_out_get_no_new_request(self):
        # Guards against new work on a server that is about to end.
        self.start(listed=servers(2, state=vms.State.LEAVING))
        self.assertIsInstance(self.serve(deadline_s=0.1), errors.NotRun)
        self.start()
        self.check_whole(self.serve())
        self.core.find("documents").out = frozenset({"zug-1"})
        self.assertIsInstance(self.serve(deadline_s=0.1), errors.NotRun)

    def test_the_last_list_is_used_while_the_vm_list_is_down(self):
        self.start()
        self.core.find("store").vms.list = lambda _age: errors.Unavailable(
            reason="down"
        )
        self.patch(requests, "POLL_S", 0.01)
        gevent.sleep(0.05)
        self.check_whole(self.serve())

    def test_an_abandoned_answer_frees_its_slot(self):
        # Guards against callers that hang up and leave servers looking full.
        self.patch(requests.forwarding, "PREFETCH_BYTES", 1)
        self.start(b"whole", count=1)
        for _ in range(20):
            self.serve().chunks.close()
        router = self.service._lane_of("request-desk").router
        self.assertEqual(0, router.load("b1"))

    def test_more_than_the_allowed_waiting_requests_are_shed(self):
        self.start(REFUSED)
        target = self.service._lane_of("request-desk")
        rule = types.SimpleNamespace(max_waiting=2)
        target.service = types.SimpleNamespace(
            classes={job.JobClass.CHECK: rule}, retries=0, name="request-desk"
        )
        self.patch(self.service, "_record", lambda *_: None)
        results = edge_fakes.run_together(lambda _: self.serve(deadline_s=0.2), 5)
        shed = [one for one in results if isinstance(one, errors.Overloaded)]
        self.assertGreaterEqual(len(shed), 1)
        for one in results:
            self.assertIsInstance(one, errors.Overloaded | errors.NotRun)

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from([REFUSED, UNREACHED, LOST, CUT, b"whole"]),
            min_size=1,
            max_size=6,
        )
    )
    def test_not_run_is_said_only_if_nothing_ran(self, script):
        # Guards against a refusal that a dispatcher takes as leave to ask again.
        self.start(*script)
        result = self.serve(deadline_s=0.15)
        match result:
            case requests.Answer():
                self.check_whole(result)
            case errors.NotRun() | errors.Overloaded():
                self.assertEqual([], self.client.ran)
            case _:
                self.assertIsInstance(result, errors.Unknown)
                self.assertNotEqual([], self.client.ran)
        self.service.stop()


class NonIdempotentTest(RequestsCase):
    def serve(self, **changes):
        return super().serve(idempotent=False, **changes)

    def test_a_repeated_id_gets_the_same_answer_and_runs_once(self):
        # Guards against two boxes shipped for one order.
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
        # Guards against an order that is answered with the answer to another one.
        self.start()
        self.check_whole(self.serve())
        self.assertIsInstance(self.serve(body=b"other"), errors.Conflict)

    def test_a_refused_send_is_repeated_at_the_server_that_the_log_names(self):
        self.start(REFUSED, REFUSED, b"whole")
        self.check_whole(self.serve())
        self.assertEqual(1, len({server for server, _, _ in self.client.sent}))
        self.assertEqual(["r1"], self.partitions.begun)

    def test_a_server_that_stays_full_is_replaced_in_the_log_before_the_send(self):
        # Guards against an order that is stuck with one server, and against a
        # successor that asks the wrong server.
        self.patch(runner, "MOVE_AFTER_S", 0.0)
        self.start(REFUSED, UNREACHED, b"whole")
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
        # Guards against one order at two servers.
        self.patch(runner, "MOVE_AFTER_S", 0.0)
        self.patch(inquiry, "UNSEEN_LIMIT_S", 0.1)
        self.start(REFUSED, LOST, b"whole")
        self.assertIsInstance(self.serve(), errors.Unknown)
        self.assertEqual(["r1"], self.client.ran)

    def test_a_move_that_is_not_durable_is_not_sent(self):
        self.patch(runner, "MOVE_AFTER_S", 0.0)
        self.start(REFUSED, b"whole")
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

    def test_an_unreached_server_ends_as_not_run_for_good(self):
        self.patch(runner, "MOVE_AFTER_S", 0.05)
        self.start(UNREACHED)
        for _ in range(2):
            self.assertIsInstance(self.serve(), errors.NotRun)
        self.assertEqual(["r1"], self.partitions.begun)

    def test_nothing_is_sent_without_a_durable_start(self):
        # Guards against a request that runs again after the owner is lost.
        self.start()
        self.partitions.begin_answer = errors.StoreUnavailable(reason="store")
        self.assertIsInstance(self.serve(), errors.NotRun)
        self.assertEqual([], self.client.sent)

    def test_a_dead_server_is_not_named_in_the_log(self):
        # Guards against an order that ends as not run although others could run it.
        self.start(count=2)
        self.client.dead = {"10.0.0.1:80"}
        for number in range(8):
            self.check_whole(self.serve(request_id=f"r{number}"))
        self.assertEqual({"10.0.0.2:80"}, {server for server, _, _ in self.client.sent})

    def test_a_request_that_its_server_does_not_know_ends_as_unknown(self):
        # Guards against callers that wait until their deadline for nothing.
        self.patch(inquiry, "UNSEEN_LIMIT_S", 0.1)
        self.start(LOST)
        started = time.monotonic()
        self.assertIsInstance(self.serve(deadline_s=5.0), errors.Unknown)
        self.assertLess(time.monotonic() - started, 2.0)

    def test_an_id_that_ran_as_idempotent_is_not_run_again(self):
        self.start(count=1)
        self.client.ran = ["r1"]
        self.client.lookups = collections.deque([b"whole"])
        self.assertIsInstance(self.serve(), errors.Conflict)
        self.assertEqual([], self.client.sent)

    def test_a_log_that_cannot_be_read_proves_nothing(self):
        # Guards against "not run" for the repeat of an ID that ran before.
        self.start()
        doubt = errors.Unavailable(reason="ownership is in doubt")
        self.patch(self.partitions, "request_entry", lambda _: doubt)
        self.assertIsInstance(self.serve(deadline_s=0.2), errors.Unavailable)

    def test_a_server_that_leaves_during_the_record_gets_nothing(self):
        # Guards against new work on a leaving server after a slow write.
        self.start()
        plain = self.partitions.begin_request

        def begin(request_id, server):
            self.core.find("documents").out = frozenset({"zug-1"})
            self.service._follow_documents()
            return plain(request_id, server)

        self.patch(self.partitions, "begin_request", begin)
        self.assertIsInstance(self.serve(), errors.NotRun)
        self.assertEqual([], self.client.sent)
        self.assertEqual("not_run", self.partitions.requests["r1"].outcome.state)

    def test_a_lost_answer_is_asked_for_and_not_sent_again(self):
        self.start(LOST)
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
        # Guards against a paused owner whose refusal contradicts its successor.
        self.start(FENCED)
        self.client.raise_answer = errors.Fenced(epoch=9)
        self.assertIsInstance(self.serve(deadline_s=0.2), errors.Unknown)
        self.assertIsNone(self.partitions.requests["r1"].outcome)

    def take_over(self, lookup):
        start = outcomes.Start(
            "10.0.0.9:80", "desk", "request-desk", answers.digest(make_request())
        )
        entry = log_records.RequestEntry(start.encode(), 1)
        self.start()
        self.core.find("claims").partitions = {0: 2, 1: 2, 2: 2}
        self.partitions.requests["r1"] = entry
        self.client.lookups = collections.deque([backend_servers.Running(), lookup])

    def test_a_successor_asks_the_server_after_raising_the_epoch(self):
        # Guards against an order that runs twice, or is forgotten, with its owner.
        self.take_over(b"late")
        self.check_whole(self.serve(), b"late")
        self.assertEqual([("10.0.0.9:80", 2)], self.client.epochs)
        self.assertEqual([], self.client.sent)
        self.assertEqual(b"late", self.service.lookup("r1").body)

    def test_a_request_that_the_server_never_saw_is_not_run_for_good(self):
        self.take_over(errors.NotFound(reason="unseen"))
        run = self.service._runner.run
        for _ in range(2):
            self.assertIsInstance(self.serve(), errors.NotRun)
            proof = run(make_request(idempotent=False))
            self.assertIsInstance(proof, errors.RecordedNotRun)
        self.assertEqual([], self.client.sent)

    def test_a_refusal_that_is_not_durable_is_no_record(self):
        # Guards against "recorded" for an ID that a successor may still run.
        self.take_over(errors.NotFound(reason="unseen"))
        self.patch(self.partitions, "finish_request", lambda *_: errors.Fenced(epoch=9))
        result = self.service._runner.run(make_request(idempotent=False))
        self.assertIs(errors.NotRun, type(result))

    def test_a_dead_server_leaves_the_outcome_unknown(self):
        self.patch(runner, "FOLLOW_S", 0.2)
        self.patch(inquiry, "LOOKUP_TIMEOUT_S", 0.1)
        self.take_over(UNREACHED)
        for _ in range(2):
            self.assertIsInstance(self.serve(), errors.Unknown)


class ForwardingTest(RequestsCase):
    """Requests whose ID belongs to another process."""

    def forward(self, *results, deadline_s=0.5):
        self.start()
        self.core.find("claims").owner = "entry-2"
        script = collections.deque(results)
        self.calls = 0

        def call(method, body):
            self.calls += 1
            return script.popleft() if len(script) > 1 else script[0]

        self.core.find("peers").stream = call
        return self.serve(idempotent=False, deadline_s=deadline_s)

    def chunks(self, body=b"whole", cut=False):
        stored = answers.Stored(
            team="desk", service="s", digest=b"", status=200, body=body
        )
        for part in requests._send(stored):
            yield part
            if cut:
                raise link.StreamBroken("the owner ended")

    def test_a_broken_answer_of_the_owner_is_asked_for_again(self):
        # Guards against a truncated answer, and against giving up on a retry that
        # the owner's log makes safe.
        result = self.forward(self.chunks(cut=True), LOST, self.chunks())
        self.check_whole(result)
        self.assertEqual(3, self.calls)

    def test_a_refusal_after_a_lost_call_is_no_proof(self):
        # Guards against "not run" while the first call may still arrive.
        result = self.forward(LOST, errors.NotRun(reason="full"))
        self.assertIsInstance(result, errors.Unknown)

    def test_a_recorded_refusal_is_proof_after_a_lost_call(self):
        # Guards against "unknown" for each order under way during a handover.
        result = self.forward(LOST, errors.RecordedNotRun(reason="never seen"))
        self.assertEqual(errors.NotRun(reason="never seen"), result)

    def test_an_owner_that_moved_is_looked_for_until_the_deadline(self):
        moved = errors.Refused(reason="not the owner")
        self.check_whole(self.forward(moved, UNREACHED, self.chunks()))
        started = time.monotonic()
        result = self.forward(moved, deadline_s=0.2)
        # Not `NotRun`: an earlier call with the same ID may have run.
        self.assertIsInstance(result, errors.Unavailable)
        self.assertLess(time.monotonic() - started, 1.0)

    def test_the_owner_refuses_ids_of_other_partitions(self):
        self.start()
        self.core.find("claims").partitions = {}
        serve = self.core.find("peers").handlers["request"]
        result = serve("entry-2", answers.encode(make_request(idempotent=False)))
        self.assertIsInstance(result, errors.Refused)
        self.assertEqual([], self.client.sent)

    def test_a_running_state_of_the_log_is_followed_up(self):
        self.start()
        start = outcomes.Start("10.0.0.9:80", "desk", "request-desk", b"")
        self.partitions.begin_answer = request_log.Running(start.encode(), 1, True)
        self.patch(self.partitions, "finish_request", lambda *_: None)
        self.client.lookups = collections.deque([b"late"])
        result = self.serve(idempotent=False)
        self.assertIsInstance(result, errors.Conflict)  # unknown content of the ID
        self.assertEqual([], self.client.sent)
