"""The engine: hosts the decisions of `choice.Router`, the ledger and the timers.  No I/O.

`step(now_us, wall_us, inputs)` gives what the shell has to do.  The engine ranks no worker, holds no call
and tries
nothing again: that is the module's.  Its own matter is which trigger may become a call at all (ledger,
bounds,
time left), that every trigger gets one final answer whatever the module does, and keeping the module going.
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
from swiftwell.gateway import ports
from swiftwell.gateway.calls import Attempt, Call, Waiter
from swiftwell.gateway.effects import Entry, Ledger, Record, Verdict
from swiftwell.gateway.evidence import Evidence
from swiftwell.gateway.orders import Order
from swiftwell.gateway.timer_wheel import TimerWheel
from swiftwell.handover import snapshot
from swiftwell.interface import Effect, Status

GUARD_TICKS = (
    1  # ticks before the deadline at which the engine answers if the module has not (it does at two)
)
MOST_WAITERS = 16  # triggers that may share one running call: a publisher's tries, and some to spare
FAULTS = 3  # module failures in a row after which its books are made anew
BLAMES = 2  # failures that a call may be part of before it is answered instead of tried on new books
STREAM_US = 60_000_000  # us that a streamed answer may take once it has begun
QUESTION_US = 1_000_000  # us until a question counts as unanswered: a stalled worker needs longer than a LAN
LATE_US = 40_000  # us: timers this late go to the module in one batch with the rest, so that it sees the gap


class Observer(Protocol):
    """Who looks on at calls, and may turn triggers away ahead of the module (sites/watch)."""

    def reject_for_us(self, trigger: Trigger) -> int:
        """0 to take it, else for how many us its publisher is sent away."""
        ...

    def on_attempt_end(self, worker: str, request_class: str, status: Status, latency_us: int) -> None:
        """How an attempt ended."""
        ...

    def on_answer(self, request_class: str, tenant: str, in_time: bool) -> None:
        """A call that was taken has its answer."""
        ...


class Engine:
    """One gateway's calls.  `settings` goes to the module as it is; the rest is the engine's.

    `margin_us`: time kept back from each trigger for the answer's way.  `max_open`: calls at a time.
    `ledger` None: no key outlives its call, where publishers name each try anew and no disk survives; what
    may run twice then rests on the module and on what the sockets prove.
    """

    def __init__(
        self,
        settings: io.Settings,
        ledger: Ledger | None,
        *,
        seed: int = 1,
        margin_us: int = 5_000,
        max_open: int = 20_000,
        make: Callable[[io.Settings, int], Router] = Router,
        leases: WorkerLeases | None = None,
    ) -> None:
        self._settings, self._seed, self._make, self._leases = settings, seed, make, leases
        self._evidence: Evidence | None = None
        if leases is not None:  # what it emits comes ahead of what is decided by it
            self._evidence = Evidence(leases, lambda event: self._events.append(event), self._log)
        self.observer: Observer | None = None
        self._shed_us = 0  # how long the trigger at hand is sent away for
        self._hidden: dict[str, frozenset[str]] = {}  # see `set_visible_workers`
        self._part_until = self._part_then = 0  # until when, and what then: see `set_budget_divisor`
        self._margin, self._max_open = margin_us, max_open
        self._request_classes = {request_class.name: request_class for request_class in settings.classes}
        self.ledger = ledger
        self.router = self._made()
        self.roster = Roster(settings.routers)
        self._list_timer = 0
        self._list_at: int | None = None
        self._wheel: TimerWheel | None = None
        self._now = self._wall = 0
        self._out: list[ports.Output] = []
        self._calls: dict[str, Call] = {}
        self._calls_by_source: dict[str, dict[str, None]] = {}  # source: its calls
        self._awaiting: dict[int, Call] = {}  # number of a write: the call whose intent it is
        self._orders: dict[int, Order] = {}
        self._numbers = self._writes = self._faults = 0
        self._at_work = 0  # attempts that are out
        self._books = 0  # numbers the module's books: timers of older ones mean nothing to newer ones
        self._unconfirmed: set[str] = set()  # workers of books that a killed process left
        self._rebuilding = self._stopping = False
        self._events: list[io.Event] = []
        self.outcomes: Counter[str] = Counter()  # of attempts, orders and questions, by how they ended
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

    def _made(self) -> Router:
        router = self._make(self._settings, self._seed)
        router.leases = self._leases
        return router

    # What the shell calls.

    def step(self, now_us: int, wall_us: int, inputs: Iterable[ports.Input] = ()) -> list[ports.Output]:
        """Take what happened, and what has come due; give what is to be done, in order."""
        if self._wheel is None:
            self._wheel = TimerWheel(now_us)
        self._now, self._wall, self._out = max(now_us, self._now), wall_us, []
        if self._part_until and self._now >= self._part_until:
            self.set_budget_divisor(self._part_then)
        if self._evidence:
            self._evidence.advance(self._now)
        for given in inputs:
            self._guarded(self._take, given)
        if self._evidence:
            self._evidence.advance(self._now)
        due = self._wheel.due(self._now)
        tokens = [io.Timer(what[1]) for what in due if isinstance(what, tuple) and what[0] == self._books]
        late = min((self.router.due_at(event) for event in tokens), default=self._now)
        if (
            self._now - late > LATE_US
        ):  # one batch, as the module tells a gap of our own by a late timer in it
            batch, self._events = self._events + tokens, []
            self._feed(batch)
        else:
            self._events += tokens
        self._pump()
        for what in due:
            if not isinstance(what, tuple):
                self._guarded(what)
        self._pump()
        return self._out

    def _guarded(self, act: Callable[..., None], *given: ports.Input) -> None:
        """One failure is its own input's, timer's or action's: what else came in this turn is owed answers.

        A step that raised took along every other input of its turn, and every output worked out before it.
        """
        try:
            act(*given)
        except Exception as error:
            self.counts["faults"] += 1
            what = type(given[0]).__name__ if given else getattr(act, "__name__", "timer")
            self._log("error", "engine-failed", input=what, error=f"{type(error).__name__}: {error}")
            for one in given:
                self._answer_failed(one)

    def _answer_failed(self, given: ports.Input | io.Action) -> None:
        """What a failed input owed: its trigger, or its call, gets a final answer that promises nothing."""
        if isinstance(given, ports.Arrive):
            trigger = given.trigger
            of = self._calls_by_source.get(trigger.source, ())
            call = next((self._calls[one] for one in of if self._calls[one].trigger is trigger), None)
            replied = any(isinstance(out, ports.Reply) and out.trigger is trigger for out in self._out)
            if call is None and not replied:
                self._reply(trigger, Answer(Kind.FAILED, tr.MAY_HAVE_RUN))
        elif isinstance(given, (ports.AttemptEnd, io.Send)):
            call = self._calls.get(given.id)
            if call and isinstance(given, ports.AttemptEnd) and given.number < len(call.attempts):
                attempt = call.attempts[given.number]
                self._at_work -= attempt.in_flight
                attempt.in_flight = False
                told = given.id, given.number, attempt.worker, Status.ERROR, 0, True, 0, ()
                self._events.append(io.Outcome(*told))
        else:
            return
        if call:
            self._give_up(call)
            self._drop(call)

    def _pump(self) -> None:
        """Give the module what waits, one event at a time, so that a failure concerns one event."""
        while self._events:
            event = self._events.pop(0)
            self._feed([event])

    def next_us(self) -> int | None:
        """When `step` is wanted next, if nothing happens before."""
        return self._wheel.next_us() if self._wheel else None

    @property
    def open(self) -> int:
        """Calls with something outstanding."""
        return len(self._calls)

    def load(self) -> tuple[int, int]:
        """Attempts that are out, and calls that wait for one."""
        # Counted as they come and go: fronts ask twenty times a second, with thousands of calls open.
        return self._at_work, max(0, len(self._calls) - self._at_work)

    # Inputs.

    def _take(self, given: ports.Input) -> None:
        match given:
            case ports.Arrive():
                self._arrive(given.trigger, given.at_us or self._now)
            case ports.AttemptEnd():
                self._ended(given)
            case ports.FirstByte():
                self._begun(given)
            case ports.Durable():
                self._durable(given.number)
            case ports.OrderEnd():
                self._order_ended(given)
            case ports.WorkerConnected() | ports.WorkerDisconnected():
                if self._evidence:
                    self._evidence.connection(given, self._now)
            case ports.Copy():
                self._events.append(io.Loaded(given.worker, given.function, Status.OK, 0, given.copies))
            case ports.Listed():
                told = self.roster.apply_list(self._now, given.members)
                self._events.append(self._same(self._unhidden(told)))
                self._confirm(given.members)
                self._step_roster()
            case ports.Saved():
                self._members(self.roster.add_saved(self._now, given.entries))
                self._step_roster()
            case ports.Asked():
                told = self.roster.query_ended(
                    self._now, given.worker, given.draining, given.started_us, given.answered
                )
                self._members(told)
                self._step_roster()
            case ports.Gone():
                self._gone(given.source)
            case ports.LedgerDown():
                self._ledger_down(given.reason)
            case ports.Stop():
                self._stopping = True
                if given.deadline_us:
                    self._wheel.add(max(given.deadline_us, self._now + 1), self._answer_all)

    def _arrive(self, trigger: Trigger, at_us: int) -> None:
        self.counts["calls"] += 1
        request_class = self._request_classes.get(trigger.request_class)
        left = trigger.left_us - self._margin - max(0, self._now - at_us)
        if request_class is None:
            return self._refuse(trigger, tr.UNKNOWN_CLASS)
        barred = trigger.rejection or (tr.NO_TIME if left <= 0 else tr.STOPPING if self._stopping else "")
        self._shed_us = 0
        if not barred and self.observer and (wait_us := self.observer.reject_for_us(trigger)):
            barred, self._shed_us = tr.SHED, wait_us
        self._numbers += 1
        call = Call(f"c{self._numbers}", trigger, request_class, self._now + left, False)
        intent = None
        if request_class.effect is not Effect.SAFE and self.ledger is not None:
            # The ledger is asked first, whatever else bars the call: a key that has run is not refused.
            if (intent := self._claim(call, barred)) is None:
                return None
        elif barred:
            return self._refuse(trigger, barred)
        if len(self._calls) >= self._max_open:
            refused = Answer(Kind.REFUSED, tr.TOO_MANY) if self._harmless(call) else self._doubt(call)
            return self._settle(call, refused, [Waiter(trigger)])
        self._calls[call.id] = call
        self._wait(call, trigger, left)
        guard = call.deadline_us - GUARD_TICKS * self._settings.tick_us
        call.timer = self._wheel.add(guard, lambda: self._overdue(call))
        if intent:
            call.pending_write = self._write(self.ledger.record(trigger.tenant, trigger.key, intent))
            self._awaiting[call.pending_write] = call
        else:
            self._out.append(ports.Accepted(trigger))
            self._request(call)
        return None

    def _claim(self, call: Call, barred: str) -> Entry | None:
        """Ask the ledger for the trigger's key; None where the trigger has been answered or joined."""
        trigger, request_class = call.trigger, call.request_class
        if not trigger.key:
            self._refuse(trigger, tr.NO_KEY)
            return None
        asked = b"\0".join((trigger.request_class.encode(), trigger.function.encode(), trigger.payload))
        remembers = (
            request_class.memory_us
            if request_class.effect is Effect.KEYED and request_class.scope == "all"
            else 0
        )
        verdict, what = self.ledger.claim(
            self._wall,
            trigger.tenant,
            trigger.key,
            xxhash.xxh3_128_digest(asked),
            trigger.maybe_seen_elsewhere,
            request_class.effect,
            call.id,
            remembers,
            not barred,
        )
        match verdict:
            case Verdict.RUN if isinstance(what, Entry):
                call.claimed, call.may_have_run_before = True, what.first_us < self._wall
                return what
            case Verdict.JOIN if isinstance(what, str):
                self._join(self._calls[what], trigger)
            case Verdict.ALREADY_DONE if isinstance(what, Entry):
                self.counts["told"] += 1
                self._reply(trigger, Answer(Kind.SERVED, tr.OK, what.body, worker=what.worker))
            case Verdict.MAY_HAVE_RUN:
                self._reply(trigger, Answer(Kind.FAILED, tr.MAY_HAVE_RUN))
            case Verdict.CONFLICT:
                self._refuse(trigger, tr.KEY_REUSED)
            case Verdict.NOT_NOW:
                self._refuse(trigger, barred)
            case _:
                self._refuse(trigger, tr.LEDGER)
        return None

    def _join(self, call: Call, trigger: Trigger) -> None:
        if len(call.waiters) >= MOST_WAITERS or trigger.left_us <= self._margin:
            return self._reply(trigger, self._doubt(call))  # no refusal: it is running
        self.counts["joined"] += 1
        self._wait(call, trigger, trigger.left_us - self._margin)
        if not call.pending_write:
            self._out.append(ports.Accepted(trigger))
        return None

    def _wait(self, call: Call, trigger: Trigger, left_us: int) -> None:
        """A trigger waits for a call; its own time may end before the call's does."""
        waiter = Waiter(trigger)
        if self._now + left_us < call.deadline_us:
            waiter.deadline_us = self._now + left_us - GUARD_TICKS * self._settings.tick_us
            waiter.timer = self._wheel.add(waiter.deadline_us, lambda: self._impatient(call, waiter))
        call.waiters.append(waiter)
        self._calls_by_source.setdefault(trigger.source, {})[call.id] = None

    def _impatient(self, call: Call, waiter: Waiter) -> None:
        """The time of a trigger that joined a call ends before the call's does."""
        if waiter in call.waiters:
            call.waiters.remove(waiter)
            self._forget_source(call, waiter)
            safe = call.request_class.effect is Effect.SAFE
            self._reply(waiter.trigger, Answer(Kind.REFUSED, tr.NO_TIME) if safe else self._doubt(call))

    def _overdue(self, call: Call) -> None:
        """Rule 1 whatever the module does: the call's time is up."""
        if not call.settled and not call.orphan and not call.pending_write:
            self._log("warning", "guard", call=call.id, function=call.trigger.function)
        self._give_up(call)

    def _answer_all(self) -> None:
        """The process ends: who waits is told now what is known, as nobody could tell it later."""
        for call in list(self._calls.values()):
            self._guarded(lambda call=call: self._give_up(call))

    def _doubt(self, call: Call) -> Answer:
        return Answer(Kind.FAILED, tr.MAY_HAVE_RUN, attempts=len(call.attempts))

    def _harmless(self, call: Call) -> bool:
        """Whether a refusal may be given: a retry is harmless, as nothing of the call or of its key ran."""
        return call.request_class.effect is Effect.SAFE or (
            call.ran() is Ran.NEVER and not call.may_have_run_before
        )

    def _give_up(self, call: Call) -> None:
        """Answer a call without the module: a refusal only where nothing of it ran."""
        if call.settled:
            return
        reason = tr.LEDGER if call.pending_write else tr.NOT_RUN
        self._settle(call, Answer(Kind.REFUSED, reason) if self._harmless(call) else self._doubt(call))
        self._leave(call)

    def _leave(self, call: Call) -> None:
        """The module need not care for a call any more; the engine keeps it while attempts are out."""
        if call.pending_write:
            self._awaiting.pop(call.pending_write, None)
            call.pending_write = 0
        elif not call.orphan:
            # A client whose bytes and whose end came in one turn: the module need not hear of it at all.
            unheard = [e for e in self._events if isinstance(e, io.Request) and e.id == call.id]
            for event in unheard:
                self._events.remove(event)
            if not unheard:
                self._events.append(io.Left(call.id))
        call.orphan = True
        self._withdraw(call)
        self._drop(call)

    def _withdraw(self, call: Call) -> None:
        """Attempts that wait for a connection are taken back: nobody wants what they would bring.

        The module only learns that the client left, and what it sent was the link's: one that waited for a
        late connection went to its worker up to the dial time later, and twice that where it moved on.
        """
        for number, attempt in enumerate(call.attempts):
            if attempt.in_flight:
                self._out.append(ports.Withdraw(call.id, number))

    def _durable(self, number: int) -> None:
        for key in [n for n in self._awaiting if n <= number]:
            call = self._awaiting.pop(key)
            call.pending_write = 0
            self._out.extend(ports.Accepted(waiter.trigger) for waiter in call.waiters)
            self._request(call)

    def _request(self, call: Call) -> None:
        """Hand a call to the module."""
        trigger = call.trigger
        self._events.append(
            io.Request(
                id=call.id, request_class=trigger.request_class, tenant=trigger.tenant,
                function=trigger.function, left_us=call.deadline_us - self._now, hint_us=trigger.hint_us,
                memory_mb=trigger.memory_mb, lanes=max(1, trigger.lanes), load_us=trigger.load_us,
                repeated=trigger.redelivered,
            )
        )  # fmt: skip

    def _ended(self, end: ports.AttemptEnd) -> None:
        call = self._calls.get(end.id)
        if call is None or end.number >= len(call.attempts) or not call.attempts[end.number].in_flight:
            return
        attempt = call.attempts[end.number]
        self._wheel.cancel(attempt.timer)
        attempt.in_flight, attempt.ran = False, end.ran
        self._at_work -= 1
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
        self._word(attempt.worker, end)
        if self._evidence:
            self._evidence.call_ended(attempt.worker, end)
        if end.status is Status.OK and not call.settled:
            body, attempts = end.body, len(call.attempts)
            self._settle(call, Answer(Kind.SERVED, tr.OK, body, worker=attempt.worker, attempts=attempts))
        elif end.too_large and not call.settled:
            # It ran, and no further attempt would bring a smaller answer.
            self._settle(call, Answer(Kind.FAILED, tr.TOO_LARGE, worker=attempt.worker))
        elif call.streaming and not call.settled:
            self._settle(call, self._doubt(call))
        note = min(end.copy_state, 4) + 8 * min(end.function_calls_waiting, 30)
        report = (("rif", end.worker_calls_held),) if end.worker_calls_held >= 0 else ()
        self._events.append(
            io.Outcome(
                call.id, end.number, attempt.worker, end.status, end.latency_us, call.settled, note, report
            )
        )
        if call.orphan and not call.has_attempts_in_flight():
            self._give_up(call)  # nobody else would answer it before its deadline
        self._drop(call)

    def _begun(self, first: ports.FirstByte) -> None:
        """A streamed answer has begun: it belongs to this attempt now, and to a time of its own."""
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
            self._wheel.cancel(timer)
        number, call.streaming = first.number, True
        attempt.deadline_us = end = self._now + STREAM_US
        attempt.timer = self._wheel.add(end, lambda: self._abandon(call, number, Status.TIMEOUT))
        call.timer = self._wheel.add(end + STREAM_US, lambda: self._overdue(call))
        self._events.append(io.First(first.id, first.number, attempt.worker))

    def _order_ended(self, end: ports.OrderEnd) -> None:
        order = self._orders.pop(end.number, None)
        if order is None:
            return
        worker, function, asked = order.worker, order.function, order.asks
        self._wheel.cancel(order.timer)
        self._word(worker, end)
        self.outcomes[f"{'question' if asked else 'order'}/{end.status.name.lower()}"] += 1
        if self._evidence:
            self._evidence.order_ended(worker, end, asked, self._now)
        if end.status is not Status.OK:
            what, how = "question-ended" if asked else "order-ended", end.status.name.lower()
            self._log("info", what, worker=worker, function=function, how=how, copies=end.copies)
        self._events.append(
            io.Loaded(worker, function, end.status, self._now - order.sent_us, end.copies, asked)
        )

    def _confirm(self, members: io.Members) -> None:
        """The first whole list names which workers of believed books are still there; the others are
        forgotten."""
        if self._unconfirmed and members.how is io.ListKind.FULL:
            gone = self._unconfirmed - self.roster.known.keys()
            entries = tuple(replace(self.router.workers[w].entry, state=io.State.GONE) for w in sorted(gone))
            self._events.append(io.Members(io.ListKind.DELTA, entries))
            self._unconfirmed = set()

    def _same(self, members: io.Members) -> io.Members:
        """Starts that differ by less than any restart takes are one process's, as the module knows it.

        A start is a wall time, and comes to us through clocks that are read at different moments (a saved
        list, the anchor of a process before us): to the module any difference is a new process, whose
        copies it forgets.
        """
        known, entries = self.router.workers, []
        for entry in members.entries:
            worker = known.get(entry.worker)
            start = worker.entry.started_us if worker else 0
            if start and entry.started_us and 0 < abs(start - entry.started_us) < trust.START_TOLERANCE_US:
                entry = replace(entry, started_us=start)
            entries.append(entry)
        return members._replace(entries=tuple(entries))

    def _word(self, worker: str, end: ports.AttemptEnd | ports.OrderEnd) -> None:
        """What a worker says of itself corrects the list at once."""
        heard = end.answered or end.draining
        if heard or end.status is Status.CONNECT_FAILED:
            self._members(self.roster.record_report(self._now, worker, end.draining, end.started_us, heard))

    def _members(self, told: io.Members | None) -> None:
        """Tell the module of workers."""
        if told:
            for entry in told.entries[:5]:
                self._log("info", "worker", worker=entry.worker, state=entry.state.name.lower())
            self._events.append(self._same(self._unhidden(told)))

    def set_visible_workers(self, sites: dict[str, frozenset[str]]) -> None:
        """Of these sites the module takes all ready workers for draining but those that are named."""
        was, self._hidden = self._hidden, sites
        entries = tuple(
            known.entry
            for known in self.roster.known.values()
            if self._is_hidden(known.entry, was) is not self._is_hidden(known.entry, sites)
        )
        if entries:
            self._events.append(self._same(self._unhidden(io.Members(io.ListKind.DELTA, entries))))

    @staticmethod
    def _is_hidden(entry: io.WorkerEntry, sites: dict[str, frozenset[str]]) -> bool:
        return entry.worker not in sites.get(entry.zone, (entry.worker,))

    def _unhidden(self, members: io.Members) -> io.Members:
        """Ready workers of a site that is not shown stand as draining: what runs there ends, nothing new."""
        if not self._hidden or members.how is io.ListKind.FAILED:
            return members
        entries = tuple(
            replace(entry, state=io.State.DRAINING)
            if entry.state is io.State.READY and self._is_hidden(entry, self._hidden)
            else entry
            for entry in members.entries
        )
        return members._replace(entries=entries)

    def _step_roster(self) -> None:
        """Ask the workers that the roster wants asked, and come back when it wants more."""
        self._members(self.roster.expire_unlisted(self._now))
        for worker in self.roster.due_queries(self._now):
            self._out.append(ports.Ask(worker, trust.QUERY_TIMEOUT_US))
        at = self.roster.next_due_us(self._now)
        if at is not None and (self._list_at is None or at < self._list_at):
            self._wheel.cancel(self._list_timer)
            self._list_at = at
            self._list_timer = self._wheel.add(max(at, self._now + 1), self._roster_due)

    def _roster_due(self) -> None:
        self._list_at = None
        self._step_roster()

    def _gone(self, source: str) -> None:
        """A publisher left: a call nobody waits for any more is the module's to end; its effect is still
        recorded."""
        for number in list(self._calls_by_source.pop(source, ())):
            call = self._calls.get(number)
            if call is None:
                continue
            for waiter in [w for w in call.waiters if w.trigger.source == source]:
                call.waiters.remove(waiter)
                self._wheel.cancel(waiter.timer)
                self.counts["left"] += 1
            if not call.waiters and not call.settled:
                self._leave(call)

    def _ledger_down(self, why: str) -> None:
        if self.ledger is not None:
            self.ledger.closed_reason = why
        self._log("error", "ledger-down", why=why)
        for call in list(self._awaiting.values()):
            self._give_up(call)

    # The module.

    def _feed(self, events: list[io.Event]) -> None:
        """Give the module events and carry out what it wants."""
        if not events:
            return
        try:
            actions = self.router.handle(self._now, events)
            self._faults = 0
        except Exception as error:  # whatever it is, other calls must go on
            actions = self._fault(events, error)
        for act in actions:
            self._guarded(self._act, act)

    def _fault(self, events: list[io.Event], error: Exception) -> list[io.Action]:
        """The module failed: what it had decided before holds; the calls concerned are answered.

        A failure that comes with every event (broken books) would answer everybody so; then the books are
        made anew from what the engine knows.
        """
        self._faults += 1
        self.counts["faults"] += 1
        at = error.__traceback__
        while at and at.tb_next:
            at = at.tb_next
        where = f"{at.tb_frame.f_code.co_name}:{at.tb_lineno}" if at else ""
        names = ",".join(type(event).__name__ for event in events[:4])
        self._log(
            "error", "module-failed", error=f"{type(error).__name__}: {error}", where=where, events=names
        )
        salvaged = [act for act in self.router.actions if isinstance(act, (io.Send, io.SetTimer, io.Load))]
        concerned = [self._calls[e.id] for e in events if getattr(e, "id", None) in self._calls]
        for call in concerned:
            call.failures_involved += 1
        for act in salvaged:
            self._act(act)
        if self._rebuilding:
            return []
        if len(events) > 1 or self._faults >= FAULTS:
            self._rebuild()
            return []
        for call in concerned:
            if not call.settled:
                call.orphan = True
                if not call.has_attempts_in_flight():
                    self._give_up(call)
        return []

    def _rebuild(self) -> None:
        """New books: the list and the open calls are known here; what rules 4 and 5 count is carried over.

        Beliefs, paces and caps are lost, as at a restart of the process.
        """
        old, self._faults, self._rebuilding = self.router, 0, True
        self.counts["rebuilt"] += 1
        self._books += 1
        self._log("error", "module-rebuilt", calls=len(self._calls))
        new = self.router = self._made()
        for number, order in self._orders.items():  # answers would mean nothing to new books
            self._wheel.cancel(order.timer)
            self._out.append(ports.Recall(number))
        self._orders.clear()
        self._feed([io.Members(io.ListKind.FULL, tuple(self.roster.entries()))])
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
            if call.attempts or call.failures_involved >= BLAMES:
                call.orphan = True
                if not call.has_attempts_in_flight():
                    self._give_up(call)
            else:
                self._request(call)

    def _act(self, act: io.Action) -> None:
        match act:
            case io.SetTimer():
                self._wheel.add(self._now + act.delay_us, (self._books, act.token))
            case io.Send():
                self._send(act)
            case io.Refuse() | io.Fail():
                self._final(act)
            case io.Cancel():
                self._abandon(self._calls.get(act.id), act.attempt, Status.CANCELLED)
            case io.Load():
                self._load(act)
            case io.Watch():
                self._out.append(ports.AskList(act.on))
            case io.Log():
                self._log("info", "module", text=act.text)

    def _send(self, act: io.Send) -> None:
        call = self._calls.get(act.id)
        if call is None or call.settled or call.orphan:
            # Answered, or left by its client.  The module thinks it sent: without an outcome its books would
            # hold the attempt for ever.
            known = self.router.calls.get(act.id)
            number = len(known.attempts) - 1 if known else 0
            self._events.append(io.Outcome(act.id, number, act.worker, Status.MOOT, 0, True, 0, ()))
            return
        number = len(call.attempts)
        if number:
            self._log("info", "retry", request=call.trigger.key, number=number, worker=act.worker)
        until = min(act.until_us or call.deadline_us, call.deadline_us)
        attempt, by_us = Attempt(act.worker, deadline_us=until, sent_us=self._now), call.send_before_us()
        attempt.timer = self._wheel.add(until, lambda: self._abandon(call, number, Status.TIMEOUT))
        call.attempts.append(attempt)
        self._at_work += 1
        self.counts["starts"] += 1
        self._out.append(
            ports.Start(
                call.id,
                number,
                act.worker,
                call.trigger,
                until - self._now,
                call.request_class.streamed,
                self._now,
                by_us,
            )
        )

    def _abandon(self, call: Call | None, number: int, status: Status) -> None:
        if call and number < len(call.attempts) and call.attempts[number].in_flight:
            self._out.append(ports.Abandon(call.id, number, status))

    def _final(self, act: io.Refuse | io.Fail) -> None:
        call = self._calls.get(act.id)
        if call is None or call.settled:
            return
        if isinstance(act, io.Fail):
            answer = self._doubt(call)
        elif not self._harmless(call):
            # Rule 2 has two guards: the module's books, and here what the sockets proved.  The module also
            # refuses
            # a keyed call that may have run where all workers drop repeats; for how long its publisher will
            # go
            # on trying nobody knows, so it is told the truth and the ledger decides on each further try.
            if call.request_class.effect is Effect.UNSAFE:
                self._log("error", "refusal-withheld", call=call.id)
            answer = self._doubt(call)
        else:
            answer = Answer(Kind.REFUSED, tr.NOT_RUN, wait_us=act.wait_us, attempts=len(call.attempts))
        self._settle(call, answer)
        self._drop(call)

    def _load(self, act: io.Load) -> None:
        known = self.router.functions.get(act.function)
        self._numbers += 1
        number, due = self._numbers, 0
        self.counts["orders" if act.copies else "questions"] += 1
        if not act.copies:
            due = self._now + QUESTION_US
        elif self._settings.order_timeout_us:
            due = self._now + self._settings.order_timeout_us
        self._track_order(number, Order(act.worker, act.function, act.copies, self._now, due))
        memory, lanes = (known.memory_mb, known.lanes) if known else (0.0, 1)
        self._out.append(ports.Order(number, act.worker, act.function, act.copies, memory, lanes))

    def _track_order(self, number: int, order: Order) -> None:
        if order.due_us:
            order.timer = self._wheel.add(order.due_us, lambda: self._order_silent(number))
        self._orders[number] = order

    def _order_silent(self, number: int) -> None:
        """An order's time is up: one that still waits for a connection must not go out uncounted later."""
        self._out.append(ports.Recall(number))
        self._order_ended(ports.OrderEnd(number, Status.TIMEOUT, 0))

    # Another process goes on with what this one did (handover/state.py).

    @property
    def awaiting(self) -> int:
        """Intents that are not on disk yet."""
        return len(self._awaiting)

    def set_budget_divisor(self, routers: int, until_us: int = 0, then: int = 0) -> None:
        """The fleet's budgets are divided by so many routers from now on, by `then` of them from `until_us`.

        That ends by itself: a process that stood still must not act by a part that has run out meanwhile.
        """
        self._part_until, self._part_then = until_us, then
        if routers != self._settings.routers:
            self._settings = self.router.settings = replace(self._settings, routers=routers)

    def start_at(self, now_us: int, wall_us: int) -> None:
        """The time at which calls are put in, before the first `step`."""
        self._wheel, self._now, self._wall = TimerWheel(now_us), now_us, wall_us

    def restore_router_state(self, books: snapshot.RouterSnapshot) -> None:
        """Start with what may be believed of the books of a process that was killed."""
        snapshot.restore(self.router, books)
        self.router.seq = 0  # its first `handle` still sets the first timers
        self._unconfirmed = set(self.router.workers)

    def restore_timers(self, orders: Iterable[tuple[int, Order]]) -> None:
        """Set every timer that calls, orders and books put in want."""
        wheel = self._wheel
        for call in self._calls.values():
            guard = call.deadline_us - GUARD_TICKS * self._settings.tick_us
            call.timer = wheel.add(guard, lambda call=call: self._overdue(call))
            for waiter in call.waiters:
                if waiter.deadline_us:
                    waiter.timer = wheel.add(
                        waiter.deadline_us, lambda c=call, w=waiter: self._impatient(c, w)
                    )
            for number, attempt in enumerate(call.attempts):
                if attempt.in_flight:
                    self._at_work += 1
                    attempt.timer = wheel.add(
                        attempt.deadline_us, lambda c=call, n=number: self._abandon(c, n, Status.TIMEOUT)
                    )
        for number, order in orders:
            self._track_order(number, order)
        for token, (_, _, due) in self.router._timers.items():
            wheel.add(due, (self._books, token))

    # Answers.

    def _settle(self, call: Call, answer: Answer, waiters: list[Waiter] | None = None) -> None:
        """The one final answer of a call, to all that wait for it, and into the ledger."""
        call.settled = True
        if self.observer:
            spent = self._now - (call.deadline_us - call.trigger.left_us + self._margin)
            in_time = answer.kind is Kind.SERVED and spent <= call.request_class.target_us
            self.observer.on_answer(call.request_class.name, call.trigger.tenant, in_time)
        if call.claimed and self.ledger is not None:
            record = self.ledger.settle(self._wall, call.trigger.tenant, call.trigger.key, answer)
            if record is not None and not self.ledger.closed_reason:
                self._write(record)
        for waiter in waiters if waiters is not None else call.waiters:
            self._wheel.cancel(waiter.timer)
            self._forget_source(call, waiter)
            self._reply(waiter.trigger, answer)
        call.waiters = []
        self._withdraw(call)

    def _drop(self, call: Call) -> None:
        """Forget a call once nothing of it is outstanding and nobody waits for it."""
        if call.has_attempts_in_flight() or (not call.settled and not call.orphan):
            return
        if not call.settled:  # its publisher left
            self._give_up(call)
            return
        self._wheel.cancel(call.timer)
        self._calls.pop(call.id, None)

    def _forget_source(self, call: Call, waiter: Waiter) -> None:
        calls = self._calls_by_source.get(waiter.trigger.source)
        if calls is not None:
            calls.pop(call.id, None)
            if not calls:
                del self._calls_by_source[waiter.trigger.source]

    def _refuse(self, trigger: Trigger, reason: str) -> None:
        self._reply(trigger, Answer(Kind.REFUSED, reason, wait_us=self._shed_us if reason == tr.SHED else 0))

    def _reply(self, trigger: Trigger, answer: Answer) -> None:
        self.counts[answer.kind.value] += 1
        if answer.kind is not Kind.SERVED:
            self._log(
                "info", "not-served", request=trigger.key, how=answer.kind.value, why=answer.reason,
                attempts=answer.attempts,
            )  # fmt: skip
        self._out.append(ports.Reply(trigger, answer))

    def _write(self, record: Record) -> int:
        self._writes += 1
        self._out.append(ports.Write(record))
        return self._writes

    def _log(self, level: str, event: str, **fields: object) -> None:
        self._out.append(ports.Line(level, event, tuple(fields.items())))


def tables(engine: Engine) -> dict[str, int]:
    """The size of every table, for a figure on each."""
    router = engine.router
    return {
        "calls": engine.open,
        "ledger": len(engine.ledger) if engine.ledger else 0,
        "ledger_bytes": engine.ledger.bytes if engine.ledger else 0,
        "timers": len(engine._wheel) if engine._wheel else 0,
        "sources": len(engine._calls_by_source),
        "orders": len(engine._orders),
        "workers": len(router.workers),
        "functions": len(router.functions),
        "module_calls": len(router.calls),
        **engine.roster.sizes(),
    }
