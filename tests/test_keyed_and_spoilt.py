"""Keyed repeats at the end of their window, good answers beside spoilt bytes, lists that come slowly."""

import asyncio
import time

from platformbench import Front, Journal, Worker, echo, fields, frame, router, until, worker_reply
from socketbench import run
from test_endings import RunningClient, UnreachableWorker, long_deadline_settings, new_frames
from test_platform import id_
from test_resp import ID, OTHER, LinkHarness

from swiftwell.discovery import journal
from swiftwell.fronts.trigger import Ran
from swiftwell.interface import Status

WINDOW_S = 0.4  # s for which workers remember a key


def keyed():
    """Settings with a class whose repeats all workers drop for `WINDOW_S`."""
    found = long_deadline_settings()
    found["lanes"].append(
        {"name": "asiento", "effect": "deduplicated", "target-ms": 4000.0, "deadline-ms": 6000.0,
         "value": 2.0, "dedup-scope": "all", "memory-span-ms": WINDOW_S * 1e3}
    )  # fmt: skip
    return found


def test_a_keyed_repeat_that_waits_beyond_its_window_for_a_connection_is_not_sent(tmp_path):
    async def main():
        began = []

        async def fails(worker, writer, words):
            if words[0] == b"FN":
                began.append(time.monotonic())
                (whole,) = new_frames().feed(frame(2, 1, [(2, gate.port, 0)]))
                node._apply_event(whole)  # from now on there is only the other worker, which is at a gate
                writer.write(worker_reply(words[1], b"BROKE"))  # it may have run

        async with (
            Worker(fails) as worker,
            UnreachableWorker(echo) as gate,
            router(tmp_path, [worker.port], settings=keyed()) as node,
            Front(node.port) as front,
        ):
            ask = fields(id_(1), "asiento", wait="6000", HTTP_REQ_TOKEN="6b037a6fa73e6f4d554ecefb7d593b22")
            asking = asyncio.ensure_future(front.ask(1, ask))
            await until(lambda: any(job.worker == "s-00000002" for job in node.link._jobs.values()))
            await asyncio.sleep(max(0.0, began[0] + WINDOW_S + 0.1 - time.monotonic()))
            await gate.open()
            assert (await asking)[0] in (429, 502, 503)
            assert gate.runs() == []

    run(main())


def test_a_good_answer_ahead_of_the_bytes_that_spoil_its_connection_counts():
    async def main():
        async def play(worker, writer, words):
            if len(worker.runs()) == 2:
                writer.write(worker_reply(worker.runs()[0][1], b"DONE", b"-", b"good") + b"*4\r\n$-1\r\n")

        async with Worker(play) as worker:
            link = LinkHarness({"w": worker.port})
            link.start("c1", id_=ID)
            await until(lambda: worker.runs())
            link.start("c2", id_=OTHER)
            await link.ends(2)
            told = {end.id: (end.status, end.ran, end.body) for end in link.results}
            assert told["c1"] == (Status.OK, Ran.YES, b"good")
            assert told["c2"][1] is Ran.MAYBE
            link.link.close()

    run(main())


def test_a_long_list_that_comes_slowly_is_read_to_its_end(monkeypatch):
    async def main():
        monkeypatch.setattr(journal, "SILENCE_TIMEOUT_S", 0.3)
        whole = frame(7, 1, [(number, 80, 0) for number in range(1, 3_201)])
        told = []

        async def slow(service, number, writer):
            for at in range(0, len(whole), 8_192):  # each part within the time that counts as silence
                writer.write(whole[at : at + 8_192])
                await writer.drain()
                await asyncio.sleep(0.05)

        async with Journal(slow) as service, RunningClient(service.port, told.append):
            await until(lambda: told, 10.0)
            assert len(told[0].workers) == 3_200 and service.asked == [1]

    run(main())
