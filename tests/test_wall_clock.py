"""Slow start is a span of real time: a wall clock that is off, ours or the lister's, neither ends nor
stretches it."""

import time

import pytest
from platformbench import Journal, endpoint, frame, router, settings, until
from socketbench import run

from swiftwell import interface as io
from swiftwell.discovery import journal
from swiftwell.discovery.start_times import StartTimes
from swiftwell.gateway import clock

HOUR_MS = 3_600_000.0


def listed(event, times, now_us=50_000_000_000, **more):
    """The start of each worker by an event."""
    return {entry.worker: entry.started_us for entry in times.to_members(event, now_us, **more).entries}


def worker(id_, since_ms, state=io.State.READY):
    return journal.Worker(id_, ("127.0.0.1", 80), state, "", "", 0, 1.0, since_ms)


@pytest.mark.parametrize("off_ms", [0.0, HOUR_MS, -HOUR_MS])
@pytest.mark.parametrize("whole", [False, True])
def test_a_start_told_while_we_run_is_a_start_of_that_moment_whatever_the_clocks(off_ms, whole):
    now_us = 50_000_000_000
    times = StartTimes(lambda wall_ms: int(wall_ms * 1_000) + now_us)  # 0 ms is now by a true clock
    listed(journal.Event(1, True, (worker("s-2", 0.0),)), times, now_us - 9_000_000, at_our_start=True)
    since_ms = off_ms if off_ms > 0 else 1.0 + off_ms + 2 * HOUR_MS
    told = journal.Event(2, whole, (worker("s-1", since_ms), worker("s-2", 0.0)))
    assert listed(told, times, now_us) == {"s-1": now_us, "s-2": 0}
    # The same process told again, later, is no new start; another figure names another process.
    assert listed(told, times, now_us + 7_000_000)["s-1"] == now_us
    again = journal.Event(3, False, (worker("s-1", since_ms + 1),))
    assert listed(again, times, now_us + 9_000_000) == {"s-1": now_us + 9_000_000}


def test_a_start_in_the_list_of_our_own_start_is_never_in_the_future():
    now_us = 50_000_000_000
    times = StartTimes(lambda wall_ms: int(wall_ms * 1_000))
    known = journal.Event(1, True, (worker("s-1", 2 * now_us / 1_000), worker("s-2", now_us / 2_000)))
    assert listed(known, times, now_us, at_our_start=True) == {"s-1": now_us, "s-2": now_us // 2}


def test_the_first_list_tells_of_starts_long_past_also_where_it_comes_late():
    """Else every worker that was ever replaced would be taken for starting, and next to nothing be served."""
    now_us = 50_000_000_000
    times = StartTimes(lambda wall_ms: int(wall_ms * 1_000))
    first = journal.Event(4, True, (worker("s-1", now_us / 2_000), worker("s-2", 2 * now_us / 1_000)))
    assert listed(first, times, now_us) == {"s-1": now_us // 2, "s-2": now_us}
    later = journal.Event(5, True, (worker("s-3", now_us / 2_000),))
    assert listed(later, times, now_us) == {"s-3": now_us}


def test_what_has_gone_leaves_no_start_behind():
    times = StartTimes(lambda wall_ms: int(wall_ms * 1_000))
    listed(journal.Event(1, True, (worker("s-1", 5.0), worker("s-2", 5.0))), times)
    listed(journal.Event(2, False, (worker("s-1", 5.0, io.State.GONE),)), times)
    assert len(times) == 1
    listed(journal.Event(3, True, ()), times)
    assert len(times) == 0


def off_by(monkeypatch, milliseconds):
    """The wall clock of this process is off from now on, as the router reads it."""
    true = time.time_ns
    monkeypatch.setattr(clock.time, "time_ns", lambda: true() + int(milliseconds * 1e6))


def cold_for_us(node, name):
    """How long a worker still counts as starting, us."""
    return node.engine.router.workers[name].warm_at - node.clock.now_us()


SLOW_START = {"cold-ms": 60_000.0, "cold-share": 0.2, "fall-multiple": 2.0, "overload-for-ms": 3_000.0}


def test_a_router_whose_wall_clock_is_an_hour_off_spares_a_starting_worker_for_its_span(
    tmp_path, monkeypatch
):
    """Behind, it stayed cold for an hour; ahead, it passed for warm at once."""

    async def main():
        since_ms = int(true_ns() / 1_000_000)

        async def serve(service, number, writer):
            if number < 2:
                writer.write(frame(2, 2, [(2, 80, 0)], since_ms))
            if number < 3:
                writer.write(frame(3, 1, [(1, 80, 0), (2, 80, 0), (3, 80, 0)], since_ms))
            await writer.drain()

        async with (
            Journal(serve) as service,
            router(tmp_path, [9], journal=service.port, settings=settings(rules=SLOW_START)) as node,
        ):
            await until(lambda: "s-00000003" in node.engine.router.workers)
            for name in ("s-00000002", "s-00000003"):
                assert 0 < cold_for_us(node, name) <= SLOW_START["cold-ms"] * 1_000

    true_ns = time.time_ns
    for off_ms in (HOUR_MS, -HOUR_MS):
        with monkeypatch.context() as patch:
            off_by(patch, off_ms)
            run(main())


def test_a_start_known_at_our_own_start_is_not_cold_for_longer_than_its_span(tmp_path, monkeypatch):
    async def main():
        late = endpoint(1, 9) | {"since_ms": int(time.time() * 1_000)}
        off_by(monkeypatch, -HOUR_MS)
        hosts = {"index": 0, "snapshot": True, "endpoints": [late]}
        known = {"pos": 1, "entries": [{"pos": 1, "hosts": hosts}]}
        async with router(tmp_path, [], known=known, settings=settings(rules=SLOW_START)) as node:
            await until(lambda: "s-00000001" in node.engine.router.workers)
            assert 0 < cold_for_us(node, "s-00000001") <= SLOW_START["cold-ms"] * 1_000

    run(main())
