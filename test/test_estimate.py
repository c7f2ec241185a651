import testtools

from toucanspring import estimate, job, resources

DECLARED = resources.Resources(2000, 1024)


def spec():
    return job.JobSpec(id="j", name="proofs", team="labels", demand=DECLARED)


class EstimatorTest(testtools.TestCase):
    def observe(self, usage, count=50):
        estimator = estimate.Estimator()
        for _ in range(count):
            estimator.observe("proofs", "labels", DECLARED, usage(estimator), 1.0)
        return estimator.demand(spec())

    def test_a_task_that_fills_its_size_does_not_grow_without_end(self):
        # A demonstration run raised a size from 2,000 to 18,734 millicores, because
        # each report of the granted size was raised by the headroom again.
        found = self.observe(lambda estimator: estimator.demand(spec()))
        self.assertEqual(resources.Resources(8000, 4096), found)

    def test_no_reported_usage_teaches_no_size(self):
        self.assertEqual(DECLARED, self.observe(lambda _: resources.ZERO))

    def test_small_usage_lowers_the_size(self):
        found = self.observe(lambda _: resources.Resources(400, 512))
        self.assertEqual(resources.Resources(460, 589), found)
