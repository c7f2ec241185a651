"""Command `story`."""

import pathlib

import msgspec

from toucanspring import errors
from toucanspring.terminal import console

HIDDEN_FIELDS = ("time", "level", "logger", "message")


def run(_context: console.Context, request_id: str, *logs: str) -> console.Result:
    """Print the log lines of several processes about one request, in order of time.

    A line may have a prefix before its JSON object; its last word names the process.
    All lines of the job of the request are shown, and changes of the coordinator while
    the job was open.

    :param request_id: ID of the job or of one request, as the caller sent it
    :param logs: files with the output of the processes
    """
    entries = []
    for name in logs:
        try:
            with open(name, encoding="utf-8", errors="replace") as file:
                entries += [entry for line in file if (entry := read_line(line, name))]
        except OSError as error:
            reason = f"cannot read {name}: {error.strerror}"
            raise console.CommandError(
                errors.Invalid(reason=reason, path=name)
            ) from error
    entries.sort(key=lambda entry: str(entry["time"]))
    story = select(entries, request_id)
    if not story:
        raise console.CommandError(
            errors.NotFound(reason=f"no log line mentions {request_id}")
        )
    return console.Result(story, "\n".join(show(entry) for entry in story))


def read_line(line: str, name: str) -> dict | None:
    """Return the entry of one line; None if it is not a log line."""
    prefix, brace, rest = line.partition("{")
    try:
        entry = msgspec.json.decode((brace + rest).encode())
    except msgspec.DecodeError:
        return None
    if not isinstance(entry, dict) or "message" not in entry or "time" not in entry:
        return None
    words = prefix.split()
    entry["process"] = words[-1] if words else pathlib.Path(name).stem
    return entry


def select(entries: list[dict], request_id: str) -> list[dict]:
    """Return the entries of a job and the takeovers between the first and the last."""
    ids = {request_id}
    for entry in entries:
        if entry.get("request") == request_id:
            ids.add(get_job_id(entry))
    matching = [entry for entry in entries if mentions(entry, ids)]
    if not matching:
        return []
    first, last = str(matching[0]["time"]), str(matching[-1]["time"])
    return [
        entry
        for entry in entries
        if mentions(entry, ids)
        or (
            entry["message"] in ("seat_taken", "seat_left", "worker_lost")
            and first <= str(entry["time"]) <= last
        )
    ]


def get_job_id(entry: dict) -> str:
    """Return the job of a request, by its field or the end of its path."""
    return str(entry.get("job") or entry.get("path", "").rpartition("/")[2])


def mentions(entry: dict, ids: set[str]) -> bool:
    """Return whether a field of an entry contains one of the IDs."""
    fields = [str(value) for key, value in entry.items() if key not in HIDDEN_FIELDS]
    return any(name and name in field for name in ids for field in fields)


def show(entry: dict) -> str:
    """Return an entry as one line, not shortened even if it lists many jobs."""
    detail = " ".join(
        f"{key}={value}"
        for key, value in entry.items()
        if key not in (*HIDDEN_FIELDS, "process")
    )
    return f"{entry['time']} {entry['process']} {entry['message']} {detail}"
