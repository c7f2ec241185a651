"""Encoding of results of calls between processes."""

from __future__ import annotations

import msgspec

from toucanspring import errors

encode = msgspec.msgpack.encode


class Reply(msgspec.Struct, frozen=True):
    """Result of a call: an encoded value or a failure."""

    value: bytes | None = None
    failure: dict[str, object] | None = None


def encode_result(value: object) -> bytes:
    """Encode a value or failure for a peer."""
    if isinstance(value, errors.Failure):
        return encode(Reply(failure=errors.to_dict(value)))
    return encode(Reply(value=encode(value)))


def decode_result(body: bytes, kind: type) -> object | errors.Failure:
    """Decode the value or failure that a peer sent."""
    try:
        reply = msgspec.msgpack.decode(body, type=Reply)
        if reply.failure is not None:
            return errors.from_dict(reply.failure)
        return msgspec.msgpack.decode(reply.value or b"", type=kind)
    except msgspec.DecodeError as error:
        return errors.Malformed(reason=str(error))


def pack(item: str | errors.Failure) -> str | dict[str, object]:
    """Return an item of a list of results in its encodable form."""
    return errors.to_dict(item) if isinstance(item, errors.Failure) else item


def unpack(item: str | dict[str, object]) -> str | errors.Failure:
    """Return the result that an item of a decoded list stands for."""
    return errors.from_dict(item) if isinstance(item, dict) else item


def resubmission_failure(answers: list[str | errors.Failure]) -> errors.Failure | None:
    """Return why a whole submission must be sent again, to the successor of an owner.

    `Fenced` means that some of its jobs may be in the log. Accepted jobs are sent again
    with the others; accepting a job twice has no effect.
    """
    lost = [each for each in answers if isinstance(each, errors.Failure)]
    for failure in lost:
        fenced = isinstance(failure, errors.Fenced) and len(lost) < len(answers)
        if fenced or isinstance(failure, errors.Ambiguous):
            return errors.Fenced(reason=failure.reason)
    if not lost or len(lost) < len(answers):
        return None
    if not all(isinstance(each, errors.Fenced | errors.Unavailable) for each in lost):
        return None
    if isinstance(lost[0], errors.StoreUnavailable | errors.LayoutChanged):
        return lost[0]
    return errors.Unavailable(reason=lost[0].reason)
