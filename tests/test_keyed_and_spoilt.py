"""Keyed repeats at the end of their window, valid answers before malformed bytes, slow worker lists."""

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

DEDUP_WINDOW_S = 0.4  # for which workers drop repeats of a key


def keyed_settings():
    """Settings with a class whose repeats all workers drop for `DEDUP_WINDOW_S`."""
    settings = long_deadline_settings()
    settings["lanes"].append(
        {"name": "asiento", "effect": "deduplicated", "target-ms": 4000.0, "deadline-ms": 6000.0,
         "value": 2.0, "dedup-scope": "all", "memory-span-ms": DEDUP_WINDOW_S * 1e3}
    )  # fmt: skip
    return settings


def test_a_keyed_repeat_that_waits_beyond_its_window_for_a_connection_is_not_sent(tmp_path):
    async def main():
        began = []

        async def fails(worker, writer, arguments):
            if arguments[0] == b"FN":
                began.append(time.monotonic())
                (full_list,) = new_frames().feed(frame(2, 1, [(2, gate.port, 0)]))
                node._apply_event(
                    full_list
                )  # from now on only the other worker is listed, whose connections wait
                writer.write(worker_reply(arguments[1], b"BROKE"))  # it may have run

        async with (
            Worker(fails) as worker,
            UnreachableWorker(echo) as gate,
            router(tmp_path, [worker.port], settings=keyed_settings()) as node,
            Front(node.port) as front,
        ):
            request = fields(
                id_(1), "asiento", wait="6000", HTTP_REQ_TOKEN="6b037a6fa73e6f4d554ecefb7d593b22"
            )
            answer = asyncio.ensure_future(front.ask(1, request))
            await until(lambda: any(job.worker == "s-00000002" for job in node.link._jobs.values()))
            await asyncio.sleep(max(0.0, began[0] + DEDUP_WINDOW_S + 0.1 - time.monotonic()))
            await gate.open()
            assert (await answer)[0] in (429, 502, 503)
            assert gate.runs() == []

    run(main())


def test_a_valid_answer_before_malformed_bytes_on_its_connection_counts():
    async def main():
        async def answer_then_malformed(worker, writer, arguments):
            if len(worker.runs()) == 2:
                writer.write(worker_reply(worker.runs()[0][1], b"DONE", b"-", b"good") + b"*4\r\n$-1\r\n")

        async with Worker(answer_then_malformed) as worker:
            link = LinkHarness({"w": worker.port})
            link.start("c1", id_=ID)
            await until(lambda: worker.runs())
            link.start("c2", id_=OTHER)
            await link.ends(2)
            outcomes = {end.id: (end.status, end.ran, end.body) for end in link.results}
            assert outcomes["c1"] == (Status.OK, Ran.YES, b"good")
            assert outcomes["c2"][1] is Ran.MAYBE
            link.link.close()

    run(main())


def test_a_long_list_that_arrives_slowly_is_read_to_its_end(monkeypatch):
    async def main():
        monkeypatch.setattr(journal, "SILENCE_TIMEOUT_S", 0.3)
        full_list = frame(7, 1, [(number, 80, 0) for number in range(1, 3_201)])
        events = []

        async def slow(service, number, writer):
            for offset in range(0, len(full_list), 8_192):  # each part arrives before the timeout for silence
                writer.write(full_list[offset : offset + 8_192])
                await writer.drain()
                await asyncio.sleep(0.05)

        async with Journal(slow) as service, RunningClient(service.port, events.append):
            await until(lambda: events, 10.0)
            assert len(events[0].workers) == 3_200 and service.asked == [1]

    run(main())
