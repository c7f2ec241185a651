"""Decoding of bytes that another party wrote, with one typed failure."""

from __future__ import annotations

from typing import Protocol, TypeVar

import msgspec

from toucanspring import errors

T = TypeVar("T", covariant=True)


class Decoder(Protocol[T]):
    """A decoder of one type, such as `msgspec.json.Decoder`."""

    def decode(self, value: bytes) -> T:
        """Return the decoded value."""


def decode(decoder: Decoder[T], value: bytes, subject: str) -> T | errors.Malformed:
    """Decode bytes; `subject` begins the reason of a failure."""
    try:
        return decoder.decode(value)
    # Besides its own errors, msgspec raises RecursionError for deep nesting, even in
    # unknown fields, and ValueError for texts and numbers that Python refuses.
    except (msgspec.MsgspecError, RecursionError, ValueError, OverflowError) as error:
        return errors.Malformed(reason=f"{subject}: {error}")
