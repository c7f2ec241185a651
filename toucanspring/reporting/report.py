"""Reports for operators: shares of teams, waiting work, error budgets.

Each process returns its own counts (`collect`); the process that serves the request
merges the contributions (`build`).
"""

from __future__ import annotations

import dataclasses
import time

import gevent
import msgspec
from gevent import event

from toucanspring import errors, kernel, resources, uptime
from toucanspring.configuration import text
from toucanspring.owners import inbox
from toucanspring.reporting import budgets, burn
from toucanspring.scheduling import summary

NAMES = ("share", "waiting", "burn")
# Partitions that do not answer in time, such as while loading their log, are left out.
ASK_LIMIT_S = 1.0


class Contribution(msgspec.Struct):
    """Contribution of one process to a report."""

    summary: summary.Summary | None = None
    requests: dict[str, dict[str, int]] = {}
    budgets: budgets.Export | None = None


_decoder = msgspec.msgpack.Decoder(Contribution)


def encode(part: Contribution) -> bytes:
    """Encode a contribution for a peer."""
    return msgspec.msgpack.encode(part)


def decode(body: bytes) -> Contribution | errors.Malformed:
    """Decode the contribution of a peer."""
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        return errors.Malformed(reason=str(error))


def collect(core: kernel.Kernel, name: str) -> Contribution:
    """Return the contribution of this process to a report."""
    if name == "burn":
        return Contribution(budgets=core.find("budgets").export())
    part = Contribution(summary=_summarise_owned(core))
    if name == "waiting":
        part.requests = core.find("requests").waiting()
    return part


def _summarise_owned(core: kernel.Kernel) -> summary.Summary:
    """Return the sums over the partitions of this process that answer in time."""
    now = uptime.now()
    results = []
    for owned in core.find("partitions").owned().values():
        result = event.AsyncResult()
        owned.post(
            inbox.SchedulerQuery(lambda scheduler: scheduler.summary(now), result)
        )
        results.append(result)
    merged = summary.Summary()
    for result in gevent.wait(results, timeout=ASK_LIMIT_S):
        merged.add(result.get())
    return merged


def read_store(core: kernel.Kernel, name: str) -> list[budgets.Row] | errors.Failure:
    """Return the stored rows for a report; call it before requesting contributions."""
    if name != "burn":
        return []
    rows = budgets.read_rows(core.find("store").tables)
    if isinstance(rows, errors.Failure):
        return rows
    return [row for _, row in rows.values()]


def build(
    name: str,
    cell: text.Cell,
    parts: list[Contribution],
    stored: list[budgets.Row] | errors.Failure = (),
) -> dict[str, object]:
    """Return a report from the contributions of all processes and of the store."""
    merged = summary.Summary()
    for part in parts:
        if part.summary is not None:
            merged.add(part.summary)
    match name:
        case "share":
            return {"teams": _shares(cell, merged)}
        case "waiting":
            return {"jobs": _waiting_jobs(merged), "requests": _waiting_requests(parts)}
    return _budgets(cell, parts, stored)


def _budgets(
    cell: text.Cell,
    parts: list[Contribution],
    stored: list[budgets.Row] | errors.Failure,
) -> dict[str, object]:
    objectives = {service.name: service.objective for service in cell.services.values()}
    exports = [part.budgets for part in parts if part.budgets is not None]
    unread = isinstance(stored, errors.Failure)
    minute = int(time.time() // 60)
    found = budgets.join([] if unread else stored, exports, minute)
    return {
        "budgets": [
            dataclasses.asdict(budget) for budget in burn.evaluate(found, objectives)
        ],
        # Without the store, the counts of processes that have ended are missing.
        "store_missing": stored.reason or stored.kind if unread else "",
        "lost": sum(export.lost for export in exports),
    }


def _shares(cell: text.Cell, merged: summary.Summary) -> list[dict[str, object]]:
    """Return the use of each team and the fraction its share entitles it to.

    The entitlement is relative to all teams; a team may use more while others are idle.
    """
    total = sum(team.share for team in cell.teams.values()) or 1.0
    rows = []
    for team in cell.teams.values():
        used = merged.use.get(team.name, resources.ZERO)
        entitled = team.share / total
        fraction = used.dominant(merged.capacity)
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


def _waiting_jobs(merged: summary.Summary) -> list[dict[str, object]]:
    return [
        {
            "team": team,
            "class": job_class,
            "tasks": entry.tasks,
            "oldest_s": entry.oldest_s,
        }
        for team, classes in sorted(merged.waiting.items())
        for job_class, entry in sorted(classes.items())
    ]


def _waiting_requests(parts: list[Contribution]) -> list[dict[str, object]]:
    merged: dict[tuple[str, str], int] = {}
    for part in parts:
        for service, classes in part.requests.items():
            for job_class, count in classes.items():
                key = (service, job_class)
                merged[key] = merged.get(key, 0) + count
    return [
        {"service": service, "class": job_class, "requests": count}
        for (service, job_class), count in sorted(merged.items())
    ]
