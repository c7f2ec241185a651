"""Bounded queue of frames to one stream."""

from __future__ import annotations

import collections
import dataclasses

import gevent
from gevent import event

from toucanspring import deadline, errors, frames, stream

MAX_QUEUED_BYTES = 4 << 20
FRAME_OVERHEAD_BYTES = 256  # memory of one queued frame besides its body
# A peer that has not accepted a frame after this time is treated as lost.
SEND_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True, eq=False)
class QueuedFrame:
    """Hold one queued frame; `sent` is set when its sending begins."""

    frame: frames.Frame
    size: int  # bytes that count against the limit
    sent: bool = False
    withdrawn: bool = False


class Outbox:
    """Queue frames and send them in order from one greenlet.

    A slow receiver uses at most `max_bytes` of memory and blocks no caller of `put`.
    """

    def __init__(
        self, target: stream.Stream, max_bytes: int = MAX_QUEUED_BYTES
    ) -> None:
        self._stream = target
        self._max_bytes = max_bytes
        self._items: collections.deque[QueuedFrame] = collections.deque()
        self._bytes = 0
        self._not_empty = event.Event()
        self._empty = event.Event()
        self._empty.set()
        self.closed = False
        self._send_deadline = deadline.Deadline(self.close)
        self._sender = gevent.spawn(self._run)

    def put(self, frame: frames.Frame) -> QueuedFrame | None:
        """Queue a frame; `None` if the queue is full or closed."""
        item = QueuedFrame(frame, len(frame.body) + FRAME_OVERHEAD_BYTES)
        if self.closed or (self._bytes and self._bytes + item.size > self._max_bytes):
            return None
        self._items.append(item)
        self._bytes += item.size
        self._empty.clear()
        self._not_empty.set()
        return item

    def put_first(
        self, frame: frames.Frame, waiting: QueuedFrame | None
    ) -> QueuedFrame | None:
        """Queue a small frame ahead of all others, or replace `waiting` if unsent.

        A notice carries the latest state, so only the newest needs to be queued.
        """
        if waiting is not None and not waiting.sent and not self.closed:
            waiting.frame = frame
            return waiting
        item = self.put(frame)
        if item is not None:
            self._items.rotate(1)
        return item

    def put_blocking(self, frame: frames.Frame, timeout_s: float) -> QueuedFrame | None:
        """Queue a frame, waiting if the queue is full; `None` on timeout."""
        while (item := self.put(frame)) is None:
            if self.closed or not self._empty.wait(timeout_s):
                return None
        return item

    def withdraw(self, item: QueuedFrame) -> bool:
        """Remove a frame whose sending has not begun; return whether it was removed."""
        if item.sent:
            return False
        item.withdrawn = True
        return True

    def close(self) -> None:
        """Drop the queued frames and close the stream."""
        if not self.closed:
            self.closed = True
            self._items.clear()
            self._empty.set()
            self._not_empty.set()
            self._send_deadline.close()
            self._stream.close()

    def _run(self) -> None:
        while not self.closed:
            if not self._items:
                self._empty.set()
                self._not_empty.clear()
                self._not_empty.wait()
                continue
            item = self._items.popleft()
            if not item.withdrawn:
                item.sent = True
                self._send_deadline.set(SEND_TIMEOUT_S)
                if isinstance(self._stream.send(item.frame), errors.Failure):
                    self.close()
                    return
                self._send_deadline.clear()
            self._bytes -= item.size
