"""The coordinator on in-memory stores and workers, with failovers and lost replies."""

import contextlib
import itertools

import gevent
import testtools

from standins import lease_workers, rowstore
from test import coordinator_case as case
from toucanspring import errors
from toucanspring.coordinator import (
    fenced_writer,
    leader_lease,
    leadership,
    ports,
    rows,
    state,
)

JOB = "0" * 16
MAX_LEASE_MS = 6000


class Directory:
    """A directory with fixed workers and one configuration."""

    def __init__(self, *entries, catalogue_=None):
        self.catalogue = catalogue_ or case.configure()
        self.zones_out = frozenset()
        self.view_age = 0.0
        self.known = {each.id: each for each in entries}
        self.changed = lambda: None

    def age(self, _now):
        return self.view_age

    def entries(self):
        return self.known

    @contextlib.contextmanager
    def follow_workers(self, changed):
        self.changed = changed
        yield


class LeadershipCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = rowstore.MemoryStore()
        self.workers = lease_workers.LeaseWorkers()
        entries = [case.entry("w1", cpus=4000), case.entry("w2", cpus=4000)]
        for each in entries:
            self.workers.add(each)
        self.directory = Directory(*entries)
        self.leaderships = []
        self.addCleanup(self.stop_leaderships)

    def stop_leaderships(self):
        for greenlet, _ in self.leaderships:
            greenlet.kill()

    def coordinate(self, process="one", ready_within_s=2.0):
        """Acquire the leader lease, which must be free for it, and coordinate."""
        leader = self.start_leadership(process)
        self.assertTrue(leader.ready.wait(ready_within_s))
        return leader

    def start_leadership(self, process="one"):
        acquired = leader_lease.acquire(self.store, process, "10.0.0.1", process)
        self.assertIsInstance(acquired, leader_lease.Acquired)
        store_clock = leader_lease.StoreClock()
        store_clock.update(self.store.timestamp().store_ms, leadership.uptime.now())
        leader = leadership.Leadership(
            self.store,
            self.workers,
            self.directory,
            acquired,
            store_clock,
            lambda question: self.fail(question),
            MAX_LEASE_MS,
        )
        self.leaderships.append((gevent.spawn(leader.run), leader))
        return leader

    def kill(self):
        """Stop the latest coordinator without a release, as if it was killed."""
        greenlet, leader = self.leaderships[-1]
        greenlet.kill()
        leader._dispatcher.__exit__()
        leader._jobs.close()

    def accept(self, *steps, job_id=JOB, **changes):
        spec = case.job(job_id, *steps, **changes)
        self.workers.jobs[job_id] = spec
        self.store.put(rows.job_row_ids(job_id)[0], rows.encode(spec))

    def wait_for(self, condition, limit_s=5.0):
        with gevent.Timeout(limit_s, AssertionError("the condition did not hold")):
            while not condition():
                gevent.sleep(0.005)

    def progress(self, job_id=JOB):
        row = self.store.rows.get(rows.progress_row_id(job_id))
        return None if row is None else rows.decode(rows.Progress, row.value)

    def is_complete(self, job_id=JOB):
        found = self.progress(job_id)
        return found is not None and found.state == state.JobState.COMPLETED.value

    def assert_no_violations(self):
        self.assertEqual([], self.workers.violations)


class SchedulingTest(LeadershipCase):
    def test_steps_run_in_order_and_once(self):
        leader = self.coordinate()
        self.accept(case.step(6), case.step(3, after=(0,)))
        self.wait_for(self.is_complete)
        self.assertEqual(state.JobState.COMPLETED, leader.status(JOB))
        self.assertEqual({1}, set(self.workers.done.values()))
        self.assertEqual(9, len(self.workers.done))
        self.assert_no_violations()

    def test_a_job_stored_in_several_rows_runs_once(self):
        self.coordinate()
        self.accept(case.step(3))
        for row_id in rows.job_row_ids(JOB)[1:]:
            self.store.put(row_id, rows.encode(self.workers.jobs[JOB]))
        self.wait_for(self.is_complete)
        gevent.sleep(0.1)
        self.assertEqual(3, self.workers.starts)
        self.assert_no_violations()

    def test_a_start_whose_reply_is_lost_is_retried_and_runs_once(self):
        self.coordinate()
        self.workers.lose_answers = 2
        self.accept(case.step(4))
        self.wait_for(self.is_complete)
        self.assertEqual(4, self.workers.starts)
        self.assert_no_violations()

    def test_a_delayed_start_runs_nothing_twice(self):
        self.coordinate()
        self.workers.delay_starts = 3  # all attempts of one order
        self.accept(case.step(1))
        self.wait_for(self.is_complete)
        self.workers.apply_delayed()
        self.assertEqual({f"{JOB}.0.0.0": 1}, self.workers.done)
        self.assert_no_violations()

    def test_a_cancelled_job_stops(self):
        self.workers.run_s = 30
        leader = self.coordinate()
        self.accept(case.step(2))
        self.wait_for(lambda: self.workers.starts == 2)
        self.assertEqual(state.JobState.CANCELLED, leader.cancel(JOB))
        self.wait_for(
            lambda: not any(x.runs for x in self.workers.incarnations.values())
        )
        self.assertEqual(state.JobState.CANCELLED, leader.status(JOB))

    def test_nothing_starts_while_the_view_is_too_old(self):
        self.coordinate()
        self.directory.view_age = 5.0
        self.accept(case.step(1))
        gevent.sleep(0.4)
        self.assertEqual(0, self.workers.starts)
        self.directory.view_age = 0.0
        self.wait_for(self.is_complete)

    # Guards against a job that fails by a configuration that is no longer in force.
    def test_no_job_fails_while_the_view_of_the_configuration_is_old(self):
        self.directory.catalogue = case.configure(case.queue(max_attempts=1))
        self.workers.failing.update(("w1", "w2"))
        self.workers.run_s = 0.3
        self.coordinate()
        self.accept(case.step(1))
        self.wait_for(lambda: self.workers.starts == 1)
        self.directory.view_age = 5.0
        self.wait_for(lambda: self.progress().steps[0].tasks[0].failures == 1)
        gevent.sleep(0.2)
        self.assertEqual(state.JobState.ACTIVE.value, self.progress().state)
        self.directory.view_age = 0.0
        self.wait_for(lambda: self.progress().state == state.JobState.FAILED.value)
        self.assertEqual(1, self.workers.starts)

    # Guards against starts in a zone that is out of service, since its evacuation came
    # while their write was in progress.
    def test_an_evacuation_during_a_write_holds_back_its_starts(self):
        self.coordinate()
        transact = self.store.transact

        def transact_slowly(checks, puts, removals=()):
            if rows.progress_row_id(JOB) in puts:
                gevent.sleep(0.1)
                self.directory.zones_out = frozenset({"zone-a"})
            return transact(checks, puts, removals)

        self.store.transact = transact_slowly
        self.accept(case.step(1))
        self.wait_for(lambda: self.progress() is not None)
        gevent.sleep(0.2)
        self.assertEqual(0, self.workers.starts)

    def test_an_outcome_whose_write_is_unanswered_is_not_denied(self):
        """Guards against an outcome that a caller was told and that is taken back.

        Another process may read it from the store. Found by the soak, seed 2605.
        """
        leader = self.coordinate()
        transact = self.store.transact

        def transact_slowly(*changes):
            answer = transact(*changes)
            if self.is_complete():
                gevent.sleep(1.0)
            return answer

        self.store.transact = transact_slowly
        self.accept(case.step(1))
        self.wait_for(self.is_complete)
        self.assertEqual("Unavailable", leader.status(JOB).kind)

    def test_a_job_that_nobody_submitted_is_not_found(self):
        leader = self.coordinate()
        self.assertEqual("NotFound", leader.status("f" * 16).kind)

    def test_an_outage_of_the_store_stops_starts_and_loses_nothing(self):
        self.workers.run_s = 0.3
        self.coordinate()
        self.accept(case.step(8))
        self.wait_for(lambda: self.workers.starts == 8)
        self.store.reachable = False
        gevent.sleep(0.8)
        self.assertEqual(set(), self.workers.acknowledged)
        self.store.reachable = True
        self.wait_for(self.is_complete)
        self.assertEqual(8, self.workers.starts)
        self.assert_no_violations()


class FailoverTest(LeadershipCase):
    def test_the_lease_is_released_although_a_write_is_in_progress(self):
        leader = self.coordinate()
        self.accept(case.step(30))
        self.wait_for(lambda: self.workers.starts > 0)
        leader.release()
        self.assertTrue(leader.ended.is_set())
        acquired = leader_lease.acquire(self.store, "two", "10.0.0.2", "two")
        self.assertIsInstance(acquired, leader_lease.Acquired)
        self.assertEqual(0.0, acquired.renewals_left_s)

    def test_a_new_coordinator_keeps_the_running_tasks(self):
        self.workers.run_s = 0.5
        self.coordinate()
        self.accept(case.step(8), case.step(2, after=(0,)))
        self.wait_for(lambda: self.workers.starts == 8)
        self.kill()
        leader = self.coordinate()
        self.assertEqual(2, leader.epoch)
        self.wait_for(self.is_complete)
        self.assertEqual(10, self.workers.starts)
        self.assert_no_violations()

    def test_a_recorded_start_that_was_never_sent_is_repeated(self):
        self.workers.delay_starts = 100
        self.coordinate()
        self.accept(case.step(1))
        self.wait_for(lambda: self.progress() is not None)
        self.kill()
        self.workers.delay_starts = 0
        self.coordinate()
        self.wait_for(self.is_complete)
        # The start order of the former coordinator arrives only now.
        self.workers.apply_delayed()
        self.assertEqual({f"{JOB}.0.0.0": 1}, self.workers.done)
        self.assert_no_violations()

    def test_tasks_of_a_silent_worker_wait_until_its_lease_expires(self):
        self.workers.run_s = 30
        self.coordinate()
        self.accept(case.step(1))
        self.wait_for(lambda: self.workers.starts == 1)
        self.kill()
        [busy] = [name for name, each in self.workers.incarnations.items() if each.runs]
        self.workers.silent.add(busy)
        leader = self.coordinate()
        gevent.sleep(0.5)
        self.assertEqual(1, self.workers.starts)
        worker = leader.cell.workers[busy]
        self.assertGreater(
            worker.lease_expires_at - leader._acquired_at, MAX_LEASE_MS / 1000
        )

    def test_polls_without_reply_do_not_extend_the_lease(self):
        """Otherwise the tasks of a worker that is gone for good never run again."""
        self.workers.run_s = 30
        leader = self.coordinate()
        self.accept(case.step(1))
        self.wait_for(lambda: self.workers.starts == 1)
        [busy] = [name for name, each in self.workers.incarnations.items() if each.runs]
        worker = leader.cell.workers[busy]
        self.workers.silent.add(busy)
        self.wait_for(lambda: not worker.responsive)
        lease_expires_at = worker.lease_expires_at
        gevent.sleep(0.6)
        self.assertEqual(lease_expires_at, worker.lease_expires_at)

    def test_a_start_is_not_sent_after_the_renewal_limit(self):
        """A process that may not renew worker leases any more sends no start either.

        Found by the model `spec.coordination`, rule `expiry`.
        """
        leader = self.coordinate()
        self.accept(case.step(1))
        leader.may_renew = lambda _now: False
        self.wait_for(lambda: self.progress() is not None)
        gevent.sleep(0.1)
        self.assertEqual(0, self.workers.starts)

    def test_other_tasks_start_at_once_despite_a_silent_worker(self):
        self.coordinate()
        self.kill()
        self.workers.silent.add("w1")
        self.accept(case.step(2))
        self.coordinate()
        self.wait_for(self.is_complete)
        self.assert_no_violations()

    def test_a_part_that_is_down_does_not_delay_a_failover(self):
        self.workers.run_s = 0.3
        self.coordinate()
        self.accept(case.step(8))
        self.wait_for(lambda: self.workers.starts == 8)
        self.kill()
        self.store.parts_down = {rows.job_row_ids(JOB)[0].part}
        self.coordinate()
        self.wait_for(self.is_complete)
        self.assertEqual(8, self.workers.starts)
        self.assert_no_violations()

    # Guards against a job that runs again, since its progress was stored without the
    # copy of the job and the part with its row was down at a later failover.
    def test_no_progress_is_stored_before_the_copy_of_its_job(self):
        self.patch(fenced_writer, "MAX_ROWS", 1)
        copy, transact = rows.job_copy_row_id(JOB), self.store.transact

        def transact_in_part(checks, puts, removals=()):
            if copy in puts:
                return errors.Unavailable(reason="the store is unreachable")
            return transact(checks, puts, removals)

        self.store.transact = transact_in_part
        self.accept(case.step(2), case.step(1, after=(0,)))
        self.coordinate()
        gevent.sleep(0.3)
        self.kill()
        self.store.transact = transact
        self.coordinate()
        self.wait_for(self.is_complete)
        self.kill()
        self.store.parts_down = {rows.job_row_ids(JOB)[0].part}
        self.directory.known.pop("w1")  # which would refuse the same run
        self.coordinate()
        self.store.parts_down = set()
        gevent.sleep(0.6)
        self.assertEqual(3, self.workers.starts)
        self.assert_no_violations()

    def test_a_restarted_worker_has_lost_its_earlier_tasks(self):
        self.workers.run_s = 0.3
        self.coordinate()
        self.accept(case.step(8))
        self.wait_for(lambda: self.workers.starts == 8)
        self.workers.add(case.entry("w1", cpus=4000, incarnation=2))
        self.wait_for(self.is_complete)
        self.assertEqual(12, self.workers.starts)
        self.assert_no_violations()

    def test_a_poll_after_a_failed_one_acknowledges_no_ends(self):
        """A new incarnation of a worker numbers its ends from 1 again.

        A poll with an old number would drop ends that nobody has read. Found by the
        soak with seeds 101 and 102.
        """
        polls = []
        poll = self.workers.poll

        def record(worker, epoch, acked_end, *rest):
            answer = poll(worker, epoch, acked_end, *rest)
            if worker.id == "w1":
                polls.append((acked_end, isinstance(answer, ports.PollReply)))
            return answer

        self.workers.poll = record
        self.coordinate()
        self.accept(case.step(8))
        self.wait_for(self.is_complete)
        self.wait_for(lambda: polls[-1][0] > 0)
        self.workers.silent.add("w1")
        self.wait_for(lambda: not polls[-1][1])
        count = len(polls)
        self.workers.silent.discard("w1")
        self.wait_for(lambda: polls[-1][1] and len(polls) > count)
        after_misses = [
            seen
            for (_, answered), (seen, _) in itertools.pairwise(polls)
            if not answered
        ]
        self.assertEqual({0}, set(after_misses))

    def test_a_poll_after_a_start_without_reply_acknowledges_no_ends(self):
        # The end of the run clears the mark that is looked for.
        self.workers.run_s = 0.5
        leader = self.coordinate()
        self.accept(case.step(1))
        self.workers.lose_answers = 1
        self.wait_for(
            lambda: any(w.may_have_restarted for w in leader.cell.workers.values())
        )
        self.wait_for(self.is_complete)
        self.wait_for(
            lambda: not any(w.may_have_restarted for w in leader.cell.workers.values())
        )

    def test_an_unreadable_row_does_not_stop_the_others(self):
        self.store.put(rows.job_row_ids("bad")[0], b"\xff")
        self.store.put(rows.progress_row_id("bad"), b"\xff")
        self.accept(case.step(2))
        self.coordinate()
        self.wait_for(self.is_complete)
