"""The HTTP server of a process: limits on connections and a graceful stop."""

from __future__ import annotations

import gevent
import logbook
from gevent import pool, pywsgi

from toucanspring import uptime
from toucanspring.callers import handler, listener

log = logbook.Logger(__name__)

MAX_CONNECTIONS = 4096
IDLE_TIMEOUT_S = 75.0
# Above this fraction of MAX_CONNECTIONS, idle connections are closed sooner.
BUSY_FRACTION = 0.75
BUSY_IDLE_TIMEOUT_S = 1.0
# Idle connections stay open for this time after a graceful stop begins; one more
# request on each is still answered.
DRAIN_IDLE_S = 1.0
FINAL_ACCEPT_CALLS = 4  # of 100 connections each; the backlog holds 256
# TCP handshakes that began before the listener ignores new ones complete within a
# round trip, 6 ms to callers.
TCP_HANDSHAKE_S = 0.02
# A graceful stop waits for this time for the first request on a new connection.
FIRST_REQUEST_S = 3.0
# The TLS handshake has its own limit, since handler.HEAD_TIMEOUT_S begins after it.
TLS_HANDSHAKE_S = 10.0


class _ErrorLog:
    """Send messages of the base class to the log."""

    def write(self, message: str) -> None:
        """Log one message."""
        log.debug("{}", message.strip())

    def flush(self) -> None:
        """Do nothing; the log flushes itself."""


class Server(pywsgi.WSGIServer):
    """Accept connections up to a limit and stop without interrupting requests."""

    handler_class = handler.Handler

    def __init__(
        self, address: object, application: object, tls: object | None = None
    ) -> None:
        super().__init__(
            address,
            application,
            spawn=pool.Pool(MAX_CONNECTIONS),
            log=None,
            error_log=_ErrorLog(),
            **({} if tls is None else {"ssl_context": tls}),
        )
        self._handshakes = 0  # TLS handshakes in progress
        self.connections: set[handler.Handler] = set()
        self.draining = False
        self._idle_until = 0.0  # seconds of `uptime`
        self._first_requests_until = 0.0

    def update_environ(self) -> None:
        """Use the IP address as the server name.

        The base class looks the name up with a resolver, which can take long, starts
        native threads and loads tables.
        """
        if isinstance(self.address, tuple):
            self.environ.setdefault("SERVER_NAME", str(self.address[0]))
        super().update_environ()

    def wrap_socket_and_handle(self, client_socket, address) -> None:
        """Serve a caller after the TLS handshake, which has a time limit."""
        self._handshakes += 1
        try:
            with gevent.Timeout(TLS_HANDSHAKE_S, TimeoutError("slow TLS handshake")):
                wrapped = self.wrap_socket(client_socket, **self.ssl_args)
        except OSError as error:
            log.debug("TLS handshake with {}: {}", address, error)
            return
        finally:
            self._handshakes -= 1
        with wrapped:
            self.handle(wrapped, address)

    def idle_timeout(self) -> float:
        """Return how many seconds a connection may wait for its next request."""
        if len(self.connections) > MAX_CONNECTIONS * BUSY_FRACTION:
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
