"""AMQP 0-9-1 frames, methods, field tables and content headers to and from bytes.  No I/O, no state but a
decoder's buffer.

Written from the public 0-9-1 specification (sections named in comments are its own) and the published
extensions that today's brokers speak: publisher confirms, `basic.nack`, `connection.blocked`,
`connection.update-secret`, exchange bindings, and the field types as they are used in practice (the
specification's table of types contradicts its grammar).

Every length is checked before anything of it is kept; nesting and counts are bounded.  What is wrong raises
`AmqpError` with the reply code that the connection or channel should end with; nothing else is ever raised by
`Decoder`.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, fields
from decimal import Decimal, InvalidOperation
from enum import IntEnum
from functools import lru_cache
from typing import Any, ClassVar, TypeVar

GREETING = b"AMQP\x00\x00\x09\x01"
FRAME_MIN = 4_096  # bytes that every peer must take (4.2.3)
FRAME_EXTRA = 8  # bytes of a frame around its payload
FRAME_END = 0xCE
MOST_DEPTH = 16  # tables and arrays within each other
MOST_FIELDS = 1_024  # fields of one table or array
METHOD, HEADER, BODY, HEARTBEAT = 1, 2, 3, 8
_KINDS = frozenset((METHOD, HEADER, BODY, HEARTBEAT))


class Code(IntEnum):
    """Reply codes (1.8)."""

    OK = 200
    CONTENT_TOO_LARGE = 311
    NO_ROUTE = 312
    NO_CONSUMERS = 313
    CONNECTION_FORCED = 320
    INVALID_PATH = 402
    ACCESS_REFUSED = 403
    NOT_FOUND = 404
    RESOURCE_LOCKED = 405
    PRECONDITION_FAILED = 406
    FRAME_ERROR = 501
    SYNTAX_ERROR = 502
    COMMAND_INVALID = 503
    CHANNEL_ERROR = 504
    UNEXPECTED_FRAME = 505
    RESOURCE_ERROR = 506
    NOT_ALLOWED = 530
    NOT_IMPLEMENTED = 540
    INTERNAL_ERROR = 541


SOFT = frozenset({311, 312, 313, 403, 404, 405, 406})  # end a channel; all others end the connection


class AmqpError(Exception):
    """The peer broke the protocol, or asked for what can't be; `code` ends its channel or connection."""

    def __init__(self, code: Code, text: str, method: tuple[int, int] = (0, 0)) -> None:
        super().__init__(text)
        self.code, self.method = code, method

    @property
    def soft(self) -> bool:
        """Whether it ends the channel only."""
        return self.code in SOFT


class Timestamp(int):
    """Seconds since 1970, as a field of its own type."""


# Types of methods' fields, as the specification names them; a method's annotations are its wire format.
Octet = ShortInt = LongInt = LongLong = int
ShortStr = str
LongStr = bytes
Bit = bool
Table = dict[str, Any]

_FIXED = {"Octet": "B", "ShortInt": "H", "LongInt": "I", "LongLong": "Q"}
_INT32 = struct.Struct(">I")
_FRAME = struct.Struct(">BHI")
_IDS = struct.Struct(">HH")
_CONTENT = struct.Struct(">HHQH")


def _wrong(text: str) -> AmqpError:
    return AmqpError(Code.SYNTAX_ERROR, text)


# Values of field tables (4.2.5.5).


def _short(buf: bytes, at: int) -> tuple[str, int]:
    end = at + 1 + buf[at]
    if end > len(buf):
        raise _wrong("a string goes beyond its frame")
    try:
        return buf[at + 1 : end].decode(), end
    except UnicodeDecodeError:
        raise _wrong("a string is not UTF-8") from None


def _long(buf: bytes, at: int) -> tuple[bytes, int]:
    (size,) = _INT32.unpack_from(buf, at)
    end = at + 4 + size
    if end > len(buf):
        raise _wrong("a string goes beyond its frame")
    return buf[at + 4 : end], end


_NUMBERS = {
    ord(letter): (struct.Struct(">" + form), struct.calcsize(">" + form))
    for letter, form in (("b", "b"), ("B", "B"), ("s", "h"), ("u", "H"), ("I", "i"), ("i", "I"), ("l", "q"),
    ("L", "Q"), ("f", "f"), ("d", "d"))
}  # fmt: skip


def _value(buf: bytes, at: int, depth: int) -> tuple[Any, int]:
    kind = buf[at]
    at += 1
    if kind == 0x53:  # S
        raw, at = _long(buf, at)
        try:
            return raw.decode(), at
        except UnicodeDecodeError:
            return raw, at
    if kind in _NUMBERS:
        form, size = _NUMBERS[kind]
        return form.unpack_from(buf, at)[0], at + size
    match chr(kind):
        case "t":
            return bool(buf[at]), at + 1
        case "V":
            return None, at
        case "F":
            return _table(buf, at, depth + 1)
        case "A":
            return _array(buf, at, depth + 1)
        case "T":
            return Timestamp(struct.unpack_from(">Q", buf, at)[0]), at + 8
        case "x":
            return _long(buf, at)
        case "D":
            scale, value = struct.unpack_from(">Bi", buf, at)
            return Decimal(value).scaleb(-scale), at + 5
    raise _wrong(f"a field of unknown type {kind:#x}")


def _array(buf: bytes, at: int, depth: int) -> tuple[list[Any], int]:
    at, end = _within(buf, at, depth)
    out: list[Any] = []
    while at < end:
        value, at = _value(buf, at, depth)
        out.append(value)
        if len(out) > MOST_FIELDS:
            raise _wrong(f"more than {MOST_FIELDS} values in an array")
    if at != end:
        raise _wrong("an array's last value goes beyond it")
    return out, at


def _table(buf: bytes, at: int, depth: int = 0) -> tuple[Table, int]:
    at, end = _within(buf, at, depth)
    out: Table = {}
    count = 0
    while at < end:
        name, at = _short(buf, at)
        out[name], at = _value(buf, at, depth)
        count += 1
        if count > MOST_FIELDS:
            raise _wrong(f"more than {MOST_FIELDS} fields in a table")
    if at != end:
        raise _wrong("a table's last field goes beyond it")
    return out, at


def _within(buf: bytes, at: int, depth: int) -> tuple[int, int]:
    if depth > MOST_DEPTH:
        raise _wrong(f"tables nested deeper than {MOST_DEPTH}")
    (size,) = _INT32.unpack_from(buf, at)
    end = at + 4 + size
    if end > len(buf):
        raise _wrong("a table goes beyond its frame")
    return at + 4, end


def _put_short(text: str) -> bytes:
    raw = text.encode()
    if len(raw) > 255:
        raise ValueError(f"a short string of {len(raw)} bytes; 255 are possible")
    return bytes((len(raw),)) + raw


_put_name = lru_cache(1_024)(_put_short)  # the same few names stand in every message


def _put_value(value: Any, depth: int) -> bytes:
    if type(value) is str:  # nearly all of them
        raw = value.encode()
        return b"S" + _INT32.pack(len(raw)) + raw
    match value:
        case bool():
            return b"t\x01" if value else b"t\x00"
        case str():
            raw = value.encode()
            return b"S" + _INT32.pack(len(raw)) + raw
        case Timestamp():
            return b"T" + struct.pack(">Q", value)
        case int():
            if -(1 << 31) <= value < 1 << 31:
                return b"I" + struct.pack(">i", value)
            return b"l" + struct.pack(">q", value)
        case float():
            return b"d" + struct.pack(">d", value)
        case bytes():
            return b"x" + _INT32.pack(len(value)) + value
        case None:
            return b"V"
        case dict():
            return b"F" + _put_table(value, depth + 1)
        case list() | tuple():
            raw = b"".join(_put_value(one, depth + 1) for one in value)
            return b"A" + _INT32.pack(len(raw)) + raw
        case Decimal():
            exponent = value.as_tuple().exponent
            if not isinstance(exponent, int) or exponent > 0 or exponent < -255:
                raise ValueError(f"{value} has no form as a decimal field")
            try:
                return b"D" + struct.pack(">Bi", -exponent, int(value.scaleb(-exponent)))
            except (struct.error, InvalidOperation):
                raise ValueError(f"{value} has no form as a decimal field") from None
    raise ValueError(f"a {type(value).__name__} can't be a field")


def _put_table(table: Table, depth: int = 0) -> bytes:
    if depth > MOST_DEPTH:
        raise ValueError(f"tables nested deeper than {MOST_DEPTH}")
    raw = b"".join([_put_name(name) + _put_value(value, depth) for name, value in table.items()])
    return _INT32.pack(len(raw)) + raw


# Methods (1.3 to 1.8 of the class reference).


@dataclass(slots=True)
class Method:
    """A method; `id` is its class and number, `content` whether a header and a body follow it."""

    id: ClassVar[tuple[int, int]]
    content: ClassVar[bool] = False


_METHODS: dict[tuple[int, int], Callable[[bytes], Method]] = {}
_WRITERS: dict[type[Method], Callable[[Any], bytes]] = {}
_M = TypeVar("_M", bound=type)


def _plan(cls: type) -> list[tuple[str, Any]]:
    """A method's wire format: runs of fixed width as one struct, bits in octets, the rest one by one."""
    plan: list[tuple[str, Any]] = []
    for one in fields(cls):
        kind = str(one.type)
        last = plan[-1][0] if plan else ""
        if kind in _FIXED:
            if last == "fixed":
                plan[-1][1].append((one.name, _FIXED[kind]))
            else:
                plan.append(("fixed", [(one.name, _FIXED[kind])]))
        elif kind == "Bit":
            if last == "bits" and len(plan[-1][1]) < 8:
                plan[-1][1].append(one.name)
            else:
                plan.append(("bits", [one.name]))
        else:
            plan.append((kind, one.name))
    return plan


def _method(class_id: int, method_id: int, content: bool = False) -> Callable[[_M], _M]:
    """Declare a method by its fields: their annotations are their types on the wire."""

    def declare(cls: _M) -> _M:
        made: Any = dataclass(slots=True)(cls)
        made.id, made.content = (class_id, method_id), content
        _METHODS[made.id] = _reader(made)
        _WRITERS[made] = _writer(made)
        return made

    return declare


_READ: dict[str, Callable[[bytes, int], tuple[Any, int]]] = {
    "ShortStr": _short,
    "LongStr": _long,
    "Table": _table,
}


def _reader(cls: Any) -> Callable[[bytes], Method]:
    steps: list[tuple[Any, Any, int]] = []
    for kind, what in _plan(cls):
        if kind == "fixed":
            form = struct.Struct(">" + "".join(letter for _, letter in what))
            steps.append((None, form, form.size))
        elif kind == "bits":
            steps.append((None, None, len(what)))
        else:
            steps.append((_READ[kind], None, 0))

    def read(buf: bytes) -> Method:
        values: list[Any] = []
        at = 4
        for text, form, size in steps:
            if text is not None:
                value, at = text(buf, at)
                values.append(value)
            elif form is not None:
                values += form.unpack_from(buf, at)
                at += size
            else:
                bits = buf[at]
                at += 1
                values += [bool(bits >> n & 1) for n in range(size)]
        if at != len(buf):
            raise _wrong(f"{len(buf) - at} bytes too many in {cls.__name__}")
        return cls(*values)

    return read


def _writer(cls: Any) -> Callable[[Any], bytes]:
    head = _IDS.pack(*cls.id)
    steps: list[tuple[str, Any, Any]] = []
    for kind, what in _plan(cls):
        if kind == "fixed":
            names = tuple(name for name, _ in what)
            steps.append((kind, names, struct.Struct(">" + "".join(letter for _, letter in what))))
        else:
            steps.append((kind, what, None))

    def write(method: Any) -> bytes:
        out = head
        for kind, what, form in steps:
            if kind == "ShortStr":
                out += _put_short(getattr(method, what))
            elif kind == "fixed":
                out += form.pack(*[getattr(method, name) for name in what])
            elif kind == "bits":
                out += bytes((sum(bool(getattr(method, name)) << n for n, name in enumerate(what)),))
            elif kind == "LongStr":
                raw = getattr(method, what)
                out += _INT32.pack(len(raw)) + raw
            else:
                out += _put_table(getattr(method, what) or {})
        return out

    return write


def _empty(*ids: tuple[int, int, str]) -> list[Any]:
    """Methods without a field."""
    return [_method(a, b)(type(name, (Method,), {"__annotations__": {}})) for a, b, name in ids]


@_method(10, 10)
class Start(Method):
    version_major: Octet = 0
    version_minor: Octet = 9
    server_properties: Table = None  # type: ignore[assignment]
    mechanisms: LongStr = b"PLAIN"
    locales: LongStr = b"en_US"


@_method(10, 11)
class StartOk(Method):
    client_properties: Table
    mechanism: ShortStr = "PLAIN"
    response: LongStr = b""
    locale: ShortStr = "en_US"


@_method(10, 20)
class Secure(Method):
    challenge: LongStr = b""


@_method(10, 21)
class SecureOk(Method):
    response: LongStr = b""


@_method(10, 30)
class Tune(Method):
    channel_max: ShortInt = 0
    frame_max: LongInt = 0
    heartbeat: ShortInt = 0


@_method(10, 31)
class TuneOk(Method):
    channel_max: ShortInt = 0
    frame_max: LongInt = 0
    heartbeat: ShortInt = 0


@_method(10, 40)
class Open(Method):
    virtual_host: ShortStr = "/"
    reserved1: ShortStr = ""
    reserved2: Bit = False


@_method(10, 41)
class OpenOk(Method):
    reserved1: ShortStr = ""


@_method(10, 50)
class Close(Method):
    reply_code: ShortInt = 200
    reply_text: ShortStr = ""
    class_id: ShortInt = 0
    method_id: ShortInt = 0


@_method(10, 60)
class Blocked(Method):
    reason: ShortStr = ""


@_method(10, 70)
class UpdateSecret(Method):
    new_secret: LongStr = b""
    reason: ShortStr = ""


CloseOk, Unblocked, UpdateSecretOk = _empty((10, 51, "CloseOk"), (10, 61, "Unblocked"),
(10, 71, "UpdateSecretOk"))  # fmt: skip


@_method(20, 10)
class ChannelOpen(Method):
    reserved1: ShortStr = ""


@_method(20, 11)
class ChannelOpenOk(Method):
    reserved1: LongStr = b""


@_method(20, 20)
class Flow(Method):
    active: Bit = True


@_method(20, 21)
class FlowOk(Method):
    active: Bit = True


@_method(20, 40)
class ChannelClose(Method):
    reply_code: ShortInt = 200
    reply_text: ShortStr = ""
    class_id: ShortInt = 0
    method_id: ShortInt = 0


(ChannelCloseOk,) = _empty((20, 41, "ChannelCloseOk"))


@_method(40, 10)
class ExchangeDeclare(Method):
    reserved1: ShortInt = 0
    exchange: ShortStr = ""
    type: ShortStr = "direct"
    passive: Bit = False
    durable: Bit = False
    auto_delete: Bit = False
    internal: Bit = False
    nowait: Bit = False
    arguments: Table = None  # type: ignore[assignment]


@_method(40, 20)
class ExchangeDelete(Method):
    reserved1: ShortInt = 0
    exchange: ShortStr = ""
    if_unused: Bit = False
    nowait: Bit = False


@_method(40, 30)
class ExchangeBind(Method):
    reserved1: ShortInt = 0
    destination: ShortStr = ""
    source: ShortStr = ""
    routing_key: ShortStr = ""
    nowait: Bit = False
    arguments: Table = None  # type: ignore[assignment]


@_method(40, 40)
class ExchangeUnbind(Method):
    reserved1: ShortInt = 0
    destination: ShortStr = ""
    source: ShortStr = ""
    routing_key: ShortStr = ""
    nowait: Bit = False
    arguments: Table = None  # type: ignore[assignment]


ExchangeDeclareOk, ExchangeDeleteOk, ExchangeBindOk, ExchangeUnbindOk = _empty(
    (40, 11, "ExchangeDeclareOk"), (40, 21, "ExchangeDeleteOk"), (40, 31, "ExchangeBindOk"),
    (40, 51, "ExchangeUnbindOk"),
)  # fmt: skip


@_method(50, 10)
class QueueDeclare(Method):
    reserved1: ShortInt = 0
    queue: ShortStr = ""
    passive: Bit = False
    durable: Bit = False
    exclusive: Bit = False
    auto_delete: Bit = False
    nowait: Bit = False
    arguments: Table = None  # type: ignore[assignment]


@_method(50, 11)
class QueueDeclareOk(Method):
    queue: ShortStr = ""
    message_count: LongInt = 0
    consumer_count: LongInt = 0


@_method(50, 20)
class QueueBind(Method):
    reserved1: ShortInt = 0
    queue: ShortStr = ""
    exchange: ShortStr = ""
    routing_key: ShortStr = ""
    nowait: Bit = False
    arguments: Table = None  # type: ignore[assignment]


@_method(50, 30)
class QueuePurge(Method):
    reserved1: ShortInt = 0
    queue: ShortStr = ""
    nowait: Bit = False


@_method(50, 31)
class QueuePurgeOk(Method):
    message_count: LongInt = 0


@_method(50, 40)
class QueueDelete(Method):
    reserved1: ShortInt = 0
    queue: ShortStr = ""
    if_unused: Bit = False
    if_empty: Bit = False
    nowait: Bit = False


@_method(50, 41)
class QueueDeleteOk(Method):
    message_count: LongInt = 0


@_method(50, 50)
class QueueUnbind(Method):
    reserved1: ShortInt = 0
    queue: ShortStr = ""
    exchange: ShortStr = ""
    routing_key: ShortStr = ""
    arguments: Table = None  # type: ignore[assignment]


QueueBindOk, QueueUnbindOk = _empty((50, 21, "QueueBindOk"), (50, 51, "QueueUnbindOk"))


@_method(60, 10)
class Qos(Method):
    prefetch_size: LongInt = 0
    prefetch_count: ShortInt = 0
    global_: Bit = False


@_method(60, 20)
class Consume(Method):
    reserved1: ShortInt = 0
    queue: ShortStr = ""
    consumer_tag: ShortStr = ""
    no_local: Bit = False
    no_ack: Bit = False
    exclusive: Bit = False
    nowait: Bit = False
    arguments: Table = None  # type: ignore[assignment]


@_method(60, 21)
class ConsumeOk(Method):
    consumer_tag: ShortStr = ""


@_method(60, 30)
class Cancel(Method):
    consumer_tag: ShortStr = ""
    nowait: Bit = False


@_method(60, 31)
class CancelOk(Method):
    consumer_tag: ShortStr = ""


@_method(60, 40, True)
class Publish(Method):
    reserved1: ShortInt = 0
    exchange: ShortStr = ""
    routing_key: ShortStr = ""
    mandatory: Bit = False
    immediate: Bit = False


@_method(60, 50, True)
class Return(Method):
    reply_code: ShortInt = 0
    reply_text: ShortStr = ""
    exchange: ShortStr = ""
    routing_key: ShortStr = ""


@_method(60, 60, True)
class Deliver(Method):
    consumer_tag: ShortStr = ""
    delivery_tag: LongLong = 0
    redelivered: Bit = False
    exchange: ShortStr = ""
    routing_key: ShortStr = ""


@_method(60, 70)
class Get(Method):
    reserved1: ShortInt = 0
    queue: ShortStr = ""
    no_ack: Bit = False


@_method(60, 71, True)
class GetOk(Method):
    delivery_tag: LongLong = 0
    redelivered: Bit = False
    exchange: ShortStr = ""
    routing_key: ShortStr = ""
    message_count: LongInt = 0


@_method(60, 72)
class GetEmpty(Method):
    reserved1: ShortStr = ""


@_method(60, 80)
class Ack(Method):
    delivery_tag: LongLong = 0
    multiple: Bit = False


@_method(60, 90)
class Reject(Method):
    delivery_tag: LongLong = 0
    requeue: Bit = True


@_method(60, 100)
class RecoverAsync(Method):
    requeue: Bit = True


@_method(60, 110)
class Recover(Method):
    requeue: Bit = True


@_method(60, 120)
class Nack(Method):
    delivery_tag: LongLong = 0
    multiple: Bit = False
    requeue: Bit = True


QosOk, RecoverOk = _empty((60, 11, "QosOk"), (60, 111, "RecoverOk"))


@_method(85, 10)
class ConfirmSelect(Method):
    nowait: Bit = False


(ConfirmSelectOk,) = _empty((85, 11, "ConfirmSelectOk"))


# The methods of every message, written out: the general way costs two to three times as much.

_TAG = struct.Struct(">QB")


def _read_deliver(buf: bytes) -> Method:
    consumer, at = _short(buf, 4)
    number, bits = _TAG.unpack_from(buf, at)
    exchange, at = _short(buf, at + 9)
    key, at = _short(buf, at)
    if at != len(buf):
        raise _wrong(f"{len(buf) - at} bytes too many in Deliver")
    return Deliver(consumer, number, bool(bits & 1), exchange, key)


def _read_ack(buf: bytes) -> Method:
    if len(buf) != 13:
        raise _wrong(f"{len(buf) - 13} bytes too many in Ack")
    number, bits = _TAG.unpack_from(buf, 4)
    return Ack(number, bool(bits & 1))


def _write_ack(method: Ack) -> bytes:
    return b"\0\x3c\0\x50" + _TAG.pack(method.delivery_tag, method.multiple)


def _write_publish(method: Publish) -> bytes:
    bits = bytes((method.mandatory | method.immediate << 1,))
    head = b"\0\x3c\0\x28" + method.reserved1.to_bytes(2, "big")
    return head + _put_name(method.exchange) + _put_short(method.routing_key) + bits


_METHODS[Deliver.id], _METHODS[Ack.id] = _read_deliver, _read_ack
_WRITERS[Ack], _WRITERS[Publish] = _write_ack, _write_publish


# Content (4.2.6).


@dataclass(slots=True)
class Properties:
    """Properties of a message; None where it has none of a name."""

    content_type: str | None = None
    content_encoding: str | None = None
    headers: Table | None = None
    delivery_mode: int | None = None  # 1 may be lost by a restart of the broker, 2 may not
    priority: int | None = None
    correlation_id: str | None = None
    reply_to: str | None = None
    expiration: str | None = None  # ms, as digits
    message_id: str | None = None
    timestamp: int | None = None  # s
    type: str | None = None
    user_id: str | None = None
    app_id: str | None = None
    cluster_id: str | None = None


_PROPERTIES = [
    (one.name, 1 << 15 - number, {"headers": "F", "delivery_mode": "B", "priority": "B", "timestamp": "T"}
     .get(one.name, "s"))
    for number, one in enumerate(fields(Properties))
]  # fmt: skip


@dataclass(slots=True)
class Header:
    """The header of a content."""

    size: int
    properties: Properties
    class_id: int = 60


@lru_cache(256)
def _named(flags: int) -> list[tuple[str, str]]:
    """The properties that flags tell of, with their types."""
    return [(name, kind) for name, bit, kind in _PROPERTIES if flags & bit]


def _read_header(buf: bytes) -> Header:
    class_id, _, size, flags = _CONTENT.unpack_from(buf, 0)
    if flags & 1:
        raise _wrong("a content header with more flags than there are properties")
    at, found = _CONTENT.size, Properties()
    for name, kind in _named(flags):
        value: Any
        if kind == "s":
            value, at = _short(buf, at)
        elif kind == "F":
            value, at = _table(buf, at)
        elif kind == "B":
            value, at = buf[at], at + 1
        else:
            value, at = struct.unpack_from(">Q", buf, at)[0], at + 8
        setattr(found, name, value)
    if at != len(buf):
        raise _wrong(f"{len(buf) - at} bytes too many in a content header")
    return Header(size, found, class_id)


def _put_header(header: Header) -> bytes:
    flags, out = 0, b""
    properties = header.properties
    for name, bit, kind in _PROPERTIES:
        value = getattr(properties, name)
        if value is None:
            continue
        flags |= bit
        if kind == "s":
            out += _put_short(value)
        elif kind == "F":
            out += _put_table(value)
        elif kind == "B":
            out += bytes((value,))
        else:
            out += struct.pack(">Q", value)
    return _CONTENT.pack(header.class_id, 0, header.size, flags) + out


# Frames (4.2.3).

Item = Method | Header | bytes | None  # a method, a content header, a piece of a body, a heartbeat


class Decoder:
    """Bytes to frames.  `most`: bytes of a frame, its 8 around the payload included."""

    def __init__(self, most: int = 131_072) -> None:
        self.most = most
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[tuple[int, Item]]:
        """Take bytes; gives each whole frame's channel and what it holds.  Raises AmqpError."""
        if self.buffer:
            self.buffer += data
            data = bytes(self.buffer)
            self.buffer.clear()
        out: list[tuple[int, Item]] = []
        at, have = 0, len(data)
        while have - at >= 7:
            kind, channel, size = _FRAME.unpack_from(data, at)
            if kind not in _KINDS:
                raise AmqpError(Code.FRAME_ERROR, f"a frame of type {kind}")
            if size + FRAME_EXTRA > self.most:
                text = f"a frame of {size + FRAME_EXTRA} bytes, {self.most} agreed"
                raise AmqpError(Code.FRAME_ERROR, text)
            end = at + 7 + size
            if have <= end:
                break
            if data[end] != FRAME_END:
                raise AmqpError(Code.FRAME_ERROR, f"a frame that ends with {data[end]:#x}")
            out.append((channel, _item(kind, channel, data[at + 7 : end])))
            at = end + 1
        self.buffer += data[at:]
        return out


def _item(kind: int, channel: int, payload: bytes) -> Item:
    if kind == BODY:
        return payload
    try:
        if kind == METHOD:
            ids = _IDS.unpack_from(payload, 0)
            read = _METHODS.get(ids)
            if read is None:
                raise AmqpError(Code.NOT_IMPLEMENTED, f"method {ids[0]}.{ids[1]} is not known here", ids)
            return read(payload)
        if kind == HEADER:
            return _read_header(payload)
    except (struct.error, IndexError):
        raise _wrong("a frame ends within a field") from None
    if channel or payload:
        raise AmqpError(Code.FRAME_ERROR, "a heartbeat with a channel or a payload")
    return None


def _frame(kind: int, channel: int, payload: bytes) -> bytes:
    return _FRAME.pack(kind, channel, len(payload)) + payload + b"\xce"


HEARTBEAT_FRAME = _frame(HEARTBEAT, 0, b"")


def encode(channel: int, method: Method) -> bytes:
    """A method as a frame; raises ValueError where a value does not fit its field."""
    return _frame(METHOD, channel, _WRITERS[type(method)](method))


def encode_content(
    channel: int, method: Method, properties: Properties, body: bytes, most: int, pieces: int = 0
) -> bytes:
    """A method with its content, its body in frames of `most` bytes at most (or of `pieces` bytes of it)."""
    out = [encode(channel, method), _frame(HEADER, channel, _put_header(Header(len(body), properties)))]
    room = pieces or most - FRAME_EXTRA
    out += [_frame(BODY, channel, body[at : at + room]) for at in range(0, len(body), room)]
    return b"".join(out)
