"""Partitions, each with its own owner, that share a table service and workers."""

import types

from test import cell, fake_tables
from toucanspring import errors, job, kernel
from toucanspring.cell import layout, ownership_rows
from toucanspring.owners import inbox, mover, roster
from toucanspring.scheduling import capacity_report

STEP_S = 0.5


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


class Claims:
    def __init__(self, owner):
        self.owner = owner

    def owned(self):
        return {self.owner.number: self.owner.epoch}

    def may_start(self, _number, _now):
        return True


class Fleet:
    """Read the row `workers` and attach the workers of the partition."""

    def __init__(self, owner):
        self.owner = owner
        self.roster = roster.Roster()
        self.closed = []

    def reread(self):
        rows = self.owner.client.read([roster.WORKERS_ROW])
        if isinstance(rows, errors.Failure):
            return rows
        self.roster.apply_row(rows[roster.WORKERS_ROW], self.owner.clock())
        return None

    def follow(self):
        self.reread()
        owner = self.owner
        for name in sorted(self.roster.workers_of(owner.number)):
            if name not in owner.cell.scheduler._core.workers:
                owner.cell.workers[name] = owner.shared.workers[name]
                owner.cell.attach(name)

    def listed(self, partition):
        return self._listed(lambda owner: owner == partition)

    def listed_elsewhere(self, partition):
        return self._listed(lambda owner: owner != partition)

    def _listed(self, matches):
        return {
            name: capacity_report.ListedWorker(worker.zone, worker.capacity)
            for name, worker in self.owner.shared.workers.items()
            if matches(self.roster.partitions.get(name))
        }

    def release_worker(self, _number, worker):
        self.closed.append(worker)


class Owner:
    """Run the scheduler and the mover of one partition, as its process does."""

    def __init__(self, shared, number, epoch):
        self.shared, self.number, self.epoch = shared, number, epoch
        self.clock = shared.clock
        self.client = shared.tables.client()
        answer = self.client.transact({}, {ownership_rows.key_of(number): b""}, ())
        self.row_version = answer.versions[ownership_rows.key_of(number)]
        self.paused = False
        self.bound = frozenset()
        self.state = types.SimpleNamespace(accepted_ms=shared.accepted_ms)
        self.journal = types.SimpleNamespace(state=self.state)
        self.fleet = Fleet(self)
        self.cell = cell.Cell(workers=0)
        self.cell.specs = shared.specs[number]
        self.cell.outcomes = shared.outcomes[number]
        self.cell.finished = shared.finished
        self.cell.now = self.clock()
        core = kernel.Kernel()
        core.register("claims", Claims(self))
        core.register("store", fake_tables.FakeStore(self.client))
        core.register("fleet", self.fleet)
        core.register("membership", self)
        options = fake_tables.settings_of(f"p{number}", partitions=3)
        core.register("layout", layout.Service(core, options))
        self.mover = mover.Service(core, options, self.clock)
        self.cell.scheduler.expect_other_partitions()
        if self.cell.specs:
            self.fleet.reread()
            specs = list(self.cell.specs.values())
            expected = self.fleet.roster.workers_of(number)
            outcomes = dict(self.cell.outcomes)
            self.cell.call("restore", specs, outcomes, {}, set(), expected)
        self.fleet.follow()

    def peer_states(self):
        return {
            f"p{owner.number}": types.SimpleNamespace(
                capacity_reports=owner.mover.capacity_reports(),
                owned={owner.number: owner.epoch},
            )
            for owner in self.shared.owners.values()
            if owner is not self and not owner.paused
        }

    # The interface of a partition that the mover uses

    def ask(self, function):
        return function(self.cell.scheduler)

    def post(self, message):
        assert isinstance(message, inbox.WorkerMoved)
        for task in self.cell.workers[message.worker].running:
            assert job.job_of(task) not in self.cell.specs, "moved with tasks"
        self.cell.call("worker_lost", message.worker)
        del self.cell.workers[message.worker]

    def attached_workers(self):
        return self.cell.scheduler._core.workers

    def bound_workers(self):
        return self.bound

    @property
    def cordoned_workers(self):
        return self.cell.scheduler._core.cordoned_workers

    def move(self):
        self.mover.step(self)

    def step(self):
        if self.paused:
            return
        self.cell.now = self.clock()
        self.fleet.follow()
        self.cell.call("tick")
        self.move()
        self.cell.call("tick")


class Partitions:
    def __init__(self, *counts, tables=None):
        self.tables = tables or fake_tables.FakeTables()
        self.clock = Clock()
        self.accepted_ms = {}
        self.workers = {}
        self.specs = {number: {} for number in range(len(counts))}
        self.outcomes = {number: {} for number in range(len(counts))}
        self.finished = {}
        assigned = {}
        for number, count in enumerate(counts):
            for index in range(count):
                name = f"w{number}{index}"
                self.workers[name] = cell.Worker(name, f"z{index % 3}", cell.CAPACITY)
                assigned[name] = number
        self.write_row(assigned)
        self.owners = {}
        for number in range(len(counts)):
            self.take_over(number)

    def __getitem__(self, number):
        return self.owners[number]

    def write_row(self, assigned):
        self.tables.client().transact(
            {}, {roster.WORKERS_ROW: roster.encode(assigned)}, ()
        )

    def row(self):
        """Return the workers by partition, as in the row."""
        found = roster.Roster()
        found.apply_row(self.tables.rows[roster.WORKERS_ROW], 0)
        return {number: found.workers_of(number) for number in self.specs}

    def take_over(self, number):
        """Let a new owner claim a partition; return the former owner."""
        former = self.owners.get(number)
        epoch = former.epoch + 1 if former else 1
        self.owners[number] = Owner(self, number, epoch)
        return former

    def submit(self, number, name, **fields):
        self.accepted_ms[name] = int(self.clock.now * 1000)
        self[number].cell.now = self.clock.now
        self[number].cell.submit(cell.spec(name, **fields))

    def gang(self, number, name, workers):
        """Submit a gang that needs a number of whole workers."""
        fields = {"kind": job.Kind.GANG, "task_count": workers}
        self.submit(number, name, demand=cell.CAPACITY, **fields)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.now += STEP_S
            for owner in self.owners.values():
                owner.step()

    def running(self, name):
        return sum(
            task.startswith(f"{name}/")
            for worker in self.workers.values()
            for task in worker.running
        )
