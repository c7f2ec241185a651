"""The leader lease: a row in the store that names the coordinator.

The process that holds the lease is the coordinator. The lease expires by the store's
clock, and its epoch, which rises with each new holder, is the fencing token.
"""

from __future__ import annotations

import dataclasses

from toucanspring import errors
from toucanspring.coordinator import ports, rows

# A failed coordinator is replaced within this time plus one read. With a renewal every
# 0.7 s, two renewals may fail before the coordinator has to stop its work.
LEASE_MS = 2500
RENEW_INTERVAL_S = 0.7
# Allows for differences between the store's steady clock and the local one, and for
# rounding.
CLOCK_MARGIN_MS = 100


@dataclasses.dataclass(slots=True)
class StoreClock:
    """Upper bound of the store's clock, derived from the times in its replies.

    Local times are monotonic seconds.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Acquired:
    """The lease was acquired by this process; `version` is that of its row."""

    lease: rows.LeaderLease
    version: int
    # Whether the previous coordinator may still be running and renewing worker leases,
    # and for how many more seconds it may consider its own lease valid.
    predecessor_may_run: bool
    predecessor_lease_left_s: float = 0.0
    predecessor: str = ""  # its process, for the log; empty if there was none


@dataclasses.dataclass(frozen=True, slots=True)
class HeldByOther:
    """Another process holds the lease; it can be acquired in `expires_in_s` seconds."""

    lease: rows.LeaderLease
    expires_in_s: float


def is_expired(lease: rows.LeaderLease, store_ms: int) -> bool:
    """Return whether another process may acquire a lease at store time `store_ms`."""
    return store_ms > lease.expires_ms + CLOCK_MARGIN_MS


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
    takeover_epoch: int = 0,
) -> Acquired | HeldByOther | errors.Failure:
    """Acquire the lease if it is free, expired or held under epoch `takeover_epoch`.

    `takeover_epoch` is the epoch of a holder that is considered failed or that has
    offered its lease. Replacing a live holder by mistake is safe and costs only the
    failover: its writes and its orders to workers are fenced from then on.
    """
    found = read(store)
    if isinstance(found, errors.Failure):
        return found
    lease, version, at = found
    if lease is not None:
        # A lease under this process's name is from an earlier run, which has ended.
        free = lease.process == process or lease.epoch == takeover_epoch
        if not free and not is_expired(lease, at.store_ms):
            left_ms = lease.expires_ms + CLOCK_MARGIN_MS - at.store_ms
            return HeldByOther(lease, left_ms / 1000)
    epoch = 1 if lease is None else lease.epoch + 1
    wanted = rows.LeaderLease(
        process, address, epoch, 0, at.store_ms + LEASE_MS, instance_id
    )
    answer = store.transact(
        {rows.LEADER_LEASE_ROW: version}, {rows.LEADER_LEASE_ROW: rows.encode(wanted)}
    )
    match answer:
        case ports.Committed(at=committed):
            may_run = lease is not None and lease.expires_ms > 0
            former = "" if lease is None else lease.process
            if not may_run or former == process:
                return Acquired(wanted, committed.version, False, 0.0, former)
            left_s = max(0, lease.expires_ms - at.store_ms) / 1000
            return Acquired(wanted, committed.version, True, left_s, former)
        case ports.Rejected():
            return errors.Conflict(reason="another process acquired the leader lease")
        case _:
            # If the write took effect after all, the next read returns the lease as
            # held by this process.
            return answer
