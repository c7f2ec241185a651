import testtools

from toucanspring.adapters import tables
from toucanspring.owners import roster


def row(version, **partitions):
    return tables.Row(version, roster.encode(partitions))


class RosterTest(testtools.TestCase):
    def test_an_older_read_changes_nothing(self):
        # Guards against a worker that returns to the owner that moved it away.
        found = roster.Roster()
        found.apply_row(row(5, a=1), 1.0)
        found.apply_row(row(4, a=0), 2.0)
        self.assertEqual({"a": 1}, found.partitions)

    def test_a_move_is_noted_for_both_partitions_and_the_worker(self):
        found = roster.Roster()
        found.apply_row(row(3, a=0, b=0, c=2), 1.0)
        found.apply_row(row(5, a=1, b=0, c=2), 2.0)
        self.assertEqual({0: 5, 1: 5, 2: 3}, found.changed_at)
        self.assertEqual({"a": 2.0}, found.moved_at)
