"""Encodes and decodes MQTT packets of the versions 5.0 and 3.1.1 (the OASIS standards).

No I/O; the only state is a decoder's buffer.  The sections in comments refer to the 5.0 standard.

Every length is checked against a bound before data is kept.  Invalid input raises `ProtocolError` with the
reason code that should end the connection.  `Decoder` raises no other exception.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

V311, V5 = 4, 5  # protocol levels
MAX_PACKET_BYTES = 1 << 18  # default limit
MAX_PROPERTIES = 64  # of a packet, including user properties
MAX_FILTERS = 64  # of a SUBSCRIBE or UNSUBSCRIBE
MAX_PACKET_ID = 65_535


class Reason(IntEnum):
    """Reason codes (2.4), as far as they are used."""

    OK = 0x00
    GRANTED_1 = 0x01
    GRANTED_2 = 0x02
    DISCONNECT_WITH_WILL = 0x04
    NO_SUBSCRIBERS = 0x10
    NO_SUBSCRIPTION = 0x11
    UNSPECIFIED = 0x80
    MALFORMED = 0x81
    PROTOCOL_ERROR = 0x82
    IMPLEMENTATION = 0x83
    VERSION = 0x84
    CLIENT_ID = 0x85
    BAD_CREDENTIALS = 0x86
    NOT_AUTHORIZED = 0x87
    UNAVAILABLE = 0x88
    BUSY = 0x89
    SHUTTING_DOWN = 0x8B
    KEEP_ALIVE = 0x8D
    TAKEN_OVER = 0x8E
    FILTER_INVALID = 0x8F
    TOPIC_INVALID = 0x90
    ID_IN_USE = 0x91
    ID_NOT_FOUND = 0x92
    RECEIVE_MAXIMUM = 0x93
    TOPIC_ALIAS = 0x94
    TOO_LARGE = 0x95
    RATE = 0x96
    QUOTA = 0x97
    PAYLOAD_FORMAT = 0x99
    RETAIN = 0x9A
    QOS = 0x9B
    SHARED_UNSUPPORTED = 0x9E


class ProtocolError(Exception):
    """A protocol violation of the peer; `reason` is the code that ends its connection."""

    def __init__(self, reason: Reason, text: str) -> None:
        super().__init__(text)
        self.reason = reason


class Type(IntEnum):
    """Control packet types (2.1.2)."""

    CONNECT = 1
    CONNACK = 2
    PUBLISH = 3
    PUBACK = 4
    PUBREC = 5
    PUBREL = 6
    PUBCOMP = 7
    SUBSCRIBE = 8
    SUBACK = 9
    UNSUBSCRIBE = 10
    UNSUBACK = 11
    PINGREQ = 12
    PINGRESP = 13
    DISCONNECT = 14
    AUTH = 15


Properties = dict[str, Any]  # names as in `_PROPERTIES`; "user" is a list of (name, value)


@dataclass(slots=True)
class Will:
    """The message that the server publishes when a client is lost."""

    topic: str
    payload: bytes = b""
    qos: int = 0
    retain: bool = False
    properties: Properties = field(default_factory=dict)


@dataclass(slots=True)
class Connect:
    client_id: str = ""
    clean: bool = True
    keep_alive: int = 0  # s; 0: none
    username: str | None = None
    password: bytes | None = None
    will: Will | None = None
    version: int = V5
    properties: Properties = field(default_factory=dict)


@dataclass(slots=True)
class Connack:
    session_present: bool = False
    reason: int = 0
    properties: Properties = field(default_factory=dict)


@dataclass(slots=True)
class Publish:
    topic: str
    payload: bytes = b""
    qos: int = 0
    retain: bool = False
    dup: bool = False
    id: int = 0
    properties: Properties = field(default_factory=dict)


@dataclass(slots=True)
class Ack:
    """PUBACK, PUBREC, PUBREL or PUBCOMP."""

    type: Type
    id: int
    reason: int = 0
    properties: Properties = field(default_factory=dict)


@dataclass(slots=True)
class Subscribe:
    """`filters` holds (filter, options byte): QoS in the low two bits."""

    id: int
    filters: list[tuple[str, int]]
    properties: Properties = field(default_factory=dict)


@dataclass(slots=True)
class Unsubscribe:
    id: int
    filters: list[str]
    properties: Properties = field(default_factory=dict)


@dataclass(slots=True)
class Suback:
    """SUBACK or UNSUBACK."""

    type: Type
    id: int
    reasons: list[int]
    properties: Properties = field(default_factory=dict)


@dataclass(slots=True)
class Ping:
    """PINGREQ or PINGRESP."""

    type: Type


@dataclass(slots=True)
class Disconnect:
    reason: int = 0
    properties: Properties = field(default_factory=dict)


@dataclass(slots=True)
class Auth:
    reason: int = 0
    properties: Properties = field(default_factory=dict)


Packet = Connect | Connack | Publish | Ack | Subscribe | Unsubscribe | Suback | Ping | Disconnect | Auth

_T = Type
_ANY = frozenset(Type)
_WILL = 0  # pseudo packet type for the will properties of a CONNECT
_ACKS = frozenset({_T.PUBACK, _T.PUBREC, _T.PUBREL, _T.PUBCOMP})
_PUB = frozenset({_T.PUBLISH, _WILL})
# Property identifier: name, type, the packets that may carry it (2.2.2.2).
_PROPERTIES: dict[int, tuple[str, str, frozenset[int]]] = {
    0x01: ("payload_format", "byte", _PUB),
    0x02: ("message_expiry", "four", _PUB),
    0x03: ("content_type", "text", _PUB),
    0x08: ("response_topic", "text", _PUB),
    0x09: ("correlation_data", "binary", _PUB),
    0x0B: ("subscription_id", "varint", frozenset({_T.PUBLISH, _T.SUBSCRIBE})),
    0x11: ("session_expiry", "four", frozenset({_T.CONNECT, _T.CONNACK, _T.DISCONNECT})),
    0x12: ("assigned_client_id", "text", frozenset({_T.CONNACK})),
    0x13: ("server_keep_alive", "two", frozenset({_T.CONNACK})),
    0x15: ("auth_method", "text", frozenset({_T.CONNECT, _T.CONNACK, _T.AUTH})),
    0x16: ("auth_data", "binary", frozenset({_T.CONNECT, _T.CONNACK, _T.AUTH})),
    0x17: ("request_problem", "byte", frozenset({_T.CONNECT})),
    0x18: ("will_delay", "four", frozenset({_WILL})),
    0x19: ("request_response", "byte", frozenset({_T.CONNECT})),
    0x1A: ("response_information", "text", frozenset({_T.CONNACK})),
    0x1C: ("server_reference", "text", frozenset({_T.CONNACK, _T.DISCONNECT})),
    0x1F: (
        "reason_string",
        "text",
        _ACKS | {_T.CONNACK, _T.SUBACK, _T.UNSUBACK, _T.DISCONNECT, _T.AUTH},
    ),
    0x21: ("receive_maximum", "two", frozenset({_T.CONNECT, _T.CONNACK})),
    0x22: ("topic_alias_maximum", "two", frozenset({_T.CONNECT, _T.CONNACK})),
    0x23: ("topic_alias", "two", frozenset({_T.PUBLISH})),
    0x24: ("maximum_qos", "byte", frozenset({_T.CONNACK})),
    0x25: ("retain_available", "byte", frozenset({_T.CONNACK})),
    0x26: ("user", "pair", _ANY | {_WILL}),
    0x27: ("maximum_packet", "four", frozenset({_T.CONNECT, _T.CONNACK})),
    0x28: ("wildcard_available", "byte", frozenset({_T.CONNACK})),
    0x29: ("subscription_ids_available", "byte", frozenset({_T.CONNACK})),
    0x2A: ("shared_available", "byte", frozenset({_T.CONNACK})),
}
_BY_NAME = {name: (number, kind) for number, (name, kind, _) in _PROPERTIES.items()}
_NONZERO = frozenset({"receive_maximum", "maximum_packet", "topic_alias", "subscription_id"})
_FLAGS = frozenset(
    {"payload_format", "request_problem", "request_response", "maximum_qos", "retain_available"}
) | {"wildcard_available", "subscription_ids_available", "shared_available"}


def _malformed(text: str) -> ProtocolError:
    return ProtocolError(Reason.MALFORMED, text)


def _protocol_error(text: str) -> ProtocolError:
    return ProtocolError(Reason.PROTOCOL_ERROR, text)


class _Reader:
    """A cursor over one packet; reading beyond its end raises ProtocolError."""

    __slots__ = ("data", "end", "position")

    def __init__(self, data: bytes) -> None:
        self.data, self.position, self.end = data, 0, len(data)

    def byte(self) -> int:
        if self.position >= self.end:
            raise _malformed("the packet is cut short")
        self.position += 1
        return self.data[self.position - 1]

    def take(self, count: int) -> bytes:
        start = self.position
        if start + count > self.end:
            raise _malformed("a length goes beyond the packet")
        self.position = start + count
        return self.data[start : self.position]

    def two(self) -> int:
        start = self.position
        if start + 2 > self.end:
            raise _malformed("a length goes beyond the packet")
        self.position = start + 2
        return self.data[start] << 8 | self.data[start + 1]

    def four(self) -> int:
        return int.from_bytes(self.take(4), "big")

    def varint(self) -> int:
        if self.position < self.end and self.data[self.position] < 0x80:  # the usual case
            self.position += 1
            return self.data[self.position - 1]
        value = 0
        for shift in (0, 7, 14, 21):
            byte = self.byte()
            value |= (byte & 0x7F) << shift
            if byte < 0x80:
                if shift and byte == 0:
                    raise _malformed("a variable length is not in its shortest form")
                return value
        raise _malformed("a variable length is longer than four bytes")

    def binary(self) -> bytes:
        return self.take(self.two())

    def text(self) -> str:
        try:
            value = self.take(self.two()).decode()
        except UnicodeDecodeError:
            raise _malformed("a string is not UTF-8") from None
        if "\0" in value:
            raise _malformed("a string holds a null character")
        return value

    def pair(self) -> tuple[str, str]:
        return self.text(), self.text()

    def bytes_left(self) -> int:
        return self.end - self.position

    def remaining_bytes(self) -> bytes:
        value = self.data[self.position :]
        self.position = self.end
        return value

    def expect_end(self) -> None:
        if self.position != self.end:
            raise _malformed("bytes are left over at the end of a packet")


_PROPERTY_READERS: dict[str, Callable[[_Reader], Any]] = {
    "byte": _Reader.byte,
    "two": _Reader.two,
    "four": _Reader.four,
    "varint": _Reader.varint,
    "text": _Reader.text,
    "binary": _Reader.binary,
    "pair": _Reader.pair,
}


def _read_properties(reader: _Reader, packet: int) -> Properties:
    length = reader.varint()
    end = reader.position + length
    if end > reader.end:
        raise _malformed("the properties go beyond the packet")
    if not length:
        return {}
    found: Properties = {}
    count = 0
    while reader.position < end:
        count += 1
        if count > MAX_PROPERTIES:
            raise ProtocolError(Reason.QUOTA, f"more than {MAX_PROPERTIES} properties")
        number = reader.varint()
        known = _PROPERTIES.get(number)
        if known is None:
            raise _malformed(f"no property has the identifier {number:#x}")
        name, kind, carriers = known
        if packet not in carriers:
            raise _protocol_error(f"{name} is not a property of this packet")
        value = _PROPERTY_READERS[kind](reader)
        if name == "user" or (name == "subscription_id" and packet == _T.PUBLISH):
            found.setdefault(name, []).append(value)
            continue
        if name in found:
            raise _protocol_error(f"{name} is given twice")
        if (name in _NONZERO and value == 0) or (name in _FLAGS and value > 1):
            raise _protocol_error(f"{name} may not be {value}")
        found[name] = value
    if reader.position != end:
        raise _malformed("a property goes beyond the properties")
    return found


def _check_topic(name: str) -> str:
    if not name or "+" in name or "#" in name:
        raise ProtocolError(Reason.TOPIC_INVALID, f"not a topic to publish to: {name[:80]!r}")
    return name


def check_filter(text: str) -> None:
    """Raise ProtocolError unless `text` is a topic filter (4.7); a `$share/NAME/` prefix is allowed."""
    levels = text.split("/")
    if levels[0] == "$share":
        if len(levels) < 3 or not levels[1] or set(levels[1]) & set("+#") or not "/".join(levels[2:]):
            raise ProtocolError(Reason.FILTER_INVALID, f"not a shared subscription: {text[:80]!r}")
        levels = levels[2:]
    for number, level in enumerate(levels):
        hash_inside = "#" in level and (level != "#" or number != len(levels) - 1)
        if hash_inside or ("+" in level and level != "+"):
            raise ProtocolError(Reason.FILTER_INVALID, f"not a topic filter: {text[:80]!r}")
    if not text:
        raise ProtocolError(Reason.FILTER_INVALID, "a topic filter is empty")


def matches(filter_: str, topic: str) -> bool:
    """Whether a topic matches a filter (4.7); a leading wildcard matches no topic that begins with `$`."""
    if topic.startswith("$") and filter_[:1] in "+#":
        return False
    wanted, levels = filter_.split("/"), topic.split("/")
    for number, level in enumerate(wanted):
        if level == "#":
            return True
        if number >= len(levels) or level not in ("+", levels[number]):
            return False
    return len(wanted) == len(levels)


def _packet_id(reader: _Reader) -> int:
    number = reader.two()
    if number == 0:
        raise _protocol_error("a packet identifier is 0")
    return number


def _read_connect(flags: int, reader: _Reader, _: int) -> Connect:
    if reader.text() != "MQTT":
        raise ProtocolError(Reason.VERSION, "the protocol's name is not MQTT")
    version = reader.byte()
    if version not in (V311, V5):
        raise ProtocolError(Reason.VERSION, f"protocol level {version} is not served")
    bits, keep_alive = reader.byte(), reader.two()
    if bits & 1:
        raise _malformed("the reserved connect flag is set")
    properties = _read_properties(reader, Type.CONNECT) if version == V5 else {}
    packet = Connect(reader.text(), bool(bits & 2), keep_alive, version=version, properties=properties)
    if bits & 4:
        will_properties = _read_properties(reader, _WILL) if version == V5 else {}
        qos = bits >> 3 & 3
        if qos == 3:
            raise _malformed("the will has QoS 3")
        packet.will = Will(
            _check_topic(reader.text()), reader.binary(), qos, bool(bits & 32), will_properties
        )
    elif bits & 0x38:
        raise _malformed("flags of a will without a will")
    if bits & 128:
        packet.username = reader.text()
    if bits & 64:
        if version == V311 and not bits & 128:
            raise _malformed("a password without a user name")
        packet.password = reader.binary()
    reader.expect_end()
    return packet


def _read_connack(flags: int, reader: _Reader, version: int) -> Connack:
    bits, reason = reader.byte(), reader.byte()
    if bits > 1:
        raise _malformed("reserved flags of a CONNACK are set")
    packet = Connack(bool(bits), reason)
    if version == V5:
        packet.properties = _read_properties(reader, Type.CONNACK)
    reader.expect_end()
    return packet


def _read_publish(flags: int, reader: _Reader, version: int) -> Publish:
    qos = flags >> 1 & 3
    if qos == 3:
        raise _malformed("a message has QoS 3")
    if flags & 8 and not qos:
        raise _malformed("a message of QoS 0 is marked as a duplicate")
    topic = reader.text()
    number = _packet_id(reader) if qos else 0
    properties = _read_properties(reader, Type.PUBLISH) if version == V5 else {}
    if topic or "topic_alias" not in properties:
        _check_topic(topic)
    if "response_topic" in properties:
        _check_topic(properties["response_topic"])
    return Publish(topic, reader.remaining_bytes(), qos, bool(flags & 1), bool(flags & 8), number, properties)


def _read_ack(type_: Type) -> Callable[[int, _Reader, int], Ack]:
    def read(flags: int, reader: _Reader, version: int) -> Ack:
        packet = Ack(type_, _packet_id(reader))
        if version == V5 and reader.bytes_left():
            packet.reason = reader.byte()
            if reader.bytes_left():
                packet.properties = _read_properties(reader, type_)
        reader.expect_end()
        return packet

    return read


def _read_subscribe(flags: int, reader: _Reader, version: int) -> Subscribe:
    packet = Subscribe(_packet_id(reader), [])
    if version == V5:
        packet.properties = _read_properties(reader, Type.SUBSCRIBE)
    while reader.bytes_left():
        name, options = reader.text(), reader.byte()
        if options & 3 == 3 or options & (0xC0 if version == V5 else 0xFC) or options >> 4 & 3 == 3:
            raise _malformed("options of a subscription are malformed")
        packet.filters.append((name, options))
        if len(packet.filters) > MAX_FILTERS:
            raise ProtocolError(Reason.QUOTA, f"more than {MAX_FILTERS} topic filters")
    if not packet.filters:
        raise _protocol_error("a SUBSCRIBE without a topic filter")
    return packet


def _read_unsubscribe(flags: int, reader: _Reader, version: int) -> Unsubscribe:
    packet = Unsubscribe(_packet_id(reader), [])
    if version == V5:
        packet.properties = _read_properties(reader, Type.UNSUBSCRIBE)
    while reader.bytes_left():
        packet.filters.append(reader.text())
        if len(packet.filters) > MAX_FILTERS:
            raise ProtocolError(Reason.QUOTA, f"more than {MAX_FILTERS} topic filters")
    if not packet.filters:
        raise _protocol_error("an UNSUBSCRIBE without a topic filter")
    return packet


def _read_suback(type_: Type) -> Callable[[int, _Reader, int], Suback]:
    def read(flags: int, reader: _Reader, version: int) -> Suback:
        packet = Suback(type_, _packet_id(reader), [])
        if version == V5:
            packet.properties = _read_properties(reader, type_)
        packet.reasons = list(reader.remaining_bytes())
        if len(packet.reasons) > MAX_FILTERS:
            raise ProtocolError(Reason.QUOTA, f"more than {MAX_FILTERS} reason codes")
        return packet

    return read


def _read_ping(type_: Type) -> Callable[[int, _Reader, int], Ping]:
    def read(flags: int, reader: _Reader, version: int) -> Ping:
        reader.expect_end()
        return Ping(type_)

    return read


def _read_disconnect(flags: int, reader: _Reader, version: int) -> Disconnect:
    packet = Disconnect()
    if version == V5 and reader.bytes_left():
        packet.reason = reader.byte()
        if reader.bytes_left():
            packet.properties = _read_properties(reader, Type.DISCONNECT)
    reader.expect_end()
    return packet


def _read_auth(flags: int, reader: _Reader, version: int) -> Auth:
    if version != V5:
        raise _malformed("AUTH is no packet of 3.1.1")
    packet = Auth()
    if reader.bytes_left():
        packet.reason = reader.byte()
        packet.properties = _read_properties(reader, Type.AUTH)
    reader.expect_end()
    return packet


_PACKET_READERS: dict[int, Callable[[int, _Reader, int], Packet]] = {
    Type.CONNECT: _read_connect,
    Type.CONNACK: _read_connack,
    Type.PUBLISH: _read_publish,
    Type.PUBACK: _read_ack(Type.PUBACK),
    Type.PUBREC: _read_ack(Type.PUBREC),
    Type.PUBREL: _read_ack(Type.PUBREL),
    Type.PUBCOMP: _read_ack(Type.PUBCOMP),
    Type.SUBSCRIBE: _read_subscribe,
    Type.SUBACK: _read_suback(Type.SUBACK),
    Type.UNSUBSCRIBE: _read_unsubscribe,
    Type.UNSUBACK: _read_suback(Type.UNSUBACK),
    Type.PINGREQ: _read_ping(Type.PINGREQ),
    Type.PINGRESP: _read_ping(Type.PINGRESP),
    Type.DISCONNECT: _read_disconnect,
    Type.AUTH: _read_auth,
}
_FIXED_FLAGS = {Type.PUBREL: 2, Type.SUBSCRIBE: 2, Type.UNSUBSCRIBE: 2}


class Decoder:
    """Decodes a stream of bytes into packets.

    With `version` 0, the first packet must be a CONNECT, which determines the version.  `max_packet_bytes`
    includes the fixed header.
    """

    def __init__(self, version: int = 0, max_packet_bytes: int = MAX_PACKET_BYTES) -> None:
        self.version, self.max_packet_bytes = version, max_packet_bytes
        self._buffer = bytearray()
        self._awaits_connect = version == 0

    def restore(self, connected: bool) -> None:
        """Continue the decoder of the previous process; `connected`: the CONNECT has been received."""
        self._awaits_connect = not connected

    def receive(self, data: bytes) -> None:
        """Keep received bytes until the next `feed`."""
        self._buffer += data

    def feed(self, data: bytes = b"") -> Iterator[Packet]:
        """Parse received bytes and yield complete packets.

        Raises ProtocolError, after which the decoder must not be used.
        """
        buffer = self._buffer
        buffer += data
        start = 0
        try:
            while len(buffer) - start >= 2:
                # The length is parsed in place, so that a packet in many parts is not copied for each.
                length, shift, at = 0, 0, start + 1
                while True:
                    if at >= len(buffer):
                        return
                    byte = buffer[at]
                    length |= (byte & 0x7F) << shift
                    at += 1
                    if byte < 0x80:
                        break
                    shift += 7
                    if shift > 21:
                        raise _malformed("the remaining length is longer than four bytes")
                if shift and byte == 0:
                    raise _malformed("the remaining length is not in its shortest form")
                if at - start + length > self.max_packet_bytes:
                    raise ProtocolError(
                        Reason.TOO_LARGE, f"a packet of {length} bytes; {self.max_packet_bytes} are allowed"
                    )
                if self._awaits_connect and buffer[start] != 0x10:
                    raise _protocol_error("the first packet is not a CONNECT")
                if len(buffer) < at + length:
                    return
                head, body = buffer[start], bytes(buffer[at : at + length])
                start = at + length
                yield self._decode_packet(head, body)
        finally:
            if start:
                del buffer[:start]

    def _decode_packet(self, head: int, body: bytes) -> Packet:
        type_, flags = head >> 4, head & 15
        reader = _PACKET_READERS.get(type_)
        if reader is None:
            raise _malformed("packet type 0")
        if type_ != Type.PUBLISH and flags != _FIXED_FLAGS.get(type_, 0):  # type: ignore[call-overload]
            raise _malformed("flags of the fixed header are malformed")
        if type_ == Type.CONNECT and not self._awaits_connect and self.version:
            raise _protocol_error("a second CONNECT")
        packet = reader(flags, _Reader(body), self.version)
        if isinstance(packet, Connect):
            self.version, self._awaits_connect = packet.version, False
        return packet

    @property
    def pending(self) -> int:
        """Number of buffered bytes of an incomplete packet."""
        return len(self._buffer)


def _varint(value: int) -> bytes:
    encoded = bytearray()
    while True:
        value, low = value >> 7, value & 0x7F
        encoded.append(low | (0x80 if value else 0))
        if not value:
            return bytes(encoded)


def _binary(value: bytes) -> bytes:
    if len(value) > 65_535:
        raise ValueError("a string or binary property is longer than 65,535 bytes")
    return len(value).to_bytes(2, "big") + value


def _text(value: str) -> bytes:
    return _binary(value.encode())


_PROPERTY_WRITERS: dict[str, Callable[[Any], bytes]] = {
    "byte": lambda v: bytes((v,)),
    "two": lambda v: v.to_bytes(2, "big"),
    "four": lambda v: v.to_bytes(4, "big"),
    "varint": _varint,
    "text": _text,
    "binary": _binary,
    "pair": lambda v: _text(v[0]) + _text(v[1]),
}


def _write_properties(properties: Properties) -> bytes:
    if not properties:
        return b"\0"
    encoded = b""
    for name, value in properties.items():
        number, kind = _BY_NAME[name]
        write = _PROPERTY_WRITERS[kind]
        for item in value if isinstance(value, list) else (value,):
            encoded += bytes((number,)) + write(item)
    return _varint(len(encoded)) + encoded


def _frame(head: int, body: bytes) -> bytes:
    return bytes((head,)) + _varint(len(body)) + body


def _write_connect(packet: Connect) -> bytes:
    bits = 2 if packet.clean else 0
    body = b""
    v5 = packet.version == V5
    if packet.will:
        will = packet.will
        bits |= 4 | will.qos << 3 | (32 if will.retain else 0)
        body += (
            (_write_properties(will.properties) if v5 else b"") + _text(will.topic) + _binary(will.payload)
        )
    if packet.username is not None:
        bits |= 128
        body += _text(packet.username)
    if packet.password is not None:
        bits |= 64
        body += _binary(packet.password)
    head = _text("MQTT") + bytes((packet.version, bits)) + packet.keep_alive.to_bytes(2, "big")
    properties = _write_properties(packet.properties) if v5 else b""
    return _frame(0x10, head + properties + _text(packet.client_id) + body)


def encode(packet: Packet, version: int) -> bytes:
    """Encode a packet; raises ValueError for values that the protocol can't represent."""
    v5 = version == V5
    match packet:
        case Publish():
            head = 0x30 | packet.dup << 3 | packet.qos << 1 | packet.retain
            body = _text(packet.topic) + (packet.id.to_bytes(2, "big") if packet.qos else b"")
            if v5:
                body += _write_properties(packet.properties)
            return _frame(head, body + packet.payload)
        case Ack():
            head = packet.type << 4 | (2 if packet.type is Type.PUBREL else 0)
            body = packet.id.to_bytes(2, "big")
            if v5 and (packet.reason or packet.properties):
                body += bytes((packet.reason,))
                if packet.properties:
                    body += _write_properties(packet.properties)
            return _frame(head, body)
        case Connect():
            return _write_connect(packet)
        case Connack():
            body = bytes((packet.session_present, packet.reason))
            return _frame(0x20, body + (_write_properties(packet.properties) if v5 else b""))
        case Subscribe():
            body = packet.id.to_bytes(2, "big") + (_write_properties(packet.properties) if v5 else b"")
            return _frame(
                0x82, body + b"".join(_text(name) + bytes((bits,)) for name, bits in packet.filters)
            )
        case Unsubscribe():
            body = packet.id.to_bytes(2, "big") + (_write_properties(packet.properties) if v5 else b"")
            return _frame(0xA2, body + b"".join(map(_text, packet.filters)))
        case Suback():
            body = packet.id.to_bytes(2, "big") + (_write_properties(packet.properties) if v5 else b"")
            if packet.type is Type.UNSUBACK and not v5:
                return _frame(packet.type << 4, body)
            return _frame(packet.type << 4, body + bytes(packet.reasons))
        case Ping():
            return _frame(packet.type << 4, b"")
        case Disconnect() | Auth():
            head = (Type.DISCONNECT if isinstance(packet, Disconnect) else Type.AUTH) << 4
            if not v5 or not (packet.reason or packet.properties):
                return _frame(head, b"")
            return _frame(head, bytes((packet.reason,)) + _write_properties(packet.properties))
    raise TypeError(f"not a packet: {packet!r}")
