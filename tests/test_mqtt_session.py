"""Sessions: windows, identifiers, what is sent again; the contract with publishers; clocks."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from swiftwell.fronts.mqtt import contract
from swiftwell.fronts.mqtt.codec import V5, V311, Ack, ProtocolError, Publish, Reason, Type
from swiftwell.fronts.mqtt.contract import Contract, FunctionHint, Rejected
from swiftwell.fronts.mqtt.session import Inbox, Outbox
from swiftwell.fronts.time_budget import MAX_PUBLISHERS, ClockSkew, TimeFields, left_us
from swiftwell.fronts.trigger import Answer, Kind


def test_the_window_of_the_peer_is_kept_and_what_waits_follows():
    box = Outbox(window=2, bound=2)
    sent = [box.put(Publish("a", bytes((n,)), 1)) for n in range(5)]
    assert [len(now) for _, now in sent] == [1, 1, 0, 0, 0] and [room for room, _ in sent][-1] is False
    first = sent[0][1][0]
    assert box.acked(Ack(Type.PUBACK, first.id))[0].payload == b"\2"


def test_qos_two_goes_through_both_halves_and_resumes_where_it_was():
    box = Outbox()
    one = box.put(Publish("a", b"1", 2))[1][0]
    two = box.put(Publish("a", b"2", 2))[1][0]
    assert box.acked(Ack(Type.PUBREC, one.id)) == [Ack(Type.PUBREL, one.id)]
    again = box.resume()
    assert again[0] == Ack(Type.PUBREL, one.id) and again[1].dup and again[1].id == two.id
    assert box.acked(Ack(Type.PUBCOMP, one.id)) == [] and len(box) == 1
    assert box.acked(Ack(Type.PUBCOMP, 999)) == []
    with pytest.raises(ProtocolError):
        box.acked(Ack(Type.PUBACK, two.id))


def test_a_lost_session_is_sent_anew_in_the_first_order():
    box = Outbox(window=2)
    for number in range(4):
        box.put(Publish("a", bytes((number,)), 1))
    fresh = box.reset()
    assert [(m.payload, m.dup) for m in fresh] == [(b"\0", False), (b"\1", False)] and len(box) == 4


@given(st.lists(st.integers(0, 2), max_size=40), st.integers(1, 5))
def test_identifiers_in_flight_are_never_shared(plan, window):
    box, flight = Outbox(window, 1_000), []
    for qos in plan:
        flight += [m for m in box.put(Publish("a", b"", qos))[1] if m.qos]
        assert len({m.id for m in flight}) == len(flight) <= window
        if len(flight) == window:
            done = flight.pop(0)
            if done.qos == 2:
                box.acked(Ack(Type.PUBREC, done.id))
            follow = box.acked(Ack(Type.PUBCOMP if done.qos == 2 else Type.PUBACK, done.id))
            flight += [m for m in follow if isinstance(m, Publish)]


def test_a_message_is_taken_once_and_acknowledged_when_its_taker_says_so():
    box = Inbox(2)
    message = Publish("a", b"", 2, id=7)
    assert box.take(message) == (True, [])
    assert box.take(Publish("a", b"", 2, dup=True, id=7)) == (False, [])
    assert box.done(7) == [Ack(Type.PUBREC, 7)]
    assert box.take(Publish("a", b"", 2, dup=True, id=7)) == (False, [Ack(Type.PUBREC, 7)])
    assert box.released(Ack(Type.PUBREL, 7)) == [Ack(Type.PUBCOMP, 7)]
    assert box.released(Ack(Type.PUBREL, 7)) == [Ack(Type.PUBCOMP, 7, Reason.ID_NOT_FOUND)]
    assert box.done(7) == []


def test_more_than_the_window_and_an_identifier_in_use_are_protocol_errors():
    box = Inbox(1)
    box.take(Publish("a", b"", 1, id=1))
    with pytest.raises(ProtocolError) as error:
        box.take(Publish("a", b"", 1, id=2))
    assert error.value.reason is Reason.RECEIVE_MAXIMUM
    with pytest.raises(ProtocolError) as error:
        box.take(Publish("a", b"", 1, id=1))
    assert error.value.reason is Reason.ID_IN_USE


# The contract.


def read(message, version=V5, direct=True, alone=True, now=1_000_000.0, client="c"):
    deadlines = {"lectura": 2_500.0, "consigna": 2_500.0}
    one = Contract("calls", deadlines, lambda name: FunctionHint(400.0, 2, 0, 700_000), direct, alone)
    ref = one.ref(message, version, None, client)
    return one.read(message, "m:c", ref, now), ref


def message(user=(), topic="calls/estate/lectura/heat/a", **more):
    return Publish(topic, b"in", 1, id=1, properties={"user": list(user), **more})


def test_a_message_of_five_becomes_a_trigger():
    user = [("key", "k1"), ("timeout-ms", "800"), ("attempt", "1"), ("lanes", "4")]
    trigger, ref = read(message(user, response_topic="answers/c", correlation_data=b"\1"))
    assert (trigger.tenant, trigger.request_class, trigger.function) == ("estate", "lectura", "heat/a")
    assert (trigger.key, trigger.left_us, trigger.redelivered, trigger.lanes) == ("k1", 800_000, True, 4)
    assert trigger.memory_mb == 400.0 and trigger.load_us == 700_000 and trigger.payload == b"in"
    back = contract.answer(ref, Answer(Kind.REFUSED, "not-run", wait_us=1_500))
    assert back.topic == "answers/c" and back.properties["correlation_data"] == b"\1"
    assert dict(back.properties["user"])["wait-ms"] == "2" and back.qos == 1


def test_an_envelope_of_three_becomes_a_trigger_and_its_answer_an_envelope():
    body = {"body": {"t": 60}, "key": "k", "reply": "answers/x", "correlation": "7", "timeout_ms": 900}
    raw = Publish("calls/estate/consigna/valve", msgspec.json.encode(body), 1, id=1)
    trigger, ref = read(raw, V311)
    assert trigger.payload == b'{"t":60}' and trigger.key == "k" and trigger.left_us == 900_000
    told = msgspec.json.decode(contract.answer(ref, Answer(Kind.SERVED, "ok", b"done", worker="w")).payload)
    assert told["correlation"] == "7" and told["body"] == "done" and told["status"] == "served"


@pytest.mark.parametrize(
    ("bad", "reason"),
    [
        (message(topic="calls/estate/lectura"), Reason.TOPIC_INVALID),
        (message(topic="other/estate/lectura/f"), Reason.TOPIC_INVALID),
        (message(topic="calls//lectura/f"), Reason.TOPIC_INVALID),
        (message(topic="calls/e/lectura/" + "/".join("abcdefghijklmnop")), Reason.TOPIC_INVALID),
        (message([("timeout-ms", "soon")]), Reason.PAYLOAD_FORMAT),
        (message([("timeout-ms", "-1")]), Reason.PAYLOAD_FORMAT),
        (message([("timeout-ms", "nan")]), Reason.PAYLOAD_FORMAT),
        (message([("key", "k" * 201)]), Reason.PAYLOAD_FORMAT),
    ],
)
def test_what_cannot_be_a_trigger_is_told_why(bad, reason):
    with pytest.raises(Rejected) as error:
        read(bad)
    assert error.value.reason is reason


@pytest.mark.parametrize("payload", [b"", b"[]", b'{"boddy":1}', b"\xff", b'{"key":5}', b"[" * 5_000])
def test_a_payload_that_is_no_envelope_is_told_so(payload):
    with pytest.raises(Rejected) as error:
        read(Publish("calls/e/lectura/f", payload, 1, id=1), V311)
    assert error.value.reason is Reason.PAYLOAD_FORMAT


def test_what_may_have_been_given_to_another_gateway():
    tried = message([("attempt", "1")])
    assert not read(tried)[0].maybe_seen_elsewhere  # it is the only gateway
    assert read(tried, alone=False)[0].maybe_seen_elsewhere
    assert not read(message([("attempt", "1"), ("unanswered", "0")]), alone=False)[0].maybe_seen_elsewhere
    again = message()
    again.dup = True
    assert read(again, alone=False)[0].maybe_seen_elsewhere
    assert not read(again, alone=False, direct=False)[
        0
    ].maybe_seen_elsewhere  # the broker's session is this gateway's own


# Clocks.

AT = 1_700_000_000_000.0


def left(skew, sent, now, timeout=1_000.0, direct=True, **more):
    return left_us(TimeFields(timeout, sent_ms=sent, **more), 2_500.0, "p", now, direct, skew) / 1_000


def test_time_on_the_way_is_taken_off_and_skew_is_not():
    skew = ClockSkew()
    assert left(skew, AT + 700, AT) == 1_000  # its clock is ahead
    assert left(skew, AT + 1_700, AT + 1_400) == 600  # 400 ms under way


def test_a_message_that_waited_at_a_broker_is_known_to_be_old_at_once():
    skew = ClockSkew()
    assert left(skew, AT - 60_000, AT, direct=False) == 0


@pytest.mark.parametrize("hour", [3_600_000.0, -3_600_000.0])
def test_a_publishers_clock_set_by_an_hour_costs_a_direct_one_nothing(hour):
    skew = ClockSkew()
    for n in range(5):
        assert left(skew, AT + n * 1_000, AT + n * 1_000) == 1_000
    for n in range(5, 10):
        assert left(skew, AT + n * 1_000 + hour, AT + n * 1_000) == 1_000


def test_a_publishers_clock_set_back_is_believed_through_a_broker_after_three_that_agree():
    skew = ClockSkew()
    left(skew, AT, AT, direct=False)
    seen = [left(skew, AT - 3_600_000 + n, AT + n, direct=False) for n in range(1, 6)]
    assert seen == [0, 0, 1_000, 1_000, 1_000]
    assert left(skew, AT + 10, AT + 10, direct=False) == 1_000  # and forward at once


def test_the_shortest_of_all_that_is_told_counts():
    skew = ClockSkew()
    told = TimeFields(2_000.0, AT + 900, AT, 700.0)
    assert left_us(told, 2_500.0, "p", AT, True, skew) == 700_000
    assert left_us(TimeFields(), 2_500.0, "p", AT, True, skew) == 2_500_000
    assert left_us(TimeFields(99_000.0), 2_500.0, "p", AT, True, skew) == 2_500_000
    assert left_us(TimeFields(deadline_ms=AT + 300), 2_500.0, "p", AT, True, skew) == 300_000


def test_old_differences_are_forgotten_and_publishers_are_bounded():
    skew = ClockSkew()
    left(skew, AT + 5_000, AT)  # drifted 5 s ahead once
    for n in range(1, 30):
        left(skew, AT + n * 60_000, AT + n * 60_000)
    assert left(skew, AT + 30 * 60_000, AT + 30 * 60_000) == 1_000
    for n in range(MAX_PUBLISHERS + 10):
        skew.transit_ms(f"p{n}", AT, AT, True)
    assert len(skew) == MAX_PUBLISHERS
