"""EDGE_CONFIG: what is read of it, and the one line that says what is wrong with it."""

import json

import pytest
from platformbench import document

from swiftwell.settings import platform as config


def put(found, path, value):
    *way, last = path.split(".")
    for name in way:
        found = found[int(name) if isinstance(found, list) else name]
    if value is None:
        del found[last]
    else:
        found[last] = value


def test_the_settings_go_through_the_reader_of_the_wire():
    told = config.read(json.dumps(document([7001])).encode(), "f")
    assert [request_class.name for request_class in told.settings.classes] == ["lectura", "consigna"]
    assert (
        told.settings.classes[1].effect.name == "UNSAFE" and told.settings.classes[0].deadline_us == 1_500_000
    )
    assert told.settings.kind_memory_mb == (("std", 8000.0), ("big", 9000.0))
    assert told.settings.retry_after and told.settings.max_attempts == 3 and not told.settings.second_copies
    assert (told.streams, told.idle_us, told.dial_us, told.sockets) == (32, 30_000_000, 250_000, 256)
    assert told.zones == ("east",) and told.kinds == ("std", "big") and len(told.known) == 1


@pytest.mark.parametrize(
    "path, value, said",
    [
        ("seed", "xyz", "f: seed: expected 16 hex digits"),
        ("listen", "nowhere", "f: listen: expected HOST:PORT"),
        ("journal", "h:99999", "f: journal: expected HOST:PORT"),
        ("limits.sockets", 3, "f: limits.sockets: expected a number from 64"),
        ("limits.sockets", True, "f: limits.sockets: expected a number from 64"),
        ("limits.memory_mb", None, "f: limits.memory_mb: expected a number"),
        ("settings", [], "f: settings: expected an object"),
        ("settings.lanes", [], "f: settings.lanes: expected at least one class"),
        ("settings.lanes.0.target-ms", "soon", "f: settings: lanes.0.target-ms is malformed"),
        ("settings.balancers", None, "f: settings: balancers is missing"),
        (
            "settings.limits.streams-per-conn",
            0,
            "f: settings.limits.streams-per-conn: expected a number from 1",
        ),
        (
            "settings.limits.dial-timeout-ms",
            float("nan"),
            "f: settings.limits.dial-timeout-ms: expected a number",
        ),
        ("known", None, "f: known: expected an object"),
        ("known.pos", 7, "f: known: pos is 7, expected 1"),
        ("known.entries.0.hosts.endpoints.0.status", "asleep", "f: known: entries.0: status 'asleep'"),
    ],
)
def test_what_is_wrong_is_named_in_one_line(path, value, said):
    found = document([7001])
    put(found, path, value)
    with pytest.raises(config.ConfigError) as error:
        config.read(json.dumps(found).encode(), "f")
    assert str(error.value).startswith(said) and "\n" not in str(error.value)


@pytest.mark.parametrize("data", [b"", b"{", b"\xff", b"[]", b"null"])
def test_what_is_no_object_is_told(data):
    with pytest.raises(config.ConfigError, match="f: "):
        config.read(data, "f")
