"""Client of the platform's transactional table service."""

from __future__ import annotations

import dataclasses
from typing import Protocol

import msgspec

from toucanspring import errors
from toucanspring.adapters import exchange, platform

CONNECTIONS = 8
MAX_ANSWER_BYTES = 1 << 26


class Row(msgspec.Struct, frozen=True, array_like=True):
    """Hold a value and its version; version 0 means absent."""

    version: int
    value: bytes


class KeyedRow(msgspec.Struct, frozen=True, array_like=True):
    """Hold one row of a scan."""

    key: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """Hold the new versions of the written rows."""

    versions: dict[str, int]


class TableClient(Protocol):
    """Read and write rows; versions are never reused for a key."""

    def transact(
        self,
        checks: dict[str, int],
        writes: dict[str, bytes],
        deletes: tuple[str, ...] | list[str] = (),
    ) -> Committed | errors.Failure:
        """Apply all writes and deletes if every checked row has its version.

        Returns `Conflict`, `Unavailable` (no effect) or `Ambiguous` on failure.
        """

    def read(self, keys: list[str]) -> dict[str, Row] | errors.Failure:
        """Return the rows of all keys; an absent row has version 0."""

    def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> list[KeyedRow] | errors.Failure:
        """Return up to `limit` rows with the prefix, in order, after a key."""

    def close(self) -> None:
        """Close idle connections."""


class TransactionBody(msgspec.Struct):
    """Body of `POST /v1/transactions`."""

    checks: list[tuple[str, int]]
    writes: list[tuple[str, bytes]]
    deletes: list[str]


class TransactionAnswer(msgspec.Struct):
    """Body of a 200 answer to a transaction."""

    versions: dict[str, int]


class ConflictAnswer(msgspec.Struct):
    """Body of a 409 answer to a transaction."""

    key: str
    version: int


class ReadBody(msgspec.Struct):
    """Body of `POST /v1/reads`."""

    keys: list[str]


class ReadAnswer(msgspec.Struct):
    """Body of the answer to a read."""

    rows: dict[str, Row]


class ScanBody(msgspec.Struct):
    """Body of `POST /v1/scans`."""

    prefix: str
    after: str = ""
    limit: int = 500


class ScanAnswer(msgspec.Struct):
    """Body of the answer to a scan."""

    rows: list[KeyedRow]


_encoder = msgspec.msgpack.Encoder()
_committed = msgspec.msgpack.Decoder(TransactionAnswer)
_conflict = msgspec.msgpack.Decoder(ConflictAnswer)
_read = msgspec.msgpack.Decoder(ReadAnswer)
_scan = msgspec.msgpack.Decoder(ScanAnswer)


class HttpTableClient(platform.HttpClient):
    """Call the table service over HTTP with msgpack bodies."""

    service = "table service"

    def __init__(
        self,
        address: str,
        port: int,
        client: str = "",
        timeout_s: float = platform.TIMEOUT_S,
        connections: int = CONNECTIONS,
    ) -> None:
        super().__init__(address, port, client, timeout_s, connections)

    def transact(
        self,
        checks: dict[str, int],
        writes: dict[str, bytes],
        deletes: tuple[str, ...] | list[str] = (),
    ) -> Committed | errors.Failure:
        """Apply all writes and deletes if every checked row has its version."""
        body = TransactionBody(
            list(checks.items()), list(writes.items()), list(deletes)
        )
        reply = self._call("/v1/transactions", body)
        match reply:
            case exchange.Reply(status=200):
                answer = self._decode(_committed, reply.body)
                if isinstance(answer, errors.Failure):
                    return errors.Ambiguous(reason=answer.reason)
                return Committed(answer.versions)
            case exchange.Reply(status=409):
                conflict = self._decode(_conflict, reply.body)
                if isinstance(conflict, errors.Failure):
                    return errors.Ambiguous(reason=conflict.reason)
                return errors.Conflict(
                    reason=f"row {conflict.key} was changed by another writer",
                    key=conflict.key,
                    current_version=conflict.version,
                    given_version=checks.get(conflict.key, 0),
                )
            case exchange.Reply(status=status) if 400 <= status < 500:
                return _refused(reply)
            case errors.Oversized():
                return errors.Ambiguous(reason=reply.reason)
            case _:
                return self._write_failure(reply)

    def read(self, keys: list[str]) -> dict[str, Row] | errors.Failure:
        """Return the rows of all keys; an absent row has version 0."""
        answer = self._query("/v1/reads", ReadBody(list(keys)), _read)
        if isinstance(answer, errors.Failure):
            return answer
        absent = Row(0, b"")
        return {key: answer.rows.get(key, absent) for key in keys}

    def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> list[KeyedRow] | errors.Failure:
        """Return up to `limit` rows with the prefix, in order, after a key."""
        answer = self._query("/v1/scans", ScanBody(prefix, after, limit), _scan)
        return answer if isinstance(answer, errors.Failure) else answer.rows

    def _call(self, target: str, body: object) -> exchange.Reply | errors.Failure:
        return self._endpoint.call(
            "POST",
            target,
            _encoder.encode(body),
            {"Content-Type": "application/msgpack"},
            self._timeout_s,
            MAX_ANSWER_BYTES,
        )

    def _query(
        self, target: str, body: object, decoder: msgspec.msgpack.Decoder
    ) -> object | errors.Failure:
        reply = self._call(target, body)
        match reply:
            case exchange.Reply(status=200):
                return self._decode(decoder, reply.body)
            case exchange.Reply(status=status) if 400 <= status < 500:
                return _refused(reply)
            case _:
                return self._read_failure(reply)


def _refused(reply: exchange.Reply) -> errors.Refused:
    text = reply.body[:200].decode(errors="replace")
    return errors.Refused(reason=f"table service answered {reply.status}: {text}")
