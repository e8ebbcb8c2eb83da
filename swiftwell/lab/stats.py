"""Paired differences between designs that played the same days, with confidence intervals."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

import numpy as np
from scipy import stats

RESAMPLES = 4_000
CONFIDENCE_LEVEL = 0.95
KEY_COLUMNS = ("day", "design", "seed")  # identify a cell; other columns are factors or results
FIGURES = (
    "calls", "service", "end_service", "tries", "served", "refused", "failed", "p50_ms", "p99_ms", "loads",
    "rules_broken",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Interval:
    """A mean, of values or of paired differences, with its confidence interval at `CONFIDENCE_LEVEL`."""

    mean: float
    low: float
    high: float
    count: int

    @property
    def excludes_zero(self) -> bool:
        """Whether the interval excludes zero."""
        return self.low > 0 or self.high < 0


def interval(values: list[float]) -> Interval:
    """Returns the mean with its bootstrap interval: BCa, or percentile where BCa is undefined."""
    sample = np.asarray(values, dtype=float)
    mean = float(sample.mean())
    if len(sample) < 3 or np.ptp(sample) == 0:
        return Interval(mean, float(sample.min()), float(sample.max()), len(sample))
    generator = np.random.default_rng(1)
    for method in ("BCa", "percentile"):
        bounds = stats.bootstrap(
            (sample,),
            np.mean,
            n_resamples=RESAMPLES,
            confidence_level=CONFIDENCE_LEVEL,
            method=method,
            rng=generator,
        ).confidence_interval
        if np.isfinite(bounds.low) and np.isfinite(bounds.high):
            return Interval(mean, float(bounds.low), float(bounds.high), len(sample))
    return Interval(mean, float(sample.min()), float(sample.max()), len(sample))


def conditions_of(row: dict[str, Any]) -> tuple[tuple[str, Any], ...]:
    """Returns the day and the factor levels of a row."""
    return tuple((name, value) for name, value in row.items() if name not in (*KEY_COLUMNS[1:], *FIGURES))


def format_conditions(conditions: tuple[tuple[str, Any], ...]) -> str:
    """Formats a day and factor levels for display."""
    return ", ".join(str(value) if name == "day" else f"{name} {value:g}" for name, value in conditions)


def means(rows: list[dict[str, Any]], figure: str) -> dict[tuple[Any, str], Interval]:
    """Returns the mean of a result column over seeds, by conditions and design."""
    values_by_cell: dict[tuple[Any, str], list[float]] = defaultdict(list)
    for row in rows:
        values_by_cell[conditions_of(row), row["design"]].append(row[figure])
    return {key: interval(values) for key, values in values_by_cell.items()}


def differences(rows: list[dict[str, Any]], figure: str, base: str) -> dict[tuple[Any, str], Interval]:
    """Returns the mean difference to the design `base`, paired by seed, by conditions and other design."""
    values_by_seed: dict[tuple[Any, str], dict[int, float]] = defaultdict(dict)
    for row in rows:
        values_by_seed[conditions_of(row), row["design"]][row["seed"]] = row[figure]
    result = {}
    for (conditions, design), values in values_by_seed.items():
        base_values = values_by_seed.get((conditions, base), {})
        pairs = [values[seed] - base_values[seed] for seed in sorted(values.keys() & base_values.keys())]
        if design != base and pairs:
            result[conditions, design] = interval(pairs)
    return result
