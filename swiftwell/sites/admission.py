"""Load shedding ahead of the module while a site is lost, in the order of the plan.  Decisions, no I/O.

Each router sees only some of the calls, so each refuses the same share of each class, drawn from the hash of
the call's key: repeats of a call get the same result, and all routers together reach the plan's shares
without communication.  The plan's shares are a starting point.  What the surviving sites can bear shows in
how many calls of the admitted classes finish in time: when too few do, the order is cut deeper, class by
class, and restored slowly.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

CUT_STEP = 0.15  # share of the whole order that is cut in addition when admitted calls are late
RESTORE_STEP = 0.03  # share that is restored in a step when they are in time
MIN_IN_TIME_SHARE = 0.85  # share of admitted calls that must be in time: one late call in a dozen is chance
MIN_CALLS = 20  # calls that a step is based on
STEP_INTERVAL_US = 500_000  # us between two steps
MAX_RETRY_AFTER_MS = 4_000  # longest wait that a refused client is given; waits are spread from half of it


@dataclass(frozen=True, slots=True)
class ClassShare:
    """A class of a tenant in the shedding order."""

    request_class: str
    tenant: str
    share: float  # of the calls, by their work
    admitted: float  # by the plan


class Admission:
    """Decides which calls are admitted while a site is lost.

    `order`: the classes to be refused first come first; their shares sum to 1.  `cut` is the share of the
    order that is refused, from its start: 0 refuses nobody.
    """

    def __init__(self, order: Sequence[ClassShare]) -> None:
        self.order = tuple(order)
        self.plan_cut = self._planned_cut(order)
        self.cut = 0.0
        self.active = False
        self._stepped_at = 0
        self._calls = self._in_time = 0

    @staticmethod
    def _planned_cut(order: Sequence[ClassShare]) -> float:
        """Return how much of the order, by share of work, the plan refuses."""
        return sum(entry.share * (1 - entry.admitted) for entry in order)

    def begin(self, now: int) -> None:
        """A site is lost: the plan applies from now on."""
        if not self.active:
            self.active, self.cut, self._stepped_at = True, self.plan_cut, now
            self._calls = self._in_time = 0

    def end(self) -> None:
        """All sites serve."""
        self.active, self.cut = False, 0.0

    def admitted_share(self, request_class: str, tenant: str) -> float:
        """Return the share of a class's calls that is admitted now: the order is cut from its start."""
        left = self.cut
        for entry in self.order:
            if entry.request_class == request_class and entry.tenant in ("", tenant):  # "": all tenants
                return 1.0 if entry.share <= 0 else min(1.0, max(0.0, 1 - left / entry.share))
            left = max(0.0, left - entry.share)
        return 1.0  # a class that is not in the plan is not refused by it

    def admits(self, request_class: str, tenant: str, key: str) -> bool:
        """Return whether a call is admitted; the same for each repeat under its key, at every router."""
        if not self.active:
            return True
        share = self.admitted_share(request_class, tenant)
        return share >= 1 or xxhash.xxh64_intdigest(key.encode()) < share * 2**64

    def retry_after_ms(self, key: str) -> int:
        """Return how long a refused client waits; spread, so that the retries do not come all at once."""
        return MAX_RETRY_AFTER_MS // 2 + xxhash.xxh64_intdigest(key.encode(), 1) % (MAX_RETRY_AFTER_MS // 2)

    def record_call(self, in_time: bool) -> None:
        """An admitted call has ended."""
        self._calls += 1
        self._in_time += in_time

    def step(self, now: int) -> bool:
        """Adjust the cut: deeper at once, restored slowly, never below the plan's cut while a site is lost.

        Returns whether the cut has changed.
        """
        if not self.active or now - self._stepped_at < STEP_INTERVAL_US or self._calls < MIN_CALLS:
            return False
        in_time = self._in_time >= MIN_IN_TIME_SHARE * self._calls
        before = self.cut
        self.cut = max(self.plan_cut, self.cut - RESTORE_STEP) if in_time else min(1.0, self.cut + CUT_STEP)
        self._stepped_at, self._calls, self._in_time = now, 0, 0
        return self.cut != before
