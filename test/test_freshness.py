import testtools

from toucanspring.cell import freshness, ownership

TIMING = ownership.Timing()
OLD = freshness.Versions(1, 1, 1)
NEW = freshness.Versions(1, 2, 1)
MEMBERS = ["a", "b", "c", "d"]


class FreshnessTest(testtools.TestCase):
    def test_a_view_counts_from_the_request_for_the_head(self):
        view = freshness.confirm_by_head(freshness.View(OLD), OLD, 10.0)
        validity = freshness.renew(ownership.Lease(), view.confirmed_at)
        self.assertIs(ownership.LeaseState.HELD, ownership.lease_state(validity, 11.4))
        self.assertIs(
            ownership.LeaseState.NARROWED, ownership.lease_state(validity, 11.5)
        )

    def test_a_stale_or_newer_head_confirms_nothing(self):
        # Guards against a stale read that makes an old view look current.
        view = freshness.View(NEW, 5.0)
        self.assertEqual(view, freshness.confirm_by_head(view, OLD, 10.0))
        self.assertEqual(view, freshness.confirm_by_head(view, NEW, 4.0))

    def test_the_age_of_a_peers_view_counts_back_from_the_echo(self):
        view = freshness.confirm_by_peer(
            freshness.View(OLD), OLD, 1.0, 10.0, TIMING.drift
        )
        self.assertAlmostEqual(8.95, view.confirmed_at)
        other = freshness.confirm_by_peer(
            freshness.View(NEW), OLD, 0.1, 10.0, TIMING.drift
        )
        self.assertEqual(ownership.NEVER, other.confirmed_at)

    def test_mutual_confirmation_does_not_refresh_a_view(self):
        # Guards against two processes that keep each other fresh without the store.
        first = freshness.View(OLD, 10.0)
        second = freshness.View(OLD)
        for now in (10.5, 11.0, 11.5):
            age_s = now - first.confirmed_at
            second = freshness.confirm_by_peer(second, OLD, age_s, now, TIMING.drift)
            age_s = now - second.confirmed_at
            first = freshness.confirm_by_peer(first, OLD, age_s, now, TIMING.drift)
        self.assertEqual(10.0, first.confirmed_at)
        self.assertTrue(second.confirmed_at <= 10.0)

    def test_only_a_majority_with_the_same_versions_extends_a_view(self):
        # Guards against use of an old view after half of the members have confirmed a
        # newer one, so that the change was reported as accepted.
        promises = dict.fromkeys(MEMBERS, 11.0)
        view = freshness.View(OLD, 10.0)
        validity = freshness.renew(ownership.Lease(), 10.0)
        for known, until in (
            (dict.fromkeys(MEMBERS, OLD), 12.5),
            ({**dict.fromkeys(MEMBERS, OLD), "b": NEW}, 12.5),
            ({**dict.fromkeys(MEMBERS, OLD), "b": NEW, "c": NEW}, 11.5),
            (dict.fromkeys(MEMBERS[:2], OLD), 11.5),
        ):
            found = freshness.extend(validity, view, [MEMBERS], promises, known, 11.1)
            self.assertEqual(until, found.valid_until)
        found = freshness.extend(validity, view, [], promises, known, 11.1)
        self.assertEqual(11.5, found.valid_until)

    def test_an_ended_extension_needs_a_confirmed_view(self):
        # Guards against a partitioned process that the others no longer list.
        view = freshness.View(OLD, 10.0)
        validity = freshness.renew(ownership.Lease(), 10.0)
        known = dict.fromkeys(MEMBERS, OLD)
        late = dict.fromkeys(MEMBERS, 12.0)
        validity = freshness.extend(validity, view, [MEMBERS], late, known, 12.0)
        self.assertIs(
            ownership.LeaseState.NARROWED, ownership.lease_state(validity, 12.0)
        )
        validity = freshness.renew(validity, 12.0)
        self.assertIs(ownership.LeaseState.HELD, ownership.lease_state(validity, 12.1))

    def test_a_change_needs_half_of_each_list_or_the_member_itself(self):
        # Guards against a minority with store access that no longer lists the others
        # and accepts a change that these do not know while they use the old one.
        rows = dict.fromkeys(MEMBERS, MEMBERS)
        for confirmed, accepted in (
            ({"a"}, False),
            ({"a", "b"}, True),
            ({"x", "y", "z"}, False),
        ):
            self.assertEqual(accepted, freshness.is_accepted(rows, confirmed))
        self.assertTrue(freshness.is_accepted({"z": MEMBERS}, {"z"}))
        self.assertTrue(freshness.is_accepted({"a": ["a"]}, {"a"}))
