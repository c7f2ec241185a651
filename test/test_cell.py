import testtools

from test import fake_tables
from toucanspring import errors


class CellTest(testtools.TestCase):
    def test_processes_share_partitions_and_a_configuration(self):
        shared = fake_tables.FakeTables()
        cell = [fake_tables.Process(f"p{i}", shared.client()) for i in range(3)]
        for each in cell:
            self.addCleanup(each.kernel.stop)
        self.assertTrue(
            fake_tables.wait_for(lambda: all(len(p.claims.owned()) == 1 for p in cell))
        )
        self.assertTrue(
            fake_tables.wait_for(
                lambda: all(len(p.membership.reachable()) == 3 for p in cell)
            )
        )
        self.assertEqual(1, cell[0].documents.apply("one", 0, "operator"))
        self.assertTrue(
            fake_tables.wait_for(lambda: all(p.documents.cell() == "one" for p in cell))
        )
        conflict = cell[1].documents.apply("two", 0, "operator")
        self.assertIsInstance(conflict, errors.Conflict)
        self.assertEqual((1, 0), (conflict.current_version, conflict.given_version))
        granted = cell[2].documents.grant_key("team", "operator")
        self.assertTrue(
            fake_tables.wait_for(lambda: all(p.documents.keys() for p in cell))
        )
        self.assertEqual("team", cell[0].documents.check_key(granted.secret).team)
        print(cell[0].documents.confirmations(1), cell[0].documents.history())
