"""Several processes on one store: election, failover, approval requests and calls."""

import time

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
    """Delivers calls between the peers of several processes."""

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
        self.addCleanup(self.stop_processes)

    def stop_processes(self):
        for each in self.processes.values():
            each._failover.closing = each._draining = True
            gevent.killall(each._greenlets, block=False)
            each._members.close()
            each._job_writer.__exit__()
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

    def stored_lease(self):
        row = self.store.rows.get(rows.LEADER_LEASE_ROW)
        return None if row is None else rows.decode(rows.LeaderLease, row.value)

    def is_coordinator(self, name):
        held = self.processes[name]._leadership
        return held is not None and held.ready.is_set()

    def start_cell(self, *names):
        for name in names:
            self.run_process(name)
        self.wait_for(lambda: any(self.is_coordinator(name) for name in names))
        [first] = [name for name in names if self.is_coordinator(name)]
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


class ElectionTest(ProcessCase):
    def test_one_of_several_processes_coordinates(self):
        first, _ = self.start_cell("one", "two", "three")
        self.assertEqual(
            (first, 1), (self.stored_lease().process, self.stored_lease().epoch)
        )

    def test_a_job_accepted_by_any_process_runs_and_all_return_its_state(self):
        self.start_cell("one", "two", "three")
        spec = case.job(JOB, case.step(2))
        self.workers.jobs[JOB] = spec
        self.assertIsNone(self.processes["two"].submit(spec, 1.0))
        for each in self.processes.values():
            self.wait_for(lambda: each.status(JOB) is state.JobState.COMPLETED)  # noqa: B023
            self.assertEqual(0, each.pending(case.QUEUE))
        self.assertEqual([], self.workers.violations)

    def test_without_a_coordinator_the_state_is_read_from_the_store(self):
        process = self.run_process("one")
        process._draining = True
        self.store.put(rows.job_row_ids(JOB)[0], rows.encode(case.job(JOB)))
        process._lease = rows.LeaderLease("gone", "10.0.0.9", 9, 1, 0, "x")
        self.assertEqual(state.JobState.QUEUED, process.status(JOB))
        self.assertIsInstance(process.status("f" * 16), errors.NotFound)
        self.assertIsInstance(process.cancel(JOB), errors.Unavailable)


class FailoverTest(ProcessCase):
    def test_a_process_that_stops_releases_the_lease(self):
        first, others = self.start_cell("one", "two")
        self.processes[first].stop_accepting()
        self.wait_for(lambda: self.is_coordinator(others[0]))
        self.assertEqual(2, self.stored_lease().epoch)

    def test_a_coordinator_that_cannot_write_hands_the_lease_over(self):
        first, others = self.start_cell("one", "two", "three")
        # The store is unavailable for this process only.
        alone = rowstore.MemoryStore()
        alone.reachable = False
        self.processes[first]._store = alone
        self.processes[first]._leadership._writer._store = alone
        self.wait_for(lambda: any(self.is_coordinator(name) for name in others))
        self.wait_for(lambda: not self.is_coordinator(first))
        self.assertEqual(2, self.stored_lease().epoch)

    def test_there_is_no_failover_while_no_process_reaches_the_store(self):
        first, _ = self.start_cell("one", "two")
        self.store.reachable = False
        gevent.sleep(failover.HAND_OVER_AFTER_S * 2)
        self.store.reachable = True
        self.wait_for(lambda: self.is_coordinator(first))
        self.assertEqual(
            (first, 1), (self.stored_lease().process, self.stored_lease().epoch)
        )

    def test_a_coordinator_unreachable_for_two_processes_is_replaced(self):
        takeovers = []
        network = Network()
        watcher, witness = network.join("two"), network.join("three")
        network.join("one")
        for each in (watcher, witness):
            each.targets = {"one": 0, "two": 0, "three": 0}
        failovers = [
            failover.Failover(name, peers, self.store, takeovers.append, None)
            for name, peers in (("two", watcher), ("three", witness))
        ]
        held = rows.LeaderLease("one", "10.0.0.1", 4, 1, 0, "instance")
        for each in failovers:
            each.set_coordinator(held)
            each._lease_seen_at -= failover.NEW_COORDINATOR_GRACE_S
            each.__enter__()
            self.addCleanup(each.__exit__)
        network.cut.add("one")
        self.wait_for(lambda: takeovers)
        self.assertEqual({4}, set(takeovers))

    def test_a_coordinator_is_stable_after_its_grace_period_while_it_is_heard(self):
        first = failover.Failover("two", Network().join("two"), self.store, None, None)
        self.assertFalse(first.has_stable_coordinator())
        first.set_coordinator(rows.LeaderLease("one", "10.0.0.1", 4, 1, 0, "instance"))
        self.assertFalse(first.has_stable_coordinator())
        first._lease_seen_at -= failover.NEW_COORDINATOR_GRACE_S
        first.record_heartbeat("one")
        self.assertTrue(first.has_stable_coordinator())
        first._heartbeat_at -= failover.HEARTBEAT_TIMEOUT_S
        self.assertFalse(first.has_stable_coordinator())

    def test_a_coordinator_reachable_for_another_process_is_not_replaced(self):
        takeovers = []
        network = Network()
        watcher, witness = network.join("two"), network.join("three")
        network.join("one")
        watcher.targets = {"three": 0}  # it is disconnected from the coordinator
        witness.targets = {"one": 0, "two": 0}
        first = failover.Failover("two", watcher, self.store, takeovers.append, None)
        second = failover.Failover("three", witness, self.store, takeovers.append, None)
        held = rows.LeaderLease("one", "10.0.0.1", 4, 1, 0, "instance")
        for each in (first, second):
            each.set_coordinator(held)
            each._lease_seen_at -= failover.NEW_COORDINATOR_GRACE_S
            each.__enter__()
            self.addCleanup(each.__exit__)
        second._heartbeat_at = float("inf")  # it keeps receiving heartbeats
        gevent.sleep(failover.DISCONNECT_TIMEOUT_S * 2)
        self.assertEqual([], takeovers)


class ApprovalDispatcherTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.network = Network()
        self.approvals = {}
        self.dispatchers = {}
        self.replied = []
        for name in ("one", "two", "three", "four"):
            peers = self.network.join(name)
            peers.targets = dict.fromkeys(["one", "two", "three", "four"], 0)
            peers.targets.pop(name)
            self.approvals[name] = Approvals()
            self.dispatchers[name] = approval_dispatcher.ApprovalDispatcher(
                Kernel(peers), self.approvals[name], self.replied.append
            )
            peers.handle(approval_dispatcher.METHOD, self.dispatchers[name].serve)

    def request(self, cost_s, priority=1):
        records = case.new_cell()
        records.accept(case.job(JOB), 1.0)
        run = records.jobs[JOB].steps[0, 0]
        run.approval_pending = True
        return plans.ApprovalRequest(run, ("w1",), cost_s, priority, 2.5)

    def wait_for_replies(self, count):
        with gevent.Timeout(5.0, AssertionError("no answer")):
            while len(self.replied) < count:
                gevent.sleep(0.005)

    def test_long_requests_are_relayed_through_other_processes(self):
        requests = [self.request(0.5) for _ in range(2)]
        for each in requests:
            self.dispatchers["one"].submit(each)
        self.wait_for_replies(2)
        self.assertEqual([], self.approvals["one"].asked)
        self.assertEqual({"w1": True}, requests[0].step.allowed)

    def test_some_callers_are_reserved_for_short_requests(self):
        for _ in range(5):
            self.dispatchers["one"].submit(self.request(0.5))
        busy = sum(
            cost > approval_dispatcher.LONG_REQUEST_S
            for cost in self.dispatchers["one"]._in_flight.values()
        )
        self.assertEqual(4 - approval_dispatcher.CALLERS_FOR_SHORT_REQUESTS, busy)
        self.dispatchers["one"].submit(self.request(0.01, priority=0))
        self.assertEqual(busy + 1, len(self.dispatchers["one"]._in_flight))
        self.wait_for_replies(6)

    def test_a_ticket_is_valid_from_the_decision_on(self):
        """Guards against starts refused for a ticket whose answer came late."""
        request = self.request(0.01)
        asked_at = time.monotonic()
        for each in self.approvals.values():
            ask = each.ask
            each.ask = lambda *args, ask=ask: (gevent.sleep(0.4), ask(*args))[1]
        self.dispatchers["one"].submit(request)
        self.wait_for_replies(1)
        self.assertLess(request.step.tickets["w1"].expires_at, asked_at + 2.5 + 0.3)

    def test_a_failed_request_may_be_retried_after_a_delay(self):
        for each in self.approvals.values():
            each.failure = errors.Unavailable(reason="busy")
        request = self.request(0.01)
        self.dispatchers["one"].submit(request)
        self.wait_for_replies(1)
        self.assertFalse(request.step.approval_pending)
        self.assertGreater(request.step.approval_retry_at, 0.0)
        self.assertEqual({}, request.step.allowed)


class LeaderLeaseTest(testtools.TestCase):
    def test_the_lease_outlasts_two_failed_renewals(self):
        self.assertGreater(
            leader_lease.LEASE_MS / 1000, 3 * leader_lease.RENEW_INTERVAL_S
        )
