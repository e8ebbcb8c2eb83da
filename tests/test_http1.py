"""The HTTP/1.1 parser: whole messages from any split of the bytes; ambiguous messages are rejected."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from swiftwell.http.http1 import BadMessage, MessageStarted, Parser, Request, Response, TooLarge, encode

NAMES = st.text(st.sampled_from("abcdefgh-"), min_size=1, max_size=8).filter(
    lambda n: n not in ("content-length", "connection")
)
VALUES = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=12)
HEADERS = st.dictionaries(NAMES, VALUES, max_size=4)
BODY = st.binary(max_size=60)


def feed(parser, raw, cuts=()):
    messages = []
    for start, end in zip([0, *cuts], [*cuts, len(raw)], strict=True):
        messages += [m for m in parser.feed(raw[start:end]) if not isinstance(m, MessageStarted)]
    return messages


@given(st.lists(st.tuples(HEADERS, BODY), min_size=1, max_size=4), st.data())
def test_answers_come_whole_from_every_split(contents, data):
    messages = [Response(200, headers, body) for headers, body in contents]
    raw = b"".join(map(encode, messages))
    cuts = sorted(data.draw(st.lists(st.integers(0, len(raw)), max_size=6)))
    parsed = feed(Parser(True), raw, cuts)
    assert [(m.body, {k: v for k, v in m.headers.items() if k != "content-length"}) for m in parsed] == [
        (m.body, m.headers) for m in messages
    ]


@given(HEADERS, BODY)
def test_requests_come_back(headers, body):
    parsed = feed(Parser(False), encode(Request("POST", "/run/a", headers, body)))
    assert (parsed[0].method, parsed[0].target, parsed[0].body) == ("POST", "/run/a", body)


@given(st.lists(st.binary(min_size=1, max_size=20), max_size=5), st.data())
def test_chunked_answers(chunks, data):
    raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    raw += b"".join(b"%x;x=1\r\n%s\r\n" % (len(c), c) for c in chunks) + b"0\r\nX-T: 1\r\n\r\n"
    cuts = sorted(data.draw(st.lists(st.integers(0, len(raw)), max_size=6)))
    parser = Parser(True)
    assert feed(parser, raw, cuts)[0].body == b"".join(chunks) and parser.idle


@given(st.binary(max_size=200), st.booleans())
def test_random_bytes_raise_only_bad_message(raw, responses):
    try:
        feed(Parser(responses), raw)
        feed(Parser(responses), b"HTTP/1.1 200 OK\r\n" + raw)
    except BadMessage as error:
        assert str(error)


OK = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    "raw",
    [
        OK + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        OK + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        OK + b"Content-Length: 3, 3\r\n\r\nabc",
        OK + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        OK + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        OK + b"Content-Length: +3\r\n\r\nabc",
        OK + b"Content-Length: 0x3\r\n\r\nabc",
        OK + b"Content-Length : 3\r\n\r\nabc",
        OK + b"Content-Length: 3\n\r\n\r\nabc",
        OK + b"A: b\r\n folded\r\nContent-Length: 0\r\n\r\n",
        OK + b"\r\nuntil the end",
        OK + b"X: a\rb\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
        b"HTTP/1.1 101 Switching\r\n\r\n",
        b"HTTP/2 200 OK\r\n\r\n",
        OK + b"Transfer-Encoding: chunked\r\n\r\n-1\r\n",
        OK + b"Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
        OK + b"Transfer-Encoding: chunked\r\n\r\n" + b"1" * 300,
        OK + b"A: b\r\n" * 65 + b"Content-Length: 0\r\n\r\n",
        b"A" * 20_000,
        b"HTTP/1.1 100 Continue\r\n\r\n" * 9,
    ],
)
def test_what_could_be_read_in_two_ways_is_refused(raw):
    with pytest.raises(BadMessage):
        feed(Parser(True), raw)


def test_a_body_beyond_the_bound_is_refused_before_it_is_taken():
    with pytest.raises(TooLarge):
        feed(Parser(True, 10), OK + b"Content-Length: 11\r\n\r\n")
    with pytest.raises(TooLarge):
        feed(Parser(True, 10), OK + b"Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n6\r\n")


def test_interim_answers_are_passed_over_and_empty_ones_have_no_body():
    raw = (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\nContent-Length: 5\r\n\r\n"
        + OK
        + b"Content-Length: 0\r\n\r\n"
    )
    assert [m.status for m in feed(Parser(True), raw)] == [204, 200]


def test_what_ends_the_connection():
    raw = OK + b"Connection: close\r\nContent-Length: 0\r\n\r\n"
    assert not feed(Parser(True), raw)[0].keep_alive
    assert not feed(Parser(True), b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n")[0].keep_alive


def test_a_line_break_in_a_header_is_not_written():
    with pytest.raises(ValueError, match="line break"):
        encode(Request("GET", "/", {"a": "b\r\nc: d"}))
