"""Commands to workers and their answers: RESP arrays of bulk strings, and what an answer proves.  No I/O.

Every length is bounded before memory is taken for it.
"""

from __future__ import annotations

from swiftwell.fronts.trigger import Ran
from swiftwell.interface import Status
from swiftwell.workers.verdict import Verdict

MOST_ID, MOST_WORD, MOST_FIELDS = 64, 16, 1_024  # bytes; ids have 16, words 5, fields some dozens
MOST_BODY = 262_144  # bytes of an answer's body: sixteen times what a request's may have
MOST_LINE = 10  # bytes of a count or a length with its mark
PARTS = 4  # id, word, fields, body
_MOST = (MOST_ID, MOST_WORD, MOST_FIELDS, MOST_BODY)

Answer = tuple[bytes, bytes, bytes, bytes]


class RespError(ValueError):
    """Bytes that are no answer: the connection can't be trusted any more."""


def command(*words: bytes) -> bytes:
    """One array of bulk strings."""
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        parts.append(b"$%d\r\n%b\r\n" % (len(word), word))
    return b"".join(parts)


class Parser:
    """Bytes in, whole answers out.

    >>> Parser().feed(command(b"7", b"DONE", b"-", b"body"))
    [(b'7', b'DONE', b'-', b'body')]
    """

    def __init__(self) -> None:
        self._rest = bytearray()
        self._need = 0  # so many bytes must stand before it is worth looking again
        self._error: RespError | None = None  # what follows the answers that were given out

    def feed(self, data: bytes) -> list[Answer]:
        """Raises RespError, but not for bytes behind whole answers: these count, and `check` tells it."""
        self.check()
        self._rest += data
        if len(self._rest) < self._need:
            return []
        whole, at, found = bytes(self._rest), 0, []
        try:
            while at < len(whole):
                one = self._one(whole, at)
                if one is None:
                    break
                at = one[1]
                found.append(one[0])
        except RespError as error:
            if not found:
                raise
            self._error = error
        if at:
            del self._rest[:at]
            self._need = max(0, self._need - at)
        return found

    def check(self) -> None:
        """Raises the RespError of bytes that came behind the answers last given."""
        if self._error is not None:
            raise self._error

    def _one(self, whole: bytes, at: int) -> tuple[Answer, int] | None:
        """The answer that begins there and its end; None while it is not whole."""
        size, at_parts = self._line(whole, at, b"*")
        if at_parts < 0:
            return None
        if size != PARTS:
            raise RespError(f"an array of {size}")
        return self._parts(whole, at_parts)

    def _parts(self, whole: bytes, at: int) -> tuple[Answer, int] | None:
        parts = []
        for most in _MOST:
            size, begin = self._line(whole, at, b"$")
            if begin < 0:
                return None
            if size > most:
                raise RespError(f"a string of {size} bytes")
            at = begin + size + 2
            if at > len(whole):
                self._need = at
                return None
            if whole[at - 2 : at] != b"\r\n":
                raise RespError("a string that does not end where it said")
            parts.append(whole[begin : at - 2])
        return tuple(parts), at  # type: ignore[return-value]

    def _line(self, whole: bytes, at: int, mark: bytes) -> tuple[int, int]:
        """A count or a length and where it ends; -1 there while it is not whole."""
        if whole[at : at + 1] not in (mark, b""):
            raise RespError(f"{whole[at : at + 1]!r} where {mark!r} was due")
        end = whole.find(b"\r\n", at, at + MOST_LINE + 2)
        if end < 0:
            if len(whole) - at > MOST_LINE + 1:
                raise RespError("a line that does not end")
            self._need = len(whole) + 1
            return 0, -1
        digits = whole[at + 1 : end]
        if not digits.isdigit():  # no sign, no space: bytes.isdigit knows ASCII alone
            raise RespError(f"a length {digits!r}")
        return int(digits), end + 2


_ENDS = {
    b"DONE": (Status.OK, Ran.YES),
    b"LACK": (Status.MISS, Ran.NEVER),
    b"WAIT": (Status.FULL, Ran.NEVER),
    b"BROKE": (Status.ERROR, Ran.MAYBE),
    b"PAST": (Status.MOOT, Ran.NEVER),
}
_FOUND = {b"reused": 1, b"init": 2, b"shared_init": 3, b"init_error": 4}


def fields(text: bytes) -> dict[bytes, bytes]:
    """`name=value,name=value`, or `-`; raises RespError."""
    if text == b"-":
        return {}
    found = {}
    for part in text.split(b","):
        name, sign, value = part.partition(b"=")
        if not sign or not name:
            raise RespError(f"fields {text[:40]!r}")
        found[name] = value
    return found


def count(found: dict[bytes, bytes], name: bytes) -> int:
    """A whole number of the fields, 0 where it is not told; raises RespError."""
    text = found.get(name, b"0")
    if not text.isdigit() or len(text) > 9:
        raise RespError(f"{name!r} is {text[:40]!r}")
    return int(text)


def verdict(word: bytes, text: bytes) -> Verdict:
    """What an answer to FN proves; raises RespError where it can't be one."""
    end = _ENDS.get(word)
    if end is None:
        raise RespError(f"the word {word!r}")
    told = fields(text)
    return Verdict(*end, _FOUND.get(told.get(b"why", b""), 0), count(told, b"rivals"))


def stands(word: bytes, text: bytes) -> tuple[Status, int]:
    """What an answer to SPAWN says: how the order ended, and the copies that stand."""
    end = _ENDS.get(word)
    if end is None or end[0] not in (Status.OK, Status.FULL, Status.ERROR):
        raise RespError(f"the word {word!r} to an order")
    return end[0], count(fields(text), b"instances")


def run(id_: bytes, request_class: str, function: str, left_us: int, body: bytes, token: str = "") -> bytes:
    """The command that runs a call; `token`: under which the worker's group drops repeats of a keyed one."""
    told = b"lane=%b,name=%b,ttl=%d" % (
        request_class.encode(),
        function.encode(),
        max(1, -(-left_us // 1_000)),
    )
    if token:
        told += b",dedupe=%b" % token.encode()
    return command(b"FN", id_, told, body)


def kill(id_: bytes) -> bytes:
    """The command that gives a call up."""
    return command(b"KILL", id_)


def hold(tag: bytes, function: str, copies: int) -> bytes:
    """The order to hold so many copies; with 0 it only asks."""
    return command(b"SPAWN", tag, b"name=%b,instances=%d" % (function.encode(), copies))


def hello(tag: bytes) -> bytes:
    """The question whether a connection works."""
    return command(b"HELO", tag)
