"""The clock of a process: monotonic microseconds, and wall-clock time anchored to them at the start.

Wall time is read once.  A step of the machine's wall clock during the run has no effect here; the next
process reads its own anchor.
"""

from __future__ import annotations

import time


class Clock:
    """Monotonic time and anchored wall-clock time."""

    def __init__(self) -> None:
        self.anchor_us = time.time_ns() // 1_000 - time.monotonic_ns() // 1_000

    @staticmethod
    def now_us() -> int:
        """Monotonic microseconds."""
        return time.monotonic_ns() // 1_000

    def wall_us(self) -> int:
        """Anchored wall-clock microseconds since 1970."""
        return self.anchor_us + self.now_us()

    def wall_ms(self) -> float:
        """Anchored wall-clock milliseconds since 1970."""
        return self.wall_us() / 1_000

    def started_us(self, wall_ms: float) -> int:
        """Convert a worker's start from the list's wall clock to monotonic us; 0 if unknown.

        The same wall time always gives the same result.  A start in the future (the list's clock is ahead) is
        not corrected, as a start time also identifies the process.
        """
        if wall_ms <= 0:
            return 0
        # Negative if it was before this machine's boot: a reboot of the gateway's machine must not make the
        # start of every worker unknown.
        return int(wall_ms * 1_000) - self.anchor_us or -1

    def wall_ms_of(self, started_us: int) -> float:
        """Convert a worker's start from monotonic us to wall-clock ms; 0 if unknown."""
        return (started_us + self.anchor_us) / 1_000 if started_us else 0.0
