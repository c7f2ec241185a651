import gevent
import testtools

from standins import events, task_runs
from test import test_workers
from toucanspring import uptime
from toucanspring.adapters import vms


class ReportingHost(task_runs.TaskHost):
    """Records the tasks in each report of ends; the test fires the timers."""

    def __init__(self):
        listed = vms.Vm(
            id="w0",
            role=vms.Role.WORKER,
            availability_zone="z",
            address="127.0.0.1",
            port=1,
        )
        super().__init__(listed, self, events.Record())
        self.timers = []
        self.reports = []

    def at(self, _when, function, *args):
        self.timers.append((function, args))

    def fire(self):
        due, self.timers = self.timers, []
        for function, args in due:
            function(*args)
        gevent.sleep(0)

    def _report(self, _usage):
        self.reports.append([end.task_id for _, end in self._unreported])
        self._unreported = []


class ReportTest(testtools.TestCase):
    def test_the_first_ends_are_reported_at_once_and_the_next_ones_together(self):
        # Guards against capacity that stays unused for the batch time after each task,
        # and against a message for each of many ends.
        self.patch(task_runs, "FINISH_BATCH_S", 3600.0)
        host = ReportingHost()
        host._flushed_at = -2 * task_runs.FINISH_BATCH_S
        for names in (["a/0", "a/1"], ["a/2"], ["a/3"]):
            for name in names:
                host._run(test_workers.task(name, run_ms=0), 0, 1, uptime.now(), 0)
            ends = [item for item in host.timers if item[1]]
            host.timers = [item for item in host.timers if not item[1]]
            for function, args in ends:
                function(*args)
            gevent.sleep(0)
        self.assertEqual([["a/0", "a/1"]], host.reports)
        host.fire()
        self.assertEqual([["a/0", "a/1"], ["a/2", "a/3"]], host.reports)
