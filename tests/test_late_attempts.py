"""Attempts and orders that were given up while they were still on their way: they must not run later.

A request to a worker that had just been cut off was given up by an orderly close, after which the kernels
delivered it all the same once the path was back: seconds after the client's answer, and after the workers had
forgotten its key (docs/incidents/0009).
"""

import asyncio
import signal
import socket
import struct
from contextlib import asynccontextmanager

import pytest
from cut_path import CutPath
from enginebench import SETTINGS, EngineHarness, of_type
from platformbench import HOST, Front, Worker, document, echo, fields, request, until, worker_reply
from socketbench import run
from test_endings import abandon_request, long_deadline_settings
from test_link import attempt
from test_platform import RouterProcess, id_
from test_resp import ID, OTHER, LinkHarness

from swiftwell import interface as io
from swiftwell.fronts.trigger import Ran
from swiftwell.gateway import ports
from swiftwell.gateway.calls import MAX_ARRIVAL_DELAY_US
from swiftwell.interface import Status
from swiftwell.workers.resp.command_history import CommandHistory
from swiftwell.workers.resp.connection import ARRIVAL_TIMEOUT_S

CUT_BYTES = 512 << 10  # of a command: more than the kernel's buffers hold


def cut_settings():
    """Settings with a safe, an unsafe and a keyed class, whose repeats all workers drop for 3 s."""
    settings = long_deadline_settings(deadline_ms=1_500.0)
    settings["lanes"].append(
        {"name": "asiento", "effect": "deduplicated", "target-ms": 400.0, "deadline-ms": 1500.0, "value": 2.0,
         "dedup-scope": "all", "memory-span-ms": 3_000.0}
    )  # fmt: skip
    return settings


async def answers_probes(worker, writer, arguments):
    """As `echo`, and answers the commands that only ask for an answer."""
    if arguments[0] == b"HELO":
        writer.write(worker_reply(arguments[1], b"FIT"))
    else:
        await echo(worker, writer, arguments)


@asynccontextmanager
async def cut_off_workers(folder, calls=6):
    """A router process and two workers, which are cut off after some calls were served.

    Yields the router's process, the paths, the workers, a front, and what counts the requests that reach the
    workers from then on.
    """
    async with (
        Worker(answers_probes) as one,
        Worker(answers_probes) as two,
        CutPath(one.port) as path_one,
        CutPath(two.port) as path_two,
    ):
        configuration = document([path_one.port, path_two.port], settings=cut_settings())
        with RouterProcess(folder, configuration) as router_process:
            assert await router_process.up() == 200
            async with Front(router_process.port) as front:
                for number in range(1, calls + 1):
                    assert (await front.ask(number, fields(id_(number), wait="1500")))[0] == 200
                before = len(one.runs()) + len(two.runs())
                path_one.cut()
                path_two.cut()
                late = lambda: (one.runs() + two.runs())[before:]  # noqa: E731
                yield router_process, (path_one, path_two), front, late


async def restored(paths):
    """The paths are back, and all that they held was delivered."""
    for path in paths:
        path.restore()
    await asyncio.sleep(0.3)


@pytest.mark.parametrize("request_class", ["lectura", "consigna", "asiento"])
def test_nothing_that_was_given_up_at_its_time_runs_once_the_path_is_back(tmp_path, request_class):
    async def main():
        async with cut_off_workers(tmp_path) as (_, paths, front, late):
            for number in range(10, 15):
                front.writer.write(request(number, fields(id_(number), request_class, wait="600")))
            for number in range(10, 15):
                assert (await front.answer(number))[0] in (502, 503)
            assert sum(path.held_bytes for path in paths) > 0
            await asyncio.sleep(2 * ARRIVAL_TIMEOUT_S)
            await restored(paths)
            assert late() == []

    run(main())


@pytest.mark.parametrize("how", ["abort", "close", "reset"])
def test_nothing_whose_client_left_runs_once_the_path_is_back(tmp_path, how):
    async def main():
        async with cut_off_workers(tmp_path) as (_, paths, front, late):
            for number in range(10, 13):
                front.writer.write(request(number, fields(id_(number), "consigna", wait="1500")))
            await until(lambda: sum(path.held_bytes for path in paths) > 0)
            for number in range(10, 13) if how == "abort" else [10]:
                abandon_request(front, how, number)
            await until(lambda: sum(path.resets for path in paths) > 0)
            await asyncio.sleep(2 * ARRIVAL_TIMEOUT_S)
            await restored(paths)
            assert late() == []

    run(main())


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_nothing_of_a_process_that_ended_runs_once_the_path_is_back(tmp_path, number):
    async def main():
        async with cut_off_workers(tmp_path) as (router_process, paths, front, late):
            for request_number in range(10, 13):
                front.writer.write(
                    request(request_number, fields(id_(request_number), "consigna", wait="1500"))
                )
            await until(lambda: sum(path.held_bytes for path in paths) > 0)
            router_process.process.send_signal(number)
            await router_process.ended()
            await until(lambda: sum(path.resets for path in paths) > 0)
            await restored(paths)
            assert late() == []

    run(main())


def test_a_call_answered_by_another_worker_does_not_run_again_once_the_path_is_back(tmp_path):
    async def main():
        async with cut_off_workers(tmp_path) as (_, paths, front, late):
            asked = range(10, 16)
            for number in asked:
                front.writer.write(request(number, fields(id_(number), "asiento", wait="1500")))
            await until(lambda: all(path.held_bytes for path in paths) or paths[0].held_bytes)
            paths[1].restore()
            for number in asked:
                assert (await front.answer(number))[0] in (200, 502, 503)
            await asyncio.sleep(2 * ARRIVAL_TIMEOUT_S)
            runs_by_now = sorted(arguments[1] for arguments in late())
            await restored(paths)
            assert sorted(arguments[1] for arguments in late()) == runs_by_now

    run(main())


def test_an_order_that_was_given_up_does_not_arrive_once_the_path_is_back():
    async def main():
        async with Worker(answers_probes) as worker, CutPath(worker.port) as path:
            harness = LinkHarness({"w": path.port}, connections=1)
            harness.start("c1")
            await harness.ends()
            path.cut()
            harness.link.order(ports.Order(5, "w", "f", 1, 100.0, 1))
            harness.link.flush()
            await until(lambda: path.held_bytes)
            harness.link.recall(ports.Recall(5))
            await until(lambda: path.resets)
            await restored([path])
            assert not [arguments for arguments in worker.got if arguments[0] == b"SPAWN"]
            harness.link.close()

    run(main())


@asynccontextmanager
async def two_calls_on_one_connection(answers_probe, then=None):
    """A worker that has answered before, and then gets two calls on one connection; the first is given up."""

    async def play(worker, writer, arguments):
        if arguments[0] == b"HELO" and answers_probe:
            writer.write(worker_reply(arguments[1], b"FIT"))
        elif arguments[0] == b"FN" and len(worker.runs()) == 3 and then:
            await then(worker, writer)

    async with Worker(play) as worker:
        harness = LinkHarness({"w": worker.port}, connections=1)
        harness.start("c1", id_=ID)
        harness.start("c2", id_=OTHER)
        await until(lambda: len(worker.runs()) == 2)
        yield worker, harness
        harness.link.close()


def test_a_worker_that_shows_that_a_given_up_request_arrived_keeps_its_connection():
    async def main():
        async with two_calls_on_one_connection(answers_probe=True) as (worker, harness):
            (connection,) = harness.link._workers["w"].connections
            harness.link.abandon(ports.Abandon("c1", 0, Status.CANCELLED))
            assert not connection.usable  # until the probe is answered
            await until(lambda: [b"KILL", ID.encode()] in worker.got and worker.got[-1][0] == b"HELO")
            await until(lambda: connection.usable)
            await asyncio.sleep(2 * ARRIVAL_TIMEOUT_S)
            assert len(harness.results) == 1 and worker.connections == 1 and not connection.closed
            worker.writers[0].write(worker_reply(OTHER.encode(), b"DONE", b"-", b"done"))
            assert (await harness.ends(2))[1] == (Status.OK, Ran.YES)
            # What followed it on the connection was answered: no further probe is needed.
            probes = len([arguments for arguments in worker.got if arguments[0] == b"HELO"])
            harness.start("c3", id_=id_(3))
            harness.start("c4", id_=id_(4))
            await until(lambda: len(worker.runs()) == 4)
            worker.writers[0].write(worker_reply(id_(4).encode(), b"DONE", b"-", b"done"))
            await harness.ends(3)
            harness.link.abandon(ports.Abandon("c3", 0, Status.CANCELLED))
            await until(lambda: [b"KILL", id_(3).encode()] in worker.got)
            assert len([arguments for arguments in worker.got if arguments[0] == b"HELO"]) == probes

    run(main())


def test_a_connection_whose_given_up_request_may_not_have_arrived_is_reset_in_time():
    async def main():
        async with two_calls_on_one_connection(answers_probe=False) as (worker, harness):
            harness.link.abandon(ports.Abandon("c1", 0, Status.CANCELLED))
            # The other call may have run, and says nothing of the worker's process.
            assert await harness.ends(2) == [(Status.CANCELLED, Ran.MAYBE), (Status.TIMEOUT, Ran.MAYBE)]
            assert harness.link.counts["silent"] == 1 and worker.connections == 1

    run(main())


def test_each_given_up_request_has_the_whole_time_to_show_that_it_arrived():
    # The first one's timer reset the connection for the second one's sake.
    history = CommandHistory()
    for id_number in (1, 2):
        history.add(b"%d" % id_number, ())
        history.written(b"%d" % id_number)
    first, second = history.require_arrival(b"1"), history.require_arrival(b"2")
    assert history.answered(b"1") and not history.answered(b"1") and not history.answered(b"unknown")
    assert history.has_arrived(b"1") and not history.has_arrived(b"2")
    assert history.has_arrived_up_to(first) and not history.has_arrived_up_to(second)
    assert history.lacks_required_arrival and not history.all_arrived
    assert history.answered(b"2") and not history.lacks_required_arrival and history.all_arrived


def test_a_command_that_the_kernel_cut_in_two_does_not_go_on_once_it_is_given_up():
    async def main():
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listening.bind((HOST, 0))
        listening.listen()
        harness = LinkHarness({"w": listening.getsockname()[1]}, connections=1)
        harness.start("c1", body=b"x" * CUT_BYTES)
        (connection,) = harness.link._workers["w"].connections
        connection._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        accepted, _ = await asyncio.to_thread(listening.accept)
        await until(lambda: connection._blocked)
        harness.link.abandon(ports.Abandon("c1", 0, Status.CANCELLED))
        assert await harness.ends() == [(Status.CANCELLED, Ran.MAYBE)]
        await until(lambda: harness.link.open == 0)
        received = await asyncio.to_thread(receive_all, accepted)
        assert received < CUT_BYTES
        listening.close()

    run(main())


def receive_all(connected):
    """The number of bytes until the end of a connection, which must be a reset."""
    received = 0
    try:
        while data := connected.recv(1 << 16):
            received += len(data)
    except ConnectionResetError:
        return received
    raise AssertionError("the connection ended orderly, so that all of it is delivered")


def test_an_http_request_that_is_given_up_is_dropped_by_a_reset():
    async def main():
        listening = socket.create_server((HOST, 0))
        address = f"{HOST}:{listening.getsockname()[1]}"
        end, _ = await attempt(address, abandon_after=0.05)
        assert (end.status, end.ran) == (Status.TIMEOUT, Ran.MAYBE)
        accepted, _ = listening.accept()
        assert await asyncio.to_thread(receive_all, accepted) >= 0
        listening.close()

    run(main())


def test_a_reset_is_what_a_closed_connection_with_linger_0_is():
    """That the relay of these tests can tell an orderly end from a reset."""

    async def main():
        async with Worker(echo) as worker, CutPath(worker.port) as path:
            for linger, resets in ((0, 0), (1, 1)):
                client = socket.create_connection((HOST, path.port))
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", linger, 0))
                client.sendall(b"*2\r\n$4\r\nHELO\r\n$1\r\nx\r\n")
                client.close()
                await asyncio.sleep(0.1)
                assert path.resets == resets

    run(main())


def test_all_attempts_of_a_repeated_keyed_call_are_given_up_before_its_window_ends():
    # An attempt handed over within the window could arrive after it, when its key was forgotten.
    harness = EngineHarness()
    window_us = SETTINGS.classes[1].memory_us
    (first,) = of_type(harness.call("keyed", "k", left=3_000_000), ports.Start)
    give_up_at_us = harness.now + window_us - MAX_ARRIVAL_DELAY_US
    harness.advance(window_us // 2)
    harness.engine._start_attempt(io.Send(first.id, "b", 0))
    (repeat,) = of_type(harness.engine._outputs, ports.Start)
    assert repeat.number == 1 and repeat.left_us == give_up_at_us - harness.now
    harness.advance(give_up_at_us - harness.now - 2_000)
    assert not of_type(harness.outputs, ports.Abandon)
    harness.advance(4_000)
    assert {output.number for output in of_type(harness.outputs, ports.Abandon)} == {0, 1}
    # Later than its window a call that was not repeated is still waited for.
    other = EngineHarness(workers=("a",))
    other.call("keyed", "k", left=3_000_000)
    other.advance(window_us + 100_000)
    assert not of_type(other.outputs, ports.Abandon) and len(of_type(other.outputs, ports.Start)) == 1
