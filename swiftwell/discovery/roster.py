"""The workers as this gateway believes them: lists, a saved list, and what workers say, merged.  Decisions,
no I/O.

Out of it come `Members` for the module and workers to be asked.  A list that is in force rules: what it
calls draining or leaves out gets nothing new.  What a worker says of itself overrules a list that is late.
Until a live list has come, saved entries are asked and offered as `trust` says.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from swiftwell.discovery import trust
from swiftwell.interface import ListKind, Members, State, WorkerEntry


@dataclass(slots=True)
class Known:
    """What is known of a worker.  Times are monotonic us; 0 is never."""

    entry: WorkerEntry
    listed_us: int = 0  # a live list last named it
    answered_us: int = 0  # it last answered anything
    said_start: int = 0  # the start that it says itself
    drained: bool = False  # it said that it drains, and the list does not know
    left_us: int = 0  # the live list left it out, since then


@dataclass(slots=True)
class _Untried:
    """A saved entry that has not answered yet."""

    entry: WorkerEntry
    how: trust.Grade
    failures: int = 0
    ask_at: int = 0
    asked: bool = False
    offered: bool = False


class Roster:
    """`gateways`: how many start together with this one, for the pace of questions."""

    def __init__(self, gateways: int = 1) -> None:
        self._gateways = gateways
        self.known: dict[str, Known] = {}
        self._untried: OrderedDict[str, _Untried] = OrderedDict()
        self._asking = 0
        self._next_ask = 0
        self.live = False  # a live list has come since the start
        self.size_since = 0  # since when the live list has had about this size
        self.corrections = 0

    # What it is told.

    def saved(self, now: int, entries: Iterable[tuple[WorkerEntry, int | None]]) -> Members | None:
        """A list from disk or from a peer, each entry with the age of its last word.

        Returns what the module may have of it at once.  Once a live list has come it is of no use.
        """
        if self.live:
            return None
        at_once = []
        for entry, age in entries:
            if entry.worker in self.known or entry.state is State.GONE:
                continue
            how = trust.grade(age)
            old = self._untried.get(entry.worker)
            if old and old.how <= how:
                continue
            one = self._untried[entry.worker] = _Untried(entry, how)
            one.asked = bool(old and old.asked)
            if how is trust.Grade.FRESH:
                one.offered = True
                at_once.append(entry)
        return Members(ListKind.DELTA, tuple(at_once)) if at_once else None

    def listed(self, now: int, event: Members) -> Members:
        """A live list; returns what the module is told."""
        if event.how is ListKind.FAILED:
            return event
        named = {entry.worker for entry in event.entries}
        told = [self._named(now, entry) for entry in event.entries]
        if event.how is not ListKind.DELTA:
            before = sum(not known.left_us for known in self.known.values())
            if not before or not trust.COLLAPSE <= len(named) / before <= 1 / trust.COLLAPSE:
                self.size_since = now
            told += self._left_out(now, named)
            for one in self._untried.values():  # offered on its saved word, and no list names it
                if one.offered and one.entry.worker not in named:
                    told.append(replace(one.entry, state=State.GONE))
            self._untried.clear()
            self.live = True
        return Members(ListKind.DELTA, tuple(told))

    def _named(self, now: int, entry: WorkerEntry) -> WorkerEntry:
        if entry.state is State.GONE:
            self.known.pop(entry.worker, None)
            self._untried.pop(entry.worker, None)
            return entry
        known = self.known.get(entry.worker)
        if known is None:
            known = self.known[entry.worker] = Known(entry)
        replaced = entry.started_us != known.entry.started_us
        if replaced and known.said_start and abs(known.said_start - entry.started_us) < trust.SAME_START_US:
            entry = replace(
                entry, started_us=known.entry.started_us
            )  # the list has caught up with the worker's word
            replaced = False
        elif replaced and known.said_start and entry.started_us < known.said_start and known.answered_us:
            entry = replace(entry, started_us=known.entry.started_us)  # the list is behind
            replaced = False
        if replaced or entry.state is not State.READY:
            known.drained = False  # a new process, or the list knows by now
        if replaced:
            known.said_start = 0
        if known.drained:
            entry = replace(entry, state=State.DRAINING)
        known.entry, known.listed_us, known.left_us = entry, now, 0
        return entry

    def _left_out(self, now: int, named: set[str]) -> list[WorkerEntry]:
        """Workers that a full list does not name: nothing new to them, but their beliefs are kept for a
        while.

        A list that loses half of its workers and finds them again must not cost their warm copies.
        """
        told = []
        for worker, known in self.known.items():
            if worker not in named and not known.left_us:
                known.left_us = now
                known.entry = replace(known.entry, state=State.DRAINING)
                told.append(known.entry)
        return told

    def said(
        self, now: int, worker: str, draining: bool = False, started_us: int = 0, answered: bool = True
    ) -> Members | None:
        """A worker's own word, with the answer to a call, an order or a question; what the module is told of
        it."""
        untried = self._untried.get(worker)
        if untried:
            return self._tried(now, untried, draining, started_us, answered)
        known = self.known.get(worker)
        if known is None or not answered:
            return None
        known.answered_us = now
        before = known.entry
        if started_us and known.said_start != started_us:
            changed = known.said_start or known.entry.started_us
            known.said_start = started_us
            if changed and abs(changed - started_us) >= trust.SAME_START_US and started_us > changed:
                # Another process at the same address: the beliefs of the old one are wrong, and it is cold.
                state = State.DRAINING if known.left_us else State.READY
                known.entry, known.drained = replace(known.entry, started_us=started_us, state=state), False
        if draining and known.entry.state is State.READY:
            known.drained = True
            known.entry = replace(known.entry, state=State.DRAINING)
        if known.entry == before:
            return None
        self.corrections += 1
        return Members(ListKind.DELTA, (known.entry,))

    def _tried(
        self, now: int, one: _Untried, draining: bool, started_us: int, answered: bool
    ) -> Members | None:
        worker = one.entry.worker
        if not answered:
            one.failures += 1
            one.ask_at = now + trust.again_us(one.failures)
            if one.offered:  # it was used on its saved word
                one.offered = False
                return Members(ListKind.DELTA, (replace(one.entry, state=State.GONE),))
            return None
        del self._untried[worker]
        found = trust.offer(one.how, one.entry.started_us, started_us, now)
        state = State.DRAINING if draining else State.READY
        entry = replace(one.entry, state=state, started_us=found.started_us)
        self.known[worker] = Known(entry, 0, now, started_us, draining)
        self.corrections += entry != one.entry
        if one.offered and entry == one.entry:
            return None
        return Members(ListKind.DELTA, (entry,))

    # What it wants.

    def asks(self, now: int) -> list[str]:
        """Workers to be asked now; each answer or failure comes back through `asked`."""
        out = []
        gap = trust.gap_us(self._gateways, len(self._untried))
        for worker, one in self._untried.items():
            # `AT_ONCE` may go out together, then one in each gap.
            if self._asking >= trust.AT_ONCE or self._next_ask > now:
                break
            if not one.asked and now >= one.ask_at:
                one.asked = True
                self._asking += 1
                self._next_ask = max(self._next_ask, now - trust.AT_ONCE * gap) + gap
                out.append(worker)
        return out

    def asked(self, now: int, worker: str, draining: bool, started_us: int, answered: bool) -> Members | None:
        """A question has ended."""
        self._asking = max(0, self._asking - 1)
        one = self._untried.get(worker)
        if one:
            one.asked = False
        return self.said(now, worker, draining, started_us, answered)

    def step(self, now: int) -> Members | None:
        """Let time pass: what left the list long ago is gone."""
        gone = [
            w for w, known in self.known.items() if known.left_us and now - known.left_us >= trust.LINGER_US
        ]
        if not gone:
            return None
        return Members(
            ListKind.DELTA, tuple(replace(self.known.pop(worker).entry, state=State.GONE) for worker in gone)
        )

    def next_us(self, now: int) -> int | None:
        """When `asks` or `step` is wanted next."""
        times = [known.left_us + trust.LINGER_US for known in self.known.values() if known.left_us]
        waiting = [one.ask_at for one in self._untried.values() if not one.asked]
        if waiting and self._asking < trust.AT_ONCE:
            times.append(max(now, min(waiting), self._next_ask))
        return min(times, default=None)

    def entries(self) -> list[WorkerEntry]:
        """Every worker that the module knows, for books made anew."""
        offered = [one.entry for one in self._untried.values() if one.offered]
        return [known.entry for known in self.known.values()] + offered

    def sizes(self) -> dict[str, int]:
        """The size of every table."""
        return {"roster": len(self.known), "untried": len(self._untried)}
