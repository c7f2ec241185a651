"""Heartbeats between processes and the peer state derived from them.

`PeerTracker` performs no I/O; the current time is passed as an argument.
"""

from __future__ import annotations

import dataclasses

import msgspec

from toucanspring import errors, resources
from toucanspring.cell import freshness, ownership
from toucanspring.scheduling import capacity_report

REACHABLE_S = 2.0
MICROSECONDS_PER_S = 1_000_000


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """State of the sender; clock values are monotonic microseconds.

    `echo` is the latest clock value that the sender has received from incarnation
    `echo_incarnation` of the receiver.
    """

    incarnation: int
    clock: int
    echo: int
    echo_incarnation: int
    versions: freshness.Versions
    view_age_ms: int
    # Whether the sender has read the head row since it wrote its member row, so that
    # it knows each change that it has ever confirmed.
    has_read_head: bool
    promise: bool
    promise_free_ms: int  # since the last promise, or since the start
    owned: dict[int, int]  # partition -> epoch
    free: resources.Resources = resources.ZERO
    draining: bool = False
    # By owned partition.
    capacity_reports: dict[int, capacity_report.CapacityReport] = {}


_decoder = msgspec.msgpack.Decoder(Heartbeat)
encode = msgspec.msgpack.Encoder().encode


def decode(body: bytes) -> Heartbeat | errors.Malformed:
    """Decode the body of a heartbeat notice."""
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        return errors.Malformed(reason=str(error))


def encode_for(message: Heartbeat, echo: int, echo_incarnation: int) -> bytes:
    """Encode a heartbeat with the echo for one receiver."""
    return encode(
        msgspec.structs.replace(message, echo=echo, echo_incarnation=echo_incarnation)
    )


def to_clock(now: float) -> int:
    """Convert monotonic seconds to the clock value of a heartbeat."""
    return int(now * MICROSECONDS_PER_S)


@dataclasses.dataclass(slots=True)
class PeerState:
    """Latest heartbeat of a process; times are local monotonic seconds."""

    message: Heartbeat
    received_at: float
    echoed_at: float = ownership.NEVER


class PeerTracker:
    """Track liveness and promises of the other processes from their heartbeats."""

    def __init__(self, incarnation: int, timing: ownership.Timing) -> None:
        self.incarnation = incarnation
        self.timing = timing
        self.peers: dict[str, PeerState] = {}
        self.promises: dict[str, float] = {}
        # Of the promising members that have read the head row themselves.
        self.promised_versions: dict[str, freshness.Versions] = {}
        self.promise_free: dict[str, ownership.PromiseFreeInterval] = {}

    def record(self, process: str, message: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return `False` if it is a duplicate or out of order.

        Such a heartbeat is dropped, since its promise may have been withdrawn.
        """
        last = self.peers.get(process)
        if last is not None:
            same = last.message.incarnation == message.incarnation
            if same and message.clock <= last.message.clock:
                return False
        peer = PeerState(message, now)
        self.peers[process] = peer
        echoed_at = message.echo / MICROSECONDS_PER_S
        # The echo of an earlier incarnation comes from a clock with another origin.
        if message.echo_incarnation != self.incarnation or not 0 < echoed_at <= now:
            self._forget(process)
            return True
        peer.echoed_at = echoed_at
        if message.promise:
            self.promises[process] = echoed_at
            self.promised_versions.pop(process, None)
            if message.has_read_head:
                self.promised_versions[process] = message.versions
            self.promise_free.pop(process, None)
        else:
            # A member that reaches the store again withdraws its promise. Counting the
            # promise until it expires would be allowed but of no use, since that
            # member may claim soon.
            self.promises.pop(process, None)
            self.promise_free[process] = ownership.promise_free_interval(
                echoed_at, now, message.promise_free_ms / 1000, self.timing
            )
        return True

    def _forget(self, process: str) -> None:
        self.promises.pop(process, None)
        self.promise_free.pop(process, None)

    def reachable(self, now: float) -> set[str]:
        """Return the processes with a recent heartbeat."""
        return {
            process
            for process, peer in self.peers.items()
            if now - peer.received_at <= REACHABLE_S
        }

    def echo_for(self, process: str) -> tuple[int, int]:
        """Return the last clock value and the incarnation received from a process."""
        peer = self.peers.get(process)
        if peer is None:
            return 0, 0
        return peer.message.clock, peer.message.incarnation

    def drop(self, process: str) -> None:
        """Remove a process that has left the cell."""
        self.peers.pop(process, None)
        self._forget(process)
