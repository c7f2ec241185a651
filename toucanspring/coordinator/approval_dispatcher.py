"""Questions to the approval service, spread over all processes.

The service takes one question at a time from each calling machine, so the coordinator
hands most of them to other processes.
"""

from __future__ import annotations

import heapq
import itertools
import time
from collections.abc import Callable

import gevent
import logbook
import msgspec
from gevent import pool

from toucanspring import errors
from toucanspring import log as structured
from toucanspring.coordinator import plans, ports

log = logbook.Logger(__name__)

METHOD = "approve"
# Above the service's own time: a queue of the service and the way there.
SLACK_S = 0.8
# Questions this long must leave some callers free for the short ones.
LONG_S = 0.1
KEPT_FOR_SHORT = 2
ASK_PAUSE_S = 0.25  # after a question that failed
SELF = ""


class RelayedRequest(msgspec.Struct, array_like=True):
    """Ask another process to put a question."""

    step: str
    workers: list[str]
    timeout_s: float


class ApprovalDispatcher:
    """Own the questions that wait and the callers that are free."""

    def __init__(
        self,
        kernel: object,
        approvals: ports.Approvals,
        answered: Callable[[plans.ApprovalRequest], None],
    ) -> None:
        self._kernel = kernel
        self._approvals = approvals
        self._answered = answered
        self._waiting: list[tuple[int, float, int, plans.ApprovalRequest]] = []
        self._order = itertools.count()
        self._busy: dict[str, float] = {}  # caller -> length of its question
        self._failed: dict[str, float] = {}  # caller -> when it may be tried again
        self._calls = pool.Group()

    def clear(self) -> None:
        """Drop the questions of a tenure that has ended."""
        self._waiting.clear()

    def ask(self, question: plans.ApprovalRequest) -> None:
        """Put a question once a caller is free."""
        heapq.heappush(
            self._waiting,
            (question.priority, question.cost_s, next(self._order), question),
        )
        self._dispatch()

    def serve(self, _sender: str, body: bytes) -> bytes | errors.Failure:
        """Put a question for the coordinator."""
        wanted = msgspec.msgpack.decode(body, type=RelayedRequest)
        answer = self._approvals.ask(wanted.step, wanted.workers, wanted.timeout_s)
        if isinstance(answer, errors.Failure):
            return answer
        return msgspec.msgpack.encode(answer)

    def _dispatch(self) -> None:
        while self._waiting:
            question = self._waiting[0][-1]
            caller = self._free_caller(question.cost_s)
            if caller is None:
                return
            heapq.heappop(self._waiting)
            self._busy[caller] = question.cost_s
            self._calls.spawn(self._put, caller, question)

    def _free_caller(self, cost_s: float) -> str | None:
        now = time.monotonic()
        peers = self._kernel.find("peers")
        callers = [SELF, *peers.connected()]
        free = [
            name
            for name in callers
            if name not in self._busy and self._failed.get(name, 0.0) <= now
        ]
        if cost_s > LONG_S and len(callers) > KEPT_FOR_SHORT + 1:
            long_running = sum(each > LONG_S for each in self._busy.values())
            if long_running >= len(callers) - KEPT_FOR_SHORT:
                return None
        # The coordinator itself is best at short questions, having no way to go.
        if cost_s > LONG_S and len(free) > 1 and SELF in free:
            free.remove(SELF)
        return free[0] if free else None

    def _put(self, caller: str, question: plans.ApprovalRequest) -> None:
        timeout_s = question.cost_s + SLACK_S
        sent = time.monotonic()
        names = list(question.workers)
        if caller == SELF:
            answer = self._approvals.ask(question.step.id, names, timeout_s)
        else:
            body = msgspec.msgpack.encode(
                RelayedRequest(question.step.id, names, timeout_s)
            )
            answer = self._kernel.find("peers").call(
                caller, METHOD, body, timeout_s + SLACK_S
            )
            if not isinstance(answer, errors.Failure):
                answer = msgspec.msgpack.decode(answer, type=dict[str, str])
        now = time.monotonic()
        self._busy.pop(caller, None)
        if isinstance(answer, errors.Failure):
            structured.decide(
                log, "approval_failed", step=question.step.id, caller=caller or "self",
                reason=answer.reason, after_s=round(now - sent, 3),
            )  # fmt: skip
            self._failed[caller] = now + ASK_PAUSE_S
            question.step.approval_pending = False
            question.step.approval_retry_at = now + ASK_PAUSE_S
            gevent.spawn_later(ASK_PAUSE_S, self._dispatch)
        else:
            structured.decide(
                log, "approval_answered", step=question.step.id,
                asked=len(question.workers), allowed=len(answer),
                caller=caller or "self", after_s=round(now - sent, 3),
            )  # fmt: skip
            plans.record_approvals(question, answer, now + question.validity_s)
        self._answered(question)
        self._dispatch()
