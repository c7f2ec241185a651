"""Polls of workers: acknowledged ends and leases while the store is slow."""

import gevent

from test import coordinator_case as case
from test import test_coordinator_leadership as leadership_tests
from toucanspring.coordinator import ports

JOB = "0" * 16


class SlowWriteTest(leadership_tests.LeadershipCase):
    def test_ends_are_acknowledged_and_leases_renewed_while_writes_are_slow(self):
        """Guards against lists of ends that grow and leases that nothing renews.

        A write of over 0.2 s between two polls made each poll carry neither, as long
        as each answer had a new end.
        """
        polls = []
        transact, poll = self.store.transact, self.workers.poll

        def transact_slowly(*changes):
            gevent.sleep(0.25)
            return transact(*changes)

        def end_run():
            incarnation = self.workers.incarnations["w1"]
            incarnation.end_count += 1
            incarnation.ended.append(
                ports.EndedTask(incarnation.end_count, "f.0.0.0", 1, "done", "")
            )
            leader.cell.dirty[JOB] = leader.cell.jobs[JOB]

        def poll_and_end(worker, epoch, acked_end, lease_until_ms, wait_ms):
            answer = poll(worker, epoch, acked_end, lease_until_ms, wait_ms)
            polls.append((acked_end, lease_until_ms))
            end_run()
            return answer

        self.directory.known = {"w1": self.directory.known["w1"]}
        leader = self.coordinate()
        self.accept(case.step(1, cpus=5000))
        self.wait_for(lambda: JOB in leader.cell.jobs)
        self.store.transact = transact_slowly
        self.workers.poll = poll_and_end
        end_run()
        gevent.sleep(4.0)
        self.assertGreater(sum(lease is not None for _, lease in polls[4:]), 2)
        self.assertLess(len(self.workers.incarnations["w1"].ended), 10)
