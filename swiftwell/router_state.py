"""The state of a router: the tables and timers that swiftwell.choice decides from.  Nothing is decided here.

Times and durations are in microseconds, memory is in MB.
"""

from __future__ import annotations

import hashlib
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from swiftwell import interface as io

ALL = "all"  # the repeat group of all listed workers


class Leases(Protocol):
    """Which workers are known not to drain while the worker list may be stale (discovery/worker_leases)."""

    def list_suffices(self, now_us: int) -> bool:
        """Whether the worker list is current, so that the state it gives of every worker holds."""
        ...

    def may_send(self, worker: str, now_us: int) -> bool:
        """Whether a send to a listed worker, decided now, keeps the rule on drains."""
        ...

    def is_listed_process(self, worker: str) -> bool:
        """Whether the process that we are connected to is for certain the one that the worker list names."""
        ...

    def list_confirmed_since(self, at_us: int) -> bool:
        """Whether the worker list was known to be complete at this time or later."""
        ...


def stable_hash(text: str) -> int:
    """A 64-bit hash of a text that is the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def changed_entries(event: io.Members, known: dict[str, Worker]) -> list[io.WorkerEntry]:
    """The entries that an update changes; a worker that a full list omits is marked as gone."""
    entries = list(event.entries)
    if event.kind is not io.ListKind.DELTA:
        named = {entry.worker for entry in entries}
        omitted = [worker.entry for name, worker in known.items() if name not in named]
        entries += [replace(entry, state=io.State.GONE) for entry in omitted]
    return entries


@dataclass(slots=True)
class DecayingRate:
    """An exponentially decaying event rate, averaged over `span_us`."""

    span_us: int
    total: float = 0.0  # decayed count of events as of `at`
    at: int = 0  # time of the last event

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
        """Take tokens if there are enough, and return whether there were."""
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
    at: int = 0  # when tokens were last issued

    def available(self, now: int, per_us: float, span_us: int) -> bool:
        """Issue tokens at this rate, expire the old ones, and return whether an unused one is left."""
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
    number: int  # among the attempts of the call, from 0
    worker: Worker
    sent_at: int
    cold: bool  # sent without a copy known there: the worker has to load one
    in_flight: bool = True  # no outcome yet
    may_have_run: bool = True  # until its outcome proves that it didn't
    repeat_group: str = ALL  # workers that drop repeats of it, by the worker list when it was sent
    # The worker's relative latency and concurrency limit before this attempt was recorded as late.
    worker_before_late: tuple[float, float] | None = None
    identified: bool = True  # it went to a process of its repeat group for certain
    ended_at: int = 0


@dataclass(slots=True, eq=False)
class Call:
    """A request, from its arrival until it has its final answer and no attempt is in flight."""

    request: io.Request
    request_class: io.RequestClass
    function: Function
    seq: int  # order of arrival
    arrived_at: int
    rejection_keys: tuple[str, ...]  # its class and tenant: what a worker may reject calls by
    attempts: list[Attempt] = field(default_factory=list)
    queued: bool = False
    ended: bool = False  # has its final answer
    streaming: bool = False  # its answer has begun

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
    load_us: float  # expected load time
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
        """The workers estimated to hold a copy; drops the others from `holders`."""
        self.holders = {name: w for name, w in self.holders.items() if w.estimated_copies(self.name, now)}
        return list(self.holders.values())


@dataclass(slots=True, eq=False)
class Worker:
    """What the router knows of a worker."""

    entry: io.WorkerEntry
    key: int  # hash of its id, the same at every router
    tie_hash: int  # breaks ties in the ranking; each router has its own
    memory_mb: float
    concurrency_limit: float  # calls of ours in flight, at most
    inflight: int = 0  # calls of ours in flight
    inflight_by_function: dict[str, int] = field(default_factory=dict)
    copies: dict[str, CopyEstimate] = field(default_factory=dict)
    pending_loads: dict[str, CopyEstimate] = field(default_factory=dict)  # ordered, not yet loaded
    load_backoff: dict[str, int] = field(default_factory=dict)  # function: no load order before this time
    rejections: dict[str, int] = field(default_factory=dict)  # class or tenant: no calls before this time
    recent_sends: SlidingWindow = field(default_factory=SlidingWindow)
    ramp_tokens: RampTokens = field(init=False)  # for calls while it is cold
    silent_since: int = 0  # last answer, or the send that ended an idle time
    full_until: int = 0  # no calls before this time, after it reported full
    backoff_until: int = 0  # no calls before this time, after a failure
    failures: int = 0  # consecutive
    relative_latency: float = 1.0  # latency over the expected one
    relative_latency_at: int = 0
    warm_at: int = 0  # its process has warmed up by this time at the latest
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
        """The group of workers that drops repeats of a keyed request, by the list: all, a zone or a cell."""
        if request_class.effect is not io.Effect.KEYED or request_class.scope == "all":
            return ALL
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
            estimate.memory_mb * self.estimated_copies(name, now) for name, estimate in self.copies.items()
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
        """Drop expired entries, and sends before `since`; most workers of a large fleet have none."""
        if not (self.recent_sends.times or self.copies or self.rejections or self.load_backoff):
            return
        self.recent_sends.count(since)
        self.copies = {
            name: copies for name, copies in self.copies.items() if self.estimated_copies(name, now)
        }
        self.rejections = {key: expires_at for key, expires_at in self.rejections.items() if expires_at > now}
        self.load_backoff = {name: retry_at for name, retry_at in self.load_backoff.items() if retry_at > now}


QueueKey = tuple[str, str]  # function, and the repeat group that its calls are bound to ("" if to none)


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
        self.dirty_functions: set[str] = set()  # functions whose queues are to be checked in this batch
        self.recheck_at = 0  # when all queues are checked again
        self.resumed_at = 0  # end of the last gap in our own clock
        self.median_relative_latency = 1.0  # of the ready workers
        self.kind_relative_latency: dict[str, float] = {}  # running mean for each kind of worker
        self.expected_held = 0.0  # running mean of the calls that workers report to hold
        self.pending_load_count = 0  # copies ordered and not yet loaded, of all functions
        self.now = self.started_at = 0
        self.seq = 0  # numbers calls and timers in order
        self.actions: list[io.Action] = []
        self._timers: dict[int, tuple[Callable[..., None], tuple, int]] = {}  # callback, arguments, due time

    def _schedule(self, delay_us: float, callback: Callable[..., None], *args: object) -> None:
        """Call `callback` with `args` after a delay."""
        self.seq += 1
        self._timers[self.seq] = (callback, args, self.now + max(0, int(delay_us)))
        self.actions.append(io.SetTimer(max(0, int(delay_us)), self.seq))

    def _is_certain(self, worker: Worker, group: str) -> bool:
        """Whether the process at a worker's address is for certain one of its repeat group.

        A new worker, of another group, may have taken the address of one that has gone.  All processes are of
        the group of all workers.
        """
        if group == ALL:
            return True
        listed = self.leases is None or self.leases.is_listed_process(worker.entry.worker)
        return worker.identified and listed

    def _new_attempt(self, call: Call, worker: Worker, cold: bool) -> Attempt:
        """Add an attempt to a call."""
        attempt = Attempt(call, len(call.attempts), worker, self.now, cold)
        attempt.repeat_group = worker.repeat_group(call.request_class)
        attempt.identified = self._is_certain(worker, attempt.repeat_group)
        call.attempts.append(attempt)
        return attempt

    def _queue_key(self, call: Call) -> QueueKey:
        """The queue of a call; one bound to a repeat group has its own queue, to block no other."""
        bound = call.binding_attempt()
        group = (self._known_group(bound) or f"unknown {call.seq}") if bound else ""
        return call.function.name, group

    def _known_group(self, attempt: Attempt) -> str | None:
        """The group that drops repeats of an attempt; None while the process that it went to is not certain.

        A list that is complete up to the end of an attempt, and still names its worker, shows it later.
        """
        if not attempt.identified and not attempt.in_flight and self.leases is not None:
            worker = attempt.worker
            listed_since = worker.entry.state is not io.State.GONE and (
                worker.repeat_group(attempt.call.request_class) == attempt.repeat_group
            )
            attempt.identified = listed_since and self.leases.list_confirmed_since(attempt.ended_at)
        return attempt.repeat_group if attempt.identified else None

    def due_at(self, event: io.Event) -> int:
        """When an event was due, if it is a timer of this router; else now."""
        ours = isinstance(event, io.Timer) and event.token in self._timers
        return self._timers[event.token][2] if ours else self.now

    def _on_other(self, event: io.Event) -> None:
        """Handle timers and events that only update state; probes and messages of peers are not used."""
        if isinstance(event, io.Timer) and event.token in self._timers:
            callback, args, _ = self._timers.pop(event.token)
            callback(*args)
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
