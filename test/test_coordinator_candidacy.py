"""Which process is to coordinate."""

import math

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
