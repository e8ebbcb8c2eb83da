"""Some good answers of workers arrive spoilt: their length does not fit.  Bodies are lines of text."""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as st

FOLDER = Path(__file__).resolve().parent
QUIET_S, TROUBLE_S = 3.0, 20.0
RATE = 80.0  # requests a second
SHARE = 0.05  # of the good answers, from any worker alike
LINES = 40


class Spoiler:
    """Makes the workers' bodies, and spoils the length of some answers."""

    def __init__(self, log: st.Record) -> None:
        self._log, self._random, self.on = log, random.Random(3), False
        self.made: dict[str, set[bytes]] = {}
        self.spoilt: set[str] = set()

    def _body(self) -> bytes:
        """Readings, a line each, with the line ends of a CSV file."""
        return b"".join(b"%04d\r\n" % self._random.randrange(10_000) for _ in range(LINES))

    async def play(
        self, worker: st.Worker, run: st.Run, writer: asyncio.StreamWriter, arguments: list[bytes]
    ) -> None:
        name = st.parse_fields(arguments[2])[b"name"].decode()
        if name not in worker.copies:
            await asyncio.sleep(worker.load_s)
            worker.copies.add(name)
        run.ran = True
        await asyncio.sleep(worker.work_s)
        if run.ended or writer.is_closing():
            return
        run.ended = True
        body = self._body()
        self.made.setdefault(run.id, set()).add(body)
        answer = st.answer(arguments[1], b"DONE", b"why=reused", body)
        if self.on and self._random.random() < SHARE:
            length = len(body)
            while length == len(body):
                length = self._random.randrange(2 * len(body))
            answer = answer.replace(b"$%d\r\n" % len(body) + body, b"$%d\r\n" % length + body)
            self.spoilt.add(run.id)
            self._log.write(f"{worker.name} answers {run.id}, spoilt: length {length}, has {len(body)}")
        writer.write(answer)


async def play(folder: Path, log: st.Record, trouble: bool) -> bool:
    journal, spoiler = st.Journal(), Spoiler(log)
    workers = [st.Worker(number, log, spoiler.play) for number in range(1, 7)]
    for worker in workers:
        await worker.start()
    journal.publish([(worker, "up") for worker in workers], whole=True)
    await journal.start()
    router = st.Router(folder, log, journal)
    try:
        await router.start()
        front = st.Front(router.port, log, seed=3)
        sending = asyncio.ensure_future(front.run(RATE, QUIET_S + TROUBLE_S))
        await asyncio.sleep(QUIET_S)
        if not any(sent.status == 200 for sent in front.sent):
            raise st.CouldNotRun("no request was served before the disruption")
        spoiler.on = trouble
        await sending
        await front.settled()
        alive = router.process.poll() is None
        front.close()
    finally:
        router.end()
    wrong = [s for s in front.sent if s.status == 200 and s.body not in spoiler.made.get(s.id, ())]
    for sent in wrong:
        made = next(iter(spoiler.made[sent.id]))
        how = "cut short" if made.startswith(sent.body) else "with bytes of something else"
        log.result(f"WRONG {sent.id} {sent.lane}: served {len(sent.body)} bytes, made {len(made)}, {how}")
        log.write(f"served {sent.body!r}")
        log.write(f"made {made!r}")
    lost = [sent for sent in front.sent if sent.fault]
    log.result(f"requests {len(front.sent)}, answers {dict(Counter(sent.status for sent in front.sent))}")
    log.result(f"answers spoilt {len(spoiler.spoilt)}, served wrong {len(wrong)}, lost otherwise {len(lost)}")
    return alive and not wrong and not lost


sys.exit(st.run_case(FOLDER, play))
