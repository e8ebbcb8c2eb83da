"""The RESP codec, and the RESP link against scripted workers over loopback."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platformbench import HOST, Worker, echo, reset, until, worker_reply
from socketbench import run

from swiftwell.fronts.trigger import Ran, Trigger
from swiftwell.gateway import ports
from swiftwell.interface import Status
from swiftwell.workers.resp import codec, connection
from swiftwell.workers.resp.codec import MAX_BODY_BYTES, Parser, RespError
from swiftwell.workers.resp.link import RespBounds, RespLink

ID, OTHER = "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42"


@given(st.lists(st.binary(max_size=40), min_size=1, max_size=4), st.integers(1, 9))
def test_answers_come_out_whole_however_they_are_split(bodies, step):
    data = b"".join(worker_reply(b"%d" % at, b"DONE", b"-", body) for at, body in enumerate(bodies))
    parser, answers = Parser(), []
    for at in range(0, len(data), step):
        answers += parser.feed(data[at : at + step])
    assert answers == [(b"%d" % at, b"DONE", b"-", body) for at, body in enumerate(bodies)]


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xffnoise", b"+OK\r\n", b"*-1\r\n", b"*5\r\n", b"*0\r\n", b"*99999999999999\r\n", b"*4 \r\n",
        b"*4\r\n$-1\r\n", b"*4\r\n$+1\r\n", b"*4\r\n$65\r\n", b"*4\r\n:1\r\n", b"*4\r\n$1\r\nabc",
        b"*4\r\n$1\r\na\r\n$17\r\n", b"*4\r\n$1\r\na\r\n$1\r\nb\r\n$1025\r\n",
        b"*4\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\n-\r\n$3221225472\r\n", b"*" + b"4" * 20, b"$",
        b"*4\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\n-\r\n$" + b"%d\r\n" % (MAX_BODY_BYTES + 1),
    ],
)  # fmt: skip
def test_what_is_no_answer_is_an_error_before_memory_is_taken(data):
    parser = Parser()
    with pytest.raises(RespError):
        parser.feed(data)
    assert len(parser._buffer) <= len(data)


@pytest.mark.parametrize(
    "result, status, ran",
    [
        (b"DONE", Status.OK, Ran.YES), (b"LACK", Status.MISS, Ran.NEVER), (b"WAIT", Status.FULL, Ran.NEVER),
        (b"BROKE", Status.ERROR, Ran.MAYBE), (b"PAST", Status.MOOT, Ran.NEVER),
    ],
)  # fmt: skip
def test_what_an_answer_proves(result, status, ran):
    verdict = codec.run_verdict(result, b"why=shared_init,rivals=3")
    assert (verdict.status, verdict.ran, verdict.copy_state, verdict.function_calls_waiting) == (
        status,
        ran,
        3,
        3,
    )


def test_a_load_that_failed_is_told_to_the_module():
    verdict = codec.run_verdict(b"BROKE", b"why=init_error,rivals=2")
    assert (verdict.status, verdict.ran, verdict.copy_state, verdict.function_calls_waiting) == (
        Status.ERROR,
        Ran.MAYBE,
        4,
        2,
    )


@pytest.mark.parametrize(
    "result, fields", [(b"FINE", b"-"), (b"DONE", b"why"), (b"DONE", b"rivals=-1"), (b"DONE", b"")]
)
def test_an_answer_that_cannot_be_one_is_an_error(result, fields):
    with pytest.raises(RespError):
        codec.run_verdict(result, fields)


class LinkHarness:
    """A link, and what it reported to the engine."""

    def __init__(self, ports_of, **bounds):
        self.results, self.log_lines = [], []
        self.addresses = {worker: (HOST, port) for worker, port in ports_of.items()}
        log = lambda *args, **fields: self.log_lines.append((args, fields))  # noqa: E731
        self.link = RespLink(
            RespBounds(**{"connections": 8} | bounds), self.addresses.get, self.results.append, log
        )

    def start(self, call="c1", worker="w", id_=ID, number=0, body=b"x", left=1_000_000):
        trigger = Trigger("1/1", None, "lectura", "acme", "f", id_, body, left)
        self.link.start(ports.Start(call, number, worker, trigger, left))
        self.link.flush()

    async def ends(self, count=1):
        await until(lambda: len(self.results) >= count)
        return [(end.status, end.ran) for end in self.results]


def test_a_request_passes_unchanged_and_so_does_its_body():
    async def main():
        async with Worker(echo) as worker:
            harness = LinkHarness({"w": worker.port})
            started = time.monotonic()
            harness.start(body=bytes(range(256)))
            await harness.ends()
            spent_ms = (time.monotonic() - started) * 1e3
            (end,) = harness.results
            assert (end.status, end.ran, end.copy_state) == (Status.OK, Ran.YES, 1)
            assert end.body == b"did " + bytes(range(256))
            command, id_, fields, body = worker.got[0]
            assert (command, id_, body) == (b"FN", ID.encode(), bytes(range(256)))
            found = codec.parse_fields(fields)
            # The request waited for its connection, which is taken off its time; nothing else is.
            assert 1000 - spent_ms <= int(found.pop(b"ttl")) <= 1000
            assert found == {b"lane": b"lectura", b"name": b"f"}
            harness.start(call="c2", id_=OTHER)
            await harness.ends(2)
            assert codec.parse_fields(worker.got[1][2])[b"ttl"] == b"1000"  # no wait: the whole time
            harness.link.close()

    run(main())


def test_a_refused_connection_proves_that_nothing_ran():
    async def main():
        harness = LinkHarness({"w": 1})
        harness.start()
        assert await harness.ends() == [(Status.CONNECT_FAILED, Ran.NEVER)]

    run(main())


def test_an_unknown_worker_is_no_address():
    async def main():
        harness = LinkHarness({})
        harness.start()
        assert await harness.ends() == [(Status.CONNECT_FAILED, Ran.NEVER)]

    run(main())


def test_a_reset_of_a_process_that_died_is_a_reset():
    async def main():
        async def die(worker, writer, arguments):
            worker.server.close()
            for connection_writer in worker.writers:
                connection_writer.transport.abort()

        async with Worker(die) as worker:
            harness = LinkHarness({"w": worker.port})
            harness.start("c1")
            harness.start("c2", id_="0" * 16)
            assert await harness.ends(2) == [(Status.RESET, Ran.MAYBE)] * 2

    run(main())


def test_a_reset_of_one_connection_is_no_restart_of_its_worker():
    # The module takes RESET for a restart of the worker.  When single connections were reset now and then,
    # all workers counted as cold all the time, and nine in ten calls were refused.
    async def main():
        async with Worker(reset) as worker:
            harness = LinkHarness({"w": worker.port})
            harness.link._credit = 1.0  # each request gets a connection of its own
            harness.start("c1")
            harness.start("c2", id_="0" * 16)
            assert await harness.ends(2) == [(Status.ERROR, Ran.MAYBE)] * 2
            await asyncio.sleep(0.05)
            assert worker.connections == 3 and len(worker.got) == 2  # the third one was the liveness check

    run(main())


def test_a_connection_reset_while_it_comes_up_is_no_restart_and_its_attempt_goes_on():
    # The platform showed ECONNRESET from connect().  Each counted as a refused connection, and so as a
    # restart.
    async def main():
        async with Worker(echo) as worker:
            harness = LinkHarness({"w": worker.port})
            open_, failed = harness.link._open, []

            def first_is_reset(name, state, address):
                opened = open_(name, state, address)
                if not failed:
                    failed.append(opened)
                    cause = ConnectionResetError(104, "Connection reset by peer")
                    opened._stream.connect = lambda at: _raise(cause)
                return opened

            harness.link._open = first_is_reset
            harness.start()
            assert await harness.ends() == [(Status.OK, Ran.YES)]
            assert failed[0].closed and not failed[0].established and len(worker.got) == 1

    async def _raise(error):
        raise error

    run(main())


def test_an_attempt_given_up_while_its_worker_is_judged_ends_once():
    async def main():
        async with Worker(reset) as worker:
            harness = LinkHarness({"w": worker.port})
            harness.start()
            pending = SimpleNamespace(connect_result=asyncio.get_running_loop().create_future(), closed=False)
            harness.link._open = lambda *_: pending
            await until(lambda: harness.link._workers["w"].liveness_check)
            harness.link.abandon(ports.Abandon("c1", 0, Status.TIMEOUT))
            pending.connect_result.set_result(True)
            await asyncio.sleep(0.05)
            assert await harness.ends() == [(Status.TIMEOUT, Ran.MAYBE)]

    run(main())


@pytest.mark.parametrize(
    "bytes_", [b"garbage", b"*4\r\n$16\r\n" + ID.encode() + b"\r\n$4\r\nDONE\r\n$1\r\n-\r\n$3221225472\r\n"]
)
def test_spoilt_bytes_close_the_connection_and_end_what_is_on_it(bytes_):
    async def main():
        async def spoil(worker, writer, arguments):
            if len(worker.got) == 2:
                writer.write(bytes_)

        async with Worker(spoil) as worker:
            harness = LinkHarness({"w": worker.port}, connections=1)
            harness.start("c1")
            harness.start("c2", id_="0" * 16)
            assert await harness.ends(2) == [(Status.ERROR, Ran.MAYBE)] * 2
            assert harness.link.open == 0 and harness.link.counts["spoilt"] == 1

    run(main())


def test_second_copies_and_unknown_ids_are_passed_over():
    async def main():
        async def twice(worker, writer, arguments):
            writer.write(worker_reply(b"f" * 16, b"DONE", b"-", b"not mine"))
            writer.write(worker_reply(arguments[1], b"DONE", b"-", b"mine") * 2)

        async with Worker(twice) as worker:
            harness = LinkHarness({"w": worker.port})
            harness.start("c1")
            await harness.ends()
            harness.start("c2", id_="0" * 16)
            await harness.ends(2)
            assert [end.body for end in harness.results] == [b"mine", b"mine"] and worker.connections == 1

    run(main())


def test_a_late_answer_is_not_taken_for_a_second_attempt_of_its_id():
    # The worker answers the first attempt after it was abandoned, while a second one is on its way.
    async def main():
        async def slow(worker, writer, arguments):
            if arguments[0] == b"FN" and len(worker.runs()) == 2:
                worker.first.write(worker_reply(arguments[1], b"DONE", b"-", b"first"))
                await asyncio.sleep(0.05)
                writer.write(worker_reply(arguments[1], b"DONE", b"-", b"second"))
            elif arguments[0] == b"FN":
                worker.first = writer
                writer.write(worker_reply(b"1" * 16, b"DONE"))  # so that the connection is not silent

        async with Worker(slow) as worker:
            harness = LinkHarness({"w": worker.port}, connections=2)
            harness.start("c1", id_=ID)
            await until(lambda: worker.got)
            await asyncio.sleep(0.05)
            harness.link.abandon(ports.Abandon("c1", 0, Status.TIMEOUT))
            harness.link.flush()
            assert await harness.ends() == [(Status.TIMEOUT, Ran.MAYBE)]
            await until(lambda: [b"KILL", ID.encode()] in worker.got)
            harness.start("c1", id_=ID, number=1)
            await harness.ends(2)
            assert harness.results[1].body == b"second" and worker.connections == 2

    run(main())


def test_nothing_new_goes_to_a_connection_that_fell_silent():
    # An answer that never arrives makes its connection useless, although it stays open.
    async def main():
        async def silent(worker, writer, arguments):
            if worker.connections > 1:
                await echo(worker, writer, arguments)

        async with Worker(silent) as worker:
            harness = LinkHarness({"w": worker.port}, connections=2)
            harness.start("c1")
            await until(lambda: worker.got)
            harness.link.abandon(ports.Abandon("c1", 0, Status.TIMEOUT))
            harness.start("c2", id_="0" * 16)
            await harness.ends(2)
            assert harness.results[1].status is Status.OK and worker.connections == 2

    run(main())


def test_given_up_before_it_was_written_it_never_ran():
    async def main():
        async with Worker(echo) as worker:
            harness = LinkHarness({"w": worker.port})
            harness.start()
            harness.link.abandon(ports.Abandon("c1", 0, Status.CANCELLED))
            assert await harness.ends() == [(Status.MOOT, Ran.NEVER)]
            await asyncio.sleep(0.1)
            assert not worker.got

    run(main())


def test_given_up_beside_a_kill_that_waits_it_is_not_sent_all_the_same():
    # The queue of output also held KILL commands, which were missing in a parallel list of jobs: the wrong
    # entry was withdrawn, and a request that had been reported as never sent was sent.
    async def main():
        async def talk(worker, writer, arguments):
            if arguments[0] == b"FN" and arguments[1] == ID.encode():
                writer.write(worker_reply(b"1" * 16, b"DONE"))  # so that the connection is not silent

        async with Worker(talk) as worker:
            harness = LinkHarness({"w": worker.port}, connections=1)
            harness.start("c1")
            await until(lambda: worker.got)
            await asyncio.sleep(0.05)
            # Before the abandonment, after which nothing new goes to the connection until its probe is
            # answered.
            trigger = Trigger("1/2", None, "lectura", "acme", "f", "0" * 16, b"x", 1_000_000)
            harness.link.start(ports.Start("c2", 0, "w", trigger, 1_000_000))
            harness.link.abandon(ports.Abandon("c1", 0, Status.TIMEOUT))  # its KILL waits for the flush
            harness.link.abandon(ports.Abandon("c2", 0, Status.CANCELLED))
            harness.link.flush()
            assert await harness.ends(2) == [(Status.TIMEOUT, Ran.MAYBE), (Status.MOOT, Ran.NEVER)]
            await until(lambda: [b"KILL", ID.encode()] in worker.got)
            await asyncio.sleep(0.05)
            assert [arguments[1] for arguments in worker.runs()] == [ID.encode()]

    run(main())


def test_a_connection_that_came_up_for_an_earlier_reset_proves_nothing_later():
    # The connection of the earlier liveness check stays open.  When the process dies later, its end may be
    # noticed last.
    async def main():
        async def reset_then_die(worker, writer, arguments):
            if len(worker.got) > 1:
                worker.server.close()  # refuses new connections; the end of the older one comes later
            writer.transport.abort()

        async with Worker(reset_then_die) as worker:
            harness = LinkHarness({"w": worker.port}, connections=3)
            harness.start("c1")
            assert await harness.ends() == [(Status.ERROR, Ran.MAYBE)]
            judged = harness.link._workers["w"].liveness_check
            assert judged.established and not judged.closed
            judged.history._must_arrive = 1_000  # the next request gets a connection of its own
            harness.start("c2", id_="0" * 16)
            await harness.ends(2)
            assert (harness.results[1].status, harness.results[1].ran) == (Status.RESET, Ran.MAYBE)

    run(main())


def test_an_order_given_up_while_its_worker_is_judged_ends_once():
    async def main():
        async with Worker(reset) as worker:
            harness = LinkHarness({"w": worker.port}, order_s=0.0)
            harness.link.order(ports.Order(5, "w", "f", 2, 100.0, 1))
            pending = SimpleNamespace(connect_result=asyncio.get_running_loop().create_future(), closed=False)
            harness.link._open = lambda *_: pending
            await until(lambda: harness.link._workers["w"].liveness_check)
            harness.link.sweep()
            pending.connect_result.set_result(True)
            await asyncio.sleep(0.05)
            assert [(end.number, end.status) for end in harness.results] == [(5, Status.TIMEOUT)]

    run(main())


def test_requests_are_spread_and_share_connections_only_when_these_run_out():
    async def main():
        async def never(worker, writer, arguments):
            pass

        async with Worker(never) as worker:
            harness = LinkHarness({"w": worker.port}, connections=3)
            harness.link._credit = 7.0
            for number in range(7):
                harness.start(f"c{number}", id_=f"{number:016x}")
            await until(lambda: len(worker.got) == 7)
            assert worker.connections == 3
            sizes = sorted(
                len(open_connection.jobs) for open_connection in harness.link._workers["w"].connections
            )
            assert sizes == [2, 2, 3]

    run(main())


def test_a_further_connection_to_a_worker_is_earned_by_requests():
    # In a fleet of 200 routers with a few calls per second each, every concurrent call had its own
    # connection: two connections were opened for three calls, and the handshakes cost 0.04 of the value of a
    # day.
    async def main():
        async def never(worker, writer, arguments):
            pass

        async with Worker(never) as first, Worker(never) as second:
            harness = LinkHarness({"v": first.port, "w": second.port}, connections=40)
            for number in range(45):
                harness.start(f"c{number}", id_=f"{number:016x}", worker="w" if number else "v")
            await until(lambda: len(first.got) + len(second.got) == 45)
            # The first one costs no credit, each further one 20 requests.
            assert first.connections == 1 and second.connections == 3

    run(main())


def test_a_connection_remembers_a_bounded_number_of_ids():
    async def main():
        async with Worker(echo) as worker:
            harness = LinkHarness({"w": worker.port}, connections=1)
            for number in range(connection.MAX_KNOWN_IDS + 20):
                harness.start(f"c{number}", id_=f"{number:016x}")
                await harness.ends(number + 1)
            (open_connection,) = harness.link._workers["w"].connections
            assert len(open_connection.history) == connection.MAX_KNOWN_IDS and not open_connection.jobs

    run(main())


def test_a_new_worker_at_an_old_address_has_connections_of_its_own():
    async def main():
        async with Worker(echo) as worker:
            harness = LinkHarness({"old": worker.port})
            harness.start("c1", "old")
            await harness.ends()
            harness.addresses = {"new": (HOST, worker.port)}
            harness.link._address = harness.addresses.get
            harness.link.worker_removed("old")
            harness.start("c2", "new", id_="0" * 16)
            await harness.ends(2)
            harness.link.sweep()
            await until(lambda: list(harness.link._workers) == ["new"])
            assert worker.connections == 2 and harness.link.open == 1

    run(main())


def test_a_worker_listed_again_keeps_its_connection_and_one_that_went_leaves_nothing():
    async def main():
        go = asyncio.Event()

        async def waits(worker, writer, arguments):
            await go.wait()
            await echo(worker, writer, arguments)

        async with Worker(waits) as worker:
            harness = LinkHarness({"w": worker.port})
            harness.start("c1")
            await until(lambda: worker.got)
            at = harness.addresses.pop("w")
            harness.link.worker_removed("w")  # its connection is in use and stays
            harness.addresses["w"] = at
            harness.start("c2", id_=OTHER)
            go.set()
            await harness.ends(2)
            harness.link.sweep()
            harness.start("c3", id_="0" * 16)
            await harness.ends(3)
            assert worker.connections == 1
            harness.addresses.pop("w")
            harness.link.worker_removed("w")
            harness.link.sweep()
            await until(lambda: not harness.link._workers)
            harness.start("c4")  # for a worker that has left: refused, and no table keeps it
            assert (await harness.ends(4))[3] == (Status.CONNECT_FAILED, Ran.NEVER)
            harness.link.sweep()
            assert not harness.link._workers
            harness.link.close()

    run(main())


def test_orders_are_answered_and_none_is_outstanding_for_ever():
    async def main():
        async def first(worker, writer, arguments):
            if arguments[2].endswith(b"instances=2"):
                writer.write(worker_reply(arguments[1], b"WAIT", b"instances=1"))

        async with Worker(first) as worker:
            harness = LinkHarness({"w": worker.port}, order_s=0.1)
            harness.link.order(ports.Order(5, "w", "f", 2, 100.0, 1))
            harness.link.order(ports.Order(6, "w", "f", 1, 100.0, 1))
            await until(lambda: harness.results)
            assert [(e.number, e.status, e.copies) for e in harness.results] == [(5, Status.FULL, 1)]
            await asyncio.sleep(0.15)
            harness.link.sweep()
            assert [(e.number, e.status) for e in harness.results[1:]] == [(6, Status.TIMEOUT)]
            assert harness.link.sizes()["worker_orders"] == 0

    run(main())
