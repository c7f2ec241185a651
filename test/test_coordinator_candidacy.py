"""Which process is to coordinate."""

import math
import random

import msgspec
import testtools

from toucanspring.coordinator import candidacy, rows

# VMs of a site with 6 large and 37 small ones.
LARGE = candidacy.find_strength(2.15, 100.0)
SMALL = candidacy.find_strength(0.516, 5.0)


class StrengthTest(testtools.TestCase):
    def test_the_scarcer_of_processor_and_link_limits_the_strength(self):
        self.assertEqual(
            candidacy.find_strength(2.0, 1.0), candidacy.find_strength(4.0, 1.0)
        )
        self.assertEqual(
            candidacy.find_strength(0.5, 1000.0), candidacy.find_strength(0.5, 2000.0)
        )

    def test_an_unknown_amount_does_not_limit(self):
        self.assertEqual(0.0, candidacy.find_strength(0.0, 0.0))
        self.assertGreater(candidacy.find_strength(0.5, 0.0), 0.0)
        self.assertGreater(candidacy.find_strength(0.0, 10.0), 0.0)
        for odd in (-1.0, math.nan, math.inf):
            self.assertEqual(0.0, candidacy.find_strength(odd, odd))


class MemberRowTest(testtools.TestCase):
    def test_a_row_of_the_previous_build_has_unknown_capacity(self):
        # Guards against processes that cannot read each other during a rolling update.
        former = msgspec.msgpack.encode(["one", "10.0.0.1", 7420])
        member = rows.decode(rows.MemberRow, former)
        self.assertEqual(
            ("one", 0.0, 0.0), (member.process, member.cores, member.link_mbps)
        )

    def test_the_previous_build_reads_a_row_of_this_one(self):
        class Former(msgspec.Struct, frozen=True, array_like=True):
            process: str
            address: str
            port: int

        written = rows.encode(rows.MemberRow("one", "10.0.0.1", 7420, 0.5, 5.0, 200))
        read = msgspec.msgpack.Decoder(Former).decode(written)
        self.assertEqual(Former("one", "10.0.0.1", 7420), read)


class TakeoverWaitTest(testtools.TestCase):
    NAMES = tuple(f"edge-{number:02}" for number in range(43))

    def waits(self, strengths, coordinator, dead=()):
        """Return the wait of each live process, which sees its ring neighbours."""
        names = sorted(strengths)
        found = {}
        for number, name in enumerate(names):
            if name == coordinator or name in dead:
                continue
            ring = [names[(number + step) % len(names)] for step in (1, 2)]
            gone = set(ring) & {*dead, coordinator}
            found[name] = candidacy.find_takeover_wait_s(
                name, strengths, gone, coordinator
            )
        return found

    def test_all_strong_processes_act_before_any_weak_one(self):
        # Guards against takeovers by VMs whose link carries no coordinator: 6 large
        # and 37 small VMs, in any order of names.
        for seed in range(200):
            luck = random.Random(seed)
            strong = luck.sample(self.NAMES, 6)
            strengths = dict.fromkeys(self.NAMES, SMALL) | dict.fromkeys(strong, LARGE)
            waits = self.waits(strengths, strong[0])
            weak = [wait for name, wait in waits.items() if name not in strong]
            last = max(waits[name] for name in strong[1:])
            self.assertEqual(0, min(waits[name] for name in strong[1:]), seed)
            self.assertGreater(min(weak), last, seed)

    def test_one_of_equal_processes_acts_at_once_and_alone(self):
        # Guards against a takeover that is slower between equal VMs, and against the
        # race of several processes that each see only their neighbours.
        for strength in (0.0, LARGE):
            strengths = dict.fromkeys(self.NAMES[:9], strength)
            for coordinator in strengths:
                waits = list(self.waits(strengths, coordinator).values())
                self.assertEqual(1, waits.count(0.0))

    def test_an_equal_process_acts_at_once_if_those_before_it_are_gone(self):
        strengths = dict.fromkeys(self.NAMES[:9], LARGE)
        for number in range(2, 9):
            dead = (self.NAMES[number - 1],)
            waits = self.waits(strengths, self.NAMES[number], dead)
            self.assertEqual(0.0, waits[self.NAMES[number - 2]])

    def test_the_wait_is_bounded_whoever_is_gone(self):
        # Guards against a cell that waits for strong processes which are gone, since
        # their rows stay.
        limit_s = candidacy.WEAK_WAIT_S + candidacy.MAX_RANK * candidacy.RANK_WAIT_S
        for seed in range(200):
            luck = random.Random(seed)
            strengths = {name: luck.choice((0.0, SMALL, LARGE)) for name in self.NAMES}
            dead = luck.sample(self.NAMES, 40)
            waits = self.waits(strengths, dead[0], dead)
            self.assertLessEqual(max(waits.values()), limit_s)

    def test_the_only_strong_process_is_not_awaited_once_it_has_failed(self):
        strengths = dict.fromkeys(self.NAMES, SMALL) | {"edge-07": LARGE}
        self.assertEqual(0.0, min(self.waits(strengths, "edge-07").values()))

    def test_a_weak_process_leaves_a_free_lease_to_strong_ones(self):
        wait_s = candidacy.find_weak_wait_s
        strengths = {"a": SMALL, "b": LARGE, "c": 0.0}
        self.assertEqual(candidacy.WEAK_WAIT_S, wait_s("a", strengths, ()))
        self.assertEqual(0.0, wait_s("a", strengths, ("b",)))
        self.assertEqual(0.0, wait_s("b", strengths, ()))
        self.assertEqual(0.0, wait_s("c", strengths, ()))
        self.assertEqual(0.0, wait_s("d", {}, ()))

    def test_a_failing_coordinator_asks_strong_and_weak_processes(self):
        strengths = dict.fromkeys("abcdef", LARGE) | dict.fromkeys("uvw", SMALL)
        order = candidacy.order_successors(list("vaubcdef"), strengths)
        self.assertEqual(list("ab"), order[:2])
        self.assertEqual({"u", "v"}, set(order[2:4]))
        self.assertEqual(set("abcdefuv"), set(order))


class HandoverTest(testtools.TestCase):
    def test_a_weak_coordinator_hands_over_to_strong_processes_only(self):
        strengths = {"a": SMALL, "b": SMALL, "c": LARGE, "d": LARGE * 0.9, "e": 0.0}
        self.assertEqual(["c", "d"], candidacy.find_successors("a", strengths, "bcde"))
        self.assertEqual([], candidacy.find_successors("a", strengths, "be"))
        for name in "cde":
            self.assertEqual([], candidacy.find_successors(name, strengths, "abcde"))

    def test_a_lease_that_is_handed_over_goes_no_further(self):
        # Guards against a lease that moves from process to process.
        for seed in range(200):
            luck = random.Random(seed)
            strengths = {name: luck.uniform(0, LARGE) for name in "abcdefgh"}
            for name in strengths:
                for successor in candidacy.find_successors(name, strengths, strengths):
                    self.assertEqual(
                        [], candidacy.find_successors(successor, strengths, strengths)
                    )

    def test_handovers_are_limited_and_a_failed_one_is_repeated(self):
        pace = candidacy.HandoverPace()
        self.assertTrue(pace.may_offer(1, 0.0))
        pace.offered_at = 0.0
        pace.record_handover(1, 0.0)
        self.assertFalse(pace.may_offer(1, candidacy.OFFER_RETRY_S * 0.9))
        self.assertTrue(pace.may_offer(1, candidacy.OFFER_RETRY_S))
        self.assertFalse(pace.may_offer(3, candidacy.OFFER_RETRY_S))
        self.assertTrue(pace.may_offer(3, candidacy.HANDOVER_INTERVAL_S))
