"""Entries of another writer among the executors' entries, seen by the coordinator."""

import dataclasses
import json

import gevent

from standins import lease_workers
from test import coordinator_case as case
from test import platform_case  # noqa: F401  finds the adapter's modules
from test import test_coordinator_leadership as leadership_case
from test import test_platform_directory as directory_case
from toucanspring.coordinator import ports

import directory  # isort: skip
import executors  # isort: skip

ADDRESS = "10.128.0.9:8080"
GOOD = {
    **directory_case.EXECUTOR,
    "service": case.POOL,
    "address": ADDRESS,
    "capacity": {"cpu": 4000, "mem_mb": 65536, "gpus": 0},
}
LIMIT_S = 5.0
ODD = directory_case.odd_entries(GOOD)


class Client(lease_workers.LeaseWorkers):
    """Simulate the workers at ADDRESS; call others as the adapter does."""

    def __init__(self):
        super().__init__()
        self.adapter = executors.Executors()

    def poll(self, worker, *arguments):
        if worker.address != ADDRESS:
            return self.adapter.poll(worker, *arguments)
        if worker.id not in self.incarnations:
            # The first poll is for any incarnation.
            self.add(dataclasses.replace(worker, incarnation=GOOD["born"]))
        return super().poll(worker, *arguments)

    def start(self, worker, order):
        if worker.address != ADDRESS:
            return self.adapter.start(worker, order)
        return super().start(worker, order)


class OddEntryTest(leadership_case.LeadershipCase):
    def setUp(self):
        super().setUp()
        self.workers = Client()
        self.directory = directory.Directory(self.store)
        self.directory.catalogue = case.configure()
        self.directory.age = lambda _now: 0.0
        for name in ("g1", "g2"):
            self.put(name, GOOD)

    def put(self, name, entry):
        value = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
        self.store.put(ports.RowId(directory.EXECUTORS_TABLE, "", name), value)

    def wait_for(self, condition, name=""):
        limit = gevent.Timeout(LIMIT_S, AssertionError(f"did not hold: {name}"))
        with limit:
            while not condition():
                gevent.sleep(0.005)

    def start_cell(self):
        """Coordinate until the good entries are known."""
        leader = self.coordinate()
        self.wait_for(lambda: {"g1", "g2"} <= self.directory.entries().keys())
        return leader

    def test_an_entry_that_turns_odd_names_no_worker_to_use(self):
        # Guards against the further use of the entry from before.
        leader = self.start_cell()
        for name in ODD:
            self.put(name, GOOD)
        self.wait_for(lambda: ODD.keys() <= leader.cell.workers.keys())
        for name, odd in ODD.items():
            self.put(name, odd)
        for name in ODD:
            self.wait_for(lambda x=name: not leader.cell.workers[x].registered, name)
        self.assertEqual({"g1", "g2"}, set(self.directory.entries()))
        for name in ODD:
            self.put(name, GOOD)
        for name in ODD:
            self.wait_for(lambda x=name: leader.cell.workers[x].registered, name)

    def test_good_workers_keep_their_work_beside_an_odd_entry(self):
        # Guards against one entry that ends the coordinator or the following of others.
        leader = self.start_cell()
        for name, odd in ODD.items():
            self.put(name, odd)
        self.put("g3", GOOD)
        self.wait_for(lambda: "g3" in leader.cell.workers)
        self.assertEqual({"g1", "g2", "g3"}, set(leader.cell.workers))
        self.accept(case.step(3))
        self.wait_for(self.is_complete)
        self.assertFalse(self.leaderships[-1][0].ready())
        self.assert_no_violations()

    def test_a_successor_coordinates_beside_odd_entries(self):
        # Guards against an entry that ends each epoch in its recovery.
        for name, odd in ODD.items():
            self.put(name, odd)
        self.start_cell()
        self.accept(case.step(3))
        self.wait_for(self.is_complete)

    def test_a_worker_whose_entry_is_mended_is_polled(self):
        # Guards against a polling loop that an unusable address ended for good.
        self.start_cell()
        for name, odd in ODD.items():
            self.put(name, odd)
        self.put("last", GOOD)
        self.wait_for(lambda: "last" in self.workers.incarnations)
        for name in ODD:
            self.put(name, GOOD)
        for name in ODD:
            self.wait_for(lambda x=name: x in self.workers.incarnations, name)

    def test_tasks_of_a_worker_whose_entry_turns_odd_end(self):
        # Guards against tasks that wait for ever for a worker that is not polled.
        self.workers.run_s = 2.5
        leader = self.start_cell()
        self.wait_for(lambda: all(x.confirmed for x in leader.cell.workers.values()))
        self.accept(case.step(8))
        self.wait_for(lambda: self.workers.starts == 8)
        self.put("g2", ODD["a port of 5,000 digits"])
        self.wait_for(self.is_complete)
        self.assertEqual({1}, set(self.workers.done.values()))
        self.assert_no_violations()
