"""Retries calls that fail temporarily while the router starts."""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import Callable
from typing import Generic, TypeVar

from swiftwell.sockets import LOCAL_ERRORS

START_TIMEOUT_S = 20.0  # the platform waits 30 s for a start
RETRY_INTERVAL_S = 0.05  # the port of a process that has just ended is free after a few of them
# Errors by which opening a file, a socket or an event loop may fail temporarily.
TEMPORARY_ERRORS = LOCAL_ERRORS | {errno.EIO, errno.EAGAIN, errno.EINTR, errno.EBUSY}

Result = TypeVar("Result")


def _may_retry(error: OSError, deadline: float) -> bool:
    """Whether an error may be temporary and another try fits before `deadline`, monotonic s."""
    return error.errno in TEMPORARY_ERRORS and time.monotonic() + RETRY_INTERVAL_S < deadline


class _Retries(Generic[Result]):
    """A call that is retried after temporary errors; `result` is set once it has succeeded."""

    def __init__(self, call: Callable[[], Result], timeout_s: float) -> None:
        self._call, self._deadline = call, time.monotonic() + timeout_s
        self.result: Result

    def try_once(self) -> OSError | None:
        """None if the call succeeded, else an OSError that may be temporary; raises any other."""
        try:
            self.result = self._call()
        except OSError as error:
            if not _may_retry(error, self._deadline):
                raise
            return error
        return None


def retry_blocking(call: Callable[[], Result], timeout_s: float = START_TIMEOUT_S) -> Result:
    """Retries a call before an event loop runs; raises the OSError of the last try."""
    retries = _Retries(call, timeout_s)
    while retries.try_once():
        time.sleep(RETRY_INTERVAL_S)
    return retries.result


async def retry(
    call: Callable[[], Result], on_first_error: Callable[[OSError], None], timeout_s: float = START_TIMEOUT_S
) -> Result:
    """As `retry_blocking`, on an event loop; `on_first_error` is called with the first error only."""
    retries, first = _Retries(call, timeout_s), True
    while error := retries.try_once():
        if first:
            on_first_error(error)
            first = False
        await asyncio.sleep(RETRY_INTERVAL_S)
    return retries.result
