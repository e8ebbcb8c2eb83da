"""The MQTT codec: round trips, split input, and invalid input, which may raise ProtocolError only."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from swiftwell.fronts.mqtt.codec import (
    V5,
    V311,
    Ack,
    Auth,
    Connack,
    Connect,
    Decoder,
    Disconnect,
    Ping,
    ProtocolError,
    Publish,
    Reason,
    Suback,
    Subscribe,
    Type,
    Unsubscribe,
    Will,
    check_filter,
    encode,
    matches,
)

TEXT = st.text(st.characters(blacklist_categories=("Cs",), blacklist_characters="\0"), max_size=12)
TOPIC = st.text(st.sampled_from("abc/$ é"), min_size=1, max_size=12)
BYTES = st.binary(max_size=40)
IDS = st.integers(1, 65_535)
USER = st.lists(st.tuples(TEXT, TEXT), min_size=1, max_size=3)


def properties(**kinds):
    return st.fixed_dictionaries({}, optional={**kinds, "user": USER})


MESSAGE = properties(
    payload_format=st.integers(0, 1), message_expiry=st.integers(0, 2**32 - 1), content_type=TEXT,
    response_topic=TOPIC, correlation_data=BYTES,
)  # fmt: skip
REASONED = properties(reason_string=TEXT)


@st.composite
def packets(draw, version):
    v5 = version == V5
    no_properties = st.just({})
    kind = draw(st.sampled_from(list(Type)))
    if_v5 = lambda strategy: draw(strategy if v5 else no_properties)  # noqa: E731
    if kind is Type.CONNECT:
        will = None
        if draw(st.booleans()):
            will = Will(
                draw(TOPIC), draw(BYTES), draw(st.integers(0, 2)), draw(st.booleans()), if_v5(MESSAGE)
            )
        user = draw(st.none() | TEXT)
        password = draw(st.none() | BYTES) if v5 or user is not None else None
        more = properties(session_expiry=st.integers(0, 2**32 - 1), receive_maximum=st.integers(1, 65_535))
        return Connect(
            draw(TEXT),
            draw(st.booleans()),
            draw(st.integers(0, 65_535)),
            user,
            password,
            will,
            version,
            if_v5(more),
        )
    if kind is Type.CONNACK:
        more = properties(assigned_client_id=TEXT, server_keep_alive=st.integers(0, 65_535))
        return Connack(draw(st.booleans()), draw(st.integers(0, 255)), if_v5(more))
    if kind is Type.PUBLISH:
        qos = draw(st.integers(0, 2))
        return Publish(
            draw(TOPIC), draw(BYTES), qos, draw(st.booleans()), draw(st.booleans()) if qos else False,
            draw(IDS) if qos else 0, if_v5(MESSAGE),
        )  # fmt: skip
    if kind in (Type.PUBACK, Type.PUBREC, Type.PUBREL, Type.PUBCOMP):
        return Ack(kind, draw(IDS), draw(st.integers(0, 255)) if v5 else 0, if_v5(REASONED))
    if kind is Type.SUBSCRIBE:
        options = st.sampled_from([0, 1, 2, 0x2E] if v5 else [0, 1, 2])
        return Subscribe(draw(IDS), draw(st.lists(st.tuples(TEXT, options), min_size=1, max_size=3)), if_v5(
            properties(subscription_id=st.integers(1, 268_435_455))))  # fmt: skip
    if kind is Type.UNSUBSCRIBE:
        return Unsubscribe(draw(IDS), draw(st.lists(TEXT, min_size=1, max_size=3)), if_v5(properties()))
    if kind is Type.SUBACK or (kind is Type.UNSUBACK and v5):
        return Suback(kind, draw(IDS), draw(st.lists(st.integers(0, 255), max_size=3)), if_v5(REASONED))
    if kind in (Type.PINGREQ, Type.PINGRESP):
        return Ping(kind)
    if kind is Type.AUTH and v5:
        return Auth(draw(st.integers(0, 255)), draw(properties(auth_method=TEXT, auth_data=BYTES)))
    return Disconnect(draw(st.integers(0, 255)) if v5 else 0, if_v5(REASONED))


def decoder(packet, version):
    return Decoder(0 if isinstance(packet, Connect) else version)


@pytest.mark.parametrize("version", [V5, V311])
@given(data=st.data())
def test_what_is_written_is_read_back(version, data):
    packet = data.draw(packets(version))
    assert list(decoder(packet, version).feed(encode(packet, version))) == [packet]


@pytest.mark.parametrize("version", [V5, V311])
@given(data=st.data())
def test_every_split_of_the_stream_gives_the_same_packets(version, data):
    sent = [p for p in data.draw(st.lists(packets(version), max_size=6)) if not isinstance(p, Connect)]
    stream = b"".join(encode(p, version) for p in sent)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=8)))
    chunked, received = Decoder(version), []
    for start, end in zip([0, *cuts], [*cuts, len(stream)], strict=True):
        received += chunked.feed(stream[start:end])
    assert received == sent and chunked.pending == 0
    bytewise = Decoder(version)
    assert [p for byte in stream for p in bytewise.feed(bytes((byte,)))] == sent


@pytest.mark.parametrize("version", [0, V5, V311])
@given(data=st.binary(max_size=200))
def test_random_bytes_raise_only_the_protocol_error(version, data):
    try:
        for packet in Decoder(version).feed(data):
            encode(packet, version or V5)
    except ProtocolError as error:
        assert error.reason >= 0x80


@pytest.mark.parametrize("version", [V5, V311])
@given(data=st.data())
def test_a_changed_byte_raises_only_the_protocol_error(version, data):
    packet = data.draw(packets(version))
    raw = bytearray(encode(packet, version))
    raw[data.draw(st.integers(0, len(raw) - 1))] = data.draw(st.integers(0, 255))
    try:
        list(decoder(packet, version).feed(bytes(raw)))
    except ProtocolError as error:
        assert error.reason >= 0x80


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        (
            b"\x30\xff\xff\xff\x7f",
            Reason.TOO_LARGE,
        ),  # rejected by its announced length, before its payload arrives
        (b"\x30\xff\xff\xff\xff\x01", Reason.MALFORMED),
        (b"\x30\x80\x00", Reason.MALFORMED),  # a length not in its shortest form
        (b"\x36\x03\x00\x01a", Reason.MALFORMED),  # QoS 3
        (b"\x32\x05\x00\x01a\x00\x00", Reason.PROTOCOL_ERROR),  # identifier 0
        (b"\x38\x04\x00\x01a\x00", Reason.MALFORMED),  # DUP with QoS 0
        (b"\x30\x04\x00\x01+\x00", Reason.TOPIC_INVALID),
        (b"\x30\x05\x00\x02\xc3\x28\x00", Reason.MALFORMED),  # not UTF-8
        (b"\x30\x04\x00\x01\x00\x00", Reason.MALFORMED),  # a null character
        (b"\x30\x06\x00\x01a\x02\x01\x02", Reason.PROTOCOL_ERROR),  # payload format 2
        (
            b"\x30\x09\x00\x01a\x05\x21\x00\x01\x01\x00",
            Reason.PROTOCOL_ERROR,
        ),  # a property of another packet type
        (
            b"\x30\x0e\x00\x01a\x0a\x02\x00\x00\x00\x01\x02\x00\x00\x00\x01",
            Reason.PROTOCOL_ERROR,
        ),  # a property twice
        (b"\x30\x05\x00\x01a\x01\x7f", Reason.MALFORMED),  # unknown property
        (b"\x62\x02\x00\x01", Reason.OK),
        (b"\x60\x02\x00\x01", Reason.MALFORMED),  # wrong flags of a PUBREL
        (b"\x82\x03\x00\x01\x00", Reason.PROTOCOL_ERROR),  # no filter
        (b"\x00\x00", Reason.MALFORMED),
        (b"\xc0\x01\x00", Reason.MALFORMED),
    ],
)
def test_malformed_packets_end_with_the_right_reason(raw, reason):
    if reason is Reason.OK:
        assert list(Decoder(V5).feed(raw)) == [Ack(Type.PUBREL, 1)]
        return
    with pytest.raises(ProtocolError) as error:
        list(Decoder(V5).feed(raw))
    assert error.value.reason is reason


def test_the_first_packet_of_a_client_is_a_connect_of_a_version_we_speak():
    with pytest.raises(ProtocolError) as error:
        list(Decoder().feed(b"\xc0\x00"))
    assert error.value.reason is Reason.PROTOCOL_ERROR
    raw = bytearray(encode(Connect("c"), V5))
    raw[8] = 6
    with pytest.raises(ProtocolError) as error:
        list(Decoder().feed(bytes(raw)))
    assert error.value.reason is Reason.VERSION
    twice = encode(Connect("c"), V5) * 2
    with pytest.raises(ProtocolError):
        list(Decoder().feed(twice))


def test_counts_are_bounded():
    many = Publish("a", properties={"user": [("a", "b")] * 65})
    with pytest.raises(ProtocolError) as error:
        list(Decoder(V5).feed(encode(many, V5)))
    assert error.value.reason is Reason.QUOTA
    with pytest.raises(ProtocolError):
        list(Decoder(V5).feed(encode(Subscribe(1, [("a", 0)] * 65), V5)))


def test_filters():
    assert matches("calls/#", "calls/a/b") and matches("calls/#", "calls") and matches("+/b", "a/b")
    assert not matches("+", "a/b") and not matches("#", "$SYS/x") and not matches("a/+/c", "a/b")
    for bad in ("", "a/#/b", "a+", "$share/g", "$share//a", "$share/+/a"):
        with pytest.raises(ProtocolError):
            check_filter(bad)
    check_filter("$share/g/a/#")
