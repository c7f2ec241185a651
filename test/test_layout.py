import testtools

from test import fake_tables
from toucanspring import errors, kernel
from toucanspring.adapters import tables
from toucanspring.cell import layout


class Clock:
    now = 0.0

    def __call__(self):
        self.now += 0.3  # each read of the clock is later
        return self.now


class LayoutTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(layout, "RETRY_S", 0.0)
        self.shared = fake_tables.FakeTables()
        self.one, self.other = self.open("a"), self.open("b")

    def open(self, name, **values):
        core = kernel.Kernel()
        client = self.shared.client()
        core.register("store", fake_tables.FakeStore(client))
        options = fake_tables.settings_of(name, partitions=2, **values)
        service = layout.Service(core, options, Clock())
        service.client = client
        return service

    def change(self, service, number, generation=0):
        return service.change(number, generation, "operator")

    def row(self):
        row = self.shared.rows.get(layout.ROW, tables.Row(0, b""))
        return layout._decoder.decode(row.value) if row.version else None

    def test_the_setting_applies_until_the_row_exists(self):
        self.assertEqual(2, self.one.layout.current)
        self.assertEqual((5, (2,)), self.numbers(self.change(self.one, 5)))
        self.other.reread()
        self.assertEqual((5, (2,)), self.numbers(self.other.layout))
        self.assertEqual((5, (2,)), self.numbers(self.change(self.one, 5, 1)))

    @staticmethod
    def numbers(found):
        return found.current, found.former

    def test_a_lost_response_is_resolved_by_reading_the_row(self):
        # Guards against reporting a change that took effect as a conflict.
        self.one.client.lose[layout.ROW] = 1
        self.assertEqual((5, (2,)), self.numbers(self.change(self.one, 5)))
        self.assertEqual(1, self.row().generation)

    def test_a_lost_request_is_retried_and_a_late_one_has_no_effect(self):
        self.one.client.late[layout.ROW] = 1
        self.assertEqual((5, (2,)), self.numbers(self.change(self.one, 5)))
        [late] = self.one.client.deliver_late()
        self.assertIsInstance(late, errors.Conflict)
        self.assertEqual(1, self.row().generation)

    def test_one_of_two_concurrent_changes_is_a_conflict(self):
        # Guards against two operators who both believe that their change is in force.
        self.one.client.before_commit = lambda: self.change(self.other, 7)
        found = self.change(self.one, 5)
        self.assertIsInstance(found, errors.Conflict)
        self.assertEqual((1, 0), (found.current_version, found.given_version))
        self.assertEqual((7, (2,)), self.numbers(self.row()))

    def test_a_store_that_is_down_changes_nothing(self):
        self.one.client.down = True
        found = self.change(self.one, 5)
        self.assertIsInstance(found, errors.StoreUnavailable)
        self.assertIsNone(self.row())

    def test_a_lost_response_that_cannot_be_resolved_is_ambiguous(self):
        # Guards against reporting a change that is in force as not made.
        client = self.one.client
        client.lose[layout.ROW] = 1

        def fail():
            client.read = lambda _keys: errors.Unavailable(reason="down")

        client.before_commit = fail
        self.assertIsInstance(self.change(self.one, 5), errors.Ambiguous)
        self.assertEqual(5, self.row().current)

    def test_without_moves_the_partition_count_is_fixed(self):
        # Guards against new partitions that never get a worker.
        found = self.change(self.open("c", moves="off"), 5)
        self.assertIsInstance(found, errors.Refused)

    def test_former_partition_counts_are_kept_until_removed(self):
        self.change(self.one, 5)
        back = self.change(self.one, 2, 1)
        self.assertEqual(((2, (5,)), 5), (self.numbers(back), back.count))
        self.assertIsNone(self.one.remove_former({5}, 2, {}))
        self.assertEqual(((2, ()), 2), (self.numbers(self.row()), self.row().count))

    def test_a_removal_after_another_change_has_no_effect(self):
        # Guards against removal of a former partition count that is in use again.
        self.change(self.one, 5)
        self.change(self.other, 2, 1)
        found = self.one.remove_former({2}, 1, {})
        self.assertIsInstance(found, errors.Conflict)
        self.assertEqual((2, (5,)), self.numbers(self.row()))

    def test_too_many_former_partition_counts_are_refused(self):
        for generation, number in enumerate((3, 4, 5)):
            self.change(self.one, number, generation)
        self.assertIsInstance(self.change(self.one, 6, 3), errors.Refused)
