"""The journal client: frames and event numbers without I/O, and the client with a scripted service."""

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


def new_decoder():
    return FrameDecoder(ZONES, KINDS)


@given(st.integers(1, 40))
def test_frames_are_decoded_however_they_are_split(step):
    data = frame(1, 1, [(7, 80, 0), (8, 81, 1)]) + frame(1) + frame(2, 2, [(7, 80, 2)])
    decoder, events = new_decoder(), []
    for at in range(0, len(data), step):
        events += decoder.feed(data[at : at + step])
    assert [event and (event.number, event.is_full_list) for event in events] == [(1, True), None, (2, False)]
    assert [(worker.id, worker.address, worker.state) for worker in events[0].workers] == [
        ("s-00000007", (HOST, 80), State.READY), ("s-00000008", (HOST, 81), State.DRAINING),
    ]  # fmt: skip


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff" + bytes(9), bytes(13), frame(1, 3), b"\0\0\0\x0a" + bytes(8) + b"\1x",
        frame(1, 1, [(7, 80, 9)]), frame(1, 1, [(7, 0, 0)]), b"\0\0\0\x0a" + bytes(10),
    ],
)  # fmt: skip
def test_invalid_lengths_and_records_are_an_error(data):
    with pytest.raises(FrameError):
        new_decoder().feed(data)


def test_each_event_is_accepted_once_and_a_gap_is_an_error():
    sequence = EventSequence()
    full_list, change = (journal.Event(number, number == 4, ()) for number in (4, 5))
    assert sequence.accept(full_list) and sequence.accept(change)
    assert not sequence.accept(full_list) and not sequence.accept(change) and sequence.duplicates == 2
    with pytest.raises(FrameError):
        sequence.accept(journal.Event(7, False, ()))
    assert sequence.last_number == 5 and sequence.accept(journal.Event(9, True, ()))


def test_events_of_the_configuration_are_parsed_or_rejected():
    hosts = {"index": 0, "snapshot": True, "endpoints": [endpoint(7, 80)]}
    (event,) = journal.parse_events({"pos": 3, "entries": [{"pos": 3, "hosts": hosts}]})
    assert event.number == 3 and event.is_full_list and event.workers[0].id == "s-00000007"
    for invalid in (
        {"pos": 3}, {"pos": "3", "entries": []}, {"pos": 4, "entries": [{"pos": 3, "hosts": hosts}]},
        {"pos": 3, "entries": [{}]}, {"pos": 3, "entries": [{"pos": 3, "hosts": {"endpoints": [{}]}}]},
    ):  # fmt: skip
        with pytest.raises(ValueError, match=r"expected|entries"):
            journal.parse_events(invalid)


def test_a_worker_is_known_by_its_id_even_if_another_takes_its_address():
    addresses, worker = WorkerAddresses(), journal.Worker("s-1", (HOST, 80), State.READY, "", "", 0, 1.0, 0.0)
    addresses.apply(journal.Event(1, True, (worker,)))
    new = journal.Worker("s-2", (HOST, 80), State.READY, "", "", 0, 1.0, 0.0)
    old = journal.Worker("s-1", (HOST, 80), State.GONE, "", "", 0, 1.0, 0.0)
    assert addresses.apply(journal.Event(2, False, (new, old))) == ["s-1"]
    assert addresses.get("s-1") is None and addresses.get("s-2") == (HOST, 80)
    assert addresses.apply(journal.Event(3, True, ())) == ["s-2"] and len(addresses) == 0


@asynccontextmanager
async def following(port):
    events = []
    client = JournalClient(
        (HOST, port), new_decoder, events.append, lambda *args, **fields: None, random.Random(1)
    )
    client.sequence.last_number = 1
    task = asyncio.ensure_future(client.run())
    try:
        yield client, events
    finally:
        task.cancel()


def test_after_a_break_within_a_frame_the_client_resumes_after_the_last_whole_event():
    async def main():
        async def serve(service, number, writer):
            if len(service.asked) == 1:
                writer.write(frame(2, 2, [(7, 80, 0)]) + frame(3, 2, [(8, 81, 0)])[:20])
                await writer.drain()
                writer.close()
            else:
                writer.write(frame(2, 2, [(7, 80, 0)]) + frame(3, 2, [(8, 81, 0)]))

        async with Journal(serve) as service, following(service.port) as (_, events):
            await until(lambda: len(events) == 2)
            assert service.asked == [1, 2] and [event.number for event in events] == [2, 3]

    run(main())


def test_silence_on_an_open_connection_makes_the_client_reconnect(monkeypatch):
    monkeypatch.setattr(journal, "SILENCE_TIMEOUT_S", 0.3)

    async def main():
        async def serve(service, number, writer):
            if len(service.asked) > 1:
                writer.write(frame(2, 2, [(7, 80, 1)]))

        async with Journal(serve) as service, following(service.port) as (_, events):
            await until(lambda: events)
            assert service.asked[:2] == [1, 1]

    run(main())


def test_invalid_frames_and_a_gap_end_the_connection_only():
    async def main():
        async def serve(service, number, writer):
            if len(service.asked) == 1:
                writer.write(b"\xff" * 40)
            elif len(service.asked) == 2:
                writer.write(frame(5, 2, [(7, 80, 0)]))
            else:
                writer.write(frame(2, 2, [(7, 80, 0)]))

        async with Journal(serve) as service, following(service.port) as (client, events):
            await until(lambda: events)
            assert service.asked == [1, 1, 1] and client.sequence.last_number == 2

    run(main())


def test_the_client_resumes_at_a_new_address_with_the_same_number():
    async def main():
        async def serve(service, number, writer):
            writer.write(frame(number + 1, 2, [(number, 80, 0)]))

        async with Journal(serve) as old, Journal(serve) as new, following(old.port) as (client, events):
            await until(lambda: events)
            client.reconnect((HOST, new.port))
            client.reconnect((HOST, new.port))  # once more while the first change is being handled
            await until(lambda: len(events) >= 2)
            assert old.asked == [1] and new.asked[0] == 2 and [event.number for event in events[:2]] == [2, 3]

    run(main())
