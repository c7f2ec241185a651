"""Several partitions that share one ceiling, in simulated time."""

import heapq

import testtools

from toucanspring import resources
from toucanspring.scheduling import allowance, effects

CEILING = resources.Resources(128_000, 256 * 1024)
TASK = resources.Resources(2000, 3072)
STEP_S = 0.02
WRITE_S = 0.06
POLL_S = 0.25


class Partition:
    def __init__(self, number, tasks, run_s, is_gang=False):
        self.number = number
        self.waiting = tasks
        self.run_s = run_s
        self.is_gang = is_gang
        self.tracker = allowance.AllowanceTracker()
        self.tracker.set_ceilings({"team": CEILING})
        self.running = []
        self.target = None
        self.due = 0.0
        self.requested_at = -10.0

    def work(self, now):
        while self.running and self.running[0] <= now:
            heapq.heappop(self.running)
            self.tracker.free("team", TASK)
        if self.waiting:
            self.start(now)
        for effect in self.tracker.step(now):
            least = getattr(effect, "least", resources.ZERO)
            self.target = (effect.target, least)
            if isinstance(effect, effects.RequestAllowance):
                self.requested_at = now
            self.due = min(self.due, now + WRITE_S)

    def start(self, now):
        count = min(self.waiting, self.tracker.max_starts("team", TASK))
        if self.is_gang and count < self.waiting:
            count = 0
        for _ in range(count):
            self.tracker.use("team", TASK)
            heapq.heappush(self.running, now + self.run_s)
        self.waiting -= count
        if self.waiting:
            amount = TASK.times(self.waiting)
            self.tracker.report_shortage(
                "team", amount, amount if self.is_gang else TASK
            )

    def update(self, row, now):
        self.due = now + POLL_S
        if self.target is not None:
            (amount, least), self.target = self.target, None
        elif self.number in row.wants and now - self.requested_at < 2.5:
            amount = None
        else:
            amount, least = row.parts.get(self.number, resources.ZERO), resources.ZERO
        if amount is not None:
            row = allowance.resize(row, self.number, amount, CEILING, least=least)
        held = row.parts.get(self.number, resources.ZERO)
        self.tracker.set_held({"team": held}, now)
        limit = allowance.contended_limit(row, self.number, CEILING)
        self.tracker.set_limits({} if limit is None else {"team": limit})
        return row


class ContentionTest(testtools.TestCase):
    def run_until_done(self, partitions, limit_s):
        """Return the time at which each partition has started all its tasks."""
        row = allowance.Row()
        started_at = {}
        now = 0.0
        while now < limit_s:
            for each in partitions:
                each.work(now)
                if not each.waiting:
                    started_at.setdefault(each.number, now)
                if now >= each.due:
                    row = each.update(row, now)
            used = sum(len(each.running) for each in partitions)
            self.assertTrue(TASK.times(used).fits(CEILING), used)
            now = round(now + STEP_S, 6)
        return started_at

    def test_short_tasks_of_three_partitions_keep_the_ceiling_busy(self):
        # Guards against a partition that keeps the whole ceiling for 5 s after its last
        # task. Before wants were recorded, 1,280 tasks of 60 ms took more than 28 s.
        counts = (448, 512, 320)
        partitions = [Partition(i, count, 0.06) for i, count in enumerate(counts)]
        started_at = self.run_until_done(partitions, 5.0)
        self.assertEqual({0, 1, 2}, set(started_at))

    def test_a_gang_larger_than_an_even_part_is_not_starved(self):
        # The other partitions always have short tasks waiting.
        partitions = [
            Partition(0, 1_000_000, 0.1),
            Partition(1, 1_000_000, 0.1),
            Partition(2, 50, 1.0, is_gang=True),
        ]
        started_at = self.run_until_done(partitions, 5.0)
        self.assertIn(2, started_at)

    def test_two_large_gangs_run_one_after_the_other(self):
        # Guards against a deadlock in which each gang holds half of the ceiling.
        partitions = [
            Partition(0, 50, 1.0, is_gang=True),
            Partition(1, 50, 1.0, is_gang=True),
        ]
        started_at = self.run_until_done(partitions, 10.0)
        self.assertEqual({0, 1}, set(started_at))
