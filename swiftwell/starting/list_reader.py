"""Which router of a zone queries the list service, and when.  Decisions, no I/O.

One router reads the list for all, and holds the replicated log's writer lease as soon as the voters grant it.
Before anyone reads, and when the reader falls silent, the routers take turns in an order that each derives
from the configured group, so that together they query at a stated rate without exchanging messages.  A turn
passes from one live member to the next live one: with turns for all, a zone most of whose members never
started had no list, and so no service, for as long as their turns lasted.  When views of the membership
change, the turn moves on from its current position and never back, so late failures cause no burst.
A router that takes live members for dead queries too early; so all members count as alive for SETTLE_PERIODS
of our own running time, while a router meets the others, and whenever the fault may well be our own.  A turn
is one query; a router that gets an answer continues as the reader until it loses the service, or hears of
another reader while it does not hold the lease.  Two may read for a while, as on both sides of a partition;
the lease decides which one continues.

A router that hears nobody of its group is isolated, and queries as it would without a fleet: being cut off
must not cost it the list.  So the load on the service is bounded by the rate while routers hear each other,
and by the load without a fleet while they don't.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

LEARN_US = 300_000  # us after our start in which peers may send us the list: three rounds of log queries
SILENT_PERIODS = 4.0  # periods without a heartbeat until the reader counts as silent: three may be lost
SETTLE_PERIODS = 4  # periods of ours in which members meet: one ping a period, which carries the news
ISOLATED_US = 2_000_000  # us without a message from the group after which we count as isolated
MAX_STEP_US = 100_000  # us that one step may add to the running time: a starved process has met nobody
PAUSE_US = 1_000_000  # us between two steps after which our process counts as paused: twenty steps


class QueryMode(Enum):
    """What a router may do at the list service now."""

    NONE = "not"  # another router reads for it
    ONCE = "once"  # its turn: one query
    CONTINUOUS = "on"  # it is the reader: it may wait at the service for changes
    ISOLATED = "alone"  # as without a fleet


def shared_order(group: Iterable[int], salt: object) -> list[int]:
    """Return the group in an order that is the same at all members and differs for each salt."""

    def weight(member: int) -> bytes:
        return hashlib.blake2b(f"{salt}/{member}".encode(), digest_size=8).digest()

    return sorted(group, key=weight)


@dataclass(frozen=True, slots=True)
class LogView:
    """What the replicated log shows."""

    generation: int  # 0: none
    written_by_other: bool  # another router wrote the generation
    heartbeat_at: int | None  # last heartbeat of its writer
    newer_seen_at: int  # when we last heard of another generation that we do not hold yet
    received_at: int  # last message from anyone of the group, 0 for never
    living: frozenset[int] | None = None  # members believed alive; None where we can't tell: all


class ListReader:
    """One router's part in reading a list.

    `rate`: queries a second that the whole group may send while none of its members is the reader.
    """

    def __init__(
        self, me: int, group: tuple[int, ...], name: str, rate: float, period_us: int, now: int
    ) -> None:
        self.me, self.group, self.name, self.rate = me, group, name, rate
        self.silent_us, self._settle_us = int(SILENT_PERIODS * period_us), SETTLE_PERIODS * period_us
        self.started_at = now
        self._stepped_at, self._running_us = now, 0  # last step, and running time in us
        self.is_reader = False  # our last query was answered, and no other router has taken over
        self._round: tuple[int, int] = (-1, 0)  # generation, and when its silence began
        self._order: list[int] = []  # in which the group has turns in this round
        self._turn_index, self._turn_at = 0, 0.0  # current position in that order, and since when
        self._due = False  # our turn has come and we have not queried in it
        self.counts = dict.fromkeys(("turns", "answered", "lost", "gave-way"), 0)

    def step(self, now: int, holds_lease: bool, view: LogView) -> QueryMode:
        """Return what we may do; `holds_lease`: the writer lease of the replicated log is ours."""
        if len(self.group) == 1:
            return QueryMode.ISOLATED
        if now - self._stepped_at > PAUSE_US:  # we were paused, not the reader: let the others send first
            self.started_at = now
        self._running_us += min(now - self._stepped_at, MAX_STEP_US)
        self._stepped_at = now
        heartbeat_at = view.heartbeat_at if view.written_by_other else None
        fresh = (
            now - max(view.newer_seen_at, heartbeat_at if heartbeat_at is not None else -1 << 62)
            < self.silent_us
        )
        if self.is_reader and fresh and not holds_lease:
            self.is_reader = False
            self.counts["gave-way"] += 1
        if self.is_reader:
            return QueryMode.CONTINUOUS
        if fresh:
            return QueryMode.NONE
        if now - max(view.received_at, self.started_at) >= ISOLATED_US:
            return QueryMode.ISOLATED
        silent_at = 0 if view.heartbeat_at is None else view.heartbeat_at + self.silent_us
        since = max(self.started_at + LEARN_US, silent_at)
        living = view.living if self._running_us >= self._settle_us else None
        return QueryMode.ONCE if self._is_our_turn(now, view.generation, since, living) else QueryMode.NONE

    def _is_our_turn(self, now: int, generation: int, since: int, living: frozenset[int] | None) -> bool:
        """Return whether our next turn in this silence has come."""
        gap = 1e6 / self.rate
        if self._round != (generation, since):
            self._round, self._order = (
                (generation, since),
                shared_order(self.group, f"{self.name}/{generation}"),
            )
            self._turn_index, self._turn_at = 0, float(since)
            self._due = self._order[0] == self.me
        while now - self._turn_at >= gap:
            self._turn_at += gap
            self._advance_turn(living)
        return now >= since and self._due

    def _advance_turn(self, living: frozenset[int] | None) -> None:
        """Pass the turn to the next live member; we count as alive."""
        for _ in self._order:
            self._turn_index = (self._turn_index + 1) % len(self._order)
            member = self._order[self._turn_index]
            if member == self.me:
                self._due = True
                return
            if living is None or member in living:
                return

    def on_query(self, now: int) -> None:
        """A query is being sent."""
        self.counts["turns"] += self._due
        self._due = False

    def on_answer(self) -> None:
        """The service answered: we continue as the reader, may update the others, and want the lease."""
        self.counts["answered"] += not self.is_reader
        self.is_reader = True

    def on_failure(self) -> None:
        """The service did not answer, or our connection to it ended."""
        self.counts["lost"] += 1
        self.is_reader = False
