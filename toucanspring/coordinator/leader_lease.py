"""The lease on coordination: one row in the store, on the store's own clock."""

from __future__ import annotations

import dataclasses

from toucanspring import errors
from toucanspring.coordinator import ports, rows

# A coordinator that dies is replaced within this time and one read. With a renewal
# every 0.7 s, two may fail before work has to stop.
LEASE_MS = 2500
RENEW_S = 0.7
# Differences between the store's steady clock and ours, and rounding.
MARGIN_MS = 100


@dataclasses.dataclass(slots=True)
class StoreClock:
    """Bound the store's clock from its answers; times are monotonic seconds."""

    _store_ms: int = 0
    _sent_at: float = 0.0
    _known: bool = False

    def take(self, store_ms: int, sent_at: float) -> None:
        """Take in an answer to a request that was sent at `sent_at`."""
        # The store read its clock after the request was sent.
        if not self._known or (
            store_ms - sent_at * 1000 < self._store_ms - self._sent_at * 1000
        ):
            self._store_ms, self._sent_at, self._known = store_ms, sent_at, True

    def latest(self, now: float) -> int:
        """Return a time that the store's clock has not passed yet."""
        return self._store_ms + round((now - self._sent_at) * 1000)


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """Hold the seat that this process took."""

    seat: rows.Seat
    version: int
    # Whether the coordinator before may still renew leases of workers, and for how
    # many seconds it may still hold the seat by its own clock.
    predecessor_may_live: bool
    predecessor_holds_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Say who holds the seat, and when it may be read again (seconds)."""

    seat: rows.Seat
    expires_in_s: float


def is_expired(seat: rows.Seat, store_ms: int) -> bool:
    """Return whether a seat may be taken by another process."""
    return store_ms > seat.expires_ms + MARGIN_MS


def read(
    store: ports.Store,
) -> tuple[rows.Seat | None, int, ports.Moment] | errors.Failure:
    """Return the seat, its version and the moment of the answer."""
    key = rows.SEAT_PLACE.key
    page = store.read(rows.SEAT, rows.COORDINATOR_PART, key, key + "\0")
    if isinstance(page, errors.Failure):
        return page
    if not page.rows:
        return None, 0, page.at
    row = page.rows[0]
    seat = rows.decode(rows.Seat, row.value)
    if isinstance(seat, errors.Malformed):
        return seat
    return seat, row.version, page.at


def claim(
    store: ports.Store, process: str, address: str, life: str, vacated: int = 0
) -> Tenure | Held | errors.Failure:
    """Take the seat if nobody holds it, or its holder of epoch `vacated` is given up.

    To give a live holder up by mistake does no harm but the takeover: its writes and
    its orders are refused from then on.
    """
    found = read(store)
    if isinstance(found, errors.Failure):
        return found
    seat, version, at = found
    if seat is not None:
        # An earlier life of this very process has ended, or this one would not run.
        free = seat.process == process or seat.epoch == vacated
        if not free and not is_expired(seat, at.store_ms):
            left_ms = seat.expires_ms + MARGIN_MS - at.store_ms
            return Held(seat, left_ms / 1000)
    epoch = 1 if seat is None else seat.epoch + 1
    wanted = rows.Seat(process, address, epoch, 0, at.store_ms + LEASE_MS, life)
    answer = store.transact(
        {rows.SEAT_PLACE: version}, {rows.SEAT_PLACE: rows.encode(wanted)}
    )
    match answer:
        case ports.Committed(at=moment):
            may_live = seat is not None and seat.expires_ms > 0
            if not may_live or seat.process == process:
                return Tenure(wanted, moment.version, False)
            left_ms = max(0, seat.expires_ms - at.store_ms)
            return Tenure(wanted, moment.version, True, left_ms / 1000)
        case ports.Rejected():
            return errors.Conflict(reason="another process took the seat")
        case _:
            # If the claim took effect after all, the next read shows it as our own.
            return answer
