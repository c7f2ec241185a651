"""Loads of a new coordinator over slow links and through faults of the store."""

import gevent
import testtools
from gevent import event

from standins import rowstore
from test import coordinator_case as case
from test import fake_tables, test_coordinator_leadership
from toucanspring import errors, uptime
from toucanspring.coordinator import job_writer, leader_lease, rows, state

LEASE_MS = 1500
RENEW_INTERVAL_S = 0.3

# Longer than this process may get no processor: a call that gives up writes nothing.
CALL_TIMEOUT_S = 30.0


class LoadCase(test_coordinator_leadership.LeadershipCase):
    def setUp(self):
        super().setUp()
        self.patch(leader_lease, "LEASE_MS", LEASE_MS)
        self.patch(leader_lease, "RENEW_INTERVAL_S", RENEW_INTERVAL_S)

    def stored_epoch(self):
        row = self.store.rows[rows.LEADER_LEASE_ROW]
        return rows.decode(rows.LeaderLease, row.value).epoch

    def compete(self):
        """Acquire the leader lease for a second process as soon as it is free."""
        while True:
            found = leader_lease.acquire(self.store, "two", "10.0.0.2", "two")
            if isinstance(found, leader_lease.Acquired):
                return
            gevent.sleep(0.05)

    def start_candidate(self):
        candidate = gevent.spawn(self.compete)
        self.addCleanup(candidate.kill)

    def slow_down_reads(self, read_delay_s):
        """Delay all reads except those of the leader lease."""
        read = self.store.read

        def delay(table, *arguments, **options):
            if table != rows.LEADER_LEASE_TABLE:
                gevent.sleep(read_delay_s)
            return read(table, *arguments, **options)

        self.store.read = delay


class LeaseDuringLoadTest(LoadCase):
    # Guards against leases that expire during each load: new coordinators replaced one
    # another and nothing ran.
    def test_a_load_longer_than_the_lease_keeps_the_lease(self):
        self.accept(case.step(3))
        # The progress and the jobs are read one after the other.
        self.slow_down_reads(0.75 * LEASE_MS / 1000)
        self.start_leadership()
        self.start_candidate()
        self.wait_for(self.is_complete, limit_s=10.0)
        self.assertEqual(1, self.stored_epoch())
        self.assertEqual(3, self.workers.starts)
        self.assert_no_violations()

    # Guards against a candidate that goes on reading, which delays its next candidacy.
    def test_a_candidate_that_lost_its_lease_gives_up_its_load_at_once(self):
        self.slow_down_reads(30.0)
        leader = self.start_leadership()
        gevent.sleep(0.05)
        leader_lease.acquire(
            self.store, "two", "10.0.0.2", "two", leader_lease.Takeover(1)
        )
        self.assertTrue(leader.ended.wait(5.0))
        self.assertFalse(leader.ready.is_set())

    # Guards against a stop that waits for the load, and a lease that nobody may acquire
    # for 2.5 s after it.
    def test_a_graceful_stop_during_a_load_releases_the_lease(self):
        self.slow_down_reads(30.0)
        leader = self.start_leadership()
        gevent.sleep(0.05)
        leader.release()
        self.assertTrue(leader.ended.is_set())
        acquired = leader_lease.acquire(self.store, "two", "10.0.0.2", "two")
        self.assertIsInstance(acquired, leader_lease.Acquired)
        self.assertEqual(0.0, acquired.renewals_left_s)


class FailedReadTest(LoadCase):
    # Guards against a load that starts again whenever one of its reads fails.
    def test_a_load_goes_on_where_a_read_failed(self):
        for number in range(600):
            job_id = f"{number:016x}"
            self.accept(case.step(1), job_id=job_id)
            copy = rows.encode(self.workers.jobs[job_id])
            progress = rows.Progress(state.JobState.COMPLETED.value)
            self.store.put(rows.job_copy_row_id(job_id), copy)
            self.store.put(rows.progress_row_id(job_id), rows.encode(progress))
        read, calls = self.store.read, []
        failing = {rows.PROGRESS: 2, rows.JOBS: 2}

        def fail_later_pages(table, part, start="", *rest, **options):
            calls.append((table, part, start))
            is_first = part != rows.COORDINATOR_PART or not start
            if not is_first and failing.get(table):
                failing[table] -= 1
                return errors.Unavailable(reason="no answer in time")
            return read(table, part, start, *rest, **options)

        for number in range(600):
            job_id = f"{number:016x}"
            self.store.put(
                rows.job_copy_row_id(job_id), rows.encode(self.workers.jobs[job_id])
            )
        self.store.read = fail_later_pages
        leader = self.coordinate()
        self.assertEqual(600, len(leader.cell.jobs))
        self.assertEqual({rows.PROGRESS: 0, rows.JOBS: 0}, failing)
        loads = [call for call in calls if call[0] in failing]
        self.assertEqual(4, len(loads) - len(set(loads)))


class WorkersDuringLoadTest(LoadCase):
    # Guards against takeovers that read the workers' entries only after the jobs.
    def test_workers_are_followed_during_the_load_and_polled_after_it(self):
        polled = []
        poll = self.workers.poll

        def record(worker, *arguments):
            polled.append(worker.id)
            return poll(worker, *arguments)

        self.workers.poll = record
        self.slow_down_reads(0.2)
        leader = self.start_leadership()
        gevent.sleep(0.05)
        self.assertEqual(leader._sync_workers, self.directory.changed)
        self.directory.changed()
        gevent.sleep(0.05)
        self.assertFalse(leader.ready.is_set())
        self.assertEqual([], polled)
        self.assertTrue(leader.ready.wait(5.0))
        self.wait_for(lambda: {"w1", "w2"} <= set(polled))


class SlowStoreTest(testtools.TestCase):
    """All processes write submissions while the store takes 63 times its usual time."""

    PROCESSES = 97

    def setUp(self):
        super().setUp()
        self.store = rowstore.MemoryStore()
        self.answering = event.Event()
        self.addCleanup(self.answering.set)
        transact = self.store.transact

        def transact_slowly(*args):
            self.answering.wait()
            return transact(*args)

        self.patch(self.store, "transact", transact_slowly)

    # Guards against a queue of transactions in the store that grows until the writers
    # know that it is slow: each of them would fill it with several of its own.
    def test_each_process_writes_one_submission_before_it_leaves_them_to_one(self):
        writers = [job_writer.JobWriter(self.store) for _ in range(self.PROCESSES)]
        for number, writer in enumerate(writers):
            writer.__enter__()
            self.addCleanup(writer.__exit__)
            gevent.spawn(writer.accept, case.job(f"{number:016x}"), CALL_TIMEOUT_S)
        waiting = fake_tables.wait_for(
            lambda: all(writer._in_flight for writer in writers)
        )
        self.assertTrue(waiting)
        later = uptime.now() + job_writer.SLOW_WRITE_S
        self.assertTrue(all(writer.is_slow(later) for writer in writers))
        self.answering.set()
        gevent.sleep(0.05)
        self.assertEqual(self.PROCESSES, self.store.transactions)
