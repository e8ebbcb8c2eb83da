"""Refuses requests before they cost the gateway a call, while clients send more than it can process.

No I/O and no clock; times are monotonic seconds.  The evidence is how long received bytes wait until they are
processed, not how many there are (Nichols and Jacobson, "Controlling Queue Delay", 2012): a burst that is
worked off is no overload.  While they wait for too long, the number of calls that may be open falls by a
factor in each interval; afterwards it rises slowly.  Clients share it equally, so that one with few requests
is not refused for those of others.
"""

from __future__ import annotations

WAIT_SHARE = 0.1  # of the shortest target latency of a class, that bytes may wait until they are processed
INTERVAL_S = 0.1  # between adjustments; a shorter burst is no overload
DECREASE, INCREASE = 0.7, 1.05  # of the limit in an interval with and without overload
MAX_OPEN_CALLS = 4_000  # all of which can be ended in a quarter of a second, if their time ends together
LIFT_INTERVALS = 50  # without a refusal, after which the limit is lifted


class OverloadControl:
    """The limit of open calls, and each client's share of it.

    `max_wait_s`: how long bytes may wait until they are processed.
    """

    def __init__(self, max_wait_s: float) -> None:
        self.max_wait_s = max_wait_s
        self.limit: float | None = None  # of open calls of all clients together; None without overload
        self.refused = 0
        self._interval_end_s = 0.0
        self._longest_wait_s = 0.0  # in this interval
        self._caught_up = True  # nothing waited at some time in this interval
        self._refused_in_interval = False
        self._quiet_intervals = 0

    def note_wait(
        self, now_s: float, waited_s: float, others_wait: bool, open_calls: int, clients: int
    ) -> None:
        """Bytes that waited so long are processed now; `others_wait`: they are not the last ones."""
        if now_s >= self._interval_end_s:
            self._adjust(now_s, open_calls, clients)
        self._longest_wait_s = max(self._longest_wait_s, waited_s)
        self._caught_up |= not others_wait

    def _adjust(self, now_s: float, open_calls: int, clients: int) -> None:
        if self._longest_wait_s > self.max_wait_s and not self._caught_up:
            limit = open_calls if self.limit is None else self.limit
            self.limit = max(float(clients), limit * DECREASE)  # one call each is the least
            self._quiet_intervals = 0
        elif self.limit is not None:
            self._relax()
        self._interval_end_s = now_s + INTERVAL_S
        self._longest_wait_s, self._caught_up, self._refused_in_interval = 0.0, False, False

    def _relax(self) -> None:
        assert self.limit is not None
        self._quiet_intervals = 0 if self._refused_in_interval else self._quiet_intervals + 1
        self.limit = self.limit * INCREASE if self._quiet_intervals < LIFT_INTERVALS else None

    def admits(self, own_calls: int, open_calls: int, clients: int) -> bool:
        """Whether a client with so many of the open calls may have one more, among so many with work."""
        limit = self.limit
        if limit is None:
            if open_calls < MAX_OPEN_CALLS:
                return True
            limit = MAX_OPEN_CALLS
        if own_calls < max(1.0, limit / max(1, clients)):
            return True
        self.refused += 1
        self._refused_in_interval = True
        return False
