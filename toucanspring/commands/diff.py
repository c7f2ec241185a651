"""Command `diff`."""

from toucanspring.configuration import reader, text
from toucanspring.terminal import console, source


def run(
    context: console.Context, path: str, *, against: str | None = None
) -> console.Result:
    """Show what a configuration would change.

    :param path: file with the new configuration, or `-` for the standard input
    :param against: file to compare with instead of the configuration in force
    """
    _, new = source.parse(path)
    if against is None:
        version, in_force = source.fetch(context.client)
        old = console.unwrap(reader.parse(in_force))
    else:
        version, (_, old) = 0, source.parse(against)
    changes = text.diff(old, new)
    starts = [text.apply_id(each) for each in text.jobs_to_start(old, new)]
    shown = source.show_changes(changes)
    if starts:
        shown += "\nstarts: " + ", ".join(starts)
    return console.Result(
        {
            "version": version,
            "changes": source.changes_value(changes),
            "starts": starts,
        },
        shown,
    )
