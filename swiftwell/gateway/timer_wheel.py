"""Timers of one engine: a hashed timer wheel, and the heap that it is compared with (benchmarks/timers.py).

Both return due timers in the order of their time, then of their creation.  Times are whole microseconds.
"""

from __future__ import annotations

import heapq
import sys
from collections import deque
from typing import Any

TICK_US = 1_000  # width of a slot; the module's own tick is no finer
_OVERDUE = -1  # in place of a slot
SLOTS = 4096  # four seconds: longer than most deadlines, so few timers stay for a further revolution


class TimerHeap:
    """Timers in a binary heap; cancelled ones are skipped when they come up."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Any]] = []
        self._seq = 0
        self._pending: set[int] = set()

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, due_us: int, payload: Any) -> int:
        """Set a timer; returns the number that cancels it."""
        self._seq += 1
        heapq.heappush(self._heap, (due_us, self._seq, payload))
        self._pending.add(self._seq)
        return self._seq

    def cancel(self, number: int) -> None:
        """Cancel a timer; no effect if it was due or cancelled before."""
        self._pending.discard(number)
        # Else the cancelled deadlines of calls that end early would stay for as long as the longest deadline.
        if len(self._heap) > 64 and len(self._heap) > 2 * len(self._pending):
            self._heap = [entry for entry in self._heap if entry[1] in self._pending]
            heapq.heapify(self._heap)

    def due(self, now_us: int) -> list[Any]:
        """Remove the timers that are due and return their payloads."""
        result = []
        while self._heap and self._heap[0][0] <= now_us:
            _, number, payload = heapq.heappop(self._heap)
            if number in self._pending:
                self._pending.discard(number)
                result.append(payload)
        return result

    def next_us(self) -> int | None:
        """When the next timer is due; None if none is set."""
        while self._heap and self._heap[0][1] not in self._pending:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None


class TimerWheel:
    """Timers in a ring of slots; a timer beyond one revolution stays in its slot until its own revolution.

    Setting and cancelling take constant time.  `next_us` is rounded up to the end of a slot, so a timer fires
    up to `TICK_US` late and never early.
    """

    def __init__(self, now_us: int = 0) -> None:
        self._slots: list[dict[int, tuple[int, Any]]] = [{} for _ in range(SLOTS)]
        self._slot_by_number: dict[int, int] = {}
        self._seq = 0
        self._next_tick = now_us // TICK_US  # all earlier ticks have been emptied
        self._overdue: deque[tuple[int, Any]] = deque()  # number and payload of what is due and not returned

    def __len__(self) -> int:
        return len(self._slot_by_number)

    def add(self, due_us: int, payload: Any) -> int:
        """Set a timer; returns the number that cancels it."""
        self._seq += 1
        tick = max(self._next_tick, -(-due_us // TICK_US))
        slot = tick % SLOTS
        self._slots[slot][self._seq] = (tick, payload)
        self._slot_by_number[self._seq] = slot
        return self._seq

    def cancel(self, number: int) -> None:
        """Cancel a timer; no effect if it was due or cancelled before."""
        slot = self._slot_by_number.pop(number, None)
        if slot is not None and slot != _OVERDUE:
            del self._slots[slot][number]

    def due(self, now_us: int, limit: int = sys.maxsize) -> list[Any]:
        """Remove timers that are due and return their payloads, at most `limit` of them."""
        end = now_us // TICK_US
        if end >= self._next_tick:
            self._collect(end)
        result: list[Any] = []
        while self._overdue and len(result) < limit:
            number, payload = self._overdue.popleft()
            if self._slot_by_number.pop(number, None) is not None:  # else it was cancelled
                result.append(payload)
        return result

    def _collect(self, end: int) -> None:
        """Move the timers that are due by the tick `end` out of their slots."""
        found: list[tuple[int, int, Any]] = []
        # After a long pause each slot is visited once, not once for each revolution that passed.
        for tick in range(self._next_tick, min(end, self._next_tick + SLOTS - 1) + 1):
            slot = self._slots[tick % SLOTS]
            if slot:
                ready = [(due, number, payload) for number, (due, payload) in slot.items() if due <= end]
                for _, number, _ in ready:
                    del slot[number]
                found += ready
        self._next_tick = end + 1
        found.sort(key=lambda entry: entry[:2])
        for _, number, payload in found:
            self._slot_by_number[number] = _OVERDUE
            self._overdue.append((number, payload))

    def next_us(self) -> int | None:
        """When the next timer is due; None if none is set."""
        if not self._slot_by_number:
            return None
        if self._overdue:
            return self._next_tick * TICK_US - TICK_US
        for tick in range(self._next_tick, self._next_tick + SLOTS):
            slot = self._slots[tick % SLOTS]
            if slot and any(due <= tick for due, _ in slot.values()):
                return tick * TICK_US
        return (self._next_tick + SLOTS) * TICK_US  # all are beyond this revolution: check again at its end
