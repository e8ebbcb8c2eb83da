"""What is read of large answers is bounded for all workers' connections together."""

import asyncio

from platformbench import Front, Worker, echo, fields, request, router, until, worker_reply
from socketbench import run
from test_endings import long_deadline_settings
from test_platform import id_

from swiftwell.workers.resp.answer_permits import UNPERMITTED_BYTES, AnswerPermits
from swiftwell.workers.resp.connection import READ_BYTES

BODY = b"a" * 200_000
WORKERS = 4


def connections(node):
    return [connection for worker in node.link._workers.values() for connection in worker.connections]


def buffered_bytes(node):
    return sorted(connection._parser.buffered_bytes for connection in connections(node))


def one_request_a_connection():
    configuration = long_deadline_settings()
    configuration["limits"]["streams-per-conn"] = 1
    return configuration


class HalfAnswers:
    """Workers that send nearly all of each answer, and the rest once it is asked for."""

    def __init__(self):
        self.rest = []

    async def play(self, worker, writer, arguments):
        if arguments[0] != b"FN":
            return await echo(worker, writer, arguments)
        reply = worker_reply(arguments[1], b"DONE", b"why=reused", BODY)
        writer.write(reply[:-10])
        self.rest.append((writer, reply[-10:]))


async def half_answered(node, front, halves):
    """Requests to all workers, each answered but for the end."""
    for number in range(1, WORKERS + 1):
        front.writer.write(request(number, fields(id_(number), wait="6000", HTTP_REQ_KEY=f"{number:016x}")))
    await until(lambda: len(halves.rest) == WORKERS)
    await until(lambda: len(connections(node)) >= 2 and buffered_bytes(node)[-1] > 150_000)


# Guards against: half answers of 256 KiB from each connection to a worker, 86 MB together.
def test_half_read_answers_of_all_connections_are_bounded_and_all_are_served(tmp_path):
    async def main():
        halves = HalfAnswers()
        workers = [await Worker(halves.play).__aenter__() for _ in range(WORKERS)]
        ports = [worker.port for worker in workers]
        async with (
            router(tmp_path, ports, sockets=512, settings=one_request_a_connection()) as node,
            Front(node.port) as front,
        ):
            node.link.answer_permits = AnswerPermits(1)
            await half_answered(node, front, halves)
            await asyncio.sleep(0.2)  # all that is there has been read
            *others, largest = buffered_bytes(node)
            assert largest > 150_000 and others
            assert max(others) <= UNPERMITTED_BYTES + READ_BYTES
            for writer, rest in halves.rest:
                writer.write(rest)
            for number in range(1, WORKERS + 1):
                status, _, body = await front.answer(number)
                assert status == 200 and body == BODY
        for worker in workers:
            await worker.__aexit__()

    run(main())


# Guards against: a connection that waits for a permit and is closed, with calls that nobody ends.
def test_a_connection_that_is_closed_while_it_waits_to_read_ends_its_calls(tmp_path):
    async def main():
        halves = HalfAnswers()
        workers = [await Worker(halves.play).__aenter__() for _ in range(WORKERS)]
        ports = [worker.port for worker in workers]
        async with (
            router(tmp_path, ports, sockets=512, settings=one_request_a_connection()) as node,
            Front(node.port) as front,
        ):
            node.link.answer_permits = AnswerPermits(1)
            await half_answered(node, front, halves)
            await until(lambda: node.link.answer_permits._waiting)
            closed = connections(node)
            for connection in closed:
                connection.close()
            await until(lambda: all(one.closed and not one.jobs and one._permit is None for one in closed))
        for worker in workers:
            await worker.__aexit__()

    run(main())


def test_a_permit_goes_to_who_has_waited_for_longest():
    async def main():
        permits = AnswerPermits(1)
        first, second, third = permits.request(), permits.request(), permits.request()
        assert first.done() and not second.done()
        permits.give_back(second)  # stops to wait
        permits.give_back(first)
        assert third.done() and second.cancelled()
        permits.give_back(third)
        assert permits.request().done()

    asyncio.run(main())
