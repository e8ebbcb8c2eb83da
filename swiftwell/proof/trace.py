"""Traces: what stand-ins saw on their sockets, as JSON lines.

Every line has `t` (monotonic microseconds; one clock for all processes of a machine), `who` wrote it and
`ev`.
docs/proof.md lists the events.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

Event = dict[str, Any]
_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(dict[str, Any]).decode


class Trace:
    """Writes events to a file, or keeps them where no path is given.

    Each event is handed to the kernel at once: a stand-in that is killed loses none.
    """

    def __init__(self, who: str, path: Path | None = None) -> None:
        self.who = who
        self.kept: list[Event] = []
        self._file = open(path, "ab", buffering=0) if path else None  # noqa: SIM115 - lives as long as we do

    def note(self, ev: str, **fields: Any) -> None:
        """Write one event down, with the time of now."""
        event = {"t": time.monotonic_ns() // 1_000, "who": self.who, "ev": ev, **fields}
        if self._file:
            self._file.write(_encode(event) + b"\n")
        else:
            self.kept.append(event)


def read(folder: Path) -> list[Event]:
    """All events of the traces in a folder, by time.  A last line that a kill cut short is left out."""

    def lines() -> Iterator[Event]:
        for path in sorted(folder.glob("*.trace")):
            raw = path.read_bytes().split(b"\n")
            for line in raw[:-1]:
                yield _decode(line)

    return sorted(lines(), key=lambda event: event["t"])
