"""The FastCGI codec and sessions, without I/O."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platformbench import fields, params, request

from swiftwell.fronts.fastcgi import codec
from swiftwell.fronts.fastcgi import request as rq
from swiftwell.fronts.fastcgi.codec import Decoder, FastcgiError
from swiftwell.fronts.fastcgi.session import (
    MAX_BODY_BYTES,
    MAX_INCOMPLETE_SWEEPS,
    MAX_OPEN_REQUESTS,
    RequestAborted,
    RequestReceived,
    Session,
)

ID = "9b1f03aa5c7e2d41"
CONTRACT = rq.Contract({"lectura": 1_500_000}, frozenset({"acme"}), 8_000.0)


def padded(kind, number, content, padding):
    head = bytearray(codec.record(kind, number, content))
    head[6] = padding
    return bytes(head) + b"\0" * padding


def rejected_statuses(session):
    """The requests that the session has rejected: number to protocol status of the END_REQUEST record."""
    output, session.output = b"".join(session.output), []
    return {number: content[4] for kind, number, content in Decoder().feed(output) if kind == codec.END}


@given(st.integers(0, 400), st.binary(max_size=300), st.integers(0, 255))
def test_records_may_be_split_at_every_byte_and_padded(cut, body, padding):
    data = (
        codec.begin(7)
        + padded(codec.PARAMS, 7, params({"A": "b"}), padding)
        + padded(codec.PARAMS, 7, b"", padding)
        + (padded(codec.STDIN, 7, body, padding) if body else b"")
        + padded(codec.STDIN, 7, b"", padding)
    )
    session = Session()
    cut = min(cut, len(data))
    assert session.receive(data[:cut]) + session.receive(data[cut:]) == [
        RequestReceived(7, {b"A": b"b"}, body)
    ]


def test_a_request_byte_by_byte():
    session, events = Session(), []
    for byte in request(3, fields(ID), bytes(range(256))):
        events += session.receive(bytes((byte,)))
    assert [(event.number, event.body) for event in events] == [(3, bytes(range(256)))]


def test_pairs_with_long_lengths_and_any_bytes():
    value = bytes(range(256)) * 3
    assert codec.pairs(codec.pair(b"n" * 200, value) + codec.pair(b"", b"")) == {b"n" * 200: value, b"": b""}


@pytest.mark.parametrize(
    "data", [b"\x01", b"\x80\x00", b"\x05\x05abc", b"\xff\xff\xff\xff\x01a", b"\x01\x01aa" * 2]
)
def test_pairs_that_do_not_fit_are_an_error(data):
    with pytest.raises(FastcgiError):
        codec.pairs(data)


def test_interleaved_requests_of_one_connection_come_out_whole():
    session, events = Session(), []
    for number in range(1, MAX_OPEN_REQUESTS + 1):
        session.receive(codec.begin(number))
    for piece in range(4):
        for number in range(1, MAX_OPEN_REQUESTS + 1):
            if piece == 0:
                session.receive(codec.record(codec.PARAMS, number, params({"N": str(number)})))
            elif piece == 1:
                session.receive(codec.record(codec.PARAMS, number, b""))
            elif piece == 2:
                session.receive(codec.record(codec.STDIN, number, b"%d" % number))
            else:
                events += session.receive(codec.record(codec.STDIN, number, b""))
    assert [(e.number, e.fields[b"N"], e.body) for e in events] == [
        (n, b"%d" % n, b"%d" % n) for n in range(1, MAX_OPEN_REQUESTS + 1)
    ]
    # One request above the limit is refused with OVERLOADED, and the connection stays open.
    session.receive(request(99, {"A": "b"}))
    assert rejected_statuses(session) == {99: codec.OVERLOADED} and not session.broken


def test_abort_before_during_and_after():
    session = Session()
    session.receive(codec.begin(1))
    assert session.receive(codec.record(codec.ABORT, 1, b"")) == [] and rejected_statuses(session) == {1: 0}
    (received,) = session.receive(request(2, {"A": "b"}))
    assert session.receive(codec.record(codec.ABORT, 2, b"")) == [RequestAborted(2)]
    assert session.finish_request(2, b"x")
    assert session.receive(codec.record(codec.ABORT, 2, b"")) == [] and not session.broken
    assert received.number == 2 and not session.finish_request(2, b"x")  # only one response


def test_a_second_begin_under_a_number_in_use_breaks_the_connection():
    session = Session()
    session.receive(codec.begin(1))
    session.receive(codec.begin(1))
    assert session.broken
    session = Session()
    session.receive(request(1, {"A": "b"}) + codec.begin(1))
    assert session.broken


def test_a_number_is_free_again_after_its_answer():
    session = Session()
    session.receive(request(1, {"A": "b"}))
    session.finish_request(1, b"x")
    assert session.receive(request(1, {"A": "c"}))[0].fields == {b"A": b"c"}


@pytest.mark.parametrize(
    "data",
    [
        b"\x02" + codec.begin(1)[1:],
        b"GET / HTTP/1.1\r\n\r\n",
        codec.record(77, 1, b""),
        codec.record(codec.BEGIN, 1, b"short"),
        codec.record(codec.PARAMS, 0, b""),
        codec.begin(1) + codec.record(codec.STDIN, 1, b""),
        codec.begin(1) + codec.record(codec.PARAMS, 1, b"\x05\x05ab") + codec.record(codec.PARAMS, 1, b""),
    ],
)
def test_bytes_that_cannot_be_trusted_break_the_connection(data):
    session = Session()
    assert session.receive(data) == [] and session.broken
    assert session.receive(request(5, {"A": "b"})) == []  # a broken connection takes no more requests


def test_a_wrong_role_and_management_records_are_answered():
    session = Session()
    session.receive(codec.begin(4, role=2) + codec.record(codec.PARAMS, 4, b""))
    assert rejected_statuses(session) == {4: codec.UNKNOWN_ROLE}
    session.receive(
        codec.record(codec.GET_VALUES, 0, codec.pair(b"FCGI_MAX_REQS", b"")) + codec.record(50, 0, b"")
    )
    kinds = [kind for kind, _, _ in Decoder().feed(b"".join(session.output))]
    assert kinds == [codec.GET_VALUES_RESULT, codec.UNKNOWN_TYPE] and not session.broken


def test_a_body_beyond_its_bound_is_answered_at_once_and_takes_no_memory():
    session = Session()
    session.receive(codec.begin(1) + codec.record(codec.PARAMS, 1, b""))
    session.receive(codec.record(codec.STDIN, 1, b"x" * MAX_BODY_BYTES))
    assert not session.output
    session.receive(codec.record(codec.STDIN, 1, b"x"))
    assert rejected_statuses(session) == {1: codec.COMPLETE}
    for _ in range(100):  # the rest of the body keeps arriving
        assert session.receive(codec.record(codec.STDIN, 1, b"x" * 65_535)) == []
    assert not session._incomplete and not session.broken and not session.output
    session.receive(codec.record(codec.STDIN, 1, b""))
    assert session.receive(request(1, {"A": "b"}))


def test_what_stays_incomplete_is_turned_away():
    session = Session()
    session.receive(codec.begin(1))
    for _ in range(MAX_INCOMPLETE_SWEEPS):
        session.sweep()
    assert not session.output
    session.sweep()
    assert rejected_statuses(session) == {1: codec.COMPLETE}
    session.receive(codec.begin(2)[:5])
    for _ in range(MAX_INCOMPLETE_SWEEPS + 1):
        session.sweep()
    assert session.broken


def test_a_usual_request_becomes_a_trigger_unchanged():
    trigger = rq.read(
        {k.encode(): v.encode() for k, v in fields(ID).items()}, b"\0body", CONTRACT, "1/1", None
    )
    assert (trigger.key, trigger.request_class, trigger.tenant, trigger.payload) == (
        ID,
        "lectura",
        "acme",
        b"\0body",
    )
    assert (trigger.left_us, trigger.hint_us, trigger.memory_mb, trigger.lanes, trigger.load_us) == (
        1_000_000, 8_200, 512.0, 2, 300_000,
    )  # fmt: skip


def raw(**more):
    return {name.encode(): value.encode() for name, value in fields(ID, **more).items()}


INVALID_FIELDS = [
    {"HTTP_REQ_ID": None}, {"HTTP_REQ_ID": "short"}, {"HTTP_REQ_ID": "9B1F03AA5C7E2D41"},
    {"HTTP_REQ_WAIT_MS": None}, {"HTTP_REQ_WAIT_MS": "-5"}, {"HTTP_REQ_WAIT_MS": "nan"},
    {"HTTP_REQ_WAIT_MS": "inf"}, {"HTTP_REQ_WAIT_MS": "0"}, {"HTTP_REQ_WAIT_MS": "1e99"},
    {"HTTP_REQ_WAIT_MS": "99999999"}, {"HTTP_REQ_WAIT_MS": "1_000"}, {"HTTP_REQ_WAIT_MS": ""},
    {"HTTP_REQ_OWNER": None}, {"HTTP_REQ_OWNER": "nobody"},
    {"HTTP_REQ_KEY": None}, {"HTTP_REQ_KEY": "x" * 16},
    {"HTTP_REQ_COST": "-1"}, {"HTTP_REQ_COST": "NaN"}, {"HTTP_REQ_COST": "1e12"}, {"HTTP_REQ_COST": "ten"},
    {"HTTP_X_TAGS": ""}, {"HTTP_X_TAGS": "memory_mb"}, {"HTTP_X_TAGS": "memory_mb:9e9;lanes:1"},
    {"HTTP_X_TAGS": "memory_mb:1;lanes:0"}, {"HTTP_X_TAGS": "memory_mb:1;lanes:1.5"},
    {"HTTP_X_TAGS": "memory_mb:-1;lanes:1"}, {"HTTP_X_TAGS": "memory_mb:1;memory_mb:1;lanes:1"},
    {"SCRIPT_NAME": "/api/v2/nothing"}, {"SCRIPT_NAME": "/"}, {"SCRIPT_NAME": None},
    {"CONTENT_LENGTH": "5"}, {"CONTENT_LENGTH": "-1"}, {"CONTENT_LENGTH": "99999999999999"},
    {"HTTP_REQ_TOKEN": "a,name=b"}, {"HTTP_REQ_TOKEN": "x" * 65}, {"HTTP_REQ_TOKEN": "a b"},
]  # fmt: skip


def test_a_deployment_whose_clients_give_no_hints_is_served_and_marks_and_tokens_pass():
    # Requests without Req-Cost were rejected, as the clients of one deployment always send it.
    request_fields = raw(
        HTTP_REQ_COST=None, HTTP_X_TAGS=None, HTTP_REQ_RETRY="1", HTTP_REQ_TOKEN="6b037a6fa73e6f4d"
    )
    trigger = rq.read(request_fields, b"1234", CONTRACT, "1/1", None)
    assert (trigger.hint_us, trigger.memory_mb, trigger.lanes, trigger.load_us) == (0, 0.0, 1, 0)
    assert trigger.redelivered and trigger.token == "6b037a6fa73e6f4d"
    usual = rq.read(raw(), b"1234", CONTRACT, "1/1", None)
    assert not usual.redelivered and usual.token == ""


@pytest.mark.parametrize("wrong", INVALID_FIELDS, ids=str)
def test_fields_that_cannot_be_used_are_turned_away(wrong):
    request_fields = raw(**wrong)
    with pytest.raises(rq.Rejected) as rejected:
        rq.read(request_fields, b"1234", CONTRACT, "1/1", None)
    assert rejected.value.status in (400, 404)
