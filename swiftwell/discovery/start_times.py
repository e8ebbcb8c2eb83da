"""Converts the start times of listed workers to monotonic time.  No I/O; the clock is passed in.

The journal gives a start as Unix milliseconds of its own wall clock, and a wall clock may be off by an hour,
here or there.  The slow start of a worker lasts a span of real time, so the span counts from the moment at
which this process learnt of the start; the wall time only identifies the worker's process.

The list at this process's own start is the exception, as it may name starts long past: there the wall time
may shorten the span.  Otherwise a router that restarts would take every worker that was ever replaced for one
that has just started, and serve next to nothing for that span.
"""

from __future__ import annotations

from collections.abc import Callable

from swiftwell import interface as io
from swiftwell.discovery import journal
from swiftwell.interface import ListKind, State


class StartTimes:
    """Start times of the listed workers.

    `to_monotonic_us` converts Unix ms by this process's wall clock.
    """

    def __init__(self, to_monotonic_us: Callable[[float], int]) -> None:
        self._to_monotonic_us = to_monotonic_us
        self._starts: dict[str, tuple[float, int]] = {}  # by id: since_ms as listed, and monotonic us
        self._has_list = False  # a full list has come, so that later starts are new ones

    def __len__(self) -> int:
        return len(self._starts)

    def to_members(self, event: journal.Event, now_us: int, at_our_start: bool = False) -> io.Members:
        """An event as the router takes it; `at_our_start` is set if it was there when this process began."""
        at_our_start |= not self._has_list
        self._has_list |= event.is_full_list
        if event.is_full_list:
            listed = {worker.id for worker in event.workers}
            self._starts = {id_: start for id_, start in self._starts.items() if id_ in listed}
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
        """Monotonic us of a late start, never after this process learnt of it; 0 if there is none."""
        if worker.since_ms <= 0:
            return 0
        since_ms, started_us = self._starts.get(worker.id, (0.0, 0))
        if since_ms != worker.since_ms:
            by_wall_clock_us = self._to_monotonic_us(worker.since_ms)
            started_us = min(by_wall_clock_us, now_us) if at_our_start else now_us
            self._starts[worker.id] = worker.since_ms, started_us
        return started_us
