import pkgutil

import testtools

from spec import __main__ as runner
from spec import model, resizing, world


class SpecTest(testtools.TestCase):
    def test_the_invariants_hold_in_the_full_small_spaces(self):
        # Guards against a change of a decision function that breaks ownership or
        # at-most-once starts. `python -m spec` checks the larger spaces.
        for bounds in runner.SPACES[3:]:
            result, depth = runner.check(world.Rules(), bounds)
            self.assertTrue(result["exhaustive"])
            self.assertEqual({}, runner.broken(result))
            self.assertGreater(result["reachable_states"], 10_000)
            self.assertGreater(depth, 20)

    def test_each_removed_rule_breaks_an_invariant(self):
        # Guards against a model that could not notice the loss of a rule.
        expected = {
            "fence": "a non-idempotent task starts at most once",
            "takeover_wait": "one owner at a time",
            "intent_record": "a non-idempotent task starts at most once",
            "hold": "no task runs in two places",
            "lost_wait": "no task runs in two places",
        }
        for rule, (rules, bounds) in runner.REMOVALS.items():
            result, _ = runner.check(rules, bounds, runner.REMOVAL_STATES)
            self.assertIn(expected[rule], runner.broken(result), rule)

    def test_a_change_of_the_number_accepts_an_id_once_and_loses_none(self):
        # Guards against rules of a change that the code states and nothing needs, and
        # against an ID that two partitions accept or that none has any more.
        bounds = resizing.Bounds(takeovers=0)
        result, _ = runner.check(resizing.Rules(), bounds)
        self.assertTrue(result["exhaustive"])
        self.assertEqual({}, runner.broken(result))
        for rule, (rules, bounds) in resizing.REMOVALS.items():
            result, _ = runner.check(rules, bounds, runner.REMOVAL_STATES)
            broken = runner.broken(result)
            self.assertIn("an ID is accepted at most once", broken, rule)

    def test_every_action_names_an_existing_implementation(self):
        # Guards against a model of functions that were renamed or removed.
        seen = set()
        protocol = model.Model(world.Rules(), world.Bounds(tasks="N")).protocol()
        frontier = [protocol.initial]
        for _ in range(9):
            following = [step for s in frontier for step in protocol.transitions(s)]
            seen.update(label for label, _ in following)
            frontier = {after for _, after in following}
        named = set(model.ACTIONS)
        unseen = set(named)
        for label in seen:
            found = {name for name in named if label.startswith(name)}
            self.assertNotEqual(set(), found, label)
            unseen -= found
        self.assertEqual({"restart worker"}, unseen)  # outside of these bounds
        for name in [*model.ACTIONS.values(), *resizing.ACTIONS.values()]:
            pkgutil.resolve_name(name)
