"""AMQP codec beside pika's, on the same bytes in the same run: MB/s of reading and of writing.

    python benchmarks/amqp_codec.py [rounds]

Traffic: deliveries with the headers of a trigger and a body of 200 bytes (and of 20,000), acknowledgements.
Runs in turn and keeps the best of each; a machine's noise only ever makes a run slower.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

import pika.spec
from pika import frame

from swiftwell.fronts.amqp import codec
from swiftwell.fronts.amqp.codec import Properties
from swiftwell.fronts.amqp.wire import Wire

MOST = 131_072
HEADERS = {"key": "valve-000123", "timeout-ms": 2500, "sent-ms": 1796131676233, "attempt": 1}


def ours_write(body: bytes, count: int) -> bytes:
    properties = Properties(
        headers=HEADERS, delivery_mode=2, correlation_id="q1", reply_to="answers/x", expiration="2500"
    )
    out = []
    for number in range(count):
        deliver = codec.Deliver("gw-0", number + 1, False, "calls", "calls.estate.consigna.heat.f")
        out.append(codec.encode_content(1, deliver, properties, body, MOST))
        out.append(codec.encode(1, codec.Ack(number + 1)))
    return b"".join(out)


def pika_write(body: bytes, count: int) -> bytes:
    properties = pika.BasicProperties(
        headers=HEADERS, delivery_mode=2, correlation_id="q1", reply_to="answers/x", expiration="2500"
    )
    out = []
    for number in range(count):
        deliver = pika.spec.Basic.Deliver("gw-0", number + 1, False, "calls", "calls.estate.consigna.heat.f")
        out.append(frame.Method(1, deliver).marshal())
        out.append(frame.Header(1, len(body), properties).marshal())
        room = MOST - 8
        out += [frame.Body(1, body[at : at + room]).marshal() for at in range(0, len(body), room)]
        out.append(frame.Method(1, pika.spec.Basic.Ack(number + 1)).marshal())
    return b"".join(out)


def ours_read(raw: bytes) -> int:
    wire, found = Wire(MOST, 1 << 24), 0
    for at in range(0, len(raw), 65_536):
        found += len(wire.feed(raw[at : at + 65_536]))
    return found


def pika_read(raw: bytes) -> int:
    """As its connection does: a buffer, frame by frame."""
    buffer, found = b"", 0
    for at in range(0, len(raw), 65_536):
        buffer += raw[at : at + 65_536]
        while buffer:
            size, one = frame.decode_frame(buffer)
            if one is None:
                break
            buffer = buffer[size:]
            found += isinstance(one, frame.Method)
    return found


def best(act: Callable[[], object], rounds: int) -> float:
    times = []
    for _ in range(rounds):
        began = time.perf_counter()
        act()
        times.append(time.perf_counter() - began)
    return min(times)


def main() -> None:
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 7
    for size, count in ((200, 3_000), (20_000, 400)):
        body = bytes(range(256)) * (size // 256 + 1)
        body = body[:size]
        raw = ours_write(body, count)
        assert raw == pika_write(body, count), "the same messages are the same bytes"
        assert ours_read(raw) == pika_read(raw) == 2 * count
        row = {}
        for _ in range(2):  # in turn, so that both meet the machine's same minute
            for name, act in (
                ("read, ours", lambda raw=raw: ours_read(raw)),
                ("read, pika", lambda raw=raw: pika_read(raw)),
                ("write, ours", lambda body=body, count=count: ours_write(body, count)),
                ("write, pika", lambda body=body, count=count: pika_write(body, count)),
            ):
                taken = best(act, rounds)
                row[name] = max(row.get(name, 0.0), len(raw) / taken / 1e6)
        told = ", ".join(f"{name} {value:.1f} MB/s" for name, value in row.items())
        ratio = ", ".join(
            f"{what} {row[f'{what}, ours'] / row[f'{what}, pika']:.2f}" for what in ("read", "write")
        )
        print(f"{count} messages of {size} bytes ({len(raw)} in all): {told}; ours against pika's: {ratio}")


if __name__ == "__main__":
    main()
