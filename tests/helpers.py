"""Runs a router under a simulated clock, and settings to start it with."""

import gc
from contextlib import contextmanager
from dataclasses import replace

from swiftwell import interface as io
from swiftwell.choice import Router

TICK = 2_000  # us
SAFE = io.RequestClass("safe", 800_000, 3_000_000, io.Effect.SAFE, "all", 0, False, 1.0, 0.1)
KEYED = io.RequestClass("keyed", 800_000, 3_000_000, io.Effect.KEYED, "cell", 2_000_000, False, 1.0, 0.1)
UNSAFE = io.RequestClass("unsafe", 800_000, 3_000_000, io.Effect.UNSAFE, "all", 0, False, 1.0, 0.1)
# Without load orders: workers load copies by themselves.
PLAIN = io.Settings(
    classes=(SAFE, KEYED, UNSAFE),
    tenants=(),
    routers=1,
    position=0,
    tick_us=TICK,
    zone="z",
    kind_memory_mb=(("k", 10_000.0),),
    idle_life_us=10_000_000,
    may_load=False,
    misses=False,
    load_free=0.0,
    load_share=0.0,
    load_window_us=0,
    order_timeout_us=10_000_000,
    tells_warm=False,
    tells_crowd=False,
    asked_discovery=False,
    ask_within_us=10_000_000,
    may_cancel=True,
    may_probe=False,
    peers=False,
    second_copies=True,
    retry_after=False,
    max_retry_after_us=0,
    max_attempts=3,
    answer_slack_us=16_000,
    cold_share=0.2,
    cold_us=16_000_000,
    fall_multiple=3.0,
    fall_us=1_000_000,
    sized_weights=False,
)
# With load orders: workers without a copy answer MISS.
ORDERS = replace(PLAIN, may_load=True, misses=True)


def entry(name: str, state: io.State = io.State.READY, started: int = 0, cell: int = 0) -> io.WorkerEntry:
    return io.WorkerEntry(name, state, "k", 1.0, started, "z", cell)


class Bench:
    """One router with its clock and timers; `all` keeps every action that it has returned."""

    def __init__(self, settings: io.Settings = PLAIN, workers: tuple = ("a", "b", "c")) -> None:
        self.router = Router(settings, 1)
        self.now, self.count = 1_000_000, 0  # us; requests so far
        self.due: list[tuple[int, int]] = []  # timers: when they expire, and their tokens
        self.all: list[io.Action] = []
        entries = tuple(w if isinstance(w, io.WorkerEntry) else entry(w) for w in workers)
        self.do(io.Members(io.ListKind.CACHED, entries))

    def do(self, *events: io.Event) -> list[io.Action]:
        """Give the router a batch of events now; returns its actions but for timers."""
        actions = self.router.handle(self.now, list(events))
        self.due += [(self.now + max(a.delay_us, 1), a.token) for a in actions if isinstance(a, io.SetTimer)]
        self.all += actions
        return [a for a in actions if not isinstance(a, io.SetTimer)]

    def wait(self, us: int) -> list[io.Action]:
        """Let time pass in ticks; timers expire on the next tick.  Returns the actions of that time."""
        actions, end = [], self.now + us
        while self.now < end:
            self.now = min(end, self.now + TICK)
            expired = sorted(timer for timer in self.due if timer[0] <= self.now)
            self.due = [timer for timer in self.due if timer[0] > self.now]
            if expired:
                actions += self.do(*(io.Timer(token) for _, token in expired))
        return actions

    def call(
        self, function: str = "f", request_class: str = "safe", left: int = 3_000_000, **more
    ) -> list[io.Action]:
        """Give the router a new request; requests are named r1, r2, ..."""
        self.count += 1
        fields = dict(tenant="", hint_us=0, memory_mb=100.0, lanes=4, load_us=0, repeated=False) | more
        return self.do(io.Request(f"r{self.count}", request_class, function=function, left_us=left, **fields))

    def answer(
        self, send: io.Send, status: io.Status = io.Status.OK, number: int = 0, us: int = 50_000
    ) -> list[io.Action]:
        """Give the router the outcome of a send: of attempt `number`, with a latency of `us`."""
        closed = status is io.Status.OK
        return self.do(io.Outcome(send.id, number, send.worker, status, us, closed, 0, ()))


def only(actions: list, kind: type) -> list:
    """The actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


@contextmanager
def cyclic_garbage(kind: type | tuple[type, ...]):
    """Yields a list that, at the end of the block, holds the objects of a type that only the cyclic garbage
    collector frees.
    """
    garbage: list = []
    gc.collect()
    gc.disable()
    try:
        yield garbage
        gc.set_debug(gc.DEBUG_SAVEALL)
        gc.collect()
        garbage += [found for found in gc.garbage if isinstance(found, kind)]
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()
