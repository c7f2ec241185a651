"""Calls to the owners of partitions, in this process or others."""

from __future__ import annotations

from collections.abc import Callable, Container

import gevent

from toucanspring import errors, kernel, uptime
from toucanspring.cell import reply

ROUTE_LIMIT_S = 8.0  # covers one takeover, including reading the log
CALL_TIMEOUT_S = 4.0
RETRY_PAUSE_S = 0.2

Handler = Callable[[str, bytes], bytes]


class Routes:
    """Call methods of the owners of partitions."""

    def __init__(self, core: kernel.Kernel, owned: Container[int]) -> None:
        self._kernel = core
        self._owned = owned
        self._handlers: dict[str, Handler] = {}

    def serve(self, method: str, function: Handler) -> None:
        """Register the handler of a method; its body is a partition and arguments."""
        self._handlers[method] = function
        self._kernel.find("peers").handle(method, function)

    def call(
        self,
        number: int,
        method: str,
        body: bytes,
        kind: type,
        limit_s: float | None = None,
    ) -> object | errors.Failure:
        """Call the owner of a partition; retry during a takeover.

        All routed methods are idempotent, so a call without a response is repeated.
        """
        deadline = uptime.now() + (ROUTE_LIMIT_S if limit_s is None else limit_s)
        timeout_s = min(CALL_TIMEOUT_S, limit_s or CALL_TIMEOUT_S)
        envelope = reply.encode((number, body))
        last: errors.Failure = errors.Unavailable(reason="no owner")
        sent = False
        while uptime.now() < deadline:
            found = self._call_owner(number, method, envelope, timeout_s)
            match found:
                case bytes():
                    result = reply.decode_result(found, kind)
                    match result:
                        case errors.StoreUnavailable() | errors.LayoutChanged():
                            return result
                        case errors.Unavailable():
                            last = result
                        case errors.Fenced():
                            sent = True
                            last = result
                        case _:
                            return result
                case errors.Ambiguous() | errors.Timeout():
                    sent = True
                    last = found
                case errors.Failure():
                    last = found
            gevent.sleep(RETRY_PAUSE_S)
        if sent:
            return errors.Ambiguous(reason=f"no answer from the owner: {last.reason}")
        return last

    def _call_owner(
        self, number: int, method: str, envelope: bytes, timeout_s: float
    ) -> bytes | errors.Failure:
        if number in self._owned:
            return self._handlers[method]("", envelope)
        owner_of = self._kernel.find("claims").owner_of
        owner = owner_of(number)
        if isinstance(owner, errors.Failure):
            return errors.Unavailable(reason=owner.reason)
        # Without `abandon`, a call sent right before a takeover would wait for the
        # former owner until its timeout, which is longer than the takeover.
        return self._kernel.find("peers").call(
            owner.process,
            method,
            envelope,
            timeout_s,
            abandon=lambda: owner_of(number) != owner,
        )
