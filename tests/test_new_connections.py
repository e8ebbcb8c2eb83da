"""Requests that are there when their connection is accepted, or that waited in the backlog."""

import asyncio
import errno
import signal
import time

import pytest
from platformbench import (
    FIRST_BYTES,
    Front,
    Worker,
    document,
    echo,
    fields,
    gated_echo,
    request,
    router,
    until,
)
from socketbench import run
from test_platform import RouterProcess, id_
from test_request_deadlines import SLACK_MS, STALL_S, connect, ttl_ms

from swiftwell.fronts.fastcgi import acceptor, arrival
from swiftwell.fronts.fastcgi.pending import FIRST_READ_BYTES
from swiftwell.fronts.fastcgi.turn_reader import READ_BYTES

WAIT = "6000"
EDGES = sorted(
    {
        edge + offset
        for edge in (
            FIRST_READ_BYTES,
            READ_BYTES,
            FIRST_READ_BYTES + READ_BYTES,
            FIRST_READ_BYTES + 2 * READ_BYTES,
        )
        for offset in (-1, 0, 1)
    }
)


def sized_requests(count, size):
    """So many requests of `size` bytes together; the first one's body fills them up."""
    whole = [request(number, fields(id_(number), wait=WAIT)) for number in range(1, count + 1)]
    body = b"b" * (size - sum(map(len, whole)) - 8)
    whole[0] = request(1, fields(id_(1), wait=WAIT), body)
    assert sum(map(len, whole)) == size
    return b"".join(whole)


def with_bytes(port, data):
    """A connection that the router accepts with these bytes there, if nothing is awaited until then."""
    sock = connect(port)
    sock.sendall(data)
    return sock


async def statuses(front, count):
    return [(await front.answer(number))[0] for number in range(1, count + 1)]


# Guards against: an unknown time of arrival ended the connection, and all its requests with it.
@pytest.mark.parametrize("count", [1, 4])
def test_requests_of_every_size_that_come_with_their_connection_are_served(tmp_path, count):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            for size in EDGES:
                async with Front(sock=with_bytes(node.port, sized_requests(count, size))) as front:
                    assert await statuses(front, count) == [200] * count, size

    run(main())


# Guards against: the same, where the first read ends in the middle of a record.
def test_requests_that_are_cut_at_the_edges_of_reads_are_served(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            data = sized_requests(5, 9_000)
            for cut in EDGES:
                async with Front(sock=with_bytes(node.port, data[:cut])) as front:
                    await until(lambda: node.front.connections)
                    front.writer.write(data[cut:])
                    assert await statuses(front, 5) == [200] * 5, cut

    run(main())


# Guards against: a long quiet time before the connection counted as the age of its requests.
def test_requests_that_come_together_after_a_quiet_time_keep_their_time(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            node.front._acceptor._backlog.mark_empty(time.monotonic() - 3_600.0)
            async with Front(sock=with_bytes(node.port, sized_requests(4, 6_144))) as front:
                assert await statuses(front, 4) == [200] * 4
            assert all(ttl_ms(arguments) > 5_000 for arguments in worker.runs())

    run(main())


# Guards against: a full batch of accepts left its connections' time unknown until the next connection came.
def test_a_request_that_comes_long_after_a_full_batch_of_accepts_keeps_its_time(tmp_path, monkeypatch):
    monkeypatch.setattr(arrival, "_tcp_info_age_s", lambda connected, counter: None)  # the kernel tells none

    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            node.front._acceptor._backlog.mark_empty(time.monotonic() - 3_600.0)
            batch = [connect(node.port) for _ in range(acceptor.ACCEPT_BATCH)]
            await until(lambda: node.front.counts["accepted"] == len(batch))
            await asyncio.sleep(0)
            async with Front(sock=with_bytes(node.port, sized_requests(2, 2_048))) as front:
                assert await statuses(front, 2) == [200] * 2
            assert all(ttl_ms(arguments) > 5_000 for arguments in worker.runs())
            for sock in batch:
                sock.close()

    run(main())


# Guards against: clients that come back together after a restart got no answer.
def test_clients_that_return_together_to_a_restarted_router_are_all_answered(tmp_path):
    async def main():
        async with Worker(echo) as worker:
            with RouterProcess(tmp_path, document([worker.port])) as process:
                assert await process.up() == 200
                process.process.send_signal(signal.SIGKILL)
                await process.ended()
                process.process.stderr.close()
                process.start()
                assert await process.up() == 200
                fronts = [Front(process.port) for _ in range(24)]
                for front in fronts:
                    await front.__aenter__()
                    batch = b"".join(
                        request(number, fields(id_(number * 100 + fronts.index(front)), wait=WAIT))
                        for number in range(1, 13)
                    )
                    front.writer.write(batch)
                for front in fronts:
                    assert await statuses(front, 12) == [200] * 12
                    front.writer.close()

    run(main())


@pytest.fixture
def exhausted_for_a_while(monkeypatch):
    """From the first accept on the machine has no descriptors for `STALL_S`, so that accepting pauses."""
    began_s = []
    accept_one = acceptor.Acceptor._accept_one

    class Full:
        def accept(self):
            raise OSError(errno.ENFILE, "too many open files")

    def accept(self):
        began_s.append(time.monotonic())
        if self._listening is None or began_s[-1] >= began_s[0] + STALL_S:
            return accept_one(self)
        listening, self._listening = self._listening, Full()
        try:
            return accept_one(self)
        finally:
            self._listening = listening

    monkeypatch.setattr(acceptor.Acceptor, "_accept_one", accept)


# Guards against: time in the backlog did not count, and workers got too long a deadline.
@pytest.mark.parametrize("count", [1, 4])
def test_time_in_the_backlog_counts_against_each_request(tmp_path, exhausted_for_a_while, count):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            sock = with_bytes(node.port, sized_requests(count, 6_144))
            await until(lambda: len(worker.runs()) == count)
            assert node.front.counts["exhausted"]
            for arguments in worker.runs():
                assert ttl_ms(arguments) <= int(WAIT) - STALL_S * 1_000 + SLACK_MS
            sock.close()

    run(main())


# Guards against: the time since our last answer was taken for the age of the bytes read.
def test_an_answer_that_was_just_sent_does_not_make_a_request_younger(tmp_path):
    async def main():
        gate, play = gated_echo()
        async with Worker(play) as worker, router(tmp_path, [worker.port]) as node:
            sock, flush = connect(node.port), node.front.flush
            sock.sendall(FIRST_BYTES + request(1, fields(id_(1), wait="1000")))
            await until(lambda: worker.runs())

            def slow_flush():
                node.front.flush = flush
                sock.sendall(request(2, fields(id_(2), wait="1000")))
                time.sleep(STALL_S)  # the request waits in the kernel until the answer has been sent
                flush()

            node.front.flush = slow_flush
            gate.set()
            await until(lambda: len(worker.runs()) == 2)
            assert ttl_ms(worker.runs()[1]) <= 1_000 - STALL_S * 1_000 + SLACK_MS
            sock.close()

    run(main())
