"""Rows of the documents that operators change: configuration, keys and zones."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import NamedTuple

import msgspec

from toucanspring import errors
from toucanspring.cell import freshness

HEAD = "head"
CONFIG = "config/current"
HISTORY = "config/history/"
KEYS = "keys"
ZONES = "zones"
# Change IDs kept in keys and zones, to recognise a change whose answer was lost.
MAX_RECENT_CHANGES = 64
SECRET_BYTES = 24
SECRET_PREFIX = "ts"


class Head(msgspec.Struct, frozen=True):
    """Row `head`: the version of each document."""

    versions: freshness.Versions


class ConfigVersion(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration; `applied_at` is for display only."""

    version: int = 0
    source: str = ""
    operator: str = ""
    change: str = ""
    applied_at: float = 0.0


class StoredKey(msgspec.Struct, frozen=True, kw_only=True):
    """One granted key; only the SHA-256 of its secret is kept."""

    id: str
    team: str
    granted_by: str
    hash: bytes


class Keys(msgspec.Struct, frozen=True, kw_only=True):
    """Row `keys`."""

    version: int = 0
    keys: dict[str, StoredKey] = {}
    changes: list[str] = []


class Zones(msgspec.Struct, frozen=True, kw_only=True):
    """Row `zones`; `out` maps a zone to the operator who took it out of service."""

    version: int = 0
    out: dict[str, str] = {}
    changes: list[str] = []


class DocumentRow(NamedTuple):
    """Row key of a document and the type of its value."""

    key: str
    kind: type[ConfigVersion] | type[Keys] | type[Zones]


ROWS = {
    "config": DocumentRow(CONFIG, ConfigVersion),
    "keys": DocumentRow(KEYS, Keys),
    "zones": DocumentRow(ZONES, Zones),
}


class KeyInfo(msgspec.Struct, frozen=True):
    """Granted key without its secret."""

    id: str
    team: str
    granted_by: str


class GrantedKey(msgspec.Struct, frozen=True):
    """New key; its secret is shown only once."""

    id: str
    team: str
    secret: str


Document = ConfigVersion | Keys | Zones

_encoder = msgspec.msgpack.Encoder()
_decoders = {
    kind: msgspec.msgpack.Decoder(kind) for kind in (Head, ConfigVersion, Keys, Zones)
}

encode = _encoder.encode


def decode(kind: type, value: bytes) -> object | errors.Malformed:
    """Decode a row value as a type; an empty value gives the default record."""
    if not value and kind is not Head:
        return kind()
    if not value:
        return Head(freshness.Versions())
    try:
        return _decoders[kind].decode(value)
    except msgspec.MsgspecError as error:
        return errors.Malformed(reason=f"{kind.__name__} row: {error}")


def history_key(version: int) -> str:
    """Return the row key of a version, zero-padded so that scans are in order."""
    return f"{HISTORY}{version:010d}"


def new_change_id() -> str:
    """Return an ID by which a change is recognised after its answer was lost."""
    return secrets.token_hex(8)


def hash_secret(secret: str) -> bytes:
    """Return the hash that is stored in place of a secret.

    Secrets are random and long, so a plain hash is enough and costs microseconds.
    """
    return hashlib.sha256(secret.encode()).digest()


def create_key(team: str, operator: str) -> tuple[StoredKey, GrantedKey]:
    """Return a new key as stored and as handed to the operator."""
    key_id = secrets.token_hex(6)
    secret = f"{SECRET_PREFIX}_{key_id}_{secrets.token_urlsafe(SECRET_BYTES)}"
    stored = StoredKey(
        id=key_id, team=team, granted_by=operator, hash=hash_secret(secret)
    )
    return stored, GrantedKey(key_id, team, secret)


def find_key(keys: Keys, secret: str) -> KeyInfo | errors.Forbidden:
    """Return the key that a secret belongs to."""
    prefix, _, rest = secret.partition("_")
    key_id, _, _ = rest.partition("_")
    stored = keys.keys.get(key_id) if prefix == SECRET_PREFIX else None
    # Hashing also for an unknown ID keeps the time independent of whether it exists.
    digest = hash_secret(secret)
    expected = stored.hash if stored is not None else b"\0" * len(digest)
    if stored is None or not hmac.compare_digest(digest, expected):
        return errors.Forbidden(reason="the key is unknown or was withdrawn")
    return KeyInfo(stored.id, stored.team, stored.granted_by)
