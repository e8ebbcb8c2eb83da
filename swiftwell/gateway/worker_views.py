"""How changes of the worker list are presented to the module.  No I/O."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from dataclasses import replace

from swiftwell import interface as io
from swiftwell.discovery import trust
from swiftwell.interface import State
from swiftwell.router_state import Worker

VisibleWorkers = Mapping[str, Container[str]]  # by site; a site that is not named is visible as a whole


def is_hidden(entry: io.WorkerEntry, visible: VisibleWorkers) -> bool:
    """Whether a worker is at a site of which others are visible only."""
    return entry.zone in visible and entry.worker not in visible[entry.zone]


def hide_workers(members: io.Members, visible: VisibleWorkers) -> io.Members:
    """Present hidden ready workers as draining: what runs there ends, and nothing new is sent there."""
    if not visible or members.kind is io.ListKind.FAILED:
        return members
    entries = tuple(
        replace(entry, state=State.DRAINING)
        if entry.state is State.READY and is_hidden(entry, visible)
        else entry
        for entry in members.entries
    )
    return members._replace(entries=entries)


def changed_by_visibility(
    entries: Iterable[io.WorkerEntry], before: VisibleWorkers, now: VisibleWorkers
) -> tuple[io.WorkerEntry, ...]:
    """The entries of workers that become hidden or visible."""
    return tuple(entry for entry in entries if is_hidden(entry, before) is not is_hidden(entry, now))


def keep_known_starts(members: io.Members, known: Mapping[str, Worker]) -> io.Members:
    """Keep a worker's known start time where a reported one differs by less than any restart takes.

    A start is a wall time, converted by clocks that were read at different moments (of a saved list, or of
    the previous process).  For the module any difference means a new process, whose copies are unknown.
    """
    entries = []
    for entry in members.entries:
        worker = known.get(entry.worker)
        start = worker.entry.started_us if worker else 0
        if start and entry.started_us and 0 < abs(start - entry.started_us) < trust.START_TOLERANCE_US:
            entry = replace(entry, started_us=start)
        entries.append(entry)
    return members._replace(entries=tuple(entries))
