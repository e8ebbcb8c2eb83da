"""One MQTT connection over a Tornado stream, with bounded input and output.  Used in every role.

It holds no session state: received packets go to `on_packet`, and the owner of the session sends through it.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from swiftwell.fair_reads import FairReader, ProcessingTurns, ReadTurns
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

READ_BYTES = 4_096  # per read, which may hold 2,048 packets


class Connection:
    """Reads packets until the stream ends; writes to a closed connection are dropped.

    `version` is 0 on the server side until the CONNECT is received.  The connection is closed when more than
    `max_unsent_bytes` wait for a peer that does not read.  `turns` are shared by the connections of one
    endpoint.
    """

    def __init__(
        self,
        stream: IOStream,
        version: int,
        max_packet_bytes: int,
        max_unsent_bytes: int,
        turns: ProcessingTurns | None = None,
    ) -> None:
        self.stream = stream
        self._reader = FairReader(stream, READ_BYTES, ReadTurns())
        self.turns = turns or ProcessingTurns(READ_BYTES)
        self.decoder = Decoder(version, max_packet_bytes)
        self.peer_max_packet_bytes = 0  # Maximum Packet Size of the peer; 0: no limit
        self.received_at = self.sent_at = time.monotonic()
        self.closed = False
        self.close_reason = ""  # for the log
        self.connected = False  # the handshake is complete
        self.server = version == 0
        stream.max_write_buffer_size = max_unsent_bytes

    @property
    def version(self) -> int:
        """The protocol level; 0 on a server until it has received the CONNECT."""
        return self.decoder.version

    async def run(self, on_packet: Callable[[Packet], None]) -> None:
        """Read packets and pass them on until the connection ends.

        A protocol error ends this connection only, with the reason code of the error.
        """
        try:
            size = 0  # a decoder that was taken over may hold packets already
            while not self.closed:
                await self.turns.wait(size)
                for packet in self.decoder.feed():
                    if self.closed:
                        break
                    on_packet(packet)
                if not self.closed:
                    size = await self._receive()
        except StreamClosedError:
            self.close_reason = self.close_reason or "closed by the peer"
        except ProtocolError as error:
            self.close(error.reason, str(error))
        except Exception as error:  # a broker link must go on with a new connection
            self.close(Reason.UNSPECIFIED, f"failed: {type(error).__name__}: {error}")
        finally:
            self.closed = True
            self._reader.close()
            self.stream.close()

    async def _receive(self) -> int:
        """Read bytes into the decoder; returns how many."""
        data = await self._reader.read()
        self.received_at = time.monotonic()
        self.decoder.receive(data)
        return len(data)

    def send(self, packets: Iterable[Packet]) -> None:
        """Write packets, except for those that exceed the peer's Maximum Packet Size (3.3.4)."""
        if self.closed:
            return
        buffer = b""
        for packet in packets:
            data = encode(packet, self.version)
            if not self.peer_max_packet_bytes or len(data) <= self.peer_max_packet_bytes:
                buffer += data
        if buffer:
            self.sent_at = time.monotonic()
            try:
                # The future is not awaited: the bounded write buffer provides the back pressure.
                self.stream.write(buffer)
            except StreamBufferFullError:
                self.abort("the peer does not read; the send buffer is full")
            except StreamClosedError:
                self.closed = True

    def close(self, reason: Reason, text: str) -> None:
        """Close the connection; sends the reason where the protocol version allows it."""
        if self.closed:
            return
        self.close_reason = self.close_reason or f"{reason.name}: {text}"
        properties = {"reason_string": text[:200]} if text else {}
        if self.version == V5 and self.connected:
            self.send([Disconnect(reason, properties)])
        elif self.server and not self.connected and reason is not Reason.OK:
            code = reason if self.version == V5 else {Reason.VERSION: 1, Reason.CLIENT_ID: 2}.get(reason, 3)
            if self.version:
                self.send([Connack(False, code, properties if self.version == V5 else {})])
        self.closed = True
        # Pending output gets 0.2 s to be sent, so that a peer that does not read can't keep the socket open.
        self.stream.io_loop.call_later(
            0.2, self.stream.close
        ) if self.stream.writing() else self.stream.close()

    def abort(self, reason: str) -> None:
        """Close the connection without a packet."""
        self.close_reason = self.close_reason or reason
        self.closed = True
        self.stream.close()
