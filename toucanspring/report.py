"""Reports for operators: shares of teams, waiting work, error budgets.

Each process contributes what it counts (`collect`); the process that was asked joins
the contributions (`build`).
"""

from __future__ import annotations

import dataclasses
import time

from toucanspring import burn, kernel, resources, text

NAMES = ("share", "waiting", "burn")


def collect(core: kernel.Kernel, name: str) -> dict[str, object]:
    """Return the contribution of this process to a report."""
    if name == "burn":
        return {"buckets": core.find("requests").burn.export(time.monotonic())}
    # Sums over the partitions that this process owns: `capacity` and `use` by team
    # in cpus, memory, accelerators, `waiting` by team and class with tasks and the
    # seconds that the oldest waits.
    summary = core.find("partitions").summary()
    if name == "share":
        return {"capacity": summary["capacity"], "use": summary["use"]}
    return {"jobs": summary["waiting"], "requests": core.find("requests").waiting()}


def build(
    name: str, cell: text.Cell, parts: list[dict[str, object]]
) -> dict[str, object]:
    """Return a report from the contributions of all processes."""
    match name:
        case "share":
            return {"teams": _shares(cell, parts)}
        case "waiting":
            return {"jobs": _waiting_jobs(parts), "requests": _waiting_requests(parts)}
    objectives = {service.name: service.objective for service in cell.services.values()}
    budgets = burn.evaluate([part["buckets"] for part in parts], objectives)
    return {"budgets": [dataclasses.asdict(budget) for budget in budgets]}


def _shares(cell: text.Cell, parts: list[dict[str, object]]) -> list[dict[str, object]]:
    """Return the use of each team next to what its share entitles it to.

    The entitlement counts all teams; a team whose neighbours are idle may use more.
    """
    capacity = resources.ZERO
    use: dict[str, resources.Resources] = {}
    for part in parts:
        capacity += resources.Resources(*part["capacity"])
        for team, amount in part["use"].items():
            use[team] = use.get(team, resources.ZERO) + resources.Resources(*amount)
    total = sum(team.share for team in cell.teams.values()) or 1.0
    rows = []
    for team in cell.teams.values():
        used = use.get(team.name, resources.ZERO)
        entitled = team.share / total
        fraction = used.dominant(capacity)
        rows.append(
            {
                "team": team.name,
                "organisation": team.organisation,
                "entitled": entitled,
                "used": fraction,
                "deviation": fraction - entitled,
                "of_ceiling": used.dominant(team.ceiling),
                "cpus": used.cpus / 1000,
                "memory": used.memory,
                "accelerators": used.accelerators,
            }
        )
    return rows


def _waiting_jobs(parts: list[dict[str, object]]) -> list[dict[str, object]]:
    joined: dict[tuple[str, str], list[float]] = {}
    for part in parts:
        for team, classes in part["jobs"].items():
            for job_class, (tasks, oldest_s) in classes.items():
                row = joined.setdefault((team, job_class), [0, 0.0])
                row[0] += tasks
                row[1] = max(row[1], oldest_s)
    return [
        {"team": team, "class": job_class, "tasks": tasks, "oldest_s": oldest_s}
        for (team, job_class), (tasks, oldest_s) in sorted(joined.items())
    ]


def _waiting_requests(parts: list[dict[str, object]]) -> list[dict[str, object]]:
    joined: dict[tuple[str, str], int] = {}
    for part in parts:
        for service, classes in part["requests"].items():
            for job_class, count in classes.items():
                key = (service, job_class)
                joined[key] = joined.get(key, 0) + count
    return [
        {"service": service, "class": job_class, "requests": count}
        for (service, job_class), count in sorted(joined.items())
    ]
