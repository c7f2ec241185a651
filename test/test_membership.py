import collections
import functools

import testtools

from test import fake_cell


class HeartbeatRateTest(testtools.TestCase):
    """Count heartbeats of three processes in simulated time."""

    def setUp(self):
        super().setUp()
        self.cell = fake_cell.Cell(3)
        self.addCleanup(self.cell.stop)
        self.cell.run(5)

    def sent_in_4_s(self, check=None):
        """Return how often each process sent its heartbeats."""
        sent = collections.Counter()
        for name, node in self.cell.nodes.items():
            send = node.membership.send_heartbeats
            count = functools.partial(sent.update, [name])
            self.patch(
                node.membership,
                "send_heartbeats",
                lambda send=send, count=count: (count(), send()),
            )
        self.cell.run(4, check)
        return [sent[name] for name in self.cell.nodes]

    def test_every_other_heartbeat_is_skipped_in_the_steady_state(self):
        self.assertEqual([4, 4, 4], self.sent_in_4_s())

    def test_a_process_without_store_access_and_its_peers_send_all(self):
        # Guards against views that expire although a peer could confirm them.
        self.cell[1].client.down = True
        self.cell.run(2)
        node = self.cell[1]
        fresh = []
        sent = self.sent_in_4_s(
            lambda: fresh.append(node.documents.fresh(node.clock()))
        )
        self.assertEqual([8, 8, 8], sent)
        self.assertTrue(all(fresh))

    def test_a_process_that_misses_a_member_sends_all(self):
        # Guards against promises that expire because of one more lost heartbeat.
        self.cell.cuts.append({"p0", "p2"})
        self.cell.run(3)
        self.assertEqual([8, 4, 8], self.sent_in_4_s())

    def test_owners_stay_during_an_outage_that_begins_in_the_steady_state(self):
        # Guards against a lease that expires before the first promises arrive.
        owners = {p: self.cell.owners(p) for p in range(3)}
        for node in self.cell.nodes.values():
            node.client.down = True
        gaps = []

        def check():
            if {p: self.cell.owners(p) for p in range(3)} != owners:
                gaps.append(self.cell.now)

        self.cell.run(10, check)
        self.assertEqual([], gaps)
