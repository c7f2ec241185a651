"""Command `apply`."""

import gevent

from toucanspring import errors, uptime
from toucanspring.configuration import reader, text
from toucanspring.terminal import client, console, source

CONFIRM_POLL_S = 0.2


def run(
    context: console.Context,
    path: str,
    *,
    base: int | None = None,
    wait: bool = False,
    wait_s: float = 60.0,
) -> console.Result:
    """Apply a configuration.

    :param path: file with the configuration, or `-` for the standard input
    :param base: version that the change is based on; by default the one in force now
    :param wait: wait until every live process has the version in force
    :param wait_s: limit on that wait in seconds
    """
    new_source, new = source.parse(path)
    version, old_source = source.fetch(context.client)
    old = reader.parse(old_source)
    changes = text.diff(old, new) if isinstance(old, text.Cell) else []
    base_version = version if base is None else base
    applied = _put(context.client, new_source, base_version)
    lines = [source.show_changes(changes), f"version {applied} is in force"]
    if applied == base_version:
        lines = [f"unchanged: version {applied} is in force"]
    value: dict[str, object] = {
        "version": applied,
        "unchanged": applied == base_version,
        "changes": source.changes_value(changes),
    }
    if wait:
        confirmed, unreachable = _wait_until_confirmed(context.client, applied, wait_s)
        value |= {"confirmed": confirmed, "unreachable": unreachable}
        lines.append(f"confirmed by {len(confirmed)} processes")
        if unreachable:
            lines.append("unreachable: " + ", ".join(unreachable))
    return console.Result(value, "\n".join(lines))


def _put(connection: client.Client, content: str, base_version: int) -> int:
    result = connection.call(
        "PUT",
        "/v1/config",
        content.encode(),
        {"If-Match": f'"{base_version}"', "Content-Type": "application/yaml"},
        operator=True,
    )
    match result:
        case client.Answer():
            return result.json()["version"]
        case errors.Conflict(current_version=current) if (
            connection.answer_was_lost and current == base_version + 1
        ):
            # The attempt whose answer was lost may have taken effect.
            version, source_in_force = source.fetch(connection)
            if version == current and source_in_force == content:
                return version
    raise console.CommandError(result)


def _wait_until_confirmed(
    connection: client.Client, version: int, limit_s: float
) -> tuple[list[str], list[str]]:
    """Return the processes that confirmed a version, and the unreachable ones."""
    deadline = uptime.now() + limit_s
    progress = console.Progress()
    while True:
        answer = console.unwrap(
            connection.get(f"/v1/config/confirmations?version={version}", operator=True)
        )
        value = answer.json()
        found, unreachable = value["processes"], value["unreachable"]
        missing = sorted(
            name
            for name, is_confirmed in found.items()
            if not is_confirmed and name not in unreachable
        )
        if not missing:
            progress.end()
            return sorted(
                name for name, is_confirmed in found.items() if is_confirmed
            ), [name for name in unreachable if not found[name]]
        progress.show(
            f"version {version}: {len(found) - len(missing)} of {len(found)} confirmed"
        )
        if uptime.now() > deadline:
            progress.end()
            names = ", ".join(missing)
            raise console.CommandError(
                errors.Timeout(reason=f"version {version} not confirmed by {names}")
            )
        gevent.sleep(CONFIRM_POLL_S)
