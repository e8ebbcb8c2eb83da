"""Virtual clock, random streams and event log.  The same seed gives the same day, event for event.

Time is in whole microseconds.  Callbacks due at the same time run in the order in which they were scheduled,
so that results don't depend on how a heap breaks ties.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any

import numpy as np
import xxhash

START_US = 1_000_000_000  # monotonic time at which a day begins; not 0, which engines read as "never"
WALL_US = 1_800_000_000_000_000  # wall-clock time at monotonic time 0
CHUNK = 1_024  # random numbers drawn per batch

Event = dict[str, Any]


class Stream:
    """A component's own random stream, determined by the seed and the stream's name.

    Draws from one stream don't affect another, so that two designs are compared on the same day.
    """

    def __init__(self, seed: int, name: str) -> None:
        key = xxhash.xxh3_64_intdigest(name.encode())
        self._generator = np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, key])))
        self._uniform: list[float] = []
        self._normal: list[float] = []

    def uniform(self, low: float = 0.0, high: float = 1.0) -> float:
        """Draws from a uniform distribution between `low` and `high`."""
        if not self._uniform:
            self._uniform = self._generator.random(CHUNK).tolist()
        return low + (high - low) * self._uniform.pop()

    def exponential(self, mean: float) -> float:
        """Draws from an exponential distribution, e.g. a gap between random arrivals."""
        return -mean * math.log(1.0 - self.uniform())

    def lognormal(self, median: float, sigma: float) -> float:
        """Draws from a lognormal distribution; `sigma` is the standard deviation of the logarithm."""
        if not self._normal:
            self._normal = self._generator.standard_normal(CHUNK).tolist()
        return median * math.exp(sigma * self._normal.pop())

    def below(self, count: int) -> int:
        """Draws an integer from 0 to `count` - 1."""
        return int(self.uniform() * count)

    def sample(self, count: int, of: int) -> list[int]:
        """Draws `count` distinct integers from 0 to `of` - 1."""
        return [int(value) for value in self._generator.permutation(of)[:count]]


class World:
    """The clock, the scheduled callbacks and the event log of a day."""

    def __init__(self, seed: int) -> None:
        self.seed, self.now = seed, START_US
        self.events: list[Event] = []
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._scheduled_count = 0
        self._streams: dict[str, Stream] = {}
        self.callbacks_run = 0
        self.stopped = False  # set by a callback to end the run

    def stream(self, name: str) -> Stream:
        """Returns the random stream of a component, created at its first use."""
        if name not in self._streams:
            self._streams[name] = Stream(self.seed, name)
        return self._streams[name]

    def wall(self) -> int:
        """Returns the wall-clock time in microseconds."""
        return WALL_US + self.now

    def at(self, due: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedules a callback at a time; a time in the past means now."""
        self._scheduled_count += 1
        heapq.heappush(self._heap, (max(self.now, int(due)), self._scheduled_count, callback, args))

    def after(self, us: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedules a callback after a delay in microseconds."""
        self.at(self.now + us, callback, *args)

    def record(self, ev: str, who: str, **fields: Any) -> None:
        """Records an event in the format of the stand-ins."""
        self.events.append({"t": self.now, "who": who, "ev": ev, **fields})

    def run(self, end: int) -> None:
        """Runs callbacks until a time or until one sets `stopped`."""
        heap, self.stopped = self._heap, False
        while heap and heap[0][0] <= end and not self.stopped:
            self.now, _, callback, args = heapq.heappop(heap)
            self.callbacks_run += 1
            callback(*args)
        if not self.stopped:
            self.now = max(self.now, end)
