"""What is refused ahead of the module while a site is lost, in the order of the plan.  Decisions, no I/O.

Each router sees a part of the calls only, so each refuses the same part of each class, drawn from the
call's own key: repeats of a call meet the same draw, and all routers together come to the plan's parts
without talking.  The plan's parts are a start; what survivors can bear shows in how calls of the kept classes
fare, and the order is cut deeper, class by class, where they are not in time, and given back slowly.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

DEEPER = 0.15  # of the whole order, that is cut further when the kept ones are not in time
BACK = 0.03  # and given back in a step when they are
WANTED = 0.85  # part of the kept calls that has to be in time: one late call of a dozen is chance
LEAST = 20  # calls that a step goes by
STEP_US = 500_000  # us between two steps
MOST_WAIT_MS = 4_000  # that a refused client is sent away for, spread from half of it


@dataclass(frozen=True, slots=True)
class Rank:
    """A class of a tenant in the order of sacrifice."""

    request_class: str
    tenant: str
    share: float  # of the calls, by their work
    admitted: float  # by the plan


class Admission:
    """`order`: the first to be refused first; shares sum to 1.  `cut` is a place on it: 0 refuses nobody."""

    def __init__(self, order: Sequence[Rank]) -> None:
        self.order = tuple(order)
        self.plan_cut = self._place(order)
        self.cut = 0.0
        self.active = False
        self._at = 0
        self._kept = self._in_time = 0

    @staticmethod
    def _place(order: Sequence[Rank]) -> float:
        """How much of the order, by share of work, the plan refuses."""
        return sum(one.share * (1 - one.admitted) for one in order)

    def begin(self, now: int) -> None:
        """A site is lost: from here the plan holds."""
        if not self.active:
            self.active, self.cut, self._at = True, self.plan_cut, now
            self._kept = self._in_time = 0

    def end(self) -> None:
        """All sites serve."""
        self.active, self.cut = False, 0.0

    def part(self, request_class: str, tenant: str) -> float:
        """Part of a class's calls that is admitted now: the order is cut from its first on."""
        left = self.cut
        for one in self.order:
            if one.request_class == request_class and one.tenant in ("", tenant):  # no tenant: all of them
                return 1.0 if one.share <= 0 else min(1.0, max(0.0, 1 - left / one.share))
            left = max(0.0, left - one.share)
        return 1.0  # a class that the plan does not know is not refused by it

    def admits(self, request_class: str, tenant: str, key: str) -> bool:
        """Whether a call is taken; the same for each repeat under its key, at every router."""
        if not self.active:
            return True
        part = self.part(request_class, tenant)
        return part >= 1 or xxhash.xxh64_intdigest(key.encode()) < part * 2**64

    def wait_ms(self, key: str) -> int:
        """How long a refused client stays away: spread, so that the return is no second wave."""
        return MOST_WAIT_MS // 2 + xxhash.xxh64_intdigest(key.encode(), 1) % (MOST_WAIT_MS // 2)

    def ended(self, in_time: bool) -> None:
        """A call that was taken has ended."""
        self._kept += 1
        self._in_time += in_time

    def look(self, now: int) -> bool:
        """A step: deeper at once, back slowly, never above the plan's own cut while a site is lost."""
        if not self.active or now - self._at < STEP_US or self._kept < LEAST:
            return False
        fine = self._in_time >= WANTED * self._kept
        before = self.cut
        self.cut = max(self.plan_cut, self.cut - BACK) if fine else min(1.0, self.cut + DEEPER)
        self._at, self._kept, self._in_time = now, 0, 0
        return self.cut != before
