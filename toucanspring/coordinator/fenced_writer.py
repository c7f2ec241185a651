"""Fenced writes of the coordinator: each transaction checks the leader lease.

Transactions are sent one at a time. Each rewrites the lease's row, so that a delayed
transaction that arrives after a later one fails on the version that it checks. Each
renews the lease as well.
"""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Callable, Iterator

import gevent
import logbook
from gevent import event
from msgspec import structs

from toucanspring import errors, uptime
from toucanspring.coordinator import leader_lease, ports, rows

log = logbook.Logger(__name__)

# A transaction takes at most 100 entries, and the lease's row is checked and written.
MAX_ROWS = 95
# Values of a transaction, which grow by a third on the wire: 0.43 s on an idle link of
# 5 Mbit/s, a third of the timeout. A retry must repeat the same rows.
MAX_BYTES = 200_000
RETRY_FIRST_S = 0.02
RETRY_MAX_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PartlyWritten(errors.Failure):
    """The store has refused some rows for good, each by itself; the others are written.

    `refused` gives the reason for each of them.
    """

    refused: dict[ports.RowId, str]


class FencedWriter:
    """Writes rows and renews the leader lease for one epoch."""

    def __init__(
        self,
        store: ports.Store,
        acquired: leader_lease.Acquired,
        store_clock: leader_lease.StoreClock,
        clock: Callable[[], float] = uptime.now,
    ) -> None:
        self._store = store
        self._lease = acquired.lease
        self._version = acquired.version
        self._store_clock = store_clock
        self._clock = clock
        self.lost = False
        # Called after each failed attempt with the seconds since the first attempt.
        self.on_failing: Callable[[float], None] = lambda _for_s: None
        self.committed_at = clock()
        self.writes = 0

    @property
    def epoch(self) -> int:
        """Return the epoch of the lease, which is the fencing token."""
        return self._lease.epoch

    def holds_lease(self, now: float) -> bool:
        """Return whether no other process can have acquired the lease by expiry."""
        return (
            not self.lost and self._store_clock.latest_ms(now) < self._lease.expires_ms
        )

    def overdue_s(self, now: float) -> float:
        """Return the seconds since the lease expired, 0 if it has not."""
        return max(
            0.0, (self._store_clock.latest_ms(now) - self._lease.expires_ms) / 1000
        )

    def commit(
        self, puts: dict[ports.RowId, bytes], removals: tuple[ports.RowId, ...] = ()
    ) -> None | PartlyWritten | errors.Fenced:
        """Write rows and renew the lease; retries until the outcome is certain."""
        refused: dict[ports.RowId, str] = {}
        entries: list[tuple[ports.RowId, bytes | None]] = [
            *puts.items(),
            *((row_id, None) for row_id in removals),
        ]
        while True:
            chunk, size = [], 0
            while entries and len(chunk) < MAX_ROWS:
                size += len(entries[0][1] or b"")
                if chunk and size > MAX_BYTES:
                    break
                chunk.append(entries.pop(0))
            failure = self._write_acceptable(chunk, refused)
            if failure is not None:
                return failure
            if not entries:
                break
        if refused:
            return PartlyWritten(reason="the store refuses rows", refused=refused)
        return None

    def _write_acceptable(
        self,
        chunk: list[tuple[ports.RowId, bytes | None]],
        refused: dict[ports.RowId, str],
    ) -> None | errors.Fenced:
        """Write all rows of a chunk but those that the store refuses by themselves.

        One job's row must not hold up the rows of all others, nor the lease.
        """
        failure = self._write(chunk)
        if not isinstance(failure, ports.Unacceptable):
            return failure
        if len(chunk) == 1:
            refused[chunk[0][0]] = failure.reason
            return None
        middle = len(chunk) // 2
        first = self._write_acceptable(chunk[:middle], refused)
        return first or self._write_acceptable(chunk[middle:], refused)

    @contextlib.contextmanager
    def renew_lease(self) -> Iterator[None]:
        """Renew the lease regularly; no other write may be made in the context."""
        stopping = event.Event()
        renewals = gevent.spawn(self._renew_until, stopping)
        try:
            yield
            stopping.set()
            if not self.lost:
                # The next write checks the version that the last renewal has written.
                renewals.join()
        finally:
            renewals.kill(block=False)

    def _renew_until(self, stopping: event.Event) -> None:
        while not self.lost and not stopping.wait(leader_lease.RENEW_INTERVAL_S):
            self.commit({})

    def release(self) -> None | errors.Failure:
        """Expire the lease now, so that another process can acquire it at once."""
        last = self._next_lease(expires_ms=0)
        answer = self._store.transact(
            {rows.LEADER_LEASE_ROW: self._version},
            {rows.LEADER_LEASE_ROW: rows.encode(last)},
        )
        self.lost = True
        match answer:
            case ports.Rejected():
                return errors.Conflict(
                    reason="another process acquired the leader lease"
                )
            case errors.Failure():
                return answer
        return None

    def _next_lease(self, expires_ms: int) -> rows.LeaderLease:
        return structs.replace(
            self._lease, sequence=self._lease.sequence + 1, expires_ms=expires_ms
        )

    def _write(
        self, chunk: list[tuple[ports.RowId, bytes | None]]
    ) -> None | ports.Unacceptable | errors.Fenced:
        puts = {row_id: value for row_id, value in chunk if value is not None}
        removals = tuple(row_id for row_id, value in chunk if value is None)
        pause = RETRY_FIRST_S
        uncertain = False  # an earlier attempt may have taken effect
        began = self._clock()
        while not self.lost:
            sent_at = self._clock()
            wanted = self._next_lease(
                self._store_clock.latest_ms(sent_at) + leader_lease.LEASE_MS
            )
            answer = self._store.transact(
                {rows.LEADER_LEASE_ROW: self._version},
                {**puts, rows.LEADER_LEASE_ROW: rows.encode(wanted)},
                removals,
            )
            self.writes += 1
            match answer:
                case ports.Committed(at=at):
                    self._apply_committed(wanted, at.version, at.store_ms, sent_at)
                    return None
                case ports.Rejected(rows=found):
                    return self._resolve_rejection(found, uncertain)
                case ports.Unacceptable() if chunk:
                    return answer
                case errors.Ambiguous():
                    uncertain = True
            log.warning("commit {} failed; retrying: {}", wanted.sequence, answer)
            self.on_failing(self._clock() - began)
            gevent.sleep(pause)
            pause = min(RETRY_MAX_S, pause * 2)
        return errors.Fenced(reason="the leader lease was lost", epoch=self.epoch)

    def _resolve_rejection(
        self, found: tuple[ports.Row, ...], uncertain: bool
    ) -> None | errors.Fenced:
        """Return `None` if the lease's row is from an earlier attempt of this write.

        Otherwise another process has written the row, and the lease is lost.
        """
        current = next((row for row in found if row.id == rows.LEADER_LEASE_ROW), None)
        if uncertain and current is not None and current.version:
            stored = rows.decode(rows.LeaderLease, current.value)
            if (
                isinstance(stored, rows.LeaderLease)
                and stored.instance_id == self._lease.instance_id
                and stored.epoch == self.epoch
                and stored.sequence == self._lease.sequence + 1
            ):
                self._lease, self._version = stored, current.version
                self.committed_at = self._clock()
                return None
        self.lost = True
        log.warning("epoch {}: another process acquired the leader lease", self.epoch)
        return errors.Fenced(
            reason="another process acquired the leader lease", epoch=self.epoch
        )

    def _apply_committed(
        self, written: rows.LeaderLease, version: int, store_ms: int, sent_at: float
    ) -> None:
        self._store_clock.update(store_ms, sent_at)
        self._lease, self._version = written, version
        self.committed_at = self._clock()
