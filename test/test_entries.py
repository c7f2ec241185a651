import collections
import contextlib
import http.client
import json

import gevent
import testtools

from standins import cluster
from test import edge_fakes

ZONES = ("luzern-1", "zug-1", "schwyz-1")
PATH = "/v1/services/request-desk/requests"


class EntriesTest(testtools.TestCase):
    """Test with real processes: two daemons, one of which is killed."""

    def call(self, port, method, path, body=None, key="", **headers):
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        named["Authorization"] = f"Bearer {key or self.cluster.operator_key}"
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=40)
        try:
            connection.request(method, path, body, named)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def test_a_repeat_at_another_entry_gets_the_outcome_of_the_first_call(self):
        # Guards against a request that runs twice, or is lost, when the daemon that
        # received it, and may own its partition, is killed.
        self.cluster = cluster.Cluster(
            workers=3,
            backend_servers=3,
            zones=ZONES,
            backend_options=("--service-name", "request-desk"),
        )
        with self.cluster:
            ports = [self.cluster.start_daemon(name).http_port for name in ("e1", "e2")]
            first, second = ports
            status, answer = self.call(
                first, "PUT", "/v1/config", edge_fakes.KERNHALDE, If_Match="0"
            )
            self.assertEqual(200, status, answer)
            _, answer = self.call(first, "POST", "/v1/keys", '{"team": "desk"}')
            key = json.loads(answer)["secret"]
            self.wait_until_served(ports, key)
            ids = [f"order-{number}" for number in range(12)]

            def send_request(port, request_id):
                return self.call(
                    port,
                    "POST",
                    PATH,
                    '{"run_ms": 2000}',
                    key,
                    X_Class="normal",
                    X_Request_Id=request_id,
                )

            def call_killed_daemon(request_id):
                with contextlib.suppress(OSError, http.client.HTTPException):
                    send_request(first, request_id)

            interrupted_calls = [
                gevent.spawn(call_killed_daemon, request_id) for request_id in ids
            ]
            gevent.sleep(0.7)
            self.cluster.kill_daemon("e1")
            gevent.joinall(interrupted_calls)
            repeats = [
                gevent.spawn(send_request, second, request_id) for request_id in ids
            ]
            gevent.joinall(repeats, raise_error=True)
            events = self.cluster.record("backend_servers")["events"]
            runs = collections.Counter(
                event["request"] for event in events if event["kind"] == "run"
            )
            for request_id, repeat in zip(ids, repeats, strict=True):
                status, answer = repeat.value
                self.assertEqual(200, status, answer)
                self.assertEqual(1, runs[request_id], request_id)
                found = self.call(second, "GET", f"/v1/requests/{request_id}", key=key)
                self.assertEqual((200, answer), found)

    def wait_until_served(self, ports, key):
        """Wait until all daemons know the configuration and the key."""
        for port in ports:
            with gevent.Timeout(10):
                while self.call(port, "POST", PATH, "{}", key)[0] != 200:
                    gevent.sleep(0.1)
