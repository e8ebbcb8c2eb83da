"""Answers of workers whose lengths do not fit: nobody is served a body that no worker made for the request.

A length that ended at a CR LF of the body by chance made a whole answer.  The bytes behind it could not be
read, which showed at once, and the answer was served all the same (docs/incidents/0008).
"""

import asyncio

import pytest
from platformbench import Front, Worker, document, fields, frame, request, until, worker_reply
from socketbench import raw_worker, run
from test_endings import long_deadline_settings
from test_journal_service import new_decoder
from test_link import check_attempt, responds
from test_platform import RouterProcess, id_
from test_resp import ID, OTHER, LinkHarness

from swiftwell.discovery.journal import FrameError
from swiftwell.fronts.fastcgi import codec
from swiftwell.fronts.fastcgi.session import Session
from swiftwell.fronts.trigger import Ran
from swiftwell.gateway import ports
from swiftwell.http.client import Client, Unreachable
from swiftwell.http.http1 import Request
from swiftwell.interface import Status
from swiftwell.workers.resp.codec import Parser, RespError, encode, swallowed_id

LINES = 10
BODY = b"".join(b"%04d\r\n" % (1_234 + line) for line in range(LINES))
PARTS = ("id", "result", "fields", "body")


def misframed(id_, part, size):
    """An answer in which one part's length is `size`."""
    strings = [id_, b"DONE", b"why=reused", BODY]
    sizes = [len(string) for string in strings]
    sizes[PARTS.index(part)] = size
    return b"*4\r\n" + b"".join(
        b"$%d\r\n%b\r\n" % (size, string) for size, string in zip(sizes, strings, strict=True)
    )


@pytest.mark.parametrize("part", PARTS)
def test_nobody_is_served_a_body_whose_length_did_not_fit(tmp_path, part):
    # Each length from 0 to twice the true one, on connections that carry whole answers as well.
    async def main():
        sizes, spoilt = {}, []

        async def play(worker, writer, arguments):
            if arguments[0] != b"FN":
                return
            size = sizes.get(arguments[1])
            if size is None:
                writer.write(worker_reply(arguments[1], b"DONE", b"why=reused", BODY))
            else:
                spoilt.append(size)
                writer.write(misframed(arguments[1], part, size))

        true_size = {"id": 16, "result": 4, "fields": 10, "body": len(BODY)}[part]
        wrong_sizes = [size for size in range(2 * true_size + 1) if size != true_size]
        async with Worker(play) as one, Worker(play) as two:
            ports = [one.port, two.port]
            configuration = document(ports, settings=long_deadline_settings(deadline_ms=600.0))
            with RouterProcess(tmp_path, configuration) as router_process:
                assert await router_process.up() == 200
                answers = []
                for first in range(0, len(wrong_sizes), 8):
                    batch = wrong_sizes[first : first + 8]
                    for number, size in enumerate(batch, first):
                        sizes[id_(number).encode()] = size
                    names = [id_(first + number) for number in range(len(batch))]
                    names += [id_(1_000 + first + number) for number in range(len(batch))]
                    answers += await asyncio.gather(*(ask(router_process.port, name) for name in names))
                assert {status for status, _ in answers} <= {200, 502, 503}
                assert {body for status, body in answers if status == 200} == {BODY}
                assert len(spoilt) >= len(wrong_sizes)
                assert await router_process.up() == 200

    run(main())


async def ask(port, name):
    async with Front(port) as front:
        status, _, body = await front.ask(1, fields(name, wait="600"))
        return status, body


def feed(data):
    """The answers believed, and whether an error was found."""
    parser = Parser()
    try:
        answers = parser.feed(data)
        parser.check()
    except RespError:
        return [], True
    return answers, False


def test_an_answer_is_believed_only_before_nothing_or_the_start_of_another():
    good = encode(b"1", b"DONE", b"-", BODY)
    for size in range(2 * len(BODY)):
        answers, error = feed(misframed(b"1", "body", size))
        assert answers == ([(b"1", b"DONE", b"why=reused", BODY)] if size == len(BODY) else [])
        assert error or size >= len(BODY)
    parser = Parser()
    assert [answer[0] for answer in parser.feed(good * 2 + b"*4\r\n$-1\r\n")] == [b"1", b"1"]
    parser = Parser()
    assert len(parser.feed(good * 2 + b"noise")) == 1  # the second may have ended where noise began
    with pytest.raises(RespError):
        parser.check()


def test_an_answer_that_is_not_believed_may_have_run_and_proves_no_copies():
    async def main():
        async def spoil(worker, writer, arguments):
            if len(worker.got) == 2:
                order = next(command[1] for command in worker.got if command[0] == b"SPAWN")
                writer.write(worker_reply(order, b"DONE", b"instances=1") + b"noise")

        async with Worker(spoil) as worker:
            harness = LinkHarness({"w": worker.port}, connections=1)
            harness.start("c1")
            harness.link.order(ports.Order(5, "w", "f", 1, 100.0, 1))
            harness.link.flush()
            await until(lambda: len(harness.results) == 2)
            call, order = sorted(harness.results, key=lambda end: type(end).__name__)
            assert (call.status, call.ran) == (Status.ERROR, Ran.MAYBE)
            assert not order.answered and order.copies == 0
            harness.link.close()

    run(main())


def test_a_body_that_swallowed_the_answer_to_another_request_is_not_served():
    async def main():
        async def swallow(worker, writer, arguments):
            if len(worker.runs()) == 2:
                swallowed = BODY + b"\r\n" + worker_reply(OTHER.encode(), b"DONE", b"-", BODY)[:-2]
                writer.write(worker_reply(ID.encode(), b"DONE", b"-", swallowed))

        async with Worker(swallow) as worker:
            harness = LinkHarness({"w": worker.port}, connections=1)
            harness.start("c1", id_=ID)
            harness.start("c2", id_=OTHER)
            assert await harness.ends(2) == [(Status.ERROR, Ran.MAYBE)] * 2
            harness.link.close()

    run(main())


def test_a_body_that_only_looks_like_an_answer_is_served():
    answer = b"\r\n" + encode(b"0123", b"DONE", b"-", b"")
    assert swallowed_id(BODY + answer, {b"9b": None}) == b""
    assert swallowed_id(BODY + answer + answer, {b"0123": None}) == b"0123"
    assert swallowed_id(b"\r\n*4\r\n$", {b"": None, b"9b": None}) == b""


@pytest.mark.parametrize("size", [0, 12, len(BODY) - 2])
def test_an_http_response_whose_length_did_not_fit_is_no_answer(size):
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"
    check_attempt(responds(head % size + BODY), Status.ERROR, Ran.MAYBE)
    check_attempt(responds(head % len(BODY) + BODY), Status.OK, Ran.YES)


def test_an_http_response_whose_length_did_not_fit_is_not_read_by_a_client():
    async def main():
        async with raw_worker(responds(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nlist")) as address:
            host, _, port = address.partition(":")
            client = Client(host, int(port))
            with pytest.raises(Unreachable, match="does not fit"):
                await client.fetch(Request("GET", "/", {"content-length": "0"}, b""), 2.0)

    run(main())


def test_no_event_of_a_list_is_applied_from_a_read_that_cannot_be_read_to_its_end():
    # The frame ahead may have ended where the spoilt bytes began.
    with pytest.raises(FrameError):
        new_decoder().feed(frame(2, 2, [(1, 7, 1)]) + b"\xff" * 32)


def test_no_request_is_taken_from_a_read_whose_records_cannot_be_read_to_its_end():
    cut_wrongly = codec.record(codec.STDIN, 1, b"body")[:-4]  # its length covers what follows
    session = Session()
    begun = codec.begin(1) + codec.record(codec.PARAMS, 1, b"") + cut_wrongly
    assert session.receive(begun + request(2, fields(id_(2)))) == [] and session.broken
