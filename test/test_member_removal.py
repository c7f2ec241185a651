import gevent
import testtools

from test import fake_cell
from toucanspring import errors
from toucanspring.cell import member_rows
from toucanspring.configuration import confirmation

CHANGE_RUN_S = 60


class MemberRemovalTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(confirmation, "LIMIT_S", 1.0)
        self.cell = fake_cell.Cell(3, partitions=1)
        self.addCleanup(self.cell.stop)
        self.cell.run(6)

    def replace_all(self):
        """Kill all processes and start others under new names."""
        former = list(self.cell.nodes)
        for node in list(self.cell.nodes.values()):
            node.kill()
        self.cell.nodes.clear()
        added = [self.cell.add(f"new{index}", partitions=1) for index in range(3)]
        self.assertIsNotNone(self.cell.run_until(lambda: self.cell.owners(0)))
        self.cell.run(12)
        return former, added

    def owner(self):
        return self.cell.nodes[self.cell.owners(0)[0]]

    def change(self, node, zone):
        """Change a document while the other processes run.

        They run for a fixed simulated time, well below the one after which destroyed
        processes count as gone. The wait for confirmations ends by real time, in which
        a fast machine simulates more than that.
        """
        changing = gevent.spawn(node.documents.set_zone, zone, True, "operator")
        for _ in range(CHANGE_RUN_S):
            if changing.ready():
                break
            self.cell.run(1.0)
        return changing.get()

    def former_is_gone(self):
        owner = self.owner()
        return owner.claims.previous_owner_gone(0, owner.clock())

    def test_a_confirmation_ends_the_wait_for_destroyed_processes(self):
        # Guards against work and changes that are blocked for half an hour after all
        # processes were destroyed and replaced under other names.
        former, added = self.replace_all()
        self.cell.run(60)
        self.assertFalse(self.former_is_gone())
        self.assertIsInstance(self.change(added[0], "a"), errors.Ambiguous)
        for name in former:
            self.assertIsNone(added[1].membership.confirm_gone(name))
        self.cell.run(2)
        self.assertTrue(self.former_is_gone())
        self.assertIsInstance(self.change(added[0], "b"), int)

    def test_half_of_the_former_member_list_is_needed(self):
        # Guards against one confirmation that ends the wait for a live majority.
        former, added = self.replace_all()
        added[0].membership.confirm_gone(
            next(name for name in former if name != self.former_owner(added))
        )
        self.cell.run(2)
        self.assertFalse(self.former_is_gone())

    def former_owner(self, added):
        rows = added[0].membership.rows
        return next(name for name, (_, row) in rows.items() if row.settled)

    def test_a_live_process_cannot_be_confirmed(self):
        # Guards against an operator's mistake that gives a partition two owners.
        first, second, third = self.cell.nodes.values()
        for name in (first.name, second.name):
            result = first.membership.confirm_gone(name)
            self.assertIsInstance(result, errors.Refused)
        # Unreachable for this process, but renewing its row.
        self.cell.cuts.append({first.name, third.name})
        self.cell.run(5)
        self.assertIsInstance(first.membership.confirm_gone(third.name), errors.Refused)
        result = first.membership.confirm_gone("other")
        self.assertIsInstance(result, errors.NotFound)

    def test_a_process_that_resumes_after_its_confirmation_is_fenced(self):
        # Guards against a VM that was only paused when it was confirmed to be gone.
        owner = self.owner()
        owner.paused = True
        self.assertIsNotNone(
            self.cell.run_until(lambda: self.cell.owners(0) not in ([], [owner.name]))
        )
        successor = self.owner()
        self.cell.run(3)
        self.assertIsNone(successor.membership.confirm_gone(owner.name))
        owner.paused = False
        self.cell.run(5)
        self.assertTrue(owner.membership.replaced)
        self.assertEqual([successor.name], self.cell.owners(0))
        self.assertNotIn(owner.name, successor.membership.members())

    def test_a_confirmation_with_a_lost_response_takes_effect(self):
        # Guards against an error for a confirmation that took effect.
        former, added = self.replace_all()
        key = member_rows.key_of(former[0])
        for failure in (added[0].client.lose, added[0].client.drop):
            failure[key] = 1
            self.assertIsNone(added[0].membership.confirm_gone(former[0]))
        self.assertTrue(member_rows.decode_row(self.cell.shared.rows[key]).gone)

    def test_a_new_process_takes_over_a_confirmed_name(self):
        former, _added = self.replace_all()
        self.assertIsNone(self.owner().membership.confirm_gone(former[0]))
        self.cell.incarnations += 10
        returned = self.cell.add(former[0], partitions=1)
        self.cell.run(4)
        self.assertFalse(returned.membership.replaced)
        self.assertIn(former[0], self.owner().membership.members())
