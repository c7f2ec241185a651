"""Job writes, table caches, the leader lease and fenced writes on a faulty store."""

import gevent
import testtools
from gevent import event

from standins import rowstore
from test import coordinator_case as case
from toucanspring import errors, uptime
from toucanspring.coordinator import (
    fenced_writer,
    job_specs,
    job_writer,
    leader_lease,
    ports,
    rows,
    table_cache,
)


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class FindJobTest(testtools.TestCase):
    JOB = "0" * 16

    def setUp(self):
        super().setUp()
        self.store = rowstore.MemoryStore()
        self.calls = []
        self.read = self.store.read
        self.store.read = self.record

    def record(self, table, part, *rest, **options):
        self.calls.append(part)
        return self.read(table, part, *rest, **options)

    def put(self, number):
        row_id = [*rows.job_row_ids(self.JOB), rows.job_copy_row_id(self.JOB)][number]
        self.store.put(row_id, b"x")
        return row_id

    def test_a_job_in_its_first_row_takes_one_read(self):
        row_id = self.put(0)
        self.assertEqual(row_id, rows.find_job(self.store, self.JOB).id)
        self.assertEqual([row_id.part], self.calls)

    # Guards against a status request that ends without an answer, since parts that are
    # down use up the timeout of one read after the other.
    def test_the_other_rows_are_read_at_the_same_time(self):
        all_asked = event.Event()

        def wait_for_others(table, part, *rest, **options):
            found = self.record(table, part, *rest, **options)
            if len(self.calls) == 1 + rows.PARTS_PER_JOB:
                all_asked.set()
            if len(self.calls) > 1:
                all_asked.wait(2.0)
            return found

        self.store.read = wait_for_others
        row_id = self.put(2)
        self.assertEqual(row_id, rows.find_job(self.store, self.JOB).id)
        self.assertTrue(all_asked.is_set())

    def test_a_job_is_unknown_only_if_all_its_rows_were_read(self):
        self.assertIsInstance(rows.find_job(self.store, self.JOB), errors.NotFound)
        for row_id in (*rows.job_row_ids(self.JOB), rows.job_copy_row_id(self.JOB)):
            self.store.parts_down = {row_id.part}
            found = rows.find_job(self.store, self.JOB)
            self.assertIsInstance(found, errors.Unavailable)


class JobWriterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = rowstore.MemoryStore()
        self.writer = job_writer.JobWriter(self.store)
        self.writer.__enter__()
        self.addCleanup(self.writer.__exit__)

    def stored(self):
        """Return the IDs of the stored jobs; one may be stored in several rows."""
        found = {
            rows.decode(job_specs.Job, row.value).id for row in self.store.rows.values()
        }
        return sorted(found)

    def test_a_job_is_accepted_once_it_is_stored(self):
        self.assertIsNone(self.writer.accept(case.job(), 1.0))
        self.assertEqual(["0" * 16], self.stored())

    def test_a_repeat_is_accepted_and_stored_once(self):
        self.writer.accept(case.job(), 1.0)
        self.assertIsNone(self.writer.accept(case.job(accepted_at_ms=9), 1.0))
        self.assertEqual(["0" * 16], self.stored())

    def test_another_job_of_the_same_id_is_refused(self):
        self.writer.accept(case.job(), 1.0)
        answer = self.writer.accept(case.job(payload="other"), 1.0)
        self.assertIsInstance(answer, errors.Conflict)

    def test_a_lost_reply_is_resolved_by_a_retry(self):
        self.store.lose_answers = 1
        self.assertIsNone(self.writer.accept(case.job(), 1.0))
        self.assertEqual(["0" * 16], self.stored())

    def test_a_job_is_not_accepted_if_the_store_refuses(self):
        self.store.reachable = False
        answer = self.writer.accept(case.job(), 1.0)
        self.assertIsInstance(answer, errors.Unavailable)
        self.store.reachable = True
        gevent.sleep(0.05)
        self.assertEqual([], self.stored())

    def test_a_write_that_may_still_take_effect_is_ambiguous(self):
        """The store delays the write, then refuses all calls."""
        self.store.delay_transactions = rows.PARTS_PER_JOB
        accepting = gevent.spawn(self.writer.accept, case.job(), 0.15)
        gevent.sleep(0.01)
        self.store.reachable = False
        self.assertIsInstance(accepting.get(), errors.Ambiguous)
        self.store.reachable = True
        self.store.apply_delayed()
        self.assertEqual(["0" * 16], self.stored())

    def test_a_single_part_that_is_down_refuses_nothing(self):
        self.store.parts_down = {rows.job_row_ids("0" * 16)[0].part}
        self.assertIsNone(self.writer.accept(case.job(), 1.0))
        self.assertEqual(["0" * 16], self.stored())

    def test_a_slow_write_is_remembered_for_a_while(self):
        self.writer.accept(case.job(), 1.0)
        self.assertFalse(self.writer.is_slow(uptime.now()))
        self.patch(job_writer, "SLOW_WRITE_S", 0.0)
        self.writer.accept(case.job("1" * 16), 1.0)
        self.assertTrue(self.writer.is_slow(uptime.now()))
        later = uptime.now() + job_writer.SLOW_PERIOD_S
        self.assertFalse(self.writer.is_slow(later + 0.1))

    # Guards against a slow store that gets several writes of each process before the
    # first one has shown that it is slow.
    def test_a_write_without_answer_is_slow_while_it_lasts(self):
        answering, transact = event.Event(), self.store.transact

        def delay(*args):
            answering.wait()
            return transact(*args)

        self.patch(job_writer, "SLOW_WRITE_S", 60.0)
        self.patch(self.store, "transact", delay)
        self.assertIsInstance(self.writer.accept(case.job(), 0.01), errors.Ambiguous)
        now = uptime.now()
        self.assertFalse(self.writer.is_slow(now))
        self.assertTrue(self.writer.is_slow(now + job_writer.SLOW_WRITE_S))
        written = self.writer.find_write("0" * 16)
        self.assertFalse(written.ready())
        answering.set()
        self.assertIsNone(written.get(timeout=1.0))
        self.assertIsNone(self.writer.find_write("0" * 16))
        self.assertFalse(self.writer.is_slow(uptime.now()))

    def test_concurrent_jobs_are_written_in_batches(self):
        jobs = [case.job(f"{number:016x}") for number in range(200)]
        accepting = [gevent.spawn(self.writer.accept, each, 2.0) for each in jobs]
        self.assertEqual({None}, {each.get() for each in accepting})
        self.assertLessEqual(self.store.transactions, 2 * rows.JOB_PARTS)


# A link of 5 Mbit/s and the time that a write may take of it, half of its timeout, so
# that it arrives also while it shares the link with another. Values are sent in Base64.
LINK_BYTES_PER_S = 625_000
WRITE_S = 0.6
FITTING_BYTES = LINK_BYTES_PER_S * WRITE_S * 3 / 4


def record_sizes(store):
    """Return a list that grows by the bytes of values of each transaction."""
    sizes, transact = [], store.transact

    def call(checks, puts, removals=()):
        sizes.append(sum(len(value) for value in puts.values()))
        return transact(checks, puts, removals)

    store.transact = call
    return sizes


class LargeWriteTest(testtools.TestCase):
    """A write that the link doesn't carry in time is repeated for ever."""

    def setUp(self):
        super().setUp()
        self.store = rowstore.MemoryStore()

    def test_a_write_of_many_rows_is_split_so_that_each_part_fits(self):
        acquired = leader_lease.acquire(self.store, "one", "10.0.0.1", "one")
        writer = fenced_writer.FencedWriter(
            self.store, acquired, acquired.find_store_clock()
        )
        sizes = record_sizes(self.store)
        puts = {
            ports.RowId("progress", rows.COORDINATOR_PART, f"{number}"): b"x" * size
            for number, size in enumerate([60_000, 3000, 1, 9000, 50_000] * 20)
        }
        removed = ports.RowId("progress", rows.COORDINATOR_PART, "gone")
        self.store.put(removed, b"x")
        self.assertIsNone(writer.commit(puts, (removed,)))
        stored = {row_id: row.value for row_id, row in self.store.rows.items()}
        del stored[rows.LEADER_LEASE_ROW]
        self.assertEqual(puts, stored)
        self.assertLess(max(sizes), FITTING_BYTES)

    def test_a_row_larger_than_a_write_should_be_is_written_alone(self):
        acquired = leader_lease.acquire(self.store, "one", "10.0.0.1", "one")
        writer = fenced_writer.FencedWriter(
            self.store, acquired, acquired.find_store_clock()
        )
        sizes = record_sizes(self.store)
        puts = {
            ports.RowId("progress", rows.COORDINATOR_PART, key): b"x" * size
            for key, size in (("a", 10), ("b", fenced_writer.MAX_BYTES + 1), ("c", 10))
        }
        self.assertIsNone(writer.commit(puts))
        self.assertEqual(3, len(sizes))

    def test_jobs_are_written_in_batches_that_fit(self):
        sizes = record_sizes(self.store)
        part = rows.job_row_ids("0" * 16)[0].part
        jobs = [
            case.job(f"{number:016x}", payload="x" * 30_000)
            for number in range(1000)
            if rows.job_row_ids(f"{number:016x}")[0].part == part
        ]
        with job_writer.JobWriter(self.store) as writer:
            accepting = [gevent.spawn(writer.accept, each, 5.0) for each in jobs]
            self.assertEqual({None}, {each.get() for each in accepting})
        self.assertGreater(len(jobs), 20)
        self.assertLess(max(sizes), FITTING_BYTES)


class TableCacheTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = rowstore.MemoryStore()
        self.seen = []
        self.cache = table_cache.TableCache(self.store, "t", self.seen.append)

    def put(self, key, part=""):
        self.store.put(ports.RowId("t", part, key), key.encode())

    def cached_keys(self):
        return sorted(row_id.key for row_id in self.cache.rows)

    def test_all_parts_are_read_and_then_their_changes(self):
        self.put("a", "1")
        self.put("b", "2")
        self.assertIsNone(self.cache.poll())
        self.put("c", "3")
        self.assertIsNone(self.cache.poll())
        self.assertEqual(["a", "b", "c"], self.cached_keys())

    def test_a_removed_row_is_removed_from_the_cache(self):
        self.put("a")
        self.cache.poll()
        row_id = ports.RowId("t", "", "a")
        self.store.transact({}, {}, (row_id,))
        self.cache.poll()
        self.assertEqual([], self.cached_keys())
        self.assertEqual(0, self.seen[-1].version)

    def test_all_rows_are_read_again_after_the_history_is_gone(self):
        self.put("a")
        self.put("b")
        self.cache.poll()
        self.store.transact({}, {}, (ports.RowId("t", "", "a"),))
        self.put("c")
        self.store.drop_history()
        self.cache.poll()
        self.cache.poll()
        self.assertEqual(["b", "c"], self.cached_keys())

    def test_a_part_that_cannot_be_read_is_read_later(self):
        self.put("a", "1")
        self.put("b", "2")
        self.store.parts_down = {"2"}
        self.assertIsNone(self.cache.poll())
        self.assertEqual(["a"], self.cached_keys())
        self.assertEqual(float("-inf"), self.cache.synced_at)
        self.store.parts_down = set()
        self.cache._read_missing_parts()
        self.assertEqual(["a", "b"], self.cached_keys())
        self.assertEqual(frozenset(), self.cache.unread_parts)

    def test_a_pause_batches_the_changes_of_a_busy_table(self):
        # The load is a table whose rows are changed by many writers all the time.
        calls = []
        follow = self.store.follow

        def count(*arguments):
            calls.append(arguments)
            return follow(*arguments)

        self.store.follow = count
        with table_cache.TableCache(
            self.store, "t", self.seen.append, pause_s=0.2
        ) as cache:
            for number in range(30):
                self.put(f"{number}")
                gevent.sleep(0.01)
            gevent.sleep(0.3)
        self.assertEqual(30, len(cache.rows))
        self.assertLess(len(calls), 10)

    def test_the_cache_ages_during_an_outage(self):
        clock = Clock()
        cache = table_cache.TableCache(self.store, "t", self.seen.append, clock)
        cache.poll()
        self.store.reachable = False
        clock.now += 5
        self.assertIsInstance(cache.poll(), errors.Unavailable)
        self.assertEqual(5, cache.age(clock.now))


class LeaderLeaseCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.store = rowstore.MemoryStore(self.clock)

    def acquire(self, process="one"):
        return leader_lease.acquire(
            self.store, process, "10.0.0.1", f"instance of {process}"
        )

    def make_writer(self, acquired):
        store_clock = leader_lease.StoreClock()
        store_clock.update(self.store.timestamp().store_ms, self.clock.now)
        return fenced_writer.FencedWriter(self.store, acquired, store_clock, self.clock)


class LeaderLeaseTest(LeaderLeaseCase):
    def test_the_first_process_acquires_the_lease(self):
        self.assertEqual(1, self.acquire().lease.epoch)
        self.assertIsInstance(self.acquire("two"), leader_lease.HeldByOther)

    def test_an_expired_lease_is_acquired_under_a_later_epoch(self):
        self.acquire()
        self.clock.now += (
            leader_lease.LEASE_MS + leader_lease.CLOCK_MARGIN_MS
        ) / 1000 + 0.01
        acquired = self.acquire("two")
        self.assertEqual(2, acquired.lease.epoch)
        # The margin is 0.1 s, and the grace 6 s.
        self.assertAlmostEqual(5.89, acquired.renewals_left_s, 2)

    def test_a_restarted_process_acquires_its_earlier_lease_at_once(self):
        self.acquire()
        acquired = self.acquire()
        self.assertEqual(2, acquired.lease.epoch)
        self.assertEqual(0.0, acquired.renewals_left_s)

    def test_a_lease_acquired_without_a_reply_is_acquired_again(self):
        self.store.lose_answers = 1
        self.assertIsInstance(self.acquire(), errors.Ambiguous)
        self.assertEqual(2, self.acquire().lease.epoch)

    def test_a_holder_that_is_considered_failed_is_replaced_at_once(self):
        previous = self.make_writer(self.acquire())
        acquired = leader_lease.acquire(
            self.store, "two", "10.0.0.2", "two", leader_lease.Takeover(1)
        )
        self.assertEqual(2, acquired.lease.epoch)
        # It may renew worker leases for as long as it considers its own lease valid,
        # and for as long as it takes its replacement for an outage of the store.
        self.assertEqual(leader_lease.LEASE_MS / 1000 + 6.0, acquired.renewals_left_s)
        row_id = ports.RowId("progress", rows.COORDINATOR_PART, "job")
        self.assertIsInstance(previous.commit({row_id: b"old"}), errors.Fenced)
        self.assertIsInstance(
            leader_lease.acquire(
                self.store, "three", "10.0.0.3", "three", leader_lease.Takeover(1)
            ),
            leader_lease.HeldByOther,
        )

    def test_a_released_lease_is_free_at_once(self):
        writer = self.make_writer(self.acquire())
        self.assertIsNone(writer.release())
        self.assertEqual(0.0, self.acquire("two").renewals_left_s)

    def acquire_patiently(self, takeover=leader_lease.NO_TAKEOVER):
        return leader_lease.acquire(
            self.store, "two", "10.0.0.2", "two", takeover, patience_s=0.4
        )

    def test_an_expired_lease_is_left_to_others_for_a_bounded_time(self):
        self.acquire()
        self.clock.now += (
            leader_lease.LEASE_MS + leader_lease.CLOCK_MARGIN_MS
        ) / 1000 + 0.01
        left = self.acquire_patiently()
        self.assertIsInstance(left, leader_lease.HeldByOther)
        self.assertLess(left.expires_in_s, 0.4)
        self.clock.now += left.expires_in_s
        self.assertEqual(leader_lease.Reason.EXPIRED, self.acquire_patiently().reason)

    def test_a_released_lease_is_left_to_others_for_a_bounded_time(self):
        self.assertIsNone(self.make_writer(self.acquire()).release())
        left = self.acquire_patiently()
        self.assertEqual(0.4, left.expires_in_s)
        takeover = leader_lease.Takeover(1, leader_lease.Reason.RELEASED)
        self.assertEqual(2, self.acquire_patiently(takeover).lease.epoch)

    def test_the_reason_of_an_acquisition_is_known(self):
        first = self.acquire()
        self.assertEqual(leader_lease.Reason.FIRST, first.reason)
        again = self.acquire()
        self.assertEqual(leader_lease.Reason.RESTARTED, again.reason)
        offered = leader_lease.Takeover(2, leader_lease.Reason.OFFERED)
        taken = leader_lease.acquire(self.store, "two", "10.0.0.2", "two", offered)
        self.assertEqual(leader_lease.Reason.OFFERED, taken.reason)
        self.make_writer(taken).release()
        self.assertEqual(leader_lease.Reason.RELEASED, self.acquire("three").reason)


class SlowStore(rowstore.MemoryStore):
    """A store that applies each call half of `CALL_S` after it is sent."""

    CALL_S = 0.8

    def __init__(self, clock):
        super().__init__(clock)
        self.clock = clock
        self.expiries_left_s = []  # of the lease, when a transaction took effect

    def read(self, *arguments, **options):
        self.clock.now += self.CALL_S / 2
        answer = super().read(*arguments, **options)
        self.clock.now += self.CALL_S / 2
        return answer

    def transact(self, checks, puts, removals=()):
        self.clock.now += self.CALL_S / 2
        lease = rows.decode(rows.LeaderLease, puts[rows.LEADER_LEASE_ROW])
        left_ms = lease.expires_ms - self.timestamp().store_ms
        self.expiries_left_s.append(left_ms / 1000)
        answer = super().transact(checks, puts, removals)
        self.clock.now += self.CALL_S / 2
        return answer


class SlowTakeoverTest(testtools.TestCase):
    """A takeover by slow calls must not make the coordinator outlive its lease."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.store = SlowStore(self.clock)
        self.acquired = leader_lease.acquire(
            self.store, "one", "10.0.0.1", "one", clock=self.clock
        )
        self.store_clock = self.acquired.find_store_clock()
        self.writer = fenced_writer.FencedWriter(
            self.store, self.acquired, self.store_clock, self.clock
        )

    def test_the_store_clock_is_an_upper_bound_after_a_slow_takeover(self):
        self.assertGreaterEqual(
            self.store_clock.latest_ms(self.clock.now), self.store.timestamp().store_ms
        )

    def test_the_lease_is_not_held_beyond_its_expiry(self):
        while self.store.timestamp().store_ms < self.acquired.lease.expires_ms:
            self.clock.now += 0.05
        self.assertFalse(self.writer.holds_lease(self.clock.now))

    def test_a_renewal_after_a_slow_takeover_lasts_a_lease_less_one_call(self):
        for _ in range(3):
            self.assertIsNone(self.writer.commit({}))
        shortest_s = leader_lease.LEASE_MS / 1000 - self.store.CALL_S
        for left_s in self.store.expiries_left_s[1:]:
            self.assertGreaterEqual(left_s, shortest_s)


class FencedWriterTest(LeaderLeaseCase):
    PLACE = ports.RowId("progress", rows.COORDINATOR_PART, "job")

    def value(self):
        return self.store.rows[self.PLACE].value

    def test_a_commit_renews_the_lease(self):
        writer = self.make_writer(self.acquire())
        self.clock.now += 2
        self.assertIsNone(writer.commit({self.PLACE: b"1"}))
        self.clock.now += 2
        self.assertTrue(writer.holds_lease(self.clock.now))
        self.assertIsInstance(self.acquire("two"), leader_lease.HeldByOther)

    def test_a_commit_whose_reply_is_lost_is_applied_once(self):
        writer = self.make_writer(self.acquire())
        self.store.lose_answers = 1
        self.assertIsNone(writer.commit({self.PLACE: b"1"}))
        self.assertIsNone(writer.commit({self.PLACE: b"2"}))
        self.assertEqual(b"2", self.value())

    def test_a_delayed_commit_does_not_overwrite_a_later_one(self):
        writer = self.make_writer(self.acquire())
        self.store.delay_transactions = 1
        self.assertIsNone(writer.commit({self.PLACE: b"1"}))
        self.assertIsNone(writer.commit({self.PLACE: b"2"}))
        [late] = self.store.apply_delayed()
        self.assertIsInstance(late, ports.Rejected)
        self.assertEqual(b"2", self.value())

    def test_a_former_coordinator_cannot_write(self):
        """A paused process resumes after another one has acquired the lease."""
        paused = self.make_writer(self.acquire())
        self.clock.now += 10
        self.assertFalse(paused.holds_lease(self.clock.now))
        current = self.make_writer(self.acquire("two"))
        self.assertIsNone(current.commit({self.PLACE: b"new"}))
        self.assertIsInstance(paused.commit({self.PLACE: b"old"}), errors.Fenced)
        self.assertTrue(paused.lost)
        self.assertEqual(b"new", self.value())

    def test_a_former_coordinator_is_fenced_after_a_lost_reply(self):
        paused = self.make_writer(self.acquire())
        self.store.delay_transactions = 1
        writing = gevent.spawn(paused.commit, {self.PLACE: b"old"})
        gevent.sleep(0)
        gevent.sleep(0)
        self.clock.now += 10
        self.acquire("two")
        self.assertIsInstance(writing.get(), errors.Fenced)
        self.store.apply_delayed()
        self.assertNotIn(self.PLACE, self.store.rows)

    def test_many_rows_are_split_into_several_transactions(self):
        writer = self.make_writer(self.acquire())
        puts = {
            ports.RowId("progress", rows.COORDINATOR_PART, f"{number}"): b"x"
            for number in range(250)
        }
        self.assertIsNone(writer.commit(puts))
        self.assertEqual(3, writer.writes)

    # Guards against two writes in flight at once: the second one would check a version
    # that the first is about to change, and lose the lease.
    def test_a_write_follows_the_last_renewal(self):
        self.patch(leader_lease, "RENEW_INTERVAL_S", 0.01)
        writer = self.make_writer(self.acquire())
        transact, in_flight = self.store.transact, []

        def delay(*arguments):
            in_flight.append(len(in_flight))
            gevent.sleep(0.03)
            in_flight.pop()
            self.assertEqual([], in_flight)
            return transact(*arguments)

        self.store.transact = delay
        with writer.renew_lease():
            gevent.sleep(0.1)
            while not in_flight:
                gevent.sleep(0.001)
        renewals = writer.writes
        self.assertGreater(renewals, 1)
        self.assertIsNone(writer.commit({self.PLACE: b"1"}))
        self.assertEqual(renewals + 1, writer.writes)

    def test_renewals_end_when_another_process_has_the_lease(self):
        self.patch(leader_lease, "RENEW_INTERVAL_S", 0.01)
        writer = self.make_writer(self.acquire())
        with writer.renew_lease():
            leader_lease.acquire(
                self.store, "two", "10.0.0.2", "two", leader_lease.Takeover(1)
            )
            gevent.sleep(0.1)
            self.assertTrue(writer.lost)
        self.assertEqual(1, writer.writes)
