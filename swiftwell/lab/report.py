"""Writes the report of an experiment: tables, plots and time lines in one self-contained HTML file."""

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
    buffer = io.StringIO()
    plt.savefig(buffer, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close()
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def lines(rows: list[dict[str, Any]], factor: str, figure: str) -> str:
    """Plots a result column against a factor, with a line for each design and confidence intervals."""
    plt.rcParams["svg.hashsalt"] = "swiftwell"
    _, axes = plt.subplots(figsize=(7, 4))
    for design in dict.fromkeys(row["design"] for row in rows):
        levels = sorted({row[factor] for row in rows})
        means = [
            stats.interval([r[figure] for r in rows if r["design"] == design and r[factor] == level])
            for level in levels
        ]
        low = [mean.mean - mean.low for mean in means]
        high = [mean.high - mean.mean for mean in means]
        mean_values = [mean.mean for mean in means]
        axes.errorbar(levels, mean_values, yerr=[low, high], marker="o", capsize=3, label=design)
    axes.set_xlabel(factor)
    axes.set_ylabel(figure)
    axes.grid(alpha=0.3)
    axes.legend()
    return _svg()


def timeline(events: list[dict[str, Any]], title: str) -> str:
    """Plots tries, answers in time and refusals of a day by second, and marks its troubles."""
    plt.rcParams["svg.hashsalt"] = "swiftwell"
    start = min((event["t"] for event in events if event["ev"] == "try"), default=0)
    tries = {event["corr"]: event for event in events if event["ev"] == "try"}
    end = max((event["t"] for event in tries.values()), default=start) - start
    count = int(end / 1e6) + 1
    tried, served, refused = [0] * count, [0] * count, [0] * count
    for event in tries.values():
        tried[int((event["t"] - start) / 1e6)] += 1
    for event in events:
        if event["ev"] == "answer" and event["corr"] in tries:
            request = tries[event["corr"]]
            second = int((request["t"] - start) / 1e6)
            served[second] += event["kind"] == "served" and event["t"] - request["t"] <= request["wanted"]
            refused[second] += event["kind"] == "refused"
    _, axes = plt.subplots(figsize=(9, 3.5))
    for values, label in ((tried, "tries"), (served, "served in time"), (refused, "refused")):
        axes.step(range(count), values, where="post", label=label)
    marks: dict[int, list[str]] = {}
    for event in events:
        if (
            event["ev"] in ("fault", "died", "killed", "draining", "fell", "broker-down")
            and event["t"] >= start
        ):
            marks.setdefault(int((event["t"] - start) / 1e6), []).append(event.get("fault", event["ev"]))
    for second, names in marks.items():
        axes.axvline(second, color="#b00", alpha=0.35, lw=1)
        axes.text(second, axes.get_ylim()[1], " " + names[0], rotation=90, va="top", fontsize=7, color="#b00")
    axes.set_xlabel("s")
    axes.set_ylabel("per second")
    axes.set_title(title, fontsize=10)
    axes.legend(loc="lower right", fontsize=8)
    return _svg()


def table(rows: list[dict[str, Any]], base: str) -> str:
    """Formats the service of each design by conditions, with its interval and paired difference to `base`."""
    means = stats.means(rows, "service")
    differences = stats.differences(rows, "service", base)
    parts = ["<table><tr><th>day, factor levels</th><th>design</th><th>service</th><th>95 %</th>"]
    parts.append(
        f"<th>difference to {html.escape(base)}</th><th>95 %</th><th>p99, ms</th><th>loads</th></tr>"
    )
    p99_ms, loads = stats.means(rows, "p99_ms"), stats.means(rows, "loads")
    rules_broken = stats.means(rows, "rules_broken")
    for (conditions, design), mean in means.items():
        difference = differences.get((conditions, design))
        name = html.escape(design) + (" (rules broken)" if rules_broken[conditions, design].mean else "")
        cells = [
            html.escape(stats.format_conditions(conditions)), name, f"{mean.mean:.4f}",
            f"{mean.low:.4f} to {mean.high:.4f}", f"{difference.mean:+.4f}" if difference else "",
            f"{difference.low:+.4f} to {difference.high:+.4f}" if difference else "",
            f"{p99_ms[conditions, design].mean:.0f}", f"{loads[conditions, design].mean:.0f}",
        ]  # fmt: skip
        css_class = (
            "wrong"
            if rules_broken[conditions, design].mean
            else ("tells" if difference and difference.excludes_zero else "")
        )
        parts.append(f'<tr class="{css_class}">' + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>")
    return "".join(parts) + "</table>"


def write(
    path: Path, title: str, experiment: Experiment, rows: list[dict[str, Any]], timelines: list[str]
) -> None:
    """Writes the report; `timelines` holds SVG images of single days."""
    base = experiment.designs[0]
    body = [f"<h1>{html.escape(title)}</h1><p>{html.escape(experiment.doc)}</p>"]
    body.append(
        f"<p>{len(rows)} emulated days, {experiment.seeds} seeds each; all designs play the same day for "
        "the same seed. Differences are paired by seed; intervals are bootstrapped (BCa, 95 %). Rows in "
        "bold have a difference whose interval excludes zero.</p>"
    )
    for factor in experiment.factors:
        if len(factor.levels) > 1:
            for figure in ("service", "p99_ms", "refused"):
                body.append(f"<h2>{figure} by {factor.name}</h2>" + lines(rows, factor.name, figure))
    body += timelines
    body.append("<h2>All results</h2>" + table(rows, base))
    text = f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}</title><style>{_STYLE}</style>"
    path.write_text(text + "".join(body), encoding="utf-8")
