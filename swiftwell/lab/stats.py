"""Differences between designs that met the same days, with what chance makes of them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

import numpy as np
from scipy import stats

RESAMPLES = 4_000
LEVEL = 0.95
WHAT = ("day", "design", "seed")  # columns that name a cell; the rest but factors are figures
FIGURES = (
    "calls", "service", "end_service", "tries", "served", "refused", "failed", "p50_ms", "p99_ms", "loads",
    "rules_broken",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Interval:
    """A mean with its interval at `LEVEL`; of differences where it is of pairs."""

    mean: float
    low: float
    high: float
    count: int

    @property
    def tells(self) -> bool:
        """Whether it keeps away from zero."""
        return self.low > 0 or self.high < 0


def interval(values: list[float]) -> Interval:
    """The mean of values with its bootstrap interval; BCa, or its percentiles where BCa has no answer."""
    found = np.asarray(values, dtype=float)
    mean = float(found.mean())
    if len(found) < 3 or np.ptp(found) == 0:
        return Interval(mean, float(found.min()), float(found.max()), len(found))
    random = np.random.default_rng(1)
    for method in ("BCa", "percentile"):
        told = stats.bootstrap(
            (found,), np.mean, n_resamples=RESAMPLES, confidence_level=LEVEL, method=method, rng=random
        ).confidence_interval
        if np.isfinite(told.low) and np.isfinite(told.high):
            return Interval(mean, float(told.low), float(told.high), len(found))
    return Interval(mean, float(found.min()), float(found.max()), len(found))


def place(row: dict[str, Any]) -> tuple[tuple[str, Any], ...]:
    """Where a row stands: its day and the levels of its factors."""
    return tuple((name, value) for name, value in row.items() if name not in (*WHAT[1:], *FIGURES))


def named(where: tuple[tuple[str, Any], ...]) -> str:
    """A place in words."""
    return ", ".join(str(value) if name == "day" else f"{name} {value:g}" for name, value in where)


def means(rows: list[dict[str, Any]], figure: str) -> dict[tuple[Any, str], Interval]:
    """For each place and design, the figure's mean over seeds."""
    found: dict[tuple[Any, str], list[float]] = defaultdict(list)
    for row in rows:
        found[place(row), row["design"]].append(row[figure])
    return {key: interval(values) for key, values in found.items()}


def differences(rows: list[dict[str, Any]], figure: str, base: str) -> dict[tuple[Any, str], Interval]:
    """For each place and other design: its figure less the base's, seed by seed, on the same days."""
    by: dict[tuple[Any, str], dict[int, float]] = defaultdict(dict)
    for row in rows:
        by[place(row), row["design"]][row["seed"]] = row[figure]
    out = {}
    for (where, design), values in by.items():
        against = by.get((where, base), {})
        pairs = [values[seed] - against[seed] for seed in sorted(values.keys() & against.keys())]
        if design != base and pairs:
            out[where, design] = interval(pairs)
    return out
