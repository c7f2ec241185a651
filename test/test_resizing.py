import testtools

from toucanspring.scheduling import resizing


def candidates(empty=(), busy=()):
    return [
        *(resizing.Candidate(False, 0.0, name) for name in empty),
        *(resizing.Candidate(True, ends_at, name) for name, ends_at in busy),
    ]


class ResizingTest(testtools.TestCase):
    def choose(self, donor, found, counts, starving=(), current=2, **state):
        facts = {"has_jobs": False, "has_queue": False, **state}
        partition = resizing.Donor(donor, **facts)
        return resizing.choose_workers(partition, found, current, counts, starving)

    def test_a_surplus_partition_gives_up_empty_workers_once_its_jobs_have_ended(self):
        # Guards against workers that stay in a surplus partition forever.
        found = candidates(["w1", "w2"], [("w3", 5.0)])
        counts = {0: 4, 1: 2, 2: 3}
        self.assertEqual((1, ["w1", "w2"]), self.choose(2, found, counts))
        kept = self.choose(2, found, counts, has_jobs=True)
        self.assertEqual((1, ["w2"]), kept)

    def test_a_surplus_partition_with_a_queue_keeps_its_workers(self):
        # Guards against accepted jobs that no worker can run any more.
        found = candidates(["w1", "w2"])
        self.assertIsNone(self.choose(2, found, {2: 2}, has_jobs=True, has_queue=True))

    def test_a_starving_partition_gets_its_even_share_of_busy_workers(self):
        # Guards against new partitions that wait while the cell is full.
        found = candidates(["w4"], [("w1", 9.0), ("w2", 5.0), ("w3", 7.0)])
        chosen = self.choose(0, found, {0: 4}, starving=[1])
        self.assertEqual((1, ["w4", "w2"]), chosen)

    def test_busy_workers_move_only_to_a_partition_far_below_its_share(self):
        # Guards against partitions that drain each other's workers in turn.
        found = candidates([], [("w1", 9.0), ("w2", 5.0), ("w3", 7.0)])
        self.assertIsNone(self.choose(0, found, {0: 3, 1: 1}, starving=[1]))
        self.assertIsNone(self.choose(0, found, {0: 3, 1: 0}))
        self.assertIsNone(self.choose(0, found[:1], {0: 1, 1: 0}, starving=[1]))
