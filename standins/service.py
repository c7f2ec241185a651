"""HTTP server shared by the stand-ins."""

from __future__ import annotations

import dataclasses
import os
import signal
import socket
import urllib.parse
from collections.abc import Callable, Iterator

import gevent
import msgspec
from gevent import event, pywsgi
from gevent import socket as gevent_socket

LISTEN_BACKLOG = 1024
PARENT_POLL_S = 1.0
STATUS_LINES = {
    200: "200 OK",
    202: "202 Accepted",
    204: "204 No Content",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    413: "413 Content Too Large",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
}


@dataclasses.dataclass(slots=True)
class Request:
    """One HTTP request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    client: str


@dataclasses.dataclass(slots=True)
class Response:
    """One HTTP answer.

    `cut_at` ends the connection after that many body bytes; `stall_ms` waits after
    half of the body. `written` names the rows that the operation wrote, for
    `lose_writes`.
    """

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    cut_at: int | None = None
    chunked: bool = False
    stall_ms: float = 0.0
    written: tuple[str, ...] = ()


def json_response(value: object, status: int = 200) -> Response:
    """Return an answer with a JSON body."""
    return Response(
        status, msgspec.json.encode(value), {"Content-Type": "application/json"}
    )


CLOSE_CONNECTION = (
    None  # returned by a handler to close the connection without an answer
)
Handler = Callable[[Request], Response | None]


class _ConnectionHandler(pywsgi.WSGIHandler):
    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ["standins.socket"] = self.socket
        return environ

    def log_request(self) -> None:
        pass

    def log_error(self, msg: str, *args: object) -> None:
        pass


def listen(address: str, port: int, backlog: int = LISTEN_BACKLOG) -> socket.socket:
    """Return a listening socket whose connections have TCP_NODELAY set."""
    listener = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((address, port))
    listener.listen(backlog)
    return listener


class HttpServer:
    """Serve one handler on one port; it can be closed and opened again."""

    def __init__(
        self, address: str, port: int, handler: Handler, max_connections: int = 0
    ) -> None:
        self._address = address
        self.port = port
        self._handler = handler
        self._max_connections = max_connections
        self._sockets: set[socket.socket] = set()
        self._server: pywsgi.WSGIServer | None = None

    def open(self) -> None:
        """Start listening; a port of 0 is replaced by the port that was bound."""
        if self._server is not None:
            return
        listener = listen(self._address, self.port)
        self.port = listener.getsockname()[1]
        self._server = _Server(self, listener)
        self._server.start()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is None:
            return
        server, self._server = self._server, None
        server.stop(timeout=0)
        for sock in list(self._sockets):
            shut_down(sock)

    def serve_socket(self, serve: Callable, sock: socket.socket, *rest: object) -> None:
        """Serve one connection, or answer 503 above the limit of connections."""
        if self._max_connections and len(self._sockets) >= self._max_connections:
            sock.sendall(
                b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: connections\r\n"
                b"Content-Length: 0\r\nConnection: close\r\n\r\n"
            )
            return
        self._sockets.add(sock)
        try:
            serve(sock, *rest)
        finally:
            self._sockets.discard(sock)

    def application(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answer one WSGI request."""
        request = _parse(environ)
        try:
            response = self._handler(request)
        except Exception as error:
            response = Response(500, f"{type(error).__name__}: {error}".encode())
        if response is CLOSE_CONNECTION:
            shut_down(environ["standins.socket"])
            start_response(STATUS_LINES[500], [("Content-Length", "0")])
            return [b""]
        headers = list(response.headers.items())
        if not response.chunked:
            headers.append(("Content-Length", str(len(response.body))))
        start_response(STATUS_LINES[response.status], headers)
        if response.cut_at is not None:
            return _cut(environ["standins.socket"], response)
        if response.stall_ms:
            return _stall(response)
        if response.chunked:
            return iter(_blocks(response.body))
        return [response.body]


class _Server(pywsgi.WSGIServer):
    def __init__(self, owner: HttpServer, listener: socket.socket) -> None:
        super().__init__(
            listener,
            owner.application,
            handler_class=_ConnectionHandler,
            log=None,
            error_log=None,
        )
        self._owner = owner

    def handle(self, sock: socket.socket, address: object) -> None:
        self._owner.serve_socket(super().handle, sock, address)


def shut_down(sock: socket.socket) -> None:
    """Shut down a connection in both directions."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return  # already closed


def _blocks(body: bytes, size: int = 1 << 15) -> list[bytes]:
    return [body[start : start + size] for start in range(0, len(body), size)]


def _cut(sock: socket.socket, response: Response) -> Iterator[bytes]:
    yield response.body[: response.cut_at]
    shut_down(sock)
    yield response.body[response.cut_at :]


def _stall(response: Response) -> Iterator[bytes]:
    half = len(response.body) // 2
    yield response.body[:half]
    gevent.sleep(response.stall_ms / 1000)
    yield response.body[half:]


def _parse(environ: dict) -> Request:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    # WSGI servers percent-decode PATH_INFO and decode its bytes as latin-1.
    path = environ["PATH_INFO"].encode("latin-1").decode()
    return Request(
        environ["REQUEST_METHOD"],
        path,
        dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))),
        headers,
        environ["wsgi.input"].read(),
        headers.get("x-client", ""),
    )


def run_until_signal(ready: str) -> None:
    """Print a line, then wait for SIGTERM, SIGINT or the end of the parent process.

    Without the latter, a stand-in would keep running after its test process is killed.
    """
    parent = os.getppid()
    ended = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, ended.set)
    print(ready, flush=True)
    while not ended.wait(timeout=PARENT_POLL_S):
        if os.getppid() != parent:
            return
