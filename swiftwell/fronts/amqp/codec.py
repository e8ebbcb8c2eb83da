"""Encodes and decodes AMQP 0-9-1 frames, methods, field tables and content headers.

No I/O; the only state is a decoder's buffer.

Implements the public 0-9-1 specification (the sections in comments refer to it) and the published extensions
of current brokers: publisher confirms, `basic.nack`, `connection.blocked`, `connection.update-secret`,
exchange bindings, and the field types as they are used in practice (the specification's table of types
contradicts its grammar).

Every length is checked before data is kept; nesting and counts are bounded.  Invalid input raises `AmqpError`
with the reply code that should end the connection or channel.  `Decoder` raises no other exception.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, fields
from decimal import Decimal, InvalidOperation
from enum import IntEnum
from functools import lru_cache
from typing import Any, ClassVar, TypeVar

PROTOCOL_HEADER = b"AMQP\x00\x00\x09\x01"
FRAME_MIN = 4_096  # frame size in bytes that every peer must accept (4.2.3)
FRAME_EXTRA = 8  # bytes of a frame besides its payload
FRAME_END = 0xCE
MAX_DEPTH = 16  # of nested tables and arrays
MAX_FIELDS = 1_024  # of one table or array
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


CHANNEL_ERRORS = frozenset(
    {311, 312, 313, 403, 404, 405, 406}
)  # end a channel; all others end the connection


class AmqpError(Exception):
    """A protocol violation or an impossible request; `code` ends the channel or connection."""

    def __init__(self, code: Code, text: str, method: tuple[int, int] = (0, 0)) -> None:
        super().__init__(text)
        self.code, self.method = code, method

    @property
    def ends_channel_only(self) -> bool:
        """Whether the error ends only the channel, not the connection."""
        return self.code in CHANNEL_ERRORS


class Timestamp(int):
    """Seconds since 1970; a distinct type, as it is encoded as a field type of its own."""


# Field types of methods, named as in the specification.  The annotations of a method are its wire format.
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


def _syntax_error(text: str) -> AmqpError:
    return AmqpError(Code.SYNTAX_ERROR, text)


# Values of field tables (4.2.5.5).


def _read_short_string(data: bytes, offset: int) -> tuple[str, int]:
    end = offset + 1 + data[offset]
    if end > len(data):
        raise _syntax_error("a string goes beyond its frame")
    try:
        return data[offset + 1 : end].decode(), end
    except UnicodeDecodeError:
        raise _syntax_error("a string is not UTF-8") from None


def _read_long_string(data: bytes, offset: int) -> tuple[bytes, int]:
    (size,) = _INT32.unpack_from(data, offset)
    end = offset + 4 + size
    if end > len(data):
        raise _syntax_error("a string goes beyond its frame")
    return data[offset + 4 : end], end


_NUMBERS = {
    ord(letter): (struct.Struct(">" + form), struct.calcsize(">" + form))
    for letter, form in (("b", "b"), ("B", "B"), ("s", "h"), ("u", "H"), ("I", "i"), ("i", "I"), ("l", "q"),
    ("L", "Q"), ("f", "f"), ("d", "d"))
}  # fmt: skip


def _read_value(data: bytes, offset: int, depth: int) -> tuple[Any, int]:
    kind = data[offset]
    offset += 1
    if kind == 0x53:  # S
        raw, offset = _read_long_string(data, offset)
        try:
            return raw.decode(), offset
        except UnicodeDecodeError:
            return raw, offset
    if kind in _NUMBERS:
        form, size = _NUMBERS[kind]
        return form.unpack_from(data, offset)[0], offset + size
    match chr(kind):
        case "t":
            return bool(data[offset]), offset + 1
        case "V":
            return None, offset
        case "F":
            return _read_table(data, offset, depth + 1)
        case "A":
            return _read_array(data, offset, depth + 1)
        case "T":
            return Timestamp(struct.unpack_from(">Q", data, offset)[0]), offset + 8
        case "x":
            return _read_long_string(data, offset)
        case "D":
            scale, value = struct.unpack_from(">Bi", data, offset)
            return Decimal(value).scaleb(-scale), offset + 5
    raise _syntax_error(f"a field of unknown type {kind:#x}")


def _read_array(data: bytes, offset: int, depth: int) -> tuple[list[Any], int]:
    offset, end = _read_table_bounds(data, offset, depth)
    result: list[Any] = []
    while offset < end:
        value, offset = _read_value(data, offset, depth)
        result.append(value)
        if len(result) > MAX_FIELDS:
            raise _syntax_error(f"more than {MAX_FIELDS} values in an array")
    if offset != end:
        raise _syntax_error("an array's last value goes beyond it")
    return result, offset


def _read_table(data: bytes, offset: int, depth: int = 0) -> tuple[Table, int]:
    offset, end = _read_table_bounds(data, offset, depth)
    result: Table = {}
    count = 0
    while offset < end:
        name, offset = _read_short_string(data, offset)
        result[name], offset = _read_value(data, offset, depth)
        count += 1
        if count > MAX_FIELDS:
            raise _syntax_error(f"more than {MAX_FIELDS} fields in a table")
    if offset != end:
        raise _syntax_error("a table's last field goes beyond it")
    return result, offset


def _read_table_bounds(data: bytes, offset: int, depth: int) -> tuple[int, int]:
    if depth > MAX_DEPTH:
        raise _syntax_error(f"tables nested deeper than {MAX_DEPTH}")
    (size,) = _INT32.unpack_from(data, offset)
    end = offset + 4 + size
    if end > len(data):
        raise _syntax_error("a table goes beyond its frame")
    return offset + 4, end


def _encode_short_string(text: str) -> bytes:
    raw = text.encode()
    if len(raw) > 255:
        raise ValueError(f"a short string of {len(raw)} bytes; the maximum is 255")
    return bytes((len(raw),)) + raw


_encode_name = lru_cache(1_024)(_encode_short_string)  # the same few names occur in every message


def _encode_value(value: Any, depth: int) -> bytes:
    if type(value) is str:  # the most frequent type
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
            return b"F" + _encode_table(value, depth + 1)
        case list() | tuple():
            raw = b"".join(_encode_value(item, depth + 1) for item in value)
            return b"A" + _INT32.pack(len(raw)) + raw
        case Decimal():
            exponent = value.as_tuple().exponent
            if not isinstance(exponent, int) or exponent > 0 or exponent < -255:
                raise ValueError(f"{value} can't be encoded as a decimal field")
            try:
                return b"D" + struct.pack(">Bi", -exponent, int(value.scaleb(-exponent)))
            except (struct.error, InvalidOperation):
                raise ValueError(f"{value} can't be encoded as a decimal field") from None
    raise ValueError(f"a {type(value).__name__} can't be encoded as a field")


def _encode_table(table: Table, depth: int = 0) -> bytes:
    if depth > MAX_DEPTH:
        raise ValueError(f"tables nested deeper than {MAX_DEPTH}")
    raw = b"".join([_encode_name(name) + _encode_value(value, depth) for name, value in table.items()])
    return _INT32.pack(len(raw)) + raw


# Methods (1.3 to 1.8 of the class reference).


@dataclass(slots=True)
class Method:
    """A method.  `id` is its class and method number; with `content`, a header and a body follow it."""

    id: ClassVar[tuple[int, int]]
    content: ClassVar[bool] = False


_METHODS: dict[tuple[int, int], Callable[[bytes], Method]] = {}
_WRITERS: dict[type[Method], Callable[[Any], bytes]] = {}
_M = TypeVar("_M", bound=type)


def _field_groups(cls: type) -> list[tuple[str, Any]]:
    """The wire format of a method: fixed-width fields as structs, bits in octets, others one by one."""
    groups: list[tuple[str, Any]] = []
    for field_ in fields(cls):
        kind = str(field_.type)
        last = groups[-1][0] if groups else ""
        if kind in _FIXED:
            if last == "fixed":
                groups[-1][1].append((field_.name, _FIXED[kind]))
            else:
                groups.append(("fixed", [(field_.name, _FIXED[kind])]))
        elif kind == "Bit":
            if last == "bits" and len(groups[-1][1]) < 8:
                groups[-1][1].append(field_.name)
            else:
                groups.append(("bits", [field_.name]))
        else:
            groups.append((kind, field_.name))
    return groups


def _method(class_id: int, method_id: int, content: bool = False) -> Callable[[_M], _M]:
    """Register a method class; the annotations of its fields are their wire types."""

    def decorate(cls: _M) -> _M:
        method: Any = dataclass(slots=True)(cls)
        method.id, method.content = (class_id, method_id), content
        _METHODS[method.id] = _make_reader(method)
        _WRITERS[method] = _make_writer(method)
        return method

    return decorate


_STRING_READERS: dict[str, Callable[[bytes, int], tuple[Any, int]]] = {
    "ShortStr": _read_short_string,
    "LongStr": _read_long_string,
    "Table": _read_table,
}


def _make_reader(cls: Any) -> Callable[[bytes], Method]:
    steps: list[tuple[Any, Any, int]] = []
    for kind, group in _field_groups(cls):
        if kind == "fixed":
            form = struct.Struct(">" + "".join(letter for _, letter in group))
            steps.append((None, form, form.size))
        elif kind == "bits":
            steps.append((None, None, len(group)))
        else:
            steps.append((_STRING_READERS[kind], None, 0))

    def read(data: bytes) -> Method:
        values: list[Any] = []
        offset = 4
        for text, form, size in steps:
            if text is not None:
                value, offset = text(data, offset)
                values.append(value)
            elif form is not None:
                values += form.unpack_from(data, offset)
                offset += size
            else:
                bits = data[offset]
                offset += 1
                values += [bool(bits >> n & 1) for n in range(size)]
        if offset != len(data):
            raise _syntax_error(f"{len(data) - offset} bytes too many in {cls.__name__}")
        return cls(*values)

    return read


def _make_writer(cls: Any) -> Callable[[Any], bytes]:
    head = _IDS.pack(*cls.id)
    steps: list[tuple[str, Any, Any]] = []
    for kind, group in _field_groups(cls):
        if kind == "fixed":
            names = tuple(name for name, _ in group)
            steps.append((kind, names, struct.Struct(">" + "".join(letter for _, letter in group))))
        else:
            steps.append((kind, group, None))

    def write(method: Any) -> bytes:
        result = head
        for kind, group, form in steps:
            if kind == "ShortStr":
                result += _encode_short_string(getattr(method, group))
            elif kind == "fixed":
                result += form.pack(*[getattr(method, name) for name in group])
            elif kind == "bits":
                result += bytes((sum(bool(getattr(method, name)) << n for n, name in enumerate(group)),))
            elif kind == "LongStr":
                raw = getattr(method, group)
                result += _INT32.pack(len(raw)) + raw
            else:
                result += _encode_table(getattr(method, group) or {})
        return result

    return write


def _methods_without_fields(*ids: tuple[int, int, str]) -> list[Any]:
    """Declare methods without fields."""
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


CloseOk, Unblocked, UpdateSecretOk = _methods_without_fields((10, 51, "CloseOk"), (10, 61, "Unblocked"),
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


(ChannelCloseOk,) = _methods_without_fields((20, 41, "ChannelCloseOk"))


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


ExchangeDeclareOk, ExchangeDeleteOk, ExchangeBindOk, ExchangeUnbindOk = _methods_without_fields(
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


QueueBindOk, QueueUnbindOk = _methods_without_fields((50, 21, "QueueBindOk"), (50, 51, "QueueUnbindOk"))


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


QosOk, RecoverOk = _methods_without_fields((60, 11, "QosOk"), (60, 111, "RecoverOk"))


@_method(85, 10)
class ConfirmSelect(Method):
    nowait: Bit = False


(ConfirmSelectOk,) = _methods_without_fields((85, 11, "ConfirmSelectOk"))


# Specialised code for the most frequent methods: the generic code takes two to three times as long.

_TAG = struct.Struct(">QB")


def _read_deliver(data: bytes) -> Method:
    consumer, offset = _read_short_string(data, 4)
    number, bits = _TAG.unpack_from(data, offset)
    exchange, offset = _read_short_string(data, offset + 9)
    key, offset = _read_short_string(data, offset)
    if offset != len(data):
        raise _syntax_error(f"{len(data) - offset} bytes too many in Deliver")
    return Deliver(consumer, number, bool(bits & 1), exchange, key)


def _read_ack(data: bytes) -> Method:
    if len(data) != 13:
        raise _syntax_error(f"{len(data) - 13} bytes too many in Ack")
    number, bits = _TAG.unpack_from(data, 4)
    return Ack(number, bool(bits & 1))


def _write_ack(method: Ack) -> bytes:
    return b"\0\x3c\0\x50" + _TAG.pack(method.delivery_tag, method.multiple)


def _write_publish(method: Publish) -> bytes:
    bits = bytes((method.mandatory | method.immediate << 1,))
    head = b"\0\x3c\0\x28" + method.reserved1.to_bytes(2, "big")
    return head + _encode_name(method.exchange) + _encode_short_string(method.routing_key) + bits


_METHODS[Deliver.id], _METHODS[Ack.id] = _read_deliver, _read_ack
_WRITERS[Ack], _WRITERS[Publish] = _write_ack, _write_publish


# Content (4.2.6).


@dataclass(slots=True)
class Properties:
    """Properties of a message; None for an absent one."""

    content_type: str | None = None
    content_encoding: str | None = None
    headers: Table | None = None
    delivery_mode: int | None = None  # 1: transient, 2: persistent
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
    (field_.name, 1 << 15 - number, {"headers": "F", "delivery_mode": "B", "priority": "B", "timestamp": "T"}
     .get(field_.name, "s"))
    for number, field_ in enumerate(fields(Properties))
]  # fmt: skip


@dataclass(slots=True)
class Header:
    """A content header."""

    size: int
    properties: Properties
    class_id: int = 60


@lru_cache(256)
def _present_properties(flags: int) -> list[tuple[str, str]]:
    """Names and types of the properties that the flags mark as present."""
    return [(name, kind) for name, bit, kind in _PROPERTIES if flags & bit]


def _read_header(data: bytes) -> Header:
    class_id, _, size, flags = _CONTENT.unpack_from(data, 0)
    if flags & 1:
        raise _syntax_error("a content header with more flags than there are properties")
    offset, found = _CONTENT.size, Properties()
    for name, kind in _present_properties(flags):
        value: Any
        if kind == "s":
            value, offset = _read_short_string(data, offset)
        elif kind == "F":
            value, offset = _read_table(data, offset)
        elif kind == "B":
            value, offset = data[offset], offset + 1
        else:
            value, offset = struct.unpack_from(">Q", data, offset)[0], offset + 8
        setattr(found, name, value)
    if offset != len(data):
        raise _syntax_error(f"{len(data) - offset} bytes too many in a content header")
    return Header(size, found, class_id)


def _encode_header(header: Header) -> bytes:
    flags, result = 0, b""
    properties = header.properties
    for name, bit, kind in _PROPERTIES:
        value = getattr(properties, name)
        if value is None:
            continue
        flags |= bit
        if kind == "s":
            result += _encode_short_string(value)
        elif kind == "F":
            result += _encode_table(value)
        elif kind == "B":
            result += bytes((value,))
        else:
            result += struct.pack(">Q", value)
    return _CONTENT.pack(header.class_id, 0, header.size, flags) + result


# Frames (4.2.3).

FrameContent = Method | Header | bytes | None  # method, content header, part of a body, heartbeat


class Decoder:
    """Decodes frames.  `max_frame_bytes` includes the 8 bytes besides the payload."""

    def __init__(self, max_frame_bytes: int = 131_072) -> None:
        self.max_frame_bytes = max_frame_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[tuple[int, FrameContent]]:
        """Parse received bytes; returns channel and content of each complete frame.  Raises AmqpError."""
        if self.buffer:
            self.buffer += data
            data = bytes(self.buffer)
            self.buffer.clear()
        result: list[tuple[int, FrameContent]] = []
        offset, length = 0, len(data)
        while length - offset >= 7:
            kind, channel, size = _FRAME.unpack_from(data, offset)
            if kind not in _KINDS:
                raise AmqpError(Code.FRAME_ERROR, f"a frame of type {kind}")
            if size + FRAME_EXTRA > self.max_frame_bytes:
                text = f"a frame of {size + FRAME_EXTRA} bytes, {self.max_frame_bytes} agreed"
                raise AmqpError(Code.FRAME_ERROR, text)
            end = offset + 7 + size
            if length <= end:
                break
            if data[end] != FRAME_END:
                raise AmqpError(Code.FRAME_ERROR, f"a frame that ends with {data[end]:#x}")
            result.append((channel, _decode_payload(kind, channel, data[offset + 7 : end])))
            offset = end + 1
        self.buffer += data[offset:]
        return result


def _decode_payload(kind: int, channel: int, payload: bytes) -> FrameContent:
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
        raise _syntax_error("a frame ends within a field") from None
    if channel or payload:
        raise AmqpError(Code.FRAME_ERROR, "a heartbeat with a channel or a payload")
    return None


def _frame(kind: int, channel: int, payload: bytes) -> bytes:
    return _FRAME.pack(kind, channel, len(payload)) + payload + b"\xce"


HEARTBEAT_FRAME = _frame(HEARTBEAT, 0, b"")


def encode(channel: int, method: Method) -> bytes:
    """Encode a method as a frame; raises ValueError if a value does not fit its field."""
    return _frame(METHOD, channel, _WRITERS[type(method)](method))


def encode_content(
    channel: int,
    method: Method,
    properties: Properties,
    body: bytes,
    max_frame_bytes: int,
    body_frame_bytes: int = 0,
) -> bytes:
    """Encode a method with its content.

    The body is split into frames of at most `max_frame_bytes`, or of `body_frame_bytes` of payload if given.
    """
    result = [encode(channel, method), _frame(HEADER, channel, _encode_header(Header(len(body), properties)))]
    chunk_bytes = body_frame_bytes or max_frame_bytes - FRAME_EXTRA
    result += [
        _frame(BODY, channel, body[offset : offset + chunk_bytes])
        for offset in range(0, len(body), chunk_bytes)
    ]
    return b"".join(result)
