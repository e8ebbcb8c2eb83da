"""Markdown tables and the format of the figures in them."""

from __future__ import annotations

from collections.abc import Sequence


def table(headings: Sequence[str], lines: Sequence[Sequence[object]]) -> str:
    """Return a Markdown table."""
    result = ["| " + " | ".join(headings) + " |", "|" + " --- |" * len(headings)]
    return "\n".join(result + ["| " + " | ".join(map(str, line)) + " |" for line in lines])


def number(value: float) -> str:
    """Format a figure with three significant digits; the measurements support no more."""
    if value == 0 or abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"
