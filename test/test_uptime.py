import ast
import pathlib
import time
import types

import testtools

from standins import rowstore
from toucanspring import uptime
from toucanspring.coordinator import fenced_writer, leader_lease, rows, table_cache

ROOT = pathlib.Path(__file__).resolve().parent.parent


class Machine:
    """A machine whose steady clock stands still while it is suspended."""

    def __init__(self):
        self.running_s = self.suspended_s = 0.0

    def clock_gettime(self, clock):
        suspended_s = self.suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
        return self.running_s + suspended_s


class UptimeTest(testtools.TestCase):
    """A machine that was suspended must not act on what has run out meanwhile."""

    def setUp(self):
        super().setUp()
        self.machine = Machine()
        self.patch(
            uptime, "time", types.SimpleNamespace(
                clock_gettime=self.machine.clock_gettime
            )
        )  # fmt: skip
        # The store is on another machine, which goes on.
        self.store = rowstore.MemoryStore(
            clock=lambda: self.machine.running_s + self.machine.suspended_s
        )

    def acquire(self):
        acquired = leader_lease.acquire(self.store, "one", "127.0.0.1:1", "a")
        self.assertIsInstance(acquired, leader_lease.Acquired)
        return acquired

    def test_the_time_of_a_suspension_counts(self):
        before = uptime.now()
        self.machine.running_s += 1.0
        self.machine.suspended_s += 5.0
        self.assertEqual(6.0, uptime.now() - before)

    def test_a_lease_has_run_out_after_a_suspension(self):
        acquired = self.acquire()
        writer = fenced_writer.FencedWriter(
            self.store, acquired, acquired.find_store_clock()
        )
        self.assertTrue(writer.holds_lease(uptime.now()))
        self.machine.suspended_s += 5.0
        self.assertFalse(writer.holds_lease(uptime.now()))
        self.assertGreater(writer.overdue_s(uptime.now()), 2.0)

    def test_a_lease_that_is_renewed_after_a_suspension_lasts(self):
        acquired = self.acquire()
        writer = fenced_writer.FencedWriter(
            self.store, acquired, acquired.find_store_clock()
        )
        self.machine.suspended_s += 5.0
        self.assertIsNone(writer.commit({}))
        self.assertTrue(writer.holds_lease(uptime.now()))
        found = leader_lease.acquire(self.store, "two", "127.0.0.1:2", "b")
        self.assertIsInstance(found, leader_lease.HeldByOther)

    def test_a_copy_is_as_old_as_the_suspension(self):
        cache = table_cache.TableCache(self.store, rows.JOBS, lambda _row: None)
        self.assertIsNone(cache.load())
        self.assertLess(cache.age(uptime.now()), 1.0)
        self.machine.suspended_s += 5.0
        self.assertGreaterEqual(cache.age(uptime.now()), 5.0)

    def test_no_module_reads_the_clock_that_stands_still(self):
        found = [
            f"{path.relative_to(ROOT)}:{node.lineno}"
            for package in ("toucanspring", "platform")
            for path in sorted((ROOT / package).rglob("*.py"))
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Attribute)
            and node.attr in ("monotonic", "monotonic_ns", "perf_counter")
        ]
        self.assertEqual([], found)
