"""Races between the end of a connection, client, worker or process and pending work, on real sockets.

The rows of docs/notes/endings.md name these tests.  No test waits for time to pass: an unreachable worker, a
full buffer or a patched call holds back one side until the other side has acted.
"""

import asyncio
import errno
import random
import signal
import socket
import struct
import time
from contextlib import asynccontextmanager

import pytest
import uvloop
from platformbench import (
    FIRST_BYTES,
    HOST,
    KEY,
    Front,
    Journal,
    Worker,
    document,
    echo,
    fields,
    frame,
    request,
    router,
    settings,
    until,
    worker_reply,
)  # fmt: skip
from socketbench import run
from test_platform import RouterProcess, id_
from test_resp import ID, OTHER, LinkHarness

from swiftwell.discovery import journal
from swiftwell.discovery.journal import FrameDecoder, JournalClient
from swiftwell.fronts.fastcgi import codec
from swiftwell.fronts.fastcgi import connection as fc
from swiftwell.fronts.fastcgi.pending import MAX_SILENT_SWEEPS
from swiftwell.fronts.trigger import Ran
from swiftwell.gateway import ports
from swiftwell.gateway.orders import Order
from swiftwell.interface import Status
from swiftwell.workers.resp import command_history


def long_deadline_settings(dial_ms=8_000.0, deadline_ms=6_000.0, **more):
    """Settings that let a connection take long to open, and a call wait for it."""
    platform_settings = settings(**more)
    for request_class in platform_settings["lanes"]:
        request_class |= {"target-ms": deadline_ms / 1.5, "deadline-ms": deadline_ms}
    platform_settings["limits"] |= {"dial-timeout-ms": dial_ms}
    return platform_settings


class UnreachableWorker(Worker):
    """A worker whose full backlog keeps connections from being established until `open` is called."""

    async def __aenter__(self):
        self.socket = socket.socket()
        self.socket.bind((HOST, 0))
        self.socket.listen(0)
        self.port = self.socket.getsockname()[1]
        self.filler = socket.create_connection((HOST, self.port))
        return self

    async def open(self):
        self.server = await asyncio.start_server(self._serve, sock=self.socket)

    async def __aexit__(self, *_):
        self.filler.close()
        self.socket.close()
        for writer in self.writers:
            writer.close()


@asynccontextmanager
async def waiting_for_connection(folder):
    """An unreachable worker, a router, and a front whose request 1 waits for a connection to that worker."""
    async with (
        UnreachableWorker(echo) as gate,
        router(folder, [gate.port], settings=long_deadline_settings()) as node,
        Front(node.port) as front,
    ):
        front.writer.write(request(1, fields(id_(1), wait="6000")))
        await until(lambda: node.link._jobs)
        yield gate, node, front


def abandon_request(front, how, number=1):
    """A client abandons a request."""
    if how == "abort":
        front.writer.write(codec.record(codec.ABORT, number, b""))
    elif how == "close":
        front.writer.close()
    else:
        reset_on_close(front.writer.get_extra_info("socket"))
        front.writer.transport.abort()


def reset_on_close(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


# Clients that leave while their request waits.


@pytest.mark.parametrize("how", ["abort", "close", "reset"])
def test_a_request_left_while_its_connection_comes_up_late_is_not_sent(tmp_path, how):
    async def main():
        async with waiting_for_connection(tmp_path) as (gate, node, front):
            abandon_request(front, how)
            await until(lambda: node.engine.counts["left"])
            await gate.open()
            async with Front(node.port) as other:
                assert (await other.ask(1, fields(id_(2), wait="6000")))[0] == 200
            assert [arguments[1].decode() for arguments in gate.runs()] == [id_(2)]
            assert not node.link._jobs and node.engine.open == 0

    run(main())


@pytest.mark.parametrize("opened", [True, False])
@pytest.mark.parametrize("how", ["abort", "close", "reset"])
def test_bytes_and_the_clients_end_in_one_turn_are_not_sent(tmp_path, how, opened):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            sock = socket.create_connection((HOST, node.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # send each write at once
            if opened:
                sock.sendall(FIRST_BYTES)
            await until(lambda: node.front.connections if opened else node.front.pending)
            # No await from here to the end of the block: the router receives all of it in one loop iteration.
            sock.sendall(request(1, fields(id_(1))))
            if how == "abort":
                sock.sendall(codec.record(codec.ABORT, 1, b""))
            else:
                if how == "reset":
                    reset_on_close(sock)
                sock.close()
            if how != "reset":  # a reset may discard the bytes, so that no request is received
                await until(lambda: node.engine.counts["left"])
            async with Front(node.port) as other:
                assert (await other.ask(1, fields(id_(2))))[0] == 200
            assert [arguments[1].decode() for arguments in worker.runs()] == [id_(2)]
            assert node.engine.open == 0 and not node.front.open_ids
            sock.close()

    run(main())


@pytest.mark.parametrize("how", ["abort", "close"])
def test_a_request_left_while_the_module_holds_it_is_not_sent(tmp_path, how):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [], settings=long_deadline_settings()) as node:
            async with Front(node.port) as front:
                front.writer.write(request(1, fields(id_(1), wait="6000")))
                await until(lambda: node.engine.router.calls)  # queued, as no worker is known
                abandon_request(front, how)
                await until(lambda: node.engine.counts["left"])
            node._apply_event(next(iter(new_frames().feed(frame(2, 1, [(1, worker.port, 0)])))))
            async with Front(node.port) as other:
                assert (await other.ask(1, fields(id_(2), wait="6000")))[0] == 200
            assert [arguments[1].decode() for arguments in worker.runs()] == [id_(2)]

    run(main())


def test_an_attempt_that_waits_for_a_judged_worker_is_taken_back_and_moves_nowhere():
    # The first connection is reset while it is being opened.  The client leaves during the liveness check.
    async def main():
        async with UnreachableWorker(echo) as gate:
            harness = LinkHarness({"w": gate.port}, connect_s=8.0)
            open_, opened = harness.link._open, []

            async def reset_while_it_comes_up(at):
                raise ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")

            def first_is_reset(name, state, address):
                connection = open_(name, state, address)
                if not opened:
                    connection._stream.connect = reset_while_it_comes_up
                opened.append(connection)
                return connection

            harness.link._open = first_is_reset
            harness.start()
            await until(lambda: harness.link._workers["w"].liveness_check)
            harness.link.withdraw(ports.Withdraw("c1", 0))
            assert [(end.status, end.ran) for end in harness.results] == [(Status.MOOT, Ran.NEVER)]
            await gate.open()
            harness.start(call="c2", id_=OTHER, left=8_000_000)
            await harness.ends(2)
            assert [arguments[1].decode() for arguments in gate.runs()] == [OTHER]
            harness.link.close()

    run(main())


# Permission to send is checked again when the bytes are handed to the kernel.


@pytest.mark.parametrize("what", ["drains", "is gone", "left its address to another"])
def test_nothing_goes_to_a_worker_that_changed_while_its_connection_came_up(tmp_path, what):
    async def main():
        async with waiting_for_connection(tmp_path) as (gate, node, front):
            (connection,) = node.link._workers["s-00000001"].connections
            records = {"drains": [(1, gate.port, 1)], "is gone": [(1, gate.port, 2)]}.get(
                what, [(1, gate.port, 2), (2, gate.port, 1)]
            )
            node._apply_event(next(iter(new_frames().feed(frame(2, 2, records)))))
            await gate.open()
            await until(lambda: connection.connect_result.done())
            # It was established, so the request could have been sent.
            assert connection.connect_result.result()
            status, _, _ = await front.answer(1)
            assert status == 503 and not gate.runs()

    run(main())


def test_an_order_whose_time_is_up_is_not_sent_when_its_connection_comes_up():
    async def main():
        async with UnreachableWorker(echo) as gate:
            harness = LinkHarness({"w": gate.port}, connect_s=8.0, streams=1)
            harness.link.order(ports.Order(7, "w", KEY, 1, 10.0, 1))
            harness.link.recall(ports.Recall(7))
            assert not harness.results and not harness.link._orders  # the engine has timed it out already
            await gate.open()
            harness.start(left=8_000_000)
            await harness.ends()
            assert [arguments[0] for arguments in gate.got] == [b"FN"]
            harness.link.close()

    run(main())


def test_the_engine_recalls_an_order_that_it_counts_as_unanswered(tmp_path):
    async def main():
        async with (
            UnreachableWorker(echo) as gate,
            router(tmp_path, [gate.port], settings=long_deadline_settings()) as node,
        ):
            await until(lambda: node.engine._timer_wheel)
            node.engine._now_us = node.clock.now_us()
            order = Order("s-00000001", KEY, 1, node.engine._now_us, node.engine._now_us + 10_000)
            node.engine._track_order(9, order)
            node.link.order(ports.Order(9, "s-00000001", KEY, 1, 10.0, 1))
            await until(lambda: not node.engine._orders)
            await until(lambda: not node.link._orders)
            (connection,) = node.link._workers["s-00000001"].connections
            await gate.open()
            await until(lambda: connection.connect_result.done())
            async with Front(node.port) as other:
                assert (await other.ask(1, fields(id_(2), wait="6000")))[0] == 200
            assert [arguments[0] for arguments in gate.got] == [b"FN"]

    run(main())


def test_an_order_that_may_take_long_is_not_forgotten_before_its_time(tmp_path):
    # The settings may allow loads more time than the link's own limit; the link then dropped their answers.
    family = settings()["family-info"] | {"order-timeout-ms": 25_000.0}

    async def main():
        go = asyncio.Event()

        async def slow(worker, writer, arguments):
            await go.wait()
            await echo(worker, writer, arguments)

        async with (
            Worker(slow) as worker,
            router(tmp_path, [worker.port], settings=settings(**{"family-info": family})) as node,
        ):
            ends = []
            node.link._enqueue = lambda end: ends.append(end)
            node.link.order(ports.Order(9, "s-00000001", KEY, 1, 10.0, 1))
            await until(lambda: worker.got)
            node.link._orders[9].started_s -= 20.0  # as if sent 20 s ago
            node.link.sweep()
            assert not ends
            go.set()
            await until(lambda: ends)
            assert (ends[0].status, ends[0].copies) == (Status.OK, 1)
            node.link.order(ports.Order(10, "s-00000001", KEY, 1, 10.0, 1))
            node.link._orders[10].started_s -= 26.0
            node.link.sweep()
            assert (ends[1].number, ends[1].status) == (10, Status.TIMEOUT)

    run(main())


def test_what_a_full_kernel_buffer_did_not_take_can_still_be_taken_back():
    async def main():
        took, go = [], asyncio.Event()

        async def stands_still(worker, writer, arguments):
            took.append(arguments[1])
            await go.wait()

        async with Worker(stands_still) as worker:
            harness = LinkHarness({"w": worker.port}, connections=1, streams=32)
            harness.start("c0", id_=id_(0), body=b"")
            await until(lambda: took)
            (connection,) = harness.link._workers["w"].connections
            connection._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32_768)
            worker.writers[0].transport.pause_reading()
            count = 0
            while not connection._blocked:  # ends, as kernel buffers hold a few MB at most
                count += 1
                assert count < 400
                harness.start(f"c{count}", id_=id_(count), body=b"x" * 16_384)
                if len(connection.jobs) == 32:
                    for job in [job for job in connection.jobs.values() if job.written]:
                        connection.jobs.pop(job.id)  # as if answered, although the worker still has them
            waiting = [job for job in connection.jobs.values() if not job.written]
            left = ports.Withdraw(f"c{count + 1}", 0)
            harness.start(f"c{count + 1}", id_=OTHER)
            assert not connection.jobs[OTHER.encode()].written
            harness.link.withdraw(left)
            assert harness.results[-1].status is Status.MOOT and harness.results[-1].ran is Ran.NEVER
            harness.start(f"c{count + 2}", id_=ID)
            worker.writers[0].transport.resume_reading()
            go.set()
            await until(lambda: ID.encode() in took)
            assert OTHER.encode() not in took and len(waiting) <= 1
            harness.link.close()

    run(main())


class Holding(Worker):
    """A worker that holds its first request and serves all others."""

    def __init__(self):
        super().__init__(self._hold)
        self.held = None

    async def _hold(self, worker, writer, arguments):
        if arguments[0] == b"FN" and self.held is None:
            self.held = writer, arguments[1]
        else:
            await echo(worker, writer, arguments)

    def end_held(self, result):
        """End the attempt of the held request without serving it."""
        writer, id_ = self.held
        if result == "reset":
            reset_on_close(writer.get_extra_info("socket"))
            writer.transport.abort()
        else:
            writer.write(worker_reply(id_, result))


@pytest.mark.parametrize("stall_s", [0.0, 0.2])
@pytest.mark.parametrize("result", [b"WAIT", b"BROKE", b"LACK", "reset"])
@pytest.mark.parametrize("how", ["abort", "close", "reset", "stays"])
def test_no_further_attempt_begins_for_a_client_that_left_as_the_first_one_ended(
    tmp_path, how, result, stall_s
):
    async def main():
        async with (
            Holding() as worker_a,
            Holding() as worker_b,
            router(
                tmp_path, [worker_a.port, worker_b.port], settings=long_deadline_settings(deadline_ms=2_400.0)
            ) as node,
        ):
            sock = socket.create_connection((HOST, node.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.sendall(request(1, fields(id_(1), wait="2400")))
            await until(lambda: worker_a.held or worker_b.held)
            first, second = (worker_a, worker_b) if worker_a.held else (worker_b, worker_a)
            second.held = second.held or (None, b"")  # so that it serves all requests
            # No await from here to the end of the stall: the router receives all of it in one loop iteration.
            first.end_held(result)
            if how == "abort":
                sock.sendall(codec.record(codec.ABORT, 1, b""))
            elif how != "stays":
                if how == "reset":
                    reset_on_close(sock)
                sock.close()
            time.sleep(stall_s)
            if how == "stays":  # the control case: a client that waits is served by a second attempt
                await until(lambda: len(worker_a.runs()) + len(worker_b.runs()) == 2)
            else:
                await until(lambda: node.engine.open == 0 and not node.front.open_ids)
                async with Front(node.port) as other:
                    assert (await other.ask(1, fields(id_(2))))[0] == 200
                ran = [arguments[1].decode() for arguments in (*worker_a.runs(), *worker_b.runs())]
                assert sorted(ran) == [id_(1), id_(2)]
            sock.close()

    run(main())


# Ends of client connections.


async def unread_response(node, body):
    """A client that does not read, so that its response stays in the router's buffers; returns both ends."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (HOST, node.port))
    whole = request(1, fields(id_(77)), body)
    await loop.sock_sendall(sock, whole[:50])
    await until(lambda: node.front.connections)
    connection = list(node.front.connections)[-1]
    connection.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
    await loop.sock_sendall(sock, whole[50:])
    await until(lambda: not node.front.open_ids and connection.session.had_request)
    await until(connection.stream.writing)
    return sock, connection


async def read_to_end(sock):
    """All bytes until the end of the stream; raises if the connection is reset."""
    loop, received = asyncio.get_running_loop(), b""
    while data := await loop.sock_recv(sock, 65_536):
        received += data
    return received


async def large_response(worker, writer, arguments):
    writer.write(worker_reply(arguments[1], b"DONE", b"why=reused", b"y" * 200_000))


def test_large_answers_of_one_turn_reach_a_client_that_reads(tmp_path, monkeypatch):
    monkeypatch.setattr(fc, "MAX_UNSENT_BYTES", 300_000)

    async def main():
        count = 3  # of 200,000 bytes each, which is above the limit for clients that do not read
        async with (
            Worker(large_response) as worker,
            router(tmp_path, [worker.port]) as node,
            Front(node.port) as front,
        ):
            front.writer.write(FIRST_BYTES)
            await until(lambda: node.front.connections)
            (connection,) = node.front.connections
            flush, gathered = connection.flush, []

            def flush_once_all_are_queued():
                gathered.append(sum(map(len, connection._output)))
                if gathered[-1] > count * 200_000:
                    flush()

            connection.flush = flush_once_all_are_queued
            for number in range(1, count + 1):
                front.writer.write(request(number, fields(id_(number))))
            assert await front.read(lambda: len(front.done) == count)
            assert all(answer.startswith(b"Status: 200") for answer in front.done.values())
            assert max(gathered) > fc.MAX_UNSENT_BYTES

    run(main())


def test_a_connection_with_an_answer_on_its_way_is_not_evicted(tmp_path):
    async def main():
        async with Worker(large_response) as worker, router(tmp_path, [worker.port]) as node:
            sock, connection = await unread_response(node, b"")
            node.front.max_connections = 1
            async with Front(node.port) as other:
                assert await other.closed()  # no room, as no connection is idle
            assert node.front.counts["evicted"] == 0 and connection in node.front.connections
            node.front.max_connections = 8
            reading = asyncio.ensure_future(read_to_end(sock))
            await until(lambda: connection.idle)
            sock.shutdown(socket.SHUT_WR)
            assert (await reading).count(b"y") >= 200_000
            sock.close()

    run(main())


def test_an_end_takes_no_answer_from_a_client_that_has_not_read_it(tmp_path):
    # Unread bytes turn a close into a reset, which discards data in transit.
    async def main():
        async with Worker(large_response) as worker, router(tmp_path, [worker.port]) as node:
            sock, connection = await unread_response(node, b"")
            ending = asyncio.ensure_future(node.front.shutdown(time.monotonic() + 20))
            await until(lambda: connection in node.front.closing)
            sock.send(codec.begin(2))  # crosses the close
            assert (await read_to_end(sock)).count(b"y") >= 200_000
            sock.close()
            await ending
            assert not node.front.closing

    run(main())


def test_a_request_that_was_read_but_not_looked_at_is_not_taken_from_an_evicted_connection(tmp_path):
    # The request ran although its client had been told to retry, so that an unsafe call ran twice.
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            front.writer.write(FIRST_BYTES)
            await until(lambda: node.front.connections)
            (connection,) = node.front.connections
            read, idle = connection.stream.read_bytes, []

            def close_before_processing(_):
                idle.append(connection.idle)
                node.front._close_now(connection)

            def reading(*how, **more):
                future = read(*how, **more)
                # Added to the second read before `run` awaits it, so it is called first.
                if connection.session.had_request:
                    future.add_done_callback(close_before_processing)
                return future

            connection.stream.read_bytes = reading
            assert (await front.ask(1, fields(id_(1))))[0] == 200
            front.writer.write(request(2, fields(id_(2), "consigna")))
            assert await front.closed()
            assert idle == [False]  # an eviction would not have chosen it
            async with Front(node.port) as other:
                assert (await other.ask(1, fields(id_(3))))[0] == 200
            assert [arguments[1].decode() for arguments in worker.runs()] == [id_(1), id_(3)]
            assert node.engine.open == 0 and not node.front.open_ids

    run(main())


def test_a_first_request_half_read_is_not_cut_off_by_the_look_at_silent_connections(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            node.front._sweeper.stop()
            whole = request(1, fields(id_(1)))
            front.writer.write(FIRST_BYTES)
            await until(lambda: node.front.connections)
            (connection,) = node.front.connections
            connection.silent_sweeps = MAX_SILENT_SWEEPS
            front.writer.write(whole[:50])
            await until(lambda: not connection.session.idle)
            node.front.sweep()
            front.writer.write(whole[50:])
            assert (await front.answer(1))[0] == 200

    run(main())


def test_open_requests_of_a_connection_that_broke_are_answered_and_not_sent(tmp_path):
    async def main():
        async with waiting_for_connection(tmp_path) as (gate, node, front):
            front.writer.write(b"no FastCGI at all")
            assert (await front.answer(1))[0] == 502  # a failure, as the outcome is unknown
            assert await front.closed()
            await gate.open()
            async with Front(node.port) as other:
                assert (await other.ask(1, fields(id_(2), wait="6000")))[0] == 200
            assert [arguments[1].decode() for arguments in gate.runs()] == [id_(2)]

    run(main())


def test_an_abort_and_its_number_again_in_one_read(tmp_path):
    async def main():
        held = []

        async def holds_the_first(worker, writer, arguments):
            if arguments[0] == b"FN" and not held:
                held.append(arguments)
            else:
                await echo(worker, writer, arguments)

        async with (
            Worker(holds_the_first) as worker,
            router(tmp_path, [worker.port]) as node,
            Front(node.port) as front,
        ):
            front.writer.write(request(2, fields(id_(9))) + request(1, fields(id_(1))))
            await until(lambda: len(worker.runs()) == 2)
            assert (await front.answer(1))[0] == 200
            front.writer.write(
                codec.record(codec.ABORT, 2, b"") + request(2, fields(id_(2))) + request(3, fields(id_(3)))
            )
            assert await front.read(lambda: 2 in front.done)
            assert front.done.pop(2) == b""  # END_REQUEST of the abort, then the response to the new request
            assert (await front.answer(2))[0] == 200
            assert (await front.answer(3))[0] == 200  # other requests of the connection are served

    run(main())


# Shutdown of the process.


def test_sigterm_with_deadlines_over_three_seconds_answers_everything_before_sigkill(tmp_path):
    async def main():
        async def never(worker, writer, arguments):
            pass

        async with Worker(never) as worker:
            long = long_deadline_settings(deadline_ms=20_000.0)
            with RouterProcess(tmp_path, document([worker.port], settings=long)) as process:
                assert await process.up() == 200
                async with Front(process.port) as front:
                    front.writer.write(request(1, fields(id_(1), wait="20000")))
                    front.writer.write(request(2, fields(id_(2), "consigna", wait="20000")))
                    half = request(3, fields(id_(3), wait="20000"))
                    front.writer.write(half[:40])
                    await until(lambda: len(worker.runs()) == 2)
                    began = time.monotonic()
                    process.process.send_signal(signal.SIGTERM)
                    front.writer.write(half[40:])
                    answers = [(await front.answer(number))[0] for number in (1, 2, 3)]
                    # It may have run, so an unsafe call must not be refused.
                    assert answers[1] == 502 and set(answers) <= {502, 503}
                    assert await front.closed()
                assert await process.ended() == 0
                # The platform sends SIGKILL 3.7 s after SIGTERM here; in any case well below 20 s.
                assert time.monotonic() - began < 19

    run(main())


def test_a_failure_while_stopping_does_not_keep_the_process_from_its_end(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:

            def planted():
                raise RuntimeError("planted")

            node.front.owes_answers = planted
            node.stop()
            await asyncio.wait_for(node.ended.wait(), 20)
            assert '"stop-failed"' in node.lines.getvalue() and '"stopped"' in node.lines.getvalue()

    run(main())


def test_a_connection_the_machine_took_for_us_is_served_before_the_listener_closes(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            sock = socket.create_connection((HOST, node.port))
            sock.sendall(request(1, fields(id_(1))))
            assert node.front.owes_answers()  # in this loop iteration: the loop has not polled the socket yet
            sock.setblocking(False)
            await until(lambda: worker.runs())
            sock.shutdown(socket.SHUT_WR)
            sock.close()

    run(main())


# The client of the journal service.


def new_frames():
    return FrameDecoder(("east",), ("std", "big"))


class RunningClient:
    """A running client of the journal service in this process."""

    def __init__(self, port, tell):
        self.lines = []
        log = lambda *args, **fields: self.lines.append((args, fields))  # noqa: E731
        self.client = JournalClient((HOST, port), new_frames, tell, log, random.Random(1))
        self.client.sequence.last_number = 1

    async def __aenter__(self):
        self.task = asyncio.ensure_future(self.client.run())
        return self

    async def __aexit__(self, *_):
        self.task.cancel()


def test_a_watch_whose_taker_fails_is_begun_anew_and_the_event_is_not_lost():
    async def main():
        async def serve(service, number, writer):
            if number == 1:
                writer.write(frame(2, 2, [(7, 80, 0)]))

        events = []

        def fail_once(event):
            events.append(event.number)
            if len(events) == 1:
                raise RuntimeError("planted")

        async with Journal(serve) as service, RunningClient(service.port, fail_once) as running:
            await until(lambda: len(events) == 2)
            assert (
                events == [2, 2] and service.asked[:2] == [1, 1] and running.client.sequence.last_number == 2
            )
            assert any("planted" in fields.get("why", "") for _, fields in running.lines)

    run(main())


def test_a_new_address_is_asked_at_once_out_of_a_long_rest(monkeypatch):
    monkeypatch.setattr(journal, "RETRY_DELAY_RANGE_S", (600.0, 700.0))
    monkeypatch.setattr(journal, "MAX_RETRY_DELAY_S", 600.0)

    async def main():
        async def serve(service, number, writer):
            writer.write(frame(2, 2, [(7, 80, 0)]))

        events = []
        async with Journal(serve) as service, RunningClient(1, events.append) as running:
            await until(lambda: running.lines)  # refused, and backing off
            running.client.reconnect((HOST, service.port))
            await until(lambda: events)

    run(main())


def test_a_stall_of_our_own_is_no_silence_where_bytes_wait(monkeypatch):
    monkeypatch.setattr(journal, "SILENCE_TIMEOUT_S", 0.3)

    async def main():
        writers = []

        async def serve(service, number, writer):
            writers.append(writer)
            writer.write(frame(1))

        events = []
        async with Journal(serve) as service, RunningClient(service.port, events.append) as running:
            await until(lambda: writers)
            await until(lambda: running.client._stream is not None)
            writers[0].write(frame(2, 2, [(7, 80, 0)]))
            time.sleep(0.6)  # the whole process stalls, for twice SILENT_S
            await until(lambda: events)
            assert service.asked == [1]

    # As in production, uvloop runs its timers before it polls its sockets.
    uvloop.run(asyncio.wait_for(main(), 20))


def test_a_frame_that_trickles_for_ever_is_silence(monkeypatch):
    monkeypatch.setattr(journal, "SILENCE_TIMEOUT_S", 0.3)

    async def main():
        async def serve(service, number, writer):
            if len(service.asked) > 1:
                writer.write(frame(2, 2, [(7, 80, 0)]))
                return
            writer.write(struct.pack(">IQB", 9 + 27 * 10_000, 2, 2))
            while len(service.asked) == 1:
                writer.write(b"x")
                await asyncio.sleep(0.01)

        events = []
        async with Journal(serve) as service, RunningClient(service.port, events.append):
            await until(lambda: events)
            assert service.asked == [1, 1]

    run(main())


def test_empty_frames_that_tell_of_events_that_never_came_are_asked_about_once():
    async def main():
        async def serve(service, number, writer):
            if len(service.asked) == 1:
                writer.write(frame(3))
            elif len(service.asked) == 2:
                writer.write(frame(3) + frame(3) + frame(2, 2, [(7, 80, 0)]))
                await until(lambda: events)
                writer.write(frame(3) + frame(3, 2, [(7, 80, 1)]))

        events = []
        async with Journal(serve) as service, RunningClient(service.port, events.append) as running:
            await until(lambda: len(events) == 2)
            assert service.asked == [1, 1] and running.client.sequence.last_number == 3

    run(main())


def test_known_events_with_a_gap_are_left_to_the_service():
    events, lines = [], []
    client = JournalClient(
        (HOST, 1), new_frames, events.append, lambda *a, **f: lines.append(f), random.Random(1)
    )
    worker = journal.Worker("s-00000001", (HOST, 80), next(iter(journal._STATES)), "east", "std", 0, 1.0, 0.0)
    whole = journal.Event(1, True, (worker,))
    client.apply_initial([whole, journal.Event(3, False, (worker,))])
    assert [event.number for event in events] == [1] and client.sequence.last_number == 1 and lines


def test_a_whole_list_with_a_lower_number_is_a_repeat():
    sequence = journal.EventSequence()
    sequence.last_number = 5
    assert not sequence.accept(journal.Event(3, True, ())) and sequence.last_number == 5


# Engine steps and tables.


def test_an_input_that_fails_takes_nothing_else_of_its_turn_along(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            take, bad = node.engine._on_arrive, id_(1)

            def planted(trigger, at_us):
                if trigger.key == bad:
                    raise RuntimeError("planted")
                return take(trigger, at_us)

            node.engine._on_arrive = planted
            front.writer.write(b"".join(request(number, fields(id_(number))) for number in (1, 2, 3)))
            assert [(await front.answer(number))[0] for number in (1, 2, 3)] == [502, 200, 200]
            assert not node.front.open_ids and node.engine.open == 0

    run(main())


def test_a_start_that_fails_half_way_ends_its_attempt(tmp_path):
    async def main():
        # Longer than the test, so that no time-out ends the call.
        long = long_deadline_settings(deadline_ms=60_000.0)
        async with (
            Worker(echo) as worker,
            router(tmp_path, [worker.port], settings=long) as node,
            Front(node.port) as front,
        ):
            start, failed = node.link.start, []

            def fail_once(act):
                if not failed:
                    failed.append(act)
                    raise RuntimeError("planted")
                start(act)

            node.link.start = fail_once
            assert (await front.ask(1, fields(id_(1), "consigna", wait="60000")))[0] == 502  # it may have run
            assert (await front.ask(2, fields(id_(2), wait="60000")))[0] == 200
            await until(lambda: node.engine.open == 0)

    run(main())


def test_an_abandoned_attempt_that_the_link_does_not_know_ends_all_the_same():
    async def main():
        harness = LinkHarness({})
        harness.link.abandon(ports.Abandon("c9", 0, Status.TIMEOUT))
        (end,) = harness.results
        assert (end.id, end.status, end.ran) == ("c9", Status.TIMEOUT, Ran.MAYBE)

    run(main())


def test_an_open_id_is_never_forgotten_on_its_connection(monkeypatch):
    monkeypatch.setattr(command_history, "MAX_KNOWN_IDS", 4)

    async def main():
        async def holds_one(worker, writer, arguments):
            if arguments[1] != ID.encode():
                await echo(worker, writer, arguments)

        async with Worker(holds_one) as worker:
            harness = LinkHarness({"w": worker.port}, connections=1)
            harness.start("c0", id_=ID)
            for number in range(1, 9):
                harness.start(f"c{number}", id_=id_(number))
                await harness.ends(number)
            (connection,) = harness.link._workers["w"].connections
            assert ID.encode() in connection.history and len(connection.history) <= 5
            harness.start("c0", id_=ID, number=1)  # a second attempt, which must not share the connection
            await harness.ends(9)
            assert (harness.results[-1].status, harness.results[-1].ran) == (Status.MOOT, Ran.NEVER)
            assert len([arguments for arguments in worker.runs() if arguments[1] == ID.encode()]) == 1
            harness.link.close()

    run(main())


def test_a_keyed_request_takes_its_token_to_the_worker(tmp_path):
    # Without the token no worker can drop a repeat, and the workers of one deployment treated every call as
    # unknown.
    async def main():
        document_settings = settings()
        document_settings["lanes"].append(
            {"name": "asiento", "effect": "deduplicated", "target-ms": 400.0, "deadline-ms": 1500.0,
             "value": 2.0, "dedup-scope": "all", "memory-span-ms": 5000.0}
        )  # fmt: skip
        async with (
            Worker(echo) as worker,
            router(tmp_path, [worker.port], settings=document_settings) as node,
            Front(node.port) as front,
        ):
            request_fields = fields(id_(1), "asiento", HTTP_REQ_TOKEN="6b037a6fa73e6f4d554ecefb7d593b22")
            assert (await front.ask(1, request_fields))[0] == 200
            assert (await front.ask(2, fields(id_(2))))[0] == 200
            passed = [
                dict(entry.split(b"=") for entry in arguments[2].split(b",")) for arguments in worker.runs()
            ]
            assert [entry.get(b"dedupe") for entry in passed] == [b"6b037a6fa73e6f4d554ecefb7d593b22", None]

    run(main())


def test_a_request_that_was_read_but_not_looked_at_is_answered_as_its_connection_ends(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            front.writer.write(FIRST_BYTES)
            await until(lambda: node.front.connections)
            (connection,) = node.front.connections
            read = connection.stream.read_bytes

            def reading(*how, **more):
                future = read(*how, **more)
                # As at the deadline of a shutdown, between the second read and its processing.
                if connection.session.had_request:
                    future.add_done_callback(lambda _: connection.finish())
                return future

            connection.stream.read_bytes = reading
            assert (await front.ask(1, fields(id_(1))))[0] == 200
            front.writer.write(request(2, fields(id_(2))))
            assert (await front.answer(2))[0] == 503  # refused: the gateway never got it
            assert await front.closed()
            assert [arguments[1].decode() for arguments in worker.runs()] == [
                id_(1)
            ] and node.engine.open == 0

    run(main())
