"""Case 6: requests that come together on a new connection are lost: the router closes it unanswered."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins2 as sb

FRONTS = 8  # connections of front servers
REQUESTS = 12  # open on each of them; the pages allow 32


async def send_together(client: sb.Client, record: sb.Record, base: int) -> list[tuple[str, int]]:
    """Send a front server's requests in one write; returns each one's id and status."""
    waits = []
    for number in range(base, base + REQUESTS):
        id_ = f"{number:016x}"
        kind = "consigna" if number % 8 == 0 else "lectura"
        waits.append((id_, client.begin(id_, kind=kind, wait_ms=2_500, key=f"{number % 5 + 1:016x}")[1]))
        record.add("sent", id=id_, lane=kind)
    results = []
    for id_, wait in waits:
        status = -1
        async with asyncio.timeout(5.0):
            status, _, _ = await wait
        results.append((id_, status))
        record.add("answered" if status else "connection-ended", id=id_, status=status)
    return results


async def case(record: sb.Record) -> str | None:
    workers = [await sb.Worker(f"s-{number}", record, work_s=0.03).start() for number in (1, 2, 3)]
    endpoints = [sb.endpoint(number, worker.port) for number, worker in enumerate(workers, 1)]
    journal = await sb.Journal(record, endpoints).start()
    router = sb.Router(record, endpoints, journal.port, sb.settings())
    fronts: list[sb.Client] = []
    try:
        await router.start()
        for front in range(FRONTS):  # ordinary traffic: one request after the other
            fronts.append(await sb.Client(router.port).__aenter__())
            status, _, _ = await fronts[-1].ask(f"{front + 1:016x}", kind="lectura")
            record.add("answered", id=f"{front + 1:016x}", status=status)
        if sb.TROUBLE:
            router.send(signal.SIGKILL)
            await router.process.wait()
            record.add("router", killed=1)
            await router.start()
            for front in range(FRONTS):
                await fronts[front].__aexit__()
                fronts[front] = sb.Client(router.port)
        # The clients' requests go on, several on each connection: on the open ones, or on new ones.
        tasks = []
        for front, client in enumerate(fronts):
            if sb.TROUBLE:
                await client.__aenter__()
            base = 0x1000 * (front + 1)
            tasks.append(asyncio.ensure_future(send_together(client, record, base)))
        results = [await task for task in tasks]
        await asyncio.sleep(0.5)
        if router.process.returncode is not None:
            return "the router ended"
    finally:
        for client in fronts:
            await client.__aexit__()
        await router.end()
    lost = [id_ for answers in results for id_, status in answers if not status]
    connections = sum(any(not status for _, status in answers) for answers in results)
    # As some pages excuse the first request of a connection that is closed, it does not count here.
    counted = [id_ for id_ in lost if int(id_, 16) & 0xFFF]
    if counted:
        total = FRONTS * REQUESTS
        return f"{len(lost)} of {total} requests were lost, on {connections} of {FRONTS} connections"
    return None


if __name__ == "__main__":
    sb.main(sys.argv[1], case)
