"""FastCGI 1.0 records to and from bytes.  No I/O.

The length field limits a record's content to 65,535 bytes, so the codec needs no limit of its own; the
session limits the size of a whole request.
"""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct

VERSION = 1
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT, DATA, GET_VALUES = 1, 2, 3, 4, 5, 6, 8, 9
GET_VALUES_RESULT, UNKNOWN_TYPE = 10, 11
RESPONDER = 1
KEEP_CONN = 1
COMPLETE, CANT_MULTIPLEX, OVERLOADED, UNKNOWN_ROLE = 0, 1, 2, 3
MAX_CONTENT_BYTES = 65_535  # of a record, by its 16-bit length field
HEADER_BYTES = 8

_RECORD_HEADER = Struct(">BBHHBx")
_UINT32 = Struct(">I")
_END_REQUEST = Struct(">BBHHBxIB3x")
_EMPTY = b""

Record = tuple[int, int, bytes]  # type, request number, content


class FastcgiError(ValueError):
    """Invalid FastCGI; the connection must be closed."""


class Decoder:
    """Incremental decoder of records.

    Of a record's content at most `max_content` bytes are kept, and given out; the rest is skipped.

    >>> Decoder().feed(record(STDIN, 1, b"ab"))
    [(5, 1, b'ab')]
    """

    def __init__(self, max_content: int = MAX_CONTENT_BYTES) -> None:
        self._buffer, self._at = _EMPTY, 0  # bytes that are not decoded yet begin there
        self._max_content = max_content
        self._skipped_bytes = 0  # still to come of a record of which nothing more is kept

    @property
    def partial(self) -> bool:
        """Whether bytes are left that belong to no record given out: after the last one, it is incomplete."""
        return self._at < len(self._buffer) or self._skipped_bytes > 0

    @property
    def buffered_bytes(self) -> int:
        """Size of what is buffered."""
        return len(self._buffer)

    def receive(self, data: bytes) -> None:
        """Take further bytes of the stream; `next_records` decodes them."""
        self._buffer = self._buffer[self._at :] + data if self._at < len(self._buffer) else data
        self._at = 0

    def next_records(self, limit: int) -> list[Record]:
        """The next records that are complete, at most so many; raises FastcgiError on an unknown version.

        The others stay encoded: a read of tiny records takes a dozen times its size once they are decoded.
        """
        buffer, decoded = self._buffer, []
        end = len(buffer)
        at = self._at + min(self._skipped_bytes, end - self._at)
        self._skipped_bytes -= at - self._at
        while end - at >= HEADER_BYTES and len(decoded) < limit:
            version, kind, number, length, padding = _RECORD_HEADER.unpack_from(buffer, at)
            if version != VERSION:
                raise FastcgiError(f"unsupported version {version}")
            body = at + HEADER_BYTES
            after = body + length + padding
            if after > end:
                if length <= self._max_content or end - body < self._max_content:
                    break
                length, self._skipped_bytes = self._max_content, after - end
                after = end
            elif length > self._max_content:
                length = self._max_content
            decoded.append((kind, number, buffer[body : body + length]))
            at = after
        if at < end:
            self._at = at
        else:
            self._buffer, self._at = _EMPTY, 0
        return decoded

    def headers(self, following: bytes) -> Iterator[tuple[int, int]]:
        """Type and number of each record in what is not decoded yet and the bytes that follow it."""
        data = self._buffer[self._at :] + following
        at, end = self._skipped_bytes, len(data) - HEADER_BYTES
        while at <= end:
            _, kind, number, length, padding = _RECORD_HEADER.unpack_from(data, at)
            yield kind, number
            at += HEADER_BYTES + length + padding

    def feed(self, data: bytes) -> list[Record]:
        """Take further bytes; returns all records that are now complete."""
        self.receive(data)
        return self.next_records(len(data) + 1)


def record(kind: int, number: int, content: bytes) -> bytes:
    """Encode a record, without padding."""
    return _RECORD_HEADER.pack(VERSION, kind, number, len(content), 0) + content


def begin(number: int, role: int = RESPONDER, flags: int = KEEP_CONN) -> bytes:
    """The BEGIN_REQUEST record of a request."""
    return record(BEGIN, number, bytes((role >> 8, role & 255, flags, 0, 0, 0, 0, 0)))


def end_request(number: int, status: int = COMPLETE, code: int = 0) -> bytes:
    """The END_REQUEST record of a response."""
    return _END_REQUEST.pack(VERSION, END, number, 8, 0, code, status)


def response(number: int, content: bytes) -> bytes:
    """A whole response: as many STDOUT records as needed, the empty one that ends them, END_REQUEST."""
    if len(content) <= MAX_CONTENT_BYTES:
        parts = [record(STDOUT, number, content)]
    else:
        parts = [
            record(STDOUT, number, content[at : at + MAX_CONTENT_BYTES])
            for at in range(0, len(content), MAX_CONTENT_BYTES)
        ]
    parts += (record(STDOUT, number, _EMPTY), end_request(number))
    return b"".join(parts)


def pairs(data: bytes) -> dict[bytes, bytes]:
    """Decode the name-value pairs of a PARAMS stream; raises FastcgiError if they are malformed.

    A repeated name is an error, as it is ambiguous.
    """
    decoded: dict[bytes, bytes] = {}
    at, end = 0, len(data)
    while at < end:
        name, at = _decode_length(data, at)
        value, at = _decode_length(data, at)
        middle = at + name
        after = middle + value
        if after > end:
            raise FastcgiError("name-value pair longer than its stream")
        key = data[at:middle]
        if key in decoded:
            raise FastcgiError(f"repeated name {key[:40]!r}")
        decoded[key] = data[middle:after]
        at = after
    return decoded


def _decode_length(data: bytes, at: int) -> tuple[int, int]:
    """Decode a length of one or four bytes; returns it and the offset behind it."""
    if at < len(data) and data[at] < 128:
        return data[at], at + 1
    if at + 4 > len(data):
        raise FastcgiError("truncated length")
    return _UINT32.unpack_from(data, at)[0] & 0x7FFFFFFF, at + 4


def pair(name: bytes, value: bytes) -> bytes:
    """Encode a name-value pair."""
    return _encode_length(len(name)) + _encode_length(len(value)) + name + value


def _encode_length(size: int) -> bytes:
    return bytes((size,)) if size < 128 else _UINT32.pack(size | 0x80000000)
