"""Command `workers`."""

from toucanspring import console


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
    return console.Result(value, console.table(header, rows))


def _cpus(free: list[int], capacity: list[int]) -> str:
    return f"{free[0] / 1000:g}/{capacity[0] / 1000:g}"


def _memory(free: list[int], capacity: list[int]) -> str:
    return f"{free[1] / 1024:.1f}/{capacity[1] / 1024:.1f}"
