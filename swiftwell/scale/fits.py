"""Slopes: linear, n log n and quadratic laws held against each other.

Each law is `a + b f(n)` with a, b >= 0 by least squares of the relative misses; the best is the one with the
smallest, and its interval is from the residuals (t distribution).  Fewer than three sizes give no interval.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np
from scipy import optimize, stats

LAWS: dict[str, Callable[[float], float]] = {
    "constant": lambda n: 0.0,
    "log n": lambda n: math.log2(n + 1),
    "linear": float,
    "n log n": lambda n: n * math.log2(n + 1),
    "quadratic": lambda n: n * n,
}
LEVEL = 0.95  # of the interval


@dataclass(frozen=True, slots=True)
class Fit:
    """`law` with its terms; `miss` is the root mean square of the relative misses."""

    law: str
    base: float
    slope: float
    slope_low: float
    slope_high: float
    miss: float
    sizes: tuple[float, ...]

    def at(self, size: float) -> float:
        """The law's value at a size."""
        return self.base + self.slope * LAWS[self.law](size)

    def crossing(self, bound: float, most: float) -> float:
        """The size at which the bound is crossed, infinite where that is beyond `most`."""
        if self.at(most) <= bound:
            return math.inf
        return (
            float(optimize.brentq(lambda size: self.at(size) - bound, 0.0, most))
            if self.at(0) < bound
            else 0.0
        )


def fit(sizes: Sequence[float], values: Sequence[float], law: str) -> Fit:
    """One law, fitted."""
    sizes, values = tuple(map(float, sizes)), np.asarray(values, dtype=float)
    weights = 1 / np.maximum(np.abs(values), 1e-12)
    columns = np.column_stack([np.ones(len(sizes)), [LAWS[law](size) for size in sizes]]) * weights[:, None]
    if law == "constant":
        columns = columns[:, :1]
    terms, _ = optimize.nnls(columns, values * weights)
    residuals = columns @ terms - values * weights
    base, slope = (float(terms[0]), 0.0) if law == "constant" else map(float, terms)
    low, high = _interval(columns, residuals, slope)
    return Fit(law, base, slope, low, high, float(np.sqrt(np.mean(residuals**2))), sizes)


def _interval(columns: np.ndarray, residuals: np.ndarray, slope: float) -> tuple[float, float]:
    free = len(residuals) - columns.shape[1]
    if free < 1 or columns.shape[1] < 2:
        return slope, slope
    covariance = np.linalg.pinv(columns.T @ columns) * float(residuals @ residuals) / free
    reach = float(stats.t.ppf((1 + LEVEL) / 2, free) * math.sqrt(max(0.0, covariance[1, 1])))
    return max(0.0, slope - reach), slope + reach


def best(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The law with the smallest miss; of two alike the simpler one."""
    fits = [fit(sizes, values, law) for law in LAWS]
    least = min(one.miss for one in fits)
    return next(one for one in fits if one.miss <= least * 1.02 + 1e-9)
