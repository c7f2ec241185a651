"""Service `peers`: calls and notices between the processes of a cell."""

from __future__ import annotations

import contextlib
import dataclasses
import hmac
import random
import socket
from collections.abc import Callable, Iterator

import gevent
import logbook
from gevent import pool

from toucanspring import deadline, errors, frames, line_rate, outbox, stream, uptime
from toucanspring.callers import client_limits, machine
from toucanspring.cell import rpc

log = logbook.Logger(__name__)

HANDSHAKE_TIMEOUT_S = 2.0
MAX_HELLO_BYTES = 4096
# Accepted streams before their hello frame; further ones are closed at once.
MAX_PENDING_HANDSHAKES = 64
MAX_CALLS_PER_STREAM = 256
BACKLOG = 128
# Of an accepted stream in each direction; the kernel takes twice as much.
BUFFER_BYTES = 16 * 1024
# Lines about streams that were refused before their hello was accepted.
REFUSAL_LINES_PER_S = 1
REFUSAL_BURST = 20
# Heartbeats arrive every 0.5 s or, in the steady state, every 1 s, so a silent stream
# belongs to a lost VM.
IDLE_TIMEOUT_S = 10.0

Handler = Callable[[str, bytes], "bytes | Iterator[bytes] | errors.Failure"]
NoticeHandler = Callable[[str, bytes], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """A process that has a stream to this one; `target` is where it listens."""

    stream: stream.Stream
    target: tuple[str, int]


def tls_contexts(settings: object) -> tuple[object, object] | None:
    """Return the server and client TLS contexts, or `None` without certificates."""
    if not settings.tls_certificate:
        log.warning("peer streams are not encrypted: no TLS certificate is set")
        return None
    import ssl  # imported only if needed, to save memory

    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    for context in (server, client):
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(settings.tls_certificate, settings.tls_key)
        context.load_verify_locations(settings.tls_ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return server, client


class Service:
    """Manage the streams to and from the other processes (kernel name `peers`)."""

    def __init__(
        self, kernel: object, settings: object, rng: random.Random | None = None
    ) -> None:
        del kernel
        self.settings = settings
        self.rng = rng or random.Random()
        self.incarnation = 0
        self.port = settings.peer_port
        self._handlers: dict[str, Handler] = {}
        self._notice_handlers: dict[str, NoticeHandler] = {}
        self._connections: dict[str, rpc.PeerConnection] = {}
        # Where the processes listen that have a stream to this one.
        self._callers: dict[str, Caller] = {}
        self._accepted: dict[stream.Stream, outbox.Outbox | None] = {}
        self._pending_handshakes = 0
        max_streams = settings.max_peer_streams or client_limits.choose_peer_streams(
            machine.read_max_fds()
        )
        limits = client_limits.Limits(max_connections=max_streams)
        self._streams = client_limits.Table(limits)  # after their hello
        self._refusal_lines = line_rate.LineRate(REFUSAL_LINES_PER_S, REFUSAL_BURST)
        self._listener: socket.socket | None = None
        self._greenlets = pool.Group()
        self._server_tls = self.client_tls = None
        self._closed_bytes = [0, 0]

    def start(self) -> None:
        """Listen on the peer port and accept streams."""
        contexts = tls_contexts(self.settings)
        if contexts is not None:
            self._server_tls, self.client_tls = contexts
        listener = stream.listen(
            (self.settings.address, self.settings.peer_port), BACKLOG, BUFFER_BYTES
        )
        self.port = listener.getsockname()[1]
        self._listener = listener
        self._greenlets.spawn(self._accept)

    def stop(self) -> None:
        """Close all streams; pending calls fail."""
        if self._listener is not None:
            self._listener.close()
        for process in list(self._connections):
            self._connections.pop(process).close()
        for accepted in list(self._accepted):
            accepted.close()
        self._greenlets.kill()

    def set_targets(self, targets: dict[str, tuple[str, int]]) -> None:
        """Set the address and port of each process to keep a stream to."""
        for process in list(self._connections):
            if self._connections[process].target != targets.get(process):
                closed = self._connections.pop(process)
                closed.close()
                self._count_closed(closed.sent_bytes, closed.received_bytes)
        for process, target in targets.items():
            if process not in self._connections:
                self._connections[process] = rpc.PeerConnection(self, process, target)

    def handle(self, method: str, function: Handler) -> None:
        """Register `function(sender, body)` to answer calls of a method."""
        self._handlers[method] = function

    def handle_notice(self, method: str, function: NoticeHandler) -> None:
        """Register `function(sender, body)` for notices; it must not block."""
        self._notice_handlers[method] = function

    def call(
        self,
        process: str,
        method: str,
        body: bytes,
        timeout_s: float,
        abandon: Callable[[], bool] | None = None,
    ) -> bytes | errors.Failure:
        """Call a method of another process and return its answer.

        Fails with the peer's failure, `Unavailable` (not sent) or `Ambiguous` (sent, no
        answer). A streamed answer is joined, up to 16 MiB. The wait ends early once
        `abandon` returns true.
        """
        chunks = self.call_stream(process, method, body, timeout_s, abandon)
        if isinstance(chunks, errors.Failure):
            return chunks
        parts = []
        size = 0
        deadline = uptime.now() + timeout_s
        try:
            for chunk in chunks:
                size += len(chunk)
                if uptime.now() > deadline:
                    chunks.close()
                    return errors.Ambiguous(reason=f"no complete answer to {method}")
                if size > rpc.MAX_JOINED_BYTES:
                    chunks.close()
                    return errors.Oversized(
                        reason=f"answer to {method} is too large for a call",
                        limit=rpc.MAX_JOINED_BYTES,
                    )
                parts.append(chunk)
        except rpc.StreamBrokenError as broken:
            return errors.Ambiguous(reason=str(broken))
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def call_stream(
        self,
        process: str,
        method: str,
        body: bytes,
        timeout_s: float,
        abandon: Callable[[], bool] | None = None,
    ) -> Iterator[bytes] | errors.Failure:
        """Call a method and return its answer as chunks.

        `timeout_s` limits the wait for the first chunk and for each further one. The
        iterator raises `StreamBrokenError` if the answer ends early.
        """
        target = self._connections.get(process) or self._dial_back(process)
        if target is None:
            return errors.Unavailable(reason=f"process {process} is not known")
        return target.call(method, body, timeout_s, abandon)

    def _dial_back(self, process: str) -> rpc.PeerConnection | None:
        """Connect to a process that has connected to this one.

        A process that lost the store before it read the member row of another one knows
        that one by its heartbeats only.
        """
        caller = self._callers.get(process)
        if caller is None:
            return None
        connection = rpc.PeerConnection(self, process, caller.target)
        self._connections[process] = connection
        return connection

    def notify(self, process: str, method: str, body: bytes) -> bool:
        """Queue a notice; return `False` if the stream is down or its queue is full."""
        target = self._connections.get(process)
        return target is not None and target.notify(method, body)

    def connected(self) -> list[str]:
        """Return the processes with an established stream."""
        return [name for name, target in self._connections.items() if target.is_up]

    def traffic(self) -> tuple[int, int]:
        """Return the bytes sent to and received from other processes."""
        streams = [*self._connections.values(), *self._accepted]
        sent = sum(each.sent_bytes for each in streams)
        received = sum(each.received_bytes for each in streams)
        return sent + self._closed_bytes[0], received + self._closed_bytes[1]

    def hello(self) -> frames.Hello:
        """Return the hello frame's content for this process."""
        return frames.Hello(
            self.settings.process,
            self.incarnation,
            self.settings.cell,
            self.settings.peer_token,
            self.settings.address,
            self.port,
        )

    def _count_closed(self, sent: int, received: int) -> None:
        self._closed_bytes[0] += sent
        self._closed_bytes[1] += received

    def _accept(self) -> None:
        while True:
            try:
                sock, address = self._listener.accept()
            except OSError as error:
                if self._listener.fileno() < 0:
                    return
                # For example out of file descriptors; retry instead of ending.
                log.error("cannot accept a peer stream: {}", error)
                gevent.sleep(0.1)
                continue
            if self._pending_handshakes >= MAX_PENDING_HANDSHAKES:
                self._warn("closing stream from {}: too many handshakes", address[0])
                sock.close()
                continue
            self._pending_handshakes += 1
            self._greenlets.spawn(self._serve, sock, address)

    def _warn(self, message: str, *arguments: object) -> None:
        """Log that a stream was refused, at a limited rate."""
        if self._refusal_lines.take():
            log.warning(
                message,
                *arguments,
                extra={"decision": self._refusal_lines.report_dropped()},
            )

    def _serve(self, sock: socket.socket, address: tuple[str, int]) -> None:
        accepted = None
        try:
            try:
                accepted, hello = self._handshake(sock, address)
            finally:
                self._pending_handshakes -= 1
            if hello is not None:
                with self._admit(accepted, address[0]):
                    with self._introduce(accepted, hello):
                        self._serve_peer(accepted, hello.process)
        finally:
            (accepted or sock).close()
            if accepted is not None:
                self._accepted.pop(accepted, None)
                self._count_closed(accepted.sent_bytes, accepted.received_bytes)

    def _handshake(
        self, sock: socket.socket, address: tuple[str, int]
    ) -> tuple[stream.Stream | None, frames.Hello | None]:
        """Return the stream, and what the dialling process says if it is accepted."""
        try:
            with gevent.Timeout(HANDSHAKE_TIMEOUT_S):
                if self._server_tls is not None:
                    sock = self._server_tls.wrap_socket(sock, server_side=True)
                accepted = stream.Stream(sock, frames.decode, MAX_HELLO_BYTES)
                self._accepted[accepted] = None
                message = accepted.receive()
        except (gevent.Timeout, OSError) as error:
            self._warn("no hello on peer stream from {}: {}", address[0], error)
            return None, None
        refusal = self._check_hello(message)
        if refusal is not None:
            self._warn("refusing peer stream from {}: {}", address[0], refusal)
            return accepted, None
        accepted.set_max_frame_bytes()
        welcome = frames.Welcome(self.settings.process, self.incarnation)
        accepted.send(frames.Frame(frames.Kind.WELCOME, 0, frames.encode(welcome)))
        return accepted, frames.decode_as(frames.Hello, message.body)

    @contextlib.contextmanager
    def _admit(self, accepted: stream.Stream, address: str) -> Iterator[None]:
        """Count a stream; at the limit, close the oldest of the busiest address.

        A process whose stream was closed opens a new one.
        """
        now = uptime.now()
        waiting = client_limits.Phase.WAITING
        admitted, displaced = self._streams.admit(address, waiting, now)
        if displaced is not None:
            self._warn("closing a stream of {}: too many streams", displaced.client)
            displaced.key.close()
        admitted.key = accepted
        try:
            yield
        finally:
            self._streams.remove(admitted)

    @contextlib.contextmanager
    def _introduce(
        self, accepted: stream.Stream, hello: frames.Hello
    ) -> Iterator[None]:
        """Know where a process listens while its stream is open."""
        if hello.port:
            self._callers[hello.process] = Caller(accepted, (hello.address, hello.port))
        try:
            yield
        finally:
            known = self._callers.get(hello.process)
            if known is not None and known.stream is accepted:
                del self._callers[hello.process]

    def _check_hello(self, message: object) -> str | None:
        """Return why the first message is refused, or `None` if it is valid."""
        if not isinstance(message, frames.Frame):
            return message.reason
        hello = frames.decode_as(frames.Hello, message.body)
        if message.kind != frames.Kind.HELLO or not isinstance(hello, frames.Hello):
            return "the first frame is not a hello"
        if not hmac.compare_digest(
            hello.token.encode(), self.settings.peer_token.encode()
        ):
            return f"process {hello.process!r} presented a wrong token"
        if hello.cell != self.settings.cell:
            return f"process {hello.process!r} belongs to cell {hello.cell!r}"
        return None

    def _serve_peer(self, accepted: stream.Stream, sender: str) -> None:
        answers = outbox.Outbox(accepted)
        self._accepted[accepted] = answers
        if sender in self._connections:
            self._connections[sender].reconnect_now()
        calls = rpc.CallServer(self._handlers, answers, sender, MAX_CALLS_PER_STREAM)

        def end_silent() -> None:
            log.warning(
                "closing stream of {}: no frame within {} s", sender, IDLE_TIMEOUT_S
            )
            accepted.close()

        silence = deadline.Deadline(end_silent)
        try:
            while not answers.closed:
                silence.set(IDLE_TIMEOUT_S)
                message = accepted.receive()
                if not isinstance(message, frames.Frame):
                    if not isinstance(message, errors.Closed):
                        log.warning("closing stream of {}: {}", sender, message.reason)
                    return
                if message.kind == frames.Kind.NOTICE:
                    self._dispatch_notice(sender, message.body)
                else:
                    calls.dispatch(message)
        finally:
            silence.close()
            calls.close()
            answers.close()

    def _dispatch_notice(self, sender: str, body: bytes) -> None:
        notice = frames.decode_as(frames.Call, body)
        handler = self._notice_handlers.get(getattr(notice, "method", ""))
        if handler is None:
            log.warning("ignoring notice from {}: no handler", sender)
            return
        try:
            handler(sender, notice.body)
        except Exception:
            log.exception("handler of notice {} failed", notice.method)
