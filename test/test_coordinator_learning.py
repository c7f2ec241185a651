"""Tests of the log lines and gauges of learned speeds and run times."""

import logbook
import testtools

from test import coordinator_case as case
from toucanspring.coordinator import learning


class LearningTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        entries = [
            case.entry(f"w{n}", labels=frozenset({"b" if n % 3 else "a"}))
            for n in range(12)
        ]
        self.cell = case.new_cell(*entries)
        self.learning = learning.Learning(self.cell, 7)

    def log(self, now):
        with logbook.TestHandler() as handler:
            self.learning.log(now)
        return [each.message for each in handler.records]

    def test_classes_are_logged_when_their_number_changes(self):
        # Guards against a line for each sample; the log drops lines under load.
        self.assertEqual([], self.log(1.0))
        for _ in range(100):
            for worker in self.cell.workers.values():
                speed = 1.7 if "a" in worker.entry.labels else 0.7
                self.cell.speeds.observe(worker.id, worker.kind, speed)
        self.assertEqual(["speeds_learned"], self.log(1.1))
        self.assertEqual([], self.log(1.2))
        self.assertEqual(2, self.learning.measure()["speed_classes"])

    def test_run_times_are_logged_now_and_then(self):
        self.cell.run_times.observe(case.QUEUE, 1.0, 2.0)
        self.assertEqual(["run_times_learned"], self.log(100.0))
        self.assertEqual([], self.log(101.0))
        later = 100.0 + learning.RUN_TIMES_LOG_INTERVAL_S
        self.assertEqual(["run_times_learned"], self.log(later))
