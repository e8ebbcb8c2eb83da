"""Reads and checks the platform's JSON configuration, whose path is in EDGE_CONFIG.

Its `settings` go through the same reader as those on the simulator's wire.  Errors name the file, the path in
it and what was expected.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from swiftwell import interface as io
from swiftwell import wire
from swiftwell.discovery import journal

MIN_DESCRIPTORS = 64  # with fewer, neither clients nor workers could be served
DEFAULT_MAX_OPEN = 20_000  # open requests, where the settings have no limit


class ConfigError(ValueError):
    """An invalid configuration; the message is one line."""


@dataclass(frozen=True, slots=True)
class Platform:
    """The configuration of one router."""

    name: str
    listen_address: tuple[str, int]
    seed: int
    descriptors: int
    memory_mb: float
    journal_address: tuple[str, int]
    settings: io.Settings
    streams_per_connection: int  # concurrent requests on a connection to a worker
    idle_timeout_us: int  # after which a worker closes an unused connection
    connect_timeout_us: int  # to a worker
    max_open: int  # open requests
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    initial_events: tuple[journal.Event, ...]  # of the worker list


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Flattens JSON to the pairs of the simulator's wire, such as `lanes.count` and `lanes.0.name`."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(item, dict | list) for item in value):
        yield f"{path}.count", str(len(value))
        for number, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{number}")
    elif isinstance(value, list):
        yield path, ",".join(map(_text, value))
    elif value is not None:
        yield path, _text(value)


def _text(value: Any) -> str:
    return str(int(value)) if isinstance(value, bool) else str(value)


class _Reader:
    def __init__(self, file: str, document: Any) -> None:
        self.file, self.document = file, document

    def error(self, path: str, expected: str) -> ConfigError:
        return ConfigError(f"{self.file}: {path}: expected {expected}")

    def _get(self, path: str) -> Any:
        value = self.document
        for name in path.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def value(self, path: str, type_: type | tuple[type, ...], expected: str) -> Any:
        value = self._get(path)
        if not isinstance(value, type_) or isinstance(value, bool):
            raise self.error(path, expected)
        return value

    def number(self, path: str, low: float, high: float, default: float | None = None) -> float:
        if default is not None and self._get(path) is None:
            return default
        expected = f"a number from {low:g} to {high:g}"
        value = self.value(path, (int, float), expected)
        if not math.isfinite(value) or not low <= value <= high:
            raise self.error(path, expected)
        return value

    def address(self, path: str) -> tuple[str, int]:
        try:
            return journal.parse_address(self.value(path, str, "HOST:PORT"))
        except ValueError:
            raise self.error(path, "HOST:PORT") from None


def read(data: bytes, file: str) -> Platform:
    """Parses the bytes of `file`; raises ConfigError."""
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{file}: not JSON: {' '.join(str(error).split())}") from None
    reader = _Reader(file, document)
    seed_text = reader.value("seed", str, "16 hex digits")
    try:
        seed = int(seed_text, 16)
    except ValueError:
        raise reader.error("seed", "16 hex digits") from None
    pairs = dict(flatten(reader.value("settings", dict, "an object")))
    try:
        _, settings = wire.settings(pairs | {"salt": str(seed)})
    except (wire.WireError, ValueError, OverflowError) as error:
        raise ConfigError(f"{file}: settings: {error}") from None
    if not settings.classes:
        raise reader.error("settings.lanes", "at least one class")
    zones = tuple(filter(None, pairs.get("failure-domains", "").split(",")))
    kinds = tuple(filter(None, pairs.get("flavors", "").split(",")))
    known = reader.value("known", dict, "an object")
    try:
        initial_events = journal.parse_events(known)
    except ValueError as error:
        raise ConfigError(f"{file}: known: {error}") from None
    day_ms = 86_400_000
    return Platform(
        name=reader.value("name", str, "a name"),
        listen_address=reader.address("listen"),
        seed=seed,
        descriptors=int(reader.number("limits.sockets", MIN_DESCRIPTORS, 1 << 20)),
        memory_mb=reader.number("limits.memory_mb", 1, 1 << 20),
        journal_address=reader.address("journal"),
        settings=settings,
        streams_per_connection=int(reader.number("settings.limits.streams-per-conn", 1, 1 << 16, 1)),
        idle_timeout_us=int(reader.number("settings.limits.conn-idle-ms", 1, day_ms, 30_000) * 1_000),
        connect_timeout_us=int(reader.number("settings.limits.dial-timeout-ms", 1, day_ms, 250) * 1_000),
        max_open=int(reader.number("settings.limits.max-open", 1, 1 << 24, DEFAULT_MAX_OPEN)),
        zones=zones,
        kinds=kinds,
        initial_events=initial_events,
    )
