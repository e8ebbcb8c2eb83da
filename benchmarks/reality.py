"""The emulator held to the sockets: the same day files in both, over seeds.

    python -m benchmarks.reality bad-morning deploy-day --seeds 5 --at-a-time 4

Service (worth in time against worth asked), refusals, latency quantiles and the servers' work, as means over
seeds.  A seed does not make the same arrivals in both, as they draw from different generators: what is held
against each other are the means, with the spread of seeds beside them.
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
# What may differ: of service in points, of shares in points, of latencies and loads as a ratio.
TOLERANCE = {"service": 0.02, "refused": 0.02, "failed": 0.02, "p50": 0.25, "p99": 0.5, "loads": 0.25}


def figures(told: dict) -> dict[str, float]:
    """What is compared, of a verdict."""
    worth, calls = told["worth"], max(1, told["calls"])
    return {
        "service": worth["answered_in_time"] / worth["asked"],
        "refused": told["refused"] / calls,
        "failed": told["failed"] / calls,
        "p50": told["latency_ms"]["p50"],
        "p99": told["latency_ms"]["p99"],
        "loads": told.get("fetch", 0),
    }


async def over_sockets(name: str, seed: int, places: asyncio.Semaphore) -> dict[str, float]:
    async with places:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "swiftwell", "day", "run", name, "--seed", str(seed), "--json",
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        out, _ = await process.communicate()
        return figures(json.loads(out))


async def main(args: argparse.Namespace) -> int:
    places, outside = asyncio.Semaphore(args.at_a_time), 0
    seeds = range(1, args.seeds + 1)
    jobs = {
        name: [asyncio.ensure_future(over_sockets(name, seed, places)) for seed in seeds]
        for name in args.days
    }
    for name in args.days:
        real = await asyncio.gather(*jobs[name])
        emulated = [figures(Emulation(*days.load(name), seed=seed).run()) for seed in seeds]
        for figure in FIGURES:
            one, two = [row[figure] for row in real], [row[figure] for row in emulated]
            a, b = statistics.mean(one), statistics.mean(two)
            share = figure in ("service", "refused", "failed")
            gap = abs(b - a) if share else abs(b - a) / max(a, 1e-9)
            ok = gap <= TOLERANCE[figure]
            outside += not ok
            spread = f"({min(one):.3f} to {max(one):.3f}; {min(two):.3f} to {max(two):.3f})"
            told = f"{name:14} {figure:8} sockets {a:9.3f}  emulated {b:9.3f}  {spread}"
            print(told + ("" if ok else " OUTSIDE"))
    return 1 if outside else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("days", nargs="+")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--at-a-time", type=int, default=4)
    sys.exit(asyncio.run(main(parser.parse_args())))
