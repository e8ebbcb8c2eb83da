"""The age of the list, leases of evidence, and what the decisions make of them; times are the pages' own."""

import asyncio
import random
import time
from dataclasses import replace

import pytest
from helpers import KEYED, ORDERS, PLAIN, Bench, entry, only
from platformbench import HOST, Journal, frame, until
from socketbench import run
from test_journal_service import frames

from swiftwell import interface as io
from swiftwell.discovery import journal, staleness
from swiftwell.discovery.staleness import ListStaleness
from swiftwell.discovery.worker_leases import RECONNECT_US, WorkerLeases
from swiftwell.interface import Status

S = 1_000_000  # us
GRACE = S // 2


def leases(current_us=10 * S, grace_us=GRACE, workers=("a", "b", "c")):
    """Leases of listed workers, under a list that was last current then."""
    age = ListStaleness(0)
    age.current(current_us)
    found = WorkerLeases(age, grace_us)
    for worker in workers:
        found.listed(worker)
    found.advance(current_us)
    return found


def last_send_us(found, worker, begin_us, end_us):
    """The last moment at which a hand-over to a worker is allowed."""
    allowed = [at for at in range(begin_us, end_us, 1_000) if found.may_hand_over(worker, at)]
    assert allowed == list(range(begin_us, allowed[-1] + 1, 1_000))  # and no gap before it
    return allowed[-1]


def test_a_list_that_stopped_holds_for_four_seconds_and_the_grace():
    assert 14.35 * S < last_send_us(leases(), "a", 10 * S, 16 * S) <= 14.5 * S


def test_a_list_that_broke_holds_for_two_seconds_and_the_grace():
    found = leases()
    found.staleness.standing(int(10.4 * S))
    found.staleness.broke()
    assert 12.75 * S < last_send_us(found, "a", 10 * S, 16 * S) <= 12.9 * S


def test_a_list_that_breaks_again_and_again_counts_from_the_first_time():
    found = leases()
    for at_us in (int(10.4 * S), int(11.1 * S), int(11.8 * S)):
        found.staleness.standing(at_us)
        found.staleness.broke()
    assert last_send_us(found, "a", 10 * S, 16 * S) <= 12.9 * S


def test_a_break_after_a_silence_counts_from_when_it_was_last_seen_to_stand():
    found = leases()
    found.staleness.standing(int(11.6 * S))
    found.staleness.broke()
    assert 13.95 * S < last_send_us(found, "a", 10 * S, 16 * S) <= 14.1 * S


def test_a_start_without_a_word_of_the_list_holds_for_the_grace_alone():
    found = WorkerLeases(ListStaleness(10 * S), GRACE)
    found.listed("a")
    assert 10.35 * S < last_send_us(found, "a", 10 * S, 16 * S) <= 10.5 * S


def test_a_call_that_was_taken_proves_the_moment_at_which_it_was_handed_over():
    found = leases()
    found.took("a", 20 * S)
    found.took("a", 19 * S)  # an older one that is answered later proves no less
    assert 20.35 * S < last_send_us(found, "a", 20 * S, 22 * S) <= 20.5 * S
    assert not found.may_hand_over("b", 20 * S)


def test_a_worker_that_says_that_it_drains_gets_nothing_until_it_answers_anew_as_one_that_starts():
    found = leases()
    found.took("a", 20 * S)
    found.turned_away("a")
    assert not found.may_hand_over("a", 20 * S)
    found.advance(20 * S)
    found.took("a", 25 * S)
    assert found.may_hand_over("a", 25 * S)
    assert found.advance(25 * S) == [io.Restarted("a")]


def test_the_list_knows_better_once_it_is_current():
    found = leases()
    assert found.advance(20 * S) == [io.ListState(True)]
    found.turned_away("a")
    found.staleness.current(21 * S)
    assert found.advance(21 * S) == [io.ListState(False)]
    assert found.may_hand_over("a", 21 * S)


def test_a_lease_ends_with_the_last_connection():
    found = leases()
    for at_us in (9 * S, 9 * S):
        found.connected("a", at_us)
    found.took("a", 20 * S)
    found.disconnected("a", 20 * S)
    assert found.may_hand_over("a", 20 * S)  # one connection broke, its process lives
    found.disconnected("a", 20 * S)
    assert not found.may_hand_over("a", 20 * S)


@pytest.mark.parametrize(
    "connected, restarted",
    [
        ((9.0, None), False),  # stood when the list was current
        ((10.05, None), False),
        ((12.0, None), True),  # came up after that: its process may have started since
        ((9.0, 20.0), True),  # came up again in the outage
        (None, True),  # came up first in the outage
    ],
)
def test_a_process_that_was_not_met_while_the_list_was_current_counts_as_starting(connected, restarted):
    found, told = leases(), []
    if connected is not None:
        begin_s, parted_s = connected
        found.connected("a", int(begin_s * S))
        told += found.advance(15 * S)
        if parted_s is not None:
            found.disconnected("a", int(parted_s * S))
    told += found.advance(20 * S)
    if connected is None or connected[1] is not None:
        found.connected("a", 20 * S + RECONNECT_US + 1_000)
        told += found.advance(21 * S)
    assert (io.Restarted("a") in told) is restarted


def test_what_left_the_list_leaves_nothing_behind():
    found = leases()
    found.connected("a", 9 * S)
    found.forget("a")
    found.disconnected("a", 11 * S)
    found.connected("a", 12 * S)
    found.took("a", 12 * S)
    assert len(found) == 2


def test_without_a_told_grace_the_list_is_always_enough():
    found = leases(grace_us=None)
    assert found.may_hand_over("a", 1_000 * S) and found.advance(1_000 * S) == []


def test_a_short_grace_leaves_a_lease():
    found = leases(grace_us=20_000)
    found.took("a", 20 * S)
    assert found.serves("a", 20 * S + 14_000) and not found.may_hand_over("a", 20 * S + 18_000)


# The service as it is followed: what shows that nothing is missing, by real times.


async def follow(serve, until_s):
    """For how long a client of a service that was current at 0 takes its list for current, s; at most so."""
    age = ListStaleness(0)
    async with Journal(serve) as service:
        began = time.monotonic()
        client = journal.Client(
            (HOST, service.port),
            frames,
            lambda event: None,
            lambda *a, **f: None,
            random.Random(1),
            age,
            lambda: int((time.monotonic() - began) * S),
        )
        client.feed.held = 1
        age.current(0)
        task = asyncio.ensure_future(client.run())
        await asyncio.sleep(until_s)
        task.cancel()
    return age


@pytest.mark.parametrize(
    "says, current",
    [
        ([], False),  # silence
        ([(0.0, frame(1))], False),  # the first frame of a connection costs nothing
        ([(0.0, frame(1)), (0.0, frame(1))], False),  # nor do two at once
        ([(0.0, frame(1)), (0.7, frame(2))], False),  # an event that never came
        ([(0.0, frame(1)), (0.7, frame(0))], False),  # one that knows less than we hold
        ([(0.0, frame(1, 1, [(7, 80, 0)])), (0.7, frame(1, 1, [(7, 80, 0)]))], False),  # repeats
        ([(0.0, frame(2, 1, [(7, 80, 0)])[:20]), (0.6, bytes(4_096))], False),  # bytes of a frame
        ([(0.0, frame(1)), (0.7, frame(1))], True),
        ([(0.0, frame(2, 2, [(7, 80, 0)])), (0.7, frame(2))], True),
    ],
)
def test_only_a_connection_that_stands_and_misses_nothing_shows_that_the_list_is_current(says, current):
    async def main():
        async def serve(service, number, writer):
            for pause_s, data in says if len(service.asked) == 1 else []:
                await asyncio.sleep(pause_s)
                writer.write(data)

        age = await follow(serve, 1.0)
        assert (age.current_us > S // 2) is current

    run(main())


def test_silence_is_noticed_after_one_and_a_half_seconds_by_the_real_clock():
    """Two promised frames are missing then; the service is asked anew well within its 4 s."""

    async def main():
        asked_s = []

        async def serve(service, number, writer):
            asked_s.append(time.monotonic())

        await follow(serve, 2.4)
        assert len(asked_s) == 2 and 1.3 < asked_s[1] - asked_s[0] < 2.3

    run(main())


def test_the_times_of_the_protocol_page():
    assert (staleness.BREAK_US, staleness.STOP_US) == (2 * S, 4 * S)


def test_a_refused_connection_is_a_break_and_one_that_was_moved_is_none():
    async def main():
        async def serve(service, number, writer):
            if len(service.asked) == 1:
                writer.close()

        assert (await follow(serve, 0.4)).why() == "broken"

        async def stands(service, number, writer):
            await asyncio.sleep(5)

        age = ListStaleness(0)
        age.current(0)
        async with Journal(stands) as old, Journal(stands) as new:
            at = (HOST, old.port)
            client = journal.Client(at, frames, print, lambda *a, **f: None, random.Random(1), age)
            task = asyncio.ensure_future(client.run())
            await until(lambda: old.asked)
            for _ in range(5):  # new configurations in a row
                client.move((HOST, new.port))
                await asyncio.sleep(0.01)
            await until(lambda: new.asked)
            assert age.why() == "silent" and age.told_us() == staleness.STOP_US
            task.cancel()

    run(main())


def test_what_the_old_service_says_after_sighup_shows_nothing():
    """It may have moved, and the file that says so may take some tries to read."""

    async def main():
        async def serve(service, number, writer):
            for _ in range(8):
                writer.write(frame(1))
                await asyncio.sleep(0.2)

        age = ListStaleness(0)
        async with Journal(serve) as service:
            at = (HOST, service.port)
            client = journal.Client(at, frames, print, lambda *a, **f: None, random.Random(1), age)
            client.feed.held = 1
            task = asyncio.ensure_future(client.run())
            await until(lambda: service.asked)
            client.distrust()
            await asyncio.sleep(1.0)
            assert age.current_us is None
            client.move(at)
            await until(lambda: age.current_us is not None)
            task.cancel()

    run(main())


# What the decisions make of it.


def stale_bench(settings=ORDERS, workers=("a", "b"), proven=()):
    """A router whose list is stale; only these workers are proven to serve."""
    bench = Bench(replace(settings, misses=False), workers)
    bench.leases = bench.router.leases = leases(current_us=0, workers=workers)
    bench.leases.advance(bench.now + 30 * S)
    bench.now += 30 * S
    for worker in proven:
        bench.leases.took(worker, bench.now)
    bench.all.clear()
    return bench


def asked(actions):
    return [load.worker for load in only(actions, io.Load) if not load.copies]


def answer_question(bench, worker, status, copies=1):
    if status is Status.OK:
        bench.leases.took(worker, bench.now)
    elif status is Status.FULL:
        bench.leases.turned_away(worker)
    return bench.do(io.Loaded(worker, "f", status, 1_000, copies, asked=True))


def test_an_unproven_worker_is_asked_first_and_only_once_for_all_that_wait():
    bench = stale_bench(workers=("a",))
    assert asked(bench.call() + bench.call() + bench.call()) == ["a"]
    assert not only(bench.all, io.Send) and not [one for one in only(bench.all, io.Load) if one.copies]
    done = answer_question(bench, "a", Status.OK)
    assert [send.worker for send in only(done, io.Send)] == ["a"] * 3 and not asked(done)


@pytest.mark.parametrize("proven", [True, False])
def test_a_proven_worker_gets_its_order_at_once_and_another_none(proven):
    bench = stale_bench(workers=("a",), proven=("a",) if proven else ())
    orders = [load.copies for load in only(bench.call(), io.Load)]
    assert orders == ([1] if proven else [0])


def test_a_worker_that_says_that_it_drains_is_left_alone_and_the_call_goes_elsewhere():
    bench = stale_bench()
    (first,) = asked(bench.call())
    other = {"a": "b", "b": "a"}[first]
    assert asked(answer_question(bench, first, Status.FULL)) == [other]
    assert [send.worker for send in only(answer_question(bench, other, Status.OK), io.Send)] == [other]
    bench.wait(200_000)
    assert asked(bench.all) == [first, other]  # it is not asked again at once


def test_a_worker_that_does_not_answer_a_question_holds_calls_for_a_tenth_of_a_second():
    bench = stale_bench()
    (first,) = asked(bench.call())
    bench.wait(90_000)
    assert asked(bench.all) == [first]
    bench.wait(20_000)
    assert len(asked(bench.all)) == 2
    assert not only(bench.call(), io.Refuse)


def test_where_no_question_may_be_asked_what_cannot_be_shown_is_refused_by_half_of_the_time():
    bench = stale_bench(replace(PLAIN, may_load=False))
    bench.call(left=1_600_000)
    bench.wait(810_000)
    assert not asked(bench.all) and not only(bench.all, io.Send)
    assert [refused.id for refused in only(bench.all, io.Refuse)] == ["r1"]


def test_the_list_that_is_current_again_sends_what_waits():
    bench = stale_bench(replace(PLAIN, may_load=False), ("a",))
    bench.call()
    bench.leases.staleness.current(bench.now)
    sends = only(bench.do(*bench.leases.advance(bench.now)), io.Send)
    assert [send.worker for send in sends] == ["a"]


def test_a_worker_that_may_have_restarted_is_cold_and_holds_nothing():
    bench = Bench(workers=("a",))
    (send,) = only(bench.call(), io.Send)
    bench.answer(send)
    bench.do(io.Restarted("a"))
    worker = bench.router.workers["a"]
    assert worker.warm_at == bench.now + PLAIN.cold_us and not worker.believed("f", bench.now)


@pytest.mark.parametrize("status", [Status.RESET, Status.CONNECT_FAILED])
def test_a_worker_whose_connection_is_reset_or_refused_is_taken_for_one_that_starts(status):
    """Of an order's end the list tells, or its connections do: one that came up late is no restart."""
    bench = Bench(ORDERS, ("a",))
    bench.call()
    (send,) = only(bench.do(io.Loaded("a", "f", Status.OK, 1_000, 1)), io.Send)
    bench.answer(send, status)
    assert bench.router.workers["a"].warm_at == bench.now + ORDERS.cold_us


def test_a_keyed_call_is_not_repeated_where_another_group_may_have_taken_the_address():
    bench = Bench(workers=(entry("a", cell=1), entry("b", cell=1)))
    (send,) = only(bench.call(request_class="keyed"), io.Send)
    bench.do(io.Restarted("a"), io.Restarted("b"))
    bench.answer(send, Status.ERROR)
    bench.wait(500_000)
    assert len(only(bench.all, io.Send)) == 1


def test_a_keyed_call_is_not_repeated_once_its_group_may_have_forgotten_it():
    """The decision's own window; the hand-over asks for it once more (`Call.send_before_us`)."""
    short = replace(PLAIN, classes=(replace(KEYED, memory_us=200_000),))
    for spent_us, sends in ((150_000, 2), (250_000, 1)):
        bench = Bench(short, (entry("a", cell=1), entry("b", cell=1)))
        (send,) = only(bench.call(request_class="keyed"), io.Send)
        bench.wait(spent_us)
        bench.answer(send, Status.ERROR)
        assert len(only(bench.all, io.Send)) == sends


def test_no_call_goes_to_a_copy_at_a_worker_that_has_begun_to_drain():
    """Holders of a copy are looked up by function, apart from the list of ready workers."""
    bench = Bench(ORDERS, ("a", "b"))
    bench.call()
    (order,) = [load for load in only(bench.all, io.Load) if load.copies]
    (send,) = only(bench.do(io.Loaded(order.worker, "f", Status.OK, 1_000, 1)), io.Send)
    bench.answer(send)
    bench.do(io.Members(io.ListKind.DELTA, (entry(order.worker, io.State.DRAINING),)))
    bench.all.clear()
    bench.call()
    assert not only(bench.all, io.Send)
