"""Frames between toucanspring processes and their codec."""

from __future__ import annotations

import enum

import msgspec

from toucanspring import errors

# One chunk of a streamed answer; smaller than a frame so that heartbeats queued behind
# it on the same stream are not delayed for long.
CHUNK_BYTES = 64 << 10
WINDOW_CHUNKS = 16


class Kind(enum.IntEnum):
    """Type of a frame, which determines its body."""

    HELLO = 0
    WELCOME = 1  # answer to HELLO
    CALL = 2
    ANSWER = 3  # complete answer in one frame
    FAILURE = 4
    CHUNK = 5  # part of a streamed answer
    END = 6  # end of a streamed answer; the body is its length
    WINDOW = 7  # the caller has room for more chunks; the body is their number
    CANCEL = 8  # the caller no longer waits
    NOTICE = 9  # one-way message without an answer


class Frame(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Hold one frame; `correlation` names the call that it belongs to."""

    kind: Kind
    correlation: int
    body: bytes = b""


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """Identify the connecting process."""

    process: str
    incarnation: int
    cell: str
    token: str
    # Where it listens; an earlier version does not say so.
    address: str = ""
    port: int = 0


class Welcome(msgspec.Struct, frozen=True, array_like=True):
    """Identify the accepting process after it has checked the token."""

    process: str
    incarnation: int


class Call(msgspec.Struct, frozen=True, array_like=True):
    """Body of a CALL or a NOTICE."""

    method: str
    body: bytes


class Failed(msgspec.Struct, frozen=True, array_like=True):
    """Body of a FAILURE."""

    fields: dict[str, str | int | float]


_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(Frame)
_decoders = {
    kind: msgspec.msgpack.Decoder(kind) for kind in (Hello, Welcome, Call, Failed, int)
}

encode = _encoder.encode


def decode(body: bytes) -> Frame | errors.Malformed:
    """Return the frame in a frame body."""
    try:
        return _frame_decoder.decode(body)
    except msgspec.MsgspecError as error:
        return errors.Malformed(reason=str(error))


def decode_as(kind: type, body: bytes) -> object | errors.Malformed:
    """Return the value of a type in a body."""
    try:
        return _decoders[kind].decode(body)
    except msgspec.MsgspecError as error:
        return errors.Malformed(reason=str(error))


def encode_failure(failure: errors.Failure) -> bytes:
    """Return the body of a FAILURE."""
    return encode(Failed(errors.to_dict(failure)))


def decode_failure(body: bytes) -> errors.Failure:
    """Return the failure that a peer answered."""
    failed = decode_as(Failed, body)
    return errors.from_dict(failed.fields) if isinstance(failed, Failed) else failed
