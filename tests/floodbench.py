"""A router process with usual clients beside a flood of bad ones, and what became of the usual requests.

As a command it plays one flood for longer and prints one JSON line:

    python tests/floodbench.py KIND [--seconds 10] [--usual 12] [--body 16000] [--half-core] [--new]
"""

import argparse
import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from platformbench import Front, Worker, document, fields, settings, worker_reply
from test_platform import RouterProcess, id_

WAIT_S = 1.25  # that a usual client waits
LATE_S = 0.55  # after its time, up to which an answer is late and not lost
LOST_S = 8.0  # without an answer by then a request counts as never answered
PAUSE_S = 0.05  # of a usual client between its requests
WORK_S = 0.03  # that a worker needs
CONNECTIONS, PROCESSES = 300, 2  # of bad clients; the platform allows 341 with 1,024 descriptors
CALM_S = 1.0


@dataclass
class Answer:
    """The answer to a usual request; status 0 if the connection ended, -1 if there was none."""

    status: int
    sent_s: float
    took_s: float


@dataclass
class Play:
    """What became of the usual requests, what the router logged, and what the workers did."""

    answers: list[Answer] = field(default_factory=list)
    figures: list[dict] = field(default_factory=list)
    served: Counter = field(default_factory=Counter)  # attempts of usual clients, and of bad ones

    def late(self):
        """Answers that came over half a second after their time, or never."""
        return [a for a in self.answers if a.status < 0 or a.took_s > WAIT_S + LATE_S]

    def took_s(self, share):
        """The time within which this share of the requests was answered."""
        times = sorted(answer.took_s for answer in self.answers)
        return times[min(len(times) - 1, int(len(times) * share))]

    def summary(self):
        """The play in one flat object."""
        return {
            "requests": len(self.answers), "late": len(self.late()),
            "statuses": dict(Counter(answer.status for answer in self.answers)),
            "p50_s": round(self.took_s(0.5), 3), "p99_s": round(self.took_s(0.99), 3),
            "max_s": round(self.took_s(1.0), 3), "served": dict(self.served),
            "lag_ms": [line["lag_ms"] for line in self.figures], "memory_mb": self.figures[-1]["memory_mb"],
            "replies": self.figures[-1]["replies"], "reads": self.figures[-1].get("reads"),
        }  # fmt: skip


class Usual:
    """A usual client: one request after the other, on one connection or on a new one each."""

    def __init__(self, play, port, number, body_bytes, on_new_connections):
        self.play, self.port, self.number, self.body = play, port, number, b"u" * body_bytes
        self.on_new_connections, self.stopping = on_new_connections, False

    async def run(self):
        front, count = None, 0
        while not self.stopping:
            count += 1
            if front is None:
                front = await Front(self.port).__aenter__()
            began = time.monotonic()
            wait = str(int(WAIT_S * 1e3))
            ask = front.ask(count, fields(id_(self.number << 20 | count), wait=wait), self.body)
            try:
                status = (await asyncio.wait_for(ask, LOST_S))[0]
            except TimeoutError:
                status = -1
            self.play.answers.append(Answer(status, began, time.monotonic() - began))
            if self.on_new_connections or status <= 0:
                front.writer.close()
                front = None
            await asyncio.sleep(PAUSE_S)
        if front is not None:
            front.writer.close()


def flood_settings():
    """Settings with a deadline of twice the time that the usual clients wait."""
    configuration = settings()
    for request_class in configuration["lanes"]:
        request_class |= {"target-ms": 600.0, "deadline-ms": 2_500.0}
    return configuration


@contextmanager
def flood(port, kind, connections=CONNECTIONS):
    """Bad clients in processes of their own."""
    command = [sys.executable, "-B", str(Path(__file__).with_name("request_flooder.py"))]
    processes = [
        subprocess.Popen([*command, str(port), kind, str(connections // PROCESSES)]) for _ in range(PROCESSES)
    ]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


@contextmanager
def sharing_its_core(process, share):
    """With `share`, a router process is held to one core, beside a process that computes."""
    if not share:
        yield
        return
    cores = sorted(os.sched_getaffinity(0))
    core = cores[-1 - int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:]) % len(cores)]  # its own
    os.sched_setaffinity(process.pid, {core})
    spin = "import threading, os\nthreading.Timer(90, os._exit, (0,)).start()\nwhile True: pass"
    spinner = subprocess.Popen([sys.executable, "-c", spin])
    try:
        os.sched_setaffinity(spinner.pid, {core})
        yield
    finally:
        spinner.kill()
        spinner.wait()


def counting_worker(play):
    """A worker that runs each request for `WORK_S`, and counts by its id whose it is."""

    async def answer(worker, writer, arguments):
        if arguments[0] == b"FN":
            play.served["usual" if arguments[1].startswith(b"0000") else "bad"] += 1
            reply = worker_reply(arguments[1], b"DONE", b"why=reused", b"d")
            asyncio.get_running_loop().call_later(WORK_S, writer.write, reply)
        elif arguments[0] == b"SPAWN":
            writer.write(worker_reply(arguments[1], b"DONE", b"instances=1"))

    return answer


async def play_flood(
    folder,
    kind,
    seconds=3.0,
    usual=12,
    body_bytes=16_000,
    half_core=False,
    new=False,
    connections=CONNECTIONS,
):
    """Play usual clients beside a flood; returns the `Play`."""
    play = Play()
    async with Worker(counting_worker(play)) as a, Worker(counting_worker(play)) as b:
        configuration = document([a.port, b.port], sockets=1_024, settings=flood_settings())
        with RouterProcess(folder, configuration) as router, sharing_its_core(router.process, half_core):
            log = asyncio.ensure_future(asyncio.to_thread(router.process.stderr.read))
            assert await router.up() == 200
            clients = [Usual(play, router.port, n, body_bytes, new) for n in range(1, usual + 1)]
            tasks = [asyncio.ensure_future(client.run()) for client in clients]
            await asyncio.sleep(CALM_S)
            if kind != "none":
                with flood(router.port, kind, connections):
                    await asyncio.sleep(seconds)
            else:
                await asyncio.sleep(seconds)
            for client in clients:
                client.stopping = True
            await asyncio.gather(*tasks)
            assert router.process.poll() is None
            router.process.send_signal(signal.SIGTERM)
            lines = [json.loads(line) for line in (await log).splitlines() if b'"figures"' in line]
            play.figures = [line for line in lines if line["event"] == "figures"]
    return play


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("kind")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--usual", type=int, default=12)
    parser.add_argument("--body", type=int, default=16_000)
    parser.add_argument("--connections", type=int, default=CONNECTIONS)
    parser.add_argument("--half-core", action="store_true")
    parser.add_argument("--new", action="store_true")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        play = asyncio.run(
            play_flood(
                Path(folder),
                args.kind,
                args.seconds,
                args.usual,
                args.body,
                args.half_core,
                args.new,
                args.connections,
            )
        )
    print(json.dumps(vars(args) | play.summary()))


if __name__ == "__main__":
    main()
