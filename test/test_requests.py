import types

import gevent
import hypothesis
import testtools
from hypothesis import strategies

from test import edge_fakes, request_fakes
from toucanspring import errors, job
from toucanspring.adapters import vms
from toucanspring.callers import answers, handler, listing, requests
from toucanspring.configuration import reader

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, database=None
)


class IdempotentTest(request_fakes.RequestsCase):
    def test_a_refused_request_is_sent_to_another_server(self):
        # Guards against a caller that is refused because one server is full.
        self.start(request_fakes.REFUSED, request_fakes.REFUSED, b"whole")
        self.check_whole(self.serve())
        self.assertEqual(3, len(self.client.sent))

    def test_refusals_until_the_deadline_are_not_run(self):
        self.start(request_fakes.REFUSED)
        result = self.serve(deadline_s=0.2)
        self.assertIsInstance(result, errors.NotRun)
        self.assertEqual([], self.client.ran)

    def test_an_answer_that_breaks_at_once_is_retried_elsewhere(self):
        # Guards against a truncated answer that is presented as complete.
        self.start(request_fakes.TRUNCATED, b"whole")
        self.check_whole(self.serve())
        first, second = (server for server, _, _ in self.client.sent)
        self.assertNotEqual(first, second)

    def test_an_answer_that_breaks_later_raises(self):
        self.patch(requests.forwarding, "PREFETCH_BYTES", 1)
        self.start(request_fakes.TRUNCATED)
        result = self.serve()
        with testtools.ExpectedException(handler.AnswerAborted):
            list(result.chunks)

    def test_a_request_started_before_a_partition_change_is_looked_up_there(self):
        # Guards against a non-idempotent request that is refused, or run again, when
        # it is repeated after a change of the number of partitions.
        self.start(b"whole")
        self.check_whole(self.serve(idempotent=False))
        present = self.partitions.request_entry
        asked = []

        def find(request_id):
            asked.append(request_id)
            if len(asked) == 1:
                return errors.HeldElsewhere(reason="former", partition=2)
            return present(request_id)

        self.patch(self.partitions, "request_entry", find)
        owners = []
        owner_of = self.core.find("claims").owner_of
        self.patch(
            self.core.find("claims"),
            "owner_of",
            lambda number: (owners.append(number), owner_of(number))[1],
        )
        self.check_whole(self.serve(idempotent=False))
        self.assertEqual(1, len(self.client.sent))
        self.assertEqual(2, owners[-1])

    def test_an_owner_without_the_configuration_does_not_deny_a_service(self):
        # Guards against a caller that is told that a service does not exist, since
        # the owner of the request ID has not read the configuration yet.
        self.start(b"whole")
        documents = self.core.find("documents")
        present = documents.parsed
        documents.parsed = reader.parse("")
        request = request_fakes.make_request("r1", idempotent=False)
        serve = self.core.find("peers").handlers["request"]
        refused = serve("entry-2", answers.encode(request))
        self.assertIsInstance(refused, requests.RETRYABLE_FAILURES)
        self.assertEqual([], self.client.sent)
        documents.parsed = present
        chunks = serve("entry-2", answers.encode(request))
        self.assertEqual(b"whole", b"".join(chunks)[-5:])

    def test_an_outcome_is_known_without_the_configuration(self):
        self.start(b"whole")
        self.check_whole(self.serve(idempotent=False))
        self.core.find("documents").parsed = reader.parse("")
        request = request_fakes.make_request("r1", idempotent=False)
        serve = self.core.find("peers").handlers["request"]
        chunks = serve("entry-2", answers.encode(request))
        self.assertEqual(b"whole", b"".join(chunks)[-5:])
        self.assertEqual(1, len(self.client.sent))

    def test_a_lost_answer_makes_the_outcome_unknown(self):
        # Guards against "not run" for a request that a server may have started.
        for script in (
            [request_fakes.LOST],
            [request_fakes.LOST, request_fakes.REFUSED],
            [request_fakes.LOST, request_fakes.UNREACHABLE],
            [request_fakes.TRUNCATED, request_fakes.REFUSED],
        ):
            self.start(*script)
            result = self.serve(deadline_s=0.3)
            self.assertIsInstance(result, errors.Unknown, script)

    def test_retries_stay_within_their_number_and_budget(self):
        # Guards against retries that multiply the load on failing servers.
        self.start(request_fakes.LOST)
        self.serve()
        self.assertEqual(3, len(self.client.sent))  # the service allows 2 retries
        for _ in range(30):
            self.serve(deadline_s=0.05)
        self.assertLess(len(self.client.sent), 30 * 1.5 + 13)

    def test_a_request_that_reached_no_server_is_not_run(self):
        self.start(request_fakes.UNREACHABLE)
        result = self.serve(deadline_s=0.3)
        self.assertIsInstance(result, errors.NotRun)

    def test_leaving_servers_and_zones_out_get_no_new_request(self):
        # Guards against new requests to a server that is about to stop.
        self.start(listed=request_fakes.servers(2, state=vms.State.LEAVING))
        self.assertIsInstance(self.serve(deadline_s=0.1), errors.NotRun)
        self.start()
        self.check_whole(self.serve())
        self.core.find("documents").out = frozenset({"zug-1"})
        self.assertIsInstance(self.serve(deadline_s=0.1), errors.NotRun)

    def test_the_last_list_is_used_while_the_vm_list_is_down(self):
        self.start()
        self.core.find("store").vms.list = lambda _age=0.0: errors.Unavailable(
            reason="down"
        )
        self.patch(listing, "POLL_S", 0.01)
        gevent.sleep(0.05)
        self.check_whole(self.serve())

    def test_an_abandoned_answer_frees_its_slot(self):
        # Guards against slots that stay occupied after callers disconnect.
        self.patch(requests.forwarding, "PREFETCH_BYTES", 1)
        self.start(b"whole", count=1)
        for _ in range(20):
            self.serve().chunks.close()
        router = self.service._pool_of("request-desk").router
        self.assertEqual(0, router.load("b1"))

    def test_more_than_the_allowed_waiting_requests_are_shed(self):
        self.start(request_fakes.REFUSED)
        target = self.service._pool_of("request-desk")
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
        (told,) = self.core.find("events").report(60.0).events
        self.assertEqual("requests_refused", told["kind"])
        self.assertEqual((len(shed), "check"), (told["count"], told["job_class"]))

    def test_a_request_at_a_paused_owner_goes_to_its_successor(self):
        # Guards against a request that waits at a paused owner until its deadline.
        self.start()
        owners = self.core.find("claims")
        owners.owner = "entry-2"
        waits = []

        def call_stream(process, method, body, timeout_s, abandon=None):
            waits.append((process, abandon()))
            owners.owner = "entry-1"
            waits.append((process, abandon()))
            return errors.Ambiguous(reason="the call was abandoned")

        self.core.find("peers").call_stream = call_stream
        self.check_whole(self.serve(idempotent=False, deadline_s=600.0))
        self.assertEqual([("entry-2", False), ("entry-2", True)], waits)

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(
                [
                    request_fakes.REFUSED,
                    request_fakes.UNREACHABLE,
                    request_fakes.LOST,
                    request_fakes.TRUNCATED,
                    b"whole",
                ]
            ),
            min_size=1,
            max_size=6,
        )
    )
    def test_not_run_is_returned_only_if_nothing_ran(self, script):
        # Guards against `NotRun` for a request that ran, which the caller would repeat.
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
