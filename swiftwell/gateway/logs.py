"""The log: lines to standard error, as JSON or for a console (structlog), with a rate limit for each kind."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import TextIO

import msgspec

from swiftwell.gateway.log_output import LogOutput

WINDOW_S = 10.0  # window over which the lines of each kind are counted
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}  # as in the standard library
Line = Callable[[str, str, dict[str, object]], None]


class Logs:
    """Writes log lines, at most `per_kind` of one kind in a window; after it, reports how many were left out.

    The limit keeps a flood of lines, such as of malformed packets, from filling the disk or hiding the line
    that matters.
    """

    def __init__(
        self, form: str = "console", level: str = "info", per_kind: int = 20, out: TextIO | None = None
    ) -> None:
        self._min_level = LEVELS[level]
        self._max_per_kind = per_kind
        self._counts: dict[str, int] = {}
        self._window_start = time.monotonic()
        self._output = LogOutput(out or sys.stderr)
        self._write_line = (_json if form == "json" else _console)(self._output)

    @property
    def dropped_lines(self) -> int:
        """Lines that were lost because their reader is gone or does not read, or the disk is full."""
        return self._output.dropped

    def write(self, level: str, event: str, **fields: object) -> None:
        """Write a line, unless its kind has reached its limit in this window."""
        if LEVELS[level] < self._min_level:  # not wanted, so not counted as left out
            return
        count = self._counts.get(event, 0)
        self._counts[event] = count + 1
        if count < self._max_per_kind:
            self._write_line(level, event, fields)

    def sweep(self) -> None:
        """Close the window if it is over; to be called regularly."""
        now = time.monotonic()
        if now - self._window_start < WINDOW_S:
            return
        for event, count in self._counts.items():
            if count > self._max_per_kind:
                summary = {"kind": event, "lines": count - self._max_per_kind, "seconds": WINDOW_S}
                self._write_line("warning", "lines-left-out", summary)
        self._counts, self._window_start = {}, now


def _json(out: LogOutput) -> Line:
    """Write lines as JSON objects, without structlog, whose import takes a twentieth of a router's start."""
    encoder = msgspec.json.Encoder(enc_hook=repr)

    def line(level: str, event: str, fields: dict[str, object]) -> None:
        at = datetime.now(UTC).isoformat().replace("+00:00", "Z")
        entry = fields | {"event": event, "level": level, "timestamp": at}
        out.write(encoder.encode(entry).decode() + "\n")

    return line


def _console(out: LogOutput) -> Line:
    import structlog

    stamp = structlog.processors.TimeStamper(fmt="iso")
    steps = [stamp, structlog.processors.add_log_level, structlog.dev.ConsoleRenderer(colors=False)]
    log = structlog.wrap_logger(structlog.WriteLogger(out), processors=steps)

    def line(level: str, event: str, fields: dict[str, object]) -> None:
        getattr(log, level)(event, **fields)

    return line
