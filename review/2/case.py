"""A fifth of the workers is cut off for 6 s; keyed requests that were sent to them are tried at others."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import cut
import standins as st

FOLDER = Path(__file__).resolve().parent
WORKERS, CUT_OFF = 10, 2  # a fifth
QUIET_S, CUT_S, AFTER_S = 6.0, 6.0, 3.0
RATE = 80.0  # requests a second
KEYED, MEMORY_S = "registrar", 3.0  # "drop a repeat for 3 s"


def settings() -> dict:
    """The small deployment, with a keyed class whose repeats all workers drop for a while."""
    result = st.settings()
    lectura = result["lanes"][0]
    result["lanes"].append(
        lectura | {"name": KEYED, "effect": "deduplicated", "memory-span-ms": MEMORY_S * 1000, "value": 3.0}
    )
    return result


class Memory:
    """What the workers remember together of keyed requests, and how often each took effect."""

    def __init__(self, log: st.Record) -> None:
        self._log = log
        self._first: dict[str, float] = {}
        self._answers: dict[str, asyncio.Future[bytes]] = {}
        self.effects: dict[str, list[tuple[str, float]]] = {}

    def twice(self) -> dict[str, list[tuple[str, float]]]:
        return {id_: runs for id_, runs in self.effects.items() if len(runs) > 1}

    async def play(
        self, worker: st.Worker, run: st.Run, writer: asyncio.StreamWriter, arguments: list[bytes]
    ) -> None:
        """As an ordinary worker; running work goes on after a cancel or a time-out."""
        fields = st.parse_fields(arguments[2])
        name, keyed, body = fields[b"name"].decode(), fields[b"lane"].decode() == KEYED, b""
        if keyed:
            if time.monotonic() - self._first.get(run.id, -1e9) <= MEMORY_S + st.SLACK_S:
                self._log.write(f"{worker.name} drops the repeat of {run.id}")
                body = await asyncio.shield(self._answers[run.id])
            else:
                self._first[run.id] = time.monotonic()
                self._answers[run.id] = asyncio.get_running_loop().create_future()
        if not body:
            if name not in worker.copies:
                await asyncio.sleep(worker.load_s)
                worker.copies.add(name)
            run.ran = True
            await asyncio.sleep(worker.work_s)
            body = worker.make_body(run.id)
            if keyed:
                self.effects.setdefault(run.id, []).append((worker.name, time.monotonic()))
                self._log.write(f"{worker.name} has run {run.id}, of the keyed class")
                self._answers[run.id].set_result(body)
        if not run.ended and not writer.is_closing():
            run.ended = True
            writer.write(st.answer(arguments[1], b"DONE", b"why=reused", body))


async def play(folder: Path, log: st.Record, trouble: bool) -> bool:
    journal, memory, paths = st.Journal(), Memory(log), {}
    workers = [st.Worker(number, log, memory.play) for number in range(1, WORKERS + 1)]
    for worker in workers:
        await worker.start()
        paths[worker] = cut.NetworkPath(worker.port)
        worker.address = paths[worker].port
    journal.publish([(worker, "up") for worker in workers], whole=True)
    await journal.start()
    router = st.Router(folder, log, journal, settings=settings())
    try:
        await router.start()
        front = st.Front(router.port, log, seed=2)
        front.lanes = ("lectura", "consulta", "consigna", KEYED, KEYED, KEYED)
        sending = asyncio.ensure_future(front.run(RATE, QUIET_S + CUT_S + AFTER_S))
        await asyncio.sleep(QUIET_S)
        if sum(sent.status == 200 and sent.lane == KEYED for sent in front.sent) < 20 or memory.twice():
            raise st.CouldNotRun("keyed requests were not served, or run twice, before the disruption")
        since = time.monotonic() - 2.0  # those that are in use now
        busy = Counter({worker: sum(run.at > since for run in worker.runs) for worker in workers})
        cut_off = [worker for worker, _ in busy.most_common(CUT_OFF)] if trouble else []
        for worker in cut_off:
            log.write(f"{worker.name} is cut off")
            paths[worker].cut()
        await asyncio.sleep(CUT_S)
        for worker in cut_off:
            log.write(f"{worker.name} is back")
            paths[worker].restore()
        await sending
        await front.settled()
        await asyncio.sleep(1.0)
        alive = router.process.poll() is None
        front.close()
    finally:
        router.end()
    by_id = {sent.id: sent for sent in front.sent}
    for id_, runs in memory.twice().items():
        sent = by_id[id_]
        where = ", ".join(f"by {name} after {at - sent.taken_at:.3f} s" for name, at in runs)
        took_s = sent.answered_at - sent.taken_at
        log.result(f"TWICE {id_}: run {where}; answered {sent.status} after {took_s:.3f} s")
    after = Counter(
        by_id[run.id].lane
        for worker in workers
        for run in worker.runs
        if by_id[run.id].answered_at and run.at > by_id[run.id].answered_at + 0.1 + st.SLACK_S
    )
    log.result(f"requests {len(front.sent)}, answers {dict(Counter(sent.status for sent in front.sent))}")
    log.result(f"attempts that began over 0.1 s after the final answer, by class: {dict(after)}")
    log.result(f"keyed requests run {len(memory.effects)}, run twice {len(memory.twice())}")
    return alive and not memory.twice()


sys.exit(st.run_case(FOLDER, play))
