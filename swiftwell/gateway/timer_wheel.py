"""Timers of one engine: a hashed wheel, and the plain heap it was measured against (benchmarks/timers.py).

Both give back what is due in the order of its time, then of its setting.  Times are whole microseconds.
"""

from __future__ import annotations

import heapq
from typing import Any

TICK_US = 1_000  # us: width of a slot; the module's own tick is no finer
SLOTS = 4096  # slots of a turn: four seconds, longer than most deadlines, so few timers wait for a later turn


class TimerHeap:
    """Timers in a binary heap; cancelled ones are skipped when they come up."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Any]] = []
        self._seq = 0
        self._live: set[int] = set()

    def __len__(self) -> int:
        return len(self._live)

    def add(self, due_us: int, what: Any) -> int:
        """Set a timer; the number returned cancels it."""
        self._seq += 1
        heapq.heappush(self._heap, (due_us, self._seq, what))
        self._live.add(self._seq)
        return self._seq

    def cancel(self, number: int) -> None:
        """Take a timer back; one that has come due or was taken back already is passed over."""
        self._live.discard(number)
        # Calls that end early would leave their deadlines here for as long as the longest deadline.
        if len(self._heap) > 64 and len(self._heap) > 2 * len(self._live):
            self._heap = [entry for entry in self._heap if entry[1] in self._live]
            heapq.heapify(self._heap)

    def due(self, now_us: int) -> list[Any]:
        """Take out what is due."""
        out = []
        while self._heap and self._heap[0][0] <= now_us:
            _, number, what = heapq.heappop(self._heap)
            if number in self._live:
                self._live.discard(number)
                out.append(what)
        return out

    def next_us(self) -> int | None:
        """When the next timer is due; None when none is set."""
        while self._heap and self._heap[0][1] not in self._live:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None


class TimerWheel:
    """Timers in a ring of slots; those beyond one turn stay in their slot until their turn comes.

    Setting and cancelling take constant time.  `next_us` is rounded up to the end of a slot, so a timer comes
    up to `TICK_US` late and never early.
    """

    def __init__(self, now_us: int = 0) -> None:
        self._slots: list[dict[int, tuple[int, Any]]] = [{} for _ in range(SLOTS)]
        self._where: dict[int, int] = {}
        self._seq = 0
        self._at = now_us // TICK_US  # every slot before this tick has been emptied

    def __len__(self) -> int:
        return len(self._where)

    def add(self, due_us: int, what: Any) -> int:
        """Set a timer; the number returned cancels it."""
        self._seq += 1
        tick = max(self._at, -(-due_us // TICK_US))
        slot = tick % SLOTS
        self._slots[slot][self._seq] = (tick, what)
        self._where[self._seq] = slot
        return self._seq

    def cancel(self, number: int) -> None:
        """Take a timer back; one that has come due or was taken back already is passed over."""
        slot = self._where.pop(number, None)
        if slot is not None:
            del self._slots[slot][number]

    def due(self, now_us: int) -> list[Any]:
        """Take out what is due."""
        end = now_us // TICK_US
        if end < self._at:
            return []
        found: list[tuple[int, int, Any]] = []
        # After a long pause every slot is looked at once, not once for each turn that went by.
        for tick in range(self._at, min(end, self._at + SLOTS - 1) + 1):
            slot = self._slots[tick % SLOTS]
            if slot:
                ready = [(due, number, what) for number, (due, what) in slot.items() if due <= end]
                for _, number, _ in ready:
                    del slot[number], self._where[number]
                found += ready
        self._at = end + 1
        found.sort(key=lambda entry: entry[:2])
        return [what for _, _, what in found]

    def next_us(self) -> int | None:
        """When the next timer is due; None when none is set."""
        if not self._where:
            return None
        for tick in range(self._at, self._at + SLOTS):
            slot = self._slots[tick % SLOTS]
            if slot and any(due <= tick for due, _ in slot.values()):
                return tick * TICK_US
        return (self._at + SLOTS) * TICK_US  # all are beyond this turn: look again then
