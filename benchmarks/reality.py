"""Compares the emulator with real sockets: the same day files in both, over seeds.

    python -m benchmarks.reality bad-morning deploy-day --seeds 5 --at-a-time 4

Compares service (worth in time over worth asked), refusals, latency quantiles and the work of the servers.
A seed does not give the same arrivals in both, as they use different generators, so the means over the seeds
are compared; the range over the seeds is printed beside them.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys

from swiftwell.lab.emulator import Emulation
from swiftwell.proof import days

FIGURES = ("service", "refused", "failed", "p50", "p99", "loads")
# Allowed differences: absolute for service and shares, relative for latencies and loads.
TOLERANCE = {"service": 0.02, "refused": 0.02, "failed": 0.02, "p50": 0.25, "p99": 0.5, "loads": 0.25}


def figures(verdict: dict) -> dict[str, float]:
    """Return the compared figures of a verdict."""
    worth, calls = verdict["worth"], max(1, verdict["calls"])
    return {
        "service": worth["answered_in_time"] / worth["asked"],
        "refused": verdict["refused"] / calls,
        "failed": verdict["failed"] / calls,
        "p50": verdict["latency_ms"]["p50"],
        "p99": verdict["latency_ms"]["p99"],
        "loads": verdict.get("fetch", 0),
    }


async def over_sockets(name: str, seed: int, limit: asyncio.Semaphore) -> dict[str, float]:
    async with limit:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "swiftwell", "day", "run", name, "--seed", str(seed), "--json",
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        stdout, _ = await process.communicate()
        return figures(json.loads(stdout))


async def main(args: argparse.Namespace) -> int:
    limit, outside = asyncio.Semaphore(args.at_a_time), 0
    seeds = range(1, args.seeds + 1)
    jobs = {
        name: [asyncio.ensure_future(over_sockets(name, seed, limit)) for seed in seeds] for name in args.days
    }
    for name in args.days:
        real = await asyncio.gather(*jobs[name])
        emulated = [figures(Emulation(*days.load(name), seed=seed).run()) for seed in seeds]
        for figure in FIGURES:
            sockets, virtual = [row[figure] for row in real], [row[figure] for row in emulated]
            real_mean, emulated_mean = statistics.mean(sockets), statistics.mean(virtual)
            share = figure in ("service", "refused", "failed")
            gap = (
                abs(emulated_mean - real_mean)
                if share
                else abs(emulated_mean - real_mean) / max(real_mean, 1e-9)
            )
            ok = gap <= TOLERANCE[figure]
            outside += not ok
            spread = f"({min(sockets):.3f} to {max(sockets):.3f}; {min(virtual):.3f} to {max(virtual):.3f})"
            line = f"{name:14} {figure:8} sockets {real_mean:9.3f}  emulated {emulated_mean:9.3f}  {spread}"
            print(line + ("" if ok else " OUTSIDE"))
    return 1 if outside else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("days", nargs="+")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--at-a-time", type=int, default=4)
    sys.exit(asyncio.run(main(parser.parse_args())))
