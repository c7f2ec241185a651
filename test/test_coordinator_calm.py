"""Random faults on a simulated cell, then calm: all work that can run does so."""

import testtools

from test import progress_model

SEEDS = range(100, 112)


class CalmTest(testtools.TestCase):
    def assert_nothing_waits(self, *seeds):
        found, starts = {}, 0
        for seed in seeds:
            model = progress_model.Model(seed)
            waiting = model.run()
            if waiting is not None:
                found[seed] = waiting
            starts += model.starts_when_light
        self.assertEqual({}, found)
        self.assertGreater(starts, 0)

    def test_after_faults_no_job_waits_beside_idle_workers(self):
        """Guards against work that is left waiting once nothing else happens."""
        self.assert_nothing_waits(*SEEDS)

    def test_no_step_stays_blocked_when_only_time_makes_room(self):
        """Guards against steps without room that wait beside workers whose pause ended.

        Each seed left a job with the reason "no room" before.
        """
        self.assert_nothing_waits(1, 4, 10)

    def test_no_step_waits_for_the_end_of_quarantines_in_an_idle_pool(self):
        """Guards against jobs that fail by themselves and pause all workers."""
        # In the last two, all workers are paused when the calm begins.
        self.assert_nothing_waits(44, 46, 49, 56, 59)

    def test_no_approved_step_waits_beside_paused_workers(self):
        """Guards against steps whose approved workers are all paused."""
        self.assert_nothing_waits(23, 32, 58)

    def test_no_gang_waits_for_members_that_have_ended(self):
        """Guards against gangs with the reason "members of the gang still run"."""
        self.assert_nothing_waits(33, 40, 77)

    def test_no_gang_waits_for_room_in_an_idle_pool(self):
        """Guards against gangs that paused workers or reservations keep waiting."""
        self.assert_nothing_waits(17, 50, 70)
