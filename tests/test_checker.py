"""The checker: each rule has planted breaches that it must find, and near misses that it must not."""

import asyncio
from dataclasses import replace

import pytest
from socketbench import Console, gateway, run

from swiftwell import interface as io
from swiftwell.choice import Router
from swiftwell.proof.rules import Limits, check
from swiftwell.proof.trace import Trace, read
from swiftwell.proof.verdict import quantile, verdict
from swiftwell.standins.model import CalcServer, Crashed, Machine, Work
from swiftwell.standins.worker import Worker

LIMITS = Limits(500_000, 1, 0.5, 1_000_000, {"safe": "safe", "unsafe": "unsafe"})
READY = [{"ev": "ready", "gw": "gw", "port": 1}, {"ev": "connected", "client": "c", "to": "127.0.0.1:1"}]


def events(*given):
    """A day with one gateway; times in the order given unless told."""
    out = [{"t": n, "who": "w", **event} for n, event in enumerate([*READY, *given])]
    return sorted(out, key=lambda event: event["t"])


def attempt(corr="k.0", key="k", request_class="unsafe", t=10, until=1_000, client="c", **more):
    base = {
        "ev": "try",
        "corr": corr,
        "key": key,
        "band": request_class,
        "client": client,
        "t": t,
        "until": until,
    }
    return base | {"worth": 1.0, "wanted": 500, "tenant": "e", **more}


def answer(t, kind="served", corr="k.0", reason="ok", dup=False):
    return {"ev": "answer", "corr": corr, "kind": kind, "reason": reason, "dup": dup, "t": t}


def recv(t, call="gw/c1/0", worker="w1"):
    return {"ev": "recv", "t": t, "gw": "gw", "worker": worker, "call": call, "key": "k", "band": "unsafe"}


def ran(t, call="gw/c1/0", key="k", request_class="unsafe"):
    return {"ev": "ran", "t": t, "worker": "w1", "call": call, "key": key, "band": request_class}


def told(t, state, worker="w1"):
    return {"ev": "told", "t": t, "gw": "gw", "worker": worker, "state": state}


def order(t):
    return {"ev": "order", "t": t, "gw": "gw", "worker": "w1"}


MOVED = [
    {"ev": "ready", "gw": "two", "port": 2, "t": 4},
    {"ev": "disconnected", "client": "c", "t": 5},
    {"ev": "connecting", "client": "c", "to": "127.0.0.1:2", "t": 6},
]
GIVEN = {"ev": "to", "client": "gw", "corr": "k.0", "topic": "calls/x", "t": 20, "dup": False}
KILLED = [{"ev": "killed", "gw": "gw", "t": 500}, {"ev": "ready", "gw": "gw", "port": 1, "t": 600}]


@pytest.mark.parametrize(
    ("rule", "given"),
    [
        ("answered_once", [attempt()]),
        ("answered_once", [attempt(), answer(1_001)]),
        ("answered_once", [attempt(), answer(20), answer(30)]),
        # dropped by the gateway
        ("answered_once", [attempt(), {"ev": "disconnected", "client": "c", "t": 100}]),
        ("answered_once", [attempt(t=700, until=1_700), *KILLED]),  # taken after it was back
        # Published while its client was connecting to a gateway that runs.
        ("answered_once", [*MOVED, attempt(t=30, until=1_000), {"ev": "stopped", "gw": "gw", "t": 40}]),
        ("answered_once", [attempt(client="b", until=900_000), GIVEN]),
        ("effects_once", [attempt(), answer(20), ran(15), ran(16, "gw/c2/0")]),
        ("effects_once", [attempt(), recv(12), answer(20, "refused"), ran(30)]),
        ("effects_once", [attempt(), recv(12), ran(15), answer(20, "refused")]),
        ("drains", [told(10, "draining"), recv(600_000)]),
        ("drains", [told(10, "gone"), order(600_000)]),
        ("drains", [{"ev": "turned", "verdict": "draining", "t": 10, "gw": "gw", "worker": "w1"},
         recv(600_000)]),
        ("cold", [{"ev": "fell", "worker": "w1"}]),
        ("loads", [order(10), order(20)]),
        ("loads", [attempt(t=5), answer(6), order(2_000_000), order(2_000_001)]),
    ],
)  # fmt: skip
def test_a_planted_breach_is_found(rule, given):
    found = check(events(*given), LIMITS)
    assert {name for name, count in found.broken.items() if count} == {rule}


@pytest.mark.parametrize(
    "given",
    [
        [attempt(), answer(900)],
        [attempt(), *KILLED],
        [attempt(), {"ev": "left", "corr": "k.0", "t": 50}],
        # It waits at a gateway that stands still, not at the one its client was connected to before.
        [*MOVED, attempt(t=30, until=1_000), {"ev": "stopped", "gw": "two", "t": 40}, answer(1_100)],
        [attempt(), answer(20), answer(30, dup=True)],
        [attempt(), recv(12), ran(15), answer(20)],
        [attempt(), answer(20, "refused"), attempt("k.1", t=30), recv(31), ran(40), answer(50, corr="k.1")],
        # And a broker gives the refusal once more, marked, after the retry has run.
        [attempt(), answer(20, "refused"), attempt("k.1", t=30), recv(31), ran(40), answer(50, corr="k.1"),
         answer(60, "refused", dup=True)],
        [attempt(request_class="safe"), ran(15, request_class="safe"),
         ran(16, "gw/c2/0", request_class="safe"), answer(20)],
        [told(10, "draining"), recv(400_000)],
        [told(10, "draining"), told(20, "running"), recv(600_000)],
        [told(10, "gone"), {"ev": "started", "t": 50, "worker": "w1"}, recv(600_000)],
        [attempt(), attempt("j.0", "j", t=11), answer(20), answer(21, corr="j.0"), order(30),
         order(40)],
    ],
)  # fmt: skip
def test_a_near_miss_is_no_breach(given):
    found = check(events(*given), LIMITS)
    assert not any(found.broken.values()), found.told


def test_the_verdict_counts_calls_and_worth_once():
    given = events(attempt(), answer(200, "refused"), attempt("k.1", t=300), answer(400, corr="k.1"),
                   attempt("j.0", "j", t=20), answer(30, "failed", "j.0"))  # fmt: skip
    told_ = verdict("d", 1, 2.0, given, check(given, LIMITS))
    assert (told_["calls"], told_["served"], told_["refused"], told_["failed"]) == (2, 1, 0, 1)
    assert told_["worth"] == {"asked": 2.0, "answered_in_time": 1.0}
    assert quantile([1, 2, 3, 4], 0.5) == 2 and quantile([1, 2], 0.99) == 2 and quantile([], 0.5) == 0


def test_a_trace_that_a_kill_cut_short_is_read_up_to_there(tmp_path):
    trace = Trace("w", tmp_path / "w.trace")
    trace.note("one")
    trace.note("two")
    raw = (tmp_path / "w.trace").read_bytes()
    (tmp_path / "w.trace").write_bytes(raw + b'{"t":1,"wh')
    assert [event["ev"] for event in read(tmp_path)] == ["one", "two"]


# Breaches planted in a running gateway: its router is made to break a rule, and the stand-ins' traces show
# it.


class SendsTwice(Router):
    """Sends an unsafe call again whatever happened to it."""

    def _retry_or_finish(self, call, status):
        self._enqueue(call)

    def _may_send(self, call, worker):
        return True

    def _admits(self, call, worker):
        return True  # a warm-up that a busy machine made slow must not keep the second send away


class IgnoresDrains(Router):
    """Takes every worker for ready."""

    def _on_members(self, event):
        ready = tuple(replace(entry, state=io.State.READY) for entry in event.entries)
        super()._on_members(event._replace(entries=ready))


class OrdersFreely(Router):
    """Orders as if there were no ration."""

    def _order_copy(self, worker, function):
        self.settings = replace(self.settings, load_window_us=0)
        self.order_tokens.refill(1)
        return super()._order_copy(worker, function)


def planted(make, tmp_path, fault, limits, **more):
    """Broken rules of a short day with this router and one stand-in worker."""
    found = []

    async def main():
        trace = Trace("w")
        workers = [Worker(trace, Machine(), n, {"": 5_000.0}) for n in range(2)]
        addresses = [f"127.0.0.1:{one.start()}" for one in workers]
        trace.note("ready", gw="gw", port=0)
        async with gateway(tmp_path, addresses, router_factory=make, **more) as gw:
            console = await Console().connect(gw.listener_port)
            await console.call("consigna", "warm-up")
            await fault(console, workers, trace, gw)
        found.append(check(trace.kept, limits).broken)

    run(main())
    return {name for name, count in found[0].items() if count}


UNSAFE = {"consigna": "unsafe"}


def test_an_effect_planted_twice_is_found_on_the_sockets(tmp_path):
    async def fault(console, workers, trace, gw):
        for worker in workers:
            worker.fault("reset", 30.0)  # for the whole of it: a busy machine may take long to begin
        await console.call("consigna", "k", timeout=2_500)

    assert "effects_once" in planted(SendsTwice, tmp_path / "a", fault, Limits(effects=UNSAFE))
    assert not planted(Router, tmp_path / "b", fault, Limits(effects=UNSAFE))


def test_what_one_gateway_was_told_counts_for_those_it_is_passed_on_to():
    """A follower is never told by the list itself: rule 3 would judge the reader alone."""
    limits = replace(LIMITS, passed_on_us=2_000_000)
    seen = [{"ev": "ready", "gw": "other", "port": 2, "t": 5}, told(10, "draining")]

    def broken(at, *more):
        late = recv(at) | {"gw": "other"}
        return check(events(*seen, *more, late), limits).broken["drains"]

    assert broken(2_600_000) == 1 and broken(2_400_000) == 0
    woken = {"ev": "woken", "gw": "other", "t": 2_000_000}
    assert broken(4_400_000, woken) == 0 and broken(4_600_000, woken) == 1
    again = told(2_000_000, "running")
    assert broken(2_600_000, again) == 0
    assert check(events(*seen, recv(2_600_000) | {"gw": "other"}), LIMITS).broken["drains"] == 0


def test_a_drain_planted_is_found_on_the_sockets(tmp_path):
    async def fault(console, workers, trace, gw):
        for worker in workers:
            worker.drain(end_s=30)
        for number in range(12):
            await console.call("consigna", f"k{number}", timeout=300)
            await asyncio.sleep(0.03)

    assert "drains" in planted(IgnoresDrains, tmp_path / "a", fault, Limits(100_000, effects=UNSAFE))
    assert not planted(Router, tmp_path / "b", fault, Limits(100_000, effects=UNSAFE))


def test_orders_planted_beyond_the_ration_are_found_on_the_sockets(tmp_path):
    async def fault(console, workers, trace, gw):
        for number in range(6):
            await console.call(topic=f"calls/t/lectura/g{number}", timeout=900)

    limits = Limits(load_free=2, load_share=0.0, load_window_us=10_000_000, effects=UNSAFE)
    more = "load-free 2; load-share 0.0; load-window-ms 10000"
    assert "loads" in planted(OrdersFreely, tmp_path / "a", fault, limits, more=more, orders=True)
    assert not planted(Router, tmp_path / "b", fault, limits, more=more, orders=True)


def test_a_cold_server_pushed_over_falls():
    machine = Machine(
        cores=2, cold_share=0.2, cold_us=10_000_000, crash_multiple=2.0, crash_window_us=1_000_000
    )
    server = CalcServer(machine, 0)
    out = []
    for number in range(100):
        out += server.arrive(1_000 * number, Work(f"c{number}", "f", 50_000.0))[1]
    assert any(isinstance(effect, Crashed) for effect in out)
    calm = CalcServer(machine, 0)
    out = []
    for number in range(100):
        out += calm.arrive(200_000 * number, Work(f"c{number}", "f", 50_000.0))[1]
    assert not any(isinstance(effect, Crashed) for effect in out)
