"""The load report between several processes on one store."""

import time

import gevent

from test import coordinator_case as case
from test import test_coordinator_processes
from toucanspring import metrics, resources, uptime
from toucanspring.coordinator import (
    job_specs,
    load_report,
    metered,
    submission_gate,
)
from toucanspring.policy import admission

WIDE = case.step(200, cpus=8000)


class LoadReportTest(test_coordinator_processes.ProcessCase):
    def submit(self, process, number):
        spec = case.job(f"{number:016x}", WIDE)
        self.assertIsNone(self.processes[process].submit(spec, 2.0))

    def find_backlog_ms(self, name):
        report = self.processes[name].load.report
        if report is None or not report.pools:
            return -1
        return report.pools[0].priorities[-1].backlog_ms

    def await_backlog(self, names):
        self.wait_for(lambda: all(self.find_backlog_ms(name) > 0 for name in names))

    def test_all_processes_learn_of_the_load(self):
        first, others = self.start_cell("one", "two", "three")
        self.submit(others[0], 1)
        self.await_backlog([first, *others])
        epochs = {each.load.report.epoch for each in self.processes.values()}
        self.assertEqual({self.stored_lease().epoch}, epochs)

    # Guards against processes that go on with the view of a coordinator that died.
    def test_a_new_coordinator_reports_under_its_epoch(self):
        first, others = self.start_cell("one", "two", "three")
        self.submit(first, 1)
        self.await_backlog(others)
        epoch = self.processes[others[0]].load.report.epoch
        self.kill(first)
        self.wait_for(
            lambda: all(
                self.processes[name].load.report.epoch > epoch for name in others
            ),
            limit_s=20.0,
        )
        self.await_backlog(others)

    # Guards against parts that work by themselves and not together: a job that waits
    # for a full cell makes another process refuse, and is itself never refused.
    def test_a_process_refuses_by_the_report_of_the_coordinator(self):
        first, others = self.start_cell("one", "two")
        process = self.processes[others[0]]
        gate = submission_gate.Gate(
            process, metered.Meters(metrics.Service(None, None)), uptime.now
        )
        long = job_specs.Step(
            count=200, demand=resources.Resources(8000, 1024), estimate_ms=60_000
        )

        accepted_at_ms = round(time.time() * 1000)  # else it would be late

        def make_job(number):
            name = f"{number:016x}"
            return case.job(name, long, accepted_at_ms=accepted_at_ms)

        def judge(number):
            return gate.judge(make_job(number), case.queue(), None)

        self.assertIsInstance(judge(1), admission.Accept)
        self.assertIsNone(process.submit(make_job(1), 2.0))
        self.wait_for(lambda: isinstance(judge(2), admission.Refuse))
        self.assertIsNone(judge(1))

    def test_the_coordinator_tells_which_jobs_it_holds(self):
        first, others = self.start_cell("one", "two", "three")
        self.submit(first, 1)
        self.wait_for(lambda: self.processes[others[0]].holds(f"{1:016x}", 0.3))
        self.assertTrue(self.processes[first].holds(f"{1:016x}", 0.3))
        self.assertFalse(self.processes[others[0]].holds(f"{2:016x}", 0.3))
        self.network.cut.add(others[0])
        self.assertFalse(self.processes[others[0]].holds(f"{1:016x}", 0.3))

    def test_an_odd_report_changes_nothing(self):
        first, others = self.start_cell("one", "two")
        self.submit(first, 1)
        self.await_backlog(others)
        known = self.processes[others[0]]
        for body in (b"", b"\xc1", b"\x95\x01"):
            known._handle_load(first, body)
        self.assertGreater(self.find_backlog_ms(others[0]), 0)
        self.assertIn("load_epoch", known.measure())

    # Guards against a count that fails once and ends the reports for good.
    def test_a_count_that_fails_is_repeated(self):
        first, _ = self.start_cell("one", "two")
        leadership = self.processes[first]._leadership
        build = leadership._load_builder.build
        failures = []

        def fail(now):
            leadership._load_builder.build = build
            failures.append(now)
            raise ValueError("odd")

        leadership._load_builder.build = fail
        self.wait_for(lambda: failures)
        before = self.processes[first].load.report
        sequence = before.sequence if before is not None else 0
        gevent.sleep(2 * load_report.INTERVAL_S)
        self.wait_for(lambda: self.processes[first].load.report.sequence > sequence)
