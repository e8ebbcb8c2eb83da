"""One MQTT connection over a Tornado stream: bytes in and out, bounded both ways.  Shared by every role.

It knows no session: packets go to `on_packet`, and whoever holds the session sends through it.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from swiftwell.fronts.mqtt.codec import (
    V5,
    Connack,
    Decoder,
    Disconnect,
    Packet,
    ProtocolError,
    Reason,
    encode,
)

CHUNK = 65_536  # bytes read at once


class Connection:
    """Reads packets until the stream ends; writes are dropped once it is closed.

    `most_out`: bytes that may wait for a peer that does not read; beyond it the connection is closed.
    """

    def __init__(self, stream: IOStream, version: int, most_packet: int, most_out: int) -> None:
        self.stream = stream
        self.decoder = Decoder(version, most_packet)
        self.peer_most = 0  # the peer's Maximum Packet Size; 0 is none
        self.heard = self.spoke = time.monotonic()
        self.closed = False
        self.why = ""  # why it ended, for the log
        self.connected = False  # the handshake is over
        self.server = version == 0
        stream.max_write_buffer_size = most_out

    @property
    def version(self) -> int:
        return self.decoder.version

    async def run(self, on_packet: Callable[[Packet], None]) -> None:
        """Hand on packets until the end.

        A protocol error ends the connection with its reason code; it is the peer's and nobody else's trouble.
        """
        try:
            while not self.closed:
                data = await self.stream.read_bytes(CHUNK, partial=True)
                self.heard = time.monotonic()
                for packet in self.decoder.feed(data):
                    on_packet(packet)
                    if self.closed:
                        break
        except StreamClosedError:
            self.why = self.why or "closed by the peer"
        except ProtocolError as error:
            self.close(error.reason, str(error))
        finally:
            self.closed = True
            self.stream.close()

    def send(self, packets: Iterable[Packet]) -> None:
        """Write packets; one larger than the peer takes is left out (3.3.4)."""
        if self.closed:
            return
        blob = b""
        for packet in packets:
            data = encode(packet, self.version)
            if not self.peer_most or len(data) <= self.peer_most:
                blob += data
        if blob:
            self.spoke = time.monotonic()
            try:
                # The future is not waited for: the bound on the buffer is the back pressure.
                self.stream.write(blob)
            except StreamBufferFullError:
                self.abort("the peer does not read what it is sent")
            except StreamClosedError:
                self.closed = True

    def close(self, reason: Reason, text: str) -> None:
        """End the connection, telling the peer why where its version can be told."""
        if self.closed:
            return
        self.why = self.why or f"{reason.name}: {text}"
        properties = {"reason_string": text[:200]} if text else {}
        if self.version == V5 and self.connected:
            self.send([Disconnect(reason, properties)])
        elif self.server and not self.connected and reason is not Reason.OK:
            code = reason if self.version == V5 else {Reason.VERSION: 1, Reason.CLIENT_ID: 2}.get(reason, 3)
            if self.version:
                self.send([Connack(False, code, properties if self.version == V5 else {})])
        self.closed = True
        # What was just written goes out first; a peer that does not read can't keep the socket.
        self.stream.io_loop.call_later(
            0.2, self.stream.close
        ) if self.stream.writing() else self.stream.close()

    def abort(self, why: str) -> None:
        """End the connection without a word."""
        self.why = self.why or why
        self.closed = True
        self.stream.close()
