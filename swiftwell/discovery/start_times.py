"""When workers started, as spans of real time.  No I/O; the clock comes in from outside.

The journal tells a start as Unix milliseconds of the lister's wall clock, and wall clocks may be off by an
hour, here or there.  Slow start is a span of real time, so it counts from the moment at which we were told of
the start; the wall figure names the process.  Only in the list that we begin with, which may tell of starts
long past, may it shorten the span: else a router that restarts would take a whole fleet that was ever
replaced for starting, and serve next to nothing for that span.
"""

from __future__ import annotations

from collections.abc import Callable

from swiftwell import interface as io
from swiftwell.discovery import journal
from swiftwell.interface import ListKind, State


class StartTimes:
    """Starts of the listed workers.

    `monotonic_of` turns Unix ms into monotonic us by the anchor of this process's wall clock.
    """

    def __init__(self, monotonic_of: Callable[[float], int]) -> None:
        self._monotonic_of = monotonic_of
        self._starts: dict[str, tuple[float, int]] = {}  # id: since_ms as told, and monotonic us
        self._has_list = False  # a whole list has come: what comes later is news

    def __len__(self) -> int:
        return len(self._starts)

    def members(self, event: journal.Event, now_us: int, at_our_start: bool = False) -> io.Members:
        """An event as the module takes it; `at_our_start`: it was there when this process began."""
        at_our_start |= not self._has_list
        self._has_list |= event.is_full_list
        if event.is_full_list:
            named = {worker.id for worker in event.workers}
            self._starts = {id_: start for id_, start in self._starts.items() if id_ in named}
        entries = tuple(
            io.WorkerEntry(
                worker.id,
                worker.state,
                worker.kind,
                worker.weight,
                self._started_us(worker, now_us, at_our_start),
                worker.zone,
                worker.cell,
            )
            for worker in event.workers
        )
        for worker in event.workers:
            if worker.state is State.GONE:
                self._starts.pop(worker.id, None)
        return io.Members(ListKind.FULL if event.is_full_list else ListKind.DELTA, entries)

    def _started_us(self, worker: journal.Worker, now_us: int, at_our_start: bool) -> int:
        """Monotonic us of a late start, never later than we were told of it; 0 where there is none."""
        if worker.since_ms <= 0:
            return 0
        since_ms, started_us = self._starts.get(worker.id, (0.0, 0))
        if since_ms != worker.since_ms:
            by_wall_us = self._monotonic_of(worker.since_ms)
            started_us = min(by_wall_us, now_us) if at_our_start else now_us
            self._starts[worker.id] = worker.since_ms, started_us
        return started_us
