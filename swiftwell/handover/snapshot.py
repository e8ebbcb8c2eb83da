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
from swiftwell.choice import FIRST_CAP, RATE_US, Router
from swiftwell.interface import Effect, State

# Fields of a request by identifier, with the name that a snapshot stores them under.
_REQUEST = {name: {"request_class": "band"}.get(name, name) for name in io.Request._fields}


class Copies(msgspec.Struct, array_like=True):
    """A belief: copies, MB of one, since and until when (monotonic us)."""

    count: int
    memory: float
    since: int
    fades: int


class WorkerBooks(msgspec.Struct):
    """What is known of a worker."""

    worker: str
    state: str = "Running"
    kind: str = ""
    weight: float = 1.0
    started_us: int = 0
    zone: str = ""
    cell: int = 0
    cap: float = FIRST_CAP
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


class FunctionBooks(msgspec.Struct):
    """What is known of a function."""

    name: str
    load_us: float = 800_000.0
    total: float = 0.0
    at: int = 0
    memory: float = 0.0
    lanes: int = 1
    coming: int = 0
    holders: list[str] = []


class AttemptBooks(msgspec.Struct):
    """One send of a call."""

    worker: str
    sent: int
    cold: bool = False
    out: bool = False
    maybe_ran: bool = True
    before: tuple[float, float] | None = None
    group: str = "all"


class CallBooks(msgspec.Struct):
    """A call, with its request and class as they were told."""

    request: dict[str, Any]
    request_class: dict[str, Any] = msgspec.field(name="band")
    seq: int
    arrived: int
    attempts: list[AttemptBooks] = []
    held: bool = False
    ended: bool = False
    streaming: bool = False


class TimerBooks(msgspec.Struct):
    """A timer: its token, what it does, about what, and when it is due (monotonic us)."""

    token: int
    act: str
    about: list[str | int]
    due: int


class RouterBooks(msgspec.Struct):
    """The whole of a router."""

    workers: list[WorkerBooks] = []
    functions: list[FunctionBooks] = []
    calls: list[CallBooks] = []
    lines: list[tuple[str, str, list[str]]] = []
    timers: list[TimerBooks] = []
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


def _belief(belief: rs.CopyEstimate) -> Copies:
    return Copies(belief.count, belief.memory, belief.since, belief.fades)


def _timer(router: Router, token: int, act: Any, args: tuple, due: int) -> TimerBooks | None:
    """A timer, unless what it is about has ended: then it would do nothing."""
    name = getattr(act, "__name__", "")
    if name in ("_sweep", "_watch"):
        return TimerBooks(token, name, [], due)
    if name in ("_finish", "_half"):
        call = args[0]
        return (
            TimerBooks(token, name, [call.request.id], due)
            if router.calls.get(call.request.id) is call
            else None
        )
    if name == "_late":
        one = args[0]
        live = one.out and not one.call.ended and router.calls.get(one.call.request.id) is one.call
        return TimerBooks(token, name, [one.call.request.id, one.number], due) if live else None
    if name == "_load_failed":
        worker, function, order = args
        live = worker.coming.get(function.name) is order
        return TimerBooks(token, name, [worker.entry.worker, function.name], due) if live else None
    return TimerBooks(token, "look", [], due)


def take(router: Router, calls: bool = True) -> RouterBooks:
    """The books of a router, between two of its `handle`s; without calls, lines and timers unless `calls`."""
    out = RouterBooks(
        taken=list(router.taken.times),
        orders=list(router.orders.times),
        retries=router.retries.left,
        latency=router.latency,
        traffic_total=router.traffic.total,
        traffic_at=router.traffic.at,
        served_total=router.served.total,
        served_at=router.served.at,
        born=router.born,
        warm=router.warm,
        usual=dict(router.usual),
        kind_pace=dict(router.kind_pace),
        usual_held=router.usual_held,
        orders_left=router.orders_left.left,
        median=router.median,
        look_at=router.look_at,
        woke=router.woke,
        loading=router.loading,
        seq=router.seq,
        now=router.now,
    )
    for worker in router.workers.values():
        entry = worker.entry
        out.workers.append(
            WorkerBooks(
                entry.worker,
                entry.state.value,
                entry.kind,
                entry.weight,
                entry.started_us,
                entry.zone,
                entry.cell,
                worker.cap,
                worker.inflight,
                dict(worker.busy),
                {name: _belief(b) for name, b in worker.copies.items()},
                {name: _belief(b) for name, b in worker.coming.items()},
                dict(worker.shut),
                dict(worker.refused),
                list(worker.sends.times),
                worker.quiet_since,
                worker.full_until,
                worker.rest_until,
                worker.failures,
                worker.pace,
                worker.pace_at,
                worker.warm_at,
                worker.answered,
                (worker.turns.come, worker.turns.used, worker.turns.at),
            )
        )
    for f in router.functions.values():
        holders = [name for name, worker in f.holders.items() if router.workers.get(name) is worker]
        out.functions.append(
            FunctionBooks(f.name, f.load_us, f.rate.total, f.rate.at, f.memory, f.lanes, f.coming, holders)
        )
    if not calls:
        return out
    for call in router.calls.values():
        request = {_REQUEST[name]: value for name, value in call.request._asdict().items()}
        attempts = [
            AttemptBooks(a.worker.entry.worker, a.sent, a.cold, a.out, a.maybe_ran, a.before, a.group)
            for a in call.attempts
        ]
        out.calls.append(
            CallBooks(
                request,
                encode_request_class(call.request_class),
                call.seq,
                call.arrived,
                attempts,
                call.held,
                call.ended,
                call.streaming,
            )
        )
    for (function, group), queue in router.lines.items():
        out.lines.append((function, group, [call.request.id for call in queue if call.held]))
    for token, (act, args, due) in router._timers.items():
        if timer := _timer(router, token, act, args, due):
            out.timers.append(timer)
    return out


def put(router: Router, books: RouterBooks) -> None:
    """Give a new router the books of an old one.  Its own settings hold: a class or kind that they lack is
    carried along for the calls that have it."""
    router.taken.times, router.orders.times = deque(books.taken), deque(books.orders)
    router.retries.left = min(books.retries, router.retries.most)
    router.latency = books.latency or router.latency
    router.traffic = rs.DecayingRate(RATE_US, books.traffic_total, books.traffic_at)
    router.served, router.born = rs.DecayingRate(RATE_US, books.served_total, books.served_at), books.born
    router.warm = books.warm
    router.usual |= books.usual
    router.kind_pace = dict(books.kind_pace)
    router.usual_held, router.median = books.usual_held, books.median
    router.orders_left.left = min(books.orders_left, router.orders_left.most)
    router.look_at, router.woke, router.loading = books.look_at, books.woke, books.loading
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
            worker.turns = rs.RampTokens(*b.turns)
        worker.rank = (worker.entry.zone != router.settings.zone, -worker.order)
        router.workers[b.worker] = worker
    router.ring.update(list(router.workers.values()))
    router.listing = 1
    for f in books.functions:
        function = rs.Function(
            f.name, rs.stable_hash(f.name), f.load_us, rs.DecayingRate(RATE_US, f.total, f.at)
        )
        function.memory, function.lanes, function.coming = f.memory, f.lanes, f.coming
        function.holders = {name: router.workers[name] for name in f.holders if name in router.workers}
        router.functions[f.name] = function
    for c in books.calls:
        _call(router, c)
    for function_name, group, ids in books.lines:
        queue = deque(router.calls[one] for one in ids if one in router.calls)
        if queue:
            router.lines[function_name, group] = queue
    for timer in books.timers:
        _timer_in(router, timer)


def _call(router: Router, c: CallBooks) -> None:
    request = io.Request(
        **{name: c.request[stored] for name, stored in _REQUEST.items() if stored in c.request}
    )
    request_class = router.request_classes.get(request.request_class) or decode_request_class(c.request_class)
    router.usual.setdefault(request_class.name, request_class.target_us / 4)
    function = router.functions.get(request.function)
    if function is None:
        load = request.load_us or 800_000
        function = rs.Function(
            request.function,
            rs.stable_hash(request.function),
            load,
            rs.DecayingRate(RATE_US),
            request.memory_mb,
            request.lanes,
        )
        router.functions[request.function] = function
    kinds = f"class {request_class.name}", f"tenant {request.tenant}"
    call = rs.Call(request, request_class, function, c.seq, c.arrived, kinds)
    call.held, call.ended, call.streaming = c.held, c.ended, c.streaming
    for number, a in enumerate(c.attempts):
        worker = router.workers.get(a.worker)
        if worker is None:  # it was forgotten: nothing of ours is out there
            entry = io.WorkerEntry(a.worker, State.GONE, "", 1.0, 0, "", 0)
            worker = rs.Worker(entry, 0, 0, math.inf, FIRST_CAP)
        attempt = rs.Attempt(call, number, worker, a.sent, a.cold, a.out, a.maybe_ran, a.group, a.before)
        call.attempts.append(attempt)
    router.calls[request.id] = call


def _timer_in(router: Router, timer: TimerBooks) -> None:
    act: Any = None
    args: tuple = ()
    match timer.act, timer.about:
        case (("_sweep" | "_watch"), _):
            act = getattr(router, timer.act)
        case (("_finish" | "_half"), [str(call)]) if call in router.calls:
            act, args = getattr(router, timer.act), (router.calls[call],)
        case "_late", [str(call), int(number)] if call in router.calls:
            act, args = router._late, (router.calls[call].attempts[number],)
        case "_load_failed", [str(name), str(function)] if (
            name in router.workers and function in router.functions
        ):
            worker = router.workers[name]
            act, args = router._load_failed, (worker, router.functions[function], worker.coming.get(function))
        case "look", _:
            act = _nothing
    if act:
        router._timers[timer.token] = (act, args, timer.due)


def _nothing() -> None:
    """A batch to look again in."""
