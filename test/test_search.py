import types

import testtools

from toucanspring import errors, job
from toucanspring.cell import layout
from toucanspring.owners import search

NAME = next(
    name
    for name in (f"job-{index}" for index in range(100))
    if len({job.partition_of(name, number) for number in (2, 3, 5)}) == 3
)
UNKNOWN = errors.NotFound(reason="none")


class SearchTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.stored = self.view = layout.VersionedLayout(
            layout.Layout(current=5, former=(2,)), 1
        )
        self.asked = []

    def reread(self):
        self.service.view = self.stored

    def find(self, holder):
        self.service = types.SimpleNamespace(view=self.view, reread=self.reread)

        def ask(number):
            self.asked.append(number)
            return number if holder() == number else UNKNOWN

        return search.find(self.service, NAME, ask)

    def test_work_that_moves_between_the_queries_is_found(self):
        # Guards against `NotFound` for a job that is handed over during the search.
        first, second = self.view.layout.possible_partitions(NAME)
        found = self.find(lambda: first if len(self.asked) > 2 else second)
        self.assertEqual(second, found)
        self.asked.clear()
        found = self.find(lambda: first if len(self.asked) > 1 else second)
        self.assertEqual(first, found)

    def test_an_unknown_layout_change_starts_another_round(self):
        # Guards against `NotFound` under a former partition count.
        self.stored = layout.VersionedLayout(layout.Layout(current=3, former=(2, 5)), 2)
        accepting = self.stored.layout.partition_of(NAME)
        self.assertEqual(accepting, self.find(lambda: accepting))
        self.assertEqual(UNKNOWN, self.find(lambda: None))

    def test_without_the_store_a_job_is_never_reported_as_not_found(self):
        self.reread = lambda: errors.Unavailable(reason="down")
        self.assertIsInstance(self.find(lambda: None), errors.Unavailable)
