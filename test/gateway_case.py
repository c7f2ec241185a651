"""Test case with a gateway over fake services, called over HTTP."""

import http.client
import json

import testtools

from test import edge_fakes
from toucanspring.callers import answers

DESK = "Bearer desk-key"
OPERATOR = f"Bearer {edge_fakes.OPERATOR_KEY}"
JOB = {"queue": "desk", "resources": {"cpus": 1, "memory": "1 GiB"}}


def make_answer():
    return answers.Answer(200, {}, iter([b"ok"]), 2)


class GatewayCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.core = edge_fakes.build()
        self.core.start()
        self.addCleanup(self.core.stop)
        self.port = self.core.find("gateway").port
        self.documents = self.core.find("documents")
        self.partitions = self.core.find("partitions")

    def call(self, method, path, body=None, key=None, **headers):
        """Return status, decoded body and headers of one call."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        if key is not None:
            named["Authorization"] = key
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=10)
        try:
            if isinstance(body, dict | list):
                body = json.dumps(body)
            connection.request(method, path, body, named)
            response = connection.getresponse()
            content = response.read()
        finally:
            connection.close()
        if "json" in response.headers.get("Content-Type", ""):
            content = json.loads(content)
        return response.status, content, response.headers

    def submit(self, *jobs, key=DESK):
        status, body, _ = self.call("POST", "/v1/jobs", {"jobs": list(jobs)}, key)
        return status, body

    def check_failure(self, result, status, kind):
        self.assertEqual(status, result[0], result)
        self.assertEqual(kind, result[1]["error"]["type"], result)
        self.assertIn("reason", result[1]["error"])
