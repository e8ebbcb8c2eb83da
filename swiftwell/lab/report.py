"""The report of an experiment: tables, plots and a day's time line, in one HTML file that needs no other."""

from __future__ import annotations

import html
import io
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt

from swiftwell.lab import stats
from swiftwell.lab.experiment import Experiment

_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; max-width: 68rem; margin: 2rem auto; color: #222 }
table { border-collapse: collapse; margin: 1rem 0 } td, th { padding: .2rem .7rem; text-align: right }
td:first-child, th:first-child { text-align: left } tr:nth-child(even) { background: #f4f4f4 }
.tells { font-weight: 600 } .wrong { color: #b00 }
"""


def _svg() -> str:
    out = io.StringIO()
    plt.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close()
    text = out.getvalue()
    return text[text.index("<svg") :]


def lines(rows: list[dict[str, Any]], factor: str, figure: str) -> str:
    """A figure against a factor, a line for each design, with intervals."""
    plt.rcParams["svg.hashsalt"] = "swiftwell"
    _, axes = plt.subplots(figsize=(7, 4))
    for design in dict.fromkeys(row["design"] for row in rows):
        levels = sorted({row[factor] for row in rows})
        found = [
            stats.interval([r[figure] for r in rows if r["design"] == design and r[factor] == level])
            for level in levels
        ]
        low = [one.mean - one.low for one in found]
        high = [one.high - one.mean for one in found]
        mean = [one.mean for one in found]
        axes.errorbar(levels, mean, yerr=[low, high], marker="o", capsize=3, label=design)
    axes.set_xlabel(factor)
    axes.set_ylabel(figure)
    axes.grid(alpha=0.3)
    axes.legend()
    return _svg()


def timeline(events: list[dict[str, Any]], title: str) -> str:
    """A day second by second: tries, answers in time, refusals; its troubles marked."""
    plt.rcParams["svg.hashsalt"] = "swiftwell"
    start = min((one["t"] for one in events if one["ev"] == "try"), default=0)
    tries = {one["corr"]: one for one in events if one["ev"] == "try"}
    end = max((one["t"] for one in tries.values()), default=start) - start
    count = int(end / 1e6) + 1
    asked, served, refused = [0] * count, [0] * count, [0] * count
    for one in tries.values():
        asked[int((one["t"] - start) / 1e6)] += 1
    for one in events:
        if one["ev"] == "answer" and one["corr"] in tries:
            asks = tries[one["corr"]]
            at = int((asks["t"] - start) / 1e6)
            served[at] += one["kind"] == "served" and one["t"] - asks["t"] <= asks["wanted"]
            refused[at] += one["kind"] == "refused"
    _, axes = plt.subplots(figsize=(9, 3.5))
    for values, label in ((asked, "tries"), (served, "served in time"), (refused, "refused")):
        axes.step(range(count), values, where="post", label=label)
    marks: dict[int, list[str]] = {}
    for one in events:
        if one["ev"] in ("fault", "died", "killed", "draining", "fell", "broker-down") and one["t"] >= start:
            marks.setdefault(int((one["t"] - start) / 1e6), []).append(one.get("fault", one["ev"]))
    for at, names in marks.items():
        axes.axvline(at, color="#b00", alpha=0.35, lw=1)
        axes.text(at, axes.get_ylim()[1], " " + names[0], rotation=90, va="top", fontsize=7, color="#b00")
    axes.set_xlabel("s")
    axes.set_ylabel("a second")
    axes.set_title(title, fontsize=10)
    axes.legend(loc="lower right", fontsize=8)
    return _svg()


def table(rows: list[dict[str, Any]], base: str) -> str:
    """Each place and design: service with its interval, and against the base in pairs."""
    means = stats.means(rows, "service")
    against = stats.differences(rows, "service", base)
    out = ["<table><tr><th>day, levels</th><th>design</th><th>service</th><th>95 %</th>"]
    out.append(f"<th>against {html.escape(base)}</th><th>95 %</th><th>p99, ms</th><th>loads</th></tr>")
    late, loads = stats.means(rows, "p99_ms"), stats.means(rows, "loads")
    broken = stats.means(rows, "rules_broken")
    for (where, design), one in means.items():
        other = against.get((where, design))
        name = html.escape(design) + (" (rules broken)" if broken[where, design].mean else "")
        cells = [
            html.escape(stats.named(where)), name, f"{one.mean:.4f}", f"{one.low:.4f} to {one.high:.4f}",
            f"{other.mean:+.4f}" if other else "", f"{other.low:+.4f} to {other.high:+.4f}" if other else "",
            f"{late[where, design].mean:.0f}", f"{loads[where, design].mean:.0f}",
        ]  # fmt: skip
        kind = "wrong" if broken[where, design].mean else "tells" if other and other.tells else ""
        out.append(f'<tr class="{kind}">' + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>")
    return "".join(out) + "</table>"


def write(
    path: Path, title: str, experiment: Experiment, rows: list[dict[str, Any]], days: list[str]
) -> None:
    """The report; `days` are time lines made beforehand."""
    base = experiment.designs[0]
    body = [f"<h1>{html.escape(title)}</h1><p>{html.escape(experiment.doc)}</p>"]
    body.append(
        f"<p>{len(rows)} emulated days, {experiment.seeds} seeds each; the same seed is the same day for all "
        "designs. Differences are of pairs; intervals are bootstrapped (BCa, 95 %). Bold rows keep away "
        "from zero.</p>"
    )
    for factor in experiment.factors:
        if len(factor.levels) > 1:
            for figure in ("service", "p99_ms", "refused"):
                body.append(f"<h2>{figure} by {factor.name}</h2>" + lines(rows, factor.name, figure))
    body += days
    body.append("<h2>All</h2>" + table(rows, base))
    text = f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}</title><style>{_STYLE}</style>"
    path.write_text(text + "".join(body), encoding="utf-8")
