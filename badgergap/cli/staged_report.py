"""A change as one HTML page that needs nothing else: stages, guards with their bounds, decisions."""

from __future__ import annotations

import base64
import html
import io
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from badgergap.proxy.lifecycle.config import ConfigError

STYLE = """
body { font: 15px/1.5 sans-serif; max-width: 60em; margin: 2em auto; color: #222 }
table { border-collapse: collapse }
td, th { padding: .2em .8em; text-align: left; border-bottom: 1px solid #ccc }
.worse { color: #a00 } .good { color: #060 } .more { color: #850 } img { max-width: 100% }
"""


def write(path: Path, result: Mapping[str, Any]) -> tuple[str, bool]:
    """What is printed, and whether it is written. Raises ConfigError where it cannot be."""
    change = result["change"]
    if change is None:
        return "there is no change to report", False
    try:
        with path.open("x", encoding="utf-8") as file:
            file.write(page(change))
    except OSError as error:
        raise ConfigError(f"{path} cannot be written: {error.strerror}") from None
    return f"{path}: {change['name']}, {change['phase']}", True


def page(change: Mapping[str, Any]) -> str:
    told = html.escape
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{told(change['name'])}</title><style>{STYLE}</style>",
        f"<h1>{told(change['name'])}: {told(change['phase'])}</h1>",
        f"<p>By {told(change['by'])}. {told(change['reason'])}</p>",
    ]
    if change["why"]:
        parts.append(f"<p><b>{told(change['why'])}</b></p>")
    rows = [
        (str(number + 1), ", ".join(names), "judged" if number + 1 < change["stage"] else "")
        for number, names in enumerate(change["stages"])
    ]
    parts += ["<h2>Stages</h2>", _table(("stage", "members that act on it", ""), rows)]
    parts.append("<h2>What the guards said</h2>")
    for judged in change["judged"]:
        parts.append(f"<h3>Stage {judged['stage']}, after {judged['seconds']:.0f} s</h3>")
        picture = plot(judged["readings"])
        if picture:
            parts.append(f'<img alt="guards" src="data:image/svg+xml;base64,{picture}">')
        parts.append(_guards(judged["readings"]))
    events = [(time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at)), text) for at, text in change["events"]]
    parts += ["<h2>Decisions</h2>", _table(("at", "what"), events)]
    return "\n".join(parts)


def _table(heads: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = ["<table><tr>" + "".join(f"<th>{html.escape(head)}</th>" for head in heads) + "</tr>"]
    lines += ["<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>" for row in rows]
    return "\n".join([*lines, "</table>"])


def _guards(readings: Sequence[Mapping[str, Any]]) -> str:
    lines = ["<table><tr><th>guard</th><th>says</th><th>requests</th><th>blocks</th><th>why</th></tr>"]
    for reading in readings:
        cells = (
            reading["guard"],
            reading["verdict"],
            str(reading["requests"]),
            str(reading["blocks"]),
            reading["why"],
        )
        row = "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
        lines.append(f"<tr class={html.escape(reading['verdict'])}>{row}</tr>")
    return "\n".join([*lines, "</table>"])


def plot(readings: Sequence[Mapping[str, Any]]) -> str:
    """How much worse the treated were, with the interval that holds at all times. Empty: no matplotlib."""
    try:
        import matplotlib
    except ModuleNotFoundError:
        return ""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    shown = [reading for reading in readings if reading["least"] or reading["most"]]
    if not shown:
        return ""
    figure, axes = pyplot.subplots(figsize=(8, 0.5 * len(shown) + 1))
    for number, reading in enumerate(shown):
        axes.plot((reading["least"], reading["most"]), (number, number), color="#555")
        axes.plot(reading["worse"], number, "o", color="#a00" if reading["verdict"] == "worse" else "#060")
    axes.axvline(0, color="#bbb")
    axes.set_yticks(range(len(shown)), [reading["guard"] for reading in shown])
    axes.set_xlabel("worse than the untouched members, in shares or as a log ratio")
    figure.tight_layout()
    data = io.BytesIO()
    figure.savefig(data, format="svg")
    pyplot.close(figure)
    return base64.b64encode(data.getvalue()).decode()
