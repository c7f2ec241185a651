"""Entries of KNOWN-RED.txt: tests and scenarios that fail because of a known fault."""

import pathlib

FILE = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def read(kind: str, file: pathlib.Path = FILE) -> set[str]:
    """Return the names that lines `<kind>: <name>` list, without other text."""
    if not file.exists():
        return set()
    prefix = f"{kind}:"
    lines = file.read_text().splitlines()
    return {line[len(prefix) :].strip() for line in lines if line.startswith(prefix)}
