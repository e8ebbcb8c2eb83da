"""Floods of client connections and lack of descriptors, on real sockets; each shortage is forced."""

import asyncio
import os
import resource
import socket

from helpers import cyclic_garbage
from platformbench import (
    FIRST_BYTES,
    HOST,
    Front,
    Journal,
    Worker,
    document,
    echo,
    fields,
    frame,
    gated_echo,
    request,
    router,
    until,
)
from socketbench import run
from test_endings import reset_on_close
from test_platform import RouterProcess, id_
from tornado.iostream import IOStream

from swiftwell.fronts.fastcgi import acceptor
from swiftwell.fronts.fastcgi import connection as fc
from swiftwell.fronts.fastcgi import listener as lis
from swiftwell.platform.limits import divide_descriptors


def connect(port, count):
    """Open connections that stay in the backlog, as the router's event loop does not run meanwhile."""
    return [socket.create_connection((HOST, port)) for _ in range(count)]


def close(sockets):
    for sock in sockets:
        sock.close()


def test_one_iteration_of_the_loop_accepts_a_bounded_number(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port], sockets=512) as node:
            waiting = connect(node.port, 3 * acceptor.ACCEPT_BATCH)
            accepted_per_iteration, turns = [], []
            asyncio.get_running_loop().call_later(0.001, turns.append, 1)
            while node.front.counts["accepted"] < len(waiting):
                before = node.front.counts["accepted"]
                await asyncio.sleep(0)
                accepted_per_iteration.append(node.front.counts["accepted"] - before)
            assert 0 < max(accepted_per_iteration) <= acceptor.ACCEPT_BATCH
            close(waiting)

    run(main())


def test_a_silent_connection_costs_neither_a_stream_nor_a_task(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port], sockets=512) as node:
            silent = connect(node.port, 100)
            await until(lambda: len(node.front.pending) == 100)
            assert not node.front._tasks and not node.front.connections
            close(silent)
            await until(lambda: len(node.front) == 0)

    run(main())


def test_the_oldest_silent_connection_makes_room_and_no_client_that_asks(tmp_path):
    async def main():
        async with (
            Worker(echo) as worker,
            router(tmp_path, [worker.port]) as node,
            Front(node.port) as usual,
        ):
            node.front.max_connections = 4
            assert (await usual.ask(1, fields(id_(1))))[0] == 200
            old, *rest = connect(node.port, 3)
            await until(lambda: len(node.front.pending) == 3)
            async with Front(node.port) as late:
                assert (await late.ask(1, fields(id_(2))))[0] == 200
                old.setblocking(False)
                assert await asyncio.get_running_loop().sock_recv(old, 1) == b""
                assert len(node.front.pending) == 2 and node.front.counts["evicted"] == 1
                assert (await usual.ask(2, fields(id_(3))))[0] == 200
            close([old, *rest])

    run(main())


def test_a_request_that_came_in_the_instant_of_its_eviction_is_served(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            node.front.max_connections = 2
            first, second = connect(node.port, 2)
            await until(lambda: len(node.front.pending) == 2)
            # No await until the eviction: the router has not read these bytes when it chooses a connection.
            first.sendall(request(1, fields(id_(1))))
            third = connect(node.port, 1)
            node.front._acceptor.accept_all()
            assert len(node.front.pending) == 1 and len(node.front.connections) == 1
            first.setblocking(False)
            answer = await asyncio.get_running_loop().sock_recv(first, 4_096)
            assert b"Status: 200" in answer
            close([first, second, *third])

    run(main())


def test_connections_in_use_are_passed_over_when_room_is_made(tmp_path):
    async def main():
        held, slow = gated_echo()
        async with (
            Worker(slow) as worker,
            router(tmp_path, [worker.port]) as node,
            Front(node.port) as busy,
            Front(node.port) as idle,
        ):
            busy.writer.write(request(1, fields(id_(1))))
            await until(lambda: node.front.open_ids)
            assert (await idle.ask(1, {"SCRIPT_NAME": "/-/healthy"}))[0] == 200
            node.front.max_connections = 2
            async with Front(node.port) as late:
                assert (await late.ask(1, {"SCRIPT_NAME": "/-/healthy"}))[0] == 200
                assert await idle.closed()
                held.set()
                assert (await busy.answer(1))[0] == 200

    run(main())


def test_connections_that_asked_once_and_stay_keep_within_the_bound(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            node.front.max_connections = 20
            kept, most = [], 0
            for number in range(60):
                front = await Front(node.port).__aenter__()
                assert (await front.ask(1, fields(id_(1 + number))))[0] == 200
                kept.append(front)
                most = max(most, len(node.front))
            assert most <= 20 and len(node.front.closing) <= lis.MAX_LINGERING
            for front in kept:
                front.writer.close()

    run(main())


def test_accepting_without_a_descriptor_neither_spins_nor_ends(tmp_path):
    async def main():
        async with (
            Worker(echo) as worker,
            router(tmp_path, [worker.port], sockets=512) as node,
            Front(node.port) as usual,
        ):
            assert (await usual.ask(1, fields(id_(1))))[0] == 200
            (silent,) = connect(node.port, 1)
            await until(lambda: len(node.front.pending) == 1)
            late, spare = socket.socket(), os.dup(0)
            late.setblocking(False)
            limits = resource.getrlimit(resource.RLIMIT_NOFILE)
            os.close(spare)  # the lowest free descriptor: there is none below it
            resource.setrlimit(resource.RLIMIT_NOFILE, (spare, limits[1]))
            try:
                late.connect_ex((HOST, node.port))
                late.sendall(FIRST_BYTES)
                await until(lambda: node.front.counts["exhausted"] and len(node.front.connections) == 2)
                assert node.front.counts["exhausted"] == 1  # it paused, and then used the freed one
                assert node.front.counts["evicted"] == 1 and not node.front.pending
                assert (await usual.ask(2, fields(id_(3))))[0] == 200
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, limits)
            close([silent, late])

    run(main())


def test_silent_clients_that_fill_the_descriptors_keep_nobody_from_the_list(tmp_path):
    sockets = 128

    async def main():
        async def serve(service, number, writer):
            writer.write(frame(2, 2, [(2, second.port, 0)]) if number < 2 else frame(2))
            await writer.drain()

        async with Worker(echo) as first, Worker(echo) as second, Journal(serve) as journal:
            port = journal.port
            with RouterProcess(tmp_path, document([first.port], port, sockets)) as process:
                resource.prlimit(process.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
                assert await process.up() == 200
                await until(lambda: journal.asked)
                journal.server.close()
                for writer in journal.writers:
                    writer.transport.abort()
                silent = connect(process.port, 2 * divide_descriptors(sockets).clients)
                restarted = Journal(serve)
                restarted.server = await asyncio.start_server(
                    restarted._serve, HOST, port, reuse_address=True
                )
                await until(lambda: restarted.asked, 10.0)
                for number in range(3):
                    async with Front(process.port) as late:
                        assert (await late.ask(1, fields(id_(1 + number))))[0] == 200
                close(silent)
                restarted.server.close()

    run(main())


def test_a_stop_ends_idle_connections_some_at_a_time(tmp_path):
    """On a share of a core, closing hundreds at once delayed all responses."""

    async def main():
        async with router(tmp_path, [9]) as node:
            held = connect(node.port, 3 * lis.DRAIN_BATCH)
            for sock in held:
                sock.sendall(FIRST_BYTES)
            await until(lambda: len(node.front.connections) == len(held))
            node.front.drain()
            for left in (2, 1, 0):
                node.front.close_answered()
                idle = [connection for connection in node.front.connections if connection.idle]
                assert len(idle) == left * lis.DRAIN_BATCH
            for sock in held:
                sock.close()

    run(main())


def test_a_connection_that_ended_is_freed_without_the_cyclic_collector(tmp_path):
    """Thousands per minute were left to full garbage collections, which stalled the loop for 0.15 s."""

    async def says_nothing(service, number, writer):
        await asyncio.sleep(30)

    async def main(sent, reset):
        async with (
            Worker(echo) as worker,
            Journal(says_nothing) as service,
            router(tmp_path, [worker.port], journal=service.port) as node,
        ):
            with cyclic_garbage((fc.Connection, IOStream)) as left:
                for _ in range(5):
                    (sock,) = connect(node.port, 1)
                    await until(lambda: len(node.front) == 1)
                    sock.sendall(sent)
                    await until(lambda: not sent or node.front.connections)
                    await until(lambda: not node.front.open_ids)
                    if reset:
                        reset_on_close(sock)
                    sock.close()
                    await until(lambda: len(node.front) == 0)
                await asyncio.sleep(0)
            assert not left

    for sent in (b"", FIRST_BYTES[:4], request(1, fields(id_(1)))):
        run(main(sent, reset=False))
    run(main(request(1, fields(id_(1))), reset=True))
