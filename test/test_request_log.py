import types

import testtools

from toucanspring import errors, job
from toucanspring.owners import log_records, request_log


class Result:
    def __init__(self, failure):
        self.failure = failure

    def get(self):
        return self.failure


class Journal:
    """Apply records at once, or fail to write them."""

    def __init__(self):
        self.epoch = 1
        self.state = log_records.State()
        self.written = []
        self.failure = None

    def append(self, record, droppable, layout_version=None):
        if self.failure is None:
            self.written.append(record)
            self.state.apply(record)
        return Result(self.failure)


class RequestLogTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.journal = Journal()
        self.log = request_log.RequestLog(self.journal)

    def replay(self):
        """Return the state that a successor reads from the log."""
        state = log_records.State()
        for record in self.journal.written:
            state.apply(record)
        return state

    def test_a_successor_finds_the_server_that_was_named_last(self):
        # Guards against a successor that asks a server which refused the request.
        self.log.begin("r", "first")
        self.assertEqual(request_log.Begun(1), self.log.move("r", "second"))
        entry = self.replay().requests["r"]
        self.assertEqual(
            ("second", 1, None), (entry.server, entry.epoch, entry.outcome)
        )
        compacted = log_records.State()
        for record in self.replay().to_records():
            compacted.apply(record)
        self.assertEqual("second", compacted.requests["r"].server)

    def test_only_a_running_request_of_this_epoch_moves(self):
        # Guards against a send of a request whose outcome was already given.
        self.assertIsInstance(self.log.move("r", "x"), errors.Refused)
        self.log.begin("r", "first")
        self.journal.epoch = 2
        self.assertIsInstance(self.log.move("r", "x"), errors.Refused)
        self.journal.epoch = 1
        self.log.finish("r", job.Outcome(job.State.NOT_RUN))
        self.assertIsInstance(self.log.move("r", "x"), errors.Refused)
        self.assertEqual("first", self.replay().requests["r"].server)

    def test_a_move_that_is_not_written_allows_no_send(self):
        self.log.begin("r", "first")
        self.journal.failure = errors.StoreUnavailable(reason="store")
        self.assertIsInstance(self.log.move("r", "x"), errors.StoreUnavailable)

    def test_interrupted_requests_are_those_of_earlier_epochs_without_outcome(self):
        for name in ("open", "done"):
            self.log.begin(name, "server")
        self.log.finish("done", job.Outcome(job.State.DONE))
        self.assertEqual({}, self.log.interrupted())
        successor = types.SimpleNamespace(epoch=2, state=self.replay())
        found = request_log.RequestLog(successor).interrupted()
        self.assertEqual({"open": "server"}, found)
