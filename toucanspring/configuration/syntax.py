"""YAML reader that returns plain values with line numbers.

Only a subset of YAML is accepted: anchors, aliases and tags are rejected, because a
short document with aliases can expand to an arbitrarily large value. Plain scalars
follow the YAML 1.2 core schema, so that `no` is a string and not a boolean.
"""

import dataclasses
import re

import yaml

from toucanspring import errors

# The text must fit in one peer frame and in one table row, which holds up to 1 MiB.
MAX_TEXT_BYTES = 512 * 1024
MAX_DEPTH = 12
MAX_SHOWN_CHARACTERS = 80

Path = tuple[str | int, ...]

_INTEGER = re.compile(r"[-+]?[0-9]{1,18}")
_FLOAT = re.compile(r"[-+]?(\.[0-9]+|[0-9]+(\.[0-9]*)?)([eE][-+]?[0-9]+)?")
_LITERALS = {"": None, "~": None, "null": None, "true": True, "false": False}
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """Value of a YAML document with the 1-based line of each path in it."""

    value: object
    lines: dict[Path, int]

    def line(self, path: Path) -> int:
        """Return the line of a path, or of its nearest parent that exists."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


class _ReadError(Exception):
    """Raised in the recursive reader to return a failure."""

    def __init__(self, failure: errors.Invalid) -> None:
        super().__init__(failure.reason)
        self.failure = failure


def format_path(path: Path) -> str:
    """Return a path in dotted form, such as `teams.rep-checks.share`."""
    return ".".join(str(part) for part in path)


def shorten(value: object) -> str:
    """Return a value in printable form, truncated for use in messages."""
    text = value if isinstance(value, str) else repr(value)
    text = "".join(character if character.isprintable() else "?" for character in text)
    if len(text) > MAX_SHOWN_CHARACTERS:
        return text[: MAX_SHOWN_CHARACTERS - 3] + "..."
    return text


def read(source: str) -> Document | errors.Invalid:
    """Read a YAML text; a failure names the line of the error."""
    size = len(source.encode("utf-8", "surrogatepass"))
    if size > MAX_TEXT_BYTES:
        return errors.Invalid(
            reason="the text is too large",
            line=1,
            value=f"{size} bytes",
            expected=f"at most {MAX_TEXT_BYTES} bytes",
        )
    lines: dict[Path, int] = {}
    try:
        events = iter(yaml.parse(source, Loader=_LOADER))
        next(events)  # start of the stream
        if isinstance(next(events), yaml.StreamEndEvent):
            return Document(None, {})
        value = _read_node(next(events), events, (), lines)
        next(events)  # end of the document
        after = next(events)
        if not isinstance(after, yaml.StreamEndEvent):
            raise _read_error(after, (), "a second document", "one YAML document")
    except _ReadError as fault:
        return fault.failure
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None) or getattr(
            error, "context_mark", None
        )
        problem = getattr(error, "problem", None) or getattr(error, "reason", None)
        return errors.Invalid(
            reason=f"invalid YAML: {problem or 'unreadable'}",
            line=mark.line + 1 if mark else 1,
            expected="a YAML text",
        )
    except UnicodeError as error:
        return errors.Invalid(
            reason=f"not UTF-8: {error.reason}", line=1, expected="a YAML text"
        )
    return Document(value, lines)


def _read_error(event: yaml.Event, path: Path, value: str, expected: str) -> _ReadError:
    return _ReadError(
        errors.Invalid(
            reason=f"{value} is not accepted here",
            path=format_path(path),
            line=event.start_mark.line + 1,
            value=shorten(value),
            expected=expected,
        )
    )


def _read_node(event: yaml.Event, events, path: Path, lines: dict[Path, int]) -> object:
    if isinstance(event, yaml.AliasEvent) or event.anchor is not None:
        raise _read_error(event, path, "an anchor or alias", "the value itself")
    lines.setdefault(path, event.start_mark.line + 1)
    if len(path) > MAX_DEPTH:
        raise _read_error(event, path, "deeper nesting", f"at most {MAX_DEPTH} levels")
    if event.tag is not None and not (
        isinstance(event, yaml.ScalarEvent) and event.tag == "!"
    ):
        raise _read_error(event, path, f"tag {event.tag}", "a value without a tag")
    if isinstance(event, yaml.ScalarEvent):
        return _scalar(event.value) if event.implicit[0] else event.value
    if isinstance(event, yaml.SequenceStartEvent):
        items: list[object] = []
        while not isinstance(item := next(events), yaml.SequenceEndEvent):
            items.append(_read_node(item, events, (*path, len(items)), lines))
        return items
    return _read_mapping(events, path, lines)


def _read_mapping(events, path: Path, lines: dict[Path, int]) -> dict[str, object]:
    entries: dict[str, object] = {}
    while not isinstance(key := next(events), yaml.MappingEndEvent):
        if not isinstance(key, yaml.ScalarEvent):
            raise _read_error(key, path, "a compound key", "a plain name as key")
        key_path = (*path, key.value)
        if key.value in entries:
            raise _ReadError(
                errors.Invalid(
                    reason="duplicate key",
                    path=format_path(key_path),
                    line=key.start_mark.line + 1,
                    value=shorten(key.value),
                    expected=f"one entry (the first is on line {lines[key_path]})",
                )
            )
        lines[key_path] = key.start_mark.line + 1
        entries[key.value] = _read_node(next(events), events, key_path, lines)
    return entries


def _scalar(text: str) -> object:
    if text in _LITERALS:
        return _LITERALS[text]
    if _INTEGER.fullmatch(text):
        return int(text)
    if _FLOAT.fullmatch(text):
        return float(text)
    return text
