"""Traces: what stand-ins saw on their sockets, as JSON lines.

Every line has `t` (monotonic microseconds; all processes of a machine share this clock), `who` (its writer)
and `ev` (the kind of event).  docs/proof.md lists the events.
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
    """Writes events to a file, or keeps them in `events` if no path is given.

    Each event is written unbuffered, so that a stand-in that is killed loses none.
    """

    def __init__(self, who: str, path: Path | None = None) -> None:
        self.who = who
        self.events: list[Event] = []
        self._file = open(path, "ab", buffering=0) if path else None  # noqa: SIM115 - open as long as the process runs

    def note(self, ev: str, **fields: Any) -> None:
        """Record an event with the current time."""
        event = {"t": time.monotonic_ns() // 1_000, "who": self.who, "ev": ev, **fields}
        if self._file:
            self._file.write(_encode(event) + b"\n")
        else:
            self.events.append(event)


def read(folder: Path) -> list[Event]:
    """All events of the traces in a folder, in order of time, without a last line that a kill truncated."""

    def lines() -> Iterator[Event]:
        for path in sorted(folder.glob("*.trace")):
            raw = path.read_bytes().split(b"\n")
            for line in raw[:-1]:
                yield _decode(line)

    return sorted(lines(), key=lambda event: event["t"])
