"""Replay traces of the model of worker moves against the implementation."""

import pkgutil
import random
import re
import types

import gevent
import testtools
from gevent import event

from spec import moves_model, moves_states, runs
from test import fake_tables
from toucanspring import errors, kernel, resources
from toucanspring.adapters import vms
from toucanspring.cell import ownership_rows
from toucanspring.owners import fleet, mover, roster, worker_link
from toucanspring.scheduling import move_planner

ROW = roster.WORKERS_ROW
VM = vms.Vm(
    id="w",
    role=vms.Role.WORKER,
    availability_zone="z",
    address="",
    port=1,
    resources=resources.Resources(1, 1),
)


class Link:
    """Fake link to the worker, whose state is set by the trace."""

    def __init__(self, *_arguments):
        self.state = "open"

    @property
    def lost(self):
        return self.state == "lost"

    def close(self):
        pass

    release = close


class Client(fake_tables.FakeClient):
    """Hold each transaction until the trace delivers it or loses its answer."""

    def __init__(self, shared):
        super().__init__(shared)
        self.pending = []

    def transact(self, checks, writes, deletes=()):
        request = (checks, writes, deletes)
        answer = event.AsyncResult()
        self.pending.append((request, answer))
        return answer.get()


class Owner:
    """Run the services `fleet` and `mover` for one owner of a partition."""

    def __init__(self, shared, number, epoch, row_version):
        self.number, self.epoch, self.row_version = number, epoch, row_version
        self.client = Client(shared)
        store = fake_tables.FakeStore(self.client)
        store.vms = types.SimpleNamespace(list=lambda _age: [VM])
        core = kernel.Kernel()
        core.register("store", store)
        core.register("claims", types.SimpleNamespace())
        options = fake_tables.settings_of(f"p{number}", partitions=2)
        self.fleet = fleet.Service(core, options)
        core.register("fleet", self.fleet)
        self.mover = mover.Service(core, options)
        self.fleet.assigned(number)
        self.fleet.add_partition(number, epoch, row_version, lambda _: None)
        self.greenlets = []

    def post(self, _message):
        pass

    def spawn(self, *call):
        self.greenlets.append(gevent.spawn(*call))

    @property
    def link(self):
        found = self.fleet.links(self.number).get("w")
        return found.state if found else "none"

    def set_link(self, state):
        if found := self.fleet.links(self.number).get("w"):
            found.state = state


class Replay:
    """Carry out the steps of a trace."""

    def __init__(self):
        self.shared = fake_tables.FakeTables()
        self.direct = self.shared.client()
        self.versions = []
        self.write({"w": 0})
        self.owners = {}
        self.row_versions = {}
        for number in (0, 1):
            self.claim(number)
            self.load(number, 1)
        self.owners[0, 1].set_link("attached")

    def close(self):
        for owner in self.owners.values():
            gevent.killall(owner.greenlets)

    def write(self, assigned):
        self.direct.transact({}, {ROW: roster.encode(assigned)})
        self.note_version()

    def note_version(self):
        version = self.shared.rows[ROW].version
        if version not in self.versions:
            self.versions.append(version)

    def assigned_partition(self):
        found = roster.Roster()
        found.apply_row(self.shared.rows[ROW], 0)
        return found.partitions["w"]

    def claim(self, number):
        key = ownership_rows.key_of(number)
        answer = self.direct.transact({}, {key: b""})
        self.row_versions[number] = answer.versions[key]

    def load(self, number, epoch):
        version = self.row_versions[number]
        self.owners[number, epoch] = Owner(self.shared, number, epoch, version)

    def step(self, label):
        if label.startswith("claim"):
            self.claim(int(label[-1]))
        if label == "other write":
            self.write({"w": self.assigned_partition()})
        found = re.search(r"^([a-z ]+?)(?: of| by)? (\d)\.(\d)(.*)$", label)
        if not found:
            return
        action, number, epoch, rest = found.groups()
        name = int(number), int(epoch)
        if action == "load":
            self.load(*name)
            return
        self.act(self.owners[name], action, rest)
        gevent.sleep(0)
        gevent.sleep(0)
        self.note_version()

    def act(self, owner, action, rest):
        match action:
            case "read row":
                owner.fleet.reread()
            case "attach":
                self.attach(owner)
            case "stream breaks" | "lose worker":
                owner.set_link("lost" if action == "lose worker" else "open")
            case "owner dies":
                gevent.killall(owner.greenlets)
            case "send transaction":
                batch = move_planner.Batch(1 - owner.number, ("w",))
                owner.spawn(owner.mover._move, owner, batch)
            case "resolve":
                doubt = owner.mover._ambiguous_moves[owner.number]
                owner.spawn(owner.mover._resolve, owner, doubt)
            case "answer lost":
                owner.client.pending[-1][1].set(errors.Ambiguous(reason="lost"))
            case "transaction" | "repeated transaction":
                self.deliver(owner.client, late="late" in rest)

    def attach(self, owner):
        for other in self.owners.values():
            if other.link == "attached":
                other.set_link("open")
        owner.set_link("attached")

    def deliver(self, client, late):
        """Deliver the transaction that is awaited, or one whose answer is lost."""
        if not late:
            request, answer = client.pending.pop()
            answer.set(client._commit(*request))
            return
        for request, _ in client.pending:
            if request[0][ROW] == self.versions[-1]:
                client._commit(*request)
                return


class SpecMovesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(worker_link, "Link", Link)

    def walk(self, rng, bounds, steps):
        """Yield a random path through the model; transactions are chosen more often."""
        states = moves_model.Model(moves_states.Rules(), bounds)
        state = moves_states.initial(bounds)
        for _ in range(steps):
            found = states.transitions(state)
            if not found:
                return
            preferred = [each for each in found if "transaction" in each[0]]
            preferred += [each for each in found if "resolve" in each[0]]
            preferred += [each for each in found if "answer lost" in each[0]]
            if preferred and rng.random() < 0.5:
                found = preferred
            label, state = rng.choice(found)
            yield label, state

    def compare(self, replay, state, trace):
        self.assertEqual(state.rows[-1], replay.assigned_partition(), trace)
        self.assertEqual(len(state.rows), len(replay.versions), trace)
        for number, own in enumerate(state.owners):
            for epoch, me in enumerate(own, 1):
                loaded = me is not None and me.holds and me.seen >= 0
                if not loaded:
                    continue
                owner = replay.owners[number, epoch]
                seen = replay.versions.index(owner.fleet.roster.version)
                self.assertEqual(me.seen, seen, trace)
                self.assertEqual(me.link, owner.link, trace)
                doubted = me.move is not None and me.move.state in ("doubt", "resent")
                self.assertEqual(doubted, number in owner.mover._ambiguous_moves, trace)

    def test_the_product_follows_the_traces_of_the_model(self):
        # Guards against a model that differs from the implemented protocol.
        bounds = moves_states.Bounds(epochs=(2, 2), versions=4, writes=True)
        kinds = set()
        for seed in range(300):
            replay = Replay()
            trace = []
            for label, state in self.walk(random.Random(seed), bounds, 60):
                trace.append(label)
                kinds.add(re.sub(r" ?\(?\d.*?\d\)?", "", label))
                replay.step(label)
                self.compare(replay, state, (seed, trace))
            replay.close()
        ends = {"commits", "commits late", "conflicts"}
        expected = {f"transaction of {end}" for end in ends}
        expected |= {f"repeated {name}" for name in expected}
        self.assertEqual(set(), expected - kinds)

    def test_the_properties_hold_in_small_spaces(self):
        # Guards against a change of a decision function that breaks worker moves.
        # `python -m spec` checks the other spaces.
        for run in runs.MOVES_SPACES[1:2]:
            result = runs.check(run)
            self.assertTrue(result.proved, result.broken)
            self.assertGreater(result.states, 10_000)

    def test_each_removed_rule_breaks_a_property(self):
        # Guards against a model that does not detect that a rule is missing.
        unserved = "the worker is eventually attached to its owner"
        expected = {
            "ownership_check": unserved,
            "version_check": unserved,
            "lease_wait": "no task runs in two places",
            "drain": "no task runs in two places",
            "withhold": "no task runs in two places",
            "release": unserved,
            "own_drop": "no task runs in two places",
        }
        found = {run.without: runs.check(run).broken for run in runs.MOVES_REMOVALS}
        for rule, broken in found.items():
            self.assertIn(expected[rule], broken, rule)
        self.assertEqual(expected.keys(), found.keys())

    def test_every_action_names_an_existing_implementation(self):
        # Guards against actions whose functions were renamed or removed.
        for name in moves_model.ACTIONS.values():
            pkgutil.resolve_name(name)
        bounds = moves_states.Bounds(epochs=(2, 2), writes=True, drops=True)
        unseen = set(moves_model.ACTIONS)
        for seed in range(300):
            for label, _ in self.walk(random.Random(seed), bounds, 60):
                named = {name for name in moves_model.ACTIONS if label.startswith(name)}
                self.assertNotEqual(set(), named, label)
                unseen -= named
        # With all rules in force only its owner drops a worker, and no task runs on a
        # worker that its owner has given up.
        self.assertEqual({"drop by another", "orphan stops"}, unseen)
