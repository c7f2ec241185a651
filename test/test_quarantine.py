import testtools

from toucanspring.scheduling import quarantine

YES, PROBE, NO = quarantine.Eligibility


class QuarantineTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.quarantine = quarantine.Quarantine()

    def fail(self, count, jobs=("a", "b"), seconds=1.0, worker="w"):
        for number in range(count):
            self.quarantine.record_result(
                worker, jobs[number % len(jobs)], False, seconds, 0.0
            )

    def test_quick_failures_of_two_jobs_lead_to_quarantine(self):
        self.fail(4)
        self.assertEqual(YES, self.quarantine.eligibility("w", 1.0))
        self.fail(1)
        self.assertEqual(NO, self.quarantine.eligibility("w", 1.0))
        self.assertEqual(["w"], self.quarantine.quarantined())
        self.assertEqual(YES, self.quarantine.eligibility("other", 1.0))

    def test_one_broken_job_takes_no_worker_out(self):
        # Guards against one broken job that quarantines the whole cell.
        self.fail(100, jobs=("a",))
        self.assertEqual(YES, self.quarantine.eligibility("w", 1.0))

    def test_two_broken_jobs_do_not_empty_the_cell(self):
        # Guards against broken jobs that quarantine one worker after another.
        for _ in range(10):
            for number in range(24):
                self.fail(2, worker=f"w{number}")
        self.assertLessEqual(len(self.quarantine.quarantined()), 3)

    def test_bad_workers_are_found_while_jobs_succeed_elsewhere(self):
        # Guards against mistaking the failures of a bad rack for broken jobs.
        for round_ in range(20):
            for number in range(8):
                self.fail(1, jobs=(f"j{round_}",), worker=f"bad{number}")
            self.quarantine.record_result("good", f"j{round_}", True, 60.0, 0.0)
            for number in range(8):
                self.fail(1, jobs=(f"j{round_}",), worker=f"bad{7 - number}")
        bad = [name for name in self.quarantine.quarantined() if name != "good"]
        self.assertEqual(8, len(bad))

    def test_a_success_or_a_long_run_breaks_the_row(self):
        for ok, seconds in ((True, 1.0), (False, 60.0)):
            self.fail(4)
            self.quarantine.record_result("w", "c", ok, seconds, 0.0)
            self.fail(4)
            self.assertEqual(YES, self.quarantine.eligibility("w", 1.0))
            self.quarantine.forget("w")

    def test_probes_come_one_at_a_time_with_growing_delay(self):
        # Guards against a bad worker that gets many tasks at each probe.
        self.fail(5)
        now, delays = 0.0, []
        for _ in range(4):
            start = now
            while self.quarantine.eligibility("w", now) != PROBE:
                now += 1.0
            delays.append(now - start)
            self.quarantine.probe_started("w", now)
            self.assertEqual(NO, self.quarantine.eligibility("w", now))
            self.quarantine.record_result("w", "c", False, 0.1, now)
        self.assertEqual([10.0, 20.0, 40.0, 80.0], delays)

    def test_a_probe_that_succeeds_ends_the_quarantine(self):
        self.fail(5)
        self.quarantine.record_result("w", "old", True, 60.0, 1.0)
        self.assertEqual(NO, self.quarantine.eligibility("w", 1.0))
        self.quarantine.probe_started("w", 10.0)
        self.quarantine.record_result("w", "c", True, 1.0, 11.0)
        self.assertEqual(YES, self.quarantine.eligibility("w", 11.0))

    def test_a_probe_without_result_is_repeated(self):
        # Guards against a lost probe that leaves a worker quarantined forever.
        self.fail(5)
        self.quarantine.probe_started("w", 10.0)
        self.assertEqual(PROBE, self.quarantine.eligibility("w", 1000.0))
