"""Bounds the memory of answers that are half read, for all connections together.

A connection reads a large answer only with a permit; without one its bytes stay in the kernel, and the worker
waits.  Small answers need none, so they never wait for large ones of other connections.
"""

from __future__ import annotations

import asyncio
from collections import deque

from swiftwell.workers.resp.codec import MAX_BODY_BYTES

# Of an answer, that a connection buffers without a permit, besides the last read.
UNPERMITTED_BYTES = 16_384
MEMORY_SHARE = 1 / 8  # of the memory that is free at the start, for large answers
MIN_LARGE_ANSWERS = 2


def large_answers(free_bytes: float) -> int:
    """How many large answers may be read at a time in a process with so much memory left.

    >>> large_answers(160e6)
    76
    """
    return max(MIN_LARGE_ANSWERS, int(free_bytes * MEMORY_SHARE / MAX_BODY_BYTES))


class AnswerPermits:
    """So many connections at a time may read a large answer; the others wait in their order."""

    def __init__(self, limit: int) -> None:
        self._free = limit
        self._waiting: deque[asyncio.Future[None]] = deque()

    def request(self) -> asyncio.Future[None]:
        """A future that is done once the permit is given."""
        permit: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self._free:
            self._free -= 1
            permit.set_result(None)
        else:
            self._waiting.append(permit)
        return permit

    def give_back(self, permit: asyncio.Future[None]) -> None:
        """End the use of a permit, or stop waiting for it."""
        if not permit.done():
            self._waiting.remove(permit)
            permit.cancel()
            return
        while self._waiting:
            following = self._waiting.popleft()
            if not following.done():
                following.set_result(None)
                return
        self._free += 1
