"""Compares our AMQP codec with that of pika on the same bytes in one run: MB/s of decoding and encoding.

    python benchmarks/amqp_codec.py [rounds]

The traffic is acknowledgements, and deliveries with the headers of a trigger and 200 or 20,000 bytes of body.
The codecs run in turn and the fastest run of each counts, as noise of the machine only makes a run slower.
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

MAX_FRAME_BYTES = 131_072
HEADERS = {"key": "valve-000123", "timeout-ms": 2500, "sent-ms": 1796131676233, "attempt": 1}


def encode_ours(body: bytes, count: int) -> bytes:
    properties = Properties(
        headers=HEADERS, delivery_mode=2, correlation_id="q1", reply_to="answers/x", expiration="2500"
    )
    chunks = []
    for number in range(count):
        deliver = codec.Deliver("gw-0", number + 1, False, "calls", "calls.estate.consigna.heat.f")
        chunks.append(codec.encode_content(1, deliver, properties, body, MAX_FRAME_BYTES))
        chunks.append(codec.encode(1, codec.Ack(number + 1)))
    return b"".join(chunks)


def encode_pika(body: bytes, count: int) -> bytes:
    properties = pika.BasicProperties(
        headers=HEADERS, delivery_mode=2, correlation_id="q1", reply_to="answers/x", expiration="2500"
    )
    chunks = []
    for number in range(count):
        deliver = pika.spec.Basic.Deliver("gw-0", number + 1, False, "calls", "calls.estate.consigna.heat.f")
        chunks.append(frame.Method(1, deliver).marshal())
        chunks.append(frame.Header(1, len(body), properties).marshal())
        max_payload = MAX_FRAME_BYTES - 8
        chunks += [
            frame.Body(1, body[offset : offset + max_payload]).marshal()
            for offset in range(0, len(body), max_payload)
        ]
        chunks.append(frame.Method(1, pika.spec.Basic.Ack(number + 1)).marshal())
    return b"".join(chunks)


def decode_ours(raw: bytes) -> int:
    wire, count = Wire(MAX_FRAME_BYTES, 1 << 24), 0
    for offset in range(0, len(raw), 65_536):
        count += len(wire.feed(raw[offset : offset + 65_536]))
    return count


def decode_pika(raw: bytes) -> int:
    """Decode as a pika connection does: from a buffer, frame by frame."""
    buffer, count = b"", 0
    for offset in range(0, len(raw), 65_536):
        buffer += raw[offset : offset + 65_536]
        while buffer:
            size, decoded = frame.decode_frame(buffer)
            if decoded is None:
                break
            buffer = buffer[size:]
            count += isinstance(decoded, frame.Method)
    return count


def fastest_s(run: Callable[[], object], rounds: int) -> float:
    times = []
    for _ in range(rounds):
        started = time.perf_counter()
        run()
        times.append(time.perf_counter() - started)
    return min(times)


def main() -> None:
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 7
    for size, count in ((200, 3_000), (20_000, 400)):
        body = bytes(range(256)) * (size // 256 + 1)
        body = body[:size]
        raw = encode_ours(body, count)
        assert raw == encode_pika(body, count), "both codecs must encode the messages to the same bytes"
        assert decode_ours(raw) == decode_pika(raw) == 2 * count
        row = {}
        for _ in range(2):  # alternate, so that both run under the same load of the machine
            for name, run in (
                ("read, ours", lambda raw=raw: decode_ours(raw)),
                ("read, pika", lambda raw=raw: decode_pika(raw)),
                ("write, ours", lambda body=body, count=count: encode_ours(body, count)),
                ("write, pika", lambda body=body, count=count: encode_pika(body, count)),
            ):
                seconds = fastest_s(run, rounds)
                row[name] = max(row.get(name, 0.0), len(raw) / seconds / 1e6)
        rates = ", ".join(f"{name} {value:.1f} MB/s" for name, value in row.items())
        ratio = ", ".join(
            f"{direction} {row[f'{direction}, ours'] / row[f'{direction}, pika']:.2f}"
            for direction in ("read", "write")
        )
        print(f"{count} messages of {size} bytes ({len(raw)} in all): {rates}; ours against pika's: {ratio}")


if __name__ == "__main__":
    main()
