"""Output of the command line: tables, progress, failures and exit codes."""

from __future__ import annotations

import dataclasses
import sys
from collections.abc import Iterable, Sequence
from typing import TextIO

import msgspec

from toucanspring import errors, uptime
from toucanspring.terminal import client

EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_INVALID = 3
EXIT_CONFLICT = 4
EXIT_FORBIDDEN = 5
EXIT_NOT_FOUND = 6
EXIT_NOT_RUN = 7
EXIT_UNKNOWN = 8
EXIT_JOB_FAILED = 9
EXIT_TIMEOUT = 10

EXIT_CODES: dict[type[errors.Failure], int] = {
    errors.Invalid: EXIT_INVALID,
    errors.Malformed: EXIT_INVALID,
    errors.Oversized: EXIT_INVALID,
    errors.Conflict: EXIT_CONFLICT,
    errors.Forbidden: EXIT_FORBIDDEN,
    errors.NotFound: EXIT_NOT_FOUND,
    errors.NotRun: EXIT_NOT_RUN,
    errors.Overloaded: EXIT_NOT_RUN,
    errors.Unavailable: EXIT_NOT_RUN,
    errors.Unknown: EXIT_UNKNOWN,
    errors.Ambiguous: EXIT_UNKNOWN,
    errors.Timeout: EXIT_TIMEOUT,
    errors.Failure: EXIT_FAILURE,
}
# Interval of progress lines when the error output is not a terminal.
LINE_INTERVAL_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Arguments that every command gets in addition to its own parameters."""

    client: client.Client
    json: bool
    timeout_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Output of a command: `value` for JSON, `text` for plain output."""

    value: object
    text: str
    status: int = 0


class CommandError(Exception):
    """Ends a command with a failure; plain output also has `detail`."""

    def __init__(self, failure: errors.Failure, detail: str = "") -> None:
        super().__init__(failure.reason)
        self.failure = failure
        self.detail = detail


def unwrap(result: object) -> object:
    """Return a result, or raise `CommandError` if it is a failure."""
    if isinstance(result, errors.Failure):
        raise CommandError(result)
    return result


def exit_code(failure: errors.Failure) -> int:
    """Return the exit code of the type of a failure, or of its base type."""
    return next(
        EXIT_CODES[kind] for kind in type(failure).__mro__ if kind in EXIT_CODES
    )


def table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return rows under a header in aligned columns; numbers are right-aligned."""
    cells = [list(header), *([_show(cell) for cell in row] for row in rows)]
    if len(cells) == 1:
        return "none"
    widths = [max(len(row[index]) for row in cells) for index in range(len(header))]
    numeric = [
        all(_is_number(row[index]) for row in cells[1:]) for index in range(len(header))
    ]
    lines = []
    for row in cells:
        aligned = (
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(row, widths, numeric, strict=True)
        )
        lines.append("  ".join(aligned).rstrip())
    return "\n".join(lines)


def _show(cell: object) -> str:
    match cell:
        case None:
            return "-"
        case bool():
            return "yes" if cell else "no"
        case float():
            return f"{cell:.2f}"
    text = str(cell)
    # Names come from other users; control characters must not reach the terminal.
    return "".join(char if char.isprintable() else "?" for char in text)


def _is_number(cell: str) -> bool:
    return cell.replace(".", "", 1).replace("%", "", 1).lstrip("-").isdigit()


def percent(fraction: float) -> str:
    """Return a fraction as a percentage."""
    return f"{fraction * 100:.1f}%"


def seconds(value: float) -> str:
    """Return a duration in a short form."""
    if value < 120:
        return f"{value:.0f} s"
    if value < 7200:
        return f"{value / 60:.0f} min"
    return f"{value / 3600:.1f} h"


class Progress:
    """Show the progress of a long wait on the error output."""

    def __init__(self, output: TextIO | None = None) -> None:
        self._output = output or sys.stderr
        self._is_terminal = self._output.isatty()
        self._shown_at = uptime.now()
        self._width = 0

    def show(self, text: str) -> None:
        """Replace the progress line; without a terminal, add one per interval."""
        if self._is_terminal:
            self._output.write("\r" + text.ljust(self._width))
            self._width = len(text)
            self._output.flush()
        elif uptime.now() - self._shown_at >= LINE_INTERVAL_S:
            self._shown_at = uptime.now()
            print(text, file=self._output, flush=True)

    def end(self) -> None:
        """Remove the progress line."""
        if self._is_terminal and self._width:
            self._output.write("\r" + " " * self._width + "\r")
            self._output.flush()


def print_result(result: Result, as_json: bool) -> None:
    """Print the result of a command to the standard output."""
    if as_json:
        print(msgspec.json.encode(result.value, order="deterministic").decode())
    elif result.text:
        print(result.text)


def print_failure(failed: CommandError, as_json: bool) -> None:
    """Print a failure with its type to the error output."""
    failure = failed.failure
    if as_json:
        body = {"error": errors.to_dict(failure)}
        print(msgspec.json.encode(body).decode(), file=sys.stderr)
        return
    print(f"error: {failure.kind}: {describe(failure)}", file=sys.stderr)
    if failed.detail:
        print(failed.detail, file=sys.stderr)


def describe(failure: errors.Failure) -> str:
    """Return one line with all details of a failure."""
    match failure:
        case errors.Invalid():
            place = f"line {failure.line}: " if failure.line else ""
            path = f"{failure.path}: " if failure.path else ""
            value = f", got {failure.value!r}" if failure.value else ""
            expected = f" (expected {failure.expected})" if failure.expected else ""
            return _show(f"{place}{path}{failure.reason}{value}{expected}")
        case errors.Conflict() if failure.current_version or failure.given_version:
            return _show(
                f"{failure.reason}: version {failure.current_version} is in force, "
                f"the change is based on version {failure.given_version}"
            )
        case errors.Overloaded():
            return _show(f"{failure.reason} (retry after {failure.retry_after_s:g} s)")
    return _show(failure.reason or failure.kind)
