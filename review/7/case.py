"""Case 7: a few bad clients make the router exceed its memory, for which the platform kills it."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins2 as sb

MEMORY_MB = 128  # "32 to 192 MB depending on language and day"
BAD, USUAL = 32, 8  # connections, of the 341 that clients may hold
CALM_S, FLOOD_S = 1.5, 30.0
LOOK_S = 0.05


async def usual(record: sb.Record, port: int, number: int, stop: asyncio.Event) -> None:
    """A usual client: one request after the other."""
    count = 0
    with contextlib.suppress(OSError):
        async with sb.Client(port) as client:
            while not stop.is_set() and not client.closed.is_set():
                count += 1
                id_ = f"{number * 0x10000 + count:016x}"
                status, _, _ = await client.ask(id_, kind="lectura", wait_ms=2_500, limit_s=6.0)
                record.add("answered" if status > 0 else "lost", id=id_, status=status)
                await asyncio.sleep(0.1)


async def case(record: sb.Record) -> str | None:
    workers = [await sb.Worker(f"s-{number}", record, work_s=0.03).start() for number in (1, 2)]
    endpoints = [sb.endpoint(number, worker.port) for number, worker in enumerate(workers, 1)]
    journal = await sb.Journal(record, endpoints).start()
    router = sb.Router(record, endpoints, journal.port, sb.settings(), memory_mb=MEMORY_MB)
    bad: asyncio.subprocess.Process | None = None
    stop, peak_mb, killed = asyncio.Event(), 0.0, False
    tasks: list[asyncio.Task] = []
    try:
        await router.start()
        tasks = [
            asyncio.ensure_future(usual(record, router.port, number, stop)) for number in range(1, USUAL + 1)
        ]
        await asyncio.sleep(CALM_S)
        record.add("memory", mb=round(router.memory_mb()))
        if sb.TROUBLE:
            flood = str(Path(__file__).resolve().parent / "flood.py")
            bad = await asyncio.create_subprocess_exec(
                sys.executable, "-B", flood, str(router.port), str(BAD)
            )
            record.add("bad-clients", connections=BAD)
        for look in range(int(FLOOD_S / LOOK_S)):
            await asyncio.sleep(LOOK_S)
            if router.process.returncode is not None:
                return "the router ended by itself"
            memory_mb = router.memory_mb()
            peak_mb = max(peak_mb, memory_mb)
            if look % 10 == 0:
                record.add("memory", mb=round(memory_mb))
            if memory_mb > MEMORY_MB:
                record.add("platform", kills="router", memory_mb=round(memory_mb), limit_mb=MEMORY_MB)
                router.send(signal.SIGKILL)
                await router.process.wait()
                killed = True
                break
        stop.set()
        await asyncio.gather(*tasks)
    finally:
        stop.set()
        if bad is not None:
            bad.kill()
            await bad.wait()
        await router.end()
    record.add("memory", peak_mb=round(peak_mb), limit_mb=MEMORY_MB)
    if killed:
        return f"the router held {peak_mb:.0f} MB of {MEMORY_MB} MB, and the platform killed it"
    return None


if __name__ == "__main__":
    sb.main(sys.argv[1], case)
