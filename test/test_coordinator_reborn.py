"""Workers that restart under their ID as others."""

import testtools

from test import coordinator_case as case
from toucanspring.coordinator import planner

JOB = "0" * 16


class OtherKindTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cell = case.new_cell()
        self.cell.accept(case.job(JOB, case.step(1, required_label="a")), 1.0)
        self.planner = planner.Planner(self.cell)

    def plan(self, now):
        return self.planner.plan(now).starts

    # Guards against a start on a worker that has come back without the label: its
    # answer to a poll is known before its new entry.
    def test_nothing_starts_on_a_worker_whose_entry_is_of_an_earlier_incarnation(self):
        case.poll(self.cell, "w1", now=1.1, incarnation=2)
        self.assertEqual([], self.plan(1.2))
        entry = case.entry("w1", incarnation=2, labels=frozenset({"b"}))
        self.cell.register_worker(entry)
        self.assertEqual([], self.plan(1.3))

    def test_a_worker_is_used_once_its_entry_is_known(self):
        case.poll(self.cell, "w1", now=1.1, incarnation=2)
        self.cell.register_worker(case.entry("w1", incarnation=2))
        self.assertEqual(1, len(self.plan(1.3)))

    # As above; the entry is known first, and tasks of the former incarnation with it.
    def test_nothing_starts_before_the_incarnation_of_the_entry_has_answered(self):
        self.cell.register_worker(case.entry("w1", incarnation=2))
        self.assertEqual([], self.plan(1.1))
        case.poll(self.cell, "w1", now=1.2, incarnation=2)
        self.assertEqual(1, len(self.plan(1.3)))

    def test_an_entry_without_an_incarnation_is_used(self):
        self.cell.register_worker(case.entry("w1", incarnation=0))
        self.assertEqual(1, len(self.plan(1.1)))
