"""Command `cancel`."""

import msgspec

from toucanspring import errors
from toucanspring.terminal import console


def run(context: console.Context, *jobs: str) -> console.Result:
    """Cancel jobs.

    :param jobs: job IDs
    """
    answer = console.unwrap(
        context.client.call(
            "POST",
            "/v1/cancellations",
            msgspec.json.encode({"ids": jobs}),
            {"Content-Type": "application/json"},
        )
    )
    items = answer.json()["jobs"]
    failures = [errors.from_dict(item["error"]) for item in items if "error" in item]
    rows = [
        (item["id"], item.get("result", "failed"), item.get("error", {}).get("reason"))
        for item in items
    ]
    return console.Result(
        {"jobs": items},
        console.table(("JOB", "RESULT", "REASON"), rows),
        console.exit_code(failures[0]) if failures else 0,
    )
