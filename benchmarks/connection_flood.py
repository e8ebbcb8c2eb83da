"""Cost of a flood of client connections to a router, and the service that its other clients still get.

    python -m benchmarks.connection_flood [--rates 0 200 500 1000 2000] [--seconds 4] [--roots . OTHER]

A real router process (`python -m swiftwell.platform`) runs on one core with a stand-in worker that answers at
once.  A steady client sends `CALLS` requests per second on a kept connection and on new ones, while another
process opens connections at the given rate and sends nothing on them.  `--roots` names checkouts of the
program; their runs alternate, so that builds are measured under the same conditions.  Prints one JSON line
per run.  CI does not run it, because it measures time.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import multiprocessing
import socket
import sys
import time
from pathlib import Path

from swiftwell.scale.hollow_ends import DEADLINE_S, HOST, FrontServer, configuration, serve_worker
from swiftwell.scale.real_router import RouterProcess, connect_when_ready
from swiftwell.standins.ports import ReservedPort

CALLS = 60  # requests per second of the steady client: the load of a busy router of a large fleet
NEW_EVERY = 4  # every fourth request uses a new connection
USEFUL_WITHIN_S = 0.4  # an answer is useful within this time
ROUTER_CPU = 1  # core reserved for the router
MAX_OPEN_CONNECTIONS = 1_500  # connections that the flood holds before it closes the oldest
CLOSE_BATCH = 500  # connections that are closed when that limit is exceeded


class Client:
    """The steady client; `times` holds seconds per request."""

    def __init__(self, port: int) -> None:
        self.port, self._kept_connection, self.times = port, None, []

    async def call(self, number: int) -> None:
        """Send one request and record its time, infinite if it was not served."""
        started = time.monotonic()
        try:
            served = await self._exchange(number)
        except OSError:
            served = False
        self.times.append(time.monotonic() - started if served else math.inf)

    async def _exchange(self, number: int) -> bool:
        if number % NEW_EVERY:
            if self._kept_connection is None or self._kept_connection.closed_by_router:
                self._kept_connection = await FrontServer.connect(self.port)
            return await self._kept_connection.call(number)
        front = await FrontServer.connect(self.port)
        try:
            return await front.call(number)
        finally:
            front.close()


def _flood(port: int, rate: float, seconds: float) -> None:
    """Open connections at a rate without sending data; beyond the limit, close the oldest ones."""
    started, opened, connections = time.monotonic(), 0, []
    while (elapsed_s := time.monotonic() - started) < seconds:
        while opened < rate * elapsed_s:
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex((HOST, port))
            connections.append(connection)
            opened += 1
        if len(connections) > MAX_OPEN_CONNECTIONS:
            for connection in connections[:CLOSE_BATCH]:
                connection.close()
            del connections[:CLOSE_BATCH]
        time.sleep(0.002)


async def _run_once(root: str, rate: float, seconds: float) -> dict:
    worker = await asyncio.start_server(serve_worker, HOST, 0)
    reserved = ReservedPort()
    port = reserved.number
    config = configuration(port, worker.sockets[0].getsockname()[1])
    router = RouterProcess(config, root, ROUTER_CPU)
    try:
        (await connect_when_ready(port)).close()
        return await _measure(router, port, rate, seconds) | {"root": root, "rate": rate}
    finally:
        router.end()
        reserved.close()
        worker.close()


async def _measure(router: RouterProcess, port: int, rate: float, seconds: float) -> dict:
    client = Client(port)
    flood = multiprocessing.Process(target=_flood, args=(port, rate, seconds))
    flood.start()
    before, started = router.cpu_s(), time.monotonic()
    requests = []
    while (elapsed_s := time.monotonic() - started) < seconds:
        while len(requests) < CALLS * elapsed_s:
            requests.append(asyncio.ensure_future(client.call(len(requests) + 1)))
        await asyncio.sleep(0.002)
    cpu_s = router.cpu_s() - before
    await asyncio.gather(*requests)
    flood.join()
    times = sorted(client.times)
    return {
        "calls": len(times),
        "in_time": round(sum(call_s <= USEFUL_WITHIN_S for call_s in times) / len(times), 3),
        "p50_ms": round(min(times[len(times) // 2], DEADLINE_S) * 1e3, 1),
        "p99_ms": round(min(times[int(len(times) * 0.99)], DEADLINE_S) * 1e3, 1),
        "cores": round(cpu_s / seconds, 3),
    }


def main() -> int:
    """Run the command line and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rates", type=float, nargs="+", default=[0, 200, 500, 1_000, 2_000, 4_000])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--roots", nargs="+", default=["."])
    args = parser.parse_args()
    if args.seconds <= 0 or min(args.rates) < 0:
        parser.error("--seconds: expected more than 0; --rates: expected 0 or more")
    for root in args.roots:
        if not (Path(root) / "swiftwell" / "platform").is_dir():
            parser.error(f"--roots: {root}: expected a checkout of the program")
    for rate in args.rates:
        for root in args.roots:
            print(json.dumps(asyncio.run(_run_once(root, rate, args.seconds))), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
