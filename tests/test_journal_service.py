"""The journal service: frames and feed without I/O, the client against a service scripted over loopback."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platformbench import HOST, Journal, endpoint, frame, until
from socketbench import run

from swiftwell.discovery import journal
from swiftwell.discovery.journal import (
    EventSequence,
    FrameDecoder,
    FrameError,
    JournalClient,
    WorkerAddresses,
)
from swiftwell.interface import State

ZONES, KINDS = ("east",), ("std",)


def frames():
    return FrameDecoder(ZONES, KINDS)


@given(st.integers(1, 40))
def test_frames_come_out_whole_however_they_are_split(step):
    data = frame(1, 1, [(7, 80, 0), (8, 81, 1)]) + frame(1) + frame(2, 2, [(7, 80, 2)])
    reader, found = frames(), []
    for at in range(0, len(data), step):
        found += reader.feed(data[at : at + step])
    assert [event and (event.number, event.is_full_list) for event in found] == [(1, True), None, (2, False)]
    assert [(w.id, w.address, w.state) for w in found[0].workers] == [
        ("s-00000007", (HOST, 80), State.READY), ("s-00000008", (HOST, 81), State.DRAINING),
    ]  # fmt: skip


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff" + bytes(9), bytes(13), frame(1, 3), b"\0\0\0\x0a" + bytes(8) + b"\1x",
        frame(1, 1, [(7, 80, 9)]), frame(1, 1, [(7, 0, 0)]), b"\0\0\0\x0a" + bytes(10),
    ],
)  # fmt: skip
def test_lengths_and_records_that_do_not_fit_are_an_error(data):
    with pytest.raises(FrameError):
        frames().feed(data)


def test_each_event_is_news_once_and_a_gap_is_an_error():
    sequence = EventSequence()
    whole, change = (journal.Event(number, number == 4, ()) for number in (4, 5))
    assert sequence.accept(whole) and sequence.accept(change)
    assert not sequence.accept(whole) and not sequence.accept(change) and sequence.duplicates == 2
    with pytest.raises(FrameError):
        sequence.accept(journal.Event(7, False, ()))
    assert sequence.last_number == 5 and sequence.accept(journal.Event(9, True, ()))


def test_known_events_and_what_is_wrong_with_them():
    hosts = {"index": 0, "snapshot": True, "endpoints": [endpoint(7, 80)]}
    (event,) = journal.parse_events({"pos": 3, "entries": [{"pos": 3, "hosts": hosts}]})
    assert event.number == 3 and event.is_full_list and event.workers[0].id == "s-00000007"
    for wrong in (
        {"pos": 3}, {"pos": "3", "entries": []}, {"pos": 4, "entries": [{"pos": 3, "hosts": hosts}]},
        {"pos": 3, "entries": [{}]}, {"pos": 3, "entries": [{"pos": 3, "hosts": {"endpoints": [{}]}}]},
    ):  # fmt: skip
        with pytest.raises(ValueError, match=r"expected|entries"):
            journal.parse_events(wrong)


def test_a_worker_is_its_id_also_where_another_has_its_address():
    addresses, worker = WorkerAddresses(), journal.Worker("s-1", (HOST, 80), State.READY, "", "", 0, 1.0, 0.0)
    addresses.apply(journal.Event(1, True, (worker,)))
    new = journal.Worker("s-2", (HOST, 80), State.READY, "", "", 0, 1.0, 0.0)
    old = journal.Worker("s-1", (HOST, 80), State.GONE, "", "", 0, 1.0, 0.0)
    assert addresses.apply(journal.Event(2, False, (new, old))) == ["s-1"]
    assert addresses.get("s-1") is None and addresses.get("s-2") == (HOST, 80)
    assert addresses.apply(journal.Event(3, True, ())) == ["s-2"] and len(addresses) == 0


@asynccontextmanager
async def following(port):
    told = []
    client = JournalClient((HOST, port), frames, told.append, lambda *args, **fields: None, random.Random(1))
    client.sequence.last_number = 1
    task = asyncio.ensure_future(client.run())
    try:
        yield client, told
    finally:
        task.cancel()


def test_a_break_in_mid_frame_is_asked_for_again_from_the_last_whole_event():
    async def main():
        async def serve(service, number, writer):
            if len(service.asked) == 1:
                writer.write(frame(2, 2, [(7, 80, 0)]) + frame(3, 2, [(8, 81, 0)])[:20])
                await writer.drain()
                writer.close()
            else:
                writer.write(frame(2, 2, [(7, 80, 0)]) + frame(3, 2, [(8, 81, 0)]))

        async with Journal(serve) as service, following(service.port) as (_, told):
            await until(lambda: len(told) == 2)
            assert service.asked == [1, 2] and [event.number for event in told] == [2, 3]

    run(main())


def test_silence_while_open_is_noticed_and_asked_about_anew(monkeypatch):
    monkeypatch.setattr(journal, "SILENCE_TIMEOUT_S", 0.3)

    async def main():
        async def serve(service, number, writer):
            if len(service.asked) > 1:
                writer.write(frame(2, 2, [(7, 80, 1)]))

        async with Journal(serve) as service, following(service.port) as (_, told):
            await until(lambda: told)
            assert service.asked[:2] == [1, 1]

    run(main())


def test_frames_that_do_not_fit_and_a_gap_break_the_connection_only():
    async def main():
        async def serve(service, number, writer):
            if len(service.asked) == 1:
                writer.write(b"\xff" * 40)
            elif len(service.asked) == 2:
                writer.write(frame(5, 2, [(7, 80, 0)]))
            else:
                writer.write(frame(2, 2, [(7, 80, 0)]))

        async with Journal(serve) as service, following(service.port) as (client, told):
            await until(lambda: told)
            assert service.asked == [1, 1, 1] and client.sequence.last_number == 2

    run(main())


def test_a_new_address_is_asked_with_the_same_number():
    async def main():
        async def serve(service, number, writer):
            writer.write(frame(number + 1, 2, [(number, 80, 0)]))

        async with Journal(serve) as old, Journal(serve) as new, following(old.port) as (client, told):
            await until(lambda: told)
            client.reconnect((HOST, new.port))
            client.reconnect((HOST, new.port))  # also while the first is being handled
            await until(lambda: len(told) >= 2)
            assert old.asked == [1] and new.asked[0] == 2 and [e.number for e in told[:2]] == [2, 3]

    run(main())
