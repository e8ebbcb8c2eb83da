"""Reads that leave the event loop to others, however fast a peer sends.

A stream's read ends at once if the kernel holds bytes already, and awaiting a future that is done does not
return to the event loop.  A loop of such reads runs for as long as the peer sends faster than it is read;
meanwhile no other socket, timer or signal is served.
"""

from __future__ import annotations

import asyncio
from collections import deque

from tornado.iostream import IOStream


class ReadTurns:
    """Turns to read among connections whose peers send faster than they are read.

    One of them reads in each iteration of the event loop, in the order in which they asked, so that an
    iteration costs one such read however many of them there are.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def wait(self) -> None:
        """Wait for a turn, which comes in a later iteration of the event loop."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        if not self._waiting:
            loop.call_soon(self._grant)
        self._waiting.append(turn)
        await turn

    def _grant(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():  # else its connection was cancelled
                turn.set_result(None)
                break
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._grant)


class FairReader:
    """Reads one connection, at most `max_bytes` at a time.

    After a full read, which may have left bytes in the kernel, the connection waits for one of the shared
    `turns`; after one that did not have to wait, for an iteration of the event loop.  It waits before the
    next read: bytes that were taken from the kernel are always returned at once.
    """

    def __init__(self, stream: IOStream, max_bytes: int, turns: ReadTurns) -> None:
        self._stream, self._max_bytes, self._turns = stream, max_bytes, turns
        self._left_behind = self._at_once = False
        self._reading: asyncio.Future[bytes] | None = None

    async def read(self) -> bytes:
        """Return some bytes; raises StreamClosedError at the end of the stream."""
        if self._left_behind:
            await self._turns.wait()
        elif self._at_once:
            await asyncio.sleep(0)
        self._reading = self._stream.read_bytes(self._max_bytes, partial=True)
        self._at_once = self._reading.done()
        data = await self._reading
        self._reading = None
        self._left_behind = len(data) >= self._max_bytes
        return data

    def close(self) -> None:
        """Forget the last read, whose exception refers to the frames that awaited it."""
        self._reading = None


class ProcessingTurns:
    """Turns to process what was read, among connections of which many may have read something at a time.

    An iteration of the event loop processes `bytes_per_iteration` and what a read goes beyond them, in the
    order in which connections asked.  Bytes that wait are kept where a hand-over finds them.
    """

    def __init__(self, bytes_per_iteration: int) -> None:
        self._bytes_per_iteration = bytes_per_iteration
        self._waiting: deque[tuple[asyncio.Future[None], int]] = deque()
        self._processed_bytes = 0  # in this iteration
        self._paused = self._iteration_scheduled = False

    async def wait(self, size: int) -> None:
        """Wait until so many bytes may be processed, which is at once if nobody waits and there is room."""
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append((turn, size))
        self._grant()
        await turn

    def pause(self) -> None:
        """Give no turn from now on."""
        self._paused = True

    def resume(self) -> None:
        """Give turns again."""
        self._paused = False
        self._grant()

    def _grant(self) -> None:
        while self._waiting and not self._paused and self._processed_bytes < self._bytes_per_iteration:
            turn, size = self._waiting.popleft()
            if not turn.done():  # else its connection was cancelled
                turn.set_result(None)
                self._processed_bytes += size
        if self._processed_bytes and not self._iteration_scheduled:
            self._iteration_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._iteration_scheduled = False
        self._processed_bytes = 0
        self._grant()
