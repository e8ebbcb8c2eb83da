"""Plots of the slopes, each with its bound drawn in."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from swiftwell.scale import slopes
from swiftwell.scale.ranking import ROUTING
from swiftwell.scale.report import BUILDS, of
from swiftwell.scale.results import Row
from swiftwell.scale.target import TARGET

BOUNDS = {"cores": TARGET.control_cores, "memory_mb": TARGET.control_mb, "call_us": None, "change_us": None}


def draw(rows: Sequence[Row], file: Path) -> None:
    """Quantities by the number of workers listed, both builds, log scales."""
    figure, axes = pyplot.subplots(2, 2, figsize=(9, 6.5), constrained_layout=True)
    for axis, (quantity, bound) in zip(axes.flat, BOUNDS.items(), strict=True):
        for build in BUILDS:
            found = slopes.along(of(rows, build), "routing", "workers", ROUTING)
            sizes = [row.factors["workers"] for row in found]
            axis.plot(sizes, [row.values[quantity] for row in found], marker="o", label=build)
        if bound is not None:
            axis.axhline(bound, linestyle="--", color="grey", label="bound of control")
        axis.axvline(TARGET.workers, linestyle=":", color="grey")
        axis.set(xscale="log", yscale="log", xlabel="workers listed", ylabel=quantity)
        axis.legend(fontsize=8)
    figure.savefig(file, dpi=110, metadata={"Software": None})
    pyplot.close(figure)
