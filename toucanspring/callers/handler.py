"""HTTP/1.1 connections of callers: limits on size and time, and aborted answers.

The base class reads headers and bodies without a time limit, and reads the rest of
any body to discard it; both let one slow or large client occupy a connection.
"""

from __future__ import annotations

import contextlib
import re
import socket
import struct
from http import client

import gevent
import logbook
import msgspec
from gevent import pywsgi

from toucanspring import errors, stream, uptime
from toucanspring.callers import client_limits, request_body

log = logbook.Logger(__name__)

MAX_HEAD_BYTES = 32 * 1024
MAX_HEADERS = 100
MAX_BODY_BYTES = client_limits.MAX_BODY_BYTES
RETRY_AFTER_S = 1
HEAD_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
# A client that reads nothing of its answer for this long is disconnected.
SEND_TIMEOUT_S = 30.0
# Time for a client to read an error response before the connection is closed: closing
# with unread bytes resets it, and the client may lose the response.
LINGER_S = 1.0
MAX_COALESCED_BYTES = 16 * 1024  # copied to send the head and body in one packet

_METHOD = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,32}")
_VERSION = re.compile(r"HTTP/1\.[01]")
_CONTENT_LENGTH = re.compile(r"[0-9]{1,15}")
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_REASON_PHRASES = {
    400: "Bad Request",
    408: "Request Timeout",
    411: "Length Required",
    413: "Content Too Large",
    414: "URI Too Long",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}


class AnswerAborted(Exception):
    """Raised by an application to abort an answer that was sent in part."""


def render(failure: errors.Failure) -> bytes:
    """Return the JSON body that describes a failure."""
    return msgspec.json.encode({"error": errors.to_dict(failure)})


class HeadReader:
    """Read lines of a request head within a total size."""

    def __init__(self, rfile: object) -> None:
        self._rfile = rfile
        self._left = MAX_HEAD_BYTES

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line; raises `BadRequest` once the head is too large."""
        line = self._rfile.readline(min(limit, self._left + 1) if limit > 0 else limit)
        self._left -= len(line)
        if self._left < 0:
            reason = f"the request head exceeds {MAX_HEAD_BYTES} bytes"
            failure = errors.Oversized(reason=reason, limit=MAX_HEAD_BYTES)
            raise request_body.BadRequest(431, failure)
        return line


class Handler(pywsgi.WSGIHandler):
    """Serve the requests of one connection."""

    body_length = 0  # bytes of the current answer passed to the socket
    received_request = False  # on this connection, at any time

    def handle(self) -> None:
        """Serve requests until either side ends the connection."""
        stream.disable_nagle(self.socket)
        self.server.connections.add(self)
        self.connection = self.server.find_connection(self.client_address)
        self.busy = False
        self.aborted = False
        try:
            while True:
                result = self.handle_one_request()
                if result is None:
                    break
                if result is not True:
                    _, answer = result
                    self.socket.settimeout(SEND_TIMEOUT_S)
                    self.socket.sendall(answer)
                    self._linger()
                    break
        except OSError:
            pass  # the client closed the connection
        finally:
            self.server.connections.discard(self)
            if not self.busy:
                _send_close_notify(self.socket)
            self.busy = False
            self._close()

    def handle_one_request(self) -> object:
        """Wait for a request, read its head within a time limit, and answer it."""
        self.busy = False
        self._enter(client_limits.Phase.WAITING)
        try:
            self.socket.settimeout(self.server.idle_timeout())
            line = self.rfile.readline(pywsgi.MAX_REQUEST_LINE)
        except OSError:
            return None
        if not line or line.strip() == b"":
            return None
        self.busy = self.received_request = True
        self.server.turns.wait(self.connection.client)
        self.response_length = 0
        self.socket.settimeout(SEND_TIMEOUT_S)
        try:
            with gevent.Timeout(HEAD_TIMEOUT_S, _timeout_error("head", HEAD_TIMEOUT_S)):
                if len(line) >= pywsgi.MAX_REQUEST_LINE:
                    reason = f"the request line exceeds {len(line)} bytes"
                    raise request_body.BadRequest(414, errors.Oversized(reason=reason))
                self._read_head(line.decode("latin-1"))
                self._expect_body()
        except request_body.BodyRefused as error:
            return error.status, _error_response(error)
        except request_body.BadRequest as error:
            self._count_refusal(client_limits.Reason.HEAD)
            return error.status, _error_response(error)
        except (ValueError, client.HTTPException) as error:
            self._count_refusal(client_limits.Reason.HEAD)
            failure = errors.Malformed(reason=str(error) or "unreadable request")
            return 400, _error_response(request_body.BadRequest(400, failure))
        self.environ = self.get_environ()
        self.application = self.server.application
        try:
            self.handle_one_response()
        finally:
            self.server.table.release(self.connection)
        if self.aborted:
            return None
        if self.close_connection:
            self._linger()
            return None
        return True

    def has_pending_request(self) -> bool:
        """Return whether a request is in progress, or has arrived but is unread."""
        if self.busy:
            return True
        sock = self.__dict__.get("socket")
        if sock is None:
            return False
        try:
            # With TLS, bytes may be in the TLS buffer or, encrypted, in the kernel.
            if hasattr(sock, "pending") and sock.pending():
                return True
            return bool(sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def _read_head(self, line: str) -> None:
        words = line.split()
        if len(words) != 3 or not _METHOD.fullmatch(words[0]):
            raise request_body.BadRequest(
                400, errors.Malformed(reason="not an HTTP/1.1 request")
            )
        if not _VERSION.fullmatch(words[2]):
            reason = "only HTTP/1.0 and HTTP/1.1 are served"
            raise request_body.BadRequest(505, errors.Malformed(reason=reason))
        unbounded, self.rfile = self.rfile, HeadReader(self.rfile)
        try:
            self.read_request(line)
        finally:
            self.rfile = unbounded
        if (self.content_length or 0) > self.server.limits.max_body_bytes:
            raise request_body.BodyRefused(*self.oversized())

    def oversized(self) -> tuple[int, errors.Failure]:
        """Count a body over the limit; return status and failure of its refusal."""
        self._count_refusal(client_limits.Reason.BODY_SIZE)
        limit = self.server.limits.max_body_bytes
        reason = f"the body exceeds {limit} bytes"
        return 413, errors.Oversized(reason=reason, limit=limit)

    def hold_body(self, size: int) -> None:
        """Reserve bytes of the body before they are read; raise `BodyRefused`."""
        if self._hold(size - self.connection.held_bytes):
            return
        self.close_connection = True
        reason = "too many bodies are being received; not run"
        overloaded = errors.Overloaded(reason=reason, retry_after_s=RETRY_AFTER_S)
        raise request_body.BodyRefused(503, overloaded)

    def _hold(self, size: int) -> bool:
        if size <= 0:
            return not self.connection.displaced
        now = uptime.now()
        held, displaced = self.server.table.hold(self.connection, size, now)
        self.server.disconnect(displaced)
        if not held:
            self._count_refusal(client_limits.Reason.BODIES)
        return held

    def _expect_body(self) -> None:
        """Reserve a body that was announced; a chunked one is as it is read."""
        is_chunked = "transfer-encoding" in self.headers
        if not self.content_length and not is_chunked:
            self.end_body()
            return
        self.begin_body()
        self.hold_body(self.content_length or 0)

    def begin_body(self) -> None:
        """Record that the connection waits for bytes of a body."""
        self._enter(client_limits.Phase.READING)

    def end_body(self) -> None:
        """Record that the request is complete and the application begins its work.

        Raises `OSError` if the connection was closed in favour of another one, as the
        request counts as not run then.
        """
        if self.connection.displaced:
            raise OSError("the connection was closed in favour of another one")
        read_body = self.connection.phase is client_limits.Phase.READING
        self._enter(client_limits.Phase.ANSWERING)
        if read_body:
            self.server.turns.wait(self.connection.client)

    def _enter(self, phase: client_limits.Phase) -> None:
        self.server.table.set_phase(self.connection, phase, uptime.now())

    def _count_refusal(self, reason: client_limits.Reason) -> None:
        self.server.refusals.count(reason, self.connection.client)

    def MessageClass(self, *arguments):  # noqa: N802 - name of the base class
        """Parse the headers; reject conflicting framings or lengths of the body.

        They allow request smuggling: a proxy and this server would read different
        requests from the same bytes.
        """
        headers = super().MessageClass(*arguments)
        coding = [name.lower() for name in headers.get_all("transfer-encoding", [])]
        lengths = headers.get_all("content-length", [])
        if coding and (lengths or coding != ["chunked"]):
            raise request_body.BadRequest(
                400, errors.Malformed(reason="ambiguous body framing")
            )
        if len(lengths) > 1 or not all(map(_CONTENT_LENGTH.fullmatch, lengths)):
            raise request_body.BadRequest(
                400, errors.Malformed(reason="ambiguous body length")
            )
        return headers

    def get_environ(self) -> dict[str, object]:
        """Return the WSGI environment with an input that bounds what it discards."""
        environ = super().get_environ()
        unbounded = self.wsgi_input
        bounded = request_body.Input(
            unbounded.rfile,
            unbounded.content_length,
            socket=unbounded.socket,
            chunked_input=unbounded.chunked_input,
        )
        bounded.handler = self
        bounded.received = 0
        bounded.limit_s = BODY_TIMEOUT_S
        bounded.until = uptime.now() + BODY_TIMEOUT_S
        self.wsgi_input = bounded
        environ["wsgi.input"] = bounded
        environ["wsgi.input_terminated"] = True
        return environ

    def start_response(self, status, headers, exc_info=None):
        """Start the answer; while the server drains, add `Connection: close`."""
        if self.server.draining:
            headers = [item for item in headers if item[0].lower() != "connection"]
            headers.append(("Connection", "close"))
        return super().start_response(status, headers, exc_info)

    def process_result(self) -> None:
        """Send the answer; abort it if it differs from the declared length."""
        self.body_length = 0
        super().process_result()
        declared = self.provided_content_length
        if declared is not None and int(declared) != self.body_length:
            raise AnswerAborted(f"{self.body_length} bytes instead of {declared}")

    def _write_with_headers(self, data: bytes) -> None:
        """Send the head and a small first part in one packet."""
        if len(data) > MAX_COALESCED_BYTES:
            super()._write_with_headers(data)
            return
        send_all, head_buffer = self._sendall, bytearray()
        self._sendall = head_buffer.extend
        try:
            super()._write_with_headers(data)
        finally:
            del self._sendall  # restores the method of the class
        send_all(bytes(head_buffer))

    def _sendall(self, data: bytes) -> None:
        """Send bytes; they count as held until the client has read them."""
        before = self.connection.held_bytes
        if len(data) > MAX_COALESCED_BYTES and not self._hold(len(data)):
            raise AnswerAborted("too many answers wait for their readers")
        self._enter(client_limits.Phase.SENDING)
        try:
            super()._sendall(data)
        finally:
            self.server.table.release(self.connection, before)
            self._enter(client_limits.Phase.ANSWERING)

    def _write(self, data: bytes) -> None:
        self.body_length += len(data)
        super()._write(data)

    def handle_error(self, kind, value, trace) -> None:
        """Abort the answer if a part of it was sent, else answer with a failure."""
        if not isinstance(value, AnswerAborted | OSError):
            log.error("request failed: {}", value, exc_info=(kind, value, trace))
        if self.headers_sent:
            log.debug("answer aborted: {}", value)
            self._abort()
            return
        self.close_connection = True
        status = "500 Internal Server Error"
        failure: errors.Failure = errors.Unknown(reason="internal error")
        if isinstance(value, OSError):
            status = "400 Bad Request"
            failure = errors.Malformed(reason="the body ended early")
        if isinstance(value, request_body.BodyRefused):
            status = f"{value.status} {_REASON_PHRASES[value.status]}"
            failure = value.failure
        body = render(failure)
        with contextlib.suppress(OSError):
            self.start_response(
                status,
                [
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(body))),
                    ("Connection", "close"),
                ],
            )
            self.write(body)

    def log_request(self) -> None:
        """Write no access log; the metrics count requests."""

    def _abort(self) -> None:
        """Reset the connection, so that no client takes a partial answer for complete.

        After a normal close, an answer without a length looks complete.
        """
        self.aborted = True
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def _linger(self) -> None:
        _send_close_notify(self.socket)
        with contextlib.suppress(OSError, gevent.Timeout):
            self.socket.shutdown(socket.SHUT_WR)
            with gevent.Timeout(LINGER_S):
                left = 4 * request_body.MAX_DISCARDED_BYTES
                while left > 0 and (
                    got := len(self.socket.recv(request_body.MAX_DISCARDED_BYTES))
                ):
                    left -= got

    def _close(self) -> None:
        sock = self.__dict__.pop("socket", None)
        self.__dict__.pop("rfile", None)
        self.__dict__.pop("wsgi_input", None)
        if sock is not None:
            with contextlib.suppress(OSError):
                # The reader's file object holds a reference, with which close() alone
                # leaves the connection open.
                sock._sock.close()
                sock.close()


def _send_close_notify(sock: object) -> None:
    """Send the TLS close_notify alert, which says that the data is complete.

    Without it, a client cannot tell the end of the data from a truncated connection.
    """
    encryption = getattr(sock, "_sslobj", None)
    if encryption is not None:
        # Unlike `unwrap`, this does not wait for the client's close_notify.
        with contextlib.suppress(OSError):
            encryption.shutdown()


def _timeout_error(part: str, limit_s: float) -> request_body.BadRequest:
    reason = f"the request {part} took longer than {limit_s:g} s"
    return request_body.BadRequest(408, errors.Timeout(reason=reason))


def _error_response(error: request_body.BadRequest) -> bytes:
    body = render(error.failure)
    head = (
        f"HTTP/1.1 {error.status} {_REASON_PHRASES[error.status]}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n"
    )
    if error.status == 503:
        head += f"Retry-After: {RETRY_AFTER_S}\r\n"
    return head.encode() + b"\r\n" + body
