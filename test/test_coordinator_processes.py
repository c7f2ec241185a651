"""Several processes around one store: candidacy, takeovers, questions, calls."""

import gevent
import testtools

from standins import lease_workers, rowstore
from test import coordinator_case as case
from test import test_coordinator_leadership
from toucanspring import errors, metrics
from toucanspring.coordinator import (
    approval_dispatcher,
    failover,
    leader_lease,
    metered,
    plans,
    rows,
    service,
    state,
)

JOB = "0" * 16


class Network:
    """Carry calls between the peers of several processes."""

    def __init__(self):
        self.members = {}
        self.cut = set()

    def join(self, name):
        self.members[name] = Peers(self, name)
        return self.members[name]


class Peers:
    def __init__(self, network, name):
        self._network = network
        self._name = name
        self._handlers = {}
        self._notices = {}
        self.targets = {}

    def handle(self, method, function):
        self._handlers[method] = function

    def handle_notice(self, method, function):
        self._notices[method] = function

    def set_targets(self, targets):
        self.targets = targets

    def connected(self):
        if self._name in self._network.cut:
            return []
        reachable = self._network.members.keys() - self._network.cut
        return sorted(reachable & self.targets.keys())

    def call(self, name, method, body, _timeout_s):
        gevent.sleep(0)
        if name not in self.connected():
            return errors.Unavailable(reason="no stream")
        return self._network.members[name]._handlers[method](self._name, body)

    def notify(self, name, method, body):
        if name not in self.connected():
            return False
        self._network.members[name]._notices[method](self._name, body)
        return True


class Kernel:
    def __init__(self, peers):
        self.peers = peers

    def find(self, _name):
        return self.peers


class Approvals:
    def __init__(self):
        self.asked = []
        self.failure = None

    def ask(self, step, workers, _timeout_s):
        gevent.sleep(0)
        self.asked.append((step, tuple(workers)))
        return self.failure or dict.fromkeys(workers, "t")


class ProcessCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = rowstore.MemoryStore()
        self.workers = lease_workers.LeaseWorkers()
        entry = case.entry("w1")
        self.workers.add(entry)
        self.entry = entry
        self.network = Network()
        self.processes = {}
        self.addCleanup(self.end)

    def end(self):
        for each in self.processes.values():
            each._failover.closing = each._draining = True
            gevent.killall(each._greenlets, block=False)
            each._members.close()
            each._intake.__exit__()
            each._failover.__exit__()

    def run_process(self, name):
        peers = self.network.join(name)
        options = service.Options(
            process=name, address="10.0.0.1", peer_port=1, max_lease_ms=6000
        )
        self.processes[name] = service.Service(
            Kernel(peers),
            options,
            self.store,
            self.workers,
            Approvals(),
            test_coordinator_leadership.Directory(self.entry),
            metered.Meters(metrics.Service(None, None)),
        )
        self.processes[name].start()
        return self.processes[name]

    def wait_for(self, condition, limit_s=8.0):
        with gevent.Timeout(limit_s, AssertionError("the condition did not hold")):
            while not condition():
                gevent.sleep(0.01)

    def holder(self):
        row = self.store.rows.get(rows.LEADER_LEASE_ROW)
        return None if row is None else rows.decode(rows.LeaderLease, row.value)

    def coordinates(self, name):
        held = self.processes[name]._leadership
        return held is not None and held.ready.is_set()

    def start_cell(self, *names):
        for name in names:
            self.run_process(name)
        self.wait_for(lambda: any(self.coordinates(name) for name in names))
        [first] = [name for name in names if self.coordinates(name)]
        others = [name for name in names if name != first]
        self.wait_for(
            lambda: all(
                (known := self.processes[name]._lease) is not None
                and known.process == first
                and first in self.network.members[name].connected()
                for name in others
            )
        )
        return first, others


class CandidacyTest(ProcessCase):
    def test_one_of_several_processes_coordinates(self):
        first, _ = self.start_cell("one", "two", "three")
        self.assertEqual((first, 1), (self.holder().process, self.holder().epoch))

    def test_a_job_that_any_process_accepts_is_run_and_told_by_all(self):
        self.start_cell("one", "two", "three")
        spec = case.job(JOB, case.step(2))
        self.workers.jobs[JOB] = spec
        self.assertIsNone(self.processes["two"].submit(spec, 1.0))
        for each in self.processes.values():
            self.wait_for(lambda: each.status(JOB) is state.JobState.COMPLETED)  # noqa: B023
            self.assertEqual(0, each.pending(case.QUEUE))
        self.assertEqual([], self.workers.violations)

    def test_without_a_coordinator_the_store_tells_the_state(self):
        process = self.run_process("one")
        process._draining = True
        self.store.put(rows.job_row_ids(JOB)[0], rows.encode(case.job(JOB)))
        process._lease = rows.LeaderLease("gone", "10.0.0.9", 9, 1, 0, "x")
        self.assertEqual(state.JobState.QUEUED, process.status(JOB))
        self.assertIsInstance(process.status("f" * 16), errors.NotFound)
        self.assertIsInstance(process.cancel(JOB), errors.Unavailable)


class SuccessionTest(ProcessCase):
    def test_a_process_that_stops_hands_the_seat_on(self):
        first, others = self.start_cell("one", "two")
        self.processes[first].stop_accepting()
        self.wait_for(lambda: self.coordinates(others[0]))
        self.assertEqual(2, self.holder().epoch)

    def test_a_coordinator_that_cannot_write_offers_the_seat(self):
        first, others = self.start_cell("one", "two", "three")
        # The store refuses this process alone.
        alone = rowstore.MemoryStore()
        alone.reachable = False
        self.processes[first]._store = alone
        self.processes[first]._leadership._writer._store = alone
        self.wait_for(lambda: any(self.coordinates(name) for name in others))
        self.wait_for(lambda: not self.coordinates(first))
        self.assertEqual(2, self.holder().epoch)

    def test_nobody_takes_the_seat_while_no_process_reaches_the_store(self):
        first, _ = self.start_cell("one", "two")
        self.store.reachable = False
        gevent.sleep(failover.HAND_OVER_AFTER_S * 2)
        self.store.reachable = True
        self.wait_for(lambda: self.coordinates(first))
        self.assertEqual((first, 1), (self.holder().process, self.holder().epoch))

    def test_a_coordinator_that_others_miss_too_is_given_up(self):
        given_up = []
        network = Network()
        watcher, witness = network.join("two"), network.join("three")
        network.join("one")
        for each in (watcher, witness):
            each.targets = {"one": 0, "two": 0, "three": 0}
        watches = [
            failover.Failover(name, peers, self.store, given_up.append, None)
            for name, peers in (("two", watcher), ("three", witness))
        ]
        held = rows.LeaderLease("one", "10.0.0.1", 4, 1, 0, "life")
        for each in watches:
            each.follow(held)
            each._since -= failover.YOUNG_S
            each.__enter__()
            self.addCleanup(each.__exit__)
        network.cut.add("one")
        self.wait_for(lambda: given_up)
        self.assertEqual({4}, set(given_up))

    def test_only_a_coordinator_of_some_standing_that_is_heard_is_quiet(self):
        watch = failover.Failover("two", Network().join("two"), self.store, None, None)
        self.assertFalse(watch.is_quiet())
        watch.follow(rows.LeaderLease("one", "10.0.0.1", 4, 1, 0, "life"))
        self.assertFalse(watch.is_quiet())
        watch._since -= failover.YOUNG_S
        watch.heard("one")
        self.assertTrue(watch.is_quiet())
        watch._heard_at -= failover.SILENT_AFTER_S
        self.assertFalse(watch.is_quiet())

    def test_a_coordinator_that_another_process_reaches_is_kept(self):
        given_up = []
        network = Network()
        watcher, witness = network.join("two"), network.join("three")
        network.join("one")
        watcher.targets = {"three": 0}  # its own stream to the coordinator is cut
        witness.targets = {"one": 0, "two": 0}
        watch = failover.Failover("two", watcher, self.store, given_up.append, None)
        other = failover.Failover("three", witness, self.store, given_up.append, None)
        held = rows.LeaderLease("one", "10.0.0.1", 4, 1, 0, "life")
        for each in (watch, other):
            each.follow(held)
            each._since -= failover.YOUNG_S
            each.__enter__()
            self.addCleanup(each.__exit__)
        other._heard_at = float("inf")  # it hears the coordinator all the while
        gevent.sleep(failover.DEAD_AFTER_S * 2)
        self.assertEqual([], given_up)


class QuestionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.network = Network()
        self.approvals = {}
        self.desks = {}
        self.answered = []
        for name in ("one", "two", "three", "four"):
            peers = self.network.join(name)
            peers.targets = dict.fromkeys(["one", "two", "three", "four"], 0)
            peers.targets.pop(name)
            self.approvals[name] = Approvals()
            self.desks[name] = approval_dispatcher.ApprovalDispatcher(
                Kernel(peers), self.approvals[name], self.answered.append
            )
            peers.handle(approval_dispatcher.METHOD, self.desks[name].serve)

    def question(self, cost_s, priority=1):
        records = case.new_cell()
        records.accept(case.job(JOB), 1.0)
        run = records.jobs[JOB].steps[0, 0]
        run.approval_pending = True
        return plans.ApprovalRequest(run, ("w1",), cost_s, priority, 2.5)

    def wait_for_answers(self, count):
        with gevent.Timeout(5.0, AssertionError("no answer")):
            while len(self.answered) < count:
                gevent.sleep(0.005)

    def test_long_questions_are_put_by_other_processes(self):
        questions = [self.question(0.5) for _ in range(2)]
        for each in questions:
            self.desks["one"].ask(each)
        self.wait_for_answers(2)
        self.assertEqual([], self.approvals["one"].asked)
        self.assertEqual({"w1": True}, questions[0].step.allowed)

    def test_some_callers_are_kept_for_short_questions(self):
        for _ in range(5):
            self.desks["one"].ask(self.question(0.5))
        busy = sum(
            cost > approval_dispatcher.LONG_S
            for cost in self.desks["one"]._busy.values()
        )
        self.assertEqual(4 - approval_dispatcher.KEPT_FOR_SHORT, busy)
        self.desks["one"].ask(self.question(0.01, priority=0))
        self.assertEqual(busy + 1, len(self.desks["one"]._busy))
        self.wait_for_answers(6)

    def test_a_failed_question_may_be_asked_again_after_a_pause(self):
        for each in self.approvals.values():
            each.failure = errors.Unavailable(reason="busy")
        question = self.question(0.01)
        self.desks["one"].ask(question)
        self.wait_for_answers(1)
        self.assertFalse(question.step.approval_pending)
        self.assertGreater(question.step.approval_retry_at, 0.0)
        self.assertEqual({}, question.step.allowed)


class SeatTest(testtools.TestCase):
    def test_the_lease_outlasts_two_renewals_that_fail(self):
        self.assertGreater(
            leader_lease.LEASE_MS / 1000, 3 * leader_lease.RENEW_INTERVAL_S
        )
