from test import gateway_case
from toucanspring import job
from toucanspring.callers import api_events
from toucanspring.reporting import event_kinds

DESK, OPERATOR = gateway_case.DESK, gateway_case.OPERATOR
STOPPED = event_kinds.TasksStopped(
    "a", "w1", "zug-1", event_kinds.StopCause.PREEMPTED, "checkpoint", "secret-job"
)


class ApiEventsTest(gateway_case.GatewayCase):
    def test_only_operators_read_events(self):
        self.check_failure(self.call("GET", "/v1/events", key=DESK), 403, "Forbidden")
        status, body, _ = self.call("GET", "/v1/events", key=OPERATOR)
        self.assertEqual(200, status)
        self.assertEqual([], body["events"])

    def test_entries_have_time_process_and_fields(self):
        self.core.publish(STOPPED)
        _, body, _ = self.call("GET", "/v1/events?subject=job:a", key=OPERATOR)
        (item,) = body["events"]
        self.assertEqual("tasks_stopped", item["kind"])
        self.assertEqual("secret-job", item["for_job"])
        self.assertEqual(1, item["count"])
        self.assertIn("process", item)

    def test_wrong_parameters_are_refused(self):
        for query in ("since=0", "since=nan", "since=1e9", "kind=nothing"):
            result = self.call("GET", f"/v1/events?{query}", key=OPERATOR)
            self.check_failure(result, 400, "Invalid")

    def test_an_answer_is_bounded_and_counts_omitted_events(self):
        self.patch(api_events, "MAX_ENTRIES", 2)
        for name in ("w1", "w2", "w3"):
            self.core.publish(event_kinds.WorkerQuarantined(name))
        _, body, _ = self.call("GET", "/v1/events", key=OPERATOR)
        self.assertEqual(["w2", "w3"], [item["worker"] for item in body["events"]])
        self.assertEqual(1, body["omitted"])

    def test_explain_names_actions_and_hides_the_jobs_of_others(self):
        # Guards against a team that sees the IDs of other teams' jobs.
        self.partitions.submit([job.JobSpec(id="a", name="a", team="desk")])
        self.core.publish(STOPPED)
        self.core.publish(event_kinds.WorkerQuarantined("w1"))
        for key, hidden in ((DESK, True), (OPERATOR, False)):
            _, body, _ = self.call("GET", "/v1/jobs/a/explain", key=key)
            (action,) = body["actions"]
            self.assertEqual("preempted", action["cause"])
            self.assertEqual(hidden, "for_job" not in action)
