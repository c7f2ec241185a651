import gevent

from test import coordinator_case as case
from test import test_coordinator_leadership as leadership_case


class PollErrorTest(leadership_case.LeadershipCase):
    def setUp(self):
        super().setUp()
        self.good_poll, self.workers.poll = self.workers.poll, self.poll
        self.failing = False
        self.failed_polls = 0

    def poll(self, worker, *arguments):
        if self.failing and worker.id == "w2":
            gevent.sleep(0)
            self.failed_polls += 1
            raise ValueError("not expected")
        return self.good_poll(worker, *arguments)

    def test_an_internal_error_of_a_poll_is_a_poll_without_a_reply(self):
        # Guards against a worker that is polled no more and whose tasks never end.
        self.failing = True
        leader = self.coordinate()
        self.wait_for(lambda: self.failed_polls >= 3)
        self.assertFalse(leader.cell.workers["w2"].responsive)
        self.failing = False
        self.wait_for(lambda: leader.cell.workers["w2"].responsive)
        self.accept(case.step(8))
        self.wait_for(self.is_complete)
        self.assert_no_violations()

    def test_tasks_of_a_worker_whose_polls_fail_run_elsewhere(self):
        # Guards against a lease that each failed poll extends.
        self.workers.run_s = 4.0
        leader = self.coordinate()
        self.wait_for(lambda: all(x.confirmed for x in leader.cell.workers.values()))
        self.accept(case.step(5))
        self.wait_for(lambda: self.workers.starts == 5)
        self.failing = True
        self.wait_for(lambda: not leader.cell.workers["w2"].allocations, 12.0)
        self.assert_no_violations()
