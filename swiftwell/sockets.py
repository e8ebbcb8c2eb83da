"""TCP sockets whose failures tell whose trouble they are, and that bear with what passes by itself.

`connect`, `socket`, `send` and `recv` may fail for a moment because of this machine: no descriptor, no local
port, no buffer, no route.  That says nothing of the peer, and after a moment the same call may succeed.
"""

from __future__ import annotations

import errno
import socket
from typing import Any

from tornado.iostream import IOStream

RETRY_S = 0.02  # s until a call that failed for a reason of ours is tried again
# Reasons of ours for which no connection can be begun (connect(2), socket(2)).
LOCAL_ERRORS = frozenset(
    (
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
        errno.ENETUNREACH,
        errno.ENETDOWN,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENFILE,
        errno.EMFILE,
    )
)
# Reasons for which a call on an open connection fails for a moment (send(2), recv(2)).
_PASSING_ERRORS = frozenset((errno.ENOBUFS, errno.ENOMEM))


def is_local(error: BaseException) -> bool:
    """Whether an error is of this machine's making, so that nothing is known of the peer."""
    return isinstance(error, OSError) and error.errno in LOCAL_ERRORS


def cause_of(error: BaseException) -> BaseException:
    """What the socket said: a stream tells its end by an error of its own."""
    return getattr(error, "real_error", None) or error


class _TcpSocket(socket.socket):
    def connect(self, address: Any) -> None:
        try:
            super().connect(address)
        except BlockingIOError as error:
            if error.errno == errno.EAGAIN:  # no local port is free: nothing is under way
                raise OSError(errno.EADDRNOTAVAIL, "no local port") from error
            raise


class TcpStream(IOStream):
    """A stream over a new TCP socket, or over one that was accepted."""

    def __init__(self, connected: socket.socket | None = None, **bounds: int) -> None:
        """Raises OSError where no socket can be made."""
        super().__init__(connected or _TcpSocket(socket.AF_INET, socket.SOCK_STREAM), **bounds)

    def close(self, exc_info: Any = False) -> None:
        """As its base; what ended it is kept without the frames that refer to the stream.

        Else each stream that was reset is a cycle, and thousands of them make full collections long.
        """
        super().close(exc_info)
        if self.error is not None:
            self.error.__traceback__ = None

    def write_to_fd(self, data: memoryview) -> int:
        """As its base; a want of buffers counts as a full one."""
        try:
            return super().write_to_fd(data)
        except OSError as error:
            if error.errno in _PASSING_ERRORS:
                raise BlockingIOError(errno.EAGAIN, "no buffer") from error
            raise

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """As its base; a want of memory counts as nothing there yet."""
        try:
            return super().read_from_fd(buf)
        except OSError as error:
            if error.errno in _PASSING_ERRORS:
                return None
            raise
