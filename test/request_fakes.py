"""Test case for requests to scripted backend servers."""

import collections
import math
import types

import gevent
import testtools

from test import edge_fakes
from toucanspring import errors, job, uptime
from toucanspring.adapters import backend_servers, exchange, vms
from toucanspring.callers import requests
from toucanspring.owners import runner

REFUSED = errors.NotRun(reason="slots")
FENCED = errors.NotRun(reason="epoch")
UNREACHABLE = errors.Unavailable(reason="connection refused")
LOST = errors.Ambiguous(reason="no answer")
TRUNCATED = "truncated"  # the answer ends after its first part


class Clock:
    """Clock that advances only during sleeps."""

    def __init__(self):
        self.started_at = self.now = uptime.now()
        self.gevent = types.SimpleNamespace(spawn=gevent.spawn, sleep=self.sleep)

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds
        gevent.sleep(0)

    @property
    def elapsed_s(self):
        return self.now - self.started_at


class Reply:
    """Fake of the connection of an answer."""

    def __init__(self, parts, truncated, status):
        self.parts = parts
        self.status = status
        self.headers = {"x-a": "1"}
        self.sent = 0
        self.truncated = truncated
        self.closed = False

    def blocks(self):
        yield from self.parts
        if self.truncated:
            raise exchange.BrokenAnswer(errors.Ambiguous(reason="ended early"))

    def close(self):
        self.closed = True


def answer(body=b"whole", truncated=False, status=200):
    reply = Reply([body[:1], body[1:]], truncated, status)
    return backend_servers.Answer(status, reply.headers, reply.blocks(), reply)


class Client:
    """Answer from a script; the last entry repeats."""

    def __init__(self, *script):
        self.script = collections.deque(script or [b"whole"])
        self.sent = []
        self.ran = []
        self.epochs = []
        self.raise_answer = None
        self.unreachable = set()
        self.lookups = collections.deque([errors.NotFound(reason="unseen")])

    def send(
        self,
        server,
        request_id,
        body,
        timeout_s,
        epoch=None,
        headers=None,
        send_by=math.inf,
    ):
        self.sent.append((server, request_id, epoch))
        result = self.script.popleft() if len(self.script) > 1 else self.script[0]
        if isinstance(result, float):
            self.ran.append(request_id)
            gevent.sleep(result)
            return answer()
        if isinstance(result, errors.Failure):
            if result is LOST:
                self.ran.append(request_id)
            return result
        self.ran.append(request_id)
        if result is TRUNCATED:
            return answer(truncated=True)
        return answer(result)

    def lookup(self, server, request_id, timeout_s):
        if server in self.unreachable:
            return UNREACHABLE
        if request_id not in self.ran and timeout_s == runner.PROBE_TIMEOUT_S:
            return errors.NotFound(reason="unseen")
        result = self.lookups.popleft() if len(self.lookups) > 1 else self.lookups[0]
        return answer(result) if isinstance(result, bytes) else result

    def raise_epoch(self, server, epoch):
        self.epochs.append((server, epoch.epoch))
        return self.raise_answer

    def forget(self, server):
        pass

    def close(self):
        pass


def servers(count, **changes):
    return [
        vms.Vm(
            **{
                "id": f"b{number}",
                "role": vms.Role.BACKEND_SERVER,
                "availability_zone": "zug-1",
                "address": f"10.0.0.{number}",
                "port": 80,
                "service": "request-desk",
                **changes,
            }
        )
        for number in range(1, count + 1)
    ]


def make_request(request_id="r1", idempotent=True, deadline_s=1.0, body=b"ask"):
    return requests.Request(
        id=request_id,
        service="request-desk",
        team="desk",
        job_class=job.JobClass.CHECK,
        idempotent=idempotent,
        body=body,
        deadline_s=deadline_s,
    )


class RequestsCase(testtools.TestCase):
    def start(self, *script, count=3, listed=None):
        """Start the service with a scripted client and servers."""
        self.client = Client(*script)
        self.core = edge_fakes.build(
            self.client, servers(count) if listed is None else listed
        )
        self.service = self.core.find("requests")
        self.partitions = self.core.find("partitions")
        self.service.start()
        self.addCleanup(self.service.stop)
        gevent.sleep(0.01)
        return self.service

    def serve(self, **changes):
        return self.service.serve(make_request(**changes))

    def check_whole(self, result, body=b"whole"):
        self.assertIsInstance(result, requests.Answer, result)
        self.assertEqual(body, b"".join(result.chunks))
