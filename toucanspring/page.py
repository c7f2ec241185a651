"""Reports as self-contained HTML pages with inline SVG plots."""

from __future__ import annotations

import html

BAR_HEIGHT = 16
ROW_HEIGHT = 40
LABEL_WIDTH = 190
PLOT_WIDTH = 560
VALUE_WIDTH = 90
LINE_HEIGHT = 90
# Blue and orange of the Okabe-Ito palette, which colour-blind readers tell apart.
FIRST_COLOUR = "#0072b2"
SECOND_COLOUR = "#d55e00"

STYLE = """
body { font: 15px/1.4 system-ui, sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { padding: 0.25em 0.9em; border-bottom: 1px solid #ccc; text-align: left; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
svg text { font: 12px system-ui, sans-serif; fill: #222; }
.fast { color: #b00020; font-weight: bold; } .slow { color: #8a5a00; }
"""

Bar = tuple[str, float, float, str]  # label, first and second value, shown text


def render(name: str, value: dict) -> str:
    """Return the page of a report."""
    body = {"share": _share, "waiting": _waiting, "burn": _burn}[name](value)
    missing = ""
    if value.get("missing"):
        names = html.escape(", ".join(value["missing"]))
        missing = f"<p>Without the processes {names}.</p>"
    title = f"toucanspring: {name}"
    return (
        f'<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{title}</title><style>{STYLE}</style></head>\n"
        f"<body><h1>{title}</h1>{missing}{body}</body></html>\n"
    )


def bars(rows: list[Bar], legend: tuple[str, str]) -> str:
    """Return a plot with two horizontal bars for each row."""
    if not rows:
        return "<p>Nothing to show.</p>"
    top = max(max(first, second) for _, first, second, _ in rows) or 1.0
    width = LABEL_WIDTH + PLOT_WIDTH + VALUE_WIDTH
    height = ROW_HEIGHT * len(rows) + 30
    parts = []
    for index, (label, first, second, shown) in enumerate(rows):
        y = index * ROW_HEIGHT + 30
        parts.append(f'<text x="0" y="{y + 20}">{html.escape(label)}</text>')
        for offset, value, colour in (
            (0, first, FIRST_COLOUR),
            (BAR_HEIGHT, second, SECOND_COLOUR),
        ):
            length = max(0.0, value) / top * PLOT_WIDTH
            parts.append(
                f'<rect x="{LABEL_WIDTH}" y="{y + offset}" width="{length:.1f}" '
                f'height="{BAR_HEIGHT - 2}" fill="{colour}"/>'
            )
        x = LABEL_WIDTH + PLOT_WIDTH + 8
        parts.append(f'<text x="{x}" y="{y + 20}">{html.escape(shown)}</text>')
    return _svg(width, height, _legend(legend) + "".join(parts))


def line(values: list[float], limit: float, label: str) -> str:
    """Return a plot of fractions by hour, with a line at `limit`."""
    if len(values) < 2:
        return ""
    top = max([*values, limit]) or 1.0
    step = PLOT_WIDTH / (len(values) - 1)

    def y_of(value: float) -> float:
        return LINE_HEIGHT - value / top * (LINE_HEIGHT - 10)

    points = " ".join(
        f"{LABEL_WIDTH + index * step:.1f},{y_of(value):.1f}"
        for index, value in enumerate(values)
    )
    y = y_of(limit)
    end = LABEL_WIDTH + PLOT_WIDTH
    return _svg(
        end + VALUE_WIDTH,
        LINE_HEIGHT + 10,
        f'<text x="0" y="{LINE_HEIGHT / 2}">{html.escape(label)}</text>'
        f'<line x1="{LABEL_WIDTH}" x2="{end}" y1="{y:.1f}" y2="{y:.1f}" '
        f'stroke="{SECOND_COLOUR}" stroke-dasharray="4 3"/>'
        f'<polyline points="{points}" fill="none" stroke="{FIRST_COLOUR}" '
        f'stroke-width="2"/><text x="{end + 8}" y="{y + 4:.1f}">budget</text>',
    )


def table(header: list[str], rows: list[list[str]]) -> str:
    """Return an HTML table; cells that begin with a digit are set to the right."""
    head = "".join(f"<th>{html.escape(name)}</th>" for name in header)
    lines = []
    for row in rows:
        cells = "".join(
            f'<td class="number">{html.escape(cell)}</td>'
            if cell[:1].isdigit() or cell[:1] == "-"
            else f"<td>{html.escape(cell)}</td>"
            for cell in row
        )
        lines.append(f"<tr>{cells}</tr>")
    return f"<table><tr>{head}</tr>{''.join(lines)}</table>"


def _svg(width: float, height: float, content: str) -> str:
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        f'viewBox="0 0 {width} {height}" role="img">{content}</svg>'
    )


def _legend(names: tuple[str, str]) -> str:
    parts = []
    for index, (name, colour) in enumerate(
        zip(names, (FIRST_COLOUR, SECOND_COLOUR), strict=True)
    ):
        x = LABEL_WIDTH + index * 160
        parts.append(
            f'<rect x="{x}" y="4" width="12" height="12" fill="{colour}"/>'
            f'<text x="{x + 18}" y="15">{html.escape(name)}</text>'
        )
    return "".join(parts)


def _percent(fraction: float) -> str:
    return f"{fraction * 100:.1f}%"


def _share(value: dict) -> str:
    teams = value["teams"]
    rows = [
        (item["team"], item["entitled"], item["used"], _percent(item["used"]))
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
    return bars(rows, ("share", "used")) + table(header, cells)


def _waiting(value: dict) -> str:
    jobs = [
        (
            f"{item['team']} {item['class']}",
            float(item["tasks"]),
            float(item["oldest_s"]),
            f"{item['tasks']} / {item['oldest_s']:.0f} s",
        )
        for item in value["jobs"]
    ]
    requests = [
        [item["service"], item["class"], str(item["requests"])]
        for item in value["requests"]
    ]
    return (
        bars(jobs, ("tasks", "seconds of the oldest"))
        + "<h2>Requests</h2>"
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
    return table(header, cells) + "<h2>Bad requests by hour</h2>" + plots
