"""Command `member gone`."""

import urllib.parse

from toucanspring.terminal import console


def confirm_gone(context: console.Context, name: str) -> console.Result:
    """Confirm that a toucanspring process was destroyed and never runs again.

    Use it only when its VM is certainly gone: a process that still runs without access
    to the store could go on starting work for up to 30 minutes.

    :param name: name of the process
    """
    target = f"/v1/members/{urllib.parse.quote(name, safe='')}/gone"
    value = console.unwrap(context.client.call("POST", target, operator=True)).json()
    return console.Result(value, f"process {name} is confirmed as gone")
