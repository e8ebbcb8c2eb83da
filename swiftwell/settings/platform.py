"""EDGE_CONFIG, the platform's JSON, checked; its `settings` go through the reader of the simulator's wire.

Errors name the file, the path in it and what was expected.
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

LEAST_SOCKETS = 64  # descriptors below which neither clients nor workers could be served
MOST_OPEN = 20_000  # requests at a time where the settings tell no bound


class ConfigError(ValueError):
    """The configuration can't be used; one line."""


@dataclass(frozen=True, slots=True)
class Platform:
    """What one router is told."""

    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: float
    journal: tuple[str, int]
    settings: io.Settings
    streams: int  # requests at a time on a connection to a worker
    idle_us: int  # a worker closes a connection that was unused for so long
    dial_us: int  # a connection that does not come up for so long has failed
    most_open: int
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    known: tuple[journal.Event, ...]


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested JSON as the pairs that the simulator's wire writes: `lanes.count`, `lanes.0.name`."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(one, dict | list) for one in value):
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
    def __init__(self, file: str, found: Any) -> None:
        self.file, self.found = file, found

    def wrong(self, path: str, expected: str) -> ConfigError:
        return ConfigError(f"{self.file}: {path}: expected {expected}")

    def _get(self, path: str) -> Any:
        value = self.found
        for name in path.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def at(self, path: str, kind: type | tuple[type, ...], expected: str) -> Any:
        value = self._get(path)
        if not isinstance(value, kind) or isinstance(value, bool):
            raise self.wrong(path, expected)
        return value

    def number(self, path: str, least: float, most: float, default: float | None = None) -> float:
        if default is not None and self._get(path) is None:
            return default
        expected = f"a number from {least:g} to {most:g}"
        value = self.at(path, (int, float), expected)
        if not math.isfinite(value) or not least <= value <= most:
            raise self.wrong(path, expected)
        return value

    def address(self, path: str) -> tuple[str, int]:
        try:
            return journal.parse_address(self.at(path, str, "HOST:PORT"))
        except ValueError:
            raise self.wrong(path, "HOST:PORT") from None


def read(data: bytes, file: str) -> Platform:
    """Raises ConfigError."""
    try:
        found = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{file}: not JSON: {' '.join(str(error).split())}") from None
    reader = _Reader(file, found)
    seed = reader.at("seed", str, "16 hex digits")
    try:
        number = int(seed, 16)
    except ValueError:
        raise reader.wrong("seed", "16 hex digits") from None
    pairs = dict(flatten(reader.at("settings", dict, "an object")))
    try:
        _, settings = wire.settings(pairs | {"salt": str(number)})
    except (wire.WireError, ValueError, OverflowError) as error:
        raise ConfigError(f"{file}: settings: {error}") from None
    if not settings.classes:
        raise reader.wrong("settings.lanes", "at least one class")
    zones = tuple(filter(None, pairs.get("failure-domains", "").split(",")))
    kinds = tuple(filter(None, pairs.get("flavors", "").split(",")))
    listed = reader.at("known", dict, "an object")
    try:
        known = journal.parse_events(listed)
    except ValueError as error:
        raise ConfigError(f"{file}: known: {error}") from None
    day_ms = 86_400_000
    return Platform(
        name=reader.at("name", str, "a name"),
        listen=reader.address("listen"),
        seed=number,
        sockets=int(reader.number("limits.sockets", LEAST_SOCKETS, 1 << 20)),
        memory_mb=reader.number("limits.memory_mb", 1, 1 << 20),
        journal=reader.address("journal"),
        settings=settings,
        streams=int(reader.number("settings.limits.streams-per-conn", 1, 1 << 16, 1)),
        idle_us=int(reader.number("settings.limits.conn-idle-ms", 1, day_ms, 30_000) * 1_000),
        dial_us=int(reader.number("settings.limits.dial-timeout-ms", 1, day_ms, 250) * 1_000),
        most_open=int(reader.number("settings.limits.max-open", 1, 1 << 24, MOST_OPEN)),
        zones=zones,
        kinds=kinds,
        known=known,
    )
