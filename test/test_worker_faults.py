import dataclasses
import random

import gevent
import msgspec
import testtools

from standins import checker, events, ports, task_runs, violations
from standins import worker as standin
from toucanspring import errors, resources, uptime, wire
from toucanspring.adapters import vms, workers

LEASE_S = 0.4
GRACE_S = 0.2
TASKS = 100
DEMAND = resources.Resources(1000, 1000)


@dataclasses.dataclass
class OwnedWorker:
    """A worker as its owner knows it."""

    port: int
    link: workers.StreamWorkerLink | None = None
    incarnation: int = 0
    renewed_at: float = 0.0
    tasks: dict[str, int] = dataclasses.field(default_factory=dict)


class Owner:
    """Runs tasks on workers, and restarts them after their leases or too early."""

    def __init__(self, ports, waits_for_leases):
        self.owned_workers = [OwnedWorker(port) for port in ports]
        self.waiting = [(f"j{index}/0", 0) for index in range(TASKS)]
        self.done = set()
        self.epoch = 0
        self.waits_for_leases = waits_for_leases

    def run(self, until):
        gevent.joinall(
            [gevent.spawn(self.own, owned, until) for owned in self.owned_workers]
        )

    def own(self, owned, until):
        while uptime.now() < until and len(self.done) < TASKS:
            self.step(owned)
            gevent.sleep(0.01)
        if owned.link is not None:
            owned.link.close()

    def step(self, owned):
        now = uptime.now()
        if owned.link is None or owned.link.closed:
            wait_s = LEASE_S + GRACE_S * 1.05 if self.waits_for_leases else 0.0
            if now > owned.renewed_at + wait_s:
                self.requeue(owned, set())
            self.attach(owned)
            return
        if now > owned.renewed_at + LEASE_S / 4:
            owned.renewed_at = now
            owned.link.renew(owned.link.epoch, int(LEASE_S * 1000), owned.link.tick)
        batch = []
        while self.waiting and len(owned.tasks) < 4:
            name, attempt = self.waiting.pop()
            owned.tasks[name] = attempt
            payload = b'{"run_ms": 400, "checkpoint_ms": 20}'
            batch.append(wire.TaskStart(name, attempt, DEMAND, "t", True, payload))
        if batch:
            owned.link.start(owned.link.epoch, batch)

    def attach(self, owned):
        link = workers.connect(
            "127.0.0.1",
            owned.port,
            lambda message: self.handle(owned, message),
            lambda _failure, _unanswered: None,
            report_timeout_s=0.3,
        )
        if isinstance(link, errors.Failure):
            return
        self.epoch += 1
        link.epoch = self.epoch
        attached = link.attach(0, self.epoch, int(LEASE_S * 1000), timeout_s=0.2)
        if isinstance(attached, errors.Failure):
            link.close()
            return
        owned.link = link
        known = {task.task_id for task in (*attached.running, *attached.finished)}
        self.requeue(owned, known)
        self.finish(owned, attached.finished)

    def requeue(self, owned, known):
        for name in [name for name in owned.tasks if name not in known]:
            self.waiting.append((name, owned.tasks.pop(name) + 1))

    def handle(self, owned, message):
        if isinstance(message, wire.Started):
            refused = {name for name, _ in message.refused}
            self.requeue(owned, owned.tasks.keys() - refused)
        elif isinstance(message, wire.Report):
            self.finish(owned, message.finished)

    def finish(self, owned, finished):
        for task in finished:
            if owned.tasks.get(task.task_id) != task.attempt:
                continue  # started on another worker after the lease had expired
            del owned.tasks[task.task_id]
            if task.state == "done":
                self.done.add(task.task_id)
            else:
                self.waiting.append((task.task_id, task.attempt + 1))
        if finished and owned.link is not None:
            owned.link.acknowledge(
                owned.link.epoch, [task.task_id for task in finished]
            )


class WorkerFaultsTest(testtools.TestCase):
    """Guards against records that hide violations or cause false ones."""

    def setUp(self):
        super().setUp()
        self.patch(standin, "LEASE_GRACE_S", GRACE_S)
        self.patch(standin, "CHECKPOINT_LIMIT_S", 0.9 * GRACE_S)
        self.record = events.Record()
        self.rng = random.Random(11)
        clock = task_runs.Clock()
        ticking = gevent.spawn(clock.run)
        self.addCleanup(ticking.kill)
        first = ports.find_ports(4)
        self.ports = range(first, first + 4)
        self.workers = []
        for port in self.ports:
            listed = vms.Vm(
                id=f"w{port}",
                role=vms.Role.WORKER,
                availability_zone="zone-a",
                address="127.0.0.1",
                port=port,
                resources=resources.Resources(4000, 4000),
            )
            worker = standin.Worker(listed, clock, self.record, self.rng)
            worker.revive()
            self.addCleanup(worker.die)
            self.workers.append(worker)

    def run_owner(self, waits_for_leases):
        owner = Owner(self.ports, waits_for_leases)
        began = uptime.now()
        running = gevent.spawn(owner.run, began + 15)
        while uptime.now() < began + 4:
            gevent.sleep(0.25)
            fault = self.rng.choice(
                [
                    {"cut": True},
                    {"pause_ms": 200},
                    {"pause_ms": 900},
                    {"die": True, "return_after_ms": 100},
                    {"blocked_addresses": ["127.0.0.1"]},
                ]
            )
            faulty = self.rng.choice(self.workers)
            faulty.apply(standin.WorkerFaults(**{"blocked_addresses": []} | fault))
        for worker in self.workers:
            worker.apply(standin.WorkerFaults(blocked_addresses=[]))
        running.get(timeout=16)
        record = msgspec.json.decode(self.record.dump())
        return owner, checker.check({"workers": record})

    def test_an_owner_that_waits_for_leases_causes_no_violations(self):
        owner, found = self.run_owner(waits_for_leases=True)
        self.assertEqual([], found)
        self.assertEqual(TASKS, len(owner.done))

    def test_an_owner_that_does_not_wait_for_leases_is_detected(self):
        _, found = self.run_owner(waits_for_leases=False)
        kinds = {type(violation) for violation in found}
        self.assertEqual({violations.TwoPlaces}, kinds)
