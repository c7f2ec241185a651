"""Admission decisions by themselves, and in a simulated pool without clock or network.

The pool serves work as the planner does: first what can still be in time, then what is
late, each by its due time. Accepting everything is the rule of commit 302112e.
"""

import dataclasses
import math
import random

import testtools

from toucanspring import resources
from toucanspring.policy import admission

# As a lookup of the larger deployments: 0.68 s, stretch 1.5, target 0.25 s.
CHAIN_S = 0.68
OBJECTIVE_S = admission.find_objective_s(CHAIN_S, 1.5, 0.25)
WORK = admission.Work(CHAIN_S, OBJECTIVE_S)
LIMIT_S = admission.WORTHLESS_AFTER_OBJECTIVES * OBJECTIVE_S
TICK_S = 0.05
REPORT_INTERVAL_S = 0.5
ENTRIES = 8


def load(backlog_s, timely_s=None, drain=1.0, used=1.0):
    timely_s = backlog_s if timely_s is None else timely_s
    return admission.PoolLoad(backlog_s, timely_s, drain, used)


def decide(found, fraction=0.0, age_s=0.1, work=WORK):
    waits = (found.wait_s(), found.timely_wait_s()) if found else (0.0, 0.0)
    return admission.decide(work, found, *waits, age_s, fraction)


def is_refused(*args, **values):
    return isinstance(decide(*args, **values), admission.Refuse)


class DecisionTest(testtools.TestCase):
    def test_without_backlog_everything_is_accepted(self):
        self.assertFalse(is_refused(load(0.0)))
        self.assertFalse(is_refused(load(0.0, drain=0.0)))

    # Guards against a refusal of work that would be late but worth something.
    def test_work_that_ends_before_it_is_worthless_is_accepted(self):
        wait_s = (LIMIT_S - CHAIN_S) * admission.DRAIN_OPTIMISM
        self.assertFalse(is_refused(load(0.99 * wait_s)))
        self.assertTrue(is_refused(load(1.01 * wait_s)))

    # Guards against a refusal of work that the planner serves before all late work.
    def test_late_work_ahead_refuses_nothing_that_can_be_in_time(self):
        self.assertFalse(is_refused(load(1000.0, timely_s=0.2)))

    def test_a_view_that_is_missing_or_too_old_refuses_nothing(self):
        self.assertFalse(is_refused(None))
        old_s = admission.MAX_VIEW_AGE_S + 0.01
        self.assertFalse(is_refused(load(1000.0), age_s=old_s))
        self.assertTrue(is_refused(load(1000.0), age_s=admission.MAX_VIEW_AGE_S))

    # Guards against refusals for a backlog that waits for approvals or ceilings.
    def test_a_pool_with_room_refuses_nothing(self):
        self.assertFalse(is_refused(load(1000.0, used=admission.FREE_SHARE)))

    def test_a_job_without_objective_is_accepted(self):
        self.assertFalse(is_refused(load(1000.0), work=admission.Work(0.0, 0.0)))

    # Guards against refusals that come from more capacity: a larger pool has a shorter
    # backlog, drains faster or is used less.
    def test_more_capacity_never_refuses_more(self):
        rng = random.Random(5)
        for _ in range(2000):
            backlog_s, drain = rng.uniform(0, 30), rng.uniform(0, 1.2)
            timely_s, used = rng.uniform(0, backlog_s), rng.uniform(0.5, 1)
            fraction, more = rng.random(), rng.uniform(1, 3)
            less = load(backlog_s, timely_s, drain, used)
            larger = load(backlog_s / more, timely_s / more, drain, used / more)
            faster = load(backlog_s, timely_s, drain * more, used)
            if not is_refused(less, fraction):
                self.assertFalse(is_refused(larger, fraction))
                self.assertFalse(is_refused(faster, fraction))

    def test_retry_after_is_in_whole_seconds_and_spread(self):
        found = [decide(load(60.0), n / 1000) for n in range(1000)]
        delays = [each.retry_after_s for each in found]
        self.assertTrue(all(isinstance(each, int) for each in delays))
        self.assertTrue(all(1 <= each <= 30 for each in delays))
        self.assertEqual(16, len(set(delays)))
        # Guards against a herd of callers that return together.
        most = max(delays.count(each) for each in set(delays))
        self.assertLess(most, 200)

    def test_retry_after_follows_the_wait(self):
        short, long = decide(load(8.0)), decide(load(25.0))
        self.assertLess(short.retry_after_s, long.retry_after_s)


class BandTest(testtools.TestCase):
    def test_the_shown_value_is_never_above_the_signal(self):
        band, rng = admission.Band(), random.Random(3)
        for _ in range(1000):
            value = rng.uniform(0, 20)
            shown = band.update(value)
            self.assertLessEqual(shown, value * 1.0001)
            self.assertGreaterEqual(shown, value * 0.5999)

    def test_small_changes_do_not_move_it(self):
        band = admission.Band()
        band.update(11.0)
        shown = {round(band.update(10.0 + math.sin(n)), 6) for n in range(50)}
        self.assertEqual(1, len(shown))

    def test_a_larger_signal_never_shows_less(self):
        low, high, rng = admission.Band(), admission.Band(), random.Random(4)
        for _ in range(1000):
            value = rng.uniform(0, 20)
            shown = low.update(value)
            self.assertLessEqual(shown, high.update(value + rng.uniform(0, 5)) + 1e-9)


class SizeTest(testtools.TestCase):
    WORKERS = (resources.Resources(32_000, 64_000), resources.Resources(8000, 128_000))

    def judge(self, demand, largest=WORKERS, ceiling=resources.ZERO, taken=None):
        found = admission.judge_size([(demand, taken or demand)], largest, ceiling, 0.5)
        return getattr(found, "reason", "")

    def test_a_task_that_fits_one_worker_is_accepted(self):
        self.assertEqual("", self.judge(resources.Resources(32_000, 64_000)))
        self.assertEqual("", self.judge(resources.Resources(8000, 128_000)))

    def test_a_task_larger_than_each_worker_is_refused(self):
        wide = resources.Resources(9000, 100_000)  # fits none, but the maxima
        self.assertEqual(admission.NEVER_FITS, self.judge(wide))

    # Guards against refusals by a coordinator that does not know the workers yet.
    def test_unknown_workers_refuse_nothing(self):
        self.assertEqual("", self.judge(resources.Resources(10**6), largest=()))

    def test_a_gang_over_the_ceiling_is_refused_and_zero_is_no_ceiling(self):
        task, gang = resources.Resources(2000, 500), resources.Resources(20_000, 5000)
        for ceiling, expected in (
            (resources.Resources(19_999), admission.OVER_CEILING),
            (resources.Resources(20_000), ""),
            (resources.Resources(0, 4000), admission.OVER_CEILING),
            (resources.ZERO, ""),
        ):
            self.assertEqual(expected, self.judge(task, (), ceiling, gang))


class OutageTest(testtools.TestCase):
    def test_without_an_outage_callers_return_after_a_second(self):
        self.assertEqual(1, admission.find_outage_retry_s(None, 0.9))

    # Guards against callers that use up their four tries before the store is back.
    def test_four_tries_outlast_an_outage(self):
        for begin in range(40):
            for fraction in (0.0, 0.49, 0.5, 0.99):
                at_s, tries = begin / 10, 0
                while at_s < 9.0:
                    at_s += admission.find_outage_retry_s(at_s, fraction)
                    tries += 1
                    if at_s >= 7.0:
                        break
                self.assertLessEqual(tries, 4 if fraction >= 0.5 else 6)

    def test_callers_do_not_return_together(self):
        for outage_s in (0.2, 2.0, 6.0, 20.0):
            found = {admission.find_outage_retry_s(outage_s, n / 10) for n in range(10)}
            self.assertEqual(2, len(found))


@dataclasses.dataclass
class Job:
    first_at: float
    due_at: float
    fraction: float
    tries: int = 0


class Pool:
    """A pool that starts `capacity` jobs a second, and entries with views of it."""

    def __init__(self, capacity, admits, seed=1, report_ages=(0.1,)):
        self.capacity = capacity
        self.admits = admits
        self.rng = random.Random(seed)
        self.now = 0.0
        self.waiting = []
        self.returning = []
        self.started = 0.0
        self.drain = 1.0
        self.reports = [load(0.0)]
        self.bands = [(admission.Band(), admission.Band()) for _ in range(ENTRIES)]
        self.shown = [(0.0, 0.0)] * ENTRIES
        self.ages = [report_ages[n % len(report_ages)] for n in range(ENTRIES)]
        self.refused = []  # when
        self.accepted = []
        self.ends = []  # of served jobs: when, worth
        self.credit = 0.0

    def run(self, rate, until_s):
        """Submit `rate(now)` jobs a second."""
        due = 0.0
        while self.now < until_s:
            due += rate(self.now) * TICK_S
            arrived = [each for each in self.returning if each[0] <= self.now]
            self.returning = [each for each in self.returning if each[0] > self.now]
            for _, job in arrived:
                self.submit(job)
            for _ in range(int(due)):
                first_at = self.now
                self.submit(Job(first_at, first_at + OBJECTIVE_S, self.rng.random()))
            due -= int(due)
            self.serve()
            self.now = round(self.now + TICK_S, 6)
            if self.now % REPORT_INTERVAL_S < TICK_S / 2:
                self.report()

    def submit(self, job):
        entry = self.rng.randrange(ENTRIES)
        found = admission.Accept()
        if self.admits:
            found = admission.decide(
                WORK,
                self.reports[-1],
                *self.shown[entry],
                self.ages[entry],
                job.fraction,
            )
        if isinstance(found, admission.Accept):
            self.accepted.append(self.now)
            self.waiting.append(job)
            return
        self.refused.append(self.now)
        job.tries += 1
        if job.tries < 4:
            self.returning.append((self.now + found.retry_after_s, job))

    def serve(self):
        self.credit = min(self.credit + self.capacity * TICK_S, self.capacity)
        order = sorted(
            self.waiting,
            key=lambda job: (self.now + 0.6 * CHAIN_S > job.due_at, job.due_at),
        )
        while order and self.credit >= 1:
            job = order.pop(0)
            self.credit -= 1
            self.started += 1
            took_s = self.now + CHAIN_S - job.first_at
            worth = 1.0 if took_s <= OBJECTIVE_S else 0.2 * (took_s <= LIMIT_S)
            self.ends.append((self.now, worth))
        self.waiting = order
        if not order:
            self.credit = min(self.credit, 1.0)

    def report(self):
        waits = [self.now - job.first_at for job in self.waiting]
        rate = self.started / self.capacity / REPORT_INTERVAL_S
        sample = rate if max(waits, default=0.0) >= 1.0 else max(1.0, rate)
        self.drain += (1 - math.exp(-REPORT_INTERVAL_S / 4)) * (sample - self.drain)
        self.started = 0.0
        timely = [job for job in self.waiting if self.now + 0.6 * CHAIN_S <= job.due_at]
        found = load(
            len(self.waiting) / self.capacity, len(timely) / self.capacity, self.drain
        )
        self.reports.append(found)
        for number, bands in enumerate(self.bands):
            if self.rng.random() < 0.1:
                continue  # a lost notice: entries have different views
            self.shown[number] = (
                bands[0].update(found.wait_s()),
                bands[1].update(found.timely_wait_s()),
            )

    def worth(self):
        return sum(worth for _, worth in self.ends)

    def refusals_per_second(self, start_s, end_s):
        return [
            sum(second <= each < second + 1 for each in self.refused)
            for second in range(start_s, end_s)
        ]


def step(high, low=60, start_s=5, end_s=60):
    return lambda now: high if start_s <= now < end_s else low


class ClosedLoopTest(testtools.TestCase):
    CAPACITY = 80

    def run_both(self, rate, until_s, capacity=CAPACITY, **values):
        found = []
        for admits in (True, False):
            pool = Pool(capacity, admits, **values)
            pool.run(rate, until_s)
            found.append(pool)
        return found

    def test_nominal_load_is_never_refused(self):
        pool, _ = self.run_both(lambda _now: 0.9 * self.CAPACITY, 40)
        self.assertEqual([], pool.refused)

    # Guards against refusals for a burst that is over before its work is worthless.
    def test_a_burst_of_four_seconds_is_never_refused(self):
        pool, _ = self.run_both(step(2 * 72, 72, 5, 9), 40)
        self.assertEqual([], pool.refused)

    # Guards against refusals that switch on and off for all callers in turn.
    def test_a_step_load_is_refused_steadily(self):
        pool, before = self.run_both(step(160), 60)
        self.assertGreater(len(pool.refused), 0)
        settled = pool.refusals_per_second(25, 60)
        mean = sum(settled) / len(settled)
        self.assertGreater(mean, 0)
        self.assertGreater(min(settled), 0)
        swing = max(settled) - min(settled)
        self.assertLess(swing, self.CAPACITY)
        # The backlog stays bounded, unlike before.
        self.assertLess(len(pool.waiting), len(before.waiting))
        self.assertGreaterEqual(pool.worth(), 0.97 * before.worth())

    def test_refusals_end_with_the_overload(self):
        pool, _ = self.run_both(step(160, 60, 5, 40), 80)
        self.assertEqual([0] * 10, pool.refusals_per_second(70, 80))

    def test_a_wave_costs_nothing(self):
        def rate(now):
            return 72 * (1 + 0.5 * math.sin(2 * math.pi * now / 17))

        pool, before = self.run_both(rate, 85)
        self.assertGreaterEqual(pool.worth(), 0.97 * before.worth())

    # Guards against a herd: callers that were refused together return together.
    def test_callers_that_are_refused_together_do_not_return_together(self):
        pool = Pool(self.CAPACITY, True)
        pool.run(step(400), 20)
        herd = [Job(20.0, 20.0 + OBJECTIVE_S, n / 400) for n in range(400)]
        for job in herd:
            pool.submit(job)
        members = set(map(id, herd))
        returns = [round(at_s) for at_s, job in pool.returning if id(job) in members]
        self.assertGreater(len(returns), 200)
        most = max(returns.count(each) for each in set(returns))
        self.assertLess(most, len(returns) / 2)

    def test_more_capacity_refuses_and_serves_no_worse(self):
        refused, worth = [], []
        for capacity in (60, 80, 100, 130, 160):
            pool, _ = self.run_both(step(150), 60, capacity=capacity)
            refused.append(len(pool.refused))
            worth.append(pool.worth())
        self.assertEqual(sorted(refused, reverse=True), refused)
        self.assertEqual(sorted(worth), worth)

    def test_entries_with_old_views_accept_as_before(self):
        pool, before = self.run_both(step(160), 40, report_ages=(2.5,))
        self.assertEqual([], pool.refused)
        self.assertEqual(before.worth(), pool.worth())

    # Guards against an entry without a view that undoes the decisions of the others.
    def test_some_entries_without_a_view_change_little(self):
        pool, before = self.run_both(step(160), 60, report_ages=(0.1, 0.1, 0.1, 9.0))
        self.assertGreater(len(pool.refused), 0)
        self.assertGreaterEqual(pool.worth(), 0.97 * before.worth())
