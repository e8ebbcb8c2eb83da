"""The five rules, checked on the actions for legal but unusual event sequences under varied settings."""

from dataclasses import replace

from helpers import PLAIN, SAFE, TICK, Bench, entry
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from swiftwell import interface as io
from swiftwell.interface import Effect, State, Status

NAMES = ("a", "b", "c", "d")
REQUEST_CLASSES = tuple(
    replace(
        SAFE, name=f"{effect.name} {scope}", effect=effect, scope=scope, memory_us=400_000, streamed=streamed
    )
    for effect, scope, streamed in [
        (Effect.SAFE, "all", False),
        (Effect.KEYED, "cell", False),
        (Effect.KEYED, "zone", False),
        (Effect.KEYED, "all", False),
        (Effect.UNSAFE, "all", False),
        (Effect.SAFE, "all", True),
    ]
)
SETTINGS = st.builds(
    replace,
    st.just(replace(PLAIN, classes=REQUEST_CLASSES, load_free=2.0, load_share=0.2)),
    tenants=st.sampled_from([(), (io.Tenant("t", 0.5, 1.0),)]),
    routers=st.integers(1, 4),
    may_load=st.booleans(),
    misses=st.booleans(),
    second_copies=st.booleans(),
    may_cancel=st.booleans(),
    asked_discovery=st.booleans(),
    peers=st.booleans(),
    may_probe=st.booleans(),
    sized_weights=st.booleans(),
    max_attempts=st.integers(1, 4),
    load_window_us=st.sampled_from([0, 300_000]),
    idle_life_us=st.sampled_from([0, 500_000, 8_000_000]),
    kind_memory_mb=st.sampled_from([(), (("k", 0.0),), (("k", 250.0),), (("k", 9_000.0),)]),
)
# Kind of step, two numbers that select its details, and its duration in ticks.
STEP = st.tuples(st.integers(0, 9), st.integers(0, 1_000), st.integers(0, 1_000), st.integers(0, 300))


class Checker:
    """Runs steps on a router and checks each action against the rules."""

    def __init__(self, router_settings: io.Settings) -> None:
        self.settings = router_settings
        self.open: dict[str, io.Request] = {}  # requests without a final answer
        self.arrived_at: dict[str, int] = {}
        self.sends: dict[str, list[dict]] = {}
        self.orders: list[int] = []  # times of load orders
        self.arrivals: list[int] = []  # times of requests
        self.unanswered: list[io.Load] = []  # load orders and queries
        self.entries = {name: entry(name, cell=i // 2) for i, name in enumerate(NAMES)}
        self.bench = Bench(router_settings, tuple(self.entries.values()))
        self.checked = 0  # actions checked so far
        self.check()

    def repeat_group(self, request_class: io.RequestClass, name: str) -> object:
        listed = self.entries[name]
        return {"all": 0, "zone": listed.zone, "cell": listed.cell}[request_class.scope]

    def check(self) -> None:
        now, actions = self.bench.now, self.bench.all[self.checked :]
        self.checked = len(self.bench.all)
        for action in actions:
            match action:
                case io.Send():
                    self.check_send(action, now)
                case io.Refuse() | io.Fail() if action.id in self.open:
                    self.check_end(action, now)
                case io.Refuse() | io.Fail():
                    raise AssertionError("a second final answer")
                case io.Load():
                    self.check_load(action, now)
                case io.Cancel():
                    assert self.settings.may_cancel and action.attempt < len(self.sends[action.id])
        for name, request in self.open.items():
            assert now <= self.arrived_at[name] + max(request.left_us, TICK) or self.is_streaming(name)

    def is_streaming(self, name: str) -> bool:
        return any(send["streaming"] for send in self.sends[name])

    def request_class(self, name: str) -> io.RequestClass:
        return next(
            request_class
            for request_class in REQUEST_CLASSES
            if request_class.name == self.open[name].request_class
        )

    def check_send(self, action: io.Send, now: int) -> None:
        assert action.id in self.open
        assert self.entries[action.worker].state is State.READY
        request_class, before = self.request_class(action.id), self.sends[action.id]
        assert len(before) < self.settings.max_attempts
        assert self.settings.second_copies or not any(send["in_flight"] for send in before)
        binding = [send for send in before if send["in_flight"] or send["may_have_run"]]
        if request_class.effect is Effect.UNSAFE:
            assert not binding
        if request_class.effect is Effect.KEYED and binding:
            assert self.repeat_group(request_class, action.worker) == self.repeat_group(
                request_class, binding[0]["worker"]
            )
            assert now < binding[0]["sent_at"] + request_class.memory_us
        before.append(
            {
                "worker": action.worker,
                "sent_at": now,
                "in_flight": True,
                "may_have_run": False,
                "streaming": False,
            }
        )

    def check_end(self, action: io.Refuse | io.Fail, now: int) -> None:
        request_class = self.request_class(action.id)
        binding = any(send["in_flight"] or send["may_have_run"] for send in self.sends[action.id])
        if isinstance(action, io.Refuse) and binding:
            assert request_class.effect is Effect.SAFE or (
                request_class.effect is Effect.KEYED and request_class.scope == "all"
            )
        del self.open[action.id]

    def check_load(self, action: io.Load, now: int) -> None:
        assert self.settings.may_load
        self.unanswered.append(action)
        if action.copies:
            assert self.entries[action.worker].state is State.READY
            self.orders.append(now)
            window = self.settings.load_window_us
            if window:
                orders = sum(1 for at in self.orders if at >= now - window)
                calls = sum(1 for at in self.arrivals if at > now - window)
                assert orders <= self.settings.load_free + self.settings.load_share * calls

    def step(self, kind: int, x: int, y: int, ticks: int) -> None:
        bench = self.bench
        if kind <= 2:
            name, request_class = f"r{bench.count + 1}", REQUEST_CLASSES[x % len(REQUEST_CLASSES)]
            left = (0, 3_000, 60_000, 900_000, 3_000_000)[y % 5]
            request = io.Request(
                name, request_class.name, "t", f"f{y % 3}", left, 0, 100.0 * (1 + y % 4), 1 + x % 3, 0, False
            )
            bench.count += 1
            self.open[name], self.arrived_at[name], self.sends[name] = request, bench.now, []
            self.arrivals.append(bench.now)
            bench.do(request)
        elif kind <= 5:
            self.outcome(x, y)
        elif kind == 6:
            self.members(x, y)
        elif kind == 7 and self.unanswered:
            load = self.unanswered.pop(x % len(self.unanswered))
            status = (Status.OK, Status.OK, Status.FULL, Status.ERROR, Status.RESET, Status.TIMEOUT)[y % 6]
            copies = max(load.copies, y % 3) if status is Status.OK else 0
            bench.do(io.Loaded(load.worker, load.function, status, y * 1_000, copies))
        elif kind == 8 and self.open:
            name = sorted(self.open)[x % len(self.open)]
            del self.open[name]
            bench.do(io.Left(name), io.Left(name), io.Timer(10_000_000), io.Peer(1, b"x"))
        else:
            for _ in range(ticks):
                bench.wait(TICK)
                self.check()
        self.check()

    def outcome(self, x: int, y: int) -> None:
        in_flight = [
            (name, i)
            for name, sends in self.sends.items()
            for i, send in enumerate(sends)
            if send["in_flight"]
        ]
        if not in_flight:
            return
        name, number = in_flight[x % len(in_flight)]
        send = self.sends[name][number]
        request_class = (
            next(known for known in REQUEST_CLASSES if known.streamed)
            if name in self.open and self.request_class(name).streamed
            else None
        )
        if request_class and y % 3 == 0 and not send["streaming"]:
            send["streaming"] = True
            self.bench.do(io.First(name, number, send["worker"]))
            return
        statuses = list(Status) if not send["streaming"] else [Status.OK, Status.RESET]
        status = statuses[y % len(statuses)]
        send["in_flight"], send["may_have_run"] = False, status not in io.NEVER_RAN
        closed = status is Status.OK or send["streaming"] or name not in self.open
        if closed:
            self.open.pop(name, None)
        self.bench.do(
            io.Outcome(name, number, send["worker"], status, y * 1_000, closed, y % 40, (("rif", 2.0),))
        )

    def members(self, x: int, y: int) -> None:
        name = NAMES[x % len(NAMES)]
        state = (State.READY, State.READY, State.DRAINING, State.GONE)[y % 4]
        kind = (io.ListKind.DELTA, io.ListKind.FULL, io.ListKind.CACHED, io.ListKind.FAILED)[x % 4]
        if kind is io.ListKind.FAILED:
            self.bench.do(io.Members(kind, ()))
            return
        changed = replace(self.entries[name], state=state, started_us=self.bench.now if y % 3 else 0)
        self.entries[name] = changed
        if kind is not io.ListKind.DELTA:
            for other in NAMES:
                if other != name and (ord(other) + y) % 3 == 0:
                    self.entries[other] = replace(self.entries[other], state=State.GONE)
        listed = [known for known in self.entries.values() if known.state is not State.GONE]
        self.bench.do(io.Members(kind, (changed,) if kind is io.ListKind.DELTA else tuple(listed)))


@settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=120,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
@given(router_settings=SETTINGS, steps=st.lists(STEP, min_size=5, max_size=60))
def test_the_rules_hold_for_any_legal_sequence(router_settings: io.Settings, steps: list) -> None:
    checker = Checker(router_settings)
    for step in steps:
        checker.step(*step)
    while checker.open and not all(checker.is_streaming(name) for name in checker.open):
        checker.bench.wait(TICK)
        checker.check()
