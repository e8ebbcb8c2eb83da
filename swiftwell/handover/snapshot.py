"""Captures the state of a router as a versioned snapshot, and restores a router from one.  No I/O.

A snapshot holds every value of `router_state.RouterState` that a decision depends on, and leaves out what can
be derived from those (preferred workers, ready workers, hashes).  The structs define the stored form: an
unknown field of another version is ignored, and a missing one takes the default given here, which is the
value in a router that has just started.  `rename` gives the stored name of a field where it differs.
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

# Stored name of each field of a request.
_REQUEST_NAMES = {name: {"request_class": "band"}.get(name, name) for name in io.Request._fields}

# Stored name of each timer, by the method of the router that the timer calls.
_TIMER_NAMES = {
    "_sweep": "_sweep",
    "_watch": "_watch",
    "_give_final_answer": "_finish",
    "_check_half_deadline": "_half",
    "_check_late_attempt": "_late",
    "_load_failed": "_load_failed",
}
_TIMER_METHODS = {stored: method for method, stored in _TIMER_NAMES.items()}


class CopiesSnapshot(msgspec.Struct, array_like=True):
    """The estimated copies of a function at a worker.  Times are monotonic us."""

    count: int
    memory_mb: float  # of one copy
    made_at: int
    expires_at: int


class WorkerSnapshot(
    msgspec.Struct,
    rename={
        "concurrency_limit": "cap",
        "inflight_by_function": "busy",
        "pending_loads": "coming",
        "load_backoff": "shut",
        "rejections": "refused",
        "recent_sends": "sends",
        "silent_since": "quiet_since",
        "backoff_until": "rest_until",
        "relative_latency": "pace",
        "relative_latency_at": "pace_at",
        "last_answered_sent_at": "answered",
        "ramp_tokens": "turns",
    },
):
    """The state of a worker."""

    worker: str
    state: str = "Running"
    kind: str = ""
    weight: float = 1.0
    started_us: int = 0
    zone: str = ""
    cell: int = 0
    concurrency_limit: float = INITIAL_CONCURRENCY
    inflight: int = 0
    inflight_by_function: dict[str, int] = {}
    copies: dict[str, CopiesSnapshot] = {}
    pending_loads: dict[str, CopiesSnapshot] = {}
    load_backoff: dict[str, int] = {}
    rejections: dict[str, int] = {}
    recent_sends: list[int] = []
    silent_since: int = 0
    full_until: int = 0
    backoff_until: int = 0
    failures: int = 0
    relative_latency: float = 1.0
    relative_latency_at: int = 0
    warm_at: int = 0
    last_answered_sent_at: int = 0
    ramp_tokens: tuple[float, int, int] | None = None  # issued, used, time; counted while the worker is cold


class FunctionSnapshot(
    msgspec.Struct,
    rename={
        "arrival_total": "total",
        "arrival_at": "at",
        "memory_mb": "memory",
        "pending_loads": "coming",
    },
):
    """The state of a function.  `arrival_total` and `arrival_at` are its decaying arrival rate."""

    name: str
    load_us: float = 800_000.0
    arrival_total: float = 0.0
    arrival_at: int = 0
    memory_mb: float = 0.0
    lanes: int = 1
    pending_loads: int = 0
    holders: list[str] = []


class AttemptSnapshot(
    msgspec.Struct,
    rename={
        "sent_at": "sent",
        "in_flight": "out",
        "may_have_run": "maybe_ran",
        "worker_before_late": "before",
        "repeat_group": "group",
    },
):
    """An attempt of a call."""

    worker: str
    sent_at: int
    cold: bool = False
    in_flight: bool = False
    may_have_run: bool = True
    worker_before_late: tuple[float, float] | None = None
    repeat_group: str = "all"


class CallSnapshot(
    msgspec.Struct, rename={"request_class": "band", "arrived_at": "arrived", "queued": "held"}
):
    """A call with its request and the request class that it arrived with."""

    request: dict[str, Any]
    request_class: dict[str, Any]
    seq: int
    arrived_at: int
    attempts: list[AttemptSnapshot] = []
    queued: bool = False
    ended: bool = False
    streaming: bool = False


class TimerSnapshot(msgspec.Struct, rename={"action": "act", "subject": "about", "due_at": "due"}):
    """A timer: token, stored name of its action, identifiers of its subject, and due time (monotonic us)."""

    token: int
    action: str
    subject: list[str | int]
    due_at: int


class RouterSnapshot(
    msgspec.Struct,
    rename={
        "queues": "lines",
        "recent_arrivals": "taken",
        "recent_orders": "orders",
        "retry_tokens": "retries",
        "mean_latency_us": "latency",
        "arrival_total": "traffic_total",
        "arrival_at": "traffic_at",
        "started_at": "born",
        "warm_count": "warm",
        "expected_latency": "usual",
        "kind_relative_latency": "kind_pace",
        "expected_held": "usual_held",
        "order_tokens": "orders_left",
        "median_relative_latency": "median",
        "recheck_at": "look_at",
        "resumed_at": "woke",
        "pending_load_count": "loading",
    },
):
    """The state of a router."""

    workers: list[WorkerSnapshot] = []
    functions: list[FunctionSnapshot] = []
    calls: list[CallSnapshot] = []
    queues: list[tuple[str, str, list[str]]] = []  # function, bound group, identifiers of calls in order
    timers: list[TimerSnapshot] = []
    recent_arrivals: list[int] = []
    recent_orders: list[int] = []
    retry_tokens: float = 10.0
    mean_latency_us: float = 0.0
    arrival_total: float = 0.0
    arrival_at: int = 0
    served_total: float = 0.0
    served_at: int = 0
    started_at: int = 0
    warm_count: int = 0
    expected_latency: dict[str, float] = {}
    kind_relative_latency: dict[str, float] = {}
    expected_held: float = 0.0
    order_tokens: float = 1.0
    median_relative_latency: float = 1.0
    recheck_at: int = 0
    resumed_at: int = 0
    pending_load_count: int = 0
    seq: int = 0
    now: int = 0


def encode_request_class(request_class: io.RequestClass) -> dict[str, Any]:
    """A request class as plain values."""
    values = {field.name: getattr(request_class, field.name) for field in fields(io.RequestClass)}
    return values | {"effect": request_class.effect.value}


def decode_request_class(values: dict[str, Any]) -> io.RequestClass:
    """The request class that `encode_request_class` encoded; unknown fields are ignored."""
    known = {field.name for field in fields(io.RequestClass)}
    return io.RequestClass(
        **{name: value for name, value in values.items() if name in known}
        | {"effect": Effect(values["effect"])}
    )


def _capture_copies(estimate: rs.CopyEstimate) -> CopiesSnapshot:
    return CopiesSnapshot(estimate.count, estimate.memory_mb, estimate.made_at, estimate.expires_at)


def _capture_timer(router: Router, token: int, action: Any, args: tuple, due_at: int) -> TimerSnapshot | None:
    """A timer, or None if its subject has ended, as the timer would then do nothing."""
    name = _TIMER_NAMES.get(getattr(action, "__name__", ""), "")
    if name in ("_sweep", "_watch"):
        return TimerSnapshot(token, name, [], due_at)
    if name in ("_finish", "_half"):
        call = args[0]
        return (
            TimerSnapshot(token, name, [call.request.id], due_at)
            if router.calls.get(call.request.id) is call
            else None
        )
    if name == "_late":
        attempt = args[0]
        live = (
            attempt.in_flight
            and not attempt.call.ended
            and router.calls.get(attempt.call.request.id) is attempt.call
        )
        return TimerSnapshot(token, name, [attempt.call.request.id, attempt.number], due_at) if live else None
    if name == "_load_failed":
        worker, function, order = args
        live = worker.pending_loads.get(function.name) is order
        return TimerSnapshot(token, name, [worker.entry.worker, function.name], due_at) if live else None
    return TimerSnapshot(token, "look", [], due_at)


def capture(router: Router, calls: bool = True) -> RouterSnapshot:
    """The state of a router; call it between two `handle`s.  Calls, queues and timers only if `calls`."""
    snapshot = RouterSnapshot(
        recent_arrivals=list(router.recent_arrivals.times),
        recent_orders=list(router.recent_orders.times),
        retry_tokens=router.retry_tokens.tokens,
        mean_latency_us=router.mean_latency_us,
        arrival_total=router.arrival_rate.total,
        arrival_at=router.arrival_rate.at,
        served_total=router.served_rate.total,
        served_at=router.served_rate.at,
        started_at=router.started_at,
        warm_count=router.warm_count,
        expected_latency=dict(router.expected_latency),
        kind_relative_latency=dict(router.kind_relative_latency),
        expected_held=router.expected_held,
        order_tokens=router.order_tokens.tokens,
        median_relative_latency=router.median_relative_latency,
        recheck_at=router.recheck_at,
        resumed_at=router.resumed_at,
        pending_load_count=router.pending_load_count,
        seq=router.seq,
        now=router.now,
    )
    for worker in router.workers.values():
        entry = worker.entry
        snapshot.workers.append(
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
                {name: _capture_copies(estimate) for name, estimate in worker.copies.items()},
                {name: _capture_copies(estimate) for name, estimate in worker.pending_loads.items()},
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
    for function in router.functions.values():
        holders = [name for name, worker in function.holders.items() if router.workers.get(name) is worker]
        snapshot.functions.append(
            FunctionSnapshot(
                function.name,
                function.load_us,
                function.arrival_rate.total,
                function.arrival_rate.at,
                function.memory_mb,
                function.lanes,
                function.pending_loads,
                holders,
            )
        )
    if not calls:
        return snapshot
    for call in router.calls.values():
        request = {_REQUEST_NAMES[name]: value for name, value in call.request._asdict().items()}
        attempts = [
            AttemptSnapshot(
                attempt.worker.entry.worker,
                attempt.sent_at,
                attempt.cold,
                attempt.in_flight,
                attempt.may_have_run,
                attempt.worker_before_late,
                attempt.repeat_group,
            )
            for attempt in call.attempts
        ]
        snapshot.calls.append(
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
    for (function_name, group), queue in router.queues.items():
        snapshot.queues.append((function_name, group, [call.request.id for call in queue if call.queued]))
    for token, (action, args, due_at) in router._timers.items():
        if timer := _capture_timer(router, token, action, args, due_at):
            snapshot.timers.append(timer)
    return snapshot


def restore(router: Router, snapshot: RouterSnapshot) -> None:
    """Restore a new router from a snapshot.

    The settings of the new router hold.  A request class or worker kind that they lack is kept for the calls
    that have it.
    """
    router.recent_arrivals.times, router.recent_orders.times = (
        deque(snapshot.recent_arrivals),
        deque(snapshot.recent_orders),
    )
    router.retry_tokens.tokens = min(snapshot.retry_tokens, router.retry_tokens.capacity)
    router.mean_latency_us = snapshot.mean_latency_us or router.mean_latency_us
    router.arrival_rate = rs.DecayingRate(RATE_SPAN_US, snapshot.arrival_total, snapshot.arrival_at)
    router.served_rate, router.started_at = (
        rs.DecayingRate(RATE_SPAN_US, snapshot.served_total, snapshot.served_at),
        snapshot.started_at,
    )
    router.warm_count = snapshot.warm_count
    router.expected_latency |= snapshot.expected_latency
    router.kind_relative_latency = dict(snapshot.kind_relative_latency)
    router.expected_held, router.median_relative_latency = (
        snapshot.expected_held,
        snapshot.median_relative_latency,
    )
    router.order_tokens.tokens = min(snapshot.order_tokens, router.order_tokens.capacity)
    router.recheck_at, router.resumed_at, router.pending_load_count = (
        snapshot.recheck_at,
        snapshot.resumed_at,
        snapshot.pending_load_count,
    )
    router.seq, router.now = max(1, snapshot.seq), snapshot.now
    memory = dict(router.settings.kind_memory_mb)
    for stored in snapshot.workers:
        entry = io.WorkerEntry(
            stored.worker,
            State(stored.state),
            stored.kind,
            stored.weight,
            stored.started_us,
            stored.zone,
            stored.cell,
        )
        worker = rs.Worker(
            entry,
            rs.stable_hash(stored.worker),
            rs.stable_hash(f"{stored.worker}/{router.settings.position}"),
            memory.get(stored.kind, math.inf),
            stored.concurrency_limit,
            stored.inflight,
            dict(stored.inflight_by_function),
            {
                name: rs.CopyEstimate(copies.count, copies.memory_mb, copies.made_at, copies.expires_at)
                for name, copies in stored.copies.items()
            },
            {
                name: rs.CopyEstimate(copies.count, copies.memory_mb, copies.made_at, copies.expires_at)
                for name, copies in stored.pending_loads.items()
            },
            dict(stored.load_backoff),
            dict(stored.rejections),
            rs.SlidingWindow(deque(stored.recent_sends)),
            stored.silent_since,
            stored.full_until,
            stored.backoff_until,
            stored.failures,
            stored.relative_latency,
            stored.relative_latency_at,
            stored.warm_at,
            stored.last_answered_sent_at,
        )
        if stored.ramp_tokens:
            worker.ramp_tokens = rs.RampTokens(*stored.ramp_tokens)
        worker.preference = (worker.entry.zone != router.settings.zone, -worker.tie_hash)
        router.workers[stored.worker] = worker
    router.ring.update(list(router.workers.values()))
    router.list_version = 1
    for stored_function in snapshot.functions:
        function = rs.Function(
            stored_function.name,
            rs.stable_hash(stored_function.name),
            stored_function.load_us,
            rs.DecayingRate(RATE_SPAN_US, stored_function.arrival_total, stored_function.arrival_at),
        )
        function.memory_mb, function.lanes, function.pending_loads = (
            stored_function.memory_mb,
            stored_function.lanes,
            stored_function.pending_loads,
        )
        function.holders = {
            name: router.workers[name] for name in stored_function.holders if name in router.workers
        }
        router.functions[stored_function.name] = function
    for stored_call in snapshot.calls:
        _restore_call(router, stored_call)
    for function_name, group, call_ids in snapshot.queues:
        queue = deque(router.calls[call_id] for call_id in call_ids if call_id in router.calls)
        if queue:
            router.queues[function_name, group] = queue
    for timer in snapshot.timers:
        _restore_timer(router, timer)


def _restore_call(router: Router, stored: CallSnapshot) -> None:
    request = io.Request(
        **{
            name: stored.request[stored_name]
            for name, stored_name in _REQUEST_NAMES.items()
            if stored_name in stored.request
        }
    )
    request_class = router.request_classes.get(request.request_class) or decode_request_class(
        stored.request_class
    )
    router.expected_latency.setdefault(request_class.name, request_class.target_us / 4)
    function = router.functions.get(request.function)
    if function is None:
        load_us = request.load_us or 800_000
        function = rs.Function(
            request.function,
            rs.stable_hash(request.function),
            load_us,
            rs.DecayingRate(RATE_SPAN_US),
            request.memory_mb,
            request.lanes,
        )
        router.functions[request.function] = function
    rejection_keys = f"class {request_class.name}", f"tenant {request.tenant}"
    call = rs.Call(request, request_class, function, stored.seq, stored.arrived_at, rejection_keys)
    call.queued, call.ended, call.streaming = stored.queued, stored.ended, stored.streaming
    for number, stored_attempt in enumerate(stored.attempts):
        worker = router.workers.get(stored_attempt.worker)
        if worker is None:  # the router had removed the worker: none of its calls is in flight there
            entry = io.WorkerEntry(stored_attempt.worker, State.GONE, "", 1.0, 0, "", 0)
            worker = rs.Worker(entry, 0, 0, math.inf, INITIAL_CONCURRENCY)
        attempt = rs.Attempt(
            call,
            number,
            worker,
            stored_attempt.sent_at,
            stored_attempt.cold,
            stored_attempt.in_flight,
            stored_attempt.may_have_run,
            stored_attempt.repeat_group,
            stored_attempt.worker_before_late,
        )
        call.attempts.append(attempt)
    router.calls[request.id] = call


def _restore_timer(router: Router, timer: TimerSnapshot) -> None:
    action: Any = None
    args: tuple = ()
    match timer.action, timer.subject:
        case (("_sweep" | "_watch"), _):
            action = getattr(router, _TIMER_METHODS[timer.action])
        case (("_finish" | "_half"), [str(call_id)]) if call_id in router.calls:
            action, args = getattr(router, _TIMER_METHODS[timer.action]), (router.calls[call_id],)
        case "_late", [str(call_id), int(number)] if call_id in router.calls:
            action, args = router._check_late_attempt, (router.calls[call_id].attempts[number],)
        case "_load_failed", [str(name), str(function)] if (
            name in router.workers and function in router.functions
        ):
            worker = router.workers[name]
            action, args = (
                router._load_failed,
                (worker, router.functions[function], worker.pending_loads.get(function)),
            )
        case "look", _:
            action = _no_action
    if action:
        router._timers[timer.token] = (action, args, timer.due_at)


def _no_action() -> None:
    """Action of a recheck timer: the batch that the timer causes rechecks the queues."""
