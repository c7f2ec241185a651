"""Takeovers of the seat from a holder that cannot write, is dead or leaves.

To give a live holder up by mistake does no harm but the takeover; see
`leader_lease.acquire`.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import gevent
import logbook

from toucanspring import errors
from toucanspring import log as structured
from toucanspring.cell import peers
from toucanspring.coordinator import leader_lease, ports, rows

log = logbook.Logger(__name__)

TAKE_OVER = "take over"
REACHES = "reaches"
# A coordinator whose writes fail for this long asks others, which may reach the store.
HAND_OVER_AFTER_S = 0.2
HAND_OVER_TRIES = 4
HAND_OVER_TIMEOUT_S = 0.5
# A coordinator without a stream for this long, to this process and another, is taken
# for dead; processes later in the order wait longer, so that one claims.
WATCH_S = 0.1
DEAD_AFTER_S = 0.5
# A VM without power leaves its streams open; its holder of the seat is missed by its
# announcements, which come every `HEARTBEAT_S`.
HEARTBEAT_S = 0.3
SILENT_AFTER_S = 1.0
RANK_DELAY_S = 0.1
# One that took the seat a short while ago has not got all its streams.
YOUNG_S = 3.0
WITNESSES = 2  # processes asked whether they have a stream to the coordinator


class Failover:
    """Watch the holder of the seat and offer the own seat to others.

    `give_up(epoch)` makes this process claim the seat of that epoch, `leave(reason)`
    ends its own tenure.
    """

    def __init__(
        self,
        process: str,
        streams: peers.Service,
        store: ports.Store,
        give_up: Callable[[int], None],
        leave: Callable[[str], None],
    ) -> None:
        self.closing = False
        self._process = process
        self._peers = streams
        self._store = store
        self._give_up = give_up
        self._leave = leave
        self._lease: rows.LeaderLease | None = None
        self._since = 0.0
        self._heard_at = 0.0
        self._given_up = 0
        self._handing_over: gevent.Greenlet | None = None
        self._watching: gevent.Greenlet | None = None

    def __enter__(self) -> Failover:
        self._peers.handle(TAKE_OVER, self._serve_take_over)
        self._peers.handle(REACHES, self._serve_reaches)
        self._watching = gevent.spawn(self._watch_coordinator)
        return self

    def __exit__(self, *_exc: object) -> None:
        if self._watching is not None:
            self._watching.kill(block=False)

    def follow(self, held: rows.LeaderLease) -> None:
        """Take note of who holds the seat."""
        self._lease, self._since = held, time.monotonic()
        self._heard_at = self._since

    def heard(self, process: str) -> None:
        """Take note of an announcement of the coordinator."""
        if self._lease is not None and process == self._lease.process:
            self._heard_at = time.monotonic()

    def is_quiet(self) -> bool:
        """Return whether a coordinator of some standing is heard by itself."""
        now = time.monotonic()
        return (
            self._lease is not None
            and now - self._since >= YOUNG_S
            and now - self._heard_at <= SILENT_AFTER_S
        )

    def writes_fail(self, for_s: float) -> None:
        """Look for a process that reaches the store, while this one does not."""
        if for_s < HAND_OVER_AFTER_S:
            return
        if self._handing_over is None or self._handing_over.ready():
            self._handing_over = gevent.spawn(self._hand_over)

    def _hand_over(self) -> None:
        epoch = self._lease.epoch
        names = self._peers.connected()
        random.shuffle(names)
        body = f"{epoch}".encode()
        for name in names[:HAND_OVER_TRIES]:
            answer = self._peers.call(name, TAKE_OVER, body, HAND_OVER_TIMEOUT_S)
            if not isinstance(answer, errors.Failure):
                self._leave(f"handed over to {name}, which reaches the store")
                return

    def _serve_take_over(self, sender: str, body: bytes) -> bytes | errors.Failure:
        """Claim the seat of a coordinator that cannot write."""
        if self.closing:
            return errors.Refused(reason="this process is stopping")
        found = leader_lease.read(self._store)
        if isinstance(found, errors.Failure):
            return found
        structured.decide(log, "seat_offered", by=sender, epoch=body.decode())
        self._give_up(int(body))
        return b""

    def _watch_coordinator(self) -> None:
        """Give up a coordinator to which nobody has a stream any more."""
        missing_since = None
        while True:
            gevent.sleep(WATCH_S)
            held, now = self._lease, time.monotonic()
            connected = self._peers.connected()
            if (
                held is None
                or self.closing
                or held.process == self._process
                or self._reaches(held.process, now)
                or now - self._since < YOUNG_S
            ):
                missing_since = None
                continue
            missing_since = missing_since or now
            rank = sorted([*connected, self._process]).index(self._process)
            if now - missing_since < DEAD_AFTER_S + rank * RANK_DELAY_S:
                continue
            if held.epoch != self._given_up and self._others_miss(held.process):
                structured.decide(
                    log, "coordinator_missing", process=held.process, epoch=held.epoch
                )
                self._given_up = held.epoch
                self._give_up(held.epoch)

    def _others_miss(self, process: str) -> bool:
        """Return whether another process has no stream to it either."""
        for name in self._peers.connected()[:WITNESSES]:
            answer = self._peers.call(
                name, REACHES, process.encode(), HAND_OVER_TIMEOUT_S
            )
            if answer == b"no":
                return True
        return False

    def _serve_reaches(self, _sender: str, body: bytes) -> bytes:
        reached = self._reaches(body.decode(), time.monotonic())
        return b"yes" if reached else b"no"

    def _reaches(self, process: str, now: float) -> bool:
        """Return whether the coordinator is known to be alive."""
        if process == self._process:
            return True
        silent = self._lease is not None and self._lease.process == process
        if silent and now - self._heard_at > SILENT_AFTER_S:
            return False
        return process in self._peers.connected()
