import collections

import testtools

from toucanspring.cell import assignment


class AssignmentTest(testtools.TestCase):
    def test_partitions_spread_evenly(self):
        # Guards against idle processes beside one that owns several partitions.
        for partitions, processes in ((3, 9), (9, 9), (128, 9), (16, 3), (2, 1)):
            names = [f"p{index}" for index in range(processes)]
            load = collections.Counter(assignment.assign(partitions, names).values())
            self.assertEqual(partitions, sum(load.values()))
            self.assertTrue(max(load.values()) <= -(-partitions // processes))

    def test_nobody_is_preferred_without_processes(self):
        self.assertEqual({}, assignment.assign(3, []))
