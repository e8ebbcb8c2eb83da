"""A real router process with a worker list and calls, for comparison with a hollow one of the same size."""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import psutil

from swiftwell.scale import hollow_ends as stand_ins
from swiftwell.scale.cases import ListCase
from swiftwell.scale.popularity import Popularity
from swiftwell.standins.ports import ReservedPort

READY_S = 30.0  # time within which a router must serve its first request
SETTLE_S = 1.0  # pause between its first request and the measurement
POLL_S = 0.002


@dataclass(frozen=True, slots=True)
class ListResult:
    """`start_s` is until the first served request; processor time and memory are those of the process."""

    start_s: float
    calls: int
    in_time: float  # share of the calls that were served by their deadline
    cores: float  # share of one core, with calls and changes
    call_us: float  # processor time per call, changes included
    memory_mb: float
    list_bytes_per_s: float
    changes: int
    descriptors: int


class RouterProcess:
    """A process of `python -m swiftwell.platform`, run from the checkout `root`."""

    def __init__(self, configuration: dict[str, object], root: str = ".", cpu: int | None = None) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            json.dump(configuration, file)
        self._file = Path(file.name)
        command = [sys.executable, "-B", "-m", "swiftwell.platform"]
        environment = os.environ | {"EDGE_CONFIG": file.name}
        self._process = subprocess.Popen(command, cwd=root, stderr=subprocess.DEVNULL, env=environment)
        self.stats = psutil.Process(self._process.pid)
        if cpu is not None:
            self.stats.cpu_affinity([cpu])

    def cpu_s(self) -> float:
        """Return the processor time that the process has used."""
        times = self.stats.cpu_times()
        return times.user + times.system

    def end(self) -> None:
        """Kill the process and wait for its exit."""
        self._process.kill()
        self._process.wait()
        self._file.unlink()


async def connect_when_ready(port: int, timeout_s: float = READY_S) -> stand_ins.FrontServer:
    """Return a connection on which a request has been served; raises TimeoutError."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            front = await stand_ins.FrontServer.connect(port)
        except OSError:
            await asyncio.sleep(0.02)
            continue
        if await front.call(0):
            return front
        front.close()
        await asyncio.sleep(0.02)
    raise TimeoutError(f"router did not serve a request within {timeout_s} s")


async def run(case: ListCase, root: str = ".") -> ListResult:
    """Run one case."""
    worker = await asyncio.start_server(stand_ins.serve_worker, stand_ins.HOST, 0, backlog=512)
    worker_port = worker.sockets[0].getsockname()[1]
    service = stand_ins.JournalService(case.workers, case.changes_per_s, worker_port)
    journal = await asyncio.start_server(service.serve, stand_ins.HOST, 0)
    reserved = ReservedPort()
    port = reserved.number
    configuration = stand_ins.configuration(
        port, worker_port, journal.sockets[0].getsockname()[1], case.workers, 1_400
    )
    started = time.monotonic()
    router = RouterProcess(configuration, root)
    try:
        front = await connect_when_ready(port)
        start_s = time.monotonic() - started
        await asyncio.sleep(SETTLE_S)
        return await _measure(case, router, front, service, start_s)
    finally:
        router.end()
        reserved.close()
        worker.close()
        journal.close()


async def _measure(
    case: ListCase,
    router: RouterProcess,
    front: stand_ins.FrontServer,
    service: stand_ins.JournalService,
    start_s: float,
) -> ListResult:
    rng, popularity = random.Random(1), Popularity(case.functions)
    before, bytes_written, changes = router.cpu_s(), service.bytes_written, service.changes
    started, requests = time.monotonic(), []
    while (elapsed_s := time.monotonic() - started) < case.seconds:
        while len(requests) < case.calls_per_s * elapsed_s:
            requests.append(asyncio.ensure_future(front.call(len(requests) + 1, popularity.draw(rng))))
        await asyncio.sleep(POLL_S)
    cpu_s, memory, descriptors = (
        router.cpu_s() - before,
        router.stats.memory_info().rss,
        router.stats.num_fds(),
    )
    served = await asyncio.gather(*requests)
    front.close()
    return ListResult(
        start_s=round(start_s, 3),
        calls=len(served),
        in_time=round(sum(served) / max(1, len(served)), 4),
        cores=round(cpu_s / case.seconds, 4),
        call_us=round(cpu_s / max(1, len(served)) * 1e6, 1),
        memory_mb=round(memory / 1e6, 1),
        list_bytes_per_s=round((service.bytes_written - bytes_written) / case.seconds, 1),
        changes=service.changes - changes,
        descriptors=descriptors,
    )
