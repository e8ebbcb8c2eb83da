"""How many unanswered triggers this gateway holds of a queue.  A decision, no I/O.

What is held beyond what runs waits here instead of at the broker, where any gateway could take it: it is
stranded if this gateway dies, and it waits behind our own line though another gateway may have room.  What is
held too little of leaves workers idle for the time that a delivery takes.  So: hold what runs, and a line of
the triggers that end within `LINE_S`, and find out how much can run by letting the limit grow while nothing
waits.  A limit that is not used falls back, so that the next burst is spread over all gateways.
"""

from __future__ import annotations

TICK_US = 50_000  # us between two looks
FIRST = 16  # triggers held at the start, and what an idle gateway holds itself ready for
LINE_S = 0.5  # s: a line of what ends in this time is worth holding; docs/performance.md has 0.1 and 1.0
LINE_LEAST = 4  # triggers of a line that is held in any case
GROW = 1.5  # times the limit in a look at which it is used up and nothing waits
CAREFUL = 0.8  # of the limit at which a line last came up: beyond it, growth is by steps
STEP = 0.05  # of the limit, in a careful look
IDLE_US = 1_000_000  # us of a limit that is not used, after which it falls back
RATE = 0.1  # weight of a look in the usual pace


class Prefetch:
    """The limit for one link.

    `least`, `most`: bounds from the settings; equal ones make it fixed.

    >>> Prefetch(10, 10).look(0, 10, 10, 0, 5)
    10
    """

    def __init__(self, least: int = 1, most: int = 65_535) -> None:
        self._least, self._most = least, most
        self.limit = self._bounded(FIRST)
        self._turned = 0.0  # the limit at which a line last came up; 0 is never
        self._pace = 0.0  # triggers that end in a look
        self._used_us = 0
        self._peak = 0  # of what was held since the limit was last used up

    def _bounded(self, value: float) -> int:
        return int(max(self._least, min(self._most, value)))

    @property
    def line(self) -> float:
        """Triggers that may wait."""
        return max(LINE_LEAST, self._pace * LINE_S * 1e6 / TICK_US)

    def look(self, now_us: int, held: int, running: int, waiting: int, ended: int) -> int:
        """The limit from now on.

        `held`: triggers without an answer, of which `running` are at a worker and `waiting` are not;
        `ended`: answers since the last look.
        """
        self._pace += RATE * (ended - self._pace)
        line = self.line
        if waiting > line and running:
            # What runs is what can run: beyond it and the line, triggers would only wait here.
            self._turned = running + line
            self.limit = self._bounded(max(FIRST, running + line))
            self._used_us, self._peak = now_us, held
        elif held >= self.limit * 0.9:
            step = GROW if not self._turned or self.limit < CAREFUL * self._turned else 1 + STEP
            self.limit = self._bounded(max(self.limit + 1, self.limit * step))
            self._used_us, self._peak = now_us, held
        else:
            self._peak = max(self._peak, held)
            if now_us - self._used_us > IDLE_US:
                self.limit = self._bounded(max(FIRST, min(self.limit, self._peak + line)))
                self._used_us, self._peak, self._turned = now_us, held, 0.0
        return self.limit
