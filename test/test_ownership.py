import random

import logbook
import testtools
from testtools import content

from test import fake_cell
from toucanspring.cell import ownership

TIMING = ownership.Timing()
FIVE = ["a", "b", "c", "d", "e"]


class OwnershipTest(testtools.TestCase):
    def test_the_lease_counts_from_sending_even_if_the_response_is_late(self):
        # Guards against a pause between the store's commit and the response.
        lease = ownership.renew(ownership.Lease(), 10.0, TIMING)
        self.assertIs(ownership.LeaseState.HELD, ownership.lease_state(lease, 12.4))
        self.assertIs(ownership.LeaseState.NARROWED, ownership.lease_state(lease, 12.5))

    def test_an_older_renewal_does_not_shorten_the_lease(self):
        lease = ownership.renew(ownership.Lease(), 10.0, TIMING)
        self.assertEqual(lease, ownership.renew(lease, 9.0, TIMING))

    def test_an_extension_needs_more_than_half(self):
        # Guards against two halves of a cell that both keep their partitions.
        for count, extended in ((2, False), (3, True)):
            promises = dict.fromkeys(FIVE[:count], 11.5)
            until = ownership.majority_until(FIVE, promises, TIMING)
            self.assertEqual(extended, until == 13.5)
        half = dict.fromkeys(FIVE[:2], 11.5)
        until = ownership.majority_until(FIVE[:4], half, TIMING)
        self.assertEqual(ownership.NEVER, until)

    def test_an_ended_extension_is_not_resumed_by_new_promises(self):
        # Guards against an owner paused beyond its lease; a successor may exist.
        lease = ownership.renew(ownership.Lease(), 10.0, TIMING)
        promises = dict.fromkeys(FIVE, 12.0)
        lease = ownership.extend(lease, [FIVE], promises, 12.1, TIMING)
        self.assertIs(ownership.LeaseState.EXTENDED, ownership.lease_state(lease, 13.9))
        later = dict.fromkeys(FIVE, 14.5)
        lease = ownership.extend(lease, [FIVE], later, 14.6, TIMING)
        self.assertIs(ownership.LeaseState.NARROWED, ownership.lease_state(lease, 14.6))
        renewed = ownership.renew(lease, 15.0, TIMING)
        self.assertIs(ownership.LeaseState.HELD, ownership.lease_state(renewed, 15.1))

    def test_a_majority_must_hold_in_each_list_the_row_may_contain(self):
        # Guards against a lost response to a renewal that changed the member list.
        lease = ownership.renew(ownership.Lease(), 10.0, TIMING)
        promises = dict.fromkeys(["a", "b"], 12.0)
        lists = [["a", "b", "c"], FIVE]
        lease = ownership.extend(lease, lists, promises, 12.1, TIMING)
        self.assertEqual(12.5, lease.valid_until)

    def test_a_claim_waits_for_lease_and_drift_after_the_first_read(self):
        seen = ownership.observe(None, 1, 7, 20.0)
        seen = ownership.observe(seen, 1, 7, 21.0)
        self.assertFalse(ownership.is_lease_expired(seen, 1, 22.6, TIMING))
        self.assertTrue(ownership.is_lease_expired(seen, 1, 22.63, TIMING))
        renewed = ownership.observe(seen, 1, 8, 22.6)
        self.assertFalse(ownership.is_lease_expired(renewed, 1, 25.2, TIMING))

    def test_the_lease_of_a_restarted_process_counts_from_the_restart(self):
        # Guards against regarding the lease of a paused former incarnation as expired
        # at once, and against waiting forever because the new incarnation renews.
        seen = ownership.observe(None, 1, 7, 20.0)
        seen = ownership.observe(seen, 2, 1, 21.0)
        seen = ownership.observe(seen, 2, 2, 22.0)
        self.assertFalse(ownership.is_lease_expired(seen, 1, 23.6, TIMING))
        self.assertTrue(ownership.is_lease_expired(seen, 1, 23.63, TIMING))

    def test_a_member_that_promised_claims_nothing_for_a_while(self):
        self.assertFalse(ownership.may_claim(True, 10.0, 12.05, TIMING))
        self.assertTrue(ownership.may_claim(True, 10.0, 12.11, TIMING))

    def test_a_former_owner_is_gone_only_after_a_promise_free_moment(self):
        # Guards against members that regain and lose the store in turn: each was seen
        # without a promise, but half of the list was never promise-free at once.
        free = ownership.PromiseFreeInterval(20.0, 22.2)
        short = ownership.PromiseFreeInterval(21.0, 22.2)
        apart = ownership.PromiseFreeInterval(23.0, 25.2)
        for promise_free, gone in (
            ({"a": free, "b": free}, False),
            ({"a": free, "b": free, "c": free}, True),
            ({"a": free, "b": free, "c": short}, False),
            ({"a": free, "b": free, "c": apart}, False),
        ):
            found = ownership.extension_ended(FIVE, promise_free, 19.0, 23.0, TIMING)
            self.assertEqual(gone, found)
        promise_free = {"a": free, "b": free, "c": free}
        self.assertFalse(
            ownership.extension_ended(FIVE, promise_free, 22.3, 23.0, TIMING)
        )

    def test_an_extension_ends_after_its_limit(self):
        # Guards against a successor that waits forever because all members of the
        # former owner's list are gone, and against one that does not wait long enough.
        limit = TIMING.extension_s
        lease = ownership.renew(ownership.Lease(), 0.0, TIMING)
        now = 1.0
        while ownership.lease_state(lease, now) is not ownership.LeaseState.NARROWED:
            promises = dict.fromkeys(FIVE, now)
            lease = ownership.extend(lease, [FIVE], promises, now, TIMING)
            now += 1.0
        self.assertLessEqual(now, TIMING.lease_s + limit + 1)
        self.assertGreater(now, limit)
        # The owner's clock may be slower than the successor's by the drift.
        ended_at = (TIMING.lease_s + limit) * (1 + TIMING.drift)
        self.assertFalse(
            ownership.extension_ended(FIVE, {}, 0.0, ended_at - 0.1, TIMING)
        )
        self.assertTrue(ownership.extension_ended(FIVE, {}, 0.0, ended_at, TIMING))

    def test_the_promise_free_interval_is_shortened_at_both_ends(self):
        promise_free = ownership.promise_free_interval(30.0, 30.4, 10.0, TIMING)
        self.assertEqual(ownership.PromiseFreeInterval(30.4 - 9.5, 30.0), promise_free)


class SimulatedCellTest(testtools.TestCase):
    """Random failures in a cell whose clocks drift up to the assumed bound."""

    def setUp(self):
        super().setUp()
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)

    def check(self):
        for partition in range(3):
            owners = [
                node
                for node in self.cell.nodes.values()
                if not node.dead and node.owns(partition)
            ]
            held = [node.name for node in owners if node.holds_lease()]
            self.assertTrue(len(held) <= 1, f"{held} hold partition {partition}")
            self.extended += len(owners) > len(held)
            if not owners:
                continue
            last = max(owners, key=lambda node: node.claims.owned()[partition])
            if last.claims.previous_owner_gone(partition, last.clock()):
                self.assertEqual([last], owners)

    def simulate(self, seed, seconds=45):
        self.addDetail("seed", content.text_content(str(seed)))
        rng = random.Random(seed)
        self.cell = fake_cell.make_drifting_cell(5, rng)
        self.cell.run(6, self.check)
        while self.cell.now < seconds:
            for _ in range(rng.randrange(1, 3)):
                self.cell.inject_fault(rng)
            self.cell.run(rng.choice([0.3, 1, 2.5, 4]), self.check)
            if rng.random() < 0.6:
                self.cell.heal(rng)
        self.cell.heal_all(rng)
        recovered_s = self.cell.run_until(
            lambda: all(len(self.cell.owners(p)) == 1 for p in range(3))
        )
        self.cell.stop()
        self.assertIsNotNone(recovered_s, "not every partition has an owner again")

    def test_at_most_one_owner_acts_and_the_cell_recovers(self):
        # Guards against two holders of a lease, against an owner that still acts after
        # its successor regards it as gone, and against partitions without an owner.
        self.extended = 0
        for seed in range(15):
            self.simulate(seed)
        self.assertTrue(self.extended > 100, "extensions were not exercised")
