"""The records that swiftwell.choice keeps its books in.  Nothing is decided here."""

from __future__ import annotations

import hashlib
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from swiftwell import interface as io


class Leases(Protocol):
    """What is proven of workers where the list may be stale (discovery/worker_leases)."""

    def list_serves(self, now_us: int) -> bool:
        """Whether the list's word on every worker still holds."""
        ...

    def serves(self, worker: str, now_us: int) -> bool:
        """Whether a send to a listed worker that is decided now keeps the rule on drains."""
        ...


def stable_hash(text: str) -> int:
    """The same number for a text in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def listed(event: io.Members, known: dict[str, Worker]) -> list[io.WorkerEntry]:
    """The entries an update changes; a worker that a full list leaves out has gone."""
    entries = list(event.entries)
    if event.how is not io.ListKind.DELTA:
        named = {entry.worker for entry in entries}
        left = [worker.entry for name, worker in known.items() if name not in named]
        entries += [replace(entry, state=io.State.GONE) for entry in left]
    return entries


@dataclass(slots=True)
class DecayingRate:
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
class TokenBucket:
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


@dataclass(slots=True)
class SlidingWindow:
    """The times of events, to count those of late."""

    times: deque[int] = field(default_factory=deque)

    def add(self, now: int) -> None:
        self.times.append(now)

    def count(self, since: int) -> int:
        while self.times and self.times[0] < since:
            self.times.popleft()
        return len(self.times)


@dataclass(slots=True)
class RampTokens:
    """Turns that come at a pace, each of which lapses after a span."""

    come: float  # so many have come; between 0 and 1 at first, so that routers don't begin together
    used: int = 0  # used or lapsed
    at: int = 0

    def open(self, now: int, per_us: float, span_us: int) -> bool:
        """Whether a turn is open at this pace."""
        self.come += per_us * (now - self.at if self.at else 0)
        self.at = now
        self.used = max(self.used, math.floor(self.come - per_us * span_us))
        return self.used < math.floor(self.come)


@dataclass(slots=True)
class CopyEstimate:
    """Copies of a function at a worker; a belief made at `since` holds until `fades`."""

    count: int
    memory: float
    since: int
    fades: int


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
    group: str = "all"  # the workers that drop repeats of it, as the list had them when it was sent
    before: tuple[float, float] | None = None  # its worker's pace and cap before it was seen to be late


@dataclass(slots=True, eq=False)
class Call:
    """A request from its arrival until nothing of it is outstanding."""

    request: io.Request
    request_class: io.RequestClass
    function: Function
    seq: int
    arrived: int
    kinds: tuple[str, ...]
    attempts: list[Attempt] = field(default_factory=list)
    held: bool = False
    ended: bool = False
    streaming: bool = False

    @property
    def deadline(self) -> int:
        return self.arrived + self.request.left_us

    def bound(self) -> Attempt | None:
        """The first attempt that may have run: it binds where further ones may go."""
        return next((a for a in self.attempts if a.maybe_ran), None)

    def outstanding(self) -> bool:
        return any(a.out for a in self.attempts)


@dataclass(slots=True, eq=False)
class Function:
    """What is known of a function."""

    name: str
    key: int  # the same at every router
    load_us: float
    rate: DecayingRate
    memory: float = 0.0
    lanes: int = 1
    coming: int = 0
    holders: dict[str, Worker] = field(default_factory=dict)  # believed to hold a copy
    listing: int = -1  # the listing that `order` was made from
    ordered_at: int = 0
    homes: int = 0  # so many of its preferred workers are homes
    order: list[Worker] = field(default_factory=list)  # the homes in our own order, then those passed on to

    def holding(self, now: int) -> list[Worker]:
        """The workers believed to hold a copy; the others are dropped."""
        self.holders = {name: w for name, w in self.holders.items() if w.believed(self.name, now)}
        return list(self.holders.values())


@dataclass(slots=True, eq=False)
class Worker:
    """What is known of a worker."""

    entry: io.WorkerEntry
    key: int  # the same at every router
    order: int  # breaks ties in the ranking, by our own number
    memory: float
    cap: float
    inflight: int = 0
    busy: dict[str, int] = field(default_factory=dict)  # function: in flight
    copies: dict[str, CopyEstimate] = field(default_factory=dict)
    coming: dict[str, CopyEstimate] = field(default_factory=dict)  # ordered at `since`, not yet standing
    shut: dict[str, int] = field(default_factory=dict)  # function: no new copy before
    refused: dict[str, int] = field(default_factory=dict)  # class or tenant: turned away, none before
    sends: SlidingWindow = field(default_factory=SlidingWindow)
    turns: RampTokens = field(init=False)  # at it while it starts
    quiet_since: int = 0
    full_until: int = 0
    rest_until: int = 0
    failures: int = 0
    pace: float = 1.0
    pace_at: int = 0
    warm_at: int = 0  # warmed up by then at the latest
    answered: int = 0  # when the latest sent of the attempts that it answered was sent
    asked: int = 0  # when the question that has no answer yet was sent; 0 where there is none
    identified: bool = True  # its process is the one that the list names
    rank: tuple[bool, int] = (False, 0)  # among homes: those of our zone first, then by the tie hash

    def __post_init__(self) -> None:
        self.turns = RampTokens(self.order / 2**64)

    @property
    def ready(self) -> bool:
        return self.entry.state is io.State.READY

    def group(self, request_class: io.RequestClass) -> str:
        """The group of workers that drops repeats of a keyed request, as the wire states it."""
        if request_class.effect is not io.Effect.KEYED or request_class.scope == "all":
            return "all"
        if not self.identified:  # another may have taken its address, from another group
            return f"? {self.entry.worker}"
        return str(self.entry.cell) if request_class.scope == "cell" else self.entry.zone

    def believed(self, name: str, now: int) -> int:
        """Copies believed here; a copy at work does not fade."""
        belief = self.copies.get(name)
        return belief.count if belief and (now < belief.fades or name in self.busy) else 0

    def memory_used(self, now: int) -> float:
        """Memory of the copies that we believe here or have ordered."""
        coming = sum(belief.memory for belief in self.coming.values())
        return coming + sum(b.memory * self.believed(name, now) for name, b in self.copies.items())

    def begin(self, name: str, now: int) -> None:
        """Count a call of a function in flight."""
        if not self.inflight:
            self.quiet_since = now
        self.inflight += 1
        self.busy[name] = self.busy.get(name, 0) + 1
        self.sends.add(now)

    def finish(self, name: str) -> None:
        """Count it out again."""
        self.inflight -= 1
        self.busy[name] -= 1
        if not self.busy[name]:
            del self.busy[name]

    def tidy(self, now: int, since: int) -> None:
        """Forget what no longer holds; of a large fleet most workers hold nothing of ours."""
        if not (self.sends.times or self.copies or self.refused or self.shut):
            return
        self.sends.count(since)
        self.copies = {n: b for n, b in self.copies.items() if self.believed(n, now)}
        self.refused = {kind: until for kind, until in self.refused.items() if until > now}
        self.shut = {name: until for name, until in self.shut.items() if until > now}


QueueKey = tuple[str, str]  # function, group that a repeat is bound to


class RouterState:
    """A router's tables and timers, and the moves between them that leave nothing to decide."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.leases: Leases | None = None  # None: the list is always taken for current
        self.list_serves = True  # its word on every worker holds in this batch
        self.settings, self.seed = settings, seed  # no choice is left to chance so far: the seed is unused
        self.request_classes = {request_class.name: request_class for request_class in settings.classes}
        self.workers: dict[str, Worker] = {}
        self.ready: list[Worker] = []  # of the list of workers that is numbered `listing`
        self.listing = 0
        self.warm = 0  # ready workers that don't start, at the last sweep
        self.functions: dict[str, Function] = {}
        self.calls: dict[str, Call] = {}
        self.lines: dict[QueueKey, deque[Call]] = {}
        self.taken, self.orders = SlidingWindow(), SlidingWindow()
        self.news: set[str] = set()  # functions to look at in this batch
        self.look_at = 0  # when all of them are looked at again
        self.woke = 0  # the end of the last gap in our own clock
        self.median = 1.0  # pace of the ready workers
        self.kind_pace: dict[str, float] = {}
        self.usual_held = 0.0  # calls that workers say they hold
        self.loading = 0  # copies ordered that do not stand yet
        self.now = self.born = 0
        self.seq = 0  # numbers calls and timers in order
        self.actions: list[io.Action] = []
        self._timers: dict[int, tuple[Callable[..., None], tuple, int]] = {}

    def _after(self, delay: float, act: Callable[..., None], *args: object) -> None:
        """Call `act` after so many microseconds."""
        self.seq += 1
        self._timers[self.seq] = (act, args, self.now + max(0, int(delay)))
        self.actions.append(io.SetTimer(max(0, int(delay)), self.seq))

    def due(self, event: io.Event) -> int:
        """When an event was due, if it is a timer of ours; else now."""
        ours = isinstance(event, io.Timer) and event.token in self._timers
        return self._timers[event.token][2] if ours else self.now

    def _note(self, event: io.Event) -> None:
        """Events that only change the books; probes and messages of peers are not made use of."""
        if isinstance(event, io.Timer) and event.token in self._timers:
            act, args, _ = self._timers.pop(event.token)
            act(*args)
        elif isinstance(event, io.Left) and event.id in self.calls:
            self._end(self.calls[event.id])
        elif isinstance(event, io.First) and event.id in self.calls:
            self.calls[event.id].streaming = True

    def _end(self, call: Call) -> None:
        """A call has its final answer; it stays in the books while attempts are out."""
        call.ended, call.held = True, False
        if not call.outstanding():
            self.calls.pop(call.request.id, None)
            call.attempts.clear()  # they refer to the call: no cycle is left to the garbage collector

    def _arrived(self, worker: Worker, function: Function) -> None:
        """An ordered copy is no longer waited for."""
        if worker.coming.pop(function.name, None) is not None:
            function.coming -= 1
            self.loading -= 1

    def _forget(self, worker: Worker) -> None:
        """Drop every belief of a worker."""
        worker.copies.clear()
        for name in list(worker.coming):
            self._arrived(worker, self.functions[name])
