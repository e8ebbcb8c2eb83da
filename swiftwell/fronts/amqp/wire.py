"""Frames of one connection put together: each method with its content, channel by channel.  No I/O.

Both ends of a connection use it: the gateway's consumer, its client, and the stand-in broker.
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
    """A method that has come whole.  `body` is empty for one without content; `too_large`: its body was
    skipped."""

    channel: int
    method: Method
    properties: Properties | None = None
    body: bytes = b""
    too_large: bool = False


@dataclass(slots=True)
class _Content:
    """A content under way."""

    method: Method
    header: Header | None = None
    parts: list[bytes] = field(default_factory=list)
    got: int = 0


class Wire:
    """One direction of a connection.

    `most_frame` bytes of a frame, `most_body` of a body that is kept; a larger one is skipped and told.
    """

    def __init__(self, most_frame: int, most_body: int) -> None:
        self.decoder = Decoder(most_frame)
        self._most_body = most_body
        self._contents: dict[int, _Content] = {}

    def feed(self, data: bytes) -> list[Incoming | None]:
        """Take bytes; gives what has come whole, None for a heartbeat.  Raises AmqpError."""
        out: list[Incoming | None] = []
        for channel, item in self.decoder.feed(data):
            if item is None:
                out.append(None)
            elif isinstance(item, bytes):
                self._piece(channel, item, out)
            elif isinstance(item, Header):
                self._header(channel, item, out)
            else:
                if channel in self._contents:
                    raise AmqpError(Code.UNEXPECTED_FRAME, "a method within a content", item.id)
                if item.content:
                    self._contents[channel] = _Content(item)
                else:
                    out.append(Incoming(channel, item))
        return out

    def _header(self, channel: int, header: Header, out: list[Incoming | None]) -> None:
        content = self._contents.get(channel)
        if content is None or content.header:
            raise AmqpError(Code.UNEXPECTED_FRAME, "a content header without its method")
        if header.class_id != content.method.id[0]:
            raise AmqpError(Code.FRAME_ERROR, f"a content header of class {header.class_id}")
        content.header = header
        if not header.size:
            self._whole(channel, content, out)

    def _piece(self, channel: int, piece: bytes, out: list[Incoming | None]) -> None:
        content = self._contents.get(channel)
        if content is None or content.header is None:
            raise AmqpError(Code.UNEXPECTED_FRAME, "a body without its header")
        content.got += len(piece)
        if content.got > content.header.size:
            raise AmqpError(Code.FRAME_ERROR, "more body than the header told")
        if content.header.size <= self._most_body:
            content.parts.append(piece)
        if content.got == content.header.size:
            self._whole(channel, content, out)

    def _whole(self, channel: int, content: _Content, out: list[Incoming | None]) -> None:
        del self._contents[channel]
        assert content.header
        large = content.header.size > self._most_body
        body = content.parts[0] if len(content.parts) == 1 else b"".join(content.parts)
        out.append(Incoming(channel, content.method, content.header.properties, body, large))

    def forget(self, channel: int) -> None:
        """A channel is closed: what had come of a content on it is void."""
        self._contents.pop(channel, None)

    def pending(self) -> bytes:
        """What has come and is not whole yet, as bytes that give the same when they are fed again."""
        out = b""
        for channel, content in self._contents.items():
            if content.header is None:
                # Only the method has come: written with an empty content, without that content's header.
                whole = encode_content(channel, content.method, Properties(), b"", 1 << 20)
                out += whole[: 8 + int.from_bytes(whole[3:7], "big")]
                continue
            body = b"".join(content.parts) if content.parts else bytes(content.got)
            out += _begun(channel, content, body)
        return out + bytes(self.decoder.buffer)


def _begun(channel: int, content: _Content, body: bytes) -> bytes:
    """A content whose header tells more than `body`: the frames that have come of it."""
    assert content.header
    size = content.header.size
    empty = encode_content(channel, content.method, content.header.properties, b"", 1 << 20)
    first = 8 + int.from_bytes(empty[3:7], "big")
    # The size stands 4 bytes into the header frame's payload.
    head = bytearray(empty)
    head[first + 11 : first + 19] = size.to_bytes(8, "big")
    out = bytes(head)
    for at in range(0, len(body), 4_000):
        part = body[at : at + 4_000]
        out += b"\x03" + channel.to_bytes(2, "big") + len(part).to_bytes(4, "big") + part + b"\xce"
    return out
