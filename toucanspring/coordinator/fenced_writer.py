"""Writes of the coordinator: one transaction at a time, each of which checks the seat.

Each transaction rewrites the seat's row, so that one that takes effect late, after a
later one, fails on the version it checks. It renews the lease as well.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
import logbook

from toucanspring import errors
from toucanspring.coordinator import leader_lease, ports, rows

log = logbook.Logger(__name__)

# A transaction takes 100 entries; the seat's row is checked and written.
MAX_ROWS = 95
MAX_BYTES = 700_000  # of 1 MB, since values grow by a third on the wire
RETRY_FIRST_S = 0.02
RETRY_MAX_S = 0.3


class Ledger:
    """Own the seat's row for one tenure."""

    def __init__(
        self,
        store: ports.Store,
        tenure: leader_lease.Tenure,
        store_clock: leader_lease.StoreClock,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._seat = tenure.seat
        self._version = tenure.version
        self._store_clock = store_clock
        self._clock = clock
        self.lost = False
        # Called while writes fail, at most once for each try.
        self.on_failing: Callable[[float], None] = lambda _for_s: None
        self.committed_at = clock()
        self.writes = 0

    @property
    def epoch(self) -> int:
        """Return the fencing token of this tenure."""
        return self._seat.epoch

    def holds(self, now: float) -> bool:
        """Return whether no other process can have taken the seat."""
        return not self.lost and self._store_clock.latest(now) < self._seat.expires_ms

    def overdue_s(self, now: float) -> float:
        """Return for how long the lease has been over."""
        return max(0.0, (self._store_clock.latest(now) - self._seat.expires_ms) / 1000)

    def commit(
        self, puts: dict[ports.Place, bytes], removals: tuple[ports.Place, ...] = ()
    ) -> None | errors.Fenced:
        """Write rows and renew the lease; returns once the outcome is certain."""
        entries: list[tuple[ports.Place, bytes | None]] = [
            *puts.items(),
            *((place, None) for place in removals),
        ]
        while True:
            chunk, size = [], 0
            while entries and len(chunk) < MAX_ROWS and size < MAX_BYTES:
                entry = entries.pop(0)
                chunk.append(entry)
                size += len(entry[1] or b"")
            failure = self._write(chunk)
            if failure is not None or not entries:
                return failure

    def release(self) -> None | errors.Failure:
        """End the lease now, so that another process need not wait for it."""
        last = self._next(expires_ms=0)
        answer = self._store.transact(
            {rows.SEAT_PLACE: self._version}, {rows.SEAT_PLACE: rows.encode(last)}
        )
        self.lost = True
        match answer:
            case ports.Rejected():
                return errors.Conflict(reason="another process took the seat")
            case errors.Failure():
                return answer
        return None

    def _next(self, expires_ms: int) -> rows.Seat:
        held = self._seat
        return rows.Seat(
            held.process,
            held.address,
            held.epoch,
            held.commit + 1,
            expires_ms,
            held.life,
        )

    def _write(
        self, chunk: list[tuple[ports.Place, bytes | None]]
    ) -> None | errors.Fenced:
        puts = {place: value for place, value in chunk if value is not None}
        removals = tuple(place for place, value in chunk if value is None)
        pause = RETRY_FIRST_S
        uncertain = False  # an earlier attempt may have taken effect
        began = self._clock()
        while not self.lost:
            sent = self._clock()
            wanted = self._next(self._store_clock.latest(sent) + leader_lease.LEASE_MS)
            answer = self._store.transact(
                {rows.SEAT_PLACE: self._version},
                {**puts, rows.SEAT_PLACE: rows.encode(wanted)},
                removals,
            )
            self.writes += 1
            match answer:
                case ports.Committed(at=at):
                    self._take(wanted, at.version, at.store_ms, sent)
                    return None
                case ports.Rejected(rows=found):
                    return self._resolve(found, uncertain)
                case errors.Ambiguous():
                    uncertain = True
            log.warning("commit {}: {}", wanted.commit, answer)
            self.on_failing(self._clock() - began)
            gevent.sleep(pause)
            pause = min(RETRY_MAX_S, pause * 2)
        return errors.Fenced(reason="the seat was lost", epoch=self.epoch)

    def _resolve(
        self, found: tuple[ports.Row, ...], uncertain: bool
    ) -> None | errors.Fenced:
        """Tell an earlier attempt of the same commit from another holder's write."""
        current = next((row for row in found if row.place == rows.SEAT_PLACE), None)
        if uncertain and current is not None and current.version:
            now_held = rows.decode(rows.Seat, current.value)
            if (
                isinstance(now_held, rows.Seat)
                and now_held.life == self._seat.life
                and now_held.epoch == self.epoch
                and now_held.commit == self._seat.commit + 1
            ):
                self._seat, self._version = now_held, current.version
                self.committed_at = self._clock()
                return None
        self.lost = True
        log.warning("epoch {}: another process took the seat", self.epoch)
        return errors.Fenced(reason="another process took the seat", epoch=self.epoch)

    def _take(
        self, written: rows.Seat, version: int, store_ms: int, sent: float
    ) -> None:
        self._store_clock.take(store_ms, sent)
        self._seat, self._version = written, version
        self.committed_at = self._clock()
