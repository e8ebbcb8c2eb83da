"""The channel between the two processes: framed messages and descriptors over a Unix socket.

A frame is length(4) and msgpack.  Descriptors go in batches beside one byte each.  Every call has a time
limit; what breaks it, or the form, raises `HandoverError`.
"""

from __future__ import annotations

import array
import os
import socket
import struct
from typing import Any

import msgspec

MOST_FRAME = 1 << 30  # bytes: a ledger of a million keys takes some hundred million
BATCH = 200  # descriptors in one message; the kernel allows 253
_LENGTH = struct.Struct(">I")


class HandoverError(Exception):
    """The other side is gone, too slow, or does not speak the protocol."""


class Channel:
    """One end."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    @property
    def peer(self) -> tuple[int, int]:
        """Process and user of the other side, by the kernel's word."""
        raw = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
        pid, uid, _ = struct.unpack("3i", raw)
        return pid, uid

    def send(self, kind: str, within_s: float, **fields: Any) -> None:
        """Send a message."""
        body = msgspec.msgpack.encode({"kind": kind, **fields})
        self._guard(within_s, self._sock.sendall, _LENGTH.pack(len(body)) + body)

    def receive(self, within_s: float, *kinds: str) -> dict[str, Any]:
        """The next message, which must be of one of these kinds; `no` raises HandoverError with its reason."""
        (length,) = _LENGTH.unpack(self._exactly(4, within_s))
        if length > MOST_FRAME:
            raise HandoverError(f"a frame of {length} bytes")
        try:
            told = msgspec.msgpack.decode(self._exactly(length, within_s), type=dict[str, Any])
            kind = told.pop("kind")
        except (msgspec.DecodeError, KeyError):
            raise HandoverError("a message that is no message") from None
        if kind == "no":
            raise HandoverError(f"the other side says no: {told.get('why')}")
        if kind not in kinds:
            raise HandoverError(f"{kind!r} where {' or '.join(kinds)} was expected")
        return told

    def send_fds(self, fds: list[int], within_s: float) -> None:
        """Pass descriptors."""
        for start in range(0, len(fds), BATCH):
            part = array.array("i", fds[start : start + BATCH])
            self._guard(within_s, self._sock.sendmsg, [b"F"], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, part)])

    def receive_fds(self, count: int, within_s: float) -> list[int]:
        """Take so many descriptors."""
        out: list[int] = []
        try:
            while len(out) < count:
                size = socket.CMSG_SPACE(BATCH * 4)
                data, extra, flags, _ = self._guard(within_s, self._sock.recvmsg, 1, size)
                if data != b"F" or flags & socket.MSG_CTRUNC:
                    raise HandoverError("descriptors were expected")
                for level, kind, raw in extra:
                    if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
                        out += array.array("i", raw[: len(raw) - len(raw) % 4])
        except HandoverError:
            for fd in out:
                os.close(fd)
            raise
        return out

    def _exactly(self, count: int, within_s: float) -> bytes:
        out = bytearray()
        while len(out) < count:
            data = self._guard(within_s, self._sock.recv, min(count - len(out), 1 << 20))
            if not data:
                raise HandoverError("the other side closed the channel")
            out += data
        return bytes(out)

    def _guard(self, within_s: float, act: Any, *args: Any) -> Any:
        try:
            self._sock.settimeout(within_s)
            return act(*args)
        except TimeoutError:
            raise HandoverError(f"nothing within {within_s:g} s") from None
        except OSError as error:
            raise HandoverError(error.strerror or str(error)) from None

    def shut_down_and_check_owned(self) -> bool:
        """Give up waiting for `owned`: whether it has come after all.

        The receiving half is shut first, so from here on the other side can't send it any more (it gets
        EPIPE): it has either been sent, and is read now, or never will be.
        """
        try:
            self._sock.shutdown(socket.SHUT_RD)
            self.receive(0.1, "owned")
        except (HandoverError, OSError):
            return False
        return True

    def close(self) -> None:
        """End the channel."""
        self._sock.close()
