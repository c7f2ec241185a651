"""Acceptance, feeds, the seat and the ledger over a store that loses answers."""

import gevent
import testtools

from standins import rowstore
from test import coordinator_case as case
from toucanspring import errors
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


class IntakeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = rowstore.MemoryStore()
        self.intake = job_writer.JobWriter(self.store)
        self.intake.__enter__()
        self.addCleanup(self.intake.__exit__)

    def stored(self):
        """Return the IDs of the stored jobs; one may be in several places."""
        found = {
            rows.decode(job_specs.Job, row.value).id for row in self.store.rows.values()
        }
        return sorted(found)

    def test_a_job_is_accepted_once_it_is_stored(self):
        self.assertIsNone(self.intake.accept(case.job(), 1.0))
        self.assertEqual(["0" * 16], self.stored())

    def test_a_repeat_is_accepted_and_stored_once(self):
        self.intake.accept(case.job(), 1.0)
        self.assertIsNone(self.intake.accept(case.job(accepted_at_ms=9), 1.0))
        self.assertEqual(["0" * 16], self.stored())

    def test_another_job_of_the_same_id_is_refused(self):
        self.intake.accept(case.job(), 1.0)
        answer = self.intake.accept(case.job(payload="other"), 1.0)
        self.assertIsInstance(answer, errors.Conflict)

    def test_a_lost_answer_is_settled_by_a_repeat(self):
        self.store.lose_answers = 1
        self.assertIsNone(self.intake.accept(case.job(), 1.0))
        self.assertEqual(["0" * 16], self.stored())

    def test_a_refusing_store_means_not_accepted(self):
        self.store.reachable = False
        answer = self.intake.accept(case.job(), 1.0)
        self.assertIsInstance(answer, errors.Unavailable)
        self.store.reachable = True
        gevent.sleep(0.05)
        self.assertEqual([], self.stored())

    def test_a_write_that_may_come_late_is_never_called_refused(self):
        """The store holds the write back, then refuses all calls."""
        self.store.delay = rows.PARTS_PER_JOB
        accepting = gevent.spawn(self.intake.accept, case.job(), 0.15)
        gevent.sleep(0.01)
        self.store.reachable = False
        self.assertIsInstance(accepting.get(), errors.Ambiguous)
        self.store.reachable = True
        self.store.carry_out_late()
        self.assertEqual(["0" * 16], self.stored())

    def test_a_part_that_is_down_alone_refuses_nothing(self):
        self.store.parts_down = {rows.job_row_ids("0" * 16)[0].part}
        self.assertIsNone(self.intake.accept(case.job(), 1.0))
        self.assertEqual(["0" * 16], self.stored())

    def test_jobs_that_come_together_share_their_writes(self):
        jobs = [case.job(f"{number:016x}") for number in range(200)]
        accepting = [gevent.spawn(self.intake.accept, each, 2.0) for each in jobs]
        self.assertEqual({None}, {each.get() for each in accepting})
        self.assertLessEqual(self.store.transactions, 2 * rows.JOB_PARTS)


class FeedTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = rowstore.MemoryStore()
        self.seen = []
        self.feed = table_cache.TableCache(self.store, "t", self.seen.append)

    def put(self, key, part=""):
        self.store.put(ports.RowId("t", part, key), key.encode())

    def keys(self):
        return sorted(place.key for place in self.feed.rows)

    def test_all_parts_are_read_then_changes_followed(self):
        self.put("a", "1")
        self.put("b", "2")
        self.assertIsNone(self.feed.poll())
        self.put("c", "3")
        self.assertIsNone(self.feed.poll())
        self.assertEqual(["a", "b", "c"], self.keys())

    def test_a_removed_row_leaves_the_copy(self):
        self.put("a")
        self.feed.poll()
        place = ports.RowId("t", "", "a")
        self.store.transact({}, {}, (place,))
        self.feed.poll()
        self.assertEqual([], self.keys())
        self.assertEqual(0, self.seen[-1].version)

    def test_dropped_history_is_made_up_by_reading_again(self):
        self.put("a")
        self.put("b")
        self.feed.poll()
        self.store.transact({}, {}, (ports.RowId("t", "", "a"),))
        self.put("c")
        self.store.drop_history()
        self.feed.poll()
        self.feed.poll()
        self.assertEqual(["b", "c"], self.keys())

    def test_a_part_that_cannot_be_read_is_made_up_later(self):
        self.put("a", "1")
        self.put("b", "2")
        self.store.parts_down = {"2"}
        self.assertIsNone(self.feed.poll())
        self.assertEqual(["a"], self.keys())
        self.assertEqual(float("-inf"), self.feed.synced_at)
        self.store.parts_down = set()
        self.feed._read_missing_parts()
        self.assertEqual(["a", "b"], self.keys())
        self.assertEqual(frozenset(), self.feed.unread_parts)

    def test_a_pause_bundles_the_changes_of_a_busy_table(self):
        # The load: a table in which many writers change their rows all the time.
        calls = []
        follow = self.store.follow

        def count(*arguments):
            calls.append(arguments)
            return follow(*arguments)

        self.store.follow = count
        with table_cache.TableCache(
            self.store, "t", self.seen.append, pause_s=0.2
        ) as feed:
            for number in range(30):
                self.put(f"{number}")
                gevent.sleep(0.01)
            gevent.sleep(0.3)
        self.assertEqual(30, len(feed.rows))
        self.assertLess(len(calls), 10)

    def test_an_outage_makes_the_copy_age(self):
        clock = Clock()
        feed = table_cache.TableCache(self.store, "t", self.seen.append, clock)
        feed.poll()
        self.store.reachable = False
        clock.now += 5
        self.assertIsInstance(feed.poll(), errors.Unavailable)
        self.assertEqual(5, feed.age(clock.now))


class SeatCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.store = rowstore.MemoryStore(self.clock)

    def claim(self, process="one"):
        return leader_lease.acquire(
            self.store, process, "10.0.0.1", f"life of {process}"
        )

    def ledger(self, taken):
        store_clock = leader_lease.StoreClock()
        store_clock.update(self.store.moment().store_ms, self.clock.now)
        return fenced_writer.FencedWriter(self.store, taken, store_clock, self.clock)


class SeatTest(SeatCase):
    def test_the_first_claim_takes_the_seat(self):
        self.assertEqual(1, self.claim().lease.epoch)
        self.assertIsInstance(self.claim("two"), leader_lease.HeldByOther)

    def test_an_expired_seat_is_taken_under_a_later_epoch(self):
        self.claim()
        self.clock.now += (
            leader_lease.LEASE_MS + leader_lease.CLOCK_MARGIN_MS
        ) / 1000 + 0.01
        taken = self.claim("two")
        self.assertEqual(2, taken.lease.epoch)
        self.assertTrue(taken.predecessor_may_live)

    def test_a_process_takes_the_seat_of_its_earlier_life_at_once(self):
        self.claim()
        taken = self.claim()
        self.assertEqual(2, taken.lease.epoch)
        self.assertFalse(taken.predecessor_may_live)

    def test_a_claim_without_answer_is_found_by_the_next(self):
        self.store.lose_answers = 1
        self.assertIsInstance(self.claim(), errors.Ambiguous)
        self.assertEqual(2, self.claim().lease.epoch)

    def test_a_holder_that_is_given_up_is_replaced_at_once(self):
        holder = self.ledger(self.claim())
        taken = leader_lease.acquire(
            self.store, "two", "10.0.0.2", "two", takeover_epoch=1
        )
        self.assertEqual(2, taken.lease.epoch)
        self.assertTrue(taken.predecessor_may_live)
        # It may renew leases of workers for as long as it believes in its own.
        self.assertEqual(leader_lease.LEASE_MS / 1000, taken.predecessor_lease_left_s)
        place = ports.RowId("progress", rows.COORDINATOR_PART, "job")
        self.assertIsInstance(holder.commit({place: b"old"}), errors.Fenced)
        self.assertIsInstance(
            leader_lease.acquire(
                self.store, "three", "10.0.0.3", "three", takeover_epoch=1
            ),
            leader_lease.HeldByOther,
        )

    def test_a_released_seat_is_free_at_once(self):
        book = self.ledger(self.claim())
        self.assertIsNone(book.release())
        self.assertFalse(self.claim("two").predecessor_may_live)


class LedgerTest(SeatCase):
    PLACE = ports.RowId("progress", rows.COORDINATOR_PART, "job")

    def value(self):
        return self.store.rows[self.PLACE].value

    def test_a_commit_renews_the_lease(self):
        book = self.ledger(self.claim())
        self.clock.now += 2
        self.assertIsNone(book.commit({self.PLACE: b"1"}))
        self.clock.now += 2
        self.assertTrue(book.holds_lease(self.clock.now))
        self.assertIsInstance(self.claim("two"), leader_lease.HeldByOther)

    def test_a_commit_whose_answer_was_lost_counts_once(self):
        book = self.ledger(self.claim())
        self.store.lose_answers = 1
        self.assertIsNone(book.commit({self.PLACE: b"1"}))
        self.assertIsNone(book.commit({self.PLACE: b"2"}))
        self.assertEqual(b"2", self.value())

    def test_a_commit_that_takes_effect_late_does_not_undo_a_later_one(self):
        book = self.ledger(self.claim())
        self.store.delay = 1
        self.assertIsNone(book.commit({self.PLACE: b"1"}))
        self.assertIsNone(book.commit({self.PLACE: b"2"}))
        [late] = self.store.carry_out_late()
        self.assertIsInstance(late, ports.Rejected)
        self.assertEqual(b"2", self.value())

    def test_a_former_coordinator_writes_nothing(self):
        """A process that was paused goes on after another took the seat."""
        paused = self.ledger(self.claim())
        self.clock.now += 10
        self.assertFalse(paused.holds_lease(self.clock.now))
        current = self.ledger(self.claim("two"))
        self.assertIsNone(current.commit({self.PLACE: b"new"}))
        self.assertIsInstance(paused.commit({self.PLACE: b"old"}), errors.Fenced)
        self.assertTrue(paused.lost)
        self.assertEqual(b"new", self.value())

    def test_a_former_coordinator_is_fenced_after_a_lost_answer_too(self):
        paused = self.ledger(self.claim())
        self.store.delay = 1
        writing = gevent.spawn(paused.commit, {self.PLACE: b"old"})
        gevent.sleep(0)
        gevent.sleep(0)
        self.clock.now += 10
        self.claim("two")
        self.assertIsInstance(writing.get(), errors.Fenced)
        self.store.carry_out_late()
        self.assertNotIn(self.PLACE, self.store.rows)

    def test_many_rows_go_in_several_transactions(self):
        book = self.ledger(self.claim())
        puts = {
            ports.RowId("progress", rows.COORDINATOR_PART, f"{number}"): b"x"
            for number in range(250)
        }
        self.assertIsNone(book.commit(puts))
        self.assertEqual(3, book.writes)
