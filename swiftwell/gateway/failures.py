"""Failures that are contained: what failed is logged with its place and counted, and everything else goes on.

An unexpected error while one request, answer or connection is handled concerns only that one.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable


def place_of(error: BaseException) -> str:
    """The function and line in which an error was raised."""
    traceback = error.__traceback__
    while traceback and traceback.tb_next:
        traceback = traceback.tb_next
    return f"{traceback.tb_frame.f_code.co_name}:{traceback.tb_lineno}" if traceback else ""


class FailureLog:
    """Counts failures by stage, and writes a log line for each through `log`, which limits their rate."""

    def __init__(self, log: Callable[..., None]) -> None:
        self._log = log
        self.counts: Counter[str] = Counter()

    def record(self, stage: str, error: Exception, **fields: object) -> None:
        """Note a failure in `stage` of handling one request, answer or connection; `fields` are logged."""
        self.counts[stage] += 1
        text = f"{type(error).__name__}: {error}"
        self._log("error", f"{stage}-failed", error=text, where=place_of(error), **fields)
