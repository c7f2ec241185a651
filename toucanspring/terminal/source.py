"""Configuration files, as the command line reads and compares them."""

from __future__ import annotations

import dataclasses
import pathlib
import sys
from collections.abc import Iterable

import msgspec

from toucanspring import errors, resources
from toucanspring.configuration import reader, syntax, text
from toucanspring.terminal import client, console


def read(path: str) -> str:
    """Return the text of a file, or of the standard input for `-`."""
    try:
        if path == "-":
            content = sys.stdin.buffer.read(syntax.MAX_TEXT_BYTES + 1)
        else:
            with pathlib.Path(path).open("rb") as file:
                content = file.read(syntax.MAX_TEXT_BYTES + 1)
        return content.decode()
    except OSError as error:
        reason = f"{path}: {error.strerror}"
        raise console.CommandError(errors.Invalid(reason=reason, path=path)) from None
    except UnicodeDecodeError:
        raise console.CommandError(
            errors.Invalid(reason="not UTF-8", path=path, expected="a YAML text")
        ) from None


def parse(path: str) -> tuple[str, text.Cell]:
    """Return the text of a file and its cell, or raise its validation errors."""
    source = read(path)
    cell = reader.parse_all(source)
    if isinstance(cell, list):
        raise console.CommandError(cell[0], show_faults(path, cell[1:]))
    return source, cell


def show_faults(path: str, faults: Iterable[errors.Invalid]) -> str:
    """Return one line for each validation error."""
    return "\n".join(f"{path}: {console.describe(fault)}" for fault in faults)


def fetch(connection: client.Client) -> tuple[int, str]:
    """Return version and text of the configuration in force."""
    answer = console.unwrap(connection.get("/v1/config", operator=True))
    version = int(answer.headers.get("etag", "0").strip('"'))
    return version, answer.body.decode()


def show_changes(changes: list[text.Change]) -> str:
    """Return the changes between two cells, one line for each."""
    lines = []
    for change in changes:
        match change:
            case text.Added(section, name):
                lines.append(f"+ {section}.{name}")
            case text.Removed(section, name):
                lines.append(f"- {section}.{name}")
            case text.Changed(section, name, fields):
                lines += [
                    f"~ {section}.{_join_path(name, field)}: "
                    f"{_format_value(old)} -> {_format_value(new)}"
                    for field, (old, new) in fields.items()
                ]
    return "\n".join(lines) or "no changes"


def changes_value(changes: list[text.Change]) -> list[dict[str, object]]:
    """Return the changes between two cells for JSON."""
    return [
        {"change": type(change).__name__.lower(), **_to_builtins(change)}
        for change in changes
    ]


def _to_builtins(value: object) -> object:
    """Return a value for JSON, with the amounts of resources by name."""
    if dataclasses.is_dataclass(value) or isinstance(value, resources.Resources):
        names = type(value).__match_args__
        return {name: _to_builtins(getattr(value, name)) for name in names}
    if isinstance(value, dict):
        return {name: _to_builtins(each) for name, each in value.items()}
    if isinstance(value, list | tuple):
        return [_to_builtins(each) for each in value]
    return msgspec.to_builtins(value)


def _format_value(value: object) -> str:
    if isinstance(value, resources.Resources):
        return (
            f"cpus {value.cpus / 1000:g}, memory {value.memory} MiB, "
            f"accelerators {value.accelerators}"
        )
    return msgspec.json.encode(value).decode()


def _join_path(name: str, field: str) -> str:
    return name if name == field else f"{name}.{field}"
