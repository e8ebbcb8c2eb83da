"""Decides how many unanswered triggers of a queue this gateway holds (the prefetch limit).  No I/O.

A trigger held beyond those that run waits here instead of at the broker, where any gateway could take it: it
is stuck if this gateway dies, and it waits in this gateway's backlog though another gateway may have room.
Holding too few leaves workers idle for the duration of a delivery.  The limit is therefore the number of
running triggers plus a backlog of those that complete within `BACKLOG_S`.  It grows while nothing waits, to
find out how many can run.  An unused limit falls back, so that the next burst is spread over all gateways.
"""

from __future__ import annotations

TICK_US = 50_000  # between two updates
INITIAL_LIMIT = 16  # triggers, at the start and when idle
BACKLOG_S = 0.5  # backlog to hold, as completion time; docs/performance.md compares 0.1 and 1.0
MIN_BACKLOG = 4  # triggers that may wait in any case
GROWTH_FACTOR = 1.5  # per update at which the limit is used up and no backlog has built up
CAUTIOUS_FRACTION = 0.8  # of the limit at which a backlog last built up; growth is slower above it
CAUTIOUS_STEP = 0.05  # relative growth of the limit per update, above CAUTIOUS_FRACTION
IDLE_US = 1_000_000  # an unused limit falls back after this time
COMPLETION_RATE_WEIGHT = 0.1  # weight of one update in the moving average


class Prefetch:
    """The prefetch limit of one link.

    `minimum` and `maximum` are the bounds of the settings; if they are equal, the limit is fixed.

    >>> Prefetch(10, 10).update(0, 10, 10, 0, 5)
    10
    """

    def __init__(self, minimum: int = 1, maximum: int = 65_535) -> None:
        self._min, self._max = minimum, maximum
        self.limit = self._bounded(INITIAL_LIMIT)
        self._limit_at_backlog = 0.0  # the limit at which a backlog last built up; 0: never
        self._completions_per_tick = 0.0  # moving average
        self._last_full_us = 0
        self._peak_held = 0  # most triggers held since the limit was last used up

    def _bounded(self, value: float) -> int:
        return int(max(self._min, min(self._max, value)))

    @property
    def allowed_backlog(self) -> float:
        """Number of triggers that may wait."""
        return max(MIN_BACKLOG, self._completions_per_tick * BACKLOG_S * 1e6 / TICK_US)

    def update(self, now_us: int, held: int, running: int, waiting: int, answered: int) -> int:
        """Update the limit and return it.

        `held` is the number of triggers without an answer, of which `running` are at a worker and `waiting`
        are not.  `answered` is the number of answers since the last update.
        """
        self._completions_per_tick += COMPLETION_RATE_WEIGHT * (answered - self._completions_per_tick)
        backlog = self.allowed_backlog
        if waiting > backlog and running:
            # The workers are saturated: triggers beyond those running and the backlog would only wait here.
            self._limit_at_backlog = running + backlog
            self.limit = self._bounded(max(INITIAL_LIMIT, running + backlog))
            self._last_full_us, self._peak_held = now_us, held
        elif held >= self.limit * 0.9:
            step = (
                GROWTH_FACTOR
                if not self._limit_at_backlog or self.limit < CAUTIOUS_FRACTION * self._limit_at_backlog
                else 1 + CAUTIOUS_STEP
            )
            self.limit = self._bounded(max(self.limit + 1, self.limit * step))
            self._last_full_us, self._peak_held = now_us, held
        else:
            self._peak_held = max(self._peak_held, held)
            if now_us - self._last_full_us > IDLE_US:
                self.limit = self._bounded(max(INITIAL_LIMIT, min(self.limit, self._peak_held + backlog)))
                self._last_full_us, self._peak_held, self._limit_at_backlog = now_us, held, 0.0
        return self.limit
