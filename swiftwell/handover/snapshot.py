"""The module's books as a versioned snapshot, and back.  No I/O.

Every value of `router_state.RouterState` that a decision rests on is in it; what can be derived (preferred
workers, ready workers, hashes) is not.  The structs are the table of versions: a field that a version does
not know is dropped, one that is missing takes the default that stands here, which is what a router that has
just started would have.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import fields
from typing import Any

import msgspec

from swiftwell import interface as io
from swiftwell import router_state as rs
from swiftwell.choice import INITIAL_CONCURRENCY, RATE_SPAN_US, Router
from swiftwell.interface import Effect, State

# Fields of a request by identifier, with the name that a snapshot stores them under.
_REQUEST = {name: {"request_class": "band"}.get(name, name) for name in io.Request._fields}

# Timers by the method that they call, with the name that a snapshot stores them under.
_TIMERS = {
    "_sweep": "_sweep",
    "_watch": "_watch",
    "_give_final_answer": "_finish",
    "_check_half_deadline": "_half",
    "_check_late_attempt": "_late",
    "_load_failed": "_load_failed",
}
_METHODS = {stored: method for method, stored in _TIMERS.items()}


class Copies(msgspec.Struct, array_like=True):
    """A belief: copies, MB of one, since and until when (monotonic us)."""

    count: int
    memory: float
    since: int
    fades: int


class WorkerSnapshot(msgspec.Struct):
    """What is known of a worker."""

    worker: str
    state: str = "Running"
    kind: str = ""
    weight: float = 1.0
    started_us: int = 0
    zone: str = ""
    cell: int = 0
    cap: float = INITIAL_CONCURRENCY
    inflight: int = 0
    busy: dict[str, int] = {}
    copies: dict[str, Copies] = {}
    coming: dict[str, Copies] = {}
    shut: dict[str, int] = {}
    refused: dict[str, int] = {}
    sends: list[int] = []
    quiet_since: int = 0
    full_until: int = 0
    rest_until: int = 0
    failures: int = 0
    pace: float = 1.0
    pace_at: int = 0
    warm_at: int = 0
    answered: int = 0
    turns: tuple[float, int, int] | None = None  # come, used, and when: at it while it starts


class FunctionSnapshot(msgspec.Struct):
    """What is known of a function."""

    name: str
    load_us: float = 800_000.0
    total: float = 0.0
    at: int = 0
    memory: float = 0.0
    lanes: int = 1
    coming: int = 0
    holders: list[str] = []


class AttemptSnapshot(msgspec.Struct):
    """One send of a call."""

    worker: str
    sent: int
    cold: bool = False
    out: bool = False
    maybe_ran: bool = True
    before: tuple[float, float] | None = None
    group: str = "all"


class CallSnapshot(msgspec.Struct):
    """A call, with its request and class as they were told."""

    request: dict[str, Any]
    request_class: dict[str, Any] = msgspec.field(name="band")
    seq: int
    arrived: int
    attempts: list[AttemptSnapshot] = []
    held: bool = False
    ended: bool = False
    streaming: bool = False


class TimerSnapshot(msgspec.Struct):
    """A timer: its token, what it does, about what, and when it is due (monotonic us)."""

    token: int
    act: str
    about: list[str | int]
    due: int


class RouterSnapshot(msgspec.Struct):
    """The whole of a router."""

    workers: list[WorkerSnapshot] = []
    functions: list[FunctionSnapshot] = []
    calls: list[CallSnapshot] = []
    lines: list[tuple[str, str, list[str]]] = []
    timers: list[TimerSnapshot] = []
    taken: list[int] = []
    orders: list[int] = []
    retries: float = 10.0
    latency: float = 0.0
    traffic_total: float = 0.0
    traffic_at: int = 0
    served_total: float = 0.0
    served_at: int = 0
    born: int = 0
    warm: int = 0
    usual: dict[str, float] = {}
    kind_pace: dict[str, float] = {}
    usual_held: float = 0.0
    orders_left: float = 1.0
    median: float = 1.0
    look_at: int = 0
    woke: int = 0
    loading: int = 0
    seq: int = 0
    now: int = 0


def encode_request_class(request_class: io.RequestClass) -> dict[str, Any]:
    """A class as plain values."""
    out = {one.name: getattr(request_class, one.name) for one in fields(io.RequestClass)}
    return out | {"effect": request_class.effect.value}


def decode_request_class(told: dict[str, Any]) -> io.RequestClass:
    """And back."""
    known = {one.name for one in fields(io.RequestClass)}
    return io.RequestClass(
        **{k: v for k, v in told.items() if k in known} | {"effect": Effect(told["effect"])}
    )


def _copies(estimate: rs.CopyEstimate) -> Copies:
    return Copies(estimate.count, estimate.memory_mb, estimate.made_at, estimate.expires_at)


def _timer(router: Router, token: int, act: Any, args: tuple, due: int) -> TimerSnapshot | None:
    """A timer, unless what it is about has ended: then it would do nothing."""
    name = _TIMERS.get(getattr(act, "__name__", ""), "")
    if name in ("_sweep", "_watch"):
        return TimerSnapshot(token, name, [], due)
    if name in ("_finish", "_half"):
        call = args[0]
        return (
            TimerSnapshot(token, name, [call.request.id], due)
            if router.calls.get(call.request.id) is call
            else None
        )
    if name == "_late":
        one = args[0]
        live = one.in_flight and not one.call.ended and router.calls.get(one.call.request.id) is one.call
        return TimerSnapshot(token, name, [one.call.request.id, one.number], due) if live else None
    if name == "_load_failed":
        worker, function, order = args
        live = worker.pending_loads.get(function.name) is order
        return TimerSnapshot(token, name, [worker.entry.worker, function.name], due) if live else None
    return TimerSnapshot(token, "look", [], due)


def capture(router: Router, calls: bool = True) -> RouterSnapshot:
    """The books of a router, between two of its `handle`s; without calls, lines and timers unless `calls`."""
    out = RouterSnapshot(
        taken=list(router.recent_arrivals.times),
        orders=list(router.recent_orders.times),
        retries=router.retry_tokens.tokens,
        latency=router.mean_latency_us,
        traffic_total=router.arrival_rate.total,
        traffic_at=router.arrival_rate.at,
        served_total=router.served_rate.total,
        served_at=router.served_rate.at,
        born=router.started_at,
        warm=router.warm_count,
        usual=dict(router.expected_latency),
        kind_pace=dict(router.kind_relative_latency),
        usual_held=router.expected_held,
        orders_left=router.order_tokens.tokens,
        median=router.median_relative_latency,
        look_at=router.recheck_at,
        woke=router.resumed_at,
        loading=router.pending_load_count,
        seq=router.seq,
        now=router.now,
    )
    for worker in router.workers.values():
        entry = worker.entry
        out.workers.append(
            WorkerSnapshot(
                entry.worker,
                entry.state.value,
                entry.kind,
                entry.weight,
                entry.started_us,
                entry.zone,
                entry.cell,
                worker.concurrency_limit,
                worker.inflight,
                dict(worker.inflight_by_function),
                {name: _copies(b) for name, b in worker.copies.items()},
                {name: _copies(b) for name, b in worker.pending_loads.items()},
                dict(worker.load_backoff),
                dict(worker.rejections),
                list(worker.recent_sends.times),
                worker.silent_since,
                worker.full_until,
                worker.backoff_until,
                worker.failures,
                worker.relative_latency,
                worker.relative_latency_at,
                worker.warm_at,
                worker.last_answered_sent_at,
                (worker.ramp_tokens.issued, worker.ramp_tokens.used, worker.ramp_tokens.at),
            )
        )
    for f in router.functions.values():
        holders = [name for name, worker in f.holders.items() if router.workers.get(name) is worker]
        out.functions.append(
            FunctionSnapshot(
                f.name,
                f.load_us,
                f.arrival_rate.total,
                f.arrival_rate.at,
                f.memory_mb,
                f.lanes,
                f.pending_loads,
                holders,
            )
        )
    if not calls:
        return out
    for call in router.calls.values():
        request = {_REQUEST[name]: value for name, value in call.request._asdict().items()}
        attempts = [
            AttemptSnapshot(
                a.worker.entry.worker,
                a.sent_at,
                a.cold,
                a.in_flight,
                a.may_have_run,
                a.worker_before_late,
                a.repeat_group,
            )
            for a in call.attempts
        ]
        out.calls.append(
            CallSnapshot(
                request,
                encode_request_class(call.request_class),
                call.seq,
                call.arrived_at,
                attempts,
                call.queued,
                call.ended,
                call.streaming,
            )
        )
    for (function, group), queue in router.queues.items():
        out.lines.append((function, group, [call.request.id for call in queue if call.queued]))
    for token, (act, args, due) in router._timers.items():
        if timer := _timer(router, token, act, args, due):
            out.timers.append(timer)
    return out


def restore(router: Router, books: RouterSnapshot) -> None:
    """Give a new router the books of an old one.  Its own settings hold: a class or kind that they lack is
    carried along for the calls that have it."""
    router.recent_arrivals.times, router.recent_orders.times = deque(books.taken), deque(books.orders)
    router.retry_tokens.tokens = min(books.retries, router.retry_tokens.capacity)
    router.mean_latency_us = books.latency or router.mean_latency_us
    router.arrival_rate = rs.DecayingRate(RATE_SPAN_US, books.traffic_total, books.traffic_at)
    router.served_rate, router.started_at = (
        rs.DecayingRate(RATE_SPAN_US, books.served_total, books.served_at),
        books.born,
    )
    router.warm_count = books.warm
    router.expected_latency |= books.usual
    router.kind_relative_latency = dict(books.kind_pace)
    router.expected_held, router.median_relative_latency = books.usual_held, books.median
    router.order_tokens.tokens = min(books.orders_left, router.order_tokens.capacity)
    router.recheck_at, router.resumed_at, router.pending_load_count = books.look_at, books.woke, books.loading
    router.seq, router.now = max(1, books.seq), books.now
    memory = dict(router.settings.kind_memory_mb)
    for b in books.workers:
        entry = io.WorkerEntry(b.worker, State(b.state), b.kind, b.weight, b.started_us, b.zone, b.cell)
        worker = rs.Worker(
            entry,
            rs.stable_hash(b.worker),
            rs.stable_hash(f"{b.worker}/{router.settings.position}"),
            memory.get(b.kind, math.inf),
            b.cap,
            b.inflight,
            dict(b.busy),
            {name: rs.CopyEstimate(c.count, c.memory, c.since, c.fades) for name, c in b.copies.items()},
            {name: rs.CopyEstimate(c.count, c.memory, c.since, c.fades) for name, c in b.coming.items()},
            dict(b.shut),
            dict(b.refused),
            rs.SlidingWindow(deque(b.sends)),
            b.quiet_since,
            b.full_until,
            b.rest_until,
            b.failures,
            b.pace,
            b.pace_at,
            b.warm_at,
            b.answered,
        )
        if b.turns:
            worker.ramp_tokens = rs.RampTokens(*b.turns)
        worker.preference = (worker.entry.zone != router.settings.zone, -worker.tie_hash)
        router.workers[b.worker] = worker
    router.ring.update(list(router.workers.values()))
    router.list_version = 1
    for f in books.functions:
        function = rs.Function(
            f.name, rs.stable_hash(f.name), f.load_us, rs.DecayingRate(RATE_SPAN_US, f.total, f.at)
        )
        function.memory_mb, function.lanes, function.pending_loads = f.memory, f.lanes, f.coming
        function.holders = {name: router.workers[name] for name in f.holders if name in router.workers}
        router.functions[f.name] = function
    for c in books.calls:
        _call(router, c)
    for function_name, group, ids in books.lines:
        queue = deque(router.calls[one] for one in ids if one in router.calls)
        if queue:
            router.queues[function_name, group] = queue
    for timer in books.timers:
        _timer_in(router, timer)


def _call(router: Router, c: CallSnapshot) -> None:
    request = io.Request(
        **{name: c.request[stored] for name, stored in _REQUEST.items() if stored in c.request}
    )
    request_class = router.request_classes.get(request.request_class) or decode_request_class(c.request_class)
    router.expected_latency.setdefault(request_class.name, request_class.target_us / 4)
    function = router.functions.get(request.function)
    if function is None:
        load = request.load_us or 800_000
        function = rs.Function(
            request.function,
            rs.stable_hash(request.function),
            load,
            rs.DecayingRate(RATE_SPAN_US),
            request.memory_mb,
            request.lanes,
        )
        router.functions[request.function] = function
    kinds = f"class {request_class.name}", f"tenant {request.tenant}"
    call = rs.Call(request, request_class, function, c.seq, c.arrived, kinds)
    call.queued, call.ended, call.streaming = c.held, c.ended, c.streaming
    for number, a in enumerate(c.attempts):
        worker = router.workers.get(a.worker)
        if worker is None:  # it was forgotten: nothing of ours is out there
            entry = io.WorkerEntry(a.worker, State.GONE, "", 1.0, 0, "", 0)
            worker = rs.Worker(entry, 0, 0, math.inf, INITIAL_CONCURRENCY)
        attempt = rs.Attempt(call, number, worker, a.sent, a.cold, a.out, a.maybe_ran, a.group, a.before)
        call.attempts.append(attempt)
    router.calls[request.id] = call


def _timer_in(router: Router, timer: TimerSnapshot) -> None:
    act: Any = None
    args: tuple = ()
    match timer.act, timer.about:
        case (("_sweep" | "_watch"), _):
            act = getattr(router, _METHODS[timer.act])
        case (("_finish" | "_half"), [str(call)]) if call in router.calls:
            act, args = getattr(router, _METHODS[timer.act]), (router.calls[call],)
        case "_late", [str(call), int(number)] if call in router.calls:
            act, args = router._check_late_attempt, (router.calls[call].attempts[number],)
        case "_load_failed", [str(name), str(function)] if (
            name in router.workers and function in router.functions
        ):
            worker = router.workers[name]
            act, args = (
                router._load_failed,
                (worker, router.functions[function], worker.pending_loads.get(function)),
            )
        case "look", _:
            act = _nothing
    if act:
        router._timers[timer.token] = (act, args, timer.due)


def _nothing() -> None:
    """A batch to look again in."""
