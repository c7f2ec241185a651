import types

import testtools

from test import fake_tables
from toucanspring import kernel, resources
from toucanspring.adapters import vms
from toucanspring.cell import layout, ownership_rows
from toucanspring.owners import fleet, roster, worker_link

ROW = roster.WORKERS_ROW


class Link:
    """Stand in for the link to a worker."""

    def __init__(self, _partition, _epoch, vm, *_functions):
        self.vm = vm
        self.attached, self.lost, self.closed = True, False, False

    def close(self):
        self.closed = True

    def lose(self):
        self.attached, self.lost = False, True


class Owner:
    """Run the fleet of a process that owns one partition of two."""

    def __init__(self, tables, number, clock):
        self.posted = []
        self.client = tables.client()
        self.listed = []
        key = ownership_rows.key_of(number)
        version = self.client.transact({}, {key: b""}).versions[key]
        store = fake_tables.FakeStore(self.client)
        store.vms = types.SimpleNamespace(list=lambda _age: list(self.listed))
        core = kernel.Kernel()
        core.register("store", store)
        owners = types.SimpleNamespace(
            row_version=lambda _: version,
            may_renew_workers=lambda _number, _now: True,
            previous_owner_gone=lambda _number, _now: True,
        )
        core.register("claims", owners)
        options = fake_tables.settings_of(f"p{number}", partitions=2)
        core.register("layout", layout.Service(core, options))
        self.fleet = fleet.Service(core, options, clock)
        self.fleet.add_partition(number, 1, version, self.posted.append)
        self.links = self.fleet.links(number)

    def poll(self, *names):
        """Poll with a VM list of the named workers."""
        zone = {"availability_zone": "z", "resources": resources.Resources(1, 1)}
        self.listed = [
            vms.Vm(id=name, role=vms.Role.WORKER, address="", port=1, **zone)
            for name in names
        ]
        self.fleet._poll_once()


class DropTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(worker_link, "Link", Link)
        self.now = 100.0
        self.tables = fake_tables.FakeTables()
        self.write({"a": 0, "b": 1})
        self.first = self.own(0)
        self.second = self.own(1)
        for owner in (self.first, self.second):
            owner.poll("a", "b")
        self.link = self.second.links["b"]

    def own(self, number):
        return Owner(self.tables, number, lambda: self.now)

    def write(self, assigned):
        self.tables.client().transact({}, {ROW: roster.encode(assigned)})

    def row(self):
        found = roster.Roster()
        found.apply_row(self.tables.rows[ROW], 0)
        return found.partitions

    def poll_absent(self):
        """Let all owners poll a list without worker `b` for longer than the limit."""
        for _ in range(2):
            for owner in (self.first, self.second):
                owner.poll("a")
            self.now += fleet.FORGET_ABSENT_S + 1
        for owner in (self.first, self.second):
            owner.poll("a")

    def test_a_worker_in_use_is_not_dropped(self):
        # Guards against a successor that restarts tasks while they still run on the
        # worker, because the worker is no longer in the row.
        self.poll_absent()
        self.assertEqual({"a": 0, "b": 1}, self.row())

    def test_a_lost_worker_is_dropped_by_its_owner(self):
        self.link.lose()
        self.poll_absent()
        self.assertEqual({"a": 0}, self.row())
        self.assertTrue(self.link.closed)
        self.first.poll("a", "b")
        self.assertEqual({"a": 0, "b": 1}, self.row())
        self.second.poll("a", "b")
        self.assertFalse(self.second.links["b"].closed)

    def test_a_successor_drops_a_lost_worker_that_it_never_saw_listed(self):
        # Guards against a worker that stays in the row for ever, since the VM list
        # dropped it before the owner read the list for the first time.
        successor = self.own(1)
        successor.poll("a")
        successor.links["b"].lose()
        self.now += fleet.FORGET_ABSENT_S - 1
        successor.poll("a")
        self.assertEqual({"a": 0, "b": 1}, self.row())
        self.now += 2
        successor.poll("a")
        self.assertEqual({"a": 0}, self.row())

    def test_a_former_owner_drops_nothing(self):
        # Guards against a worker that is removed while the successor uses it.
        self.link.lose()
        self.own(1)
        self.poll_absent()
        self.assertEqual({"a": 0, "b": 1}, self.row())

    def test_a_worker_in_doubt_is_not_used_until_the_row_has_changed(self):
        # Guards against a delayed transaction that removes a worker in use.
        self.link.lose()
        self.second.client.late[ROW] = 1
        self.second.client.drop[ROW] = 1
        self.poll_absent()
        self.assertEqual({"a": 0, "b": 1}, self.row())
        self.second.client.drop[ROW] = 1
        self.second.poll("a", "b")
        self.assertNotIn("b", self.second.links)
        self.write({"a": 0, "b": 1, "c": 0})
        self.second.poll("a", "b")
        self.second.client.deliver_late()
        self.assertEqual({"a": 0, "b": 1, "c": 0}, self.row())
        self.assertIn("b", self.second.links)


class UnlistedTest(testtools.TestCase):
    def test_a_worker_that_was_never_listed_is_lost_after_its_lease(self):
        # Guards against accepted work that waits for ever after a takeover, for a
        # worker that left the VM list before the successor read it.
        self.patch(worker_link, "WORKER_LEASE_S", 0.3)
        self.patch(worker_link, "STOP_GRACE_S", 0.1)
        self.patch(worker_link, "WATCH_INTERVAL_S", 0.02)
        tables = fake_tables.FakeTables()
        tables.client().transact({}, {ROW: roster.encode({"a": 1, "b": 0})})
        owner = Owner(tables, 0, lambda: 100.0)
        self.addCleanup(owner.fleet.remove_partition, 0)
        self.assertEqual({"b": None}, owner.fleet.assigned(0))
        owner.poll("a")
        lost = worker_link.Lost("b")
        self.assertTrue(fake_tables.wait_for(lambda: lost in owner.posted, 5))

    def test_a_worker_that_is_listed_later_is_connected_to(self):
        self.patch(worker_link, "Link", Link)
        tables = fake_tables.FakeTables()
        tables.client().transact({}, {ROW: roster.encode({"a": 1, "b": 0})})
        owner = Owner(tables, 0, lambda: 100.0)
        owner.poll("a")
        owner.poll("a", "b")
        self.assertEqual("z", owner.links["b"].vm.availability_zone)
