"""Remote procedure calls over a stream: the caller's and the callee's side."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import Callable, Iterator

import gevent
import logbook
from gevent import event, lock, queue

from toucanspring import errors, frames, outbox, stream, wire

log = logbook.Logger(__name__)

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
HANDSHAKE_TIMEOUT_S = 2.0
ABANDON_CHECK_S = 0.25
MAX_JOINED_BYTES = 16 << 20
MAX_BODY_BYTES = wire.MAX_FRAME_BYTES - 1024
# Total size of the bodies of running calls of one stream.
MAX_RUNNING_BYTES = 8 << 20
# How long an answer waits for space in the send queue or in the caller's window.
ANSWER_STALL_S = 10.0


class StreamBrokenError(Exception):
    """A streamed answer ended before its end marker."""


def _wait_for_answer(
    answers: queue.SimpleQueue, timeout_s: float, abandon: Callable[[], bool] | None
) -> frames.Frame | errors.Timeout | errors.Closed:
    """Return the first frame of an answer; time out early once `abandon` is true."""
    left_s = timeout_s
    while left_s > 0:
        step_s = left_s if abandon is None else min(left_s, ABANDON_CHECK_S)
        try:
            return answers.get(timeout=step_s)
        except queue.Empty:
            left_s -= step_s
        if abandon is not None and abandon():
            return errors.Timeout(reason="the call was abandoned")
    return errors.Timeout(reason=f"no answer within {timeout_s} s")


class PeerConnection:
    """Stream that this process dials to another one, and the calls on it."""

    def __init__(self, peers: object, process: str, target: tuple[str, int]) -> None:
        self.target = target
        self._peers = peers
        self._process = process
        self._outbox: outbox.Outbox | None = None
        self._waiting: dict[int, queue.SimpleQueue] = {}
        self._notices: dict[str, outbox.QueuedFrame | None] = {}
        self._reconnect = event.Event()
        self._correlations = itertools.count(1)
        self._stream: stream.Stream | None = None
        self._closed_bytes = [0, 0]
        self._dialler = gevent.spawn(self._run)

    @property
    def sent_bytes(self) -> int:
        """Return the bytes sent over all streams of this connection."""
        return self._closed_bytes[0] + (self._stream.sent_bytes if self._stream else 0)

    @property
    def received_bytes(self) -> int:
        """Return the bytes received over all streams of this connection."""
        return self._closed_bytes[1] + (
            self._stream.received_bytes if self._stream else 0
        )

    @property
    def is_up(self) -> bool:
        """Return whether calls can be sent now."""
        return self._outbox is not None

    def close(self) -> None:
        """Close the stream and stop dialling."""
        self._disconnect("the connection was closed")
        self._dialler.kill(block=False)

    def reconnect_now(self) -> None:
        """Dial at once, since the other process has just shown that it is up."""
        if self._outbox is None:
            self._reconnect.set()

    def notify(self, method: str, body: bytes) -> bool:
        """Queue a notice; it replaces an unsent one of the same method."""
        box = self._outbox
        if box is None:
            return False
        call = frames.encode(frames.Call(method, body))
        frame = frames.Frame(frames.Kind.NOTICE, 0, call)
        self._notices[method] = box.put_first(frame, self._notices.get(method))
        return self._notices[method] is not None

    def call(
        self,
        method: str,
        body: bytes,
        timeout_s: float,
        abandon: Callable[[], bool] | None = None,
    ) -> Iterator[bytes] | errors.Failure:
        """Send a call, wait for the first frame and return the chunks of the answer."""
        box = self._outbox
        if box is None:
            return errors.Unavailable(reason=f"no stream to process {self._process}")
        if len(body) > MAX_BODY_BYTES:
            return errors.Oversized(
                reason=f"call {method} of {len(body)} bytes", limit=MAX_BODY_BYTES
            )
        correlation = next(self._correlations)
        answers = self._waiting[correlation] = queue.SimpleQueue()
        call = frames.encode(frames.Call(method, body))
        item = box.put(frames.Frame(frames.Kind.CALL, correlation, call))
        if item is None:
            del self._waiting[correlation]
            return errors.Unavailable(reason=f"queue to {self._process} is full")
        first = _wait_for_answer(answers, timeout_s, abandon)
        if isinstance(first, errors.Timeout | errors.Closed):
            self._cancel(box, correlation)
            reason = f"call {method} to {self._process}: {first.reason}"
            if box.withdraw(item):
                return errors.Unavailable(reason=reason)
            return errors.Ambiguous(reason=reason)
        if first.kind == frames.Kind.FAILURE:
            self._waiting.pop(correlation, None)
            return frames.decode_failure(first.body)
        return self._chunks(box, correlation, answers, first, timeout_s)

    def _chunks(
        self,
        box: outbox.Outbox,
        correlation: int,
        answers: queue.SimpleQueue,
        frame: frames.Frame,
        timeout_s: float,
    ) -> Iterator[bytes]:
        size = consumed = 0
        finished = False
        try:
            while True:
                match frame:
                    case frames.Frame(kind=frames.Kind.ANSWER, body=body):
                        finished = True
                        yield body
                        return
                    case frames.Frame(kind=frames.Kind.CHUNK, body=body):
                        size += len(body)
                        yield body
                        consumed += 1
                        if consumed * 2 >= frames.WINDOW_CHUNKS:
                            credit = frames.encode(consumed)
                            box.put(
                                frames.Frame(frames.Kind.WINDOW, correlation, credit)
                            )
                            consumed = 0
                    case frames.Frame(kind=frames.Kind.END, body=body):
                        finished = True
                        length = frames.decode_as(int, body)
                        if length != size:
                            raise StreamBrokenError(f"got {size} bytes of {length}")
                        return
                    case frames.Frame(kind=frames.Kind.FAILURE, body=body):
                        finished = True
                        raise StreamBrokenError(frames.decode_failure(body).reason)
                    case errors.Closed():
                        finished = True
                        raise StreamBrokenError(frame.reason)
                try:
                    frame = answers.get(timeout=timeout_s)
                except queue.Empty:
                    raise StreamBrokenError(f"no chunk within {timeout_s} s") from None
        finally:
            if finished:
                self._waiting.pop(correlation, None)
            else:
                self._cancel(box, correlation)

    def _cancel(self, box: outbox.Outbox, correlation: int) -> None:
        """Stop waiting for a call and cancel it at the peer."""
        if self._waiting.pop(correlation, None) is not None:
            box.put(frames.Frame(frames.Kind.CANCEL, correlation))

    def _run(self) -> None:
        backoff = FIRST_BACKOFF_S
        try:
            while True:
                if self._connect():
                    backoff = FIRST_BACKOFF_S
                    self._receive()
                # Jitter keeps the processes of a cell from dialling at the same time.
                self._reconnect.clear()
                self._reconnect.wait(backoff * self._peers.rng.uniform(0.5, 1.5))
                backoff = min(backoff * 2, MAX_BACKOFF_S)
        finally:
            self._disconnect("the connection was closed")

    def _connect(self) -> bool:
        address, port = self.target
        try:
            with gevent.Timeout(HANDSHAKE_TIMEOUT_S * 2):
                connected = stream.connect(
                    address, port, frames.decode, tls=self._peers.client_tls
                )
                if isinstance(connected, errors.Failure):
                    log.debug("no stream to {}: {}", self._process, connected.reason)
                    return False
                hello = frames.encode(self._peers.hello())
                connected.send(frames.Frame(frames.Kind.HELLO, 0, hello))
                message = connected.receive(HANDSHAKE_TIMEOUT_S)
        except gevent.Timeout:
            return False
        if not isinstance(message, frames.Frame) or message.kind != frames.Kind.WELCOME:
            reason = getattr(message, "reason", "unexpected frame")
            log.warning("handshake with {} failed: {}", self._process, reason)
            connected.close()
            return False
        welcome = frames.decode_as(frames.Welcome, message.body)
        if getattr(welcome, "process", None) != self._process:
            log.warning("{}:{} is not process {}", address, port, self._process)
            connected.close()
            return False
        self._stream = connected
        self._notices.clear()
        self._outbox = outbox.Outbox(connected)
        return True

    def _receive(self) -> None:
        while True:
            message = self._stream.receive()
            if not isinstance(message, frames.Frame):
                self._disconnect(message.reason)
                return
            answers = self._waiting.get(message.correlation)
            if answers is None:
                continue
            if answers.qsize() > frames.WINDOW_CHUNKS + 1:
                self._disconnect("the peer sent more chunks than the window allows")
                return
            answers.put(message)

    def _disconnect(self, reason: str) -> None:
        if self._outbox is not None:
            self._outbox.close()
            self._outbox = None
        if self._stream is not None:
            self._closed_bytes[0] += self._stream.sent_bytes
            self._closed_bytes[1] += self._stream.received_bytes
            self._stream = None
        waiting, self._waiting = self._waiting, {}
        for answers in waiting.values():
            answers.put(errors.Closed(reason=f"stream to {self._process}: {reason}"))


class CallServer:
    """Serve the calls that arrive on one accepted stream."""

    def __init__(
        self, handlers: dict, answers: outbox.Outbox, sender: str, limit: int
    ) -> None:
        self._handlers = handlers
        self._answers = answers
        self._sender = sender
        self._limit = limit
        self._body_bytes = 0
        self._running: dict[int, tuple[gevent.Greenlet, lock.Semaphore]] = {}

    def dispatch(self, frame: frames.Frame) -> None:
        """Handle a frame of the caller."""
        match frame.kind:
            case frames.Kind.CALL:
                self._start(frame)
            case frames.Kind.WINDOW:
                running = self._running.get(frame.correlation)
                credit = frames.decode_as(int, frame.body)
                if running is not None and isinstance(credit, int):
                    for _ in range(min(credit, frames.WINDOW_CHUNKS)):
                        running[1].release()
            case frames.Kind.CANCEL:
                running = self._running.get(frame.correlation)
                if running is not None:
                    # Ends a streamed answer at its next chunk. A handler that is still
                    # running is not interrupted, since it may be writing.
                    running[0].cancelled = True
                    running[1].release()

    def close(self) -> None:
        """Cancel the running calls; their answers are dropped."""
        for greenlet, window in self._running.values():
            greenlet.cancelled = True
            window.release()

    def _start(self, frame: frames.Frame) -> None:
        if (
            len(self._running) >= self._limit
            or self._body_bytes + len(frame.body) > MAX_RUNNING_BYTES
            or frame.correlation in self._running
        ):
            refusal = errors.Overloaded(reason="too many calls on one stream")
            self._reply(frames.Kind.FAILURE, frame, frames.encode_failure(refusal))
            return
        window = lock.Semaphore(frames.WINDOW_CHUNKS)
        greenlet = gevent.Greenlet(self._run, frame, window)
        greenlet.cancelled = False
        self._running[frame.correlation] = (greenlet, window)
        self._body_bytes += len(frame.body)
        greenlet.start()

    def _run(self, frame: frames.Frame, window: lock.Semaphore) -> None:
        try:
            result = self._invoke(frame)
            if isinstance(result, errors.Failure):
                self._reply(frames.Kind.FAILURE, frame, frames.encode_failure(result))
            elif isinstance(result, bytes) and len(result) <= MAX_BODY_BYTES:
                self._reply(frames.Kind.ANSWER, frame, result)
            else:
                chunks = [result] if isinstance(result, bytes) else result
                self._stream_answer(frame, chunks, window)
        finally:
            del self._running[frame.correlation]
            self._body_bytes -= len(frame.body)

    def _invoke(self, frame: frames.Frame) -> object:
        call = frames.decode_as(frames.Call, frame.body)
        if isinstance(call, errors.Failure):
            return call
        handler = self._handlers.get(call.method)
        if handler is None:
            return errors.NotFound(reason=f"no method {call.method!r}")
        try:
            return handler(self._sender, call.body)
        except Exception as error:
            log.exception("method {} failed", call.method)
            return errors.Unknown(reason=f"method {call.method} failed: {error!r}")

    def _stream_answer(
        self, frame: frames.Frame, chunks: object, window: lock.Semaphore
    ) -> None:
        greenlet = gevent.getcurrent()
        size = 0
        with contextlib.ExitStack() as stack:
            if hasattr(chunks, "close"):
                stack.callback(chunks.close)
            try:
                for chunk in chunks:
                    for start in range(0, len(chunk), frames.CHUNK_BYTES):
                        part = chunk[start : start + frames.CHUNK_BYTES]
                        waited = window.acquire(timeout=ANSWER_STALL_S)
                        if greenlet.cancelled or not waited:
                            return
                        if not self._reply(frames.Kind.CHUNK, frame, part):
                            return
                        size += len(part)
            except Exception as error:
                log.warning("streamed answer to {} failed: {!r}", self._sender, error)
                failure = errors.Unknown(reason=f"streamed answer failed: {error!r}")
                self._reply(frames.Kind.FAILURE, frame, frames.encode_failure(failure))
                return
        self._reply(frames.Kind.END, frame, frames.encode(size))

    def _reply(self, kind: frames.Kind, call: frames.Frame, body: bytes) -> bool:
        frame = frames.Frame(kind, call.correlation, body)
        return self._answers.put_blocking(frame, ANSWER_STALL_S) is not None
