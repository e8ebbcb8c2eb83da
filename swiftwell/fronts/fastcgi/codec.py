"""FastCGI 1.0 records to and from bytes.  No I/O.

A record's content is at most 65,535 bytes by its form, so a length needs no bound of its own: what a request
may take in all is the session's matter.
"""

from __future__ import annotations

from struct import Struct

VERSION = 1
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT, DATA, GET_VALUES = 1, 2, 3, 4, 5, 6, 8, 9
GET_VALUES_RESULT, UNKNOWN_TYPE = 10, 11
RESPONDER = 1
KEEP_CONN = 1
COMPLETE, CANT_MULTIPLEX, OVERLOADED, UNKNOWN_ROLE = 0, 1, 2, 3
MOST_CONTENT = 65_535  # bytes of a record's content, by its form
HEADER = 8  # bytes

_HEAD = Struct(">BBHHBx")
_LONG = Struct(">I")
_END = Struct(">BBHHBxIB3x")
_NOTHING = b""

Record = tuple[int, int, bytes]  # type, number of the request, content


class FastcgiError(ValueError):
    """Bytes that are no FastCGI: the connection can't be trusted any more."""


class Decoder:
    """Bytes in, whole records out; what is not whole yet is kept.

    >>> Decoder().feed(record(STDIN, 1, b"ab"))
    [(5, 1, b'ab')]
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def partial(self) -> bool:
        """Whether a record has begun and is not whole."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Record]:
        """Raises FastcgiError on a version that is not ours."""
        if self._rest:
            data = self._rest + data
        found: list[Record] = []
        at, end = 0, len(data)
        while end - at >= HEADER:
            version, kind, number, length, padding = _HEAD.unpack_from(data, at)
            if version != VERSION:
                raise FastcgiError(f"version {version}")
            body = at + HEADER
            after = body + length + padding
            if after > end:
                break
            found.append((kind, number, data[body : body + length]))
            at = after
        self._rest = data[at:] if at < end else _NOTHING
        return found


def record(kind: int, number: int, content: bytes) -> bytes:
    """One record, without padding."""
    return _HEAD.pack(VERSION, kind, number, len(content), 0) + content


def begin(number: int, role: int = RESPONDER, flags: int = KEEP_CONN) -> bytes:
    """The start of a request."""
    return record(BEGIN, number, bytes((role >> 8, role & 255, flags, 0, 0, 0, 0, 0)))


def ended(number: int, status: int = COMPLETE, code: int = 0) -> bytes:
    """The end of an answer."""
    return _END.pack(VERSION, END, number, 8, 0, code, status)


def answer(number: int, content: bytes) -> bytes:
    """A whole answer: STDOUT in as many records as it takes, its end, END_REQUEST."""
    if len(content) <= MOST_CONTENT:
        parts = [record(STDOUT, number, content)]
    else:
        parts = [
            record(STDOUT, number, content[at : at + MOST_CONTENT])
            for at in range(0, len(content), MOST_CONTENT)
        ]
    parts += (record(STDOUT, number, _NOTHING), ended(number))
    return b"".join(parts)


def pairs(data: bytes) -> dict[bytes, bytes]:
    """The name-value pairs of a PARAMS stream; raises FastcgiError on lengths that do not fit.

    A name given twice is an error: it is not for us to choose which was meant.
    """
    found: dict[bytes, bytes] = {}
    at, end = 0, len(data)
    while at < end:
        name, at = _size(data, at)
        value, at = _size(data, at)
        middle = at + name
        after = middle + value
        if after > end:
            raise FastcgiError("a pair is longer than its stream")
        key = data[at:middle]
        if key in found:
            raise FastcgiError(f"{key[:40]!r} is given twice")
        found[key] = data[middle:after]
        at = after
    return found


def _size(data: bytes, at: int) -> tuple[int, int]:
    """A length of one or four bytes, and where it ends."""
    if at < len(data) and data[at] < 128:
        return data[at], at + 1
    if at + 4 > len(data):
        raise FastcgiError("a length is cut off")
    return _LONG.unpack_from(data, at)[0] & 0x7FFFFFFF, at + 4


def pair(name: bytes, value: bytes) -> bytes:
    """One name-value pair."""
    return _length(len(name)) + _length(len(value)) + name + value


def _length(size: int) -> bytes:
    return bytes((size,)) if size < 128 else _LONG.pack(size | 0x80000000)
