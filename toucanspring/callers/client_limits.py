"""Decide which connections and bodies of clients a listener may hold.

A client is an IP address. The decisions take the time as an argument and do no I/O; the
server closes the connections that they name.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
from collections.abc import Mapping

import msgspec

from toucanspring import errors

MAX_BODY_BYTES = 16 << 20  # the largest call of the API, `POST /v1/jobs`
HELD_BODY_BYTES = 64 << 20
MAX_CONNECTIONS = 4096
# Descriptors reserved for files, and the part of the others that connections of callers
# may take; the rest is for workers (seven connections each), the store and processes.
FILE_FDS = 200
FD_SHARE = 1 / 3
# The part of the same that streams of other processes may take, one for each process.
PEER_FD_SHARE = 1 / 6
MAX_PEER_STREAMS = 4096
# Memory of one connection that has sent a head of 16 KB and waits for its body (75 kB
# measured; 17 kB idle), and the part of the VM's memory that connections may take. A
# process without load takes 50 MB of the 160 MB of the smallest VM.
CONNECTION_BYTES = 80_000
CONNECTIONS_MEMORY_SHARE = 1 / 5
# Connections that were displaced and are still closing, as a fraction of the limit.
CLOSING_FRACTION = 0.125
MAX_BACKLOG = 256  # connections that were not accepted yet
# Part of the VM's memory for what the kernel has received and the process has not read,
# and for what was not sent yet, of all connections with those in the backlog.
BUFFERS_MEMORY_SHARE = 1 / 5
MIN_BUFFER_BYTES = 8 * 1024
MAX_BUFFER_BYTES = 256 * 1024
BUFFERS_PER_CONNECTION = 2 * 2  # received and unsent; the kernel takes twice the size
# Bodies are copied when they are decoded or relayed, so their part is small.
BODIES_MEMORY_SHARE = 1 / 16
# A single address may use most of a listener, since all callers behind a balancer may
# have one address, but the rest is left to others.
CLIENT_SHARE = 0.75
# Bodies up to this size, as those of most calls are, have a quarter of the held bytes
# for themselves, so that a few large ones do not make the process refuse them.
SMALL_BODY_BYTES = 16 * 1024
LARGE_BODY_SHARE = 0.75
# A body or the reader of an answer is given this time before it makes room for others.
# It is `header_timeout_ms` of the platform, the time that any client has for a head.
MIN_TRANSFER_S = 3.0
LARGEST = 1 << 40
LARGEST_BUFFER = 1 << 30  # twice this is the largest value that a socket takes


class Phase(enum.Enum):
    """What a connection does."""

    HANDSHAKE = 0
    WAITING = 1  # for a request, or for the rest of its head
    READING = 2  # a body
    ANSWERING = 3
    SENDING = 4  # an answer


class Reason(enum.Enum):
    """Why a client was refused or disconnected; the values are metric labels."""

    HEAD = "head"  # too large, too slow or malformed
    BODY_SIZE = "body_size"
    BODY_TIME = "body_time"
    BODIES = "bodies"  # too many bytes held
    CONNECTIONS = "connections"  # too many connections, the new one was refused
    DISPLACED = "displaced"  # closed in favour of another client


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Hold the limits of one listener."""

    max_body_bytes: int = MAX_BODY_BYTES  # of one request
    held_body_bytes: int = HELD_BODY_BYTES  # of all bodies and unread answers
    max_connections: int = MAX_CONNECTIONS
    client_share: float = CLIENT_SHARE  # of both, for one IP address
    socket_buffer_bytes: int = MAX_BUFFER_BYTES  # of a connection in each direction

    def check(self) -> errors.Invalid | None:
        """Return a failure for the first limit that is out of its range."""
        rules = (
            ("max_body_bytes", 1 <= self.max_body_bytes <= LARGEST, "1 or more"),
            (
                "held_body_bytes",
                self.max_body_bytes <= self.held_body_bytes <= LARGEST,
                "max_body_bytes or more",
            ),
            ("max_connections", 1 <= self.max_connections <= LARGEST, "1 or more"),
            (
                "client_share",
                0 < self.client_share <= 1,
                "more than 0 and at most 1",
            ),
            (
                "socket_buffer_bytes",
                MIN_BUFFER_BYTES <= self.socket_buffer_bytes <= LARGEST_BUFFER,
                f"{MIN_BUFFER_BYTES} to {LARGEST_BUFFER}",
            ),
        )
        for name, holds, expected in rules:
            if not holds:
                return errors.Invalid(
                    reason=f"setting {name} must be {expected}", path=name,
                    value=str(getattr(self, name)), expected=expected,
                )  # fmt: skip
        return None


def choose(
    memory_bytes: float, max_fds: int, max_body_bytes: int = MAX_BODY_BYTES
) -> Limits:
    """Return the default limits on a VM; a size of 0 is unknown and limits nothing."""
    connections, held_bytes = MAX_CONNECTIONS, HELD_BODY_BYTES
    buffer_bytes = MAX_BUFFER_BYTES
    if max_fds > 0:
        usable = max(0, max_fds - FILE_FDS)
        connections = min(connections, int(usable * FD_SHARE))
    if memory_bytes > 0:
        room = memory_bytes * CONNECTIONS_MEMORY_SHARE / CONNECTION_BYTES
        connections = int(min(connections, room))
        held_bytes = int(min(held_bytes, memory_bytes * BODIES_MEMORY_SHARE))
        buffer_bytes = _choose_buffer_bytes(memory_bytes, max(1, connections))
    return Limits(
        max_body_bytes=max_body_bytes,
        held_body_bytes=max(max_body_bytes, held_bytes),
        max_connections=max(1, connections),
        socket_buffer_bytes=buffer_bytes,
    )


def choose_peer_streams(max_fds: int) -> int:
    """Return the default limit on streams of other processes; 0 is unknown."""
    if max_fds <= 0:
        return MAX_PEER_STREAMS
    usable = max(0, max_fds - FILE_FDS)
    return max(1, min(MAX_PEER_STREAMS, int(usable * PEER_FD_SHARE)))


def choose_worker_connections(max_fds: int) -> float:
    """Return how many descriptors callers and processes leave; 0 is unknown."""
    if max_fds <= 0:
        return math.inf
    return max(0, max_fds - FILE_FDS) * (1 - FD_SHARE - PEER_FD_SHARE)


def count_closing(max_connections: int) -> int:
    """Return how many displaced connections may still be closing."""
    return max(1, int(max_connections * CLOSING_FRACTION))


def find_backlog(max_connections: int) -> int:
    """Return how many connections may wait to be accepted."""
    return min(MAX_BACKLOG, max_connections)


def _choose_buffer_bytes(memory_bytes: float, max_connections: int) -> int:
    connections = (
        max_connections + count_closing(max_connections) + find_backlog(max_connections)
    )
    room = memory_bytes * BUFFERS_MEMORY_SHARE / connections / BUFFERS_PER_CONNECTION
    return int(min(MAX_BUFFER_BYTES, max(MIN_BUFFER_BYTES, room)))


def select(settings: object, defaults: Limits) -> Limits:
    """Return the limits among the settings of a daemon; 0 stands for the default."""
    held = max(settings.max_body_bytes, defaults.held_body_bytes)
    return Limits(
        max_body_bytes=settings.max_body_bytes,
        held_body_bytes=settings.held_body_bytes or held,
        max_connections=settings.max_connections or defaults.max_connections,
        client_share=settings.client_share,
        socket_buffer_bytes=settings.socket_buffer_bytes
        or defaults.socket_buffer_bytes,
    )


def read(
    environment: Mapping[str, str], prefix: str, defaults: Limits
) -> Limits | errors.Invalid:
    """Return the limits named in environment variables, else the defaults."""
    values: dict[str, object] = {}
    for field in dataclasses.fields(Limits):
        variable = prefix + field.name.upper()
        if variable not in environment:
            continue
        kind = type(getattr(defaults, field.name))
        try:
            values[field.name] = msgspec.convert(
                environment[variable], kind, strict=False
            )
        except msgspec.ValidationError:
            return errors.Invalid(
                reason=f"{variable} must be of type {kind.__name__}", path=variable,
                value=environment[variable], expected=kind.__name__,
            )  # fmt: skip
    found = dataclasses.replace(defaults, **values)
    return found.check() or found


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """Hold the state of one connection."""

    client: str
    phase: Phase
    since: float  # when the phase began, in seconds of `uptime`
    held_bytes: int = 0
    displaced: bool = False
    key: object = None  # by which the server finds its socket


class Table:
    """Hold the connections of one listener and the bytes of their bodies."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        # By client, ordered by the time of the last change of the phase.
        self._connections: dict[str, dict[Connection, None]] = {}
        self._count = 0
        self._bytes: collections.Counter[str] = collections.Counter()
        self.held_bytes = 0

    def __len__(self) -> int:
        return self._count

    def admit(
        self, client: str, phase: Phase, now: float
    ) -> tuple[Connection | None, Connection | None]:
        """Return the new connection, or `None`, and one that has to make room for it.

        The one displaced is the idlest of the client with the most connections.
        """
        displaced = None
        share = self._limits.client_share * self._limits.max_connections
        if len(self._connections.get(client, ())) >= max(1, int(share)):
            displaced = _find_idlest(self._connections[client], now)
        elif self._count >= self._limits.max_connections:
            by_number = sorted(self._connections.values(), key=len, reverse=True)
            found = (_find_idlest(each, now) for each in by_number)
            displaced = next(filter(None, found), None)
        else:
            return self._add(client, phase, now), None
        if displaced is None:
            return None, None
        self.remove(displaced)
        displaced.displaced = True
        return self._add(client, phase, now), displaced

    def remove(self, connection: Connection) -> None:
        """Forget a connection and what it holds; it may have been displaced before."""
        self.release(connection)
        of_client = self._connections.get(connection.client, {})
        if connection in of_client:
            del of_client[connection]
            self._count -= 1
            if not of_client:
                del self._connections[connection.client]

    def set_phase(self, connection: Connection, phase: Phase, now: float) -> None:
        """Record what a connection does from now on."""
        if connection.phase is phase:
            return
        connection.phase = phase
        connection.since = now
        of_client = self._connections.get(connection.client, {})
        if connection in of_client:
            del of_client[connection]
            of_client[connection] = None

    def hold(
        self, connection: Connection, size: int, now: float
    ) -> tuple[bool, list[Connection]]:
        """Reserve bytes before they are read; return whether, and who makes room.

        Makes room by the bodies and answers that have taken longest, if they have had
        `MIN_TRANSFER_S`. A connection that was displaced holds nothing any more.
        """
        if connection.displaced:
            return False, []
        victims = []
        while not self._fits(connection, size):
            slow = self._find_slowest(connection, now)
            if slow is None:
                return False, victims
            self.remove(slow)
            slow.displaced = True
            victims.append(slow)
        connection.held_bytes += size
        self._bytes[connection.client] += size
        self.held_bytes += size
        return True, victims

    def release(self, connection: Connection, keep: int = 0) -> None:
        """Give back the bytes that a connection holds beyond `keep`."""
        size = connection.held_bytes - keep
        if size > 0:
            connection.held_bytes = keep
            self.held_bytes -= size
            _subtract(self._bytes, connection.client, size)

    def _add(self, client: str, phase: Phase, now: float) -> Connection:
        connection = Connection(client, phase, now)
        self._connections.setdefault(client, {})[connection] = None
        self._count += 1
        return connection

    def _fits(self, connection: Connection, size: int) -> bool:
        total = self._limits.held_body_bytes
        own = connection.held_bytes + size
        others = self.held_bytes - connection.held_bytes
        if not others:
            return True  # one request inside the limits is always served
        if own > SMALL_BODY_BYTES:
            total = int(total * LARGE_BODY_SHARE)
        share = max(SMALL_BODY_BYTES, int(total * self._limits.client_share))
        of_client = self._bytes[connection.client] - connection.held_bytes
        if not of_client:
            return others + own <= total
        return others + own <= total and of_client + own <= share

    def _find_slowest(self, asking: Connection, now: float) -> Connection | None:
        slow = [
            each
            for of_client in self._connections.values()
            for each in of_client
            if each.phase in (Phase.READING, Phase.SENDING)
            and each is not asking
            and each.held_bytes
            and now - each.since >= MIN_TRANSFER_S
        ]
        return min(slow, key=lambda each: each.since, default=None)


def _find_idlest(of_client: dict[Connection, None], now: float) -> Connection | None:
    """Return the connection of a client that can be closed with the least loss."""
    slow = None
    for each in of_client:
        if each.phase in (Phase.HANDSHAKE, Phase.WAITING):
            return each
        if each.phase in (Phase.READING, Phase.SENDING) and slow is None:
            slow = each
    return slow if slow is not None and now - slow.since >= MIN_TRANSFER_S else None


def _subtract(counter: collections.Counter[str], key: str, amount: int) -> None:
    counter[key] -= amount
    if not counter[key]:
        del counter[key]
