"""A real router process with its list and calls: what a hollow one leaves out, at the same size."""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import psutil

from swiftwell.scale import hollow_ends as ends
from swiftwell.scale.cases import ListCase
from swiftwell.scale.popularity import Popularity

READY_S = 30.0  # s for a router to serve its first request
SETTLE_S = 1.0  # s between its first request and the measurement
POLL_S = 0.002


@dataclass(frozen=True, slots=True)
class ListResult:
    """`start_s` to the first served request; processor time and memory are the process's."""

    start_s: float
    calls: int
    in_time: float  # share
    cores: float  # of one core, with calls and changes
    call_us: float  # processor time a call, changes included
    memory_mb: float
    list_bytes_per_s: float
    changes: int
    descriptors: int


def free_port() -> int:
    """A port of loopback that was free just now."""
    with socket.socket() as free:
        free.bind((ends.HOST, 0))
        return free.getsockname()[1]


class RouterProcess:
    """`python -m swiftwell.platform`; `root` is the checkout that it runs from."""

    def __init__(self, configuration: dict[str, object], root: str = ".", cpu: int | None = None) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            json.dump(configuration, file)
        self._file = Path(file.name)
        words = [sys.executable, "-B", "-m", "swiftwell.platform"]
        environment = os.environ | {"EDGE_CONFIG": file.name}
        self._process = subprocess.Popen(words, cwd=root, stderr=subprocess.DEVNULL, env=environment)
        self.stats = psutil.Process(self._process.pid)
        if cpu is not None:
            self.stats.cpu_affinity([cpu])

    def cpu_s(self) -> float:
        """Processor time so far."""
        times = self.stats.cpu_times()
        return times.user + times.system

    def end(self) -> None:
        """Kill it and wait."""
        self._process.kill()
        self._process.wait()
        self._file.unlink()


async def connected(port: int, within_s: float = READY_S) -> ends.FrontServer:
    """A connection on which one request has been served; raises TimeoutError."""
    until = time.monotonic() + within_s
    while time.monotonic() < until:
        try:
            front = await ends.FrontServer.connect(port)
        except OSError:
            await asyncio.sleep(0.02)
            continue
        if await front.ask(0):
            return front
        front.close()
        await asyncio.sleep(0.02)
    raise TimeoutError(f"the router served nothing within {within_s} s")


async def run(case: ListCase, root: str = ".") -> ListResult:
    """Play one case."""
    worker = await asyncio.start_server(ends.serve_worker, ends.HOST, 0, backlog=512)
    worker_port = worker.sockets[0].getsockname()[1]
    service = ends.JournalService(case.workers, case.changes_per_s, worker_port)
    journal = await asyncio.start_server(service.serve, ends.HOST, 0)
    port = free_port()
    told = ends.configuration(port, worker_port, journal.sockets[0].getsockname()[1], case.workers, 1_400)
    began = time.monotonic()
    router = RouterProcess(told, root)
    try:
        front = await connected(port)
        start_s = time.monotonic() - began
        await asyncio.sleep(SETTLE_S)
        return await _measure(case, router, front, service, start_s)
    finally:
        router.end()
        worker.close()
        journal.close()


async def _measure(
    case: ListCase,
    router: RouterProcess,
    front: ends.FrontServer,
    service: ends.JournalService,
    start_s: float,
) -> ListResult:
    chance, popularity = random.Random(1), Popularity(case.functions)
    before, written, changes = router.cpu_s(), service.written, service.changes
    began, asked = time.monotonic(), []
    while (spent := time.monotonic() - began) < case.seconds:
        while len(asked) < case.calls_per_s * spent:
            asked.append(asyncio.ensure_future(front.ask(len(asked) + 1, popularity.draw(chance))))
        await asyncio.sleep(POLL_S)
    cpu_s, memory, descriptors = (
        router.cpu_s() - before,
        router.stats.memory_info().rss,
        router.stats.num_fds(),
    )
    served = await asyncio.gather(*asked)
    front.close()
    return ListResult(
        start_s=round(start_s, 3),
        calls=len(served),
        in_time=round(sum(served) / max(1, len(served)), 4),
        cores=round(cpu_s / case.seconds, 4),
        call_us=round(cpu_s / max(1, len(served)) * 1e6, 1),
        memory_mb=round(memory / 1e6, 1),
        list_bytes_per_s=round((service.written - written) / case.seconds, 1),
        changes=service.changes - changes,
        descriptors=descriptors,
    )
