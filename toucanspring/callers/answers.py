"""Requests to services, their answers, and the record of an answer in the log."""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Iterator

import msgspec

from toucanspring import errors, job

# Larger answers go to the object store, since the log shares its rows among many
# records.
MAX_LOGGED_BYTES = 64 * 1024
# A forwarded request must fit into one peer frame of 1 MiB.
MAX_BODY_BYTES = 960 * 1024
CHUNK_BYTES = 64 * 1024

# Hop-by-hop headers, and headers meant for this process only.
_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-not-run",
        "x-state",
    }
)


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one request to a service; `deadline_s` is the time left, in seconds."""

    id: str
    service: str
    team: str
    job_class: job.JobClass
    idempotent: bool
    body: bytes
    deadline_s: float
    content_type: str = ""


@dataclasses.dataclass(slots=True)
class Answer:
    """Hold an answer; iterating `chunks` raises `AnswerAborted` if it is truncated.

    `length` is the number of bytes of the body, if it is known.
    """

    status: int
    headers: dict[str, str]
    chunks: Iterator[bytes]
    length: int | None = None


class Stored(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the answer to a non-idempotent request as the log keeps it.

    `digest` tells a repeated request from another one with the same ID. The body
    is in the object store if `object_key` is set.
    """

    team: str
    service: str
    digest: bytes
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    object_key: str = ""
    length: int = 0


_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(Request)
_stored_decoder = msgspec.msgpack.Decoder(Stored)


def digest(request: Request) -> bytes:
    """Return a hash of the content of a request."""
    parts = hashlib.sha256()
    for part in (request.service, request.team, request.content_type):
        parts.update(part.encode() + b"\0")
    parts.update(request.body)
    return parts.digest()


def end_to_end(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers of an answer that are meant for the caller."""
    return {
        name: value
        for name, value in headers.items()
        if name not in _HOP_HEADERS and value.isprintable()
    }


def encode(value: Request | Stored) -> bytes:
    """Return a request or a stored answer as msgpack."""
    return _encoder.encode(value)


def decode_request(body: bytes) -> Request | errors.Malformed:
    """Return the request in a peer message."""
    try:
        return _request_decoder.decode(body)
    except msgspec.MsgspecError as error:
        return errors.Malformed(reason=f"forwarded request: {error}")


def decode_stored(body: bytes) -> Stored | errors.Malformed:
    """Return the stored answer in a log record."""
    try:
        return _stored_decoder.decode(body)
    except msgspec.MsgspecError as error:
        return errors.Malformed(reason=f"stored answer: {error}")


def split(body: bytes) -> Iterator[bytes]:
    """Yield a body in chunks."""
    for start in range(0, len(body), CHUNK_BYTES):
        yield body[start : start + CHUNK_BYTES]
