import msgspec
import testtools

from toucanspring import errors
from toucanspring.adapters import exchange, vms


class Endpoint:
    """Fake endpoint that answers calls with `reply` and counts them."""

    def __init__(self):
        self.calls = 0
        self.reply = None

    def call(self, *_args, **_options):
        self.calls += 1
        return self.reply


class ListTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.client = vms.HttpVmClient("127.0.0.1", 1)
        self.endpoint = self.client._endpoint = Endpoint()
        self.show("live")

    def show(self, state):
        vm = vms.Vm(
            id="w1",
            role=vms.Role.WORKER,
            availability_zone="zone-a",
            address="127.0.0.1",
            port=1,
            state=vms.State(state),
        )
        self.endpoint.reply = exchange.Reply(200, {}, msgspec.json.encode([vm]))

    def test_readers_share_an_answer_for_a_short_time_only(self):
        # Guards against a call for each reader, and against a list that stays outdated.
        first = self.client.list()
        self.show("leaving")
        self.assertIs(first, self.client.list(60))
        self.assertEqual(1, self.endpoint.calls)
        self.assertEqual(vms.State.LEAVING, self.client.list()[0].state)

    def test_an_unchanged_list_is_the_same_object(self):
        self.assertIs(self.client.list(), self.client.list())

    def test_a_failure_is_not_hidden_by_an_earlier_list(self):
        self.client.list()
        for reply in (errors.Unavailable(reason="down"), exchange.Reply(200, {}, b"{")):
            self.endpoint.reply = reply
            self.assertIsInstance(self.client.list(), errors.Failure)
