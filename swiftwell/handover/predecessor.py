"""The old process's side of a handover: it listens on a socket in its state folder, and gives its state and
descriptors to a new process that connects.

The commit point is the message `owned`, which the new process sends before it reads or writes anything for
clients or workers.  Until it has arrived the old process carries on, whatever becomes of the new one; after
it the old process only exits.
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
from swiftwell.handover.fault import inject

if TYPE_CHECKING:
    from swiftwell.gateway.shell import Gateway

PROTOCOL, MIN_PROTOCOL = 1, 1  # our protocol version, and the oldest that we still accept
HELLO_TIMEOUT_S = 2.0  # for the new process's hello
PREPARE_TIMEOUT_S = 20.0  # for it to read its settings and open listeners; calls are served meanwhile
FREEZE_TIMEOUT_S = 0.5  # for this process to become idle: the ledger's disk may be slow
IMPORT_DELAY_S = 2.0  # from the start to the import of `handover.state`, so that it delays no first calls
FROZEN_STEP_TIMEOUT_S = 1.0  # for each step while nobody is served; beyond it the old process carries on


def socket_path(state_folder: str) -> Path:
    """Path of the socket on which a gateway listens for its successor."""
    return Path(state_folder) / "handover.sock"


def _state() -> Any:
    """The module `handover.state`, imported late: its import takes a sixth of the start, so it waits until
    calls are served.  It can't wait for a handover, as the files on disk may be another version's by then."""
    from swiftwell.handover import state

    return state


class HandoverServer:
    """Listens for successors and hands over to one at a time; others are refused meanwhile."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._path = socket_path(gateway.site.state)
        self._sock: socket.socket | None = None
        self._busy = False
        self._tasks: set[asyncio.Task] = set()
        self.done = 0

    def open(self) -> None:
        """Open the socket in the state folder."""
        try:
            self._path.unlink(missing_ok=True)
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            sock.bind(str(self._path))
            os.chmod(self._path, 0o600)
            sock.listen(4)
            sock.setblocking(False)
            self._sock = sock
        except OSError as error:  # e.g. the path is too long; upgrades need a restart then
            self._gateway.log("warning", "no-handover", why=f"{self._path}: {error.strerror or error}")

    async def run(self) -> None:
        """Accept successors until the process ends."""
        if self._sock is None:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(IMPORT_DELAY_S, _state)
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
                raise HandoverError(f"user {uid} is not allowed to take over")
            if self._busy or self._gateway.frozen or self._gateway._stopping:
                # Its hello comes first: sent to a closed channel it would fail, and the reason go unread.
                await asyncio.to_thread(channel.receive, HELLO_TIMEOUT_S, "hello")
                channel.send(
                    "no", HELLO_TIMEOUT_S, why="another handover is under way, or the gateway is stopping"
                )
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
        hello = await asyncio.to_thread(channel.receive, HELLO_TIMEOUT_S, "hello")
        _check_compatible(hello, gateway.site.name)
        gateway.log("info", "handover", step="hello", pid=pid, version=hello.get("version"))
        listeners = state.listening_sockets(gateway)
        channel.send(
            "offer",
            HELLO_TIMEOUT_S,
            protocol=PROTOCOL,
            version=__version__,
            state=state.VERSION,
            listeners=listeners,
        )
        await asyncio.to_thread(channel.receive, PREPARE_TIMEOUT_S, "prepared")
        frozen_at = time.monotonic()
        try:
            await state.freeze(gateway, FREEZE_TIMEOUT_S)
        except TimeoutError as error:
            state.thaw(gateway)
            raise HandoverError(str(error)) from None
        except BaseException:
            state.thaw(gateway)
            raise
        owned = False
        try:
            owned = await asyncio.to_thread(self._send_state, channel)
        except HandoverError as error:
            owned = channel.shut_down_and_check_owned()
            if not owned:
                raise HandoverError(f"{error}; carrying on") from None
        finally:
            if not owned:
                state.thaw(gateway)
        self._exit(pid, time.monotonic() - frozen_at)

    def _send_state(self, channel: Channel) -> bool:
        """Send state and descriptors to the new process and commit; True once it owns them.

        Nobody is served meanwhile.  Runs in a thread, as the channel blocks.
        """
        state = _state()
        captured, fds = state.capture(self._gateway)
        raw = state.encode(captured)
        channel.send("state", FROZEN_STEP_TIMEOUT_S, state=raw, fds=len(fds))
        channel.send_fds(fds, FROZEN_STEP_TIMEOUT_S)
        channel.receive(FROZEN_STEP_TIMEOUT_S, "restored")
        inject("old-restored")
        channel.send("commit", FROZEN_STEP_TIMEOUT_S)
        channel.receive(FROZEN_STEP_TIMEOUT_S, "owned")
        inject("old-owned")
        return True

    def _exit(self, pid: int, pause_s: float) -> None:
        """Exit without closing anything, as everything belongs to the new process now."""
        gateway = self._gateway
        gateway.log("info", "handed-over", pid=pid, pause_ms=round(pause_s * 1e3, 1))
        os._exit(0)

    def close(self) -> None:
        """Stop listening."""
        if self._sock:
            self._sock.close()
            self._path.unlink(missing_ok=True)


def _check_compatible(hello: dict, name: str) -> None:
    """Raise HandoverError unless the two sides have a protocol in common and are the same gateway."""
    protocol, min_protocol = hello.get("protocol"), hello.get("least")
    if not isinstance(protocol, int) or not isinstance(min_protocol, int) or protocol < min_protocol:
        raise HandoverError(f"invalid hello: protocol {protocol!r}, oldest accepted {min_protocol!r}")
    if protocol < MIN_PROTOCOL:
        raise HandoverError(
            f"the new process speaks protocol {protocol}, which is too old: "
            f"{MIN_PROTOCOL} to {PROTOCOL} are accepted"
        )
    if min_protocol > PROTOCOL:
        raise HandoverError(
            f"the new process needs protocol {min_protocol}, which is too new: "
            f"{MIN_PROTOCOL} to {PROTOCOL} are accepted"
        )
    if hello.get("name") != name:
        raise HandoverError(f"the new process is gateway {hello.get('name')!r}, this one is {name!r}")
