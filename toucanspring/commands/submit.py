"""Command `submit`."""

import secrets

import msgspec

from toucanspring.commands import wait as wait_command
from toucanspring.terminal import console


def run(
    context: console.Context,
    name: str,
    *,
    id: str = "",  # noqa: A002 - name of the option
    tasks: int | None = None,
    payload: str | None = None,
    after: list[str] | None = None,
    zones: list[str] | None = None,
    wait: bool = False,
) -> console.Result:
    """Submit a job of the configuration.

    :param name: name of the job in the configuration
    :param id: job ID; submitting the same content again under it starts nothing
    :param tasks: number of tasks instead of the configured one
    :param payload: payload instead of the configured one
    :param after: IDs of jobs that must be done first
    :param zones: availability zones to run in
    :param wait: wait until the job has ended
    """
    # The client chooses the ID, so that a retry after a lost answer cannot start a
    # second job.
    item: dict[str, object] = {
        "id": id or f"{name}-{secrets.token_hex(6)}",
        "template": name,
    }
    given = {"tasks": tasks, "payload": payload, "after": after, "zones": zones}
    item |= {field: value for field, value in given.items() if value is not None}
    answer = console.unwrap(
        context.client.call(
            "POST",
            "/v1/jobs",
            msgspec.json.encode({"jobs": [item]}),
            {"Content-Type": "application/json"},
        )
    )
    accepted = answer.json()["jobs"]
    job_id = str(item["id"])
    if wait:
        return wait_command.run(context, job_id)
    return console.Result({"jobs": accepted}, job_id)
