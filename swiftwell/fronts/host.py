"""Interfaces between the fronts and the gateway, and the back-off of reconnecting clients."""

from __future__ import annotations

import random
from typing import Protocol

from swiftwell.fronts.trigger import Answer, Trigger
from swiftwell.interface import Effect

INITIAL_DELAY_S, MAX_DELAY_S = 0.1, 10.0  # before reconnecting
STABLE_AFTER_S = 5.0  # a connection that ends sooner counts as a failure


class Host(Protocol):
    """The gateway as a front sees it."""

    def submit(self, trigger: Trigger) -> None:
        """Take a trigger.  `Front.replied` is called exactly once, `Front.accepted` possibly before it."""

    def gone(self, source: str) -> None:
        """The source has disconnected: its calls can no longer be answered."""

    def wake(self) -> None:
        """Request an engine step, at whose end the fronts flush their output."""

    def wall_ms(self) -> float:
        """Wall-clock time, anchored at the start of the process."""

    def effect(self, request_class: str) -> Effect | None:
        """The effect of repeating a call of a class; None for an unknown class."""

    def load(self) -> tuple[int, int]:
        """Numbers of calls, of all fronts, that are at a worker and that wait."""

    def record_failure(self, stage: str, error: Exception) -> None:
        """An unexpected error concerned one request, answer or connection only; it is logged and counted."""

    def log(self, level: str, event: str, **fields: object) -> None:
        """Write a log line."""


class Front(Protocol):
    """A front, as the gateway sees it."""

    def accepted(self, trigger: Trigger) -> None:
        """A trigger has been accepted; for a class with effects its intent is on disk."""

    def replied(self, trigger: Trigger, answer: Answer) -> None:
        """Deliver the final answer."""


class Backoff:
    """Delays between attempts to connect: doubling, with jitter, so that gateways don't reconnect in step.

    >>> Backoff(random.Random(1)).next_delay_s() <= INITIAL_DELAY_S
    True
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng, self._failures = rng, 0

    def next_delay_s(self) -> float:
        """The delay before the next attempt; counts one more failure."""
        limit_s = min(MAX_DELAY_S, INITIAL_DELAY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        return self._rng.uniform(limit_s / 4, limit_s)

    def connection_ended(self, lifetime_s: float) -> None:
        """A connection has ended; resets the delay if it was stable."""
        if lifetime_s >= STABLE_AFTER_S:
            self._failures = 0
