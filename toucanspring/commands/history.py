"""Command `history`."""

import datetime

from toucanspring.terminal import console


def run(context: console.Context, *, limit: int = 20) -> console.Result:
    """List the latest versions of the configuration, the newest first.

    :param limit: number of versions
    """
    answer = console.unwrap(context.client.get("/v1/config/history", operator=True))
    versions = answer.json()["versions"][:limit]
    rows = [
        (
            item["version"],
            item["operator"],
            datetime.datetime.fromtimestamp(item["applied_at"]).isoformat(
                " ", "seconds"
            ),
        )
        for item in versions
    ]
    return console.Result(
        {"versions": versions}, console.table(("VERSION", "OPERATOR", "APPLIED"), rows)
    )
