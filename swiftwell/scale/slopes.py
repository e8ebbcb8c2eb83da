"""Slopes of the quantities that a scale run measures, and predictions of a size before it is run."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass

from swiftwell.scale.cases import Case, RoutingCase, kind_of
from swiftwell.scale.fits import Fit, best
from swiftwell.scale.results import Row

FEWEST = 3  # sizes that a slope is taken from
PREDICTED = ("call_us", "change_us", "list_us", "cores", "memory_mb", "workers_used")
PREDICTED_FROM = 20_000  # workers from which a size is predicted before it is run


@dataclass(frozen=True, slots=True)
class Slope:
    """How a quantity grows with a factor, all others as in the plan's first case."""

    factor: str
    quantity: str
    fit: Fit
    values: tuple[float, ...]


def along(rows: Sequence[Row], kind: str, factor: str, fixed: dict[str, object]) -> list[Row]:
    """Rows that differ in one factor alone, by its size."""
    found = [
        row
        for row in rows
        if row.kind == kind
        and all(row.factors[name] == value for name, value in fixed.items() if name != factor)
    ]
    return sorted(found, key=lambda row: row.factors[factor])


def exact(rows: Sequence[Row], kind: str, factors: dict[str, object]) -> Row | None:
    """The row of just these factors."""
    return next((row for row in rows if row.kind == kind and row.factors == factors), None)


def slope(rows: Sequence[Row], factor: str, quantity: str) -> Slope | None:
    """The best law through rows that differ in one factor; None for fewer sizes than `FEWEST`."""
    if len(rows) < FEWEST:
        return None
    sizes = [float(row.factors[factor]) for row in rows]
    values = [float(row.values[quantity]) for row in rows]
    return Slope(factor, quantity, best(sizes, values), tuple(values))


def predict(case: Case, rows: Sequence[Row]) -> dict[str, float]:
    """What the smaller sizes say of a large routing case; nothing for other cases."""
    if not isinstance(case, RoutingCase) or case.workers < PREDICTED_FROM:
        return {}
    fixed = asdict(case)
    smaller = [
        row for row in along(rows, kind_of(case), "workers", fixed) if row.factors["workers"] < case.workers
    ]
    found = {quantity: slope(smaller, "workers", quantity) for quantity in PREDICTED}
    return {name: round(one.fit.at(case.workers), 4) for name, one in found.items() if one}
