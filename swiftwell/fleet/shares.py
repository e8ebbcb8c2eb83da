"""A budget of the whole fleet, divided so that the sum never exceeds it.  No I/O.

Each member owns a standing part that is never lent: 1/N of half of the budget, for a fleet that agrees on
nothing.  The other half is a pool that one lender divides, whoever holds the lease of the budget's name.  A
loan runs out by itself, counted by the borrower from when it asked, and never outlives the lender's lease; so
a new lender begins with a pool of which nothing is out, whatever the last one lent.  Parts of the dead return
as they stop asking.  What a member may use rises when a loan arrives, and falls at once when one runs out.

Why no part of a dead member's own is ever lent: it may be alive and cut off, or start again and use it.
"""

from __future__ import annotations

from dataclasses import dataclass

from swiftwell.fleet.lease import RATE
from swiftwell.fleet.words import Loan, Want

MILLION = 1_000_000  # a whole, in the parts that loans are told in
STANDING = MILLION // 2  # of the budget: what members own; half of it serves a fleet that can't agree
LOAN_PART = 0.5  # of the lease's term: the longest loan, so that an heir of the lender need not wait for more
ASK_PART = 0.35  # of a loan: how long before its end the next one is asked for
MOST_BORROWERS = 65_536  # members that a lender keeps account of: the roster's bound


@dataclass(slots=True)
class _Out:
    """What may be in use at one borrower."""

    parts: int  # the most of all loans that may be alive
    until: int
    number: int  # of the last loan
    last: int  # parts of the last loan


class Lender:
    """Divides the pool while its lease holds.  Made anew with each lease won."""

    def __init__(self, budget: str, term_us: int) -> None:
        self.budget, self.term_us = budget, term_us
        self.out: dict[int, _Out] = {}
        self.counts = dict.fromkeys(("lent", "nothing"), 0)

    def take(self, now: int, sender: int, word: Want, lease_until: int) -> Loan | None:
        """A member's wish: a loan, or none while nothing is left or the lease ends too soon."""
        self._expire(now)
        # On our clock, at its slowest, the loan must be over before our lease is: the borrower's may be fast
        # or slow by RATE as well.
        span = min(int(LOAN_PART * self.term_us), int((lease_until - now) * (1 - RATE) / (1 + RATE)))
        if word.budget != self.budget or span <= 0 or len(self.out) >= MOST_BORROWERS:
            return None
        mine = self.out.get(sender)
        if mine and word.held == mine.number:  # it uses the last one: those before are gone
            mine.parts = mine.last
        others = sum(one.parts for who, one in self.out.items() if who != sender)
        asking = len(self.out) + (mine is None)
        fair = (MILLION - STANDING) // asking
        parts = max(0, min(fair, MILLION - STANDING - others))
        if not parts:
            self.counts["nothing"] += 1
            if mine is None:  # it counts as asking from now on, so that others' next loans are smaller
                self.out[sender] = _Out(0, now + span, word.number, 0)
            return None
        self.counts["lent"] += 1
        # It may use the old loan until that runs out, or this one, whichever arrives.
        most = max(parts, mine.parts if mine else 0)
        # The borrower counts from before it asked, on its own clock: at our own, at most this.
        until = now + int(span * (1 + RATE) / (1 - RATE))
        self.out[sender] = _Out(most, max(until, mine.until if mine else 0), word.number, parts)
        return Loan(self.budget, word.number, parts, span)

    def _expire(self, now: int) -> None:
        for who in [who for who, one in self.out.items() if now >= one.until]:
            del self.out[who]


class Share:
    """What one member may use of a budget."""

    def __init__(self, budget: str, members: int) -> None:
        self.budget, self.own = budget, STANDING // members
        self._parts = self._until = 0
        self._held = 0  # number of the loan in use
        self._number = 0
        self._asked_at = 0
        self._next_at = 0

    def parts(self, now: int) -> int:
        """Parts of a million of the whole budget."""
        return self.own + (self._parts if now < self._until else 0)

    def ends(self, now: int) -> int:
        """When the loan in use runs out; 0 where there is none."""
        return self._until if now < self._until else 0

    def tick(self, now: int, term_us: int) -> Want | None:
        """A wish for the next loan, when it is time."""
        if now < self._next_at:
            return None
        self._number += 1
        self._asked_at = now
        # Often enough that a lost datagram costs no loan.
        self._next_at = now + max(1, int(ASK_PART * LOAN_PART * term_us / 2))
        return Want(self.budget, self._number, self._held if now < self._until else 0)

    def take(self, now: int, word: Loan) -> None:
        """A loan, for the wish that was sent last; any other is too old to tell when it began."""
        if word.budget != self.budget or word.number != self._number or word.parts < 0:
            return
        until = self._asked_at + word.for_us
        if now >= until:
            return
        self._parts, self._until, self._held = min(word.parts, MILLION - STANDING), until, word.number
        self._next_at = until - int(ASK_PART * word.for_us)
