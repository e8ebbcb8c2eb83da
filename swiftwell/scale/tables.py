"""Markdown tables and the figures in them."""

from __future__ import annotations

from collections.abc import Sequence


def table(head: Sequence[str], lines: Sequence[Sequence[object]]) -> str:
    """A Markdown table."""
    out = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    return "\n".join(out + ["| " + " | ".join(map(str, line)) + " |" for line in lines])


def number(value: float) -> str:
    """Three digits, and no more than that says anything."""
    if value == 0 or abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"
