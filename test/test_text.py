import hypothesis
import testtools
from hypothesis import strategies

from test import edge_fakes
from toucanspring import errors, job, resources
from toucanspring.configuration import reader, syntax, text

KERNHALDE = edge_fakes.KERNHALDE
ZIMNA_PATNA = (edge_fakes.ROOT / "examples" / "zimna-patna.yaml").read_text()
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, database=None
)

# Edits of the example configuration, `\n` for a line break, each followed by the path
# and the reason of the error that it must be rejected with.
FAULTS = r"""
share: 5 => share: 0
  teams.desk.share | share is not positive
share: 5 => share: -1
  teams.desk.share | share is not positive
share: 5 => share: .inf
  teams.desk.share | invalid value
share: 5 => shares: 5
  teams.desk.shares | unknown field
    share: 5\n =>     description: x\n
  teams.desk | field missing
organisation: kernhalde => organisation: x
  teams.desk.organisation | unknown name
{team: desk} => {team: nobody}
  queues.desk.team | unknown name
[listing-import] => [stock-index]
  jobs.stock-index.after.0 | dependency cycle
[listing-import] => [nothing]
  jobs.stock-index.after.0 | unknown name
[listing-import] => [invoice-run]
  jobs.stock-index.after.0 | depends on a job that nothing starts
[luzern-1, zug-1] => [luzern-1, x]
  jobs.route-plans.zones.1 | unknown name
tasks: 8 => tasks: 33
  jobs.demand-model.resources | the gang exceeds the ceiling of team retail-forecast
cpus: 8, memory: 16 GiB => cpus: 33, memory: 1 GiB
  jobs.demand-model.resources | larger than the largest worker
cpus: 8, memory: 16 GiB => cpus: 0, memory: 16 GiB
  jobs.demand-model.resources | invalid size
cpus: 8, memory: 16 GiB => cpus: 8, memory: 16 GB
  jobs.demand-model.resources.memory | invalid size
cpus: 8, memory: 16 GiB => cpus: -8, memory: 16 GiB
  jobs.demand-model.resources.cpus | invalid size
run_time: 40 min => run_time: 0 s
  jobs.demand-model.run_time | invalid duration
kind: gang => kind: gong
  jobs.demand-model.kind | invalid value
queue: retail => queue: desk
  jobs.demand-model.queue | the queue belongs to team desk
default_class: check => default_class: urgent
  services.request-desk.default_class | unknown class
objective: 99.9 => objective: 100
  services.request-desk.objective | invalid objective
  routes: {team: routes} =>   routes: {team: routes}\n  routes: {team: desk}
  queues.routes | duplicate key
  routes: {team: routes} =>   Routes: {team: routes}
  queues.Routes | invalid name
cell: kernhalde => cell: &a kernhalde
  cell | an anchor or alias is not accepted here
cell: kernhalde => cell: !!python/name:os.system x
  cell | tag tag:yaml.org,2002:python/name:os.system is not accepted here
cell: kernhalde => cell: kernhalde\nextra: 1
  extra | unknown section
"""


def read_faults():
    lines = FAULTS.strip().split("\n")
    for change, fault in zip(lines[::2], lines[1::2], strict=True):
        old, new = change.replace("\\n", "\n").split(" => ")
        yield old, new, *fault.strip().split(" | ")


class TextTest(testtools.TestCase):
    def test_a_fault_names_path_line_value_and_expected_form(self):
        # Guards against an accepted invalid configuration and an error without a path.
        for old, new, path, reason in read_faults():
            source = KERNHALDE.replace(old, new, 1)
            self.assertNotEqual(KERNHALDE, source, old)
            faults = reader.parse_all(source)
            self.assertIsInstance(faults, list, new)
            found = {(fault.path, fault.reason): fault for fault in faults}
            self.assertIn((path, reason), found, faults)
            fault = found[(path, reason)]
            self.assertTrue(fault.expected, fault)
            self.assertEqual(reader.parse(source), faults[0])
            line = source.splitlines()[fault.line - 1]
            leaf = path.rpartition(".")[2]
            near = line if not leaf.isdigit() else path.split(".")[-2] + line
            self.assertTrue(leaf in near or new.split(":")[0].strip() in line, fault)

    def test_one_faulty_entry_does_not_hide_another(self):
        source = KERNHALDE.replace("share: 5", "share: x", 1)
        source = source.replace("kind: gang", "kind: gong", 1)
        paths = [fault.path for fault in reader.parse_all(source)]
        self.assertEqual(["teams.desk.share", "jobs.demand-model.kind"], paths)

    def test_oversized_and_deep_texts_are_refused_before_they_are_read(self):
        # Guards against a document that exhausts memory or the stack.
        large = KERNHALDE + "#" * syntax.MAX_TEXT_BYTES
        self.assertEqual("the text is too large", reader.parse(large).reason)
        for deep in ("[" * 100_000, "cell: " + "{a: " * 5_000, "- " * 50_000):
            self.assertIsInstance(reader.parse(deep), errors.Invalid)

    def test_a_long_chain_of_dependencies_is_no_cycle(self):
        # Guards against a stack overflow by recursion over the dependencies of jobs.
        entry = "{team: desk, queue: desk, resources: {cpus: 1, memory: 1}"
        jobs = "".join(
            f"  chain-{index}: {entry}, after: [chain-{index + 1}]}}\n"
            for index in range(2000)
        )
        cell = reader.parse(f"{KERNHALDE}{jobs}  chain-2000: {entry}}}\n")
        self.assertIsInstance(cell, text.Cell)
        specs = text.job_specs(cell, cell.jobs["chain-0"], "root")
        self.assertEqual(2001, len(specs))
        self.assertEqual(("root.chain-1",), specs[-1].after)
        self.assertEqual(len(specs), len({spec.id for spec in specs}))

    def test_job_spec_carries_units_and_dependencies(self):
        cell = reader.parse(ZIMNA_PATNA)
        specs = text.job_specs(
            cell, cell.jobs["night-ensemble"], "run1", {"task_count": 3}
        )
        self.assertEqual(["run1.observations", "run1"], [spec.id for spec in specs])
        gang = specs[-1]
        self.assertEqual(("run1.observations",), gang.after)
        self.assertEqual(resources.Resources(8000, 12288, 1), gang.demand)
        self.assertEqual((job.Kind.GANG, 3), (gang.kind, gang.task_count))
        self.assertEqual((7200.0, 21600.0), (gang.run_seconds, gang.deadline_seconds))

    def test_an_edit_starts_a_job_again_only_with_a_new_run_number(self):
        # Guards against an edit of a comment or a limit that starts a job again.
        old = reader.parse(KERNHALDE)
        edited = reader.parse(
            KERNHALDE.replace("run_time: 5 min", "run_time: 6 min", 1)
        )
        self.assertEqual([], text.jobs_to_start(old, edited))
        change = text.Changed("jobs", "listing-import", {"run_seconds": (300.0, 360.0)})
        self.assertEqual([change], text.diff(old, edited))
        again = reader.parse(
            KERNHALDE.replace("class: urgent\n", "class: urgent\n    run: 2\n", 1)
        )
        started = [text.apply_id(item) for item in text.jobs_to_start(old, again)]
        self.assertEqual(["apply.listing-import.2"], started)

    @SETTINGS
    @hypothesis.given(strategies.text(max_size=400))
    def test_any_text_gives_a_cell_or_faults(self, source):
        # Guards against an exception, which the operator would see as "internal error".
        result = reader.parse(source)
        self.assertIsInstance(result, text.Cell | errors.Invalid)

    @SETTINGS
    @hypothesis.given(strategies.data())
    def test_an_edited_example_gives_a_cell_or_faults_with_lines(self, data):
        source = data.draw(strategies.sampled_from([KERNHALDE, ZIMNA_PATNA]))
        for _ in range(data.draw(strategies.integers(1, 4))):
            start = data.draw(strategies.integers(0, len(source)))
            end = start + data.draw(strategies.integers(0, 12))
            token = strategies.sampled_from(
                ["", "0", "-1", "1e99", ": ", "\n", "  ", "{", "]", "null", "desk", "é"]
            )
            source = source[:start] + data.draw(token) + source[end:]
        result = reader.parse_all(source)
        if isinstance(result, text.Cell):
            self.assertEqual([], text.diff(result, reader.parse(source)))
            self.check_limits(result)
        else:
            lines = source.count("\n") + 2
            for fault in result:
                self.assertTrue(1 <= fault.line <= lines, fault)

    def check_limits(self, cell):
        """Check rules that the scheduler relies on."""
        for team in cell.teams.values():
            self.assertGreater(team.share, 0)
            self.assertIn(team.organisation, cell.organisations)
        for template in cell.jobs.values():
            self.assertEqual(template.team, cell.queues[template.queue].team)
            gang = template.kind is job.Kind.GANG
            total = template.demand.times(template.task_count if gang else 1)
            self.assertTrue(total.fits(cell.teams[template.team].ceiling))
