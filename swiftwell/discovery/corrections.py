"""What workers themselves say corrects the list at once.  Decisions only, no I/O.

A worker that answers `draining` is drained from then on (rule 3), however late the list is: a list that
still calls
the same process ready is overruled until it names another start, or has caught up.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from swiftwell.interface import ListKind, Members, State, WorkerEntry


class Corrections:
    """The list as it is believed: what discovery told, corrected by what workers said."""

    def __init__(self) -> None:
        self.entries: dict[str, WorkerEntry] = {}
        self._drained: dict[str, int] = {}  # worker: start of the process that said so

    def listed(self, event: Members) -> Members:
        """Correct an update before the module sees it."""
        if event.how is ListKind.FAILED:
            return event
        corrected = tuple(self._corrected(entry) for entry in event.entries)
        if event.how is not ListKind.DELTA:
            self.entries = {}
        for entry in corrected:
            if entry.state is State.GONE:
                self.entries.pop(entry.worker, None)
            else:
                self.entries[entry.worker] = entry
        self._drained = {w: start for w, start in self._drained.items() if w in self.entries}
        return Members(event.how, corrected)

    def _corrected(self, entry: WorkerEntry) -> WorkerEntry:
        start = self._drained.get(entry.worker)
        if start is None:
            return entry
        if entry.started_us != start or entry.state is not State.READY:
            del self._drained[entry.worker]  # a new process, or the list knows by now
            return entry
        return replace(entry, state=State.DRAINING)

    def draining(self, worker: str) -> Members | None:
        """A worker said that it drains; the update to hand on, None where that is known already."""
        entry = self.entries.get(worker)
        if entry is None or entry.state is not State.READY:
            return None
        self._drained[worker] = entry.started_us
        return self.listed(Members(ListKind.DELTA, (entry,)))

    def all(self) -> Iterable[WorkerEntry]:
        """Every worker that the list holds now."""
        return self.entries.values()
