import json

import gevent
import gevent.event

from test import gateway_case
from toucanspring import uptime
from toucanspring.callers import gateway

PATH = "/v1/services/request-desk/requests"


class StopTest(gateway_case.GatewayCase):
    def test_the_stop_waits_only_once_for_its_limit(self):
        # Guards against a daemon that waits `drain_s` while it drains and again
        # when it stops.
        service = self.core.find("gateway")
        waited = []
        self.patch(service._server, "drain", lambda limit_s: waited.append(limit_s))
        now = uptime.now()
        self.patch(gateway.uptime, "now", lambda: now)
        service.stop_accepting()
        now += 4.0
        service.stop()
        self.assertEqual([1.0], [round(limit_s, 6) for limit_s in waited])


class GatewayTest(gateway_case.GatewayCase):
    def test_a_stop_under_load_interrupts_no_request(self):
        # Guards against a restart that loses the answers of requests in progress.
        arrived = []
        go_on = gevent.event.Event()

        def serve(request):
            arrived.append(request)
            go_on.wait()
            return gateway_case.make_answer()

        self.patch(self.core.find("requests"), "serve", serve)
        calls = [
            gevent.spawn(self.call, "POST", PATH, "ask", gateway_case.DESK)
            for _ in range(100)
        ]
        # Callers that connect after the stop are refused, so all must connect before.
        while len(arrived) < len(calls):
            gevent.sleep(0.01)
        service = self.core.find("gateway")
        service.stop_accepting()
        self.assertEqual("stopping", self.ready_state())
        gevent.spawn_later(0.3, go_on.set)
        service.stop()
        for each in calls:
            status, body, headers = each.get(timeout=5)
            self.assertEqual((200, b"ok"), (status, body))
            self.assertEqual("close", headers["Connection"])

    def ready_state(self):
        """Return what `/readyz` would say, since no new connection is accepted."""
        from toucanspring.callers import api_status

        response = type("Response", (), {"set_header": lambda *_: None})()
        service = self.core.find("gateway")
        ready = api_status.Ready(self.core, lambda: service._draining)
        ready.on_get(None, response)
        return json.loads(response.data)["status"]
