"""This router's share of a fleet-wide budget, as a number of routers to divide by.  Decisions, no I/O.

The module divides budgets by a number of routers.  A share of the whole that is lent for a time is expressed
as such a number: the whole divided by the share.  It falls at once when a loan expires and rises slowly,
because the previous holder may have used its share of the interval over which the budget is counted.
"""

from __future__ import annotations

import math

from swiftwell.fleet.shares import TOTAL_PPM

DOUBLING_US = 2_000_000  # us in which a share may double: usually the interval of a cold worker's budget


class RampShare:
    """This router's share of one budget, with a limited rate of growth."""

    def __init__(self, share_ppm: int) -> None:
        self._share_ppm, self._updated_at = float(share_ppm), 0

    def update(self, now: int, share_ppm: int) -> int:
        """Return the number of routers to divide by, given the share that is held now."""
        passed, self._updated_at = (now - self._updated_at if self._updated_at else 0), now
        if share_ppm < self._share_ppm:
            self._share_ppm = float(share_ppm)
        else:
            self._share_ppm = min(float(share_ppm), self._share_ppm * 2 ** min(8.0, passed / DOUBLING_US))
        return router_count(self._share_ppm)


def router_count(share_ppm: float) -> int:
    """Express a share as a number of routers."""
    return max(1, math.ceil(TOTAL_PPM / max(1.0, share_ppm)))
