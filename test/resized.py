"""Processes with real partitions on one table service; their number can change."""

import itertools
import types

import gevent

from test import fake_tables
from toucanspring import errors, job, kernel, resources
from toucanspring.cell import claims, layout, ownership_rows
from toucanspring.configuration import text
from toucanspring.owners import handover, log_records, partitions, roster

TEAM = text.Team("labels", "kernhalde", 1.0, resources.UNLIMITED)


class Service:
    def start(self):
        pass

    def stop(self):
        pass


class Peers(Service):
    def __init__(self, cell):
        self.cell = cell
        self.handlers = {}
        self.before = None  # runs once before the next call

    def handle(self, method, function):
        self.handlers[method] = function

    def call(self, process, method, envelope, _timeout_s, abandon=None):
        if self.before is not None:
            action, self.before = self.before, None
            action(method)
        if process in self.cell.dead:
            return errors.Unavailable(reason="dead")
        self.cell.calls.append(method)
        return self.cell.nodes[process].peers.handlers[method]("", envelope)


class Claims(Service):
    def __init__(self, node):
        self.node = node
        self.released = []

    def owned(self):
        owners = self.node.cell.owners.items()
        return {n: epoch for n, (name, epoch, _) in owners if name == self.node.name}

    def owner_of(self, number):
        name, epoch, _ = self.node.cell.owners[number]
        return claims.Owner(name, 1, epoch)

    def row_version(self, number):
        return self.node.cell.owners[number][2]

    def may_start(self, _number, _now):
        return True

    def release(self, number):
        self.released.append(number)


class Fleet(Service):
    def __init__(self):
        self.roster = roster.Roster()

    def assigned(self, _number):
        return {}

    def add_partition(self, *_args):
        pass

    def remove_partition(self, _number):
        pass


class Documents(Service):
    def cell(self):
        return text.Cell(teams={"labels": TEAM})

    def zones_out(self):
        return frozenset()

    def fresh(self, _now):
        return False  # no task starts, so jobs end only by `Cell.end`


class Members(Service):
    def watch(self, _keys, _take):
        pass

    def unwatch(self, _take):
        pass


class Node:
    """Run the partitions of one process; it sees layout changes only by `reread`."""

    def __init__(self, cell, name, count):
        self.cell, self.name = cell, name
        self.client = cell.shared.client()
        options = fake_tables.settings_of(name, partitions=count)
        self.kernel = core = kernel.Kernel()
        store = fake_tables.FakeStore(self.client)
        store.objects = types.SimpleNamespace(put=lambda *_: None)
        self.peers = Peers(cell)
        self.layout = layout.Service(core, options)
        self.partitions = partitions.Service(core, options)
        self.handover = handover.Service(core, options)
        for service, found in (
            ("store", store),
            ("peers", self.peers),
            ("membership", Members()),
            ("layout", self.layout),
            ("documents", Documents()),
            ("claims", Claims(self)),
            ("fleet", Fleet()),
            ("partitions", self.partitions),
            ("handover", self.handover),
        ):
            core.register(service, found)
        core.start()
        self.handover.stop()  # tests call `step`

    def acquire(self, number, epoch):
        self.kernel.publish(claims.PartitionAcquired(number, epoch))
        assert self.partitions.owned()[number].ready.wait(5)

    def submit(self, *names, **fields):
        specs = [spec(name, **fields) for name in names]
        return self.partitions.submit(specs)

    def change(self, number):
        found = self.layout.change(number, self.layout.layout.generation, "operator")
        assert isinstance(found, layout.Layout), found
        return found


class Cell:
    def __init__(self, *names, count=2):
        self.shared = fake_tables.FakeTables()
        self.dead, self.calls = set(), []
        self.owners = {}
        self.nodes = {name: Node(self, name, count) for name in names}
        self.claim_unowned(count)

    def __getitem__(self, name):
        return self.nodes[name]

    def claim_unowned(self, count):
        """Give each partition without an owner to one of the processes in turn."""
        for number, name in zip(range(count), itertools.cycle(self.nodes)):
            if number not in self.owners:
                self.claim(number, name)

    def claim(self, number, name):
        """Let a process claim a partition without the former owner's knowledge."""
        epoch = self.owners[number][1] + 1 if number in self.owners else 1
        key = ownership_rows.key_of(number)
        answer = self.shared.client().transact({}, {key: name.encode()}, ())
        self.owners[number] = (name, epoch, answer.versions[key])
        self.nodes[name].acquire(number, epoch)

    def reread(self, *names):
        for name in names or self.nodes:
            self.nodes[name].layout.reread()

    def change(self, number, *names):
        """Change the partition count; only the named processes, or all, read it."""
        names = names or tuple(self.nodes)
        self.nodes[names[0]].change(number)
        self.reread(*names)
        self.claim_unowned(number)

    def owner(self, number):
        return self.nodes[self.owners[number][0]].partitions.owned()[number]

    def end(self, *names):
        """Cancel waiting jobs, and wait until their outcome is in the log."""
        service = next(iter(self.nodes.values())).partitions
        answers = service.cancel(list(names))
        assert set(answers.values()) == {"cancelled"}, answers

        def ended(name):
            status = service.lookup(name)
            return status.outcome is not None

        assert fake_tables.wait_for(lambda: all(map(ended, names)))

    def accepted(self):
        """Return the partitions in whose logs each ID was accepted or begun."""
        found = {}
        for row in self.shared.client().scan("log/"):
            number = int(row.key.split("/")[1])
            for record in log_records.decode_batch(row.value).records:
                match record:
                    case log_records.Accepted(spec=accepted):
                        found.setdefault(accepted.id, []).append(number)
                    case log_records.RequestStarted(request_id=request_id):
                        found.setdefault(request_id, []).append(number)
        return found

    def step(self, times=1):
        for _ in range(times):
            for node in self.nodes.values():
                node.handover._next_removal = 0.0
                node.handover.step()
            gevent.sleep(0)

    def stop(self):
        for node in self.nodes.values():
            node.kernel.stop()


def spec(name, **fields):
    return job.JobSpec(
        id=name,
        name="proofs",
        team="labels",
        demand=resources.Resources(1000, 1000),
        **fields,
    )


def moved_id(*numbers):
    """Return an ID that each partition count maps to a different partition."""
    names = (f"job-{index}" for index in itertools.count())
    return next(
        name
        for name in names
        if len({job.partition_of(name, each) for each in numbers}) == len(numbers)
    )
