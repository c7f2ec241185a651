"""Entry point `toucanspring`: the command line of operators and submitters.

Exit codes: 0 success, 1 other failure, 2 usage error, 3 invalid input, 4 conflict,
5 forbidden, 6 not found, 7 not run or unavailable, 8 outcome unknown, 9 the job
failed or did not run, 10 time limit.
"""

from __future__ import annotations

import getpass
import inspect
import os
import sys
from collections.abc import Callable, Mapping

import defopt

from toucanspring import errors
from toucanspring.commands import (
    apply,
    cancel,
    diff,
    events,
    explain,
    history,
    key,
    member,
    partitions,
    report,
    show,
    status,
    story,
    submit,
    validate,
    wait,
    workers,
    zone,
)
from toucanspring.terminal import client, console

PREFIX = "TOUCANSPRING_"
COMMANDS = {
    "validate": validate.run,
    "apply": apply.run,
    "show": show.run,
    "diff": diff.run,
    "history": history.run,
    "submit": submit.run,
    "status": status.run,
    "cancel": cancel.run,
    "wait": wait.run,
    "zone": {"out": zone.take_out, "in": zone.take_in, "list": zone.list_zones},
    "key": {"grant": key.grant, "withdraw": key.withdraw, "list": key.list_keys},
    "member": {"gone": member.confirm_gone},
    "partitions": {"show": partitions.show, "set": partitions.change},
    "workers": workers.run,
    "explain": explain.run,
    "story": story.run,
    "report": report.run,
    "events": events.run,
}
COMMON_DOC = """
    :param endpoints: entry processes as host:port or https://host:port in order of
        preference, separated by commas (TOUCANSPRING_ENDPOINTS)
    :param ca_file: PEM file with the authorities whose certificates are accepted, by
        default those of the host (TOUCANSPRING_CA_FILE)
    :param key: team key (TOUCANSPRING_KEY)
    :param operator_key: key of operators (TOUCANSPRING_OPERATOR_KEY)
    :param operator: name recorded with changes (TOUCANSPRING_OPERATOR)
    :param timeout_s: limit on each call in seconds (TOUCANSPRING_TIMEOUT_S)
    :param json: print JSON (TOUCANSPRING_JSON=1)
"""


def common_defaults(environment: Mapping[str, str]) -> dict[str, object]:
    """Return the defaults of the options that all commands have."""

    def read(name: str, default: str = "") -> str:
        return environment.get(PREFIX + name, default)

    return {
        "endpoints": read("ENDPOINTS") or "127.0.0.1:8080",
        "ca_file": read("CA_FILE"),
        # Keys are filled in later, since the help would print them as defaults.
        "key": "",
        "operator_key": "",
        "operator": read("OPERATOR") or _user(),
        "timeout_s": float(read("TIMEOUT_S", "30")),
        "json": read("JSON") not in ("", "0", "false"),
    }


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def add_common_options(
    command: Callable[..., console.Result],
    defaults: Mapping[str, object],
    environment: Mapping[str, str],
) -> Callable[..., int]:
    """Add the common options to a command and run it with a context."""
    option_types = {
        "endpoints": str,
        "ca_file": str,
        "key": str,
        "operator_key": str,
        "operator": str,
        "timeout_s": float,
        "json": bool,
    }

    def run(*arguments: object, **options: object) -> int:
        common = {name: options.pop(name) for name in option_types}
        for name in ("key", "operator_key"):
            common[name] = common[name] or environment.get(PREFIX + name.upper(), "")
        return execute(
            lambda context: command(context, *arguments, **options), **common
        )

    signature = inspect.signature(command, eval_str=True)
    command_parameters = list(signature.parameters.values())[1:]
    common = [
        inspect.Parameter(
            name,
            inspect.Parameter.KEYWORD_ONLY,
            default=defaults[name],
            annotation=kind,
        )
        for name, kind in option_types.items()
    ]
    run.__signature__ = inspect.Signature(
        [*command_parameters, *common], return_annotation=int
    )
    run.__annotations__ = {
        each.name: each.annotation for each in [*command_parameters, *common]
    }
    run.__name__ = command.__name__
    run.__module__ = command.__module__
    run.__doc__ = (
        inspect.cleandoc(command.__doc__) + "\n" + inspect.cleandoc(COMMON_DOC)
    )
    if ":param" not in command.__doc__:
        run.__doc__ = (
            inspect.cleandoc(command.__doc__) + "\n\n" + inspect.cleandoc(COMMON_DOC)
        )
    return run


def execute(
    command: Callable[[console.Context], console.Result],
    endpoints: str,
    ca_file: str,
    key: str,
    operator_key: str,
    operator: str,
    timeout_s: float,
    json: bool,
) -> int:
    """Run a command, print its result or failure, and return the exit code."""
    try:
        parsed_endpoints = [
            console.unwrap(client.parse_endpoint(item.strip()))
            for item in endpoints.split(",")
            if item.strip()
        ]
        tls = None
        if any(endpoint.secure for endpoint in parsed_endpoints):
            tls = console.unwrap(client.create_tls_context(ca_file))
        connection = client.Client(
            parsed_endpoints, key, operator_key, operator, timeout_s, tls
        )
        try:
            result = command(console.Context(connection, json, timeout_s))
        finally:
            connection.close()
    except console.CommandError as failed:
        console.print_failure(failed, json)
        return console.exit_code(failed.failure)
    console.print_result(result, json)
    return result.status


def run(arguments: list[str], environment: Mapping[str, str] = os.environ) -> int:
    """Run one command line and return its exit code."""
    try:
        defaults = common_defaults(environment)
    except ValueError:
        failure = errors.Invalid(reason="not a number", path=f"{PREFIX}TIMEOUT_S")
        console.print_failure(console.CommandError(failure), False)
        return console.EXIT_USAGE
    commands = {
        name: {
            inner: add_common_options(each, defaults, environment)
            for inner, each in entry.items()
        }
        if isinstance(entry, dict)
        else add_common_options(entry, defaults, environment)
        for name, entry in COMMANDS.items()
    }
    return defopt.run(commands, argv=arguments, short={}, no_negated_flags=True)


def main() -> None:
    """Run the command line of this process."""
    try:
        sys.exit(run(sys.argv[1:]))
    except KeyboardInterrupt:
        sys.exit(130)
    except BrokenPipeError:
        # The reader of the output has closed the pipe; the flush at exit would fail
        # again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(console.EXIT_FAILURE)


if __name__ == "__main__":
    main()
