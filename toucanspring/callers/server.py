"""The HTTP server of a process: limits on connections and a graceful stop."""

from __future__ import annotations

import contextlib
import dataclasses
import socket

import gevent
import logbook
from gevent import pool, pywsgi

from toucanspring import stream, uptime
from toucanspring.callers import client_limits, handler, listener, turns
from toucanspring.callers import refusals as refusals_module

log = logbook.Logger(__name__)

MAX_CONNECTIONS = client_limits.MAX_CONNECTIONS
IDLE_TIMEOUT_S = 75.0
# Above this fraction of the connections, idle connections are closed sooner.
BUSY_FRACTION = 0.75
BUSY_IDLE_TIMEOUT_S = 1.0
# Idle connections stay open for this time after a graceful stop begins; one more
# request on each is still answered.
DRAIN_IDLE_S = 1.0
FINAL_ACCEPT_CALLS = 4  # of 100 connections each, more than the longest backlog
# TCP handshakes that began before the listener ignores new ones complete within a
# round trip, 6 ms to callers.
TCP_HANDSHAKE_S = 0.02
# A graceful stop waits for this time for the first request on a new connection.
FIRST_REQUEST_S = 3.0
# The TLS handshake has its own limit, since handler.HEAD_TIMEOUT_S begins after it.
TLS_HANDSHAKE_S = 10.0
# Sent to a client whose connection is refused, without reading any of its request.
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    b"Retry-After: 1\r\nConnection: close\r\n\r\n"
)


class _ErrorLog:
    """Send messages of the base class to the log."""

    def write(self, message: str) -> None:
        """Log one message."""
        log.debug("{}", message.strip())

    def flush(self) -> None:
        """Do nothing; the log flushes itself."""


@dataclasses.dataclass(slots=True)
class _Accepted:
    connection: client_limits.Connection
    socket: object
    greenlet: gevent.Greenlet | None = None


class Server(pywsgi.WSGIServer):
    """Accept connections up to a limit and stop without interrupting requests."""

    handler_class = handler.Handler

    def __init__(
        self,
        address: object,
        application: object,
        tls: object | None = None,
        limits: client_limits.Limits | None = None,
        refusals: refusals_module.Refusals | None = None,
    ) -> None:
        self.limits = limits or client_limits.Limits()
        self.refusals = refusals or refusals_module.Refusals(None, "")
        self.table = client_limits.Table(self.limits)
        self.turns = turns.Turns()
        closing = client_limits.count_closing(self.limits.max_connections)
        super().__init__(
            address,
            application,
            backlog=client_limits.find_backlog(self.limits.max_connections),
            spawn=pool.Pool(self.limits.max_connections + closing),
            log=None,
            error_log=_ErrorLog(),
            **({} if tls is None else {"ssl_context": tls}),
        )
        self._handshakes = 0  # TLS handshakes in progress
        self.connections: set[handler.Handler] = set()
        # By address and port of the client; its socket and, in a TLS handshake, its
        # greenlet.
        self._accepted: dict[object, _Accepted] = {}
        self.draining = False
        self._idle_until = 0.0  # seconds of `uptime`
        self._first_requests_until = 0.0

    def get_listener(self, address, backlog=None, family=None) -> socket.socket:
        """Return a listening socket whose connections have bounded buffers."""
        del family
        return stream.listen(address, backlog, self.limits.socket_buffer_bytes)

    def update_environ(self) -> None:
        """Use the IP address as the server name.

        The base class looks the name up with a resolver, which can take long, starts
        native threads and loads tables.
        """
        if isinstance(self.address, tuple):
            self.environ.setdefault("SERVER_NAME", str(self.address[0]))
        super().update_environ()

    def do_handle(self, client_socket, address) -> None:
        """Serve a new connection, or refuse it before anything is read."""
        phase = client_limits.Phase.WAITING
        if self.ssl_enabled:
            phase = client_limits.Phase.HANDSHAKE
        client = str(address[0]) if isinstance(address, tuple) else ""
        admitted, displaced = self.table.admit(client, phase, uptime.now())
        if admitted is None:
            self.refusals.count(client_limits.Reason.CONNECTIONS, client)
            if not self.ssl_enabled:
                with contextlib.suppress(OSError):
                    client_socket._sock.send(REFUSAL, socket.MSG_DONTWAIT)
            client_socket.close()
            return
        if displaced is not None:
            self.disconnect([displaced])
        admitted.key = address
        self._accepted[address] = _Accepted(admitted, client_socket)
        super().do_handle(client_socket, address)

    def do_close(self, client_socket, address) -> None:
        """Close a connection and forget what it held."""
        accepted = self._accepted.pop(address, None)
        if accepted is not None:
            self.table.remove(accepted.connection)
        super().do_close(client_socket, address)

    def find_connection(self, address: object) -> client_limits.Connection:
        """Return the state of an accepted connection by the client's address."""
        return self._accepted[address].connection

    def disconnect(self, displaced: list[client_limits.Connection]) -> None:
        """Close connections in favour of others; their greenlets end by that."""
        for connection in displaced:
            self.refusals.count(client_limits.Reason.DISPLACED, connection.client)
            accepted = self._accepted[connection.key]
            if accepted.greenlet is not None:
                accepted.greenlet.kill(OSError("displaced"), block=False)
                continue
            with contextlib.suppress(OSError):
                accepted.socket._sock.shutdown(socket.SHUT_RDWR)

    def wrap_socket_and_handle(self, client_socket, address) -> None:
        """Serve a caller after the TLS handshake, which has a time limit."""
        self._handshakes += 1
        accepted = self._accepted[address]
        accepted.greenlet = gevent.getcurrent()
        try:
            self.turns.wait(accepted.connection.client)
            with gevent.Timeout(TLS_HANDSHAKE_S, TimeoutError("slow TLS handshake")):
                wrapped = self.wrap_socket(client_socket, **self.ssl_args)
        except OSError as error:
            log.debug("TLS handshake with {}: {}", address, error)
            return
        finally:
            self._handshakes -= 1
            accepted.greenlet = None
        accepted.socket = wrapped
        with wrapped:
            self.handle(wrapped, address)

    def idle_timeout(self) -> float:
        """Return how many seconds a connection may wait for its next request."""
        most = min(MAX_CONNECTIONS, self.limits.max_connections)
        if len(self.connections) > most * BUSY_FRACTION:
            return BUSY_IDLE_TIMEOUT_S
        return IDLE_TIMEOUT_S

    def in_flight(self) -> int:
        """Return the number of requests being read or answered.

        Just after draining begins, one is added for requests that were sent on idle
        connections and have not arrived yet.
        """
        if not self.draining:
            return sum(each.busy for each in self.connections)
        pending = sum(each.has_pending_request() for each in self.connections)
        # The handlers of newly accepted connections have not run yet.
        pending += max(0, len(self.pool) - len(self.connections) - self._handshakes)
        now = uptime.now()
        if now < self._idle_until:
            return pending + bool(self.connections) + self._handshakes
        if now < self._first_requests_until:
            first = any(not each.received_request for each in self.connections)
            return pending + first + self._handshakes
        return pending

    def stop_accepting_connections(self) -> None:
        """Accept the connections that the kernel has completed, but no others."""
        if self.draining:
            return
        self.draining = True
        now = uptime.now() + TCP_HANDSHAKE_S
        self._idle_until = now + DRAIN_IDLE_S
        self._first_requests_until = now + FIRST_REQUEST_S
        if listener.ignore_new_connections(self.socket):
            gevent.sleep(TCP_HANDSHAKE_S)
        for _ in range(FINAL_ACCEPT_CALLS):
            self._do_read()
        self.close()

    def drain(self, limit_s: float) -> int:
        """Stop accepting, wait for requests, and return how many were interrupted."""
        self.stop_accepting_connections()
        deadline = uptime.now() + limit_s
        while self.in_flight() and uptime.now() < deadline:
            gevent.sleep(0.02)
        interrupted = sum(each.has_pending_request() for each in self.connections)
        self.pool.kill(timeout=handler.LINGER_S)
        return interrupted
