"""A request's deadline counts from the arrival of its last byte, even if that byte waits in the kernel.

Each test blocks the router's event loop (`time.sleep` in its own thread) and checks the time left that the
worker receives.  All bounds are upper bounds of the time left, so a slower machine can't break them.
"""

import asyncio
import socket
import time

import pytest
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

from swiftwell.fronts.fastcgi import arrival

STALL_S = 0.3  # for which the loop is blocked
SLACK_MS = 150  # by which the time sent to a worker may exceed what the client has left
KERNEL_TICK_MS = 10  # the kernel reports the age of received bytes in ticks of its own clock


def connect(port):
    sock = socket.create_connection((HOST, port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # send each write at once
    return sock


def ttl_ms(arguments):
    """The time left in ms that a command states to its worker."""
    options = dict(option.split(b"=") for option in arguments[2].split(b","))
    return int(options[b"ttl"])


def test_time_in_the_kernel_counts_against_a_request(tmp_path):
    async def main(opened):
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            sock = connect(node.port)
            if opened:
                sock.sendall(FIRST_BYTES)
                await until(lambda: node.front.connections)
            # No await until the end of the stall: the bytes wait in the kernel meanwhile.
            sock.sendall(request(1, fields(id_(1), wait="1000")))
            time.sleep(STALL_S)
            await until(lambda: worker.runs())
            assert ttl_ms(worker.runs()[0]) <= 1_000 - STALL_S * 1_000 + KERNEL_TICK_MS
            sock.close()

    run(main(opened=True))
    run(main(opened=False))


def test_time_in_the_kernel_counts_against_each_request_of_one_read(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            sock = connect(node.port)
            sock.sendall(FIRST_BYTES)
            await until(lambda: node.front.connections)
            sock.sendall(request(1, fields(id_(1), wait="1000")))
            time.sleep(STALL_S)  # the last byte of the second request does not state the age of the first
            sock.sendall(request(2, fields(id_(2), wait="1000")))
            await until(lambda: len(worker.runs()) == 2)
            ttls_ms = {arguments[1].decode(): ttl_ms(arguments) for arguments in worker.runs()}
            assert ttls_ms[id_(1)] <= 1_000 - STALL_S * 1_000 + SLACK_MS
            assert ttls_ms[id_(2)] <= 1_000
            sock.close()

    run(main())


def test_a_request_whose_time_ran_out_in_the_kernel_is_refused_and_not_sent(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            front.writer.write(request(1, fields(id_(1), wait="200")))
            await asyncio.sleep(0)  # written, and not read by the router yet
            time.sleep(STALL_S)
            assert (await front.answer(1))[0] == 503
            assert not worker.runs()

    run(main())


def test_the_kernels_age_of_earlier_bytes_is_not_taken_for_that_of_the_request(tmp_path, monkeypatch):
    async def main():
        monkeypatch.setattr(arrival, "newest_age_s", lambda connected: 5.0)
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            assert (await front.ask(1, fields(id_(1), wait="6000")))[0] == 200
            # The loop was not busy, so it read the request when it arrived.
            assert ttl_ms(worker.runs()[0]) > 5_000

    run(main())


def test_a_stall_between_the_read_and_the_decision_counts_against_a_request(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            submit = node.submit

            def slow_submit(trigger):
                submit(trigger)
                time.sleep(STALL_S)  # as if other connections were read in the same iteration

            node.submit = slow_submit
            front.writer.write(request(1, fields(id_(1), wait="1000")))
            await until(lambda: worker.runs())
            assert ttl_ms(worker.runs()[0]) <= 1_000 - STALL_S * 1_000 + KERNEL_TICK_MS

    run(main())


def test_a_stall_between_the_decision_and_the_send_counts_against_the_time_sent_to_the_worker(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            assert (await front.ask(1, fields(id_(1))))[0] == 200  # a connection to the worker is open
            start = node.link.start

            def slow_start(output):
                start(output)
                time.sleep(STALL_S)  # as if outputs of other calls were executed in the same step

            node.link.start = slow_start
            front.writer.write(request(2, fields(id_(2), wait="1000")))
            await until(lambda: len(worker.runs()) == 2)
            assert ttl_ms(worker.runs()[1]) <= 1_000 - STALL_S * 1_000 + SLACK_MS

    run(main())


# Guards against: without the kernel's figure, a request that came late in a stall was taken for as old as it.
def test_a_request_that_comes_at_the_end_of_a_stall_keeps_its_time(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            sock = connect(node.port)
            sock.sendall(FIRST_BYTES)
            await until(lambda: node.front.connections)
            if arrival.newest_age_s(sock) is None:
                pytest.skip("this kernel does not tell when the newest bytes arrived")
            time.sleep(3.0)
            sock.sendall(request(1, fields(id_(1), wait="6000")))
            await until(lambda: worker.runs())
            assert ttl_ms(worker.runs()[0]) > 4_500
            sock.close()

    run(main())
