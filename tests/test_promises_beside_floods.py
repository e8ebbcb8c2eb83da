"""What the router promises beside bad clients that send requests at full speed; half of a core too.

Guards against: withdrawals, changes of the worker list and signals that wait behind the requests of others.
"""

import asyncio
import json
import os
import random
import signal
import time
from collections import Counter

import pytest
from floodbench import LATE_S, LOST_S, WAIT_S, flood, flood_settings, sharing_its_core
from platformbench import Front, Journal, Worker, document, fields, frame, request, until, worker_reply
from socketbench import run
from test_platform import RouterProcess, id_

from swiftwell.fronts.fastcgi import codec

FLOOD_S = float(os.environ.get("SWIFTWELL_FLOOD_S", "3"))
CLIENTS = 12
GRACE_S = 0.5  # for which calls may still be sent to a worker that drains
SLACK_S = 0.05  # by which each time limit is longer on sockets
LEFT_S = 0.1  # after its client has left, for which an attempt may begin
KILL_S = 2.5 + 0.7  # after SIGTERM: the longest deadline, and the time for which requests still come
LAST_REQUEST_S = 0.6  # after SIGTERM, within which these clients send requests
WORK_S = 0.03


class Client:
    """A usual client, which leaves some of its requests: by an ABORT, or by closing its connection."""

    def __init__(self, port, number, record):
        self.port, self.number, self.record, self.stopping = port, number, record, False
        self.random = random.Random(number)

    async def run(self):
        front, count = None, 0
        while not self.stopping:
            if front is None:
                try:
                    front = await Front(self.port).__aenter__()
                except OSError:
                    await asyncio.sleep(0.02)
                    continue
            count += 1
            id_text = id_(self.number << 20 | count)
            request_class = self.random.choice(("lectura", "consigna"))
            parameters = fields(id_text, request_class, wait=str(int(WAIT_S * 1e3)))
            front.writer.write(request(count, parameters, b"u" * self.random.choice((0, 16_000))))
            if self.random.random() < 0.4:
                front = await self.leave(front, count, id_text)
            elif not await self.answered(front, count, id_text, request_class):
                front = None
            await asyncio.sleep(0.03)
        if front is not None:
            front.writer.close()

    async def leave(self, front, number, id_text):
        """Withdraw a request after a moment; returns the connection if it stays open."""
        await asyncio.sleep(self.random.uniform(0.0, 0.3))
        closes = self.random.random() < 0.5
        if closes:
            front.writer.transport.abort()
        else:
            front.writer.write(codec.record(codec.ABORT, number, b""))
        self.record.left[id_text] = time.monotonic()
        if closes:
            return None
        await front.answer(number)  # the answer, or the end that follows an ABORT
        return front

    async def answered(self, front, number, id_text, request_class):
        """Whether a request got its answer, which is recorded."""
        began_s = time.monotonic()
        try:
            status = (await asyncio.wait_for(front.answer(number), LOST_S))[0]
        except TimeoutError:
            status = -1
        self.record.answers[id_text] = (request_class, status, began_s, time.monotonic() - began_s)
        return status > 0


class Record:
    """What the clients and workers saw, by monotonic s."""

    def __init__(self):
        self.left, self.answers, self.arrivals = {}, {}, []
        self.orders = []  # times of load orders, by worker
        self.told_s = self.stopped_s = float("inf")

    def worker(self, number):
        async def play(worker, writer, arguments):
            if arguments[0] == b"FN":
                self.arrivals.append((time.monotonic(), number, arguments[1].decode()))
                reply = worker_reply(arguments[1], b"DONE", b"why=reused", b"d")
                asyncio.get_running_loop().call_later(WORK_S, writer.write, reply)
            elif arguments[0] == b"SPAWN":
                self.orders.append((time.monotonic(), number))
                writer.write(worker_reply(arguments[1], b"DONE", b"instances=1"))
            elif arguments[0] == b"HELO":
                writer.write(worker_reply(arguments[1], b"FIT"))

        return Worker(play)

    def check(self):
        """Check every promise; returns figures to print."""
        arrived = {id_text: at_s for at_s, _, id_text in self.arrivals}
        runs = Counter(id_text for _, _, id_text in self.arrivals)
        after_leaving = [arrived[id_text] - at_s for id_text, at_s in self.left.items() if id_text in arrived]
        sends = [(at_s, number) for at_s, number, _ in self.arrivals] + self.orders
        after_drain = [at_s - self.told_s for at_s, number in sends if number == 3]
        latest_s = max(took_s for _, _, _, took_s in self.answers.values())
        # A connection that the router closes once it stops may cross a request.
        owed = [answer for answer in self.answers.values() if answer[2] < self.stopped_s - 0.05]
        print(f"answers {len(self.answers)}, left {len(self.left)}, latest answer {latest_s:.2f} s,")
        print(f"latest arrival after its client left {max(after_leaving, default=0):.3f} s,")
        print(f"latest send after the drain was told {max(after_drain):.3f} s")
        assert len(self.answers) > 2 * CLIENTS and len(self.left) > CLIENTS
        assert all(status > 0 for _, status, _, _ in owed)
        assert latest_s <= WAIT_S + LATE_S
        assert max(after_leaving, default=0) <= LEFT_S + SLACK_S
        assert max(after_drain) <= GRACE_S + SLACK_S
        for id_text, (request_class, status, _, _) in self.answers.items():
            if request_class == "consigna":
                assert runs[id_text] <= 1
                assert status not in (429, 503) or not runs[id_text]


def settings_with_grace():
    configuration = flood_settings()
    configuration["rules"]["drain-grace-ms"] = GRACE_S * 1e3
    return configuration


@pytest.mark.parametrize("kind, half_core", [("small", False), ("mixed", True), ("withdrawn", True)])
def test_every_promise_holds_beside_a_flood(tmp_path, kind, half_core):
    async def main():
        record, drains = Record(), asyncio.Event()

        async def serve(service, number, writer):
            while True:
                if drains.is_set():
                    writer.write(frame(2, 2, [(3, workers[2].port, 1)]))
                    return
                writer.write(frame(1))
                await asyncio.sleep(0.05)

        async with (
            record.worker(1) as first,
            record.worker(2) as second,
            record.worker(3) as third,
            Journal(serve) as journal,
        ):
            workers = [first, second, third]
            configuration = document(
                [worker.port for worker in workers], journal.port, 1_024, settings=settings_with_grace()
            )
            with RouterProcess(tmp_path, configuration) as router:
                reader = asyncio.ensure_future(asyncio.to_thread(router.process.stderr.read))
                with sharing_its_core(router.process, half_core):
                    assert await router.up() == 200
                    clients = [Client(router.port, number, record) for number in range(1, CLIENTS + 1)]
                    tasks = [asyncio.ensure_future(client.run()) for client in clients]
                    await until(lambda: record.answers)
                    with flood(router.port, kind):
                        await asyncio.sleep(FLOOD_S / 2)
                        drains.set()
                        record.told_s = time.monotonic() + SLACK_S  # by the next frame
                        await asyncio.sleep(FLOOD_S / 2)
                        router.process.send_signal(signal.SIGTERM)
                        record.stopped_s = time.monotonic() + LAST_REQUEST_S
                        await asyncio.sleep(LAST_REQUEST_S)
                        for client in clients:
                            client.stopping = True
                        left_s = record.stopped_s - LAST_REQUEST_S + KILL_S - time.monotonic()
                        ended = await asyncio.wait_for(router.ended(), left_s)
                    await asyncio.gather(*tasks)
                    assert ended == 0
                    log = await reader
            figures = [json.loads(line) for line in log.splitlines() if b'"figures"' in line]
            print("highest lag", max(line["lag_ms"] for line in figures if line["event"] == "figures"))
            record.check()

    run(main())
