"""Member rows in the table service; renewals, claims and promises of this process."""

from __future__ import annotations

from collections.abc import Callable

import logbook
import msgspec
from gevent import lock

from toucanspring import errors
from toucanspring.adapters import tables
from toucanspring.cell import ownership

log = logbook.Logger(__name__)

PREFIX = "members/"
# Two polls without a response. Early enough that all members have promised before the
# leases of owners expire.
STORE_UNREACHABLE_S = 1.0
WRITE_ATTEMPTS = 3
MAX_FORMER_LISTS = 3

Rows = dict[str, tables.Row]


class Member(msgspec.Struct, frozen=True):
    """Identity and addresses of a process."""

    process: str
    incarnation: int
    address: str
    peer_port: int
    http_port: int
    availability_zone: str


class MemberRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row `members/<process>`; majorities are counted over the list `known`.

    `gone` is set once operators have confirmed that no incarnation up to this one runs.
    """

    member: Member
    counter: int = 0
    known: list[str] = []
    settled: list[int] = []  # owned partitions whose former owners are gone
    draining: bool = False
    # Member lists by former incarnation of this process, for their successors.
    former: dict[str, list[str]] = {}
    gone: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MemberRow)


def key_of(process: str) -> str:
    """Return the key of a process's member row."""
    return PREFIX + process


def encode_row(row: MemberRow) -> bytes:
    """Encode a member row."""
    return _encoder.encode(row)


def decode_row(row: tables.Row) -> MemberRow | None:
    """Decode a member row; `None` if it is absent or malformed."""
    if not row.version:
        return None
    try:
        return _decoder.decode(row.value)
    except msgspec.MsgspecError as error:
        log.error("malformed member row: {}", error)
        return None


class RenewalHooks:
    """Ownership rows that each renewal checks; implemented by `claims`."""

    def expected_versions(self) -> dict[str, int]:
        """Return the versions of the ownership rows of owned partitions."""
        return {}

    def handle_conflict(self, rows: Rows) -> None:
        """Handle a change of an ownership row that a renewal has found."""

    def settled(self) -> list[int]:
        """Return the owned partitions whose former owners are gone."""
        return []

    def owned(self) -> dict[int, int]:
        """Return the epoch of each owned partition."""
        return {}

    def recorded_owners(self) -> set[str] | None:
        """Return the processes in ownership rows; `None` unless all rows are known."""
        return set()


class LocalMember:
    """Member row and lease of this process.

    All writes go through `write`, so that a claim and a renewal with a lost response
    are resolved in the same way: by the counter in the row.
    """

    def __init__(
        self,
        identity: Member,
        timing: ownership.Timing,
        clock: Callable[[], float],
        client: Callable[[], tables.TableClient],
        list_members: Callable[[], list[str]],
    ) -> None:
        self.identity = identity
        self.timing = timing
        self.hooks = RenewalHooks()
        self.lease = ownership.Lease()
        # Each member list that the row may contain; two after a lost response.
        self.possible_member_lists: list[list[str]] = []
        self.draining = False
        self.replaced = False  # another incarnation has taken this process's name
        self.started_at = clock()
        # A former incarnation may have promised until just before the start.
        self.promised_at = self.started_at
        self.last_contact_at = ownership.NEVER
        self.registered_at = -ownership.NEVER  # when the row was first written
        self._clock = clock
        self._client = client
        self._list_members = list_members
        self._version = 0
        self._counter = 0
        self._former: dict[str, list[str]] = {}
        self._claims_in_flight = 0
        self._claim_unresolved = False
        self._registered = False
        self._lock = lock.RLock()

    @property
    def key(self) -> str:
        """Return the key of the row."""
        return key_of(self.identity.process)

    # Promises

    def store_contact_age(self, now: float) -> float:
        """Return seconds since the last request that the store answered was sent."""
        return now - max(self.last_contact_at, self.started_at)

    def record_contact(self, sent_at: float) -> None:
        """Record that the store answered a request sent at `sent_at`."""
        self.last_contact_at = max(self.last_contact_at, sent_at)

    def try_promise(self, now: float) -> bool:
        """Promise to claim nothing if the store is unreachable; return whether done.

        A claim with a lost response may take effect until a later write of the member
        row, whose version the claim checks, has succeeded. Until then no promise is
        made.
        """
        if self.store_contact_age(now) < STORE_UNREACHABLE_S:
            return False
        if self._claims_in_flight or self._claim_unresolved:
            return False
        self.promised_at = now
        return True

    def extend(self, promises: dict[str, float], now: float) -> None:
        """Extend the lease by promises of members."""
        if self.lease.ended:
            return
        self.lease = ownership.extend(
            self.lease, self.possible_member_lists, promises, now, self.timing
        )
        if self.lease.ended:
            log.warning(
                "ownership has ended: neither the store nor a majority is reachable"
            )

    # Writes

    def write(
        self,
        checks: Rows | None = None,
        writes: dict[str, bytes] | None = None,
        claim: bool = False,
    ) -> tables.Committed | errors.Failure:
        """Renew the member row, with further checks and writes in the transaction.

        The renewal checks the ownership rows, so a success proves that no other
        process has claimed a partition of this one.
        """
        with self._lock:
            if self.replaced:
                return errors.Fenced(reason="another process uses this name")
            self._claims_in_flight += claim
            try:
                return self._write(checks or {}, writes or {}, claim)
            finally:
                self._claims_in_flight -= claim

    def remove(self) -> None:
        """Delete the row at shutdown, unless an ownership row still needs it."""
        with self._lock:
            owners = self.hooks.recorded_owners()
            if not self._registered or self.replaced or owners is None:
                return
            if self.identity.process not in owners:
                self._client().transact({self.key: self._version}, {}, [self.key])

    def _write(
        self, checks: dict[str, int], writes: dict[str, bytes], claim: bool
    ) -> tables.Committed | errors.Failure:
        result: tables.Committed | errors.Failure = errors.Unavailable()
        for _ in range(WRITE_ATTEMPTS):
            if not self._registered:
                failure = self._register()
                if failure is not None:
                    return failure
            # A promise may have been made while this write waited for the lock.
            promise_age_s = self._clock() - self.promised_at
            if claim and promise_age_s < self.timing.promise_expiry_s:
                return errors.Refused(
                    reason="this process has promised to claim nothing"
                )
            checked_keys = {self.key, *self.hooks.expected_versions()}
            result = self._attempt(checks, writes)
            if (
                not isinstance(result, errors.Conflict)
                or result.key not in checked_keys
            ):
                return result
            conflict_failure = self._handle_conflict()
            if conflict_failure is not None:
                return conflict_failure
        return result

    def _attempt(
        self, checks: dict[str, int], writes: dict[str, bytes]
    ) -> tables.Committed | errors.Failure:
        # Unique to the attempt: an earlier one whose response was lost may have taken
        # effect, and its lease counts from its own send time.
        self._counter += 1
        counter = self._counter
        known = self._list_members()
        row = MemberRow(
            member=self.identity,
            counter=counter,
            known=known,
            settled=self.hooks.settled(),
            draining=self.draining,
            former=self._former,
        )
        if known not in self.possible_member_lists:
            self.possible_member_lists.append(known)
        if writes:
            self._claim_unresolved = True
        sent_at = self._clock()
        result = self._client().transact(
            {**self.hooks.expected_versions(), **checks, self.key: self._version},
            {**writes, self.key: _encoder.encode(row)},
        )
        if isinstance(result, errors.Ambiguous):
            result = self._resolve_ambiguous(counter, result, writes)
        match result:
            case tables.Committed(versions=versions):
                self._version = versions[self.key]
                self.possible_member_lists = [known]
                self._claim_unresolved = False
                self.record_contact(sent_at)
                self.registered_at = min(self.registered_at, self._clock())
                self.lease = ownership.renew(self.lease, sent_at, self.timing)
                for key, value in writes.items():
                    if versions[key] == 0:
                        return self._overwritten(key, value)
            case errors.Conflict():
                self.record_contact(sent_at)
        return result

    def _resolve_ambiguous(
        self, counter: int, lost: errors.Ambiguous, writes: dict[str, bytes]
    ) -> tables.Committed | errors.Failure:
        """Find out whether a transaction with a lost response took effect.

        A further row that another process has changed since is reported as version 0.
        """
        rows = self._client().read([self.key, *writes])
        if isinstance(rows, errors.Failure):
            return lost
        current = decode_row(rows[self.key])
        if (
            current is None
            or current.member.incarnation != self.identity.incarnation
            or current.counter != counter
        ):
            return errors.Unavailable(
                reason=f"the write did not take effect: {lost.reason}"
            )
        versions = {
            key: rows[key].version if rows[key].value == value else 0
            for key, value in writes.items()
        }
        return tables.Committed({**versions, self.key: rows[self.key].version})

    @staticmethod
    def _overwritten(key: str, value: bytes) -> errors.Conflict:
        return errors.Conflict(
            reason=f"row {key} of {len(value)} bytes was written and then changed",
            key=key,
        )

    def _register(self) -> errors.Failure | None:
        """Read the row of a former incarnation of this process before replacing it."""
        sent_at = self._clock()
        rows = self._client().read([self.key])
        if isinstance(rows, errors.Failure):
            return rows
        self.record_contact(sent_at)
        row = rows[self.key]
        previous = decode_row(row)
        if previous is not None and previous.member != self.identity:
            kept = list(previous.former.items())[-MAX_FORMER_LISTS:]
            incarnation = str(previous.member.incarnation)
            self._former = {**dict(kept), incarnation: previous.known}
        self._version = row.version
        self._registered = True
        return None

    def _handle_conflict(self) -> None | errors.Failure:
        """Read the rows again to find the reason for a conflict of a renewal."""
        rows = self._client().read([self.key, *self.hooks.expected_versions()])
        if isinstance(rows, errors.Failure):
            return rows
        row = rows[self.key]
        current = decode_row(row)
        if current is not None:
            if current.member.incarnation != self.identity.incarnation:
                self.replaced = True
                self.lease = ownership.Lease()
                log.critical(
                    "another process runs under the name {}", self.identity.process
                )
                return errors.Fenced(reason="another process uses this name")
            self._counter = max(self._counter, current.counter)
        self._version = row.version
        self.hooks.handle_conflict(rows)
        return None
