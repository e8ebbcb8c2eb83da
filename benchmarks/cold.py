"""Start without discovery: service and first answer by age of the saved list and share of wrong entries.

Compares with no list, a saved list that is trusted blindly, and a live list.  Each run is a whole day over
real sockets, without discovery except for the live list.

    python -m benchmarks.cold [--seeds 10] [--seconds 12] [--jobs 5] [--out docs/figures/cold.png]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
from pathlib import Path

from swiftwell.proof import days

AGES_S = (60.0, 3_600.0, 86_400.0, 864_000.0)
WRONG_SHARES = (0.0, 0.3, 0.9)


def day_text(mode: str, age: float, wrong: float, seconds: float) -> str:
    """Return the day cold-morning with these settings instead of its own."""
    base = (days.folder() / "cold-morning.kdl").read_text().split("\n")
    drop = ("saved", "list-down-s", "seconds", "doc")
    kept = [line for line in base if not line.startswith(drop)]
    down = 0.0 if mode == "live" else seconds + 60
    saved = "none" if mode == "live" else mode
    header = [f"seconds {seconds}", f'saved "{saved}"', f"saved-age-s {age}", f"saved-wrong {wrong}"]
    return "\n".join(['doc "start"', *header, f"list-down-s {down}", *kept])


async def run_day(limit: asyncio.Semaphore, folder: Path, name: str, day_text: str, seed: int) -> dict | None:
    """Run one day and return its verdict, or None if it printed none."""
    path = folder / f"{name}.kdl"
    path.write_text(day_text)
    async with limit:
        command = ("-m", "swiftwell", "day", "run", str(path), "--seed", str(seed), "--json")
        process = await asyncio.create_subprocess_exec(
            sys.executable, *command, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL
        )
        stdout, _ = await process.communicate()
    return json.loads(stdout) if stdout else None


async def measure(args: argparse.Namespace) -> dict[str, dict]:
    """Run all combinations of mode, age and share of wrong entries."""
    folder = Path(args.work)
    folder.mkdir(parents=True, exist_ok=True)
    cells = [("trust", age, wrong) for age in AGES_S for wrong in WRONG_SHARES]
    cells += [("blind", 86_400.0, wrong) for wrong in WRONG_SHARES]
    cells += [("none", 0.0, 0.0), *(("live", 0.0, wrong) for wrong in WRONG_SHARES)]
    limit = asyncio.Semaphore(args.jobs)
    results = {}
    names = [f"{mode}-{age:g}-{wrong:g}" for mode, age, wrong in cells]
    runs = await asyncio.gather(
        *(
            run_day(limit, folder, name, day_text(*cell, args.seconds), seed)
            for name, cell in zip(names, cells, strict=True)
            for seed in range(1, args.seeds + 1)
        )
    )
    for number, name in enumerate(names):
        found = [run for run in runs[number * args.seeds : (number + 1) * args.seeds] if run]
        # A day with a live list has no `start`: its service is that of the whole day.
        service = [run["worth"]["answered_in_time"] / max(1e-9, run["worth"]["asked"]) for run in found]
        starts = [run.get("start", {}) for run in found]
        first = [s["first_served_s"] for s in starts if s.get("first_served_s") is not None]
        results[name] = {
            "runs": len(found),
            "service": round(statistics.mean(service), 4) if service else None,
            "service_min": round(min(service), 4) if service else None,
            "first_s": round(statistics.median(first), 3) if first else None,
            "work_at_drained": round(statistics.mean(s.get("work_at_drained", 0) for s in starts), 1),
            "broken": sum(not run["rules_kept"] for run in found),
            "breaches": [breach for run in found for breach in run["breaches"]][:2],
        }
        print(name, results[name], flush=True)
    return results


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--jobs", type=int, default=5)
    parser.add_argument("--work", default="/tmp/cold-days")
    parser.add_argument("--out", default="")
    parsed = parser.parse_args()
    found = asyncio.run(measure(parsed))
    if parsed.out:
        Path(parsed.out).write_text(json.dumps(found, indent=1) + "\n")
