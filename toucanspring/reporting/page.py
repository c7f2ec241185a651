"""Reports as self-contained HTML pages with inline SVG plots."""

from __future__ import annotations

import html
import re
from collections.abc import Callable

BAR_HEIGHT = 16
ROW_HEIGHT = 40
LABEL_WIDTH = 190
PLOT_WIDTH = 560
VALUE_WIDTH = 110
LINE_HEIGHT = 90
AXIS_HEIGHT = 40
LEGEND_HEIGHT = 30
# Blue and orange of the Okabe-Ito palette, distinguishable for colour-blind readers.
COLOURS = ("#0072b2", "#d55e00")

STYLE = """
body { font: 15px/1.4 system-ui, sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { padding: 0.25em 0.9em; border-bottom: 1px solid #ccc; text-align: left; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
svg text { font: 12px system-ui, sans-serif; fill: #222; }
.fast { color: #b00020; font-weight: bold; } .slow { color: #8a5a00; }
"""

Bar = tuple[str, tuple[float, ...], str]  # label, values, shown text
_NUMBER = re.compile(r"-?[0-9]+(\.[0-9]+)?%?")


def render(name: str, value: dict) -> str:
    """Return the page of a report."""
    body = {"share": _share, "waiting": _waiting, "burn": _burn}[name](value)
    missing = "".join(f"<p>{html.escape(each)}</p>" for each in missing_data(value))
    title = f"toucanspring: {name}"
    return (
        f'<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{title}</title><style>{STYLE}</style></head>\n"
        f"<body><h1>{title}</h1>{missing}{body}</body></html>\n"
    )


def missing_data(value: dict) -> list[str]:
    """Return one line for each reason why a report is incomplete."""
    found = []
    if value["missing"]:
        found.append("without: " + ", ".join(value["missing"]))
    if value.get("store_missing"):
        found.append(
            "without the counts of processes that have ended: the store was not read "
            f"({value['store_missing']})"
        )
    if value.get("lost"):
        found.append(f"without {value['lost']} requests whose write was in doubt")
    return found


def bars(
    title: str,
    rows: list[Bar],
    legend: tuple[str, ...],
    axis: str,
    show: Callable[[float], str],
) -> str:
    """Return a plot with a horizontal bar for each value of each row.

    `axis` names quantity and unit; `show` returns the text of a tick.
    """
    if not rows:
        return "<p>Nothing to show.</p>"
    maximum = max(max(values) for _, values, _ in rows) or 1.0
    height = LEGEND_HEIGHT + ROW_HEIGHT * len(rows)
    parts = [_legend(legend)]
    for index, (label, values, shown) in enumerate(rows):
        y = index * ROW_HEIGHT + LEGEND_HEIGHT
        parts.append(_text(0, y + 20, label))
        for bar_index, value in enumerate(values):
            length = max(0.0, value) / maximum * PLOT_WIDTH
            parts.append(
                f'<rect x="{LABEL_WIDTH}" y="{y + bar_index * BAR_HEIGHT}" '
                f'width="{length:.1f}" height="{BAR_HEIGHT - 2}" '
                f'fill="{COLOURS[bar_index]}"/>'
            )
        parts.append(_text(LABEL_WIDTH + PLOT_WIDTH + 8, y + 20, shown))
    ticks = (show(0.0), show(maximum / 2), show(maximum))
    parts.append(_horizontal_axis(height, ticks, axis))
    return _svg(title, height + AXIS_HEIGHT, "".join(parts))


def line(values: list[float], limit: float, label: str) -> str:
    """Return a plot of fractions by hour, the latest last, with a line at `limit`."""
    if len(values) < 2:
        return ""
    maximum = max([*values, limit]) or 1.0
    step = PLOT_WIDTH / (len(values) - 1)

    def y_of(value: float) -> float:
        return LINE_HEIGHT - value / maximum * (LINE_HEIGHT - 10)

    points = " ".join(
        f"{LABEL_WIDTH + index * step:.1f},{y_of(value):.1f}"
        for index, value in enumerate(values)
    )
    y = y_of(limit)
    end = LABEL_WIDTH + PLOT_WIDTH
    first = len(values) - 1
    ticks = (f"{first}", f"{first / 2:g}", "0")
    return _svg(
        f"{label}: bad requests by hour",
        LINE_HEIGHT + AXIS_HEIGHT,
        _text(0, LINE_HEIGHT / 2, label)
        + _text(0, LINE_HEIGHT / 2 + 16, "bad requests, %")
        + _text(LABEL_WIDTH - 4, y_of(maximum) + 4, _percent(maximum), "end")
        + _text(LABEL_WIDTH - 4, LINE_HEIGHT + 4, "0%", "end")
        + f'<line x1="{LABEL_WIDTH}" x2="{LABEL_WIDTH}" y1="{y_of(maximum):.1f}" '
        f'y2="{LINE_HEIGHT}" stroke="#222"/>'
        f'<line x1="{LABEL_WIDTH}" x2="{end}" y1="{y:.1f}" y2="{y:.1f}" '
        f'stroke="{COLOURS[1]}" stroke-dasharray="4 3"/>'
        f'<polyline points="{points}" fill="none" stroke="{COLOURS[0]}" '
        f'stroke-width="2"/>'
        + _text(end + 8, y + 4, f"budget {limit * 100:g}%")
        + _horizontal_axis(LINE_HEIGHT, ticks, "hours ago"),
    )


def table(header: list[str], rows: list[list[str]]) -> str:
    """Return an HTML table; numbers are right-aligned, alerts coloured."""
    head = "".join(f'<th scope="col">{html.escape(name)}</th>' for name in header)
    lines = []
    for row in rows:
        cells = "".join(f"<td{_style(cell)}>{html.escape(cell)}</td>" for cell in row)
        lines.append(f"<tr>{cells}</tr>")
    body = "".join(lines)
    return f"<table><thead><tr>{head}</tr></thead><tbody>{body}</tbody></table>"


def _style(cell: str) -> str:
    if _NUMBER.fullmatch(cell):
        return ' class="number"'
    return f' class="{cell}"' if cell in ("fast", "slow") else ""


def _svg(title: str, height: float, content: str) -> str:
    width = LABEL_WIDTH + PLOT_WIDTH + VALUE_WIDTH
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        f'viewBox="0 0 {width} {height}" role="img">'
        f"<title>{html.escape(title)}</title>{content}</svg>"
    )


def _text(x: float, y: float, content: str, anchor: str = "start") -> str:
    return (
        f'<text x="{x:g}" y="{y:.1f}" text-anchor="{anchor}">'
        f"{html.escape(content)}</text>"
    )


def _horizontal_axis(y: float, ticks: tuple[str, ...], label: str) -> str:
    """Return an axis below a plot with evenly spaced ticks and its label."""
    end = LABEL_WIDTH + PLOT_WIDTH
    parts = [f'<line x1="{LABEL_WIDTH}" x2="{end}" y1="{y}" y2="{y}" stroke="#222"/>']
    for index, tick in enumerate(ticks):
        x = LABEL_WIDTH + PLOT_WIDTH * index / (len(ticks) - 1)
        parts.append(
            f'<line x1="{x:g}" x2="{x:g}" y1="{y}" y2="{y + 4}" stroke="#222"/>'
        )
        parts.append(_text(x, y + 17, tick, "middle"))
    parts.append(_text(LABEL_WIDTH + PLOT_WIDTH / 2, y + 34, label, "middle"))
    return "".join(parts)


def _legend(names: tuple[str, ...]) -> str:
    parts = []
    for index, name in enumerate(names):
        x = LABEL_WIDTH + index * 160
        parts.append(
            f'<rect x="{x}" y="4" width="12" height="12" fill="{COLOURS[index]}"/>'
            + _text(x + 18, 15, name)
        )
    return "".join(parts)


def _percent(fraction: float) -> str:
    return f"{fraction * 100:.1f}%"


def _share(value: dict) -> str:
    teams = value["teams"]
    rows = [
        (item["team"], (item["entitled"], item["used"]), _percent(item["used"]))
        for item in teams
    ]
    cells = [
        [
            item["team"],
            item["organisation"],
            _percent(item["entitled"]),
            _percent(item["used"]),
            _percent(item["deviation"]),
            _percent(item["of_ceiling"]),
        ]
        for item in teams
    ]
    header = ["Team", "Organisation", "Share", "Used", "Deviation", "Of ceiling"]
    plot = bars(
        "Share and use of each team",
        rows,
        ("share", "used"),
        "part of the cell by the scarcest resource, %",
        _percent,
    )
    return plot + table(header, cells)


def _waiting(value: dict) -> str:
    names = [f"{item['team']} {item['class']}" for item in value["jobs"]]
    tasks = [item["tasks"] for item in value["jobs"]]
    ages = [item["oldest_s"] for item in value["jobs"]]
    # Two plots, since tasks and seconds have no common axis.
    plots = (
        bars(
            "Waiting tasks",
            [
                (name, (count,), f"{count}")
                for name, count in zip(names, tasks, strict=True)
            ],
            ("tasks",),
            "waiting tasks",
            lambda tick: f"{tick:g}",
        )
        + "<h2>Oldest waiting task</h2>"
        + bars(
            "Oldest waiting task",
            [
                (name, (age,), f"{age:.0f} s")
                for name, age in zip(names, ages, strict=True)
            ],
            ("oldest task",),
            "waiting time, s",
            lambda tick: f"{tick:.0f}",
        )
    )
    requests = [
        [item["service"], item["class"], str(item["requests"])]
        for item in value["requests"]
    ]
    return (
        "<h2>Waiting tasks</h2>"
        + plots
        + "<h2>Waiting requests</h2>"
        + table(["Service", "Class", "Requests"], requests)
    )


def _burn(value: dict) -> str:
    budgets = value["budgets"]
    if not budgets:
        return "<p>No requests were counted.</p>"
    windows = budgets[0]["windows"]
    header = ["Service", "Team", "Objective"]
    header += [f"Rate over {window['seconds'] // 60} min" for window in windows]
    header += ["Budget left", "Alert"]
    cells = [
        [
            item["service"],
            item["team"] or "all",
            f"{item['objective']:g}%",
            *(f"{window['rate']:.2f}" for window in item["windows"]),
            _percent(item["left"]),
            item["alert"],
        ]
        for item in budgets
    ]
    plots = "".join(
        line(
            item["history"],
            1 - item["objective"] / 100,
            f"{item['service']} {item['team'] or '(all)'}",
        )
        for item in budgets
    )
    plots = plots or "<p>Fewer than two hours were counted.</p>"
    return table(header, cells) + "<h2>Bad requests by hour</h2>" + plots
