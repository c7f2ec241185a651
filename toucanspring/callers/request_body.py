"""Bodies of requests: limits on size, time and held bytes while they are read."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Protocol

import gevent
from gevent import pywsgi

from toucanspring import errors, uptime
from toucanspring.callers import client_limits

# A connection with a larger unread rest of a body is closed rather than reused.
MAX_DISCARDED_BYTES = 64 * 1024
# Size of one blocking read of a body.
READ_BYTES = 64 * 1024
# One read of a chunked body, whose size is not known before.
CHUNKED_READ_BYTES = client_limits.SMALL_BODY_BYTES


class BadRequest(ValueError):
    """Raised while a request is read; `status` is the HTTP status to answer."""

    def __init__(self, status: int, failure: errors.Failure) -> None:
        super().__init__(failure.reason)
        self.status = status
        self.failure = failure


class BodyRefused(BadRequest, OSError):
    """Raised to an application that reads a body beyond the limits."""


class Input(pywsgi.Input):
    """Read a request body within the limits of size, time and held bytes.

    The connection is closed instead of discarding a large rest.
    """

    __slots__ = ("handler", "limit_s", "received", "until")

    def _do_read(self, length: int | None = None, use_readline: bool = False) -> bytes:
        with self._limit_time():
            part = super()._do_read(length, use_readline)
        if self.position >= (self.content_length or 0):
            self.handler.end_body()
        return part

    def _chunked_read(
        self, length: int | None = None, use_readline: bool = False
    ) -> bytes:
        parts = []
        while length is None or length > 0:
            size = min(CHUNKED_READ_BYTES, length or CHUNKED_READ_BYTES)
            self.handler.hold_body(self.received + size)
            with self._limit_time():
                part = super()._chunked_read(size, use_readline)
            self.received += len(part)
            if self.received > self.handler.server.limits.max_body_bytes:
                self.handler.close_connection = True
                raise BodyRefused(*self.handler.oversized())
            parts.append(part)
            if length is not None:
                length -= len(part)
            if self.chunk_length == 0:
                self.handler.end_body()
                break
            if use_readline:
                break
        return b"".join(parts)

    @contextlib.contextmanager
    def _limit_time(self) -> Iterator[None]:
        """Limit the time of the whole body, however slowly its parts arrive."""
        left_s = max(0.001, self.until - uptime.now())
        reason = f"the request body took longer than {self.limit_s:g} s; not run"
        slow = BodyRefused(408, errors.Timeout(reason=reason))
        try:
            with gevent.Timeout(left_s, slow):
                yield
        except BodyRefused:
            self.handler.close_connection = True
            self.handler.server.refusals.count(
                client_limits.Reason.BODY_TIME, self.handler.connection.client
            )
            raise

    def _discard(self) -> None:
        if self._chunked_input_error:
            return
        if self.handler.close_connection:
            return
        left = (self.content_length or 0) - self.position
        waits_for_continue = self.socket is not None
        if waits_for_continue or left > MAX_DISCARDED_BYTES:
            self.handler.close_connection = True
            return
        self.handler.begin_body()  # may be displaced while it waits
        if self.chunked_input:
            try:
                discarded = len(self.read(MAX_DISCARDED_BYTES))
            except BodyRefused:
                return  # the connection is closed
            if discarded >= MAX_DISCARDED_BYTES:
                self.handler.close_connection = True
        elif left > 0:
            with contextlib.suppress(BodyRefused):
                self.read(left)


class Source(Protocol):
    """The `wsgi.input` of a request."""

    def read(self, size: int) -> bytes:
        """Return up to `size` bytes, none at the end of the body."""


def read_blocks(source: Source) -> Iterator[bytes]:
    """Return the blocks of a body; `Input` bounds their size and time.

    Raises `BodyRefused` for a body beyond the limits, `OSError` for one that
    ends early.
    """
    while block := source.read(READ_BYTES):
        yield block


def read(source: Source) -> bytes:
    """Return a whole body; raises as `read_blocks`."""
    return b"".join(read_blocks(source))
