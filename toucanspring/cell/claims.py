"""Service `claims`: claims, renewals and releases of partitions by this process."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping

import gevent
import logbook
from gevent import event

from toucanspring import errors
from toucanspring.adapters import tables
from toucanspring.cell import (
    assignment,
    former_owners,
    heartbeat,
    layout,
    member_rows,
    membership,
    ownership,
    ownership_rows,
)
from toucanspring.reporting import deliveries, event_kinds

log = logbook.Logger(__name__)

# A process waits this long before a claim for each process that is ranked above it.
RANK_DELAY_S = 1.0
# Rebalancing starts only after this time, since processes that restart together come
# back one after the other.
REBALANCE_AFTER_S = 10.0
# How long a release waits for listeners of `PartitionLost` to write pending records.
DELIVERY_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """Owner of a partition."""

    process: str
    incarnation: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionAcquired:
    """Event: this process now owns a partition."""

    partition: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionLost:
    """Event: this process no longer owns a partition.

    `superseded` is set if another process owns it, so that the partition's log accepts
    no more records of this process.
    """

    partition: int
    superseded: bool = False


@dataclasses.dataclass(slots=True)
class OwnedPartition:
    """State of a partition that this process owns."""

    epoch: int
    version: int
    claimed_at: float
    former: list[list[str]]  # empty once all former owners are gone


class Service(member_rows.RenewalHooks):
    """Claim, renew and release partitions (kernel name `claims`)."""

    def __init__(self, kernel: object, settings: object) -> None:
        del settings
        self._kernel = kernel
        self._owned: dict[int, OwnedPartition] = {}
        self._rows: dict[int, ownership_rows.VersionedRow] = {}
        self._claimable_since: dict[int, float] = {}
        self._unbalanced_since: float | None = None
        self._preferred = assignment.PreferredOwnersCache()
        # A listener may write the log of a partition and wait for the store, which must
        # not delay renewals and polls.
        self._deliveries = deliveries.Deliveries(kernel)
        self._members: membership.Service | None = None
        self._layout: layout.Service | None = None
        # Rebalancing does not hand over a partition for which this returns true.
        self.is_pinned: Callable[[int], bool] = lambda _partition: False

    def start(self) -> None:
        """Poll the ownership rows; claims are made after each poll."""
        self._deliveries.start()
        self._members = self._kernel.find("membership")
        self._layout = self._kernel.find("layout")
        self._members.local_member.hooks = self
        self._members.on_heartbeat(self._handle_heartbeat)
        self._members.watch(
            lambda: [
                ownership_rows.key_of(partition) for partition in range(self._count)
            ],
            self._handle_rows,
        )

    def stop(self) -> None:
        """Release all partitions."""
        self._release(list(self._owned), "stopping")
        self._deliveries.stop()

    # Interface

    @property
    def _count(self) -> int:
        return self._layout.layout.count

    def owned(self) -> dict[int, int]:
        """Return the epoch of each owned partition."""
        return {partition: entry.epoch for partition, entry in self._owned.items()}

    def owner_of(self, partition: int) -> Owner | errors.NotFound:
        """Return the owner of a partition as last read or announced by a heartbeat."""
        found = self._rows.get(partition)
        epoch = found.row.epoch if found else 0
        for name, message in self._members.peer_states().items():
            claimed = message.owned.get(partition, 0)
            # A heartbeat announces a claim earlier than the next poll reads it.
            if claimed > epoch:
                return Owner(name, message.incarnation, claimed)
        if found is None or not found.row.process:
            return errors.NotFound(reason=f"partition {partition} has no owner")
        row = found.row
        return Owner(row.process, row.incarnation, row.epoch)

    def may_start(self, partition: int, now: float) -> bool:
        """Return whether tasks of an owned partition may be started."""
        return partition in self._owned and (
            self._members.lease_state(now) is not ownership.LeaseState.NARROWED
        )

    def may_renew_workers(self, partition: int, now: float) -> bool:
        """Return whether worker leases of an owned partition may be renewed."""
        return self.may_start(partition, now)

    def row_version(self, partition: int) -> int:
        """Return the version of the ownership row for checks in transactions."""
        owned = self._owned.get(partition)
        # No row ever has version -1, so the check for a lost partition always fails.
        return owned.version if owned else -1

    def previous_owner_gone(self, partition: int, now: float) -> bool:
        """Return whether no former owner's lease can be extended any more.

        Workers that a former owner renewed last may still run tasks until their worker
        leases expire.
        """
        owned = self._owned.get(partition)
        if owned is None:
            return False
        if owned.former:
            promise_free = self._members.promise_free()
            owned.former = [
                members
                for members in owned.former
                if not ownership.extension_ended(
                    members, promise_free, owned.claimed_at, now, self._members.timing
                )
            ]
        return not owned.former

    def release(self, partition: int, reason: str = "fenced") -> None | errors.Failure:
        """Release a partition; `PartitionLost` is delivered before the row changes.

        If the store does not answer, the successor has to wait for the lease to expire.
        """
        return self._release([partition] if partition in self._owned else [], reason)

    def _release(self, partitions: list[int], reason: str) -> None | errors.Failure:
        """Release partitions in one transaction; a slow store delays them only once."""
        if not partitions:
            return None
        checks, rows, delivered = {}, {}, []
        for partition in partitions:
            owned = self._owned[partition]
            self.previous_owner_gone(partition, self._members.clock())
            checks[ownership_rows.key_of(partition)] = owned.version
            rows[partition] = ownership_rows.PartitionRow(
                epoch=owned.epoch, former=owned.former
            )
            delivered.append(self._remove(partition))
            self._kernel.publish(
                event_kinds.PartitionReleased(partition, owned.epoch, reason)
            )
        gevent.wait(delivered, timeout=DELIVERY_TIMEOUT_S)
        writes = {
            ownership_rows.key_of(p): ownership_rows.encode(row)
            for p, row in rows.items()
        }
        result = self._members.local_member.write(checks, writes)
        if isinstance(result, errors.Failure):
            log.warning("cannot release partitions {}: {}", partitions, result.reason)
            return result
        for partition, row in rows.items():
            self._rows[partition] = ownership_rows.VersionedRow(
                result.versions[ownership_rows.key_of(partition)], row
            )
        return None

    # Hooks of renewals

    def expected_versions(self) -> dict[str, int]:
        """Return the versions of the ownership rows of owned partitions."""
        return {
            ownership_rows.key_of(partition): owned.version
            for partition, owned in self._owned.items()
        }

    def settled(self) -> list[int]:
        """Return the owned partitions whose former owners are gone."""
        now = self._members.clock()
        return [
            partition
            for partition in self._owned
            if self.previous_owner_gone(partition, now)
        ]

    def handle_conflict(self, rows: Mapping[str, tables.Row]) -> None:
        """Drop each partition whose ownership row was changed or deleted."""
        self._drop_changed(
            lambda owned, row: row is not None and row.version != owned.version,
            rows,
        )

    def recorded_owners(self) -> set[str] | None:
        """Return the processes in ownership rows; `None` unless all rows are known."""
        if any(number not in self._rows for number in range(self._count)):
            return None
        return {known.row.process for known in self._rows.values() if known.row.process}

    def _drop_changed(
        self,
        changed: Callable[[OwnedPartition, tables.Row | None], bool],
        rows: Mapping[str, tables.Row],
    ) -> None:
        for partition, owned in list(self._owned.items()):
            if changed(owned, rows.get(ownership_rows.key_of(partition))):
                log.warning("partition {} was claimed by another process", partition)
                self._drop(partition, owned)

    def _handle_heartbeat(
        self, sender: str, message: heartbeat.Heartbeat, _echoed_at: float
    ) -> None:
        """Drop each partition that another process owns with a later epoch.

        This is the only way in which a process that alone cannot reach the store learns
        of its successor. Otherwise callers would wait for a log that it cannot write.
        """
        for partition, epoch in message.owned.items():
            owned = self._owned.get(partition)
            if owned is not None and owned.epoch < epoch:
                log.warning("partition {} was claimed by {}", partition, sender)
                self._drop(partition, owned)

    def _drop(self, partition: int, owned: OwnedPartition) -> None:
        self._remove(partition, superseded=True)
        self._kernel.publish(event_kinds.OwnershipEnded(partition, owned.epoch))

    # Claims

    def _remove(self, partition: int, superseded: bool = False) -> event.Event:
        del self._owned[partition]
        return self._deliveries.publish(PartitionLost(partition, superseded))

    def _handle_rows(self, rows: Mapping[str, tables.Row], sent_at: float) -> None:
        del sent_at
        for key, row in rows.items():
            partition = int(key.removeprefix(ownership_rows.PREFIX))
            current = ownership_rows.decode_row(row)
            last = self._rows.get(partition)
            if current is None or (last is not None and row.version < last.version):
                continue
            self._rows[partition] = ownership_rows.VersionedRow(row.version, current)
        # These rows may have been read before a claim of this process, so only newer
        # ones count.
        self._drop_changed(
            lambda owned, row: row is not None and row.version > owned.version,
            rows,
        )
        self._release_surplus()
        self._claim_all()
        self._rebalance()

    def _release_surplus(self) -> None:
        """Release partitions beyond the partition count after it has been reduced."""
        surplus = [number for number in self._owned if number >= self._count]
        if surplus:
            log.info("releasing partitions {} beyond the partition count", surplus)
            self._release(surplus)
        for number in [each for each in self._rows if each >= self._count]:
            del self._rows[number]

    def _claim_all(self) -> None:
        """Claim partitions without a live owner, with a delay by preference."""
        members = self._members
        now = members.clock()
        candidates = members.candidates()
        preferred = self._preferred.get(self._count, candidates)
        own = members.identity.process
        if own not in candidates:
            return
        for partition in range(self._count):
            if partition in self._owned or partition not in self._rows:
                continue
            if not self._is_claimable(partition, now):
                self._claimable_since.pop(partition, None)
                continue
            since = self._claimable_since.setdefault(partition, now)
            ranked = assignment.rank(partition, candidates)
            ranked.remove(preferred[partition])
            rank = [preferred[partition], *ranked].index(own)
            if now - since >= rank * RANK_DELAY_S:
                self._claim(partition)

    def _is_claimable(self, partition: int, now: float) -> bool:
        members = self._members
        row = self._rows[partition].row
        own = members.identity
        if (row.process, row.incarnation) == (own.process, own.incarnation):
            return True  # a claim of this process whose response was lost
        expired = not row.process or ownership.is_lease_expired(
            members.observations.get(row.process), row.incarnation, now, members.timing
        )
        return ownership.may_claim(
            expired, members.local_member.promised_at, now, members.timing
        )

    def _claim(self, partition: int) -> None:
        known = self._rows[partition]
        row = known.row
        members = self._members
        own = members.identity
        claim = ownership_rows.PartitionRow(
            process=own.process,
            incarnation=own.incarnation,
            epoch=row.epoch + 1,
            former=former_owners.former_member_lists(members, partition, row),
        )
        checks = {ownership_rows.key_of(partition): known.version}
        if row.process and row.process != own.process:
            # Makes the claim fail if the owner has renewed its lease in the meantime.
            seen = members.rows.get(row.process)
            checks[member_rows.key_of(row.process)] = seen[0] if seen else 0
        writes = {ownership_rows.key_of(partition): ownership_rows.encode(claim)}
        result = members.local_member.write(checks, writes, claim=True)
        if isinstance(result, errors.Failure):
            log.info("claim of partition {} failed: {}", partition, result.reason)
            return
        version = result.versions[ownership_rows.key_of(partition)]
        self._rows[partition] = ownership_rows.VersionedRow(version, claim)
        self._claimable_since.pop(partition, None)
        self._owned[partition] = OwnedPartition(
            claim.epoch, version, members.clock(), claim.former
        )
        log.info("claimed partition {} with epoch {}", partition, claim.epoch)
        reason = former_owners.explain_claim(row, own)
        self._kernel.publish(
            event_kinds.PartitionClaimed(partition, claim.epoch, row.process, reason)
        )
        self._deliveries.publish(PartitionAcquired(partition, claim.epoch))

    def _rebalance(self) -> None:
        """Release one partition if this process has owned too many for some time."""
        members = self._members
        candidates = members.candidates()
        now = members.clock()
        limit = -(-self._count // max(len(candidates), 1))
        if len(self._owned) <= limit or len(self._rows) < self._count:
            self._unbalanced_since = None
            return
        if self._unbalanced_since is None:
            self._unbalanced_since = now
        if now - self._unbalanced_since < REBALANCE_AFTER_S:
            return
        self._unbalanced_since = now
        preferred = self._preferred.get(self._count, candidates)
        own = members.identity.process
        movable = [
            p for p in self._owned if preferred[p] != own and not self.is_pinned(p)
        ]
        if movable:
            log.info(
                "releasing partition {} for {} to rebalance",
                movable[0],
                preferred[movable[0]],
            )
            self.release(movable[0], "even_out")
