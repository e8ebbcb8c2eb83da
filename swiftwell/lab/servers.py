"""Emulates calc servers and their model store in virtual time, with the model and faults of the stand-ins."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from swiftwell.lab.world import World
from swiftwell.standins.model import (
    CalcServer,
    Crashed,
    Done,
    Effect,
    Failed,
    Fetch,
    LoadOrderEnded,
    Machine,
    Work,
)

FOREVER_S = 3_600.0
WARM_UPTIME_US = 172_800_000_000  # uptime of a server that is warm from the start
OVERLOAD_LIMIT_US, STOPPED_US = 2_000_000, 5_000_000  # compare standins/store.py


class Store:
    """The model store.

    Up to `capacity` fetches run at full speed; more of them share its rate.  Past `max_fetches` they are
    refused.  After more than OVERLOAD_LIMIT_US above 3 * `capacity` fetches the store stops for STOPPED_US.
    """

    def __init__(self, world: World, fetch_us: float, capacity: int, max_fetches: int) -> None:
        self._world, self._fetch_us, self._capacity, self._max_fetches = (
            world, fetch_us, capacity, max_fetches,
        )  # fmt: skip
        self._fetches: list[list] = []  # [remaining us, on_result]
        self._advanced_at = world.now
        self._timer_version = 0
        self._stopped_until = 0
        self._overloaded_since = 0
        self.slowdown = 1.0

    def fault(self, name: str, for_s: float, slowdown_factor: float = 5.0) -> None:
        """Injects a fault, "stop" or "slow"."""
        self._world.record("fault", "store", worker="store", fault=name, for_s=for_s)
        self._advance()
        if name == "stop":
            self._stopped_until = self._world.now + int(for_s * 1e6)
        else:
            self.slowdown = slowdown_factor
            self._world.after(for_s * 1e6, self._end_slowdown)
        self._arm()

    def _end_slowdown(self) -> None:
        self._advance()
        self.slowdown = 1.0
        self._arm()

    def fetch(self, function: str, on_result: Callable[[bool], None]) -> None:
        """Fetches a model; `on_result` receives whether that succeeded."""
        self._advance()
        if len(self._fetches) >= self._max_fetches:
            self._world.record("store-refused", "store")
            self._world.after(0, on_result, False)
            return
        self._world.record("fetch", "store", function=function)
        self._fetches.append([self._fetch_us, on_result])
        self._arm()

    def _rate_per_fetch(self) -> float:
        return 1.0 / max(1.0, len(self._fetches) / self._capacity) / self.slowdown

    def _advance(self) -> None:
        """Accounts for the time since the last call in all fetches."""
        world = self._world
        start, self._advanced_at = max(self._advanced_at, min(world.now, self._stopped_until)), world.now
        elapsed = max(0, world.now - start) * self._rate_per_fetch()
        for fetch in self._fetches:
            fetch[0] -= elapsed
        if len(self._fetches) > 3 * self._capacity:
            self._overloaded_since = self._overloaded_since or world.now
            if world.now - self._overloaded_since > OVERLOAD_LIMIT_US:
                world.record("store-stopped", "store")
                self._stopped_until, self._overloaded_since = world.now + STOPPED_US, 0
        else:
            self._overloaded_since = 0

    def _arm(self) -> None:
        self._timer_version += 1
        if self._fetches:
            shortest = max(0.0, min(fetch[0] for fetch in self._fetches)) / self._rate_per_fetch()
            due_at = max(self._world.now, self._stopped_until) + math.ceil(shortest)
            self._world.at(due_at, self._on_timer, self._timer_version)

    def _on_timer(self, timer_version: int) -> None:
        if timer_version != self._timer_version:
            return
        self._advance()
        finished = [fetch for fetch in self._fetches if fetch[0] <= 0.5]
        self._fetches = [fetch for fetch in self._fetches if fetch[0] > 0.5]
        self._arm()
        for _, on_result in finished:
            on_result(True)


@dataclass(slots=True, eq=False)
class Answer:
    """A server's answer to a call, load order or query; `lost`: the connection ends without an answer."""

    verdict: str = ""  # "", "full", "draining", "miss", "error"
    copy_state: str = ""  # "warm", "loaded" or "waited" after a call that ran
    worker_calls_held: int = 0
    function_calls_waiting: int = 0
    copies: int = 0
    draining: bool = False
    body: bytes = b""
    lost: bool = False
    started_us: int = 0
    answered_twice: bool = False  # a second answer follows, after which the connection ends


AnswerCallback = Callable[[Answer], None]


class Server:
    """One calc server.

    `on_state_change` receives "running", "draining" and "gone", as a supervisor would see them.
    """

    def __init__(
        self, world: World, name: str, kind: str, machine: Machine, work_us: dict[str, float], store: Store,
        keys: OrderedDict[str, int], warm: bool, on_state_change: Callable[[Server, str], None],
    ) -> None:  # fmt: skip
        self.world, self.name, self.kind, self.machine = world, name, kind, machine
        self._work_us, self._store, self._keys, self._on_state_change = work_us, store, keys, on_state_change
        self._work_random = world.stream(f"work/{name}")
        self.model = CalcServer(machine, world.now, cold=not warm, keys=keys)
        self.started_us = world.now - (WARM_UPTIME_US if warm else 0)
        self.down = self.draining = False
        self._incarnation = 0
        self._timer_version = 0
        self._calls: dict[Work, AnswerCallback] = {}  # calls that await their answer
        self._orders: dict[str, list[AnswerCallback]] = {}  # pending load orders by function
        self._full_until: dict[str, int] = {}  # by request class, "" for all
        self._fault_ends: dict[str, int] = {}
        # Requests received during the fault "pause".
        self._paused_requests: list[tuple[Callable[..., None], tuple]] = []

    # Process state and faults.

    def die(self, restart_after_s: float = FOREVER_S) -> None:
        """Ends the process; after `restart_after_s` a new one starts there, cold and without copies."""
        if self.down:
            return
        self.down = True
        self._incarnation += 1
        self._record("died")
        calls, orders = (
            list(self._calls.values()), [entry for entries in self._orders.values() for entry in entries],
        )  # fmt: skip
        self._calls, self._orders = {}, {}
        self._fault_ends.clear()
        self._full_until.clear()
        self._paused_requests.clear()
        for on_answer in (*calls, *orders):
            on_answer(Answer(lost=True))
        self._on_state_change(self, "gone")
        if restart_after_s < FOREVER_S:
            self.world.after(restart_after_s * 1e6, self._restart, self._incarnation)

    def _restart(self, incarnation: int) -> None:
        if incarnation != self._incarnation:
            return
        self.model = CalcServer(self.machine, self.world.now, cold=True, keys=self._keys)
        self.started_us = self.world.now
        self.draining = self.down = False
        self._record("started")
        self._on_state_change(self, "running")

    def drain(self, restart_after_s: float = FOREVER_S, stop_after_s: float = 3.0) -> None:
        """Rejects new work, ends the process after `stop_after_s`, restarts it after `restart_after_s`."""
        if self.down or self.draining:
            return
        self.draining = True
        self._record("draining")
        self._on_state_change(self, "draining")
        self.world.after(stop_after_s * 1e6, self._end_drain, self._incarnation, restart_after_s)

    def _end_drain(self, incarnation: int, restart_after_s: float) -> None:
        if incarnation == self._incarnation:
            self.die(restart_after_s)

    def fault(self, name: str, for_s: float, slowdown_factor: float = 5.0, request_class: str = "") -> None:
        """Injects a fault of the stand-in."""
        self.world.record("fault", "fleet", worker=self.name, fault=name, for_s=for_s)
        fault_ends_at = self.world.now + int(for_s * 1e6)
        if name == "full":
            self._full_until[request_class] = fault_ends_at
            return
        self._fault_ends[name] = fault_ends_at
        if name in ("hang", "pause"):
            self._apply_effects(self.model.advance(self.world.now))
            self.model.frozen = True
            self.world.at(fault_ends_at, self._resume, self._incarnation)
        elif name == "slow":
            self._apply_effects(self.model.advance(self.world.now))
            self.model.slow = slowdown_factor
            self.world.at(fault_ends_at, self._end_slowdown, self._incarnation)

    def _resume(self, incarnation: int) -> None:
        if incarnation == self._incarnation:
            self.model.advance(self.world.now)
            self.model.frozen = False
            paused, self._paused_requests = self._paused_requests, []
            for receive, args in paused:
                receive(*args)
            self._arm()

    def _end_slowdown(self, incarnation: int) -> None:
        if incarnation == self._incarnation:
            self._apply_effects(self.model.advance(self.world.now))
            self.model.slow = 1.0
            self._arm()

    def _has_fault(self, fault: str) -> bool:
        return self.world.now < self._fault_ends.get(fault, 0)

    def refuses(self) -> bool:
        """Whether connections are refused now."""
        return self.down or self._has_fault("refuse")

    def _record(self, ev: str, **fields: object) -> None:
        self.world.record(ev, "fleet", worker=self.name, **fields)

    # Serving.

    def run(self, gw: str, call: str, work: Work, on_answer: AnswerCallback) -> None:
        """Receives a call; `on_answer` is called at most once."""
        if self._has_fault("pause"):
            self._paused_requests.append((self.run, (gw, call, work, on_answer)))
            return
        if self.refuses():
            on_answer(Answer(lost=True))
            return
        self._record("recv", gw=gw, call=call, key=work.key, band=work.request_class, function=work.function)
        mean = self._work_us.get(work.request_class, self._work_us.get("", 100_000.0))
        work.work_us = self._work_random.uniform(0.5, 1.5) * mean
        verdict = self._refusal(work.request_class)
        if not verdict:
            self._calls[work] = on_answer
            model_verdict, effects = self.model.arrive(self.world.now, work)
            verdict = "" if model_verdict == "taken" else model_verdict
            if verdict:
                self._calls.pop(work, None)
            if self._apply_effects(effects):
                if verdict:
                    on_answer(Answer(lost=True))  # this call crashed the server
                return
        if verdict:
            self._record("turned", gw=gw, call=call, verdict=verdict)
            on_answer(self._answer(verdict, work))

    def _refusal(self, request_class: str) -> str:
        if self.draining:
            return "draining"
        fault_ends_at = max(self._full_until.get(request_class, 0), self._full_until.get("", 0))
        return "full" if self.world.now < fault_ends_at else ""

    def _answer(self, verdict: str, work: Work | None = None) -> Answer:
        function_calls_waiting = work.function_calls_waiting if work else 0
        return Answer(
            verdict, worker_calls_held=self.model.held, function_calls_waiting=function_calls_waiting,
            draining=verdict == "draining", started_us=self.started_us,
        )  # fmt: skip

    def order(
        self, gw: str, function: str, copies: int, memory: float, lanes: int, on_answer: AnswerCallback
    ) -> None:
        """Receives a load order, or with 0 copies a query."""
        if self._has_fault("pause"):
            self._paused_requests.append((self.order, (gw, function, copies, memory, lanes, on_answer)))
            return
        if self.refuses():
            on_answer(Answer(lost=True))
            return
        if not copies:
            self._record("asked", gw=gw)
            answer = self._answer("")
            answer.copies, answer.draining = self.model.copies(function), self.draining
            if self.draining:
                self._record("turned", gw=gw, call="ask", verdict="draining")
            on_answer(answer)
            return
        self._record("order", gw=gw, function=function)
        if self.draining:
            self._record("turned", gw=gw, call="order", verdict="draining")
            on_answer(self._answer("draining"))
            return
        state, effects = self.model.order_load(self.world.now, function, copies, memory, lanes)
        if state == "coming":
            self._orders.setdefault(function, []).append(on_answer)
        if self._apply_effects(effects):
            return
        if state == "full":
            on_answer(self._answer("full"))
        elif state == "stands":
            self._confirm_order(function, on_answer)

    def _confirm_order(self, function: str, on_answer: AnswerCallback) -> None:
        answer = self._answer("")
        answer.copies = self.model.copies(function)
        on_answer(answer)

    def _apply_effects(self, effects: list[Effect]) -> bool:
        """Applies the model's effects; returns whether the server crashed."""
        for effect in effects:
            match effect:
                case Fetch():
                    self._store.fetch(
                        effect.function,
                        lambda ok, function=effect.function, incarnation=self._incarnation: self._fetched(
                            function, incarnation, ok
                        ),
                    )
                case Done():
                    self._done(effect.work)
                case Failed():
                    if on_answer := self._calls.pop(effect.work, None):
                        on_answer(self._answer("error", effect.work))
                case LoadOrderEnded():
                    for on_answer in self._orders.pop(effect.function, ()):
                        if effect.ok:
                            self._confirm_order(effect.function, on_answer)
                        else:
                            on_answer(self._answer("error"))
                case Crashed():
                    self._record("fell")
                    self.die()
                    return True
        self._arm()
        return False

    def _fetched(self, function: str, incarnation: int, ok: bool) -> None:
        if incarnation == self._incarnation and not self.down:
            self._apply_effects(self.model.on_fetched(self.world.now, function, ok))

    def _done(self, work: Work) -> None:
        if not work.repeated:
            self._record("ran", call=work.id, key=work.key, band=work.request_class, found=work.copy_state)
        on_answer = self._calls.pop(work, None)
        if self._has_fault("die_after"):  # after the effect, before the answer
            del self._fault_ends["die_after"]
            if on_answer:
                on_answer(Answer(lost=True))
            self.die(2.0)
            return
        if on_answer is None:
            return
        if self._has_fault("mute"):
            self._record("muted", call=work.id)  # no answer is sent; the connection stays open
            return
        answer = self._answer("", work)
        answer.copy_state, answer.body = work.copy_state, f"{work.function} {work.id}".encode()
        answer.lost, answer.answered_twice = self._has_fault("reset"), self._has_fault("twice")
        if self._has_fault("large"):
            answer.body = bytes(4_000_000)
        on_answer(answer)

    def _arm(self) -> None:
        self._timer_version += 1
        if self.down:
            return
        due_at = self.model.next_due(self.world.now)
        if due_at is not None:
            self.world.at(due_at, self._on_timer, self._timer_version, self._incarnation)

    def _on_timer(self, timer_version: int, incarnation: int) -> None:
        if timer_version == self._timer_version and incarnation == self._incarnation:
            self._apply_effects(self.model.advance(self.world.now))
