"""Calc servers and their model store in virtual time: the stand-ins' model, with the stand-ins' faults."""

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
WARM_FOR_US = 172_800_000_000  # us that a server which is warm from the start has been up
STOP_AFTER_US, STOPPED_US = 2_000_000, 5_000_000  # standins/store.py


class Store:
    """The model store: all fetches share its pace, past `most` they are refused, and under a lasting crowd it
    stops."""

    def __init__(self, world: World, fetch_us: float, room: int, most: int) -> None:
        self._world, self._fetch_us, self._room, self._most = world, fetch_us, room, most
        self._here: list[list] = []  # [us left, told]
        self._at = world.now
        self._turn = 0
        self._stopped_until = 0
        self._pushed_since = 0
        self.slow = 1.0

    def fault(self, name: str, for_s: float, times: float = 5.0) -> None:
        """stop or slow."""
        self._world.note("fault", "store", worker="store", fault=name, for_s=for_s)
        self._advance()
        if name == "stop":
            self._stopped_until = self._world.now + int(for_s * 1e6)
        else:
            self.slow = times
            self._world.after(for_s * 1e6, self._normal)
        self._arm()

    def _normal(self) -> None:
        self._advance()
        self.slow = 1.0
        self._arm()

    def fetch(self, function: str, told: Callable[[bool], None]) -> None:
        """Fetch a model; `told` hears whether it came."""
        self._advance()
        if len(self._here) >= self._most:
            self._world.note("store-refused", "store")
            self._world.after(0, told, False)
            return
        self._world.note("fetch", "store", function=function)
        self._here.append([self._fetch_us, told])
        self._arm()

    def _pace(self) -> float:
        return 1.0 / max(1.0, len(self._here) / self._room) / self.slow

    def _advance(self) -> None:
        """Let the time since the last look pass for all."""
        world = self._world
        since, self._at = max(self._at, min(world.now, self._stopped_until)), world.now
        spent = max(0, world.now - since) * self._pace()
        for one in self._here:
            one[0] -= spent
        if len(self._here) > 3 * self._room:
            self._pushed_since = self._pushed_since or world.now
            if world.now - self._pushed_since > STOP_AFTER_US:
                world.note("store-stopped", "store")
                self._stopped_until, self._pushed_since = world.now + STOPPED_US, 0
        else:
            self._pushed_since = 0

    def _arm(self) -> None:
        self._turn += 1
        if self._here:
            least = max(0.0, min(one[0] for one in self._here)) / self._pace()
            due = max(self._world.now, self._stopped_until) + math.ceil(least)
            self._world.at(due, self._ended, self._turn)

    def _ended(self, turn: int) -> None:
        if turn != self._turn:
            return
        self._advance()
        done = [one for one in self._here if one[0] <= 0.5]
        self._here = [one for one in self._here if one[0] > 0.5]
        self._arm()
        for _, told in done:
            told(True)


@dataclass(slots=True, eq=False)
class Answer:
    """What a server says of a call, an order or a question; `lost`: nothing comes, the connection ends."""

    verdict: str = ""  # "", "full", "draining", "miss", "error"
    found: str = ""
    held: int = 0
    crowd: int = 0
    copies: int = 0
    draining: bool = False
    body: bytes = b""
    lost: bool = False
    started_us: int = 0
    extra: bool = False  # a second answer follows, which ends the connection


Told = Callable[[Answer], None]


class Server:
    """One calc server.  `changed` hears of "running", "draining" and "gone", as a supervisor would see it."""

    def __init__(
        self, world: World, name: str, kind: str, machine: Machine, work_us: dict[str, float], store: Store,
        keys: OrderedDict[str, int], warm: bool, changed: Callable[[Server, str], None],
    ) -> None:  # fmt: skip
        self.world, self.name, self.kind, self.machine = world, name, kind, machine
        self._work_us, self._store, self._keys, self._changed = work_us, store, keys, changed
        self._chance = world.stream(f"work/{name}")
        self.model = CalcServer(machine, world.now, cold=not warm, keys=keys)
        self.started_us = world.now - (WARM_FOR_US if warm else 0)
        self.down = self.draining = False
        self._life = 0
        self._turn = 0
        self._waiting: dict[Work, Told] = {}
        self._orders: dict[str, list[Told]] = {}
        self._full: dict[str, int] = {}
        self._until: dict[str, int] = {}
        self._paused: list[tuple[Callable[..., None], tuple]] = []

    # Life and faults.

    def die(self, back_s: float = FOREVER_S) -> None:
        """The process ends; a new one starts at its address, cold and empty."""
        if self.down:
            return
        self.down = True
        self._life += 1
        self._note("died")
        waiting, orders = list(self._waiting.values()), [t for told in self._orders.values() for t in told]
        self._waiting, self._orders = {}, {}
        self._until.clear()
        self._full.clear()
        self._paused.clear()
        for told in (*waiting, *orders):
            told(Answer(lost=True))
        self._changed(self, "gone")
        if back_s < FOREVER_S:
            self.world.after(back_s * 1e6, self._back, self._life)

    def _back(self, life: int) -> None:
        if life != self._life:
            return
        self.model = CalcServer(self.machine, self.world.now, cold=True, keys=self._keys)
        self.started_us = self.world.now
        self.draining = self.down = False
        self._note("started")
        self._changed(self, "running")

    def drain(self, back_s: float = FOREVER_S, end_s: float = 3.0) -> None:
        """Finish what is here, take nothing new, end, and come back."""
        if self.down or self.draining:
            return
        self.draining = True
        self._note("draining")
        self._changed(self, "draining")
        self.world.after(end_s * 1e6, self._drained, self._life, back_s)

    def _drained(self, life: int, back_s: float) -> None:
        if life == self._life:
            self.die(back_s)

    def fault(self, name: str, for_s: float, times: float = 5.0, request_class: str = "") -> None:
        """As of the stand-in."""
        self.world.note("fault", "fleet", worker=self.name, fault=name, for_s=for_s)
        until = self.world.now + int(for_s * 1e6)
        if name == "full":
            self._full[request_class] = until
            return
        self._until[name] = until
        if name in ("hang", "pause"):
            self._carry(self.model.advance(self.world.now))
            self.model.frozen = True
            self.world.at(until, self._thaw, self._life)
        elif name == "slow":
            self._carry(self.model.advance(self.world.now))
            self.model.slow = times
            self.world.at(until, self._normal, self._life)

    def _thaw(self, life: int) -> None:
        if life == self._life:
            self.model.advance(self.world.now)
            self.model.frozen = False
            paused, self._paused = self._paused, []
            for act, args in paused:
                act(*args)
            self._arm()

    def _normal(self, life: int) -> None:
        if life == self._life:
            self._carry(self.model.advance(self.world.now))
            self.model.slow = 1.0
            self._arm()

    def _has(self, fault: str) -> bool:
        return self.world.now < self._until.get(fault, 0)

    def refuses(self) -> bool:
        """Nothing listens here now."""
        return self.down or self._has("refuse")

    def _note(self, ev: str, **fields: object) -> None:
        self.world.note(ev, "fleet", worker=self.name, **fields)

    # Serving.

    def run(self, gw: str, call: str, work: Work, told: Told) -> None:
        """A call comes; `told` hears once."""
        if self._has("pause"):
            self._paused.append((self.run, (gw, call, work, told)))
            return
        if self.refuses():
            told(Answer(lost=True))
            return
        self._note("recv", gw=gw, call=call, key=work.key, band=work.request_class, function=work.function)
        mean = self._work_us.get(work.request_class, self._work_us.get("", 100_000.0))
        work.work_us = self._chance.uniform(0.5, 1.5) * mean
        verdict = self._refusal(work.request_class)
        if not verdict:
            self._waiting[work] = told
            taken, effects = self.model.arrive(self.world.now, work)
            verdict = "" if taken == "taken" else taken
            if verdict:
                self._waiting.pop(work, None)
            if self._carry(effects):
                if verdict:
                    told(Answer(lost=True))  # pushed over by this very call
                return
        if verdict:
            self._note("turned", gw=gw, call=call, verdict=verdict)
            told(self._answer(verdict, work))

    def _refusal(self, request_class: str) -> str:
        if self.draining:
            return "draining"
        until = max(self._full.get(request_class, 0), self._full.get("", 0))
        return "full" if self.world.now < until else ""

    def _answer(self, verdict: str, work: Work | None = None) -> Answer:
        crowd = work.function_calls_waiting if work else 0
        return Answer(
            verdict, held=self.model.held, crowd=crowd, draining=verdict == "draining",
            started_us=self.started_us,
        )  # fmt: skip

    def order(self, gw: str, function: str, copies: int, memory: float, lanes: int, told: Told) -> None:
        """An order to load, or with 0 copies a question."""
        if self._has("pause"):
            self._paused.append((self.order, (gw, function, copies, memory, lanes, told)))
            return
        if self.refuses():
            told(Answer(lost=True))
            return
        if not copies:
            self._note("asked", gw=gw)
            answer = self._answer("")
            answer.copies, answer.draining = self.model.copies(function), self.draining
            if self.draining:
                self._note("turned", gw=gw, call="ask", verdict="draining")
            told(answer)
            return
        self._note("order", gw=gw, function=function)
        if self.draining:
            self._note("turned", gw=gw, call="order", verdict="draining")
            told(self._answer("draining"))
            return
        state, effects = self.model.order_load(self.world.now, function, copies, memory, lanes)
        if state == "coming":
            self._orders.setdefault(function, []).append(told)
        if self._carry(effects):
            return
        if state == "full":
            told(self._answer("full"))
        elif state == "stands":
            self._stands(function, told)

    def _stands(self, function: str, told: Told) -> None:
        answer = self._answer("")
        answer.copies = self.model.copies(function)
        told(answer)

    def _carry(self, effects: list[Effect]) -> bool:
        """Carry out what the model wants; whether it fell over."""
        for effect in effects:
            match effect:
                case Fetch():
                    self._store.fetch(
                        effect.function, lambda ok, f=effect.function, n=self._life: self._fetched(f, n, ok)
                    )
                case Done():
                    self._done(effect.work)
                case Failed():
                    if told := self._waiting.pop(effect.work, None):
                        told(self._answer("error", effect.work))
                case LoadOrderEnded():
                    for told in self._orders.pop(effect.function, ()):
                        if effect.ok:
                            self._stands(effect.function, told)
                        else:
                            told(self._answer("error"))
                case Crashed():
                    self._note("fell")
                    self.die()
                    return True
        self._arm()
        return False

    def _fetched(self, function: str, life: int, ok: bool) -> None:
        if life == self._life and not self.down:
            self._carry(self.model.on_fetched(self.world.now, function, ok))

    def _done(self, work: Work) -> None:
        if not work.repeated:
            self._note("ran", call=work.id, key=work.key, band=work.request_class, found=work.copy_state)
        told = self._waiting.pop(work, None)
        if self._has("die_after"):  # after the effect, before its answer
            del self._until["die_after"]
            if told:
                told(Answer(lost=True))
            self.die(2.0)
            return
        if told is None:
            return
        if self._has("mute"):
            self._note("muted", call=work.id)  # the answer is lost; the connection stays open
            return
        answer = self._answer("", work)
        answer.found, answer.body = work.copy_state, f"{work.function} {work.id}".encode()
        answer.lost, answer.extra = self._has("reset"), self._has("twice")
        if self._has("large"):
            answer.body = bytes(4_000_000)
        told(answer)

    def _arm(self) -> None:
        self._turn += 1
        if self.down:
            return
        due = self.model.next_due(self.world.now)
        if due is not None:
            self.world.at(due, self._tick, self._turn, self._life)

    def _tick(self, turn: int, life: int) -> None:
        if turn == self._turn and life == self._life:
            self._carry(self.model.advance(self.world.now))
