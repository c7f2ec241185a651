"""Command `report`."""

import pathlib
from typing import Literal

from toucanspring import errors
from toucanspring.reporting import page
from toucanspring.terminal import console


def run(
    context: console.Context,
    name: Literal["share", "waiting", "burn"],
    *,
    html: str | None = None,
) -> console.Result:
    """Show shares of teams, waiting work or error budgets.

    :param name: which report
    :param html: also write a self-contained page with plots to this file
    """
    value = console.unwrap(
        context.client.get(f"/v1/reports/{name}", operator=True)
    ).json()
    shown = FORMATTERS[name](value)
    shown = "\n".join([shown, *page.missing_data(value)])
    if html is not None:
        try:
            pathlib.Path(html).write_text(page.render(name, value), encoding="utf-8")
        except OSError as error:
            reason = f"{html}: {error.strerror}"
            raise console.CommandError(errors.Refused(reason=reason)) from None
    return console.Result(value, shown)


def _show_share(value: dict) -> str:
    rows = [
        (
            item["team"],
            item["organisation"],
            console.percent(item["entitled"]),
            console.percent(item["used"]),
            console.percent(item["deviation"]),
            console.percent(item["of_ceiling"]),
        )
        for item in value["teams"]
    ]
    header = ("TEAM", "ORGANISATION", "SHARE", "USED", "DEVIATION", "OF CEILING")
    return console.table(header, rows)


def _show_waiting(value: dict) -> str:
    jobs = [
        (item["team"], item["class"], item["tasks"], console.seconds(item["oldest_s"]))
        for item in value["jobs"]
    ]
    requests = [
        (item["service"], item["class"], item["requests"]) for item in value["requests"]
    ]
    return "\n\n".join(
        (
            console.table(("TEAM", "CLASS", "TASKS", "OLDEST"), jobs)
            if jobs
            else "no tasks wait",
            console.table(("SERVICE", "CLASS", "REQUESTS"), requests)
            if requests
            else "no requests wait",
        )
    )


def _show_burn(value: dict) -> str:
    if not value["budgets"]:
        return "no requests were counted"
    rows = [
        (
            item["service"],
            item["team"] or "(all)",
            f"{item['objective']:g}%",
            *(f"{window['rate']:.2f}" for window in item["windows"]),
            console.percent(item["left"]),
            item["alert"],
        )
        for item in value["budgets"]
    ]
    windows = value["budgets"][0]["windows"]
    names = [console.seconds(window["seconds"]).upper() for window in windows]
    header = ("SERVICE", "TEAM", "OBJECTIVE", *names, "LEFT", "ALERT")
    return console.table(header, rows)


FORMATTERS = {"share": _show_share, "waiting": _show_waiting, "burn": _show_burn}
