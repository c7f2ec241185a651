import contextlib
import io
import json
import pathlib
import tempfile
import types

import testtools

from test import certificates, edge_fakes
from toucanspring import cli, errors, job
from toucanspring.adapters import exchange, vms
from toucanspring.commands import partitions
from toucanspring.owners import handover
from toucanspring.reporting import event_kinds, survey
from toucanspring.scheduling import effects
from toucanspring.terminal import client, console

UNUSED = "127.0.0.1:1"


class CliTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.core = edge_fakes.build()
        self.core.start()
        self.addCleanup(self.core.stop)
        port = self.core.find("gateway").port
        self.partitions = self.core.find("partitions")
        self.documents = self.core.find("documents")
        self.environment = {
            "TOUCANSPRING_ENDPOINTS": f"{UNUSED},127.0.0.1:{port}",
            "TOUCANSPRING_KEY": "desk-key",
            "TOUCANSPRING_OPERATOR_KEY": edge_fakes.OPERATOR_KEY,
            "TOUCANSPRING_TIMEOUT_S": "5",
        }

    def run_cli(self, *arguments, **environment):
        """Return exit code, standard output and error output of a command line."""
        output, failures = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(failures):
            try:
                code = cli.run(list(arguments), {**self.environment, **environment})
            except SystemExit as ended:
                code = ended.code
        return code, output.getvalue(), failures.getvalue()

    def write(self, source):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name) / "cell.yaml"
        path.write_text(source)
        return str(path)

    def test_exit_codes_and_types_of_failures(self):
        # Guards against scripts that treat a failure as success.
        example = str(edge_fakes.ROOT / "examples" / "kernhalde.yaml")
        faulty = self.write(edge_fakes.KERNHALDE.replace("share: 5", "share: 0"))
        self.partitions.submit([job.JobSpec(id="a", name="a", team="labels")])
        for expected, kind, arguments in (
            (0, "", ["validate", example]),
            (2, "usage", ["nothing"]),
            (3, "", ["validate", faulty]),
            (3, "Invalid", ["apply", faulty]),
            (3, "Invalid", ["apply", "/nothing/there"]),
            (4, "Conflict", ["apply", example, "--base", "7"]),
            (5, "Forbidden", ["status", "a"]),
            (5, "Forbidden", ["zone", "list", "--operator-key", "wrong"]),
            (6, "NotFound", ["status", "nothing"]),
            (6, "NotFound", ["key", "withdraw", "nothing"]),
            (7, "Unavailable", ["status", "a", "--endpoints", UNUSED]),
            (3, "Invalid", ["status", "a", "--endpoints", "ftp://x"]),
            (10, "Timeout", ["wait", "--key", edge_fakes.OPERATOR_KEY, "a",
                             "--limit-s", "0.1"]),
        ):  # fmt: skip
            code, _, failures = self.run_cli(*arguments)
            self.assertEqual(expected, code, (arguments, failures))
            self.assertIn(kind, failures)

    def test_the_number_of_partitions_is_shown_and_set(self):
        code, output, _ = self.run_cli("partitions", "set", "5")
        self.assertEqual((0, "5 partitions (generation 1)\n"), (code, output))
        self.register_handover()
        code, output, _ = self.run_cli("partitions", "show")
        self.assertEqual(0, code)
        for shown in ("former numbers: 3", "no owner"):
            self.assertIn(shown, output)

    def register_handover(self):
        held = handover.Remaining(1, [3], 2, 1, False)
        found = {0: held, 1: errors.Unavailable(reason="no owner")}
        service = types.SimpleNamespace(remaining_work=lambda: found, stop=lambda: None)
        self.core.register("handover", service)

    def test_a_lost_answer_to_a_change_of_the_number_is_settled(self):
        # Guards against a retry that reports a conflict with its own first attempt.
        rows = [{"partitions": number, "generation": number} for number in (2, 5)]
        answers = [client.Answer(200, {}, json.dumps(row).encode()) for row in rows]
        connection = types.SimpleNamespace(
            get=lambda *_, **__: answers.pop(0),
            call=lambda *_, **__: errors.Conflict(reason="changed"),
            answer_was_lost=True,
        )
        found = partitions.change(console.Context(connection, False), 5)
        self.assertEqual(rows[1], found.value)

    def test_json_goes_to_the_output_and_json_failures_to_the_error_output(self):
        code, output, _ = self.run_cli("zone", "out", "zug-1", "--json")
        self.assertEqual((0, True), (code, json.loads(output)["out"]))
        code, output, failures = self.run_cli("status", "nothing", "--json")
        self.assertEqual((6, ""), (code, output))
        self.assertEqual("NotFound", json.loads(failures)["error"]["type"])

    def test_every_command_has_help_without_the_keys(self):
        # Guards against help that shows keys from the environment as defaults.
        for name, entry in cli.COMMANDS.items():
            inner = [[name, each] for each in entry] if isinstance(entry, dict) else []
            for arguments in inner or [[name]]:
                code, output, _ = self.run_cli(*arguments, "--help")
                self.assertEqual(0, code)
                self.assertIn("--json", output)
                self.assertNotIn(edge_fakes.OPERATOR_KEY, output)
                self.assertNotIn("desk-key", output)

    def test_apply_reports_both_versions_of_a_conflict(self):
        path = self.write(edge_fakes.KERNHALDE + "# changed\n")
        self.assertEqual(0, self.run_cli("apply", path, "--wait")[0])
        code, output, _ = self.run_cli("apply", path)
        self.assertEqual((0, "unchanged: version 2 is in force\n"), (code, output))
        _, _, failures = self.run_cli("apply", path, "--base", "1")
        self.assertIn("version 2 is in force", failures)
        self.assertIn("based on version 1", failures)

    def test_apply_after_a_lost_answer_recognises_its_own_change(self):
        # Guards against a conflict reported for the operator's own change.
        path = self.write(edge_fakes.KERNHALDE + "# changed\n")
        original_call = exchange.Endpoint.call
        lost = []

        def call(endpoint, method, *arguments, **options):
            reply = original_call(endpoint, method, *arguments, **options)
            if method == "PUT" and not lost and isinstance(reply, exchange.Reply):
                lost.append(reply.status)
                return errors.Ambiguous(reason="the answer was lost")
            return reply

        self.patch(exchange.Endpoint, "call", call)
        port = self.core.find("gateway").port
        both = f"127.0.0.1:{port},127.0.0.1:{port}"
        code, output, failures = self.run_cli("apply", path, "--endpoints", both)
        self.assertEqual((0, [200]), (code, lost), failures)
        self.assertIn("version 2 is in force", output)

    def test_a_key_is_not_granted_twice_after_a_lost_answer(self):
        original_call = exchange.Endpoint.call

        def call(endpoint, method, *arguments, **options):
            original_call(endpoint, method, *arguments, **options)
            return errors.Ambiguous(reason="the answer was lost")

        self.patch(exchange.Endpoint, "call", call)
        code, _, failures = self.run_cli("key", "grant", "labels")
        self.assertEqual(8, code)
        self.assertIn("Ambiguous", failures)

    def test_the_list_of_workers_says_what_it_lacks(self):
        store = self.core.find("store")
        store.listed = [
            vms.Vm(
                id="w0",
                role=vms.Role.WORKER,
                availability_zone="z",
                address="",
                port=1,
            )
        ]
        silent = {1: errors.Unavailable(reason="no owner")}
        self.partitions.survey = survey.WorkerSurvey([], silent)
        code, output, _ = self.run_cli("workers")
        self.assertEqual(0, code)
        self.assertIn("partition 1 did not answer: no owner", output)
        self.assertIn("w0", output)
        store.vms.list = lambda: errors.Unavailable(reason="no list")
        self.assertIn("workers may be missing", self.run_cli("workers")[1])

    def test_submit_with_an_id_twice_starts_one_job(self):
        for _ in range(2):
            self.assertEqual(0, self.run_cli("submit", "stock-index", "--id", "a")[0])
        self.assertEqual(["a"], list(self.partitions.jobs))
        code, _, failures = self.run_cli(
            "submit", "stock-index", "--id", "a", "--tasks", "3"
        )
        self.assertEqual(4, code, failures)

    def test_wait_ends_with_the_outcome_of_the_jobs(self):
        # Guards against a nightly script that continues after a failed job.
        for state, expected in (("done", 0), ("failed", 9), ("unknown", 8)):
            outcome = job.Outcome(job.State(state), "why")
            status = effects.JobStatus("a", "a", "desk", {state: 1}, outcome, {})
            self.patch(self.partitions, "lookup", lambda _, status=status: status)
            code, output, _ = self.run_cli("wait", "a")
            self.assertEqual(expected, code)
            self.assertIn(state, output)

    def test_control_characters_of_others_do_not_reach_the_terminal(self):
        shown = console.table(("A",), [("\x1b[2Jx",)])
        self.assertNotIn("\x1b", shown)
        failure = errors.Refused(reason="\x1b[2J")
        self.assertNotIn("\x1b", console.describe(failure))

    def test_the_table_of_events_says_what_it_lacks(self):
        self.core.publish(event_kinds.WorkerLost("w1", "zug-1", "r1", 0, 3))
        self.core.find("events")._buffer.lost = 2
        self.core.find("store").tables.down = True
        code, output, _ = self.run_cli("events", "--since", "2h", "--subject", "w1")
        self.assertEqual(0, code)
        self.assertIn("worker=w1 zone=zug-1 rack=r1 partition=0 tasks=3", output)
        self.assertIn("without written events: down", output)
        self.assertIn("without 2 events that were dropped", output)
        _, output, _ = self.run_cli("events", "--json")
        self.assertEqual("w1", json.loads(output)["events"][0]["worker"])
        code, _, _ = self.run_cli("events", "--since", "soon")
        self.assertEqual(3, code)

    def test_explain_shows_actions_with_time_and_process(self):
        self.partitions.submit([job.JobSpec(id="a", name="a", team="desk")])
        self.core.publish(event_kinds.GangRequeued("a", 3, "worker w1 was lost"))
        code, output, _ = self.run_cli("explain", "a")
        self.assertEqual(0, code)
        self.assertRegex(output, r"\d\d:\d\d:\d\d \S+: gang_requeued members=3")
        self.assertIn("worker w1 was lost", output)

    def test_diff_names_the_resources_of_a_ceiling(self):
        path = self.write(edge_fakes.KERNHALDE.replace("cpus: 256,", "cpus: 250.5,", 1))
        _, output, _ = self.run_cli("diff", path)
        self.assertIn("cpus 256, memory 524288 MiB, accelerators 0 -> ", output)
        self.assertIn("-> cpus 250.5, memory ", output)
        _, output, _ = self.run_cli("diff", path, "--json")
        [change] = json.loads(output)["changes"]
        old, new = change["fields"]["ceiling"]
        self.assertEqual((256_000, 250_500), (old["cpus"], new["cpus"]))

    def test_reports_without_content_say_so(self):
        # Guards against an empty table shown only as `none`.
        self.assertEqual(
            "no tasks wait\n\nno requests wait\n", self.run_cli("report", "waiting")[1]
        )
        self.assertIn("no requests were counted", self.run_cli("report", "burn")[1])

    def test_https_endpoints_are_checked(self):
        # Guards against keys sent to a server without a trusted certificate.
        issued = certificates.Certificates(self)
        core = edge_fakes.build(
            http_certificate=issued.certificate, http_key=issued.key
        )
        core.start()
        self.addCleanup(core.stop)
        port = core.find("gateway").port
        plain_http, own = f"127.0.0.1:{port}", f"https://127.0.0.1:{port}"
        other_ca_file = certificates.Certificates(self).ca_file
        for expected, endpoint, ca_file in (
            (0, own, issued.ca_file),
            (0, f"{UNUSED},{own}", issued.ca_file),
            (7, own, ""),
            (7, own, other_ca_file),
            (7, f"https://localhost:{port}", issued.ca_file),
            (3, own, "/nothing/there.pem"),
            (8, plain_http, ""),
        ):
            options = ["--endpoints", endpoint, "--ca-file", ca_file]
            code, _, failures = self.run_cli("zone", "list", *options)
            self.assertEqual(expected, code, (endpoint, ca_file, failures))
        environment = {
            "TOUCANSPRING_ENDPOINTS": own,
            "TOUCANSPRING_CA_FILE": issued.ca_file,
        }
        path = self.write(edge_fakes.KERNHALDE + "# changed\n")
        code, _, failures = self.run_cli("apply", path, "--wait", **environment)
        self.assertEqual(0, code, failures)

    def test_the_endpoint_that_answered_is_asked_first(self):
        port = self.core.find("gateway").port
        addresses = [
            client.parse_endpoint(UNUSED),
            client.EndpointAddress("127.0.0.1", port),
        ]
        connection = client.Client(addresses, "", edge_fakes.OPERATOR_KEY, "", 5.0)
        asked = []
        original_call = exchange.Endpoint.call
        self.patch(
            exchange.Endpoint,
            "call",
            lambda endpoint, *rest: (
                asked.append(endpoint) or original_call(endpoint, *rest)
            ),
        )
        for _ in range(3):
            connection.get("/v1/zones", operator=True)
        self.assertEqual(4, len(asked))
        connection.close()
