import testtools

from test import edge_fakes
from toucanspring.callers import api, submission
from toucanspring.configuration import reader


class SubmissionTest(testtools.TestCase):
    def test_example_templates_are_accepted_without_changes(self):
        # Guards against templates that are valid in the configuration but fail on
        # submission.
        cell = reader.parse(edge_fakes.KERNHALDE)
        core = edge_fakes.build()
        access = api.Access(core, edge_fakes.make_settings())
        for name, template in cell.jobs.items():
            core.find("documents").secrets["k"] = template.team
            built = submission.JobSpecBuilder(cell, access, "k").build(
                submission.Submission(template=name), "jobs.0"
            )
            self.assertEqual(template.demand, built[-1].demand)
