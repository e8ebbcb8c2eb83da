"""The log: structlog lines to standard error, as JSON or for a console, with a bound on each kind of line."""

from __future__ import annotations

import logging
import sys
import time
from typing import TextIO

import structlog

WINDOW_S = 10.0  # s over which lines of one kind are counted


class Logs:
    """Writes lines.  Of one kind at most `per_kind` in a window are written; what was left out is told
    after it.

    The bound is for the night: a flood of malformed packets must not fill the disk or hide the line that
    matters.
    """

    def __init__(
        self, form: str = "console", level: str = "info", per_kind: int = 20, out: TextIO | None = None
    ) -> None:
        self._least = getattr(logging, level.upper())
        self._most = per_kind
        self._counts: dict[str, int] = {}
        self._since = time.monotonic()
        render = (
            structlog.processors.JSONRenderer()
            if form == "json"
            else structlog.dev.ConsoleRenderer(colors=False)
        )
        self._log = structlog.wrap_logger(
            structlog.WriteLogger(out or sys.stderr),
            processors=[
                structlog.processors.TimeStamper(fmt="iso"),
                structlog.processors.add_log_level,
                render,
            ],
            wrapper_class=structlog.make_filtering_bound_logger(self._least),
        )

    def write(self, level: str, event: str, **fields: object) -> None:
        """A line, unless its kind has had its part of this window."""
        count = self._counts.get(event, 0)
        self._counts[event] = count + 1
        if count < self._most:
            getattr(self._log, level)(event, **fields)

    def sweep(self) -> None:
        """End a window that is over; call now and then."""
        now = time.monotonic()
        if now - self._since < WINDOW_S:
            return
        for event, count in self._counts.items():
            if count > self._most:
                self._log.warning("lines-left-out", kind=event, lines=count - self._most, seconds=WINDOW_S)
        self._counts, self._since = {}, now
