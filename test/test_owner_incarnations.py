"""Orders of the owner of a partition to a worker that has restarted under its ID."""

import gevent

from test import partition_case
from toucanspring.owners import worker_link


class RestartTest(partition_case.PartitionCase):
    """The link has attached to a new incarnation, of which the owner does not know."""

    def restart(self):
        """Attach the link anew; the messages of it still wait for the owner."""
        self.fleet.found["w1"].incarnation = 2

    def notify(self):
        self.owner.post(worker_link.Disconnected("w1", []))
        self.attach(self.owner, incarnation=2)

    # Guards against a start on a worker whose capacity and zone are of the incarnation
    # before.
    def test_a_start_waits_until_the_owner_knows_the_incarnation(self):
        self.attach(self.owner)
        self.wait(lambda: self.owner.attached_workers())
        self.restart()
        self.submit(self.owner, "a")
        gevent.sleep(0.1)
        self.assertEqual([], self.fleet.found["w1"].started)
        self.notify()
        self.wait(lambda: self.fleet.found["w1"].started == ["a/0"])

    # Guards against results that are deleted although the incarnation that has them
    # never reported them.
    def test_results_of_the_former_incarnation_are_not_acknowledged(self):
        self.attach(self.owner)
        self.submit(self.owner, "a")
        self.wait(lambda: self.fleet.found["w1"].started == ["a/0"])
        self.restart()
        self.finish(self.owner, "a/0")
        self.wait(lambda: self.state(self.owner, "a") is not None)
        gevent.sleep(0.1)
        self.assertEqual([], self.fleet.found["w1"].acknowledged)
