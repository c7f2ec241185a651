"""Requests for approval in pools of hundreds of workers."""

import testtools

from test import coordinator_case as case
from toucanspring.coordinator import approvals, catalogue, planner, plans

APPROVED = catalogue.Approval(decision_s=0.4, per_worker_s=0.006, validity_s=2.5)
POOL_SIZE = 270
RACK_SIZE = 12


def load_queue():
    return case.configure(case.queue(approval=APPROVED))


def answer(request, every, now):
    """Approve every `every`-th worker of the cell."""
    names = [name for name in request.workers if int(name[1:]) % every == 0]
    plans.record_approvals(request, dict.fromkeys(names, "t"), now + 2.5)


class LargePoolTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        entries = [
            case.entry(f"w{number}", rack=f"r{number // RACK_SIZE}")
            for number in range(POOL_SIZE)
        ]
        self.cell = case.new_cell(*entries, catalogue_=load_queue())
        self.planner = planner.Planner(self.cell)

    def submit(self, number, step):
        self.cell.accept(case.job(f"{number:016x}", step), 1.0)

    def run_rounds(self, every):
        """Plan until nothing is requested; return requests and starts."""
        requests, starts, now = [], [], 1.0
        while True:
            plan = self.planner.plan(now)
            starts += plan.starts
            if not plan.approval_requests:
                return requests, starts
            requests += plan.approval_requests
            for request in plan.approval_requests:
                answer(request, every, now)
            now += 0.01

    # Guards against steps that each request approval of the whole pool: at 1,000
    # workers the service was busy for ten times as long as it had, and tasks waited for
    # half a minute.
    def test_steps_request_approval_of_as_many_workers_as_they_need(self):
        for number in range(40):
            self.submit(number, case.step(3, cpus=7000))
        requests, starts = self.run_rounds(every=2)
        self.assertEqual(120, len(starts))
        asked = sum(len(request.workers) for request in requests)
        self.assertLessEqual(asked, 40 * 2 * approvals.MIN_WORKERS_PER_REQUEST)

    # Guards against requests of all steps about the same few workers.
    def test_steps_take_turns_among_the_workers(self):
        for number in range(20):
            self.submit(number, case.step(3, cpus=7000))
        plan = self.planner.plan(1.0)
        named = {name for each in plan.approval_requests for name in each.workers}
        self.assertGreater(len(named), POOL_SIZE / 2)

    def test_a_wide_step_names_more_workers_where_few_are_approved(self):
        self.submit(1, case.step(20, cpus=9000))
        [first] = self.planner.plan(1.0).approval_requests
        for _ in range(30):
            self.planner.approvals.share(case.QUEUE).record(10, 2)
        self.submit(2, case.step(20, cpus=9000))
        [second] = self.planner.plan(1.1).approval_requests
        self.assertGreater(len(second.workers), len(first.workers))

    def test_a_step_names_the_workers_of_its_rack_first(self):
        self.submit(1, case.step(2, preferred_rack="r7"))
        [request] = self.planner.plan(1.0).approval_requests
        racks = [self.cell.workers[name].entry.rack for name in request.workers]
        self.assertEqual({"r7"}, set(racks))

    def test_a_gang_for_one_rack_names_whole_racks(self):
        self.submit(1, case.step(8, cpus=30_000, gang=True, same_rack=True))
        [request] = self.planner.plan(1.0).approval_requests
        racks = [self.cell.workers[name].entry.rack for name in request.workers]
        named = list(dict.fromkeys(racks))
        self.assertEqual(racks, sorted(racks, key=named.index))
        self.assertEqual({RACK_SIZE}, {racks.count(rack) for rack in named[:-1]})

    # Guards against a step that asks only about the workers with room, where there are
    # none, and needs a decision once there are.
    def test_a_step_has_its_decision_before_there_is_room(self):
        self.submit(1, case.step(POOL_SIZE, cpus=32_000))
        self.run_rounds(every=1)
        self.submit(2, case.step(1, cpus=32_000))
        [request] = self.planner.plan(2.0).approval_requests
        self.assertGreater(len(request.workers), 0)

    def test_an_impossible_step_is_not_looked_at_in_each_round(self):
        self.submit(1, case.step(1, cpus=64_000))
        plan = self.planner.plan(1.0)
        self.assertEqual([plans.NO_USABLE_WORKER], [x.reason for x in plan.waits])
        self.assertEqual([], plan.approval_requests)


class WastefulRequestTest(testtools.TestCase):
    # Guards against an approval service that is busy with requests of waiting gangs
    # about one or two workers each, at the price of a whole decision.
    def test_an_informed_gang_asks_about_few_workers_only_where_that_is_cheap(self):
        cheap, dear = (
            case.queue(
                approval=catalogue.Approval(
                    decision_s=seconds, per_worker_s=0.001, validity_s=2.5
                )
            )
            for seconds in (0.02, 0.9)
        )
        few = ["w1", "w2"]
        many = [f"w{number}" for number in range(approvals.MIN_WORKERS_PER_REQUEST)]
        self.assertTrue(approvals.Approvals.is_wasteful(dear, few))
        self.assertFalse(approvals.Approvals.is_wasteful(cheap, few))
        self.assertFalse(approvals.Approvals.is_wasteful(dear, many))
