"""Several processes on one store: election, failover, approval requests and calls."""

import random

import gevent
import msgspec
import testtools
from gevent import event

from standins import lease_workers, rowstore
from test import coordinator_case as case
from test import test_coordinator_leadership
from toucanspring import errors, metrics, uptime
from toucanspring.coordinator import (
    approval_dispatcher,
    candidacy,
    failover,
    lag,
    leader_lease,
    members,
    metered,
    plans,
    ports,
    rows,
    service,
    state,
)

JOB = "0" * 16
UNKNOWN = candidacy.Capacity()
LARGE = candidacy.Capacity(cores=2.15, link_mbps=100.0, memory_mb=552)
SMALL = candidacy.Capacity(cores=0.516, link_mbps=5.0, memory_mb=200)


class Network:
    """Delivers calls between the peers of several processes."""

    def __init__(self):
        self.members = {}
        self.cut = set()
        self.delays_s = {}  # of the calls of a process on a slow VM

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

    def call(self, name, method, body, timeout_s):
        delay_s = self._network.delays_s.get(self._name, 0)
        gevent.sleep(min(delay_s, timeout_s))
        if delay_s > timeout_s:
            return errors.Ambiguous(reason="no answer in time")
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


def watch(name, peers, store, takeovers, is_ready=lambda: True):
    """Return the failure detection of a process; its takeovers are recorded."""
    own = rows.MemberRow(name, "10.0.0.1", 1)
    cell = members.Members(own, store, peers)
    return failover.Failover(name, peers, store, takeovers.append, None, cell, is_ready)


class SlowStore:
    """A store whose reads of one table wait until `go_on` is set."""

    def __init__(self, store, table=rows.PROGRESS):
        self._store = store
        self._table = table
        self.waiting = False
        self.go_on = event.Event()

    def __getattr__(self, name):
        return getattr(self._store, name)

    def parts(self, table):
        if table == self._table:
            self.waiting = True
            self.go_on.wait()
        return self._store.parts(table)


class SwitchedStore:
    """A store that is replaced by `current` later."""

    def __init__(self, current):
        self.current = current

    def __getattr__(self, name):
        return getattr(self.current, name)


class ProcessCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.set_up_cell()
        self.addCleanup(self.stop_processes)

    def set_up_cell(self):
        self.store = rowstore.MemoryStore()
        self.workers = lease_workers.LeaseWorkers()
        entry = case.entry("w1")
        self.workers.add(entry)
        self.entry = entry
        self.network = Network()
        self.processes = {}

    def stop_processes(self):
        for each in self.processes.values():
            each._failover.closing = each._draining = True
            gevent.killall(each._greenlets, block=False)
            each._members.close()
            each._job_writer.__exit__()
            each._failover.__exit__()

    def run_process(self, name, capacity=UNKNOWN, store=None):
        peers = self.network.join(name)
        options = service.Options(
            process=name,
            address="10.0.0.1",
            peer_port=1,
            max_lease_ms=6000,
            capacity=capacity,
        )
        self.processes[name] = service.Service(
            Kernel(peers),
            options,
            store or self.store,
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

    def kill(self, name):
        """End a process without any notice; its member row stays."""
        self.network.members.pop(name)
        process = self.processes.pop(name)
        process._draining = process._failover.closing = True
        if process._leadership is not None:
            process._leadership.step_down("killed")
        gevent.killall(process._greenlets)
        process._members.close()
        process._job_writer.__exit__()
        process._failover.__exit__()

    def start_cell(self, *names, capacities=None):
        for name in names:
            self.run_process(name, (capacities or {}).get(name, UNKNOWN))
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

    # Guards against a count without the jobs whose rows the coordinator has not read.
    def test_waiting_jobs_are_counted_only_when_all_are_known(self):
        for number in range(8):
            spec = case.job(f"{number:016x}", case.step(1, cpus=10**6))
            self.store.put(rows.job_row_ids(spec.id)[0], rows.encode(spec))
        self.store.parts_down = {rows.job_row_ids(JOB)[0].part}
        process = self.run_process("one")
        self.wait_for(lambda: self.is_coordinator("one"))
        self.assertIsInstance(process.pending(case.QUEUE), errors.Unavailable)
        self.store.parts_down = set()
        self.wait_for(lambda: process.pending(case.QUEUE) == 8)

    def test_without_a_coordinator_the_state_is_read_from_the_store(self):
        process = self.run_process("one")
        process._draining = True
        self.store.put(rows.job_row_ids(JOB)[0], rows.encode(case.job(JOB)))
        process._lease = rows.LeaderLease("gone", "10.0.0.9", 9, 1, 0, "x")
        self.assertEqual(state.JobState.QUEUED, process.status(JOB))
        self.assertIsInstance(process.status("f" * 16), errors.NotFound)
        self.assertIsInstance(process.cancel(JOB), errors.Unavailable)


class DoubtsTest(ProcessCase):
    # Guards against a refusal by a process that doesn't know of the write of another.
    def test_all_processes_learn_of_a_job_in_doubt(self):
        self.start_cell("a", "b", "c")
        for teller in "abc":
            heard = {name: set() for name in self.processes}
            for name, each in self.processes.items():
                each.doubts.on_doubt = heard[name].add
            self.processes[teller].doubts.tell(JOB)
            others = [heard[name] for name in heard if name != teller]
            self.wait_for(lambda others=others: all(JOB in each for each in others))

    # Guards against a doubt that processes pass on to each other for ever, if two take
    # themselves for the coordinator.
    def test_a_doubt_is_passed_on_once(self):
        self.start_cell("a", "b", "c")
        heard = []
        for each in self.processes.values():
            each.doubts.on_doubt = heard.append
            each.doubts._find_receivers = lambda: (["a", "b", "c"], True)
        self.processes["a"].doubts.tell(JOB)
        gevent.sleep(0.3)
        self.assertEqual([JOB] * 2, heard)

    def test_a_malformed_doubt_is_refused(self):
        self.start_cell("a")
        answer = self.processes["a"].doubts._serve("x", b"\xc1")
        self.assertIsInstance(answer, errors.Malformed)


class UnreadConfigurationTest(ProcessCase):
    # Guards against jobs that a new coordinator judges and ranks by no configuration,
    # after a power loss during an outage of the store.
    def test_a_process_without_a_configuration_does_not_coordinate(self):
        process = self.run_process("one")
        process._directory.catalogue = None
        gevent.sleep(0.3)
        self.assertIsNone(self.stored_lease())
        process._directory.catalogue = case.configure()
        self.wait_for(lambda: self.is_coordinator("one"))

    # Guards against a released lease that nobody takes, since the first process in line
    # has not read the configuration yet.
    def test_a_process_without_a_configuration_leaves_a_lease_to_the_others(self):
        first, others = self.start_cell("one", "two", "three")
        unread = self.processes[others[0]]
        unread._directory.catalogue = None
        self.processes[first].stop_accepting()
        self.wait_for(lambda: self.is_coordinator(others[1]))
        self.assertFalse(self.is_coordinator(others[0]))


class UnreadMembersTest(ProcessCase):
    # Guards against a weak process that takes a free lease at once, since it has not
    # read yet which others there are.
    def test_a_weak_process_that_knows_no_others_leaves_them_the_lease(self):
        weak = self.run_process("one", SMALL, store=SlowStore(self.store, rows.MEMBERS))
        strong = self.run_process("two", LARGE, store=self.store)
        self.wait_for(lambda: weak._lease is not None and strong._lease is not None)
        self.assertEqual(("two", 1), (strong._lease.process, strong._lease.epoch))

    def test_a_process_that_cannot_read_the_others_coordinates_all_the_same(self):
        self.run_process("one", SMALL, store=SlowStore(self.store, rows.MEMBERS))
        self.wait_for(lambda: self.is_coordinator("one"))


class FailoverTest(ProcessCase):
    def test_a_process_that_stops_releases_the_lease(self):
        first, others = self.start_cell("one", "two")
        self.processes[first].stop_accepting()
        self.wait_for(lambda: self.is_coordinator(others[0]))
        self.assertEqual(2, self.stored_lease().epoch)

    def test_a_released_lease_is_announced_to_all_processes(self):
        # Guards against a notice that reaches only the neighbours in the ring, after
        # which the others leave the cell without a coordinator until they read again.
        first, others = self.start_cell("one", "two", "three", "four", "five")
        told = []
        for name in others:
            self.network.members[name].handle_notice(
                service.HEARTBEAT_NOTICE,
                lambda _sender, body, name=name: told.append(
                    (name, rows.decode(rows.LeaderLease, body).process)
                ),
            )
        peers = self.network.members[first]
        self.wait_for(lambda: peers.connected() == sorted(others))
        self.processes[first].stop_accepting()
        released = {name for name, holder in told if not holder}
        self.assertEqual(set(others), released)

    def test_a_new_coordinator_sends_heartbeats_without_a_pause(self):
        # Guards against processes that learn of the coordinator late, since it was in
        # the long pause of a process that does not coordinate when it took over.
        self.patch(service, "KEEPALIVE_INTERVAL_S", 3600.0)
        self.run_process("one")
        self.wait_for(lambda: self.is_coordinator("one"))
        heard = []
        self.run_process("two")
        self.network.members["two"].handle_notice(
            service.HEARTBEAT_NOTICE, lambda sender, _body: heard.append(sender)
        )
        self.wait_for(lambda: "one" in heard)

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
            watch(name, peers, self.store, takeovers)
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
        missing = leader_lease.Takeover(4, leader_lease.Reason.MISSING)
        self.assertEqual({missing}, set(takeovers))

    # Guards against a takeover that a process without a configuration keeps, and
    # carries out once it has read it, although the coordinator is back.
    def test_a_process_without_a_configuration_replaces_no_coordinator(self):
        takeovers, network, ready = [], Network(), []
        peers = [network.join(name) for name in ("two", "three")]
        network.join("one")
        held = rows.LeaderLease("one", "10.0.0.1", 4, 1, 0, "instance")
        for name, each in zip(("two", "three"), peers, strict=True):
            each.targets = {"one": 0, "two": 0, "three": 0}
            watcher = watch(name, each, self.store, takeovers, lambda: bool(ready))
            watcher.set_coordinator(held)
            watcher._lease_seen_at -= failover.NEW_COORDINATOR_GRACE_S
            watcher.__enter__()
            self.addCleanup(watcher.__exit__)
        network.cut.add("one")
        gevent.sleep(failover.HEARTBEAT_TIMEOUT_S + failover.DISCONNECT_TIMEOUT_S + 0.5)
        self.assertEqual([], takeovers)
        ready.append(True)
        self.wait_for(lambda: takeovers)

    # Guards against a coordinator that is replaced, since a process that has just
    # started has no stream to it yet.
    def test_a_process_that_has_just_started_confirms_no_missing_coordinator(self):
        network = Network()
        asking, started = network.join("two"), network.join("three")
        asking.targets = {"three": 0}
        watcher = watch("two", asking, self.store, [])
        witness = watch("three", started, self.store, [])
        for each in (watcher, witness):
            each.__enter__()
            self.addCleanup(each.__exit__)
        self.assertFalse(watcher._confirm_unreachable("one"))
        held = rows.LeaderLease("one", "10.0.0.1", 4, 1, 0, "instance")
        witness.set_coordinator(held)
        self.assertFalse(watcher._confirm_unreachable("one"))
        witness._lease_seen_at -= failover.NEW_COORDINATOR_GRACE_S
        self.assertTrue(watcher._confirm_unreachable("one"))

    def test_a_coordinator_is_stable_after_its_grace_period_while_it_is_heard(self):
        first = watch("two", Network().join("two"), self.store, [])
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
        first = watch("two", watcher, self.store, takeovers)
        second = watch("three", witness, self.store, takeovers)
        held = rows.LeaderLease("one", "10.0.0.1", 4, 1, 0, "instance")
        for each in (first, second):
            each.set_coordinator(held)
            each._lease_seen_at -= failover.NEW_COORDINATOR_GRACE_S
            each.__enter__()
            self.addCleanup(each.__exit__)
        second._heartbeat_at = float("inf")  # it keeps receiving heartbeats
        gevent.sleep(failover.DISCONNECT_TIMEOUT_S * 2)
        self.assertEqual([], takeovers)


class StrengthTest(ProcessCase):
    STRONG = ("b", "e")
    WEAK = ("a", "c", "d", "f", "g")

    def start_mixed_cell(self, seed):
        """Start a strong coordinator, then the others in the order of a seed."""
        first = random.Random(seed).choice(self.STRONG)
        others = [name for name in self.STRONG + self.WEAK if name != first]
        random.Random(seed).shuffle(others)
        self.run_process(first, LARGE)
        self.wait_for(lambda: self.is_coordinator(first))
        for name in others:
            self.run_process(name, LARGE if name in self.STRONG else SMALL)
        self.await_streams(first)
        return first

    def await_streams(self, coordinator):
        """Wait until all processes know the coordinator and all members."""
        names = self.processes.keys()
        self.wait_for(
            lambda: all(
                len(each._members.strengths()) >= len(names)
                and each._lease is not None
                and each._lease.process == coordinator
                and not each._members.find_disconnected()
                for each in self.processes.values()
            )
        )
        for each in self.processes.values():
            each._failover._lease_seen_at -= failover.NEW_COORDINATOR_GRACE_S

    def await_successor(self):
        self.wait_for(lambda: any(self.is_coordinator(name) for name in self.processes))
        [found] = [name for name in self.processes if self.is_coordinator(name)]
        return found

    def replace_killed(self, seed):
        first = self.start_mixed_cell(seed)
        self.kill(first)
        found = self.await_successor()
        return found, self.stored_lease().epoch

    def test_a_strong_process_replaces_a_killed_coordinator(self):
        # Guards against a takeover by a process whose link carries no coordinator.
        for seed in range(6):
            self.set_up_cell()
            found, epoch = self.replace_killed(seed)
            self.assertIn(found, self.STRONG, f"seed {seed}")
            self.assertEqual(2, epoch, f"seed {seed}")
            self.stop_processes()

    def test_a_strong_process_acquires_an_expired_lease(self):
        # Guards against a weak process that is the first to read an expired lease.
        for seed in range(3):
            self.set_up_cell()
            first = self.start_mixed_cell(seed)
            for each in self.processes.values():
                each._failover._lease_seen_at = float("inf")  # in its grace period
            self.kill(first)
            self.assertIn(self.await_successor(), self.STRONG, f"seed {seed}")
            self.assertEqual(2, self.stored_lease().epoch, f"seed {seed}")
            self.stop_processes()

    def test_a_strong_process_follows_one_that_stops(self):
        # Guards against a race of all processes for a released lease.
        for seed in range(6):
            self.set_up_cell()
            first = self.start_mixed_cell(seed)
            self.processes[first].stop_accepting()
            self.processes.pop(first)
            self.assertIn(self.await_successor(), self.STRONG, f"seed {seed}")
            self.assertEqual(2, self.stored_lease().epoch, f"seed {seed}")
            self.stop_processes()

    def test_a_weak_process_coordinates_if_no_strong_one_is_alive(self):
        first = self.start_mixed_cell(0)
        for name in self.STRONG:
            if name != first:
                self.kill(name)
        self.kill(first)
        self.assertIn(self.await_successor(), self.WEAK)

    def test_processes_of_the_previous_build_take_part(self):
        # Guards against a rolling update that leaves the cell without a coordinator.
        first, others = self.start_cell("a", "b", "c", "d", capacities={"c": SMALL})
        former = rows.MemberRow("z", "10.0.0.9", 1)
        self.store.put(
            ports.RowId(rows.MEMBERS, "", "z"),
            msgspec.msgpack.encode([former.process, former.address, former.port]),
        )
        for name in others:
            strengths = self.processes[name]._members.strengths
            self.wait_for(lambda: strengths().get("z") == 0.0)  # noqa: B023
            failing = self.processes[name]._failover
            failing._lease_seen_at -= failover.NEW_COORDINATOR_GRACE_S
        self.kill(first)
        self.assertIn(self.await_successor(), others)


class HandoverTest(ProcessCase):
    def start_weak_cell(self, *names):
        first, _ = self.start_cell(*names, capacities=dict.fromkeys(names, SMALL))
        return first

    def stay(self, epoch, for_s=1.2):
        """Wait for longer than the pause between two offers; nothing may change."""
        gevent.sleep(for_s)
        self.assertEqual(epoch, self.stored_lease().epoch)

    def test_a_weak_coordinator_hands_over_to_a_strong_process_that_joins(self):
        # Guards against a cell that stays with a coordinator whose link is full.
        first = self.start_weak_cell("a", "c", "d")
        self.run_process("b", LARGE)
        self.wait_for(lambda: self.is_coordinator("b"))
        self.wait_for(lambda: self.processes[first]._leadership is None)
        self.stay(2)

    def test_a_cell_that_starts_in_any_order_ends_with_a_strong_coordinator(self):
        for seed in range(4):
            self.set_up_cell()
            names = list("abcdefg")
            random.Random(seed).shuffle(names)
            for name in names:
                self.run_process(name, LARGE if name in "be" else SMALL)
            self.wait_for(lambda: self.is_coordinator("b") or self.is_coordinator("e"))
            self.assertIn(self.stored_lease().epoch, (1, 2), f"seed {seed}")
            self.stop_processes()

    def test_a_weak_coordinator_hands_over_while_it_still_loads(self):
        # Guards against waiting for a read of the state that takes seconds.
        slow = SlowStore(self.store)
        self.run_process("a", SMALL, slow)
        self.wait_for(lambda: slow.waiting)
        self.run_process("b", LARGE)
        self.wait_for(lambda: self.is_coordinator("b"))
        self.assertFalse(self.is_coordinator("a"))
        held = self.processes["b"]._leadership._acquired
        self.assertEqual(leader_lease.Reason.OFFERED, held.reason)
        slow.go_on.set()
        self.wait_for(lambda: self.processes["a"]._leadership is None)

    def test_a_coordinator_hands_over_to_no_weak_equal_or_unknown_process(self):
        # Guards against a lease that moves between processes without a gain.
        for held, other in ((LARGE, SMALL), (SMALL, SMALL), (SMALL, UNKNOWN),
                            (UNKNOWN, LARGE)):  # fmt: skip
            self.set_up_cell()
            self.run_process("a", held)
            self.wait_for(lambda: self.is_coordinator("a"))
            self.run_process("b", other)
            self.stay(1, for_s=0.5)
            self.stop_processes()

    def test_a_refused_offer_costs_nothing_and_is_repeated(self):
        first = self.start_weak_cell("a", "c")
        alone = rowstore.MemoryStore()
        alone.reachable = False
        switched = SwitchedStore(alone)
        self.run_process("b", LARGE, switched)
        member = rows.MemberRow("b", "10.0.0.1", 1, 2.15, 100.0, 552)
        self.store.put(ports.RowId(rows.MEMBERS, "", "b"), rows.encode(member))
        peers = self.network.members[first]
        self.wait_for(lambda: "b" in peers.connected())
        self.stay(1)
        self.assertTrue(self.is_coordinator(first))
        switched.current = self.store
        self.wait_for(lambda: self.is_coordinator("b"))

    def test_a_process_without_a_view_refuses_the_lease(self):
        first = self.start_weak_cell("a", "c")
        joined = self.run_process("b", LARGE)
        joined._directory.view_age = float("inf")
        self.stay(1)
        self.assertTrue(self.is_coordinator(first))
        joined._directory.view_age = 0.0
        self.wait_for(lambda: self.is_coordinator("b"))

    def test_a_strong_process_that_restarts_often_is_not_offered_each_time(self):
        # Guards against two changes of the coordinator for each crash of one process.
        self.start_weak_cell("a", "c")
        self.run_process("b", LARGE)
        self.wait_for(lambda: self.is_coordinator("b"))
        self.wait_for(lambda: self.network.members["b"].connected() == ["a", "c"])
        self.kill("b")
        self.wait_for(lambda: self.is_coordinator("a") or self.is_coordinator("c"))
        epoch = self.stored_lease().epoch
        self.run_process("b", LARGE)
        self.stay(epoch)
        for name in "ac":
            pace = self.processes[name]._failover._pace
            pace.handed_over_at -= candidacy.HANDOVER_INTERVAL_S
        self.wait_for(lambda: self.is_coordinator("b"))


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
        asked_at = uptime.now()
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


class LagTest(ProcessCase):
    """A VM that turns slow while its process coordinates."""

    def setUp(self):
        super().setUp()
        self.patch(failover, "NEW_COORDINATOR_GRACE_S", 0.0)
        self.patch(failover, "LAG_CHECK_INTERVAL_S", 0.05)
        self.patch(lag, "MAX_ROUND_TRIP_S", 0.2)

    # Guards against a cell in which all wait for a coordinator whose VM is slow: with a
    # fifth of its speed, approvals took 1.2 s instead of 0.03 s for as long as it was.
    def test_a_coordinator_on_a_slow_vm_hands_over_to_an_equal_process(self):
        first, _ = self.start_cell(*"abc", capacities=dict.fromkeys("abc", LARGE))
        self.network.delays_s[first] = 0.5
        self.wait_for(lambda: self.stored_lease().process not in ("", first))
        successor = self.stored_lease().process
        self.wait_for(lambda: self.is_coordinator(successor))
        held = self.processes[successor]._leadership._acquired
        self.assertEqual(leader_lease.Reason.OFFERED, held.reason)

    # Guards against a lease that moves on and on, since the work is too much for any.
    def test_a_lease_that_was_handed_over_stays_if_all_are_slow(self):
        first, _ = self.start_cell(*"abc", capacities=dict.fromkeys("abc", LARGE))
        self.network.delays_s.update(dict.fromkeys("abc", 0.5))
        self.wait_for(lambda: self.stored_lease().process not in ("", first))
        epoch = self.stored_lease().epoch
        gevent.sleep(2.5)
        self.assertEqual(epoch, self.stored_lease().epoch)

    def test_a_slow_coordinator_keeps_the_lease_if_all_others_are_weak(self):
        first, _ = self.start_cell(
            *"abc", capacities={"a": LARGE, "b": SMALL, "c": SMALL}
        )
        self.wait_for(lambda: self.is_coordinator("a"))
        epoch = self.stored_lease().epoch
        self.network.delays_s["a"] = 0.5
        gevent.sleep(1.2)
        self.assertEqual(epoch, self.stored_lease().epoch)
