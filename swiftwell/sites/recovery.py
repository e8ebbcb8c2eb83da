"""The return of a site, in slices of its workers.  Decisions, no I/O.

One router conducts it, under the lease of the site's name; where it stands is on a board, so an heir goes
on from there, or holds still.  A slice is shown when the one before it has served as warm workers do for long
enough; at the first sign of falling over one slice is taken back.  A site that was lost again of late gets
more time for each.  A router goes one slice further at a time, and only on a fresh word of the conductor's:
nobody goes ahead on an old one, nobody jumps.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from msgspec import Struct

SLICES = (
    0.125,
    0.25,
    0.5,
    0.75,
    1.0,
)  # parts of a site's workers: at most doubled, so that a warm half bears it
SETTLE_US = 4_000_000  # us that a slice has to serve before the next: longer than the span of rule 4
SERVED = 0.95  # part of its calls that a slice has to serve
LIKE_WARM = 2.0  # times the usual answer at most
FALLING = 0.7  # part served, below which a slice is taken back
ENOUGH = 10  # calls that a slice must have had: a quiet slice tells nothing
FRESH_US = 3_000_000  # us for which the conductor's word counts
HOLD_US = 30_000_000  # us that a slice which had to be taken back waits before it is tried again


class Order(Enum):
    """What an operator said."""

    NONE = "none"
    HOLD = "hold"  # no further slice
    HURRY = "hurry"  # half of the time for each
    OFF = "off"  # nothing of it is shown


class Word(Struct, frozen=True, array_like=True):
    """Where a return stands, as the conductor puts it up."""

    slice: int  # how many of SLICES are shown; 0 none
    since_ms: int  # wall: for people only
    token: int  # of the conductor's lease
    order: str = "none"
    flaps: int = 0
    done: bool = False  # the last slice has served its time


@dataclass(frozen=True, slots=True)
class Seen:
    """How the slices shown so far did since the last look, over all that the conductor hears of."""

    calls: int = 0
    served: int = 0
    times_usual: float = 1.0  # mean answer against warm workers elsewhere
    fell: int = 0  # workers of it that were pushed over


class Conductor:
    """Moves one site's return on while it holds the lease.  Made anew with each lease won."""

    def __init__(self, now: int, word: Word | None, token: int, flaps: int = 0) -> None:
        """`word`: what the last conductor put up, None where the return begins."""
        self.slice = word.slice if word else 0
        self.flaps = max(flaps, word.flaps if word else 0)
        self.order = Order(word.order) if word else Order.NONE
        self.token = token
        self.since = now  # an heir gives the slice its whole time again
        self._calls = self._served = 0
        self._late = 0.0
        self._not_before = 0
        self._done = False
        self.waits = ""  # why the last judgement let nothing follow

    def settle_us(self) -> int:
        """How long a slice has to serve."""
        span = SETTLE_US << min(self.flaps, 5)
        return span // 2 if self.order is Order.HURRY else span

    def told(self, order: Order) -> None:
        """An operator's word."""
        self.order = order

    def look(self, now: int, seen: Seen) -> str:
        """One step; returns why the slice changed, empty where it did not."""
        self._calls += seen.calls
        self._served += seen.served
        self._late += seen.times_usual * seen.calls
        if self.order is Order.OFF:
            return self._to(now, 0, "called off") if self.slice else ""
        if self.slice and (seen.fell or self._falling()):
            self._not_before = now + (HOLD_US << min(self.flaps, 3))
            self.flaps += 1
            return self._to(now, self.slice - 1, f"{self._served} of {self._calls} served, {seen.fell} fell")
        if self.slice and now - self.since < self.settle_us():
            return ""
        fine, said = self._like_warm(), f"{self._served} of {self._calls} served"
        if self.slice == len(SLICES):
            self._done = fine
        elif self.order is not Order.HOLD and now >= self._not_before and (fine or not self.slice):
            return self._to(now, self.slice + 1, said if self.slice else "begins")
        if self.slice and self._calls >= ENOUGH and not self._done:
            # Not as warm workers yet, as while it warms up: judged anew by what comes from here on.
            self.waits = f"slice {self.slice} waits: {said}, {self._late / self._calls:.1f} times the usual"
            self.since, self._calls, self._served, self._late = now, 0, 0, 0.0
        return ""

    def _falling(self) -> bool:
        return self._calls >= ENOUGH and self._served < FALLING * self._calls

    def _like_warm(self) -> bool:
        return (
            self._calls >= ENOUGH
            and self._served >= SERVED * self._calls
            and self._late <= LIKE_WARM * self._calls
        )

    def _to(self, now: int, slice_: int, why: str) -> str:
        self.slice, self.since, self._done = slice_, now, False
        self._calls = self._served = 0
        self._late = 0.0
        return f"slice {slice_}: {why}"

    @property
    def done(self) -> bool:
        """Whether the last slice has served its time: the site is up."""
        return self._done

    def word(self, wall_ms: int) -> Word:
        """What is put up."""
        return Word(self.slice, wall_ms, self.token, self.order.value, self.flaps, self._done)


class Follower:
    """What one router shows of a returning site."""

    def __init__(self, after: int = 0) -> None:
        """`after`: the token of an earlier return; words up to it are not of this one."""
        self.shown = 0
        self.after = self.token = after

    def look(self, word: Word | None, silent_us: int | None) -> int:
        """How many slices to show; `silent_us`: since the board's last sign of life.

        A word that is old lets nobody go on: what is shown stays.  It never grows by more than one at a time,
        and a conductor with an older token than one heard of is not followed.
        """
        if word is None or silent_us is None or silent_us > FRESH_US:
            return self.shown
        if word.token < self.token or word.token <= self.after:
            return self.shown
        self.token = word.token
        self.shown = min(word.slice, self.shown + 1, len(SLICES))
        return self.shown


def shown(workers: list[str], slices: int) -> list[str]:
    """The workers of a site that so many slices show: the same ones at every router, more with each slice."""
    if slices <= 0 or not workers:
        return []
    part = SLICES[min(slices, len(SLICES)) - 1]
    return sorted(workers)[: math.ceil(part * len(workers))]
