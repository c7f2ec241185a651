import collections

import testtools

from toucanspring.cell import assignment


class AssignmentTest(testtools.TestCase):
    def test_partitions_are_distributed_evenly(self):
        # Guards against idle processes while another owns several partitions.
        for partitions, processes in ((3, 9), (9, 9), (128, 9), (16, 3), (2, 1)):
            names = [f"p{index}" for index in range(processes)]
            load = collections.Counter(assignment.assign(partitions, names).values())
            self.assertEqual(partitions, sum(load.values()))
            self.assertTrue(max(load.values()) <= -(-partitions // processes))

    def test_without_processes_nothing_is_assigned(self):
        self.assertEqual({}, assignment.assign(3, []))
