"""RESP: the codec alone, and the link against workers scripted over loopback."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platformbench import HOST, Worker, echo, reset, said, until
from socketbench import run

from swiftwell.fronts.trigger import Ran, Trigger
from swiftwell.gateway import ports
from swiftwell.interface import Status
from swiftwell.workers.resp import codec, connection
from swiftwell.workers.resp.codec import MOST_BODY, Parser, RespError
from swiftwell.workers.resp.link import RespBounds, RespLink

ID, OTHER = "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42"


@given(st.lists(st.binary(max_size=40), min_size=1, max_size=4), st.integers(1, 9))
def test_answers_come_out_whole_however_they_are_split(bodies, step):
    data = b"".join(said(b"%d" % at, b"DONE", b"-", body) for at, body in enumerate(bodies))
    parser, found = Parser(), []
    for at in range(0, len(data), step):
        found += parser.feed(data[at : at + step])
    assert found == [(b"%d" % at, b"DONE", b"-", body) for at, body in enumerate(bodies)]


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xffnoise", b"+OK\r\n", b"*-1\r\n", b"*5\r\n", b"*0\r\n", b"*99999999999999\r\n", b"*4 \r\n",
        b"*4\r\n$-1\r\n", b"*4\r\n$+1\r\n", b"*4\r\n$65\r\n", b"*4\r\n:1\r\n", b"*4\r\n$1\r\nabc",
        b"*4\r\n$1\r\na\r\n$17\r\n", b"*4\r\n$1\r\na\r\n$1\r\nb\r\n$1025\r\n",
        b"*4\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\n-\r\n$3221225472\r\n", b"*" + b"4" * 20, b"$",
        b"*4\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\n-\r\n$" + b"%d\r\n" % (MOST_BODY + 1),
    ],
)  # fmt: skip
def test_what_is_no_answer_is_an_error_before_memory_is_taken(data):
    parser = Parser()
    with pytest.raises(RespError):
        parser.feed(data)
    assert len(parser._rest) <= len(data)


@pytest.mark.parametrize(
    "word, status, ran",
    [
        (b"DONE", Status.OK, Ran.YES), (b"LACK", Status.MISS, Ran.NEVER), (b"WAIT", Status.FULL, Ran.NEVER),
        (b"BROKE", Status.ERROR, Ran.MAYBE), (b"PAST", Status.MOOT, Ran.NEVER),
    ],
)  # fmt: skip
def test_what_an_answer_proves(word, status, ran):
    verdict = codec.verdict(word, b"why=shared_init,rivals=3")
    assert (verdict.status, verdict.ran, verdict.found, verdict.crowd) == (status, ran, 3, 3)


def test_a_load_that_failed_is_told_to_the_module():
    v = codec.verdict(b"BROKE", b"why=init_error,rivals=2")
    assert (v.status, v.ran, v.found, v.crowd) == (Status.ERROR, Ran.MAYBE, 4, 2)


@pytest.mark.parametrize(
    "word, told", [(b"FINE", b"-"), (b"DONE", b"why"), (b"DONE", b"rivals=-1"), (b"DONE", b"")]
)
def test_an_answer_that_cannot_be_one_is_an_error(word, told):
    with pytest.raises(RespError):
        codec.verdict(word, told)


class Play:
    """A link and what it told the engine."""

    def __init__(self, ports_of, **bounds):
        self.told, self.lines = [], []
        self.at = {worker: (HOST, port) for worker, port in ports_of.items()}
        log = lambda *args, **fields: self.lines.append((args, fields))  # noqa: E731
        self.link = RespLink(RespBounds(**{"connections": 8} | bounds), self.at.get, self.told.append, log)

    def start(self, call="c1", worker="w", id_=ID, number=0, body=b"x", left=1_000_000):
        trigger = Trigger("1/1", None, "lectura", "acme", "f", id_, body, left)
        self.link.start(ports.Start(call, number, worker, trigger, left))
        self.link.flush()

    async def ends(self, count=1):
        await until(lambda: len(self.told) >= count)
        return [(end.status, end.ran) for end in self.told]


def test_a_request_passes_unchanged_and_so_does_its_body():
    async def main():
        async with Worker(echo) as worker:
            play = Play({"w": worker.port})
            began = time.monotonic()
            play.start(body=bytes(range(256)))
            await play.ends()
            spent_ms = (time.monotonic() - began) * 1e3
            (end,) = play.told
            assert (end.status, end.ran, end.copy_state) == (Status.OK, Ran.YES, 1)
            assert end.body == b"did " + bytes(range(256))
            word, id_, told, body = worker.got[0]
            assert (word, id_, body) == (b"FN", ID.encode(), bytes(range(256)))
            found = codec.fields(told)
            # It waited for its connection: what is left is what was left, less that wait, and no more.
            assert 1000 - spent_ms <= int(found.pop(b"ttl")) <= 1000
            assert found == {b"lane": b"lectura", b"name": b"f"}
            play.start(call="c2", id_=OTHER)
            await play.ends(2)
            assert codec.fields(worker.got[1][2])[b"ttl"] == b"1000"  # it did not wait: as it was told
            play.link.close()

    run(main())


def test_a_refused_connection_proves_that_nothing_ran():
    async def main():
        play = Play({"w": 1})
        play.start()
        assert await play.ends() == [(Status.CONNECT_FAILED, Ran.NEVER)]

    run(main())


def test_an_unknown_worker_is_no_address():
    async def main():
        play = Play({})
        play.start()
        assert await play.ends() == [(Status.CONNECT_FAILED, Ran.NEVER)]

    run(main())


def test_a_reset_of_a_process_that_died_is_a_reset():
    async def main():
        async def die(worker, writer, words):
            worker.server.close()
            for one in worker.writers:
                one.transport.abort()

        async with Worker(die) as worker:
            play = Play({"w": worker.port})
            play.start("c1")
            play.start("c2", id_="0" * 16)
            assert await play.ends(2) == [(Status.RESET, Ran.MAYBE)] * 2

    run(main())


def test_a_reset_of_one_connection_is_no_restart_of_its_worker():
    # The module takes RESET for a restart: with single connections reset now and then, every worker counted
    # as cold for ever, and nine in ten calls were refused.
    async def main():
        async with Worker(reset) as worker:
            play = Play({"w": worker.port})
            play.link._earned = 1.0  # each on a connection of its own
            play.start("c1")
            play.start("c2", id_="0" * 16)
            assert await play.ends(2) == [(Status.ERROR, Ran.MAYBE)] * 2
            await asyncio.sleep(0.05)
            assert worker.connections == 3 and len(worker.got) == 2  # one more shows that it lives

    run(main())


def test_a_connection_reset_while_it_comes_up_is_no_restart_and_its_attempt_goes_on():
    # Seen on the platform as ECONNRESET from connect(): each counted as a failed connect, hence as a start.
    async def main():
        async with Worker(echo) as worker:
            play = Play({"w": worker.port})
            open_, failed = play.link._open, []

            def first_is_reset(name, state, address):
                one = open_(name, state, address)
                if not failed:
                    failed.append(one)
                    cause = ConnectionResetError(104, "Connection reset by peer")
                    one._stream.connect = lambda at: _raise(cause)
                return one

            play.link._open = first_is_reset
            play.start()
            assert await play.ends() == [(Status.OK, Ran.YES)]
            assert failed[0].over and not failed[0].up and len(worker.got) == 1

    async def _raise(error):
        raise error

    run(main())


def test_an_attempt_given_up_while_its_worker_is_judged_ends_once():
    async def main():
        async with Worker(reset) as worker:
            play = Play({"w": worker.port})
            play.start()
            pending = SimpleNamespace(opened=asyncio.get_running_loop().create_future(), over=False)
            play.link._open = lambda *_: pending
            await until(lambda: play.link._workers["w"].judging)
            play.link.abandon(ports.Abandon("c1", 0, Status.TIMEOUT))
            pending.opened.set_result(True)
            await asyncio.sleep(0.05)
            assert await play.ends() == [(Status.TIMEOUT, Ran.MAYBE)]

    run(main())


@pytest.mark.parametrize(
    "bytes_", [b"garbage", b"*4\r\n$16\r\n" + ID.encode() + b"\r\n$4\r\nDONE\r\n$1\r\n-\r\n$3221225472\r\n"]
)
def test_spoilt_bytes_close_the_connection_and_end_what_is_on_it(bytes_):
    async def main():
        async def spoil(worker, writer, words):
            if len(worker.got) == 2:
                writer.write(bytes_)

        async with Worker(spoil) as worker:
            play = Play({"w": worker.port}, connections=1)
            play.start("c1")
            play.start("c2", id_="0" * 16)
            assert await play.ends(2) == [(Status.ERROR, Ran.MAYBE)] * 2
            assert play.link.open == 0 and play.link.counts["spoilt"] == 1

    run(main())


def test_second_copies_and_unknown_ids_are_passed_over():
    async def main():
        async def twice(worker, writer, words):
            writer.write(said(b"f" * 16, b"DONE", b"-", b"not mine"))
            writer.write(said(words[1], b"DONE", b"-", b"mine") * 2)

        async with Worker(twice) as worker:
            play = Play({"w": worker.port})
            play.start("c1")
            await play.ends()
            play.start("c2", id_="0" * 16)
            await play.ends(2)
            assert [end.body for end in play.told] == [b"mine", b"mine"] and worker.connections == 1

    run(main())


def test_a_late_answer_is_not_taken_for_a_second_attempt_of_its_id():
    # A worker that answers the first attempt after it was given up, while a second is under way to it.
    async def main():
        async def slow(worker, writer, words):
            if words[0] == b"FN" and len(worker.runs()) == 2:
                worker.first.write(said(words[1], b"DONE", b"-", b"first"))
                await asyncio.sleep(0.05)
                writer.write(said(words[1], b"DONE", b"-", b"second"))
            elif words[0] == b"FN":
                worker.first = writer
                writer.write(said(b"1" * 16, b"DONE"))  # it is not silent

        async with Worker(slow) as worker:
            play = Play({"w": worker.port}, connections=2)
            play.start("c1", id_=ID)
            await until(lambda: worker.got)
            await asyncio.sleep(0.05)
            play.link.abandon(ports.Abandon("c1", 0, Status.TIMEOUT))
            play.link.flush()
            assert await play.ends() == [(Status.TIMEOUT, Ran.MAYBE)]
            await until(lambda: [b"KILL", ID.encode()] in worker.got)
            play.start("c1", id_=ID, number=1)
            await play.ends(2)
            assert play.told[1].body == b"second" and worker.connections == 2

    run(main())


def test_nothing_new_goes_to_a_connection_that_fell_silent():
    # An answer that never arrives: the connection is of no further use, though it stays open.
    async def main():
        async def silent(worker, writer, words):
            if worker.connections > 1:
                await echo(worker, writer, words)

        async with Worker(silent) as worker:
            play = Play({"w": worker.port}, connections=2)
            play.start("c1")
            await until(lambda: worker.got)
            play.link.abandon(ports.Abandon("c1", 0, Status.TIMEOUT))
            play.start("c2", id_="0" * 16)
            await play.ends(2)
            assert play.told[1].status is Status.OK and worker.connections == 2

    run(main())


def test_given_up_before_it_was_written_it_never_ran():
    async def main():
        async with Worker(echo) as worker:
            play = Play({"w": worker.port})
            play.start()
            play.link.abandon(ports.Abandon("c1", 0, Status.CANCELLED))
            assert await play.ends() == [(Status.MOOT, Ran.NEVER)]
            await asyncio.sleep(0.1)
            assert not worker.got

    run(main())


def test_given_up_beside_a_kill_that_waits_it_is_not_sent_all_the_same():
    # What waits to be written held KILLs that the list of jobs beside it did not: the wrong piece was taken
    # back, and a request told as never sent went out.
    async def main():
        async def talk(worker, writer, words):
            if words[0] == b"FN" and words[1] == ID.encode():
                writer.write(said(b"1" * 16, b"DONE"))  # it is not silent

        async with Worker(talk) as worker:
            play = Play({"w": worker.port}, connections=1)
            play.start("c1")
            await until(lambda: worker.got)
            await asyncio.sleep(0.05)
            play.link.abandon(ports.Abandon("c1", 0, Status.TIMEOUT))  # its KILL waits for the turn's end
            trigger = Trigger("1/2", None, "lectura", "acme", "f", "0" * 16, b"x", 1_000_000)
            play.link.start(ports.Start("c2", 0, "w", trigger, 1_000_000))
            play.link.abandon(ports.Abandon("c2", 0, Status.CANCELLED))
            play.link.flush()
            assert await play.ends(2) == [(Status.TIMEOUT, Ran.MAYBE), (Status.MOOT, Ran.NEVER)]
            await until(lambda: [b"KILL", ID.encode()] in worker.got)
            await asyncio.sleep(0.05)
            assert [words[1] for words in worker.runs()] == [ID.encode()]

    run(main())


def test_a_connection_that_came_up_for_an_earlier_reset_proves_nothing_later():
    # It stays open; when the process dies its own end may be seen last.
    async def main():
        async def reset_then_die(worker, writer, words):
            if len(worker.got) > 1:
                worker.server.close()  # new connections are refused; the older one's end is not seen yet
            writer.transport.abort()

        async with Worker(reset_then_die) as worker:
            play = Play({"w": worker.port}, connections=3)
            play.start("c1")
            assert await play.ends() == [(Status.ERROR, Ran.MAYBE)]
            judged = play.link._workers["w"].judging
            assert judged.up and not judged.over
            judged.doubted = True  # the next goes on a connection of its own
            play.start("c2", id_="0" * 16)
            await play.ends(2)
            assert (play.told[1].status, play.told[1].ran) == (Status.RESET, Ran.MAYBE)

    run(main())


def test_an_order_given_up_while_its_worker_is_judged_ends_once():
    async def main():
        async with Worker(reset) as worker:
            play = Play({"w": worker.port}, order_s=0.0)
            play.link.order(ports.Order(5, "w", "f", 2, 100.0, 1))
            pending = SimpleNamespace(opened=asyncio.get_running_loop().create_future(), over=False)
            play.link._open = lambda *_: pending
            await until(lambda: play.link._workers["w"].judging)
            play.link.sweep()
            pending.opened.set_result(True)
            await asyncio.sleep(0.05)
            assert [(end.number, end.status) for end in play.told] == [(5, Status.TIMEOUT)]

    run(main())


def test_requests_are_spread_and_share_connections_only_when_these_run_out():
    async def main():
        async def never(worker, writer, words):
            pass

        async with Worker(never) as worker:
            play = Play({"w": worker.port}, connections=3)
            play.link._earned = 7.0
            for number in range(7):
                play.start(f"c{number}", id_=f"{number:016x}")
            await until(lambda: len(worker.got) == 7)
            assert worker.connections == 3
            sizes = sorted(len(one.jobs) for one in play.link._workers["w"].connections)
            assert sizes == [2, 2, 3]

    run(main())


def test_a_further_connection_to_a_worker_is_earned_by_requests():
    # Found on the full fleet: 200 routers with some calls a second each opened two connections for three
    # calls, as every call at work had its own; handshakes took 0.04 of the worth of a day.
    async def main():
        async def never(worker, writer, words):
            pass

        async with Worker(never) as one, Worker(never) as two:
            play = Play({"v": one.port, "w": two.port}, connections=40)
            for number in range(45):
                play.start(f"c{number}", id_=f"{number:016x}", worker="w" if number else "v")
            await until(lambda: len(one.got) + len(two.got) == 45)
            assert one.connections == 1 and two.connections == 3  # the first is free, one more for each 20

    run(main())


def test_a_connection_remembers_a_bounded_number_of_ids():
    async def main():
        async with Worker(echo) as worker:
            play = Play({"w": worker.port}, connections=1)
            for number in range(connection.MOST_KNOWN + 20):
                play.start(f"c{number}", id_=f"{number:016x}")
                await play.ends(number + 1)
            (one,) = play.link._workers["w"].connections
            assert len(one.known) == connection.MOST_KNOWN and not one.jobs

    run(main())


def test_a_new_worker_at_an_old_address_has_connections_of_its_own():
    async def main():
        async with Worker(echo) as worker:
            play = Play({"old": worker.port})
            play.start("c1", "old")
            await play.ends()
            play.at = {"new": (HOST, worker.port)}
            play.link._address = play.at.get
            play.link.gone("old")
            play.start("c2", "new", id_="0" * 16)
            await play.ends(2)
            play.link.sweep()
            await until(lambda: list(play.link._workers) == ["new"])
            assert worker.connections == 2 and play.link.open == 1

    run(main())


def test_a_worker_listed_again_keeps_its_connection_and_one_that_went_leaves_nothing():
    async def main():
        go = asyncio.Event()

        async def waits(worker, writer, words):
            await go.wait()
            await echo(worker, writer, words)

        async with Worker(waits) as worker:
            play = Play({"w": worker.port})
            play.start("c1")
            await until(lambda: worker.got)
            at = play.at.pop("w")
            play.link.gone("w")  # its connection is in use: it stays for now
            play.at["w"] = at
            play.start("c2", id_=OTHER)
            go.set()
            await play.ends(2)
            play.link.sweep()
            play.start("c3", id_="0" * 16)
            await play.ends(3)
            assert worker.connections == 1
            play.at.pop("w")
            play.link.gone("w")
            play.link.sweep()
            await until(lambda: not play.link._workers)
            play.start("c4")  # on its way to one that has gone: refused, and no table keeps it
            assert (await play.ends(4))[3] == (Status.CONNECT_FAILED, Ran.NEVER)
            play.link.sweep()
            assert not play.link._workers
            play.link.close()

    run(main())


def test_orders_are_answered_and_none_is_outstanding_for_ever():
    async def main():
        async def first(worker, writer, words):
            if words[2].endswith(b"instances=2"):
                writer.write(said(words[1], b"WAIT", b"instances=1"))

        async with Worker(first) as worker:
            play = Play({"w": worker.port}, order_s=0.1)
            play.link.order(ports.Order(5, "w", "f", 2, 100.0, 1))
            play.link.order(ports.Order(6, "w", "f", 1, 100.0, 1))
            await until(lambda: play.told)
            assert [(e.number, e.status, e.copies) for e in play.told] == [(5, Status.FULL, 1)]
            await asyncio.sleep(0.15)
            play.link.sweep()
            assert [(e.number, e.status) for e in play.told[1:]] == [(6, Status.TIMEOUT)]
            assert play.link.sizes()["worker_orders"] == 0

    run(main())
