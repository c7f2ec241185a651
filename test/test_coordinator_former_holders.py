"""Former holders of the leader lease that may still renew leases of workers."""

from test import coordinator_case as case
from test import test_coordinator_leadership, test_coordinator_store
from toucanspring import errors
from toucanspring.coordinator import fenced_writer, leader_lease, recovery, rows

MAX_LEASE_S = 6.0


class FormerHoldersTest(test_coordinator_store.LeaderLeaseCase):
    def take_over(self, process, epoch):
        return leader_lease.acquire(
            self.store, process, "10.0.0.9", process, leader_lease.Takeover(epoch)
        )

    def find_wait_s(self, acquired):
        """Return how long a new coordinator waits for the leases of silent workers."""
        return recovery.find_longest_lease(acquired, 0.0, MAX_LEASE_S)

    def assert_waits_for_the_first(self, acquired, since_s=0.0):
        """Check the wait if the first holder was replaced `since_s` ago."""
        # The first one renews leases for as long as it considers its own lease valid,
        # and through an outage of the store that it cannot tell from its replacement.
        self.assertIsInstance(acquired, leader_lease.Acquired)
        renews_for_s = leader_lease.LEASE_MS / 1000 + 6.0 - since_s
        self.assertGreaterEqual(
            self.find_wait_s(acquired), renews_for_s + MAX_LEASE_S - 0.001
        )

    # Guards against a task that runs twice: a coordinator that was cut off renews the
    # lease of its worker, and the one after its successor starts the task again.
    def test_a_release_does_not_hide_the_holder_before(self):
        self.acquire("one")
        second = self.make_writer(self.take_over("two", 1))
        self.assertIsNone(second.commit({}))
        self.assertIsNone(second.release())
        self.assert_waits_for_the_first(self.acquire("three"))

    # As above; the successor is killed and acquires the lease under its own name.
    def test_a_restart_does_not_hide_the_holder_before(self):
        self.acquire("one")
        self.take_over("two", 1)
        self.assert_waits_for_the_first(self.acquire("two"))

    # As above; the answer to the successor's acquisition is lost.
    def test_a_lost_answer_does_not_hide_the_holder_before(self):
        self.acquire("one")
        self.store.lose_answers = 1
        self.assertIsInstance(self.take_over("two", 1), errors.Ambiguous)
        self.assert_waits_for_the_first(self.acquire("two"))

    # As above, through several releases.
    def test_a_row_of_releases_does_not_hide_the_holder_before(self):
        self.acquire("one")
        epoch = 1
        for process in ("two", "three", "four"):
            writer = self.make_writer(self.take_over(process, epoch))
            epoch += 1
            self.clock.now += 0.5
            self.assertIsNone(writer.commit({}))
            self.assertIsNone(writer.release())
        self.assert_waits_for_the_first(self.acquire("five"), since_s=1.5)

    # Guards against a wait for a holder that can renew no lease any more.
    def test_a_former_holder_is_waited_for_no_longer_than_it_renews(self):
        self.acquire("one")
        second = self.make_writer(self.take_over("two", 1))
        for _ in range(10):
            self.clock.now += 1.0
            self.assertIsNone(second.commit({}))
        self.assertIsNone(second.release())
        self.assertLess(self.find_wait_s(self.acquire("three")), MAX_LEASE_S + 0.5)

    # Guards against a row of a version that did not store until when others renew.
    def test_a_row_without_the_time_counts_as_if_others_renew(self):
        held = self.acquire("one").lease
        old = [held.process, held.address, 7, 3, 0, held.instance_id]
        self.store.put(rows.LEADER_LEASE_ROW, rows.encode(old))
        self.assert_waits_for_the_first(self.acquire("two"))


class SilentWorkerTest(test_coordinator_leadership.LeadershipCase):
    # Guards against a task that runs twice: its worker hears only the coordinator
    # before the last one, which renews its lease for some seconds more.
    def test_a_worker_is_not_lost_while_the_holder_before_last_may_renew(self):
        self.workers.run_s = 60
        self.coordinate("one")
        self.accept(case.step(1))
        self.wait_for(lambda: self.workers.starts == 1)
        [busy] = [name for name, each in self.workers.incarnations.items() if each.runs]
        self.kill()
        self.workers.silent.add(busy)
        acquired = leader_lease.acquire(
            self.store, "two", "10.0.0.2", "two", leader_lease.Takeover(1)
        )
        second = fenced_writer.FencedWriter(
            self.store, acquired, acquired.find_store_clock()
        )
        self.assertIsNone(second.release())
        leader = self.coordinate("three")
        left_s = leader.cell.workers[busy].lease_expires_at - leader._acquired_at
        self.assertGreater(left_s, MAX_LEASE_S + leader_lease.LEASE_MS / 1000)
