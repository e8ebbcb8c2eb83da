"""Divides a fleet-wide budget between members so that the sum of their shares never exceeds it.  No I/O.

Each member owns a reserved share, 1/N of half of the budget, which is never lent: it is what members have if
the fleet can't agree on a lender.  The other half is a pool that one lender divides: the holder of the lease
of the budget's name.  A loan expires by itself, counted by the borrower from when it asked, and never
outlives the lender's lease; so a new lender starts with a full pool, whatever the last one lent.  The loans
of dead members return to the pool as they stop asking.  What a member may use rises when a loan arrives, and
falls at once when one expires.

The reserved share of a dead member is never lent: the member may be alive behind a partition, or start again,
and use it.
"""

from __future__ import annotations

from dataclasses import dataclass

from swiftwell.fleet.lease import MAX_CLOCK_DRIFT
from swiftwell.fleet.messages import Loan, ShareRequest

TOTAL_PPM = 1_000_000  # the whole budget, in the unit of loans and shares
RESERVED_PPM = TOTAL_PPM // 2  # of the budget, owned by all members together: serves a fleet that can't agree
MAX_LOAN_TERMS = 0.5  # fraction of the lease's term: the longest loan; a new lender need not wait longer
RENEW_LOAN_FRACTION = 0.35  # of a loan: how long before its end the next one is requested
MAX_BORROWERS = 65_536  # members that a lender keeps account of: the limit of a roster


@dataclass(slots=True)
class _Outstanding:
    """The loans that may be in use at one borrower."""

    max_ppm: int  # the largest of all loans that may still be in use
    expires_at: int
    last_number: int  # number of the last loan
    last_ppm: int  # size of the last loan


class Lender:
    """Divides the pool while its lease is held.  A new one is made for each lease acquired."""

    def __init__(self, budget: str, term_us: int) -> None:
        self.budget, self.term_us = budget, term_us
        self.outstanding: dict[int, _Outstanding] = {}
        self.counts = dict.fromkeys(("lent", "nothing"), 0)

    def handle(self, now: int, sender: int, message: ShareRequest, lease_expires_at: int) -> Loan | None:
        """A loan for a member's request, or None while nothing is left or the lease ends too soon."""
        self._expire(now)
        # On our clock at its slowest, the loan must end before our lease does; the borrower's clock may be
        # off by MAX_CLOCK_DRIFT as well.
        duration_us = min(
            int(MAX_LOAN_TERMS * self.term_us),
            int((lease_expires_at - now) * (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)),
        )
        if message.budget != self.budget or duration_us <= 0 or len(self.outstanding) >= MAX_BORROWERS:
            return None
        borrower = self.outstanding.get(sender)
        if borrower and message.current_loan == borrower.last_number:  # older loans are no longer in use
            borrower.max_ppm = borrower.last_ppm
        others_ppm = sum(other.max_ppm for member, other in self.outstanding.items() if member != sender)
        borrowers = len(self.outstanding) + (borrower is None)
        fair_ppm = (TOTAL_PPM - RESERVED_PPM) // borrowers
        ppm = max(0, min(fair_ppm, TOTAL_PPM - RESERVED_PPM - others_ppm))
        if not ppm:
            self.counts["nothing"] += 1
            if borrower is None:  # it counts as a borrower from now on: the next loans of others are smaller
                self.outstanding[sender] = _Outstanding(0, now + duration_us, message.number, 0)
            return None
        self.counts["lent"] += 1
        # It may use the old loan until that expires, or this one, whichever arrives.
        max_ppm = max(ppm, borrower.max_ppm if borrower else 0)
        # The borrower counts on its own clock, from before its request: on ours, the loan ends by this time.
        expires_at = now + int(duration_us * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT))
        self.outstanding[sender] = _Outstanding(
            max_ppm, max(expires_at, borrower.expires_at if borrower else 0), message.number, ppm
        )
        return Loan(self.budget, message.number, ppm, duration_us)

    def _expire(self, now: int) -> None:
        for member in [member for member, loan in self.outstanding.items() if now >= loan.expires_at]:
            del self.outstanding[member]


class Share:
    """What one member may use of a budget."""

    def __init__(self, budget: str, members: int) -> None:
        self.budget, self.reserved_ppm = budget, RESERVED_PPM // members
        self._loan_ppm = self._loan_expires_at = 0
        self._current_loan = 0  # number of the loan in use
        self._number = 0  # of the last request
        self._requested_at = 0
        self._next_at = 0  # when the next request is due

    def ppm(self, now: int) -> int:
        """The share in use, in ppm of the whole budget."""
        return self.reserved_ppm + (self._loan_ppm if now < self._loan_expires_at else 0)

    def loan_expires_at(self, now: int) -> int:
        """When the loan in use expires; 0 if there is none."""
        return self._loan_expires_at if now < self._loan_expires_at else 0

    def tick(self, now: int, term_us: int) -> ShareRequest | None:
        """A request for the next loan, when it is due."""
        if now < self._next_at:
            return None
        self._number += 1
        self._requested_at = now
        # Early enough that the loss of one datagram does not interrupt the loan.
        self._next_at = now + max(1, int(RENEW_LOAN_FRACTION * MAX_LOAN_TERMS * term_us / 2))
        return ShareRequest(
            self.budget, self._number, self._current_loan if now < self._loan_expires_at else 0
        )

    def handle(self, now: int, message: Loan) -> None:
        """Take a loan for the last request; the start of one for an earlier request is no longer known."""
        if message.budget != self.budget or message.number != self._number or message.ppm < 0:
            return
        expires_at = self._requested_at + message.duration_us
        if now >= expires_at:
            return
        self._loan_ppm, self._loan_expires_at, self._current_loan = (
            min(message.ppm, TOTAL_PPM - RESERVED_PPM),
            expires_at,
            message.number,
        )
        self._next_at = expires_at - int(RENEW_LOAN_FRACTION * message.duration_us)
