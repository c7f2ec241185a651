"""Command `events`."""

import datetime
import re
import urllib.parse

from toucanspring import errors
from toucanspring.terminal import console

UNITS_S = {"s": 1, "m": 60, "h": 3600, "d": 86400}
COMMON_FIELDS = ("time", "last", "count", "process", "kind")


def run(
    context: console.Context,
    *,
    since: str = "1h",
    kind: str = "",
    subject: str = "",
) -> console.Result:
    """Show the automatic actions of the cell, with their causes.

    :param since: how far back, such as 30m, 2h or 4d
    :param kind: only this kind, such as worker_lost
    :param subject: only about this worker, job, zone, rack, process or service;
        partition:2 names a partition
    """
    filters = {"since": _seconds(since), "kind": kind, "subject": subject}
    query = urllib.parse.urlencode({name: v for name, v in filters.items() if v})
    reply = context.client.get(f"/v1/events?{query}", operator=True)
    value = console.unwrap(reply).json()
    rows = [
        (show_time(item["time"]), item["process"], item["kind"], item["count"], detail)
        for item in value["events"]
        for detail in [show_detail(item)]
    ]
    header = ("TIME (UTC)", "PROCESS", "KIND", "COUNT", "ABOUT")
    shown = [console.table(header, rows)]
    if value["omitted"]:
        shown.append(f"{value['omitted']} earlier entries are not shown")
    if value["missing"]:
        names = ", ".join(value["missing"])
        shown.append(f"without unwritten events of: {names}")
    if value["store_missing"]:
        shown.append(f"without written events: {value['store_missing']}")
    if value["lost"]:
        shown.append(f"without {value['lost']} events that were dropped")
    return console.Result(value, "\n".join(shown))


def show_time(seconds: float) -> str:
    """Return date and time in UTC."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")


def show_detail(item: dict) -> str:
    """Return the fields that are not common to all kinds."""
    return " ".join(
        f"{name}={_show_value(value)}"
        for name, value in item.items()
        if name not in COMMON_FIELDS and value not in ("", [])
    )


def _show_value(value: object) -> str:
    match value:
        case list():
            return ",".join(str(each) for each in value)
        case float():
            return f"{value:.1f}"
    return str(value)


def _seconds(text: str) -> int:
    found = re.fullmatch(r"(\d{1,7})([smhd])", text)
    if found is None:
        raise console.CommandError(
            errors.Invalid(
                reason="invalid duration",
                path="since",
                value=text,
                expected="such as 30m, 2h or 4d",
            )
        )
    return int(found[1]) * UNITS_S[found[2]]
