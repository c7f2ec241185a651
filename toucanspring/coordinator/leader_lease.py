"""The leader lease: a row in the store that names the coordinator.

The process that holds the lease is the coordinator. The lease expires by the store's
clock, and its epoch, which rises with each new holder, is the fencing token.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable

from toucanspring import errors, uptime
from toucanspring.coordinator import ports, rows

# A failed coordinator is replaced within this time plus one read. With a renewal every
# 0.7 s, two renewals may fail before the coordinator has to stop its work.
LEASE_MS = 2500
RENEW_INTERVAL_S = 0.7
# A holder renews the leases of workers for this long after its own lease has expired,
# since an outage of the store is more likely then than another holder.
STORE_OUTAGE_GRACE_S = 6.0
# Allows for differences between the store's steady clock and the local one, and for
# rounding.
CLOCK_MARGIN_MS = 100


@dataclasses.dataclass(slots=True)
class StoreClock:
    """Upper bound of the store's clock, derived from the times in its replies.

    Local times are seconds of `uptime`.
    """

    _store_ms: int = 0
    _sent_at: float = 0.0
    _known: bool = False

    def update(self, store_ms: int, sent_at: float) -> None:
        """Apply the store time of a reply to a request that was sent at `sent_at`."""
        # The store read its clock after the request was sent, so the offset of each
        # reply is an upper bound; the smallest one is kept.
        if not self._known or (
            store_ms - sent_at * 1000 < self._store_ms - self._sent_at * 1000
        ):
            self._store_ms, self._sent_at, self._known = store_ms, sent_at, True

    def latest_ms(self, now: float) -> int:
        """Return an upper bound of the store's clock at local time `now`, in ms."""
        return self._store_ms + round((now - self._sent_at) * 1000)


class Reason(enum.StrEnum):
    """Why a process acquired the lease."""

    FIRST = "first"  # nobody has held it before
    RESTARTED = "restarted"  # it is from an earlier run of the same process
    EXPIRED = "expired"
    RELEASED = "released"
    OFFERED = "offered"
    MISSING = "missing"  # the holder could not be reached


@dataclasses.dataclass(frozen=True, slots=True)
class Takeover:
    """The epoch of a holder that is to be replaced before its lease expires."""

    epoch: int = 0
    reason: Reason = Reason.MISSING


NO_TAKEOVER = Takeover()


@dataclasses.dataclass(frozen=True, slots=True)
class Acquired:
    """The lease was acquired by this process; `version` is that of its row."""

    lease: rows.LeaderLease
    version: int
    # When the read was sent whose store time the lease counts from, by `uptime`.
    asked_at: float
    # For how many more seconds former coordinators may renew the leases of workers.
    renewals_left_s: float
    # For the log; `predecessor` is its process, empty if there was none.
    predecessor: str = ""
    reason: Reason = Reason.FIRST

    def find_store_clock(self) -> StoreClock:
        """Return the store's clock as the read before the acquisition showed it."""
        found = StoreClock()
        found.update(self.lease.expires_ms - LEASE_MS, self.asked_at)
        return found


@dataclasses.dataclass(frozen=True, slots=True)
class HeldByOther:
    """Another process holds the lease; it can be acquired in `expires_in_s` seconds."""

    lease: rows.LeaderLease
    expires_in_s: float


def is_released(lease: rows.LeaderLease) -> bool:
    """Return whether the holder of a lease has given it up."""
    return lease.expires_ms == 0


def _find_left_s(lease: rows.LeaderLease, store_ms: int, patience_s: float) -> float:
    """Return for how long a lease may not be acquired at store time `store_ms`."""
    if is_released(lease):
        return patience_s
    # It has expired only after the last of the milliseconds.
    left_ms = lease.expires_ms + CLOCK_MARGIN_MS + 1 - store_ms
    return left_ms / 1000 + patience_s


def _find_reason(
    lease: rows.LeaderLease | None, process: str, takeover: Takeover
) -> Reason:
    if lease is None:
        return Reason.FIRST
    if lease.epoch == takeover.epoch:
        return takeover.reason
    if is_released(lease):
        return Reason.RELEASED
    return Reason.RESTARTED if lease.process == process else Reason.EXPIRED


def _find_renewals_end_ms(
    lease: rows.LeaderLease | None, process: str, store_ms: int
) -> int:
    """Return until when the former holders of a lease may renew leases of workers.

    A holder that has released the lease, or an earlier run of `process`, renews none.
    That says nothing of the holders before it, which may be cut off.
    """
    if lease is None:
        return 0
    grace_ms = round(STORE_OUTAGE_GRACE_S * 1000)
    end_ms = lease.renewals_end_ms
    if end_ms is None:
        # All holders before this one were replaced by now.
        end_ms = store_ms + LEASE_MS + grace_ms
    if is_released(lease) or lease.process == process:
        return end_ms
    return max(end_ms, lease.expires_ms + grace_ms)


def read(
    store: ports.Store,
) -> tuple[rows.LeaderLease | None, int, ports.StoreTimestamp] | errors.Failure:
    """Return the lease, the version of its row and the store's time of the reply."""
    key = rows.LEADER_LEASE_ROW.key
    page = store.read(rows.LEADER_LEASE_TABLE, rows.COORDINATOR_PART, key, key + "\0")
    if isinstance(page, errors.Failure):
        return page
    if not page.rows:
        return None, 0, page.at
    row = page.rows[0]
    lease = rows.decode(rows.LeaderLease, row.value)
    if isinstance(lease, errors.Malformed):
        return lease
    return lease, row.version, page.at


def acquire(
    store: ports.Store,
    process: str,
    address: str,
    instance_id: str,
    takeover: Takeover = NO_TAKEOVER,
    patience_s: float = 0.0,
    clock: Callable[[], float] = uptime.now,
) -> Acquired | HeldByOther | errors.Failure:
    """Acquire the lease if it is free, expired or held under the epoch of `takeover`.

    The holder of that epoch is considered failed or has offered its lease. Replacing a
    live holder by mistake is safe and costs only the failover: its writes and its
    orders to workers are fenced from then on.

    A lease that has been released or has expired is left to other processes for
    `patience_s` more. The answer to a released one is then `HeldByOther` with this
    time, after which a takeover of its epoch acquires it.
    """
    asked_at = clock()
    found = read(store)
    if isinstance(found, errors.Failure):
        return found
    lease, version, at = found
    # A lease under this process's name is from an earlier run, which has ended.
    if lease is not None and process != lease.process and lease.epoch != takeover.epoch:
        left_s = _find_left_s(lease, at.store_ms, patience_s)
        if left_s > 0:
            return HeldByOther(lease, left_s)
    epoch = 1 if lease is None else lease.epoch + 1
    renewals_end_ms = _find_renewals_end_ms(lease, process, at.store_ms)
    wanted = rows.LeaderLease(
        process,
        address,
        epoch,
        0,
        at.store_ms + LEASE_MS,
        instance_id,
        renewals_end_ms,
    )
    answer = store.transact(
        {rows.LEADER_LEASE_ROW: version}, {rows.LEADER_LEASE_ROW: rows.encode(wanted)}
    )
    match answer:
        case ports.Committed(at=committed):
            former = "" if lease is None else lease.process
            reason = _find_reason(lease, process, takeover)
            left_s = max(0, renewals_end_ms - at.store_ms) / 1000
            return Acquired(wanted, committed.version, asked_at, left_s, former, reason)
        case ports.Rejected():
            return errors.Conflict(reason="another process acquired the leader lease")
        case _:
            # If the write took effect after all, the next read returns the lease as
            # held by this process.
            return answer
