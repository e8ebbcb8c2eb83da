"""Accepts connections, a bounded number at a time.

Each iteration of the event loop accepts at most `ACCEPT_BATCH` connections, so that open requests, responses
and timers are served during a flood of connections.  Accepting pauses when descriptors run out: the listening
socket stays readable then, and an event loop that polls it would spin.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import select
import socket
import time
from collections.abc import Callable

from tornado.netutil import bind_sockets

from swiftwell.fronts.fastcgi.arrival import ArrivalClock, BacklogClock

BACKLOG = 512  # of the listening socket: hundreds of connections arrive at once
ACCEPT_BATCH = 16  # connections per loop iteration: 1 ms of work, 10 ms on a tenth of a core
PAUSE_S = 0.05  # after descriptors or memory ran out; a sweep or a response frees some
EXHAUSTION_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class _Exhausted(Exception):
    """The process or the machine has no descriptor or memory left for a connection."""


class Acceptor:
    """The listening socket.

    `on_accept` gets each connection with the clock of its bytes; `on_exhausted` is called when descriptors
    or memory run out; `on_failure` gets the stage of a contained failure and its error.  `unseen_s`: upper
    bound of the time for which the event loop has not polled its sockets.
    """

    def __init__(
        self,
        on_accept: Callable[[socket.socket, ArrivalClock], None],
        on_exhausted: Callable[[], None],
        unseen_s: Callable[[], float],
        on_failure: Callable[[str, Exception], None],
    ) -> None:
        self._on_accept, self._on_exhausted, self._unseen_s = on_accept, on_exhausted, unseen_s
        self._on_failure = on_failure
        self._backlog = BacklogClock(time.monotonic())
        self._listening: socket.socket | None = None
        self._resume: asyncio.TimerHandle | None = None

    def open(self, address: str, port: int) -> int:
        """Listen on this address only; returns the port.  Raises OSError."""
        self._backlog = BacklogClock(time.monotonic())
        (self._listening,) = bind_sockets(port, address, family=socket.AF_INET, backlog=BACKLOG)
        self._watch()
        return self._listening.getsockname()[1]

    def accept_all(self) -> bool:
        """Accept all connections of the backlog; returns whether there were any."""
        accepted = 0
        with contextlib.suppress(_Exhausted):
            for _ in range(BACKLOG):
                result = self._accept_one()
                if result is None:
                    break
                accepted += result
        return accepted > 0

    def close(self) -> None:
        """Stop listening.  Connections still in the backlog are reset: call `accept_all` first."""
        if self._resume is not None:
            self._resume.cancel()
            self._resume = None
        if self._listening is not None:
            asyncio.get_running_loop().remove_reader(self._listening.fileno())
            self._listening.close()
            self._listening = None

    def _watch(self) -> None:
        self._resume = None
        if self._listening is not None:
            asyncio.get_running_loop().add_reader(self._listening.fileno(), self._accept_batch)
            self._check_backlog()

    def _check_backlog(self) -> None:
        """Note an empty backlog at once: the next connection may come an hour later."""
        if self._listening is None:
            return
        poll = select.poll()
        poll.register(self._listening, select.POLLIN)
        if not poll.poll(0):
            self._backlog.mark_empty(time.monotonic())

    def _accept_batch(self) -> None:
        """The listening socket is readable: at least one connection waits."""
        try:
            result = self._accept_one()
        except _Exhausted:
            self._pause()
            return
        with contextlib.suppress(_Exhausted):  # the kernel reports this also if no further connection waits
            for _ in range(ACCEPT_BATCH - 1):
                if result is None:
                    return
                result = self._accept_one()
            if result is not None:
                self._backlog.mark_left_behind()
                asyncio.get_running_loop().call_soon(self._check_backlog)

    def _accept_one(self) -> bool | None:
        """Accept a connection; returns whether it succeeded, None if none waits.  Raises _Exhausted."""
        if self._listening is None:
            return None
        try:
            connected, _ = self._listening.accept()
        except OSError as error:
            if error.errno in EXHAUSTION_ERRORS:
                self._backlog.mark_left_behind()
                raise _Exhausted from error
            # Else it ended before it was accepted, or its network failed; others may wait behind it.
            if not isinstance(error, BlockingIOError):
                return False
            self._backlog.mark_empty(time.monotonic())
            return None
        connected.setblocking(False)
        arrivals = self._backlog.accepted(connected, time.monotonic(), self._unseen_s())
        try:
            self._on_accept(connected, arrivals)
        except Exception as error:  # concerns this connection only
            self._on_failure("client-accept", error)
            connected.close()
        return True

    def _pause(self) -> None:
        loop = asyncio.get_running_loop()
        if self._listening is not None and self._resume is None:
            loop.remove_reader(self._listening.fileno())
            self._resume = loop.call_later(PAUSE_S, self._watch)
        self._on_exhausted()
