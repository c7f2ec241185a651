"""Idempotent requests: any process sends them, and retries them at other servers."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from toucanspring import errors, uptime
from toucanspring.adapters import backend_servers
from toucanspring.callers import answers, backend_pool, handler, routing

# Size of the beginning of an answer that is received before any of it is passed on. A
# failure within it is retried without the caller noticing.
PREFETCH_BYTES = 256 * 1024
# A failed connection certainly ran nothing, so it takes no retry from the budget. But
# each costs time, and a caller with a long deadline must still get an answer.
MAX_CONNECT_FAILURES = 8
# Statuses that report a failure of the server, not of the request.
SERVER_FAILURE_STATUSES = frozenset({502, 503, 504})

Clock = Callable[[], float]


def address_of(server: routing.ServerFacts) -> str:
    """Return the name of a server for the backend server client."""
    host = f"[{server.address}]" if ":" in server.address else server.address
    return f"{host}:{server.port}"


def headers_of(request: answers.Request) -> dict[str, str]:
    """Return the headers to send to a backend server with a request."""
    headers = {"X-Class": str(request.job_class), "X-Team": request.team}
    if request.content_type:
        headers["Content-Type"] = request.content_type
    return headers


class Stream:
    """Stream an answer; frees the slot at its end or when closed."""

    def __init__(
        self,
        prefetched: list[bytes],
        answer: backend_servers.Answer | None,
        finish: Callable[[routing.Outcome], None],
    ) -> None:
        self._prefetched = iter(prefetched)
        self._answer = answer
        self._rest: Iterator[bytes] = answer.chunks if answer else iter(())
        self._finish = finish
        self._ended = answer is None
        self.on_abort: Callable[[], None] | None = None

    def __iter__(self) -> Stream:
        return self

    def __next__(self) -> bytes:
        for chunk in self._prefetched:
            return chunk
        if self._ended:
            raise StopIteration
        try:
            return next(self._rest)
        except StopIteration:
            self._end(routing.Outcome.OK)
            raise
        except backend_servers.BrokenAnswer as broken:
            self._end(routing.Outcome.FAILED)
            if self.on_abort is not None:
                self.on_abort()
            raise handler.AnswerAborted(broken.failure.reason) from None

    def close(self) -> None:
        """Abandon the rest of the answer, if there is one."""
        if not self._ended:
            self._answer.close()
            self._end(routing.Outcome.OK)

    def _end(self, outcome: routing.Outcome) -> None:
        self._ended = True
        self._finish(outcome)


class IdempotentCall:
    """Send one request to one server after another until one answers."""

    def __init__(
        self,
        target: backend_pool.BackendPool,
        client: backend_servers.BackendServerClient,
        request: answers.Request,
        clock: Clock = uptime.now,
    ) -> None:
        self._pool = target
        self._client = client
        self._request = request
        self._clock = clock
        self._deadline = clock() + request.deadline_s
        self._excluded: frozenset[str] = frozenset()
        self._retries = 0
        self._connect_failures = 0
        self._may_have_run = False
        self._last_failure: errors.Failure | None = None

    def run(self) -> answers.Answer | errors.Failure:
        """Return the first answer of which at least the beginning arrives intact."""
        request = self._request
        while True:
            server = self._pool.acquire(
                request.job_class, self._deadline, self._excluded, self._retries > 0
            )
            if isinstance(server, errors.Failure):
                return self._final_failure(server)
            result = self._send(server)
            if isinstance(result, answers.Answer):
                return result
            self._last_failure = result
            if not self._may_retry(server, result):
                return self._final_failure(result)

    def _send(self, server: routing.ServerFacts) -> answers.Answer | errors.Failure:
        started = self._clock()
        left_s = self._deadline - started

        def finish(outcome: routing.Outcome) -> None:
            seconds = self._clock() - started
            self._pool.finished(server.id, outcome, self._request.job_class, seconds)

        if left_s <= 0:
            self._pool.release(server.id)
            return errors.NotRun(
                reason="not run: the deadline passed before the request was sent"
            )
        if started > self._pool.usable_until():
            # The process was paused after the server was chosen.
            self._pool.release(server.id)
            return errors.NotRun(reason="not run: the VM list was read too long ago")
        result = self._client.send(
            address_of(server),
            self._request.id,
            self._request.body,
            left_s,
            headers=headers_of(self._request),
            send_by=min(self._deadline, self._pool.usable_until()),
        )
        match result:
            case errors.NotRun():
                finish(routing.Outcome.REFUSED)
                return result
            case errors.Failure():
                finish(routing.Outcome.FAILED)
                return result
        return self._receive(result, finish)

    def _receive(
        self,
        answer: backend_servers.Answer,
        finish: Callable[[routing.Outcome], None],
    ) -> answers.Answer | errors.Failure:
        """Receive the beginning of an answer, or all of a small one."""
        prefetched: list[bytes] = []
        size = 0
        is_complete = False
        try:
            while size < PREFETCH_BYTES:
                chunk = next(answer.chunks, None)
                if chunk is None:
                    is_complete = True
                    break
                prefetched.append(chunk)
                size += len(chunk)
        except backend_servers.BrokenAnswer as broken:
            finish(routing.Outcome.FAILED)
            return broken.failure
        headers = answers.end_to_end(answer.headers)
        if is_complete:
            server_failed = answer.status in SERVER_FAILURE_STATUSES
            finish(routing.Outcome.FAILED if server_failed else routing.Outcome.OK)
            body = Stream([b"".join(prefetched)], None, finish)
            return answers.Answer(answer.status, headers, body, size)
        declared = answer.headers.get("content-length", "")
        length = int(declared) if declared.isdigit() else None
        return answers.Answer(
            answer.status, headers, Stream(prefetched, answer, finish), length
        )

    def _may_retry(self, server: routing.ServerFacts, failure: errors.Failure) -> bool:
        now = self._clock()
        if now >= self._deadline:
            self._may_have_run |= isinstance(failure, errors.Ambiguous)
            return False
        match failure:
            case errors.NotRun():  # the router itself avoids the full server
                return True
            case errors.Unavailable():
                self._excluded |= {server.id}
                self._connect_failures += 1
                return self._connect_failures <= MAX_CONNECT_FAILURES
        self._may_have_run = True
        self._excluded |= {server.id}
        self._retries += 1
        return self._retries <= self._pool.service.retries and (
            self._pool.router.retry_allowed(now)
        )

    def _final_failure(self, failure: errors.Failure) -> errors.Failure:
        """Return the final failure: `NotRun` only if no server can have run it."""
        if self._may_have_run:
            last = self._last_failure or failure
            return errors.Unknown(reason=f"outcome unknown: {last.reason}")
        match failure:
            case errors.Overloaded() | errors.NotRun():
                return failure
        return errors.NotRun(reason=f"not run: {failure.reason}")
