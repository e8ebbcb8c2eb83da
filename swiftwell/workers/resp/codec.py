"""Commands to workers and their answers as RESP arrays of bulk strings, and what an answer proves.  No I/O.

Every length is checked against its limit before memory is allocated for it.
"""

from __future__ import annotations

from collections.abc import Container

from swiftwell.fronts.trigger import Ran
from swiftwell.interface import Status
from swiftwell.workers.verdict import Verdict

# Bytes; ids have 16, result words 5, fields a few dozen.
MAX_ID_BYTES, MAX_RESULT_BYTES, MAX_FIELDS_BYTES = 64, 16, 1_024
MAX_BODY_BYTES = 262_144  # 16 times the limit of a request body
MAX_LENGTH_LINE_BYTES = 10  # a count or a length with its type byte
ANSWER_STRINGS = 4  # id, result, fields, body
_MAX_STRING_BYTES = (MAX_ID_BYTES, MAX_RESULT_BYTES, MAX_FIELDS_BYTES, MAX_BODY_BYTES)
_ANSWER_START = b"*%d\r\n$" % ANSWER_STRINGS

Answer = tuple[bytes, bytes, bytes, bytes]


class RespError(ValueError):
    """Bytes that are not a valid answer; the connection must be closed."""


def encode(*arguments: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    parts = [b"*%d\r\n" % len(arguments)]
    for argument in arguments:
        parts.append(b"$%d\r\n%b\r\n" % (len(argument), argument))
    return b"".join(parts)


class Parser:
    """Incremental parser of answers.

    A length that does not fit may end at a CR LF of the body by chance.  What follows tells: an answer is
    returned only if nothing was received behind it yet, or what may be the start of another answer.

    >>> Parser().feed(encode(b"7", b"DONE", b"-", b"body"))
    [(b'7', b'DONE', b'-', b'body')]
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._needed = 0  # bytes that must be buffered before parsing can get any further
        self._error: RespError | None = None  # found behind the answers last returned

    @property
    def buffered_bytes(self) -> int:
        """Size of what is read of answers that are not whole."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Answer]:
        """Return the answers that are now whole.

        Raises RespError on invalid bytes.  If answers that can be believed precede them, these are returned
        first, and `check` raises the error.
        """
        self.check()
        self._buffer += data
        if len(self._buffer) < self._needed:
            return []
        buffered, at, answers = bytes(self._buffer), 0, []
        try:
            while at < len(buffered):
                parsed = self._parse_answer(buffered, at)
                if parsed is None:
                    break
                at = parsed[1]
                answers.append(parsed[0])
        except RespError as error:
            if not buffered.startswith(_ANSWER_START, at):
                del answers[-1:]  # its lengths did not fit, or what follows it is spoilt
            if not answers:
                raise
            self._error = error
        if at:
            del self._buffer[:at]
            self._needed = max(0, self._needed - at)
        return answers

    def check(self) -> None:
        """Raise the RespError found behind the answers last returned, if any."""
        if self._error is not None:
            raise self._error

    def _parse_answer(self, buffered: bytes, at: int) -> tuple[Answer, int] | None:
        """The answer that starts at `at`, and its end; None while it is incomplete."""
        size, strings_at = self._parse_length(buffered, at, b"*")
        if strings_at < 0:
            return None
        if size != ANSWER_STRINGS:
            raise RespError(f"array of {size} elements, expected {ANSWER_STRINGS}")
        return self._parse_strings(buffered, strings_at)

    def _parse_strings(self, buffered: bytes, at: int) -> tuple[Answer, int] | None:
        strings = []
        for limit in _MAX_STRING_BYTES:
            size, begin = self._parse_length(buffered, at, b"$")
            if begin < 0:
                return None
            if size > limit:
                raise RespError(f"bulk string of {size} bytes, limit {limit}")
            at = begin + size + 2
            if at > len(buffered):
                self._needed = at
                return None
            if buffered[at - 2 : at] != b"\r\n":
                raise RespError("bulk string does not end where its length says")
            strings.append(buffered[begin : at - 2])
        return tuple(strings), at  # type: ignore[return-value]

    def _parse_length(self, buffered: bytes, at: int, type_byte: bytes) -> tuple[int, int]:
        """A count or a length, and where its line ends: -1 while the line is incomplete."""
        if buffered[at : at + 1] not in (type_byte, b""):
            raise RespError(f"got {buffered[at : at + 1]!r}, expected {type_byte!r}")
        end = buffered.find(b"\r\n", at, at + MAX_LENGTH_LINE_BYTES + 2)
        if end < 0:
            if len(buffered) - at > MAX_LENGTH_LINE_BYTES + 1:
                raise RespError("length line without an end")
            self._needed = len(buffered) + 1
            return 0, -1
        digits = buffered[at + 1 : end]
        if not digits.isdigit():  # rejects signs and spaces; bytes.isdigit accepts only ASCII digits
            raise RespError(f"malformed length {digits!r}")
        return int(digits), end + 2


def swallowed_id(body: bytes, ids: Container[bytes]) -> bytes:
    """The first of these ids whose answer is framed within another answer's body; b"" if there is none.

    The length of such a body was too long and ended at a later answer's end.  Whatever made the body does not
    know the ids of other requests.
    """
    at = body.find(b"\r\n" + _ANSWER_START)
    while at >= 0:
        _, _, rest = body[at + 2 + len(_ANSWER_START) :].partition(b"\r\n")
        id_ = rest[:MAX_ID_BYTES].partition(b"\r\n")[0]
        if id_ in ids:
            return id_
        at = body.find(b"\r\n" + _ANSWER_START, at + 1)
    return b""


_RESULTS = {
    b"DONE": (Status.OK, Ran.YES),
    b"LACK": (Status.MISS, Ran.NEVER),
    b"WAIT": (Status.FULL, Ran.NEVER),
    b"BROKE": (Status.ERROR, Ran.MAYBE),
    b"PAST": (Status.MOOT, Ran.NEVER),
}
_COPY_STATES = {b"reused": 1, b"init": 2, b"shared_init": 3, b"init_error": 4}


def parse_fields(text: bytes) -> dict[bytes, bytes]:
    """Parse `name=value,name=value`, or `-` for no fields; raises RespError."""
    if text == b"-":
        return {}
    fields = {}
    for part in text.split(b","):
        name, sign, value = part.partition(b"=")
        if not sign or not name:
            raise RespError(f"malformed fields {text[:40]!r}")
        fields[name] = value
    return fields


def parse_count(fields: dict[bytes, bytes], name: bytes) -> int:
    """A whole number among the fields, 0 if absent; raises RespError."""
    text = fields.get(name, b"0")
    if not text.isdigit() or len(text) > 9:
        raise RespError(f"malformed field {name!r}: {text[:40]!r}")
    return int(text)


def run_verdict(result: bytes, text: bytes) -> Verdict:
    """What an answer to FN proves; raises RespError if it is not a valid answer."""
    outcome = _RESULTS.get(result)
    if outcome is None:
        raise RespError(f"unknown result {result!r}")
    fields = parse_fields(text)
    return Verdict(*outcome, _COPY_STATES.get(fields.get(b"why", b""), 0), parse_count(fields, b"rivals"))


def load_result(result: bytes, text: bytes) -> tuple[Status, int]:
    """The answer to SPAWN: the status of the load order, and the number of copies at the worker."""
    outcome = _RESULTS.get(result)
    if outcome is None or outcome[0] not in (Status.OK, Status.FULL, Status.ERROR):
        raise RespError(f"unexpected result {result!r} of a load order")
    return outcome[0], parse_count(parse_fields(text), b"instances")


def run_command(
    id_: bytes, request_class: str, function: str, left_us: int, body: bytes, token: str = ""
) -> bytes:
    """The command that runs a call.

    `token`: under which the worker's group drops repeats of a keyed call.
    """
    fields = b"lane=%b,name=%b,ttl=%d" % (
        request_class.encode(),
        function.encode(),
        max(1, -(-left_us // 1_000)),
    )
    if token:
        fields += b",dedupe=%b" % token.encode()
    return encode(b"FN", id_, fields, body)


def kill_command(id_: bytes) -> bytes:
    """The command that cancels a call."""
    return encode(b"KILL", id_)


def load_command(tag: bytes, function: str, copies: int) -> bytes:
    """The order to load this many copies; with 0, a query for the number of copies."""
    return encode(b"SPAWN", tag, b"name=%b,instances=%d" % (function.encode(), copies))


def hello_command(tag: bytes) -> bytes:
    """The command that checks whether a connection works."""
    return encode(b"HELO", tag)
