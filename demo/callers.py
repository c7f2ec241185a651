"""Callers of a service and submitters of jobs that check the responses."""

from __future__ import annotations

import dataclasses
import time

import gevent

from demo import entry, summary
from standins import backend_servers, replies

NOT_RUN = {
    "NotRun",
    "Overloaded",
    "Unavailable",
    "StoreUnavailable",
    "Refused",
    "Forbidden",
    "Timeout",
    "Invalid",
}
PAUSE_S = 0.02
LOOKUP_LIMIT_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """Parameters of one kind of request to a service."""

    job_class: str
    idempotent: bool
    answer_bytes: int
    run_ms: float


class Callers:
    """Send requests of several kinds concurrently until stopped."""

    def __init__(
        self,
        client: entry.EntryClient,
        counts: summary.Summary,
        service: str,
        key: str,
    ) -> None:
        self._client = client
        self._counts = counts
        self._service = service
        self._key = key
        self._stopping = False
        self._sent = 0
        self._greenlets: list[gevent.Greenlet] = []

    def start(self, kind: RequestKind, count: int) -> None:
        """Start callers that each send one request at a time."""
        self._greenlets += [gevent.spawn(self._run, kind) for _ in range(count)]

    def stop(self) -> None:
        """Stop all callers after their current requests."""
        self._stopping = True
        gevent.joinall(self._greenlets)

    def _run(self, kind: RequestKind) -> None:
        while not self._stopping:
            self._sent += 1
            self._send(kind, f"{self._service}-{kind.job_class}-{self._sent}")
            gevent.sleep(PAUSE_S)

    def _send(self, kind: RequestKind, request_id: str) -> None:
        headers = {
            "X-Request-Id": request_id,
            "X-Class": kind.job_class,
            "X-Idempotent": "true" if kind.idempotent else "false",
        }
        body = {"run_ms": kind.run_ms, "answer_bytes": kind.answer_bytes}
        path = f"/v1/services/{self._service}/requests"
        reply = self._client.call("POST", path, body, self._key, headers)
        if reply.status == 0 or reply.failure in ("Unknown", "Ambiguous"):
            # The response was lost; a retry with the same ID, also at another entry VM,
            # returns the outcome.
            gevent.sleep(0.2)
            reply = self._client.call("POST", path, body, self._key, headers)
        self._count_reply(kind, request_id, reply)

    def _count_reply(
        self, kind: RequestKind, request_id: str, reply: replies.Reply
    ) -> None:
        if reply.status == 200:
            expected = backend_servers.expected_answer(request_id, kind.answer_bytes)
            if reply.body != expected:
                self._counts.problems.append(f"wrong response to request {request_id}")
            self._counts.outcomes["done"] += 1
        elif reply.failure in NOT_RUN:
            self._counts.outcomes["not_run"] += 1
        elif reply.failure in ("Unknown", "Ambiguous"):
            self._counts.outcomes["unknown"] += 1
        else:
            self._counts.problems.append(
                f"{request_id}: {reply.status} {reply.body[:200]!r}"
            )


class Submitter:
    """Submit jobs and wait for their outcomes."""

    def __init__(
        self, client: entry.EntryClient, counts: summary.Summary, key: str = ""
    ) -> None:
        self._client = client
        self._counts = counts
        self._key = key
        self.accepted: list[str] = []

    def submit(self, items: list[dict]) -> None:
        """Submit jobs; retry after a lost response, report a refusal as a problem."""
        for _ in range(entry.ATTEMPTS):
            reply = self._client.call("POST", "/v1/jobs", {"jobs": items}, self._key)
            if 0 < reply.status < 300:
                self._count_reply(reply)
                return
            if reply.status and reply.failure not in ("Unavailable", "Ambiguous"):
                break
            gevent.sleep(0.2)
        self._counts.problems.append(
            f"submission failed: {reply.status} {reply.body[:300]!r}"
        )

    def _count_reply(self, reply: replies.Reply) -> None:
        """Record the accepted jobs, and the refused ones as problems."""
        for item in reply.json()["jobs"]:
            if "error" in item:
                self._counts.problems.append(f"{item['id']}: {item['error']}")
            else:
                self.accepted.append(item["id"])

    def wait(self, limit_s: float) -> None:
        """Wait for all accepted jobs; count those without an outcome as lost."""
        deadline = time.monotonic() + limit_s
        for job_id in self.accepted:
            outcome = self._wait_for_outcome(job_id, deadline)
            if outcome:
                self._counts.outcomes[outcome] += 1
            else:
                self._counts.lost.append(job_id)
        self.accepted = []

    def _wait_for_outcome(self, job_id: str, deadline: float) -> str:
        while True:
            reply = self._client.call("GET", f"/v1/jobs/{job_id}", key=self._key)
            if reply.status == 200:
                outcome = reply.json().get("outcome")
                if outcome:
                    return outcome["state"]
            if time.monotonic() > deadline:
                return ""
            gevent.sleep(0.2)
