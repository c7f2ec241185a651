"""Framed messages over a TCP or TLS socket."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

import gevent
from gevent import lock
from gevent import socket as gevent_socket

from toucanspring import errors, wire

CONNECT_TIMEOUT_S = 2.0
UNACKNOWLEDGED_TIMEOUT_MS = 4000
READ_CHUNK_BYTES = 1 << 16


def disable_nagle(sock: socket.socket) -> None:
    """Send small frames at once; Nagle's algorithm delays them by 40 ms."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def limit_unacknowledged(sock: socket.socket) -> None:
    """Close the connection once sent bytes stay unacknowledged, as by a lost VM."""
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )


class Stream:
    """Own a connected socket and exchange frames on it.

    `decode` turns a frame body into a message or `errors.Malformed`.
    """

    def __init__(
        self,
        sock: socket.socket,
        decode: Callable[[bytes], object],
        max_frame_bytes: int = wire.MAX_FRAME_BYTES,
    ) -> None:
        disable_nagle(sock)
        limit_unacknowledged(sock)
        self._socket = sock
        self._decode = decode
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        self._send_lock = lock.BoundedSemaphore(1)
        self.closed = False
        self.sent_bytes = 0
        self.received_bytes = 0

    def __enter__(self) -> Stream:
        return self

    def __exit__(self, *_exc: object) -> None:
        self.close()

    def close(self) -> None:
        """Close the socket; a blocked `receive` returns `errors.Closed`."""
        if not self.closed:
            self.closed = True
            with contextlib.suppress(OSError):  # the peer may have closed first
                self._socket.shutdown(socket.SHUT_RDWR)
            self._socket.close()

    def set_max_frame_bytes(self, limit: int = wire.MAX_FRAME_BYTES) -> None:
        """Change the limit, for example once the peer has proven its identity."""
        self._max_frame_bytes = limit

    def send(self, message: object) -> None | errors.Failure:
        """Send one message; a failure after a partial write closes the stream."""
        frame = wire.encode(message)
        if len(frame) - wire.HEADER.size > self._max_frame_bytes:
            return errors.Oversized(
                reason=f"frame of {len(frame)} bytes", limit=self._max_frame_bytes
            )
        if self.closed:
            return errors.Closed(reason="stream is closed")
        try:
            with self._send_lock:
                self._socket.sendall(frame)
        except OSError as error:
            self.close()
            return errors.Ambiguous(reason=str(error))
        self.sent_bytes += len(frame)
        return None

    def receive(self, timeout_s: float | None = None) -> object | errors.Failure:
        """Return the next message, `Timeout`, `Closed`, `Oversized` or `Malformed`."""
        try:
            if timeout_s is None:
                return self._receive_frame()
            with gevent.Timeout(timeout_s):
                return self._receive_frame()
        except gevent.Timeout:
            return errors.Timeout(reason=f"no frame within {timeout_s} s")
        except OSError as error:
            self.close()
            return errors.Closed(reason=str(error))

    def _receive_frame(self) -> object | errors.Failure:
        header = self._read_until(wire.HEADER.size)
        if header is not None:
            return header
        (length,) = wire.HEADER.unpack_from(self._buffer)
        if length > self._max_frame_bytes:
            self.close()
            return errors.Oversized(
                reason=f"frame of {length} bytes", limit=self._max_frame_bytes
            )
        body = self._read_until(wire.HEADER.size + length)
        if body is not None:
            return body
        end = wire.HEADER.size + length
        frame = bytes(self._buffer[wire.HEADER.size : end])
        del self._buffer[:end]
        self.received_bytes += end
        return self._decode(frame)

    def _read_until(self, size: int) -> errors.Closed | None:
        """Read until the buffer holds `size` bytes."""
        while len(self._buffer) < size:
            chunk = self._socket.recv(READ_CHUNK_BYTES)
            if not chunk:
                self.close()
                return errors.Closed(reason="the peer closed the stream")
            self._buffer += chunk
        return None


def open_socket(address: str, port: int, timeout_s: float) -> gevent_socket.socket:
    """Connect to an IP address; raise `OSError` on failure.

    The returned socket has no timeout. No resolver is used: gevent's default one starts
    native threads and imports the tables of the idna codec, together about 1 MB.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    sock = gevent_socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.connect((address, port))
        sock.settimeout(None)
    except BaseException:
        sock.close()
        raise
    return sock


def listen(
    address: tuple[str, int], backlog: int, buffer_bytes: int
) -> gevent_socket.socket:
    """Return a listening socket that bounds the buffers of what it accepts.

    Bytes that were received and not yet read, or not yet sent, count in the memory of
    the process. The kernel enlarges the buffers of a busy connection to megabytes
    unless their sizes are set before `listen`; it then takes twice `buffer_bytes` each.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = gevent_socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
        sock.bind(address)
        sock.listen(backlog)
    except BaseException:
        sock.close()
        raise
    return sock


def connect(
    address: str,
    port: int,
    decode: Callable[[bytes], object],
    timeout_s: float = CONNECT_TIMEOUT_S,
    tls: object | None = None,
) -> Stream | errors.Unavailable:
    """Open a stream to an IP address; `tls` is a client `ssl.SSLContext`."""
    try:
        sock = open_socket(address, port, timeout_s)
        if tls is not None:
            sock = tls.wrap_socket(sock, server_hostname=address)
    except OSError as error:
        return errors.Unavailable(reason=f"{address}:{port}: {error}")
    return Stream(sock, decode)
