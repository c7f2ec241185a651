"""Command `story`."""

import pathlib

import msgspec

from toucanspring import console, errors

HIDDEN = ("time", "level", "logger", "message")


def run(_context: console.Context, request_id: str, *logs: str) -> console.Result:
    """Print what the logs of several processes say of one job, in order of time.

    A line may have a prefix before its JSON object; its last word names the process.
    Changes of the coordinator while the job was open are shown as well.

    :param request_id: ID of the job, as its caller sent it
    :param logs: files with the output of the processes
    """
    entries = []
    for name in logs:
        try:
            with open(name, encoding="utf-8", errors="replace") as file:
                entries += [entry for line in file if (entry := read_line(line, name))]
        except OSError as error:
            reason = f"cannot read {name}: {error.strerror}"
            raise console.Failed(errors.Invalid(reason=reason, path=name)) from error
    entries.sort(key=lambda entry: str(entry["time"]))
    story = select(entries, request_id)
    if not story:
        raise console.Failed(errors.NotFound(reason=f"no line names {request_id}"))
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
    own = [entry for entry in entries if names(entry, request_id)]
    if not own:
        return []
    first, last = str(own[0]["time"]), str(own[-1]["time"])
    return [
        entry
        for entry in entries
        if names(entry, request_id)
        or (
            entry["message"] in ("seat_taken", "seat_left", "worker_lost")
            and first <= str(entry["time"]) <= last
        )
    ]


def names(entry: dict, request_id: str) -> bool:
    """Return whether an entry is about a job."""
    fields = (value for key, value in entry.items() if key not in HIDDEN)
    return any(request_id in str(value) for value in fields)


def show(entry: dict) -> str:
    """Return an entry as one line; of the starts of many jobs it keeps all."""
    detail = " ".join(
        f"{key}={value}"
        for key, value in entry.items()
        if key not in (*HIDDEN, "process")
    )
    return f"{entry['time']} {entry['process']} {entry['message']} {detail}"
