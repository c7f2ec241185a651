import testtools

from test import fake_cell
from toucanspring import errors
from toucanspring.cell import claims, member_rows, ownership


class LocalMemberTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cell = fake_cell.Cell(3, partitions=1)
        self.addCleanup(self.cell.stop)
        self.cell.run(6)
        (owner,) = self.cell.owners(0)
        self.node = self.cell.nodes[owner]
        self.member = self.node.membership.local_member
        self.others = [n for n in self.cell.nodes.values() if n is not self.node]

    def row(self):
        return member_rows.decode_row(self.cell.shared.rows[self.member.key])

    def test_a_renewal_with_a_lost_response_counts_from_its_sending(self):
        self.node.client.lose[self.member.key] = 1
        result = self.member.write()
        self.assertNotIsInstance(result, errors.Failure)
        self.assertEqual(
            self.node.clock() + 2.5, self.member.lease.granted_until, result
        )

    def test_a_lost_renewal_does_not_extend_the_lease(self):
        # Guards against mistaking the row of an earlier attempt for this one.
        self.node.client.lose[self.member.key] = 1
        self.node.client.read = lambda keys: errors.Unavailable(reason="down")
        self.assertIsInstance(self.member.write(), errors.Ambiguous)
        del self.node.client.read
        before = self.member.lease
        self.cell.now += 1.0
        self.node.client.drop[self.member.key] = 1
        self.assertIsInstance(self.member.write(), errors.Unavailable)
        self.assertEqual(before, self.member.lease)

    def test_a_renewal_delayed_in_the_store_is_harmless(self):
        self.node.client.late[self.member.key] = 1
        self.assertIsInstance(self.member.write(), errors.Unavailable)
        self.assertIsInstance(self.member.write(), claims.tables.Committed)
        (late,) = self.node.client.deliver_late()
        self.assertIsInstance(late, errors.Conflict)
        # The other order: the delayed attempt arrives before the next one.
        self.node.client.late[self.member.key] = 1
        self.member.write()
        self.node.client.deliver_late()
        self.node.client.kept_back.clear()
        self.assertIsInstance(self.member.write(), claims.tables.Committed)

    def test_both_lists_count_until_a_renewal_is_known_to_be_in_effect(self):
        # Guards against a majority of a member list that the row no longer contains.
        self.cell.add("p9", partitions=1)
        self.cell.run(4)
        self.member.possible_member_lists = [["p0", "p1", "p2"]]
        self.node.client.drop[self.member.key] = 1
        self.member.write()
        self.assertEqual(2, len(self.member.possible_member_lists))
        self.member.write()
        self.assertEqual([["p0", "p1", "p2", "p9"]], self.member.possible_member_lists)

    def test_an_owner_paused_past_its_lease_may_do_nothing_when_it_resumes(self):
        # Guards against work started between the pause and the next renewal.
        self.node.paused = True
        self.cell.run(4)
        self.assertFalse(self.node.owns(0))
        (successor,) = self.cell.owners(0)
        self.node.paused = False
        self.cell.run(2)
        self.assertEqual([successor], self.cell.owners(0))
        self.assertEqual(claims.PartitionLost(0, superseded=True), self.node.events[-1])
        self.assertEqual(-1, self.node.claims.row_version(0))

    def test_no_promise_while_a_claim_may_still_take_effect(self):
        # Guards against a claim in flight that takes effect after the promise.
        claimer = self.others[0].membership.local_member
        self.others[0].client.late[claimer.key] = 1
        claimer.write({}, {"partitions/9": b""}, claim=True)
        self.others[0].client.down = True
        self.cell.run(3)
        self.assertFalse(claimer.try_promise(self.others[0].clock()))
        self.others[0].client.down = False
        claimer.write()
        self.others[0].client.down = True
        self.cell.run(1.2)
        self.assertTrue(claimer.try_promise(self.others[0].clock()))

    def test_no_claim_is_sent_after_a_promise(self):
        # Guards against a promise made while the claim waited for the lock of the row.
        other = self.others[0]
        other.membership.local_member.promised_at = other.clock()
        result = other.membership.local_member.write(
            {}, {"partitions/9": b""}, claim=True
        )
        self.assertIsInstance(result, errors.Refused)

    def test_a_process_whose_name_was_taken_stops_at_once(self):
        # Guards against two processes with one name.
        self.cell.add(self.node.name, partitions=1).step()
        taker = self.cell.nodes[self.node.name]
        taker.membership.poll()
        taker.membership._renew()
        self.assertIsInstance(self.member.write(), errors.Fenced)
        self.assertTrue(self.node.membership.replaced)
        self.assertIs(
            ownership.LeaseState.NARROWED,
            self.node.membership.lease_state(self.node.clock()),
        )

    def test_a_deleted_row_is_written_again(self):
        # Guards against a row deleted by an operator or by another process.
        del self.cell.shared.rows[self.member.key]
        self.assertIsInstance(self.member.write(), claims.tables.Committed)
        self.assertEqual(self.node.name, self.row().member.process)

    def test_a_row_that_successors_need_is_kept_at_shutdown(self):
        self.node.client.drop["partitions/0"] = 3
        self.node.claims.stop()
        self.member.remove()
        self.assertIn(self.member.key, self.cell.shared.rows)
        idle = self.others[0].membership.local_member
        idle.remove()
        self.assertNotIn(idle.key, self.cell.shared.rows)
