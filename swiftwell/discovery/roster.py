"""The workers known to this gateway, merged from live lists, a saved list and the workers' own reports.

No I/O.  Results are `Members` updates for the router, and workers to be queried.  A live list decides: what
it calls draining or leaves out gets nothing new.  A worker's own report overrules a list that lags behind it.
Until a live list has come, saved entries are queried and offered by the rules of `trust`.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from swiftwell.discovery import trust
from swiftwell.interface import ListKind, Members, State, WorkerEntry


@dataclass(slots=True)
class Known:
    """What is known of a worker.  Times are monotonic us, 0 is never.  The handover stores fields by name."""

    entry: WorkerEntry
    listed_us: int = 0  # when a live list last named it
    answered_us: int = 0  # when it last answered anything
    said_start: int = 0  # its start by its own report, monotonic us
    drained: bool = False  # it reported that it drains, and the list does not show that yet
    left_us: int = 0  # when the live list first left it out


@dataclass(slots=True)
class _Unconfirmed:
    """A saved entry whose worker has not answered yet."""

    entry: WorkerEntry
    grade: trust.Grade
    failures: int = 0
    query_at_us: int = 0
    query_open: bool = False
    offered: bool = False


class Roster:
    """`gateways` is how many start together with this one; it sets the rate of queries."""

    def __init__(self, gateways: int = 1) -> None:
        self._gateways = gateways
        self.known: dict[str, Known] = {}
        self._unconfirmed: OrderedDict[str, _Unconfirmed] = OrderedDict()
        self._open_queries = 0
        self._next_query_us = 0
        self.live = False  # a live list has come since the start
        self.size_since = 0  # since when the live list has had about its present size
        self.corrections = 0

    # Inputs.

    def add_saved(self, now: int, entries: Iterable[tuple[WorkerEntry, int | None]]) -> Members | None:
        """Takes a list from disk or from a peer, each entry with the age of the last report of its worker.

        Returns the update for the router, with the entries that may be used at once.  The list is ignored
        once a live list has come.
        """
        if self.live:
            return None
        usable = []
        for entry, age in entries:
            if entry.worker in self.known or entry.state is State.GONE:
                continue
            grade = trust.grade(age)
            old = self._unconfirmed.get(entry.worker)
            if old and old.grade <= grade:
                continue
            new = self._unconfirmed[entry.worker] = _Unconfirmed(entry, grade)
            new.query_open = bool(old and old.query_open)
            if grade is trust.Grade.FRESH:
                new.offered = True
                usable.append(entry)
        return Members(ListKind.DELTA, tuple(usable)) if usable else None

    def apply_list(self, now: int, event: Members) -> Members:
        """Applies a live list and returns the update for the router."""
        if event.kind is ListKind.FAILED:
            return event
        listed = {entry.worker for entry in event.entries}
        updates = [self._apply_entry(now, entry) for entry in event.entries]
        if event.kind is not ListKind.DELTA:
            before = sum(not known.left_us for known in self.known.values())
            if not before or not trust.COLLAPSE_RATIO <= len(listed) / before <= 1 / trust.COLLAPSE_RATIO:
                self.size_since = now
            updates += self._drain_unlisted(now, listed)
            for unconfirmed in self._unconfirmed.values():  # offered as saved, but not in the list
                if unconfirmed.offered and unconfirmed.entry.worker not in listed:
                    updates.append(replace(unconfirmed.entry, state=State.GONE))
            self._unconfirmed.clear()
            self.live = True
        return Members(ListKind.DELTA, tuple(updates))

    def _apply_entry(self, now: int, entry: WorkerEntry) -> WorkerEntry:
        if entry.state is State.GONE:
            self.known.pop(entry.worker, None)
            self._unconfirmed.pop(entry.worker, None)
            return entry
        known = self.known.get(entry.worker)
        if known is None:
            known = self.known[entry.worker] = Known(entry)
        replaced = entry.started_us != known.entry.started_us
        if (
            replaced
            and known.said_start
            and abs(known.said_start - entry.started_us) < trust.START_TOLERANCE_US
        ):
            # The list now names the process that the worker had reported itself.
            entry = replace(entry, started_us=known.entry.started_us)
            replaced = False
        elif replaced and known.said_start and entry.started_us < known.said_start and known.answered_us:
            entry = replace(entry, started_us=known.entry.started_us)  # the list still names an older process
            replaced = False
        if replaced or entry.state is not State.READY:
            known.drained = False  # a new process, or the list shows it itself
        if replaced:
            known.said_start = 0
        if known.drained:
            entry = replace(entry, state=State.DRAINING)
        known.entry, known.listed_us, known.left_us = entry, now, 0
        return entry

    def _drain_unlisted(self, now: int, listed: set[str]) -> list[WorkerEntry]:
        """Marks workers that a full list leaves out as draining, and keeps them for a while.

        A list that loses half of its workers and finds them again must not cost the estimates of their warm
        copies.
        """
        updates = []
        for worker, known in self.known.items():
            if worker not in listed and not known.left_us:
                known.left_us = now
                known.entry = replace(known.entry, state=State.DRAINING)
                updates.append(known.entry)
        return updates

    def record_report(
        self, now: int, worker: str, draining: bool = False, started_us: int = 0, answered: bool = True
    ) -> Members | None:
        """Takes what a worker's answer to a call, load order or query says of itself, or that none came.

        Returns the update for the router.
        """
        unconfirmed = self._unconfirmed.get(worker)
        if unconfirmed:
            return self._record_first_answer(now, unconfirmed, draining, started_us, answered)
        known = self.known.get(worker)
        if known is None or not answered:
            return None
        known.answered_us = now
        before = known.entry
        if started_us and known.said_start != started_us:
            previous_start_us = known.said_start or known.entry.started_us
            known.said_start = started_us
            if (
                previous_start_us
                and abs(previous_start_us - started_us) >= trust.START_TOLERANCE_US
                and started_us > previous_start_us
            ):
                # Another process at the same address: it is cold and holds none of the old copies.
                state = State.DRAINING if known.left_us else State.READY
                known.entry, known.drained = replace(known.entry, started_us=started_us, state=state), False
        if draining and known.entry.state is State.READY:
            known.drained = True
            known.entry = replace(known.entry, state=State.DRAINING)
        if known.entry == before:
            return None
        self.corrections += 1
        return Members(ListKind.DELTA, (known.entry,))

    def _record_first_answer(
        self, now: int, unconfirmed: _Unconfirmed, draining: bool, started_us: int, answered: bool
    ) -> Members | None:
        worker = unconfirmed.entry.worker
        if not answered:
            unconfirmed.failures += 1
            unconfirmed.query_at_us = now + trust.retry_delay_us(unconfirmed.failures)
            if unconfirmed.offered:  # it had been offered as saved
                unconfirmed.offered = False
                return Members(ListKind.DELTA, (replace(unconfirmed.entry, state=State.GONE),))
            return None
        del self._unconfirmed[worker]
        offer = trust.offer(unconfirmed.grade, unconfirmed.entry.started_us, started_us, now)
        state = State.DRAINING if draining else State.READY
        entry = replace(unconfirmed.entry, state=state, started_us=offer.started_us)
        self.known[worker] = Known(entry, 0, now, started_us, draining)
        self.corrections += entry != unconfirmed.entry
        if unconfirmed.offered and entry == unconfirmed.entry:
            return None
        return Members(ListKind.DELTA, (entry,))

    # Queries and time.

    def due_queries(self, now: int) -> list[str]:
        """Workers to be queried now; each answer or failure must be reported to `query_ended`."""
        workers = []
        interval = trust.query_interval_us(self._gateways, len(self._unconfirmed))
        for worker, unconfirmed in self._unconfirmed.items():
            # The first `MAX_OPEN_QUERIES` may be sent together, then one in each interval.
            if self._open_queries >= trust.MAX_OPEN_QUERIES or self._next_query_us > now:
                break
            if not unconfirmed.query_open and now >= unconfirmed.query_at_us:
                unconfirmed.query_open = True
                self._open_queries += 1
                self._next_query_us = (
                    max(self._next_query_us, now - trust.MAX_OPEN_QUERIES * interval) + interval
                )
                workers.append(worker)
        return workers

    def query_ended(
        self, now: int, worker: str, draining: bool, started_us: int, answered: bool
    ) -> Members | None:
        """Takes the end of a query and returns the update for the router."""
        self._open_queries = max(0, self._open_queries - 1)
        unconfirmed = self._unconfirmed.get(worker)
        if unconfirmed:
            unconfirmed.query_open = False
        return self.record_report(now, worker, draining, started_us, answered)

    def expire_unlisted(self, now: int) -> Members | None:
        """Removes workers that left the list long ago; returns the update for the router."""
        expired = [
            worker
            for worker, known in self.known.items()
            if known.left_us and now - known.left_us >= trust.UNLISTED_RETENTION_US
        ]
        if not expired:
            return None
        return Members(
            ListKind.DELTA,
            tuple(replace(self.known.pop(worker).entry, state=State.GONE) for worker in expired),
        )

    def next_due_us(self, now: int) -> int | None:
        """When `due_queries` or `expire_unlisted` must be called next."""
        times = [
            known.left_us + trust.UNLISTED_RETENTION_US for known in self.known.values() if known.left_us
        ]
        waiting = [entry.query_at_us for entry in self._unconfirmed.values() if not entry.query_open]
        if waiting and self._open_queries < trust.MAX_OPEN_QUERIES:
            times.append(max(now, min(waiting), self._next_query_us))
        return min(times, default=None)

    def entries(self) -> list[WorkerEntry]:
        """Every worker that the router has been given, for a router that is rebuilt."""
        offered = [unconfirmed.entry for unconfirmed in self._unconfirmed.values() if unconfirmed.offered]
        return [known.entry for known in self.known.values()] + offered

    def sizes(self) -> dict[str, int]:
        """The size of every table."""
        return {"roster": len(self.known), "untried": len(self._unconfirmed)}
