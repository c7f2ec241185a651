"""Copies of large tables over slow links and through failures of single reads."""

import types

import gevent
import testtools

from standins import rowstore
from toucanspring import errors
from toucanspring.coordinator import ports, rows, table_cache

TABLE = "t"
PAYLOAD_BYTES = 4000  # the largest that callers send
# A link of 5 Mbit/s and a timeout of 1.2 s, both four times as fast.
LINK_BYTES_PER_S = 2_500_000
READ_TIMEOUT_S = 0.3
FAILURE = errors.Unavailable(reason="no answer in time")


class LargeTableTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = rowstore.MemoryStore()
        self.seen = []
        self.cache = table_cache.TableCache(self.store, TABLE, self.seen.append)
        self.addCleanup(self.cache.close)

    def put(self, key, part="", value=b"x"):
        row_id = ports.RowId(TABLE, part, key)
        self.store.put(row_id, value)
        return row_id

    def poll_until_read(self, limit_s=20.0):
        with gevent.Timeout(limit_s, AssertionError("the table was not read")):
            while self.cache.poll() is not None or self.cache.unread_parts:
                gevent.sleep(0.01)

    def fail_reads(self, is_failing):
        """Fail the reads for which `is_failing(part, start)`; return all reads."""
        read, calls = self.store.read, []

        def call(table, part, start="", *rest, **options):
            calls.append((part, start))
            if is_failing(part, start):
                return FAILURE
            return read(table, part, start, *rest, **options)

        self.store.read = call
        return calls

    # Guards against loads that fail for ever, since no page arrives within the timeout.
    def test_a_table_is_read_over_a_link_too_slow_for_a_large_page(self):
        for number in range(600):
            self.put(f"{number:04}", f"{number % 4}", b"x" * PAYLOAD_BYTES)
        self.store.bytes_per_s = LINK_BYTES_PER_S
        self.store.read_timeout_s = READ_TIMEOUT_S
        self.poll_until_read()
        self.assertEqual(600, len(self.cache.rows))

    # Guards against pages of several rows that are too large together.
    def test_a_table_of_large_rows_is_read_over_a_slow_link(self):
        for number in range(24):
            self.put(f"{number:04}", f"{number % 4}", b"x" * 60_000)
        self.store.bytes_per_s = LINK_BYTES_PER_S
        self.store.read_timeout_s = READ_TIMEOUT_S
        self.poll_until_read()
        self.assertEqual(24, len(self.cache.rows))

    # Guards against a load that starts again with each failed page.
    def test_a_failed_page_is_read_again_and_the_others_are_kept(self):
        for number in range(1000):
            self.put(f"{number:04}", "p")
        failing = [True, True]
        calls = self.fail_reads(
            lambda part, start: part == "p" and start > "0400" and bool(failing)
            and failing.pop()
        )  # fmt: skip
        self.poll_until_read()
        self.assertEqual(1000, len(self.cache.rows))
        starts = [start for part, start in calls if part == "p"]
        self.assertEqual(2, len(starts) - len(set(starts)))

    # Guards against an accepted job that the coordinator never sees: its part held no
    # rows when the parts were listed, and its row is older than the other reads.
    def test_a_row_in_a_new_part_is_found_although_the_parts_are_listed_before(self):
        self.put("a", "1")
        parts = self.store.parts

        def write_after_listing(table):
            found = parts(table)
            self.put("b", "2")
            return found

        self.store.parts = write_after_listing
        self.cache.poll()
        self.store.parts = parts
        self.cache.poll()
        self.assertEqual({"a", "b"}, {row_id.key for row_id in self.cache.rows})

    # Guards against a removed job that is added again from a page read before.
    def test_a_removed_row_does_not_return_from_a_kept_page(self):
        removed = self.put("0000", "p")
        for number in range(1, 1000):
            self.put(f"{number:04}", "p")
        failing = [True]
        self.fail_reads(lambda _part, start: bool(start and failing))
        self.cache.poll()
        self.assertEqual({"p"}, self.cache.unread_parts)
        self.store.remove(removed)
        self.cache.poll()
        failing.clear()
        self.cache._read_missing_parts()
        self.assertEqual(frozenset(), self.cache.unread_parts)
        self.assertEqual(999, len(self.cache.rows))
        self.assertNotIn(removed, self.cache.rows)

    # Guards against a high price of small pages: 838 jobs in 32 parts and their copies.
    def test_the_load_of_a_grown_site_takes_few_calls(self):
        for number in range(838):
            self.put(f"{number:04}", f"{number % rows.JOB_PARTS}", b"x" * 270)
            self.put(f"{number:04}", rows.COORDINATOR_PART, b"x" * 270)
        self.poll_until_read()
        self.assertEqual(2 * 838, len(self.cache.rows))
        self.assertLessEqual(self.store.reads, 45)


class FeedBehindTest(testtools.TestCase):
    """A feed with more changes than arrive in time is never caught up with."""

    MAX_CHANGES = 10  # that arrive in time
    TIMEOUT_S = 2.0

    def setUp(self):
        super().setUp()
        self.store = rowstore.MemoryStore()
        self.now = 0.0
        self.follows = 0
        self._follow, self.store.follow = self.store.follow, self.follow
        self.cache = table_cache.TableCache(
            self.store, TABLE, lambda _row: None, clock=lambda: self.now
        )
        self.addCleanup(self.cache.close)
        self.silent = False
        self.put(range(20))
        self.assertIsNone(self.cache.poll())

    def follow(self, table, after, wait_s, answer_timeout_s=None):
        self.follows += 1
        answer = self._follow(table, after, 0.0)
        many = isinstance(answer, ports.Changes) and len(answer.rows) > self.MAX_CHANGES
        if self.silent or many:
            self.now += self.TIMEOUT_S
            return FAILURE
        return answer

    def put(self, numbers):
        for number in numbers:
            row_id = ports.RowId(TABLE, f"{number % 2}", f"{number:04}")
            self.store.put(row_id, b"x" * 3000)

    def remove(self, number):
        self.store.remove(ports.RowId(TABLE, f"{number % 2}", f"{number:04}"))

    def poll(self, times):
        return [self.cache.poll() for _ in range(times)]

    def test_a_table_is_read_again_after_two_follows_without_an_answer(self):
        self.put(range(100, 200))
        self.remove(3)
        self.poll(4)
        self.assertEqual(self.store.rows, self.cache.rows)
        self.assertEqual(self.now, self.cache.synced_at)

    def test_an_outage_that_refuses_calls_causes_no_reads(self):
        reads = self.store.reads
        self.store.reachable = False
        self.poll(10)
        self.assertEqual((10, reads), (self.follows, self.store.reads))

    def test_a_silent_outage_is_followed_by_changes_alone(self):
        reads = self.store.reads
        self.silent, self.store.reachable = True, False
        self.poll(13)
        # Two calls to follow, then a read and a call to follow in turn.
        self.assertEqual((7, 6), (self.follows, self.store.reads - reads))
        self.silent, self.store.reachable = False, True
        self.put([300])
        self.remove(4)
        reads = self.store.reads
        self.poll(2)
        self.assertEqual(self.store.rows, self.cache.rows)
        self.assertEqual(reads, self.store.reads)

    def test_rows_removed_from_a_part_that_is_read_late_are_removed(self):
        self.put(range(100, 200))
        self.remove(3)
        self.store.parts_down = {"1"}
        self.poll(3)
        self.assertEqual({"1"}, self.cache.unread_parts)
        self.store.parts_down = set()
        self.cache._read_missing_parts()
        self.poll(1)
        self.assertEqual(self.store.rows, self.cache.rows)
        self.assertEqual(frozenset(), self.cache.unread_parts)

    def test_pages_that_were_read_are_kept_while_the_table_is_read_again(self):
        self.put(range(100, 500))
        read, starts = self.store.read, []
        failing = {"0": 1, "1": 1}

        def call(table, part, start="", *rest, **options):
            starts.append((part, start))
            if start and failing.get(part):
                failing[part] -= 1
                return FAILURE
            return read(table, part, start, *rest, **options)

        self.store.read = call
        self.poll(3)
        while self.cache.unread_parts:
            self.cache._read_missing_parts()
        self.poll(1)
        self.assertEqual(self.store.rows, self.cache.rows)
        self.assertEqual(2, len(starts) - len(set(starts)))


class RetryTest(testtools.TestCase):
    # Guards against a cell whose processes all wait for the same retry after an outage
    # of the store, and then read at the same moment.
    def test_copies_that_fail_together_retry_at_different_times(self):
        store = rowstore.MemoryStore()
        store.parts = lambda _table: FAILURE
        first, second = self.find_pauses(store), self.find_pauses(store)
        self.assertNotEqual(first, second)
        for pause in [*first, *second]:
            self.assertLessEqual(pause, table_cache.RETRY_MAX_S)
            self.assertGreater(pause, 0.0)

    def find_pauses(self, store, count=6):
        """Return the pauses between the attempts of one copy to read its table."""
        pauses = []

        def sleep(seconds):
            pauses.append(seconds)
            if len(pauses) == count:
                raise gevent.GreenletExit

        fake = types.SimpleNamespace(sleep=sleep, spawn=gevent.spawn)
        self.patch(table_cache, "gevent", fake)
        cache = table_cache.TableCache(store, TABLE, lambda _row: None)
        self.assertRaises(gevent.GreenletExit, cache._run)
        return pauses


class ReturningStoreTest(testtools.TestCase):
    """The store gives no answer for some seconds, then answers at once again."""

    TIMEOUT_S = 1.2  # of an answer
    ANSWER_S = 0.004
    OUTAGE = (1.0, 5.0)

    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.store = rowstore.MemoryStore()
        self._follow, self.store.follow = self.store.follow, self.follow
        self._read, self.store.read = self.store.read, self.read
        self._parts, self.store.parts = self.store.parts, self.parts
        self.cache = table_cache.TableCache(
            self.store, TABLE, lambda _row: None, clock=lambda: self.now
        )
        self.addCleanup(self.cache.close)

    def is_silent(self, timeout_s):
        """Return whether a call gets no answer; let its time pass."""
        silent = self.OUTAGE[0] <= self.now < self.OUTAGE[1]
        self.now += timeout_s if silent else self.ANSWER_S
        return silent

    def follow(self, table, after, wait_s, answer_timeout_s=None):
        limit_s = self.TIMEOUT_S if answer_timeout_s is None else answer_timeout_s
        if self.is_silent(wait_s + limit_s):
            return FAILURE
        self.now += wait_s  # nothing changes
        return self._follow(table, after, 0.0)

    def read(self, *args, **options):
        silent = self.is_silent(self.TIMEOUT_S)
        return FAILURE if silent else self._read(*args, **options)

    def parts(self, table):
        return FAILURE if self.is_silent(self.TIMEOUT_S) else self._parts(table)

    # Guards against callers that are refused for up to two seconds after an outage: the
    # call under way had the longest timeout, and the next one waited for a change.
    def test_the_copy_is_current_soon_after_the_outage(self):
        delays = []
        for shift in range(20):
            self.now, self.OUTAGE = 0.0, (1.0, 4.0 + shift / 10)
            while self.cache.synced_at < self.OUTAGE[1]:
                if self.cache.poll() is not None:
                    self.now += table_cache.RETRY_MAX_S
            delays.append(self.now - self.OUTAGE[1])
            self.cache.synced_at = float("-inf")
        self.assertLess(sum(delays) / len(delays), 0.8)
        self.assertLess(max(delays), 1.7)
