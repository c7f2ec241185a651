"""Values and failures as bytes between processes."""

from __future__ import annotations

import msgspec

from toucanspring import errors

encode = msgspec.msgpack.encode


class Reply(msgspec.Struct, frozen=True):
    """Carry a value or a failure between processes."""

    value: bytes | None = None
    failure: dict[str, object] | None = None


def encode_result(value: object) -> bytes:
    """Return a value or failure as bytes for a peer."""
    if isinstance(value, errors.Failure):
        return encode(Reply(failure=errors.to_dict(value)))
    return encode(Reply(value=encode(value)))


def decode_result(body: bytes, kind: type) -> object | errors.Failure:
    """Return the value or failure that a peer sent."""
    try:
        reply = msgspec.msgpack.decode(body, type=Reply)
        if reply.failure is not None:
            return errors.from_dict(reply.failure)
        return msgspec.msgpack.decode(reply.value or b"", type=kind)
    except msgspec.DecodeError as error:
        return errors.Malformed(reason=str(error))


def pack(item: str | errors.Failure) -> str | dict[str, object]:
    """Return an item of a list of results in the form that is encoded."""
    return errors.to_dict(item) if isinstance(item, errors.Failure) else item


def unpack(item: str | dict[str, object]) -> str | errors.Failure:
    """Return an item of a decoded list of results."""
    return errors.from_dict(item) if isinstance(item, dict) else item
