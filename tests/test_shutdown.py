"""Shutdown with short deadlines.

SIGKILL may come the longest deadline plus 0.7 s after SIGTERM, and clients send requests on their open
connections until then.  The tests run a real router process, many clients and a worker that hangs.
"""

import asyncio
import signal
import time

import pytest
from platformbench import Front, Worker, document, echo, fields, request, settings
from socketbench import run
from test_platform import RouterProcess, id_

from swiftwell.platform.shutdown import LAST_REQUEST_S, ShutdownSchedule

CLIENTS = 20


def settings_with_deadline(deadline_ms):
    changed = settings()
    for request_class in changed["lanes"]:
        request_class |= {"target-ms": deadline_ms / 2, "deadline-ms": deadline_ms}
    return changed


class SequentialClient:
    """Sends one request after the other on one connection until the router closes it."""

    def __init__(self, port, number, wait_ms):
        self.port, self.number, self.wait_ms = port, number, wait_ms
        self.answered = self.sent = 0
        self.reset = False
        self.last_sent = self.closed_at = 0.0

    async def run(self):
        async with Front(self.port) as front:
            while True:
                self.sent += 1
                self.last_sent = time.monotonic()
                try:
                    request_class = "consigna" if self.sent % 7 == 0 else "lectura"
                    parameters = fields(
                        id_(self.number * 100_000 + self.sent), request_class, wait=str(self.wait_ms)
                    )
                    status, _, _ = await front.ask(1, parameters)
                except ConnectionError:
                    self.reset = True
                    status = 0
                if not status:
                    self.closed_at = time.monotonic()
                    return
                self.answered += 1


async def stopped_under_load(folder, deadline_ms, play):
    """Sends SIGTERM to a router under load and returns the clients."""
    async with Worker(play) as worker:
        with RouterProcess(
            folder, document([worker.port], settings=settings_with_deadline(deadline_ms))
        ) as router_process:
            assert await router_process.up() == 200
            clients = [
                SequentialClient(router_process.port, number, deadline_ms) for number in range(1, CLIENTS + 1)
            ]
            tasks = [asyncio.ensure_future(client.run()) for client in clients]
            await asyncio.sleep(0.1)
            router_process.process.send_signal(signal.SIGTERM)
            await asyncio.gather(*tasks)
            assert await router_process.ended() == 0
    return clients


@pytest.mark.parametrize("deadline_ms", [50, 250])
def test_every_request_on_an_open_connection_is_answered_until_the_router_closes_it(tmp_path, deadline_ms):
    async def partly_hanging(worker, writer, arguments):
        if int(arguments[1], 16) % 5:  # one in five is never answered
            await echo(worker, writer, arguments)

    async def main():
        for client in await stopped_under_load(tmp_path, deadline_ms, partly_hanging):
            # The last request crossed the close of its connection; every other one was answered.
            assert client.answered == client.sent - 1 > 0
            # Closing with unread data would be a reset, which discards an answer that is on its way.
            assert not client.reset

    run(main())


def test_a_request_whose_last_byte_comes_during_the_shutdown_is_answered(tmp_path):
    async def main():
        async with Worker(echo) as worker:
            with RouterProcess(
                tmp_path, document([worker.port], settings=settings_with_deadline(2_000))
            ) as router_process:
                assert await router_process.up() == 200
                async with Front(router_process.port) as front, Front(router_process.port) as idle:
                    data = request(1, fields(id_(1), wait="2000"))
                    assert (await idle.ask(1, fields(id_(2))))[0] == 200
                    front.writer.write(data[:-8])
                    router_process.process.send_signal(signal.SIGTERM)
                    assert await idle.closed()  # it closes connections on which no answer is due
                    front.writer.write(data[-8:])
                    assert (await front.answer(1))[0] == 503
                    assert await front.closed()
                assert await router_process.ended() == 0

    run(main())


@pytest.mark.parametrize("longest_s", [0.001, 0.05, 0.1, 0.25, 1.0, 3.0, 20.0])
def test_the_schedule_leaves_time_for_each_step_before_sigkill_may_come(longest_s):
    schedule = ShutdownSchedule.of(longest_s)
    kill_s = min(longest_s, 3.0) + LAST_REQUEST_S
    steps = [LAST_REQUEST_S, schedule.refuse_s, schedule.answer_s, schedule.close_s, schedule.exit_s, kill_s]
    assert steps == sorted(steps) and len(set(steps)) == len(steps)
