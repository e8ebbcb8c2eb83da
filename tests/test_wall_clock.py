"""The slow start of a worker lasts a span of real time: a wrong wall clock, here or at the journal service,
neither shortens nor extends it.
"""

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
    """The start time of each worker after an event."""
    return {entry.worker: entry.started_us for entry in times.to_members(event, now_us, **more).entries}


def worker(id_, since_ms, state=io.State.READY):
    return journal.Worker(id_, ("127.0.0.1", 80), state, "", "", 0, 1.0, since_ms)


@pytest.mark.parametrize("off_ms", [0.0, HOUR_MS, -HOUR_MS])
@pytest.mark.parametrize("is_full_list", [False, True])
def test_a_start_learnt_while_running_counts_from_that_moment_whatever_the_clocks(off_ms, is_full_list):
    now_us = 50_000_000_000
    times = StartTimes(lambda wall_ms: int(wall_ms * 1_000) + now_us)  # 0 ms is now by a correct clock
    listed(journal.Event(1, True, (worker("s-2", 0.0),)), times, now_us - 9_000_000, at_our_start=True)
    since_ms = off_ms if off_ms > 0 else 1.0 + off_ms + 2 * HOUR_MS
    event = journal.Event(2, is_full_list, (worker("s-1", since_ms), worker("s-2", 0.0)))
    assert listed(event, times, now_us) == {"s-1": now_us, "s-2": 0}
    # The same process listed again is no new start; another start time names another process.
    assert listed(event, times, now_us + 7_000_000)["s-1"] == now_us
    replaced = journal.Event(3, False, (worker("s-1", since_ms + 1),))
    assert listed(replaced, times, now_us + 9_000_000) == {"s-1": now_us + 9_000_000}


def test_a_start_in_the_initial_list_is_never_in_the_future():
    now_us = 50_000_000_000
    times = StartTimes(lambda wall_ms: int(wall_ms * 1_000))
    known = journal.Event(1, True, (worker("s-1", 2 * now_us / 1_000), worker("s-2", now_us / 2_000)))
    assert listed(known, times, now_us, at_our_start=True) == {"s-1": now_us, "s-2": now_us // 2}


def test_the_first_list_may_name_starts_long_past_even_if_it_comes_late():
    """Otherwise every worker that was ever replaced counts as starting, and next to nothing is served."""
    now_us = 50_000_000_000
    times = StartTimes(lambda wall_ms: int(wall_ms * 1_000))
    first = journal.Event(4, True, (worker("s-1", now_us / 2_000), worker("s-2", 2 * now_us / 1_000)))
    assert listed(first, times, now_us) == {"s-1": now_us // 2, "s-2": now_us}
    later = journal.Event(5, True, (worker("s-3", now_us / 2_000),))
    assert listed(later, times, now_us) == {"s-3": now_us}


def test_a_removed_worker_has_no_stored_start():
    times = StartTimes(lambda wall_ms: int(wall_ms * 1_000))
    listed(journal.Event(1, True, (worker("s-1", 5.0), worker("s-2", 5.0))), times)
    listed(journal.Event(2, False, (worker("s-1", 5.0, io.State.GONE),)), times)
    assert len(times) == 1
    listed(journal.Event(3, True, ()), times)
    assert len(times) == 0


def shift_wall_clock(monkeypatch, milliseconds):
    """Shifts the wall clock that the router reads."""
    correct = time.time_ns
    monkeypatch.setattr(clock.time, "time_ns", lambda: correct() + int(milliseconds * 1e6))


def cold_for_us(node, name):
    """For how long a worker still counts as starting, us."""
    return node.engine.router.workers[name].warm_at - node.clock.now_us()


SLOW_START = {"cold-ms": 60_000.0, "cold-share": 0.2, "fall-multiple": 2.0, "overload-for-ms": 3_000.0}


def test_a_router_whose_wall_clock_is_an_hour_off_slow_starts_a_worker_for_its_span(tmp_path, monkeypatch):
    """With a clock that was behind, a worker stayed cold for an hour; with one ahead, it was warm at once."""

    async def main():
        since_ms = int(correct_ns() / 1_000_000)

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

    correct_ns = time.time_ns
    for off_ms in (HOUR_MS, -HOUR_MS):
        with monkeypatch.context() as patch:
            shift_wall_clock(patch, off_ms)
            run(main())


def test_a_worker_of_the_initial_list_is_not_cold_for_longer_than_its_span(tmp_path, monkeypatch):
    async def main():
        starting = endpoint(1, 9) | {"since_ms": int(time.time() * 1_000)}
        shift_wall_clock(monkeypatch, -HOUR_MS)
        hosts = {"index": 0, "snapshot": True, "endpoints": [starting]}
        known = {"pos": 1, "entries": [{"pos": 1, "hosts": hosts}]}
        async with router(tmp_path, [], known=known, settings=settings(rules=SLOW_START)) as node:
            await until(lambda: "s-00000001" in node.engine.router.workers)
            assert 0 < cold_for_us(node, "s-00000001") <= SLOW_START["cold-ms"] * 1_000

    run(main())
