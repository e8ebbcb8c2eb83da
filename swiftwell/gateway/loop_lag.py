"""How long the event loop may not have polled its sockets.  No I/O, no clock: times are monotonic seconds."""

from __future__ import annotations

TICK_S = 0.05  # between ticks: cheap, and within the slack that the operators allow for final answers
SCHEDULING_DELAY_S = 0.005  # by which a tick may come late though the loop is not busy


class LoopLag:
    """Measures by how much timers come late; `tick` is called every `TICK_S`, or as soon as the loop can."""

    def __init__(self, now_s: float) -> None:
        self._last_tick_s = now_s
        self._last_delay_s = 0.0
        self._max_delay_s = 0.0

    def tick(self, now_s: float) -> None:
        """The timer of the ticks has fired."""
        self._last_delay_s = max(0.0, now_s - self._last_tick_s - TICK_S)
        self._max_delay_s = max(self._max_delay_s, self._last_delay_s)
        self._last_tick_s = now_s

    def max_poll_age_s(self, now_s: float) -> float:
        """Upper bound of the time since the poll before the current one.

        0 while ticks come on time: what the current poll found then arrived within `TICK_S`.
        """
        delay_s = max(self._last_delay_s, now_s - self._last_tick_s - TICK_S)
        return delay_s + TICK_S if delay_s > SCHEDULING_DELAY_S else 0.0

    def take_max_delay_s(self) -> float:
        """The longest delay of a tick since the last call."""
        max_delay_s, self._max_delay_s = self._max_delay_s, 0.0
        return max_delay_s
