"""Configuration, keys and availability zones: read, spread, changed and kept fresh."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable, Mapping

import gevent
import logbook
import msgspec
from gevent import event, pool

from toucanspring import errors, freshness, heartbeat, membership, ownership, records
from toucanspring.adapters import tables

log = logbook.Logger(__name__)

MAX_SOURCE_BYTES = 512 << 10
KEPT_HISTORY = 1000
HISTORY_PAGE = 100
FETCH_TIMEOUT_S = 2.0
RETRY_S = 0.1
# An operator's change is retried for this long after lost answers and conflicts.
CHANGE_LIMIT_S = 5.0
# How long a stored change waits until half of the members have it in force.
CONFIRM_LIMIT_S = 2.5
ROWS = {
    "config": (records.CONFIG, records.ConfigVersion),
    "keys": (records.KEYS, records.Keys),
    "zones": (records.ZONES, records.Zones),
}


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


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Hold one document to be written and further rows of the same transaction."""

    name: str
    document: records.Document
    writes: dict[str, bytes] = dataclasses.field(default_factory=dict)
    deletes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class InEffect:
    """An earlier attempt, whose answer was lost, took effect with this document."""

    name: str
    document: records.Document


Planner = Callable[
    [Mapping[str, tables.Row], freshness.Versions], "Plan | InEffect | errors.Failure"
]


def history_key(version: int) -> str:
    """Return the key of a configuration version; padded, so that scans are in order."""
    return f"{records.HISTORY}{version:010d}"


def import_parser() -> Callable[[str], object]:
    """Return the parser of the configuration text."""
    from toucanspring import text

    return text.parse


class Service:
    """Own the documents in force in this process."""

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
            name: kind() for name, (_, kind) in ROWS.items()
        }
        self._cell = self._parse("")
        self._view = freshness.View()
        self._wanted = freshness.Versions()
        self._pending: tuple[freshness.Versions, float] | None = None
        self._wake = event.Event()
        self._confirmed = event.Event()
        self._greenlets = pool.Group()
        self._members: membership.Service | None = None

    def start(self) -> None:
        """Follow the head row and the versions that other processes announce."""
        self._members = self._kernel.find("membership")
        self._members.watch(lambda: [records.HEAD], self._take_head)
        self._members.on_heartbeat(self._take_heartbeat)
        self._kernel.find("peers").handle("fetch_document", self._serve_document)
        self._greenlets.spawn(self._follow)

    def stop(self) -> None:
        """Stop following."""
        self._greenlets.kill()

    # Interface: reading

    def cell(self) -> object:
        """Return the parsed configuration in force."""
        return self._cell

    def source(self) -> records.ConfigVersion:
        """Return the configuration in force with its text."""
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
        if now - self._view.confirmed_at <= freshness.MAX_AGE_S:
            return True
        members = self._members
        promises = members.promises()
        return all(
            freshness.is_fresh(
                self._view,
                now,
                known,
                promises,
                members.ledger.promised_versions,
                members.timing,
            )
            for known in members.lists()
        )

    def keys(self) -> list[records.KeyFacts]:
        """Return all granted keys."""
        return [
            records.KeyFacts(key.id, key.team, key.granted_by)
            for key in self._documents["keys"].keys.values()
        ]

    def check_key(self, secret: str) -> records.KeyFacts | errors.Forbidden:
        """Return the key that a secret belongs to."""
        return records.find_key(self._documents["keys"], secret)

    def history(self) -> list[records.ConfigVersion] | errors.Failure:
        """Return the latest configuration versions, the newest first."""
        first = max(self._view.versions.config - HISTORY_PAGE, 0)
        rows = self._tables.scan(records.HISTORY, history_key(first))
        if isinstance(rows, errors.Failure):
            return rows
        found = [records.decode(records.ConfigVersion, row.value) for row in rows]
        return [
            each for each in reversed(found) if isinstance(each, records.ConfigVersion)
        ]

    def confirmations(self, version: int) -> dict[str, bool]:
        """Return which members have a configuration version in force."""
        return self._confirmations("config", version)

    # Interface: changes

    def apply(
        self, source: str, expected_version: int, operator: str
    ) -> int | errors.Failure:
        """Put a configuration text into force; return its version.

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
        change = records.new_change()
        version = expected_version + 1
        key = history_key(version)

        def plan(
            rows: Mapping[str, tables.Row], current: freshness.Versions
        ) -> Plan | InEffect | errors.Failure:
            if current.config != expected_version:
                written = records.decode(records.ConfigVersion, rows[key].value)
                if getattr(written, "change", "") == change:
                    return InEffect("config", written)
                return errors.Conflict(
                    reason="another configuration is in force",
                    key=records.CONFIG,
                    current_version=current.config,
                    given_version=expected_version,
                )
            document = records.ConfigVersion(
                version=version,
                source=source,
                operator=operator,
                change=change,
                applied_at=time.time(),
            )
            deletes = (
                (history_key(version - KEPT_HISTORY),) if version > KEPT_HISTORY else ()
            )
            return Plan("config", document, {key: records.encode(document)}, deletes)

        return self._change([records.HEAD, key], plan)

    def set_zone(self, name: str, out: bool, operator: str) -> int | errors.Failure:
        """Take an availability zone out of service or return it."""

        def edit(zones: records.Zones, change: str) -> records.Zones:
            entries = {key: by for key, by in zones.out.items() if key != name}
            if out:
                entries[name] = operator
            return records.Zones(
                version=zones.version + 1,
                out=entries,
                changes=records.with_change(zones.changes, change),
            )

        return self._edit("zones", edit)

    def grant_key(
        self, team: str, operator: str
    ) -> records.GrantedKey | errors.Failure:
        """Grant a new key to a team."""
        stored, granted = records.create_key(team, operator)

        def edit(keys: records.Keys, change: str) -> records.Keys:
            return records.Keys(
                version=keys.version + 1,
                keys={**keys.keys, stored.id: stored},
                changes=records.with_change(keys.changes, change),
            )

        result = self._edit("keys", edit)
        return result if isinstance(result, errors.Failure) else granted

    def withdraw_key(self, key_id: str, operator: str) -> int | errors.Failure:
        """Withdraw a key; it stops working within seconds."""
        log.info("operator {} withdraws key {}", operator, key_id)

        def edit(keys: records.Keys, change: str) -> records.Keys | errors.NotFound:
            if key_id not in keys.keys:
                return errors.NotFound(reason=f"no key {key_id}")
            kept = {name: key for name, key in keys.keys.items() if name != key_id}
            return records.Keys(
                version=keys.version + 1,
                keys=kept,
                changes=records.with_change(keys.changes, change),
            )

        return self._edit("keys", edit)

    # Changes

    @property
    def _tables(self) -> tables.TableClient:
        return self._kernel.find("store").tables

    def _edit(
        self, name: str, edit: Callable[[object, str], object]
    ) -> int | errors.Failure:
        """Change a document that has no expected version."""
        key, kind = ROWS[name]
        change = records.new_change()

        def plan(
            rows: Mapping[str, tables.Row], _current: freshness.Versions
        ) -> Plan | InEffect | errors.Failure:
            document = records.decode(kind, rows[key].value)
            if isinstance(document, errors.Failure):
                return document
            if change in document.changes:
                return InEffect(name, document)
            edited = edit(document, change)
            return edited if isinstance(edited, errors.Failure) else Plan(name, edited)

        return self._change([records.HEAD, key], plan)

    def _change(self, reads: list[str], plan: Planner) -> int | errors.Failure:
        """Write a document and raise the head; retry after lost answers and races.

        Each attempt checks the head row, so once the head has moved on, a former
        attempt of this change can no longer take effect.
        """
        deadline = time.monotonic() + CHANGE_LIMIT_S
        lost: errors.Ambiguous | None = None
        result: object = errors.Unavailable(reason="no attempt was made")
        while time.monotonic() < deadline:
            result = self._attempt(reads, plan)
            match result:
                case InEffect(name=name, document=document):
                    return self._finish(name, document)
                case errors.Ambiguous():
                    lost = result
                case errors.Conflict(key=records.HEAD):
                    pass
                case errors.Unavailable() if lost is not None:
                    pass
                case _:
                    return result
            gevent.sleep(RETRY_S)
        return lost or result

    def _attempt(self, reads: list[str], plan: Planner) -> InEffect | errors.Failure:
        rows = self._tables.read(reads)
        if isinstance(rows, errors.Failure):
            # A lost answer to a read has no effect.
            return errors.Unavailable(reason=rows.reason)
        head_row = rows[records.HEAD]
        head = records.decode(records.Head, head_row.value)
        if isinstance(head, errors.Failure):
            return head
        if not head.versions.covers(self._view.versions):
            return errors.Refused(
                reason=f"the store shows {head.versions}, older than what is in force"
            )
        planned = plan(rows, head.versions)
        if not isinstance(planned, Plan):
            return planned
        document = planned.document
        versions = msgspec.structs.replace(
            head.versions, **{planned.name: document.version}
        )
        result = self._tables.transact(
            {records.HEAD: head_row.version},
            {
                **planned.writes,
                records.HEAD: records.encode(records.Head(versions)),
                ROWS[planned.name][0]: records.encode(document),
            },
            planned.deletes,
        )
        if isinstance(result, tables.Committed):
            return InEffect(planned.name, document)
        return result

    def _finish(self, name: str, document: records.Document) -> int | errors.Ambiguous:
        """Put a stored change into force and wait until half of the members have it.

        A majority that vouches for an old view during an outage of the store then
        always includes a member that knows the change.
        """
        self._adopt(name, document)
        deadline = time.monotonic() + CONFIRM_LIMIT_S
        while True:
            self._confirmed.clear()
            found = self._confirmations(name, document.version)
            have = sum(found.values())
            if have * 2 >= len(found):
                return document.version
            wait_s = deadline - time.monotonic()
            if wait_s <= 0:
                return errors.Ambiguous(
                    reason=f"version {document.version} is stored, but only {have} of "
                    f"{len(found)} processes have confirmed it"
                )
            self._confirmed.wait(wait_s)

    def _confirmations(self, name: str, version: int) -> dict[str, bool]:
        found = dict.fromkeys(self._members.members(), False)
        for process, message in self._members.peer_states().items():
            if process in found:
                found[process] = getattr(message.versions, name) >= version
        own = self._members.identity.process
        found[own] = getattr(self._view.versions, name) >= version
        return found

    # Following

    def _take_head(self, rows: Mapping[str, tables.Row], sent_at: float) -> None:
        head = records.decode(records.Head, rows[records.HEAD].value)
        if isinstance(head, errors.Failure):
            log.error("{}", head.reason)
            return
        if not head.versions.covers(self._view.versions):
            if sent_at > self._view.confirmed_at:
                log.warning("ignoring a stale head {}", head.versions)
            return
        self._view = freshness.confirm(self._view, head.versions, sent_at)
        if head.versions != self._view.versions:
            self._pending = (head.versions, sent_at)
            self._want(head.versions)

    def _take_heartbeat(
        self, _process: str, message: heartbeat.Heartbeat, echoed_at: float
    ) -> None:
        self._confirmed.set()
        if not self._view.versions.covers(message.versions):
            self._want(message.versions)
        elif echoed_at > ownership.NEVER:
            drift = self._members.timing.drift
            age_s = message.view_age_ms / 1000
            self._view = freshness.vouch(
                self._view, message.versions, age_s, echoed_at, drift
            )

    def _want(self, versions: freshness.Versions) -> None:
        self._wanted = freshness.merge(self._wanted, versions)
        self._wake.set()

    def _follow(self) -> None:
        """Fetch documents whenever a newer version is known to exist."""
        while True:
            self._wake.wait()
            self._wake.clear()
            while not self._view.versions.covers(self._wanted):
                try:
                    progressed = self._fetch()
                except Exception:
                    log.exception("fetching documents failed")
                    progressed = False
                if not progressed:
                    gevent.sleep(RETRY_S)
            if self._pending is not None:
                self._view = freshness.confirm(self._view, *self._pending)
                self._pending = None

    def _fetch(self) -> bool:
        """Fetch the documents that are behind; return whether one was adopted."""
        behind = [
            name
            for name in ROWS
            if getattr(self._view.versions, name) < getattr(self._wanted, name)
        ]
        now = self._members.clock()
        if self._members.store_age(now) < membership.NO_ACCESS_S:
            rows = self._tables.read([ROWS[name][0] for name in behind])
            if not isinstance(rows, errors.Failure):
                adopted = [
                    self._adopt_row(name, rows[ROWS[name][0]].value) for name in behind
                ]
                if any(adopted):
                    return True
        return any(list(map(self._fetch_from_peers, behind)))

    def _fetch_from_peers(self, name: str) -> bool:
        wanted = getattr(self._wanted, name)
        for process, message in self._members.peer_states().items():
            if getattr(message.versions, name) < wanted:
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
        document = records.decode(ROWS[name][1], value)
        if isinstance(document, errors.Failure):
            log.error("{}", document.reason)
            return False
        return self._adopt(name, document)

    def _adopt(self, name: str, document: records.Document) -> bool:
        """Put a document into force unless a newer one is; versions never go back."""
        if document.version <= getattr(self._view.versions, name):
            return False
        if name == "config":
            cell = self._parse(document.source)
            if isinstance(cell, errors.Failure):
                # Not in force here, hence not confirmed and, soon, not fresh.
                log.error(
                    "configuration {} is invalid here: {}", document.version, cell
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
        match name:
            case "config":
                self._kernel.publish(ConfigurationChanged(document.version))
            case "keys":
                self._kernel.publish(KeysChanged(document.version))
            case "zones":
                out = frozenset(document.out)
                self._kernel.publish(AvailabilityZonesChanged(document.version, out))
