"""A network path to a worker that can be cut off for a while, as a proxy.

While it is cut off, open connections remain open and silent and new ones never come up.  What was written and
not delivered is delivered once the path is back, as TCP sends it again; unless its sender has reset the
connection, by which TCP drops it.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from collections.abc import Coroutine
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as st


class NetworkPath:
    """The path to one worker; `port` is the one that the list names."""

    def __init__(self, worker_port: int) -> None:
        self._worker_port, self._up = worker_port, asyncio.Event()
        self._up.set()
        self._listening = socket.create_server((st.HOST, 0), backlog=64)
        self._listening.setblocking(False)
        self.port = self._listening.getsockname()[1]
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task] = set()
        self._begin(self._accept())

    def _begin(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cut(self) -> None:
        """Cut it off.  The queue of the listening socket is filled, so that no handshake comes to its end."""
        self._up.clear()
        self._listening.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((st.HOST, self.port))
            self._fillers.append(filler)

    def restore(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._listening.listen(64)
        self._up.set()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._up.wait()
            near, _ = await loop.sock_accept(self._listening)
            await self._up.wait()
            near.setblocking(False)
            far = socket.socket()
            far.setblocking(False)
            await loop.sock_connect(far, (st.HOST, self._worker_port))
            self._begin(self._carry(near, far))
            self._begin(self._carry(far, near))

    async def _carry(self, source: socket.socket, target: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while True:
                await self._up.wait()
                data = await loop.sock_recv(source, 65_536)
                await self._up.wait()
                if source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):  # reset: nothing is sent again
                    break
                if not data:
                    target.shutdown(socket.SHUT_WR)
                    return
                await loop.sock_sendall(target, data)
        with contextlib.suppress(OSError):
            target.shutdown(socket.SHUT_RDWR)
