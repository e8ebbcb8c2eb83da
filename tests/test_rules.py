"""The five rules, checked on the actions for legal but odd event sequences under varied settings."""

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
TOLD = st.builds(
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
STEP = st.tuples(st.integers(0, 9), st.integers(0, 1_000), st.integers(0, 1_000), st.integers(0, 300))


class Checker:
    """Plays steps to a router and checks each action as the operators would."""

    def __init__(self, told: io.Settings) -> None:
        self.told = told
        self.open: dict[str, io.Request] = {}
        self.begun: dict[str, int] = {}
        self.sends: dict[str, list[dict]] = {}
        self.orders: list[int] = []
        self.taken: list[int] = []
        self.asked: list[io.Load] = []
        self.entries = {name: entry(name, cell=i // 2) for i, name in enumerate(NAMES)}
        self.bench = Bench(told, tuple(self.entries.values()))
        self.seen = 0
        self.check()

    def group(self, request_class: io.RequestClass, name: str) -> object:
        known = self.entries[name]
        return {"all": 0, "zone": known.zone, "cell": known.cell}[request_class.scope]

    def check(self) -> None:
        now, fresh = self.bench.now, self.bench.all[self.seen :]
        self.seen = len(self.bench.all)
        for act in fresh:
            match act:
                case io.Send():
                    self.check_send(act, now)
                case io.Refuse() | io.Fail() if act.id in self.open:
                    self.check_end(act, now)
                case io.Refuse() | io.Fail():
                    raise AssertionError("a second final answer")
                case io.Load():
                    self.check_load(act, now)
                case io.Cancel():
                    assert self.told.may_cancel and act.attempt < len(self.sends[act.id])
        for name, request in self.open.items():
            assert now <= self.begun[name] + max(request.left_us, TICK) or self.streams(name)

    def streams(self, name: str) -> bool:
        return any(send["streams"] for send in self.sends[name])

    def request_class(self, name: str) -> io.RequestClass:
        return next(
            request_class
            for request_class in REQUEST_CLASSES
            if request_class.name == self.open[name].request_class
        )

    def check_send(self, act: io.Send, now: int) -> None:
        assert act.id in self.open
        assert self.entries[act.worker].state is State.READY
        request_class, before = self.request_class(act.id), self.sends[act.id]
        assert len(before) < self.told.max_attempts
        assert self.told.second_copies or not any(send["out"] for send in before)
        risky = [send for send in before if send["out"] or send["ran"]]
        if request_class.effect is Effect.UNSAFE:
            assert not risky
        if request_class.effect is Effect.KEYED and risky:
            assert self.group(request_class, act.worker) == self.group(request_class, risky[0]["worker"])
            assert now < risky[0]["at"] + request_class.memory_us
        before.append({"worker": act.worker, "at": now, "out": True, "ran": False, "streams": False})

    def check_end(self, act: io.Refuse | io.Fail, now: int) -> None:
        request_class = self.request_class(act.id)
        risky = any(send["out"] or send["ran"] for send in self.sends[act.id])
        if isinstance(act, io.Refuse) and risky:
            assert request_class.effect is Effect.SAFE or (
                request_class.effect is Effect.KEYED and request_class.scope == "all"
            )
        del self.open[act.id]

    def check_load(self, act: io.Load, now: int) -> None:
        assert self.told.may_load
        self.asked.append(act)
        if act.copies:
            assert self.entries[act.worker].state is State.READY
            self.orders.append(now)
            window = self.told.load_window_us
            if window:
                orders = sum(1 for at in self.orders if at >= now - window)
                calls = sum(1 for at in self.taken if at > now - window)
                assert orders <= self.told.load_free + self.told.load_share * calls

    def step(self, kind: int, x: int, y: int, ms: int) -> None:
        bench = self.bench
        if kind <= 2:
            name, request_class = f"r{bench.count + 1}", REQUEST_CLASSES[x % len(REQUEST_CLASSES)]
            left = (0, 3_000, 60_000, 900_000, 3_000_000)[y % 5]
            request = io.Request(
                name, request_class.name, "t", f"f{y % 3}", left, 0, 100.0 * (1 + y % 4), 1 + x % 3, 0, False
            )
            bench.count += 1
            self.open[name], self.begun[name], self.sends[name] = request, bench.now, []
            self.taken.append(bench.now)
            bench.do(request)
        elif kind <= 5:
            self.outcome(x, y)
        elif kind == 6:
            self.members(x, y)
        elif kind == 7 and self.asked:
            load = self.asked.pop(x % len(self.asked))
            status = (Status.OK, Status.OK, Status.FULL, Status.ERROR, Status.RESET, Status.TIMEOUT)[y % 6]
            copies = max(load.copies, y % 3) if status is Status.OK else 0
            bench.do(io.Loaded(load.worker, load.function, status, y * 1_000, copies))
        elif kind == 8 and self.open:
            name = sorted(self.open)[x % len(self.open)]
            del self.open[name]
            bench.do(io.Left(name), io.Left(name), io.Timer(10_000_000), io.Peer(1, b"x"))
        else:
            for _ in range(ms):
                bench.wait(TICK)
                self.check()
        self.check()

    def outcome(self, x: int, y: int) -> None:
        out = [(name, i) for name, sends in self.sends.items() for i, send in enumerate(sends) if send["out"]]
        if not out:
            return
        name, number = out[x % len(out)]
        send = self.sends[name][number]
        request_class = (
            next(b for b in REQUEST_CLASSES if b.streamed)
            if name in self.open and self.request_class(name).streamed
            else None
        )
        if request_class and y % 3 == 0 and not send["streams"]:
            send["streams"] = True
            self.bench.do(io.First(name, number, send["worker"]))
            return
        statuses = list(Status) if not send["streams"] else [Status.OK, Status.RESET]
        status = statuses[y % len(statuses)]
        send["out"], send["ran"] = False, status not in io.NEVER_RAN
        closed = status is Status.OK or send["streams"] or name not in self.open
        if closed:
            self.open.pop(name, None)
        self.bench.do(
            io.Outcome(name, number, send["worker"], status, y * 1_000, closed, y % 40, (("rif", 2.0),))
        )

    def members(self, x: int, y: int) -> None:
        name = NAMES[x % len(NAMES)]
        state = (State.READY, State.READY, State.DRAINING, State.GONE)[y % 4]
        how = (io.ListKind.DELTA, io.ListKind.FULL, io.ListKind.CACHED, io.ListKind.FAILED)[x % 4]
        if how is io.ListKind.FAILED:
            self.bench.do(io.Members(how, ()))
            return
        fresh = replace(self.entries[name], state=state, started_us=self.bench.now if y % 3 else 0)
        self.entries[name] = fresh
        if how is not io.ListKind.DELTA:
            for other in NAMES:
                if other != name and (ord(other) + y) % 3 == 0:
                    self.entries[other] = replace(self.entries[other], state=State.GONE)
        listed = [e for e in self.entries.values() if e.state is not State.GONE]
        self.bench.do(io.Members(how, (fresh,) if how is io.ListKind.DELTA else tuple(listed)))


@settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=120,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
@given(told=TOLD, steps=st.lists(STEP, min_size=5, max_size=60))
def test_the_rules_hold_for_any_legal_sequence(told: io.Settings, steps: list) -> None:
    checker = Checker(told)
    for step in steps:
        checker.step(*step)
    while checker.open and not all(checker.streams(name) for name in checker.open):
        checker.bench.wait(TICK)
        checker.check()
