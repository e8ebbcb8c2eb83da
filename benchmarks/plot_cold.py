"""Plots the results of benchmarks/cold.py: python -m benchmarks.plot_cold RESULTS.json OUT.png"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

AGE_LABELS = {60: "1 min", 3_600: "1 h", 86_400: "1 day", 864_000: "10 days"}


def main(source: str, target: str) -> None:
    """Plot the service in time by the share of wrong entries, one line per mode and age."""
    results = json.loads(Path(source).read_text())
    figure, axes = plt.subplots(figsize=(7, 4.2))
    for mode, age, style in [
        ("live", 0, "k-"),
        *(("trust", age, "o-") for age in AGE_LABELS),
        ("blind", 86_400, "x--"),
    ]:
        label = (
            f"saved list, {AGE_LABELS[age]}"
            if mode == "trust"
            else {"live": "live list", "blind": "believed blindly"}[mode]
        )
        rows = [(w, results.get(f"{mode}-{age:g}-{w:g}")) for w in (0.0, 0.3, 0.9)]
        points = [(w, row["service"]) for w, row in rows if row]
        axes.plot([w for w, _ in points], [s for _, s in points], style, label=label)
    axes.axhline(results["none-0-0"]["service"], color="grey", linestyle=":", label="no list")
    axes.set_xlabel("share of saved entries that are wrong")
    axes.set_ylabel("worth answered in time, first 12 s")
    axes.set_ylim(-0.03, 1.03)
    axes.legend(fontsize=8, loc="lower left")
    figure.tight_layout()
    figure.savefig(target, dpi=110)


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2])
