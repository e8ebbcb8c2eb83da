"""Assembles the frames of one connection into methods with their contents, per channel.  No I/O.

Used by the gateway's consumer, by the client and by the stand-in broker.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftwell.fronts.amqp.codec import (
    AmqpError,
    Code,
    Decoder,
    Header,
    Method,
    Properties,
    encode_content,
)


@dataclass(slots=True)
class Incoming:
    """A complete method.

    `body` is empty for a method without content.  With `too_large`, the body was skipped.
    """

    channel: int
    method: Method
    properties: Properties | None = None
    body: bytes = b""
    too_large: bool = False


@dataclass(slots=True)
class _Content:
    """A content that is not complete yet."""

    method: Method
    header: Header | None = None
    parts: list[bytes] = field(default_factory=list)
    received_bytes: int = 0


class Wire:
    """One direction of a connection.

    A frame larger than `max_frame_bytes` is an error.  A body larger than `max_body_bytes` is skipped and
    reported as `Incoming.too_large`.
    """

    def __init__(self, max_frame_bytes: int, max_body_bytes: int) -> None:
        self.decoder = Decoder(max_frame_bytes)
        self._max_body_bytes = max_body_bytes
        self._contents: dict[int, _Content] = {}

    def feed(self, data: bytes) -> list[Incoming | None]:
        """Parse received bytes; returns complete methods, and None for each heartbeat.  Raises AmqpError."""
        result: list[Incoming | None] = []
        for channel, item in self.decoder.feed(data):
            if item is None:
                result.append(None)
            elif isinstance(item, bytes):
                self._on_body_frame(channel, item, result)
            elif isinstance(item, Header):
                self._on_header_frame(channel, item, result)
            else:
                if channel in self._contents:
                    raise AmqpError(Code.UNEXPECTED_FRAME, "a method within a content", item.id)
                if item.content:
                    self._contents[channel] = _Content(item)
                else:
                    result.append(Incoming(channel, item))
        return result

    def _on_header_frame(self, channel: int, header: Header, result: list[Incoming | None]) -> None:
        content = self._contents.get(channel)
        if content is None or content.header:
            raise AmqpError(Code.UNEXPECTED_FRAME, "a content header without its method")
        if header.class_id != content.method.id[0]:
            raise AmqpError(Code.FRAME_ERROR, f"a content header of class {header.class_id}")
        content.header = header
        if not header.size:
            self._complete(channel, content, result)

    def _on_body_frame(self, channel: int, payload: bytes, result: list[Incoming | None]) -> None:
        content = self._contents.get(channel)
        if content is None or content.header is None:
            raise AmqpError(Code.UNEXPECTED_FRAME, "a body without its header")
        content.received_bytes += len(payload)
        if content.received_bytes > content.header.size:
            raise AmqpError(Code.FRAME_ERROR, "more body than the header told")
        if content.header.size <= self._max_body_bytes:
            content.parts.append(payload)
        if content.received_bytes == content.header.size:
            self._complete(channel, content, result)

    def _complete(self, channel: int, content: _Content, result: list[Incoming | None]) -> None:
        del self._contents[channel]
        assert content.header
        large = content.header.size > self._max_body_bytes
        body = content.parts[0] if len(content.parts) == 1 else b"".join(content.parts)
        result.append(Incoming(channel, content.method, content.header.properties, body, large))

    def discard_content(self, channel: int) -> None:
        """Discard the incomplete content of a channel that is closed."""
        self._contents.pop(channel, None)

    def pending(self) -> bytes:
        """The incomplete input, re-encoded as bytes that restore this state when they are fed again."""
        result = b""
        for channel, content in self._contents.items():
            if content.header is None:
                # Only the method was received: encode it with an empty content and cut the header off.
                frames = encode_content(channel, content.method, Properties(), b"", 1 << 20)
                result += frames[: 8 + int.from_bytes(frames[3:7], "big")]
                continue
            body = b"".join(content.parts) if content.parts else bytes(content.received_bytes)
            result += _partial_content(channel, content, body)
        return result + bytes(self.decoder.buffer)


def _partial_content(channel: int, content: _Content, body: bytes) -> bytes:
    """The frames received so far of a content whose header states a larger size than `body` has."""
    assert content.header
    size = content.header.size
    empty = encode_content(channel, content.method, content.header.properties, b"", 1 << 20)
    header_at = 8 + int.from_bytes(empty[3:7], "big")
    # The body size is at offset 4 of the header frame's payload, 11 bytes into the frame.
    head = bytearray(empty)
    head[header_at + 11 : header_at + 19] = size.to_bytes(8, "big")
    result = bytes(head)
    for offset in range(0, len(body), 4_000):
        chunk = body[offset : offset + 4_000]
        result += b"\x03" + channel.to_bytes(2, "big") + len(chunk).to_bytes(4, "big") + chunk + b"\xce"
    return result
