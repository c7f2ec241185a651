"""Command `explain`."""

import urllib.parse

from toucanspring import console


def run(context: console.Context, job_id: str) -> console.Result:
    """Say why a job waits, or why it ran where it did.

    :param job_id: job ID
    """
    target = f"/v1/jobs/{urllib.parse.quote(job_id, safe='')}/explain"
    value = console.unwrap(context.client.get(target)).json()
    lines = [f"job {value['job_id']}: {value['state']}"]
    if value["rank"]:
        lines.append(f"rank in its queue: {value['rank']}")
    lines += [f"waits for {item}" for item in value["waits_for"]]
    lines += [f"{count} workers: {why}" for why, count in value["rejected"].items()]
    lines += [f"{task}: {where}" for task, where in value["placements"].items()]
    return console.Result(value, "\n".join(lines))
