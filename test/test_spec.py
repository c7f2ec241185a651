import pkgutil

import testtools

from spec import coordination, ownership_model, resizing, runs, states


class SpecTest(testtools.TestCase):
    def test_the_invariants_hold_in_the_full_small_spaces(self):
        # Guards against a change of a decision function that breaks ownership or
        # at-most-once starts. `python -m spec` checks the larger spaces.
        for run in runs.SPACES[3:]:
            result = runs.check(run)
            self.assertTrue(result.exhaustive)
            self.assertEqual({}, result.broken)
            self.assertGreater(result.states, 10_000)
            self.assertGreater(result.depth, 20)

    def test_each_removed_rule_breaks_an_invariant(self):
        # Guards against a model that does not detect that a rule is missing.
        expected = {
            "fence": "a non-idempotent task starts at most once",
            "takeover_wait": "one owner at a time",
            "intent_record": "a non-idempotent task starts at most once",
            "restore_wait": "no task runs in two places",
            "lost_wait": "no task runs in two places",
        }
        found = {run.without: runs.check(run).broken for run in runs.REMOVALS}
        for rule, broken in found.items():
            self.assertIn(expected[rule], broken, rule)
        self.assertEqual(expected.keys(), found.keys())

    def test_a_change_of_the_number_accepts_an_id_once_and_loses_none(self):
        # Guards against a model with rules that no invariant needs, and against an ID
        # that two partitions accept or that is in no partition any more.
        result = runs.check(runs.Run(resizing.Bounds(takeovers=0)))
        self.assertTrue(result.proved, result.broken)
        for run in runs.RESIZING_REMOVALS:
            broken = runs.check(run).broken
            self.assertIn("an ID is accepted at most once", broken, run.without)

    def test_a_task_runs_once_under_paused_and_replaced_coordinators(self):
        # Guards against a coordinator that loses a rule, or a rule that is not needed.
        for run in runs.COORDINATION_SPACES:
            result = runs.check(run)
            self.assertTrue(result.proved, result.broken)
            self.assertGreater(result.states, 5_000)
        for run in runs.COORDINATION_REMOVALS:
            broken = runs.check(run).broken
            self.assertNotEqual({}, broken, run.without)
            if run.without == "known_configuration":
                expected = "the job is failed only after the allowed number"
                self.assertIn(expected, "".join(broken))

    # Guards against a coordinator that knows of its predecessor only: the one before
    # may be cut off and still order starts. `python -m spec` checks the full space.
    def test_no_task_is_moved_while_the_holder_before_last_may_order_it(self):
        twice = (
            "claim allocate write claim restart mark-lost order allocate write order "
            "order-arrives order-arrives"
        )
        released = twice.replace("restart", "release claim")
        for labels in (twice, released):
            path = [label.replace("-", " ") for label in labels.split()]
            forgetful = coordination.Rules(known_renewals=False)
            self.assertFalse(all(map(self.runs_once, self.walk(forgetful, path))))
            self.assertEqual(set(), self.walk(coordination.Rules(), path))

    def walk(self, rules, path):
        """Return the states that the labels of a path lead to."""
        protocol = coordination.Model(rules, coordination.RELEASES).protocol()
        found = {protocol.initial}
        for label in path:
            found = {
                after
                for state in found
                for name, after in protocol.transitions(state)
                if name == label
            }
        return found

    @staticmethod
    def runs_once(state):
        holds = coordination.INVARIANTS["the task runs in one place"]
        return holds(state._asdict())

    def test_every_action_names_an_existing_implementation(self):
        # Guards against actions whose functions were renamed or removed.
        seen = set()
        protocol = ownership_model.Model(
            states.Rules(), states.Bounds(tasks="N")
        ).protocol()
        frontier = [protocol.initial]
        for _ in range(9):
            following = [step for s in frontier for step in protocol.transitions(s)]
            seen.update(label for label, _ in following)
            frontier = {after for _, after in following}
        named = set(ownership_model.ACTIONS)
        unseen = set(named)
        for label in seen:
            found = {name for name in named if label.startswith(name)}
            self.assertNotEqual(set(), found, label)
            unseen -= found
        self.assertEqual({"restart worker"}, unseen)  # not within these bounds
        for name in [
            *ownership_model.ACTIONS.values(),
            *resizing.ACTIONS.values(),
            *coordination.ACTIONS.values(),
        ]:
            pkgutil.resolve_name(name)
