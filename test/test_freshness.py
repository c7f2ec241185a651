import testtools

from toucanspring import freshness, ownership

TIMING = ownership.Timing()
OLD = freshness.Versions(1, 1, 1)
NEW = freshness.Versions(1, 2, 1)
MEMBERS = ["a", "b", "c", "d"]


class FreshnessTest(testtools.TestCase):
    def test_a_view_counts_from_the_request_for_the_head(self):
        view = freshness.confirm(freshness.View(OLD), OLD, 10.0)
        self.assertTrue(freshness.is_young(view, 11.5))
        self.assertFalse(freshness.is_young(view, 11.6))

    def test_a_stale_or_newer_head_confirms_nothing(self):
        # Guards against a lagging read that makes an old view look like the latest.
        view = freshness.View(NEW, 5.0)
        self.assertEqual(view, freshness.confirm(view, OLD, 10.0))
        self.assertEqual(view, freshness.confirm(view, NEW, 4.0))

    def test_the_age_of_a_peers_view_counts_back_from_the_echo(self):
        view = freshness.vouch(freshness.View(OLD), OLD, 1.0, 10.0, TIMING.drift)
        self.assertAlmostEqual(8.95, view.confirmed_at)
        other = freshness.vouch(freshness.View(NEW), OLD, 0.1, 10.0, TIMING.drift)
        self.assertEqual(ownership.NEVER, other.confirmed_at)

    def test_vouching_in_a_circle_does_not_make_a_view_younger(self):
        # Guards against two processes without the store that keep each other fresh.
        first = freshness.View(OLD, 10.0)
        second = freshness.View(OLD)
        for now in (10.5, 11.0, 11.5):
            age_s = now - first.confirmed_at
            second = freshness.vouch(second, OLD, age_s, now, TIMING.drift)
            age_s = now - second.confirmed_at
            first = freshness.vouch(first, OLD, age_s, now, TIMING.drift)
        self.assertEqual(10.0, first.confirmed_at)
        self.assertFalse(freshness.is_young(second, 11.6))

    def test_only_a_majority_with_the_same_versions_vouches(self):
        # Guards against going on with an old view when half of the members, which
        # confirmed a change to the operator, know a newer one.
        promises = dict.fromkeys(MEMBERS, 19.0)
        view = freshness.View(OLD, 10.0)
        for known, vouched in (
            (dict.fromkeys(MEMBERS, OLD), True),
            ({**dict.fromkeys(MEMBERS, OLD), "b": NEW}, True),
            ({**dict.fromkeys(MEMBERS, OLD), "b": NEW, "c": NEW}, False),
            (dict.fromkeys(MEMBERS[:2], OLD), False),
        ):
            found = freshness.is_vouched(view, 20.0, MEMBERS, promises, known, TIMING)
            self.assertEqual(vouched, found)
        known = dict.fromkeys(MEMBERS, OLD)
        later = freshness.is_vouched(view, 21.0, MEMBERS, promises, known, TIMING)
        self.assertFalse(later)
