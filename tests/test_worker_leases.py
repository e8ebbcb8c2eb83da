"""Staleness of the worker list, worker leases, and the router's decisions by them."""

import asyncio
import random
import time
from dataclasses import replace

import pytest
from helpers import KEYED, ORDERS, PLAIN, Bench, entry, only
from platformbench import HOST, Journal, frame, until
from socketbench import run
from test_journal_service import new_decoder

from swiftwell import interface as io
from swiftwell.discovery import journal, staleness
from swiftwell.discovery.staleness import ListStaleness
from swiftwell.discovery.worker_leases import MIN_RESTART_US, WorkerLeases
from swiftwell.interface import Status

S = 1_000_000  # us
GRACE = S // 2


def make_leases(confirmed_us=10 * S, grace_us=GRACE, workers=("a", "b", "c")):
    """Leases of listed workers, under a list that was last confirmed at `confirmed_us`."""
    staleness = ListStaleness(0)
    staleness.confirm(confirmed_us)
    worker_leases = WorkerLeases(staleness, grace_us)
    for worker in workers:
        worker_leases.listed(worker)
    worker_leases.advance(confirmed_us)
    return worker_leases


def last_write_us(leases, worker, begin_us, end_us):
    """The last time at which a write to a worker is allowed."""
    allowed = [at for at in range(begin_us, end_us, 1_000) if leases.may_write(worker, at)]
    assert allowed == list(range(begin_us, allowed[-1] + 1, 1_000))  # without a gap before it
    return allowed[-1]


def test_a_list_whose_source_stopped_is_valid_for_four_seconds_and_the_grace_period():
    assert 14.35 * S < last_write_us(make_leases(), "a", 10 * S, 16 * S) <= 14.5 * S


def test_a_list_whose_connection_broke_is_valid_for_two_seconds_and_the_grace_period():
    leases = make_leases()
    leases.staleness.connection_seen(int(10.4 * S))
    leases.staleness.connection_broken()
    assert 12.75 * S < last_write_us(leases, "a", 10 * S, 16 * S) <= 12.9 * S


def test_repeated_breaks_count_from_the_first():
    leases = make_leases()
    for at_us in (int(10.4 * S), int(11.1 * S), int(11.8 * S)):
        leases.staleness.connection_seen(at_us)
        leases.staleness.connection_broken()
    assert last_write_us(leases, "a", 10 * S, 16 * S) <= 12.9 * S


def test_a_break_after_a_silence_counts_from_when_the_connection_was_last_seen_open():
    leases = make_leases()
    leases.staleness.connection_seen(int(11.6 * S))
    leases.staleness.connection_broken()
    assert 13.95 * S < last_write_us(leases, "a", 10 * S, 16 * S) <= 14.1 * S


def test_the_list_of_a_start_without_confirmation_is_valid_for_the_grace_period_only():
    leases = WorkerLeases(ListStaleness(10 * S), GRACE)
    leases.listed("a")
    assert 10.35 * S < last_write_us(leases, "a", 10 * S, 16 * S) <= 10.5 * S


def test_an_accepted_call_proves_the_time_at_which_it_was_sent():
    leases = make_leases()
    leases.record_accepted("a", 20 * S)
    leases.record_accepted("a", 19 * S)  # an older call that is answered later takes nothing back
    assert 20.35 * S < last_write_us(leases, "a", 20 * S, 22 * S) <= 20.5 * S
    assert not leases.may_write("b", 20 * S)


def test_a_worker_that_answered_that_it_drains_gets_nothing_until_a_new_process_answers():
    leases = make_leases()
    leases.record_accepted("a", 20 * S)
    leases.record_draining("a")
    assert not leases.may_write("a", 20 * S)
    leases.advance(20 * S)
    leases.record_accepted("a", 25 * S)
    assert leases.may_write("a", 25 * S)
    assert leases.advance(25 * S) == [io.Restarted("a")]


def test_a_confirmed_list_overrules_the_workers_answers():
    leases = make_leases()
    assert leases.advance(20 * S) == [io.ListState(True)]
    leases.record_draining("a")
    leases.staleness.confirm(21 * S)
    assert leases.advance(21 * S) == [io.ListState(False)]
    assert leases.may_write("a", 21 * S)


def test_a_lease_ends_with_the_last_connection():
    leases = make_leases()
    for at_us in (9 * S, 9 * S):
        leases.connected("a", at_us)
    leases.record_accepted("a", 20 * S)
    leases.disconnected("a", 20 * S)
    assert leases.may_write("a", 20 * S)  # another connection is still open, so the process lives
    leases.disconnected("a", 20 * S)
    assert not leases.may_write("a", 20 * S)


@pytest.mark.parametrize(
    "connected, restarted",
    [
        ((9.0, None), False),  # connected when the list was confirmed
        ((10.05, None), False),
        ((12.0, None), True),  # connected later: the process may have started since
        ((9.0, 20.0), True),  # reconnected during the outage
        (None, True),  # first connected during the outage
    ],
)
def test_a_process_that_was_not_connected_when_the_list_was_confirmed_counts_as_restarted(
    connected, restarted
):
    leases, events = make_leases(), []
    if connected is not None:
        begin_s, disconnected_s = connected
        leases.connected("a", int(begin_s * S))
        events += leases.advance(15 * S)
        if disconnected_s is not None:
            leases.disconnected("a", int(disconnected_s * S))
    events += leases.advance(20 * S)
    if connected is None or connected[1] is not None:
        leases.connected("a", 20 * S + MIN_RESTART_US + 1_000)
        events += leases.advance(21 * S)
    assert (io.Restarted("a") in events) is restarted


def test_a_worker_that_left_the_list_has_no_lease():
    leases = make_leases()
    leases.connected("a", 9 * S)
    leases.forget("a")
    leases.disconnected("a", 11 * S)
    leases.connected("a", 12 * S)
    leases.record_accepted("a", 12 * S)
    assert len(leases) == 2


def test_without_a_drain_rule_the_list_is_always_enough():
    leases = make_leases(grace_us=None)
    assert leases.may_write("a", 1_000 * S) and leases.advance(1_000 * S) == []


def test_a_short_grace_period_still_gives_a_lease():
    leases = make_leases(grace_us=20_000)
    leases.record_accepted("a", 20 * S)
    assert leases.may_send("a", 20 * S + 14_000) and not leases.may_write("a", 20 * S + 18_000)


# The client of the journal service: what confirms the list, in real time.


async def follow(serve, duration_s):
    """The staleness after a client, whose list was confirmed at 0, followed a service for so long."""
    staleness = ListStaleness(0)
    async with Journal(serve) as service:
        began = time.monotonic()
        client = journal.JournalClient(
            (HOST, service.port),
            new_decoder,
            lambda event: None,
            lambda *a, **f: None,
            random.Random(1),
            staleness,
            lambda: int((time.monotonic() - began) * S),
        )
        client.sequence.last_number = 1
        staleness.confirm(0)
        task = asyncio.ensure_future(client.run())
        await asyncio.sleep(duration_s)
        task.cancel()
    return staleness


@pytest.mark.parametrize(
    "frames_sent, confirmed",
    [
        ([], False),  # silence
        ([(0.0, frame(1))], False),  # the first frame of a connection proves nothing
        ([(0.0, frame(1)), (0.0, frame(1))], False),  # nor do two at once
        ([(0.0, frame(1)), (0.7, frame(2))], False),  # names an event that never came
        ([(0.0, frame(1)), (0.7, frame(0))], False),  # the service is behind the client
        ([(0.0, frame(1, 1, [(7, 80, 0)])), (0.7, frame(1, 1, [(7, 80, 0)]))], False),  # a repeated event
        ([(0.0, frame(2, 1, [(7, 80, 0)])[:20]), (0.6, bytes(4_096))], False),  # a part of a frame
        ([(0.0, frame(1)), (0.7, frame(1))], True),
        ([(0.0, frame(2, 2, [(7, 80, 0)])), (0.7, frame(2))], True),
    ],
)
def test_only_an_open_connection_without_missing_events_confirms_the_list(frames_sent, confirmed):
    async def main():
        async def serve(service, number, writer):
            for pause_s, data in frames_sent if len(service.asked) == 1 else []:
                await asyncio.sleep(pause_s)
                writer.write(data)

        staleness = await follow(serve, 1.0)
        assert (staleness.confirmed_us > S // 2) is confirmed

    run(main())


def test_silence_is_noticed_after_one_and_a_half_seconds_of_real_time():
    """Two promised frames are missing by then, and the client reconnects well within the 4 s of a stop."""

    async def main():
        connected_s = []

        async def serve(service, number, writer):
            connected_s.append(time.monotonic())

        await follow(serve, 2.4)
        assert len(connected_s) == 2 and 1.3 < connected_s[1] - connected_s[0] < 2.3

    run(main())


def test_the_times_are_those_of_the_protocol():
    assert (staleness.STALE_AFTER_BREAK_US, staleness.STALE_AFTER_STOP_US) == (2 * S, 4 * S)


def test_a_refused_connection_is_a_break_and_a_change_of_address_is_none():
    async def main():
        async def serve(service, number, writer):
            if len(service.asked) == 1:
                writer.close()

        assert (await follow(serve, 0.4)).reason() == "broken"

        async def keep_open(service, number, writer):
            await asyncio.sleep(5)

        list_staleness = ListStaleness(0)
        list_staleness.confirm(0)
        async with Journal(keep_open) as old, Journal(keep_open) as new:
            address = (HOST, old.port)
            client = journal.JournalClient(
                address, new_decoder, print, lambda *a, **f: None, random.Random(1), list_staleness
            )
            task = asyncio.ensure_future(client.run())
            await until(lambda: old.asked)
            for _ in range(5):  # several new configurations in a row
                client.reconnect((HOST, new.port))
                await asyncio.sleep(0.01)
            await until(lambda: new.asked)
            assert (
                list_staleness.reason() == "silent"
                and list_staleness.stale_from_us() == staleness.STALE_AFTER_STOP_US
            )
            task.cancel()

    run(main())


def test_frames_of_the_old_service_after_sighup_confirm_nothing():
    """The service may have moved, and the new configuration may take some retries to read."""

    async def main():
        async def serve(service, number, writer):
            for _ in range(8):
                writer.write(frame(1))
                await asyncio.sleep(0.2)

        staleness = ListStaleness(0)
        async with Journal(serve) as service:
            address = (HOST, service.port)
            client = journal.JournalClient(
                address, new_decoder, print, lambda *a, **f: None, random.Random(1), staleness
            )
            client.sequence.last_number = 1
            task = asyncio.ensure_future(client.run())
            await until(lambda: service.asked)
            client.stop_confirming()
            await asyncio.sleep(1.0)
            assert staleness.confirmed_us is None
            client.reconnect(address)
            await until(lambda: staleness.confirmed_us is not None)
            task.cancel()

    run(main())


# The router's decisions under a stale list.


def stale_bench(settings=ORDERS, workers=("a", "b"), proven=()):
    """A router with a stale list; only the `proven` workers have a lease."""
    bench = Bench(replace(settings, misses=False), workers)
    bench.leases = bench.router.leases = make_leases(confirmed_us=0, workers=workers)
    bench.leases.advance(bench.now + 30 * S)
    bench.now += 30 * S
    for worker in proven:
        bench.leases.record_accepted(worker, bench.now)
    bench.all.clear()
    return bench


def queried(actions):
    """The workers that are queried for their copies."""
    return [load.worker for load in only(actions, io.Load) if not load.copies]


def answer_query(bench, worker, status, copies=1):
    if status is Status.OK:
        bench.leases.record_accepted(worker, bench.now)
    elif status is Status.FULL:
        bench.leases.record_draining(worker)
    return bench.do(io.Loaded(worker, "f", status, 1_000, copies, asked=True))


def test_a_worker_without_a_lease_is_queried_once_for_all_calls_that_wait():
    bench = stale_bench(workers=("a",))
    assert queried(bench.call() + bench.call() + bench.call()) == ["a"]
    assert not only(bench.all, io.Send) and not [load for load in only(bench.all, io.Load) if load.copies]
    done = answer_query(bench, "a", Status.OK)
    assert [send.worker for send in only(done, io.Send)] == ["a"] * 3 and not queried(done)


@pytest.mark.parametrize("proven", [True, False])
def test_a_worker_with_a_lease_gets_a_load_order_at_once_and_another_a_query(proven):
    bench = stale_bench(workers=("a",), proven=("a",) if proven else ())
    orders = [load.copies for load in only(bench.call(), io.Load)]
    assert orders == ([1] if proven else [0])


def test_a_worker_that_answers_that_it_drains_is_skipped_and_the_call_goes_elsewhere():
    bench = stale_bench()
    (first,) = queried(bench.call())
    other = {"a": "b", "b": "a"}[first]
    assert queried(answer_query(bench, first, Status.FULL)) == [other]
    assert [send.worker for send in only(answer_query(bench, other, Status.OK), io.Send)] == [other]
    bench.wait(200_000)
    assert queried(bench.all) == [first, other]  # it is not queried again at once


def test_a_query_without_an_answer_delays_calls_for_a_tenth_of_a_second():
    bench = stale_bench()
    (first,) = queried(bench.call())
    bench.wait(90_000)
    assert queried(bench.all) == [first]
    bench.wait(20_000)
    assert len(queried(bench.all)) == 2
    assert not only(bench.call(), io.Refuse)


def test_where_queries_are_not_allowed_a_call_without_a_leased_worker_is_refused_by_half_of_its_time():
    bench = stale_bench(replace(PLAIN, may_load=False))
    bench.call(left=1_600_000)
    bench.wait(810_000)
    assert not queried(bench.all) and not only(bench.all, io.Send)
    assert [refused.id for refused in only(bench.all, io.Refuse)] == ["r1"]


def test_calls_that_wait_are_sent_once_the_list_is_confirmed():
    bench = stale_bench(replace(PLAIN, may_load=False), ("a",))
    bench.call()
    bench.leases.staleness.confirm(bench.now)
    sends = only(bench.do(*bench.leases.advance(bench.now)), io.Send)
    assert [send.worker for send in sends] == ["a"]


def test_a_worker_that_may_have_restarted_is_cold_and_has_no_copies():
    bench = Bench(workers=("a",))
    (send,) = only(bench.call(), io.Send)
    bench.answer(send)
    bench.do(io.Restarted("a"))
    worker = bench.router.workers["a"]
    assert worker.warm_at == bench.now + PLAIN.cold_us and not worker.estimated_copies("f", bench.now)


@pytest.mark.parametrize("status", [Status.RESET, Status.CONNECT_FAILED])
def test_a_worker_whose_connection_is_reset_or_refused_counts_as_starting(status):
    """A failed load order doesn't count: a slow connection fails it too; list or leases show a restart."""
    bench = Bench(ORDERS, ("a",))
    bench.call()
    (send,) = only(bench.do(io.Loaded("a", "f", Status.OK, 1_000, 1)), io.Send)
    bench.answer(send, status)
    assert bench.router.workers["a"].warm_at == bench.now + ORDERS.cold_us


def test_a_keyed_call_is_not_retried_where_another_cell_may_have_taken_the_address():
    bench = Bench(workers=(entry("a", cell=1), entry("b", cell=1)))
    (send,) = only(bench.call(request_class="keyed"), io.Send)
    bench.do(io.Restarted("a"), io.Restarted("b"))
    bench.answer(send, Status.ERROR)
    bench.wait(500_000)
    assert len(only(bench.all, io.Send)) == 1


def test_a_keyed_call_is_not_retried_once_its_cell_may_have_forgotten_it():
    """Tests the window of the decision; the window is checked again at the write (`Call.send_before_us`)."""
    short = replace(PLAIN, classes=(replace(KEYED, memory_us=200_000),))
    for spent_us, sends in ((150_000, 2), (250_000, 1)):
        bench = Bench(short, (entry("a", cell=1), entry("b", cell=1)))
        (send,) = only(bench.call(request_class="keyed"), io.Send)
        bench.wait(spent_us)
        bench.answer(send, Status.ERROR)
        assert len(only(bench.all, io.Send)) == sends


def test_no_call_goes_to_a_copy_at_a_worker_that_drains():
    """Workers with a copy are looked up by function, independently of the list of ready workers."""
    bench = Bench(ORDERS, ("a", "b"))
    bench.call()
    (order,) = [load for load in only(bench.all, io.Load) if load.copies]
    (send,) = only(bench.do(io.Loaded(order.worker, "f", Status.OK, 1_000, 1)), io.Send)
    bench.answer(send)
    bench.do(io.Members(io.ListKind.DELTA, (entry(order.worker, io.State.DRAINING),)))
    bench.all.clear()
    bench.call()
    assert not only(bench.all, io.Send)
