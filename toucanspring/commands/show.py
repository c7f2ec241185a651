"""Command `show`."""

from toucanspring.terminal import console, source


def run(context: console.Context) -> console.Result:
    """Print the operators' text in force."""
    version, content = source.fetch(context.client)
    return console.Result({"version": version, "source": content}, content.rstrip())
