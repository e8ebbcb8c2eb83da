"""The channel between the two processes: framed messages and file descriptors over a Unix socket.

A frame is a length of 4 bytes and a body in msgpack.  Descriptors are sent in batches, each beside one byte.
Every operation has a time-out.  A time-out, a closed socket or a malformed message raises `HandoverError`.
"""

from __future__ import annotations

import array
import os
import socket
import struct
from typing import Any

import msgspec

MAX_FRAME_BYTES = 1 << 30  # a ledger of a million keys takes some hundred million bytes
BATCH_FDS = 200  # descriptors in one message; the kernel allows 253
_LENGTH = struct.Struct(">I")


class HandoverError(Exception):
    """The other process is gone, too slow, refuses the handover or violates the protocol."""


class Channel:
    """One end of the channel."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    @property
    def peer(self) -> tuple[int, int]:
        """Process and user id of the other side, as the kernel reports them."""
        raw = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
        pid, uid, _ = struct.unpack("3i", raw)
        return pid, uid

    def send(self, kind: str, timeout_s: float, **fields: Any) -> None:
        """Send a message; `fields` are its keys on the wire."""
        body = msgspec.msgpack.encode({"kind": kind, **fields})
        self._guard(timeout_s, self._sock.sendall, _LENGTH.pack(len(body)) + body)

    def receive(self, timeout_s: float, *kinds: str) -> dict[str, Any]:
        """The next message, which must be of one of these kinds; `no` raises HandoverError with its
        reason."""
        (length,) = _LENGTH.unpack(self._receive_exactly(4, timeout_s))
        if length > MAX_FRAME_BYTES:
            raise HandoverError(f"frame too large: {length} bytes")
        try:
            message = msgspec.msgpack.decode(self._receive_exactly(length, timeout_s), type=dict[str, Any])
            kind = message.pop("kind")
        except (msgspec.DecodeError, KeyError):
            raise HandoverError("malformed message") from None
        if kind == "no":
            raise HandoverError(f"the other process refused: {message.get('why')}")
        if kind not in kinds:
            raise HandoverError(f"message {kind!r} received, {' or '.join(kinds)} expected")
        return message

    def send_fds(self, fds: list[int], timeout_s: float) -> None:
        """Send file descriptors."""
        for start in range(0, len(fds), BATCH_FDS):
            batch = array.array("i", fds[start : start + BATCH_FDS])
            self._guard(
                timeout_s, self._sock.sendmsg, [b"F"], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, batch)]
            )

    def receive_fds(self, count: int, timeout_s: float) -> list[int]:
        """Receive `count` file descriptors; on an error those already received are closed."""
        fds: list[int] = []
        try:
            while len(fds) < count:
                size = socket.CMSG_SPACE(BATCH_FDS * 4)
                data, ancillary, flags, _ = self._guard(timeout_s, self._sock.recvmsg, 1, size)
                if data != b"F" or flags & socket.MSG_CTRUNC:
                    raise HandoverError("invalid or truncated message of descriptors")
                for level, kind, raw in ancillary:
                    if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
                        fds += array.array("i", raw[: len(raw) - len(raw) % 4])
        except HandoverError:
            for fd in fds:
                os.close(fd)
            raise
        return fds

    def _receive_exactly(self, count: int, timeout_s: float) -> bytes:
        buffer = bytearray()
        while len(buffer) < count:
            data = self._guard(timeout_s, self._sock.recv, min(count - len(buffer), 1 << 20))
            if not data:
                raise HandoverError("the other process closed the channel")
            buffer += data
        return bytes(buffer)

    def _guard(self, timeout_s: float, operation: Any, *args: Any) -> Any:
        """Run a socket operation with a time-out; its errors are raised as HandoverError."""
        try:
            self._sock.settimeout(timeout_s)
            return operation(*args)
        except TimeoutError:
            raise HandoverError(f"timed out after {timeout_s:g} s") from None
        except OSError as error:
            raise HandoverError(error.strerror or str(error)) from None

    def shut_down_and_check_owned(self) -> bool:
        """Stop receiving after a failure; returns whether `owned` had arrived all the same.

        The receiving half is shut down first, after which the other side can't send `owned` any more (it gets
        EPIPE).  So it has either been sent, and is read here, or never will be.
        """
        try:
            self._sock.shutdown(socket.SHUT_RD)
            self.receive(0.1, "owned")
        except (HandoverError, OSError):
            return False
        return True

    def close(self) -> None:
        """Close the channel."""
        self._sock.close()
