"""Whose bytes are processed next, how much of them, and what becomes of those that wait.

Guards against: requests that lay whole in the kernel were answered long after their time, as clients with
many requests went first (docs/incidents/0015).
"""

import asyncio
import socket
import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platformbench import (
    FIRST_BYTES,
    HOST,
    Front,
    Worker,
    echo,
    fields,
    request,
    router,
    until,
)
from socketbench import run
from test_platform import id_
from test_request_deadlines import connect, ttl_ms

from swiftwell import work_scheduler
from swiftwell.fair_queue import FairQueue, Flow
from swiftwell.fronts.fastcgi import codec
from swiftwell.fronts.fastcgi import connection as fc
from swiftwell.fronts.fastcgi.session import MAX_INCOMPLETE_SWEEPS, PARAMS_BYTE_COST, Session
from swiftwell.fronts.fastcgi.turn_reader import READ_BYTES
from swiftwell.fronts.overload import INTERVAL_S, LIFT_INTERVALS, MAX_OPEN_CALLS, OverloadControl
from swiftwell.work_scheduler import Participant, WorkScheduler

LARGEST_COST = 7  # of a turn in the plays below


@given(st.lists(st.lists(st.integers(1, LARGEST_COST), min_size=5, max_size=40), min_size=2, max_size=8))
def test_flows_that_are_always_busy_get_equal_shares_whatever_their_turns_cost(costs):
    queue, flows = FairQueue(), [Flow() for _ in costs]
    used, turns = dict.fromkeys(flows, 0), {flow: iter(cost) for flow, cost in zip(flows, costs, strict=True)}
    for flow in flows:
        queue.push(flow)
    while (flow := queue.pop()) and (cost := next(turns[flow], 0)):
        queue.charge(flow, cost)
        used[flow] += cost
        queue.push(flow)
        assert max(used.values()) - min(used.values()) <= 2 * LARGEST_COST


def test_a_flow_that_used_little_goes_before_those_that_used_much():
    queue, busy, light = FairQueue(), [Flow() for _ in range(300)], Flow()
    for flow in busy:
        queue.push(flow)
    for _ in range(1_000):
        flow = queue.pop()
        queue.charge(flow, 5)
        queue.push(flow)
    queue.push(light)
    passed = 0
    while (flow := queue.pop()) is not light:
        queue.charge(flow, 5)
        queue.push(flow)
        passed += 1
    assert passed <= 1


# Guards against: flows that come and go as fast as they like, each with nothing used yet, always go first.
@pytest.mark.parametrize("opening_cost", [1, 4])
def test_a_busy_flow_gets_its_turn_however_many_new_ones_come(opening_cost):
    queue, kept, together = FairQueue(), Flow(), 20
    queue.push(kept)
    assert queue.pop() is kept
    queue.charge(kept, 5)
    queue.push(kept)

    def new_flow():
        flow = Flow()
        queue.enter(flow, opening_cost)
        queue.push(flow)

    for _ in range(together):
        new_flow()
    passed = 0
    while queue.pop() is not kept:
        new_flow()  # at once after the one whose turn it was has gone
        passed += 1
    assert passed <= together * (5 // opening_cost + 1)


class Requests(Participant):
    """A connection with so much work, in turns of equal cost."""

    def __init__(self, work):
        super().__init__()
        self.left, self.turns = work, 0

    @property
    def has_work(self):
        return self.left > 0

    def take_turn(self, max_cost):
        self.turns += 1
        self.left -= max_cost
        return max_cost


def test_an_iteration_of_the_loop_ends_once_its_turns_have_cost_their_part():
    async def main():
        scheduler = WorkScheduler()
        busy = [Requests(10_000) for _ in range(50)]
        for participant in busy:
            scheduler.submit(participant)
        for iteration in range(1, 10):
            done = sum(10_000 - participant.left for participant in busy)
            assert done == iteration * work_scheduler.WORK_PER_ITERATION
            await asyncio.sleep(0)
        assert len(scheduler) == len(busy) and scheduler.take_longest_wait_s() > 0

    asyncio.run(main())


def test_work_that_nobody_waits_before_is_done_at_once():
    async def main():
        waits = []
        scheduler = WorkScheduler(lambda *wait: waits.append(wait))
        light = Requests(1)
        scheduler.submit(light)
        assert light.turns == 1 and not waits[0][2] and not len(scheduler)

    asyncio.run(main())


def test_a_turn_that_fails_concerns_its_connection_only():
    async def main():
        failures = []
        scheduler = WorkScheduler(on_failure=lambda *failure: failures.append(failure))
        failing, other = Requests(5), Requests(5)
        failing.take_turn = lambda max_cost: failing.missing
        failing.left = 0
        scheduler.submit(failing)
        scheduler.submit(other)
        assert other.turns == 1 and failures[0][0] == "client-turn"

    asyncio.run(main())


# Overload.

MAX_WAIT_S = 0.05
STEP_S = 1.01 * INTERVAL_S  # one adjustment each


def overloaded_control(intervals, clients=300, open_calls=1_000):
    control = OverloadControl(MAX_WAIT_S)
    for interval in range(intervals + 1):
        control.note_wait(interval * STEP_S, 2 * MAX_WAIT_S, True, open_calls, clients)
    return control


def test_a_burst_that_is_worked_off_is_no_overload():
    control = OverloadControl(MAX_WAIT_S)
    for interval in range(20):
        control.note_wait(interval * STEP_S, 2 * MAX_WAIT_S, True, 1_000, 300)
        control.note_wait((interval + 0.9) * STEP_S, 2 * MAX_WAIT_S, False, 1_000, 300)
        assert control.limit is None and control.admits(1_000, 1_000, 300)


def test_while_bytes_wait_for_too_long_clients_share_the_calls_equally():
    control = overloaded_control(20)
    assert control.limit == 300  # one call each, and no less
    assert control.admits(0, 300, 300) and not control.admits(1, 300, 300) and control.refused == 1
    assert control.admits(29, 30, 10) and not control.admits(30, 30, 10)  # of fewer clients each gets more


# Guards against: thousands of calls whose time ends together, which nobody could be told of in time.
def test_more_calls_than_can_be_ended_together_are_shared_equally_without_overload():
    control = OverloadControl(MAX_WAIT_S)
    assert control.admits(1_000, MAX_OPEN_CALLS - 1, 10)
    assert control.admits(MAX_OPEN_CALLS // 10 - 1, MAX_OPEN_CALLS, 10)
    assert not control.admits(MAX_OPEN_CALLS // 10, MAX_OPEN_CALLS, 10)


def test_the_limit_rises_once_nothing_waits_and_is_lifted_when_it_refuses_nobody():
    control, limits = overloaded_control(20), []
    for interval in range(21, 22 + LIFT_INTERVALS):
        limits.append(control.limit)
        control.note_wait(interval * STEP_S, 0.0, True, 10, 300)
    assert limits[2] > limits[1] == 300 and limits == sorted(limits) and control.limit is None


# What waits for its turn.


def test_what_waits_here_does_not_count_against_an_incomplete_request():
    session = Session()
    whole = request(1, fields(id_(1)), b"b" * 5_000)
    session.receive(whole[:2_000])
    for _ in range(2 * MAX_INCOMPLETE_SWEEPS):
        session.sweep(len(whole) - 2_000)
    assert not session.output and not session.broken
    assert session.receive(whole[2_000:])[0].number == 1


def test_a_request_that_what_waited_does_not_complete_is_rejected_in_its_time():
    session = Session()
    session.receive(request(1, fields(id_(1)), b"b" * 5_000)[:2_000])
    for _ in range(MAX_INCOMPLETE_SWEEPS + 1):
        session.sweep(len(FIRST_BYTES))
    assert not session.output
    session.receive(codec.record(codec.STDIN, 1, b"b")[:-1])
    session.sweep(1_000_000)  # more keeps coming
    assert session.timed_out == 1 and session.output


class Backlogged:
    """A router whose turns are held back, with one client whose bytes wait for theirs."""

    def __init__(self, node):
        self.node, self.scheduler = node, node.front.scheduler
        self.budget = work_scheduler.WORK_PER_ITERATION

    def hold(self, monkeypatch):
        monkeypatch.setattr(work_scheduler, "WORK_PER_ITERATION", 0)

    def release(self, monkeypatch):
        monkeypatch.setattr(work_scheduler, "WORK_PER_ITERATION", self.budget)
        self.scheduler._begin_iteration()


# Guards against: a deadline that counted from the turn, or from the read, and not from the arrival.
@pytest.mark.parametrize("more", [b"", b"b" * READ_BYTES])
def test_the_time_that_a_request_waits_for_its_turn_counts_against_it(tmp_path, monkeypatch, more):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            assert await front.ask(1, fields(id_(1)))[0] if False else (await front.ask(1, fields(id_(1))))
            backlogged = Backlogged(node)
            backlogged.hold(monkeypatch)
            front.writer.write(request(2, fields(id_(2), wait="1400"), more))
            await until(lambda: len(node.front.scheduler) == 1)
            await asyncio.sleep(0.3)
            backlogged.release(monkeypatch)
            assert (await front.answer(2))[0] == 200
            assert ttl_ms(worker.runs()[-1]) <= 1_400 - 300 + 20

    run(main())


# Guards against: an attempt for a client that had withdrawn it, which was read only behind other requests.
@pytest.mark.parametrize("how", ["abort", "close", "reset"])
def test_nothing_is_sent_for_a_client_whose_end_waits_behind_its_other_requests(tmp_path, monkeypatch, how):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            assert (await front.ask(1, fields(id_(1))))[0] == 200
            (kept,) = node.front.connections
            turn, flush = kept.take_turn, node.link.flush
            node.link.flush = lambda: None  # attempts are held back
            sock = connect(node.port)
            sock.sendall(FIRST_BYTES)
            await until(lambda: len(node.front.connections) == 2)
            sock.sendall(request(2, fields(id_(2), wait="1400")))
            await until(lambda: node.link._jobs)
            Backlogged(node).hold(monkeypatch)
            # These fill the next read and wait for their turn; the end of request 2 lies in the kernel.
            sock.sendall(b"".join(request(n, {"SCRIPT_NAME": "/-/healthy"}) for n in range(3, 33)) * 3)
            await until(lambda: len(node.front.scheduler) == 1)
            if how == "abort":
                sock.sendall(codec.record(codec.ABORT, 2, b""))
            else:
                linger = (1, 0) if how == "reset" else (0, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", *linger))
                sock.close()
            await asyncio.sleep(2 * fc.LOOK_AHEAD_AFTER_S)
            node.link.flush = flush
            flush()
            await until(lambda: node.engine.open == 0)
            assert [arguments[1].decode() for arguments in worker.runs()] == [id_(1)]
            assert turn == kept.take_turn
            sock.close()

    run(main())


# Guards against: requests that waited for their turn, or in the kernel, when their connection was closed.
def test_requests_that_wait_for_their_turn_are_answered_as_their_connection_closes(tmp_path, monkeypatch):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            assert (await front.ask(1, fields(id_(1))))[0] == 200
            Backlogged(node).hold(monkeypatch)
            requests = b"".join(request(n, fields(id_(n)), b"b" * 1_000) for n in range(2, 20))
            front.writer.write(requests)
            await until(lambda: len(node.front.scheduler) == 1)
            (connection,) = node.front.connections
            await until(lambda: connection._unread_bytes() > len(requests) - 2 * READ_BYTES)
            assert not connection.idle
            connection.finish()
            assert [(await front.answer(n))[0] for n in range(2, 20)] == [503] * 18
            assert await front.closed()
            assert len(worker.runs()) == 1 and node.engine.open == 0

    run(main())


# Guards against: a task, and its connection, that waited for ever for a turn that is not given any more.
def test_a_connection_that_is_closed_while_it_waits_for_its_turn_is_freed(tmp_path, monkeypatch):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            sock = socket.create_connection((HOST, node.port))
            sock.sendall(FIRST_BYTES)
            await until(lambda: node.front.connections)
            Backlogged(node).hold(monkeypatch)
            sock.sendall(request(1, fields(id_(1))))
            await until(lambda: len(node.front.scheduler) == 1)
            (connection,) = node.front.connections
            node.front._close_now(connection)
            await until(lambda: not node.front._tasks)
            assert not len(node.front.scheduler) and not worker.runs()
            sock.close()

    run(main())


# Guards against: a refusal under the id of an open request, which runs all the same.
def test_an_early_refusal_never_denies_an_open_request(tmp_path):
    async def main():
        gate = asyncio.Event()

        async def held(worker, writer, arguments):
            await gate.wait()
            await echo(worker, writer, arguments)

        async with Worker(held) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            front.writer.write(request(1, fields(id_(1), "consigna")))
            await until(lambda: worker.runs())
            node.front.overload.limit = 1.0
            assert (await front.ask(2, fields(id_(1), "consigna")))[0] == 409
            status, headers, _ = await front.ask(3, fields(id_(3), "consigna"))
            assert status == 503 and headers["Srv-Wait-Ms"] == "100"
            assert (await front.ask(4, {"SCRIPT_NAME": "/-/healthy"}))[0] == 200
            gate.set()
            assert (await front.answer(1))[0] == 200
            assert len(worker.runs()) == 1

    run(main())


# Guards against: the time of the last read was taken for the age of what it left behind.
def test_nothing_is_sent_for_a_client_whose_abort_waited_behind_a_body_in_the_kernel(tmp_path, monkeypatch):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            assert (await front.ask(1, fields(id_(1))))[0] == 200
            backlogged = Backlogged(node)
            backlogged.hold(monkeypatch)
            whole = request(2, fields(id_(2), wait="1400"), b"b" * 7_000)
            # The last read that the request needs is a full one; the abort is behind it.
            filler = codec.record(codec.DATA, 2, b"d" * (-len(whole) % READ_BYTES - codec.HEADER_BYTES))
            front.writer.write(filler + whole + codec.record(codec.ABORT, 2, b""))
            await until(lambda: len(node.front.scheduler) == 1)
            await asyncio.sleep(2 * fc.LOOK_AHEAD_AFTER_S)
            backlogged.budget = 1  # one read in each iteration
            backlogged.release(monkeypatch)
            await until(lambda: not len(node.front.scheduler))
            await until(lambda: node.engine.open == 0)
            assert [arguments[1].decode() for arguments in worker.runs()] == [id_(1)]

    run(main())


# Guards against: the fields of 32 requests of 16 KiB each were checked in one turn, some 0.1 s.
def test_the_check_of_large_fields_pauses_after_each_request():
    session = Session()
    for number in range(1, 33):
        pairs = b"".join(codec.pair(b"%04x" % n, b"") for n in range(2_700))
        session.receive(codec.begin(number) + codec.record(codec.PARAMS, number, pairs))
    session.cost = 0.0
    ends = b"".join(codec.record(codec.PARAMS, number, b"") for number in range(1, 33))
    steps = []
    for _ in session.events(ends):
        steps.append(session.cost)
        session.cost = 0.0
    assert sum(steps) > 32 * 2_700 * 6 * PARAMS_BYTE_COST * 0.9
    assert max(steps) < 2_700 * 6 * PARAMS_BYTE_COST + 3


# Guards against: sweeps counted the time that the rest of a request waited in the kernel and for its turn.
def test_a_request_whose_rest_waits_for_its_turn_is_not_rejected_as_incomplete(tmp_path, monkeypatch):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            assert (await front.ask(1, fields(id_(1))))[0] == 200
            whole = request(2, fields(id_(2), wait="1400"), b"b" * 3 * READ_BYTES)
            front.writer.write(whole[:100])
            (connection,) = node.front.connections
            await until(lambda: connection.session.is_incomplete)
            backlogged = Backlogged(node)
            backlogged.hold(monkeypatch)
            front.writer.write(whole[100:])
            await until(lambda: len(node.front.scheduler) == 1)
            await until(lambda: connection._unread_bytes() >= 2 * READ_BYTES)
            for _ in range(2 * MAX_INCOMPLETE_SWEEPS):
                node.front.sweep()
            scheduler, before = node.front.scheduler, connection._unread_bytes()
            while connection._unread_bytes() == before:  # turns for one read, and the rest waits still
                connection._process(1)
            node.front.sweep()
            assert len(scheduler) == 1 and connection._unread_bytes()
            backlogged.release(monkeypatch)
            assert (await front.answer(2))[0] == 200

    run(main())


# Guards against: bytes that come while an earlier read waits for its turn counted as just arrived.
def test_the_time_that_bytes_wait_behind_an_earlier_read_counts_against_a_request(tmp_path, monkeypatch):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            sock = connect(node.port)
            sock.sendall(FIRST_BYTES)
            await until(lambda: node.front.connections)
            backlogged = Backlogged(node)
            backlogged.hold(monkeypatch)
            whole = request(1, fields(id_(1), wait="1400"))
            sock.sendall(whole[:100])
            await until(lambda: len(node.front.scheduler) == 1)
            sock.sendall(whole[100:])
            await asyncio.sleep(0.3)
            backlogged.release(monkeypatch)
            await until(lambda: worker.runs())
            assert ttl_ms(worker.runs()[0]) <= 1_400 - 300 + 20
            sock.close()

    run(main())
