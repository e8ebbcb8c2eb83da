"""Reads that leave the event loop to others, however fast a peer sends.

A stream's read ends at once if the kernel holds bytes already, and awaiting a future that is done does not
return to the event loop.  A loop of such reads runs for as long as the peer sends faster than it is read;
meanwhile no other socket, timer or signal is served.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable

from tornado.iostream import IOStream


class ReadTurns:
    """Turns to read among connections whose peers send faster than they are read.

    One of them reads in each iteration of the event loop, in the order in which they asked, so that an
    iteration costs one such read however many of them there are.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        self.granted = 0
        self._longest_wait_s = 0.0

    def __len__(self) -> int:
        """Number of connections that wait for a turn."""
        return len(self._waiting)

    def take_longest_wait_s(self) -> float:
        """The longest wait for a turn since the last call."""
        longest_wait_s, self._longest_wait_s = self._longest_wait_s, 0.0
        return longest_wait_s

    async def wait(self) -> None:
        """Wait for a turn, which comes in a later iteration of the event loop."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        if not self._waiting:
            loop.call_soon(self._grant)
        self._waiting.append(turn)
        began_s = time.monotonic()
        await turn
        self.granted += 1
        self._longest_wait_s = max(self._longest_wait_s, time.monotonic() - began_s)

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
    next read: bytes that were taken from the kernel are always returned at once.  `left_behind`: an earlier
    read of the connection was a full one.  `on_wait` is called when a read has to wait: the connection has no
    unread bytes then.
    """

    def __init__(
        self,
        stream: IOStream,
        max_bytes: int,
        turns: ReadTurns,
        on_wait: Callable[[], None] = lambda: None,
        left_behind: bool = False,
    ) -> None:
        self._stream, self._max_bytes, self._turns, self._on_wait = stream, max_bytes, turns, on_wait
        self._left_behind, self._at_once = left_behind, False
        self._reading: asyncio.Future[bytes] | None = None
        self.waits_for_turn = False  # the kernel may hold bytes for which no read is pending

    async def read(self) -> bytes:
        """Return some bytes; raises StreamClosedError at the end of the stream."""
        if self._left_behind or self._at_once:
            await self._let_others_run()
        self._reading = self._stream.read_bytes(self._max_bytes, partial=True)
        self._at_once = self._reading.done()
        if not self._at_once:
            self._on_wait()
        data = await self._reading
        self._reading = None
        self._left_behind = len(data) >= self._max_bytes
        return data

    async def _let_others_run(self) -> None:
        self.waits_for_turn = True
        try:
            if self._left_behind:
                await self._turns.wait()
            else:
                await asyncio.sleep(0)
        finally:
            self.waits_for_turn = False

    @property
    def has_unprocessed(self) -> bool:
        """Whether a read is complete, with bytes or the end of the stream, and `read` has not returned it."""
        return self._reading is not None and self._reading.done()

    def take_unprocessed(self) -> bytes:
        """The bytes that `read` is about to return; b"" if there are none."""
        reading = self._reading
        if reading is None or not reading.done() or reading.cancelled() or reading.exception() is not None:
            return b""
        self._reading = None
        return reading.result()

    def close(self) -> None:
        """Forget the last read, whose exception refers to the frames that awaited it."""
        self._reading = None
