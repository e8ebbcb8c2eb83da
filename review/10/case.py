"""Case 10: beside bad clients, usual requests of 16 KiB are answered long after their time, or never."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins2 as sb

WAIT_S = 1.25  # half of the class's 2.5 s, as the shortest of the usual clients wait
GRACE_S = 0.55  # "up to half a second after its time", and the slack of 50 ms
BODY_BYTES = 16_000  # the pages allow 16 KiB
USUAL, BAD, PROCESSES = 12, 300, 2  # connections: 312 of the 341 that clients may hold
CALM_S, FLOOD_S = 1.5, 10.0
LOST_S = 8.0  # without an answer by then, it is counted as never answered


class Usual:
    """A usual client: one request after the other, on a connection that it keeps."""

    def __init__(self, record: sb.Record, port: int, number: int) -> None:
        self.record, self.port, self.number = record, port, number
        self.client: sb.Client | None = None
        self.stopped = False
        self.answers: list[tuple[str, int, float]] = []

    async def run(self) -> None:
        count = 0
        while not self.stopped:
            count += 1
            id_ = f"{self.number * 0x10000 + count:016x}"
            if self.client is None or self.client.closed.is_set():
                if self.client is not None:
                    await self.client.__aexit__()
                    self.client = None
                try:
                    self.client = await sb.Client(self.port).__aenter__()
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                await self.client.ask("", path="/-/healthy", limit_s=LOST_S)  # see case 6
            began = time.monotonic()
            self.record.add("sent", id=id_, bytes=BODY_BYTES)
            status, _, _ = await self.client.ask(
                id_, kind="lectura", wait_ms=int(WAIT_S * 1e3), body=os.urandom(BODY_BYTES), limit_s=LOST_S
            )
            took_s = time.monotonic() - began
            if status == 0 and self.client.closed.is_set():
                # The router may close a resting connection, and the request may cross that: it is not judged.
                self.record.add("connection-ended", id=id_)
                continue
            self.record.add("answered", id=id_, status=status, after_s=f"{took_s:.3f}")
            self.answers.append((id_, status, took_s))
            await asyncio.sleep(0.05)
        if self.client is not None:
            await self.client.__aexit__()


async def case(record: sb.Record) -> str | None:
    workers = [await sb.Worker(f"s-{number}", record, work_s=0.03).start() for number in (1, 2, 3)]
    endpoints = [sb.endpoint(number, worker.port) for number, worker in enumerate(workers, 1)]
    journal = await sb.Journal(record, endpoints).start()
    router = sb.Router(record, endpoints, journal.port, sb.settings())
    bad: list[asyncio.subprocess.Process] = []
    usual: list[Usual] = []
    try:
        await router.start()
        usual = [Usual(record, router.port, number) for number in range(1, USUAL + 1)]
        tasks = [asyncio.ensure_future(client.run()) for client in usual]
        await asyncio.sleep(CALM_S)
        if sb.TROUBLE:
            flood = str(Path(__file__).resolve().parent / "flood.py")
            for _ in range(PROCESSES):
                bad.append(
                    await asyncio.create_subprocess_exec(
                        sys.executable, "-B", flood, str(router.port), str(BAD // PROCESSES)
                    )
                )
            record.add("bad-clients", connections=BAD)
        await asyncio.sleep(FLOOD_S)
        for client in usual:
            client.stopped = True
        await asyncio.gather(*tasks)
        if router.process.returncode is not None:
            return "the router ended"
    finally:
        for client in usual:
            client.stopped = True
        for process in bad:
            process.kill()
            await process.wait()
        await router.end()
    answers = [answer for client in usual for answer in client.answers]
    late = [answer for answer in answers if answer[2] > WAIT_S + GRACE_S]
    record.add("usual-requests", number=len(answers), late=len(late))
    if not answers:
        raise sb.NotRun("no usual request was sent")
    if late:
        longest = max(took_s for _, _, took_s in late)
        never = sum(status < 0 for _, status, _ in late)
        statuses = sorted({status for _, status, _ in late})
        return (
            f"{len(late)} of {len(answers)} usual requests were answered over 0.5 s after their time, the "
            f"last after {longest:.2f} s of {WAIT_S} s, {never} never; their statuses: {statuses}"
        )
    return None


if __name__ == "__main__":
    sb.main(sys.argv[1], case)
