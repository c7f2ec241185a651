"""Command `status`."""

import urllib.parse

from toucanspring.terminal import client, console


def run(context: console.Context, *jobs: str) -> console.Result:
    """Show jobs, or the processes of the cell if no job is named.

    :param jobs: job IDs
    """
    if not jobs:
        return _show_members(context)
    found = [fetch(context.client, job_id) for job_id in jobs]
    return console.Result({"jobs": found}, show(found))


def fetch(connection: client.Client, job_id: str) -> dict[str, object]:
    """Return the state of a job."""
    target = "/v1/jobs/" + urllib.parse.quote(job_id, safe="")
    return console.unwrap(connection.get(target)).json()


def show(jobs: list[dict[str, object]]) -> str:
    """Return a table of jobs."""
    rows = []
    for item in jobs:
        outcome = item["outcome"] or {}
        counts = ", ".join(
            f"{count} {state}" for state, count in item["counts"].items()
        )
        rows.append(
            (
                item["job_id"],
                item["name"],
                item["team"],
                outcome.get("state", "open"),
                counts,
                outcome.get("reason", ""),
            )
        )
    return console.table(("JOB", "NAME", "TEAM", "OUTCOME", "TASKS", "REASON"), rows)


def _show_members(context: console.Context) -> console.Result:
    value = console.unwrap(context.client.get("/v1/members", operator=True)).json()
    rows = [
        (
            item["process"],
            item["availability_zone"],
            f"{item['address']}:{item['http_port']}",
            item["reachable"],
        )
        for item in value["members"]
    ]
    shown = console.table(("PROCESS", "ZONE", "ADDRESS", "REACHABLE"), rows)
    versions = value["versions"]
    shown += (
        f"\nconfiguration {versions['config']}, keys {versions['keys']}, "
        f"zones {versions['zones']}, view {'fresh' if value['fresh'] else 'old'}"
    )
    return console.Result(value, shown)
