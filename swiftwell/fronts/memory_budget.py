"""How much memory clients may hold together, and who gives way when it is more.  No I/O.

Every connection is bounded by itself, but their sum is not: hundreds of connections with dozens of requests
each hold more than a small process has.  What they hold is counted against one budget.  Over it, whoever
holds most gives way first, so that a client with one small request never pays for the others.
"""

from __future__ import annotations

from typing import Generic, TypeVar

Holder = TypeVar("Holder")

# The budget's part of the memory that is free at the start.  Holders under their equal share may grow beyond
# the budget, at most to twice of it; the rest is for the tables of the process and its allocator.
BUDGET_SHARE = 1 / 3
MUCH_SHARE, LITTLE_SHARE = 0.3, 0.05  # of the budget: then memory is given back to the kernel
MIN_BUDGET_BYTES = 2_000_000  # some dozen of the largest requests, where the process has hardly any memory


def budget_bytes(free_bytes: float) -> int:
    """The budget of a process that had so much memory left when it had no clients.

    >>> budget_bytes(90e6)
    30000000
    """
    return max(MIN_BUDGET_BYTES, int(free_bytes * BUDGET_SHARE))


class MemoryBudget(Generic[Holder]):
    """What each holder holds, in bytes."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = self.peak_bytes = 0
        self._held: dict[Holder, int] = {}
        self._unowned_bytes = 0
        self._recent_peak_bytes = 0

    def __len__(self) -> int:
        return len(self._held)

    def update(self, holder: Holder, held_bytes: int) -> None:
        """A holder holds so many bytes now."""
        change_bytes = held_bytes - self._held.get(holder, 0)
        if not change_bytes:
            return
        self.total_bytes += change_bytes
        if change_bytes > 0:
            self._note_peak()
        if held_bytes:
            self._held[holder] = held_bytes
        else:
            self._held.pop(holder, None)

    def set_unowned(self, held_bytes: int) -> None:
        """So many bytes are held that no holder can release."""
        self.total_bytes += held_bytes - self._unowned_bytes
        self._unowned_bytes = held_bytes
        self._note_peak()

    def take_subsided(self) -> bool:
        """Whether much was held since this was true the last time, and little is held now."""
        subsided = (
            self._recent_peak_bytes > self.limit_bytes * MUCH_SHARE
            and self.total_bytes < self.limit_bytes * LITTLE_SHARE
        )
        if subsided:
            self._recent_peak_bytes = self.total_bytes
        return subsided

    def _note_peak(self) -> None:
        self.peak_bytes = max(self.peak_bytes, self.total_bytes)
        self._recent_peak_bytes = max(self._recent_peak_bytes, self.total_bytes)

    @property
    def exceeded(self) -> bool:
        """Whether holders must give way."""
        return self.total_bytes > self.limit_bytes

    def may_add(self, holder: Holder, added_bytes: int) -> bool:
        """Whether a holder may hold so much more: within the budget, or within its equal share of it."""
        if self.total_bytes + added_bytes <= self.limit_bytes:
            return True
        holders = len(self._held) + (holder not in self._held)
        return self._held.get(holder, 0) + added_bytes <= self._share_bytes(holders)

    def above_share(self) -> list[Holder]:
        """The holders that hold more than an equal share of the budget, those that hold most first."""
        share_bytes = self._share_bytes(len(self._held))
        above = [holder for holder, held_bytes in self._held.items() if held_bytes > share_bytes]
        return sorted(above, key=self._held.__getitem__, reverse=True)

    def _share_bytes(self, holders: int) -> int:
        return self.limit_bytes // max(1, holders)
