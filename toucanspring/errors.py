"""Failures as typed values that carry a reason."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """Describe why an operation gave no result."""

    reason: str = ""

    @property
    def kind(self) -> str:
        """Return the name of the failure type, as shown to callers."""
        return type(self).__name__


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused(Failure):
    """The request is valid but not allowed in the present state."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotRun(Failure):
    """The work certainly did not run and will not run."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordedNotRun(NotRun):
    """The log durably records that a request did not run, so no attempt of it will."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unknown(Failure):
    """The work may or may not have run."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Conflict(Failure):
    """Another writer changed the row or document first."""

    key: str = ""
    current_version: int = 0
    given_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unavailable(Failure):
    """The service was not reached; the call certainly had no effect."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unconfirmed(Unavailable):
    """No idle connection is known to reach the wanted peer; nothing was sent."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreUnavailable(Unavailable):
    """The table service could not be reached; nothing was written."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LayoutChanged(Unavailable):
    """The number of partitions changed; nothing was done, another owner may do it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldElsewhere(Refused):
    """The ID is in another partition's log, from before the partition count changed."""

    partition: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ambiguous(Failure):
    """The call was sent but its answer was lost; its effect is unknown."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Invalid(Failure):
    """A value breaks a rule; `path` and `line` (1-based, 0 if none) locate it."""

    path: str = ""
    line: int = 0
    value: str = ""
    expected: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Forbidden(Failure):
    """The key is missing, withdrawn or belongs to another team."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotFound(Failure):
    """No resource with the given name exists."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Overloaded(Failure):
    """The work was shed before it started; `retry_after_s` is in seconds."""

    retry_after_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fenced(Failure):
    """The receiver has seen a higher epoch."""

    epoch: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Oversized(Failure):
    """The input exceeds a size limit; `limit` is in bytes."""

    limit: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Malformed(Failure):
    """The input does not follow its format."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Closed(Failure):
    """The stream has ended."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Timeout(Failure):
    """A deadline passed before the work started or an answer arrived."""


KINDS: dict[str, type[Failure]] = {
    kind.__name__: kind
    for kind in (
        Refused,
        NotRun,
        RecordedNotRun,
        Unknown,
        Conflict,
        Unavailable,
        StoreUnavailable,
        LayoutChanged,
        HeldElsewhere,
        Ambiguous,
        Invalid,
        Forbidden,
        NotFound,
        Overloaded,
        Fenced,
        Oversized,
        Malformed,
        Closed,
        Timeout,
    )
}


def to_dict(failure: Failure) -> dict[str, object]:
    """Convert a failure to the map that callers and peers receive."""
    fields = {
        field.name: getattr(failure, field.name)
        for field in dataclasses.fields(failure)
    }
    return {"type": failure.kind, **fields}


def from_dict(fields: dict[str, object]) -> Failure:
    """Rebuild a failure from its map; an unknown type becomes `Malformed`."""
    values = dict(fields)
    kind = KINDS.get(str(values.pop("type", "")))
    if kind is None:
        return Malformed(reason=f"unknown failure type in {fields!r}")
    try:
        return kind(**values)
    except TypeError as error:
        return Malformed(reason=str(error))
