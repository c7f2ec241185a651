import gevent
import gevent.event
import testtools

from test import edge_fakes
from toucanspring import errors, job
from toucanspring.cell import claims, reply
from toucanspring.owners import inbox, partitions

JOB = job.JobSpec(id="a", name="proofs", team="labels")


class Owned:
    """Stand in for a partition that does not answer before it is closed."""

    number = 0

    def __init__(self):
        self.ready = gevent.event.Event()
        self.ready.set()
        self.closed = gevent.event.Event()
        self.posted = []
        self.superseded = False

    def post(self, message):
        self.posted.append(message)

    def holds_job(self, _job_id):
        return False

    def __exit__(self, *_exc):
        self.closed.set()


class RoutingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.core = edge_fakes.build()
        self.service = partitions.Service(
            self.core, edge_fakes.make_settings(partitions=1)
        )
        self.service.start()
        self.owners = ["entry-1"]
        self.core.find("claims").owner_of = lambda _number: claims.Owner(
            self.owners[-1], 1, len(self.owners)
        )
        self.called = []
        self.core.find("peers").call = self.call_peer

    def call_peer(self, process, method, body, timeout_s, abandon):
        self.called.append(process)
        self.abandon = abandon
        return reply.encode_result(["a"])

    def test_a_call_that_waits_for_a_former_owner_goes_to_the_next_one(self):
        # Guards against failed calls if only this process cannot reach the store: each
        # waited 4 s for the log of a partition that already had another owner.
        owned = self.service._owned[0] = Owned()
        submission = gevent.spawn(self.service.submit, [JOB])
        gevent.sleep(0)
        gevent.sleep(0)
        [message] = owned.posted
        self.assertIsInstance(message, inbox.Submit)
        self.owners.append("entry-2")
        self.service._handle_lost_partition(claims.PartitionLost(0, superseded=True))
        self.assertTrue(owned.superseded)
        self.assertEqual(["a"], submission.get(timeout=5))
        self.assertEqual(["entry-2"], self.called)

    def test_a_job_whose_record_is_in_doubt_is_submitted_again(self):
        # Guards against an ambiguous result after a lost response to a former owner's
        # write, although the successor knows whether the job was accepted.
        owned = self.service._owned[0] = Owned()

        def post(message):
            self.owners.append("entry-2")
            del self.service._owned[0]
            message.result.set(["a", errors.Ambiguous(reason="in a write")])

        owned.post = post
        self.assertEqual(["a"], self.service.submit([JOB]))
        self.assertEqual(["entry-2"], self.called)

    def test_a_store_that_refuses_is_reported_at_once(self):
        # Guards against refusals that are retried until the limit while callers wait.
        owned = self.service._owned[0] = Owned()
        refusal = errors.StoreUnavailable(reason="down")
        owned.post = lambda message: message.result.set([refusal])
        self.assertEqual([refusal], self.service.submit([JOB]))
        self.assertEqual([], self.called)

    def test_an_accepted_job_is_never_reported_as_certainly_not_accepted(self):
        # Guards against one failed job that hides the accepted ones of a submission.
        failure = errors.Unavailable(reason="no answer of a former partition")
        self.assertIsNone(reply.resubmission_failure(["a", failure]))
        self.assertIsInstance(reply.resubmission_failure([failure]), errors.Unavailable)
        for lost in (errors.Fenced(reason="moved"), errors.Ambiguous(reason="write")):
            self.assertIsInstance(
                reply.resubmission_failure(["a", lost]), errors.Fenced
            )

    def test_the_wait_for_an_owner_ends_when_it_is_replaced(self):
        # Guards against calls sent right before a takeover that wait until the timeout.
        self.service.submit([JOB])
        self.assertFalse(self.abandon())
        self.owners.append("entry-2")
        self.assertTrue(self.abandon())
