"""Random failures, takeovers and configurations: no job ends wrongly or waits."""

import testtools

from test import attempts_model, attempts_workers

SEEDS = range(60)


class AttemptsTest(testtools.TestCase):
    def test_failed_runs_are_counted_once_and_judged_by_a_known_configuration(self):
        """Guards against jobs that are failed, started or left waiting wrongly.

        Each history checks the rules of `attempts_model` after each event.
        """
        found, counts = {}, 0
        for seed in SEEDS:
            history = attempts_model.History(seed)
            try:
                history.run()
            except attempts_workers.Broken as broken:
                found[seed] = str(broken)
            counts += history.counts["failed"]
        self.assertEqual({}, found)
        self.assertGreater(counts, 0)
