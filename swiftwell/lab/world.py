"""Virtual time, streams of chance, and what is written down.  One seed gives one day, event for event.

Time is whole microseconds from the start.  What happens at one time happens in the order in which it was
asked for, so that nothing depends on how a heap breaks ties.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any

import numpy as np
import xxhash

START_US = 1_000_000_000  # us: steady time at which a day begins; engines take 0 for "never"
WALL_US = 1_800_000_000_000_000  # us: wall time at steady time 0
CHUNK = 1_024  # draws made at a time

Event = dict[str, Any]


class Stream:
    """One part's own chance: its draws depend on the seed and its name, and on no other part's draws.

    So two designs meet the same day: what one of them draws more of moves nobody else's.
    """

    def __init__(self, seed: int, name: str) -> None:
        key = xxhash.xxh3_64_intdigest(name.encode())
        self._make = np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, key])))
        self._uniform: list[float] = []
        self._normal: list[float] = []

    def uniform(self, low: float = 0.0, high: float = 1.0) -> float:
        """Evenly between the two."""
        if not self._uniform:
            self._uniform = self._make.random(CHUNK).tolist()
        return low + (high - low) * self._uniform.pop()

    def exponential(self, mean: float) -> float:
        """Waits between what happens at random."""
        return -mean * math.log(1.0 - self.uniform())

    def lognormal(self, median: float, spread: float) -> float:
        """Times with a long tail: `spread` is the standard deviation of the logarithm."""
        if not self._normal:
            self._normal = self._make.standard_normal(CHUNK).tolist()
        return median * math.exp(spread * self._normal.pop())

    def below(self, count: int) -> int:
        """A whole number from 0 to less than `count`."""
        return int(self.uniform() * count)

    def sample(self, count: int, of: int) -> list[int]:
        """Different ones of so many."""
        return [int(one) for one in self._make.permutation(of)[:count]]


class World:
    """The clock, the things to come, and the events of the day."""

    def __init__(self, seed: int) -> None:
        self.seed, self.now = seed, START_US
        self.events: list[Event] = []
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0
        self._streams: dict[str, Stream] = {}
        self.happened = 0
        self.stopped = False  # the day is over

    def stream(self, name: str) -> Stream:
        """The chance of a part."""
        if name not in self._streams:
            self._streams[name] = Stream(self.seed, name)
        return self._streams[name]

    def wall(self) -> int:
        """Wall-clock microseconds."""
        return WALL_US + self.now

    def at(self, due: float, act: Callable[..., None], *args: Any) -> None:
        """Do something then; never before now."""
        self._count += 1
        heapq.heappush(self._heap, (max(self.now, int(due)), self._count, act, args))

    def after(self, us: float, act: Callable[..., None], *args: Any) -> None:
        """Do something in so long."""
        self.at(self.now + us, act, *args)

    def note(self, ev: str, who: str, **fields: Any) -> None:
        """Write an event down, as the stand-ins do."""
        self.events.append({"t": self.now, "who": who, "ev": ev, **fields})

    def run(self, until: int) -> None:
        """Let time pass until then, or until something says `stop`."""
        heap, self.stopped = self._heap, False
        while heap and heap[0][0] <= until and not self.stopped:
            self.now, _, act, args = heapq.heappop(heap)
            self.happened += 1
            act(*args)
        if not self.stopped:
            self.now = max(self.now, until)
