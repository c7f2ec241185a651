"""A cell in controlled time: each step runs the due work of every process."""

import gevent

from test import fake_tables
from toucanspring import kernel
from toucanspring.cell import claims, layout, membership, ownership
from toucanspring.configuration import documents

STEP_S = 0.1


class NoGreenlets:
    """Keep a service from running its loops in real time."""

    def spawn(self, *_args):
        pass

    def kill(self):
        pass


class FakePeers:
    """Deliver notices between nodes at once, unless the pair is cut."""

    port = 1
    incarnation = 0

    def __init__(self, cell, name):
        self.cell = cell
        self.name = name
        self.handlers = {}

    def set_targets(self, targets):
        pass

    def handle(self, method, function):
        self.handlers[method] = function

    handle_notice = handle

    def notify(self, process, method, body):
        node = self.cell.nodes.get(process)
        if node is None or node.dead or {self.name, process} in self.cell.cuts:
            return False
        due = self.cell.now + self.cell.delay_s()
        node.inbox.append((due, self.name, method, body))
        return True

    def call(self, process, method, body, timeout_s, abandon=None):
        return self.cell.nodes[process].peers.handlers[method](self.name, body)


class Node:
    """Run the control services of one process without greenlets or sockets."""

    def __init__(self, cell, name, rate=1.0, partitions=3):
        self.cell = cell
        self.name = name
        self.rate = rate
        self.client = cell.shared.client()
        self.paused = self.dead = False
        self.inbox = []
        self.events = []
        self.steps = len(cell.nodes)  # spreads the work of the nodes over time
        settings = fake_tables.settings_of(name, partitions=partitions)
        self.kernel = kernel.Kernel()
        self.peers = FakePeers(cell, name)
        self.membership = membership.Service(self.kernel, settings, self.clock)
        self.membership._greenlets = NoGreenlets()
        # Nodes created within one microsecond would share an incarnation.
        cell.incarnations += 1
        self.set_incarnation(cell.incarnations)
        self.layout = layout.Service(self.kernel, settings, self.clock)
        self.documents = documents.Service(self.kernel, settings, fake_tables.parse)
        self.claims = claims.Service(self.kernel, settings)
        self.kernel.register("store", fake_tables.FakeStore(self.client))
        self.kernel.register("peers", self.peers)
        for event in (claims.PartitionAcquired, claims.PartitionLost):
            self.kernel.subscribe(event, self.events.append)
        for service in ("membership", "layout", "documents", "claims"):
            self.kernel.register(service, getattr(self, service))
            getattr(self, service).start()

    def set_incarnation(self, incarnation):
        own = self.membership.local_member
        own.identity = membership.msgspec.structs.replace(
            own.identity, incarnation=incarnation
        )
        self.membership.peer_tracker.incarnation = incarnation

    def clock(self):
        return 100.0 + self.cell.now * self.rate

    def step(self):
        if self.paused or self.dead:
            return
        # A paused process finds what has arrived meanwhile when it resumes.
        arrived = [each for each in self.inbox if each[0] <= self.cell.now]
        self.inbox = [each for each in self.inbox if each[0] > self.cell.now]
        for _, sender, method, body in arrived:
            self.peers.handlers[method](sender, body)
        self.steps += 1
        if self.steps % 5 == 0:
            self.membership.poll()
            self.membership.send_due_heartbeats()
        if self.steps % 10 == 3:
            self.membership._renew()

    def owns(self, partition):
        """Return whether this node would act as owner now."""
        return self.claims.may_start(partition, self.clock())

    def holds_lease(self):
        """Return whether the lease in the store is valid."""
        state = self.membership.lease_state(self.clock())
        return state is ownership.LeaseState.HELD

    def kill(self):
        self.dead = True
        self.documents.stop()


class Cell:
    def __init__(self, count, partitions=3, rates=None):
        self.now = 0.0
        self.shared = fake_tables.FakeTables()
        self.cuts = []
        self.delay_s = lambda: 0.0
        self.incarnations = 0
        self.nodes = {}
        for index in range(count):
            rate = rates[index] if rates else 1.0
            self.add(f"p{index}", rate, partitions)

    def __getitem__(self, index):
        return self.nodes[f"p{index}"]

    def add(self, name, rate=1.0, partitions=3):
        self.nodes[name] = Node(self, name, rate, partitions)
        return self.nodes[name]

    def run(self, seconds, check=None):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for node in list(self.nodes.values()):
                node.step()
            gevent.sleep(0)  # lets documents be fetched
            if check is not None:
                check()

    def run_until(self, condition, limit_s=30.0):
        """Return the seconds until a condition holds, or `None`."""
        started = self.now
        while self.now - started < limit_s:
            if condition():
                return self.now - started
            self.run(STEP_S)
        return None

    def owners(self, partition):
        return [node.name for node in self.nodes.values() if node.owns(partition)]

    def inject_fault(self, rng):
        nodes = list(self.nodes.values())
        node = rng.choice(nodes)
        row = f"members/{node.name}"
        match rng.randrange(8):
            case 0:
                node.client.down = True
            case 1:
                node.paused = True
            case 2:
                self.cuts.append({node.name, rng.choice(nodes).name})
            case 3:
                node.client.lose[row] = rng.randrange(3)
            case 4:
                node.client.drop[row] = rng.randrange(3)
            case 5:
                node.client.late[row] = 1
            case 6:
                for each in nodes:
                    each.client.down = True
            case 7 if rng.random() < 0.3:
                node.kill()
                self.add(node.name, node.rate)

    def heal(self, rng, share=0.5):
        for node in self.nodes.values():
            if rng.random() < share:
                node.client.down = False
            if rng.random() < share:
                node.paused = False
            if rng.random() < share:
                node.client.deliver_late()
                node.client.kept_back.clear()
        if rng.random() < share:
            self.cuts.clear()

    def heal_all(self, rng):
        self.heal(rng, share=2)
        for node in self.nodes.values():
            for failures in (node.client.lose, node.client.drop, node.client.late):
                failures.clear()

    def stop(self):
        for node in self.nodes.values():
            node.kill()


def make_drifting_cell(count, rng):
    """Return a cell with drifting clocks and delayed messages."""
    # Two clocks differ by less than 5%.
    cell = Cell(count, rates=[rng.uniform(0.976, 1.024) for _ in range(count)])
    cell.delay_s = lambda: rng.choice([0, 0, 0, 0.2, 0.9])
    return cell
