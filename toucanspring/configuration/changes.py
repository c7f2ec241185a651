"""Changes of documents, committed once despite lost answers and conflicts."""

from __future__ import annotations

import abc
import dataclasses
import time
from collections.abc import Callable
from typing import ClassVar, Protocol

import gevent
import msgspec

from toucanspring import errors, uptime
from toucanspring.adapters import tables
from toucanspring.cell import freshness
from toucanspring.configuration import records

# Configuration versions kept; each new version deletes the oldest one beyond these.
MAX_HISTORY_VERSIONS = 1000
RETRY_S = 0.1
# A change is retried for this long after lost answers and conflicts.
LIMIT_S = 5.0

Rows = dict[str, tables.Row]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """New document with the other writes and deletes of its transaction."""

    document: records.Document
    writes: dict[str, bytes] = dataclasses.field(default_factory=dict)
    deletes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class InEffect:
    """Document of a change that is committed, possibly by an earlier attempt."""

    document: records.Document


class Change(Protocol):
    """Change of the document `name`, planned on the rows `reads` and the head row."""

    name: str
    reads: list[str]

    def plan(
        self, rows: Rows, current: freshness.Versions
    ) -> Plan | InEffect | errors.Failure:
        """Return the writes, or `InEffect` if an earlier attempt was committed."""


class ConfigChange:
    """Replace the configuration if its version is as expected.

    If the same content is already in force at that version, no new version is written.
    """

    name = "config"

    def __init__(self, source: str, expected_version: int, operator: str) -> None:
        self._expected = expected_version
        self._document = records.ConfigVersion(
            version=expected_version + 1,
            source=source,
            operator=operator,
            change=records.new_change_id(),
            applied_at=time.time(),
        )
        self._history = records.history_key(self._document.version)
        self.reads = [self._history, records.CONFIG]

    def plan(
        self, rows: Rows, current: freshness.Versions
    ) -> Plan | InEffect | errors.Failure:
        """Write the configuration and its history row."""
        if current.config == self._expected:
            present = records.decode(records.ConfigVersion, rows[records.CONFIG].value)
            if isinstance(present, errors.Failure):
                return present
            unchanged = present.source == self._document.source
            if unchanged and 0 < present.version == self._expected:
                return InEffect(present)
            expired = self._document.version - MAX_HISTORY_VERSIONS
            return Plan(
                self._document,
                {self._history: records.encode(self._document)},
                (records.history_key(expired),) if expired > 0 else (),
            )
        written = records.decode(records.ConfigVersion, rows[self._history].value)
        if getattr(written, "change", "") == self._document.change:
            return InEffect(self._document)
        return errors.Conflict(
            reason="another configuration is in force",
            key=records.CONFIG,
            current_version=current.config,
            given_version=self._expected,
        )


class _Edit(abc.ABC):
    """Base of commutative edits, which apply to any version of a document."""

    name: ClassVar[str]

    def __init__(self) -> None:
        self._change = records.new_change_id()
        self.reads = [records.ROWS[self.name].key]

    def plan(
        self, rows: Rows, _current: freshness.Versions
    ) -> Plan | InEffect | errors.Failure:
        """Apply the edit to the document as read."""
        key, kind = records.ROWS[self.name]
        document = records.decode(kind, rows[key].value)
        if isinstance(document, errors.Failure):
            return document
        if self._change in document.changes:
            return InEffect(document)
        edited = self._edit(document)
        if isinstance(edited, errors.Failure):
            return edited
        return Plan(
            msgspec.structs.replace(
                edited,
                version=document.version + 1,
                changes=[*document.changes, self._change][
                    -records.MAX_RECENT_CHANGES :
                ],
            )
        )

    @abc.abstractmethod
    def _edit(self, document: object) -> object | errors.Failure:
        """Return the changed document."""


class ZoneChange(_Edit):
    """Take an availability zone out of service or return it."""

    name = "zones"

    def __init__(self, zone: str, out: bool, operator: str) -> None:
        super().__init__()
        self._zone = zone
        self._out = out
        self._operator = operator

    def _edit(self, document: records.Zones) -> records.Zones:
        out = {name: by for name, by in document.out.items() if name != self._zone}
        if self._out:
            out[self._zone] = self._operator
        return msgspec.structs.replace(document, out=out)


class KeyGrant(_Edit):
    """Add a key."""

    name = "keys"

    def __init__(self, key: records.StoredKey) -> None:
        super().__init__()
        self._key = key

    def _edit(self, document: records.Keys) -> records.Keys:
        keys = {**document.keys, self._key.id: self._key}
        return msgspec.structs.replace(document, keys=keys)


class KeyWithdrawal(_Edit):
    """Remove a key."""

    name = "keys"

    def __init__(self, key_id: str) -> None:
        super().__init__()
        self._id = key_id

    def _edit(self, document: records.Keys) -> records.Keys | errors.NotFound:
        if self._id not in document.keys:
            return errors.NotFound(reason=f"no key {self._id}")
        keys = {name: key for name, key in document.keys.items() if name != self._id}
        return msgspec.structs.replace(document, keys=keys)


def commit(
    client: tables.TableClient,
    change: Change,
    in_force: Callable[[], freshness.Versions],
    clock: Callable[[], float] = uptime.now,
) -> records.Document | errors.Failure:
    """Commit a change and its version in the head row, with retries.

    Retries after lost answers and conflicts. Each attempt checks the version of the
    head row, so once the head has changed, an earlier attempt can no longer take
    effect. Returns `Ambiguous` only if an answer was lost and the rows could not be
    read in time.
    """
    deadline = clock() + LIMIT_S
    ambiguous: errors.Ambiguous | None = None
    while True:
        result = _attempt(client, change, in_force())
        match result:
            case InEffect(document=document):
                return document
            case errors.Ambiguous():
                ambiguous = result
            case errors.Conflict(key=records.HEAD):
                result = errors.Unavailable(reason="too many concurrent changes")
            case errors.Unavailable() if ambiguous is not None:
                pass
            case _:
                return result
        if clock() + RETRY_S > deadline:
            return ambiguous or result
        gevent.sleep(RETRY_S)


def _attempt(
    client: tables.TableClient, change: Change, in_force: freshness.Versions
) -> InEffect | errors.Failure:
    rows = client.read([records.HEAD, *change.reads])
    if isinstance(rows, errors.Failure):
        # A read has no effect, whether or not it was answered.
        return errors.Unavailable(reason=f"store unavailable: {rows.reason}")
    head_row = rows[records.HEAD]
    head = records.decode(records.Head, head_row.value)
    if isinstance(head, errors.Failure):
        return head
    if not head.versions.covers(in_force):
        return errors.Refused(
            reason="the store returned older versions than those in force"
        )
    planned = change.plan(rows, head.versions)
    if not isinstance(planned, Plan):
        return planned
    document = planned.document
    versions = msgspec.structs.replace(head.versions, **{change.name: document.version})
    result = client.transact(
        {records.HEAD: head_row.version},
        {
            **planned.writes,
            records.HEAD: records.encode(records.Head(versions)),
            records.ROWS[change.name].key: records.encode(document),
        },
        planned.deletes,
    )
    return InEffect(document) if isinstance(result, tables.Committed) else result
