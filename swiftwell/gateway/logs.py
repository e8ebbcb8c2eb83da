"""The log: lines to standard error, as JSON or through structlog for a console, with a bound on each kind."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import TextIO

import msgspec

WINDOW_S = 10.0  # s over which lines of one kind are counted
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}  # as in the standard library
Line = Callable[[str, str, dict[str, object]], None]


class Logs:
    """Writes lines.  Of one kind at most `per_kind` in a window are written; what was left out is told
    after it.

    The bound is for the night: a flood of malformed packets must not fill the disk or hide the line that
    matters.
    """

    def __init__(
        self, form: str = "console", level: str = "info", per_kind: int = 20, out: TextIO | None = None
    ) -> None:
        self._least = LEVELS[level]
        self._most = per_kind
        self._counts: dict[str, int] = {}
        self._since = time.monotonic()
        self._line = (_json if form == "json" else _console)(out or sys.stderr)

    def write(self, level: str, event: str, **fields: object) -> None:
        """A line, unless its kind has had its part of this window."""
        if LEVELS[level] < self._least:  # nobody misses what is not asked for: it is not counted as left out
            return
        count = self._counts.get(event, 0)
        self._counts[event] = count + 1
        if count < self._most:
            self._line(level, event, fields)

    def sweep(self) -> None:
        """End a window that is over; call now and then."""
        now = time.monotonic()
        if now - self._since < WINDOW_S:
            return
        for event, count in self._counts.items():
            if count > self._most:
                left = {"kind": event, "lines": count - self._most, "seconds": WINDOW_S}
                self._line("warning", "lines-left-out", left)
        self._counts, self._since = {}, now


def _json(out: TextIO) -> Line:
    """Each line one JSON object; without structlog, whose import is a twentieth of a router's start."""
    encoder = msgspec.json.Encoder(enc_hook=repr)

    def line(level: str, event: str, fields: dict[str, object]) -> None:
        at = datetime.now(UTC).isoformat().replace("+00:00", "Z")
        told = fields | {"event": event, "level": level, "timestamp": at}
        out.write(encoder.encode(told).decode() + "\n")
        out.flush()

    return line


def _console(out: TextIO) -> Line:
    import structlog

    stamp = structlog.processors.TimeStamper(fmt="iso")
    steps = [stamp, structlog.processors.add_log_level, structlog.dev.ConsoleRenderer(colors=False)]
    log = structlog.wrap_logger(structlog.WriteLogger(out), processors=steps)

    def line(level: str, event: str, fields: dict[str, object]) -> None:
        getattr(log, level)(event, **fields)

    return line
