"""Queue of requests to the approval service, which all processes help to send.

The service takes one request at a time from each calling machine, so the coordinator
relays most of them through other processes.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

import gevent
import logbook
import msgspec
from gevent import pool

from toucanspring import errors, uptime
from toucanspring import log as structured
from toucanspring.coordinator import plans, ports

log = logbook.Logger(__name__)

METHOD = "approve"
# Added to the service's own time, for its queue and the network.
TIMEOUT_SLACK_S = 0.8
# Requests that take longer than this leave some callers free for the short ones. A
# caller is a process that sends requests to the service.
LONG_REQUEST_S = 0.1
CALLERS_FOR_SHORT_REQUESTS = 2
RETRY_DELAY_S = 0.25  # after a failed request
LOCAL = ""


class RelayedRequest(msgspec.Struct, array_like=True):
    """A request that another process sends on behalf of the coordinator."""

    step: str
    workers: list[str]
    timeout_s: float


class ApprovalDispatcher:
    """Assigns queued requests to free callers, by priority, then the shortest first.

    Requests of jobs that have ended are dropped.
    """

    def __init__(
        self,
        kernel: object,
        approvals: ports.Approvals,
        on_reply: Callable[[plans.ApprovalRequest], None],
    ) -> None:
        self._kernel = kernel
        self._approvals = approvals
        self._on_reply = on_reply
        self._short: list[tuple[int, float, int, plans.ApprovalRequest]] = []
        self._long: list[tuple[int, float, int, plans.ApprovalRequest]] = []
        self._sequence = itertools.count()
        # Caller -> expected duration of its request in seconds.
        self._in_flight: dict[str, float] = {}
        self._retry_at: dict[str, float] = {}  # caller -> when it may be tried again
        self._calls = pool.Group()
        self._retry: gevent.Greenlet | None = None

    def clear(self) -> None:
        """Drop the queued requests, once the leadership has ended."""
        self._short.clear()
        self._long.clear()

    def submit(self, request: plans.ApprovalRequest) -> None:
        """Queue a request; it is sent once a caller is free."""
        heapq.heappush(
            self._long if request.cost_s > LONG_REQUEST_S else self._short,
            (request.priority, request.cost_s, next(self._sequence), request),
        )
        self._dispatch()

    def serve(self, _sender: str, body: bytes) -> bytes | errors.Failure:
        """Send a request on behalf of the coordinator and return the reply."""
        relayed = msgspec.msgpack.decode(body, type=RelayedRequest)
        answer = self._approvals.ask(relayed.step, relayed.workers, relayed.timeout_s)
        if isinstance(answer, errors.Failure):
            return answer
        return msgspec.msgpack.encode(answer)

    def _dispatch(self) -> None:
        # A short request may find a caller while the long ones wait for one.
        for waiting in (self._short, self._long):
            while waiting:
                request = waiting[0][-1]
                if request.step.job.is_final:
                    heapq.heappop(waiting)
                    continue
                caller = self._free_caller(request.cost_s)
                if caller is None:
                    break
                heapq.heappop(waiting)
                self._in_flight[caller] = request.cost_s
                self._calls.spawn(self._send, caller, request)
        if (self._short or self._long) and not self._in_flight and self._retry is None:
            # No reply follows that would dispatch the rest.
            self._retry = gevent.spawn_later(RETRY_DELAY_S, self._dispatch_later)

    def _dispatch_later(self) -> None:
        self._retry = None
        self._dispatch()

    def _free_caller(self, cost_s: float) -> str | None:
        now = uptime.now()
        peers = self._kernel.find("peers")
        callers = [LOCAL, *peers.connected()]
        free = [
            name
            for name in callers
            if name not in self._in_flight and self._retry_at.get(name, 0.0) <= now
        ]
        if cost_s > LONG_REQUEST_S and len(callers) > CALLERS_FOR_SHORT_REQUESTS + 1:
            long_requests = sum(
                each > LONG_REQUEST_S for each in self._in_flight.values()
            )
            if long_requests >= len(callers) - CALLERS_FOR_SHORT_REQUESTS:
                return None
        # The coordinator is kept for short requests, which it sends without a relay.
        if cost_s > LONG_REQUEST_S and len(free) > 1 and LOCAL in free:
            free.remove(LOCAL)
        return free[0] if free else None

    def _send(self, caller: str, request: plans.ApprovalRequest) -> None:
        sent_at = uptime.now()
        answer: dict[str, str] | errors.Failure = errors.Ambiguous(
            reason="the call raised an exception"
        )
        try:
            answer = self._ask(caller, request)
        finally:
            self._in_flight.pop(caller, None)
            self._record_answer(caller, request, answer, sent_at)

    def _ask(
        self, caller: str, request: plans.ApprovalRequest
    ) -> dict[str, str] | errors.Failure:
        timeout_s = request.cost_s + TIMEOUT_SLACK_S
        names = list(request.workers)
        if caller == LOCAL:
            return self._approvals.ask(request.step.id, names, timeout_s)
        body = msgspec.msgpack.encode(RelayedRequest(request.step.id, names, timeout_s))
        answer = self._kernel.find("peers").call(
            caller, METHOD, body, timeout_s + TIMEOUT_SLACK_S
        )
        if isinstance(answer, errors.Failure):
            return answer
        try:
            return msgspec.msgpack.decode(answer, type=dict[str, str])
        except msgspec.MsgspecError as error:
            return errors.Malformed(reason=f"relayed answer: {error}")

    def _record_answer(
        self,
        caller: str,
        request: plans.ApprovalRequest,
        answer: dict[str, str] | errors.Failure,
        sent_at: float,
    ) -> None:
        now = uptime.now()
        if isinstance(answer, errors.Failure):
            structured.decide(
                log, "approval_failed", step=request.step.id, caller=caller or "self",
                reason=answer.reason, after_s=round(now - sent_at, 3),
            )  # fmt: skip
            self._retry_at[caller] = now + RETRY_DELAY_S
            request.step.approval_pending = False
            request.step.approval_retry_at = now + RETRY_DELAY_S
            gevent.spawn_later(RETRY_DELAY_S, self._dispatch)
        else:
            structured.decide(
                log, "approval_answered", step=request.step.id,
                asked=len(request.workers), allowed=len(answer),
                caller=caller or "self", after_s=round(now - sent_at, 3),
            )  # fmt: skip
            # The answer may have been on its way for long after the decision.
            decided_at = min(now, sent_at + request.cost_s)
            plans.record_approvals(request, answer, decided_at + request.validity_s)
        self._on_reply(request)
        self._dispatch()
