"""Actions under a lease.  No I/O.

An action begins only if the time left of the lease covers the action's own time bound.  What this guarantees:

* The resource checks tokens: it refuses an action with a token below the highest that it has seen.  Then no
  action of an earlier holder takes effect after one of a later holder, whichever process was paused, late or
  had a wrong clock.  An earlier holder may still act before the later one's first action reaches the
  resource.
* The resource checks nothing: the actions of two holders do not overlap as long as clocks keep to
  lease.MAX_CLOCK_DRIFT, actions keep to their bound, and the process is not paused between `begin` and the
  last effect of the action.  A process that is paused there and resumed later acts late, and nothing here can
  prevent it: `ended` reports afterwards that it happened, and counts it.
* A clock exceeds MAX_CLOCK_DRIFT: the first guarantee holds, the second does not.
"""

from __future__ import annotations

from dataclasses import dataclass

from swiftwell.fleet.lease import Candidate


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission for one action: carries the token; the action has to end by `deadline` on our own clock."""

    token: int
    deadline: int


class Guard:
    """Permits actions under one lease."""

    def __init__(self, candidate: Candidate) -> None:
        self._candidate = candidate
        self._outdated_token = 0  # the highest token that a resource refused
        self.counts = dict.fromkeys(("begun", "refused", "overran", "outdated"), 0)

    def begin(self, now: int, bound_us: int) -> Permit | None:
        """A permit for an action that takes at most `bound_us`, or None."""
        lease = self._candidate
        if not lease.holds(now) or now + bound_us > lease.expires_at or lease.token <= self._outdated_token:
            self.counts["refused"] += 1
            return None
        self.counts["begun"] += 1
        return Permit(lease.token, now + bound_us)

    def ended(self, now: int, permit: Permit) -> bool:
        """Whether the action kept to its bound; if not, another holder may have acted meanwhile."""
        in_time = now <= permit.deadline
        self.counts["overran"] += not in_time
        return in_time

    def outdated(self, now: int, permit: Permit, seen: int) -> None:
        """A resource refused the token, as it has seen a newer one.

        The lease is not ours then, whatever our clock says.  It is requested again, with a token above
        `seen`.  This is how a wrong clock is detected.
        """
        self.counts["outdated"] += 1
        self._outdated_token = max(self._outdated_token, permit.token)
        if self._candidate.token == permit.token:
            self._candidate.invalidate(now, seen)
