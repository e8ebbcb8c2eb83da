"""What a flood of client connections costs a router, and what is left for its other clients.

    python -m benchmarks.connection_flood [--rates 0 200 500 1000 2000] [--seconds 4] [--roots . OTHER]

A real router process (`python -m swiftwell.platform`) on one core, a stand-in worker that answers at once,
one steady client with `CALLS` requests a second on kept connections and on new ones, and a process that opens
so many connections a second and says nothing on them.  `--roots` names checkouts of the program; their turns
alternate, so that two builds are measured beside each other.  One JSON line a turn.  Not run in CI: it
measures time.
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
from swiftwell.scale.real_router import RouterProcess, connect_when_ready, free_port

CALLS = 60  # requests a second of the steady client: what a busy router of a large fleet sees
NEW_EVERY = 4  # every so many requests come on a connection of their own
WITHIN_S = 0.4  # s in which an answer is useful
CPU = 1  # the core that the router has to itself
MAX_HELD = 1_500  # connections that the flood holds before it closes the oldest
CLOSED_AT_ONCE = 500


class Client:
    """The steady client."""

    def __init__(self, port: int) -> None:
        self.port, self._kept, self.times = port, None, []

    async def call(self, number: int) -> None:
        """One request; its time is noted, infinite where it was not served."""
        began = time.monotonic()
        try:
            served = await self._exchange(number)
        except OSError:
            served = False
        self.times.append(time.monotonic() - began if served else math.inf)

    async def _exchange(self, number: int) -> bool:
        if number % NEW_EVERY:
            if self._kept is None or self._kept.closed_by_router:
                self._kept = await FrontServer.connect(self.port)
            return await self._kept.call(number)
        front = await FrontServer.connect(self.port)
        try:
            return await front.call(number)
        finally:
            front.close()


def _flood(port: int, rate: float, seconds: float) -> None:
    """Open connections at a rate and say nothing; those that the router ended are closed as they are seen."""
    began, opened, held = time.monotonic(), 0, []
    while (spent := time.monotonic() - began) < seconds:
        while opened < rate * spent:
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex((HOST, port))
            held.append(one)
            opened += 1
        if len(held) > MAX_HELD:
            for one in held[:CLOSED_AT_ONCE]:
                one.close()
            del held[:CLOSED_AT_ONCE]
        time.sleep(0.002)


async def _turn(root: str, rate: float, seconds: float) -> dict:
    worker = await asyncio.start_server(serve_worker, HOST, 0)
    port = free_port()
    told = configuration(port, worker.sockets[0].getsockname()[1])
    router = RouterProcess(told, root, CPU)
    try:
        (await connect_when_ready(port)).close()
        return await _measure(router, port, rate, seconds) | {"root": root, "rate": rate}
    finally:
        router.end()
        worker.close()


async def _measure(router: RouterProcess, port: int, rate: float, seconds: float) -> dict:
    client = Client(port)
    flood = multiprocessing.Process(target=_flood, args=(port, rate, seconds))
    flood.start()
    before, began = router.cpu_s(), time.monotonic()
    asked = []
    while (spent := time.monotonic() - began) < seconds:
        while len(asked) < CALLS * spent:
            asked.append(asyncio.ensure_future(client.call(len(asked) + 1)))
        await asyncio.sleep(0.002)
    cpu_s = router.cpu_s() - before
    await asyncio.gather(*asked)
    flood.join()
    times = sorted(client.times)
    return {
        "calls": len(times),
        "in_time": round(sum(one <= WITHIN_S for one in times) / len(times), 3),
        "p50_ms": round(min(times[len(times) // 2], DEADLINE_S) * 1e3, 1),
        "p99_ms": round(min(times[int(len(times) * 0.99)], DEADLINE_S) * 1e3, 1),
        "cores": round(cpu_s / seconds, 3),
    }


def main() -> int:
    """The command line; the exit code."""
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
            print(json.dumps(asyncio.run(_turn(root, rate, args.seconds))), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
