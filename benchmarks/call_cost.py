"""Processor time of a router for each call, and the calls' latency, on one core.

A real router process (`python -m swiftwell.platform`) runs on one core with a stand-in worker that answers at
once.  `CONNECTIONS` front servers keep `OPEN_EACH` requests open on each of their connections.  `--roots`
names checkouts of the program; their runs alternate, so that builds are measured under the same conditions.
Prints one JSON line per run.  CI does not run it, because it measures time.

    python -m benchmarks.call_cost [--turns 5] [--seconds 4] [--roots . OTHER]
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import sys
import time
from pathlib import Path

from swiftwell.scale.hollow_ends import HOST, FrontServer, configuration, serve_worker
from swiftwell.scale.real_router import RouterProcess, connect_when_ready
from swiftwell.standins.ports import ReservedPort

CONNECTIONS, OPEN_EACH = 4, 8
ROUTER_CPU = 1  # core reserved for the router
WARM_UP_S = 1.0


async def _run_once(root: str, seconds: float) -> dict[str, object]:
    worker = await asyncio.start_server(serve_worker, HOST, 0)
    reserved = ReservedPort()
    port = reserved.number
    router = RouterProcess(configuration(port, worker.sockets[0].getsockname()[1]), root, ROUTER_CPU)
    try:
        (await connect_when_ready(port)).close()
        fronts = [await FrontServer.connect(port) for _ in range(CONNECTIONS)]
        ids = itertools.count(1)
        await _call_until(fronts, ids, time.monotonic() + WARM_UP_S)
        before = router.cpu_s()
        times = await _call_until(fronts, ids, time.monotonic() + seconds)
        cpu_s = router.cpu_s() - before
        for front in fronts:
            front.close()
    finally:
        router.end()
        reserved.close()
        worker.close()
    times.sort()
    return {
        "root": root,
        "calls": len(times),
        "call_us": round(cpu_s / len(times) * 1e6, 1),
        "p50_ms": round(times[len(times) // 2] * 1e3, 2),
        "p99_ms": round(times[int(len(times) * 0.99)] * 1e3, 2),
    }


async def _call_until(fronts: list[FrontServer], ids: itertools.count, end_s: float) -> list[float]:
    """Keep the front servers busy until `end_s`, monotonic; returns the seconds of each served call."""
    times: list[float] = []

    async def call_again_and_again(front: FrontServer) -> None:
        while time.monotonic() < end_s:
            started = time.monotonic()
            if await front.call(next(ids)):
                times.append(time.monotonic() - started)

    await asyncio.gather(*(call_again_and_again(front) for front in fronts for _ in range(OPEN_EACH)))
    return times


def main() -> int:
    """Run the command line and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--turns", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--roots", nargs="+", default=["."])
    args = parser.parse_args()
    if args.seconds <= 0 or args.turns < 1:
        parser.error("--seconds: expected more than 0; --turns: expected 1 or more")
    for root in args.roots:
        if not (Path(root) / "swiftwell" / "platform").is_dir():
            parser.error(f"--roots: {root}: expected a checkout of the program")
    for _ in range(args.turns):
        for root in args.roots:
            print(json.dumps(asyncio.run(_run_once(root, args.seconds))), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
