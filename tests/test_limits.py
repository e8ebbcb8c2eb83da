"""Behaviour at limits that the operators' documents promise and no other file tests, on real sockets."""

import asyncio
import errno
import socket
from dataclasses import replace

import pytest
from helpers import PLAIN, Bench, entry, only
from platformbench import (
    HOST,
    Front,
    Worker,
    document,
    echo,
    fields,
    gated_echo,
    request,
    router,
    until,
    worker_reply,
)
from socketbench import run
from test_failing_calls import counts_as_healthy
from test_platform import RouterProcess, id_
from test_request_deadlines import connect
from test_resp import OTHER, LinkHarness

from swiftwell import interface as io
from swiftwell.fronts.fastcgi import codec
from swiftwell.gateway import ports
from swiftwell.interface import Status
from swiftwell.platform import startup


def failing(monkeypatch, method, code, times):
    """Make a method of Python's socket class fail a number of times; returns the list of failures."""
    original, failed = getattr(socket.socket, method), []

    def fail_first(sock, *args, **more):
        if len(failed) < times and not sock.getblocking():
            failed.append(sock)
            raise OSError(code, "planted")
        return original(sock, *args, **more)

    monkeypatch.setattr(socket.socket, method, fail_first)
    return failed


def test_a_request_on_a_connection_that_finds_no_room_is_refused_and_not_dropped(tmp_path):
    async def main():
        held, slow = gated_echo()
        async with Worker(slow) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as busy:
            busy.writer.write(request(1, fields(id_(1))))
            await until(lambda: node.front.open_ids)
            node.front.max_connections = 1
            sock = connect(node.port)
            # Unread so far; there is no descriptor for its connection.
            sock.sendall(request(1, fields(id_(2))))
            sock.setblocking(False)
            answer = await asyncio.get_running_loop().sock_recv(sock, 4_096)
            assert b"Status: 503" in answer
            held.set()
            assert (await busy.answer(1))[0] == 200
            sock.close()

    run(main())


@pytest.mark.parametrize("code", [errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH])
def test_a_connection_that_failed_before_it_was_accepted_hides_none_behind_it(tmp_path, monkeypatch, code):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            failed = failing(monkeypatch, "accept", code, 3)
            sock = connect(node.port)
            sock.sendall(request(1, fields(id_(1))))
            assert node.front.owes_answers()  # accepts the backlog once, as a shutdown does
            assert len(failed) == 3 and node.front.counts["accepted"] == 1
            sock.setblocking(False)
            assert b"Status: 200" in await asyncio.get_running_loop().sock_recv(sock, 4_096)
            sock.close()

    run(main())


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.EHOSTUNREACH])
def test_a_connection_that_breaks_without_a_reset_is_judged_and_its_worker_lives(tmp_path, monkeypatch, code):
    async def main():
        async def never(worker, writer, arguments):
            writer.write(b"*4\r\n")  # some bytes, so that the router reads, which fails

        async with (
            Worker(never) as worker,
            router(tmp_path, [worker.port]) as node,
            Front(node.port) as front,
        ):
            front.writer.write(request(1, fields(id_(1), "consigna")))
            await until(lambda: node.link.open)
            (connection,) = node.link._workers["s-00000001"].connections
            original = connection._stream.read_from_fd

            def broken(buffer):
                connection._stream.read_from_fd = original
                raise OSError(code, "planted")

            connection._stream.read_from_fd = broken
            assert (await front.answer(1))[0] == 502 and counts_as_healthy(node)
            assert len(worker.runs()) == 1

    run(main())


def test_what_fails_for_a_moment_at_the_start_is_tried_again_and_nothing_else_is():
    calls = []

    def opens(code, times):
        calls.append(code)
        if len(calls) <= times:
            raise OSError(code, "planted")
        return "opened"

    assert startup.retry_blocking(lambda: opens(errno.EIO, 2)) == "opened" and len(calls) == 3
    calls.clear()
    with pytest.raises(FileNotFoundError):
        startup.retry_blocking(lambda: opens(errno.ENOENT, 2))
    assert len(calls) == 1
    calls.clear()
    with pytest.raises(OSError, match="planted"):
        startup.retry_blocking(lambda: opens(errno.ENFILE, 1_000), timeout_s=0.2)


def test_the_router_listens_on_its_own_address_only(tmp_path):
    async def main():
        with RouterProcess(tmp_path, document([9])) as process:
            assert await process.up() == 200
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(("127.0.0.2", process.port))
            socket.create_connection((HOST, process.port)).close()

    run(main())


def test_an_unused_connection_to_a_worker_is_closed_before_the_worker_does_and_not_sooner():
    async def main():
        async with Worker(echo) as worker:
            harness = LinkHarness({"w": worker.port}, idle_s=30.0)
            harness.start()
            await harness.ends()
            (connection,) = harness.link._workers["w"].connections
            connection.last_used_s -= 0.69 * 30.0  # as if this much time had passed
            harness.link.sweep()
            assert harness.link.open == 1
            connection.last_used_s -= 0.02 * 30.0
            harness.link.sweep()
            await until(lambda: harness.link.open == 0)
            harness.link.close()

    run(main())


def test_while_the_list_is_overdue_one_connection_to_a_worker_is_kept_by_a_word_in_time():
    """The connection proves that the process is the one in the list."""

    async def main():
        async with Worker(echo) as worker:
            harness = LinkHarness({"w": worker.port}, idle_s=30.0)
            harness.link._keeps_alive = lambda: True
            harness.link._credit = 2.0  # so that the second request gets a connection of its own
            harness.start()
            harness.start(call="c2", id_=OTHER)
            await harness.ends(2)
            connections = harness.link._workers["w"].connections
            assert len(connections) == 2
            for connection in connections:
                connection.last_used_s -= 0.71 * 30.0  # as if this much time had passed
            harness.link.sweep()
            await until(lambda: harness.link.open == 1)
            await until(lambda: worker.got[-1][0] == b"HELO")
            harness.link.sweep()
            assert harness.link.open == 1 and harness.link.counts["kept_alive"] == 1
            harness.link.close()

    run(main())


def test_the_hand_over_asks_for_proof_on_every_path_and_only_questions_pass_without():
    async def main():
        async with Worker(echo) as worker:
            harness = LinkHarness({"w": worker.port})
            harness.start()  # over a connection that is being opened
            await harness.ends()
            harness.link._serves = lambda worker: False
            harness.start(call="c2", id_=OTHER)  # over an established connection
            harness.link.order(ports.Order(1, "w", "f", 1, 10.0, 1))
            harness.link.order(ports.Order(2, "w", "f", 0, 10.0, 1))
            harness.link.flush()
            await until(lambda: len(harness.results) == 4)
            statuses = [(type(end).__name__, end.status) for end in harness.results[1:]]
            assert sorted(statuses) == [
                ("AttemptEnd", Status.MOOT), ("OrderEnd", Status.OK), ("OrderEnd", Status.MOOT),
            ]  # fmt: skip
            assert [arguments[0] for arguments in worker.got] == [b"FN", b"SPAWN"]
            assert worker.got[1][2].endswith(b"instances=0")
            harness.link.close()

    run(main())


@pytest.mark.parametrize("scope", ["zone", "cell"])
def test_a_keyed_call_goes_to_no_other_group_also_where_its_own_has_gone(scope):
    keyed = io.RequestClass("keyed", 800_000, 3_000_000, io.Effect.KEYED, scope, 2_000_000, False, 1.0, 0.1)
    here, there = entry("a", cell=1), replace(entry("b", cell=2), zone="y")
    bench = Bench(replace(PLAIN, classes=(keyed,)), workers=(here, there))
    (send,) = only(bench.call(request_class="keyed"), io.Send)
    own = here if send.worker == "a" else there
    bench.do(io.Members(io.ListKind.DELTA, (replace(own, state=io.State.GONE),)))
    bench.answer(send, Status.ERROR)
    bench.wait(3_100_000)
    assert only(bench.all, io.Send) == [send]
    assert only(bench.all, io.Fail) and not only(bench.all, io.Refuse)


def test_the_33rd_open_request_of_a_connection_is_turned_away_and_the_32_are_served(tmp_path):
    async def main():
        held, slow = gated_echo()
        async with Worker(slow) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            for number in range(1, 34):
                front.writer.write(request(number, fields(id_(number), wait="5000")))
            assert (await front.answer(33))[0] == -codec.OVERLOADED
            held.set()
            answers = [(await front.answer(number))[0] for number in range(1, 33)]
            assert len(answers) == 32 and set(answers) <= {200, 503}
            assert len(worker.runs()) <= 32

    run(main())


def test_a_body_of_16384_bytes_passes_and_one_byte_more_does_not(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            status, _, body = await front.ask(1, fields(id_(1)), b"x" * 16_384)
            assert (status, body) == (200, b"did " + b"x" * 16_384)
            assert (await front.ask(2, fields(id_(2)), b"x" * 16_385))[0] == 413
            assert len(worker.runs()) == 1

    run(main())


def test_bytes_that_come_after_our_end_of_a_connection_are_answered_by_no_reset(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            sock = connect(node.port)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, request(1, fields(id_(1))))
            await until(lambda: node.front.connections and not node.front.open_ids and worker.runs())
            (connection,) = node.front.connections
            await until(lambda: connection.idle)
            connection.finish()
            while await loop.sock_recv(sock, 4_096):
                pass  # the response, then our end of the stream
            for _ in range(2):
                await loop.sock_sendall(sock, request(2, fields(id_(2))))
                assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
            sock.close()

    run(main())


def test_a_second_answer_after_a_miss_is_nobodys(tmp_path):
    async def main():
        async def lacks_then_answers(worker, writer, arguments):
            if arguments[0] == b"FN" and len(worker.runs()) == 1:
                writer.write(
                    worker_reply(arguments[1], b"LACK") + worker_reply(arguments[1], b"DONE", b"-", b"stale")
                )
            else:
                await echo(worker, writer, arguments)

        async with (
            Worker(lacks_then_answers) as worker,
            router(tmp_path, [worker.port]) as node,
            Front(node.port) as front,
        ):
            status, _, body = await front.ask(1, fields(id_(1)), b"x")
            assert (status, body) in ((200, b"did x"), (503, b""))

    run(main())
