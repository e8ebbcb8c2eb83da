"""The old process's side: it offers a socket in its state folder, and gives everything to a new process that
asks.

The commit point is the new process's `owned`, sent before it does anything at all.  Until that message has
arrived the old process carries on as if nothing had been, whatever becomes of the new one; once it has, the
old one does nothing more but end.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from swiftwell import __version__
from swiftwell.handover.channel import Channel, HandoverError
from swiftwell.handover.fault import step

if TYPE_CHECKING:
    from swiftwell.gateway.shell import Gateway

PROTOCOL, LEAST = 1, 1  # spoken, and the oldest that is still spoken with
HELLO_S = 2.0  # s for the new process to say who it is
PREPARE_S = 20.0  # s for it to read its settings and get ready; calls go on meanwhile
REST_S = 0.5  # s for this process to come to rest: the ledger's disk may be slow
LOAD_S = 2.0  # s after a start until what a handover needs is loaded: first calls come before it
FROZEN_S = 1.0  # s that each step may take while nobody is served; beyond it the old process carries on


def socket_path(state_folder: str) -> Path:
    """Where a gateway listens for its successor."""
    return Path(state_folder) / "handover.sock"


def _state() -> Any:
    """What takes the state out.  A sixth of a start to load, so it waits until calls are served; not until a
    handover, when the files on disk may be another version's."""
    from swiftwell.handover import state

    return state


class HandoverServer:
    """Listens for successors, one at a time.  `busy` while one is served."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._path = socket_path(gateway.site.state)
        self._sock: socket.socket | None = None
        self._busy = False
        self._tasks: set[asyncio.Task] = set()
        self.done = 0

    def open(self) -> None:
        """Listen in the state folder."""
        try:
            self._path.unlink(missing_ok=True)
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            sock.bind(str(self._path))
            os.chmod(self._path, 0o600)
            sock.listen(4)
            sock.setblocking(False)
            self._sock = sock
        except OSError as error:  # a path too long, a folder of another kind: upgrades need a restart then
            self._gateway.log("warning", "no-handover", why=f"{self._path}: {error.strerror or error}")

    async def run(self) -> None:
        """Serve until the process ends."""
        if self._sock is None:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(LOAD_S, _state)
        while True:
            sock, _ = await loop.sock_accept(self._sock)
            task = asyncio.ensure_future(self._serve(Channel(sock)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, channel: Channel) -> None:
        log = self._gateway.log
        pid, uid = channel.peer
        try:
            if uid not in (os.geteuid(), 0):
                raise HandoverError(f"user {uid} may not take over")
            if self._busy or self._gateway.frozen or self._gateway._stopping:
                channel.send("no", HELLO_S, why="another handover is under way, or the gateway is stopping")
                return
            self._busy = True
            try:
                await self._hand_over(channel, pid)
            finally:
                self._busy = False
        except HandoverError as error:
            log("warning", "handover-failed", why=str(error), pid=pid)
            with contextlib.suppress(HandoverError):
                channel.send("no", 0.1, why=str(error))
        finally:
            channel.close()

    async def _hand_over(self, channel: Channel, pid: int) -> None:
        gateway, state = self._gateway, _state()
        hello = await asyncio.to_thread(channel.receive, HELLO_S, "hello")
        _agree(hello, gateway.site.name)
        gateway.log("info", "handover", step="hello", pid=pid, version=hello.get("version"))
        listeners = state.listening(gateway)
        channel.send(
            "offer", HELLO_S, protocol=PROTOCOL, version=__version__, state=state.VERSION, listeners=listeners
        )
        await asyncio.to_thread(channel.receive, PREPARE_S, "prepared")
        began = time.monotonic()
        try:
            await state.freeze(gateway, REST_S)
        except TimeoutError as error:
            state.thaw(gateway)
            raise HandoverError(str(error)) from None
        except BaseException:
            state.thaw(gateway)
            raise
        owned = False
        try:
            owned = await asyncio.to_thread(self._give, channel)
        except HandoverError as error:
            owned = channel.shut_down_and_check_owned()
            if not owned:
                raise HandoverError(f"{error}; carrying on") from None
        finally:
            if not owned:
                state.thaw(gateway)
        self._end(pid, time.monotonic() - began)

    def _give(self, channel: Channel) -> bool:
        """From here nobody is served until it is over.  In a thread, as the channel waits."""
        state = _state()
        told, fds = state.capture(self._gateway)
        raw = state.encode(told)
        channel.send("state", FROZEN_S, state=raw, fds=len(fds))
        channel.send_fds(fds, FROZEN_S)
        channel.receive(FROZEN_S, "restored")
        step("old-restored")
        channel.send("commit", FROZEN_S)
        channel.receive(FROZEN_S, "owned")
        step("old-owned")
        return True

    def _end(self, pid: int, pause: float) -> None:
        """Everything belongs to the new process: end without a word to anybody."""
        gateway = self._gateway
        gateway.log("info", "handed-over", pid=pid, pause_ms=round(pause * 1e3, 1))
        os._exit(0)

    def close(self) -> None:
        """Stop listening."""
        if self._sock:
            self._sock.close()
            self._path.unlink(missing_ok=True)


def _agree(hello: dict, name: str) -> None:
    """Raise HandoverError unless both sides can speak and mean the same gateway."""
    protocol, least = hello.get("protocol"), hello.get("least")
    if not isinstance(protocol, int) or not isinstance(least, int) or protocol < least:
        raise HandoverError(f"a hello without a protocol that makes sense: {protocol!r}, {least!r}")
    if protocol < LEAST:
        raise HandoverError(f"it speaks protocol {protocol}, too old: {LEAST} to {PROTOCOL} are spoken here")
    if least > PROTOCOL:
        raise HandoverError(f"it needs protocol {least}, too new: {LEAST} to {PROTOCOL} are spoken here")
    if hello.get("name") != name:
        raise HandoverError(f"it is {hello.get('name')!r}, this is {name!r}")
