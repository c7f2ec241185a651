"""Command `workers`."""

from toucanspring.terminal import console


def run(context: console.Context) -> console.Result:
    """List the workers of the cell."""
    value = console.unwrap(context.client.get("/v1/workers", operator=True)).json()
    rows = [
        (
            item["worker"],
            item["availability_zone"],
            item["rack"],
            item["partition"],
            item["state"],
            _cpus(item["free"], item["capacity"]),
            _memory(item["free"], item["capacity"]),
            f"{item['free'][2]}/{item['capacity'][2]}",
        )
        for item in value["workers"]
    ]
    header = (
        "WORKER",
        "ZONE",
        "RACK",
        "PARTITION",
        "STATE",
        "FREE CPUS",
        "FREE GIB",
        "FREE ACCELERATORS",
    )
    shown = [console.table(header, rows)]
    shown += [
        f"partition {item['partition']} did not answer: {item['reason']}"
        for item in value["silent_partitions"]
    ]
    if value["unchecked"]:
        shown.append(f"workers may be missing: {value['unchecked']}")
    if value["not_attached"]:
        shown.append(_show_missing(value))
    return console.Result(value, "\n".join(shown))


def _show_missing(value: dict) -> str:
    rows = [
        (
            item["worker"],
            item["availability_zone"],
            item["rack"],
            item["partition"],
            item["listed_as"],
            item["reason"],
        )
        for item in value["not_attached"]
    ]
    header = ("NOT ATTACHED", "ZONE", "RACK", "PARTITION", "LISTED AS", "REASON")
    return (
        f"\n{len(rows)} workers of the VM list are not reported by any owner:\n"
        + console.table(header, rows)
    )


def _cpus(free: list[int], capacity: list[int]) -> str:
    return f"{free[0] / 1000:g}/{capacity[0] / 1000:g}"


def _memory(free: list[int], capacity: list[int]) -> str:
    return f"{free[1] / 1024:.1f}/{capacity[1] / 1024:.1f}"
