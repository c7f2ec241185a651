"""Command `explain`."""

import urllib.parse

from toucanspring.commands import events
from toucanspring.terminal import console


def run(context: console.Context, job_id: str) -> console.Result:
    """Explain why a job waits, or why it ran where it did.

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
    lines += [_show_action(item) for item in value["actions"]]
    if value["actions_missing"]:
        names = ", ".join(value["actions_missing"])
        lines.append(f"actions may be missing: no answer from {names}")
    if value["actions_store_missing"]:
        reason = value["actions_store_missing"]
        lines.append(f"actions may be missing: {reason}")
    return console.Result(value, "\n".join(lines))


def _show_action(item: dict) -> str:
    times = f" {item['count']} times" if item["count"] > 1 else ""
    place = events.show_detail({**item, "job": ""})
    moment = events.show_time(item["time"])
    return f"{moment} {item['process']}: {item['kind']}{times} {place}"
