"""Plots of quantities by size, with their bounds."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from swiftwell.scale import slopes
from swiftwell.scale.ranking import ROUTING
from swiftwell.scale.report import BUILDS, rows_of_build
from swiftwell.scale.results import Row
from swiftwell.scale.target import TARGET

BOUNDS = {"cores": TARGET.control_cores, "memory_mb": TARGET.control_mb, "call_us": None, "change_us": None}


def draw(rows: Sequence[Row], file: Path) -> None:
    """Plot quantities of both builds by the number of listed workers, on log scales."""
    figure, axes = pyplot.subplots(2, 2, figsize=(9, 6.5), constrained_layout=True)
    for axis, (quantity, bound) in zip(axes.flat, BOUNDS.items(), strict=True):
        for build in BUILDS:
            build_rows = slopes.rows_along(rows_of_build(rows, build), "routing", "workers", ROUTING)
            sizes = [row.factors["workers"] for row in build_rows]
            axis.plot(sizes, [row.values[quantity] for row in build_rows], marker="o", label=build)
        if bound is not None:
            axis.axhline(bound, linestyle="--", color="grey", label="bound of control")
        axis.axvline(TARGET.workers, linestyle=":", color="grey")
        axis.set(xscale="log", yscale="log", xlabel="workers listed", ylabel=quantity)
        axis.legend(fontsize=8)
    figure.savefig(file, dpi=110, metadata={"Software": None})
    pyplot.close(figure)
