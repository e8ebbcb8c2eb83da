"""HTTP/1.1 messages to and from bytes (RFC 9110, RFC 9112): what workers, discovery and health pages need.

No I/O.  Strict on purpose: a message whose end two parsers could see differently is rejected (`BadMessage`),
so that no response can be taken for that of another request.  Rejected are a Content-Length that is repeated,
combined with Transfer-Encoding or not plain digits, codings other than `chunked`, bare line feeds, folded
headers and responses that end with the connection.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

MAX_HEAD_BYTES = 16_384  # start line and headers
MAX_HEADERS = 64
MAX_BODY_BYTES = 1 << 20  # the default of `Parser`
MAX_CHUNK_LINE_BYTES = 256  # chunk size and extensions
MAX_INTERIM = 8  # 1xx responses before the final one

_RESPONSE_START = b"HTTP/1."
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_REQUEST = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/1\.([01])")
_STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: ([\t\x20-\x7e\x80-\xff]*))?")
_DIGITS = re.compile(rb"[0-9]{1,15}")
_CHUNK = re.compile(rb"([0-9a-fA-F]{1,8})[\t ]*(?:;[\t\x20-\x7e\x80-\xff]*)?")


class BadMessage(Exception):
    """The peer sent bytes that are not a valid message, or one that is not supported."""


class TooLarge(BadMessage):
    """A body larger than the limit."""


Headers = dict[str, str]  # names in lower case; values of a repeated header are joined by ", "


@dataclass(slots=True)
class Request:
    """A request.  `keep_alive`: the connection may be used again."""

    method: str
    target: str
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


@dataclass(slots=True)
class Response:
    """A response.  `keep_alive`: the connection may be used again."""

    status: int
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


class MessageStarted(Enum):
    """The head of a message has arrived, its body has not."""

    STARTED = "begun"


class _State(Enum):
    HEAD = 0
    LENGTH = 1
    CHUNK_SIZE = 2
    CHUNK = 3
    CHUNK_END = 4
    TRAILER = 5


class Parser:
    """Incremental parser: yields `MessageStarted.STARTED` with each head, then the whole message.

    `responses`: parses responses, else requests.  `max_body`: limit of a body, in bytes.
    """

    def __init__(self, responses: bool, max_body: int = MAX_BODY_BYTES) -> None:
        self._responses, self._max_body = responses, max_body
        self._buffer = bytearray()
        self._state = _State.HEAD
        self._message: Request | Response | None = None
        self._body: list[bytes] = []
        self._size = self._left = self._trailers = self._interim = 0
        self._scanned = 0  # bytes already searched for the end of the head

    @property
    def idle(self) -> bool:
        """No byte has arrived since the last message ended."""
        return self._state is _State.HEAD and not self._buffer

    @property
    def rest_may_be_response(self) -> bool:
        """Whether the bytes behind the last message, if any, may begin a response.

        If not, the length of the message did not fit.
        """
        rest = bytes(self._buffer[: len(_RESPONSE_START)])
        return _RESPONSE_START.startswith(rest)

    def feed(self, data: bytes) -> Iterator[Request | Response | MessageStarted]:
        """Parse received bytes; raises BadMessage, after which the parser must not be used."""
        self._buffer += data
        while True:
            match self._state:
                case _State.HEAD:
                    if not self._parse_head():
                        return
                    if self._message is None:  # an interim response
                        continue
                    yield MessageStarted.STARTED
                case _State.LENGTH | _State.CHUNK:
                    if not self._read_body():
                        return
                case _State.CHUNK_END:
                    if len(self._buffer) < 2:
                        return
                    if self._buffer[:2] != b"\r\n":
                        raise BadMessage("a chunk does not end where its size says")
                    del self._buffer[:2]
                    self._state = _State.CHUNK_SIZE
                case _State.CHUNK_SIZE:
                    if (line := self._line(MAX_CHUNK_LINE_BYTES)) is None:
                        return
                    matched = _CHUNK.fullmatch(line)
                    if not matched:
                        raise BadMessage("a chunk's size is malformed")
                    self._left = int(matched[1], 16)
                    self._check_size(self._left)
                    self._state = _State.CHUNK if self._left else _State.TRAILER
                case _State.TRAILER:
                    if (line := self._line(MAX_HEAD_BYTES)) is None:
                        return
                    self._trailers += 1
                    if self._trailers > MAX_HEADERS:
                        raise BadMessage("too many trailers")
                    if line:
                        continue  # trailers are ignored
                    self._left = 0
                    self._state = _State.LENGTH
            if self._state is _State.LENGTH and self._left == 0 and self._message is not None:
                message, self._message = self._message, None
                message.body = b"".join(self._body)
                self._body, self._size, self._trailers, self._interim = [], 0, 0, 0
                self._state = _State.HEAD
                yield message

    def _check_size(self, count: int) -> None:
        self._size += count
        if self._size > self._max_body:
            raise TooLarge(f"a body of over {self._max_body} bytes")

    def _line(self, limit: int) -> bytes | None:
        end = self._buffer.find(b"\n", 0, limit + 1)
        if end < 0:
            if len(self._buffer) > limit:
                raise BadMessage("a line is too long")
            return None
        if end == 0 or self._buffer[end - 1] != 13:
            raise BadMessage("a line ends without a carriage return")
        line = bytes(self._buffer[: end - 1])
        del self._buffer[: end + 1]
        return line

    def _read_body(self) -> bool:
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

    def _parse_head(self) -> bool:
        buffer = self._buffer
        end = buffer.find(b"\r\n\r\n", max(0, self._scanned - 3))
        if end < 0:
            self._scanned = len(buffer)
            if len(buffer) > MAX_HEAD_BYTES:
                raise BadMessage(f"a head of over {MAX_HEAD_BYTES} bytes")
            if b"\n" in buffer and b"\n" in bytes(buffer).replace(b"\r\n", b""):
                raise BadMessage("a line ends without a carriage return")
            return False
        if end > MAX_HEAD_BYTES:
            raise BadMessage(f"a head of over {MAX_HEAD_BYTES} bytes")
        lines = bytes(buffer[:end]).split(b"\r\n")
        del buffer[: end + 4]
        self._scanned = 0
        headers, lengths = self._parse_headers(lines[1:])
        self._start_message(lines[0], headers, lengths)
        return True

    def _parse_headers(self, lines: list[bytes]) -> tuple[Headers, int]:
        if len(lines) > MAX_HEADERS:
            raise BadMessage(f"over {MAX_HEADERS} headers")
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

    def _start_message(self, first: bytes, headers: Headers, lengths: int) -> None:
        minor: bytes
        if self._responses:
            matched = _STATUS.fullmatch(first)
            if not matched:
                raise BadMessage("malformed status line")
            minor, status = matched[1], int(matched[2])
            if 100 <= status < 200:
                self._interim += 1
                if status == 101 or self._interim > MAX_INTERIM:
                    raise BadMessage("unsupported or too many interim responses")
                return
            message: Request | Response = Response(status, headers)
            empty = status in (204, 304)
        else:
            matched = _REQUEST.fullmatch(first)
            if not matched:
                raise BadMessage("the request line is malformed")
            minor = matched[3]
            message = Request(matched[1].decode(), matched[2].decode(), headers)
            empty = False
        options = {option.strip().lower() for option in headers.get("connection", "").split(",")}
        message.keep_alive = "close" not in options and (minor == b"1" or "keep-alive" in options)
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
            self._check_size(self._left)
        elif self._responses and not empty:
            raise BadMessage("response without a body length")
        if empty:
            self._state, self._left = _State.LENGTH, 0
        self._message = message


def encode(message: Request | Response) -> bytes:
    """Encode a message with its content length; raises ValueError if a header contains a line break."""
    if isinstance(message, Request):
        first = f"{message.method} {message.target} HTTP/1.1"
    else:
        first = f"HTTP/1.1 {message.status} {'OK' if message.status < 300 else 'No'}"
    lines = [first]
    lines += [f"{name}: {value}" for name, value in message.headers.items()]
    if not message.keep_alive:
        lines.append("connection: close")
    lines.append(f"content-length: {len(message.body)}")
    head = "\r\n".join(lines)
    if head.count("\r") != len(lines) - 1 or head.count("\n") != len(lines) - 1:
        raise ValueError("line break in a header")
    return head.encode("latin-1") + b"\r\n\r\n" + message.body
