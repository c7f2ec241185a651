import math

import testtools

from toucanspring import job, resources
from toucanspring.scheduling import estimate

DECLARED = resources.Resources(1000, 1000, 2)


def make_spec(name="n", deadline=None):
    return job.JobSpec(
        id="j",
        name=name,
        team="t",
        demand=DECLARED,
        run_seconds=60.0,
        deadline_seconds=deadline,
    )


class EstimatorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.estimator = estimate.Estimator()

    def observe(self, count, cpus=100, memory=100, seconds=5.0, name="n"):
        usage = resources.Resources(cpus, memory, 1)
        for _ in range(count):
            self.estimator.observe(name, "t", DECLARED, usage, seconds)

    def test_declared_sizes_are_used_without_observations(self):
        self.assertEqual(DECLARED, self.estimator.demand(make_spec()))
        self.assertEqual(60.0, self.estimator.run_seconds(make_spec()))

    def test_few_observations_only_raise_estimates_up_to_the_limit(self):
        # Guards against an outlier that shrinks or inflates all other estimates.
        self.observe(1)
        self.assertEqual(DECLARED, self.estimator.demand(make_spec()))
        self.observe(1, cpus=1200, memory=9000)
        raised = self.estimator.demand(make_spec())
        self.assertEqual(resources.Resources(1380, 2000, 2), raised)

    def test_enough_observations_replace_the_declared_sizes(self):
        # Guards against wasted memory if the declared sizes are far too large.
        self.observe(10, cpus=200, memory=400)
        self.assertEqual(
            resources.Resources(230, 460, 2), self.estimator.demand(make_spec())
        )
        self.assertEqual(5.0, self.estimator.run_seconds(make_spec()))

    def test_the_estimate_covers_the_high_quantile(self):
        # Guards against an estimate near the mean that is too small for large tasks.
        self.observe(24, memory=100)
        self.observe(8, memory=3000)
        self.assertGreaterEqual(self.estimator.demand(make_spec()).memory, 3000)

    def test_missing_usage_counts_as_declared(self):
        # Guards against workers without measurements that shrink estimates to nothing.
        self.observe(10, cpus=0, memory=0)
        self.assertGreaterEqual(self.estimator.demand(make_spec()).memory, 1000)

    def test_latest_start_is_the_deadline_less_the_run_time(self):
        self.assertEqual(math.inf, self.estimator.latest_start(make_spec(), 7.0))
        spec = make_spec(deadline=100.0)
        self.assertEqual(47.0, self.estimator.latest_start(spec, 7.0))

    def test_memory_is_bounded(self):
        for number in range(estimate.MAX_NAMES + 10):
            self.observe(1, name=f"n{number}")
        self.observe(100, name="last")
        self.assertEqual(estimate.MAX_NAMES, len(self.estimator._samples))
        samples = self.estimator._samples["t", "last"]
        self.assertEqual(estimate.MAX_SAMPLES, len(samples.memory))


class LearnedSizeTest(testtools.TestCase):
    DECLARED = resources.Resources(2000, 1024)

    def spec(self):
        return job.JobSpec(id="j", name="proofs", team="labels", demand=self.DECLARED)

    def observe(self, usage, count=50):
        estimator = estimate.Estimator()
        for _ in range(count):
            used = usage(estimator)
            estimator.observe("proofs", "labels", self.DECLARED, used, 1.0)
        return estimator.demand(self.spec())

    def test_a_task_that_uses_all_it_gets_does_not_grow_without_bound(self):
        # Guards against headroom that is added again to each reported allocation. It
        # raised a size from 2,000 to 18,734 millicores in a demonstration run.
        found = self.observe(lambda estimator: estimator.demand(self.spec()))
        self.assertEqual(resources.Resources(8000, 4096), found)

    def test_a_task_without_reported_usage_changes_no_size(self):
        self.assertEqual(self.DECLARED, self.observe(lambda _: resources.ZERO))

    def test_small_usage_lowers_the_size(self):
        found = self.observe(lambda _: resources.Resources(400, 512))
        self.assertEqual(resources.Resources(460, 589), found)
