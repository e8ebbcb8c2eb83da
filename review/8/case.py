"""Case 8: a keyed effect is applied twice, as a retry goes to another cell's worker at a reused address."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins2 as sb

MEMORY_S = 3.0  # for which the workers of one cell drop a repeat
REQUESTS = 10


class Cells:
    """What the workers of each cell remember together, and every effect that was applied."""

    def __init__(self) -> None:
        self.seen: dict[tuple[int, str], float] = {}
        self.applied: dict[str, list[str]] = {}

    def apply(self, cell: int, worker: str, id_: str) -> bool:
        """Apply an effect, unless it is a repeat that the cell drops; returns whether it was applied."""
        now = time.monotonic()
        if now - self.seen.get((cell, id_), -MEMORY_S) < MEMORY_S:
            return False
        self.seen[cell, id_] = now
        self.applied.setdefault(id_, []).append(f"{worker}/cell{cell}")
        return True


class KeyedWorker(sb.Worker):
    """A worker of a cell.  A request's effect is applied halfway, then it waits on other systems."""

    def __init__(self, name: str, record: sb.Record, cell: int, cells: Cells) -> None:
        super().__init__(name, record, work_s=0.06)
        self.cell, self.cells, self.dead = cell, cells, False

    async def _run(self, writer, id_, fields, body):
        await asyncio.sleep(self.work_s)
        if fields["lane"] == "orden-valvula" and not self.dead:
            applied = self.cells.apply(self.cell, self.name, id_)
            self.record.add(
                "effect" if applied else "repeat-dropped", worker=self.name, cell=self.cell, id=id_
            )
        await super()._run(writer, id_, fields, body)

    async def die(self) -> None:
        self.dead = True
        self.record.add("died", worker=self.name)
        await self.stop()


def conf() -> dict:
    """Settings with the figures of coyhaique-modelos."""
    lanes = [
        sb.lane("estimar-demanda", "idempotent", 3_000.0, 1_200.0),
        sb.lane(
            "orden-valvula",
            "deduplicated",
            3_000.0,
            500.0,
            **{"dedup-scope": "cell", "memory-span-ms": MEMORY_S * 1e3},
        ),
    ]
    rules = {"cold-ms": 18_000.0, "drain-grace-ms": 2_000.0, "fall-multiple": 3.0, "overload-for-ms": 1_500.0}
    limits = {"max-attempts": 5, "second-copies": True, "conn-idle-ms": 15_000.0}
    base = sb.settings()
    return sb.settings(lanes=lanes, rules=base["rules"] | rules, limits=base["limits"] | limits)


async def case(record: sb.Record) -> str | None:
    cells = Cells()
    one = await KeyedWorker("s-1", record, 0, cells).start()
    two = await KeyedWorker("s-2", record, 0, cells).start()
    three = KeyedWorker("s-3", record, 1, cells)
    endpoints = [sb.endpoint(1, one.port), sb.endpoint(2, two.port)]
    journal = await sb.Journal(record, endpoints).start()
    router = sb.Router(record, endpoints, journal.port, conf())
    try:
        await router.start()
        async with sb.Client(router.port) as client:
            for number in range(6):
                status, _, _ = await client.ask(f"{number:016x}", kind="estimar-demanda")
                record.add("answered", id=f"{number:016x}", status=status)
        if sb.TROUBLE:
            journal.stop()  # for 8 s
            down_s = record.now()
        await asyncio.sleep(4.2)
        router.send(signal.SIGKILL)
        await router.process.wait()
        record.add("router", killed=1)
        starting = asyncio.ensure_future(router.start())  # the configuration is up to date
        await asyncio.sleep(0.05)
        await two.die()  # the release: s-2 leaves, s-3 takes its address, in another cell
        await three.start(two.port)
        since_ms = int(time.time() * 1e3)
        journal.tell(
            [
                sb.endpoint(2, two.port, "removed"),
                sb.endpoint(3, three.port, group=1, since_ms=since_ms),
            ]
        )
        await starting
        async with sb.Client(router.port) as client:
            waits = []
            await client.ask("", path="/-/healthy")  # an open connection before the requests: see case 6
            for number in range(0x100, 0x100 + REQUESTS):
                id_ = f"{number:016x}"
                key = f"{0x7F3A9C21E0B4D655 + number * 0x9E3779B97F4A7C15 & 2**64 - 1:016x}"
                record.add("sent", id=id_, lane="orden-valvula", function=key)
                waits.append((id_, client.begin(id_, kind="orden-valvula", wait_ms=3_000, key=key)[1]))
            await asyncio.sleep(0.09)
            await one.die()
            journal.tell([sb.endpoint(1, one.port, "removed")])
            for id_, wait in waits:
                status, _, _ = await wait
                record.add("answered", id=id_, status=status)
            if sb.TROUBLE:
                await asyncio.sleep(max(0.0, down_s + 8.0 - record.now()))
                await journal.start(journal.port)
                record.add("journal", up=1)
            await asyncio.sleep(0.5)
    finally:
        await router.end()
    twice = {id_: places for id_, places in cells.applied.items() if len(places) > 1}
    for id_, places in twice.items():
        record.add("twice", id=id_, at=",".join(places))
    return f"{len(twice)} of {REQUESTS} effects were applied twice, in two cells" if twice else None


if __name__ == "__main__":
    sb.main(sys.argv[1], case)
