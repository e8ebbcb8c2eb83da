"""The platform's configuration (EDGE_CONFIG): what is read, and the one-line errors."""

import json

import pytest
from platformbench import document

from swiftwell.settings import platform as config


def put(document_, path, value):
    """Sets a value in a document, or removes it if it is None."""
    *parents, last = path.split(".")
    for name in parents:
        document_ = document_[int(name) if isinstance(document_, list) else name]
    if value is None:
        del document_[last]
    else:
        document_[last] = value


def test_the_settings_are_read_by_the_reader_of_the_wire():
    platform = config.read(json.dumps(document([7001])).encode(), "f")
    assert [request_class.name for request_class in platform.settings.classes] == ["lectura", "consigna"]
    assert (
        platform.settings.classes[1].effect.name == "UNSAFE"
        and platform.settings.classes[0].deadline_us == 1_500_000
    )
    assert platform.settings.kind_memory_mb == (("std", 8000.0), ("big", 9000.0))
    assert (
        platform.settings.retry_after
        and platform.settings.max_attempts == 3
        and not platform.settings.second_copies
    )
    assert (
        platform.streams_per_connection,
        platform.idle_timeout_us,
        platform.connect_timeout_us,
        platform.descriptors,
    ) == (
        32,
        30_000_000,
        250_000,
        256,
    )
    assert (
        platform.zones == ("east",) and platform.kinds == ("std", "big") and len(platform.initial_events) == 1
    )


@pytest.mark.parametrize(
    "path, value, message",
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
def test_an_error_names_the_path_in_one_line(path, value, message):
    configuration = document([7001])
    put(configuration, path, value)
    with pytest.raises(config.ConfigError) as error:
        config.read(json.dumps(configuration).encode(), "f")
    assert str(error.value).startswith(message) and "\n" not in str(error.value)


@pytest.mark.parametrize("data", [b"", b"{", b"\xff", b"[]", b"null"])
def test_a_file_that_is_no_json_object_is_an_error(data):
    with pytest.raises(config.ConfigError, match="f: "):
        config.read(data, "f")
