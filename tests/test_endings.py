"""Instants in which something ends while something is owed: real sockets, each crossing forced.

Rows of docs/notes/endings.md name these tests.  Nothing here waits for a time to pass: a gate, a full buffer
or a planted call holds one side until the other has done what is to be crossed.
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
    said,
    settings,
    until,
)  # fmt: skip
from socketbench import run
from test_platform import Process, id_
from test_resp import ID, OTHER, Play

from swiftwell.discovery import journal
from swiftwell.discovery.journal import Client, Frames
from swiftwell.fronts.fastcgi import codec
from swiftwell.fronts.fastcgi import connection as fc
from swiftwell.fronts.fastcgi.pending import MAX_SILENT_SWEEPS
from swiftwell.fronts.trigger import Ran
from swiftwell.gateway import ports
from swiftwell.gateway.orders import Order
from swiftwell.interface import Status
from swiftwell.workers.resp import connection as rc


def patient(dial_ms=8_000.0, deadline_ms=6_000.0, **more):
    """Settings under which a connection may take long to come up, and a call may wait for it."""
    found = settings(**more)
    for request_class in found["lanes"]:
        request_class |= {"target-ms": deadline_ms / 1.5, "deadline-ms": deadline_ms}
    found["limits"] |= {"dial-timeout-ms": dial_ms}
    return found


class Gate(Worker):
    """A worker whose connections don't come up until it opens: its queue of them is full."""

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
async def waiting_at_a_gate(folder):
    """A gate, a router and a front whose request 1 waits for a connection to that gate."""
    async with (
        Gate(echo) as gate,
        router(folder, [gate.port], settings=patient()) as node,
        Front(node.port) as front,
    ):
        front.writer.write(request(1, fields(id_(1), wait="6000")))
        await until(lambda: node.link._jobs)
        yield gate, node, front


def leave(front, how, number=1):
    """A client gives up."""
    if how == "abort":
        front.writer.write(codec.record(codec.ABORT, number, b""))
    elif how == "close":
        front.writer.close()
    else:
        reset_at_close(front.writer.get_extra_info("socket"))
        front.writer.transport.abort()


def reset_at_close(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


# Clients that left while their request waited.


@pytest.mark.parametrize("how", ["abort", "close", "reset"])
def test_a_request_left_while_its_connection_comes_up_late_is_not_sent(tmp_path, how):
    async def main():
        async with waiting_at_a_gate(tmp_path) as (gate, node, front):
            leave(front, how)
            await until(lambda: node.engine.counts["left"])
            await gate.open()
            async with Front(node.port) as other:
                assert (await other.ask(1, fields(id_(2), wait="6000")))[0] == 200
            assert [words[1].decode() for words in gate.runs()] == [id_(2)]
            assert not node.link._jobs and node.engine.open == 0

    run(main())


@pytest.mark.parametrize("opened", [True, False])
@pytest.mark.parametrize("how", ["abort", "close", "reset"])
def test_bytes_and_the_clients_end_in_one_turn_are_not_sent(tmp_path, how, opened):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            sock = socket.create_connection((HOST, node.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # each write is sent at once
            if opened:
                sock.sendall(FIRST_BYTES)
            await until(lambda: node.front.connections if opened else node.front.pending)
            # No await from here to the end of the block: the router finds all of it in one turn of the loop.
            sock.sendall(request(1, fields(id_(1))))
            if how == "abort":
                sock.sendall(codec.record(codec.ABORT, 1, b""))
            else:
                if how == "reset":
                    reset_at_close(sock)
                sock.close()
            if how != "reset":  # a reset may take the bytes along, and then nothing was ever taken
                await until(lambda: node.engine.counts["left"])
            async with Front(node.port) as other:
                assert (await other.ask(1, fields(id_(2))))[0] == 200
            assert [words[1].decode() for words in worker.runs()] == [id_(2)]
            assert node.engine.open == 0 and not node.front.ids
            sock.close()

    run(main())


@pytest.mark.parametrize("how", ["abort", "close"])
def test_a_request_left_while_the_module_holds_it_is_not_sent(tmp_path, how):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [], settings=patient()) as node:
            async with Front(node.port) as front:
                front.writer.write(request(1, fields(id_(1), wait="6000")))
                await until(lambda: node.engine.router.calls)  # held: no worker is known
                leave(front, how)
                await until(lambda: node.engine.counts["left"])
            node._listed(next(iter(_frames().feed(frame(2, 1, [(1, worker.port, 0)])))))
            async with Front(node.port) as other:
                assert (await other.ask(1, fields(id_(2), wait="6000")))[0] == 200
            assert [words[1].decode() for words in worker.runs()] == [id_(2)]

    run(main())


def test_an_attempt_that_waits_for_a_judged_worker_is_taken_back_and_moves_nowhere():
    # Its first connection is reset while it comes up; while a second shows whether the process lives, the
    # client leaves.
    async def main():
        async with Gate(echo) as gate:
            play = Play({"w": gate.port}, connect_s=8.0)
            open_, opened = play.link._open, []

            async def reset_while_it_comes_up(at):
                raise ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")

            def first_is_reset(name, state, address):
                one = open_(name, state, address)
                if not opened:
                    one._stream.connect = reset_while_it_comes_up
                opened.append(one)
                return one

            play.link._open = first_is_reset
            play.start()
            await until(lambda: play.link._workers["w"].judging)
            play.link.withdraw(ports.Withdraw("c1", 0))
            assert [(end.status, end.ran) for end in play.told] == [(Status.MOOT, Ran.NEVER)]
            await gate.open()
            play.start(call="c2", id_=OTHER, left=8_000_000)
            await play.ends(2)
            assert [words[1].decode() for words in gate.runs()] == [OTHER]
            play.link.close()

    run(main())


# Leave to send, asked for again where the bytes are handed over.


@pytest.mark.parametrize("what", ["drains", "is gone", "left its address to another"])
def test_nothing_goes_to_a_worker_that_changed_while_its_connection_came_up(tmp_path, what):
    async def main():
        async with waiting_at_a_gate(tmp_path) as (gate, node, front):
            (one,) = node.link._workers["s-00000001"].connections
            records = {"drains": [(1, gate.port, 1)], "is gone": [(1, gate.port, 2)]}.get(
                what, [(1, gate.port, 2), (2, gate.port, 1)]
            )
            node._listed(next(iter(_frames().feed(frame(2, 2, records)))))
            await gate.open()
            await until(lambda: one.opened.done())
            assert one.opened.result()  # it did come up, so the request could have gone
            status, _, _ = await front.answer(1)
            assert status == 503 and not gate.runs()

    run(main())


def test_an_order_whose_time_is_up_is_not_sent_when_its_connection_comes_up():
    async def main():
        async with Gate(echo) as gate:
            play = Play({"w": gate.port}, connect_s=8.0, streams=1)
            play.link.order(ports.Order(7, "w", KEY, 1, 10.0, 1))
            play.link.recall(ports.Recall(7))
            assert not play.told and not play.link._orders  # the engine has ended it already
            await gate.open()
            play.start(left=8_000_000)
            await play.ends()
            assert [words[0] for words in gate.got] == [b"FN"]
            play.link.close()

    run(main())


def test_the_engine_recalls_an_order_that_it_counts_as_unanswered(tmp_path):
    async def main():
        async with Gate(echo) as gate, router(tmp_path, [gate.port], settings=patient()) as node:
            await until(lambda: node.engine._timer_wheel)
            node.engine._now_us = node.clock.now_us()
            order = Order("s-00000001", KEY, 1, node.engine._now_us, node.engine._now_us + 10_000)
            node.engine._track_order(9, order)
            node.link.order(ports.Order(9, "s-00000001", KEY, 1, 10.0, 1))
            await until(lambda: not node.engine._orders)
            await until(lambda: not node.link._orders)
            (one,) = node.link._workers["s-00000001"].connections
            await gate.open()
            await until(lambda: one.opened.done())
            async with Front(node.port) as other:
                assert (await other.ask(1, fields(id_(2), wait="6000")))[0] == 200
            assert [words[0] for words in gate.got] == [b"FN"]

    run(main())


def test_an_order_that_may_take_long_is_not_forgotten_before_its_time(tmp_path):
    # The settings may grant loads more than the link's own bound: its answer was then nobody's.
    family = settings()["family-info"] | {"order-timeout-ms": 25_000.0}

    async def main():
        go = asyncio.Event()

        async def slow(worker, writer, words):
            await go.wait()
            await echo(worker, writer, words)

        async with (
            Worker(slow) as worker,
            router(tmp_path, [worker.port], settings=settings(**{"family-info": family})) as node,
        ):
            ends = []
            node.link._put = lambda end: ends.append(end)
            node.link.order(ports.Order(9, "s-00000001", KEY, 1, 10.0, 1))
            await until(lambda: worker.got)
            node.link._orders[9].began -= 20.0  # so long ago
            node.link.sweep()
            assert not ends
            go.set()
            await until(lambda: ends)
            assert (ends[0].status, ends[0].copies) == (Status.OK, 1)
            node.link.order(ports.Order(10, "s-00000001", KEY, 1, 10.0, 1))
            node.link._orders[10].began -= 26.0
            node.link.sweep()
            assert (ends[1].number, ends[1].status) == (10, Status.TIMEOUT)

    run(main())


def test_what_a_full_kernel_buffer_did_not_take_can_still_be_taken_back():
    async def main():
        took, go = [], asyncio.Event()

        async def stands_still(worker, writer, words):
            took.append(words[1])
            await go.wait()

        async with Worker(stands_still) as worker:
            play = Play({"w": worker.port}, connections=1, streams=32)
            play.start("c0", id_=id_(0), body=b"")
            await until(lambda: took)
            (one,) = play.link._workers["w"].connections
            one._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32_768)
            worker.writers[0].transport.pause_reading()
            count = 0
            while not one._blocked:  # bounded: a kernel holds some MB at most
                count += 1
                assert count < 400
                play.start(f"c{count}", id_=id_(count), body=b"x" * 16_384)
                if len(one.jobs) == 32:
                    for job in [job for job in one.jobs.values() if job.written]:
                        one.jobs.pop(job.id)  # as if answered; the worker has them all the same
            waiting = [job for job in one.jobs.values() if not job.written]
            left = ports.Withdraw(f"c{count + 1}", 0)
            play.start(f"c{count + 1}", id_=OTHER)
            assert not one.jobs[OTHER.encode()].written
            play.link.withdraw(left)
            assert play.told[-1].status is Status.MOOT and play.told[-1].ran is Ran.NEVER
            play.start(f"c{count + 2}", id_=ID)
            worker.writers[0].transport.resume_reading()
            go.set()
            await until(lambda: ID.encode() in took)
            assert OTHER.encode() not in took and len(waiting) <= 1
            play.link.close()

    run(main())


class Holding(Worker):
    """Keeps its first request; any other is served."""

    def __init__(self):
        super().__init__(self._hold)
        self.held = None

    async def _hold(self, worker, writer, words):
        if words[0] == b"FN" and self.held is None:
            self.held = writer, words[1]
        else:
            await echo(worker, writer, words)

    def end_held(self, word):
        """The held request's attempt ends without having served it."""
        writer, id_ = self.held
        if word == "reset":
            reset_at_close(writer.get_extra_info("socket"))
            writer.transport.abort()
        else:
            writer.write(said(id_, word))


@pytest.mark.parametrize("stall_s", [0.0, 0.2])
@pytest.mark.parametrize("word", [b"WAIT", b"BROKE", b"LACK", "reset"])
@pytest.mark.parametrize("how", ["abort", "close", "reset", "stays"])
def test_no_further_attempt_begins_for_a_client_that_left_as_the_first_one_ended(
    tmp_path, how, word, stall_s
):
    async def main():
        async with (
            Holding() as one,
            Holding() as two,
            router(tmp_path, [one.port, two.port], settings=patient(deadline_ms=2_400.0)) as node,
        ):
            sock = socket.create_connection((HOST, node.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.sendall(request(1, fields(id_(1), wait="2400")))
            await until(lambda: one.held or two.held)
            first, second = (one, two) if one.held else (two, one)
            second.held = second.held or (None, b"")  # what comes there is served
            # No await from here to the end of the stall: the router finds all of it in one turn of its loop.
            first.end_held(word)
            if how == "abort":
                sock.sendall(codec.record(codec.ABORT, 1, b""))
            elif how != "stays":
                if how == "reset":
                    reset_at_close(sock)
                sock.close()
            time.sleep(stall_s)
            if (
                how == "stays"
            ):  # so that the others say something: one that waits is served by a second attempt
                await until(lambda: len(one.runs()) + len(two.runs()) == 2)
            else:
                await until(lambda: node.engine.open == 0 and not node.front.ids)
                async with Front(node.port) as other:
                    assert (await other.ask(1, fields(id_(2))))[0] == 200
                ran = [words[1].decode() for words in (*one.runs(), *two.runs())]
                assert sorted(ran) == [id_(1), id_(2)]
            sock.close()

    run(main())


# Ends of connections of clients.


async def _unread(node, body):
    """A client that does not read, so that its answer lies in the router's buffers; its two ends."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (HOST, node.port))
    whole = request(1, fields(id_(77)), body)
    await loop.sock_sendall(sock, whole[:50])
    await until(lambda: node.front.connections)
    one = list(node.front.connections)[-1]
    one.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
    await loop.sock_sendall(sock, whole[50:])
    await until(lambda: not node.front.ids and one.session.asked)
    await until(one.stream.writing)
    return sock, one


async def _rest(sock):
    """All that comes until the end of the connection; raises where it is reset."""
    loop, found = asyncio.get_running_loop(), b""
    while data := await loop.sock_recv(sock, 65_536):
        found += data
    return found


async def _large(worker, writer, words):
    writer.write(said(words[1], b"DONE", b"why=reused", b"y" * 200_000))


def test_large_answers_of_one_turn_reach_a_client_that_reads(tmp_path, monkeypatch):
    monkeypatch.setattr(fc, "MOST_UNSENT", 300_000)

    async def main():
        count = 3  # of 200,000 bytes each: together more than may wait for a client that does not read
        async with (
            Worker(_large) as worker,
            router(tmp_path, [worker.port]) as node,
            Front(node.port) as front,
        ):
            front.writer.write(FIRST_BYTES)
            await until(lambda: node.front.connections)
            (one,) = node.front.connections
            flush, gathered = one.flush, []

            def together():  # the turn's end comes once all have been gathered
                gathered.append(sum(map(len, one._out)))
                if gathered[-1] > count * 200_000:
                    flush()

            one.flush = together
            for number in range(1, count + 1):
                front.writer.write(request(number, fields(id_(number))))
            assert await front.read(lambda: len(front.done) == count)
            assert all(answer.startswith(b"Status: 200") for answer in front.done.values())
            assert max(gathered) > fc.MOST_UNSENT

    run(main())


def test_a_connection_with_an_answer_on_its_way_is_not_evicted(tmp_path):
    async def main():
        async with Worker(_large) as worker, router(tmp_path, [worker.port]) as node:
            sock, one = await _unread(node, b"")
            node.front.max_connections = 1
            async with Front(node.port) as other:
                assert await other.closed()  # no room: nobody is idle
            assert node.front.counts["evicted"] == 0 and one in node.front.connections
            node.front.max_connections = 8
            reading = asyncio.ensure_future(_rest(sock))
            await until(lambda: one.idle)
            sock.shutdown(socket.SHUT_WR)
            assert (await reading).count(b"y") >= 200_000
            sock.close()

    run(main())


def test_an_end_takes_no_answer_from_a_client_that_has_not_read_it(tmp_path):
    # Bytes that nobody read turn a close into a reset, and that throws away what was on its way.
    async def main():
        async with Worker(_large) as worker, router(tmp_path, [worker.port]) as node:
            sock, one = await _unread(node, b"")
            ending = asyncio.ensure_future(node.front.shut(time.monotonic() + 20))
            await until(lambda: one in node.front.ending)
            sock.send(codec.begin(2))  # crosses the end
            assert (await _rest(sock)).count(b"y") >= 200_000
            sock.close()
            await ending
            assert not node.front.ending

    run(main())


def test_a_request_that_was_read_but_not_looked_at_is_not_taken_from_an_evicted_connection(tmp_path):
    # It ran, although its client had been sent away to ask again: twice for an unsafe one.
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            front.writer.write(FIRST_BYTES)
            await until(lambda: node.front.connections)
            (one,) = node.front.connections
            read, idle = one.stream.read_bytes, []

            def cut_before_the_look(_):
                idle.append(one.idle)
                node.front._cut(one)

            def reading(*how, **more):
                future = read(*how, **more)
                if one.session.asked:  # the second read; before its reader awaits it, so this comes first
                    future.add_done_callback(cut_before_the_look)
                return future

            one.stream.read_bytes = reading
            assert (await front.ask(1, fields(id_(1))))[0] == 200
            front.writer.write(request(2, fields(id_(2), "consigna")))
            assert await front.closed()
            assert idle == [False]  # no eviction would have chosen it
            async with Front(node.port) as other:
                assert (await other.ask(1, fields(id_(3))))[0] == 200
            assert [words[1].decode() for words in worker.runs()] == [id_(1), id_(3)]
            assert node.engine.open == 0 and not node.front.ids

    run(main())


def test_a_first_request_half_read_is_not_cut_off_by_the_look_at_silent_connections(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            node.front._sweeper.stop()
            whole = request(1, fields(id_(1)))
            front.writer.write(FIRST_BYTES)
            await until(lambda: node.front.connections)
            (one,) = node.front.connections
            one.sweeps = MAX_SILENT_SWEEPS
            front.writer.write(whole[:50])
            await until(lambda: not one.session.idle)
            node.front.sweep()
            front.writer.write(whole[50:])
            assert (await front.answer(1))[0] == 200

    run(main())


def test_open_requests_of_a_connection_that_broke_are_answered_and_not_sent(tmp_path):
    async def main():
        async with waiting_at_a_gate(tmp_path) as (gate, node, front):
            front.writer.write(b"no FastCGI at all")
            assert (await front.answer(1))[0] == 502  # a failure: it promises nothing
            assert await front.closed()
            await gate.open()
            async with Front(node.port) as other:
                assert (await other.ask(1, fields(id_(2), wait="6000")))[0] == 200
            assert [words[1].decode() for words in gate.runs()] == [id_(2)]

    run(main())


def test_an_abort_and_its_number_again_in_one_read(tmp_path):
    async def main():
        held = []

        async def holds_the_first(worker, writer, words):
            if words[0] == b"FN" and not held:
                held.append(words)
            else:
                await echo(worker, writer, words)

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
            assert front.done.pop(2) == b""  # the abort's END_REQUEST, then the new request's answer
            assert (await front.answer(2))[0] == 200
            assert (await front.answer(3))[0] == 200  # the others of the connection live

    run(main())


# The end of the process.


def test_sigterm_with_deadlines_over_three_seconds_answers_everything_before_sigkill(tmp_path):
    async def main():
        async def never(worker, writer, words):
            pass

        async with Worker(never) as worker:
            long = patient(deadline_ms=20_000.0)
            with Process(tmp_path, document([worker.port], settings=long)) as one:
                assert await one.up() == 200
                async with Front(one.port) as front:
                    front.writer.write(request(1, fields(id_(1), wait="20000")))
                    front.writer.write(request(2, fields(id_(2), "consigna", wait="20000")))
                    half = request(3, fields(id_(3), wait="20000"))
                    front.writer.write(half[:40])
                    await until(lambda: len(worker.runs()) == 2)
                    began = time.monotonic()
                    one.process.send_signal(signal.SIGTERM)
                    front.writer.write(half[40:])
                    answers = [(await front.answer(number))[0] for number in (1, 2, 3)]
                    # It may have run, so for an unsafe one a refusal would be a lie.
                    assert answers[1] == 502 and set(answers) <= {502, 503}
                    assert await front.closed()
                assert await one.ended() == 0
                # By the platform's word SIGKILL comes 3.7 s after SIGTERM here.  Far from 20 s in any case.
                assert time.monotonic() - began < 19

    run(main())


def test_a_failure_while_stopping_does_not_keep_the_process_from_its_end(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:

            def planted():
                raise RuntimeError("planted")

            node.front.owes = planted
            node.stop()
            await asyncio.wait_for(node.ended.wait(), 20)
            assert '"stop-failed"' in node.lines.getvalue() and '"stopped"' in node.lines.getvalue()

    run(main())


def test_a_connection_the_machine_took_for_us_is_served_before_the_listener_closes(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            sock = socket.create_connection((HOST, node.port))
            sock.sendall(request(1, fields(id_(1))))
            assert node.front.owes()  # in this very turn: the loop has not seen it yet
            sock.setblocking(False)
            await until(lambda: worker.runs())
            sock.shutdown(socket.SHUT_WR)
            sock.close()

    run(main())


# The watch of the list.


def _frames():
    return Frames(("east",), ("std", "big"))


class Following:
    """A client of the journal service in this process."""

    def __init__(self, port, tell):
        self.lines = []
        log = lambda *args, **fields: self.lines.append((args, fields))  # noqa: E731
        self.client = Client((HOST, port), _frames, tell, log, random.Random(1))
        self.client.feed.held = 1

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

        told = []

        def once_wrong(event):
            told.append(event.number)
            if len(told) == 1:
                raise RuntimeError("planted")

        async with Journal(serve) as service, Following(service.port, once_wrong) as one:
            await until(lambda: len(told) == 2)
            assert told == [2, 2] and service.asked[:2] == [1, 1] and one.client.feed.held == 2
            assert any("planted" in fields.get("why", "") for _, fields in one.lines)

    run(main())


def test_a_new_address_is_asked_at_once_out_of_a_long_rest(monkeypatch):
    monkeypatch.setattr(journal, "AGAIN_S", (600.0, 700.0))
    monkeypatch.setattr(journal, "MOST_AGAIN_S", 600.0)

    async def main():
        async def serve(service, number, writer):
            writer.write(frame(2, 2, [(7, 80, 0)]))

        told = []
        async with Journal(serve) as service, Following(1, told.append) as one:
            await until(lambda: one.lines)  # refused, and resting
            one.client.move((HOST, service.port))
            await until(lambda: told)

    run(main())


def test_a_stall_of_our_own_is_no_silence_where_bytes_wait(monkeypatch):
    monkeypatch.setattr(journal, "SILENT_S", 0.3)

    async def main():
        writers = []

        async def serve(service, number, writer):
            writers.append(writer)
            writer.write(frame(1))

        told = []
        async with Journal(serve) as service, Following(service.port, told.append) as one:
            await until(lambda: writers)
            await until(lambda: one.client._stream is not None)
            writers[0].write(frame(2, 2, [(7, 80, 0)]))
            time.sleep(0.6)  # the whole process stands still, twice as long as silence takes
            await until(lambda: told)
            assert service.asked == [1]

    uvloop.run(asyncio.wait_for(main(), 20))  # the loop of `run`: it looks at its timers before its sockets


def test_a_frame_that_trickles_for_ever_is_silence(monkeypatch):
    monkeypatch.setattr(journal, "SILENT_S", 0.3)

    async def main():
        async def serve(service, number, writer):
            if len(service.asked) > 1:
                writer.write(frame(2, 2, [(7, 80, 0)]))
                return
            writer.write(struct.pack(">IQB", 9 + 27 * 10_000, 2, 2))
            while len(service.asked) == 1:
                writer.write(b"x")
                await asyncio.sleep(0.01)

        told = []
        async with Journal(serve) as service, Following(service.port, told.append):
            await until(lambda: told)
            assert service.asked == [1, 1]

    run(main())


def test_empty_frames_that_tell_of_events_that_never_came_are_asked_about_once():
    async def main():
        async def serve(service, number, writer):
            if len(service.asked) == 1:
                writer.write(frame(3))
            elif len(service.asked) == 2:
                writer.write(frame(3) + frame(3) + frame(2, 2, [(7, 80, 0)]))
                await until(lambda: told)
                writer.write(frame(3) + frame(3, 2, [(7, 80, 1)]))

        told = []
        async with Journal(serve) as service, Following(service.port, told.append) as one:
            await until(lambda: len(told) == 2)
            assert service.asked == [1, 1] and one.client.feed.held == 3

    run(main())


def test_known_events_with_a_gap_are_left_to_the_service():
    told, lines = [], []
    client = Client((HOST, 1), _frames, told.append, lambda *a, **f: lines.append(f), random.Random(1))
    worker = journal.Worker("s-00000001", (HOST, 80), next(iter(journal._STATES)), "east", "std", 0, 1.0, 0.0)
    whole = journal.Event(1, True, (worker,))
    client.start([whole, journal.Event(3, False, (worker,))])
    assert [event.number for event in told] == [1] and client.feed.held == 1 and lines


def test_a_whole_list_with_a_lower_number_is_a_repeat():
    feed = journal.Feed()
    feed.held = 5
    assert not feed.take(journal.Event(3, True, ())) and feed.held == 5


# Turns and tables.


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
            assert not node.front.ids and node.engine.open == 0

    run(main())


def test_a_start_that_fails_half_way_ends_its_attempt(tmp_path):
    async def main():
        long = patient(deadline_ms=60_000.0)  # far beyond the test: no time-out of the call's ends it instead
        async with (
            Worker(echo) as worker,
            router(tmp_path, [worker.port], settings=long) as node,
            Front(node.port) as front,
        ):
            start, failed = node.link.start, []

            def once_wrong(act):
                if not failed:
                    failed.append(act)
                    raise RuntimeError("planted")
                start(act)

            node.link.start = once_wrong
            assert (await front.ask(1, fields(id_(1), "consigna", wait="60000")))[0] == 502  # it may have run
            assert (await front.ask(2, fields(id_(2), wait="60000")))[0] == 200
            await until(lambda: node.engine.open == 0)

    run(main())


def test_an_abandoned_attempt_that_the_link_does_not_know_ends_all_the_same():
    async def main():
        play = Play({})
        play.link.abandon(ports.Abandon("c9", 0, Status.TIMEOUT))
        (end,) = play.told
        assert (end.id, end.status, end.ran) == ("c9", Status.TIMEOUT, Ran.MAYBE)

    run(main())


def test_an_open_id_is_never_forgotten_on_its_connection(monkeypatch):
    monkeypatch.setattr(rc, "MOST_KNOWN", 4)

    async def main():
        async def holds_one(worker, writer, words):
            if words[1] != ID.encode():
                await echo(worker, writer, words)

        async with Worker(holds_one) as worker:
            play = Play({"w": worker.port}, connections=1)
            play.start("c0", id_=ID)
            for number in range(1, 9):
                play.start(f"c{number}", id_=id_(number))
                await play.ends(number)
            (one,) = play.link._workers["w"].connections
            assert ID.encode() in one.known and len(one.known) <= 5
            play.start("c0", id_=ID, number=1)  # a second attempt: no connection may carry both
            await play.ends(9)
            assert (play.told[-1].status, play.told[-1].ran) == (Status.MOOT, Ran.NEVER)
            assert len([words for words in worker.runs() if words[1] == ID.encode()]) == 1
            play.link.close()

    run(main())


def test_a_keyed_request_takes_its_token_to_the_worker(tmp_path):
    # Without it no worker could drop a repeat, and the deployment's workers took each for nobody's.
    async def main():
        found = settings()
        found["lanes"].append(
            {"name": "asiento", "effect": "deduplicated", "target-ms": 400.0, "deadline-ms": 1500.0,
             "value": 2.0, "dedup-scope": "all", "memory-span-ms": 5000.0}
        )  # fmt: skip
        async with (
            Worker(echo) as worker,
            router(tmp_path, [worker.port], settings=found) as node,
            Front(node.port) as front,
        ):
            told = fields(id_(1), "asiento", HTTP_REQ_TOKEN="6b037a6fa73e6f4d554ecefb7d593b22")
            assert (await front.ask(1, told))[0] == 200
            assert (await front.ask(2, fields(id_(2))))[0] == 200
            passed = [dict(one.split(b"=") for one in words[2].split(b",")) for words in worker.runs()]
            assert [one.get(b"dedupe") for one in passed] == [b"6b037a6fa73e6f4d554ecefb7d593b22", None]

    run(main())


def test_a_request_that_was_read_but_not_looked_at_is_answered_as_its_connection_ends(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            front.writer.write(FIRST_BYTES)
            await until(lambda: node.front.connections)
            (one,) = node.front.connections
            read = one.stream.read_bytes

            def reading(*how, **more):
                future = read(*how, **more)
                if one.session.asked:  # a stop whose time is up, between the second read and its look
                    future.add_done_callback(lambda _: one.finish())
                return future

            one.stream.read_bytes = reading
            assert (await front.ask(1, fields(id_(1))))[0] == 200
            front.writer.write(request(2, fields(id_(2))))
            assert (await front.answer(2))[0] == 502
            assert await front.closed()
            assert [words[1].decode() for words in worker.runs()] == [id_(1)] and node.engine.open == 0

    run(main())
