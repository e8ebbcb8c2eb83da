"""The one clock of a process: steady microseconds, and wall time anchored to them at the start.

Wall time is read once.  A step of the machine's wall clock while the process runs changes nothing here; the
anchor of
the next process is its own.
"""

from __future__ import annotations

import time


class Clock:
    """Steady and anchored wall time."""

    def __init__(self) -> None:
        self.anchor_us = time.time_ns() // 1_000 - time.monotonic_ns() // 1_000

    @staticmethod
    def now_us() -> int:
        """Monotonic microseconds."""
        return time.monotonic_ns() // 1_000

    def wall_us(self) -> int:
        """Wall-clock microseconds since 1970, anchored."""
        return self.anchor_us + self.now_us()

    def wall_ms(self) -> float:
        """The same in milliseconds."""
        return self.wall_us() / 1_000

    def started_us(self, wall_ms: float) -> int:
        """A worker's start by the list's wall clock, as monotonic time; 0 where it is untold or before the
        machine started.

        The same wall time gives the same answer at every look; a start in the future (the
        list's clock is ahead) stands as it is told, as it names the process as well.
        """
        if wall_ms <= 0:
            return 0
        # Negative where it was before this machine's clock began: a restart of the gateway's machine must
        # not make every worker's start unknown.
        return int(wall_ms * 1_000) - self.anchor_us or -1

    def wall_of(self, started_us: int) -> float:
        """A worker's start in monotonic us as wall-clock ms; 0 where it is untold."""
        return (started_us + self.anchor_us) / 1_000 if started_us else 0.0
