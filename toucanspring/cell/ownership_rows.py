"""Rows of the table service that record the owner of each partition."""

from __future__ import annotations

import dataclasses

import logbook
import msgspec

from toucanspring.adapters import tables

log = logbook.Logger(__name__)

PREFIX = "partitions/"


class PartitionRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row `partitions/<p>`; `process` is empty after a release.

    `former` holds the member lists of former owners whose leases may still be extended.
    """

    process: str = ""
    incarnation: int = 0
    epoch: int = 0
    former: list[list[str]] = []


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedRow:
    """Ownership row and its version as last read or written."""

    version: int
    row: PartitionRow


encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(PartitionRow)


def key_of(partition: int) -> str:
    """Return the key of a partition's ownership row."""
    return f"{PREFIX}{partition}"


def decode_row(row: tables.Row) -> PartitionRow | None:
    """Decode a row; an absent one has epoch 0, a malformed one is `None`."""
    if not row.version:
        return PartitionRow()
    try:
        return _decoder.decode(row.value)
    except msgspec.MsgspecError as error:
        log.error("malformed ownership row: {}", error)
        return None
