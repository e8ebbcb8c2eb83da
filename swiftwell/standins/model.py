"""A calc server as a state machine: cores shared by running calls, copies with lanes, loads, memory, warm-up.

It does no I/O.  Its shell (worker.py) passes in calls, load orders and fetched models, and executes the
effects that the methods return.  Times are monotonic, in microseconds.  Work is in microseconds on a core of
speed 1.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Machine:
    """The configuration of a calc server.

    `max_calls`: calls that it accepts at a time, queued and running.  `max_loads`: concurrent loads.
    `idle_us`: time after which an idle copy is dropped.  `start_us`: time from the arrival of a model's bytes
    until the copy can run calls.  `cold_share`, `cold_us`: fraction of its capacity that a server has right
    after its start, and the time until it has all of it.  `crash_multiple`, `crash_window_us`: a cold server
    crashes if the work sent to it over the last `crash_window_us` exceeds that multiple of its capacity.
    `rejects_unloaded`: rejects calls for functions that have no copy, instead of loading one.
    `key_retention_us`: how long a call with a key seen before counts as repeated; 0 turns this off.
    """

    cores: float = 4
    speed: float = 1.0
    memory_mb: float = 8_000
    max_calls: int = 64
    max_loads: int = 4
    idle_us: int = 10_000_000
    start_us: int = 200_000
    cold_share: float = 1.0
    cold_us: int = 0
    crash_multiple: float = 2.0
    crash_window_us: int = 3_000_000
    rejects_unloaded: bool = False
    key_retention_us: int = 0


@dataclass(slots=True, eq=False)
class Work:
    """One call at a calc server.

    `copy_state`: the state of the function's copies on arrival ("warm", "waited", "loaded").
    `function_calls_waiting`: calls of the same function that were here on arrival.  `remaining_us`: work that
    is still to do.
    """

    id: str
    function: str
    work_us: float
    memory_mb: float = 100.0
    lanes: int = 1
    key: str = ""
    request_class: str = ""
    copy_state: str = "warm"
    function_calls_waiting: int = 0
    remaining_us: float = 0.0
    repeated: bool = False  # its key was seen before: the effect is not performed again


@dataclass(slots=True, eq=False)
class _Copy:
    standing: bool = False
    busy: int = 0
    idle_since: int = 0


@dataclass(slots=True, eq=False)
class _Function:
    name: str
    memory_mb: float
    lanes: int
    copies: list[_Copy] = field(default_factory=list)
    queue: deque[Work] = field(default_factory=deque)
    wanted: int = 0  # number of standing copies that load orders wait for
    held: int = 0  # calls queued and running

    def standing(self) -> list[_Copy]:
        return [copy for copy in self.copies if copy.standing]

    def loading(self) -> int:
        return sum(not copy.standing for copy in self.copies)


@dataclass(frozen=True, slots=True)
class Fetch:
    """Fetch the model of a function, then call `CalcServer.on_fetched`."""

    function: str


@dataclass(frozen=True, slots=True)
class Done:
    """A call has run; its effect takes place now."""

    work: Work


@dataclass(frozen=True, slots=True)
class Failed:
    """A call can't run because the load that it waited for failed."""

    work: Work


@dataclass(frozen=True, slots=True)
class LoadOrderEnded:
    """The load orders for a function have ended; `ok` if as many copies stand as they asked for."""

    function: str
    copies: int
    ok: bool


@dataclass(frozen=True, slots=True)
class Crashed:
    """The server has crashed under its load and does nothing any more."""


Effect = Fetch | Done | Failed | LoadOrderEnded | Crashed


class CalcServer:
    """One process of a calc server, from its start to its end."""

    def __init__(
        self, machine: Machine, now: int, cold: bool = True, keys: OrderedDict[str, int] | None = None
    ) -> None:
        self.machine = machine
        self.started = now if cold else now - machine.cold_us
        self.fallen = False
        self.slow = 1.0  # factor by which a fault slows calls down
        self.frozen = False
        self._functions: dict[str, _Function] = {}
        self._running: dict[Work, _Copy] = {}
        self._at = now
        self._starting_copies: list[tuple[int, str, _Copy]] = []
        self._recent_arrivals: deque[tuple[int, float]] = deque()
        # When each key was first seen by the group of servers that drop repeated calls together.
        self._keys: OrderedDict[str, int] = OrderedDict() if keys is None else keys
        self.fetching = 0

    # State.

    @property
    def held(self) -> int:
        """Calls queued and running."""
        return sum(function.held for function in self._functions.values())

    def memory_used(self) -> float:
        """Memory of all copies, in MB."""
        return sum(function.memory_mb * len(function.copies) for function in self._functions.values())

    def copies(self, function: str) -> int:
        """Number of standing copies of a function."""
        function_state = self._functions.get(function)
        return len(function_state.standing()) if function_state else 0

    def share(self, now: int) -> float:
        """The fraction of its full capacity that it has now."""
        machine = self.machine
        if now >= self.started + machine.cold_us or not machine.cold_us:
            return 1.0
        return machine.cold_share + (1 - machine.cold_share) * (now - self.started) / machine.cold_us

    # Events.

    def arrive(self, now: int, work: Work) -> tuple[str, list[Effect]]:
        """Handles an arriving call; returns "taken", "full" or "miss", and the effects."""
        effects = self.advance(now)
        if self.fallen:
            return "full", effects
        if self._exceeds_crash_load(now, work.work_us):
            return "full", [*effects, *self._crash()]
        function = self._functions.get(work.function)
        if self.machine.rejects_unloaded and (function is None or not function.copies):
            return "miss", effects
        if self.held >= self.machine.max_calls:
            return "full", effects
        if function is None:
            function = self._functions[work.function] = _Function(work.function, work.memory_mb, work.lanes)
        work.function_calls_waiting = function.held
        if not function.copies and not self._begin_load(now, function, effects):
            return "full", effects
        function.held += 1
        has_copy = bool(function.standing())
        work.copy_state = (
            "warm" if has_copy else "waited" if work.function_calls_waiting or function.wanted else "loaded"
        )
        work.remaining_us = work.work_us
        function.queue.append(work)
        self._start_queued(now, function)
        if function.queue and has_copy and not function.loading():
            self._begin_load(now, function, effects)  # all lanes are busy: load another copy if there is room
        return "taken", effects

    def order_load(
        self, now: int, function: str, copies: int, memory_mb: float, lanes: int
    ) -> tuple[str, list[Effect]]:
        """Handles a load order; returns its state and the effects.

        The state is "stands", "coming" (a `LoadOrderEnded` follows) or "full".
        """
        effects = self.advance(now)
        if self.fallen:
            return "full", effects
        function_state = self._functions.setdefault(function, _Function(function, memory_mb, lanes))
        for copy in function_state.standing():
            copy.idle_since = now
        if len(function_state.standing()) >= copies:
            return "stands", effects
        while len(function_state.copies) < copies:
            if not self._begin_load(now, function_state, effects):
                self._remove_if_unused(function_state)
                return "full", effects
        function_state.wanted = max(function_state.wanted, copies)
        return "coming", effects

    def unload(self, now: int, function: str) -> list[Effect]:
        """Drops the idle copies of a function."""
        effects = self.advance(now)
        function_state = self._functions.get(function)
        if function_state:
            function_state.copies = [copy for copy in function_state.copies if copy.busy or not copy.standing]
            self._remove_if_unused(function_state)
        return effects

    def on_fetched(self, now: int, function: str, ok: bool) -> list[Effect]:
        """Handles the end of a `Fetch`, successful or not."""
        effects = self.advance(now)
        self.fetching -= 1
        function_state = self._functions.get(function)
        unfetched = (
            [copy for copy in function_state.copies if not copy.standing and copy.idle_since == 0]
            if function_state
            else []
        )
        if not function_state or not unfetched:
            return effects
        if ok:
            unfetched[0].idle_since = 1  # marks that the model has been fetched and the copy is starting
            self._starting_copies.append((now + self.machine.start_us, function, unfetched[0]))
            return effects
        function_state.copies.remove(unfetched[0])
        if not function_state.copies:
            effects += [Failed(work) for work in function_state.queue]
            function_state.held -= len(function_state.queue)
            function_state.queue.clear()
        if function_state.wanted:
            function_state.wanted = 0
            effects.append(LoadOrderEnded(function, len(function_state.standing()), False))
        self._remove_if_unused(function_state)
        return effects

    def drop(self, now: int, work: Work) -> list[Effect]:
        """Removes a queued call whose client has disconnected; a running call goes on."""
        effects = self.advance(now)
        function_state = self._functions.get(work.function)
        if function_state and work in function_state.queue:
            function_state.queue.remove(work)
            function_state.held -= 1
        return effects

    def next_due(self, now: int) -> int | None:
        """When `advance` must be called next; None if nothing is due."""
        if self.frozen or self.fallen:
            return None
        times = [due for due, _, _ in self._starting_copies]
        if self._running:
            rate = self._work_rate(now)
            min_remaining_us = min(work.remaining_us for work in self._running)
            # The rate of a cold server rises all the time: compute it anew every 50 ms.
            delay = min(min_remaining_us / rate, 50_000) if self.share(now) < 1 else min_remaining_us / rate
            times.append(now + max(1, math.ceil(delay)))
        idle = [
            copy.idle_since
            for function in self._functions.values()
            for copy in function.copies
            if copy.standing and not copy.busy
        ]
        if idle:
            times.append(min(idle) + self.machine.idle_us)
        return min(times, default=None)

    def advance(self, now: int) -> list[Effect]:
        """Advances the state to `now` and returns the effects."""
        effects: list[Effect] = []
        if self.frozen or self.fallen:
            self._at = now
            return effects
        while True:
            starts = min((due for due, _, _ in self._starting_copies), default=now + 1)
            rate = self._work_rate(self._at) if self._running else 0.0
            min_remaining_us = min((work.remaining_us for work in self._running), default=math.inf)
            ends = self._at + max(1, math.ceil(min_remaining_us / rate)) if rate else now + 1
            at = min(now, starts, ends)
            at = max(at, self._at)
            for work in self._running:
                work.remaining_us -= rate * (at - self._at)
            self._at = at
            for work in [work for work in self._running if work.remaining_us <= 1e-6]:
                effects.append(self._finish(at, work))
            for start in [start for start in self._starting_copies if start[0] <= at]:
                self._starting_copies.remove(start)
                self._on_copy_started(at, start[1], start[2], effects)
            if at >= now and ends > now and starts > now:
                break
        self._drop_idle_copies(now)
        return effects

    # Internals.

    def _work_rate(self, now: int) -> float:
        machine, running = self.machine, len(self._running)
        return machine.speed * min(1.0, machine.cores / running) * self.share(now) / self.slow

    def _finish(self, now: int, work: Work) -> Done:
        copy = self._running.pop(work)
        function = self._functions[work.function]
        copy.busy -= 1
        copy.idle_since = now
        function.held -= 1
        if self.machine.key_retention_us and work.key:
            while self._keys and next(iter(self._keys.values())) < now - self.machine.key_retention_us:
                self._keys.popitem(last=False)
            work.repeated = work.key in self._keys
            self._keys.setdefault(work.key, now)
        self._start_queued(now, function)
        return Done(work)

    def _start_queued(self, now: int, function: _Function) -> None:
        for copy in function.standing():
            while function.queue and copy.busy < function.lanes:
                copy.busy += 1
                self._running[function.queue.popleft()] = copy

    def _on_copy_started(self, now: int, name: str, copy: _Copy, effects: list[Effect]) -> None:
        function = self._functions[name]
        copy.standing, copy.idle_since = True, now
        self._start_queued(now, function)
        if function.wanted and len(function.standing()) >= function.wanted:
            function.wanted = 0
            effects.append(LoadOrderEnded(name, len(function.standing()), True))

    def _begin_load(self, now: int, function: _Function, effects: list[Effect]) -> bool:
        if sum(other.loading() for other in self._functions.values()) >= self.machine.max_loads:
            return False
        free_mb = self.machine.memory_mb - self.memory_used()
        idle = sorted(
            ((copy.idle_since, other.name, copy) for other in self._functions.values()
             if other is not function for copy in other.copies if copy.standing and not copy.busy),
            key=lambda entry: entry[:2],
        )  # fmt: skip
        while free_mb < function.memory_mb and idle:
            _, name, copy = idle.pop(0)
            other = self._functions[name]
            other.copies.remove(copy)
            free_mb += other.memory_mb
            self._remove_if_unused(other)
        if free_mb < function.memory_mb:
            return False
        function.copies.append(_Copy())
        self.fetching += 1
        effects.append(Fetch(function.name))
        return True

    def _drop_idle_copies(self, now: int) -> None:
        idle_limit = now - self.machine.idle_us
        for function in list(self._functions.values()):
            function.copies = [
                copy
                for copy in function.copies
                if copy.busy or not copy.standing or copy.idle_since > idle_limit or function.queue
            ]
            self._remove_if_unused(function)

    def _remove_if_unused(self, function: _Function) -> None:
        if not function.copies and not function.held and self._functions.get(function.name) is function:
            del self._functions[function.name]

    def _exceeds_crash_load(self, now: int, work_us: float) -> bool:
        """Whether this arrival exceeds the load at which a cold server crashes."""
        machine = self.machine
        if self.share(now) >= 1.0:
            self._recent_arrivals.clear()
            return False
        self._recent_arrivals.append((now, work_us))
        while self._recent_arrivals and self._recent_arrivals[0][0] <= now - machine.crash_window_us:
            self._recent_arrivals.popleft()
        crash_load = (
            machine.crash_multiple * self.share(now) * machine.cores * machine.speed * machine.crash_window_us
        )
        return sum(work for _, work in self._recent_arrivals) > crash_load

    def _crash(self) -> list[Effect]:
        self.fallen = True
        return [Crashed()]
