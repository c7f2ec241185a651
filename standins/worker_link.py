"""Connections of the worker stand-in."""

from __future__ import annotations

import collections
from typing import Protocol

import gevent
from gevent import event

from toucanspring import errors, stream, wire

MAX_OUTBOX_MESSAGES = 20_000


class Host(Protocol):
    """The worker of a connection, which handles messages and may block traffic."""

    blocks_changed: event.Event
    links: set[Link]

    def handle(self, link: Link, message: object) -> bool:
        """Handle one message; return whether the connection may go on."""

    def is_blocked(self, link: Link) -> bool:
        """Return whether the traffic of a connection is blocked."""


class Link:
    """One connection: a reader, and a writer that sends queued messages."""

    def __init__(self, worker: Host, connected: stream.Stream, peer: str) -> None:
        self.worker = worker
        self.stream = connected
        self.peer = peer
        self.owner = ""
        self.partition = -1
        self.epoch = -1
        self._outbox: collections.deque[object] = collections.deque()
        self._filled = event.Event()

    def serve(self) -> None:
        """Handle messages until the connection ends."""
        writer = gevent.spawn(self._write)
        try:
            while True:
                message = self.stream.receive()
                if isinstance(message, errors.Failure):
                    return
                if isinstance(message, wire.Attach):
                    self.owner = message.owner
                self._wait_while_blocked()
                if self.stream.closed or not self.worker.handle(self, message):
                    return
        finally:
            self.worker.links.discard(self)
            self.close_when_sent()
            writer.join(timeout=1.0)
            self.stream.close()

    def post(self, message: object) -> None:
        """Queue a message, or disconnect a receiver with too many unsent messages."""
        if len(self._outbox) >= MAX_OUTBOX_MESSAGES:
            self.stream.close()
            return
        self._outbox.append(message)
        self._filled.set()

    def close_when_sent(self) -> None:
        """Close the connection once the queued messages have been sent."""
        self.post(None)

    def _write(self) -> None:
        while True:
            self._filled.wait()
            self._filled.clear()
            while self._outbox:
                self._wait_while_blocked()
                message = self._outbox.popleft()
                if message is None or self.stream.send(message) is not None:
                    self.stream.close()
                    return

    def _wait_while_blocked(self) -> None:
        while self.worker.is_blocked(self) and not self.stream.closed:
            self.worker.blocks_changed.wait(timeout=1.0)
