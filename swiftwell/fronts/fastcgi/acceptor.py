"""Accepting connections, a bounded number at a time.

Each iteration of the event loop accepts at most `ACCEPT_BATCH` connections, so that open requests, answers
and timers have their turn during a flood of connections.  Running out of descriptors pauses accepting: the
listening socket stays readable then, and an event loop that watched it would spin.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable

from tornado.netutil import bind_sockets

BACKLOG = 512  # connections that the kernel holds for us meanwhile: hundreds come at once
ACCEPT_BATCH = 16  # connections for each loop iteration: a millisecond of work, ten on a tenth of a core
PAUSE_S = 0.05  # s without accepting once descriptors or memory ran out: a sweep or an answer frees some
EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class _Exhausted(Exception):
    """The process, or the machine, has no descriptor or memory left for a connection."""


class Acceptor:
    """The listening socket.  `accepted` takes each connection; `exhausted` is called without descriptors."""

    def __init__(self, accepted: Callable[[socket.socket], None], exhausted: Callable[[], None]) -> None:
        self._accepted, self._exhausted = accepted, exhausted
        self._listening: socket.socket | None = None
        self._resume: asyncio.TimerHandle | None = None

    def open(self, address: str, port: int) -> int:
        """Listen on this address only; returns the port.  Raises OSError."""
        (self._listening,) = bind_sockets(port, address, family=socket.AF_INET, backlog=BACKLOG)
        self._watch()
        return self._listening.getsockname()[1]

    def accept_all(self) -> bool:
        """Accept whatever the kernel holds for us; returns whether there was anything."""
        accepted = 0
        with contextlib.suppress(_Exhausted):
            for _ in range(BACKLOG):
                found = self._accept_one()
                if found is None:
                    break
                accepted += found
        return accepted > 0

    def close(self) -> None:
        """Stop listening.  Connections that the kernel still holds are reset: see `accept_all`."""
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

    def _accept_batch(self) -> None:
        """The listening socket is readable: at least one connection waits."""
        try:
            found = self._accept_one()
        except _Exhausted:
            self._pause()
            return
        with contextlib.suppress(_Exhausted):  # told by the kernel also where no further connection waits
            for _ in range(ACCEPT_BATCH - 1):
                if found is None:
                    return
                found = self._accept_one()

    def _accept_one(self) -> bool | None:
        """Whether a connection was accepted; None where none waits.  Raises _Exhausted."""
        if self._listening is None:
            return None
        try:
            connected, _ = self._listening.accept()
        except OSError as error:
            if error.errno in EXHAUSTED:
                raise _Exhausted from error
            # Else it ended before it was accepted, or its network failed: others may wait behind it.
            return None if isinstance(error, BlockingIOError) else False
        connected.setblocking(False)
        self._accepted(connected)
        return True

    def _pause(self) -> None:
        loop = asyncio.get_running_loop()
        if self._listening is not None and self._resume is None:
            loop.remove_reader(self._listening.fileno())
            self._resume = loop.call_later(PAUSE_S, self._watch)
        self._exhausted()
