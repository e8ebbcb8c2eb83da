"""HTTP/1.1 messages to and from bytes (RFC 9110, RFC 9112), as far as workers, lists and health pages need.
 No I/O.

Strict on purpose: a message whose end two readers could see differently is refused (`BadMessage`), so no
answer can be taken
for another's.  Content-Length stated twice, with Transfer-Encoding, or not as plain digits; codings other
than
`chunked`; bare line feeds; folded headers; answers that end with the connection: none of them is served.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

MOST_HEAD = 16_384  # bytes of a start line with its headers
MOST_HEADERS = 64
MOST_BODY = 1 << 20  # bytes, unless told otherwise
MOST_CHUNK_LINE = 256  # bytes of a chunk's size with its extensions
MOST_INTERIM = 8  # 1xx answers before the final one

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_REQUEST = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/1\.([01])")
_STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: ([\t\x20-\x7e\x80-\xff]*))?")
_DIGITS = re.compile(rb"[0-9]{1,15}")
_CHUNK = re.compile(rb"([0-9a-fA-F]{1,8})[\t ]*(?:;[\t\x20-\x7e\x80-\xff]*)?")


class BadMessage(Exception):
    """The peer's bytes are no message that may be served."""


class TooLarge(BadMessage):
    """A body beyond the bound."""


Headers = dict[str, str]  # names in lower case; repeated ones joined by ", "


@dataclass(slots=True)
class Request:
    method: str
    target: str
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    keep: bool = True  # the connection may be used again


@dataclass(slots=True)
class Response:
    status: int
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    keep: bool = True


class Begun(Enum):
    """The head of a message has come, its body is under way."""

    BEGUN = "begun"


class _State(Enum):
    HEAD = 0
    LENGTH = 1
    CHUNK_SIZE = 2
    CHUNK = 3
    CHUNK_END = 4
    TRAILER = 5


class Parser:
    """Bytes in, whole messages out; `Begun.BEGUN` once for each, with its head.

    `answers`: it reads responses, else requests.  `most_body`: bytes of a body.
    """

    def __init__(self, answers: bool, most_body: int = MOST_BODY) -> None:
        self._answers, self._most = answers, most_body
        self._buffer = bytearray()
        self._state = _State.HEAD
        self._message: Request | Response | None = None
        self._body: list[bytes] = []
        self._size = self._left = self._trailers = self._interim = 0
        self._scanned = 0  # bytes known to hold no end of head

    @property
    def idle(self) -> bool:
        """Nothing of a message has come since the last one ended."""
        return self._state is _State.HEAD and not self._buffer

    def feed(self, data: bytes) -> Iterator[Request | Response | Begun]:
        """Take bytes; raises BadMessage, after which it is of no use."""
        self._buffer += data
        while True:
            match self._state:
                case _State.HEAD:
                    if not self._head():
                        return
                    if self._message is None:  # an interim answer
                        continue
                    yield Begun.BEGUN
                case _State.LENGTH | _State.CHUNK:
                    if not self._some():
                        return
                case _State.CHUNK_END:
                    if len(self._buffer) < 2:
                        return
                    if self._buffer[:2] != b"\r\n":
                        raise BadMessage("a chunk does not end where its size says")
                    del self._buffer[:2]
                    self._state = _State.CHUNK_SIZE
                case _State.CHUNK_SIZE:
                    if (line := self._line(MOST_CHUNK_LINE)) is None:
                        return
                    found = _CHUNK.fullmatch(line)
                    if not found:
                        raise BadMessage("a chunk's size is malformed")
                    self._left = int(found[1], 16)
                    self._room(self._left)
                    self._state = _State.CHUNK if self._left else _State.TRAILER
                case _State.TRAILER:
                    if (line := self._line(MOST_HEAD)) is None:
                        return
                    self._trailers += 1
                    if self._trailers > MOST_HEADERS:
                        raise BadMessage("too many trailers")
                    if line:
                        continue  # trailers tell us nothing
                    self._left = 0
                    self._state = _State.LENGTH
            if self._state is _State.LENGTH and self._left == 0 and self._message is not None:
                message, self._message = self._message, None
                message.body = b"".join(self._body)
                self._body, self._size, self._trailers, self._interim = [], 0, 0, 0
                self._state = _State.HEAD
                yield message

    def _room(self, count: int) -> None:
        self._size += count
        if self._size > self._most:
            raise TooLarge(f"a body of over {self._most} bytes")

    def _line(self, most: int) -> bytes | None:
        end = self._buffer.find(b"\n", 0, most + 1)
        if end < 0:
            if len(self._buffer) > most:
                raise BadMessage("a line is too long")
            return None
        if end == 0 or self._buffer[end - 1] != 13:
            raise BadMessage("a line ends without a carriage return")
        line = bytes(self._buffer[: end - 1])
        del self._buffer[: end + 1]
        return line

    def _some(self) -> bool:
        take = min(self._left, len(self._buffer))
        if take:
            self._body.append(bytes(self._buffer[:take]))
            del self._buffer[:take]
            self._left -= take
        if self._left:
            return False
        if self._state is _State.CHUNK:
            self._state = _State.CHUNK_END
        return True

    def _head(self) -> bool:
        buffer = self._buffer
        end = buffer.find(b"\r\n\r\n", max(0, self._scanned - 3))
        if end < 0:
            self._scanned = len(buffer)
            if len(buffer) > MOST_HEAD:
                raise BadMessage(f"a head of over {MOST_HEAD} bytes")
            if b"\n" in buffer and b"\n" in bytes(buffer).replace(b"\r\n", b""):
                raise BadMessage("a line ends without a carriage return")
            return False
        if end > MOST_HEAD:
            raise BadMessage(f"a head of over {MOST_HEAD} bytes")
        lines = bytes(buffer[:end]).split(b"\r\n")
        del buffer[: end + 4]
        self._scanned = 0
        headers, lengths = self._headers(lines[1:])
        self._frame(lines[0], headers, lengths)
        return True

    def _headers(self, lines: list[bytes]) -> tuple[Headers, int]:
        if len(lines) > MOST_HEADERS:
            raise BadMessage(f"over {MOST_HEADERS} headers")
        headers: Headers = {}
        lengths = 0
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon or not _TOKEN.fullmatch(name) or not _VALUE.fullmatch(value):
                raise BadMessage("a header is malformed")
            key, text = name.decode().lower(), value.strip(b" \t").decode("latin-1")
            lengths += key == "content-length"
            headers[key] = f"{headers[key]}, {text}" if key in headers else text
        return headers, lengths

    def _frame(self, first: bytes, headers: Headers, lengths: int) -> None:
        minor: bytes
        if self._answers:
            found = _STATUS.fullmatch(first)
            if not found:
                raise BadMessage("the status line is malformed")
            minor, status = found[1], int(found[2])
            if 100 <= status < 200:
                self._interim += 1
                if status == 101 or self._interim > MOST_INTERIM:
                    raise BadMessage("an interim answer that is not served")
                return
            message: Request | Response = Response(status, headers)
            empty = status in (204, 304)
        else:
            found = _REQUEST.fullmatch(first)
            if not found:
                raise BadMessage("the request line is malformed")
            minor = found[3]
            message = Request(found[1].decode(), found[2].decode(), headers)
            empty = False
        options = {option.strip().lower() for option in headers.get("connection", "").split(",")}
        message.keep = "close" not in options and (minor == b"1" or "keep-alive" in options)
        coding, length = headers.get("transfer-encoding"), headers.get("content-length")
        self._left, self._state = 0, _State.LENGTH
        if coding is not None:
            if lengths or minor == b"0" or coding.lower() != "chunked":
                raise BadMessage("the body's length is stated in two ways, or by a coding that is not served")
            self._state = _State.CHUNK_SIZE
        elif lengths:
            if lengths > 1 or not _DIGITS.fullmatch(length.encode("latin-1")):  # type: ignore[union-attr]
                raise BadMessage("the content length is malformed or stated twice")
            self._left = int(length)  # type: ignore[arg-type]
            self._room(self._left)
        elif self._answers and not empty:
            raise BadMessage("an answer without a stated length")
        if empty:
            self._state, self._left = _State.LENGTH, 0
        self._message = message


def encode(message: Request | Response) -> bytes:
    """A message as bytes, with its content length; raises ValueError for headers that can't stand on a
    line."""
    if isinstance(message, Request):
        first = f"{message.method} {message.target} HTTP/1.1"
    else:
        first = f"HTTP/1.1 {message.status} {'OK' if message.status < 300 else 'No'}"
    lines = [first]
    lines += [f"{name}: {value}" for name, value in message.headers.items()]
    if not message.keep:
        lines.append("connection: close")
    lines.append(f"content-length: {len(message.body)}")
    head = "\r\n".join(lines)
    if head.count("\r") != len(lines) - 1 or head.count("\n") != len(lines) - 1:
        raise ValueError("a header holds a line break")
    return head.encode("latin-1") + b"\r\n\r\n" + message.body
