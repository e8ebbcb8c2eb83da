"""The records that swiftwell.choice keeps its books in.  Nothing is decided here."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from swiftwell import interface as io


@dataclass(slots=True)
class Rate:
    """Events a microsecond, averaged over a span that the user states."""

    span_us: int
    total: float = 0.0
    at: int = 0

    def add(self, now: int) -> None:
        self.total = self.per_us(now) * self.span_us + 1
        self.at = now

    def per_us(self, now: int) -> float:
        return self.total * math.exp((self.at - now) / self.span_us) / self.span_us


@dataclass(slots=True)
class Budget:
    """Tokens that are earned up to a limit and spent."""

    most: float
    left: float

    def earn(self, tokens: float) -> None:
        self.left = min(self.most, self.left + tokens)

    def spend(self, tokens: float) -> bool:
        if self.left < tokens:
            return False
        self.left -= tokens
        return True


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a call."""

    call: Call
    number: int
    worker: Worker
    sent: int
    cold: bool
    out: bool = True
    maybe_ran: bool = True  # until its outcome proves otherwise


@dataclass(slots=True, eq=False)
class Call:
    """A request from its arrival until nothing of it is outstanding."""

    request: io.Request
    band: io.RequestClass
    function: Function
    seq: int
    arrived: int
    over_share: bool
    attempts: list[Attempt] = field(default_factory=list)
    held: bool = False
    ended: bool = False
    streaming: bool = False

    @property
    def deadline(self) -> int:
        return self.arrived + self.request.left_us

    @property
    def aim(self) -> int:
        return self.arrived + self.band.target_us

    def bound(self) -> Attempt | None:
        """The first attempt that may have run: it binds where further ones may go."""
        return next((a for a in self.attempts if a.maybe_ran), None)

    def outstanding(self) -> bool:
        return any(a.out for a in self.attempts)


@dataclass(slots=True, eq=False)
class Function:
    """What is known of a function."""

    name: str
    memory: float
    lanes: int
    latency: float
    load_us: float
    rate: Rate
    uses: int = 0
    held: int = 0
    coming: int = 0
    asking: int = 0
    ask_until: int = 0
    ask_again: int = 0


@dataclass(slots=True, eq=False)
class Worker:
    """What is known of a worker."""

    entry: io.WorkerEntry
    order: int  # breaks ties in the ranking
    memory: float
    cap: float
    inflight: int = 0
    busy: dict[str, int] = field(default_factory=dict)  # function: in flight
    copies: dict[str, tuple[int, int]] = field(default_factory=dict)  # function: count, fades at
    coming: dict[str, int] = field(default_factory=dict)  # function: ordered at
    shut: dict[str, int] = field(default_factory=dict)  # function: no new copy before
    sends: deque[int] = field(default_factory=deque)  # while it warms up
    quiet_since: int = 0
    full_until: int = 0
    rest_until: int = 0
    failures: int = 0
    pace: float = 1.0
    trial_at: int = 0
    lost_at: int = 0

    @property
    def ready(self) -> bool:
        return self.entry.state is io.State.READY
