from test import edge_fakes, gateway_case
from toucanspring.callers import api


class AccessTest(gateway_case.GatewayCase):
    def test_keyed_work_needs_the_key_of_its_team(self):
        # Guards against work that runs on another team's share.
        for key, status in (
            (None, 401),
            ("Basic desk-key", 401),
            ("Bearer ", 401),
            ("Bearer nobody", 403),
            ("Bearer labels-key", 403),
        ):
            self.check_failure(
                self.submit(gateway_case.JOB, key=key), status, "Forbidden"
            )
            answer = self.call("POST", "/v1/services/request-desk/requests", "x", key)
            if key != "Bearer labels-key":
                self.check_failure(answer, status, "Forbidden")
        self.assertEqual({}, self.partitions.jobs)

    def test_the_job_belongs_to_the_team_of_the_key(self):
        status, body = self.submit({**gateway_case.JOB, "id": "a"})
        self.assertEqual(202, status, body)
        self.assertEqual("desk", self.partitions.jobs["a"].team)
        self.check_failure(
            self.submit({**gateway_case.JOB, "team": "labels"}), 400, "Invalid"
        )

    def test_a_withdrawn_key_stops_working(self):
        self.assertEqual(202, self.submit(gateway_case.JOB)[0])
        path = "/v1/keys/desk-key"
        self.assertEqual(200, self.call("DELETE", path, key=gateway_case.OPERATOR)[0])
        self.check_failure(self.submit(gateway_case.JOB), 403, "Forbidden")

    def test_a_stale_view_refuses_keyed_work_and_accepts_open_work(self):
        # Guards against a withdrawn key that a process accepts because it has not
        # received the withdrawal.
        self.assertEqual(202, self.submit(gateway_case.JOB)[0])
        self.documents.is_fresh = False
        self.check_failure(self.submit(gateway_case.JOB), 503, "NotRun")
        status, _ = self.submit(
            {**gateway_case.JOB, "queue": "label-previews"}, key=None
        )
        self.assertEqual(202, status)

    def test_calls_are_refused_before_the_documents_were_read(self):
        # Guards against a restarted daemon that tells callers that their service does
        # not exist.
        self.documents.is_fresh = False
        self.check_failure(self.submit(gateway_case.JOB), 503, "Unavailable")
        self.check_failure(self.call("GET", "/v1/jobs/a"), 503, "Unavailable")

    def test_a_stale_view_does_not_deny_what_it_does_not_have(self):
        # Guards against a final refusal by a process that has lost its peers and the
        # store, of a service, queue, template, zone or team that a later configuration
        # declares.
        job = gateway_case.JOB
        big = {
            **job,
            "queue": "label-previews",
            "resources": {"cpus": 9999, "memory": "1 GiB"},
        }
        operator = gateway_case.OPERATOR
        calls = [
            (404, "/v1/services/other/requests", "ask", None),
            (404, "/v1/zones/other/out", None, operator),
            (404, "/v1/keys", {"team": "other"}, operator),
            (400, "/v1/jobs", {"jobs": [{**job, "queue": "other"}]}, None),
            (400, "/v1/jobs", {"jobs": [{**job, "template": "other"}]}, None),
            (400, "/v1/jobs", {"jobs": [{**big, "zones": ["other"]}]}, None),
            (400, "/v1/jobs", {"jobs": [big]}, None),
        ]
        for status, path, body, key in calls:
            for is_fresh in (True, False):
                self.documents.is_fresh = is_fresh
                found = self.call("POST", path, body, key)
                self.assertEqual(status if is_fresh else 503, found[0], found)

    def test_open_and_keyed_ids_are_separate(self):
        # Guards against callers without a key that read keyed work or take its ID.
        open_job = {**gateway_case.JOB, "queue": "label-previews"}
        self.check_failure(self.submit({**open_job, "id": "a"}), 400, "Invalid")
        self.check_failure(
            self.submit({**gateway_case.JOB, "id": "open.a"}), 400, "Invalid"
        )
        self.submit({**open_job, "id": "open.a"}, {**gateway_case.JOB, "id": "a"})
        self.assertEqual(200, self.call("GET", "/v1/jobs/open.a")[0])
        self.check_failure(self.call("GET", "/v1/jobs/a"), 401, "Forbidden")
        other = "Bearer labels-key"
        self.check_failure(self.call("GET", "/v1/jobs/a", key=other), 403, "Forbidden")
        self.assertEqual(
            200, self.call("GET", "/v1/jobs/a", key=gateway_case.OPERATOR)[0]
        )
        status, body, _ = self.call(
            "POST", "/v1/cancellations", {"ids": ["a", "open.a", "b"]}, other
        )
        self.assertEqual(207, status)
        failed = {item["id"] for item in body["jobs"] if "error" in item}
        self.assertEqual({"a", "b"}, failed)

    def test_operator_routes_refuse_team_keys(self):
        for method, path in (
            ("GET", "/v1/config"),
            ("PUT", "/v1/config"),
            ("GET", "/v1/config/history"),
            ("GET", "/v1/config/confirmations?version=1"),
            ("GET", "/v1/zones"),
            ("POST", "/v1/zones/zug-1/out"),
            ("POST", "/v1/zones/zug-1/in"),
            ("GET", "/v1/keys"),
            ("POST", "/v1/keys"),
            ("DELETE", "/v1/keys/desk-key"),
            ("GET", "/v1/workers"),
            ("GET", "/v1/members"),
            ("GET", "/v1/reports/burn"),
        ):
            for key, status in ((None, 401), (gateway_case.DESK, 403)):
                answer = self.call(method, path, key=key)
                self.check_failure(answer, status, "Forbidden")

    def test_without_an_operator_key_in_the_settings_nobody_is_an_operator(self):
        access = api.Access(self.core, edge_fakes.make_settings(operator_key_hash=""))
        self.assertFalse(access.is_operator(""))
        self.assertFalse(access.is_operator("x"))
