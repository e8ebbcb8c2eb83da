"""SIGTERM with short deadlines: SIGKILL may come the longest deadline plus 0.7 s after it, and clients go on
sending on their open connections until then.  A real router process, many clients, a worker that hangs.
"""

import asyncio
import signal
import time

import pytest
from platformbench import Front, Worker, document, echo, fields, request, settings
from socketbench import run
from test_platform import Process, id_

from swiftwell.platform.shutdown import LAST_REQUEST_S, ShutdownSchedule

CLIENTS = 20


def short(deadline_ms):
    found = settings()
    for lane in found["lanes"]:
        lane |= {"target-ms": deadline_ms / 2, "deadline-ms": deadline_ms}
    return found


class Hammer:
    """A client that sends one request after the other on one connection until the router ends it."""

    def __init__(self, port, number, wait_ms):
        self.port, self.number, self.wait_ms = port, number, wait_ms
        self.answered = self.asked = 0
        self.reset = False
        self.last_sent = self.closed_at = 0.0

    async def run(self):
        async with Front(self.port) as front:
            while True:
                self.asked += 1
                self.last_sent = time.monotonic()
                try:
                    request_class = "consigna" if self.asked % 7 == 0 else "lectura"
                    ask = fields(
                        id_(self.number * 100_000 + self.asked), request_class, wait=str(self.wait_ms)
                    )
                    status, _, _ = await front.ask(1, ask)
                except ConnectionError:
                    self.reset = True
                    status = 0
                if not status:
                    self.closed_at = time.monotonic()
                    return
                self.answered += 1


async def hammered(folder, deadline_ms, play):
    """What clients saw of a router that got SIGTERM while they were at it."""
    async with Worker(play) as worker:
        with Process(folder, document([worker.port], settings=short(deadline_ms))) as one:
            assert await one.up() == 200
            clients = [Hammer(one.port, number, deadline_ms) for number in range(1, CLIENTS + 1)]
            tasks = [asyncio.ensure_future(client.run()) for client in clients]
            await asyncio.sleep(0.1)
            one.process.send_signal(signal.SIGTERM)
            await asyncio.gather(*tasks)
            assert await one.ended() == 0
    return clients


@pytest.mark.parametrize("deadline_ms", [50, 250])
def test_every_request_on_an_open_connection_is_answered_until_the_router_ends_it(tmp_path, deadline_ms):
    async def hangs(worker, writer, words):
        if int(words[1], 16) % 5:  # one in five is never answered
            await echo(worker, writer, words)

    async def main():
        for client in await hammered(tmp_path, deadline_ms, hangs):
            # The last request crossed the end of its connection; every other one has its answer.
            assert client.answered == client.asked - 1 > 0
            # A close that nobody had read up to would be a reset, which takes an answer on its way.
            assert not client.reset

    run(main())


def test_a_request_whose_last_byte_comes_while_the_router_stops_is_answered(tmp_path):
    async def main():
        async with Worker(echo) as worker:
            with Process(tmp_path, document([worker.port], settings=short(2_000))) as one:
                assert await one.up() == 200
                async with Front(one.port) as front, Front(one.port) as idle:
                    whole = request(1, fields(id_(1), wait="2000"))
                    assert (await idle.ask(1, fields(id_(2))))[0] == 200
                    front.writer.write(whole[:-8])
                    one.process.send_signal(signal.SIGTERM)
                    assert await idle.closed()  # it has begun to end connections on which nothing is owed
                    front.writer.write(whole[-8:])
                    assert (await front.answer(1))[0] == 503
                    assert await front.closed()
                assert await one.ended() == 0

    run(main())


@pytest.mark.parametrize("longest_s", [0.001, 0.05, 0.1, 0.25, 1.0, 3.0, 20.0])
def test_the_schedule_leaves_time_for_each_step_before_sigkill_may_come(longest_s):
    schedule = ShutdownSchedule.of(longest_s)
    kill_s = min(longest_s, 3.0) + LAST_REQUEST_S
    steps = [LAST_REQUEST_S, schedule.take_s, schedule.answer_s, schedule.close_s, schedule.end_s, kill_s]
    assert steps == sorted(steps) and len(set(steps)) == len(steps)
