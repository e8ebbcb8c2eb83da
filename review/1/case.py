"""One client sends an endless message at full speed while the usual clients send their requests."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as st

FOLDER = Path(__file__).resolve().parent

QUIET_S, TROUBLE_S, AFTER_S = 4.0, 8.0, 3.0
RATE = 40.0  # requests a second of the usual clients


async def play(folder: Path, log: st.Record, trouble: bool) -> bool:
    journal = st.Journal()
    workers = [st.Worker(number, log) for number in range(1, 7)]
    for worker in workers:
        await worker.start()
    journal.publish([(worker, "up") for worker in workers], whole=True)
    await journal.start()
    router, bad = st.Router(folder, log, journal), None
    try:
        await router.start()
        front = st.Front(router.port, log, seed=1)
        sending = asyncio.ensure_future(front.run(RATE, QUIET_S + TROUBLE_S + AFTER_S))
        await asyncio.sleep(QUIET_S)
        if any(sent.fault for sent in front.sent) or not any(sent.status == 200 for sent in front.sent):
            raise st.CouldNotRun("requests were lost, or none was served, before the disruption")
        if trouble:
            log.write("one client begins an endless message")
            command = [sys.executable, "-B", str(FOLDER / "endless.py"), str(router.port), str(TROUBLE_S)]
            bad = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        await asyncio.sleep(1.0)
        log.result(f"health within 3 s: {await router.health(3.0) or 'no answer'}")
        await sending
        await front.settled()
        front.close()
        if bad:
            for line in (await asyncio.to_thread(bad.communicate, timeout=30))[0].splitlines():
                log.result(f"endless client: {line}")
        alive = router.process.poll() is None
    finally:
        router.end()
        if bad is not None and bad.poll() is None:
            bad.kill()
            bad.wait()
    made = {body for worker in workers for bodies in worker.bodies.values() for body in bodies}
    lost = [sent for sent in front.sent if sent.fault]
    wrong = [sent for sent in front.sent if sent.status == 200 and sent.body not in made]
    log.result(f"requests taken {len(front.sent)}, lost {len(lost)}, wrong bodies {len(wrong)}")
    log.result(f"answers {dict(Counter(sent.status for sent in front.sent if not sent.fault))}")
    return alive and not lost and not wrong


sys.exit(st.run_case(FOLDER, play))
