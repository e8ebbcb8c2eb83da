"""Slopes of measured quantities, and predictions of a size before it is run."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass

from swiftwell.scale.cases import Case, RoutingCase, kind_of
from swiftwell.scale.fits import Fit, best
from swiftwell.scale.results import Row

MIN_SIZES = 3  # fewest sizes for which a slope is fitted
PREDICTED_QUANTITIES = ("call_us", "change_us", "list_us", "cores", "memory_mb", "workers_used")
MIN_PREDICTED_WORKERS = 20_000  # sizes from here on are predicted before they are run


@dataclass(frozen=True, slots=True)
class Slope:
    """How a quantity grows with one factor while all others stay fixed."""

    factor: str
    quantity: str
    fit: Fit
    values: tuple[float, ...]


def rows_along(rows: Sequence[Row], kind: str, factor: str, fixed: dict[str, object]) -> list[Row]:
    """Return the rows that differ in one factor only, ordered by it."""
    matching = [
        row
        for row in rows
        if row.kind == kind
        and all(row.factors[name] == value for name, value in fixed.items() if name != factor)
    ]
    return sorted(matching, key=lambda row: row.factors[factor])


def find_row(rows: Sequence[Row], kind: str, factors: dict[str, object]) -> Row | None:
    """Return the row with exactly these factors, if there is one."""
    return next((row for row in rows if row.kind == kind and row.factors == factors), None)


def slope(rows: Sequence[Row], factor: str, quantity: str) -> Slope | None:
    """Fit the best law to rows that differ in one factor; None for fewer than `MIN_SIZES` rows."""
    if len(rows) < MIN_SIZES:
        return None
    sizes = [float(row.factors[factor]) for row in rows]
    values = [float(row.values[quantity]) for row in rows]
    return Slope(factor, quantity, best(sizes, values), tuple(values))


def predict(case: Case, rows: Sequence[Row]) -> dict[str, float]:
    """Predict the quantities of a large routing case from smaller sizes; empty for other cases."""
    if not isinstance(case, RoutingCase) or case.workers < MIN_PREDICTED_WORKERS:
        return {}
    fixed = asdict(case)
    smaller = [
        row
        for row in rows_along(rows, kind_of(case), "workers", fixed)
        if row.factors["workers"] < case.workers
    ]
    slopes = {quantity: slope(smaller, "workers", quantity) for quantity in PREDICTED_QUANTITIES}
    return {name: round(fitted.fit.at(case.workers), 4) for name, fitted in slopes.items() if fitted}
