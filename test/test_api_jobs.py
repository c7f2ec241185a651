import json
import socket

import hypothesis
from hypothesis import strategies

from test import gateway_case
from toucanspring import errors, job
from toucanspring.callers import handler

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=80, database=None
)
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=10),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                [
                    *("jobs", "id", "queue", "team", "template", "tasks", "retries"),
                    *("resources", "cpus", "memory", "class", "kind", "after", "zones"),
                    *("payload", "payload_base64", "deadline", "run_time"),
                ]
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=15,
)


class JobsTest(gateway_case.GatewayCase):
    def test_the_same_id_gives_the_same_job_and_other_content_a_conflict(self):
        # Guards against a second job after a retry at another entry VM.
        item = {**gateway_case.JOB, "id": "a"}
        for _ in range(2):
            self.assertEqual((202, {"jobs": [{"id": "a"}]}), self.submit(item))
        self.check_failure(self.submit({**item, "tasks": 2}), 409, "Conflict")
        status, body = self.submit(
            {**item, "tasks": 2}, {**gateway_case.JOB, "id": "b"}
        )
        self.assertEqual(207, status)
        self.assertEqual("Conflict", body["jobs"][0]["error"]["type"])
        self.assertEqual({"id": "b"}, body["jobs"][1])

    def test_a_call_holds_up_to_1000_jobs_and_10000_tasks(self):
        jobs = [
            {**gateway_case.JOB, "id": f"j{index}", "tasks": 10}
            for index in range(1000)
        ]
        self.assertEqual(202, self.submit(*jobs)[0])
        self.assertEqual(1000, len(self.partitions.jobs))
        more = [{**job, "tasks": 11} for job in jobs]
        self.check_failure(self.submit(*more), 400, "Invalid")
        self.check_failure(self.submit(*jobs, gateway_case.JOB), 400, "Invalid")
        twice = [{**gateway_case.JOB, "id": "same"}] * 2
        self.check_failure(self.submit(*twice), 400, "Invalid")
        self.assertEqual(1000, len(self.partitions.jobs))

    def test_one_faulty_job_refuses_the_whole_call(self):
        # Guards against jobs that run although the caller was told of a failure.
        for change in (
            {"queue": "nowhere"},
            {"resources": {"cpus": 0, "memory": 1}},
            {"resources": {"cpus": 33, "memory": 1}},
            {"kind": "gang", "tasks": 300},
            {"run_time": "soon"},
            {"deadline": -1},
            {"zones": ["atlantis"]},
            {"placement": "dense"},
            {"after": ["../a"]},
            {"id": "a/b"},
            {"id": "x" * 129},
            {"payload": "x" * 65537},
            {"template": "nothing"},
            {"class": "royal"},
            {"tasks": 0},
            {"retries": -1},
        ):
            answer = self.submit(gateway_case.JOB, {**gateway_case.JOB, **change})
            self.check_failure(answer, 400, "Invalid")
        self.assertEqual({}, self.partitions.jobs)

    def test_a_template_submits_its_dependencies(self):
        status, body = self.submit(
            {"template": "demand-report", "id": "d"}, key="Bearer x"
        )
        self.documents.secrets["x"] = "retail-forecast"
        status, body = self.submit(
            {"template": "demand-report", "id": "d"}, key="Bearer x"
        )
        self.assertEqual((202, {"jobs": [{"id": "d"}]}), (status, body))
        jobs = self.partitions.jobs
        self.assertEqual(("d.demand-model",), jobs["d"].after)
        self.assertEqual(job.Kind.GANG, jobs["d.demand-model"].kind)

    def test_a_failure_of_the_store_reaches_the_caller_with_its_type(self):
        self.partitions.refuse = errors.StoreUnavailable(reason="store")
        self.check_failure(self.submit(gateway_case.JOB), 503, "StoreUnavailable")

    def test_a_slow_or_truncated_body_submits_nothing(self):
        # Guards against a partial submission that is taken as complete.
        self.patch(handler, "BODY_TIMEOUT_S", 0.2)
        body = json.dumps({"jobs": [gateway_case.JOB]}).encode()
        for cut in (False, True):
            with socket.create_connection(("127.0.0.1", self.port)) as sock:
                head = f"Authorization: {gateway_case.DESK}\r\n"
                head += f"Content-Length: {len(body) + 9}\r\n"
                sock.sendall(b"POST /v1/jobs HTTP/1.1\r\n" + head.encode() + b"\r\n")
                sock.sendall(body)
                if cut:
                    sock.shutdown(socket.SHUT_WR)
                self.assertIn(b"400" if cut else b"408", sock.recv(65536))
        self.assertEqual({}, self.partitions.jobs)

    @SETTINGS
    @hypothesis.given(JSON_VALUES)
    def test_any_json_is_accepted_or_refused_with_a_reason(self, value):
        # Guards against input that causes "internal error", with an unknown outcome.
        status, body, _ = self.call(
            "POST", "/v1/jobs", json.dumps(value), gateway_case.DESK
        )
        self.assertIn(status, (202, 207, 400, 403, 413), body)
        if status >= 400:
            self.assertIn(body["error"]["type"], errors.KINDS)

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.fixed_dictionaries(
                {"queue": strategies.sampled_from(["desk", "label-previews"])},
                optional={
                    "tasks": strategies.integers(-1, 20),
                    "resources": strategies.fixed_dictionaries(
                        {
                            "cpus": strategies.floats(-1, 40, allow_nan=False),
                            "memory": strategies.sampled_from(["1 GiB", 5, "x", 0]),
                        }
                    ),
                    "run_time": strategies.sampled_from([1, "2 min", "x", -1]),
                    "kind": strategies.sampled_from(["batch", "gang", "service", "x"]),
                    "payload": strategies.text(max_size=5),
                },
            ),
            min_size=1,
            max_size=4,
        )
    )
    def test_accepted_jobs_keep_the_rules_of_the_scheduler(self, items):
        known = set(self.partitions.jobs)
        status, _ = self.submit(*items)
        fresh = [s for i, s in self.partitions.jobs.items() if i not in known]
        self.assertEqual(len(items) if status == 202 else 0, len(fresh))
        for spec in fresh:
            self.assertGreater(spec.demand.cpus, 0)
            self.assertGreater(spec.task_count, 0)
            ceiling = self.documents.cell().teams[spec.team].ceiling
            self.assertTrue(spec.demand.fits(ceiling))
