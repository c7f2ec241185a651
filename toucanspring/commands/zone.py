"""Commands `zone out`, `zone in` and `zone list`."""

import urllib.parse

from toucanspring.terminal import console


def take_out(context: console.Context, name: str) -> console.Result:
    """Take an availability zone out of service.

    :param name: name of the availability zone
    """
    return _change(context, name, "out")


def take_in(context: console.Context, name: str) -> console.Result:
    """Return an availability zone to service.

    :param name: name of the availability zone
    """
    return _change(context, name, "in")


def list_zones(context: console.Context) -> console.Result:
    """List the availability zones."""
    value = console.unwrap(context.client.get("/v1/zones", operator=True)).json()
    rows = [
        (item["name"], item["region"], "out" if item["out"] else "in service")
        for item in value["zones"]
    ]
    return console.Result(value, console.table(("ZONE", "REGION", "STATE"), rows))


def _change(context: console.Context, name: str, action: str) -> console.Result:
    target = f"/v1/zones/{urllib.parse.quote(name, safe='')}/{action}"
    value = console.unwrap(context.client.call("POST", target, operator=True)).json()
    state = "out of service" if value["out"] else "in service"
    return console.Result(value, f"{name} is {state} (version {value['version']})")
