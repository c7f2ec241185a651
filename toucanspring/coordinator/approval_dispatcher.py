"""Queue of requests to the approval service, which all processes help to send.

The service takes one request at a time from each calling machine, so the coordinator
relays most of them through other processes.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Callable

import gevent
import logbook
import msgspec
from gevent import pool

from toucanspring import errors, uptime
from toucanspring import log as structured
from toucanspring.coordinator import approval_queue, plans, ports

log = logbook.Logger(__name__)

METHOD = "approve"
# Added to the service's own time, for its queue and the network.
TIMEOUT_SLACK_S = 0.8
# Requests that take longer than this leave some callers free for the short ones. A
# caller is a process that sends requests to the service.
LONG_REQUEST_S = 0.1
CALLERS_FOR_SHORT_REQUESTS = 2
# More are left free while the short requests keep more than that busy: two for each, as
# they come in bursts, up to this part of all callers.
CALLERS_BY_SHORT_LOAD = 2.0
MAX_FRACTION_FOR_SHORT_REQUESTS = 0.5
RETRY_DELAY_S = 0.25  # after a failed request
LOGGED_WAIT_S = 0.25  # a request that waited for a caller for longer is logged
LOCAL = ""
# Of the free callers, the part over which one request may be divided.
MAX_FRACTION_FOR_ONE_REQUEST = 0.5
# Each further call takes its caller for a whole decision, which others need at a busy
# time: nothing is divided while more of the callers than this send long requests.
MAX_LONG_FRACTION_TO_DIVIDE = 0.25


class RelayedRequest(msgspec.Struct, array_like=True):
    """A request that another process sends on behalf of the coordinator."""

    step: str
    workers: list[str]
    timeout_s: float


@dataclasses.dataclass(slots=True, eq=False)
class _Division:
    """The calls of one request: those without an answer, and the sum of the others."""

    calls: int
    unanswered: int
    asked: int = 0
    allowed: int = 0


class ApprovalDispatcher:
    """Assigns queued requests to free callers, in the order of `ApprovalQueue`.

    Wide requests are divided over several callers while these are free. Requests of
    jobs that have ended are dropped.
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
        self._short = approval_queue.ApprovalQueue()
        self._long = approval_queue.ApprovalQueue()
        self._counts: collections.Counter[str] = collections.Counter()
        self._longest_wait_s = 0.0
        self._short_load = approval_queue.Load()
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
        """Queue a request; it is sent once a caller is free.

        An optional request is dropped unless one is free now.
        """
        now = uptime.now()
        queue = self._long if request.cost_s > LONG_REQUEST_S else self._short
        if request.is_optional and (
            queue.first(now) is not None or self._free_caller(request.cost_s) is None
        ):
            self._counts["dropped"] += 1
            structured.decide(
                log, "approval_dropped", step=request.step.id,
                workers=len(request.workers), waiting=len(queue),
            )  # fmt: skip
            request.step.approval_pending = False
            request.step.approval_retry_at = now + RETRY_DELAY_S
            return
        if queue is self._short:
            self._short_load.add(request.cost_s, now)
        queue.add(request, now)
        self._dispatch()

    def measure(self) -> dict[str, float]:
        """Return the gauges of the requests that this process has handled, by name.

        The longest wait is that of the requests sent since the last call.
        """
        longest_wait_s, self._longest_wait_s = self._longest_wait_s, 0.0
        return {
            "approvals_waiting": len(self._short) + len(self._long),
            "approvals_in_flight": len(self._in_flight),
            "approvals_longest_wait_seconds": longest_wait_s,
            "approvals_sent": self._counts["sent"],
            "approvals_divided": self._counts["divided"],
            "approvals_dropped": self._counts["dropped"],
        }

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
            while (request := waiting.first(uptime.now())) is not None:
                caller = self._free_caller(request.cost_s)
                if caller is None:
                    break
                _, waited_s = waiting.pop(uptime.now())
                self._start_calls(request, caller, waited_s)
        if (self._short or self._long) and not self._in_flight and self._retry is None:
            # No reply follows that would dispatch the rest.
            self._retry = gevent.spawn_later(RETRY_DELAY_S, self._dispatch_later)

    def _start_calls(
        self, request: plans.ApprovalRequest, caller: str, waited_s: float
    ) -> None:
        """Send a request through a caller, and others if that shortens the answer."""
        callers = [caller]
        self._in_flight[caller] = request.cost_s
        most = 1
        if request.cost_s > LONG_REQUEST_S and not self._is_busy():
            most = int(MAX_FRACTION_FOR_ONE_REQUEST * self._count_free_callers())
        calls = approval_queue.count_calls(request, most)
        while len(callers) < calls:
            other = self._free_caller(request.cost_s)
            if other is None:
                break
            self._in_flight[other] = request.cost_s
            callers.append(other)
        calls = approval_queue.count_calls(request, len(callers))
        parts = approval_queue.split(request, calls)
        self._counts["sent"] += 1
        self._counts["divided"] += calls > 1
        self._longest_wait_s = max(self._longest_wait_s, waited_s)
        if calls > 1 or waited_s >= LOGGED_WAIT_S:
            structured.decide(
                log, "approval_sent", step=request.step.id,
                workers=len(request.workers), calls=calls, callers=len(callers),
                queued_s=round(waited_s, 3), step_waited_s=round(request.waited_s, 2),
                slack_s=round(request.slack_s, 2), waiting=len(self._long),
            )  # fmt: skip
        division = _Division(calls, calls)
        for number, name in enumerate(callers):
            # With fewer callers than calls, each sends its calls one after the other.
            own = parts[number :: len(callers)]
            self._in_flight[name] = sum(each.cost_s for each in own)
            self._calls.spawn(self._send, name, own, division)

    def _is_busy(self) -> bool:
        """Return whether other long requests wait, or are about to, for a caller."""
        callers = 1 + len(self._kernel.find("peers").connected())
        long_requests = sum(each > LONG_REQUEST_S for each in self._in_flight.values())
        return (
            self._long.first(uptime.now()) is not None
            or long_requests > MAX_LONG_FRACTION_TO_DIVIDE * callers
        )

    def _count_reserved(self, callers: int, now: float) -> int:
        """Return how many callers long requests leave to the short ones."""
        wanted = math.ceil(CALLERS_BY_SHORT_LOAD * self._short_load.value(now))
        most = int(MAX_FRACTION_FOR_SHORT_REQUESTS * callers)
        return max(CALLERS_FOR_SHORT_REQUESTS, min(wanted, most))

    def _count_free_callers(self) -> int:
        now = uptime.now()
        callers = [LOCAL, *self._kernel.find("peers").connected()]
        return sum(
            name not in self._in_flight and self._retry_at.get(name, 0.0) <= now
            for name in callers
        )

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
            if long_requests >= len(callers) - self._count_reserved(len(callers), now):
                return None
        # The coordinator is kept for short requests, which it sends without a relay.
        if cost_s > LONG_REQUEST_S and len(free) > 1 and LOCAL in free:
            free.remove(LOCAL)
        return free[0] if free else None

    def _send(
        self, caller: str, parts: list[plans.ApprovalRequest], division: _Division
    ) -> None:
        try:
            self._send_part(caller, parts[0], division, is_last_of_caller=not parts[1:])
        finally:
            if parts[1:]:
                self._send(caller, parts[1:], division)

    def _send_part(
        self,
        caller: str,
        part: plans.ApprovalRequest,
        division: _Division,
        *,
        is_last_of_caller: bool = False,
    ) -> None:
        sent_at = uptime.now()
        answer: dict[str, str] | errors.Failure = errors.Ambiguous(
            reason="the call raised an exception"
        )
        try:
            answer = self._ask(caller, part)
        finally:
            if is_last_of_caller:
                self._in_flight.pop(caller, None)
            division.unanswered -= 1
            self._record_answer(caller, part, answer, sent_at, division)

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
        division: _Division,
    ) -> None:
        now = uptime.now()
        is_last = not division.unanswered
        if isinstance(answer, errors.Failure):
            structured.decide(
                log, "approval_failed", step=request.step.id, caller=caller or "self",
                reason=answer.reason, after_s=round(now - sent_at, 3),
            )  # fmt: skip
            self._retry_at[caller] = now + RETRY_DELAY_S
            if is_last:
                request.step.approval_pending = False
            request.step.approval_retry_at = now + RETRY_DELAY_S
            gevent.spawn_later(RETRY_DELAY_S, self._dispatch)
        else:
            # The answer may have been on its way for long after the decision.
            decided_at = min(now, sent_at + request.cost_s)
            expires_at = decided_at + request.validity_s
            plans.record_approvals(request, answer, expires_at, is_last=is_last)
            division.asked += len(request.workers)
            division.allowed += len(answer)
        if is_last and division.asked:
            structured.decide(
                log, "approval_answered", step=request.step.id,
                asked=division.asked, allowed=division.allowed, calls=division.calls,
                caller=caller or "self", after_s=round(now - sent_at, 3),
            )  # fmt: skip
        self._on_reply(request)
        self._dispatch()
