"""HTTP client that distinguishes calls never sent from calls without an answer."""

from __future__ import annotations

import dataclasses
import ipaddress
import itertools
import math
import re
import socket
import weakref
from collections.abc import Iterator

import gevent
from gevent import socket as gevent_socket
from geventhttpclient import connectionpool, response

from toucanspring import errors, stream, uptime

CONNECT_TIMEOUT_S = 1.0
TIMEOUT_S = 5.0
BLOCK_BYTES = 1 << 16
MAX_BODY_BYTES = 1 << 28
MAX_HEAD_BYTES = 1 << 18
MAX_SHOWN_CHARS = 80  # of an invalid address in a message

_PORT = re.compile(r"[0-9]{1,5}")
# The resolver raises errors of other types for names that DNS does not permit.
_HOST_LABEL = r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_HOST = re.compile(rf"(?=.{{1,253}}\Z){_HOST_LABEL}(?:\.{_HOST_LABEL})*")


class Pool(connectionpool.ConnectionPool):
    """Keep connections to one address and port, limited in number.

    `tls` is a client `ssl.SSLContext` of gevent.
    """

    tls: object | None = None

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)
        # One sequence for opened connections and sent requests.
        self.sequence = itertools.count(1)
        self._opened: weakref.WeakKeyDictionary[gevent_socket.socket, int] = (
            weakref.WeakKeyDictionary()
        )

    def get_idle_socket(self, opened_before: int) -> gevent_socket.socket | None:
        """Return an idle connection opened before a number of `sequence`, if any.

        Waits like `get_socket` while all connections are in use.
        """
        self._semaphore.acquire()
        younger: list[gevent_socket.socket] = []
        found = None
        while found is None and not self._socket_queue.empty():
            sock = self._socket_queue.get(block=False)
            if not self._is_socket_alive(sock):
                sock.close()
            elif self._opened[sock] < opened_before:
                found = sock
            else:
                younger.append(sock)
        for sock in reversed(younger):
            self._socket_queue.put(sock)
        if found is None:
            self._semaphore.release()
        return found

    def open_idle(self) -> None:
        """Open one more connection unless there are as many as may be."""
        self._semaphore.acquire()
        in_use = self.size - self._semaphore.counter
        if in_use + self._socket_queue.qsize() > self.size:
            self._semaphore.release()
            return
        try:
            sock = self._create_socket()
        except BaseException:
            self._semaphore.release()
            raise
        self.return_socket(sock)  # closes it if the pool was closed meanwhile

    def trim(self, kept: int) -> None:
        """Close idle connections beyond a number."""
        while self._socket_queue.qsize() > kept:
            self._socket_queue.get(block=False).close()

    @property
    def exhausted(self) -> bool:
        """Return whether all connections are in use."""
        return self._semaphore.locked()

    def _create_socket(self) -> gevent_socket.socket:
        sock = stream.open_socket(
            self._connection_host, self._connection_port, self.connection_timeout
        )
        try:
            stream.disable_nagle(sock)
            if self.tls is not None:
                sock.settimeout(self.connection_timeout)
                sock = self.tls.wrap_socket(sock, server_hostname=self._connection_host)
                sock.settimeout(None)  # each call sets its own deadline
        except BaseException:
            sock.close()
            raise
        # Numbered once it is connected: a peer that answers a later request was not
        # started after this.
        self._opened[sock] = next(self.sequence)
        return sock

    def _is_socket_alive(self, sock: gevent_socket.socket | None) -> bool:
        # The inherited check uses select(), which fails above descriptor 1023.
        if sock is None or sock.fileno() < 0:
            return False
        try:
            # Reads the underlying socket, since a TLS socket does not support flags.
            sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # end of stream, or bytes that belong to no request


class ParsedReply(response.HTTPSocketPoolResponse):
    """Parse one answer; limits its head and returns body bytes as they arrive."""

    _head_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse more bytes; raises `HTTPParseError` if the head is too large."""
        if not self.headers_complete:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                raise response.HTTPParseError(f"head exceeds {MAX_HEAD_BYTES} bytes")
        super().feed(data)

    def read_available(self) -> bytes:
        """Wait for body bytes and return them, none at the declared end.

        Raises `HTTPParseError` if the connection ends earlier. The inherited `read`
        waits for full blocks.
        """
        while not self._body_buffer and not self.message_complete:
            if self._sock is None:
                raise response.HTTPParseError("the answer was closed")
            self.feed(self._sock.recv(BLOCK_BYTES))
        available = bytes(self._body_buffer)
        self._body_buffer.clear()
        return available


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Hold a complete answer; header names are in lower case.

    `sent` is the number of its request in the sequence of the endpoint.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    sent: int = 0


class BrokenAnswer(Exception):
    """Raised while reading an answer that ended early; `failure` says why."""

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


class OpenReply:
    """Read the body of one answer in blocks until `deadline` (seconds of `uptime`)."""

    def __init__(self, parsed: ParsedReply, deadline: float, sent: int = 0) -> None:
        self._parsed = parsed
        self._deadline = deadline
        self.sent = sent
        self.status: int = parsed.get_code()
        self.headers = {name.lower(): str(value) for name, value in parsed.items()}

    def close(self) -> None:
        """Give the connection back, or close it if the body was not read."""
        self._parsed.release()

    def blocks(self) -> Iterator[bytes]:
        """Yield the body; raises `BrokenAnswer` unless its declared end arrives."""
        if not self._is_framed():
            self.close()
            raise BrokenAnswer(
                errors.Ambiguous(reason="the answer declares neither length nor chunks")
            )
        limit = None
        try:
            while True:
                limit = gevent.Timeout(max(0.001, self._deadline - uptime.now()))
                with limit:
                    block = self._parsed.read_available()
                if not block:
                    break
                yield block
        except gevent.Timeout as expired:
            if expired is not limit:
                raise
            raise BrokenAnswer(
                errors.Ambiguous(reason="the answer did not end before the deadline")
            ) from None
        except (OSError, response.HTTPParseError) as error:
            raise BrokenAnswer(
                errors.Ambiguous(reason=f"the answer ended early: {error}")
            ) from None
        finally:
            self.close()

    def _is_framed(self) -> bool:
        # Without a length or chunks, a truncated answer looks like a complete one.
        return (
            self._parsed.message_complete
            or "content-length" in self.headers
            or "chunked" in self.headers.get("transfer-encoding", "").lower()
        )


class Endpoint:
    """Call one HTTP server; calls beyond `connections` wait for a free connection.

    The server may be replaced by another process, a *peer*, which ends its connections.
    `confirm` states which peer gave an answer. From then on a call with `peer` is sent
    only on connections that were open when the answered request was sent: they reach
    this peer or, if it or an earlier one has ended, nothing.
    """

    def __init__(
        self,
        address: str,
        port: int,
        connections: int,
        client: str = "",
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        tls: object | None = None,
    ) -> None:
        self._pool = Pool(
            address,
            port,
            address,
            port,
            size=connections,
            connection_timeout=connect_timeout_s,
        )
        self._pool.tls = tls
        self.peer: int | None = None  # the one confirmed last
        self._confirmed_at = 0  # number of its latest answered request
        host = f"[{address}]" if ":" in address else address
        self._common = f"Host: {host}:{port}\r\n"
        if client:
            self._common += f"X-Client: {client}\r\n"

    def close(self) -> None:
        """Close the idle connections; those in use close when returned."""
        self._pool.close()

    def open_idle(self) -> None | errors.Unavailable:
        """Open one more connection, unless there are as many as may be.

        It serves calls with `peer` once a later request has been answered.
        """
        try:
            self._pool.open_idle()
        except (gevent.Timeout, OSError) as error:
            return errors.Unavailable(reason=str(error) or type(error).__name__)
        return None

    def trim(self, kept: int) -> None:
        """Close idle connections beyond a number."""
        self._pool.trim(kept)

    def confirm(self, peer: int, reply: Reply) -> None:
        """State that `peer` gave an answer."""
        # An answer that is read late must not replace a later peer.
        if reply.sent > self._confirmed_at:
            self.peer, self._confirmed_at = peer, reply.sent

    def open(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = TIMEOUT_S,
        send_by: float = math.inf,
        peer: int | None = None,
    ) -> OpenReply | errors.Unavailable | errors.Overloaded | errors.Ambiguous:
        """Send a request and return once the head of its answer has arrived.

        `Overloaded` means that no connection became free before `send_by` (monotonic
        seconds), `Unavailable` that the server was not reached; in both cases nothing
        was sent. With `peer` no connection is opened; `Unconfirmed` means that none is
        idle that reaches only this peer.
        """
        head = self._head(method, target, headers or {}, len(body))
        deadline = uptime.now() + timeout_s
        sock = None
        sent = False
        limit = gevent.Timeout(timeout_s)
        try:
            with limit:
                sock = self._connection(peer)
                if sock is None:
                    return errors.Unconfirmed(reason="no connection to this peer")
                if uptime.now() > send_by:
                    self._pool.return_socket(sock)
                    sock = None
                    return errors.Overloaded(reason="no connection became free in time")
                sent = True
                number = next(self._pool.sequence)
                sock.sendall(head + body)
                # From here on the response releases the socket.
                transferred, sock = sock, None
                parsed = ParsedReply(
                    transferred, self._pool, block_size=BLOCK_BYTES, method=method
                )
                return OpenReply(parsed, deadline, number)
        except gevent.Timeout as expired:
            if expired is not limit:
                raise
            if not sent and self._pool.exhausted:
                return errors.Overloaded(
                    reason=f"no free connection within {timeout_s:g} s"
                )
            reason = f"no {'answer' if sent else 'connection'} within {timeout_s:g} s"
        except (OSError, response.HTTPParseError) as error:
            reason = str(error) or type(error).__name__
        finally:
            if sock is not None:
                self._pool.release_socket(sock)
        if sent:
            return errors.Ambiguous(reason=reason)
        return errors.Unavailable(reason=reason)

    def _connection(self, peer: int | None) -> gevent_socket.socket | None:
        if peer is None:
            return self._pool.get_socket()
        if peer != self.peer:
            return None
        return self._pool.get_idle_socket(self._confirmed_at)

    def _head(
        self, method: str, target: str, headers: dict[str, str], length: int
    ) -> bytes:
        head = f"{method} {target} HTTP/1.1\r\n{self._common}"
        for name, value in headers.items():
            if not value.isprintable():  # a line break would start another header
                raise ValueError(f"header {name} has the value {value!r}")
            head += f"{name}: {value}\r\n"
        return f"{head}Content-Length: {length}\r\n\r\n".encode("latin-1")

    def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = TIMEOUT_S,
        max_bytes: int = MAX_BODY_BYTES,
        peer: int | None = None,
    ) -> Reply | errors.Unavailable | errors.Ambiguous | errors.Oversized:
        """Send a request and return a complete answer of at most `max_bytes`."""
        opened = self.open(method, target, body, headers, timeout_s, peer=peer)
        if isinstance(opened, errors.Overloaded):
            return errors.Unavailable(reason=opened.reason)
        if isinstance(opened, errors.Failure):
            return opened
        return read_reply(opened, max_bytes)


def read_reply(
    opened: OpenReply, max_bytes: int
) -> Reply | errors.Ambiguous | errors.Oversized:
    """Read the rest of an answer of at most `max_bytes`."""
    received = bytearray()
    try:
        for block in opened.blocks():
            received += block
            if len(received) > max_bytes:
                opened.close()
                return errors.Oversized(
                    reason=f"the answer exceeds {max_bytes} bytes", limit=max_bytes
                )
    except BrokenAnswer as broken:
        return broken.failure
    return Reply(opened.status, opened.headers, bytes(received), opened.sent)


def parse_address(text: str) -> tuple[str, int] | errors.Invalid:
    """Split `address:port` or `http://address:port`, with IPv6 in brackets."""
    host_and_port = text.removeprefix("http://").rstrip("/")
    host, _, port = host_and_port.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    if not (_is_host(host) and _PORT.fullmatch(port) and 0 < int(port) < 65536):
        return errors.Invalid(
            reason="not an address with a port",
            value=text[:MAX_SHOWN_CHARS],
            expected="address:port",
        )
    return host, int(port)


def _is_host(text: str) -> bool:
    """Return whether a text is an IP address or a name that can be resolved."""
    if _HOST.fullmatch(text):
        return True
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return text.isascii()
