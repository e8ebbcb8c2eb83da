"""The engine: hosts `choice.Router` (the "module" below), the ledger and the timers.  No I/O.

`step(now_us, wall_us, inputs)` returns the outputs that the shell has to execute.  The module ranks workers,
queues calls and retries them.  The engine decides which trigger may become a call at all (ledger, bounds,
time left), ensures that every trigger gets one final answer whatever the module does, and recovers the module
when it fails.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Protocol

import xxhash

from swiftwell import interface as io
from swiftwell.choice import Router
from swiftwell.discovery import trust
from swiftwell.discovery.roster import Roster
from swiftwell.discovery.worker_leases import WorkerLeases
from swiftwell.fronts import trigger as tr
from swiftwell.fronts.trigger import Answer, Kind, Ran, Trigger
from swiftwell.gateway import ports, worker_views
from swiftwell.gateway.calls import Attempt, Call, Waiter
from swiftwell.gateway.effects import Entry, Ledger, Record, Verdict
from swiftwell.gateway.evidence import Evidence
from swiftwell.gateway.failures import place_of
from swiftwell.gateway.orders import Order
from swiftwell.gateway.timer_wheel import TimerWheel
from swiftwell.handover import snapshot
from swiftwell.interface import Effect, Status
from swiftwell.router_state import ALL

# Ticks before its deadline at which the engine answers a call that the module has not answered; the module
# answers at two.
GUARD_TICKS = 1
MAX_WAITERS = 16  # triggers that may share one running call: a publisher's retries, with room to spare
MAX_CONSECUTIVE_FAILURES = 3  # failures of the module in a row after which its state is rebuilt
MAX_FAILURES_OF_CALL = 2  # failures that involve a call, after which it is answered instead of resubmitted
STREAM_TIMEOUT_US = 60_000_000  # time that a streamed answer may take once it has begun
# Time until a query counts as unanswered: a stalled worker needs longer than the round trip of a LAN.
QUERY_TIMEOUT_US = 1_000_000
# Calls may all have the same deadline: ending so many takes some 10 ms, and others are served in between.
MAX_TIMERS_PER_STEP = 150
# Timers later than this go to the module in one batch with the other events, so that it sees the gap.
LATE_TIMER_US = 40_000


class Observer(Protocol):
    """Observes calls and may reject triggers before the module sees them (implemented in `sites`)."""

    def reject_for_us(self, trigger: Trigger) -> int:
        """0 to accept the trigger, else the time in us after which its publisher may retry."""
        ...

    def on_attempt_end(self, worker: str, request_class: str, status: Status, latency_us: int) -> None:
        """An attempt has ended."""
        ...

    def on_answer(self, request_class: str, tenant: str, in_time: bool) -> None:
        """An accepted call has its final answer."""
        ...


class Engine:
    """Handles the calls of one gateway.  `settings` is passed to the module unchanged.

    `margin_us`: time subtracted from each trigger's time left, for the way of the answer back.  `max_open`:
    limit of open calls.  `ledger`: None where publishers name each retry anew and no disk survives, so that
    no key needs to outlive its call; whether a call may run twice then depends on the module and on what the
    sockets prove.  `router_factory`: builds the module's router from the settings and a seed.
    """

    def __init__(
        self,
        settings: io.Settings,
        ledger: Ledger | None,
        *,
        seed: int = 1,
        margin_us: int = 5_000,
        max_open: int = 20_000,
        router_factory: Callable[[io.Settings, int], Router] = Router,
        leases: WorkerLeases | None = None,
    ) -> None:
        self._settings, self._seed, self._make_router, self._leases = settings, seed, router_factory, leases
        self._evidence: Evidence | None = None
        if leases is not None:  # its events come before those that are decided by them
            self._evidence = Evidence(leases, lambda event: self._events.append(event), self._log)
        self.observer: Observer | None = None
        self._retry_after_us = 0  # when the publisher of the current trigger may retry, if it is shed
        self._visible_workers: dict[str, frozenset[str]] = {}  # by site; see `set_visible_workers`
        self._divisor_expires_us = self._next_divisor = 0  # see `set_budget_divisor`
        self._margin_us, self._max_open = margin_us, max_open
        self._request_classes = {request_class.name: request_class for request_class in settings.classes}
        self.ledger = ledger
        self.router = self._new_router()
        self.roster = Roster(settings.routers)
        self._roster_timer = 0
        self._roster_timer_us: int | None = None
        self._timer_wheel: TimerWheel | None = None
        self._now_us = self._wall_us = 0
        self._outputs: list[ports.Output] = []
        self._calls: dict[str, Call] = {}
        self._calls_by_source: dict[str, dict[str, None]] = {}  # ids of calls, as ordered sets
        self._calls_by_write: dict[int, Call] = {}  # calls whose intent is not durable yet
        self._orders: dict[int, Order] = {}
        # Numbers of the last call or load order and of the last write; failures of the module in a row.
        self._last_number = self._last_write = self._consecutive_failures = 0
        self._attempts_in_flight = 0
        self._router_generation = 0  # rises with each rebuilt router: timers of an earlier one are ignored
        # Workers that are known from the saved state of a killed process only.
        self._unconfirmed_workers: set[str] = set()
        self._rebuilding = self._stopping = False
        self._events: list[io.Event] = []
        self.outcomes: Counter[str] = Counter()  # of attempts, load orders and queries, by status
        self.counts: dict[str, int] = dict.fromkeys(
            (
                "calls",
                "served",
                "refused",
                "failed",
                "joined",
                "told",
                "left",
                "starts",
                "orders",
                "questions",
                "faults",
                "rebuilt",
            ),
            0,
        )

    def _new_router(self) -> Router:
        router = self._make_router(self._settings, self._seed)
        router.leases = self._leases
        return router

    # Called by the shell.

    def step(self, now_us: int, wall_us: int, inputs: Iterable[ports.Input] = ()) -> list[ports.Output]:
        """Handle the inputs and the timers that are due; return the outputs in the order of execution."""
        if self._timer_wheel is None:
            self._timer_wheel = TimerWheel(now_us)
        self._now_us, self._wall_us, self._outputs = max(now_us, self._now_us), wall_us, []
        if self._divisor_expires_us and self._now_us >= self._divisor_expires_us:
            self.set_budget_divisor(self._next_divisor)
        self._run_guarded(self._advance_evidence)
        for input_ in inputs:
            self._run_guarded(self._handle_input, input_)
        self._run_guarded(self._advance_evidence)
        due = self._timer_wheel.due(self._now_us, MAX_TIMERS_PER_STEP)
        timers = [
            io.Timer(item[1])
            for item in due
            if isinstance(item, tuple) and item[0] == self._router_generation
        ]
        earliest_us = min((self.router.due_at(event) for event in timers), default=self._now_us)
        # One batch: the module recognises a pause of this process by a late timer in its batch.
        if self._now_us - earliest_us > LATE_TIMER_US:
            batch, self._events = self._events + timers, []
            self._call_router(batch)
        else:
            self._events += timers
        self._drain_events()
        for item in due:
            if not isinstance(item, tuple):
                self._run_guarded(item)
        self._drain_events()
        return self._outputs

    def _advance_evidence(self) -> None:
        if self._evidence:
            self._evidence.advance(self._now_us)

    def _run_guarded(self, function: Callable[..., None], *inputs: ports.Input) -> None:
        """Run a handler so that its failure stays with its own input, timer or action.

        An exception out of `step` would lose all other inputs of the step and all outputs computed before it.
        """
        try:
            function(*inputs)
        except Exception as error:
            self.counts["faults"] += 1
            name = type(inputs[0]).__name__ if inputs else getattr(function, "__name__", "timer")
            text = f"{type(error).__name__}: {error}"
            self._log("error", "engine-failed", input=name, error=text, where=place_of(error))
            for input_ in inputs:
                self._answer_failed(input_)

    def _answer_failed(self, input_: ports.Input | io.Action) -> None:
        """Give the trigger or call of a failed input its final answer; a new trigger may have run."""
        if isinstance(input_, ports.Arrive):
            trigger = input_.trigger
            ids = self._calls_by_source.get(trigger.source, ())
            call = next((self._calls[id_] for id_ in ids if self._calls[id_].trigger is trigger), None)
            replied = any(
                isinstance(output, ports.Reply) and output.trigger is trigger for output in self._outputs
            )
            if call is None and not replied:
                self._reply(trigger, Answer(Kind.FAILED, tr.MAY_HAVE_RUN))
        elif isinstance(input_, (ports.AttemptEnd, io.Send)):
            call = self._calls.get(input_.id)
            if call and isinstance(input_, ports.AttemptEnd) and input_.number < len(call.attempts):
                attempt = call.attempts[input_.number]
                self._attempts_in_flight -= attempt.in_flight
                attempt.in_flight = False
                outcome = input_.id, input_.number, attempt.worker, Status.ERROR, 0, True, 0, ()
                self._events.append(io.Outcome(*outcome))
        else:
            return
        if call:
            self._answer_without_module(call)
            self._drop_if_ended(call)

    def _drain_events(self) -> None:
        """Pass the queued events to the module one at a time, so that a failure concerns one event only."""
        while self._events:
            event = self._events.pop(0)
            self._call_router([event])

    def next_us(self) -> int | None:
        """When `step` must be called next if no input comes before; None without a timer."""
        return self._timer_wheel.next_us() if self._timer_wheel else None

    @property
    def open(self) -> int:
        """Number of calls without a final answer or with attempts in flight."""
        return len(self._calls)

    def load(self) -> tuple[int, int]:
        """Attempts in flight, and calls that wait for one."""
        # A running count: fronts call this twenty times a second, with thousands of calls open.
        return self._attempts_in_flight, max(0, len(self._calls) - self._attempts_in_flight)

    # Inputs.

    def _handle_input(self, input_: ports.Input) -> None:
        match input_:
            case ports.Arrive():
                self._on_arrive(input_.trigger, input_.at_us or self._now_us)
            case ports.AttemptEnd():
                self._on_attempt_end(input_)
            case ports.FirstByte():
                self._on_first_byte(input_)
            case ports.Durable():
                self._on_durable(input_.number)
            case ports.OrderEnd():
                self._on_order_end(input_)
            case ports.WorkerConnected() | ports.WorkerDisconnected():
                if self._evidence:
                    self._evidence.connection(input_, self._now_us)
            case ports.Copy():
                self._events.append(io.Loaded(input_.worker, input_.function, Status.OK, 0, input_.copies))
            case ports.Listed():
                update = self.roster.apply_list(self._now_us, input_.members)
                self._events.append(self._present(update))
                self._forget_unlisted(input_.members)
                self._step_roster()
            case ports.Saved():
                self._emit_members(self.roster.add_saved(self._now_us, input_.entries))
                self._step_roster()
            case ports.Asked():
                update = self.roster.query_ended(
                    self._now_us, input_.worker, input_.draining, input_.started_us, input_.answered
                )
                self._emit_members(update)
                self._step_roster()
            case ports.Gone():
                self._on_peer_gone(input_.source)
            case ports.LedgerDown():
                self._on_ledger_down(input_.reason)
            case ports.Stop():
                self._stopping = True
                if input_.deadline_us:
                    self._timer_wheel.add(max(input_.deadline_us, self._now_us + 1), self._answer_all)

    def _on_arrive(self, trigger: Trigger, at_us: int) -> None:
        self.counts["calls"] += 1
        request_class = self._request_classes.get(trigger.request_class)
        left_us = trigger.left_us - self._margin_us - max(0, self._now_us - at_us)
        if request_class is None:
            return self._refuse(trigger, tr.UNKNOWN_CLASS)
        rejection = trigger.rejection or (
            tr.NO_TIME if left_us <= 0 else tr.STOPPING if self._stopping else ""
        )
        self._retry_after_us = 0
        if not rejection and self.observer and (wait_us := self.observer.reject_for_us(trigger)):
            rejection, self._retry_after_us = tr.SHED, wait_us
        self._last_number += 1
        call = Call(f"c{self._last_number}", trigger, request_class, self._now_us + left_us, False)
        intent = None
        if request_class.effect is not Effect.SAFE and self.ledger is not None:
            # The ledger comes before any other reason to reject: a key that has run must not be refused.
            if (intent := self._claim(call, rejection)) is None:
                return None
        elif rejection:
            return self._refuse(trigger, rejection)
        if len(self._calls) >= self._max_open:
            answer = (
                Answer(Kind.REFUSED, tr.TOO_MANY)
                if self._may_refuse(call)
                else self._may_have_run_answer(call)
            )
            return self._settle(call, answer, [Waiter(trigger)])
        self._calls[call.id] = call
        self._add_waiter(call, trigger, left_us)
        guard_us = call.deadline_us - GUARD_TICKS * self._settings.tick_us
        call.timer = self._timer_wheel.add(guard_us, lambda: self._on_call_deadline(call))
        if intent:
            call.pending_write = self._write(self.ledger.record(trigger.tenant, trigger.key, intent))
            self._calls_by_write[call.pending_write] = call
        else:
            self._outputs.append(ports.Accepted(trigger))
            self._submit(call)
        return None

    def _claim(self, call: Call, rejection: str) -> Entry | None:
        """Claim the trigger's key in the ledger; None if the trigger was answered or joined a running call.

        `rejection`: the reason for which the call may not run; the ledger is then only looked up.
        """
        trigger, request_class = call.trigger, call.request_class
        if not trigger.key:
            self._refuse(trigger, tr.NO_KEY)
            return None
        request = b"\0".join((trigger.request_class.encode(), trigger.function.encode(), trigger.payload))
        dedup_window_us = (
            request_class.memory_us
            if request_class.effect is Effect.KEYED and request_class.scope == "all"
            else 0
        )
        verdict, found = self.ledger.claim(
            self._wall_us,
            trigger.tenant,
            trigger.key,
            xxhash.xxh3_128_digest(request),
            trigger.maybe_seen_elsewhere,
            request_class.effect,
            call.id,
            dedup_window_us,
            not rejection,
        )
        match verdict:
            case Verdict.RUN if isinstance(found, Entry):
                call.claimed, call.may_have_run_before = True, found.first_us < self._wall_us
                return found
            case Verdict.JOIN if isinstance(found, str):
                self._join(self._calls[found], trigger)
            case Verdict.ALREADY_DONE if isinstance(found, Entry):
                self.counts["told"] += 1
                self._reply(trigger, Answer(Kind.SERVED, tr.OK, found.body, worker=found.worker))
            case Verdict.MAY_HAVE_RUN:
                self._reply(trigger, Answer(Kind.FAILED, tr.MAY_HAVE_RUN))
            case Verdict.CONFLICT:
                self._refuse(trigger, tr.KEY_REUSED)
            case Verdict.NOT_NOW:
                self._refuse(trigger, rejection)
            case _:
                self._refuse(trigger, tr.LEDGER)
        return None

    def _join(self, call: Call, trigger: Trigger) -> None:
        if len(call.waiters) >= MAX_WAITERS or trigger.left_us <= self._margin_us:
            return self._reply(trigger, self._may_have_run_answer(call))  # not refused, as it is running
        self.counts["joined"] += 1
        self._add_waiter(call, trigger, trigger.left_us - self._margin_us)
        if not call.pending_write:
            self._outputs.append(ports.Accepted(trigger))
        return None

    def _add_waiter(self, call: Call, trigger: Trigger, left_us: int) -> None:
        """Add a trigger to those that wait for a call; its own deadline may be before the call's."""
        waiter = Waiter(trigger)
        if self._now_us + left_us < call.deadline_us:
            waiter.deadline_us = self._now_us + left_us - GUARD_TICKS * self._settings.tick_us
            waiter.timer = self._timer_wheel.add(
                waiter.deadline_us, lambda: self._on_waiter_deadline(call, waiter)
            )
        call.waiters.append(waiter)
        self._calls_by_source.setdefault(trigger.source, {})[call.id] = None

    def _on_waiter_deadline(self, call: Call, waiter: Waiter) -> None:
        """Answer a trigger that joined a call and whose own deadline is before the call's."""
        if waiter in call.waiters:
            call.waiters.remove(waiter)
            self._forget_source(call, waiter)
            safe = call.request_class.effect is Effect.SAFE
            self._reply(
                waiter.trigger, Answer(Kind.REFUSED, tr.NO_TIME) if safe else self._may_have_run_answer(call)
            )

    def _on_call_deadline(self, call: Call) -> None:
        """Answer a call that the module has not answered by its deadline (rule 1)."""
        if not call.settled and not call.orphan and not call.pending_write:
            self._log("warning", "guard", call=call.id, function=call.trigger.function)
        self._answer_without_module(call)

    def _answer_all(self) -> None:
        """Answer all open calls with what is known now, as the process ends."""
        for call in list(self._calls.values()):
            self._run_guarded(lambda call=call: self._answer_without_module(call))

    def _may_have_run_answer(self, call: Call) -> Answer:
        return Answer(Kind.FAILED, tr.MAY_HAVE_RUN, attempts=len(call.attempts))

    def _may_refuse(self, call: Call) -> bool:
        """Whether the call may be refused: nothing of it or of its key ran, so that a retry is harmless."""
        return call.request_class.effect is Effect.SAFE or (
            call.ran() is Ran.NEVER and not call.may_have_run_before
        )

    def _answer_without_module(self, call: Call) -> None:
        """Answer a call without the module: with a refusal only if nothing of it ran."""
        if call.settled:
            return
        reason = tr.LEDGER if call.pending_write else tr.NOT_RUN
        self._settle(
            call, Answer(Kind.REFUSED, reason) if self._may_refuse(call) else self._may_have_run_answer(call)
        )
        self._detach(call)

    def _detach(self, call: Call) -> None:
        """Take a call away from the module; the engine keeps it while attempts are in flight."""
        if call.pending_write:
            self._calls_by_write.pop(call.pending_write, None)
            call.pending_write = 0
        elif not call.orphan:
            # If the client sent its request and closed within one step, the module never learns of the call.
            not_submitted = [e for e in self._events if isinstance(e, io.Request) and e.id == call.id]
            for event in not_submitted:
                self._events.remove(event)
            if not not_submitted:
                self._events.append(io.Left(call.id))
        call.orphan = True
        self._withdraw_attempts(call)
        self._drop_if_ended(call)

    def _withdraw_attempts(self, call: Call) -> None:
        """Withdraw the attempts in flight, as nobody waits for their answers.

        The module only learns that the client left, and the link holds what the module sent: without this, an
        attempt that waits for a late connection is sent up to the connect timeout later, and up to twice that
        if it moves on to another connection.
        """
        for number, attempt in enumerate(call.attempts):
            if attempt.in_flight:
                self._outputs.append(ports.Withdraw(call.id, number))

    def _on_durable(self, number: int) -> None:
        for write in [n for n in self._calls_by_write if n <= number]:
            call = self._calls_by_write.pop(write)
            call.pending_write = 0
            self._outputs.extend(ports.Accepted(waiter.trigger) for waiter in call.waiters)
            self._submit(call)

    def _submit(self, call: Call) -> None:
        """Submit a call to the module."""
        trigger = call.trigger
        self._events.append(
            io.Request(
                id=call.id, request_class=trigger.request_class, tenant=trigger.tenant,
                function=trigger.function, left_us=call.deadline_us - self._now_us, hint_us=trigger.hint_us,
                memory_mb=trigger.memory_mb, lanes=max(1, trigger.lanes), load_us=trigger.load_us,
                repeated=trigger.redelivered,
            )
        )  # fmt: skip

    def _on_attempt_end(self, end: ports.AttemptEnd) -> None:
        call = self._calls.get(end.id)
        if call is None or end.number >= len(call.attempts) or not call.attempts[end.number].in_flight:
            return
        attempt = call.attempts[end.number]
        self._timer_wheel.cancel(attempt.timer)
        attempt.in_flight, attempt.ran = False, end.ran
        self._attempts_in_flight -= 1
        self.outcomes[f"attempt/{end.status.name.lower()}"] += 1
        if end.status is not Status.OK:
            self._log(
                "info", "attempt-ended", request=call.trigger.key, number=end.number, worker=attempt.worker,
                how=end.status.name.lower(), ran=end.ran.name.lower(), ms=end.latency_us // 1_000,
            )  # fmt: skip
        if self.observer:
            self.observer.on_attempt_end(attempt.worker, call.request_class.name, end.status, end.latency_us)
        if (end.ran is Ran.NEVER) != (end.status in io.NEVER_RAN):
            raise AssertionError(f"{end.status!r} does not agree with {end.ran!r}")
        self._correct_roster(attempt.worker, end)
        if self._evidence:
            self._evidence.call_ended(attempt.worker, end)
        if end.status is Status.OK and not call.settled:
            body, attempts = end.body, len(call.attempts)
            self._settle(call, Answer(Kind.SERVED, tr.OK, body, worker=attempt.worker, attempts=attempts))
        elif end.too_large and not call.settled:
            # It ran, and a further attempt would not give a smaller answer.
            self._settle(call, Answer(Kind.FAILED, tr.TOO_LARGE, worker=attempt.worker))
        elif call.streaming and not call.settled:
            self._settle(call, self._may_have_run_answer(call))
        details = min(end.copy_state, 4) + 8 * min(end.function_calls_waiting, 30)
        report = (("rif", end.worker_calls_held),) if end.worker_calls_held >= 0 else ()
        self._events.append(
            io.Outcome(
                call.id, end.number, attempt.worker, end.status, end.latency_us, call.settled, details, report
            )
        )
        if call.orphan and not call.has_attempts_in_flight():
            self._answer_without_module(call)  # else it would be answered at its deadline only
        self._drop_if_ended(call)

    def _on_first_byte(self, first: ports.FirstByte) -> None:
        """A streamed answer has begun: bind the call to this attempt and to the time limit of streams."""
        call = self._calls.get(first.id)
        if (
            call is None
            or call.settled
            or not call.request_class.streamed
            or first.number >= len(call.attempts)
        ):
            return
        attempt = call.attempts[first.number]
        for timer in (call.timer, attempt.timer, *(waiter.timer for waiter in call.waiters)):
            self._timer_wheel.cancel(timer)
        number, call.streaming = first.number, True
        attempt.deadline_us = deadline_us = self._now_us + STREAM_TIMEOUT_US
        attempt.timer = self._timer_wheel.add(
            deadline_us, lambda: self._abandon(call, number, Status.TIMEOUT)
        )
        call.timer = self._timer_wheel.add(
            deadline_us + STREAM_TIMEOUT_US, lambda: self._on_call_deadline(call)
        )
        self._events.append(io.First(first.id, first.number, attempt.worker))

    def _on_order_end(self, end: ports.OrderEnd) -> None:
        order = self._orders.pop(end.number, None)
        if order is None:
            return
        worker, function, is_query = order.worker, order.function, order.is_query
        self._timer_wheel.cancel(order.timer)
        self._correct_roster(worker, end)
        self.outcomes[f"{'question' if is_query else 'order'}/{end.status.name.lower()}"] += 1
        if self._evidence:
            self._evidence.order_ended(worker, end, is_query, self._now_us)
        if end.status is not Status.OK:
            event, how = "question-ended" if is_query else "order-ended", end.status.name.lower()
            self._log("info", event, worker=worker, function=function, how=how, copies=end.copies)
        self._events.append(
            io.Loaded(worker, function, end.status, self._now_us - order.sent_us, end.copies, is_query)
        )

    def _forget_unlisted(self, members: io.Members) -> None:
        """With the first full list, forget the workers of a restored state that are no longer listed."""
        if self._unconfirmed_workers and members.kind is io.ListKind.FULL:
            gone = self._unconfirmed_workers - self.roster.known.keys()
            entries = tuple(replace(self.router.workers[w].entry, state=io.State.GONE) for w in sorted(gone))
            self._events.append(io.Members(io.ListKind.DELTA, entries))
            self._unconfirmed_workers = set()

    def _correct_roster(self, worker: str, end: ports.AttemptEnd | ports.OrderEnd) -> None:
        """Correct the roster by what a worker reports of itself."""
        answered = end.answered or end.draining
        if answered or end.status is Status.CONNECT_FAILED:
            self._emit_members(
                self.roster.record_report(self._now_us, worker, end.draining, end.started_us, answered)
            )

    def _emit_members(self, members: io.Members | None) -> None:
        """Queue a change of the worker list for the module."""
        if members:
            for entry in members.entries[:5]:
                self._log("info", "worker", worker=entry.worker, state=entry.state.name.lower())
            self._events.append(self._present(members))

    def set_visible_workers(self, sites: dict[str, frozenset[str]]) -> None:
        """At these sites, present all ready workers but the named ones to the module as draining."""
        listed = (known.entry for known in self.roster.known.values())
        entries = worker_views.changed_by_visibility(listed, self._visible_workers, sites)
        self._visible_workers = sites
        if entries:
            self._events.append(self._present(io.Members(io.ListKind.DELTA, entries)))

    def _present(self, members: io.Members) -> io.Members:
        """A change of the worker list as the module gets it."""
        visible = worker_views.hide_workers(members, self._visible_workers)
        return worker_views.keep_known_starts(visible, self.router.workers)

    def _step_roster(self) -> None:
        """Probe the workers that the roster wants probed, and set a timer for its next step."""
        self._emit_members(self.roster.expire_unlisted(self._now_us))
        for worker in self.roster.due_queries(self._now_us):
            self._outputs.append(ports.Ask(worker, trust.QUERY_TIMEOUT_US))
        due_us = self.roster.next_due_us(self._now_us)
        if due_us is not None and (self._roster_timer_us is None or due_us < self._roster_timer_us):
            self._timer_wheel.cancel(self._roster_timer)
            self._roster_timer_us = due_us
            self._roster_timer = self._timer_wheel.add(max(due_us, self._now_us + 1), self._roster_due)

    def _roster_due(self) -> None:
        self._roster_timer_us = None
        self._step_roster()

    def _on_peer_gone(self, source: str) -> None:
        """A publisher left: the module ends calls nobody waits for any more; their effects stay recorded."""
        for id_ in list(self._calls_by_source.pop(source, ())):
            call = self._calls.get(id_)
            if call is None:
                continue
            for waiter in [w for w in call.waiters if w.trigger.source == source]:
                call.waiters.remove(waiter)
                self._timer_wheel.cancel(waiter.timer)
                self.counts["left"] += 1
            if not call.waiters and not call.settled:
                self._detach(call)

    def _on_ledger_down(self, reason: str) -> None:
        if self.ledger is not None:
            self.ledger.closed_reason = reason
        self._log("error", "ledger-down", why=reason)
        for call in list(self._calls_by_write.values()):
            self._answer_without_module(call)

    # The module.

    def _call_router(self, events: list[io.Event]) -> None:
        """Pass events to the module and execute its actions."""
        if not events:
            return
        try:
            actions = self.router.handle(self._now_us, events)
            self._consecutive_failures = 0
        except Exception as error:  # whatever it is, other calls must continue
            actions = self._on_module_failure(events, error)
        for action in actions:
            self._run_guarded(self._execute, action)

    def _on_module_failure(self, events: list[io.Event], error: Exception) -> list[io.Action]:
        """The module failed: execute what it had decided before, and answer the calls concerned.

        If its state is broken it fails on every event, and all calls would be answered so.  Then its state is
        rebuilt from what the engine knows.
        """
        self._consecutive_failures += 1
        self.counts["faults"] += 1
        text = f"{type(error).__name__}: {error}"
        names = ",".join(type(event).__name__ for event in events[:4])
        self._log("error", "module-failed", error=text, where=place_of(error), events=names)
        salvaged = [
            action for action in self.router.actions if isinstance(action, (io.Send, io.SetTimer, io.Load))
        ]
        concerned = [self._calls[event.id] for event in events if getattr(event, "id", None) in self._calls]
        for call in concerned:
            call.failures_involved += 1
        for action in salvaged:
            self._execute(action)
        if self._rebuilding:
            return []
        if len(events) > 1 or self._consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            self._rebuild_router()
            return []
        for call in concerned:
            if not call.settled:
                call.orphan = True
                if not call.has_attempts_in_flight():
                    self._answer_without_module(call)
        return []

    def _rebuild_router(self) -> None:
        """Replace the router; it gets the worker list, the open calls, and what rules 4 and 5 count.

        Copy estimates, relative latencies and concurrency limits are lost, as at a restart of the process.
        """
        old, self._consecutive_failures, self._rebuilding = self.router, 0, True
        self.counts["rebuilt"] += 1
        self._router_generation += 1
        self._log("error", "module-rebuilt", calls=len(self._calls))
        new = self.router = self._new_router()
        for number, order in self._orders.items():  # the new router does not know them
            self._timer_wheel.cancel(order.timer)
            self._outputs.append(ports.Recall(number))
        self._orders.clear()
        self._call_router([io.Members(io.ListKind.FULL, tuple(self.roster.entries()))])
        new.recent_arrivals, new.recent_orders, new.retry_tokens = (
            old.recent_arrivals, old.recent_orders, old.retry_tokens,
        )  # fmt: skip
        for name, worker in new.workers.items():
            if name in old.workers:
                worker.recent_sends, worker.warm_at = (
                    old.workers[name].recent_sends,
                    old.workers[name].warm_at,
                )
                worker.backoff_until = old.workers[name].backoff_until
        self._rebuilding = False
        for call in list(self._calls.values()):
            if call.settled or call.pending_write:
                continue
            if call.attempts or call.failures_involved >= MAX_FAILURES_OF_CALL:
                call.orphan = True
                if not call.has_attempts_in_flight():
                    self._answer_without_module(call)
            else:
                self._submit(call)

    def _execute(self, action: io.Action) -> None:
        match action:
            case io.SetTimer():
                self._timer_wheel.add(self._now_us + action.delay_us, (self._router_generation, action.token))
            case io.Send():
                self._start_attempt(action)
            case io.Refuse() | io.Fail():
                self._give_final_answer(action)
            case io.Cancel():
                self._abandon(self._calls.get(action.id), action.attempt, Status.CANCELLED)
            case io.Load():
                self._order_load(action)
            case io.Watch():
                self._outputs.append(ports.AskList(action.enabled))
            case io.Log():
                self._log("info", "module", text=action.text)

    def _start_attempt(self, send: io.Send) -> None:
        call = self._calls.get(send.id)
        if call is None or call.settled or call.orphan:
            # Answered, or its client left.  The module counts the attempt as sent: without an outcome it
            # would keep it for ever.
            router_call = self.router.calls.get(send.id)
            number = len(router_call.attempts) - 1 if router_call else 0
            self._events.append(io.Outcome(send.id, number, send.worker, Status.MOOT, 0, True, 0, ()))
            return
        number = len(call.attempts)
        if number:
            self._log("info", "retry", request=call.trigger.key, number=number, worker=send.worker)
        deadline_us = min(send.deadline_us or call.deadline_us, call.deadline_us)
        if give_up_by_us := call.give_up_by_us():
            self._give_up_attempts_by(call, give_up_by_us)
            deadline_us = min(deadline_us, give_up_by_us)
        attempt, send_before_us = (
            Attempt(send.worker, deadline_us=deadline_us, sent_us=self._now_us),
            call.send_before_us(),
        )
        attempt.timer = self._timer_wheel.add(
            deadline_us, lambda: self._abandon(call, number, Status.TIMEOUT)
        )
        call.attempts.append(attempt)
        self._attempts_in_flight += 1
        self.counts["starts"] += 1
        self._outputs.append(
            ports.Start(
                call.id,
                number,
                send.worker,
                call.trigger,
                deadline_us - self._now_us,
                call.request_class.streamed,
                self._now_us,
                send_before_us,
                self._only_listed(call),
            )
        )

    def _only_listed(self, call: Call) -> bool:
        """Whether the module relies on the identity of the process that the call's last attempt goes to."""
        request_class, router_call = call.request_class, self.router.calls.get(call.id)
        if request_class.effect is not Effect.KEYED or request_class.scope == ALL or router_call is None:
            return False
        return bool(router_call.attempts) and router_call.attempts[-1].identified

    def _give_up_attempts_by(self, call: Call, due_us: int) -> None:
        """Bring the deadlines of a call's attempts in flight forward to `due_us`."""
        for number, attempt in enumerate(call.attempts):
            if attempt.in_flight and attempt.deadline_us > due_us:
                self._timer_wheel.cancel(attempt.timer)
                attempt.deadline_us = due_us
                attempt.timer = self._timer_wheel.add(
                    max(due_us, self._now_us + 1),
                    lambda number=number: self._abandon(call, number, Status.TIMEOUT),
                )

    def _abandon(self, call: Call | None, number: int, status: Status) -> None:
        if call and number < len(call.attempts) and call.attempts[number].in_flight:
            self._outputs.append(ports.Abandon(call.id, number, status))

    def _give_final_answer(self, action: io.Refuse | io.Fail) -> None:
        call = self._calls.get(action.id)
        if call is None or call.settled:
            return
        if isinstance(action, io.Fail):
            answer = self._may_have_run_answer(call)
        elif not self._may_refuse(call):
            # Rule 2 is checked twice: by the module's state, and here by what the sockets proved.  The module
            # also refuses a keyed call that may have run if all workers drop repeats.  How long its publisher
            # will retry is unknown, so the answer says that it may have run, and the ledger decides on each
            # retry.
            if call.request_class.effect is Effect.UNSAFE:
                self._log("error", "refusal-withheld", call=call.id)
            answer = self._may_have_run_answer(call)
        else:
            answer = Answer(
                Kind.REFUSED, tr.NOT_RUN, wait_us=action.retry_after_us, attempts=len(call.attempts)
            )
        self._settle(call, answer)
        self._drop_if_ended(call)

    def _order_load(self, load: io.Load) -> None:
        function = self.router.functions.get(load.function)
        self._last_number += 1
        number, due_us = self._last_number, 0
        self.counts["orders" if load.copies else "questions"] += 1
        if not load.copies:
            due_us = self._now_us + QUERY_TIMEOUT_US
        elif self._settings.order_timeout_us:
            due_us = self._now_us + self._settings.order_timeout_us
        self._track_order(number, Order(load.worker, load.function, load.copies, self._now_us, due_us))
        memory, lanes = (function.memory_mb, function.lanes) if function else (0.0, 1)
        self._outputs.append(ports.Order(number, load.worker, load.function, load.copies, memory, lanes))

    def _track_order(self, number: int, order: Order) -> None:
        if order.due_us:
            order.timer = self._timer_wheel.add(order.due_us, lambda: self._on_order_timeout(number))
        self._orders[number] = order

    def _on_order_timeout(self, number: int) -> None:
        """Recall a load order that timed out: one that waits for a connection must not be sent uncounted."""
        self._outputs.append(ports.Recall(number))
        self._on_order_end(ports.OrderEnd(number, Status.TIMEOUT, 0))

    # For a handover to another process (handover/state.py).

    @property
    def pending_intents(self) -> int:
        """Number of intents that are not on disk yet."""
        return len(self._calls_by_write)

    def set_budget_divisor(self, routers: int, until_us: int = 0, then: int = 0) -> None:
        """Divide the fleet's budgets by so many routers, and by `then` of them from `until_us` (0: no end).

        It expires by itself, so that a process that was paused does not use a share that has expired
        meanwhile.
        """
        self._divisor_expires_us, self._next_divisor = until_us, then
        if routers != self._settings.routers:
            self._settings = self.router.settings = replace(self._settings, routers=routers)

    def start_at(self, now_us: int, wall_us: int) -> None:
        """Set the time before calls are restored and before the first `step`."""
        self._timer_wheel, self._now_us, self._wall_us = TimerWheel(now_us), now_us, wall_us

    def restore_router_state(self, state: snapshot.RouterSnapshot) -> None:
        """Start with what is still valid of the router state of a process that was killed."""
        snapshot.restore(self.router, state)
        self.router.seq = 0  # so that the first `handle` sets the first timers
        self._unconfirmed_workers = set(self.router.workers)

    def restore_timers(self, orders: Iterable[tuple[int, Order]]) -> None:
        """Set the timers of restored calls, load orders and router state."""
        wheel = self._timer_wheel
        for call in self._calls.values():
            guard_us = call.deadline_us - GUARD_TICKS * self._settings.tick_us
            call.timer = wheel.add(guard_us, lambda call=call: self._on_call_deadline(call))
            for waiter in call.waiters:
                if waiter.deadline_us:
                    waiter.timer = wheel.add(
                        waiter.deadline_us, lambda c=call, w=waiter: self._on_waiter_deadline(c, w)
                    )
            for number, attempt in enumerate(call.attempts):
                if attempt.in_flight:
                    self._attempts_in_flight += 1
                    attempt.timer = wheel.add(
                        attempt.deadline_us, lambda c=call, n=number: self._abandon(c, n, Status.TIMEOUT)
                    )
        for number, order in orders:
            self._track_order(number, order)
        for token, (_, _, due_us) in self.router._timers.items():
            wheel.add(due_us, (self._router_generation, token))

    # Answers.

    def _settle(self, call: Call, answer: Answer, waiters: list[Waiter] | None = None) -> None:
        """Give a call its one final answer: to all triggers that wait for it, and to the ledger."""
        call.settled = True
        if self.observer:
            spent_us = self._now_us - (call.deadline_us - call.trigger.left_us + self._margin_us)
            in_time = answer.kind is Kind.SERVED and spent_us <= call.request_class.target_us
            self.observer.on_answer(call.request_class.name, call.trigger.tenant, in_time)
        if call.claimed and self.ledger is not None:
            record = self.ledger.settle(self._wall_us, call.trigger.tenant, call.trigger.key, answer)
            if record is not None and not self.ledger.closed_reason:
                self._write(record)
        for waiter in waiters if waiters is not None else call.waiters:
            self._timer_wheel.cancel(waiter.timer)
            self._forget_source(call, waiter)
            self._reply(waiter.trigger, answer)
        call.waiters = []
        self._withdraw_attempts(call)

    def _drop_if_ended(self, call: Call) -> None:
        """Remove a call once it has no attempt in flight and nobody waits for it."""
        if call.has_attempts_in_flight() or (not call.settled and not call.orphan):
            return
        if not call.settled:  # its publisher left
            self._answer_without_module(call)
            return
        self._timer_wheel.cancel(call.timer)
        self._calls.pop(call.id, None)

    def _forget_source(self, call: Call, waiter: Waiter) -> None:
        call_ids = self._calls_by_source.get(waiter.trigger.source)
        if call_ids is not None:
            call_ids.pop(call.id, None)
            if not call_ids:
                del self._calls_by_source[waiter.trigger.source]

    def _refuse(self, trigger: Trigger, reason: str) -> None:
        self._reply(
            trigger, Answer(Kind.REFUSED, reason, wait_us=self._retry_after_us if reason == tr.SHED else 0)
        )

    def _reply(self, trigger: Trigger, answer: Answer) -> None:
        self.counts[answer.kind.value] += 1
        if answer.kind is not Kind.SERVED:
            self._log(
                "info", "not-served", request=trigger.key, how=answer.kind.value, why=answer.reason,
                attempts=answer.attempts,
            )  # fmt: skip
        self._outputs.append(ports.Reply(trigger, answer))

    def _write(self, record: Record) -> int:
        self._last_write += 1
        self._outputs.append(ports.Write(record))
        return self._last_write

    def _log(self, level: str, event: str, **fields: object) -> None:
        self._outputs.append(ports.Line(level, event, tuple(fields.items())))


def tables(engine: Engine) -> dict[str, int]:
    """The size of each table, for metrics."""
    router = engine.router
    return {
        "calls": engine.open,
        "ledger": len(engine.ledger) if engine.ledger else 0,
        "ledger_bytes": engine.ledger.bytes if engine.ledger else 0,
        "timers": len(engine._timer_wheel) if engine._timer_wheel else 0,
        "sources": len(engine._calls_by_source),
        "orders": len(engine._orders),
        "workers": len(router.workers),
        "functions": len(router.functions),
        "module_calls": len(router.calls),
        **engine.roster.sizes(),
    }
