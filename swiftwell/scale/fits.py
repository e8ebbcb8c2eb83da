"""Fits of growth laws (constant, log n, linear, n log n, quadratic) to measured values.

Each law is `a + b f(n)` with a, b >= 0, fitted by least squares of the relative errors.  The best law has the
smallest error; the interval of its slope follows from the residuals (t distribution).  Fewer than three sizes
give no interval.
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
CONFIDENCE = 0.95  # confidence level of the interval


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted law; `relative_error` is the root mean square of the relative errors."""

    law: str
    base: float
    slope: float
    slope_low: float
    slope_high: float
    relative_error: float
    sizes: tuple[float, ...]

    def at(self, size: float) -> float:
        """Return the value of the law at a size."""
        return self.base + self.slope * LAWS[self.law](size)

    def crossing(self, bound: float, max_size: float) -> float:
        """Return the size at which the bound is crossed, infinite if that is beyond `max_size`."""
        if self.at(max_size) <= bound:
            return math.inf
        return (
            float(optimize.brentq(lambda size: self.at(size) - bound, 0.0, max_size))
            if self.at(0) < bound
            else 0.0
        )


def fit(sizes: Sequence[float], values: Sequence[float], law: str) -> Fit:
    """Fit one law."""
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
    degrees_of_freedom = len(residuals) - columns.shape[1]
    if degrees_of_freedom < 1 or columns.shape[1] < 2:
        return slope, slope
    covariance = np.linalg.pinv(columns.T @ columns) * float(residuals @ residuals) / degrees_of_freedom
    half_width = float(
        stats.t.ppf((1 + CONFIDENCE) / 2, degrees_of_freedom) * math.sqrt(max(0.0, covariance[1, 1]))
    )
    return max(0.0, slope - half_width), slope + half_width


def best(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Return the law with the smallest error; of laws within 2% of it, the simplest."""
    fits = [fit(sizes, values, law) for law in LAWS]
    smallest_error = min(candidate.relative_error for candidate in fits)
    return next(candidate for candidate in fits if candidate.relative_error <= smallest_error * 1.02 + 1e-9)
