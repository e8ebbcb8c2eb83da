"""Starting although a call fails for a moment: tried again within the time that a start may take."""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import Callable
from typing import Generic, TypeVar

from swiftwell.sockets import LOCAL_ERRORS

START_S = 20.0  # s for which a start is tried again; the platform waits for 30
WAIT_S = 0.05  # s between two tries: a port of a process that has just ended is free within some of them
# Reasons for which opening a file, a socket or a loop fails for a moment.
PASSING_ERRORS = LOCAL_ERRORS | {errno.EIO, errno.EAGAIN, errno.EINTR, errno.EBUSY}

Result = TypeVar("Result")


def _may_pass(error: OSError, until: float) -> bool:
    """Whether a failure may pass by itself, and there is time for another try by then, monotonic s."""
    return error.errno in PASSING_ERRORS and time.monotonic() + WAIT_S < until


class _Tries(Generic[Result]):
    """A call that is tried again while its failure may pass; `result` once it has succeeded."""

    def __init__(self, call: Callable[[], Result], within_s: float) -> None:
        self._call, self._until = call, time.monotonic() + within_s
        self.result: Result

    def failure(self) -> OSError | None:
        """Try once: None where it succeeded, else a failure that may pass.  Raises OSError for any other."""
        try:
            self.result = self._call()
        except OSError as error:
            if not _may_pass(error, self._until):
                raise
            return error
        return None


def started(call: Callable[[], Result], within_s: float = START_S) -> Result:
    """What a call gives once it succeeds, before there is a loop.  Raises OSError as its last try did."""
    tries = _Tries(call, within_s)
    while tries.failure():
        time.sleep(WAIT_S)
    return tries.result


async def opened(
    call: Callable[[], Result], failed: Callable[[OSError], None], within_s: float = START_S
) -> Result:
    """As `started`, within a loop; `failed` is called with the first failure."""
    tries, first = _Tries(call, within_s), True
    while error := tries.failure():
        if first:
            failed(error)
            first = False
        await asyncio.sleep(WAIT_S)
    return tries.result
