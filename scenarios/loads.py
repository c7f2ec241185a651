"""Loads of jobs and requests, whose callers follow each one to its outcome."""

from __future__ import annotations

import collections
import dataclasses
import time

import gevent
from gevent import pool

from scenarios import client
from standins import backend_servers, facts

# Failures that guarantee that the work did not run and will not.
NOT_RUN = frozenset(
    {"NotRun", "Overloaded", "Unavailable", "StoreUnavailable", "Forbidden", "Invalid"}
)
# Failures after which a caller may try another entry VM.
RETRIED = frozenset({"NotRun", "Overloaded", "Unavailable", "StoreUnavailable"})
RETRY_S = 0.2
# A caller repeats calls with a lost answer or an unknown outcome for this long.
FOLLOW_UP_LIMIT_S = 40.0
UNKNOWN_ATTEMPTS = 6
JOBS_PER_CALL = 200
LOOKUP_CONCURRENCY = 8
KEPT_ANSWER_BYTES = 1000  # longer answers are kept only if they are wrong
CALLER_PAUSE_S = 0.02
MAX_REASON_CHARACTERS = 90
CANCEL_ATTEMPTS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """Hold a granted key; `id` is empty for open queues."""

    id: str = ""
    team: str = ""
    secret: str = ""


@dataclasses.dataclass(slots=True)
class Load:
    """Count what callers sent and which outcomes they got, by state."""

    name: str
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    key_uses: list[facts.KeyUse] = dataclasses.field(default_factory=list)
    problems: list[str] = dataclasses.field(default_factory=list)
    stopping: bool = False
    greenlets: list[gevent.Greenlet] = dataclasses.field(default_factory=list)

    def spawn(self, function, *args: object) -> None:
        """Run a part of the load in a greenlet until `stop`."""
        self.greenlets.append(gevent.spawn(function, *args))

    def stop(self) -> None:
        """Send nothing more and wait for pending calls."""
        self.stopping = True
        gevent.joinall(self.greenlets, raise_error=True)

    def record_key_use(self, key: Key, sent_at: float) -> None:
        """Record that work was accepted with a key."""
        if key.id:
            self.key_uses.append(facts.KeyUse(key.id, sent_at))


class Jobs(Load):
    """Submit jobs and follow them to their outcomes."""

    def __init__(self, name: str, http_client: client.Client, key: Key) -> None:
        super().__init__(name)
        self._http_client = http_client
        self._key = key
        self._number = 0
        self.retrying = False
        self.accepted: dict[str, int] = {}  # job ID -> number of tasks
        self.outcomes: dict[str, str] = {}
        self.task_counts: dict[str, dict[str, int]] = {}
        self.refused: set[str] = set()

    def submit(self, count: int, fields: dict, tasks: int, daemon: str = "") -> None:
        """Submit jobs of one kind in bulk."""
        items = []
        for _ in range(count):
            self._number += 1
            items.append({"id": f"{self.name}-{self._number}", **fields})
        for start in range(0, len(items), JOBS_PER_CALL):
            self._submit(items[start : start + JOBS_PER_CALL], tasks, daemon)

    def keep_submitting(self, fields: dict, tasks: int, every_s: float) -> None:
        """Submit one job after the other until stopped."""
        due = time.monotonic()
        while not self.stopping:
            self.submit(1, fields, tasks)
            due = max(due + every_s, time.monotonic())
            gevent.sleep(due - time.monotonic())

    def _submit(self, items: list[dict], tasks: int, daemon: str) -> None:
        """Submit until each job is accepted or refused; the IDs make repeats safe."""
        self.counts["submitted"] += len(items)
        deadline = time.monotonic() + FOLLOW_UP_LIMIT_S
        maybe_accepted: set[str] = set()
        avoid = ""
        while items and time.monotonic() < deadline:
            sent_at = time.monotonic()
            reply = self._http_client.call(
                "POST",
                "/v1/jobs",
                {"jobs": items},
                self._key.secret,
                daemon=daemon,
                avoid=avoid,
            )
            avoid = reply.daemon
            left = []
            for item, failure in zip(items, _failures(reply, items), strict=True):
                if not failure:
                    self.accepted[item["id"]] = tasks
                    self.record_key_use(self._key, sent_at)
                elif not self._is_final(item["id"], failure, maybe_accepted):
                    if failure not in NOT_RUN:
                        maybe_accepted.add(item["id"])
                    left.append(item)
                elif item["id"] not in maybe_accepted:
                    self._refuse(item["id"], failure, reply)
                else:
                    # The key was withdrawn after an answer was lost.
                    if self._was_accepted(item["id"]):
                        self.accepted[item["id"]] = tasks
                    self.counts["doubtful"] += 1
            items = left
            if items:
                gevent.sleep(RETRY_S)
        for item in items:
            self.problems.append(f"{item['id']}: neither accepted nor refused")

    def _is_final(self, job_id: str, failure: str, maybe_accepted: set[str]) -> bool:
        """Return whether a failure ends the submission of a job."""
        if job_id in maybe_accepted:  # an earlier call may have been accepted
            return failure == "Forbidden"
        return failure in NOT_RUN and not (self.retrying and failure in RETRIED)

    def _refuse(self, job_id: str, failure: str, reply: client.Reply) -> None:
        self.refused.add(job_id)
        self.counts[f"refused {failure}"] += 1
        reason = str(reply.error.get("reason", reply.body[:300]))
        self.counts[reason[:MAX_REASON_CHARACTERS]] += 1

    def _was_accepted(self, job_id: str) -> bool:
        path = f"/v1/jobs/{job_id}"
        return (
            self._http_client.call(
                "GET", path, key=self._http_client.operator_key
            ).status
            == 200
        )

    def cancel(self) -> None:
        """Cancel all accepted jobs; repeats calls with lost answers."""
        ids = list(self.accepted)

        def send(part: list[str]) -> None:
            for _ in range(CANCEL_ATTEMPTS):
                reply = self._http_client.call(
                    "POST", "/v1/cancellations", {"ids": part}, self._key.secret
                )
                if reply.status == 200 or _only_ended(reply):
                    return
                gevent.sleep(RETRY_S)
            self.problems.append(f"cancellation: {reply.status} {reply.body[:200]!r}")

        parts = [
            ids[start : start + JOBS_PER_CALL]
            for start in range(0, len(ids), JOBS_PER_CALL)
        ]
        gevent.joinall([gevent.spawn(send, part) for part in parts], raise_error=True)

    def refresh(self) -> None:
        """Look up the outcomes of the jobs that had none yet."""
        open_ids = [job_id for job_id in self.accepted if job_id not in self.outcomes]
        pool.Pool(LOOKUP_CONCURRENCY).map(self._look_up, open_ids)

    def _look_up(self, job_id: str) -> None:
        path = f"/v1/jobs/{job_id}"
        reply = self._http_client.call("GET", path, key=self._key.secret)
        if reply.status == 403:  # the key was withdrawn; operators read all
            reply = self._http_client.call(
                "GET", path, key=self._http_client.operator_key
            )
        if reply.status != 200:
            return
        status = reply.json()
        self.task_counts[job_id] = status["counts"]
        if status["outcome"]:
            self.outcomes[job_id] = status["outcome"]["state"]

    def count(self, state: str) -> int:
        """Return the number of jobs in a state."""
        match state:
            case "accepted":
                return len(self.accepted)
            case "refused":
                return len(self.refused)
            case "finished":
                return len(self.outcomes)
            case "lost":
                return len(self.accepted) - len(self.outcomes)
            case _:
                return sum(outcome == state for outcome in self.outcomes.values())

    def total(self, state: str) -> int:
        """Return the number that `all` stands for."""
        if state in ("accepted", "refused"):
            return self.counts["submitted"]
        return len(self.accepted)


def _failures(reply: client.Reply, items: list[dict]) -> list[str]:
    """Return the type of the failure of each job; empty for an accepted one."""
    if reply.status in (202, 207) or (reply.status >= 400 and _has_jobs(reply)):
        errors_by_id = {item["id"]: item.get("error") for item in reply.json()["jobs"]}
        found = []
        for item in items:
            error = errors_by_id.get(item["id"], {"type": "Ambiguous"})
            found.append(str(error["type"]) if error else "")
        return found
    return [reply.failure or "Ambiguous"] * len(items)


def _has_jobs(reply: client.Reply) -> bool:
    try:
        return "jobs" in reply.json()
    except (ValueError, TypeError):
        return False


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Describe the requests of one load."""

    service: str
    job_class: str
    idempotent: bool
    run_ms: float
    answer_bytes: int
    give_up_s: float = 0.0


class Requests(Load):
    """Send requests of one kind from several callers."""

    def __init__(
        self, name: str, http_client: client.Client, key: Key, kind: Kind
    ) -> None:
        super().__init__(name)
        self._http_client = http_client
        self._key = key
        self._kind = kind
        self._number = 0
        self.not_run: set[str] = set()
        self.answers: list[facts.ReceivedAnswer] = []
        self.answer_bytes = kind.answer_bytes

    def start(self, callers: int) -> None:
        """Start callers that each send one request after the other."""
        for _ in range(callers):
            self.spawn(self._run)

    def _run(self) -> None:
        while not self.stopping:
            self._number += 1
            request_id = f"{self.name}-{self._number}"
            state = self._send(request_id)
            self.counts[state] += 1
            gevent.sleep(CALLER_PAUSE_S)

    def _send(self, request_id: str) -> str:
        """Send a request until its outcome is known, at another daemon each time."""
        deadline = time.monotonic() + FOLLOW_UP_LIMIT_S
        state = "lost"
        maybe_run = False
        avoid = ""
        unknown = 0
        self.counts["sent"] += 1
        while time.monotonic() < deadline and unknown < UNKNOWN_ATTEMPTS:
            sent_at = time.monotonic()
            reply = self._call(request_id, avoid)
            avoid = reply.daemon
            final = self._final_state(request_id, reply, sent_at, maybe_run)
            if final:
                return final
            maybe_run = True
            if reply.failure == "Unknown":
                unknown += 1
                state = "unknown"
            gevent.sleep(RETRY_S)
        return "unknown" if not self._kind.idempotent else state

    def _call(self, request_id: str, avoid: str) -> client.Reply:
        kind = self._kind
        headers = {
            "X-Request-Id": request_id,
            "X-Class": kind.job_class,
            "X-Idempotent": "true" if kind.idempotent else "false",
        }
        body = {"run_ms": kind.run_ms, "answer_bytes": kind.answer_bytes}
        reply = self._http_client.call(
            "POST",
            f"/v1/services/{kind.service}/requests",
            body,
            self._key.secret,
            headers,
            timeout_s=kind.give_up_s or client.TIMEOUT_S,
            avoid=avoid,
        )
        self.counts["interrupted"] += reply.cut_off
        self.counts["cut_off_by_stop"] += reply.cut_off and reply.while_stopping
        return reply

    def _final_state(
        self, request_id: str, reply: client.Reply, sent_at: float, maybe_run: bool
    ) -> str:
        """Return the state that a reply leaves a request in; empty to send it again.

        `maybe_run` says that an earlier call may have run.
        """
        failure = reply.failure
        if reply.status == 200:
            self._check(request_id, reply)
            self.record_key_use(self._key, sent_at)
            return "done"
        if failure in NOT_RUN and not maybe_run:
            self.not_run.add(request_id)
            self.counts[f"not_run {failure}"] += 1
            return "not_run"
        if self._kind.give_up_s:
            return "given_up"
        if failure == "Forbidden":
            return self._look_up(request_id)
        if failure == "Refused" and not maybe_run:
            self.problems.append(f"{request_id}: {reply.body[:200]!r}")
            return "lost"
        return ""

    def _look_up(self, request_id: str) -> str:
        """Return the outcome of a request whose key was withdrawn meanwhile."""
        if self._kind.idempotent:
            return "given_up"
        path = f"/v1/requests/{request_id}"
        reply = self._http_client.call("GET", path, key=self._http_client.operator_key)
        return "done" if reply.status == 200 else "unknown"

    def _check(self, request_id: str, reply: client.Reply) -> None:
        expected = backend_servers.expected_answer(request_id, self.answer_bytes)
        if reply.body != expected or len(reply.body) <= KEPT_ANSWER_BYTES:
            self.answers.append(facts.ReceivedAnswer(request_id, reply.body, expected))

    def count(self, state: str) -> int:
        """Return the number of requests in a state."""
        if state == "accepted":
            return self.total(state) - self.counts["not_run"]
        if state == "refused":
            return self.counts["not_run"]
        return self.counts[state]

    def total(self, state: str) -> int:
        """Return the number that `all` stands for: requests in a final state."""
        states = ("done", "not_run", "unknown", "lost", "given_up")
        return sum(self.counts[each] for each in states)


def _only_ended(reply: client.Reply) -> bool:
    """Return whether all that a cancellation refused are jobs that have ended."""
    if reply.status != 207:
        return False
    failed = [item["error"] for item in reply.json()["jobs"] if "error" in item]
    return all(error["type"] == "Refused" for error in failed)
