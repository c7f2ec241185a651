"""Commands `key grant`, `key withdraw` and `key list`."""

import urllib.parse

import msgspec

from toucanspring.terminal import console


def grant(context: console.Context, team: str) -> console.Result:
    """Grant a key to a team; its secret is shown only once.

    :param team: name of the team
    """
    # Not retried after a lost answer, since the first attempt may have granted a key.
    answer = context.client.call(
        "POST",
        "/v1/keys",
        msgspec.json.encode({"team": team}),
        {"Content-Type": "application/json"},
        operator=True,
        repeatable=False,
    )
    value = console.unwrap(answer).json()
    return console.Result(value, f"key {value['id']}\nsecret {value['secret']}")


def withdraw(context: console.Context, key_id: str) -> console.Result:
    """Withdraw a key; it stops working within seconds.

    :param key_id: ID of the key
    """
    target = "/v1/keys/" + urllib.parse.quote(key_id, safe="")
    value = console.unwrap(context.client.call("DELETE", target, operator=True)).json()
    return console.Result(value, f"key {key_id} is withdrawn")


def list_keys(context: console.Context) -> console.Result:
    """List the keys in force, without their secrets."""
    value = console.unwrap(context.client.get("/v1/keys", operator=True)).json()
    rows = [(item["id"], item["team"], item["granted_by"]) for item in value["keys"]]
    return console.Result(value, console.table(("KEY", "TEAM", "GRANTED BY"), rows))
