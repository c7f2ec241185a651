import json
import socket
import ssl

import gevent
import hypothesis
import testtools
from gevent import event
from hypothesis import strategies

from toucanspring.callers import handler, server

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, database=None
)
LARGE = 300_000
held = event.Event()  # lets requests of /held end


def application(environ, start_response):
    """WSGI application with the paths that the tests need."""
    path = environ["PATH_INFO"]
    if path == "/echo":
        body = environ["wsgi.input"].read()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]
    if path == "/held":
        held.wait()
        start_response("200 OK", [("Content-Length", "4")])
        return [b"held"]
    if path == "/slow":
        gevent.sleep(0.4)
        start_response("200 OK", [("Content-Length", "4")])
        return [b"slow"]
    if path == "/truncated":
        start_response("200 OK", [])
        return truncated()
    if path == "/large":
        start_response("200 OK", [])
        return (b"x" * 65536 for _ in range(400))
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


def truncated():
    yield b"first part"
    gevent.sleep(0.05)
    raise handler.AnswerAborted("the backend server ended early")


class Connection:
    def __init__(self, port, tls=None):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=10)
        if tls is not None:
            self.socket = tls.wrap_socket(
                self.socket, server_hostname="127.0.0.1", suppress_ragged_eofs=False
            )

    def __enter__(self):
        return self

    def __exit__(self, *_exc):
        self.socket.close()

    def send(self, data):
        self.socket.sendall(data)
        return self

    def receive(self):
        """Return everything until the end.

        A reset raises ConnectionResetError or, with TLS, SSLEOFError, as does an end
        of the connection without a close_notify alert.
        """
        received = b""
        while chunk := self.socket.recv(65536):
            received += chunk
        return received


class HandlerCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        contexts = self.tls_contexts()
        self.server = server.Server(("127.0.0.1", 0), application, contexts[0])
        self.client_tls = contexts[1]
        self.server.start()
        self.port = self.server.server_port
        self.addCleanup(self.server.drain, 0.1)

    def tls_contexts(self):
        return None, None

    def connect(self):
        return Connection(self.port, self.client_tls)

    def exchange(self, data):
        with self.connect() as connection:
            return connection.send(data).receive()

    def check_refused(self, status, kind, data):
        answer = self.exchange(data)
        head, _, body = answer.partition(b"\r\n\r\n")
        self.assertIn(str(status).encode(), head.split(b"\r\n")[0], answer)
        self.assertIn(b"connection: close", head.lower())
        self.assertEqual(kind, json.loads(body)["error"]["type"])


class HandlerTest(HandlerCase):
    def test_heads_over_the_limits_are_refused_with_a_reason(self):
        # Guards against a caller that fills the memory with an endless head.
        many = b"".join(b"X-%d: 1\r\n" % number for number in range(200))
        large = b"X-A: " + b"a" * handler.MAX_HEAD_BYTES
        line = b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\n\r\n"
        self.check_refused(400, "Malformed", b"GET / HTTP/1.1\r\n" + many + b"\r\n")
        self.check_refused(
            431, "Oversized", b"GET / HTTP/1.1\r\n" + large + b"\r\n\r\n"
        )
        self.check_refused(414, "Oversized", line)

    def test_ambiguous_framing_is_refused(self):
        # Guards against request smuggling past a proxy.
        for headers in (
            b"Content-Length: 5\r\nContent-Length: 6\r\n",
            b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: gzip, chunked\r\n",
            b"Content-Length: +5\r\n",
            b"Content-Length: -5\r\n",
        ):
            data = b"POST /echo HTTP/1.1\r\n" + headers + b"\r\nhello"
            self.check_refused(400, "Malformed", data)

    def test_an_oversized_body_is_refused_before_it_is_read(self):
        length = handler.MAX_BODY_BYTES + 1
        head = b"POST /echo HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % length
        self.check_refused(413, "Oversized", head)

    def test_a_slow_head_does_not_occupy_a_connection(self):
        # Guards against callers that send a head byte by byte.
        self.patch(handler, "HEAD_TIMEOUT_S", 0.2)
        with self.connect() as connection:
            connection.send(b"GET / HTTP/1.1\r\nHost: ")
            started = gevent.get_hub().loop.now()
            self.assertIn(b"408", connection.receive())
            self.assertLess(gevent.get_hub().loop.now() - started, 5)

    def test_idle_connections_end_sooner_near_the_connection_limit(self):
        # Guards against idle callers that use up all connections.
        self.patch(server, "MAX_CONNECTIONS", 2)
        self.patch(server, "BUSY_IDLE_TIMEOUT_S", 0.1)
        idle = [self.connect() for _ in range(2)]
        # The time that a connection may be idle is found when its wait begins.
        with gevent.Timeout(10, AssertionError("the connections were not taken")):
            while len(self.server.connections) < 2:
                gevent.sleep(0.005)
        for connection in idle:
            connection.send(b"GET / HTTP/1.1\r\n\r\n")
        for connection in idle:
            with connection:
                self.assertTrue(connection.receive().endswith(b"ok"))

    def test_a_client_that_stops_reading_is_disconnected(self):
        # Guards against answers that stay in memory because callers never read them.
        self.patch(handler, "SEND_TIMEOUT_S", 0.2)
        with self.connect() as connection:
            connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.send(b"GET /large HTTP/1.1\r\n\r\n")
            gevent.sleep(1.0)
            self.assertEqual(0, self.server.in_flight())

    def test_a_truncated_answer_never_looks_complete(self):
        # Guards against the truncated answer of a failed backend server that a caller
        # takes for complete. HTTP/1.0 callers take the end of the connection as the
        # end of an answer, so they need a reset.
        for version in (b"1.0", b"1.1"):
            with self.connect() as connection:
                connection.send(b"GET /truncated HTTP/" + version + b"\r\n\r\n")
                try:
                    answer = connection.receive()
                except (ConnectionResetError, ssl.SSLEOFError):
                    continue
                self.assertNotEqual(b"1.0", version)
                self.assertFalse(answer.endswith(b"0\r\n\r\n"))

    def test_the_caller_of_a_refused_upload_receives_the_reason(self):
        # Guards against a reset that discards the error response.
        length = handler.MAX_BODY_BYTES + 1
        head = b"POST /echo HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % length
        self.check_refused(413, "Oversized", head + b"x" * LARGE)


class AnyBytesTest(HandlerCase):
    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.binary(max_size=40),
                strategies.sampled_from(
                    [
                        b"GET / HTTP/1.1\r\n",
                        b"POST /echo HTTP/1.1\r\n",
                        b"Content-Length: 3\r\n",
                        b"Transfer-Encoding: chunked\r\n",
                        b"\r\n",
                        b"3\r\nabc\r\n",
                        b"0\r\n\r\n",
                        b": \r\n",
                        b"\0\xff",
                    ]
                ),
            ),
            max_size=8,
        )
    )
    def test_any_bytes_are_answered_in_http_or_end_the_connection(self, parts):
        # Guards against input that stops the server or causes status 500.
        data = b"".join(parts)
        with self.connect() as connection:
            connection.send(data)
            connection.socket.shutdown(socket.SHUT_WR)
            try:
                answer = connection.receive()
            except ConnectionResetError:
                answer = b""
        self.assertTrue(answer == b"" or answer.startswith(b"HTTP/1.1 "), answer)
        self.assertNotIn(b"HTTP/1.1 500", answer)
        alive = self.exchange(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
        self.assertTrue(alive.endswith(b"ok"))
