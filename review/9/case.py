"""Case 9: an attempt whose client has left begins when the path to its worker is back."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins2 as sb

GONE_MS = 100  # "an attempt that begins more than 0.1 s later is a break"
SLACK_MS = 50  # "every time limit is 50 ms longer"
REQUESTS = 6


async def case(record: sb.Record) -> str | None:
    workers, paths = [], []
    for number in (1, 2):
        worker = await sb.Worker(f"s-{number}", record, work_s=0.05).start()
        paths.append(await sb.NetworkPath(record, f"s-{number}", worker.port).start())
        workers.append(worker)
    endpoints = [sb.endpoint(number, path.port) for number, path in enumerate(paths, 1)]
    journal = await sb.Journal(record, endpoints).start()
    router = sb.Router(record, endpoints, journal.port, sb.settings())
    try:
        await router.start()
        async with sb.Client(router.port) as client:
            for number in range(12):  # ordinary traffic
                status, _, _ = await client.ask(f"{number:016x}", kind="consigna")
                record.add("answered", id=f"{number:016x}", status=status)
                await asyncio.sleep(0.05)
            if sb.TROUBLE:
                for path in paths:
                    path.cut()
            sent = {}
            for number in range(0x100, 0x100 + REQUESTS):
                id_ = f"{number:016x}"
                sent[id_] = client.begin(id_, kind="consigna", wait_ms=2_500)
                record.add("sent", id=id_, wait_ms=2_500)
            await asyncio.sleep(0.5)
            left = {}
            for id_, (number, wait) in sent.items():
                if not wait.done():
                    client.abort(number)
                    left[id_] = record.now()
                    record.add("left", id=id_)
            await asyncio.sleep(0.7)
            for path in paths:
                path.restore()
            await asyncio.sleep(3.0)
    finally:
        await router.end()
    late = [
        (id_, round((at - left[id_]) * 1e3))
        for worker in workers
        for at, id_, _ in worker.runs
        if id_ in left and (at - left[id_]) * 1e3 > GONE_MS + SLACK_MS
    ]
    for id_, ms in late:
        record.add("late", id=id_, ms_after_the_client_left=ms)
    if late:
        return (
            f"{len(late)} attempts began {min(ms for _, ms in late)} ms or more after their client had left"
        )
    return None


if __name__ == "__main__":
    sb.main(sys.argv[1], case)
