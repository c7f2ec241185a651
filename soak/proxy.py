"""Loopback proxy that delays, slows, resets or blocks its connections."""

from __future__ import annotations

import dataclasses
import socket as sockets
import struct
import time

import gevent
from gevent import server, socket

BLOCK_BYTES = 65_536
SLICE_BYTES = 4096  # passed at once over a slow link
CONNECT_TIMEOUT_S = 2.0
POLL_S = 0.02
# A linger time of zero makes close() send a reset.
RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True)
class Pass:
    """Forward all bytes."""


@dataclasses.dataclass(frozen=True)
class Delay:
    """Forward bytes after a delay in seconds."""

    seconds: float


@dataclasses.dataclass(frozen=True)
class Reset:
    """Reset open connections once, and new ones at once."""


@dataclasses.dataclass(frozen=True)
class Cut:
    """Hold bytes back, in both directions or one, until the mode changes."""

    to_target: bool = True
    to_client: bool = True


Mode = Pass | Delay | Reset | Cut


class SlowLink:
    """A link that all connections of a proxy share, in both directions."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0  # monotonic seconds

    def wait(self, count: int) -> None:
        """Wait until the link has carried some bytes."""
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + count / self._bytes_per_s
        gevent.sleep(self._free_at - now)


class Proxy:
    """Listens on a port and forwards connections to a target address."""

    def __init__(self, port: int, target: tuple[str, int]) -> None:
        self.address = f"127.0.0.1:{port}"
        self._target = target
        self._mode: Mode = Pass()
        self.link: SlowLink | None = None  # None: as fast as the machine
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._server = server.StreamServer(("127.0.0.1", port), self._serve)

    def __enter__(self) -> Proxy:
        self._server.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        self._server.stop(timeout=0)
        self._reset_all()

    def set_mode(self, mode: Mode) -> None:
        """Set the mode for open and new connections."""
        self._mode = mode
        if isinstance(mode, Reset):
            self._reset_all()

    def silence(self) -> None:
        """Stop forwarding on open connections permanently, but not on new ones."""
        self._pairs = set()

    def _reset_all(self) -> None:
        for pair in list(self._pairs):
            for end in pair:
                _reset(end)
        self._pairs.clear()

    def _serve(self, client: socket.socket, _address: object) -> None:
        if isinstance(self._mode, Reset):
            _reset(client)
            return
        try:
            target = socket.create_connection(self._target, CONNECT_TIMEOUT_S)
        except OSError:
            _reset(client)  # as from a port without a listener
            return
        target.settimeout(None)
        for end in (client, target):
            end.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        pair = (client, target)
        self._pairs.add(pair)
        pumps = [
            gevent.spawn(self._pump, pair, client, target, True),
            gevent.spawn(self._pump, pair, target, client, False),
        ]
        gevent.joinall(pumps)
        self._pairs.discard(pair)
        for end in pair:
            end.close()

    def _pump(
        self,
        pair: tuple[socket.socket, socket.socket],
        source: socket.socket,
        sink: socket.socket,
        to_target: bool,
    ) -> None:
        try:
            while block := source.recv(BLOCK_BYTES):
                while self._is_held(pair, to_target):
                    gevent.sleep(POLL_S)
                if isinstance(self._mode, Delay):
                    gevent.sleep(self._mode.seconds)
                self._send(sink, block)
            sink.shutdown(sockets.SHUT_WR)
        except OSError:
            return  # the connection was reset; the other end sees it too

    def _send(self, sink: socket.socket, block: bytes) -> None:
        while block and (link := self.link) is not None:
            part, block = block[:SLICE_BYTES], block[SLICE_BYTES:]
            link.wait(len(part))
            sink.sendall(part)
        sink.sendall(block)

    def _is_held(self, pair: tuple, to_target: bool) -> bool:
        if pair not in self._pairs:
            return True  # silenced
        match self._mode:
            case Cut() as cut:
                return cut.to_target if to_target else cut.to_client
        return False


def _reset(end: socket.socket) -> None:
    try:
        end.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, RESET)
    except OSError:
        return  # closed already
    end.close()
