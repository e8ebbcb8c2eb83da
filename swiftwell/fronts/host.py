"""What a front needs of the gateway that hosts it, and the pace at which a client comes back to a server."""

from __future__ import annotations

import random
from typing import Protocol

from swiftwell.fronts.trigger import Answer, Trigger
from swiftwell.interface import Effect

FIRST_WAIT_S, MOST_WAIT_S = 0.1, 10.0  # s before coming back: at first, and at most
SETTLED_S = 5.0  # s that a connection must have lived to count as good: one that dies sooner is no success


class Host(Protocol):
    """The gateway as a front sees it."""

    def submit(self, trigger: Trigger) -> None:
        """Take a trigger; `Front.replied` follows exactly once, `Front.accepted` may come before it."""

    def gone(self, source: str) -> None:
        """Nobody can be answered at this source any more."""

    def wake(self) -> None:
        """A turn is wanted: what a front has gathered goes out at its end."""

    def wall_ms(self) -> float:
        """Wall-clock time, anchored at the start."""

    def effect(self, request_class: str) -> Effect | None:
        """What a repeat of a class does; None for an unknown class."""

    def load(self) -> tuple[int, int]:
        """Calls of all fronts that are at a worker, and that wait."""

    def log(self, level: str, event: str, **fields: object) -> None:
        """A line for the log."""


class Front(Protocol):
    """A front as the gateway sees it."""

    def accepted(self, trigger: Trigger) -> None:
        """A trigger is taken; for a class with effects its intent is on disk."""

    def replied(self, trigger: Trigger, answer: Answer) -> None:
        """The final answer."""


class Backoff:
    """Waits between attempts to connect: doubled, with full jitter, so that gateways don't come back in step.

    >>> Backoff(random.Random(1)).wait_s() <= FIRST_WAIT_S
    True
    """

    def __init__(self, chance: random.Random) -> None:
        self._chance, self._failures = chance, 0

    def wait_s(self) -> float:
        """How long to wait now; counts one more failure."""
        most = min(MOST_WAIT_S, FIRST_WAIT_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        return self._chance.uniform(most / 4, most)

    def ended(self, lived_s: float) -> None:
        """A connection has ended after so long."""
        if lived_s >= SETTLED_S:
            self._failures = 0
