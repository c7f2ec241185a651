import logbook
import testtools

from toucanspring import errors, job, kernel, plugins
from toucanspring.scheduling import effects


class PluginsTest(testtools.TestCase):
    def test_an_unknown_plugin_is_named_with_the_known_ones(self):
        failure = plugins.load("joblog, absent", kernel.Kernel())
        self.assertIsInstance(failure, errors.Invalid)
        self.assertEqual("absent", failure.value)
        self.assertIn("joblog", failure.expected)

    def test_the_job_log_notes_each_outcome(self):
        core = kernel.Kernel()
        self.assertIsNone(plugins.load("joblog", core))
        outcome = job.Outcome(job.State.FAILED, "worker-7 refused")
        with logbook.TestHandler() as handler:
            core.publish(effects.JobFinished("proofs-1", outcome))
        [line] = [record.message for record in handler.records]
        self.assertEqual("job proofs-1 ended: failed worker-7 refused", line)
