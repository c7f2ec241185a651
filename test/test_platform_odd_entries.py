"""Entries of another writer among the executors' entries, seen by the coordinator."""

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
            self.add(worker)
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
        limit = gevent.Timeout(3.0, AssertionError(f"did not hold: {name}"))
        with limit:
            while not condition():
                gevent.sleep(0.005)

    def start_cell(self):
        """Coordinate until the good entries are known."""
        leader = self.coordinate()
        self.wait_for(lambda: {"g1", "g2"} <= self.directory.entries().keys())
        return leader

    def test_an_entry_that_turns_odd_names_no_worker_to_use(self):
        # Guards against the use of the entry from before: RecursionError.
        leader = self.start_cell()
        for name, odd in ODD.items():
            self.put("g2", odd)
            self.wait_for(lambda: not leader.cell.workers["g2"].registered, name)
            self.assertEqual({"g1"}, set(self.directory.entries()), name)
            self.put("g2", GOOD)
            self.wait_for(lambda: leader.cell.workers["g2"].registered, name)

    def test_good_workers_keep_their_work_beside_an_odd_entry(self):
        # Guards against one entry that ends the coordinator or the following of others.
        leader = self.start_cell()
        for number, (name, odd) in enumerate(ODD.items()):
            self.put("odd", odd)
            job_id = f"{number:016x}"
            self.accept(case.step(3), job_id=job_id)
            self.wait_for(lambda job_id=job_id: self.is_complete(job_id), name)
            self.put(f"g3-{number}", GOOD)
            self.wait_for(lambda new=f"g3-{number}": new in leader.cell.workers, name)
            self.assertNotIn("odd", leader.cell.workers, name)
        self.assertFalse(self.leaderships[-1][0].ready())
        self.assert_no_violations()
