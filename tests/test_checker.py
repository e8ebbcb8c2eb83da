"""The checker must find planted breaches of each rule, and must accept near misses."""

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


def day_events(*planted):
    """The events of a day with one gateway; an event without a time gets its index."""
    result = [{"t": n, "who": "w", **event} for n, event in enumerate([*READY, *planted])]
    return sorted(result, key=lambda event: event["t"])


def try_event(corr="k.0", key="k", request_class="unsafe", t=10, until=1_000, client="c", **more):
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


def list_update(t, state, worker="w1"):
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
        ("answered_once", [try_event()]),
        ("answered_once", [try_event(), answer(1_001)]),
        ("answered_once", [try_event(), answer(20), answer(30)]),
        # Disconnected by the gateway.
        ("answered_once", [try_event(), {"ev": "disconnected", "client": "c", "t": 100}]),
        ("answered_once", [try_event(t=700, until=1_700), *KILLED]),  # accepted after its restart
        # Published while its client was connecting to a running gateway.
        ("answered_once", [*MOVED, try_event(t=30, until=1_000), {"ev": "stopped", "gw": "gw", "t": 40}]),
        ("answered_once", [try_event(client="b", until=900_000), GIVEN]),
        ("effects_once", [try_event(), answer(20), ran(15), ran(16, "gw/c2/0")]),
        ("effects_once", [try_event(), recv(12), answer(20, "refused"), ran(30)]),
        ("effects_once", [try_event(), recv(12), ran(15), answer(20, "refused")]),
        ("drains", [list_update(10, "draining"), recv(600_000)]),
        ("drains", [list_update(10, "gone"), order(600_000)]),
        ("drains", [{"ev": "turned", "verdict": "draining", "t": 10, "gw": "gw", "worker": "w1"},
         recv(600_000)]),
        ("cold", [{"ev": "fell", "worker": "w1"}]),
        ("loads", [order(10), order(20)]),
        ("loads", [try_event(t=5), answer(6), order(2_000_000), order(2_000_001)]),
    ],
)  # fmt: skip
def test_a_planted_breach_is_found(rule, given):
    findings = check(day_events(*given), LIMITS)
    assert {name for name, count in findings.broken.items() if count} == {rule}


@pytest.mark.parametrize(
    "given",
    [
        [try_event(), answer(900)],
        [try_event(), *KILLED],
        [try_event(), {"ev": "left", "corr": "k.0", "t": 50}],
        # It waits at a stopped gateway, not at the one that its client was connected to before.
        [*MOVED, try_event(t=30, until=1_000), {"ev": "stopped", "gw": "two", "t": 40}, answer(1_100)],
        [try_event(), answer(20), answer(30, dup=True)],
        [try_event(), recv(12), ran(15), answer(20)],
        [try_event(), answer(20, "refused"), try_event("k.1", t=30), recv(31), ran(40),
         answer(50, corr="k.1")],
        # The same, and a broker redelivers the refusal, marked as a duplicate, after the retry has run.
        [try_event(), answer(20, "refused"), try_event("k.1", t=30), recv(31), ran(40),
         answer(50, corr="k.1"),
         answer(60, "refused", dup=True)],
        [try_event(request_class="safe"), ran(15, request_class="safe"),
         ran(16, "gw/c2/0", request_class="safe"), answer(20)],
        [list_update(10, "draining"), recv(400_000)],
        [list_update(10, "draining"), list_update(20, "running"), recv(600_000)],
        [list_update(10, "gone"), {"ev": "started", "t": 50, "worker": "w1"}, recv(600_000)],
        [try_event(), try_event("j.0", "j", t=11), answer(20), answer(21, corr="j.0"), order(30),
         order(40)],
    ],
)  # fmt: skip
def test_a_near_miss_is_no_breach(given):
    findings = check(day_events(*given), LIMITS)
    assert not any(findings.broken.values()), findings.breaches


def test_the_verdict_counts_calls_and_worth_once():
    given = day_events(try_event(), answer(200, "refused"), try_event("k.1", t=300), answer(400, corr="k.1"),
                       try_event("j.0", "j", t=20), answer(30, "failed", "j.0"))  # fmt: skip
    result = verdict("d", 1, 2.0, given, check(given, LIMITS))
    assert (result["calls"], result["served"], result["refused"], result["failed"]) == (2, 1, 0, 1)
    assert result["worth"] == {"asked": 2.0, "answered_in_time": 1.0}
    assert quantile([1, 2, 3, 4], 0.5) == 2 and quantile([1, 2], 0.99) == 2 and quantile([], 0.5) == 0


def test_a_trace_that_a_kill_cut_short_is_read_up_to_there(tmp_path):
    trace = Trace("w", tmp_path / "w.trace")
    trace.note("one")
    trace.note("two")
    raw = (tmp_path / "w.trace").read_bytes()
    (tmp_path / "w.trace").write_bytes(raw + b'{"t":1,"wh')
    assert [event["ev"] for event in read(tmp_path)] == ["one", "two"]


# Breaches in a running gateway: its router is made to break a rule, and the checker must find the breach in
# the traces of the stand-ins.


class SendsTwice(Router):
    """Retries an unsafe call even if it may have run."""

    def _retry_or_finish(self, call, status):
        self._enqueue(call)

    def _may_send(self, call, worker):
        return True

    def _admits(self, call, worker):
        return True  # a warm-up slowed by a busy machine must not prevent the second send


class IgnoresDrains(Router):
    """Treats every worker as ready."""

    def _on_members(self, event):
        ready = tuple(replace(entry, state=io.State.READY) for entry in event.entries)
        super()._on_members(event._replace(entries=ready))


class OrdersFreely(Router):
    """Orders loads without a rate limit."""

    def _order_copy(self, worker, function):
        self.settings = replace(self.settings, load_window_us=0)
        self.order_tokens.refill(1)
        return super()._order_copy(worker, function)


def broken_rules(router_factory, tmp_path, fault, limits, **more):
    """The rules broken in a short run of a gateway with this router and two stand-in workers."""
    broken = []

    async def main():
        trace = Trace("w")
        workers = [Worker(trace, Machine(), n, {"": 5_000.0}) for n in range(2)]
        addresses = [f"127.0.0.1:{worker.start()}" for worker in workers]
        trace.note("ready", gw="gw", port=0)
        async with gateway(tmp_path, addresses, router_factory=router_factory, **more) as gw:
            console = await Console().connect(gw.listener_port)
            await console.call("consigna", "warm-up")
            await fault(console, workers, trace, gw)
        broken.append(check(trace.events, limits).broken)

    run(main())
    return {name for name, count in broken[0].items() if count}


UNSAFE = {"consigna": "unsafe"}


def test_an_effect_planted_twice_is_found_on_the_sockets(tmp_path):
    async def fault(console, workers, trace, gw):
        for worker in workers:
            worker.fault("reset", 30.0)  # for the whole test: a busy machine may be slow to start
        await console.call("consigna", "k", timeout=2_500)

    assert "effects_once" in broken_rules(SendsTwice, tmp_path / "a", fault, Limits(effects=UNSAFE))
    assert not broken_rules(Router, tmp_path / "b", fault, Limits(effects=UNSAFE))


def test_what_one_gateway_was_told_counts_for_those_it_is_passed_on_to():
    """Only the reader gets list updates itself; rule 3 must also cover the gateways that it informs."""
    limits = replace(LIMITS, propagation_us=2_000_000)
    seen = [{"ev": "ready", "gw": "other", "port": 2, "t": 5}, list_update(10, "draining")]

    def broken(at, *more):
        late = recv(at) | {"gw": "other"}
        return check(day_events(*seen, *more, late), limits).broken["drains"]

    assert broken(2_600_000) == 1 and broken(2_400_000) == 0
    woken = {"ev": "woken", "gw": "other", "t": 2_000_000}
    assert broken(4_400_000, woken) == 0 and broken(4_600_000, woken) == 1
    again = list_update(2_000_000, "running")
    assert broken(2_600_000, again) == 0
    assert check(day_events(*seen, recv(2_600_000) | {"gw": "other"}), LIMITS).broken["drains"] == 0


def test_a_drain_planted_is_found_on_the_sockets(tmp_path):
    async def fault(console, workers, trace, gw):
        for worker in workers:
            worker.drain(end_s=30)
        for number in range(12):
            await console.call("consigna", f"k{number}", timeout=300)
            await asyncio.sleep(0.03)

    assert "drains" in broken_rules(IgnoresDrains, tmp_path / "a", fault, Limits(100_000, effects=UNSAFE))
    assert not broken_rules(Router, tmp_path / "b", fault, Limits(100_000, effects=UNSAFE))


def test_orders_planted_beyond_the_ration_are_found_on_the_sockets(tmp_path):
    async def fault(console, workers, trace, gw):
        for number in range(6):
            await console.call(topic=f"calls/t/lectura/g{number}", timeout=900)

    limits = Limits(load_free=2, load_share=0.0, load_window_us=10_000_000, effects=UNSAFE)
    more = "load-free 2; load-share 0.0; load-window-ms 10000"
    assert "loads" in broken_rules(OrdersFreely, tmp_path / "a", fault, limits, more=more, orders=True)
    assert not broken_rules(Router, tmp_path / "b", fault, limits, more=more, orders=True)


def test_a_cold_server_pushed_over_falls():
    machine = Machine(
        cores=2, cold_share=0.2, cold_us=10_000_000, crash_multiple=2.0, crash_window_us=1_000_000
    )
    server = CalcServer(machine, 0)
    effects = []
    for number in range(100):
        effects += server.arrive(1_000 * number, Work(f"c{number}", "f", 50_000.0))[1]
    assert any(isinstance(effect, Crashed) for effect in effects)
    calm = CalcServer(machine, 0)
    effects = []
    for number in range(100):
        effects += calm.arrive(200_000 * number, Work(f"c{number}", "f", 50_000.0))[1]
    assert not any(isinstance(effect, Crashed) for effect in effects)
