"""Commands `partitions show` and `partitions set`."""

import msgspec

from toucanspring import errors
from toucanspring.terminal import console

TARGET = "/v1/partitions"
COLUMNS = ("PARTITION", "JOBS", "REQUESTS", "IN USE", "FORMER NUMBERS")


def show(context: console.Context) -> console.Result:
    """Show the number of partitions, and work that is left from former numbers."""
    value = console.unwrap(context.client.get(TARGET, operator=True)).json()
    lines = [f"{value['partitions']} partitions (generation {value['generation']})"]
    if value["former"]:
        lines.append("former numbers: " + ", ".join(map(str, value["former"])))
        rows = [_row(item) for item in value["held"]]
        lines.append(console.table(COLUMNS, rows))
    return console.Result(value, "\n".join(lines))


def change(context: console.Context, number: int) -> console.Result:
    """Set the number of partitions; work stays where it is until it has ended.

    :param number: number of partitions
    """
    present = console.unwrap(context.client.get(TARGET, operator=True)).json()
    found = context.client.call(
        "PUT",
        TARGET,
        msgspec.json.encode({"partitions": number}),
        {"If-Match": f'"{present["generation"]}"', "Content-Type": "application/json"},
        operator=True,
    )
    if isinstance(found, errors.Conflict) and context.client.answer_was_lost:
        # The conflict may be with this change, committed by an earlier attempt.
        again = console.unwrap(context.client.get(TARGET, operator=True)).json()
        if again["partitions"] == number:
            return _changed(again)
    return _changed(console.unwrap(found).json())


def _changed(value: dict) -> console.Result:
    text = f"{value['partitions']} partitions (generation {value['generation']})"
    return console.Result(value, text)


def _row(item: dict) -> tuple[str, ...]:
    if "silent" in item:
        return (str(item["partition"]), "?", "?", "?", item["silent"])
    return (
        str(item["partition"]),
        str(item["jobs"]),
        str(item["requests"]),
        "yes" if item["in_use"] else "no",
        ", ".join(map(str, item["former"])),
    )
