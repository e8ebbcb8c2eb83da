"""What part of a fleet's budget this router acts by, as the module is told it.  Decisions, no I/O.

The module divides budgets by a number of routers.  A part of the whole that is lent for a time stands for
such a number: a whole over the part.  It falls at once when a loan runs out, and rises slowly, as whoever had
it before may have used its part of the span that a budget is counted over.
"""

from __future__ import annotations

import math

from swiftwell.fleet.shares import TOTAL_PPM

RISE_US = 2_000_000  # us in which a part may double: a cold worker's budget is usually counted over as long


class Part:
    """Our part of one budget."""

    def __init__(self, parts: int) -> None:
        self._parts, self._at = float(parts), 0

    def look(self, now: int, parts: int) -> int:
        """The number of routers to divide by, where `parts` are ours now."""
        passed, self._at = (now - self._at if self._at else 0), now
        if parts < self._parts:
            self._parts = float(parts)
        else:
            self._parts = min(float(parts), self._parts * 2 ** min(8.0, passed / RISE_US))
        return routers(self._parts)


def routers(parts: float) -> int:
    """A part as a number of routers."""
    return max(1, math.ceil(TOTAL_PPM / max(1.0, parts)))
