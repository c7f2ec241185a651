"""Service `documents`: configuration, keys and availability zones in force here."""

from __future__ import annotations

import dataclasses
import hmac
from collections.abc import Callable, Mapping

import gevent
import logbook
import msgspec
from gevent import event, pool

from toucanspring import errors
from toucanspring.adapters import tables
from toucanspring.cell import freshness, heartbeat, member_rows, membership, ownership
from toucanspring.configuration import changes, confirmation, records
from toucanspring.reporting import event_kinds

log = logbook.Logger(__name__)

MAX_SOURCE_BYTES = 512 << 10
# Versions that `history` returns at most.
HISTORY_PAGE = 100
FETCH_TIMEOUT_S = 2.0
RETRY_S = 0.1
# A single stale head may be a read that a change has overtaken. This many in a row
# mean that the store has lost changes, which is logged.
STALE_HEADS_PER_ERROR = 4


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A configuration version came into force in this process."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeysChanged:
    """A version of the keys came into force in this process."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class AvailabilityZonesChanged:
    """A version of the zones came into force in this process."""

    version: int
    out: frozenset[str]


def import_parser() -> Callable[[str], object]:
    """Return the parser of the configuration."""
    from toucanspring.configuration import reader

    return reader.parse


class Service:
    """Manage the documents in force in this process."""

    def __init__(
        self,
        kernel: object,
        settings: object,
        parse: Callable[[str], object] | None = None,
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._parse = parse or import_parser()
        self._documents: dict[str, records.Document] = {
            name: row.kind() for name, row in records.ROWS.items()
        }
        self._cell = self._parse("")
        self._view = freshness.View()
        self._target_versions = freshness.Versions()
        self._validity = ownership.Lease()
        self._has_read_head = False
        self._stale_heads = 0
        self._pending_head: tuple[freshness.Versions, float] | None = None
        self._wake = event.Event()
        self._greenlets = pool.Group()
        self._members: membership.Service | None = None
        self.confirmation: confirmation.Confirmation | None = None

    def start(self) -> None:
        """Follow the head row and the versions that other processes announce."""
        self._members = self._kernel.find("membership")
        self.confirmation = confirmation.Confirmation(self._members, self.versions)
        self._members.watch(lambda: [records.HEAD], self._handle_head)
        self._members.on_heartbeat(self._handle_heartbeat)
        self._kernel.find("peers").handle("fetch_document", self._serve_document)
        self._greenlets.spawn(self._follow)

    def stop(self) -> None:
        """Stop following."""
        self._greenlets.kill()

    # Public API: reads

    def cell(self) -> object:
        """Return the parsed configuration in force."""
        return self._cell

    def source(self) -> records.ConfigVersion:
        """Return the configuration in force with its source."""
        return self._documents["config"]

    def versions(self) -> freshness.Versions:
        """Return the versions in force."""
        return self._view.versions

    def view(self) -> freshness.View:
        """Return the versions in force and when they were known to be the latest."""
        return self._view

    def zones_out(self) -> frozenset[str]:
        """Return the availability zones that are out of service."""
        return frozenset(self._documents["zones"].out)

    def fresh(self, now: float) -> bool:
        """Return whether keyed work may be accepted and tasks may be started."""
        lease_state = ownership.lease_state(self._validity, now)
        if lease_state is ownership.LeaseState.EXTENDED:
            return self._view.versions.covers(self._target_versions)
        return lease_state is ownership.LeaseState.HELD

    def extend(self, now: float) -> None:
        """Extend the validity of the view by the known promises on each heartbeat."""
        # Without a read of the head there is no member list to count a majority of.
        if self._has_read_head and not self._validity.ended:
            members = self._members
            known = dict(members.peer_tracker.promised_versions)
            known[members.identity.process] = self._view.versions
            self._validity = freshness.extend(
                self._validity,
                self._view,
                members.local_member.possible_member_lists,
                members.promises(),
                known,
                now,
            )

    def has_read_head(self) -> bool:
        """Return whether the head was read since this process wrote its member row."""
        return self._has_read_head

    def keys(self) -> list[records.KeyInfo]:
        """Return all granted keys."""
        return [
            records.KeyInfo(key.id, key.team, key.granted_by)
            for key in self._documents["keys"].keys.values()
        ]

    def check_key(self, secret: str) -> records.KeyInfo | errors.Forbidden:
        """Return the key that a secret belongs to."""
        return records.find_key(self._documents["keys"], secret)

    def check_operator(self, secret: str) -> bool:
        """Return whether a secret is the operators' key."""
        expected = self._settings.operator_key_hash
        digest = records.hash_secret(secret).hex()
        return bool(expected) and hmac.compare_digest(digest, expected)

    def history(self) -> list[records.ConfigVersion] | errors.Failure:
        """Return the latest configuration versions, the newest first."""
        first = max(self._view.versions.config - HISTORY_PAGE, 0)
        rows = self._tables.scan(records.HISTORY, records.history_key(first))
        if isinstance(rows, errors.Failure):
            return rows
        found = [records.decode(records.ConfigVersion, row.value) for row in rows]
        return [
            each for each in reversed(found) if isinstance(each, records.ConfigVersion)
        ]

    def confirmations(self, version: int) -> dict[str, bool]:
        """Return which members have a configuration version in force."""
        return self.confirmation.by_process("config", version)

    # Public API: changes

    def apply(
        self, source: str, expected_version: int, operator: str
    ) -> int | errors.Failure:
        """Apply a configuration and return its version.

        Fails with `Invalid`, `Conflict` with both versions, `Unavailable` (not in
        force) or `Ambiguous`.
        """
        if len(source.encode()) > MAX_SOURCE_BYTES:
            return errors.Oversized(
                reason="the configuration is too long", limit=MAX_SOURCE_BYTES
            )
        cell = self._parse(source)
        if isinstance(cell, errors.Failure):
            return cell
        return self._change(changes.ConfigChange(source, expected_version, operator))

    def set_zone(self, name: str, out: bool, operator: str) -> int | errors.Failure:
        """Take an availability zone out of service or return it."""
        declared = getattr(self._cell, "availability_zones", None)
        # A zone that is out but no longer declared can still be returned.
        if declared and name not in declared and name not in self.zones_out():
            return errors.NotFound(reason=f"no availability zone {name!r} is declared")
        return self._change(changes.ZoneChange(name, out, operator))

    def grant_key(
        self, team: str, operator: str
    ) -> records.GrantedKey | errors.Failure:
        """Grant a new key to a team."""
        declared = getattr(self._cell, "teams", None)
        if declared and team not in declared:
            return errors.NotFound(reason=f"no team {team!r} is declared")
        stored, granted = records.create_key(team, operator)
        result = self._change(changes.KeyGrant(stored))
        return result if isinstance(result, errors.Failure) else granted

    def withdraw_key(self, key_id: str, operator: str) -> int | errors.Failure:
        """Withdraw a key; it stops working within seconds."""
        log.info("operator {} withdraws key {}", operator, key_id)
        return self._change(changes.KeyWithdrawal(key_id))

    # Commits

    @property
    def _tables(self) -> tables.TableClient:
        return self._kernel.find("store").tables

    def _change(self, change: changes.Change) -> int | errors.Failure:
        document = changes.commit(self._tables, change, self.versions)
        if isinstance(document, errors.Failure):
            return document
        return self._finish(change.name, document)

    def _finish(self, name: str, document: records.Document) -> int | errors.Ambiguous:
        """Apply a stored change and wait until enough members have it."""
        self._adopt(name, document)
        failure = self.confirmation.wait(name, document.version)
        return document.version if failure is None else failure

    # Replication

    def _handle_head(self, rows: Mapping[str, tables.Row], sent_at: float) -> None:
        head = records.decode(records.Head, rows[records.HEAD].value)
        if isinstance(head, errors.Failure):
            log.error("{}", head.reason)
            return
        if not head.versions.covers(self._view.versions):
            # The view is not confirmed; once it is too old, keyed work stops.
            self._stale_heads += 1
            if self._stale_heads % STALE_HEADS_PER_ERROR == 0:
                log.error(
                    "the store returned stale document versions: {}", head.versions
                )
            return
        self._stale_heads = 0
        self._has_read_head = (
            self._has_read_head or sent_at >= self._members.local_member.registered_at
        )
        self._confirm(freshness.confirm_by_head(self._view, head.versions, sent_at))
        if head.versions != self._view.versions:
            self._pending_head = (head.versions, sent_at)
            self._raise_target(head.versions)

    def _handle_heartbeat(
        self, _process: str, message: heartbeat.Heartbeat, echoed_at: float
    ) -> None:
        self.confirmation.notify()
        if not self._view.versions.covers(message.versions):
            self._raise_target(message.versions)
        elif echoed_at > ownership.NEVER:
            drift = self._members.timing.drift
            age_s = message.view_age_ms / 1000
            self._confirm(
                freshness.confirm_by_peer(
                    self._view, message.versions, age_s, echoed_at, drift
                )
            )
        if message.promise:
            self.extend(self._members.clock())

    def _confirm(self, view: freshness.View) -> None:
        self._view = view
        self._validity = freshness.renew(self._validity, view.confirmed_at)

    def _raise_target(self, versions: freshness.Versions) -> None:
        self._target_versions = freshness.merge(self._target_versions, versions)
        self._wake.set()

    def _follow(self) -> None:
        """Fetch documents whenever a newer version is known to exist."""
        while True:
            self._wake.wait()
            self._wake.clear()
            while not self._view.versions.covers(self._target_versions):
                try:
                    progressed = self._fetch()
                except Exception:
                    log.exception("fetching documents failed")
                    progressed = False
                if not progressed:
                    gevent.sleep(RETRY_S)
            if self._pending_head is not None:
                self._confirm(
                    freshness.confirm_by_head(self._view, *self._pending_head)
                )
                self._pending_head = None

    def _fetch(self) -> bool:
        """Fetch the documents that are behind; return whether one was adopted."""
        behind = [
            name
            for name in records.ROWS
            if getattr(self._view.versions, name) < getattr(self._target_versions, name)
        ]
        now = self._members.clock()
        if self._members.store_contact_age(now) < member_rows.STORE_UNREACHABLE_S:
            rows = self._tables.read([records.ROWS[name].key for name in behind])
            if not isinstance(rows, errors.Failure):
                adopted = [
                    self._adopt_row(name, rows[records.ROWS[name].key].value)
                    for name in behind
                ]
                if any(adopted):
                    return True
        return any(list(map(self._fetch_from_peers, behind)))

    def _fetch_from_peers(self, name: str) -> bool:
        target = getattr(self._target_versions, name)
        for process, message in self._members.peer_states().items():
            if getattr(message.versions, name) < target:
                continue
            value = self._kernel.find("peers").call(
                process, "fetch_document", name.encode(), FETCH_TIMEOUT_S
            )
            if isinstance(value, bytes) and self._adopt_row(name, value):
                return True
        return False

    def _serve_document(self, sender: str, body: bytes) -> bytes | errors.Failure:
        document = self._documents.get(body.decode(errors="replace"))
        if document is None:
            return errors.NotFound(reason=f"{sender} asked for an unknown document")
        return records.encode(document)

    def _adopt_row(self, name: str, value: bytes) -> bool:
        document = records.decode(records.ROWS[name].kind, value)
        if isinstance(document, errors.Failure):
            log.error("{}", document.reason)
            return False
        return self._adopt(name, document)

    def _adopt(self, name: str, document: records.Document) -> bool:
        """Apply a document unless it is outdated; versions never decrease."""
        if document.version <= getattr(self._view.versions, name):
            return False
        if name == "config":
            cell = self._parse(document.source)
            if isinstance(cell, errors.Failure):
                # Not applied, so it is not confirmed and the view expires soon.
                log.error(
                    "configuration {} is invalid in this process: {}",
                    document.version,
                    cell,
                )
                return False
            self._cell = cell
        self._documents[name] = document
        versions = msgspec.structs.replace(
            self._view.versions, **{name: document.version}
        )
        self._view = dataclasses.replace(self._view, versions=versions)
        self._publish(name, document)
        self._members.send_heartbeats()
        return True

    def _publish(self, name: str, document: records.Document) -> None:
        self._kernel.publish(event_kinds.VersionInForce(name, document.version))
        match name:
            case "config":
                self._kernel.publish(ConfigurationChanged(document.version))
            case "keys":
                self._kernel.publish(KeysChanged(document.version))
            case "zones":
                out = frozenset(document.out)
                self._kernel.publish(AvailabilityZonesChanged(document.version, out))
