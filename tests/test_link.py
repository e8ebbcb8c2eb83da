"""The HTTP worker link on real sockets: what each end of an attempt proves."""

import asyncio

import pytest
from socketbench import Console, gateway, http, raw_worker, run, serving

from swiftwell.fronts.trigger import Ran, Trigger
from swiftwell.gateway import ports
from swiftwell.interface import Status
from swiftwell.workers.link import Link, LinkBounds


def trigger(request_class="lectura"):
    return Trigger("s", None, request_class, "t", "f/ü x", "k\r\nx: y", b"in", 1_000_000)


async def attempt(address, number=0, bounds=None, abandon_after=None, link=None, wait=5.0):
    results = []
    link = link or Link(
        "gw", bounds or LinkBounds(connect_s=0.3, answer=1_000), results.append, lambda *a, **k: None
    )
    link._enqueue = results.append
    link.start(ports.Start("c1", number, address, trigger(), 1_000_000))
    if abandon_after is not None:
        await asyncio.sleep(abandon_after)
        link.abandon(ports.Abandon("c1", number, Status.TIMEOUT))
    for _ in range(int(wait * 200)):
        if results:
            break
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.02)
    assert len(results) == 1, results
    return results[0], link


def check_attempt(answer, status, ran, **more):
    async def main():
        async with raw_worker(answer) as address:
            end, _ = await attempt(address, **more)
            assert (end.status, end.ran) == (status, ran)

    run(main())


def responds(raw, keep_open=None):
    async def answer(number, head, reader, writer):
        writer.write(raw)
        await writer.drain()
        return keep_open

    return answer


async def silent(number, head, reader, writer):
    await asyncio.sleep(30)


@pytest.mark.parametrize(
    ("raw", "status", "ran"),
    [
        (http(), Status.OK, Ran.YES),
        (http(b"", "503 No", "swiftwell-verdict: full\r\n"), Status.FULL, Ran.NEVER),
        (http(b"", "503 No", "swiftwell-verdict: draining\r\n"), Status.FULL, Ran.NEVER),
        (http(b"", "404 No", "swiftwell-verdict: miss\r\n"), Status.MISS, Ran.NEVER),
        (http(b"", "503 No"), Status.ERROR, Ran.MAYBE),  # without the worker's own verdict
        (http(b"", "500 No"), Status.ERROR, Ran.MAYBE),
        (http(b"", "302 No"), Status.ERROR, Ran.MAYBE),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nabcdef", Status.ERROR, Ran.MAYBE),
        (b"garbage\r\n\r\n", Status.ERROR, Ran.MAYBE),
    ],
)
def test_what_an_answer_proves(raw, status, ran):
    check_attempt(responds(raw), status, ran)


def test_a_reset_in_the_middle_of_an_answer_may_have_run():
    check_attempt(responds(http()[:-2], keep_open=False), Status.RESET, Ran.MAYBE)


def test_a_connection_ended_without_an_answer_may_have_run():
    check_attempt(responds(b"", keep_open=False), Status.RESET, Ran.MAYBE)


def test_an_answer_too_large_is_told_so():
    async def main():
        async with raw_worker(responds(http(bytes(2_000)))) as address:
            end, _ = await attempt(address)
            assert (end.status, end.ran, end.too_large) == (Status.ERROR, Ran.MAYBE, True)

    run(main())


def test_a_worker_that_accepts_and_never_answers_may_have_run():
    check_attempt(silent, Status.TIMEOUT, Ran.MAYBE, abandon_after=0.2)


def test_connect_refused_never_ran():
    async def main():
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        end, link = await attempt(f"127.0.0.1:{port}")
        assert (end.status, end.ran) == (Status.CONNECT_FAILED, Ran.NEVER)
        assert link.sizes() == {"worker_connections": 0, "worker_jobs": 0}

    run(main())


def test_an_attempt_given_up_before_its_connection_stood_never_ran():
    async def main():
        async with raw_worker(silent) as address:
            end, _ = await attempt(address, abandon_after=0.0)
            assert (end.status, end.ran) == (Status.MOOT, Ran.NEVER)

    run(main())


def test_a_pooled_connection_that_the_worker_closed_is_not_used():
    async def main():
        async with raw_worker(responds(http(), keep_open=False)) as address:
            end, link = await attempt(address)
            assert end.status is Status.OK
            await asyncio.sleep(0.1)  # the link has noticed the close
            end, _ = await attempt(address, 1, link=link)
            assert end.status is Status.OK

    run(main())


def test_a_connection_closed_as_the_request_goes_out_may_have_run():
    # The hardest case: the peer has closed, we have not noticed yet, and the kernel takes our bytes.
    async def main():
        async with raw_worker(responds(http())) as address:
            _, link = await attempt(address)
            connection = link._workers[address].idle[0]
            connection.stream.socket.shutdown(1)  # the peer closes in turn; we read nothing meanwhile
            link._loop.call_later(0, lambda: None)
            end, _ = await attempt(address, 1, link=link)
            assert (end.status, end.ran) == (Status.RESET, Ran.MAYBE)

    run(main())


def test_a_worker_that_answers_twice_loses_its_connection_and_no_call_gets_the_second():
    async def main():
        async with raw_worker(responds(http(b"one") + http(b"two"))) as address:
            end, link = await attempt(address)
            assert end.body == b"one" and link.sizes()["worker_connections"] == 0
            end, _ = await attempt(address, 1, link=link)
            assert end.body == b"one"

    run(main())


def test_connections_to_one_worker_are_bounded():
    async def main():
        async with raw_worker(silent) as address:
            results = []
            link = Link("gw", LinkBounds(connections=2), results.append, lambda *a, **k: None)
            for number in range(4):
                link.start(ports.Start(f"c{number}", 0, address, trigger(), 1_000_000))
            await asyncio.sleep(0.2)
            # Not CONNECT_FAILED: the module would take the worker for a restarting one.
            assert [e.status for e in results] == [Status.FULL] * 2
            assert link.sizes()["worker_connections"] == 2
            link.close()

    run(main())


def test_a_part_of_the_connections_that_falls_closes_unused_ones_at_once_and_others_when_free():
    async def main():
        async def slowly(number, head, reader, writer):
            await asyncio.sleep(0.4 if number < 3 else 0.0)
            writer.write(http())

        async with raw_worker(slowly) as address:
            results = []
            link = Link("gw", LinkBounds(connections=8), results.append, lambda *a, **k: None)
            for number in range(6):
                link.start(ports.Start(f"c{number}", 0, address, trigger(), 1_000_000))
            await asyncio.sleep(0.2)
            assert link.sizes()["worker_connections"] == 6 and len(results) == 4
            link.limit_connections(1)
            await asyncio.sleep(0.1)
            assert link.sizes()["worker_connections"] == 2  # both are busy
            await asyncio.sleep(0.4)
            assert link.sizes()["worker_connections"] == 1 and [e.status for e in results] == [Status.OK] * 6
            link.limit_connections(0)
            assert link.max_connections == 1  # with 0 no call could be served
            link.limit_connections(100)
            assert link.max_connections == 8
            link.close()

    run(main())


def test_names_from_publishers_cannot_write_headers():
    heads = []

    async def keep(number, head, reader, writer):
        heads.append(head)
        writer.write(http())

    check_attempt(keep, Status.OK, Ran.YES)
    assert "\r\nx: y" not in heads[0] and "swiftwell-key: k%0D%0Ax%3A%20y" in heads[0]
    assert heads[0].startswith("POST /run/f/%C3%BC%20x HTTP/1.1")


def test_an_unsafe_call_whose_worker_hangs_fails_in_time_and_is_not_sent_again(tmp_path):
    async def main():
        calls = []

        async def hang(number, head, reader, writer):
            calls.append(head)
            await asyncio.sleep(30)

        async with raw_worker(hang) as a, raw_worker(hang) as b, gateway(tmp_path, [a, b]) as gw:
            console = await Console().connect(gw.listener_port)
            assert await console.call("consigna", "k", timeout=600) == ("failed", "may-have-run")
            assert len(calls) == 1

    run(main())


def test_an_unsafe_call_that_was_turned_away_goes_to_another_worker(tmp_path):
    async def main():
        full = responds(http(b"", "503 No", "swiftwell-verdict: full\r\n"))
        async with raw_worker(full) as a, raw_worker(serving) as b, gateway(tmp_path, [a, b]) as gw:
            console = await Console().connect(gw.listener_port)
            kinds = [(await console.call("consigna", f"k{n}"))[0] for n in range(6)]
            # The module may refuse a call that it holds back for the worker's sake; none may fail.
            assert kinds.count("served") >= 4 and "failed" not in kinds

    run(main())
