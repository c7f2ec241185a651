"""Lookup of the outcome of requests whose answers were lost, at backend servers."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from toucanspring import errors, uptime
from toucanspring.adapters import backend_servers
from toucanspring.callers import answers
from toucanspring.owners import outcomes

# Complete answers are kept in memory until they are durable.
MAX_ANSWER_BYTES = 16 << 20
LOOKUP_TIMEOUT_S = 2.0
# A request whose connection broke may still wait in a buffer of its server. If a
# responsive server has not seen it for this long, its outcome is unknown. Without this
# limit, servers that closed connections kept callers waiting for 25 s.
UNSEEN_LIMIT_S = 3.0
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class OutcomeLookup:
    """Look up the outcome of requests at backend servers."""

    def __init__(
        self,
        client: backend_servers.BackendServerClient,
        clock: Callable[[], float] = uptime.now,
    ) -> None:
        self._client = client
        self._clock = clock

    def look_up(
        self, request_id: str, start: outcomes.Start, limit_s: float, epoch_raised: bool
    ) -> answers.Stored | errors.Failure:
        """Return the outcome of a request from the server it was sent to.

        `epoch_raised` says that the epoch was raised there, so that a request that
        the server has not seen can no longer run.
        """
        deadline = self._clock() + limit_s
        backoff_s = FIRST_BACKOFF_S
        reason = "no answer"
        unseen_since: float | None = None
        while self._clock() < deadline:
            state = self._client.lookup(start.server, request_id, LOOKUP_TIMEOUT_S)
            match state:
                case backend_servers.Answer():
                    received = receive(state, start)
                    if not isinstance(received, errors.Ambiguous):
                        return received
                    reason = received.reason
                case errors.NotFound() if epoch_raised:
                    return errors.NotRun(reason="not run: the server never saw it")
                case errors.NotFound():
                    reason = state.reason
                    now = self._clock()
                    unseen_since = unseen_since or now
                    if now - unseen_since >= UNSEEN_LIMIT_S:
                        break
                case errors.Failure():
                    reason = state.reason
            gevent.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        return errors.Unknown(reason=f"outcome unknown: {start.server}: {reason}")


def receive(
    answer: backend_servers.Answer, start: outcomes.Start
) -> answers.Stored | errors.Ambiguous | errors.Unknown:
    """Receive a complete answer."""
    body = answer.read(MAX_ANSWER_BYTES)
    match body:
        case errors.Oversized():
            return errors.Unknown(
                reason=f"ran, but its answer was not received: {body.reason}"
            )
        case errors.Failure():
            return body
    return answers.Stored(
        team=start.team,
        service=start.service,
        digest=start.digest,
        status=answer.status,
        headers=answers.end_to_end(answer.headers),
        body=body,
        length=len(body),
    )
