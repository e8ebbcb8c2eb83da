"""The state of a router: the tables and timers that swiftwell.choice decides from.  Nothing is decided here.

Times and durations are whole microseconds, memory is in MB.
"""

from __future__ import annotations

import hashlib
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from swiftwell import interface as io


class Leases(Protocol):
    """Which workers are known not to drain while the worker list may be stale (discovery/worker_leases)."""

    def list_suffices(self, now_us: int) -> bool:
        """Whether the worker list is current, so that the state it gives of every worker holds."""
        ...

    def may_send(self, worker: str, now_us: int) -> bool:
        """Whether a send to a listed worker, decided now, keeps the rule on drains."""
        ...


def stable_hash(text: str) -> int:
    """A 64-bit hash of a text that is the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def changed_entries(event: io.Members, known: dict[str, Worker]) -> list[io.WorkerEntry]:
    """The entries that an update changes; a worker that a full list omits is marked as gone."""
    entries = list(event.entries)
    if event.how is not io.ListKind.DELTA:
        named = {entry.worker for entry in entries}
        left = [worker.entry for name, worker in known.items() if name not in named]
        entries += [replace(entry, state=io.State.GONE) for entry in left]
    return entries


@dataclass(slots=True)
class DecayingRate:
    """An exponentially decaying event rate, averaged over `span_us`."""

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
    """A token bucket that the caller refills explicitly."""

    capacity: float
    tokens: float

    def refill(self, tokens: float) -> None:
        self.tokens = min(self.capacity, self.tokens + tokens)

    def take(self, tokens: float) -> bool:
        """Take tokens if there are enough; whether there were."""
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True


@dataclass(slots=True)
class SlidingWindow:
    """Timestamps of events, to count the recent ones."""

    times: deque[int] = field(default_factory=deque)

    def add(self, now: int) -> None:
        self.times.append(now)

    def count(self, since: int) -> int:
        """Count the events at or after `since`, and drop the older ones."""
        while self.times and self.times[0] < since:
            self.times.popleft()
        return len(self.times)


@dataclass(slots=True)
class RampTokens:
    """Tokens that are issued at a given rate and expire after a span; a call to a cold worker uses one."""

    issued: float  # starts between 0 and 1, different for each router, so that routers don't begin together
    used: int = 0  # used or expired
    at: int = 0

    def available(self, now: int, per_us: float, span_us: int) -> bool:
        """Issue the tokens due at this rate, expire the old ones; whether an unused one is left."""
        self.issued += per_us * (now - self.at if self.at else 0)
        self.at = now
        self.used = max(self.used, math.floor(self.issued - per_us * span_us))
        return self.used < math.floor(self.issued)


@dataclass(slots=True)
class CopyEstimate:
    """Estimated copies of a function at a worker; made at `made_at`, valid until `expires_at`."""

    count: int
    memory_mb: float
    made_at: int
    expires_at: int


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a call."""

    call: Call
    number: int
    worker: Worker
    sent_at: int
    cold: bool
    in_flight: bool = True
    may_have_run: bool = True  # until its outcome proves that it didn't
    repeat_group: str = "all"  # workers that drop repeats of it, by the worker list when it was sent
    # The worker's relative latency and concurrency limit before this attempt was recorded as late.
    worker_before_late: tuple[float, float] | None = None


@dataclass(slots=True, eq=False)
class Call:
    """A request, from its arrival until it has its final answer and no attempt is in flight."""

    request: io.Request
    request_class: io.RequestClass
    function: Function
    seq: int
    arrived_at: int
    rejection_keys: tuple[str, ...]
    attempts: list[Attempt] = field(default_factory=list)
    queued: bool = False
    ended: bool = False
    streaming: bool = False

    @property
    def deadline(self) -> int:
        return self.arrived_at + self.request.left_us

    def binding_attempt(self) -> Attempt | None:
        """The first attempt that may have run: it restricts where further attempts may go."""
        return next((a for a in self.attempts if a.may_have_run), None)

    def has_attempts_in_flight(self) -> bool:
        return any(a.in_flight for a in self.attempts)


@dataclass(slots=True, eq=False)
class Function:
    """What the router knows of a function."""

    name: str
    key: int  # hash of its name, the same at every router
    load_us: float
    arrival_rate: DecayingRate
    memory_mb: float = 0.0
    lanes: int = 1  # calls that one copy runs at a time
    pending_loads: int = 0  # copies ordered and not yet loaded, at all workers
    holders: dict[str, Worker] = field(default_factory=dict)  # workers estimated to hold a copy
    list_version: int = -1  # version of the worker list that `ranked_workers` was made from
    ranked_at: int = 0
    preferred_count: int = 0  # length of the preferred part of `ranked_workers`
    ranked_workers: list[Worker] = field(default_factory=list)  # preferred in our own order, then fallbacks

    def workers_with_copies(self, now: int) -> list[Worker]:
        """The workers estimated to hold a copy; forgets the others."""
        self.holders = {name: w for name, w in self.holders.items() if w.estimated_copies(self.name, now)}
        return list(self.holders.values())


@dataclass(slots=True, eq=False)
class Worker:
    """What the router knows of a worker."""

    entry: io.WorkerEntry
    key: int  # hash of its id, the same at every router
    tie_hash: int  # breaks ties in the ranking; each router has its own
    memory_mb: float
    concurrency_limit: float
    inflight: int = 0
    inflight_by_function: dict[str, int] = field(default_factory=dict)
    copies: dict[str, CopyEstimate] = field(default_factory=dict)
    pending_loads: dict[str, CopyEstimate] = field(default_factory=dict)  # ordered, not yet loaded
    load_backoff: dict[str, int] = field(default_factory=dict)  # function: no load order before this time
    rejections: dict[str, int] = field(default_factory=dict)  # class or tenant rejected: no calls before
    recent_sends: SlidingWindow = field(default_factory=SlidingWindow)
    ramp_tokens: RampTokens = field(init=False)  # for calls while it is cold
    silent_since: int = 0  # last outcome, or start of the oldest call since it was idle
    full_until: int = 0
    backoff_until: int = 0
    failures: int = 0  # consecutive
    relative_latency: float = 1.0  # latency over the expected one
    relative_latency_at: int = 0
    warm_at: int = 0  # warmed up by this time at the latest
    last_answered_sent_at: int = 0  # send time of the latest-sent attempt that it has answered
    queried_at: int = 0  # send time of the unanswered copy query; 0 where there is none
    identified: bool = True  # whether its process is the one that the worker list names
    preference: tuple[bool, int] = (False, 0)  # order among preferred workers: own zone first, then tie hash

    def __post_init__(self) -> None:
        self.ramp_tokens = RampTokens(self.tie_hash / 2**64)

    @property
    def ready(self) -> bool:
        return self.entry.state is io.State.READY

    def repeat_group(self, request_class: io.RequestClass) -> str:
        """The group of workers that drops repeats of a keyed request: all, a zone or a cell."""
        if request_class.effect is not io.Effect.KEYED or request_class.scope == "all":
            return "all"
        if not self.identified:  # another worker, of another group, may have taken over its address
            return f"? {self.entry.worker}"
        return str(self.entry.cell) if request_class.scope == "cell" else self.entry.zone

    def estimated_copies(self, name: str, now: int) -> int:
        """Estimated copies of a function; an estimate does not expire while a call is in flight on it."""
        estimate = self.copies.get(name)
        return (
            estimate.count
            if estimate and (now < estimate.expires_at or name in self.inflight_by_function)
            else 0
        )

    def memory_used_mb(self, now: int) -> float:
        """Memory of the copies that are estimated to be here or have been ordered."""
        pending_mb = sum(estimate.memory_mb for estimate in self.pending_loads.values())
        return pending_mb + sum(
            b.memory_mb * self.estimated_copies(name, now) for name, b in self.copies.items()
        )

    def begin(self, name: str, now: int) -> None:
        """Count a call of a function as in flight."""
        if not self.inflight:
            self.silent_since = now
        self.inflight += 1
        self.inflight_by_function[name] = self.inflight_by_function.get(name, 0) + 1
        self.recent_sends.add(now)

    def finish(self, name: str) -> None:
        """Count a call of a function as no longer in flight."""
        self.inflight -= 1
        self.inflight_by_function[name] -= 1
        if not self.inflight_by_function[name]:
            del self.inflight_by_function[name]

    def prune(self, now: int, since: int) -> None:
        """Drop expired entries.  Returns early for the many workers of a large fleet that hold none."""
        if not (self.recent_sends.times or self.copies or self.rejections or self.load_backoff):
            return
        self.recent_sends.count(since)
        self.copies = {n: b for n, b in self.copies.items() if self.estimated_copies(n, now)}
        self.rejections = {key: until for key, until in self.rejections.items() if until > now}
        self.load_backoff = {name: until for name, until in self.load_backoff.items() if until > now}


QueueKey = tuple[str, str]  # function, and the group that a repeat is bound to ("" if to none)


class RouterState:
    """A router's tables and timers, and the updates of them that need no decision."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.leases: Leases | None = None  # None: the worker list is always taken as current
        self.list_is_current = True  # in this batch
        self.settings, self.seed = settings, seed  # the seed is unused: no decision is random so far
        self.request_classes = {request_class.name: request_class for request_class in settings.classes}
        self.workers: dict[str, Worker] = {}
        self.ready: list[Worker] = []  # the ready workers of the list with version `list_version`
        self.list_version = 0
        self.warm_count = 0  # ready workers that are not warming up, at the last sweep
        self.functions: dict[str, Function] = {}
        self.calls: dict[str, Call] = {}
        self.queues: dict[QueueKey, deque[Call]] = {}
        self.recent_arrivals, self.recent_orders = SlidingWindow(), SlidingWindow()
        self.dirty_functions: set[str] = set()  # functions whose queues are checked in this batch
        self.recheck_at = 0  # when all queues are checked again
        self.resumed_at = 0  # end of the last gap in our own clock
        self.median_relative_latency = 1.0  # of the ready workers
        self.kind_relative_latency: dict[str, float] = {}  # running mean for each kind of worker
        self.expected_held = 0.0  # running mean of the calls that workers report to hold
        self.pending_load_count = 0  # copies ordered and not yet loaded, of all functions
        self.now = self.started_at = 0
        self.seq = 0  # numbers calls and timers in order
        self.actions: list[io.Action] = []
        self._timers: dict[int, tuple[Callable[..., None], tuple, int]] = {}

    def _schedule(self, delay: float, act: Callable[..., None], *args: object) -> None:
        """Call `act` after a delay in microseconds."""
        self.seq += 1
        self._timers[self.seq] = (act, args, self.now + max(0, int(delay)))
        self.actions.append(io.SetTimer(max(0, int(delay)), self.seq))

    def due_at(self, event: io.Event) -> int:
        """When an event was due, if it is a timer of this router; else now."""
        ours = isinstance(event, io.Timer) and event.token in self._timers
        return self._timers[event.token][2] if ours else self.now

    def _on_other(self, event: io.Event) -> None:
        """Handle timers and events that only update state; probes and messages of peers are not used."""
        if isinstance(event, io.Timer) and event.token in self._timers:
            act, args, _ = self._timers.pop(event.token)
            act(*args)
        elif isinstance(event, io.Left) and event.id in self.calls:
            self._end(self.calls[event.id])
        elif isinstance(event, io.First) and event.id in self.calls:
            self.calls[event.id].streaming = True

    def _end(self, call: Call) -> None:
        """Mark a call as answered; it stays in the table while attempts are in flight."""
        call.ended, call.queued = True, False
        if not call.has_attempts_in_flight():
            self.calls.pop(call.request.id, None)
            call.attempts.clear()  # breaks the reference cycle, so that no garbage collection is needed

    def _clear_pending_load(self, worker: Worker, function: Function) -> None:
        """Stop waiting for an ordered copy."""
        if worker.pending_loads.pop(function.name, None) is not None:
            function.pending_loads -= 1
            self.pending_load_count -= 1

    def _forget_copies(self, worker: Worker) -> None:
        """Drop all copy estimates and pending loads of a worker."""
        worker.copies.clear()
        for name in list(worker.pending_loads):
            self._clear_pending_load(worker, self.functions[name])
