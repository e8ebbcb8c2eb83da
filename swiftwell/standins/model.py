"""A calc server as a state machine: cores shared by running calls, copies with lanes, loads, memory,
warm-up.  No I/O.

Its shell (worker.py) brings calls, orders and fetched bytes, carries out `Fetch` and hears of ends.  Times
are monotonic
microseconds; work is microseconds on a core of speed 1.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Machine:
    """What a calc server is made of.

    `cold_share`, `cold_us`: part of its work that it can do just started, and how long until it is warm.
    `fall_multiple`, `fall_us`: sent more than so many times what it can do, over so long while cold, it
    falls over.
    `fetch_us`, `start_us`: a copy's start after its bytes came; `remembers_us`: how long keys are dropped,
    0 never.
    """

    cores: float = 4
    speed: float = 1.0
    memory_mb: float = 8_000
    queue: int = 64
    loads: int = 4
    idle_us: int = 10_000_000
    start_us: int = 200_000
    cold_share: float = 1.0
    cold_us: int = 0
    fall_multiple: float = 2.0
    fall_us: int = 3_000_000
    misses: bool = False
    remembers_us: int = 0


@dataclass(slots=True, eq=False)
class Work:
    """One call at a calc server."""

    id: str
    function: str
    work_us: float
    memory_mb: float = 100.0
    lanes: int = 1
    key: str = ""
    request_class: str = ""
    found: str = "warm"
    crowd: int = 0
    left: float = 0.0
    repeated: bool = False  # its key was known: the effect is not done again


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
    wanted: int = 0  # copies that orders wait for
    held: int = 0  # calls here, queued and running

    def standing(self) -> list[_Copy]:
        return [copy for copy in self.copies if copy.standing]

    def loading(self) -> int:
        return sum(not copy.standing for copy in self.copies)


@dataclass(frozen=True, slots=True)
class Fetch:
    """Fetch a function's bytes; `CalcServer.fetched` is told."""

    function: str


@dataclass(frozen=True, slots=True)
class Done:
    """A call has run: its effect is done now."""

    work: Work


@dataclass(frozen=True, slots=True)
class Failed:
    """A call can't run: the load it waited for failed."""

    work: Work


@dataclass(frozen=True, slots=True)
class Stand:
    """Orders for a function are over: so many copies stand; `ok` where that is enough."""

    function: str
    copies: int
    ok: bool


@dataclass(frozen=True, slots=True)
class Fell:
    """Pushed over: it does nothing any more."""


Effect = Fetch | Done | Failed | Stand | Fell


class CalcServer:
    """One calc server's life, from start to end."""

    def __init__(
        self, machine: Machine, now: int, cold: bool = True, keys: OrderedDict[str, int] | None = None
    ) -> None:
        self.machine = machine
        self.started = now if cold else now - machine.cold_us
        self.fallen = False
        self.slow = 1.0  # times slower, by a fault
        self.frozen = False
        self._functions: dict[str, _Function] = {}
        self._running: dict[Work, _Copy] = {}
        self._at = now
        self._starts: list[tuple[int, str, _Copy]] = []
        self._offered: deque[tuple[int, float]] = deque()
        # Keys seen by the group of servers that drop repeats together.
        self._keys: OrderedDict[str, int] = OrderedDict() if keys is None else keys
        self.fetching = 0

    # What is known of it.

    @property
    def held(self) -> int:
        """Calls here, queued and running."""
        return sum(f.held for f in self._functions.values())

    def memory_used(self) -> float:
        """MB of all copies."""
        return sum(f.memory_mb * len(f.copies) for f in self._functions.values())

    def copies(self, function: str) -> int:
        """Copies of a function that stand."""
        known = self._functions.get(function)
        return len(known.standing()) if known else 0

    def share(self, now: int) -> float:
        """The part of its work that it can do now."""
        m = self.machine
        if now >= self.started + m.cold_us or not m.cold_us:
            return 1.0
        return m.cold_share + (1 - m.cold_share) * (now - self.started) / m.cold_us

    # What happens to it.

    def arrive(self, now: int, work: Work) -> tuple[str, list[Effect]]:
        """A call comes: "taken", "full" or "miss", and what follows."""
        out = self.advance(now)
        if self.fallen:
            return "full", out
        if self._push(now, work.work_us):
            return "full", [*out, *self._fall()]
        function = self._functions.get(work.function)
        if self.machine.misses and (function is None or not function.copies):
            return "miss", out
        if self.held >= self.machine.queue:
            return "full", out
        if function is None:
            function = self._functions[work.function] = _Function(work.function, work.memory_mb, work.lanes)
        work.crowd = function.held
        if not function.copies and not self._begin_load(now, function, out):
            return "full", out
        function.held += 1
        stands = bool(function.standing())
        work.found = "warm" if stands else "waited" if work.crowd or function.wanted else "loaded"
        work.left = work.work_us
        function.queue.append(work)
        self._fill(now, function)
        if function.queue and stands and not function.loading():
            self._begin_load(now, function, out)  # all lanes taken: another copy, if there is room
        return "taken", out

    def hold(
        self, now: int, function: str, copies: int, memory_mb: float, lanes: int
    ) -> tuple[str, list[Effect]]:
        """An order: "stands", "coming" (a `Stand` follows) or "full"."""
        out = self.advance(now)
        if self.fallen:
            return "full", out
        known = self._functions.setdefault(function, _Function(function, memory_mb, lanes))
        for copy in known.standing():
            copy.idle_since = now
        if len(known.standing()) >= copies:
            return "stands", out
        while len(known.copies) < copies:
            if not self._begin_load(now, known, out):
                self._tidy(known)
                return "full", out
        known.wanted = max(known.wanted, copies)
        return "coming", out

    def unload(self, now: int, function: str) -> list[Effect]:
        """Drop the idle copies of a function."""
        out = self.advance(now)
        known = self._functions.get(function)
        if known:
            known.copies = [copy for copy in known.copies if copy.busy or not copy.standing]
            self._tidy(known)
        return out

    def fetched(self, now: int, function: str, ok: bool) -> list[Effect]:
        """The bytes of a load came, or will not."""
        out = self.advance(now)
        self.fetching -= 1
        known = self._functions.get(function)
        waiting = [c for c in known.copies if not c.standing and c.idle_since == 0] if known else []
        if not known or not waiting:
            return out
        if ok:
            waiting[0].idle_since = 1  # its bytes are here; it starts
            self._starts.append((now + self.machine.start_us, function, waiting[0]))
            return out
        known.copies.remove(waiting[0])
        if not known.copies:
            out += [Failed(work) for work in known.queue]
            known.held -= len(known.queue)
            known.queue.clear()
        if known.wanted:
            known.wanted = 0
            out.append(Stand(function, len(known.standing()), False))
        self._tidy(known)
        return out

    def drop(self, now: int, work: Work) -> list[Effect]:
        """A waiting call's client has gone; running work goes on."""
        out = self.advance(now)
        known = self._functions.get(work.function)
        if known and work in known.queue:
            known.queue.remove(work)
            known.held -= 1
        return out

    def next(self, now: int) -> int | None:
        """When `advance` is wanted next."""
        if self.frozen or self.fallen:
            return None
        times = [due for due, _, _ in self._starts]
        if self._running:
            rate = self._rate(now)
            least = min(work.left for work in self._running)
            # A cold server speeds up as it goes: look again before the warm-up has changed much.
            ahead = min(least / rate, 50_000) if self.share(now) < 1 else least / rate
            times.append(now + max(1, math.ceil(ahead)))
        idle = [c.idle_since for f in self._functions.values() for c in f.copies if c.standing and not c.busy]
        if idle:
            times.append(min(idle) + self.machine.idle_us)
        return min(times, default=None)

    def advance(self, now: int) -> list[Effect]:
        """Let time pass."""
        out: list[Effect] = []
        if self.frozen or self.fallen:
            self._at = now
            return out
        while True:
            starts = min((due for due, _, _ in self._starts), default=now + 1)
            rate = self._rate(self._at) if self._running else 0.0
            least = min((work.left for work in self._running), default=math.inf)
            ends = self._at + max(1, math.ceil(least / rate)) if rate else now + 1
            at = min(now, starts, ends)
            at = max(at, self._at)
            for work in self._running:
                work.left -= rate * (at - self._at)
            self._at = at
            for work in [w for w in self._running if w.left <= 1e-6]:
                out.append(self._finish(at, work))
            for start in [s for s in self._starts if s[0] <= at]:
                self._starts.remove(start)
                self._stand(at, start[1], start[2], out)
            if at >= now and ends > now and starts > now:
                break
        self._expire(now)
        return out

    # Inside.

    def _rate(self, now: int) -> float:
        m, running = self.machine, len(self._running)
        return m.speed * min(1.0, m.cores / running) * self.share(now) / self.slow

    def _finish(self, now: int, work: Work) -> Done:
        copy = self._running.pop(work)
        function = self._functions[work.function]
        copy.busy -= 1
        copy.idle_since = now
        function.held -= 1
        if self.machine.remembers_us and work.key:
            while self._keys and next(iter(self._keys.values())) < now - self.machine.remembers_us:
                self._keys.popitem(last=False)
            work.repeated = work.key in self._keys
            self._keys.setdefault(work.key, now)
        self._fill(now, function)
        return Done(work)

    def _fill(self, now: int, function: _Function) -> None:
        for copy in function.standing():
            while function.queue and copy.busy < function.lanes:
                copy.busy += 1
                self._running[function.queue.popleft()] = copy

    def _stand(self, now: int, name: str, copy: _Copy, out: list[Effect]) -> None:
        function = self._functions[name]
        copy.standing, copy.idle_since = True, now
        self._fill(now, function)
        if function.wanted and len(function.standing()) >= function.wanted:
            function.wanted = 0
            out.append(Stand(name, len(function.standing()), True))

    def _begin_load(self, now: int, function: _Function, out: list[Effect]) -> bool:
        if sum(f.loading() for f in self._functions.values()) >= self.machine.loads:
            return False
        free = self.machine.memory_mb - self.memory_used()
        idle = sorted(
            ((c.idle_since, f.name, c) for f in self._functions.values() if f is not function
             for c in f.copies if c.standing and not c.busy), key=lambda entry: entry[:2],
        )  # fmt: skip
        while free < function.memory_mb and idle:
            _, name, copy = idle.pop(0)
            other = self._functions[name]
            other.copies.remove(copy)
            free += other.memory_mb
            self._tidy(other)
        if free < function.memory_mb:
            return False
        function.copies.append(_Copy())
        self.fetching += 1
        out.append(Fetch(function.name))
        return True

    def _expire(self, now: int) -> None:
        before = now - self.machine.idle_us
        for function in list(self._functions.values()):
            function.copies = [
                c
                for c in function.copies
                if c.busy or not c.standing or c.idle_since > before or function.queue
            ]
            self._tidy(function)

    def _tidy(self, function: _Function) -> None:
        if not function.copies and not function.held and self._functions.get(function.name) is function:
            del self._functions[function.name]

    def _push(self, now: int, work_us: float) -> bool:
        """Whether this arrival pushes a cold server over."""
        m = self.machine
        if self.share(now) >= 1.0:
            self._offered.clear()
            return False
        self._offered.append((now, work_us))
        while self._offered and self._offered[0][0] <= now - m.fall_us:
            self._offered.popleft()
        able = m.fall_multiple * self.share(now) * m.cores * m.speed * m.fall_us
        return sum(work for _, work in self._offered) > able

    def _fall(self) -> list[Effect]:
        self.fallen = True
        return [Fell()]
