"""Who of a zone's routers asks the list service, and when.  Decisions, no I/O.

One reads for all, and holds the board's lease as soon as voters grant it.  Before anyone reads, and when the
reader falls silent, all have turns, in an order that each knows from the configured group, so that together
they ask at a stated rate without talking.  A turn goes from one that lives to the next that does: with turns
for all, a zone whose other members never came had no list, hence no service, for as long as all of theirs
took.  It moves on from where it stands as views change, and never back, so those that die late make no burst.
Who takes the living for dead is early by their turns; so all of them count for SETTLE_PERIODS of our own
running, while one meets the others, and wherever the fault may well be ours.  A turn is one question; whoever
gets an answer goes on as the reader until it loses the service, or hears of another reader and has no lease.
Two may read for a while, as on both sides of a cut; the lease says who goes on.

A router that hears nobody of its group is alone, and asks as it would without a fleet: being cut off must not
cost it the list.  So what the service sees is bounded by the rate while routers hear each other, and by what
it sees today where they don't.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

LEARN_US = 300_000  # us from our start in which peers may tell us: three rounds of a board's questions
SILENT_PERIODS = 4.0  # periods without a beat until the reader counts as silent: three may be lost
SETTLE_PERIODS = 4  # periods of ours in which members meet: a ping each a period, and what is news on each
ALONE_US = 2_000_000  # us without a word of anyone of the group, after which we take it that we are alone
RUNNING_US = 100_000  # us that two looks count for at most: one without a processor has met nobody meanwhile
AWAY_US = 1_000_000  # us between two looks after which we take it that we stood still: twenty looks


class Ask(Enum):
    """What a router may do at the list service now."""

    NOT = "not"  # another reads for it
    ONCE = "once"  # its turn: one question
    ON = "on"  # it reads: it may wait at the service for changes
    ALONE = "alone"  # as without a fleet


def places(group: Iterable[int], salt: object) -> list[int]:
    """The group in an order that all of them share, another one for each salt."""

    def weight(member: int) -> bytes:
        return hashlib.blake2b(f"{salt}/{member}".encode(), digest_size=8).digest()

    return sorted(group, key=weight)


@dataclass(frozen=True, slots=True)
class Seen:
    """What the board shows."""

    edition: int  # 0: none
    others: bool  # the edition is another's
    beat_at: int | None  # when its writer last gave a sign of life
    coming_at: int  # when we last heard of another edition that is not here yet
    heard_at: int  # when anyone of the group last spoke to us, 0 for never
    living: frozenset[int] | None = None  # as far as we know; None where we can't tell: all


class Reading:
    """One router's part in reading a list.

    `rate`: questions a second that all of the group may ask together while none of them reads.
    """

    def __init__(
        self, me: int, group: tuple[int, ...], name: str, rate: float, period_us: int, now: int
    ) -> None:
        self.me, self.group, self.name, self.rate = me, group, name, rate
        self.silent_us, self._settle_us = int(SILENT_PERIODS * period_us), SETTLE_PERIODS * period_us
        self.began = now
        self._looked, self._ran = now, 0  # when we looked last, and us of looking in all
        self.reader = False  # our last question was answered, and nobody else has the reading
        self._round: tuple[int, int] = (-1, 0)  # edition, and when its silence began
        self._order: list[int] = []  # in which the group has turns in this round
        self._turn_of, self._turn_at = 0, 0.0  # whose it is, as a place in that order, and since when
        self._due = False  # our turn has come and we have not asked in it
        self.counts = dict.fromkeys(("turns", "answered", "lost", "gave-way"), 0)

    def look(self, now: int, holds: bool, seen: Seen) -> Ask:
        """What we may do; `holds`: the board's lease is ours."""
        if len(self.group) == 1:
            return Ask.ALONE
        if now - self._looked > AWAY_US:  # we stood still, and not the reader: others may tell us first
            self.began = now
        self._ran += min(now - self._looked, RUNNING_US)
        self._looked = now
        told = seen.beat_at if seen.others else None
        fresh = now - max(seen.coming_at, told if told is not None else -1 << 62) < self.silent_us
        if self.reader and fresh and not holds:
            self.reader = False
            self.counts["gave-way"] += 1
        if self.reader:
            return Ask.ON
        if fresh:
            return Ask.NOT
        if now - max(seen.heard_at, self.began) >= ALONE_US:
            return Ask.ALONE
        silent = 0 if seen.beat_at is None else seen.beat_at + self.silent_us
        since = max(self.began + LEARN_US, silent)
        known = seen.living if self._ran >= self._settle_us else None
        return Ask.ONCE if self._turn(now, seen.edition, since, known) else Ask.NOT

    def _turn(self, now: int, edition: int, since: int, living: frozenset[int] | None) -> bool:
        """Whether our next turn of this silence has come."""
        gap = 1e6 / self.rate
        if self._round != (edition, since):
            self._round, self._order = (edition, since), places(self.group, f"{self.name}/{edition}")
            self._turn_of, self._turn_at = 0, float(since)
            self._due = self._order[0] == self.me
        while now - self._turn_at >= gap:
            self._turn_at += gap
            self._pass_on(living)
        return now >= since and self._due

    def _pass_on(self, living: frozenset[int] | None) -> None:
        """The turn goes to the next one that lives; we do."""
        for _ in self._order:
            self._turn_of = (self._turn_of + 1) % len(self._order)
            whose = self._order[self._turn_of]
            if whose == self.me:
                self._due = True
                return
            if living is None or whose in living:
                return

    def asked(self, now: int) -> None:
        """A question goes out."""
        self.counts["turns"] += self._due
        self._due = False

    def answered(self) -> None:
        """The service answered: we read on, may tell the others, and want the lease."""
        self.counts["answered"] += not self.reader
        self.reader = True

    def lost(self) -> None:
        """The service did not answer, or our connection to it ended."""
        self.counts["lost"] += 1
        self.reader = False
