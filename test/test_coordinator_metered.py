"""Counters and histograms of calls, as the metrics address shows them."""

import testtools

from standins import lease_workers, rowstore
from test import coordinator_case as case
from toucanspring import metrics
from toucanspring.coordinator import metered, ports

PLACE = ports.RowId("t", "", "a")


class MeteredTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.registry = metrics.Service(None, None)
        self.meters = metered.Meters(self.registry)

    def shown(self):
        return self.registry.render().decode()

    def test_calls_are_counted_by_outcome(self):
        inner = rowstore.MemoryStore()
        store = metered.Store(inner, self.meters)
        self.assertIsInstance(store.transact({}, {PLACE: b"1"}), ports.Committed)
        self.assertEqual(1, len(store.read("t", "").rows))
        inner.reachable = False
        store.read("t", "")
        lines = self.shown()
        for outcome in ("done", "Unavailable"):
            self.assertIn(
                f'operation="read",outcome="{outcome}",target="store"}} 1', lines
            )
        count = 'toucanspring_call_seconds_count{operation="read",target="store"} 2'
        self.assertIn(count, lines)

    def test_a_wait_for_an_event_has_no_latency(self):
        store = metered.Store(rowstore.MemoryStore(), self.meters)
        store.follow("t", 0, 0.01)
        lines = self.shown()
        self.assertIn('operation="follow t",outcome="done"', lines)
        self.assertNotIn('call_seconds_count{operation="follow t"', lines)

    def test_orders_to_workers_are_counted(self):
        inner = lease_workers.LeaseWorkers()
        entry = case.entry("w1")
        inner.add(entry)
        workers = metered.Workers(inner, self.meters)
        self.assertIsInstance(workers.poll(entry, 1, 0, None, 0), ports.PollReply)
        self.assertIn(
            'operation="look",outcome="done",target="worker"} 1', self.shown()
        )

    def test_rounds_and_gauges_are_shown(self):
        self.meters.count_round(3, 0.01)
        self.meters.count_round(0, 0.01)
        self.meters.set_gauges({"jobs": 7})
        lines = self.shown()
        self.assertIn("toucanspring_runs_placed_total 3", lines)
        self.assertIn("toucanspring_round_seconds_count 2", lines)
        self.assertIn('toucanspring_coordinator{name="jobs"} 7', lines)
