"""Test case with a partition, an in-memory log and links that record commands."""

import types

import gevent
import gevent.event
import testtools

from test import fake_tables
from toucanspring import job, kernel, resources, settings, wire
from toucanspring.cell import layout
from toucanspring.configuration import text
from toucanspring.owners import inbox, log_records, partition, worker_link

CAPACITY = resources.Resources(32_000, 65_536, 0)
TEAM = text.Team("labels", "kernhalde", 1.0, resources.UNLIMITED)


class Service:
    def start(self):
        pass

    def stop(self):
        pass


class Claims(Service):
    def __init__(self, row_version):
        self.version = row_version
        self.allowed = True
        self.released = []

    def row_version(self, _number):
        return self.version

    def may_start(self, _number, _now):
        return self.allowed

    def release(self, number):
        self.released.append(number)


class Documents(Service):
    def __init__(self):
        self.out = frozenset()
        self.is_fresh = True
        self.parsed = text.Cell(teams={"labels": TEAM})

    def cell(self):
        return self.parsed

    def zones_out(self):
        return self.out

    def fresh(self, _now):
        return self.is_fresh


class Objects:
    def put(self, _key, _content):
        return None


class Store(Service):
    def __init__(self, tables):
        self.tables = tables
        self.objects = Objects()


class Members(Service):
    def watch(self, _keys, _take):
        pass

    def unwatch(self, _take):
        pass


class Link:
    """Record what is sent to one worker; `before_start` runs before each start."""

    def __init__(self):
        self.started = []
        self.attempts = {}
        self.stopped = []
        self.acknowledged = []
        self.before_start = None
        self.incarnation = None  # that the stream is attached to
        self.vm = types.SimpleNamespace(availability_zone="z0", rack="r0")

    def start(self, tasks, _allowed):
        if self.before_start is not None:
            self.before_start(tasks)
        self.started += [task.task_id for task in tasks]
        self.attempts.update({task.task_id: task.attempt for task in tasks})
        return True

    def stop(self, task_ids, _mode):
        self.stopped += task_ids

    def acknowledge(self, task_ids):
        self.acknowledged += task_ids


class Fleet(Service):
    def __init__(self, workers):
        self.found = {worker: Link() for worker in workers}
        self.leaving = set()

    def assigned(self, _number):
        return dict.fromkeys(self.found, CAPACITY)

    def add_partition(self, _number, _epoch, _row_version, _post):
        pass

    def remove_partition(self, _number):
        pass

    def is_leaving(self, worker):
        return worker in self.leaving

    def link(self, _number, worker):
        return self.found.get(worker)


class PartitionCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.shared = fake_tables.FakeTables()
        self.table = self.shared.client()
        self.version = self.claim()
        self.owner = self.open(1)

    def claim(self):
        answer = self.shared.client().transact({}, {"partitions/0": b""}, ())
        return answer.versions["partitions/0"]

    def open(self, epoch, table=None):
        """Start an owner with two workers that have not attached yet."""
        core = kernel.Kernel()
        self.claims = Claims(self.version)
        self.documents = Documents()
        self.fleet = Fleet(["w1", "w2"])
        core.register("claims", self.claims)
        core.register("documents", self.documents)
        core.register("store", Store(table or self.table))
        core.register("fleet", self.fleet)
        core.register("partitions", Service())
        core.register("membership", Members())
        options = settings.Settings(process="entry-1", partitions=1)
        self.layout = layout.Service(core, options)
        core.register("layout", self.layout)
        owner = partition.Partition(0, epoch, core, options)
        owner.__enter__()
        self.addCleanup(owner.__exit__)
        self.assertTrue(owner.ready.wait(5))
        return owner

    def take_over(self):
        """Let a successor claim the partition without the owner's knowledge."""
        self.version = self.claim()
        return self.open(2, self.shared.client())

    def attach(self, owner, worker="w1", running=(), finished=(), incarnation=1):
        zone = {"w1": "zone-a", "w2": "zone-b"}[worker]
        facts = (worker, incarnation, CAPACITY, zone, "rack-1", 5)
        message = wire.Attached(*facts, list(running), list(finished))
        self.fleet.found[worker].incarnation = incarnation
        owner.post(worker_link.FromWorker(worker, message))

    def finish(self, owner, name, worker="w1"):
        attempt = self.fleet.found[worker].attempts[name]
        ended = wire.FinishedTask(name, attempt, "done", answer=b"label")
        owner.post(worker_link.FromWorker(worker, wire.Report(6, [ended], {})))

    def ask(self, owner, make):
        result = gevent.event.AsyncResult()
        owner.post(make(result))
        return result.get(timeout=5)

    def submit(self, owner, *names, **fields):
        fields = {"name": "proofs", "team": "labels", **fields}
        demand = resources.Resources(1000, 1000)
        specs = [job.JobSpec(id=name, demand=demand, **fields) for name in names]
        return self.ask(owner, lambda result: inbox.Submit(specs, result))

    def state(self, owner, name):
        status = self.ask(
            owner,
            lambda result: inbox.SchedulerQuery(
                lambda scheduler: scheduler.lookup(name), result
            ),
        )
        return status.outcome.state if status.outcome else None

    def wait(self, condition):
        self.assertTrue(fake_tables.wait_for(condition, 5))

    def records(self):
        rows = self.shared.client().scan("log/0/")
        return [
            record
            for row in rows
            for record in log_records.decode_batch(row.value).records
        ]
