"""Tests of `AllowanceManager` with a fake table service."""

import types

import testtools

from test import fake_tables
from toucanspring import resources
from toucanspring.owners import allowances
from toucanspring.policy import fair_share
from toucanspring.scheduling import allowance

KEY = allowances.ROW_PREFIX + "team"
TEN = resources.Resources(10_000, 10_240)
FIVE = resources.Resources(5_000, 5_120)


class AllowanceManagerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = fake_tables.FakeTables().client()
        self.delivered = {}
        store = types.SimpleNamespace(tables=self.table)
        core = types.SimpleNamespace(find=lambda name: store)
        self.manager = allowances.AllowanceManager(0, core, self.deliver)
        self.set_ceiling(TEN)
        self.manager.request_amount("team", TEN)
        # The second pass finds nothing to write and caches the row.
        for _ in range(3):
            self.manager._update_rows()

    def deliver(self, held, limits):
        self.delivered, self.limits = held, limits

    def set_ceiling(self, ceiling):
        self.manager.set_teams({"team": fair_share.Team("team", ceiling=ceiling)})

    def row(self):
        return self.table.read([KEY])[KEY]

    def test_an_unchanged_row_is_delivered_without_a_write(self):
        version = self.row().version
        self.manager._update_rows()
        self.assertEqual({"team": TEN}, self.delivered)
        self.assertEqual(version, self.row().version)

    def test_a_lowered_ceiling_shrinks_an_unchanged_row(self):
        # Guards against use of values that were cached under the former ceiling.
        self.set_ceiling(FIVE)
        self.manager._update_rows()
        self.assertEqual({"team": FIVE}, self.delivered)

    def test_a_new_target_is_written_to_an_unchanged_row(self):
        self.manager.request_amount("team", FIVE)
        self.manager._update_rows()
        self.assertEqual({"team": FIVE}, self.delivered)

    def test_a_row_changed_by_another_writer_is_read_again(self):
        row = allowance.Row(parts={0: FIVE, 1: FIVE})
        self.table.transact({}, {KEY: allowances._encode(row)})
        self.manager._update_rows()
        self.assertEqual({"team": FIVE}, self.delivered)

    def test_a_lost_answer_to_a_return_leaves_the_smaller_part(self):
        # Guards against caching a row whose write was never confirmed.
        self.table.drop = {KEY: 1}
        self.manager.request_amount("team", FIVE)
        self.manager._update_rows()
        self.assertEqual({"team": FIVE}, self.delivered)
        self.manager._update_rows()
        self.assertEqual({"team": FIVE}, self.delivered)
        self.manager._update_rows()
        self.assertEqual({"team": FIVE}, self.delivered)

    def return_all(self):
        self.manager.request_amount("team", resources.ZERO)
        for _ in range(2):
            self.manager._update_rows()

    def test_only_rows_in_use_are_read(self):
        # Guards against a read of 700 rows by each partition in each poll.
        limited = {
            f"t{number}": fair_share.Team("", ceiling=TEN) for number in range(64)
        }
        self.manager.set_teams(
            {"team": fair_share.Team("team", ceiling=TEN), **limited}
        )
        self.manager._update_rows()
        reads = [self.manager.watched_keys() for _ in range(64)]
        self.assertTrue(all(len(keys) == 2 and KEY in keys for keys in reads))
        self.assertEqual(65, len({key for keys in reads for key in keys}))

    def poll(self):
        """Deliver rows as the poll of the member rows does; return whether it woke."""
        self.manager._wakeup.clear()
        self.manager.handle_rows(self.table.read(self.manager.watched_keys()), 0.0)
        return self.manager._wakeup.is_set()

    def test_the_shared_poll_notices_a_want_of_another_partition(self):
        # Guards against an unused part that is kept while another partition wants it.
        self.assertFalse(self.poll())
        row = allowance.Row(parts={0: TEN}, wants={1: FIVE})
        self.table.transact({}, {KEY: allowances._encode(row)})
        self.assertTrue(self.poll())
        self.manager._update_rows()
        self.assertIn("team", self.limits)
        self.assertEqual(allowances.BUSY_POLL_INTERVAL_S, self.manager._interval_s)

    def test_a_read_older_than_the_own_write_changes_nothing(self):
        # Guards against use of a part that was already returned.
        keys = self.manager.watched_keys()
        old = self.table.read(keys)
        self.manager.request_amount("team", FIVE)
        for _ in range(2):
            self.manager._update_rows()
        self.manager.handle_rows(old, 0.0)
        self.assertEqual({"team": FIVE}, self.delivered)
        self.manager._update_rows()
        self.assertEqual({"team": FIVE}, self.delivered)

    def test_a_part_given_by_a_former_owner_is_found(self):
        # Guards against a part of the ceiling that nobody uses or returns.
        self.return_all()
        row = allowance.Row(parts={0: FIVE})
        self.table.transact({}, {KEY: allowances._encode(row)})
        self.assertTrue(self.poll())
        self.manager._update_rows()
        self.assertEqual({"team": FIVE}, self.delivered)

    def test_a_want_without_a_part_is_still_read(self):
        # Guards against a want that is never met because its row counts as unused.
        self.return_all()
        row = allowance.Row(parts={1: TEN})
        self.table.transact({}, {KEY: allowances._encode(row)})
        self.manager.request_amount("team", FIVE)
        for _ in range(2):
            self.manager._update_rows()
        row = allowance.Row(parts={0: FIVE, 1: FIVE})
        self.table.transact({}, {KEY: allowances._encode(row)})
        self.manager._update_rows()
        self.assertEqual({"team": FIVE}, self.delivered)
