"""Command `show`."""

from toucanspring.terminal import console, source


def run(context: console.Context) -> console.Result:
    """Print the configuration in force."""
    version, content = source.fetch(context.client)
    return console.Result({"version": version, "source": content}, content.rstrip())
